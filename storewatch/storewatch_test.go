package storewatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fleet returns n gateways in the given number of failure domains, all of which reach the store.
func fleet(n, domains int) []Gateway {
	gateways := make([]Gateway, n)
	for i := range gateways {
		gateways[i] = Gateway{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains), StoreReachable: true}
	}
	return gateways
}

// viewOf returns the view of gateway i, which knows all others.
func viewOf(gateways []Gateway, i int) View {
	v := View{Self: gateways[i]}
	for j, g := range gateways {
		if j != i {
			v.Peers = append(v.Peers, g)
		}
	}
	return v
}

func watchers(gateways []Gateway) (names []string) {
	for i, g := range gateways {
		if (Policy{}).RoleOf(viewOf(gateways, i)) == Watcher {
			names = append(names, g.Name)
		}
	}
	return names
}

// The number of gateways that poll must not grow with the fleet. When all of them did, calls to the store were the largest cost of
// a day with 103 gateways.
func TestWatchersDoNotGrowWithTheFleet(t *testing.T) {
	for _, n := range []int{30, 103, 360} {
		require.Len(t, watchers(fleet(n, 5)), 5*DefaultWatchersPerDomain, "%d gateways", n)
	}
	require.Len(t, watchers(fleet(4, 3)), 4, "a small fleet")
}

// The loss of a failure domain, or of all watchers, must leave gateways that watch.
func TestWatchersAreReplaced(t *testing.T) {
	gateways := fleet(103, 5)
	lost := make(map[string]bool)
	for _, name := range watchers(gateways) {
		lost[name] = true
	}
	var rest []Gateway
	for _, g := range gateways {
		if !lost[g.Name] {
			rest = append(rest, g)
		}
	}
	require.Len(t, watchers(rest), 5*DefaultWatchersPerDomain)
}

// A store that refuses some gateways must still be watched in each failure domain that has another gateway.
func TestEachDomainHasAWatcherThatReachesTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		gateways := fleet(rapid.IntRange(9, 60).Draw(t, "gateways"), rapid.IntRange(1, 5).Draw(t, "domains"))
		reachable := make(map[string]int)
		for i := range gateways {
			gateways[i].StoreReachable = rapid.Bool().Draw(t, "reachable")
			if gateways[i].StoreReachable {
				reachable[gateways[i].FailureDomain]++
			}
		}
		watching := make(map[string]int)
		for i, g := range gateways {
			if g.StoreReachable && (Policy{}).RoleOf(viewOf(gateways, i)) == Watcher {
				watching[g.FailureDomain]++
			}
		}
		for domain, n := range reachable {
			require.GreaterOrEqual(t, watching[domain], min(n, DefaultWatchersPerDomain), domain)
		}
	})
}

// A follower must ask the store itself when no watcher has confirmed it for too long: watchers may be frozen or cut off. It must
// not ask all the time while the store answers nobody.
func TestFollowerAsksAfterSilenceOfAllWatchers(t *testing.T) {
	gateways := fleet(103, 5)
	watching := make(map[string]bool)
	for _, name := range watchers(gateways) {
		watching[name] = true
	}
	for i, g := range gateways {
		if watching[g.Name] {
			continue
		}
		v := viewOf(gateways, i)
		v.Confirmation, v.SinceAsked = DefaultMaxAge-time.Millisecond, time.Minute
		require.False(t, (Policy{}).ShouldAsk(v))
		v.Confirmation = DefaultMaxAge + time.Millisecond
		require.True(t, (Policy{}).ShouldAsk(v))
		v.SinceAsked = DefaultProbeInterval - time.Millisecond
		require.False(t, (Policy{}).ShouldAsk(v))
	}
}
