package placement

import (
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// The queue is made of the waiting requests on the boards of all gateways. It answers bursts of long prompts: without an
// order, all that wait take the same endpoints as soon as these are free, and read there at the same time.

// mayWait reports whether a request has the time to wait for a better moment.
func mayWait(r Request) bool { return r.PromptTokens >= waitFrom && r.LatencyTarget >= waitGoal }

// queue returns the place of a request that waits.
func (b *Scheduler) queue(r Request, now time.Time) uint64 {
	if r.QueueJobID != 0 {
		return r.QueueJobID
	}
	return b.add(r.waiting(now))
}

// waiting is the entry of a request on the board while it waits.
func (r *Request) waiting(now time.Time) Job {
	return Job{
		Endpoint: KeyOf(r.Service), PromptTokens: r.PromptTokens, Parts: 1, LatencyTarget: r.LatencyTarget, GapTarget: r.GapTarget,
		PlacedAt: now.Add(-r.Waited), Queued: true,
	}
}

func (b *Scheduler) leaveQueue(place uint64) {
	if place != 0 {
		delete(b.own, place)
		b.signal()
	}
}

// ahead returns the reading of the waiting requests that go before this one, and whether there are any. After the time for
// which requests may wait, none goes first any more.
func (b *Scheduler) ahead(m *engine.TimingModel, r Request, now time.Time) (work time.Duration, others bool) {
	if !mayWait(r) || r.Waited > scale(patienceOf(r), patienceShare) {
		return 0, false
	}
	mine := r.waiting(now)
	see := func(j *Job) {
		if goesFirst(m, j, &mine, now) {
			others = true
			work += m.PrefillTime(j.PromptTokens, 1)
		}
	}
	for id, j := range b.own {
		if id != r.QueueJobID {
			see(j)
		}
	}
	for j := range b.recentPeerJobs(now) {
		see(j)
	}
	return work, others
}

// queueShare is the part of the engines' time that is left for the long prompts of a queue, beside answers and other kinds.
const queueShare = 0.67

// turn decides on a request that others go before, whose reading takes work on one of the endpoints. It is refused when it
// arrives if it would miss its goal: in a lasting burst, a queue that takes everybody in serves everybody late. One that
// has a place keeps it, since mostly the largest prompts find no room in time.
func turn(m *engine.TimingModel, r Request, work time.Duration, endpoints int) (Plan, Decision) {
	p := Plan{PredictedLatency: scale(work, 1/queueShare/float64(endpoints)) + m.PrefillTime(r.PromptTokens, maxParts)}
	if r.QueueJobID == 0 && r.Waited+p.PredictedLatency > scale(r.LatencyTarget, goalMargin) {
		return p, QueueTooLong
	}
	return p, Wait
}

// goesFirst reports whether a waiting request comes before another one of its kind: those that can still come in time
// before the others, and then the longest wait. Kinds with different goals do not hold each other up.
func goesFirst(m *engine.TimingModel, j, other *Job, now time.Time) bool {
	if !j.Queued || j.Endpoint != other.Endpoint || j.LatencyTarget != other.LatencyTarget || j.GapTarget != other.GapTarget {
		return false
	}
	if late := overdue(m, j, now); late != overdue(m, other, now) {
		return !late
	}
	return j.PlacedAt.Before(other.PlacedAt)
}

// overdue reports whether a waiting request misses its goal even if it is read at once by as many endpoints as possible.
func overdue(m *engine.TimingModel, j *Job, now time.Time) bool {
	return now.Sub(j.PlacedAt)+m.PrefillTime(j.PromptTokens, maxParts) > scale(j.LatencyTarget, goalMargin)
}
