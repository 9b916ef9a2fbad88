package timing_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Sleep must return when its context ends; otherwise it would delay the shutdown of the process.
func TestSleepEndsWithItsContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		require.NoError(t, timing.Sleep(t.Context(), time.Minute))
		require.Equal(t, time.Minute, time.Since(start))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.ErrorIs(t, timing.Sleep(ctx, time.Minute), context.DeadlineExceeded)
		require.Equal(t, time.Minute+time.Second, time.Since(start))
		require.ErrorIs(t, timing.Sleep(ctx, 0), context.DeadlineExceeded)
	})
}

// Every must not call do before the first period has passed, nor after its context has ended.
func TestEveryCallsOncePerPeriodUntilItsContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
		defer cancel()
		start, callTimes := time.Now(), []time.Duration{}
		timing.Every(ctx, time.Second, func() { callTimes = append(callTimes, time.Since(start)) })
		require.Equal(t, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}, callTimes)
		require.Equal(t, 3500*time.Millisecond, time.Since(start))
	})
}

// Jitter must stay within its spread, because other limits are derived from the longest interval.
func TestJitterStaysWithinItsSpread(t *testing.T) {
	low, high := time.Hour, time.Duration(0)
	for range 10_000 {
		d := timing.Jitter(time.Second, 0.2)
		low, high = min(low, d), max(high, d)
	}
	require.GreaterOrEqual(t, low, 800*time.Millisecond)
	require.LessOrEqual(t, high, 1200*time.Millisecond)
	require.Less(t, low, 820*time.Millisecond)
	require.Greater(t, high, 1180*time.Millisecond)
}
