package hedge

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

const lateAfter = 400 * time.Millisecond

var errCall = errors.New("call failed")

// answer is what a call on one connection does.
type answer struct {
	after time.Duration // 0: never
	err   error
}

// play makes a hedged call and returns its outcome, how long it took and the number of calls.
func play(t *testing.T, limit time.Duration, answers map[Connection]answer) (by Connection, took time.Duration, calls int, err error) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), limit)
		defer cancel()
		made := make(chan Connection, 2)
		startedAt := time.Now()
		_, by, err = Do(ctx, lateAfter, nil, func(ctx context.Context, c Connection) (struct{}, error) {
			made <- c
			a := answers[c]
			if a.after == 0 {
				<-ctx.Done()
				return struct{}{}, ctx.Err()
			}
			select {
			case <-time.After(a.after):
				return struct{}{}, a.err
			case <-ctx.Done():
				return struct{}{}, ctx.Err()
			}
		})
		took, calls = time.Since(startedAt), len(made)
	})
	return by, took, calls, err
}

// A connection that carries nothing must cost its callers the lateness, not the whole time limit.
func TestSilentConnectionCostsTheLatenessOnly(t *testing.T) {
	by, took, calls, err := play(t, 3*time.Second, map[Connection]answer{New: {after: 5 * time.Millisecond}})
	require.NoError(t, err)
	require.Equal(t, New, by)
	require.Equal(t, lateAfter+5*time.Millisecond, took)
	require.Equal(t, 2, calls)
}

// Calls are billed, so that one that is answered in time must not be repeated, whether it succeeds or fails.
func TestAnswerInTimeIsNotRepeated(t *testing.T) {
	for _, answerErr := range []error{nil, errCall} {
		by, took, calls, err := play(t, 3*time.Second, map[Connection]answer{Pooled: {after: 300 * time.Millisecond, err: answerErr}})
		require.Equal(t, answerErr, err)
		require.Equal(t, Pooled, by)
		require.Equal(t, 300*time.Millisecond, took)
		require.Equal(t, 1, calls)
	}
}

// A slow server must not lose the answer to the first call because a second one has begun.
func TestLateAnswerOfTheFirstCallCounts(t *testing.T) {
	by, took, _, err := play(t, 3*time.Second, map[Connection]answer{Pooled: {after: 600 * time.Millisecond}, New: {after: 550 * time.Millisecond}})
	require.NoError(t, err)
	require.Equal(t, Pooled, by)
	require.Equal(t, 600*time.Millisecond, took)
}

// A server that accepts no new connections must not end a call that may still be answered.
func TestFailureOfOneCallLeavesTheOther(t *testing.T) {
	by, _, _, err := play(t, 3*time.Second, map[Connection]answer{Pooled: {after: 600 * time.Millisecond}, New: {after: time.Millisecond, err: errCall}})
	require.NoError(t, err)
	require.Equal(t, Pooled, by)
	_, took, _, err := play(t, 3*time.Second, map[Connection]answer{Pooled: {after: 600 * time.Millisecond, err: errCall}, New: {after: time.Millisecond, err: errCall}})
	require.ErrorIs(t, err, errCall)
	require.Equal(t, 600*time.Millisecond, took)
}

// A server that answers nobody must end the call at its time limit.
func TestSilentServerEndsAtTheTimeLimit(t *testing.T) {
	_, took, calls, err := play(t, time.Second, nil)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, time.Second, took)
	require.Equal(t, 2, calls)
}

// One call that finds its connection silent must spare the others the wait for their own lateness.
func TestSuspicionRepeatsCallsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		suspected := make(chan struct{})
		time.AfterFunc(100*time.Millisecond, func() { close(suspected) })
		startedAt, calls := time.Now(), 0
		_, by, err := Do(t.Context(), time.Minute, suspected, func(ctx context.Context, c Connection) (struct{}, error) {
			if calls++; c == Pooled {
				<-ctx.Done()
			}
			return struct{}{}, ctx.Err()
		})
		require.NoError(t, err)
		require.Equal(t, New, by)
		require.Equal(t, 100*time.Millisecond, time.Since(startedAt))
		require.Equal(t, 2, calls)
	})
}
