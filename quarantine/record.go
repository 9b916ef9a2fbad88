package quarantine

import (
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what a subject is.
type Kind uint8

const (
	Call Kind = 1 // one call, which its caller may repeat
	Part Kind = 2 // a part of a prompt, which different calls may share
)

// String returns the name of the kind in logs, metrics and stored rows.
func (k Kind) String() string {
	switch k {
	case Call:
		return "call"
	case Part:
		return "part"
	}
	return "unknown"
}

// Subject identifies what may crash endpoints.
type Subject struct {
	Kind Kind
	Hash uint64
}

// CallSubject returns the subject for the fingerprint of a call.
func CallSubject(fingerprint uint64) Subject { return Subject{Kind: Call, Hash: fingerprint} }

// PartSubject returns the subject for the ID of a prompt part.
func PartSubject(id string) Subject { return Subject{Kind: Part, Hash: xxhash.Sum64String(id)} }

// Key returns the subject in the form that is logged and stored, for example "part-00c0ffee00c0ffee".
func (s Subject) Key() string {
	digits := strconv.FormatUint(s.Hash, 16)
	const width = 16
	return s.Kind.String() + "-" + "0000000000000000"[:width-len(digits)] + digits
}

// Crash is an attempt that an endpoint broke off. An incarnation of an endpoint crashes once, so
// attempts that broke at the same one were broken by the same crash.
type Crash struct {
	Endpoint uint32 `json:"endpoint"` // hash of the endpoint's incarnation
	Call     uint32 `json:"call"`     // hash of the call
}

// NewCrash returns the crash of an endpoint, by its ID and start time, during a call.
func NewCrash(endpointID string, startedAt int64, fingerprint uint64) Crash {
	endpoint := xxhash.Sum64String(endpointID + "@" + strconv.FormatInt(startedAt, 10))
	return Crash{Endpoint: uint32(endpoint), Call: uint32(fingerprint ^ fingerprint>>32)}
}

// MaxCrashes bounds the crashes of a record. It is far above the limits of the policy, so that a record explains the crashes that go on
// until all gateways know of it.
const MaxCrashes = 16

// Record holds the crashes of one subject since it was last seen to be harmless. Records of several gateways are merged: of two
// with the same generation, the crashes of both count.
type Record struct {
	Subject    Subject
	Events     int       // largest number of events that an endpoint had sent of an attempt when it broke it off
	Generation uint32    // increases when the subject turns out to be harmless, which removes the crashes
	Crashes    []Crash   // distinct, at most MaxCrashes
	ExpiresAt  time.Time // when the record is forgotten
	// StoredEndpoints is the number of crashed endpoints in the record that the platform's store holds; 0: it holds none.
	StoredEndpoints int
}

// add adds a crash and reports whether it was new and has room. One call is kept for each endpoint, and a further one while that is
// needed to tell that there were several.
func (r *Record) add(c Crash) bool {
	sameEndpoint := false
	for _, known := range r.Crashes {
		if known == c {
			return false
		}
		sameEndpoint = sameEndpoint || known.Endpoint == c.Endpoint
	}
	if len(r.Crashes) >= MaxCrashes || sameEndpoint && r.callCount() > 1 {
		return false
	}
	r.Crashes = append(r.Crashes, c)
	return true
}

// crashedEndpoints returns the distinct endpoints of the crashes in ascending order.
func (r *Record) crashedEndpoints() []uint32 {
	endpoints := make([]uint32, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		endpoints = append(endpoints, c.Endpoint)
	}
	slices.Sort(endpoints)
	return slices.Compact(endpoints)
}

// callCount returns the number of different calls in the crashes.
func (r *Record) callCount() int {
	calls := make([]uint32, 0, len(r.Crashes))
	for _, c := range r.Crashes {
		calls = append(calls, c.Call)
	}
	slices.Sort(calls)
	return len(slices.Compact(calls))
}

// merge adds what another record of the subject tells and reports whether that changed anything.
func (r *Record) merge(other *Record) bool {
	switch {
	case other.Generation < r.Generation:
		return false
	case other.Generation > r.Generation:
		r.Generation, r.ExpiresAt, r.StoredEndpoints, r.Events = other.Generation, other.ExpiresAt, other.StoredEndpoints, other.Events
		r.Crashes = slices.Clone(other.Crashes[:min(len(other.Crashes), MaxCrashes)])
		return true
	}
	changed := other.StoredEndpoints > r.StoredEndpoints || other.Events > r.Events
	r.StoredEndpoints, r.Events = max(r.StoredEndpoints, other.StoredEndpoints), max(r.Events, other.Events)
	for _, c := range other.Crashes {
		if r.add(c) {
			changed, r.ExpiresAt = true, laterOf(r.ExpiresAt, other.ExpiresAt)
		}
	}
	if len(r.Crashes) >= MaxCrashes && other.ExpiresAt.Sub(r.ExpiresAt) > crashTimeError {
		changed, r.ExpiresAt = true, other.ExpiresAt // of a crash for which there is no room
	}
	return changed
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// clone returns a copy that shares no memory with r.
func (r *Record) clone() Record {
	c := *r
	c.Crashes = slices.Clone(r.Crashes)
	return c
}
