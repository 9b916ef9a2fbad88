package gatewayd

import (
	"testing"
	"time"
)

// requireThroughout checks the condition at all given gateways for some time.
func (f *testFleet) requireThroughout(d time.Duration, nodes []*testNode, what string, holds func(*daemon) bool) {
	f.t.Helper()
	for start := time.Now(); time.Since(start) < d; time.Sleep(50 * time.Millisecond) {
		f.requireEverywhere(0, nodes, what, holds)
	}
}

// restoredFleets are fleets in which all gateways ask the store, and in which most follow others.
var restoredFleets = map[string]struct{ gateways, domains int }{"all watch": {4, 3}, "most follow": {30, 3}}

func withRestoredFleets(t *testing.T, test func(f *testFleet)) {
	for name, size := range restoredFleets {
		t.Run(name, func(t *testing.T) { withFleet(t, size.gateways, size.domains, test) })
	}
}

// Changes must not be missed whose versions the store gives out for the second time, at gateways that notice no outage.
func TestVersionsGivenOutAgainHideNoChange(t *testing.T) {
	withRestoredFleets(t, func(f *testFleet) {
		copied := f.store.Copy()
		f.store.SetEndpoint("i5", testEndpoint(5))
		f.store.SetEndpoint("i6", testEndpoint(6))
		f.requireEverywhere(time.Second, f.all, "endpoint", uses("i6", true))
		time.Sleep(longPollTimeout)
		f.store.Restore(copied)
		f.store.SetEpoch(2)
		f.store.SetEndpoint("i0", drainingEndpoint(0))
		f.store.SetEndpoint("i5", testEndpoint(5))
		f.store.SetEndpoint("i6", testEndpoint(6))
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, f.all, "draining", uses("i0", false))
		f.requireThroughout(5*time.Second, f.all, "endpoint that was written again", uses("i6", true))
		f.store.RemoveEndpoint("i1")
		f.requireEverywhere(time.Second, f.all, "later removal", uses("i1", false))
	})
}
