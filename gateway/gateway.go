package gateway

import (
	"context"
	"io"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/registry"
)

// Options configures a Gateway.
type Options struct {
	Name          string // unique name of the process, part of the IDs of reservations
	FailureDomain string // failure domain of the process
	Catalog       func() *catalog.Snapshot
	Registry      *registry.Registry
	Scheduler     *placement.Scheduler
	RetryBudget   *RetryBudget
	CrashTracker  *CrashTracker
	Backend       Backend
	Log           *logrus.Logger
	Metrics       *Metrics
	Now           func() time.Time
}

// Gateway runs requests. It is safe for concurrent use.
type Gateway struct {
	opts     Options
	tickets  atomic.Uint64
	active   atomic.Int64
	answered atomic.Uint64
}

// New returns a Gateway.
func New(opts Options) *Gateway {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	return &Gateway{opts: opts}
}

// ActiveRequests returns the number of requests that are being served.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// run is the state of one request.
type run struct {
	g            *Gateway
	r            *Request
	caller       ResponseWriter
	service      *catalog.Service
	sends        int // attempts that may have reached an endpoint
	tries        int // failed attempts
	tried        []string
	whole        bool // no splitting any more
	notRun       bool // no attempt so far may have run
	begun        bool // the head of an answer has been sent
	last         int64
	events       int
	first        time.Duration  // until the first event
	at           string         // endpoint of the latest attempt
	planned      placement.Plan // of the latest choice
	queued       uint64         // place in the queue of long prompts; 0: none
	waited       time.Duration  // before the latest attempt was placed
	reserveTries int
	pause        time.Duration // longest pause between events so far
	latest       time.Time     // of the latest event
}

// Serve runs a request and answers the caller. ctx ends when the caller leaves.
func (g *Gateway) Serve(ctx context.Context, r *Request, caller ResponseWriter) {
	g.active.Add(1)
	defer g.active.Add(-1)
	name := r.Route.RandomService()
	service := g.opts.Catalog().Service(name)
	if service == nil {
		service = &catalog.Service{Name: name}
	}
	n := &run{g: g, r: r, caller: caller, service: service, notRun: true, last: r.LastEventID}
	g.opts.RetryBudget.Deposit(name)
	ctx, cancel := context.WithDeadline(ctx, end(r).Add(-answerMargin))
	defer cancel()
	n.serve(ctx)
}

func (n *run) serve(ctx context.Context) {
	if n.g.opts.CrashTracker.Blocked(n.r.Fingerprint) {
		n.refuse(failure{kind: errkind.PromptBlamed, notRun: true, reason: "call has crashed endpoints"}, 0)
		return
	}
	for {
		f, done := n.attempt(ctx)
		if done {
			n.finish("answered", "")
			return
		}
		now := n.g.opts.Now()
		if ctx.Err() != nil && !errors.Is(ctx.Err(), context.DeadlineExceeded) {
			n.finish("canceled", f.reason)
			n.caller.Abort()
			return
		}
		if f.kind == errkind.Canceled || !n.again(f, now) {
			n.refuse(f, retryAfter(f, end(n.r).Sub(now)))
			return
		}
		n.log("retried").WithFields(logrus.Fields{"reason": f.reason, "resume_after": n.last}).Info("request goes to another endpoint")
		n.g.opts.Metrics.retries.WithLabelValues(f.reason).Inc()
	}
}

// maxTries bounds the attempts of a request, those included that reached no endpoint.
const maxTries = 6

// again reports whether another attempt follows and pays for it.
func (n *run) again(f failure, now time.Time) bool {
	if f.final || f.kind == errkind.NoEndpoint || n.g.opts.CrashTracker.Blocked(n.r.Fingerprint) {
		return false
	}
	if n.tries++; n.tries > maxTries || !mayRepeat(n.r, f, n.sends, now) {
		return false
	}
	return f.paid || n.sends == 0 || n.g.opts.RetryBudget.TryWithdraw(n.service.Name)
}

