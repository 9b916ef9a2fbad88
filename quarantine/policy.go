package quarantine

import (
	"slices"
	"time"
)

// Limits of the decision on a subject.
const (
	// blockCrashes is the number of endpoints that a subject may crash before it is blocked. A single crash hits every request at the
	// endpoint, and some of these meet a second one when they are retried.
	blockCrashes = 3
	// minBlockCalls is the number of different calls in the crashes of a part: what crashes with one call only is the call.
	minBlockCalls = 2
	// condemnCrashes is the number of crashes from which a part is not tried again before its record expires.
	condemnCrashes = 5
	// minRestartTime is shorter than the time that an endpoint needs to start again after a crash.
	minRestartTime = time.Second
	// recentProgress is the time for which progress shows that a part is harmless. Requests with a part in use make progress all the
	// time; none do if the part crashes endpoints, or if all endpoints fail.
	recentProgress = 2 * time.Second
	// trialInterval is the mean time between two requests, of all gateways together, that try a blocked part which may be harmless.
	trialInterval = 4 * time.Second
)

// Verdict is the decision on a request.
type Verdict int

const (
	Admitted  Verdict = iota // no subject of the request is blocked, or it is tried with this request
	Suspected                // a subject is blocked that may be harmless; it is tried now and then
	Condemned                // a subject is blocked until its record expires
)

// isHeavy reports whether the crashes of a record suffice to block its subject, whatever else may explain them.
func (e *entry) isHeavy() bool {
	return len(e.endpoints) >= blockCrashes && (e.Subject.Kind != Part || e.calls >= minBlockCalls)
}

// verdictFor returns the verdict on a subject with a number of unexplained crashes.
func verdictFor(kind Kind, crashes int) Verdict {
	switch {
	case crashes < blockCrashes:
		return Admitted
	case kind == Call || crashes >= condemnCrashes:
		return Condemned
	}
	return Suspected
}

// isStored reports whether the store holds enough of a record for its subject to have the same verdict after a restart.
func (r *Record) isStored(verdict Verdict) bool {
	if verdict == Condemned && r.Subject.Kind == Part {
		return r.StoredEndpoints >= condemnCrashes
	}
	return r.StoredEndpoints >= blockCrashes
}

// unexplainedCrashes returns the number of endpoints that the subject of an entry has crashed and that no other entry explains. A request
// that runs beside one that crashes endpoints meets the same crashes, but not all of them.
func unexplainedCrashes(e *entry, heavy []*entry) (unexplained int) {
	for _, endpoint := range e.endpoints {
		explained := slices.ContainsFunc(heavy, func(other *entry) bool {
			_, found := slices.BinarySearch(other.endpoints, endpoint)
			return found && explains(other, e)
		})
		if !explained {
			unexplained++
		}
	}
	return unexplained
}

// explains reports whether the crashes of an entry may be put down to another one: to the subject that has crashed more endpoints, or
// of two parts with as many to the one that fewer requests contain.
func explains(other, e *entry) bool {
	if len(other.endpoints) != len(e.endpoints) {
		return len(other.endpoints) > len(e.endpoints)
	}
	return other.Subject.Kind == Part && e.Subject.Kind == Part && other.Depth > e.Depth
}
