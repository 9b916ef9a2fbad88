package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// fakeClock is a clock that a test advances.
type fakeClock struct{ t time.Time }

func (f *fakeClock) now() time.Time          { return f.t }
func (f *fakeClock) advance(d time.Duration) { f.t = f.t.Add(d) }

func newTestRegistry(endpointIDs ...string) (*Registry, *fakeClock) {
	clock := &fakeClock{t: time.Unix(1_700_000_000, 0)}
	r := New(clock.now)
	for _, id := range endpointIDs {
		r.Upsert(Entry{ID: id, Service: "s", Addr: "10.0.0.1:1"})
	}
	return r, clock
}

func usableIDs(r *Registry) []string {
	var ids []string
	for _, e := range r.Usable("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

// Removed endpoints must get no more requests while the store responds. Three removals at once were once mistaken for a
// store outage.
func TestRemovedEndpointsAreDroppedAtOnceWhileTheStoreResponds(t *testing.T) {
	r, _ := newTestRegistry("a", "b", "c", "d")
	r.Remove(0, "a", "b", "c")
	require.Equal(t, []string{"d"}, usableIDs(r))
}

// Live endpoints whose entries expired in a store outage must stay in use until the grace period after it has passed.
func TestExpiredEntriesStayInUseUntilTheGracePeriodEnds(t *testing.T) {
	r, clock := newTestRegistry("a", "b")
	r.MarkStoreDown()
	r.Remove(0, "a")
	clock.advance(time.Minute)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	r.MarkStoreUp()
	clock.advance(2 * time.Second)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	clock.advance(300 * time.Millisecond)
	require.Equal(t, []string{"b"}, usableIDs(r))
}

// The grace period must start at the end of the outage, not at a removal that is received later. Otherwise requests reach
// an endpoint more than two seconds after it has left (seen in trouble-1 on szucs-tomlo, seed 717405878498).
func TestGracePeriodStartsAtTheEndOfTheOutage(t *testing.T) {
	r, clock := newTestRegistry("a", "b")
	r.MarkStoreDown()
	clock.advance(5 * time.Second)
	r.MarkStoreUp()
	clock.advance(850 * time.Millisecond)
	r.Remove(0, "a")
	clock.advance(1400 * time.Millisecond)
	require.Equal(t, []string{"b"}, usableIDs(r))
}

// The end of one outage may be reported by several tables. The later reports must not restart the grace period.
func TestSecondReportOfStoreUpDoesNotExtendTheGracePeriod(t *testing.T) {
	r, clock := newTestRegistry("a")
	r.MarkStoreDown()
	r.Remove(0, "a")
	r.MarkStoreUp()
	clock.advance(2 * time.Second)
	r.MarkStoreUp()
	clock.advance(time.Second)
	require.Empty(t, usableIDs(r))
}

// An endpoint that left during a partial outage must be dropped if a peer that reaches the store does not list it.
func TestPeerListRemovesEndpointsDuringAnOutage(t *testing.T) {
	r, _ := newTestRegistry("a", "b")
	r.MarkStoreDown()
	r.ApplyDelta(Delta{Stable: true, Entries: []Entry{{ID: "b", Service: "s", Addr: "10.0.0.1:1"}}})
	require.Equal(t, []string{"b"}, usableIDs(r))
}

// A late entry must not make an endpoint usable again that shuts down.
func TestDrainingIsFinalUntilARestart(t *testing.T) {
	r, _ := newTestRegistry()
	entry := Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Born: 5}
	r.Upsert(entry)
	draining := entry
	draining.Draining = true
	require.True(t, r.Upsert(draining))
	require.False(t, r.Upsert(entry))
	require.Empty(t, usableIDs(r))
	entry.Born = 6
	require.True(t, r.Upsert(entry))
	require.Equal(t, []string{"a"}, usableIDs(r))
}

// An entry from before a restart of an endpoint that kept its ID must be ignored.
func TestEntriesFromBeforeARestartAreIgnored(t *testing.T) {
	r, _ := newTestRegistry()
	r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Born: 6})
	require.False(t, r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.9:1", Born: 5, Draining: true}))
	require.Equal(t, []string{"a"}, usableIDs(r))
}

