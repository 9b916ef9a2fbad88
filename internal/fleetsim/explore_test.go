package fleetsim

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

func largeTiming() engine.TimingModel {
	t := testTiming()
	t.Slots, t.MemoryTokens, t.TokensPerPass = 10, 315_000, 80
	return t
}

func largeLoad(short, mid, long, scale float64) []Workload {
	s := Workload{Name: "short", RatePerSecond: 269 * short * scale, MeanPromptTokens: 4960, PromptLogStddev: 0.8, MaxPromptTokens: 23_800, MeanEvents: 23.5,
		LatencyTarget: 400 * time.Millisecond, GapTarget: 300 * time.Millisecond, CallerTimeout: 10 * time.Second, Value: 1.3, LateValue: 0.33}
	m := Workload{Name: "mid", RatePerSecond: 19.8 * mid * scale, MeanPromptTokens: 45_000, PromptLogStddev: 0.5, MaxPromptTokens: 110_000, MeanEvents: 14,
		LatencyTarget: 1500 * time.Millisecond, GapTarget: 800 * time.Millisecond, CallerTimeout: 10 * time.Second, Value: 3.1, LateValue: 0.78}
	l := Workload{Name: "long", RatePerSecond: 6.54 * long * scale, MeanPromptTokens: 220_000, PromptLogStddev: 0.5, MaxPromptTokens: 700_000, MeanEvents: 12,
		LatencyTarget: 4 * time.Second, GapTarget: 1200 * time.Millisecond, CallerTimeout: 15 * time.Second, Value: 26, LateValue: 6.5}
	return []Workload{s, m, l}
}

func show(name string, c Config) {
	r := Run(c)
	offered, earned := 0.0, 0.0
	for _, o := range r.Outcomes {
		offered += o.OfferedValue
		earned += o.EarnedValue
	}
	fmt.Printf("%-28s all %.3f herd %.2f", name, earned/offered, r.HerdedShare)
	for _, n := range []string{"short", "mid", "long"} {
		o := r.Outcomes[n]
		fmt.Printf(" | %s %.3f (late %.2f ref %.2f ab %.2f)", n, o.EarnedValue/o.OfferedValue, float64(o.Late)/float64(o.Requests), float64(o.Refused)/float64(o.Requests), float64(o.Abandoned)/float64(o.Requests))
	}
	fmt.Println()
}

func TestExplore(t *testing.T) {
	if os.Getenv("EXPLORE") == "" {
		t.Skip()
	}
	for _, load := range []struct {
		name string
		s, m, l float64
	}{{"long burst", 0.35, 1.3, 2.8}, {"short burst", 2.5, 0.5, 0.05}, {"even", 1, 1, 1}} {
		for _, d := range []int{0, 5} {
			c := Config{Timing: largeTiming(), Gateways: 103, Endpoints: 195, PeerViewDelay: 6 * time.Millisecond, Duration: 8 * time.Second,
				Workloads: largeLoad(load.s, load.m, load.l, 1), Seed: 3, Domains: d}
			if d > 0 {
				c.DomainTraffic = []float64{2.5, 1, 1, 1, 1}
			}
			show(fmt.Sprintf("uneven %s domains %d", load.name, d), c)
		}
	}
	for _, load := range []struct {
		name string
		s, m, l float64
	}{{"long burst", 0.35, 1.3, 2.8}, {"short burst", 2.5, 0.5, 0.05}, {"even", 1, 1, 1}} {
		for _, d := range []int{0, 3} {
			c := Config{Timing: testTiming(), Gateways: 22, Endpoints: 54, PeerViewDelay: 6 * time.Millisecond, Duration: 8 * time.Second,
				Workloads: largeLoad(load.s, load.m, load.l, 54.0/195), Seed: 3, Domains: d}
			show(fmt.Sprintf("22 gateways %s domains %d", load.name, d), c)
		}
	}
}
