// Package timing provides context-aware sleeps, periodic calls, jitter, signals and windows of times.
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

// Signal puts a signal into a channel with room for one, unless one is waiting there already. Receivers learn that something has
// happened since their last receive, not how often.
func Signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// DropBefore returns the times of an ascending list that are not before start.
func DropBefore(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return times[i:]
}
