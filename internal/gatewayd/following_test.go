package gatewayd

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/engine"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// Bounds of the platforms that the fleet serves: the shortest times in which a change must be in force and a leaving endpoint
// must get no more requests, for gateways whose connections have been sound throughout.
const (
	configBound = 3 * time.Second
	drainBound  = 3 * time.Second
)

// withFleet runs a test in virtual time on a fleet that has started and found itself.
func withFleet(t *testing.T, gateways, domains int, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(t, gateways, domains)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.requireEverywhere(time.Second, f.all, "start", uses("i0", true))
		test(f)
	})
}

func without(all, excluded []*testNode) (rest []*testNode) {
	for _, n := range all {
		if !slices.Contains(excluded, n) {
			rest = append(rest, n)
		}
	}
	return rest
}

// Changes must reach gateways that do not ask the store, and the calls must not grow with the fleet.
func TestChangesReachFollowers(t *testing.T) {
	withFleet(t, 60, 5, func(f *testFleet) {
		require.Len(t, f.watchers(), 10)
		f.store.SetEpoch(2)
		f.store.SetEndpoint("i0", drainingEndpoint(0))
		f.store.RemoveEndpoint("i1")
		f.requireEverywhere(time.Second, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(time.Second, f.all, "draining", uses("i0", false))
		f.requireEverywhere(time.Second, f.all, "removal", uses("i1", false))
		before := f.store.TotalCalls()
		time.Sleep(20 * time.Second)
		require.Less(t, f.store.TotalCalls()-before, 10*2*20, "two tables, ten watchers, a call a second")
		for _, n := range f.all {
			require.True(t, n.daemon.stateSync.configCurrent(), n.name)
		}
	})
}

// Watchers that are cut off from the store without an error must not keep a change from gateways that reach the store.
func TestChangeWhileAllWatchersAreCutOff(t *testing.T) {
	withFleet(t, 22, 3, func(f *testFleet) {
		watching := f.watchers()
		f.store.SetMode(platformtest.Silent, names(watching)...)
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		f.requireEverywhere(configBound, without(f.all, watching), "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, without(f.all, watching), "removal", uses("i0", false))
	})
}

// Watchers that freeze must be replaced, and must not bring back what has changed when they wake.
func TestFrozenWatchersWakeWithOldRows(t *testing.T) {
	withFleet(t, 22, 3, func(f *testFleet) {
		watching := f.watchers()
		f.setFrozen(true, watching...)
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		rest := without(f.all, watching)
		f.requireEverywhere(configBound, rest, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, rest, "removal", uses("i0", false))
		time.Sleep(5 * time.Second)
		f.setFrozen(false, watching...)
		for range 40 {
			time.Sleep(50 * time.Millisecond)
			f.requireEverywhere(0, rest, "configuration", hasEpoch(2))
			f.requireEverywhere(0, rest, "removal", uses("i0", false))
		}
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, f.all, "removal", uses("i0", false))
	})
}

// The loss of a failure domain, and of half of the others at once, must not keep a change from those that are left.
func TestLossOfADomainWithItsWatchers(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		var lost []*testNode
		for i, n := range f.all {
			if n.domain == "domain-0" || i%2 == 0 {
				lost = append(lost, n)
			}
		}
		for _, n := range lost {
			n.kill()
		}
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		rest := without(f.all, lost)
		f.requireEverywhere(configBound, rest, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, rest, "removal", uses("i0", false))
		for _, n := range lost {
			n.start()
		}
		f.requireEverywhere(2*time.Second, f.all, "configuration after the return", hasEpoch(2))
		f.requireEverywhere(2*time.Second, f.all, "removal after the return", uses("i0", false))
	})
}

// A store that refuses some gateways, watchers among them, must not keep a change from any gateway: the others pass it on.
func TestStoreRefusesSomeGateways(t *testing.T) {
	for name, mode := range map[string]platformtest.StoreMode{"refuses": platformtest.Refuses, "silent": platformtest.Silent} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 30, 3, func(f *testFleet) {
				refused := append(f.watchers()[:3], f.all[:9]...)
				f.store.SetMode(mode, names(refused)...)
				time.Sleep(time.Second)
				f.store.SetEpoch(2)
				f.store.RemoveEndpoint("i0")
				f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(2))
				f.requireEverywhere(drainBound, f.all, "removal", uses("i0", false))
				time.Sleep(5 * time.Second)
				f.store.RemoveEndpoint("i1")
				f.requireEverywhere(time.Second, f.all, "removal by relays", uses("i1", false))
			})
		})
	}
}

// Entries that expire in an outage must stay in use at every gateway until the store has been back for two seconds, and the
// outage must not cost calls of the whole fleet all the time.
func TestOutageOfTheStore(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		before := f.store.TotalCalls()
		f.store.SetMode(platformtest.Refuses, names(f.all)...)
		time.Sleep(4 * time.Second)
		f.store.RemoveEndpoint("i0")
		f.store.RemoveEndpoint("i1")
		time.Sleep(2 * time.Second)
		require.Less(t, f.store.TotalCalls()-before, 30*2*6, "one call a second and table")
		f.store.SetMode(platformtest.Serves, names(f.all)...)
		for range 15 {
			time.Sleep(100 * time.Millisecond)
			f.requireEverywhere(0, f.all, "entry that expired", uses("i0", true))
		}
		f.store.SetEndpoint("i0", testEndpoint(0))
		f.requireEverywhere(drainBound, f.all, "entry that is gone", uses("i1", false))
		f.requireEverywhere(0, f.all, "entry that came back", uses("i0", true))
	})
}

