package gateway

import (
	"time"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/placement"
)

const (
	// answerMargin is the time reserved before a request's deadline to write the final response.
	answerMargin = 20 * time.Millisecond
	// leastLeft is the shortest remaining time with which a request is retried.
	leastLeft = 30 * time.Millisecond
	// retryPause is the shortest retry delay suggested to a rejected caller.
	retryPause = 300 * time.Millisecond
	// silenceShare is the share of the caller's idle timeout after which the gateway tries another endpoint.
	silenceShare = 0.6
	// plainSilence is the share of a plain request's time after which another endpoint is tried.
	plainSilence = 0.4
	// aliveFor is the time for which an endpoint counts as working after it has sent something for any request. The
	// predicted time to its next event is added to it.
	aliveFor = 800 * time.Millisecond
)

// silence returns the time without progress after which an attempt on a stream is abandoned for another one.
func silence(r *catalog.Route) time.Duration {
	return time.Duration(float64(placement.CallerIdleTimeout(r.LatencyTarget, r.GapTarget)) * silenceShare)
}

// end returns the deadline of a request: the earlier one of its caller's and its route's.
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

// defaultTimeout applies to requests without a deadline on routes without a timeout.
const defaultTimeout = 60 * time.Second

// failure describes a failed attempt.
type failure struct {
	kind   errkind.Kind
	notRun bool // the endpoint has certainly not executed the request
	final  bool // another attempt would not help
	paid   bool // the retry has already been taken from the budget
	// lasting means that the cause persists for seconds, so that a caller who retries earlier is rejected again.
	lasting bool
	reason  string
}

// retryAfter returns the retry delay suggested to a rejected caller with the given time left. It is a third of that time
// at most, since callers that are told a longer delay retry at that point anyway.
func retryAfter(f failure, left time.Duration) time.Duration {
	latest := max(left/3, 0)
	if f.lasting {
		return latest
	}
	return min(max(left/10, retryPause), latest)
}

// mayRepeat reports whether another attempt is safe and there is time for it. sends is the number of attempts that may
// have reached an endpoint.
func mayRepeat(r *Request, f failure, sends int, now time.Time) bool {
	if sends >= max(r.Route.MaxAttempts, 1) {
		return false
	}
	if !f.notRun && !r.Route.Retryable() {
		return false
	}
	return end(r).Sub(now) > leastLeft
}

// finalKind returns the error kind to report after the last attempt. It is one that means "not executed" if and only if
// no attempt may have been executed.
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
