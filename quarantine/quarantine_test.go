package quarantine

import (
	"io"
	"strconv"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
)

// clock is a time that tests set.
type clock struct{ now time.Time }

func (c *clock) advance(d time.Duration) { c.now = c.now.Add(d) }

func newTestTracker(c *clock) *Tracker {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return New(Options{Now: func() time.Time { return c.now }, Log: log})
}

func newClock() *clock { return &clock{now: time.Unix(1000, 0)} }

// crash records the crash of an endpoint during a call with the given parts.
func crash(t *Tracker, endpoint int, call uint64, parts ...string) {
	t.RecordCrash(NewCrash("e", int64(endpoint), call), subjects(call, parts...), 0)
}

func subjects(call uint64, parts ...string) []Subject {
	list := []Subject{CallSubject(call)}
	for _, id := range parts {
		list = append(list, PartSubject(id))
	}
	return list
}

// blockedCount returns the number of blocked subjects.
func blockedCount(t *Tracker) (blocked int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.records {
		if e.verdict != Admitted && t.opts.Now().Before(e.ExpiresAt) {
			blocked++
		}
	}
	return blocked
}

func verdictOn(t *Tracker, call uint64, parts ...string) Verdict {
	v, _ := t.Check(subjects(call, parts...))
	return v
}

// A call that crashes one endpoint after the other must be blocked, at all gateways, until its record expires or it makes progress.
func TestCrashingCallIsBlocked(t *testing.T) {
	c := newClock()
	tracker, peer := newTestTracker(c), newTestTracker(c)
	for i := range blockCrashes {
		require.Equal(t, Admitted, verdictOn(tracker, 7))
		crash(tracker, i, 7)
	}
	require.Equal(t, Condemned, verdictOn(tracker, 7))
	require.Equal(t, Admitted, verdictOn(tracker, 8))
	peer.Merge(tracker.TakeChanged())
	require.Equal(t, Condemned, verdictOn(peer, 7))
	peer.RecordProgress(subjects(7), Complete)
	tracker.Merge(peer.TakeChanged())
	require.Equal(t, Admitted, verdictOn(tracker, 7))

	for i := range blockCrashes {
		crash(tracker, 10+i, 9)
	}
	c.advance(callTTL)
	require.Equal(t, Admitted, verdictOn(tracker, 9))
}

// Crashes of different calls with one part must add up, also if each gateway has seen only one of them.
func TestCrashesSeenByDifferentGatewaysAddUp(t *testing.T) {
	c := newClock()
	var gateways []*Tracker
	for i := range condemnCrashes {
		gateways = append(gateways, newTestTracker(c))
		crash(gateways[i], i, uint64(i), "bad")
	}
	for _, from := range gateways {
		records := from.TakeChanged()
		for _, to := range gateways {
			if to != from {
				to.Merge(records)
			}
		}
	}
	for _, g := range gateways {
		require.Equal(t, Condemned, verdictOn(g, 99, "bad"))
		require.Equal(t, Admitted, verdictOn(g, 99, "good"))
	}
}

// One crash that breaks many requests with a part, at several gateways, must count once.
func TestOneCrashCountsOnce(t *testing.T) {
	c := newClock()
	a, b := newTestTracker(c), newTestTracker(c)
	for call := range uint64(8) {
		crash(a, 1, call, "p")
		crash(b, 1, 100+call, "p")
	}
	a.Merge(b.TakeChanged())
	crash(a, 2, 50, "p")
	require.Equal(t, Admitted, verdictOn(a, 99, "p"))
	c.advance(minRestartTime)
	crash(a, 1, 51, "p")
	require.Equal(t, Suspected, verdictOn(a, 99, "p"), "the endpoint has crashed again under its old start time")
}