// refuse ends a request without an answer of an endpoint.
func (n *run) refuse(f failure, retryAfter time.Duration) {
	kind := finalKind(f, n.notRun)
	n.finish("refused", f.reason)
	n.g.opts.Metrics.refusals.WithLabelValues(string(kind)).Inc()
	if n.begun {
		n.caller.Abort()
		return
	}
	n.caller.Refuse(kind, retryAfter)
}

func (n *run) log(event string) *logrus.Entry {
	return n.g.opts.Log.WithFields(logrus.Fields{"event": event, "request": n.r.ID, "endpoint": n.at, "sends": n.sends})
}

// finish writes the one line that each request gets.
func (n *run) finish(outcome, reason string) {
	took := n.g.opts.Now().Sub(n.r.ArrivedAt)
	n.g.opts.Metrics.observe(n.r, outcome, took, n.first)
	level := logrus.InfoLevel
	if outcome == "answered" && !n.late() && n.g.answered.Add(1)%answerSample != 0 {
		level = logrus.DebugLevel
	}
	if !n.g.opts.Log.IsLevelEnabled(level) {
		return // most answers: their fields would be put together for nothing
	}
	entry := n.log(outcome).WithFields(logrus.Fields{
		"route": n.r.Route.Name, "kind": n.r.Route.Kind.String(), "tokens": n.r.PromptTokens, "parts": len(n.planned.Endpoints),
		"took_ms": took.Milliseconds(), "first_ms": n.first.Milliseconds(), "events": n.events, "pause_ms": n.pause.Milliseconds(),
		"cost": n.planned.Cost, "cost_delay": n.planned.DelayCost, "cost_block": n.planned.BlockingCost,
		"waited_ms": n.waited.Milliseconds(), "at_ms": n.g.opts.Now().UnixMilli(),
		"output": n.r.OutputTokens, "goal_ms": n.r.Route.LatencyTarget.Milliseconds(),
		"predicted_ms": n.planned.PredictedLatency.Milliseconds(), "not_run": n.notRun,
	})
	if reason != "" {
		entry = entry.WithField("reason", reason)
	}
	entry.Log(level, "request ended")
}

// answerSample is the share of good answers that are logged, one in so many. All others are logged.
const answerSample = 16

// late reports whether an answer missed a goal of its route.
func (n *run) late() bool {
	r := n.r.Route
	return r.LatencyTarget > 0 && n.first > r.LatencyTarget || r.GapTarget > 0 && n.pause > r.GapTarget
}

// attempt sends the request once. done means that the caller has a final answer.
func (n *run) attempt(ctx context.Context) (f failure, done bool) {
	if ctx.Err() != nil {
		return n.ended(ctx, n.sends > 0), false
	}
	p, held, f, ok := n.plan(ctx)
	if !ok {
		return f, false
	}
	defer n.release(p, held)
	return n.send(ctx, p, held)
}

// ended is the failure of an attempt whose time is over or whose caller has left; sent says that it may have reached an
// endpoint.
func (n *run) ended(ctx context.Context, sent bool) failure {
	f := failure{kind: errkind.Canceled, notRun: !sent, reason: "caller left"}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		f.kind, f.reason = errkind.DeadlineExceeded, "time is over"
	}
	return f
}

// chosen is a plan with its endpoints resolved.
type chosen struct {
	placement.Plan
	endpoints []*registry.Endpoint
}

