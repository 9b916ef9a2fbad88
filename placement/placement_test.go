package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/engine"
)

// testTimingModel returns the timing of an engine like those of the users' platform.
func testTimingModel() *engine.TimingModel {
	return &engine.TimingModel{
		Slots: 16, MemoryTokens: 315_000, TokensPerPass: 51, StepMs: 0.85, StepMsPerSequence: 0.00425, StepMsPer1KContext: 0.00285,
		PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184, PrefillChunkTokens: 2048, SplitsPrompts: true,
	}
}

func candidates(n int) []Candidate {
	cands := make([]Candidate, n)
	for i := range cands {
		cands[i] = Candidate{ID: fmt.Sprintf("e%02d", i), SameFailureDomain: true, Near: true, Slowdown: 1}
	}
	return cands
}

var start = time.Unix(1_700_000_000, 0)

func shortRequest(tokens int) Request {
	return Request{
		PromptTokens: tokens, OutputTokens: 1600, LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond,
		TimeLeft: 2 * time.Second,
	}
}

func longRequest(tokens int) Request {
	return Request{
		PromptTokens: tokens, OutputTokens: 800, LatencyTarget: 3 * time.Second, GapTarget: time.Second, TimeLeft: 12 * time.Second,
	}
}

// Prefill time must include the pairs of tokens (attention), which are most of the work of a long prompt.
func TestPrefillTimeGrowsWithTokenPairs(t *testing.T) {
	m := testTimingModel()
	require.InDelta(t, 3.13, m.PrefillTime(154_000, 1).Seconds(), 0.1)
	require.InDelta(t, m.PrefillTime(154_000, 1).Seconds()/16, m.PrefillTime(154_000, 16).Seconds(), 0.001)
	require.Zero(t, (*engine.TimingModel)(nil).PrefillTime(100, 1))
}

// A long prompt must not be processed by a single endpoint while others are idle.
func TestLongPromptIsSplitOnAnIdleFleet(t *testing.T) {
	p, decision := NewScheduler().Choose(testTimingModel(), candidates(23), longRequest(154_000), start)
	require.Equal(t, Admit, decision)
	require.Greater(t, len(p.Endpoints), 3)
	require.Less(t, p.PredictedLatency, 1500*time.Millisecond)
	require.Len(t, p.JobIDs, len(p.Endpoints))
}

// A plan must not list an endpoint twice.
func TestPlanListsEachEndpointOnce(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	s := NewScheduler()
	for i := range 500 {
		p, decision := s.Choose(testTimingModel(), candidates(1+rng.IntN(20)), longRequest(1+rng.IntN(600_000)),
			start.Add(time.Duration(i)*20*time.Millisecond))
		if decision != Admit {
			s.Remove([]uint64{p.QueueJobID})
			continue
		}
		seen := map[string]bool{}
		for _, e := range p.Endpoints {
			require.False(t, seen[e])
			seen[e] = true
		}
		if rng.IntN(2) == 0 {
			s.Remove(p.JobIDs)
		}
	}
}

// A plan must not use more memory than an endpoint has: the context of a prompt larger than one endpoint's memory is held
// by several endpoints, with reservations that add up to what it needs.
func TestHugePromptReservesMemoryAtSeveralEndpoints(t *testing.T) {
	m := testTimingModel()
	p, decision := NewScheduler().Choose(m, candidates(23), longRequest(700_000), start)
	require.Equal(t, Admit, decision)
	sum := 0
	for _, tokens := range p.ReserveTokens {
		require.LessOrEqual(t, tokens, m.MemoryTokens)
		sum += tokens
	}
	require.Equal(t, 700_800, sum)
}

// A prompt that can never fit must not keep its caller waiting.
func TestPromptBeyondAllMemoryIsRejectedAtOnce(t *testing.T) {
	_, decision := NewScheduler().Choose(testTimingModel(), candidates(2), longRequest(700_000), start)
	require.Equal(t, InsufficientMemory, decision)
}

