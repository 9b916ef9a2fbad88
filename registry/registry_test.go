package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// clock is a settable time.
type clock struct{ t time.Time }

func (c *clock) now() time.Time          { return c.t }
func (c *clock) advance(d time.Duration) { c.t = c.t.Add(d) }

func newTest(ids ...string) (*Registry, *clock) {
	c := &clock{t: time.Unix(1_700_000_000, 0)}
	r := New(c.now)
	for _, id := range ids {
		r.Upsert(Entry{ID: id, Service: "s", Addr: "10.0.0.1:1"})
	}
	return r, c
}

func usable(r *Registry) []string {
	var ids []string
	for _, e := range r.Usable("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against requests to endpoints that have left: three leaving at once were once taken for a store outage.
func TestRemovedEndpointsAreDroppedAtOnceWhileTheStoreAnswers(t *testing.T) {
	r, _ := newTest("a", "b", "c", "d")
	r.Remove("a", "b", "c")
	require.Equal(t, []string{"d"}, usable(r))
}

// Guards against dropping live endpoints whose entries lapsed while the store was away.
func TestLapsedEntriesStayInUseUntilTheGraceAfterTheReturn(t *testing.T) {
	r, c := newTest("a", "b")
	r.MarkStoreDown()
	r.Remove("a")
	c.advance(time.Minute)
	require.Equal(t, []string{"a", "b"}, usable(r))
	r.MarkStoreUp()
	c.advance(2 * time.Second)
	require.Equal(t, []string{"a", "b"}, usable(r))
	c.advance(300 * time.Millisecond)
	require.Equal(t, []string{"b"}, usable(r))
}

// Guards against counting the grace from a removal that is learned after the return: requests then reached an endpoint
// more than two seconds after it had left (hunt of szucs-tomlo, trouble-1 with seed 717405878498).
func TestGraceCountsFromTheReturnOfTheStore(t *testing.T) {
	r, c := newTest("a", "b")
	r.MarkStoreDown()
	c.advance(5 * time.Second)
	r.MarkStoreUp()
	c.advance(850 * time.Millisecond)
	r.Remove("a")
	c.advance(1400 * time.Millisecond)
	require.Equal(t, []string{"b"}, usable(r))
}

// Guards against an outage that is noticed by one table after the other restarting the grace.
func TestStoreRegainedTwiceDoesNotExtendTheGrace(t *testing.T) {
	r, c := newTest("a")
	r.MarkStoreDown()
	r.Remove("a")
	r.MarkStoreUp()
	c.advance(2 * time.Second)
	r.MarkStoreUp()
	c.advance(time.Second)
	require.Empty(t, usable(r))
}

// Guards against keeping an endpoint that left during a partial outage, although a peer's store says so.
func TestPeerListRemovesEndpointsDuringAnOutage(t *testing.T) {
	r, _ := newTest("a", "b")
	r.MarkStoreDown()
	r.ReplaceFromPeer([]Entry{{ID: "b", Service: "s", Addr: "10.0.0.1:1"}}, 0)
	require.Equal(t, []string{"b"}, usable(r))
}

// Guards against a late entry of an endpoint that has said that it leaves.
func TestDrainingIsFinalForOneStart(t *testing.T) {
	r, _ := newTest()
	e := Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Born: 5}
	r.Upsert(e)
	leaving := e
	leaving.Draining = true
	require.True(t, r.Upsert(leaving))
	require.False(t, r.Upsert(e))
	require.Empty(t, usable(r))
	e.Born = 6
	require.True(t, r.Upsert(e))
	require.Equal(t, []string{"a"}, usable(r))
}

// Guards against an entry that was written before a restart under the same identity.
func TestEntriesOfAnEarlierStartAreIgnored(t *testing.T) {
	r, _ := newTest()
	r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.1:1", Born: 6})
	require.False(t, r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.9:1", Born: 5, Draining: true}))
	require.Equal(t, []string{"a"}, usable(r))
}

// Guards against sending more requests to an endpoint that does not accept connections, and against having none left.
func TestUnreachableEndpointsAreAvoidedUnlessAllAre(t *testing.T) {
	r, c := newTest("a", "b")
	e := r.Usable("s")[0]
	require.True(t, r.ReportOutcome(e, Unreachable))
	require.Equal(t, []string{"b"}, usable(r))
	r.ReportOutcome(r.Usable("s")[0], Unreachable)
	require.Equal(t, []string{"a", "b"}, usable(r))
	c.advance(firstPause)
	require.Equal(t, []string{"a", "b"}, usable(r))
	r.ReportOutcome(e, Unreachable)
	c.advance(firstPause)
	require.Equal(t, []string{"b"}, usable(r), "the pause doubles")
	r.ReportOutcome(e, Succeeded)
	require.Equal(t, []string{"a", "b"}, usable(r))
}

// Guards against a request that is sent to an endpoint that left after it was chosen.
func TestAllowedAsksAgain(t *testing.T) {
	r, _ := newTest("a")
	e := r.Usable("s")[0]
	require.True(t, r.StillUsable(e))
	r.ReportOutcome(e, ShuttingDown)
	require.False(t, r.StillUsable(e))
	r.Upsert(Entry{ID: "a", Service: "s", Addr: "10.0.0.2:1", Born: 1})
	require.False(t, r.StillUsable(e), "another start")
}

// Guards against a failure rate that stays high after an endpoint has recovered.
func TestFailureRateFollowsOutcomes(t *testing.T) {
	r, _ := newTest("a")
	e := r.Usable("s")[0]
	for range 20 {
		r.ReportOutcome(e, Failed)
	}
	rate, _ := r.Health(e)
	require.Greater(t, rate, 0.9)
	for range 20 {
		r.ReportOutcome(e, Succeeded)
	}
	rate, _ = r.Health(e)
	require.Less(t, rate, 0.1)
}

// Guards against an older list that undoes a removal: on szucs-tomlo-grown, trouble-1, a gateway took the removal of an
// endpoint from the store and then the list of a peer that had not seen it yet, and sent requests there 3.7 s later.
func TestListOfAPeerThatIsBehindIsIgnored(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	r := New(func() time.Time { return now })
	entries := []Entry{{ID: "a", Service: "s", Addr: "10.0.0.1:1"}, {ID: "b", Service: "s", Addr: "10.0.0.2:1"}}
	fromPeer := func(version int64, wantChanged int, wantTaken bool) {
		t.Helper()
		changed, taken := r.ReplaceFromPeer(entries, version)
		require.Equal(t, wantChanged, changed)
		require.Equal(t, wantTaken, taken)
	}
	r.ApplyVersion(7, func() { r.Replace(entries) })
	r.MarkStoreDown()
	fromPeer(8, 0, true)
	r.ApplyVersion(9, func() {
		r.Remove("b")
		fromPeer(8, 0, false)
		require.EqualValues(t, 8, r.Version(), "not told to peers before the changes are complete")
	})
	r.MarkStoreUp()
	fromPeer(8, 0, false)
	now = now.Add(lapseWindow)
	require.Len(t, r.Usable("s"), 1)
	require.EqualValues(t, 9, r.Version())
	fromPeer(10, 1, true) // listed again since
	require.Len(t, r.Usable("s"), 2)
}
