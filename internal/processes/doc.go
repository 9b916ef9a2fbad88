// Package processes tests the system as separate processes on loopback: stand-ins of the platform, entries and agents with
// real signals, connections and certificates.
package processes