// A request must not run if its first event would come after the caller has given up.
func TestRequestThatWouldBeTooLateIsRejected(t *testing.T) {
	r := longRequest(600_000)
	r.TimeLeft = 500 * time.Millisecond
	_, decision := NewScheduler().Choose(testTimingModel(), candidates(23), r, start)
	require.Equal(t, TooLate, decision)
}

// Short prompts must not be placed behind the prefill of long ones while other endpoints are free.
func TestShortPromptAvoidsBlockedEndpoints(t *testing.T) {
	s := NewScheduler()
	blocked := map[string]bool{}
	for _, id := range []string{"e00", "e01", "e02", "e03"} {
		s.Add(Job{
			Endpoint: KeyOf(id), PromptTokens: 400_000, Parts: 4, OutputTokens: 0, LatencyTarget: 3 * time.Second, PlacedAt: start,
		})
		blocked[id] = true
	}
	for range 20 {
		p, decision := s.Choose(testTimingModel(), candidates(8), shortRequest(5000), start)
		require.Equal(t, Admit, decision)
		for _, e := range p.Endpoints {
			require.False(t, blocked[e], "%v", p.Endpoints)
		}
	}
}

// No endpoint may get more streams than it has slots while another has free slots. In a burst of short prompts one
// endpoint had 24 streams while another had one (load test scale-2 on jamrandik-meet).
func TestBurstOfShortPromptsFillsAllSlots(t *testing.T) {
	m, s, count := testTimingModel(), NewScheduler(), map[string]int{}
	cands := candidates(8)
	for i := range 8 * m.Slots {
		p, decision := s.Choose(m, cands, shortRequest(3000), start.Add(time.Duration(i)*12*time.Millisecond))
		require.Equal(t, Admit, decision)
		count[p.Endpoints[0]]++
		s.MarkDecoding(p.JobIDs)
	}
	for _, c := range cands {
		require.Equal(t, m.Slots, count[c.ID], "%v", count)
	}
}

// Requests must not go to engines without a free slot: they wait until any endpoint has one.
func TestShortPromptWaitsWhileAllSlotsAreTaken(t *testing.T) {
	m, s := testTimingModel(), NewScheduler()
	var ids []uint64
	for range 2 * m.Slots {
		for _, id := range []string{"e00", "e01"} {
			if len(ids) < 2*m.Slots {
				ids = append(ids, s.Add(Job{
					Endpoint: KeyOf(id), PromptTokens: 100, Parts: 1, OutputTokens: 1000, MemoryTokens: 1000,
					GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true,
				}))
			}
		}
	}
	_, decision := s.Choose(m, candidates(2), shortRequest(2000), start)
	require.Equal(t, Wait, decision)
	s.Remove(ids[:1])
	_, decision = s.Choose(m, candidates(2), shortRequest(2000), start)
	require.Equal(t, Admit, decision)
	late := shortRequest(2000)
	late.Waited = 1800 * time.Millisecond
	_, decision = s.Choose(m, candidates(2), late, start)
	require.Equal(t, TooCostly, decision)
}

// A long prompt must wait while its prefill would make others miss their targets, but not forever: if it still costs more
// than it is worth after the longest allowed wait, it is rejected.
func TestLongPromptWaitsForAnswersWithTightGapTargets(t *testing.T) {
	m, s := testTimingModel(), NewScheduler()
	for i := range 4 {
		for range 14 {
			s.Add(Job{Endpoint: KeyOf(fmt.Sprintf("e%02d", i)), PromptTokens: 5000, Parts: 1, OutputTokens: 1000, MemoryTokens: 6000,
				LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true})
		}
	}
	r := longRequest(150_000)
	_, decision := s.Choose(m, candidates(4), r, start)
	require.Equal(t, Wait, decision)
	r.Waited, r.TimeLeft = 9*time.Second, 3*time.Second
	_, decision = s.Choose(m, candidates(4), r, start)
	require.Equal(t, TooCostly, decision)
}

