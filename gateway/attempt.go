package gateway

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/registry"
)

// attempt is one attempt to get the answer to a request from an endpoint, from its placement on. An attempt whose endpoint is silent is
// not given up: another one runs beside it until one of them gets on with the answer, which ends the other. Its fields are guarded by
// requestState.mu.
type attempt struct {
	state      *requestState
	cancel     context.CancelCauseFunc
	takeOver   func() bool // begins another attempt beside this one, if one is allowed
	superseded bool        // another attempt has got on with the answer
	silent     bool        // another attempt was begun because of its silence
	lost       bool        // it was canceled since its endpoint counts as lost: it accepts no connections
	retryPaid  bool        // lost only: the next attempt has been taken from the retry budget
	ended      bool

	silenceTimer *time.Timer // nil until the request has been sent
	timeout      time.Duration
	progressAt   time.Time
}

// takeover is one or several attempts, one after the other, that run beside a silent one.
type takeover struct {
	attempt  *attempt      // the latest
	done     chan struct{} // closed when they have ended
	failure  failure
	answered bool
}

// errSuperseded is the reason why the context of an attempt ends after another one has got on with the answer.
var errSuperseded = errors.New("another attempt answers")

// newAttempt returns an attempt and its context, which ends with that of the request.
func (s *requestState) newAttempt(requestCtx context.Context) (*attempt, context.Context) {
	ctx, cancel := context.WithCancelCause(requestCtx)
	a := &attempt{state: s, cancel: cancel, takeOver: func() bool { return s.tryTakeover(requestCtx) }}
	s.running = append(s.running, a)
	return a, ctx
}

// end must be called when an attempt has ended.
func (a *attempt) end() {
	a.ended = true
	a.cancel(nil)
	if a.silenceTimer != nil {
		a.silenceTimer.Stop()
	}
	a.state.running = slices.DeleteFunc(a.state.running, func(other *attempt) bool { return other == a })
}

// hasRival reports whether another attempt may still answer.
func (a *attempt) hasRival() bool {
	return slices.ContainsFunc(a.state.running, func(other *attempt) bool { return other != a && !other.superseded })
}

// lead ends the other attempts, as this one gets on with the answer. It returns false if another one has done so before.
func (a *attempt) lead() bool {
	if a.superseded {
		return false
	}
	a.silent = false
	for _, other := range a.state.running {
		if other == a || other.superseded {
			continue
		}
		other.superseded = true
		cause := errSuperseded
		if other.silent {
			cause = ErrEndpointSilent
			a.state.logEntry("taken_over").Info("another attempt has continued an answer whose endpoint was silent")
		}
		other.cancel(cause)
	}
	return true
}

// supersededFailure is the result of an attempt after another one has got on with the answer.
func supersededFailure() failure {
	return failure{kind: errkind.StreamBroken, reason: "superseded"}
}

// watchSilence begins another attempt whenever this one makes no progress for a while, as long as one is allowed. The endpoint is not
// silent while it sends events of other requests, or during the prefill of a long prompt.
func (a *attempt) watchSilence(e *registry.Endpoint) {
	s := a.state
	a.timeout, a.progressAt = s.stallTimeout(), s.gw.opts.Now()
	a.silenceTimer = time.AfterFunc(a.timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if a.ended || a.superseded {
			return
		}
		now := s.gw.opts.Now()
		if quiet := now.Sub(a.progressAt); quiet < a.timeout {
			a.silenceTimer.Reset(a.timeout - quiet)
			return
		}
		busy := e.ActiveSince(now.Add(-activityWindow - s.expectedSilence(e, now)))
		if !busy && !a.hasRival() && a.takeOver() {
			a.silent = true
			s.reportUnreachable(e, "silent")
		}
		a.silenceTimer.Reset(a.timeout)
	})
}

// noteProgress records that the attempt has received something.
func (a *attempt) noteProgress() {
	a.progressAt = a.state.gw.opts.Now()
	a.silenceTimer.Reset(a.timeout)
}

// abandon cancels the attempt if another one is allowed or runs: its endpoint accepts no connections and is silent, while helpers hold memory
// for it.
func (a *attempt) abandon() {
	s := a.state
	s.mu.Lock()
	defer s.mu.Unlock()
	if a.ended || a.superseded || a.lost {
		return
	}
	a.lost = a.hasRival()
	if !a.lost && s.takeoverAllowed() && s.gw.opts.RetryBudget.TryWithdraw(s.service.Name) {
		a.lost, a.retryPaid = true, true
	}
	if a.lost {
		a.cancel(ErrEndpointSilent)
	}
}

// lostFailure returns the failure of an attempt that was abandoned.
func (a *attempt) lostFailure(e *registry.Endpoint, mayBeReceived bool) failure {
	a.state.reportUnreachable(e, "silent")
	return failure{kind: errkind.EndpointFailed, notExecuted: !mayBeReceived, retryPaid: a.retryPaid, reason: "endpoint silent"}
}

// takeoverAllowed reports whether another attempt may follow one that makes no progress.
func (s *requestState) takeoverAllowed() bool {
	return s.failedAttempts < maxFailedAttempts && !s.isBlocked() && mayRetry(s.req, failure{}, s.sendCount, s.gw.opts.Now())
}

// tryTakeover begins an attempt beside one that is silent, if one is allowed. ctx is the context of the request.
func (s *requestState) tryTakeover(ctx context.Context) bool {
	if ctx.Err() != nil || !s.takeoverAllowed() || !s.gw.opts.RetryBudget.TryWithdraw(s.service.Name) {
		return false
	}
	s.logRetry("endpoint silent")
	t := &takeover{done: make(chan struct{})}
	s.takeovers = append(s.takeovers, t)
	var attemptCtx context.Context
	t.attempt, attemptCtx = s.newAttempt(ctx)
	go func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		defer close(t.done)
		for {
			t.failure, t.answered = s.attempt(attemptCtx, t.attempt)
			if t.answered || !t.attempt.hasRival() {
				return
			}
			if ctx.Err() != nil || t.attempt.superseded || !s.tryRetry(t.failure, s.gw.opts.Now()) {
				break
			}
			s.logRetry(t.failure.reason)
			t.attempt, attemptCtx = s.newAttempt(ctx)
		}
		s.takeovers = slices.DeleteFunc(s.takeovers, func(other *takeover) bool { return other == t }) // the silent attempt goes on
		if !t.attempt.superseded {
			s.logEntry("takeover_failed").WithField("reason", t.failure.reason).
				Info("no other endpoint has taken a request whose endpoint is silent")
		}
	}()
	return true
}

// joinTakeovers waits for the attempts beside one that has ended, and returns the result of all.
func (s *requestState) joinTakeovers(f failure, answered bool) (failure, bool) {
	for len(s.takeovers) > 0 {
		t := s.takeovers[0]
		s.takeovers = s.takeovers[1:]
		s.unlocked(func() { <-t.done })
		switch {
		case t.answered:
			answered = true
		case !answered && !t.attempt.superseded:
			f = t.failure
		}
	}
	return f, answered
}

// unlocked makes a call that blocks, during which other attempts may use the state.
func (s *requestState) unlocked(block func()) {
	s.mu.Unlock()
	defer s.mu.Lock()
	block()
}
