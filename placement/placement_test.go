package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/engine"
)

// model is an engine like those of the users' platform.
func model() *engine.TimingModel {
	return &engine.TimingModel{
		Slots: 16, MemoryTokens: 315_000, TokensPerPass: 51, StepMs: 0.85, StepMsPerSequence: 0.00425, StepMsPer1KContext: 0.00285,
		PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184, PrefillChunkTokens: 2048, SplitsPrompts: true,
	}
}

func candidates(n int) []Candidate {
	cands := make([]Candidate, n)
	for i := range cands {
		cands[i] = Candidate{ID: fmt.Sprintf("e%02d", i), SameFailureDomain: true, Slowdown: 1}
	}
	return cands
}

var start = time.Unix(1_700_000_000, 0)

func short(tokens int) Request {
	return Request{PromptTokens: tokens, OutputTokens: 1600, LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, TimeLeft: 2 * time.Second}
}

func long(tokens int) Request {
	return Request{PromptTokens: tokens, OutputTokens: 800, LatencyTarget: 3 * time.Second, GapTarget: time.Second, TimeLeft: 12 * time.Second}
}

// Guards against a reading time that ignores the pairs of tokens, which are most of the work of a long prompt.
func TestReadGrowsWithPairs(t *testing.T) {
	m := model()
	require.InDelta(t, 3.13, m.PrefillTime(154_000, 1).Seconds(), 0.1)
	require.InDelta(t, m.PrefillTime(154_000, 1).Seconds()/16, m.PrefillTime(154_000, 16).Seconds(), 0.001)
	require.Zero(t, (*engine.TimingModel)(nil).PrefillTime(100, 1))
}

// Guards against reading a long prompt at one endpoint while others are idle.
func TestLongPromptIsSplitOnAnIdleFleet(t *testing.T) {
	p, v := NewScheduler().Choose(model(), candidates(23), long(154_000), start)
	require.Equal(t, Admit, v)
	require.Greater(t, len(p.Endpoints), 3)
	require.Less(t, p.PredictedLatency, 1500*time.Millisecond)
	require.Len(t, p.JobIDs, len(p.Endpoints))
}

// Guards against an endpoint that is listed twice in one plan.
func TestPlanNamesEachEndpointOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	b := NewScheduler()
	for i := range 500 {
		p, v := b.Choose(model(), candidates(1+rng.IntN(20)), long(1+rng.IntN(600_000)), start.Add(time.Duration(i)*20*time.Millisecond))
		if v != Admit {
			b.Remove([]uint64{p.QueueJobID})
			continue
		}
		seen := map[string]bool{}
		for _, e := range p.Endpoints {
			require.False(t, seen[e])
			seen[e] = true
		}
		if rng.IntN(2) == 0 {
			b.Remove(p.JobIDs)
		}
	}
}

// Guards against a plan that gives out more memory than an endpoint has: a prompt larger than one endpoint's memory is
// kept at several, with reservations that add up to what it needs.
func TestHugePromptReservesMemoryAtSeveralEndpoints(t *testing.T) {
	m := model()
	p, v := NewScheduler().Choose(m, candidates(23), long(700_000), start)
	require.Equal(t, Admit, v)
	sum := 0
	for _, tokens := range p.ReserveTokens {
		require.LessOrEqual(t, tokens, m.MemoryTokens)
		sum += tokens
	}
	require.Equal(t, 700_800, sum)
}

// Guards against holding a caller whose prompt can never fit.
func TestPromptBeyondAllMemoryIsRefusedAtOnce(t *testing.T) {
	_, v := NewScheduler().Choose(model(), candidates(2), long(700_000), start)
	require.Equal(t, InsufficientMemory, v)
}

// Guards against an attempt whose first event would come after its caller has left.
func TestPromptThatComesTooLateIsRefused(t *testing.T) {
	r := long(600_000)
	r.TimeLeft = 500 * time.Millisecond
	_, v := NewScheduler().Choose(model(), candidates(23), r, start)
	require.Equal(t, TooLate, v)
}

// Guards against placing short prompts behind the reading of long ones while other endpoints are free.
func TestShortPromptAvoidsBlockedEndpoints(t *testing.T) {
	b := NewScheduler()
	blocked := map[string]bool{}
	for _, id := range []string{"e00", "e01", "e02", "e03"} {
		b.Add(Job{Endpoint: KeyOf(id), PromptTokens: 400_000, Parts: 4, OutputTokens: 0, LatencyTarget: 3 * time.Second, PlacedAt: start})
		blocked[id] = true
	}
	for range 20 {
		p, v := b.Choose(model(), candidates(8), short(5000), start)
		require.Equal(t, Admit, v)
		for _, e := range p.Endpoints {
			require.False(t, blocked[e], "%v", p.Endpoints)
		}
	}
}

// Guards against more streams at an endpoint than it has slots while others have some left: in a burst of short prompts
// one endpoint once had 24 streams beside one with a single stream (jamrandik-meet, scale-2).
func TestBurstOfShortPromptsFillsAllSlots(t *testing.T) {
	m, b, count := model(), NewScheduler(), map[string]int{}
	cands := candidates(8)
	for i := range 8 * m.Slots {
		p, v := b.Choose(m, cands, short(3000), start.Add(time.Duration(i)*12*time.Millisecond))
		require.Equal(t, Admit, v)
		count[p.Endpoints[0]]++
		b.MarkDecoding(p.JobIDs)
	}
	for _, c := range cands {
		require.Equal(t, m.Slots, count[c.ID], "%v", count)
	}
}