// A part that makes progress must not be blocked because its requests run beside others that crash endpoints.
func TestPartInUseIsNotBlocked(t *testing.T) {
	c := newClock()
	a, b := newTestTracker(c), newTestTracker(c)
	a.RecordProgress(subjects(1, "common"), Complete)
	for i := range 10 {
		c.advance(100 * time.Millisecond)
		crash(a, i, uint64(i), "common", "bad")
		crash(b, i, uint64(i), "common", "bad")
	}
	require.Equal(t, Admitted, verdictOn(a, 99, "common"))
	require.Equal(t, Condemned, verdictOn(a, 99, "common", "bad"))
	a.Merge(b.TakeChanged())
	b.Merge(a.TakeChanged())
	require.Equal(t, Admitted, verdictOn(a, 99, "common"), "a peer that has seen no progress does not overrule one that has")
	require.Equal(t, Admitted, verdictOn(b, 99, "common"))
	require.Equal(t, Condemned, verdictOn(b, 99, "bad"))
}

// Calls that met several crashes because they ran beside a part that crashes endpoints must not be blocked.
func TestCrashesExplainedByAPartDoNotBlockOthers(t *testing.T) {
	c := newClock()
	tracker := newTestTracker(c)
	for i := range blockCrashes {
		crash(tracker, i, 7, "rare")
		crash(tracker, i, uint64(100+i), "bad")
	}
	crash(tracker, 50, 200, "bad")
	require.Equal(t, Suspected, verdictOn(tracker, 300, "bad"))
	require.Equal(t, Admitted, verdictOn(tracker, 7, "rare"))
	crash(tracker, 60, 7, "rare")
	crash(tracker, 61, 7, "rare")
	crash(tracker, 62, 7, "rare")
	require.Equal(t, Condemned, verdictOn(tracker, 7), "three crashes that nothing else explains")
}

// Of two parts with the same crashes, the one that fewer requests contain must be blocked: after a restart nothing is known of the
// progress of the other.
func TestNarrowerPartIsBlockedFirst(t *testing.T) {
	c := newClock()
	tracker := newTestTracker(c)
	for i := range 12 {
		for call := range uint64(4) {
			crash(tracker, i, 100*uint64(i)+call, "common")
		}
		crash(tracker, i, 1000+uint64(i), "common", "bad")
		if i >= blockCrashes {
			require.Equal(t, Admitted, verdictOn(tracker, 9, "common"))
			require.NotEqual(t, Admitted, verdictOn(tracker, 9, "common", "bad"))
		}
	}
	for i := range blockCrashes {
		crash(tracker, 100+i, 2000+uint64(i), "common")
	}
	require.NotEqual(t, Admitted, verdictOn(tracker, 9, "common"), "it crashes endpoints without the other part, too")
}

// A blocked part that is harmless must be tried, by one request at a time, and be used again after a success. One that goes on to crash
// endpoints must not be tried beyond its fifth crash.
func TestBlockedPartIsTriedUntilItIsCondemned(t *testing.T) {
	for _, harmless := range []bool{true, false} {
		c := newClock()
		tracker := newTestTracker(c)
		for i := range blockCrashes {
			crash(tracker, i, uint64(i), "p")
		}
		trials := 0
		for i := range 300 {
			c.advance(100 * time.Millisecond)
			list := subjects(uint64(1000+i), "p")
			if v, _ := tracker.Check(list); v != Admitted {
				continue
			}
			v, _ := tracker.Admit(list)
			require.Equal(t, Admitted, v)
			trials++
			if harmless {
				tracker.RecordProgress(list, Complete)
				break
			}
			v, _ = tracker.Admit(list)
			require.Equal(t, Suspected, v, "one trial at a time")
			crash(tracker, 100+i, uint64(1000+i), "p")
		}
		if harmless {
			require.Equal(t, 1, trials)
			require.Equal(t, Admitted, verdictOn(tracker, 5, "p"))
		} else {
			require.Equal(t, condemnCrashes-blockCrashes, trials)
			require.Equal(t, Condemned, verdictOn(tracker, 5, "p"))
		}
	}
}

