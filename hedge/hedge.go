// Package hedge repeats calls whose response is late on a new connection.
//
// An open connection may stop carrying data without being closed: a middlebox has dropped its state, or the other side has lost power. Nothing
// but the missing response tells, and with a pool of such connections each call would wait for its whole time limit. A call that is late is
// therefore made once more on a new connection, while the first one may still be answered.
package hedge

import (
	"context"
	"time"
)

// Connection tells which connection a call uses.
type Connection int

const (
	Pooled Connection = iota // an open connection if there is one
	New                      // a connection of its own
)

// String returns the name of the connection for logs and metrics.
func (c Connection) String() string {
	if c == New {
		return "new"
	}
	return "pooled"
}

type outcome[T any] struct {
	result T
	err    error
	by     Connection
}

// Do makes a call, and a second one on a new connection if the first has not returned after lateAfter, or when suspected is closed because another
// call has found its connection silent. suspected may be nil. Do returns the first success and cancels the other call; by tells which one
// succeeded. The call must be harmless if it is made twice. If both fail, the error is that of the call that failed last. A failure before
// there is a second call is returned at once.
func Do[T any](
	ctx context.Context, lateAfter time.Duration, suspected <-chan struct{}, call func(context.Context, Connection) (T, error),
) (result T, by Connection, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	outcomes := make(chan outcome[T], 2)
	start := func(c Connection) {
		go func() {
			result, err := call(ctx, c)
			outcomes <- outcome[T]{result, err, c}
		}()
	}
	start(Pooled)
	timer := time.NewTimer(lateAfter)
	defer timer.Stop()
	late, running := timer.C, 1
	repeat := func() {
		start(New)
		running++
		late, suspected = nil, nil
	}
	for {
		select {
		case <-late:
			repeat()
		case <-suspected:
			repeat()
		case o := <-outcomes:
			if running--; o.err == nil || running == 0 {
				return o.result, o.by, o.err
			}
		}
	}
}
