package fleetsim

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/engine"
)

func testTiming() engine.TimingModel {
	return engine.TimingModel{
		Slots: 12, MemoryTokens: 267_750, TokensPerPass: 57, StepMs: 0.85, StepMsPerSequence: 0.00425, StepMsPer1KContext: 0.00285,
		PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184, PrefillChunkTokens: 2048, SplitsPrompts: true,
	}
}

func shortPrompts(rate float64) Workload {
	return Workload{
		Name: "short", RatePerSecond: rate, MeanPromptTokens: 4960, PromptLogStddev: 0.8, MaxPromptTokens: 23_800, MeanEvents: 32,
		LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, CallerTimeout: 10 * time.Second,
		Value: 1.3, LateValue: 0.33,
	}
}

func longPrompts(rate float64) Workload {
	return Workload{
		Name: "long", RatePerSecond: rate, MeanPromptTokens: 220_000, PromptLogStddev: 0.5, MaxPromptTokens: 700_000, MeanEvents: 16,
		LatencyTarget: 4 * time.Second, GapTarget: time.Second, CallerTimeout: 15 * time.Second,
		Value: 29, LateValue: 7.4,
	}
}

// manyGateways returns a fleet with many gateways and a burst of short prompts that uses four fifths of the slots.
func manyGateways(seed uint64) Config {
	return Config{
		Timing: testTiming(), Gateways: 37, Endpoints: 78, PeerViewDelay: 8 * time.Millisecond, Duration: 8 * time.Second,
		Workloads: []Workload{shortPrompts(315)}, Seed: seed,
	}
}

// Gateways must not all choose the same endpoint because they have the same outdated view of the load. In a burst on
// szucs-tomlo-grown, 47% of the requests went to an endpoint that another gateway had chosen less than 10 ms before, and
// two of five short answers were late.
func TestGatewaysDoNotChooseTheSameEndpointsInABurst(t *testing.T) {
	r := Run(manyGateways(1))
	require.Less(t, r.HerdedShare, 0.15)
	require.Greater(t, r.Outcomes["short"].InTimeShare(), 0.9)
}

// Simulations with the same configuration must give the same result.
func TestSimulationIsDeterministic(t *testing.T) {
	c := manyGateways(7)
	c.Gateways, c.Endpoints, c.Duration = 4, 12, 2*time.Second
	c.Workloads = []Workload{shortPrompts(40), longPrompts(1)}
	first, second := Run(c), Run(c)
	require.Equal(t, first, second)
	for _, o := range first.Outcomes {
		require.Positive(t, o.Requests)
		require.Equal(t, o.Requests, o.InTime+o.Late+o.Refused+o.Abandoned)
	}
}

// Long prompts must wait in a queue. Without an order, all of them take the same endpoints once these are free: in a burst
// of 1.1 times the prefill capacity, less than half of the long prompts were answered in time.
func TestLongPromptsAreQueuedInABurst(t *testing.T) {
	r := Run(longPromptBurst(12))
	require.Greater(t, r.Outcomes["long"].InTimeShare(), 0.65)
	require.Greater(t, r.Outcomes["mid"].InTimeShare(), 0.85)
	require.Greater(t, r.Outcomes["short"].InTimeShare(), 0.65)
}

// The queue must reject requests that it cannot serve in time. When it accepted all requests, in a burst of 1.5 times the
// prefill capacity, only 0.57 of the long prompts were answered in time, and a tenth of their value was lost by waiting in
// vain. The bound is nine tenths of the prefill capacity.
func TestBurstBeyondCapacityIsRejectedEarly(t *testing.T) {
	long := runLongPrompts(longPromptBurst(16))
	require.Greater(t, long.InTimeShare(), 0.9/1.5)
	require.Less(t, long.WaitingLoss/long.OfferedValue, 0.05)
}

// Short prompts must be served in time beside a burst of long ones beyond the prefill capacity. When a prediction just below a target counted
// as safe, 0.76 of them were, since each gateway filled endpoints up to the target that others were filling at the same moment. The bound
// is the share that users of such a fleet ask for.
func TestShortPromptsAreInTimeBesideABurstOfLongOnes(t *testing.T) {
	require.Greater(t, Run(longPromptBurst(16)).Outcomes["short"].InTimeShare(), 0.86)
}

// runLongPrompts simulates a load with four seeds and returns the sum of the outcomes of long prompts. A single simulation has
// about 130 of them, and their share in time varies by 0.04.
func runLongPrompts(c Config) Outcome {
	var sum Outcome
	for seed := range uint64(4) {
		c.Seed = seed + 1
		long := Run(c).Outcomes["long"]
		sum.Requests, sum.InTime = sum.Requests+long.Requests, sum.InTime+long.InTime
		sum.OfferedValue, sum.WaitingLoss = sum.OfferedValue+long.OfferedValue, sum.WaitingLoss+long.WaitingLoss
	}
	return sum
}

