package gateway

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
)

// An incomplete event must not be passed on: a broken stream is resumed after the last complete event.
func TestEventSplitterKeepsIncompleteEvents(t *testing.T) {
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

// The retries of all gateways together must stay within the platform's bound.
func TestRetryBudgetsStayWithinTheSharedBound(t *testing.T) {
	const ratio, slack, gateways = 0.2, 100, 4
	now := time.Unix(0, 0)
	var retries int
	for range gateways {
		b := NewRetryBudget(ratio, slack, 10*time.Second, func() int { return gateways }, func() time.Time { return now })
		for range 50 {
			b.Deposit("s")
		}
		for b.TryWithdraw("s") {
			retries++
		}
	}
	require.LessOrEqual(t, float64(retries), ratio*50*gateways+slack)
	require.Greater(t, retries, 50)
}

// A retry must count for the whole window: the budget must not be refilled earlier.
func TestRetryBudgetWindowSlides(t *testing.T) {
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

// A request that must not run twice must not be retried once it may have run, and must not be reported as not executed.
func TestRetriesAndNotExecutedReports(t *testing.T) {
	start := time.Unix(1000, 0)
	request := func(kind catalog.Kind, attempts int) *Request {
		return &Request{Route: &catalog.Route{Kind: kind, MaxAttempts: attempts, Timeout: time.Second}, ArrivedAt: start}
	}
	maybeExecuted := failure{kind: errkind.EndpointFailed}
	notExecuted := failure{kind: errkind.Overloaded, notExecuted: true}
	require.False(t, mayRetry(request(catalog.NonIdempotent, 3), maybeExecuted, 1, start))
	require.True(t, mayRetry(request(catalog.NonIdempotent, 3), notExecuted, 1, start))
	require.False(t, mayRetry(request(catalog.NonIdempotent, 1), notExecuted, 1, start))
	require.True(t, mayRetry(request(catalog.Idempotent, 2), maybeExecuted, 1, start))
	require.False(t, mayRetry(request(catalog.Stream, 2), maybeExecuted, 1, start), "a stream that may not be resumed")
	require.False(t, mayRetry(request(catalog.Idempotent, 2), maybeExecuted, 1, start.Add(time.Second)))

	for _, k := range errkind.Kinds() {
		kind := finalKind(failure{kind: k}, false)
		require.NotEqual(t, errkind.NotRun, errkind.RuleOf(kind).RunState, "%s after an attempt that may have run", k)
		kind = finalKind(failure{kind: k, notExecuted: true}, true)
		require.Equal(t, errkind.NotRun, errkind.RuleOf(kind).RunState, "%s without such an attempt", k)
	}
}

// A request must not end later than its route or its caller allows.
func TestDeadlineIsTheEarlierBound(t *testing.T) {
	start := time.Unix(1000, 0)
	r := &Request{Route: &catalog.Route{Timeout: time.Second}, ArrivedAt: start, Deadline: start.Add(2 * time.Second)}
	require.Equal(t, start.Add(time.Second), deadlineOf(r))
	r.Deadline = start.Add(500 * time.Millisecond)
	require.Equal(t, r.Deadline, deadlineOf(r))
	r.Route, r.Deadline = &catalog.Route{}, time.Time{}
	require.Equal(t, start.Add(defaultTimeout), deadlineOf(r))
}
