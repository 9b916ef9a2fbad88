package registry

import (
	"fmt"
	"maps"
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

// modelStore is a store of which a copy may be taken and restored. Each write by an endpoint has a number of its own.
type modelStore struct {
	era, version int64
	writes       int
	live         map[string]modelEntry
}

type modelEntry struct {
	version int64
	write   int
}

func (s *modelStore) copy() modelStore {
	copied := *s
	copied.live = maps.Clone(s.live)
	return copied
}

// toggle writes an entry, or removes it if it is listed.
func (s *modelStore) toggle(id string) {
	s.version++
	if _, listed := s.live[id]; listed {
		delete(s.live, id)
		return
	}
	s.writes++
	s.live[id] = modelEntry{s.version, s.writes}
}

func (s *modelStore) entries() (list []Entry) {
	for id, e := range s.live {
		list = append(list, entry(id, Position(s.era, e.version)))
	}
	return list
}

// No sequence of lists from the store and from peers, in any order and with any delay, may bring back an endpoint that a gateway
// knows to have left, or let its position fall, also if the store comes back from copies.
func TestListsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const gateways = 4
		registries := make([]*Registry, gateways)
		leftAt := make([]map[string]int64, gateways) // by gateway: position at which it learned that an endpoint had left
		left := make([]map[string]int, gateways)     // by gateway: latest write of an endpoint that it has seen leave
		listed := make([]map[string]int, gateways)   // by gateway: latest write of an endpoint that it has seen
		clock := &fakeClock{t: time.Unix(1_700_000_000, 0)}
		for i := range registries {
			registries[i], leftAt[i] = New(clock.now), make(map[string]int64)
			left[i], listed[i] = make(map[string]int), make(map[string]int)
		}
		store := modelStore{era: 1, version: 1, live: make(map[string]modelEntry)}
		copied := store.copy()
		writeOf := make(map[int64]int) // by position
		var inFlight []Delta
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			clock.advance(10 * time.Millisecond)
			g := rapid.IntRange(0, gateways-1).Draw(t, "gateway")
			r, id := registries[g], fmt.Sprintf("e%d", rapid.IntRange(0, 5).Draw(t, "endpoint"))
			before := r.Version()
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				store.toggle(id)
			case 1: // a gateway reads the table
				r.ApplyVersion(Position(store.era, store.version), func() { r.Replace(store.entries(), Position(store.era, store.version)) })
			case 2: // a peer answers a gateway
				peer := registries[rapid.IntRange(0, gateways-1).Draw(t, "peer")]
				inFlight = append(inFlight, peer.DeltaSince(before))
			case 3: // an answer arrives, possibly late and at another gateway
				if len(inFlight) > 0 {
					r.ApplyDelta(inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "answer")])
				}
			case 4:
				copied = store.copy()
			case 5:
				era, writes := store.era+1, store.writes
				store = copied.copy()
				store.era, store.writes = era, writes
			}
			for _, e := range store.live {
				writeOf[Position(store.era, e.version)] = e.write
			}
			if r.Version() < before {
				t.Fatalf("position fell from %d to %d", before, r.Version())
			}
			for _, e := range r.Usable("s") {
				if known := r.records[e.ID].version; known < leftAt[g][e.ID] {
					t.Fatalf("gateway %d uses %s of position %d, which left at %d", g, e.ID, known, leftAt[g][e.ID])
				}
				listed[g][e.ID] = max(listed[g][e.ID], writeOf[r.records[e.ID].version])
				if write := listed[g][e.ID]; write > 0 && write <= left[g][e.ID] {
					t.Fatalf("gateway %d uses %s by write %d again, which it has seen leave", g, e.ID, write)
				}
			}
			for id, rec := range r.records {
				if rec.removedAt.IsZero() || r.usable(rec, clock.now()) {
					continue
				}
				leftAt[g][id] = max(leftAt[g][id], rec.version)
				left[g][id] = max(left[g][id], writeOf[rec.listedAt])
			}
			if current := Position(store.era, store.version); r.Version() == current && before != current { // the list is complete
				for _, e := range r.Usable("s") {
					_, listed := store.live[e.ID]
					require.True(t, listed || r.records[e.ID].expiredInOutage, e.ID)
				}
				for id, e := range store.live {
					rec := r.records[id]
					require.NotNil(t, rec, id)
					mayBeCopied := !rec.restoredAt.IsZero() && e.version <= VersionOf(rec.listedAt)
					require.True(t, mayBeCopied || r.usable(rec, clock.now()), id)
				}
			}
		}
	})
}
