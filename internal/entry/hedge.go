package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/ringbuffer"
	"github.com/bilberrylink/bilberrylink/route"
)

// attemptsPerCall counts the first attempt of a call and its hedge.
const attemptsPerCall = 2

// errSlowerAttempt is the cancellation cause of an attempt of a hedged call after the other attempt has answered.
var errSlowerAttempt = errors.New("the other attempt answered first")

// slowerCancelTimeout bounds how long the response waits for the cancellation of the slower attempt.
const slowerCancelTimeout = 100 * time.Millisecond

// outcome is the result of one attempt of a hedged call.
type outcome struct {
	attempt *attempt
	failure *failure
	ep      *route.Endpoint
	latency time.Duration
}

// runHedged runs one attempt. If an idempotent call takes longer than the p95 of its service, a second attempt is made at
// another endpoint, within the retry budgets. The first response is used, and the other attempt is cancelled before
// runHedged returns.
func (d *dispatcher) runHedged(ctx context.Context, r *request, c route.Choice, selector *endpointSelector) *failure {
	if r.isChat() || !r.call.GetIdempotent() {
		a, f := d.runAttempt(ctx, r, c.Endpoint)
		if f != nil {
			return f
		}
		return d.acceptResult(r, a)
	}
	h := &hedgedCall{d: d, r: r, selector: selector, results: ringbuffer.New[outcome](attemptsPerCall)}
	return h.run(ctx, c)
}

// hedgedCall is an idempotent call with up to two concurrent attempts.
type hedgedCall struct {
	d        *dispatcher
	r        *request
	selector *endpointSelector
	results  *ringbuffer.Buffer[outcome]
	running  int // attempts whose outcome has not been received
}

func (h *hedgedCall) run(ctx context.Context, c route.Choice) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer h.waitAll()
	defer cancel(errSlowerAttempt)
	h.start(ctx, c.Endpoint)
	if first, ok := h.waitUpTo(ctx, h.d.hedgeDelays.Delay(h.r.target.Service)); ok {
		return h.acceptOutcome(first)
	}
	h.startHedge(ctx, c)
	o := h.nextOutcome()
	if o.failure != nil && h.running > 0 {
		h.r.raiseRunState(o.failure.err.RunState)
		h.d.recordFailure(ctx, h.r, o.failure, o.ep)
		o = h.nextOutcome()
	}
	return h.acceptOutcome(o)
}

func (h *hedgedCall) start(ctx context.Context, ep *route.Endpoint) {
	h.running++
	began := time.Now()
	go func() {
		a, f := h.d.runAttempt(ctx, h.r, ep)
		_ = h.results.Push(outcome{attempt: a, failure: f, ep: ep, latency: time.Since(began)}) // has room for all attempts
	}()
}

// startHedge starts the second attempt if there is another endpoint and the retry budgets allow it.
func (h *hedgedCall) startHedge(ctx context.Context, c route.Choice) {
	if ctx.Err() != nil {
		return
	}
	excluded := append(h.selector.tried[:len(h.selector.tried):len(h.selector.tried)], c.Endpoint)
	pool := h.d.pool(h.r.snap, &h.r.target)
	next, ok := h.d.opts.Policy.Choose(pool, h.r.routeRequest(excluded, h.d.confined(h.r), 0))
	if !ok || h.r.alone || !h.d.workspaceRetries.TryWithdraw(h.r.workspace) {
		return
	}
	if !h.d.endpointRetries.TryWithdraw(next.Endpoint.Name) {
		h.d.workspaceRetries.Refund(h.r.workspace)
		return
	}
	h.d.metrics.hedges.Inc()
	h.start(ctx, next.Endpoint)
}

// waitUpTo waits for an outcome until timeout.
func (h *hedgedCall) waitUpTo(ctx context.Context, timeout time.Duration) (outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	o, err := h.results.Pop(ctx)
	if err != nil {
		return outcome{}, false
	}
	h.running--
	return o, true
}

// nextOutcome waits for an outcome. It needs no context, because each attempt ends with its own.
func (h *hedgedCall) nextOutcome() outcome {
	o, err := h.results.Pop(context.Background())
	h.running--
	if err != nil {
		return outcome{failure: &failure{err: errkind.Wrap(err, errkind.Internal, "hedged call")}}
	}
	return o
}

func (h *hedgedCall) acceptOutcome(o outcome) *failure {
	if o.failure != nil {
		return o.failure
	}
	h.d.hedgeDelays.Observe(h.r.target.Service, o.latency)
	return h.d.acceptResult(h.r, o.attempt)
}

// waitAll waits until all attempts have ended, including their cancellation at the agents.
func (h *hedgedCall) waitAll() {
	for h.running > 0 {
		h.nextOutcome()
	}
}
