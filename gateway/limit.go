package gateway

import (
	"time"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/throttle"
)

// limitWaitShare is the share of the time that a caller waits for an event or a response that its request may wait for an endpoint
// below its limit.
const limitWaitShare = 0.3

// accessTo tells how this gateway shares an endpoint with others.
func (s *requestState) accessTo(e *registry.Endpoint) throttle.Access {
	switch {
	case s.gw.opts.Near(e):
		return throttle.Shared
	case s.gw.opts.Covered(e):
		return throttle.Foreign
	}
	return throttle.Uncovered
}

// belowLimit reports whether an endpoint accepts a request now.
func (s *requestState) belowLimit(e *registry.Endpoint) bool {
	if !s.gw.opts.Throttle.Active() {
		return true
	}
	return s.gw.opts.Throttle.Accepts(e.ID, func() throttle.Access { return s.accessTo(e) })
}

// waitForLimits decides on a request for which all usable endpoints are at their limits.
func (s *requestState) waitForLimits(usable []*registry.Endpoint) (*resolvedPlan, placement.Decision, failure) {
	ids := make([]string, len(usable))
	for i, e := range usable {
		ids[i] = e.ID
	}
	now := s.gw.opts.Now()
	waited := now.Sub(s.waitingSince())
	longest := time.Duration(limitWaitShare * float64(waited+s.callerTimeLeft(now)))
	if s.req.Route.Kind != catalog.Stream && s.req.Route.LatencyTarget > 0 {
		longest = min(longest, s.req.Route.LatencyTarget)
	}
	ok, retryAfter := s.gw.opts.Throttle.MayWait(ids, waited, longest)
	if ok {
		return &resolvedPlan{}, placement.Wait, failure{}
	}
	return nil, placement.TooCostly, failure{kind: errkind.Overloaded, notExecuted: true, final: true, retryAfter: retryAfter,
		reason: "endpoints are at their limits"}
}