// plan chooses endpoints and reserves memory where the plan asks for it. A request that does better later waits.
func (n *run) plan(ctx context.Context) (*chosen, *holdings, failure, bool) {
	defer n.leaveQueue()
	for {
		c, verdict, f := n.choose()
		if c == nil {
			return nil, nil, f, false
		}
		if verdict == placement.Wait {
			if timing.Sleep(ctx, placement.WaitInterval) != nil {
				return nil, nil, n.ended(ctx, n.sends > 0), false
			}
			continue
		}
		n.note(c.Plan)
		n.logPlan(c)
		if c.ReserveTokens == nil {
			return c, nil, failure{}, true
		}
		held, ok := n.reserve(ctx, c)
		if ok {
			return c, held, failure{}, true
		}
		n.release(c, held)
		if n.reserveTries++; n.reserveTries >= maxReserveTries {
			return nil, nil, failure{kind: errkind.Overloaded, notRun: true, final: true, reason: "memory not reserved"}, false
		}
	}
}

// leaveQueue gives the place in the queue up, if there is one.
func (n *run) leaveQueue() {
	if n.queued != 0 {
		n.g.opts.Scheduler.Remove([]uint64{n.queued})
		n.queued = 0
	}
}

// note keeps the latest plan for the log and for judging silence.
func (n *run) note(p placement.Plan) {
	n.planned, n.waited = p, n.g.opts.Now().Sub(n.r.ArrivedAt)
}

// logPlan writes the choice for prompts that are split among many endpoints; their number is small.
func (n *run) logPlan(c *chosen) {
	if len(c.Endpoints) < loggedParts {
		return
	}
	n.log("placed").WithFields(logrus.Fields{
		"endpoints": c.Endpoints, "reserve": c.ReserveTokens, "tokens": n.r.PromptTokens, "predicted_ms": c.PredictedLatency.Milliseconds(),
		"waited_ms": n.waited.Milliseconds(), "cost": c.Cost, "at_ms": n.g.opts.Now().UnixMilli(),
	}).Info("prompt is split")
}

// loggedParts is the number of endpoints from which a choice has a line of its own.
const loggedParts = 3

// maxReserveTries bounds the plans whose memory could not be reserved. Each try is a few orders, which are billed.
const maxReserveTries = 4

// refusals are the failures of choices that place nothing. None of them is repeated at once.
var refusals = map[placement.Decision]failure{
	placement.InsufficientMemory: {kind: errkind.Overloaded, notRun: true, final: true, reason: "no room for the prompt"},
	placement.TooLate:            {kind: errkind.DeadlineUnmeetable, notRun: true, final: true, reason: "too late for the caller"},
	placement.TooCostly:          {kind: errkind.Overloaded, notRun: true, final: true, reason: "endpoints are busy"},
	placement.QueueTooLong:       {kind: errkind.Overloaded, notRun: true, final: true, lasting: true, reason: "queue is too long"},
}

// choose makes one choice among the endpoints of the service.
func (n *run) choose() (*chosen, placement.Decision, failure) {
	usable := n.g.opts.Registry.Usable(n.service.Name)
	if len(usable) == 0 {
		return nil, placement.InsufficientMemory, failure{kind: errkind.NoEndpoint, notRun: true, reason: "no endpoint"}
	}
	byID := make(map[string]*registry.Endpoint, len(usable))
	cands := n.candidates(usable, byID)
	p, verdict := n.place(cands)
	n.queued = p.QueueJobID
	if f, refused := refusals[verdict]; refused {
		n.note(p)
		return nil, verdict, f
	}
	c := &chosen{Plan: p}
	for _, id := range p.Endpoints {
		c.endpoints = append(c.endpoints, byID[id])
	}
	return c, verdict, failure{}
}

func (n *run) candidates(usable []*registry.Endpoint, byID map[string]*registry.Endpoint) []placement.Candidate {
	cands := make([]placement.Candidate, 0, len(usable))
	add := func(skipTried bool) {
		for _, e := range usable {
			if skipTried && slices.Contains(n.tried, e.ID) {
				continue
			}
			rate, pace := n.g.opts.Registry.Health(e)
			byID[e.ID] = e
			cands = append(cands, placement.Candidate{ID: e.ID, SameFailureDomain: e.Zone == n.g.opts.FailureDomain, FailureRate: rate, Slowdown: pace})
		}
	}
	add(true)
	if len(cands) == 0 {
		add(false)
	}
	return cands
}

