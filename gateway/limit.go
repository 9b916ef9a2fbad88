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

// belowLimit reports whether an endpoint accepts a request now. limitedAsCold is that of the endpoint.
func (s *requestState) belowLimit(e *registry.Endpoint, limitedAsCold bool) bool {
	if limitedAsCold && !s.gw.opts.Warmup.Accepts(e.ID, s.service.ColdRequestsPerSecond) {
		return false
	}
	if !s.gw.opts.Throttle.Active() {
		return true
	}
	return s.gw.opts.Throttle.Accepts(e.ID, func() throttle.Access { return s.accessTo(e) })
}

// limitedAsCold reports whether an endpoint may be cold and its service limits the requests to cold endpoints.
func (s *requestState) limitedAsCold(e *registry.Endpoint) bool {
	return s.service.ColdRequestsPerSecond > 0 && s.gw.opts.Warmup != nil && s.gw.opts.Registry.MayBeCold(e, s.service.ColdStart)
}

// waitForLimits decides on a request for which all usable endpoints are at their limits.
func (s *requestState) waitForLimits(usable []*registry.Endpoint) (*resolvedPlan, placement.Decision, failure) {
	ids := make([]string, len(usable))
	for i, e := range usable {
		ids[i] = e.ID
	}
	waited, longest := s.waitBounds()
	ok, retryAfter := s.gw.opts.Throttle.MayWait(ids, waited, longest)
	return waitOrReject(ok, retryAfter, "endpoints are at their limits")
}

// waitForResumption decides on a request for which no endpoint is usable: those that are paused may be again in time.
func (s *requestState) waitForResumption() (*resolvedPlan, placement.Decision, failure) {
	resumesAt, paused := s.gw.opts.Registry.ResumesAt(s.service.Name)
	if !paused {
		return nil, placement.InsufficientMemory, failure{kind: errkind.NoEndpoint, notExecuted: true, reason: "no endpoint"}
	}
	waited, longest := s.waitBounds()
	left := resumesAt.Sub(s.gw.opts.Now())
	return waitOrReject(waited+left <= longest, left, "endpoints want no requests")
}

// waitBounds returns how long a request has waited, and how long it may wait in all for an endpoint that accepts it.
func (s *requestState) waitBounds() (waited, longest time.Duration) {
	now := s.gw.opts.Now()
	waited = now.Sub(s.waitingSince())
	longest = time.Duration(limitWaitShare * float64(waited+s.callerTimeLeft(now)))
	if s.req.Route.Kind != catalog.Stream && s.req.Route.LatencyTarget > 0 {
		longest = min(longest, s.req.Route.LatencyTarget)
	}
	return waited, longest
}

func waitOrReject(wait bool, retryAfter time.Duration, reason string) (*resolvedPlan, placement.Decision, failure) {
	if wait {
		return &resolvedPlan{}, placement.Wait, failure{}
	}
	return nil, placement.TooCostly, failure{kind: errkind.Overloaded, notExecuted: true, final: true, retryAfter: retryAfter, reason: reason}
}
