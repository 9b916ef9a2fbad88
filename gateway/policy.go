package gateway

import (
	"time"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/placement"
)

// Times of the gateway.
const (
	// answerMargin is kept at the end of a caller's time to write the final answer.
	answerMargin = 20 * time.Millisecond
	// leastLeft is the least time for which a request is still sent.
	leastLeft = 30 * time.Millisecond
	// retryPause is the shortest time after which a refused caller is asked to come back.
	retryPause = 300 * time.Millisecond
	// silenceShare is the part of the callers' patience after which the gateway tries another endpoint.
	silenceShare = 0.6
	// plainSilence is the share of a repeatable plain request's time after which another endpoint is tried.
	plainSilence = 0.4
	// aliveFor is the time for which an endpoint counts as working after it has sent something to any caller, besides the
	// pass that it is expected to be in.
	aliveFor = 800 * time.Millisecond
)

// silence returns the time without progress after which an attempt is given up for another one.
func silence(r *catalog.Route) time.Duration {
	return time.Duration(float64(placement.CallerIdleTimeout(r.LatencyTarget, r.GapTarget)) * silenceShare)
}

// end returns the time at which a request gets its final answer.
func end(r *Request) time.Time {
	e := r.Deadline
	if r.Route.Timeout > 0 {
		if t := r.ArrivedAt.Add(r.Route.Timeout); e.IsZero() || t.Before(e) {
			e = t
		}
	}
	if e.IsZero() {
		e = r.ArrivedAt.Add(defaultTimeout)
	}
	return e
}

// defaultTimeout bounds requests without any bound of their own.
const defaultTimeout = 60 * time.Second

// failure describes an attempt that gave the caller nothing.
type failure struct {
	kind   errkind.Kind
	notRun bool // certain not to have run at the endpoint
	final  bool // another attempt does not help
	paid   bool // the repeat is already taken from the budget
	// lasting means that the reason stays for seconds: who comes back soon is refused again.
	lasting bool
	reason  string
}

// retryAfter tells a refused caller with so much time left when to come back: after a third of it at most, since callers
// who have to wait longer come back at that time anyway.
func retryAfter(f failure, left time.Duration) time.Duration {
	latest := max(left/3, 0)
	if f.lasting {
		return latest
	}
	return min(max(left/10, retryPause), latest)
}

// mayRepeat reports whether another attempt is safe and has time after so many sends.
func mayRepeat(r *Request, f failure, sends int, now time.Time) bool {
	if sends >= max(r.Route.MaxAttempts, 1) {
		return false
	}
	if !f.notRun && !r.Route.Retryable() {
		return false
	}
	return end(r).Sub(now) > leastLeft
}

// finalKind returns the error kind of a request whose attempts are over. It promises "not run" only if no attempt
// may have run.
func finalKind(last failure, allNotRun bool) errkind.Kind {
	if allNotRun {
		if errkind.RuleOf(last.kind).RunState == errkind.NotRun {
			return last.kind
		}
		return errkind.Overloaded
	}
	if errkind.RuleOf(last.kind).RunState == errkind.NotRun {
		return errkind.EndpointFailed
	}
	return last.kind
}