func (n *run) place(cands []placement.Candidate) (placement.Plan, placement.Decision) {
	now := n.g.opts.Now()
	if n.service.Engine == nil || n.r.PromptTokens == 0 {
		return n.g.opts.Scheduler.ChoosePlain(cands, now), placement.Admit
	}
	return n.g.opts.Scheduler.Choose(n.service.Engine, cands, placement.Request{
		PromptTokens: n.r.PromptTokens, OutputTokens: n.r.OutputTokens, LatencyTarget: n.r.Route.LatencyTarget, GapTarget: n.r.Route.GapTarget,
		Waited: now.Sub(n.waitsSince()), TimeLeft: n.patience(now), NoSplit: n.whole,
		Service: n.service.Name, QueueJobID: n.queued,
	}, now)
}

// waitsSince returns when the caller's wait for the next event began: at the request's arrival or at the latest event of a
// stream that is resumed.
func (n *run) waitsSince() time.Time {
	if n.latest.IsZero() {
		return n.r.ArrivedAt
	}
	return n.latest
}

// patience returns the time until the caller leaves if no event comes.
func (n *run) patience(now time.Time) time.Duration {
	left := end(n.r).Sub(now)
	if n.r.Route.Kind != catalog.Stream {
		return left
	}
	return min(left, n.waitsSince().Add(placement.CallerIdleTimeout(n.r.Route.LatencyTarget, n.r.Route.GapTarget)).Sub(now))
}

// release ends the jobs and reservations of an attempt.
func (n *run) release(c *chosen, held *holdings) {
	n.g.opts.Scheduler.Remove(c.JobIDs)
	held.release()
}

// send delivers the request to the endpoints of a plan and relays the answer.
func (n *run) send(ctx context.Context, c *chosen, held *holdings) (failure, bool) {
	lead := c.endpoints[0]
	n.at = lead.ID
	if !n.g.opts.Registry.StillUsable(lead) {
		return failure{kind: errkind.Draining, notRun: true, reason: "endpoint left while the request was prepared"}, false
	}
	n.tried = append(n.tried, lead.ID)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := n.watch(lead, cancel)
	defer watch.stop()
	sent := n.g.opts.Now()
	answer, err := n.g.opts.Backend.Send(ctx, &EndpointRequest{
		Request: n.r, Endpoint: lead, TimeLeft: end(n.r).Sub(sent), Helpers: helpers(c, held), LastEventID: n.last,
	})
	if err != nil {
		return n.sendFailed(ctx, lead, err, watch), false
	}
	n.sends++
	lead.RecordActivity(n.g.opts.Now())
	defer answer.Body.Close()
	return n.answer(ctx, c, answer, watch, sent)
}

// helpers lists the endpoints of a plan for the receiving one; its own reservation goes first.
func helpers(c *chosen, held *holdings) []Helper {
	var list []Helper
	ids := held.ids()
	for i, e := range c.endpoints {
		id := ""
		if ids != nil {
			id = ids[i]
		}
		if i == 0 && id == "" {
			continue
		}
		list = append(list, Helper{Addr: e.Addr, Reservation: id})
	}
	return list
}

// sendFailed classifies a send without an answer.
func (n *run) sendFailed(ctx context.Context, e *registry.Endpoint, err error, watch *watchdog) failure {
	var se *SendError
	sent := !errors.As(err, &se) || se.MaybeReceived
	if sent {
		n.sends++
		n.notRun = false
	}
	if watch.expired() {
		n.avoid(e, "silent")
		return failure{kind: errkind.EndpointFailed, notRun: !sent, paid: true, reason: "endpoint silent"}
	}
	if ctx.Err() != nil {
		return n.ended(ctx, sent)
	}
	n.avoid(e, err.Error())
	if sent {
		n.g.opts.CrashTracker.RecordCrash(n.r.Fingerprint)
	}
	return failure{kind: errkind.EndpointFailed, notRun: !sent, reason: "connection failed"}
}

