package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
)

// Guards against passing on a part of an event: a broken stream is resumed after the last whole one.
func TestEventSplitterKeepsUnfinishedEventsBack(t *testing.T) {
	var s EventSplitter
	text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\ndata: c\n\nid: 3\ndata"
	var got []Event
	for _, b := range []byte(text) {
		got = append(got, s.Push([]byte{b})...)
	}
	require.Len(t, got, 3)
	require.Equal(t, []int64{1, 2, -1}, []int64{got[0].ID, got[1].ID, got[2].ID})
	require.Equal(t, "id: 3\ndata", string(s.Rest()))
	var all strings.Builder
	for _, e := range got {
		all.Write(e.Raw)
	}
	require.Equal(t, text, all.String()+string(s.Rest()))
}

// Guards against repeats beyond the share of one entry, and against shares that add up to more than the bound.
func TestRepeatBudgetKeepsTheSharedBound(t *testing.T) {
	const ratio, slack, entries = 0.2, 100, 4
	now := time.Unix(0, 0)
	var sent int
	for range entries {
		b := NewRetryBudget(ratio, slack, 10*time.Second, func() int { return entries }, func() time.Time { return now })
		for range 50 {
			b.Deposit("s")
		}
		for b.TryWithdraw("s") {
			sent++
		}
	}
	require.LessOrEqual(t, float64(sent), ratio*50*entries+slack)
	require.Greater(t, sent, 50)
}

// Guards against a budget that is refilled within its window.
func TestRepeatBudgetSlides(t *testing.T) {
	now := time.Unix(0, 0)
	b := NewRetryBudget(0, 4, 10*time.Second, func() int { return 1 }, func() time.Time { return now })
	require.True(t, b.TryWithdraw("s"))
	now = now.Add(6 * time.Second)
	require.True(t, b.TryWithdraw("s"))
	require.False(t, b.TryWithdraw("s"))
	now = now.Add(5 * time.Second)
	require.True(t, b.TryWithdraw("s"))
	require.False(t, b.TryWithdraw("s"))
}

// Guards against a call that takes down one endpoint after the other.
func TestCrashingCallIsBlamed(t *testing.T) {
	now := time.Unix(0, 0)
	c := NewCrashTracker(func() time.Time { return now })
	for range crashLimit {
		require.False(t, c.Blocked(7))
		c.RecordCrash(7)
	}
	require.True(t, c.Blocked(7))
	require.Equal(t, map[uint64]int{7: crashLimit}, c.Recent(time.Second, 5))
	now = now.Add(crashMemory + 1)
	require.False(t, c.Blocked(7))
	c.Merge(9, crashLimit)
	require.True(t, c.Blocked(9))
	c.Forget(9)
	require.False(t, c.Blocked(9))
}

// Guards against repeating a request that must not run twice, and against promising "not run" of one that may have run.
func TestRepeatsAndPromises(t *testing.T) {
	start := time.Unix(1000, 0)
	request := func(kind catalog.Kind, attempts int) *Request {
		return &Request{Route: &catalog.Route{Kind: kind, MaxAttempts: attempts, Timeout: time.Second}, ArrivedAt: start}
	}
	maybeRan := failure{kind: errkind.EndpointFailed}
	notRun := failure{kind: errkind.Overloaded, notRun: true}
	require.False(t, mayRepeat(request(catalog.NonIdempotent, 3), maybeRan, 1, start))
	require.True(t, mayRepeat(request(catalog.NonIdempotent, 3), notRun, 1, start))
	require.False(t, mayRepeat(request(catalog.NonIdempotent, 1), notRun, 1, start))
	require.True(t, mayRepeat(request(catalog.Idempotent, 2), maybeRan, 1, start))
	require.False(t, mayRepeat(request(catalog.Stream, 2), maybeRan, 1, start), "a stream that may not be resumed")
	require.False(t, mayRepeat(request(catalog.Idempotent, 2), maybeRan, 1, start.Add(time.Second)))

	for _, k := range errkind.Kinds() {
		kind := finalKind(failure{kind: k}, false)
		require.NotEqual(t, errkind.NotRun, errkind.RuleOf(kind).RunState, "%s after an attempt that may have run", k)
		kind = finalKind(failure{kind: k, notRun: true}, true)
		require.Equal(t, errkind.NotRun, errkind.RuleOf(kind).RunState, "%s without such an attempt", k)
	}
}

// Guards against ending a request later than the route or the caller allows.
func TestEndIsTheEarlierBound(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &Request{Route: &catalog.Route{Timeout: time.Second}, ArrivedAt: start, Deadline: start.Add(2 * time.Second)}
	require.Equal(t, start.Add(time.Second), end(r))
	r.Deadline = start.Add(500 * time.Millisecond)
	require.Equal(t, r.Deadline, end(r))
	r.Route, r.Deadline = &catalog.Route{}, time.Time{}
	require.Equal(t, start.Add(defaultTimeout), end(r))
}