// An endpoint that does not accept connections must be avoided, unless that would leave none.
func TestUnreachableEndpointsAreAvoidedUnlessAllAre(t *testing.T) {
	r, clock := newTestRegistry("a", "b")
	endpoint := r.Usable("s")[0]
	require.True(t, r.ReportOutcome(endpoint, Unreachable))
	require.Equal(t, []string{"b"}, usableIDs(r))
	r.ReportOutcome(r.Usable("s")[0], Unreachable)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	clock.advance(minAvoidance)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	r.ReportOutcome(endpoint, Unreachable)
	clock.advance(minAvoidance)
	require.Equal(t, []string{"b"}, usableIDs(r), "the time of avoidance doubles")
	r.ReportOutcome(endpoint, Succeeded)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
}

// A request must not be sent to an endpoint that has left since it was chosen.
func TestStillUsableReflectsChanges(t *testing.T) {
	r, _ := newTestRegistry("a")
	endpoint := r.Usable("s")[0]
	require.True(t, r.StillUsable(endpoint))
	r.ReportOutcome(endpoint, ShuttingDown)
	require.False(t, r.StillUsable(endpoint))
	r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.2:1", Born: 1})
	require.False(t, r.StillUsable(endpoint), "the endpoint has restarted")
}

// The failure rate must fall after an endpoint has recovered.
func TestFailureRateFollowsOutcomes(t *testing.T) {
	r, _ := newTestRegistry("a")
	endpoint := r.Usable("s")[0]
	for range 20 {
		r.ReportOutcome(endpoint, Failed)
	}
	rate, _ := r.Health(endpoint)
	require.Greater(t, rate, 0.9)
	for range 20 {
		r.ReportOutcome(endpoint, Succeeded)
	}
	rate, _ = r.Health(endpoint)
	require.Less(t, rate, 0.1)
}

// An older list from a peer must not undo a removal. In trouble-1 on szucs-tomlo-grown, a gateway received the removal of
// an endpoint from the store and then the list of a peer that had not, and still sent requests there 3.7 s later.
func TestOlderListOfAPeerIsIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := New(func() time.Time { return now })
	entries := []Entry{{ID: "a", Service: "s", Addr: "10.0.0.1:1"}, {ID: "b", Service: "s", Addr: "10.0.0.2:1"}}
	fromPeer := func(version int64, wantChanged int, wantApplied bool) {
		t.Helper()
		changed, applied := r.ApplyDelta(Delta{Version: version, Stable: true, Entries: entries})
		require.Equal(t, wantChanged, changed)
		require.Equal(t, wantApplied, applied)
	}
	r.ApplyVersion(7, func() { r.Replace(entries, 7) })
	r.MarkStoreDown()
	fromPeer(8, 0, true)
	r.ApplyVersion(9, func() {
		r.Remove(9, "b")
		fromPeer(8, 0, false)
		require.EqualValues(t, 8, r.Version(), "peers learn the version only after the changes are complete")
	})
	r.MarkStoreUp()
	fromPeer(8, 0, false)
	now = now.Add(outageWindow)
	require.Len(t, r.Usable("s"), 1)
	require.EqualValues(t, 9, r.Version())
	fromPeer(10, 1, true) // listed again since
	require.Len(t, r.Usable("s"), 2)
}

// The endpoints of an evacuated failure domain must get nothing from the moment at which SetEvacuated returns, and all of it again
// afterwards.
func TestEndpointsOfEvacuatedDomainsAreNotUsed(t *testing.T) {
	r, _ := newTestRegistry()
	for i, zone := range []string{"north", "north", "south"} {
		r.Upsert(Entry{ID: string(rune('a' + i)), Service: "s", Addr: "10.0.0.1:1", Zone: zone})
	}
	chosen := r.Usable("s")[0]
	r.SetEvacuated([]string{"north"})
	require.Equal(t, []string{"c"}, usableIDs(r))
	require.False(t, r.StillUsable(chosen), "an endpoint that was chosen before")
	require.Equal(t, 3, r.CountUsable(), "the gateway stays ready")
	r.SetEvacuated([]string{"south", "north"})
	require.Empty(t, usableIDs(r))
	r.SetEvacuated(nil)
	require.Equal(t, []string{"a", "b", "c"}, usableIDs(r))
}