func (n *run) avoid(e *registry.Endpoint, cause string) {
	if n.g.opts.Registry.ReportOutcome(e, registry.Unreachable) {
		n.log("endpoint_avoided").WithField("cause", cause).Info("endpoint is avoided for a while")
	}
}

// noteFault takes an answer's word on the endpoint at fault, which may be one that was to read a part.
func (n *run) noteFault(c *chosen, a *Response) {
	fault := c.endpoints[0]
	for _, e := range c.endpoints[1:] {
		if a.FaultyEndpoint != "" && (a.FaultyEndpoint == e.ID || a.FaultyEndpoint == e.Addr) {
			fault = e
		}
	}
	switch {
	case a.WrongEndpoint:
		n.g.opts.Registry.ReportOutcome(fault, registry.ShuttingDown)
		n.log("endpoint_left").WithField("at", fault.ID).Info("another endpoint has the address")
	case a.NotExecuted && (a.ClosesConnection || fault != c.endpoints[0]):
		n.g.opts.Registry.ReportOutcome(fault, registry.Unreachable)
		n.log("endpoint_avoided").WithFields(logrus.Fields{"at": fault.ID, "cause": "at fault for a refusal"}).
			Info("endpoint is avoided for a while")
	}
}

// answer relays an answer whose head has arrived.
func (n *run) answer(ctx context.Context, c *chosen, a *Response, watch *watchdog, sent time.Time) (failure, bool) {
	lead := c.endpoints[0]
	n.noteFault(c, a)
	if a.NotExecuted || a.WrongEndpoint {
		n.whole = n.whole || len(c.endpoints) > 1
		return failure{kind: errkind.Overloaded, notRun: true, reason: "endpoint refused " + strconv.Itoa(a.Status)}, false
	}
	n.notRun = false
	if n.r.Route.Kind == catalog.Stream && a.Status == 200 && a.SignatureValid {
		return n.stream(ctx, c, a, watch, sent)
	}
	return n.relayWhole(ctx, lead, a, watch)
}

// relayWhole relays an answer that is complete before its first byte is passed on.
func (n *run) relayWhole(ctx context.Context, e *registry.Endpoint, a *Response, watch *watchdog) (failure, bool) {
	body, err := io.ReadAll(a.Body)
	if err != nil || !a.SignatureValid {
		if ctx.Err() != nil && !watch.expired() {
			return n.ended(ctx, true), false
		}
		n.g.opts.Registry.ReportOutcome(e, registry.Failed)
		return failure{kind: errkind.EndpointFailed, reason: "incomplete answer"}, false
	}
	if a.Status >= 500 {
		n.g.opts.Registry.ReportOutcome(e, registry.Failed)
		f := failure{kind: errkind.EndpointFailed, reason: "endpoint failed " + strconv.Itoa(a.Status)}
		if !n.begun && !n.again(f, n.g.opts.Now()) {
			return n.pass(a, body)
		}
		f.paid = true
		return f, false
	}
	n.g.opts.Registry.ReportOutcome(e, registry.Succeeded)
	if n.begun {
		return failure{kind: errkind.StreamBroken, reason: "resumed stream answered " + strconv.Itoa(a.Status)}, false
	}
	return n.pass(a, body)
}

// pass hands a whole answer to the caller.
func (n *run) pass(a *Response, body []byte) (failure, bool) {
	n.begun = true
	n.first = n.g.opts.Now().Sub(n.r.ArrivedAt)
	a.ContentLength = int64(len(body))
	n.caller.WriteHeader(a)
	if err := n.caller.Write(body); err != nil {
		return failure{kind: errkind.Canceled, reason: "caller left"}, false
	}
	n.g.opts.CrashTracker.Forget(n.r.Fingerprint)
	return failure{}, true
}
