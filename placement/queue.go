package placement

import (
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// The queue consists of the queued jobs of all gateways. It orders bursts of long prompts: without it, all requests that
// wait take the same endpoints as soon as these are free, and their prefill runs there concurrently.

// mayWait reports whether a request is long enough and has enough time to wait for a better plan.
func mayWait(r Request) bool { return r.Tokens >= waitFrom && r.Goal >= waitGoal }

// queue returns the queue entry of a request and adds it if there is none.
func (b *Board) queue(r Request, now time.Time) uint64 {
	if r.Queued != 0 {
		return r.Queued
	}
	return b.add(r.waiting(now))
}

// waiting returns the queue entry for a request.
func (r *Request) waiting(now time.Time) Job {
	return Job{
		Endpoint: KeyOf(r.Service), Tokens: r.Tokens, Parts: 1, Goal: r.Goal, PauseGoal: r.PauseGoal,
		Placed: now.Add(-r.Waited), Waiting: true,
	}
}

func (b *Board) leaveQueue(place uint64) {
	if place != 0 {
		delete(b.own, place)
		b.signal()
	}
}

// ahead returns the total prefill time of the queued requests that go before this one, and whether there are any. A
// request that has waited for the longest allowed time is no longer held back by others.
func (b *Board) ahead(m *engine.Model, r Request, now time.Time) (work time.Duration, others bool) {
	if !mayWait(r) || r.Waited > scale(patienceOf(r), patienceShare) {
		return 0, false
	}
	mine := r.waiting(now)
	see := func(j *Job) {
		if goesFirst(m, j, &mine, now) {
			others = true
			work += m.Read(j.Tokens, 1)
		}
	}
	for id, j := range b.own {
		if id != r.Queued {
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
func turn(m *engine.Model, r Request, work time.Duration, endpoints int) (Plan, Verdict) {
	p := Plan{Predicted: scale(work, 1/queueShare/float64(endpoints)) + m.Read(r.Tokens, maxParts)}
	if r.Queued == 0 && r.Waited+p.Predicted > scale(r.Goal, goalMargin) {
		return p, QueueTooLong
	}
	return p, Wait
}

// goesFirst reports whether a queued request goes before another one of the same service and targets. Requests that can
// still meet their latency target go first, then those that have waited longest. Requests with different targets do not
// wait for each other.
func goesFirst(m *engine.Model, j, other *Job, now time.Time) bool {
	if !j.Waiting || j.Endpoint != other.Endpoint || j.Goal != other.Goal || j.PauseGoal != other.PauseGoal {
		return false
	}
	if late := overdue(m, j, now); late != overdue(m, other, now) {
		return !late
	}
	return j.Placed.Before(other.Placed)
}

// overdue reports whether a queued request misses its latency target even if it starts now on the largest number of
// endpoints.
func overdue(m *engine.Model, j *Job, now time.Time) bool {
	return now.Sub(j.Placed)+m.Read(j.Tokens, maxParts) > scale(j.Goal, goalMargin)
}
