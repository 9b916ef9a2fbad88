package route

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/wire"
)

// testPool returns a view and a pool of n available, idle endpoints. seed determines the random choices.
func testPool(n int, seed uint64) (*View, *Pool) {
	r := rand.New(rand.NewPCG(seed, seed))
	v := NewView(Options{IntN: r.IntN})
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("model-%03d", i)
		v.Observe(&wire.Load{Endpoint: names[i], Sequence: 1, PrefillRate: 1000, KvFree: 50_000, KvCapacity: 100_000})
		v.Endpoint(names[i]).SetAvailable(true, false)
	}
	return v, v.Pool(names)
}

// Guards against a policy that chooses an unavailable or an excluded endpoint.
func TestPoliciesSkipUnavailableAndExcluded(t *testing.T) {
	for _, name := range PolicyNames() {
		policy, err := NewPolicy(name)
		assert.NoError(t, err)
		assert.Equal(t, name, policy.Name())
		v, p := testPool(3, 1)
		v.Endpoint("model-000").SetAvailable(false, false)
		for i := range 50 {
			choice, ok := policy.Choose(p, &Request{Prefix: uint64(i + 1), Exclude: []*Endpoint{v.Endpoint("model-001")}})
			assert.True(t, ok, name)
			assert.Equal(t, "model-002", choice.Endpoint.Name, name)
		}
		_, ok := policy.Choose(v.Pool(nil), &Request{})
		assert.False(t, ok, name)
	}
	_, err := NewPolicy("guess")
	assert.Error(t, err)
}

// Guards against estimates that ignore the class, the cached prefix, the free memory, or the work dispatched since the
// last report.
func TestEstimate(t *testing.T) {
	v, _ := testPool(1, 1)
	e := v.Endpoint("model-000")
	v.Observe(&wire.Load{Endpoint: "model-000", Sequence: 2, PrefillRate: 1000, KvFree: 9000, KvCapacity: 100_000,
		QueuedPrefill: 6000, QueuedUrgent: 1000, QueuedInteractive: 2000})
	chat := &Request{Class: fleet.ClassInteractive, PromptTokens: 500, CachedTokens: 400}
	assert.Equal(t, 3500*time.Millisecond, estimateTTFT(e, chat, false))
	assert.Equal(t, 3100*time.Millisecond, estimateTTFT(e, chat, true))
	assert.Equal(t, 6500*time.Millisecond, estimateTTFT(e, &Request{Class: fleet.ClassBulk, PromptTokens: 500}, false))
	assert.Equal(t, 1500*time.Millisecond, estimateTTFT(e, &Request{Class: fleet.ClassUrgent, PromptTokens: 500}, false))
	done := e.RecordDispatch(fleet.ClassInteractive, 2000)
	assert.Equal(t, 5500*time.Millisecond, estimateTTFT(e, chat, false), "work dispatched since the report counts")
	v.Observe(&wire.Load{Endpoint: "model-000", Sequence: 1, PrefillRate: 1000})
	assert.Equal(t, 5500*time.Millisecond, estimateTTFT(e, chat, false), "an older report is ignored")
	done()
	v.Observe(&wire.Load{Endpoint: "model-000", Sequence: 3, PrefillRate: 1000, KvFree: 100, KvCapacity: 100_000})
	assert.Equal(t, 500*time.Millisecond+minMemoryPenalty, estimateTTFT(e, chat, false))
	assert.Equal(t, 10*time.Second+9900*time.Millisecond, estimateTTFT(e, &Request{PromptTokens: 10_000}, false), "missing memory is freed at the prefill rate")
	v.Observe(&wire.Load{Endpoint: "model-000", Sequence: 4, PrefillRate: 1000, KvFree: 9000, KvCapacity: 9000, QueuedPrefill: 4000})
	favor := &Request{Class: fleet.ClassInteractive, PromptTokens: 500, Favor: fleet.FavorSlowdown}
	assert.Greater(t, cost(e, favor, false), cost(e, chat, false), "slowdown counts the work that would be delayed")
}

// Guards against herding: entries with the same stale report must not all choose the same endpoint.
func TestLeastTTFTSpreadsAndPrefersIdle(t *testing.T) {
	v, p := testPool(100, 3)
	for i := range 50 {
		v.Observe(&wire.Load{Endpoint: fmt.Sprintf("model-%03d", i), Sequence: 2, PrefillRate: 1000, QueuedPrefill: 90_000,
			QueuedInteractive: 90_000, KvFree: 50_000, KvCapacity: 100_000})
	}
	busy, largest := 0, 0
	counts := make(map[string]int)
	for i := range 2000 {
		c, _ := leastTTFT{}.Choose(p, &Request{Class: fleet.ClassInteractive, PromptTokens: 100, Prefix: uint64(i+1) * 0x9e3779b97f4a7c15})
		counts[c.Endpoint.Name]++
		largest = max(largest, counts[c.Endpoint.Name])
		if c.Endpoint.Name < "model-050" {
			busy++
		}
	}
	assert.Less(t, busy, 2000/4, "three candidates are all busy in one case of eight")
	assert.Less(t, largest, 2000/10)
}

