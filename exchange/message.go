// Package exchange shares state between gateways over UDP: the jobs that each gateway has placed on endpoints, the calls
// that crashed endpoints, and the epoch of its configuration. Each state is sent in full, split into datagrams, so a lost
// datagram is made up for by the next state.
package exchange

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/placement"
)

// Layout of a datagram.
const (
	magic        = 0xB17B0001 // identifies the format and its version
	headerBytes  = 4 + 8 + 8 + 1 + 1 + 1 + 1 + 2
	crashBytes   = 8 + 1
	jobBytes     = 4 + 4 + 4 + 2 + 2 + 2 + 2 + 1 + 1
	maxName      = 100
	maxCrashes   = 8
	maxDatagram  = 1400 // bytes; fits into one Ethernet packet
	jobsPerPart  = (maxDatagram - headerBytes - maxName - maxCrashes*crashBytes) / jobBytes
	timeUnit     = 10 * time.Millisecond // resolution of encoded durations
	flagWriting  = 1
	flagLate     = 2
	flagWaiting  = 4
	flagStoreUp  = 1
	flagStopping = 2
)

// Message is one datagram, which holds a part of the sender's state.
type Message struct {
	Name           string
	Sequence       uint64 // increases with each state, also across restarts of the sender
	Epoch          int64  // of the sender's configuration
	StoreReachable bool   // whether the sender can reach the store
	Stopping       bool   // whether the sender is shutting down
	Part           int    // index of this part, below Parts
	Parts          int
	Crashes        map[uint64]int // crash counts by call fingerprint
	Jobs           []placement.Job
}

func (m *Message) encode(now time.Time) []byte {
	b := make([]byte, 0, headerBytes+len(m.Name)+len(m.Crashes)*crashBytes+len(m.Jobs)*jobBytes)
	b = binary.BigEndian.AppendUint32(b, magic)
	b = binary.BigEndian.AppendUint64(b, m.Sequence)
	b = binary.BigEndian.AppendUint64(b, uint64(m.Epoch))
	var flags byte
	if m.StoreReachable {
		flags |= flagStoreUp
	}
	if m.Stopping {
		flags |= flagStopping
	}
	b = append(b, flags, byte(m.Part), byte(m.Parts), byte(len(m.Name)))
	b = append(b, m.Name...)
	b = append(b, byte(len(m.Crashes)))
	for f, n := range m.Crashes {
		b = binary.BigEndian.AppendUint64(b, f)
		b = append(b, byte(min(n, math.MaxUint8)))
	}
	b = append(b, byte(len(m.Jobs)))
	for i := range m.Jobs {
		b = appendJob(b, &m.Jobs[i], now)
	}
	return b
}

func appendJob(b []byte, j *placement.Job, now time.Time) []byte {
	b = binary.BigEndian.AppendUint32(b, uint32(j.Endpoint))
	b = binary.BigEndian.AppendUint32(b, uint32(clamp(j.PromptTokens, math.MaxUint32)))
	b = binary.BigEndian.AppendUint32(b, uint32(clamp(j.MemoryTokens, math.MaxUint32)))
	b = binary.BigEndian.AppendUint16(b, uint16(clamp(j.OutputTokens, math.MaxUint16)))
	for _, d := range []time.Duration{j.LatencyTarget, j.GapTarget, now.Sub(j.PlacedAt)} {
		b = binary.BigEndian.AppendUint16(b, uint16(clamp(int(d/timeUnit), math.MaxUint16)))
	}
	var flags byte
	if j.Decoding {
		flags |= flagWriting
	}
	if j.Late {
		flags |= flagLate
	}
	if j.Queued {
		flags |= flagWaiting
	}
	return append(b, byte(clamp(j.Parts, math.MaxUint8)), flags)
}

func clamp(v, top int) int { return max(0, min(v, top)) }

var errMalformed = errors.New("exchange: malformed datagram")

// reader reads the fields of a datagram in order. Reads past the end set bad and return zeros.
type reader struct {
	b   []byte
	bad bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.bad = true
		return make([]byte, n)
	}
	p := r.b[:n]
	r.b = r.b[n:]
	return p
}

func (r *reader) u8() int     { return int(r.take(1)[0]) }
func (r *reader) u16() int    { return int(binary.BigEndian.Uint16(r.take(2))) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

func decode(b []byte, now time.Time) (*Message, error) {
	r := &reader{b: b}
	if r.u32() != magic {
		return nil, errMalformed
	}
	m := &Message{Sequence: r.u64(), Epoch: int64(r.u64())}
	flags := r.u8()
	m.StoreReachable, m.Stopping = flags&flagStoreUp != 0, flags&flagStopping != 0
	m.Part, m.Parts = r.u8(), r.u8()
	m.Name = string(r.take(r.u8()))
	m.Crashes = make(map[uint64]int)
	for range r.u8() {
		f := r.u64()
		m.Crashes[f] = r.u8()
	}
	jobs := r.u8()
	for i := 0; i < jobs && !r.bad; i++ {
		m.Jobs = append(m.Jobs, r.job(now))
	}
	if r.bad || len(r.b) > 0 || m.Name == "" || m.Part >= m.Parts {
		return nil, errMalformed
	}
	return m, nil
}

func (r *reader) job(now time.Time) placement.Job {
	j := placement.Job{Endpoint: placement.EndpointKey(r.u32()), PromptTokens: int(r.u32()), MemoryTokens: int(r.u32()), OutputTokens: r.u16()}
	j.LatencyTarget = time.Duration(r.u16()) * timeUnit
	j.GapTarget = time.Duration(r.u16()) * timeUnit
	j.PlacedAt = now.Add(-time.Duration(r.u16()) * timeUnit)
	j.Parts = max(r.u8(), 1)
	flags := r.u8()
	j.Decoding, j.Late, j.Queued = flags&flagWriting != 0, flags&flagLate != 0, flags&flagWaiting != 0
	return j
}

// split distributes the jobs of a state over as many messages as needed.
func split(m Message, jobs []placement.Job) []Message {
	parts := max((len(jobs)+jobsPerPart-1)/jobsPerPart, 1)
	parts = min(parts, math.MaxUint8)
	list := make([]Message, parts)
	for i := range list {
		m.Part, m.Parts = i, parts
		m.Jobs = jobs[min(i*jobsPerPart, len(jobs)):min((i+1)*jobsPerPart, len(jobs))]
		list[i] = m
	}
	return list
}
