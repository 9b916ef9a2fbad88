package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Positions must be in the order of the eras, and in the order of the versions within one.
func TestPositionsNeverGoBack(t *testing.T) {
	require.Less(t, Position(1, MaxVersion), Position(2, 0))
	require.Less(t, Position(2, 5), Position(2, 6))
	require.Positive(t, Position(MaxEra, MaxVersion))
	require.Equal(t, []int64{3, 17}, []int64{EraOf(Position(3, 17)), VersionOf(Position(3, 17))})
	require.EqualValues(t, 17, Position(0, 17), "a store without eras")
	require.Equal(t, "3.17", FormatPosition(Position(3, 17)))
}

// restoredRegistry has seen an endpoint leave that a copy of the store lists again.
func restoredRegistry() (*Registry, *fakeClock) {
	r, clock := newTestRegistry()
	clock.advance(time.Minute)
	r.ApplyVersion(Position(1, 50), func() { r.Replace([]Entry{entry("a", Position(1, 50)), entry("b", Position(1, 40))}, Position(1, 50)) })
	r.ApplyVersion(Position(1, 98), func() { r.Remove(Position(1, 98), "a") })
	clock.advance(time.Second)
	copied := []Entry{entry("a", Position(2, 50)), entry("b", Position(2, 40))}
	r.ApplyVersion(Position(2, 60), func() { r.Replace(copied, Position(2, 60)) })
	return r, clock
}

// An endpoint that lives, and whose entry cannot be told from the copy's, must not stay out of use for good.
func TestEndpointThatTheCopyListsIsUsedInTheEnd(t *testing.T) {
	r, clock := restoredRegistry()
	clock.advance(restoredGracePeriod - time.Millisecond)
	require.Equal(t, []string{"b"}, usableIDs(r))
	clock.advance(time.Millisecond)
	require.Equal(t, []string{"a", "b"}, usableIDs(r))
}

// An endpoint that the copy lists and that is removed again, or that a later list lacks, must stay out of use.
func TestEndpointThatIsRemovedAgainStaysOutOfUse(t *testing.T) {
	for name, remove := range map[string]func(*Registry){
		"removed": func(r *Registry) { r.Remove(Position(2, 61), "a") },
		"missing": func(r *Registry) { r.Replace([]Entry{entry("b", Position(2, 40))}, Position(2, 61)) },
	} {
		r, clock := restoredRegistry()
		r.ApplyVersion(Position(2, 61), func() { remove(r) })
		clock.advance(restoredGracePeriod)
		require.Equal(t, []string{"b"}, usableIDs(r), name)
	}
}

// An entry that is written after the list of the restored store is not from the copy, also if its version is low.
func TestEntryWrittenAfterTheRestoreIsUsedAtOnce(t *testing.T) {
	r, clock := newTestRegistry()
	clock.advance(time.Minute)
	r.ApplyVersion(Position(1, 95), func() { r.Replace([]Entry{entry("a", Position(1, 95))}, Position(1, 95)) })
	r.ApplyVersion(Position(1, 98), func() { r.Remove(Position(1, 98), "a") })
	r.ApplyVersion(Position(2, 60), func() { r.Replace(nil, Position(2, 60)) })
	r.ApplyVersion(Position(2, 61), func() { r.Upsert(entry("a", Position(2, 61))) })
	require.Equal(t, []string{"a"}, usableIDs(r))
}

// A gateway that follows others must pass on what the restored store lists, not its own knowledge of what left: the receiver may know of a
// later start.
func TestFollowerMovesToTheNewEraAtOnce(t *testing.T) {
	source, clock := restoredRegistry()
	follower := New(clock.now)
	follower.ApplyVersion(Position(1, 99), func() {
		follower.Replace([]Entry{entry("b", Position(1, 40)), entry("c", Position(1, 99))}, Position(1, 99))
	})
	clock.advance(10 * time.Millisecond)
	_, applied := follower.ApplyDelta(source.DeltaSince(follower.Version()))
	require.True(t, applied)
	require.Equal(t, Position(2, 60), follower.Version())
	require.Equal(t, []string{"a", "b", "c"}, usableIDs(follower), "c has time to be written again")
	clock.advance(outageGracePeriod - 10*time.Millisecond)
	require.Equal(t, []string{"a", "b"}, usableIDs(follower))
}