// Guards against sending requests to engines without a free slot: they wait for the first slot of any endpoint.
func TestShortPromptWaitsWhileAllSlotsAreTaken(t *testing.T) {
	m, b := model(), NewScheduler()
	var ids []uint64
	for range 2 * m.Slots {
		for _, id := range []string{"e00", "e01"} {
			if len(ids) < 2*m.Slots {
				ids = append(ids, b.Add(Job{Endpoint: KeyOf(id), PromptTokens: 100, Parts: 1, OutputTokens: 1000, MemoryTokens: 1000, GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true}))
			}
		}
	}
	_, v := b.Choose(m, candidates(2), short(2000), start)
	require.Equal(t, Wait, v)
	b.Remove(ids[:1])
	_, v = b.Choose(m, candidates(2), short(2000), start)
	require.Equal(t, Admit, v)
	late := short(2000)
	late.Waited = 1800 * time.Millisecond
	_, v = b.Choose(m, candidates(2), late, start)
	require.Equal(t, TooCostly, v)
}

// Guards against long prompts that start while others with room for delay would be broken, and against those that wait
// for ever: after the wait, one that still costs more than it gains is refused.
func TestLongPromptWaitsBehindTightWriters(t *testing.T) {
	m, b := model(), NewScheduler()
	for i := range 4 {
		for range 14 {
			b.Add(Job{Endpoint: KeyOf(fmt.Sprintf("e%02d", i)), PromptTokens: 5000, Parts: 1, OutputTokens: 1000, MemoryTokens: 6000,
				LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true})
		}
	}
	r := long(150_000)
	_, v := b.Choose(m, candidates(4), r, start)
	require.Equal(t, Wait, v)
	r.Waited, r.TimeLeft = 9*time.Second, 3*time.Second
	_, v = b.Choose(m, candidates(4), r, start)
	require.Equal(t, TooCostly, v)
}

// Guards against protecting streams that have missed their goal already: nothing is lost by reading beside them.
func TestLateWritersDoNotHoldLongPromptsBack(t *testing.T) {
	m, b := model(), NewScheduler()
	var ids []uint64
	for i := range 8 {
		ids = append(ids, b.Add(Job{Endpoint: KeyOf(fmt.Sprintf("e%02d", i)), PromptTokens: 5000, Parts: 1, OutputTokens: 1000, MemoryTokens: 6000,
			LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true}))
	}
	before, v := b.Choose(m, candidates(8), long(250_000), start)
	if v == Admit {
		b.Remove(before.JobIDs)
	}
	b.MarkLate(ids)
	after, v := b.Choose(m, candidates(8), long(250_000), start)
	require.Equal(t, Admit, v)
	require.Less(t, after.Cost, before.Cost)
}

// Guards against herding: what a peer has placed counts like the own jobs, until the peer is silent for long.
func TestJobsOfPeersCount(t *testing.T) {
	m, b := model(), NewScheduler()
	b.SetPeerJobs("p#0", []Job{{Endpoint: KeyOf("e00"), PromptTokens: 300_000, Parts: 2, LatencyTarget: 3 * time.Second, PlacedAt: start}}, start)
	for range 10 {
		p, _ := b.Choose(m, candidates(2), Request{PromptTokens: 400, OutputTokens: 10, LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, TimeLeft: time.Second}, start)
		require.Equal(t, []string{"e01"}, p.Endpoints)
		b.Remove(p.JobIDs)
	}
	require.Greater(t, b.TimeToNextEvent(m, "e00", 1, start), time.Second)
	require.Zero(t, b.TimeToNextEvent(m, "e00", 1, start.Add(peerLife+time.Second)))
}

// Guards against overloading one endpoint of a plain service, and against sending to one that fails.
func TestPlainRequestsGoToTheLeastLoadedSoundEndpoint(t *testing.T) {
	b, count := NewScheduler(), map[string]int{}
	cands := candidates(3)
	cands[2].FailureRate = 0.9
	for range 6 {
		count[b.ChoosePlain(cands, start).Endpoints[0]]++
	}
	require.Equal(t, map[string]int{"e00": 3, "e01": 3}, count)
}

// Guards against jobs that stay on the board: after all have ended nothing is left.
func TestBoardIsEmptyAfterAllHaveEnded(t *testing.T) {
	b := NewScheduler()
	var all [][]uint64
	for i := range 50 {
		p, v := b.Choose(model(), candidates(23), long(50_000+i*1000), start.Add(time.Duration(i)*time.Second))
		if v == Admit {
			all = append(all, p.JobIDs)
		} else {
			b.Remove([]uint64{p.QueueJobID})
		}
	}
	require.NotEmpty(t, all)
	for _, ids := range all {
		b.MarkDecoding(ids)
		b.Remove(ids)
	}
	require.Empty(t, b.LocalJobs())
}