// Guards against many entries that choose the same endpoint because the same stale reports show it as the only idle one.
// It is among the three candidates in about 3 of n decisions, and among the two candidates of a confined request in about
// 2 of n.
func TestEntriesWithSameStaleReportsSpread(t *testing.T) {
	const endpoints, entries, decisions, deviation = 24, 360, 20, 0.0039 // standard deviation of a share of 3/24 over 7,200 decisions
	for _, confined := range []bool{false, true} {
		counts := make(map[string]int)
		for entry := range entries {
			v, p := testPool(endpoints, uint64(entry+1))
			for i := 1; i < endpoints; i++ {
				v.Observe(&wire.Load{Endpoint: fmt.Sprintf("model-%03d", i), Sequence: 2, PrefillRate: 1000,
					QueuedPrefill: 90_000, QueuedInteractive: 90_000, KvFree: 50_000, KvCapacity: 100_000})
			}
			for i := range decisions {
				key := uint64(entry*decisions+i+1) * 0x9e3779b97f4a7c15
				c, _ := leastTTFT{}.Choose(p, &Request{PromptTokens: 100, Prefix: key, Fingerprint: key * 31, Confined: confined})
				counts[c.Endpoint.Name]++
			}
		}
		candidates := 3.0
		if confined {
			candidates = maxConfinedEndpoints
		}
		for name, n := range counts {
			assert.LessOrEqual(t, float64(n)/(entries*decisions), candidates/endpoints+3*deviation, "%s, confined %t", name, confined)
		}
	}
}

// Guards against an entry that sends a whole burst to one endpoint because no new report arrives, and against endpoints
// without any report that get no work or all of it.
func TestStaleAndMissingReports(t *testing.T) {
	v, p := testPool(2, 5)
	for range 100 {
		c, _ := leastTTFT{}.Choose(p, &Request{PromptTokens: 100})
		c.Endpoint.RecordDispatch(fleet.ClassInteractive, 100)()
	}
	_, sent := v.Endpoint("model-000").Report()
	assert.InDelta(t, 5000, sent[1], 100, "endpoints with equal reports get equal work")

	v, _ = testPool(4, 6)
	names := []string{"model-000", "model-001", "model-002", "model-003", "new-1", "new-2", "new-3", "new-4"}
	p = v.Pool(names)
	for _, name := range names {
		v.Endpoint(name).SetAvailable(true, false)
	}
	for range 800 {
		c, ok := leastTTFT{}.Choose(p, &Request{PromptTokens: 1000})
		assert.True(t, ok)
		c.Endpoint.RecordDispatch(fleet.ClassInteractive, 1000)()
	}
	for _, name := range names {
		_, sent := v.Endpoint(name).Report()
		assert.Greater(t, sent[1], int64(0), name)
		assert.Less(t, sent[1], int64(400_000), name)
	}
}

// Guards against a configured prefill rate that replaces a reported one, and against estimates without either.
func TestConfiguredPrefillRateAppliesUntilFirstReport(t *testing.T) {
	v := NewView(Options{})
	e := v.Endpoint("model-1")
	r := &Request{PromptTokens: 20_000}
	assert.Equal(t, 2*time.Second, estimateTTFT(e, r, false), "default")
	e.SetDefaultPrefillRate(5000)
	assert.Equal(t, 4*time.Second, estimateTTFT(e, r, false))
	v.Observe(&wire.Load{Endpoint: "model-1", Sequence: 1, PrefillRate: 1000})
	e.SetDefaultPrefillRate(5000)
	assert.Equal(t, 20*time.Second, estimateTTFT(e, r, false))
}

// Guards against entries that together send an unproven prompt to more than two endpoints.
func TestConfinedRequestsReachTwoEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reached := make(map[string]bool)
		for entry := range 10 {
			v, p := testPool(770, uint64(entry))
			r := &Request{Prefix: 11, Fingerprint: 12, Confined: true}
			for name := range reached {
				v.Endpoint(name).SetAvailable(false, false) // has just crashed
			}
			for range 5 {
				if c, ok := (leastTTFT{}).Choose(p, r); ok {
					reached[c.Endpoint.Name] = true
					r.Exclude = append(r.Exclude, c.Endpoint)
				}
			}
		}
		assert.Len(t, reached, maxConfinedEndpoints)
		v, p := testPool(770, 1)
		for name := range reached {
			v.Endpoint(name).SetAvailable(false, false)
		}
		_, ok := leastTTFT{}.Choose(p, &Request{Prefix: 11, Fingerprint: 12, Confined: true})
		assert.False(t, ok, "recently failed endpoints are not replaced")
		time.Sleep(DownGracePeriod)
		_, ok = leastTTFT{}.Choose(p, &Request{Prefix: 11, Fingerprint: 12, Confined: true})
		assert.True(t, ok, "endpoints that stay down are replaced")
	})
}