// Endpoints that may have started since they were last seen must count as cold for the time that their service states.
func TestEndpointsThatMayHaveStartedCountAsCold(t *testing.T) {
	const coldStart = 3 * time.Second
	events := map[string]func(r *Registry, e *Endpoint){
		"listed again": func(r *Registry, _ *Endpoint) {
			r.Remove(5, "a")
			r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Version: 6})
		},
		"evacuation":  func(r *Registry, _ *Endpoint) { r.SetEvacuated([]string{"z"}); r.SetEvacuated(nil) },
		"unreachable": func(r *Registry, e *Endpoint) { r.ReportOutcome(e, Unreachable) },
		"states it":   func(r *Registry, e *Endpoint) { r.ObserveCold(e, time.Second) },
		"row states it": func(r *Registry, _ *Endpoint) {
			r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Version: 2, ColdFor: time.Second})
		},
		"other instance": func(r *Registry, _ *Endpoint) {
			r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Born: 1, Version: 2})
		},
	}
	for name, event := range events {
		t.Run(name, func(t *testing.T) {
			r, clock := newTestRegistry()
			r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Zone: "z", Version: 1})
			require.True(t, r.MayBeCold(r.Usable("s")[0], coldStart), "seen for the first time")
			clock.advance(coldStart)
			require.False(t, r.MayBeCold(r.Usable("s")[0], coldStart))
			event(r, r.Usable("s")[0])
			require.True(t, r.MayBeCold(r.Usable("s")[0], coldStart))
			clock.advance(coldStart + maxAvoidance)
			require.False(t, r.MayBeCold(r.Usable("s")[0], coldStart))
		})
	}
}

// A gateway that the store has turned away alone or for a moment must not take removals for entries that expired in an outage, nor pass them on
// as such, however often its state changed in between and whenever it last heard that others were served.
func TestStoreThatServedOthersHasNotBeenAway(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r, clock := newTestRegistry("a", "b")
		follower, _ := newTestRegistry("a", "b")
		follower.now = clock.now
		clock.advance(time.Minute)
		r.ApplyVersion(1, func() {})
		follower.ApplyVersion(1, func() {})
		others := time.Duration(rapid.IntRange(10, 900).Draw(rt, "interval of the others' responses in ms")) * time.Millisecond
		own := time.Duration(rapid.IntRange(10, 400).Draw(rt, "interval of the own failures in ms")) * time.Millisecond
		refusedFor := time.Duration(rapid.IntRange(10, 5000).Draw(rt, "refused for ms")) * time.Millisecond
		removedAfter := time.Duration(rapid.IntRange(0, int(refusedFor/time.Millisecond)).Draw(rt, "removed after ms")) * time.Millisecond
		r.MarkStoreUp()
		started, nextOwn, nextOthers, removed := clock.now(), clock.now(), clock.now().Add(others), false
		for clock.now().Sub(started) < refusedFor {
			if !clock.now().Before(nextOwn) {
				r.MarkStoreDown()
				nextOwn = clock.now().Add(own)
			}
			if !clock.now().Before(nextOthers) {
				r.ObserveStoreUp(clock.now(), time.Time{})
				nextOthers = clock.now().Add(others)
			}
			if !removed && clock.now().Sub(started) >= removedAfter && rapid.Bool().Draw(rt, "known from a peer") {
				removed = true
				r.ApplyVersion(2, func() { r.Remove(2, "a") })
			}
			clock.advance(10 * time.Millisecond)
		}
		r.MarkStoreUp()
		if !removed {
			r.ApplyVersion(2, func() { r.Remove(2, "a") })
		}
		follower.ApplyDelta(r.DeltaSince(1))
		for name, at := range map[string]*Registry{"the gateway": r, "its follower": follower} {
			if ids := usableIDs(at); len(ids) != 1 {
				rt.Fatalf("%s uses %v", name, ids)
			}
		}
	})
}

// An entry whose grace period is over must not be used again in a later outage.
func TestGracePeriodEndsForGood(t *testing.T) {
	r, clock := newTestRegistry("a", "b")
	clock.advance(time.Minute)
	r.MarkStoreDown()
	r.Remove(0, "a")
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	clock.advance(time.Second)
	r.MarkStoreUp()
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	clock.advance(outageGracePeriod)
	require.Equal(t, []string{"b"}, usableIDs(r))
	r.MarkStoreDown()
	require.Equal(t, []string{"b"}, usableIDs(r))
	clock.advance(time.Second)
	r.MarkStoreUp()
	require.Equal(t, []string{"b"}, usableIDs(r))
}
