package placement

import (
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// The queue consists of the queued jobs of all gateways. It orders bursts of long prompts: without it, all requests that
// wait take the same endpoints as soon as these are free, and their prefill runs there concurrently.

// mayWait reports whether a request is long enough and has enough time to wait for a better plan.
func mayWait(r Request) bool { return r.PromptTokens >= waitFrom && r.LatencyTarget >= waitGoal }

// queue returns the queue entry of a request and adds it if there is none.
func (b *Scheduler) queue(r Request, now time.Time) uint64 {
	if r.QueueJobID != 0 {
		return r.QueueJobID
	}
	return b.add(r.waiting(now))
}

// waiting returns the queue entry for a request.
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

// ahead returns the total prefill time of the queued requests that go before this one, and whether there are any. A
// request that has waited for the longest allowed time is no longer held back by others.
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

// queueShare is the share of engine time that remains for queued long prompts beside decoding and other requests.
const queueShare = 0.67

// turn decides on a request that others go before. work is the prefill time of these on a single endpoint. A new request is
// rejected if it would miss its latency target: in a long burst, a queue that accepts every request serves all of them
// late. A request that is already queued stays, since the ones that find no room in time are mostly the largest prompts.
func turn(m *engine.TimingModel, r Request, work time.Duration, endpoints int) (Plan, Decision) {
	p := Plan{PredictedLatency: scale(work, 1/queueShare/float64(endpoints)) + m.PrefillTime(r.PromptTokens, maxParts)}
	if r.QueueJobID == 0 && r.Waited+p.PredictedLatency > scale(r.LatencyTarget, goalMargin) {
		return p, QueueTooLong
	}
	return p, Wait
}

// goesFirst reports whether a queued request goes before another one of the same service and targets. Requests that can
// still meet their latency target go first, then those that have waited longest. Requests with different targets do not
// wait for each other.
func goesFirst(m *engine.TimingModel, j, other *Job, now time.Time) bool {
	if !j.Queued || j.Endpoint != other.Endpoint || j.LatencyTarget != other.LatencyTarget || j.GapTarget != other.GapTarget {
		return false
	}
	if late := overdue(m, j, now); late != overdue(m, other, now) {
		return !late
	}
	return j.PlacedAt.Before(other.PlacedAt)
}

// overdue reports whether a queued request misses its latency target even if it starts now on the largest number of
// endpoints.
func overdue(m *engine.TimingModel, j *Job, now time.Time) bool {
	return now.Sub(j.PlacedAt)+m.PrefillTime(j.PromptTokens, maxParts) > scale(j.LatencyTarget, goalMargin)
}
