package entry

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/route"
)

// maxBackoff bounds the pause between rounds over refusing candidates.
const maxBackoff = 500 * time.Millisecond

// round is the state of the choices of one request.
type round struct {
	d        *dispatcher
	r        *request
	tried    []*route.Endpoint
	attempts int
	pause    time.Duration
	last     *failure
}

func (rd *round) exclude(ep *route.Endpoint, f *failure) {
	rd.tried = append(rd.tried, ep)
	rd.last = f
}

// choose returns the next endpoint. After all candidates refused it pauses and asks them again.
func (rd *round) choose(ctx context.Context) (route.Choice, error) {
	for {
		if ctx.Err() != nil {
			return route.Choice{}, rd.d.expired(ctx, rd.last)
		}
		pool := rd.d.pool(rd.r.snap, &rd.r.target)
		if c, ok := rd.pick(pool); ok {
			return rd.accept(c)
		}
		rd.d.refreshPool(pool)
		if !pool.Available() {
			return route.Choice{}, rd.unavailable()
		}
		rd.tried = rd.tried[:0]
		if err := rd.backOff(ctx); err != nil {
			return route.Choice{}, err
		}
	}
}

func (rd *round) pick(pool *route.Pool) (route.Choice, bool) {
	exclude := rd.tried
	for range len(pool.Endpoints()) {
		c, ok := rd.d.opts.Policy.Choose(pool, rd.r.routing(exclude, rd.d.confined(rd.r), rd.d.prefixes.cached(rd.r.prefix)))
		if !ok || rd.last == nil || rd.last.transient() || rd.d.endpointRetries.TryWithdraw(c.Endpoint.Name) {
			return c, ok
		}
		rd.d.metrics.budgetSpent.Inc()
		exclude = append(exclude[:len(exclude):len(exclude)], c.Endpoint)
	}
	return route.Choice{}, false
}

// accept refuses a first attempt that could not begin in time on an idle engine. Whether queued work leaves enough time is
// for the agent to say: only its queue knows the share of the workspace.
func (rd *round) accept(c route.Choice) (route.Choice, error) {
	if rd.attempts == 0 {
		rd.d.endpointRetries.Deposit(c.Endpoint.Name)
		if c.PrefillTime > time.Until(rd.r.deadline) {
			return c, errkind.New(errkind.DeadlineUnmeetable, "the prompt alone cannot be prefilled before the deadline")
		}
	}
	rd.attempts++
	return c, nil
}

func (rd *round) unavailable() error {
	if rd.last != nil {
		return rd.last.err
	}
	return errkind.New(errkind.NoEndpoint, "no live endpoint serves "+rd.r.asked)
}

func (rd *round) backOff(ctx context.Context) error {
	if rd.pause = min(rd.pause*2, maxBackoff); rd.pause == 0 {
		rd.pause = rd.d.timing.InitialBackoff
	}
	if timing.Sleep(ctx, timing.Jitter(rd.pause, 0.5)) != nil {
		return rd.d.expired(ctx, rd.last)
	}
	return nil
}

// confined reports whether the request may only reach the two endpoints of its fingerprint.
func (d *dispatcher) confined(r *request) bool {
	return !d.opts.Disabled.Confinement && d.opts.Blames.Check(r.fingerprint) != blame.Proven
}
