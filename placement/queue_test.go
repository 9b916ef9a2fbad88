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

// Guards against a request that takes the free endpoints before one of its kind that waits longer, at another gateway.
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

// Guards against requests that hold up others without need: other services, other kinds, those that are late anyway,
// gateways that have died, and callers with short prompts.
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

// Guards against waiting requests that count as load, which would keep others away from an endpoint.
func TestWaitingRequestsAreNoLoad(t *testing.T) {
	m, b := model(), NewScheduler()
	b.SetPeerJobs("p", []Job{waiting(3*time.Second, 100_000, start)}, start)
	require.Zero(t, b.TimeToNextEvent(m, "s", 1, start))
}

// Guards against a place in the queue that outlives a refusal and holds others up.
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

// Guards against a queue that holds callers until nobody in it can be served in time: on szucs-tomlo-grown, scale-1, half of
// the long prompts of a burst were refused after 7.2 s, and most of the others came after their goal.
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
