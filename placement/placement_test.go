package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/engine"
)

// model returns the timing of an engine like those of the users' platform.
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

// Prefill time must include the pairs of tokens (attention), which are most of the work of a long prompt.
func TestReadGrowsWithPairs(t *testing.T) {
	m := model()
	require.InDelta(t, 3.13, m.PrefillTime(154_000, 1).Seconds(), 0.1)
	require.InDelta(t, m.PrefillTime(154_000, 1).Seconds()/16, m.PrefillTime(154_000, 16).Seconds(), 0.001)
	require.Zero(t, (*engine.TimingModel)(nil).PrefillTime(100, 1))
}

// A long prompt must not be processed by a single endpoint while others are idle.
func TestLongPromptIsSplitOnAnIdleFleet(t *testing.T) {
	p, v := NewScheduler().Choose(model(), candidates(23), long(154_000), start)
	require.Equal(t, Admit, v)
	require.Greater(t, len(p.Endpoints), 3)
	require.Less(t, p.PredictedLatency, 1500*time.Millisecond)
	require.Len(t, p.JobIDs, len(p.Endpoints))
}

// A plan must not list an endpoint twice.
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

// A plan must not use more memory than an endpoint has: the context of a prompt larger than one endpoint's memory is held
// by several endpoints, with reservations that add up to what it needs.
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

// A prompt that can never fit must not keep its caller waiting.
func TestPromptBeyondAllMemoryIsRefusedAtOnce(t *testing.T) {
	_, v := NewScheduler().Choose(model(), candidates(2), long(700_000), start)
	require.Equal(t, InsufficientMemory, v)
}

// A request must not run if its first event would come after the caller has given up.
func TestPromptThatComesTooLateIsRefused(t *testing.T) {
	r := long(600_000)
	r.TimeLeft = 500 * time.Millisecond
	_, v := NewScheduler().Choose(model(), candidates(23), r, start)
	require.Equal(t, TooLate, v)
}

// Short prompts must not be placed behind the prefill of long ones while other endpoints are free.
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

// No endpoint may get more streams than it has slots while another has free slots. In a burst of short prompts one
// endpoint had 24 streams while another had one (load test scale-2 on jamrandik-meet).
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

// Requests must not go to engines without a free slot: they wait until any endpoint has one.
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

// A long prompt must wait while its prefill would make others miss their targets, but not forever: if it still costs more
// than it is worth after the longest allowed wait, it is rejected.
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

// Streams that have already missed a target must not hold back long prompts: more delay costs them nothing.
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

// Jobs of a peer must count like local ones until the peer has been silent for too long. Otherwise gateways would all
// choose the same endpoints.
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

// Requests to plain services must be spread evenly, and must not go to an endpoint that fails.
func TestPlainRequestsGoToTheLeastLoadedSoundEndpoint(t *testing.T) {
	b, count := NewScheduler(), map[string]int{}
	cands := candidates(3)
	cands[2].FailureRate = 0.9
	for range 6 {
		count[b.ChoosePlain(cands, start).Endpoints[0]]++
	}
	require.Equal(t, map[string]int{"e00": 3, "e01": 3}, count)
}

// No job may remain after all requests have ended.
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
