package agent

import (
	"sync"
	"time"
)

const (
	// defaultPrefillRate is used before the first report and when the text states none, in tokens per second.
	defaultPrefillRate = 8000
	smoothing          = 0.2
	// maxCalls is the number of calls that a plain service runs at once.
	maxCalls = 64
)

// estimates holds moving averages of observed times.
type estimates struct {
	mu       sync.Mutex
	perToken time.Duration // time between tokens
	call     time.Duration // time of a plain call
}

func (e *estimates) observeToken(d time.Duration) { e.observe(&e.perToken, d) }

func (e *estimates) observeCall(d time.Duration) { e.observe(&e.call, d) }

func (e *estimates) observe(average *time.Duration, d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *average == 0 {
		*average = d
		return
	}
	*average += time.Duration(smoothing * float64(d-*average))
}

func (e *estimates) get() (perToken, call time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.perToken, e.call
}

// estimate returns the time that an attempt needs: the prefill ahead of it in its class and more urgent ones, its own
// prefill, and its answer. An answer's length is unknown, so only one token is counted: a shorter answer than the limit
// must not be refused.
func (a *Agent) estimate(att *attempt) time.Duration {
	perToken, call := a.estimates.get()
	if !att.hasVersion() {
		rounds := float64(a.queue.Ahead(att.class))/maxCalls + 1
		return time.Duration(rounds * float64(call))
	}
	tokens := a.queue.Ahead(att.class) + float64(a.outstandingAhead(att.class)) + float64(att.prefill)
	return time.Duration(tokens/a.prefillRate()*float64(time.Second)) + perToken
}

func (a *Agent) prefillRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.PrefillRate > 0 {
		return a.report.PrefillRate
	}
	return defaultPrefillRate
}
