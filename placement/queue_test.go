package placement

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func waiting(goal time.Duration, tokens int, since time.Time) Job {
	return Job{Endpoint: KeyOf("s"), PromptTokens: tokens, Parts: 1, LatencyTarget: goal, GapTarget: time.Second, PlacedAt: since, Queued: true}
}

func longFor(service string, tokens int, waited time.Duration) Request {
	r := long(tokens)
	r.Service, r.Waited = service, waited
	return r
}

// A request must not take the free endpoints before a similar one that has waited longer at another gateway.
func TestLongPromptYieldsToOneThatWaitsLonger(t *testing.T) {
	m, b, now := model(), NewScheduler(), start.Add(time.Second)
	b.SetPeerJobs("p", []Job{waiting(3*time.Second, 100_000, start)}, now)
	p, v := b.Choose(m, candidates(23), longFor("s", 100_000, 500*time.Millisecond), now)
	require.Equal(t, Wait, v)
	require.NotZero(t, p.QueueJobID)
	require.Len(t, b.LocalJobs(), 1)

	r := longFor("s", 100_000, 600*time.Millisecond)
	r.QueueJobID = p.QueueJobID
	b.SetPeerJobs("p", nil, now)
	again, v := b.Choose(m, candidates(23), r, now.Add(100*time.Millisecond))
	require.Equal(t, Admit, v)
	require.Len(t, b.LocalJobs(), len(again.JobIDs), "the place in the queue is given up")
}

// A request must wait only for older requests of the same service and targets that can still be in time: not for those of
// a dead gateway, and not at all if its prompt is short.
func TestOnlyTheSameKindOfLivePeersGoesFirst(t *testing.T) {
	m, now := model(), start.Add(time.Second)
	mine := longFor("s", 100_000, 500*time.Millisecond)
	cases := map[string]struct {
		job   Job
		heard time.Time
		r     Request
	}{
		"newer":         {waiting(3*time.Second, 100_000, now), now, mine},
		"other service": {waiting(3*time.Second, 100_000, start), now, longFor("t", 100_000, 500*time.Millisecond)},
		"other kind":    {waiting(2*time.Second, 100_000, start), now, mine},
		"late anyway":   {waiting(3*time.Second, 100_000, now.Add(-4*time.Second)), now, mine},
		"dead gateway":  {waiting(3*time.Second, 100_000, start), now.Add(-lately - time.Millisecond), mine},
		"short prompt":  {waiting(3*time.Second, 100_000, start), now, short(3000)},
	}
	for name, c := range cases {
		b := NewScheduler()
		b.SetPeerJobs("p", []Job{c.job}, c.heard)
		_, v := b.Choose(m, candidates(23), c.r, now)
		require.Equal(t, Admit, v, name)
	}
}

// Queued requests must not count as load, which would keep other requests away from an endpoint.
func TestWaitingRequestsAreNoLoad(t *testing.T) {
	m, b := model(), NewScheduler()
	b.SetPeerJobs("p", []Job{waiting(3*time.Second, 100_000, start)}, start)
	require.Zero(t, b.TimeToNextEvent(m, "s", 1, start))
}

// A rejected request must lose its queue entry, which would otherwise hold back other requests.
func TestRefusalGivesUpThePlaceInTheQueue(t *testing.T) {
	m, b := model(), NewScheduler()
	b.SetPeerJobs("p", []Job{waiting(3*time.Second, 100_000, start)}, start.Add(time.Second))
	p, v := b.Choose(m, candidates(23), longFor("s", 100_000, 500*time.Millisecond), start.Add(time.Second))
	require.Equal(t, Wait, v)
	r := longFor("s", 400_000, 11*time.Second)
	r.TimeLeft, r.QueueJobID = 100*time.Millisecond, p.QueueJobID
	_, v = b.Choose(m, candidates(23), r, start.Add(time.Second))
	require.Equal(t, TooLate, v)
	require.Empty(t, b.LocalJobs())
}

// A queue that accepts every request serves all of them late: in load test scale-1 on szucs-tomlo-grown, half of the long
// prompts of a burst were rejected after 7.2 s, and most of the others missed their latency target.
func TestLongPromptIsRefusedAtOnceBehindALongQueue(t *testing.T) {
	m, b, now := model(), NewScheduler(), start.Add(time.Second)
	var queue []Job
	for range 4 {
		queue = append(queue, waiting(3*time.Second, 200_000, start))
	}
	b.SetPeerJobs("p", queue, now)
	_, v := b.Choose(m, candidates(23), longFor("s", 100_000, 0), now)
	require.Equal(t, Wait, v)
	b.SetPeerJobs("p", append(queue, slices.Repeat(queue, 4)...), now)
	p, v := b.Choose(m, candidates(23), longFor("s", 100_000, 0), now)
	require.Equal(t, QueueTooLong, v)
	require.Greater(t, p.PredictedLatency, 3*time.Second, "for the log of the refusal")
}
