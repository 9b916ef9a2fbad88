package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits of the decision on a subject.
const (
	// blockCrashes is the number of endpoints that a subject may crash before it is blocked. A single crash hits every request at the
	// endpoint, and some of these meet a second one when they are retried.
	blockCrashes = 3
	// minBlockCalls is the number of different calls in the crashes of a part: what crashes with one call only is the call.
	minBlockCalls = 2
	// condemnCrashes is the number of crashes from which a part is tried only if something speaks for it.
	condemnCrashes = 5
	// minRestartTime is shorter than the time that an endpoint needs to start again after a crash.
	minRestartTime = time.Second
	// recentProgress is the time for which progress shows that a part is harmless. Requests with a part in use make progress all the
	// time; none do if the part crashes endpoints, or if all endpoints fail.
	recentProgress = 2 * time.Second
	// survivalMargin is the number of events by which an attempt must outlast the crashes of a subject to show that it is harmless.
	survivalMargin = 3
	// latestStartCrash is the number of events up to which a crash belongs to the start of an answer.
	latestStartCrash = 1
	// trialInterval is the mean time between two requests, of all gateways together, that try a blocked part which may be harmless.
	trialInterval = 4 * time.Second
	// setbackFactor multiplies the interval after each trial of a condemned part that ended in a crash.
	setbackFactor = 4
	// maxSetbacks is the number of such trials after which a part that has never made progress is not tried any more.
	maxSetbacks = 3
	// setbackDelay is the time after a condemnation in which the requests that were already running may still crash endpoints. The platform
	// tolerates further ones in it.
	setbackDelay = 3 * time.Second
	// earlyProbePause is the pause between two requests that are without a suspect, during that time.
	earlyProbePause = 500 * time.Millisecond
	// crashTimeError is the error of the time of the latest crash in the record of a peer.
	crashTimeError = 2 * time.Second
)

// Complete is the number of events of a whole answer for RecordProgress.
const Complete = int(^uint(0)>>1) - survivalMargin

// Verdict is the decision on a request.
type Verdict int