// What is blocked must be blocked again after a restart of all gateways, and what has been cleared must not.
func TestStoredRecordsSurviveARestart(t *testing.T) {
	c := newClock()
	before := newTestTracker(c)
	for i := range condemnCrashes {
		crash(before, i, uint64(i), "bad")
	}
	c.advance(maxFirstStoreDelay)
	put, _ := before.Unstored()
	require.Len(t, put, 1)
	value, err := EncodeRow(&put[0])
	require.NoError(t, err)
	before.MarkStored(put)
	put, _ = before.Unstored()
	require.Empty(t, put)

	c.advance(time.Minute)
	after := newTestTracker(c)
	record, err := DecodeRow(value, c.now)
	require.NoError(t, err)
	after.Merge([]Record{record})
	require.Equal(t, Condemned, verdictOn(after, 99, "bad"))
	put, _ = after.Unstored()
	require.Empty(t, put, "it is in the store already")

	after.RecordProgress(subjects(99, "bad"), Complete)
	_, remove := after.Unstored()
	require.Equal(t, []Subject{PartSubject("bad")}, remove)
	after.MarkRemoved(remove)
	_, remove = after.Unstored()
	require.Empty(t, remove)
	for _, damaged := range []string{"", "{}", `{"kind":"part","hash":"1"}`, `{"kind":"x","hash":"1","crashes":[{"endpoint":1}]}`} {
		_, err = DecodeRow([]byte(damaged), c.now)
		require.Error(t, err, damaged)
	}
}

// A gateway that stores a record and is killed must not be the only one to store it.
func TestRecordIsStoredByAPeerIfItsGatewayIsGone(t *testing.T) {
	c := newClock()
	first, peer := newTestTracker(c), newTestTracker(c)
	for i := range blockCrashes {
		crash(first, i, uint64(i), "bad")
	}
	peer.Merge(first.TakeChanged())
	put, _ := peer.Unstored()
	require.Empty(t, put, "the first one stores it")
	c.advance(maxStoreDelay)
	put, _ = peer.Unstored()
	require.Len(t, put, 1)
	first.MarkStored(put)
	peer.Merge(first.TakeChanged())
	put, _ = peer.Unstored()
	require.Empty(t, put)
}

// All blocked subjects must reach a gateway that has restarted, even if more are known than one message holds.
func TestSpreadReachesAllRecords(t *testing.T) {
	c := newClock()
	tracker, restarted := newTestTracker(c), newTestTracker(c)
	for call := range uint64(30) {
		for i := range blockCrashes {
			crash(tracker, 100*int(call)+i, call)
		}
	}
	c.advance(2 * spreadPeriod)
	for range 5 {
		restarted.Merge(tracker.Spread(8))
	}
	require.Equal(t, 30, blockedCount(restarted))
}

// Records must not outlive their time by being passed around, and memory must stay bounded.
func TestRecordsExpireAndAreBounded(t *testing.T) {
	c := newClock()
	a, b := newTestTracker(c), newTestTracker(c)
	for i := range blockCrashes {
		crash(a, i, 7)
	}
	for range 4 {
		c.advance(recordTTL / 3)
		b.Merge(a.Spread(8))
		a.Merge(b.Spread(8))
	}
	require.Zero(t, blockedCount(a)+blockedCount(b))
	for i := range 3 * maxRecords {
		crash(a, i, uint64(i), "p"+strconv.Itoa(i))
	}
	require.LessOrEqual(t, len(a.records), maxRecords)
	require.LessOrEqual(t, len(a.crashedAt), maxRecords)
	for i := range 2 * maxProgress {
		a.RecordProgress(subjects(1, "p"+strconv.Itoa(i)), Complete)
	}
	require.LessOrEqual(t, len(a.progress), maxProgress)
}

// A part that was in the crashes of one call, and beside it in another one, must not be blocked in place of the call.
func TestPartOfACrashingCallIsUsedByOthers(t *testing.T) {
	c := newClock()
	tracker := newTestTracker(c)
	for i := range condemnCrashes {
		c.advance(time.Second)
		crash(tracker, i, 7, "shared")
		if i > 0 {
			crash(tracker, i, uint64(100+i), "shared")
		}
	}
	require.Equal(t, Condemned, verdictOn(tracker, 7, "shared"))
	other := subjects(8, "shared")
	v, _ := tracker.Admit(other)
	require.Equal(t, Admitted, v, "it is tried without the call")
	tracker.RecordProgress(other, Complete)
	require.Equal(t, Admitted, verdictOn(tracker, 9, "shared"))
	require.Equal(t, Condemned, verdictOn(tracker, 7, "shared"))
}
