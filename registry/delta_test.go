package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func entry(id string, version int64) Entry {
	return Entry{ID: id, Service: "s", Addr: "10.0.0.1:1", Version: version}
}

// A follower must drop an endpoint that a peer has seen leave, and an old list must not add it again.
func TestDeltaCarriesRemovals(t *testing.T) {
	source, _ := newTestRegistry()
	source.ApplyVersion(5, func() { source.Replace([]Entry{entry("a", 3), entry("b", 4)}, 5) })
	follower, _ := newTestRegistry()
	first := source.DeltaSince(0)
	_, applied := follower.ApplyDelta(first)
	require.True(t, applied)
	require.Equal(t, []string{"a", "b"}, usableIDs(follower))
	source.ApplyVersion(7, func() { source.Remove(7, "a") })
	d := source.DeltaSince(follower.Version())
	require.Empty(t, d.Entries, "unchanged entries are not sent")
	changed, applied := follower.ApplyDelta(d)
	require.True(t, applied)
	require.Equal(t, 1, changed)
	require.Equal(t, []string{"b"}, usableIDs(follower))
	_, applied = follower.ApplyDelta(first)
	require.False(t, applied)
	require.False(t, follower.Upsert(entry("a", 3)))
	require.Equal(t, []string{"b"}, usableIDs(follower))
}

// A removal that is no longer remembered must reach a follower that missed it: it gets the whole list.
func TestForgottenRemovalsLeadToAWholeList(t *testing.T) {
	source, clock := newTestRegistry()
	source.ApplyVersion(5, func() { source.Replace([]Entry{entry("a", 3), entry("b", 4)}, 5) })
	follower, _ := newTestRegistry()
	follower.ApplyDelta(source.DeltaSince(0))
	source.ApplyVersion(7, func() { source.Remove(7, "a") })
	clock.advance(2 * tombstoneTTL)
	require.Equal(t, []string{"b"}, usableIDs(source))
	d := source.DeltaSince(follower.Version())
	require.Zero(t, d.Since)
	follower.ApplyDelta(d)
	require.Equal(t, []string{"b"}, usableIDs(follower))
}

// The store may refuse one gateway only. Its endpoints that leave meanwhile must not be kept as if their entries had expired.
func TestStoreThatRefusesOneGatewayIsNoOutage(t *testing.T) {
	r, clock := newTestRegistry("a", "b")
	r.MarkStoreDown()
	r.Remove(0, "a")
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	downAt := clock.now()
	clock.advance(400 * time.Millisecond)
	r.ObserveStoreUp(downAt, time.Time{})
	require.Equal(t, []string{"a", "b"}, usableIDs(r), "a confirmation from before the failure proves nothing")
	r.ObserveStoreUp(clock.now(), time.Time{})
	require.Equal(t, []string{"b"}, usableIDs(r))
}

// The end of a real outage may be learned from a peer first. The grace period must then start at the end of the outage.
func TestOutageThatPeersSawEnd(t *testing.T) {
	r, clock := newTestRegistry("a", "b")
	r.MarkStoreDown()
	r.Remove(0, "a")
	clock.advance(5 * time.Second)
	endedAt := clock.now()
	clock.advance(500 * time.Millisecond)
	r.ObserveStoreUp(clock.now(), endedAt)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
	clock.advance(outageGracePeriod - 500*time.Millisecond)
	require.Equal(t, []string{"b"}, usableIDs(r))
}

// No sequence of lists from the store and from peers, in any order and with any delay, may bring back an endpoint that a gateway
// knows to have left, or let its version fall.
func TestListsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		registries := make([]*Registry, gateways)
		leftAt := make([]map[string]int64, gateways) // by gateway: store version at which it learned that an endpoint had left
		clock := &fakeClock{t: time.Unix(1_700_000_000, 0)}
		for i := range registries {
			registries[i], leftAt[i] = New(clock.now), make(map[string]int64)
		}
		store, version := make(map[string]int64), int64(1) // live entries and their versions
		var inFlight []Delta
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.advance(10 * time.Millisecond)
			g := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			r, id := registries[g], fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint"))
			before := r.Version()
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // an entry is written or removed
				version++
				if _, listed := store[id]; listed {
					delete(store, id)
				} else {
					store[id] = version
				}
			case 1: // a gateway reads the table
				var entries []Entry
				for id, v := range store {
					entries = append(entries, entry(id, v))
				}
				r.ApplyVersion(version, func() { r.Replace(entries, version) })
			case 2: // a peer answers a gateway
				peer := registries[rapid.IntRange(0, gateways-1).Draw(t, "peer")]
				inFlight = append(inFlight, peer.DeltaSince(before))
			case 3: // an answer arrives, possibly late and at another gateway
				if len(inFlight) > 0 {
					r.ApplyDelta(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")])
				}
			}
			if r.Version() < before {
				t.Fatalf("version fell from %d to %d", before, r.Version())
			}
			for _, e := range r.Usable("s") {
				if known := r.records[e.ID].version; known < leftAt[g][e.ID] {
					t.Fatalf("gateway %d uses %s of version %d, which left at %d", g, e.ID, known, leftAt[g][e.ID])
				}
			}
			for id, rec := range r.records {
				if !rec.removedAt.IsZero() {
					leftAt[g][id] = max(leftAt[g][id], rec.version)
				}
			}
			if r.Version() == version && before != version {
				require.Len(t, r.Usable("s"), len(store), "a complete list has what the store has")
			}
		}
	})
}
