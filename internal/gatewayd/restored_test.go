package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
	"github.com/bilberrylink/bilberrylink/quarantine"
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
		time.Sleep(configPollTimeout)
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

// Lower versions than those known must not be taken for old ones after the store has come back, also at gateways that follow others.
func TestChangesAfterARestoreAreNotTakenForOldOnes(t *testing.T) {
	withRestoredFleets(t, func(f *testFleet) {
		copied := f.store.Copy()
		for range 20 {
			f.store.SetEndpoint("i0", testEndpoint(0))
		}
		time.Sleep(configPollTimeout)
		f.restore(copied, 2*time.Second)
		f.store.SetEndpoint("i0", drainingEndpoint(0))
		f.store.RemoveEndpoint("i1")
		f.store.SetEpoch(2)
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, f.all, "draining", uses("i0", false))
		f.requireEverywhere(drainBound, f.all, "removal", uses("i1", false))
	})
}

// restore lets the store come back from a copy after it has been away for a time; 0: it was not away.
func (f *testFleet) restore(c platformtest.Copy, away time.Duration) {
	if away > 0 {
		f.store.SetMode(platformtest.Refuses)
		time.Sleep(away)
	}
	f.store.Restore(c)
	f.store.SetMode(platformtest.Serves)
}

// withRestore runs a test once with an outage before the return of the store and once without, at each kind of fleet.
func withRestore(t *testing.T, test func(f *testFleet, away time.Duration)) {
	for name, away := range map[string]time.Duration{"after an outage": 2 * time.Second, "unnoticed": 0} {
		t.Run(name, func(t *testing.T) { withRestoredFleets(t, func(f *testFleet) { test(f, away) }) })
	}
}

// An endpoint that has left must not be used again because a copy lists it, and must be when it registers again.
func TestCopyBringsBackNoEndpointThatHasLeft(t *testing.T) {
	withRestore(t, func(f *testFleet, away time.Duration) {
		copied := f.store.Copy()
		f.store.SetEndpoint("i1", drainingEndpoint(1))
		f.store.RemoveEndpoint("i0")
		f.requireEverywhere(time.Second, f.all, "removal", uses("i0", false))
		time.Sleep(configPollTimeout)
		f.restore(copied, away)
		f.requireThroughout(5*time.Second, f.all, "removed endpoint", uses("i0", false))
		f.requireEverywhere(0, f.all, "draining endpoint", uses("i1", false))
		f.store.RemoveEndpoint("i1")
		f.store.SetEndpoint("i0", testEndpoint(0))
		f.requireEverywhere(time.Second, f.all, "endpoint that registered again", uses("i0", true))
		f.requireEverywhere(0, f.all, "draining endpoint", uses("i1", false))
	})
}

// An endpoint whose entry the copy lacks must stay in use while it has time to write it again, and not for longer.
func TestEntriesThatTheCopyLacksStayInUseForAWhile(t *testing.T) {
	withRestore(t, func(f *testFleet, away time.Duration) {
		copied := f.store.Copy()
		f.store.SetEndpoint("i8", testEndpoint(8))
		f.store.SetEndpoint("i9", testEndpoint(9))
		f.requireEverywhere(time.Second, f.all, "registration", uses("i9", true))
		f.restore(copied, away)
		f.requireThroughout(1800*time.Millisecond, f.all, "endpoint that the copy lacks", uses("i9", true))
		f.store.SetEndpoint("i8", testEndpoint(8))
		f.requireEverywhere(configPollTimeout+drainBound, f.all, "endpoint that is gone", uses("i9", false))
		f.requireThroughout(5*time.Second, f.all, "endpoint that was written again", uses("i8", true))
	})
}

// A configuration from the copy must not replace a newer one, with keys that have been withdrawn since, nor one that a gateway gets from
// peers when it starts.
func TestCopyBringsBackNoConfiguration(t *testing.T) {
	withRestore(t, func(f *testFleet, away time.Duration) {
		copied := f.store.Copy()
		f.store.SetEpoch(2)
		f.requireEverywhere(time.Second, f.all, "configuration", hasEpoch(2))
		f.restore(copied, away)
		f.requireThroughout(2*time.Second, f.all, "configuration", hasEpoch(2))
		f.all[0].kill()
		f.all[0].start()
		f.requireEverywhere(time.Second, f.all, "configuration of a gateway that starts", hasEpoch(2))
		f.store.SetEpoch(3)
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(3))
	})
}

