package agent

import (
	"math"
	"sync"
	"time"
)

const (
	// defaultPrefillTokensPerSecond is used until the engine reports a rate.
	defaultPrefillTokensPerSecond = 8000
	smoothingFactor               = 0.2 // weight of a new observation in a moving average
	// maxConcurrentCalls is the number of calls that a plain service runs concurrently.
	maxConcurrentCalls = 64
)

// estimates holds moving averages of measurements on the endpoint.
type estimates struct {
	mu              sync.Mutex
	secondsPerToken float64 // time between tokens
	tokensPerAnswer float64
	secondsPerCall  float64
}

func (e *estimates) observeToken(d time.Duration) { e.observe(&e.secondsPerToken, d.Seconds()) }

func (e *estimates) observeAnswer(tokens int) { e.observe(&e.tokensPerAnswer, float64(tokens)) }

func (e *estimates) observeCall(d time.Duration) { e.observe(&e.secondsPerCall, d.Seconds()) }

func (e *estimates) observe(average *float64, value float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if *average == 0 {
		*average = value
		return
	}
	*average += smoothingFactor * (value - *average)
}

// decodeSeconds returns the expected decode time of an answer of at most limit tokens; 0 means no limit.
func (e *estimates) decodeSeconds(limit int) float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	tokens := e.tokensPerAnswer
	if limit > 0 {
		tokens = min(tokens, float64(limit))
	}
	return tokens * e.secondsPerToken
}

func (e *estimates) callSeconds() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.secondsPerCall
}

// estimateDuration returns the expected time until an attempt ends: the work ahead of it in its class and in more urgent ones,
// its own prefill, and an answer of average length. On an idle endpoint only the prefill counts, and for calls only the rounds of
// concurrent calls ahead: otherwise an average from a slow period could refuse all later work and never be corrected.
func (a *Agent) estimateDuration(att *attempt) time.Duration {
	if !att.hasVersion() {
		rounds := math.Floor(a.queue.QueuedCost(att.class) / maxConcurrentCalls)
		return seconds(rounds * a.estimates.callSeconds())
	}
	tokens := a.queue.CostAheadOf(att.queueItem) + float64(a.outstandingAhead(att)) + float64(att.promptTokens)
	estimated := tokens / a.prefillTokensPerSecond()
	if att.segment == nil && a.queue.Running()+a.queue.Len() > 0 {
		estimated += a.estimates.decodeSeconds(int(att.request.GetModel().GetMaxTokens()))
	}
	return seconds(estimated)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (a *Agent) prefillTokensPerSecond() float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.report.PrefillTokensPerSecond > 0 {
		return a.report.PrefillTokensPerSecond
	}
	return defaultPrefillTokensPerSecond
}