const (
	Admitted  Verdict = iota // no subject of the request is blocked, or it is tried with this request
	Suspected                // a subject is blocked that may be harmless; it is tried now and then
	Condemned                // a subject is blocked and not tried with this request
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

// survives reports whether an attempt that received a number of events shows that a subject does not crash endpoints, although it was in
// attempts that broke after crashEvents events.
func survives(events, crashEvents int) bool {
	return events >= max(crashEvents, latestStartCrash)+survivalMargin
}

// isStored reports whether the store holds enough of a record for its subject to have the same verdict after a restart.
func (r *Record) isStored(verdict Verdict) bool {
	if verdict == Condemned && r.Subject.Kind == Part {
		return r.StoredEndpoints >= condemnCrashes
	}
	return r.StoredEndpoints >= blockCrashes
}

// group is a set of subjects with enough crashes to be blocked that nothing distinguishes: parts that were in the same crashes. One of them may
// be at fault, and the others harmless.
type group struct {
	kind       Kind
	endpoints  []uint32 // crashed, in ascending order
	progressed bool     // the parts made progress before
	outdated   bool     // parts of other groups with the same crashes were in later ones
	members    int
	verdict    Verdict
	// rivals would explain the crashes as well, with as many of their own or more: one of theirs may be at fault instead. Weaker ones have fewer.
	rivals, weaker []*group

	found int // distinct members in the request that is being checked, set by Tracker.blockedIn
}

// groupKey identifies a group.
type groupKey struct {
	call       Subject // calls form groups of their own
	endpoints  uint64  // hash
	progressed bool
	outdated   bool
}

// groupsOf returns the groups of entries with enough crashes, the heaviest first, and sets the group of each entry. Parts whose records are full
// differ in the time of their latest crash only.
func groupsOf(heavy []*entry) []*group {
	latest := make(map[groupKey]time.Time)
	keys := make([]groupKey, len(heavy))
	var buf []byte
	for i, e := range heavy {
		buf = buf[:0]
		for _, endpoint := range e.endpoints {
			buf = append(buf, byte(endpoint), byte(endpoint>>8), byte(endpoint>>16), byte(endpoint>>24))
		}
		keys[i] = groupKey{endpoints: xxhash.Sum64(buf), progressed: e.progressed}
		if e.Subject.Kind == Call {
			keys[i].call = e.Subject
		}
		if e.ExpiresAt.After(latest[keys[i]]) {
			latest[keys[i]] = e.ExpiresAt
		}
	}
	groups := make(map[groupKey]*group)
	var list []*group
	for i, e := range heavy {
		key := keys[i]
		key.outdated = latest[key].Sub(e.ExpiresAt) > crashTimeError
		g := groups[key]
		if g == nil {
			g = &group{kind: e.Subject.Kind, endpoints: e.endpoints, progressed: e.progressed, outdated: key.outdated}
			groups[key] = g
			list = append(list, g)
		}
		g.members++
		e.group = g
	}
	slices.SortFunc(list, func(a, b *group) int {
		return cmp.Or(cmp.Compare(len(b.endpoints), len(a.endpoints)), slices.Compare(a.endpoints, b.endpoints), cmp.Compare(a.members, b.members))
	})
	return list
}

// judgeGroups sets the verdicts and the rivals of groups, which are in the order of groupsOf.
func judgeGroups(groups []*group) {
	explaining := groups[:min(len(groups), maxExplaining)]
	for _, g := range groups {
		g.verdict = verdictFor(g.kind, g.unexplained(explaining, (*group).explains))
		if g.verdict == Admitted || g.kind != Part {
			continue
		}
		for _, other := range explaining {
			switch {
			case other == g || other.progressed && !g.progressed || g.unexplained([]*group{other}, anyExplains) >= blockCrashes:
			case len(other.endpoints) >= len(g.endpoints):
				g.rivals = append(g.rivals, other)
			case other.kind == Part: // a call that was sent again has some of the crashes of the part at fault in it
				g.weaker = append(g.weaker, other)
			}
		}
	}
}

func anyExplains(*group, *group) bool { return true }

// unexplained returns the number of crashed endpoints that no other group explains. A request that runs beside one that crashes endpoints
// meets the same crashes, but not all of them.
func (g *group) unexplained(others []*group, explains func(other, g *group) bool) (unexplained int) {
	for _, endpoint := range g.endpoints {
		explained := slices.ContainsFunc(others, func(other *group) bool {
			_, found := slices.BinarySearch(other.endpoints, endpoint)
			return found && other != g && explains(other, g)
		})
		if !explained {
			unexplained++
		}
	}
	return unexplained
}

// explains reports whether the crashes of another group may be put down to this one without a trial: those of a call to a subject that has
// crashed more endpoints, and those of a part to one that has crashed several more. Of parts with nearly as many it is the one that was in later
// crashes, or that has never made progress.
func (g *group) explains(e *group) bool {
	more := len(g.endpoints) - len(e.endpoints)
	switch {
	case e.kind == Call:
		return more > 0
	case more >= blockCrashes || more <= -blockCrashes || g.kind == Call:
		return more >= blockCrashes
	case g.outdated != e.outdated:
		return e.outdated
	}
	return e.progressed && !g.progressed
}

// lacksRival reports whether the request that is being checked is without some part that may as well be at fault instead of those in it.
func (g *group) lacksRival() bool {
	return g.found < g.members || slices.ContainsFunc(g.rivals, (*group).isLacking)
}

// lacksWeaker reports the same of parts that were in fewer crashes.
func (g *group) lacksWeaker() bool { return slices.ContainsFunc(g.weaker, (*group).isLacking) }

func (g *group) isLacking() bool { return g.found < g.members }
