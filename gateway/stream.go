package gateway

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/registry"
)

// streamBuffer is the size of the read buffer of a stream; an event has about a hundred bytes.
const streamBuffer = 4096

// stream relays a stream event by event.
func (n *run) stream(ctx context.Context, c *chosen, a *Response, watch *watchdog, sent time.Time) (failure, bool) {
	lead := c.endpoints[0]
	var split EventSplitter
	buf := make([]byte, streamBuffer)
	started := false
	watch.reset()
	for {
		k, err := a.Body.Read(buf)
		for _, e := range split.Push(buf[:k]) {
			if !started {
				started = true
				n.started(c, sent)
			}
			wasLate := n.late()
			if f, ok := n.forward(a, e); !ok {
				return f, false
			}
			if !wasLate && n.late() {
				n.g.opts.Scheduler.MarkLate(c.JobIDs)
			}
		}
		if k > 0 {
			lead.RecordActivity(n.g.opts.Now())
			watch.reset()
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) && len(split.Rest()) == 0 && n.begun {
			n.g.opts.Registry.ReportOutcome(lead, registry.Succeeded)
			n.g.opts.CrashTracker.Forget(n.r.Fingerprint)
			return failure{}, true
		}
		return n.broken(ctx, lead, err, watch, started), false
	}
}

// started notes the first event of an attempt.
func (n *run) started(c *chosen, sent time.Time) {
	now := n.g.opts.Now()
	n.g.opts.Scheduler.MarkDecoding(c.JobIDs)
	if n.first == 0 {
		n.first = now.Sub(n.r.ArrivedAt)
	}
	if took := now.Sub(sent); c.PredictedLatency > minPaceSample && len(c.endpoints) == 1 {
		n.g.opts.Registry.ObserveSlowdown(c.endpoints[0], took.Seconds()/c.PredictedLatency.Seconds())
	}
}

// minPaceSample is the shortest prediction that says something about the speed of an endpoint.
const minPaceSample = 40 * time.Millisecond

// forward passes one event on. Events that the caller has are dropped, so that a resumed stream repeats none.
func (n *run) forward(a *Response, e Event) (failure, bool) {
	if e.ID >= 0 && e.ID <= n.last {
		return failure{}, true
	}
	if !n.begun {
		n.begun = true
		a.ContentLength = -1
		n.caller.WriteHeader(a)
	}
	if err := n.caller.Write(e.Raw); err != nil {
		return failure{kind: errkind.Canceled, reason: "caller left"}, false
	}
	if e.ID >= 0 {
		n.last = e.ID
	}
	now := n.g.opts.Now()
	if !n.latest.IsZero() {
		n.pause = max(n.pause, now.Sub(n.latest))
	}
	n.latest = now
	n.events++
	return failure{}, true
}

// broken classifies a stream that ended before it was complete.
func (n *run) broken(ctx context.Context, e *registry.Endpoint, err error, watch *watchdog, started bool) failure {
	switch {
	case watch.expired():
		n.avoid(e, "silent")
		return failure{kind: errkind.StreamBroken, paid: true, reason: "stream silent"}
	case ctx.Err() != nil:
		return n.ended(ctx, true)
	}
	n.g.opts.Registry.ReportOutcome(e, registry.Failed)
	if !started {
		n.g.opts.CrashTracker.RecordCrash(n.r.Fingerprint)
	}
	n.log("stream_broken").WithError(err).WithField("resume_after", n.last).Info("stream ended early")
	return failure{kind: errkind.StreamBroken, reason: "stream ended early"}
}

// watchdog gives an attempt up that makes no progress, if another one is allowed.
type watchdog struct {
	mu     sync.Mutex
	timer  *time.Timer
	fired  bool
	period time.Duration
}

// watch starts the watchdog of an attempt. Nothing is given up as long as the endpoint answers others, short of the time
// at which the caller leaves, or without a repeat in the budget: an endpoint that reads a long prompt is silent too, and
// an attempt elsewhere begins from the start.
func (n *run) watch(e *registry.Endpoint, cancel context.CancelFunc) *watchdog {
	w := &watchdog{period: n.silence()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.period, func() {
		now := n.g.opts.Now()
		if e.ActiveSince(now.Add(-aliveFor-n.busy(e, now))) || !n.repeatAllowed(now) || !n.g.opts.RetryBudget.TryWithdraw(n.service.Name) {
			w.reset()
			return
		}
		w.mu.Lock()
		w.fired = true
		w.mu.Unlock()
		cancel()
	})
	return w
}

// busy is the time that the endpoint may be silent because it reads prompts: half as long again as predicted.
func (n *run) busy(e *registry.Endpoint, now time.Time) time.Duration {
	if n.service.Engine == nil {
		return 0
	}
	_, pace := n.g.opts.Registry.Health(e)
	predicted := n.g.opts.Scheduler.TimeToNextEvent(n.service.Engine, e.ID, pace, now)
	return predicted + predicted/2
}

// repeatAllowed reports whether a silent attempt may be followed by another one.
func (n *run) repeatAllowed(now time.Time) bool {
	return mayRepeat(n.r, failure{}, max(n.sends, 1), now)
}

// silence returns the time without progress after which another endpoint is tried.
func (n *run) silence() time.Duration {
	if n.r.Route.Kind == catalog.Stream {
		return max(silence(n.r.Route), 2*n.planned.PredictedLatency)
	}
	return time.Duration(float64(end(n.r).Sub(n.r.ArrivedAt)) * plainSilence)
}

func (w *watchdog) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer.Reset(w.period)
}

func (w *watchdog) stop() { w.timer.Stop() }

func (w *watchdog) expired() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.fired
}