// longPromptBurst returns the fleet of manyGateways with a burst of long prompts at the given rate.
func longPromptBurst(rate float64) Config {
	c := manyGateways(1)
	midPrompts := Workload{
		Name: "mid", RatePerSecond: 10, MeanPromptTokens: 45_000, PromptLogStddev: 0.5, MaxPromptTokens: 110_000, MeanEvents: 19,
		LatencyTarget: 1500 * time.Millisecond, GapTarget: 600 * time.Millisecond, CallerTimeout: 10 * time.Second,
		Value: 3.5, LateValue: 0.88,
	}
	c.Workloads = []Workload{shortPrompts(50), midPrompts, longPrompts(rate)}
	return c
}

// Short answers must not stay spread over all endpoints after a burst. In trouble-1 on szucs-tomlo, 85 of them occupied 15
// of 17 endpoints, so that long prompts found no free endpoint although only a third of the slots was in use. In this
// simulation 0.39 of the long prompts were then answered in time. The bound is the lowest value of a day that users accept.
func TestEndpointsBecomeFreeAfterABurst(t *testing.T) {
	c := manyGateways(1)
	c.Endpoints, c.Duration = 58, 9500*time.Millisecond
	burstEnd := 2 * time.Second
	shortBurst, short, long := shortPrompts(400), shortPrompts(120), longPrompts(5)
	shortBurst.End, short.Start, long.Start = burstEnd, burstEnd, burstEnd
	c.Workloads = []Workload{shortBurst, short, long}
	sum := runLongPrompts(c)
	require.Greater(t, sum.InTimeShare(), 0.6)
}

// largeFleet returns half of a deployment with five failure domains, 103 gateways and 195 endpoints of ten slots, with the given
// multiples of its usual rates.
func largeFleet(short, mid, long float64) Config {
	timing := testTiming()
	timing.Slots, timing.MemoryTokens, timing.TokensPerPass = 10, 315_000, 80
	shortLoad, longLoad := shortPrompts(134*short), longPrompts(3.27*long)
	shortLoad.LatencyTarget, shortLoad.GapTarget, shortLoad.MeanEvents = 400*time.Millisecond, 300*time.Millisecond, 23.5
	longLoad.GapTarget, longLoad.MeanEvents = 1200*time.Millisecond, 12
	midLoad := Workload{
		Name: "mid", RatePerSecond: 9.9 * mid, MeanPromptTokens: 45_000, PromptLogStddev: 0.5, MaxPromptTokens: 110_000, MeanEvents: 14,
		LatencyTarget: 1500 * time.Millisecond, GapTarget: 800 * time.Millisecond, CallerTimeout: 10 * time.Second,
		Value: 3.1, LateValue: 0.78,
	}
	return Config{
		Timing: timing, Gateways: 52, Endpoints: 98, PeerViewDelay: 6 * time.Millisecond, Duration: 6 * time.Second,
		Workloads: []Workload{shortLoad, midLoad, longLoad}, Seed: 3,
	}
}

// earnedShare simulates a load with eight seeds and returns the value earned, as a share of the value offered. A single simulation
// has about 20 of the longest prompts, each of which is worth as much as 20 short ones.
func earnedShare(c Config) float64 {
	results := make([]Result, 8)
	var wait sync.WaitGroup
	for i := range results {
		seeded := c
		seeded.Seed = uint64(i) + 1
		wait.Go(func() { results[i] = Run(seeded) })
	}
	wait.Wait()
	offered, earned := 0.0, 0.0
	for _, r := range results {
		for _, o := range r.Outcomes {
			offered, earned = offered+o.OfferedValue, earned+o.EarnedValue
		}
	}
	return earned / offered
}

// Placing short prompts near their gateway must not serve callers worse than telling all gateways of each placement, also if one
// failure domain has two and a half times the traffic of the others and must spill. The bound is less than what users count as noise.
func TestCirclesServeAsWellAsOneExchange(t *testing.T) {
	const noise = 0.02
	for name, c := range map[string]Config{
		"long burst": largeFleet(0.35, 1.3, 2.8), "short burst": largeFleet(2.5, 0.5, 0.05), "even": largeFleet(1, 1, 1),
	} {
		all := earnedShare(c)
		c.Domains = 5
		near := earnedShare(c)
		require.Greater(t, near, all-noise, name)
		c.DomainTraffic = []float64{2.5, 1, 1, 1, 1}
		uneven := earnedShare(c)
		require.Greater(t, uneven, all-noise, "%s, uneven", name)
		t.Logf("%s: all gateways at once %.3f, circles %.3f, uneven traffic %.3f", name, all, near, uneven)
	}
}
