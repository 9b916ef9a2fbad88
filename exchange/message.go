// Package exchange lets gateways tell each other what they have placed where, which calls crash endpoints, and how new
// their configuration is. Each message holds the full state of its sender, so that a lost datagram costs nothing but
// time.
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
	magic        = 0xB17B0001 // format and its version
	headerBytes  = 4 + 8 + 8 + 1 + 1 + 1 + 1 + 2
	crashBytes   = 8 + 1
	jobBytes     = 4 + 4 + 4 + 2 + 2 + 2 + 2 + 1 + 1
	maxName      = 100
	maxCrashes   = 8
	maxDatagram  = 1400 // bytes; stays in one packet of the usual link
	jobsPerPart  = (maxDatagram - headerBytes - maxName - maxCrashes*crashBytes) / jobBytes
	timeUnit     = 10 * time.Millisecond // of goals and ages
	flagWriting  = 1
	flagLate     = 2
	flagWaiting  = 4
	flagStoreUp  = 1
	flagStopping = 2
)

// Message is one datagram: a part of a sender's state.
type Message struct {
	Name           string
	Sequence       uint64 // grows with each state; a restarted sender starts higher
	Epoch          int64  // of the sender's configuration
	StoreReachable bool   // the sender reaches the store
	Stopping       bool   // the sender is about to end
	Part           int    // of Parts
	Parts          int
	Crashes        map[uint64]int
	Jobs           []placement.Job
}

// encode returns the datagram of a message.
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

// errMalformed means that a datagram is not one of this format.
var errMalformed = errors.New("exchange: malformed datagram")

// reader takes fields off a datagram; after a field that is not there it yields zeros.
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

// decode reads a datagram.
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

// split returns the messages of a state.
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