// Gateways that the store refuses while it comes back must learn of the changes from the others, and a gateway that was frozen all the while
// must not bring anything back.
func TestRestoreThatSomeGatewaysDoNotSee(t *testing.T) {
	withRestoredFleets(t, func(f *testFleet) {
		copied := f.store.Copy()
		f.store.SetEndpoint("i5", testEndpoint(5))
		f.store.RemoveEndpoint("i0")
		f.requireEverywhere(time.Second, f.all, "removal", uses("i0", false))
		f.store.SetMode(platformtest.Silent, f.all[0].name)
		f.setFrozen(true, f.all[1])
		f.restore(copied, 0)
		f.store.SetEpoch(2)
		f.store.SetEndpoint("i1", drainingEndpoint(1))
		f.store.SetEndpoint("i5", testEndpoint(5))
		awake := without(f.all, f.all[1:2])
		f.requireEverywhere(configBound, awake, "configuration", hasEpoch(2))
		f.requireEverywhere(drainBound, awake, "draining", uses("i1", false))
		f.requireEverywhere(0, awake, "removed endpoint", uses("i0", false))
		f.store.RemoveEndpoint("i0")
		f.setFrozen(false, f.all[1])
		f.requireThroughout(time.Second, awake, "draining", uses("i1", false))
		f.requireEverywhere(configBound, f.all, "configuration of the one that was frozen", hasEpoch(2))
		f.requireEverywhere(drainBound, f.all, "draining at the one that was frozen", uses("i1", false))
		f.store.SetMode(platformtest.Serves, f.all[0].name)
		f.requireThroughout(5*time.Second, f.all, "removed endpoint", uses("i0", false))
		f.requireEverywhere(0, f.all, "endpoint that was written again", uses("i5", true))
	})
}

// Two restores in a row must lose nothing, also if the second copy is older than the first.
func TestRestoreAfterRestore(t *testing.T) {
	withRestoredFleets(t, func(f *testFleet) {
		older := f.store.Copy()
		f.store.SetEndpoint("i5", testEndpoint(5))
		newer := f.store.Copy()
		f.store.SetEpoch(2)
		f.store.RemoveEndpoint("i0")
		f.requireEverywhere(time.Second, f.all, "removal", uses("i0", false))
		f.restore(newer, time.Second)
		time.Sleep(500 * time.Millisecond)
		f.store.SetEpoch(2)
		f.restore(older, time.Second)
		f.store.SetEpoch(3)
		f.store.SetEndpoint("i1", drainingEndpoint(1))
		f.requireEverywhere(configBound, f.all, "configuration", hasEpoch(3))
		f.requireEverywhere(drainBound, f.all, "draining", uses("i1", false))
		f.requireThroughout(5*time.Second, f.all, "removed endpoint", uses("i0", false))
	})
}

// The address of a gateway that started since the copy must be in the list of gateways again, so that later ones find it.
func TestAddressThatTheCopyLacksIsListedAgain(t *testing.T) {
	withRestore(t, func(f *testFleet, away time.Duration) {
		f.store.RemoveKey(platformtest.TablePeers, f.all[0].name)
		f.store.RemoveKey(platformtest.TablePeers, f.all[3].name)
		copied := f.store.Copy()
		f.restore(copied, away)
		f.store.SetEndpoint("i0", testEndpoint(0))
		time.Sleep(configPollTimeout + 2*peerListRetryDelay)
		require.Len(f.t, f.store.Keys(platformtest.TablePeers), len(f.all))
	})
}

// What is blocked must be in the store again after the copy has lost it, so that it outlasts a restart of all gateways, and what is
// harmless must not stay there.
func TestBlockedPartThatTheCopyLacksIsStoredAgain(t *testing.T) {
	withRestore(t, func(f *testFleet, away time.Duration) {
		empty := f.store.Copy()
		for i := range 5 {
			crashAt(f.all[i%4], i)
		}
		f.requireEverywhere(time.Second, f.all, "part", blocks("bad"))
		time.Sleep(configPollTimeout)
		require.NotEmpty(f.t, f.store.Keys(platformtest.TableBlocked))
		blocked := f.store.Copy()
		f.restore(empty, away)
		f.store.SetEndpoint("i0", testEndpoint(0))
		time.Sleep(configPollTimeout + maxRereadDelay + time.Second)
		require.NotEmpty(f.t, f.store.Keys(platformtest.TableBlocked))
		f.restartAll()
		f.requireEverywhere(contactBound, f.all, "part after a restart of all gateways", blocks("bad"))

		f.all[0].daemon.quarantine.RecordProgress([]quarantine.Subject{quarantine.PartSubject("bad")}, quarantine.Complete)
		time.Sleep(time.Second)
		require.Empty(f.t, f.store.Keys(platformtest.TableBlocked))
		f.restore(blocked, away)
		f.store.SetEndpoint("i0", testEndpoint(0))
		time.Sleep(configPollTimeout + maxRereadDelay + time.Second)
		require.Empty(f.t, f.store.Keys(platformtest.TableBlocked), "the part has made progress since")
		require.False(f.t, blocks("bad")(f.all[1].daemon))
	})
}

func (f *testFleet) restartAll() {
	for _, n := range f.all {
		n.kill()
	}
	for _, n := range f.all {
		n.start()
	}
}
