package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// crowdedFleet returns the candidates of a gateway in domain 0 of three domains, whose endpoints have the given numbers of free slots,
// and its scheduler.
func crowdedFleet(freeSlots ...int) (*Scheduler, []Candidate) {
	s := NewSeededScheduler(1)
	s.SetDomainOptions(DomainOptions{CostPerGigabyte: 2})
	var cands []Candidate
	for i := range 30 {
		domain := i % 3
		c := Candidate{ID: fmt.Sprintf("e%02d", i), Domain: fmt.Sprint(domain), SameFailureDomain: domain == 0, Near: domain == 0, Slowdown: 1}
		cands = append(cands, c)
		for range testTimingModel().Slots - freeSlots[domain] {
			s.Add(Job{Endpoint: KeyOf(c.ID), PromptTokens: 1000, Parts: 1, OutputTokens: 1000, GapTarget: 250 * time.Millisecond,
				PlacedAt: start, Decoding: true})
		}
	}
	return s, cands
}

// placedByDomain places short prompts one after the other and counts them by failure domain.
func placedByDomain(s *Scheduler, cands []Candidate, requests int) map[string]int {
	domains, placed := make(map[string]string), make(map[string]int)
	for _, c := range cands {
		domains[c.ID] = c.Domain
	}
	for range requests {
		p, decision := s.Choose(testTimingModel(), cands, shortRequest(1000), start)
		s.Remove(append(p.JobIDs, p.QueueJobID))
		if decision == Admit {
			placed[domains[p.Endpoints[0]]]++
		}
	}
	return placed
}

// A domain must not send its short prompts elsewhere while it has room, nor keep them when it has none.
func TestLeavingShareGrowsAsRoomVanishes(t *testing.T) {
	far := headroom{freeSlots: 300, endpoints: 30}
	last := 1.0
	for free := 0; free <= 100; free += 10 {
		share := leavingShare(headroom{freeSlots: float64(free), endpoints: 10}, far)
		require.LessOrEqual(t, share, last)
		last = share
	}
	require.Equal(t, 1.0, leavingShare(headroom{endpoints: 10}, far))
	require.Zero(t, leavingShare(headroom{freeSlots: 50, endpoints: 10}, far))
	require.Zero(t, leavingShare(headroom{endpoints: 10}, headroom{endpoints: 30}), "no room anywhere")
	require.Zero(t, leavingShare(headroom{endpoints: 10}, headroom{}))
	require.Equal(t, 1.0, leavingShare(headroom{}, headroom{endpoints: 30}), "no endpoint")
}

// Domains that are all short of room must not exchange their prompts: the views of the others are old, and fewer callers are served.
func TestDomainsWithoutRoomGetNoPrompts(t *testing.T) {
	s, cands := crowdedFleet(1, 1, 1)
	s.SetPeerJobs("far", nil, start.Add(-400*time.Millisecond))
	require.Equal(t, map[string]int{"0": 50}, placedByDomain(s, cands, 50))
}

// A share that varies around the point at which prompts begin to leave must not start and stop with each request.
func TestLeavingHasHysteresis(t *testing.T) {
	s := NewSeededScheduler(1)
	s.SetDomainOptions(DomainOptions{CostPerGigabyte: 2})
	shareWith := func(free float64) float64 {
		v := &surroundings{near: group{room: headroom{freeSlots: free, endpoints: 10}}, farRoom: headroom{freeSlots: 200, endpoints: 20}}
		return s.shareOf(v, shortRequest(1000))
	}
	require.Zero(t, shareWith(47), "below the share at which it begins")
	require.Positive(t, shareWith(40))
	require.Positive(t, shareWith(47), "still leaving")
	require.Zero(t, shareWith(50))
	require.Zero(t, shareWith(47))
}

// Prompts must not take a path on which they are late, and must return to it when the measurement is old.
func TestBadPathIsAvoidedUntilItsMeasurementExpires(t *testing.T) {
	s, cands := crowdedFleet(0, 10, 10)
	for i := range 50 { // every fifth connection loses its first segment
		s.ObservePath("1", time.Millisecond+time.Duration(i%5/4)*time.Second, start)
	}
	require.Equal(t, map[string]int{"2": 50}, placedByDomain(s, cands, 50))
	s.paths["1"] = path{delay: time.Second, measuredAt: start.Add(-pathTTL)}
	require.Positive(t, placedByDomain(s, cands, 50)["1"])
}

// A stated cost of bytes that exceeds the value of a request must keep it in its domain, unless this has no endpoint.
func TestCostOfBytesKeepsRequests(t *testing.T) {
	s, cands := crowdedFleet(1, 10, 10)
	require.Less(t, placedByDomain(s, cands, 50)["0"], 50)
	s.SetDomainOptions(DomainOptions{CostPerGigabyte: 1e6})
	require.Equal(t, 50, placedByDomain(s, cands, 50)["0"])
	require.Equal(t, "e00", s.ChoosePlain(cands[:2], start).Endpoints[0])
	require.Equal(t, FewerJobs, s.ChoosePlain(cands[1:2], start).Leaving)
	p, _ := s.Choose(testTimingModel(), cands[1:3], shortRequest(1000), start)
	require.Equal(t, NoEndpoint, p.Leaving)
}

// Short prompts must not leave their domain for cold endpoints, which would be slow or crash.
func TestColdEndpointsGetNoPromptsOfOtherDomains(t *testing.T) {
	s, cands := crowdedFleet(0, 10, 10)
	for i := range cands {
		cands[i].Cold = cands[i].Domain == "1"
	}
	require.Equal(t, map[string]int{"2": 50}, placedByDomain(s, cands, 50))
}