// A gateway that starts while the store is away must get its state from the others.
func TestStartWhileTheStoreIsAway(t *testing.T) {
	withFleet(t, 22, 3, func(f *testFleet) {
		f.store.SetEpoch(2)
		time.Sleep(time.Second)
		f.store.SetMode(platformtest.Refuses, names(f.all)...)
		time.Sleep(time.Second)
		restarted := f.all[:5]
		for _, n := range restarted {
			n.kill()
			n.start()
		}
		f.requireEverywhere(2*time.Second, restarted, "configuration", hasEpoch(2))
		f.requireEverywhere(2*time.Second, restarted, "endpoints", uses("i0", true))
	})
}

// All gateways at once must start from the store alone.
func TestRestartOfAllGateways(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		for _, n := range f.all {
			n.kill()
		}
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		for _, n := range f.all {
			n.start()
		}
		f.requireEverywhere(time.Second, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(time.Second, f.all, "removal", uses("i0", false))
	})
}

// Followers that are cut off from all watchers, and reach the store, must not miss a change.
func TestWatchersCutOffFromFollowers(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		watching := f.watchers()
		f.setCut(func(a, b *testNode) bool { return slices.Contains(watching, a) != slices.Contains(watching, b) })
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, f.all, "removal", uses("i0", false))
		f.setCut(nil)
		time.Sleep(10 * time.Second)
		require.Len(t, f.watchers(), 3*2, "the fleet has found itself again")
	})
}

// A rolling restart of all gateways, with changes all the while, must lose none of them and bring nothing back.
func TestRollingRestartOfAllGateways(t *testing.T) {
	withFleet(t, 22, 3, func(f *testFleet) {
		for i, n := range f.all {
			n.kill()
			f.store.SetEpoch(int64(i + 2))
			if i < 3 {
				f.store.RemoveEndpoint(fmt.Sprintf("i%d", i))
			}
			time.Sleep(500 * time.Millisecond)
			n.start()
			f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(int64(i+2)))
			f.requireEverywhere(drainBound, f.all, "removal", uses(fmt.Sprintf("i%d", min(i, 2)), false))
		}
	})
}

// Many gateways that are killed at once while the store refuses a third, and silently, must get their state from the others.
func TestKilledGatewaysWhileTheStoreRefusesSome(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		f.store.SetMode(platformtest.Silent, names(f.all[:10])...)
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		time.Sleep(500 * time.Millisecond)
		for i, n := range f.all {
			if i%2 == 0 {
				n.kill()
				n.start()
			}
		}
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, f.all, "removal", uses("i0", false))
		f.store.RemoveEndpoint("i1")
		f.requireEverywhere(drainBound, f.all, "second removal", uses("i1", false))
		f.requireEverywhere(0, f.all, "endpoints that stay", uses("i2", true))
	})
}

// Gateways of other circles must soon know of the short prompts at an endpoint, since they place parts of long prompts there. They heard of
// them with the next keep-alive only, up to half a second later, and parts of long prompts delayed streams that had begun meanwhile.
func TestOtherCirclesKnowShortPromptsSoon(t *testing.T) {
	const delay = 60 * time.Millisecond // for a small fleet; prefill of a long part takes longer
	model := &engine.TimingModel{Slots: 12, MemoryTokens: 200_000, TokensPerPass: 50, StepMs: 1, PrefillTokensPerMs: 200}
	withFleet(t, 11, 3, func(f *testFleet) {
		for range 20 {
			time.Sleep(137 * time.Millisecond) // at different times since the last keep-alive
			id := f.all[0].daemon.scheduler.Add(placement.Job{Endpoint: placement.KeyOf("i0"), PromptTokens: 50_000, Parts: 1, OutputTokens: 500,
				LatencyTarget: 300 * time.Millisecond, GapTarget: 250 * time.Millisecond, PlacedAt: time.Now()})
			knows := func(d *daemon) bool { return d.scheduler.TimeToNextEvent(model, "i0", 1, time.Now()) > 0 }
			f.requireEverywhere(delay, f.all, "short prompt", knows)
			f.all[0].daemon.scheduler.Remove([]uint64{id})
			f.requireEverywhere(delay, f.all, "its end", func(d *daemon) bool { return !knows(d) })
		}
	})
}

// Gateways that the store turns away from their start on must hear of all others, also of each other and of those that are no seeds: what a circle
// shares, such as the limits of endpoints, is shared by all of it.
func TestGatewaysWithoutTheStoreFindAllOthers(t *testing.T) {
	withFleet(t, 6, 2, func(f *testFleet) {
		f.requireEverywhere(contactBound, f.all, "peers", hears(len(f.all)-1))
		seeds := f.all[:3]
		var added []*testNode
		for i := range 2 {
			n := &testNode{fleet: f, name: fmt.Sprint("added-", i), domain: "domain-0", addr: fmt.Sprintf("10.1.0.%d:7680", 1+i), seeds: seeds}
			added = append(added, n)
		}
		f.store.SetMode(platformtest.Refuses, names(added)...)
		for _, n := range added {
			f.all = append(f.all, n)
			n.start()
		}
		f.requireEverywhere(contactBound, f.all, "peers", hears(len(f.all)-1))
	})
}

// hears reports whether a gateway hears of a number of others.
func hears(others int) func(*daemon) bool {
	return func(d *daemon) bool { return len(d.exchange.LivePeers()) == others }
}
