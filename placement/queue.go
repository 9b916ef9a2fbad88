package placement

import (
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// The queue consists of the queued jobs of all gateways. It orders bursts of long prompts: without it, all requests that
// wait take the same endpoints as soon as these are free, and their prefill runs there concurrently.

// mayQueue reports whether a request is long enough and has enough time to wait for a better plan.
func mayQueue(r Request) bool {
	return isLong(r.PromptTokens, r.LatencyTarget)
}

// isLong reports whether a prompt is long, and its latency target long enough, to wait for a better plan.
func isLong(promptTokens int, latencyTarget time.Duration) bool {
	return promptTokens >= minWaitTokens && latencyTarget >= minWaitTarget
}

// enqueue returns the queue entry of a request and adds it if there is none.
func (s *Scheduler) enqueue(r Request, now time.Time) uint64 {
	if r.QueueJobID != 0 {
		return r.QueueJobID
	}
	return s.add(r.queueJob(now))
}

// queueJob returns the queue entry for a request.
func (r *Request) queueJob(now time.Time) Job {
	return Job{
		Endpoint: KeyOf(r.Service), PromptTokens: r.PromptTokens, Parts: 1, LatencyTarget: r.LatencyTarget, GapTarget: r.GapTarget,
		PlacedAt: now.Add(-r.Waited), Queued: true,
	}
}

func (s *Scheduler) dequeue(id uint64) {
	s.removeLocal(id)
}

// workAhead returns the total prefill time of the queued requests that go before this one, and whether there are any. A
// request that has waited for the longest allowed time is no longer held back by others.
func (s *Scheduler) workAhead(m *engine.TimingModel, r Request, now time.Time) (work time.Duration, others bool) {
	if !mayQueue(r) || r.Waited > scale(requestIdleTimeout(r), maxWaitShare) {
		return 0, false
	}
	mine := r.queueJob(now)
	consider := func(j *Job) {
		if goesFirst(m, j, &mine, now) {
			others = true
			work += m.PrefillTime(j.PromptTokens, 1)
		}
	}
	for id, j := range s.local {
		if id != r.QueueJobID {
			consider(j)
		}
	}
	for j := range s.recentPeerJobs(now) {
		consider(j)
	}
	return work, others
}

// queueCapacityShare is the share of engine time that remains for queued long prompts beside decoding and other requests.
const queueCapacityShare = 0.67

// decideBehindQueue decides on a request that others go before. work is the prefill time of these on a single endpoint. A
// new request is rejected if it would miss its latency target: in a long burst, a queue that accepts every request serves
// all of them late. A request that is already queued stays, since the ones that find no room in time are mostly the largest
// prompts.
func decideBehindQueue(m *engine.TimingModel, r Request, work time.Duration, endpoints int) (Plan, Decision) {
	p := Plan{PredictedLatency: scale(work, 1/queueCapacityShare/float64(endpoints)) + m.PrefillTime(r.PromptTokens, maxParts)}
	if r.QueueJobID == 0 && r.Waited+p.PredictedLatency > scale(r.LatencyTarget, latencyTargetShare) {
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
	if missed := missesTarget(m, j, now); missed != missesTarget(m, other, now) {
		return !missed
	}
	return j.PlacedAt.Before(other.PlacedAt)
}

// missesTarget reports whether a queued request misses its latency target even if it starts now on the largest number of
// endpoints.
func missesTarget(m *engine.TimingModel, j *Job, now time.Time) bool {
	return now.Sub(j.PlacedAt)+m.PrefillTime(j.PromptTokens, maxParts) > scale(j.LatencyTarget, latencyTargetShare)
}
