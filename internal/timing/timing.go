// Package timing provides context-aware sleeps, periodic calls and jitter.
package timing

import (
	"context"
	"math/rand/v2"
	"time"
)

// Sleep waits for d and returns nil, or the context's error if the context ends first.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// Every calls do once per period until ctx ends. The first call is after one period.
func Every(ctx context.Context, period time.Duration, do func()) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do()
		}
	}
}

// Jitter returns a random duration around d: a spread of 0.2 gives 80% to 120% of d. It prevents nodes that start together,
// or wait for the end of the same outage, from acting at the same moment.
func Jitter(d time.Duration, spread float64) time.Duration {
	return time.Duration((1 - spread + 2*spread*rand.Float64()) * float64(d))
}
