package entry

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/route"
)

// maxBackoff bounds the delay before candidates that have all refused are asked again.
const maxBackoff = 500 * time.Millisecond

// endpointSelector selects the endpoints of one request's attempts.
type endpointSelector struct {
	d           *dispatcher
	r           *request
	tried       []*route.Endpoint // excluded until all candidates have been tried
	attempts    int
	delay       time.Duration // the last backoff
	lastFailure *failure      // of the last attempt
}

func (s *endpointSelector) exclude(ep *route.Endpoint, f *failure) {
	s.tried = append(s.tried, ep)
	s.lastFailure = f
}

// choose returns the endpoint of the next attempt. Once all candidates have been tried, it backs off and starts over, at once when the
// configuration changes, which the request then adopts. A prompt that is blamed meanwhile is refused.
func (s *endpointSelector) choose(ctx context.Context) (route.Choice, error) {
	for {
		if ctx.Err() != nil {
			return route.Choice{}, s.d.contextError(ctx, s.lastFailure)
		}
		changed := s.d.epochs.Changed() // before the snapshot is read, so that no change is missed
		if err := s.d.updateTarget(s.r); err != nil {
			return route.Choice{}, err
		}
		if err := s.d.checkBlame(s.r); err != nil {
			return route.Choice{}, err
		}
		pool := s.d.pool(s.r.snap, &s.r.target)
		if c, ok := s.pick(pool); ok {
			return s.admitChoice(c)
		}
		s.d.refreshPool(pool)
		if !pool.Available() {
			return route.Choice{}, s.unavailableError()
		}
		s.tried = s.tried[:0]
		if err := s.backOff(ctx, changed); err != nil {
			return route.Choice{}, err
		}
	}
}

// pick returns the choice of the routing policy, skipping endpoints whose retry budget is exhausted.
func (s *endpointSelector) pick(pool *route.Pool) (route.Choice, bool) {
	excluded := s.tried
	for range len(pool.Endpoints()) {
		c, ok := s.d.opts.Policy.Choose(pool, s.r.routeRequest(excluded, s.d.confined(s.r), s.d.prefixCache.cachedTokens(s.r.prefix)))
		if !ok || s.lastFailure == nil || s.lastFailure.transient() || s.d.endpointRetries.TryWithdraw(c.Endpoint.Name) {
			return c, ok
		}
		s.d.metrics.budgetExhausted.Inc()
		excluded = append(excluded[:len(excluded):len(excluded)], c.Endpoint)
	}
	return route.Choice{}, false
}

// admitChoice refuses a first attempt whose prompt even an idle engine could not prefill before the deadline. Whether the
// queued work leaves enough time is for the agent to decide: only its queue knows the share of the workspace.
func (s *endpointSelector) admitChoice(c route.Choice) (route.Choice, error) {
	if s.attempts == 0 {
		s.d.endpointRetries.Deposit(c.Endpoint.Name)
		if c.PrefillTime > time.Until(s.r.deadline) {
			return c, errkind.New(errkind.DeadlineUnmeetable, "the prompt alone cannot be prefilled before the deadline")
		}
	}
	s.attempts++
	return c, nil
}

// unavailableError returns the error of a request for which no endpoint is available.
func (s *endpointSelector) unavailableError() error {
	if s.lastFailure != nil {
		return s.lastFailure.err
	}
	return errkind.New(errkind.NoEndpoint, "no live endpoint serves "+s.r.requestedName)
}

// backOff waits until the next attempt is due or the configuration changes.
func (s *endpointSelector) backOff(ctx context.Context, changed <-chan struct{}) error {
	if s.delay = min(s.delay*2, maxBackoff); s.delay == 0 {
		s.delay = s.d.timing.InitialBackoff
	}
	timer := time.NewTimer(timing.Jitter(s.delay, 0.5))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return s.d.contextError(ctx, s.lastFailure)
	case <-changed:
	case <-timer.C:
	}
	return nil
}

// confined reports whether the request may only go to the two endpoints that its fingerprint selects. That holds until its
// prompt has completed once, so that a prompt that crashes endpoints reaches no more than two.
func (d *dispatcher) confined(r *request) bool {
	return !d.opts.Disabled.Confinement && d.opts.Blames.Check(r.fingerprint) != blame.Proven
}
