package gateway

import (
	"time"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/placement"
)

const (
	// responseMargin is the time reserved before a request's deadline to write the final response.
	responseMargin = 20 * time.Millisecond
	// minRetryTimeLeft is the shortest remaining time with which a request is retried.
	minRetryTimeLeft = 30 * time.Millisecond
	// minRetryAfter is the shortest retry delay suggested to a rejected caller.
	minRetryAfter = 300 * time.Millisecond
	// streamStallShare is the share of the caller's idle timeout after which the gateway tries another endpoint.
	streamStallShare = 0.6
	// plainStallShare is the share of a plain request's time after which another endpoint is tried.
	plainStallShare = 0.4
	// activityWindow is the time for which an endpoint counts as working after it has sent something for any request. The
	// predicted time to its next event is added to it.
	activityWindow = 800 * time.Millisecond
)

// streamStallTimeout returns the time without progress after which an attempt on a stream is abandoned for another one.
func streamStallTimeout(r *catalog.Route) time.Duration {
	return time.Duration(float64(placement.CallerIdleTimeout(r.LatencyTarget, r.GapTarget)) * streamStallShare)
}

// deadlineOf returns the time by which a request must have its final response: the earlier one of the caller's deadline and
// the timeout of the route.
func deadlineOf(r *Request) time.Time {
	deadline := r.Deadline
	if r.Route.Timeout > 0 {
		if routeDeadline := r.ArrivedAt.Add(r.Route.Timeout); deadline.IsZero() || routeDeadline.Before(deadline) {
			deadline = routeDeadline
		}
	}
	if deadline.IsZero() {
		deadline = r.ArrivedAt.Add(defaultTimeout)
	}
	return deadline
}

// defaultTimeout applies to requests without a deadline on routes without a timeout.
const defaultTimeout = 60 * time.Second

// mayOutlive reports whether a request that must not be repeated may still be running when the process ends. Its caller could not tell then
// whether it has run.
func mayOutlive(r *Request, processEndsAt time.Time) bool {
	return !r.Route.Retryable() && deadlineOf(r).After(processEndsAt)
}

// failure describes a failed attempt.
type failure struct {
	kind        errkind.Kind
	notExecuted bool          // the endpoint has certainly not executed the request
	final       bool          // another attempt would not help
	retryPaid   bool          // the retry has already been taken from the budget
	retryAfter  time.Duration // time after which the request may be served; 0: not known
	// hopeless means that the same request will be rejected for minutes: its caller is not told when to return.
	hopeless bool
	// persistent means that the cause persists for seconds, so that a caller who retries earlier is rejected again.
	persistent bool
	reason     string
}

// retryAfter returns the retry delay suggested to a rejected caller with the given time left. It is a third of that time
// at most, since callers that are told a longer delay retry at that point anyway.
func retryAfter(f failure, timeLeft time.Duration) time.Duration {
	if f.hopeless {
		return 0
	}
	longest := max(timeLeft/3, 0)
	if f.persistent {
		return longest
	}
	return min(max(timeLeft/10, minRetryAfter, f.retryAfter), longest)
}

// notReadyRetryAfter is the retry delay of a gateway whose configuration is missing or outdated while the store responds: another
// gateway may have the current one, or this one will have it within a second.
const notReadyRetryAfter = 500 * time.Millisecond

// NotReadyRetryAfter returns the retry delay suggested to a caller whose request needs a configuration that this gateway does not
// have. An outage of the store lasts seconds, and after a restart of all gateways nobody else has the configuration either: a caller
// that returns soon is refused again, and may not try a third time.
func NotReadyRetryAfter(storeAway bool, timeLeft time.Duration) time.Duration {
	if storeAway {
		return max(timeLeft/3, notReadyRetryAfter)
	}
	return notReadyRetryAfter
}

// mayRetry reports whether another attempt is safe and there is time for it. sendCount is the number of attempts that may
// have reached an endpoint.
func mayRetry(r *Request, last failure, sendCount int, now time.Time) bool {
	if sendCount >= max(r.Route.MaxAttempts, 1) {
		return false
	}
	if !last.notExecuted && !r.Route.Retryable() {
		return false
	}
	return deadlineOf(r).Sub(now) > minRetryTimeLeft
}

// finalKind returns the error kind to report after the last attempt. It is one that means "not executed" if and only if
// no attempt may have been executed.
func finalKind(last failure, neverExecuted bool) errkind.Kind {
	if neverExecuted {
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
