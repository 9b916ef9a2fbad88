// Package exchange shares state between gateways over UDP: the jobs that each gateway has placed on endpoints, what has crashed
// endpoints, and the versions of what it holds of the store. The jobs of a scope are sent in full, split into
// datagrams, so a lost datagram is made up for by the next state. Gateways form circles, which bound who hears of what and when.
package exchange

import (
	"encoding/binary"
	"math"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/placement"
)

// Layout of a datagram.
const (
	formatMagic        = 0xB17B0002 // identifies the format and its version
	flagsOffset        = 4          // of the byte with the flags of a datagram
	headerBytes        = 4 + 1 + 8 + 8 + 8 + 8 + 2 + 2 + 1 + 1 + 1 + 3 + 2
	legacyCrashBytes   = 8 + 1 // crash counts of earlier versions, which are skipped
	jobBytes           = 4 + 4 + 4 + 2 + 2 + 2 + 2 + 1 + 1
	maxNameBytes       = 200  // of name, address and failure domain together
	maxDatagramBytes   = 1400 // fits into one Ethernet packet
	jobsPerPart        = (maxDatagramBytes - headerBytes - maxNameBytes) / jobBytes
	durationUnit       = 10 * time.Millisecond // resolution of encoded durations
	flagDecoding       = 1
	flagLate           = 2
	flagQueued         = 4
	flagStoreReachable = 1
	flagStopping       = 2
	flagRelay          = 4
	// ageUnknown is the encoded age of a confirmation that is older than the largest encodable age, or that does not exist.
	ageUnknown = math.MaxUint16
)

// Message is one datagram, which holds a part of the sender's state.
type Message struct {
	Name          string
	Addr          string // host:port of the sender
	FailureDomain string
	Sequence      uint64 // increases with each state, also across restarts of the sender
	Versions      Versions
	Stopping      bool            // whether the sender is shutting down
	Relay         bool            // the receiver passes the datagram on to the other gateways of its circle
	Scopes        placement.Scope // the scopes of which Jobs contains the sender's jobs
	Part          int             // index of this part, below Parts
	Parts         int
	Jobs          []placement.Job
}

// Versions describes the configuration and the list of endpoints that a gateway holds.
type Versions struct {
	Epoch            int64     // of the configuration
	Endpoints        int64     // store version that the list of endpoints is at least as new as
	EndpointsChanged int64     // store version of the latest change of the list
	ConfirmedAt      time.Time // when the store last confirmed both, directly or through other gateways; zero: never or long ago
	OutageEndedAt    time.Time // when the latest store outage that the gateway has noticed ended; zero: none or long ago
	StoreReachable   bool      // whether the latest calls of the gateway to the store succeeded
}

// encodeAge returns the age of a time in units of durationUnit, rounded up.
func encodeAge(t, now time.Time) uint16 {
	if t.IsZero() {
		return ageUnknown
	}
	return uint16(clamp(int((now.Sub(t)+durationUnit-1)/durationUnit), ageUnknown))
}

// decodeAge returns the time that had an age when the datagram arrived, or zero for an unknown age.
func decodeAge(age int, now time.Time) time.Time {
	if age == ageUnknown {
		return time.Time{}
	}
	return now.Add(-time.Duration(age) * durationUnit)
}

func (m *Message) encode(now time.Time) []byte {
	b := make([]byte, 0, headerBytes+maxNameBytes+len(m.Jobs)*jobBytes)
	b = binary.BigEndian.AppendUint32(b, formatMagic)
	var flags byte
	for flag, set := range map[byte]bool{
		flagStoreReachable: m.Versions.StoreReachable, flagStopping: m.Stopping, flagRelay: m.Relay,
	} {
		if set {
			flags |= flag
		}
	}
	b = append(b, flags)
	b = binary.BigEndian.AppendUint64(b, m.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(m.Versions.Epoch))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Versions.Endpoints))
	b = binary.BigEndian.AppendUint64(b, uint64(m.Versions.EndpointsChanged))
	b = binary.BigEndian.AppendUint16(b, encodeAge(m.Versions.ConfirmedAt, now))
	b = binary.BigEndian.AppendUint16(b, encodeAge(m.Versions.OutageEndedAt, now))
	b = append(b, byte(m.Scopes), byte(m.Part), byte(m.Parts))
	for _, text := range []string{m.Name, m.Addr, m.FailureDomain} {
		b = append(b, byte(len(text)))
		b = append(b, text...)
	}
	b = append(b, 0) // number of crash counts, which earlier versions send here
	b = append(b, byte(len(m.Jobs)))
	for i := range m.Jobs {
		b = appendJob(b, &m.Jobs[i], now)
	}
	return b
}

