package entry

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/ringbuffer"
	"github.com/bilberrylink/bilberrylink/route"
)

// attemptsPerHedge is the first attempt and its hedge.
const attemptsPerHedge = 2

// errOutrun ends an attempt whose hedge answered first.
var errOutrun = errors.New("the other attempt answered first")

// outrunCancelTimeout bounds how long the answer waits for the cancel of the slower attempt.
const outrunCancelTimeout = 100 * time.Millisecond

// outcome is the result of one attempt of a hedged call.
type outcome struct {
	attempt *attempt
	failure *failure
	ep      *route.Endpoint
	latency time.Duration
}

// attemptHedged runs one attempt. An idempotent call that is slower than its service's own p95 gets a second one at
// another endpoint, within the budgets; the first answer wins and the other attempt is cancelled before this returns.
func (d *dispatcher) attemptHedged(ctx context.Context, r *request, c route.Choice, rd *round) *failure {
	if r.isChat() || !r.call.GetIdempotent() {
		a, f := d.attemptOnce(ctx, r, c.Endpoint)
		if f != nil {
			return f
		}
		return d.complete(r, a)
	}
	h := &hedged{d: d, r: r, rd: rd, results: ringbuffer.New[outcome](attemptsPerHedge)}
	return h.run(ctx, c)
}

type hedged struct {
	d       *dispatcher
	r       *request
	rd      *round
	results *ringbuffer.Buffer[outcome]
	running int
}

func (h *hedged) run(ctx context.Context, c route.Choice) *failure {
	ctx, cancel := context.WithCancelCause(ctx)
	defer h.join()
	defer cancel(errOutrun)
	h.start(ctx, c.Endpoint)
	if first, ok := h.wait(ctx, h.d.hedge.Delay(h.r.target.Service)); ok {
		return h.take(first)
	}
	h.second(ctx, c)
	o := h.next()
	if o.failure != nil && h.running > 0 {
		h.r.note(o.failure.err.RunState)
		h.d.learn(ctx, h.r, o.failure, o.ep)
		o = h.next()
	}
	return h.take(o)
}

func (h *hedged) start(ctx context.Context, ep *route.Endpoint) {
	h.running++
	began := time.Now()
	go func() {
		a, f := h.d.attemptOnce(ctx, h.r, ep)
		_ = h.results.Push(outcome{attempt: a, failure: f, ep: ep, latency: time.Since(began)}) // holds all attempts
	}()
}

// second starts the hedge if another endpoint and the budgets allow it.
func (h *hedged) second(ctx context.Context, c route.Choice) {
	if ctx.Err() != nil {
		return
	}
	exclude := append(h.rd.tried[:len(h.rd.tried):len(h.rd.tried)], c.Endpoint)
	pool := h.d.pool(h.r.snap, &h.r.target)
	next, ok := h.d.opts.Policy.Choose(pool, h.r.routing(exclude, h.d.confined(h.r), 0))
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

// wait returns a result that arrives within d.
func (h *hedged) wait(ctx context.Context, d time.Duration) (outcome, bool) {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	o, err := h.results.Pop(ctx)
	if err != nil {
		return outcome{}, false
	}
	h.running--
	return o, true
}

// next waits for a result; each attempt ends by its own context.
func (h *hedged) next() outcome {
	o, err := h.results.Pop(context.Background())
	h.running--
	if err != nil {
		return outcome{failure: &failure{err: errkind.Wrap(err, errkind.Internal, "hedged call")}}
	}
	return o
}

func (h *hedged) take(o outcome) *failure {
	if o.failure != nil {
		return o.failure
	}
	h.d.hedge.Observe(h.r.target.Service, o.latency)
	return h.d.complete(h.r, o.attempt)
}

// join waits until the other attempt has ended and is cancelled at its agent.
func (h *hedged) join() {
	for h.running > 0 {
		h.next()
	}
}
