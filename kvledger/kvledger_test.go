package kvledger

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/invariant"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1") // an unsigned number always parses
	}
	m.Run()
}

// newLedger returns a ledger of 100 tokens with a headroom of 10, in which up to 10 tokens are a short request.
func newLedger(opts Options) *Ledger {
	opts.ShortTokens, opts.HeadroomFraction = 10, 0.1
	l := New(opts)
	l.SetCapacity(100)
	return l
}

func request(t require.TestingT, l *Ledger, id string, tokens int) bool {
	granted, err := l.ReserveOrEnqueue(id, tokens, time.Minute)
	require.NoError(t, err)
	return granted
}

// Guards against long requests that starve behind a steady flow of short ones, and short ones that wait for long ones.
func TestLongAndShortDoNotStarveEachOther(t *testing.T) {
	l := newLedger(Options{})
	require.True(t, request(t, l, "long1", 90))
	require.True(t, request(t, l, "short1", 10), "the headroom is for short requests")
	require.False(t, request(t, l, "long2", 60))
	require.False(t, request(t, l, "long3", 20))
	l.Release("long1")
	require.True(t, request(t, l, "long2", 60))
	require.True(t, request(t, l, "long3", 20), "FCFS order of waiters")
	require.False(t, request(t, l, "long4", 20))
	require.False(t, request(t, l, "short2", 10), "while a long request waits, short ones get only the headroom")
	_, err := l.ReserveOrEnqueue("long5", 91, time.Minute)
	require.ErrorIs(t, err, ErrTooLarge)
}

// Guards against entries that send an engine a prompt that its ledger can never grant.
func TestMaxLongTokensIsTheLargestLongRequest(t *testing.T) {
	l := New(Options{})
	l.SetCapacity(400_000)
	long := int(MaxLongTokens(400_000))
	require.NoError(t, l.CheckSize(long))
	require.ErrorIs(t, l.CheckSize(long+1), ErrTooLarge)
}

// Guards against memory that stays reserved after its holder has failed, and against a waiter that overtakes an earlier
// one.
func TestLeaseExpiryGrantsFirstWaiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(Options{})
		require.NoError(t, l.Reserve(t.Context(), "dead", 80, 3*time.Second, 0))
		require.NoError(t, l.Bind("dead", "seg"))
		result := make(chan error, 1)
		go func() { result <- l.Reserve(t.Context(), "next", 80, time.Minute, 10*time.Second) }()
		synctest.Wait()
		require.ErrorIs(t, l.Reserve(t.Context(), "third", 80, time.Minute, time.Second), ErrBusy)
		time.Sleep(2 * time.Second)
		expired, engineIDs := l.Expire()
		require.Equal(t, []string{"dead"}, expired)
		require.Equal(t, []string{"seg"}, engineIDs)
		require.NoError(t, <-result)
		require.ErrorIs(t, l.Renew("dead", time.Second), ErrNotFound)
		require.Equal(t, 80, l.Reserved())
		require.Equal(t, []string{"next"}, l.Reset())
		l.AssertIdle()
	})
}

// Guards against leaks on either side: streams that only the engine knows, and reservations whose streams have ended.
func TestReconcileWithLaggingReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLedger(Options{})
		require.True(t, request(t, l, "r", 50))
		require.NoError(t, l.Bind("r", "s"))
		report := endpoint.LoadReport{KVCapacityTokens: 100}
		reconcile := func(running ...string) (unknown, freed []string) {
			report.RunningIDs = running
			return l.Reconcile(report)
		}
		time.Sleep(time.Minute - time.Second)
		_, freed := reconcile()
		require.Empty(t, freed, "a stream that the engine has not started has not ended")
		unknown, _ := reconcile("s", "other")
		require.Equal(t, []string{"other"}, unknown)
		time.Sleep(DefaultReportGrace - time.Millisecond)
		_, freed = reconcile()
		require.Empty(t, freed, "the report may lag")
		time.Sleep(time.Millisecond)
		_, freed = reconcile()
		require.Equal(t, []string{"r"}, freed)
		require.Zero(t, l.Reserved())
	})
}

// Guards against sequences of operations that reserve more than the capacity, or after which tokens stay reserved.
func TestRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(name, detail string) { t.Errorf("%s: %s", name, detail) })()
		l := newLedger(Options{MaxWaiters: 5})
		var ids []string
		for i := range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				id := fmt.Sprint("r", i)
				if _, err := l.ReserveOrEnqueue(id, rapid.IntRange(1, 90).Draw(t, "tokens"), time.Minute); err == nil {
					ids = append(ids, id)
				}
			case 2:
				if len(ids) > 0 {
					l.Release(rapid.SampledFrom(ids).Draw(t, "release"))
				}
			case 3:
				l.Reconcile(endpoint.LoadReport{KVCapacityTokens: 100})
			}
			require.LessOrEqual(t, l.Reserved(), 100)
		}
		l.Release(ids...)
		l.AssertIdle()
		require.Zero(t, l.Len())
	})
}

// Checks that the invariants report an overcommitted engine, a lease that is never freed, and reservations when idle.
func TestViolationsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var names []string
		defer invariant.SetHandler(func(name, _ string) { names = append(names, name) })()
		l := newLedger(Options{ignoreCapacity: true, ignoreLeases: true})
		request(t, l, "a", 90)
		request(t, l, "b", 90)
		require.Equal(t, []string{"kv_reserved_over_capacity"}, names)
		l.Release("b")
		time.Sleep(2 * time.Minute)
		l.Expire()
		require.Contains(t, names, "kv_lease_outlived")
		l.AssertIdle()
		require.Contains(t, names, "kv_reserved_when_idle")
	})
}