// withoutRelay returns a copy of a datagram that its receivers do not pass on.
func withoutRelay(datagram []byte) []byte {
	passedOn := slices.Clone(datagram)
	passedOn[flagsOffset] &^= flagRelay
	return passedOn
}

func appendJob(b []byte, job *placement.Job, now time.Time) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(job.Endpoint))
	b = binary.BigEndian.AppendUint32(b, uint32(clamp(job.PromptTokens, math.MaxUint32)))
	b = binary.BigEndian.AppendUint32(b, uint32(clamp(job.MemoryTokens, math.MaxUint32)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(job.OutputTokens, math.MaxUint16)))
	for _, d := range []time.Duration{job.LatencyTarget, job.GapTarget, now.Sub(job.PlacedAt)} {
		b = binary.BigEndian.AppendUint16(b, uint16(clamp(int(d/durationUnit), math.MaxUint16)))
	}
	var flags byte
	if job.Decoding {
		flags |= flagDecoding
	}
	if job.Late {
		flags |= flagLate
	}
	if job.Queued {
		flags |= flagQueued
	}
	return append(b, byte(clamp(job.Parts, math.MaxUint8)), flags)
}

func clamp(v, limit int) int { return max(0, min(v, limit)) }

var errMalformed = errors.New("exchange: malformed datagram")

// reader reads the fields of a datagram in order. Reads past the end set truncated and return zeros.
type reader struct {
	rest      []byte
	truncated bool
}

func (r *reader) next(n int) []byte {
	if len(r.rest) < n {
		r.truncated = true
		return make([]byte, n)
	}
	field := r.rest[:n]
	r.rest = r.rest[n:]
	return field
}

func (r *reader) u8() int     { return int(r.next(1)[0]) }
func (r *reader) u16() int    { return int(binary.BigEndian.Uint16(r.next(2))) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

func decode(b []byte, now time.Time) (*Message, error) {
	r := &reader{rest: b}
	if r.u32() != formatMagic {
		return nil, errMalformed
	}
	flags := r.u8()
	m := &Message{Sequence: r.u64(), Stopping: flags&flagStopping != 0, Relay: flags&flagRelay != 0}
	m.Versions = Versions{Epoch: int64(r.u64()), Endpoints: int64(r.u64()), EndpointsChanged: int64(r.u64()),
		StoreReachable: flags&flagStoreReachable != 0}
	m.Versions.ConfirmedAt, m.Versions.OutageEndedAt = decodeAge(r.u16(), now), decodeAge(r.u16(), now)
	m.Scopes = placement.Scope(r.u8())
	m.Part, m.Parts = r.u8(), r.u8()
	for _, text := range []*string{&m.Name, &m.Addr, &m.FailureDomain} {
		*text = string(r.next(r.u8()))
	}
	r.next(r.u8() * legacyCrashBytes)
	jobs := r.u8()
	for i := 0; i < jobs && !r.truncated; i++ {
		m.Jobs = append(m.Jobs, r.readJob(now))
	}
	if r.truncated || len(r.rest) > 0 || m.Name == "" || m.Part >= m.Parts {
		return nil, errMalformed
	}
	return m, nil
}

func (r *reader) readJob(now time.Time) placement.Job {
	job := placement.Job{Endpoint: placement.EndpointKey(r.u32()), PromptTokens: int(r.u32()), MemoryTokens: int(r.u32()),
		OutputTokens: r.u16()}
	job.LatencyTarget = time.Duration(r.u16()) * durationUnit
	job.GapTarget = time.Duration(r.u16()) * durationUnit
	job.PlacedAt = now.Add(-time.Duration(r.u16()) * durationUnit)
	job.Parts = max(r.u8(), 1)
	flags := r.u8()
	job.Decoding, job.Late, job.Queued = flags&flagDecoding != 0, flags&flagLate != 0, flags&flagQueued != 0
	return job
}

// splitState distributes the jobs of a state over as many messages as needed.
func splitState(m Message, jobs []placement.Job) []Message {
	parts := max((len(jobs)+jobsPerPart-1)/jobsPerPart, 1)
	parts = min(parts, math.MaxUint8)
	messages := make([]Message, parts)
	for i := range messages {
		m.Part, m.Parts = i, parts
		m.Jobs = jobs[min(i*jobsPerPart, len(jobs)):min((i+1)*jobsPerPart, len(jobs))]
		messages[i] = m
	}
	return messages
}
