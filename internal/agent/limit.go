package agent

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// limitBurst is the number of requests that may follow each other at once under a limit.
const limitBurst = 2

// requestLimit keeps the requests to the endpoint within the limit that it has stated. The agent is the only one that sends it any. The zero
// value is ready for use.
type requestLimit struct {
	mu      sync.Mutex
	limiter *rate.Limiter // nil: no limit
}

// take reports whether a request may be sent under the limit, and counts it then.
func (l *requestLimit) take(limit endpoint.Limit, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !limit.Stated {
		l.limiter = nil
		return true
	}
	if l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(limit.PerSecond), limitBurst)
	}
	if l.limiter.Limit() != rate.Limit(limit.PerSecond) {
		l.limiter.SetLimitAt(now, rate.Limit(limit.PerSecond))
	}
	return l.limiter.AllowN(now, 1)
}

// endpointLimit returns the limit that the endpoint has stated.
func (a *Agent) endpointLimit() endpoint.Limit {
	for _, client := range []any{a.opts.Engine, a.opts.Service} {
		if limited, ok := client.(endpoint.Limited); ok {
			return limited.Limit()
		}
	}
	return endpoint.Limit{}
}