// Streams that have already missed a target must not hold back long prompts: more delay costs them nothing.
func TestLateAnswersDoNotDelayLongPrompts(t *testing.T) {
	m, s := testTimingModel(), NewScheduler()
	var ids []uint64
	for i := range 8 {
		ids = append(ids, s.Add(Job{
			Endpoint: KeyOf(fmt.Sprintf("e%02d", i)), PromptTokens: 5000, Parts: 1, OutputTokens: 1000, MemoryTokens: 6000,
			LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true,
		}))
	}
	before, decision := s.Choose(m, candidates(8), longRequest(250_000), start)
	if decision == Admit {
		s.Remove(before.JobIDs)
	}
	s.MarkLate(ids)
	after, decision := s.Choose(m, candidates(8), longRequest(250_000), start)
	require.Equal(t, Admit, decision)
	require.Less(t, after.Cost, before.Cost)
}

// Jobs of a peer must count like local ones until the peer has been silent for too long. Otherwise gateways would all
// choose the same endpoints.
func TestPeerJobsCountAsLoad(t *testing.T) {
	m, s := testTimingModel(), NewScheduler()
	s.SetPeerJobs("p#0", []Job{
		{Endpoint: KeyOf("e00"), PromptTokens: 300_000, Parts: 2, LatencyTarget: 3 * time.Second, PlacedAt: start},
	}, start)
	for range 10 {
		p, _ := s.Choose(m, candidates(2), Request{
			PromptTokens: 400, OutputTokens: 10, LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond,
			TimeLeft: time.Second,
		}, start)
		require.Equal(t, []string{"e01"}, p.Endpoints)
		s.Remove(p.JobIDs)
	}
	require.Greater(t, s.TimeToNextEvent(m, "e00", 1, start), time.Second)
	require.Zero(t, s.TimeToNextEvent(m, "e00", 1, start.Add(peerJobsTTL+time.Second)))
}

// Requests to plain services must be spread evenly, and must not go to an endpoint that fails.
func TestPlainRequestsGoToTheLeastLoadedHealthyEndpoint(t *testing.T) {
	s, count := NewScheduler(), map[string]int{}
	cands := candidates(3)
	cands[2].FailureRate = 0.9
	for range 6 {
		count[s.ChoosePlain(cands, start).Endpoints[0]]++
	}
	require.Equal(t, map[string]int{"e00": 3, "e01": 3}, count)
}

// No job may remain after all requests have ended.
func TestNoJobsRemainAfterAllRequestsEnd(t *testing.T) {
	s := NewScheduler()
	var all [][]uint64
	for i := range 50 {
		p, decision := s.Choose(testTimingModel(), candidates(23), longRequest(50_000+i*1000), start.Add(time.Duration(i)*time.Second))
		if decision == Admit {
			all = append(all, p.JobIDs)
		} else {
			s.Remove([]uint64{p.QueueJobID})
		}
	}
	require.NotEmpty(t, all)
	for _, ids := range all {
		s.MarkDecoding(ids)
		s.Remove(ids)
	}
	require.Empty(t, s.LocalJobs())
}

// An endpoint that accepts no request itself must not become the primary endpoint, and its help must still be used.
func TestHelpersThatAcceptNoRequest(t *testing.T) {
	for _, tokens := range []int{2000, 5000, 150_000} {
		helped := 0
		for seed := range uint64(20) {
			s := NewSeededScheduler(seed)
			var all []Candidate
			for i := range 12 {
				all = append(all, Candidate{ID: string(rune('a' + i)), Near: i%2 == 0, HelperOnly: i != 3})
			}
			r := Request{PromptTokens: tokens, OutputTokens: 100, LatencyTarget: 3 * time.Second, GapTarget: time.Second, TimeLeft: 9 * time.Second}
			if tokens <= 5000 {
				r.LatencyTarget, r.GapTarget = 300*time.Millisecond, 250*time.Millisecond
			}
			p, decision := s.Choose(testTimingModel(), all, r, start)
			require.Equal(t, Admit, decision)
			require.Equal(t, "d", p.Endpoints[0])
			helped += len(p.Endpoints) - 1
			for i := range all {
				all[i].HelperOnly = true
			}
			_, decision = s.Choose(testTimingModel(), all, r, start)
			require.NotEqual(t, Admit, decision)
		}
		if tokens > 5000 {
			require.Positive(t, helped)
		}
	}
}
