package agent

import (
	"math"
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

// estimates holds moving averages of what was observed on the endpoint.
type estimates struct {
	mu       sync.Mutex
	perToken float64 // seconds between tokens
	answer   float64 // tokens of an answer
	call     float64 // seconds of a plain call
}

func (e *estimates) observeToken(d time.Duration) { e.observe(&e.perToken, d.Seconds()) }

func (e *estimates) observeAnswer(tokens int) { e.observe(&e.answer, float64(tokens)) }

func (e *estimates) observeCall(d time.Duration) { e.observe(&e.call, d.Seconds()) }

func (e *estimates) observe(average *float64, value float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *average == 0 {
		*average = value
		return
	}
	*average += smoothing * (value - *average)
}

// decode returns the expected time of an answer of at most limit tokens, 0 meaning no limit.
func (e *estimates) decode(limit int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := e.answer
	if limit > 0 {
		tokens = min(tokens, float64(limit))
	}
	return tokens * e.perToken
}

func (e *estimates) perCall() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.call
}

// estimate returns the time until an attempt ends: the work ahead of it in its class and more urgent ones, its own
// prefill, and an answer of average length. On an idle endpoint only the prefill counts, and for calls only the rounds
// ahead, so that an average from a slow phase cannot refuse all later work and thereby never be corrected.
func (a *Agent) estimate(att *attempt) time.Duration {
	if !att.hasVersion() {
		rounds := math.Floor(a.queue.QueuedCost(att.class) / maxCalls)
		return seconds(rounds * a.estimates.perCall())
	}
	tokens := a.queue.CostAheadOf(att.item) + float64(a.outstandingAhead(att)) + float64(att.prefill)
	need := tokens / a.prefillRate()
	if att.segment == nil && a.queue.Running()+a.queue.Len() > 0 {
		need += a.estimates.decode(int(att.request.GetModel().GetMaxTokens()))
	}
	return seconds(need)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (a *Agent) prefillRate() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.PrefillTokensPerSecond > 0 {
		return a.report.PrefillTokensPerSecond
	}
	return defaultPrefillRate
}
