package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func queuedJob(latencyTarget time.Duration, tokens int, waitingSince time.Time) Job {
	return Job{
		Endpoint: KeyOf("s"), PromptTokens: tokens, Parts: 1, LatencyTarget: latencyTarget, GapTarget: time.Second,
		PlacedAt: waitingSince, Queued: true,
	}
}

func longRequestFor(service string, tokens int, waited time.Duration) Request {
	r := longRequest(tokens)
	r.Service, r.Waited = service, waited
	return r
}

// A request must not take the free endpoints before a similar one that has waited longer at another gateway.
func TestLongPromptYieldsToOneThatWaitsLonger(t *testing.T) {
	m, s, now := testTimingModel(), NewScheduler(), start.Add(time.Second)
	s.SetPeerJobs("p", []Job{queuedJob(3*time.Second, 100_000, start)}, now)
	p, decision := s.Choose(m, candidates(23), longRequestFor("s", 100_000, 500*time.Millisecond), now)
	require.Equal(t, Wait, decision)
	require.NotZero(t, p.QueueJobID)
	require.Len(t, s.LocalJobs(), 1)

	r := longRequestFor("s", 100_000, 600*time.Millisecond)
	r.QueueJobID = p.QueueJobID
	s.SetPeerJobs("p", nil, now)
	again, decision := s.Choose(m, candidates(23), r, now.Add(100*time.Millisecond))
	require.Equal(t, Admit, decision)
	require.Len(t, s.LocalJobs(), len(again.JobIDs), "the queue entry is removed")
}

// A request must wait only for older requests of the same service and targets that can still be in time: not for those of
// a dead gateway, and not at all if its prompt is short.
func TestRequestWaitsOnlyForSimilarRequestsOfLivePeers(t *testing.T) {
	m, now := testTimingModel(), start.Add(time.Second)
	mine := longRequestFor("s", 100_000, 500*time.Millisecond)
	cases := map[string]struct {
		job        Job
		receivedAt time.Time
		request    Request
	}{
		"newer":         {queuedJob(3*time.Second, 100_000, now), now, mine},
		"other service": {queuedJob(3*time.Second, 100_000, start), now, longRequestFor("t", 100_000, 500*time.Millisecond)},
		"other targets": {queuedJob(2*time.Second, 100_000, start), now, mine},
		"late anyway":   {queuedJob(3*time.Second, 100_000, now.Add(-4*time.Second)), now, mine},
		"dead gateway":  {queuedJob(3*time.Second, 100_000, start), now.Add(-recentPeerAge - time.Millisecond), mine},
		"short prompt":  {queuedJob(3*time.Second, 100_000, start), now, shortRequest(3000)},
	}
	for name, c := range cases {
		s := NewScheduler()
		s.SetPeerJobs("p", []Job{c.job}, c.receivedAt)
		_, decision := s.Choose(m, candidates(23), c.request, now)
		require.Equal(t, Admit, decision, name)
	}
}

// Queued requests must not count as load, which would keep other requests away from an endpoint.
func TestQueuedRequestsDoNotCountAsLoad(t *testing.T) {
	m, s := testTimingModel(), NewScheduler()
	s.SetPeerJobs("p", []Job{queuedJob(3*time.Second, 100_000, start)}, start)
	require.Zero(t, s.TimeToNextEvent(m, "s", 1, start))
}

// A rejected request must lose its queue entry, which would otherwise hold back other requests.
func TestRejectionRemovesQueueEntry(t *testing.T) {
	m, s := testTimingModel(), NewScheduler()
	s.SetPeerJobs("p", []Job{queuedJob(3*time.Second, 100_000, start)}, start.Add(time.Second))
	p, decision := s.Choose(m, candidates(23), longRequestFor("s", 100_000, 500*time.Millisecond), start.Add(time.Second))
	require.Equal(t, Wait, decision)
	r := longRequestFor("s", 400_000, 11*time.Second)
	r.TimeLeft, r.QueueJobID = 100*time.Millisecond, p.QueueJobID
	_, decision = s.Choose(m, candidates(23), r, start.Add(time.Second))
	require.Equal(t, TooLate, decision)
	require.Empty(t, s.LocalJobs())
}

// A queue that accepts every request serves all of them late: in load test scale-1 on szucs-tomlo-grown, half of the long
// prompts of a burst were rejected after 7.2 s, and most of the others missed their latency target.
func TestLongPromptIsRejectedAtOnceBehindALongQueue(t *testing.T) {
	m, s, now := testTimingModel(), NewScheduler(), start.Add(time.Second)
	var queue []Job
	for range 4 {
		queue = append(queue, queuedJob(3*time.Second, 200_000, start))
	}
	s.SetPeerJobs("p", queue, now)
	_, decision := s.Choose(m, candidates(23), longRequestFor("s", 100_000, 0), now)
	require.Equal(t, Wait, decision)
	s.SetPeerJobs("p", append(queue, slices.Repeat(queue, 4)...), now)
	p, decision := s.Choose(m, candidates(23), longRequestFor("s", 100_000, 0), now)
	require.Equal(t, QueueTooLong, decision)
	require.Greater(t, p.PredictedLatency, 3*time.Second, "the prediction is logged with the rejection")
}
