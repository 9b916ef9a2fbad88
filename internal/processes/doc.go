// Package processes holds the tests of the system as separate processes on loopback: stand-ins, entries and agents with
// real signals, connections and certificates.
package processes
