package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// candidatesInDomains returns n candidates, of which those in the first of the given number of failure domains are near.
func candidatesInDomains(n, domains int) []Candidate {
	cands := make([]Candidate, n)
	for i := range cands {
		near := i%domains == 0
		cands[i] = Candidate{ID: fmt.Sprintf("e%03d", i), SameFailureDomain: near, Near: near, Slowdown: 1}
	}
	return cands
}

func isNear(cands []Candidate, id string) bool {
	for _, c := range cands {
		if c.ID == id {
			return c.Near
		}
	}
	return false
}

// Short prompts must be placed near their gateway while there is room: only the gateways there know of them at once.
func TestShortPromptsArePlacedNear(t *testing.T) {
	s, cands := NewSeededScheduler(1), candidatesInDomains(40, 4)
	for i := range 60 {
		p, decision := s.Choose(testTimingModel(), cands, shortRequest(4000), start.Add(time.Duration(i)*20*time.Millisecond))
		require.Equal(t, Admit, decision)
		require.True(t, isNear(cands, p.Endpoints[0]))
	}
}

// A failure domain whose endpoints are full, blocked or gone must use those of others.
func TestShortPromptsSpillIntoOtherDomains(t *testing.T) {
	cands := candidatesInDomains(40, 4)
	fill := func(j Job) *Scheduler {
		s := NewSeededScheduler(1)
		for _, c := range cands {
			if c.Near {
				for range testTimingModel().Slots {
					j.Endpoint = KeyOf(c.ID)
					s.Add(j)
				}
			}
		}
		return s
	}
	full := Job{PromptTokens: 1000, Parts: 1, OutputTokens: 1000, GapTarget: 250 * time.Millisecond, PlacedAt: start, Decoding: true}
	blocked := Job{PromptTokens: 300_000, Parts: 1, LatencyTarget: 3 * time.Second, GapTarget: time.Second, PlacedAt: start}
	for name, s := range map[string]*Scheduler{"full": fill(full), "blocked": fill(blocked)} {
		for range 10 {
			p, decision := s.Choose(testTimingModel(), cands, shortRequest(1000), start)
			require.Equal(t, Admit, decision, name)
			require.False(t, isNear(cands, p.Endpoints[0]), name)
		}
	}
	var far []Candidate
	for _, c := range cands {
		if !c.Near {
			far = append(far, c)
		}
	}
	_, decision := NewSeededScheduler(1).Choose(testTimingModel(), far, shortRequest(1000), start)
	require.Equal(t, Admit, decision, "no endpoint is near")
}

// Long prompts must use the endpoints of all failure domains.
func TestLongPromptsAreSplitOverDomains(t *testing.T) {
	cands := candidatesInDomains(40, 4)
	p, decision := NewSeededScheduler(1).Choose(testTimingModel(), cands, longRequest(400_000), start)
	require.Equal(t, Admit, decision)
	far := 0
	for _, id := range p.Endpoints {
		if !isNear(cands, id) {
			far++
		}
	}
	require.Positive(t, far)
}

// Each change must be reported in its scope: a change that is taken for one of the near scope never reaches far gateways in time.
func TestChangesAreReportedByScope(t *testing.T) {
	s := NewSeededScheduler(1)
	short, _ := s.Choose(testTimingModel(), candidates(4), shortRequest(4000), start)
	require.Equal(t, Near, s.TakeChanged())
	long, _ := s.Choose(testTimingModel(), candidates(4), longRequest(60_000), start)
	require.Equal(t, Fleetwide, s.TakeChanged())
	require.Zero(t, s.TakeChanged())
	require.Len(t, s.LocalJobsIn(Near), len(short.JobIDs))
	require.Len(t, s.LocalJobsIn(Fleetwide), len(long.JobIDs))
	s.MarkDecoding(short.JobIDs)
	s.Remove(long.JobIDs)
	require.Equal(t, Near|Fleetwide, s.TakeChanged())
}

// BenchmarkChoose measures a decision at the size of a fleet with 195 endpoints and 1,000 jobs.
func BenchmarkChoose(b *testing.B) {
	rng := rand.New(rand.NewPCG(1, 1))
	s, cands := NewSeededScheduler(1), candidatesInDomains(195, 5)
	for g := range 102 {
		var jobs []Job
		for range 10 {
			jobs = append(jobs, Job{Endpoint: KeyOf(cands[rng.IntN(195)].ID), PromptTokens: 5000, Parts: 1, OutputTokens: 800,
				MemoryTokens: 6000, LatencyTarget: 400 * time.Millisecond, GapTarget: 300 * time.Millisecond,
				PlacedAt: start.Add(-time.Duration(rng.IntN(2000)) * time.Millisecond), Decoding: rng.IntN(3) > 0})
		}
		s.SetPeerJobs(fmt.Sprint(g), jobs, start)
	}
	for name, r := range map[string]Request{"short": shortRequest(4000), "long": longRequest(220_000)} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				p, _ := s.Choose(testTimingModel(), cands, r, start)
				s.Remove(append(p.JobIDs, p.QueueJobID))
			}
		})
	}
}