// Guards against a third endpoint for an unproven prompt at an entry whose view differs from that of the others: the
// entry was restarted, or has already learned that an endpoint leaves.
func TestConfinedRequestsAgreeWithPartialViews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &Request{Prefix: 11, Fingerprint: 12, Confined: true}
		v, p := testPool(4, 1)
		expected, _ := p.allowedPair(r)
		for i, first := range expected.endpoints {
			v.Endpoint(first.Name).SetAvailable(false, true)
			got, _ := p.allowedPair(r)
			assert.Equal(t, expected.endpoints, got.endpoints, "endpoint %d leaves", i)
			v.Endpoint(first.Name).SetAvailable(false, false)
			got, _ = p.allowedPair(r)
			assert.Equal(t, expected.endpoints, got.endpoints, "endpoint %d fails after it left", i)
			v.Endpoint(first.Name).SetAvailable(true, false)

			restarted := NewView(Options{})
			var names []string
			for _, e := range p.endpoints {
				names = append(names, e.Name)
				if e != first {
					restarted.Endpoint(e.Name).SetAvailable(true, false)
				}
			}
			restarted.Endpoint(first.Name).SetAvailable(false, i == 0)
			got, _ = restarted.Pool(names).allowedPair(r)
			assert.Equal(t, []string{expected.endpoints[0].Name, expected.endpoints[1].Name}, []string{got.endpoints[0].Name, got.endpoints[1].Name}, "endpoint %d is down or leaving when the entry first learns of it", i)
		}
		for _, e := range expected.endpoints {
			e.SetAvailable(false, true)
		}
		_, ok := leastTTFT{}.Choose(p, r)
		assert.True(t, ok, "requests do not wait for endpoints that left as planned")
	})
}

// Guards against allocations per choice that grow with the number of endpoints.
func TestChooseDoesNotAllocate(t *testing.T) {
	_, p := testPool(770, 1)
	r := &Request{Prefix: 5, PromptTokens: 1000}
	allocs := testing.AllocsPerRun(100, func() { leastTTFT{}.Choose(p, r) })
	assert.LessOrEqual(t, allocs, 1.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, name := range PolicyNames() {
		for _, confined := range []bool{false, true} {
			b.Run(fmt.Sprintf("%s/confined=%t", name, confined), func(b *testing.B) {
				policy, _ := NewPolicy(name)
				_, p := testPool(770, 1)
				r := &Request{Class: fleet.ClassInteractive, PromptTokens: 4000, Confined: confined, Fingerprint: 9}
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					r.Prefix = uint64(i) + 1
					if c, ok := policy.Choose(p, r); ok {
						c.Endpoint.RecordDispatch(r.Class, r.PromptTokens)()
					}
				}
			})
		}
	}
}

// Guards against a third endpoint for a prompt at an entry that has just started and has not heard of all endpoints yet.
func TestEntryThatStartedSelectsThePairOfOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const settleTime, prompts = 10 * time.Second, 50
		names := []string{"a", "b", "c", "d"}
		informed, started := NewView(Options{}), NewView(Options{SettleTime: settleTime})
		for _, name := range names {
			informed.Endpoint(name).SetAvailable(true, false)
		}
		started.Endpoint("a").SetAvailable(true, false)
		chosen := 0
		for fingerprint := range uint64(prompts) {
			r := &Request{Fingerprint: fingerprint, Confined: true}
			pair, _ := informed.Pool(names).allowedPair(r)
			_, ok := leastTTFT{}.Choose(started.Pool(names), r)
			assert.Equal(t, pair.contains(informed.Endpoint("a")), ok, "fingerprint %d", fingerprint)
			if ok {
				chosen++
			}
		}
		assert.Positive(t, chosen)
		assert.Less(t, chosen, prompts)
		time.Sleep(settleTime)
		for fingerprint := range uint64(prompts) {
			_, ok := leastTTFT{}.Choose(started.Pool(names), &Request{Fingerprint: fingerprint, Confined: true})
			assert.True(t, ok, "fingerprint %d after the settle time", fingerprint)
		}
	})
}

// Guards against a third endpoint for a prompt whose two endpoints have left by plan, and one of which is back before all entries know that
// the prompt crashes endpoints.
func TestPromptGetsOneEndpointInsteadOfTwoThatLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		_, pool := testPool(6, 1)
		r := &Request{Fingerprint: 7, Confined: true}
		first, _ := pool.allowedPair(r)
		assert.Equal(t, 2, first.count)
		for _, e := range first.endpoints {
			e.SetAvailable(false, true)
		}
		replacement, _ := pool.allowedPair(r)
		assert.Equal(t, 1, replacement.count)
		assert.False(t, first.contains(replacement.endpoints[0]))
		first.endpoints[1].SetAvailable(true, false)
		returned, _ := pool.allowedPair(r)
		assert.Equal(t, first, returned)
	})
}
