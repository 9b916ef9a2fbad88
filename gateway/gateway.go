package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/throttle"
	"github.com/bilberrylink/bilberrylink/warmup"
)

// Options configures a Gateway.
type Options struct {
	Name          string                   // unique; part of the IDs of reservations
	FailureDomain string                   // of this process
	Catalog       func() *catalog.Snapshot // returns the current configuration
	Registry      *registry.Registry
	Scheduler     *placement.Scheduler
	Near          func(*registry.Endpoint) bool // whether other gateways' short prompts at it are known at once; nil: always
	Covered       func(*registry.Endpoint) bool // whether any gateways are near it; nil: always
	RetryBudget   *RetryBudget
	Quarantine    *quarantine.Tracker
	Throttle      *throttle.Tracker
	Warmup        *warmup.Limiter // nil: cold endpoints get as many requests as others
	Backend       Backend
	Log           *logrus.Logger
	Metrics       *Metrics
	Now           func() time.Time // nil: time.Now
}

// Gateway forwards requests to endpoints. It is safe for concurrent use.
type Gateway struct {
	opts             Options
	incarnation      string // of this process; part of the IDs of reservations, which outlive a killed process
	reservationCount atomic.Uint64
	active           atomic.Int64
	waiting          atomic.Int64 // requests that wait for a plan
	planTime         atomic.Int64 // nanoseconds that a plan takes, moving average
	answeredInTime   atomic.Uint64
	ending           context.Context
	end              context.CancelFunc
	endsAt           atomic.Pointer[time.Time] // when EndRequests will be called; nil: not known
}

// errProcessEnds is the reason why the context of a request ends when the process has no more time for it.
var errProcessEnds = errors.New("process ends")

// New returns a Gateway.
func New(opts Options) *Gateway {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Near == nil {
		opts.Near = func(*registry.Endpoint) bool { return true }
	}
	if opts.Covered == nil {
		opts.Covered = func(*registry.Endpoint) bool { return true }
	}
	g := &Gateway{opts: opts, incarnation: strconv.FormatUint(uint64(rand.Uint32()), 36)}
	g.ending, g.end = context.WithCancel(context.Background())
	return g
}

// EndRequests ends the requests whose answer has not begun, with an answer that tells whether they may have run, and refuses later
// requests.
func (g *Gateway) EndRequests() { g.end() }

// AnnounceEnd tells when EndRequests will be called. Later requests are refused that must not be repeated and may still be running then.
func (g *Gateway) AnnounceEnd(at time.Time) { g.endsAt.Store(&at) }

// ActiveRequests returns the number of requests in progress.
func (g *Gateway) ActiveRequests() int64 { return g.active.Load() }

// requestState is the state of one request. Its attempts hold mu, which they release while they wait.
type requestState struct {
	gw       *Gateway
	req      *Request
	writer   ResponseWriter
	service  *catalog.Service
	subjects []quarantine.Subject // what may crash endpoints: the call and the shared parts of its prompt

	mu                 sync.Mutex
	running            []*attempt
	takeovers          []*takeover // whose result is not known yet
	sendCount          int         // attempts that may have reached an endpoint
	failedAttempts     int
	triedEndpoints     []string       // IDs of the endpoints of earlier attempts
	noSplit            bool           // a split prompt was refused for an unknown reason; later attempts do not split it
	notExecuted        bool           // certainly no attempt so far has been executed
	headerWritten      atomic.Bool    // the caller has received the response header; read by EndRequests, too
	lastEventID        int64          // last event that the caller has received; -1: none
	eventCount         int            // events written to the caller
	firstEventLatency  time.Duration  // 0: no event yet
	endpointID         string         // of the latest attempt
	lastPlan           placement.Plan // also of a rejected request, for the log
	queueJobID         uint64         // queue entry of a long prompt; 0: none
	waitedForPlan      time.Duration  // from the arrival of the request to the latest plan
	failedReservations int            // plans whose memory could not be reserved
	longestGap         time.Duration  // between two events
	lastEventAt        time.Time      // zero: no event yet
}

// Serve processes a request and writes the response. ctx must end when the caller disconnects.
func (g *Gateway) Serve(ctx context.Context, r *Request, writer ResponseWriter) {
	g.active.Add(1)
	defer g.active.Add(-1)
	name := r.Route.RandomService()
	service := g.opts.Catalog().Service(name)
	if service == nil {
		service = &catalog.Service{Name: name}
	}
	s := &requestState{gw: g, req: r, writer: writer, service: service, subjects: subjectsOf(r), notExecuted: true,
		lastEventID: r.LastEventID}
	g.opts.RetryBudget.Deposit(name)
	ctx, cancel := context.WithDeadline(ctx, deadlineOf(r).Add(-responseMargin))
	defer cancel()
	ctx, cancelCause := context.WithCancelCause(ctx)
	defer cancelCause(nil)
	if g.ending.Err() != nil {
		cancelCause(errProcessEnds)
	}
	defer context.AfterFunc(g.ending, func() {
		if !s.headerWritten.Load() {
			cancelCause(errProcessEnds)
		}
	})()
	s.serve(ctx)
}

func (s *requestState) serve(ctx context.Context) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		a, attemptCtx := s.newAttempt(ctx)
		f, done := s.joinTakeovers(s.attempt(attemptCtx, a))
		if done {
			s.finish("answered", "")
			return
		}
		now := s.gw.opts.Now()
		if callerLeft(ctx) {
			s.finish("canceled", f.reason)
			s.writer.Abort()
			return
		}
		if f.kind == errkind.Canceled || !s.tryRetry(f, now) {
			s.refuse(f, retryAfter(f, deadlineOf(s.req).Sub(now)))
			return
		}
		s.logRetry(f.reason)
	}
}

func (s *requestState) logRetry(reason string) {
	s.logEntry("retried").WithFields(logrus.Fields{"reason": reason, "resume_after": s.lastEventID}).
		Info("request is retried at another endpoint")
	s.gw.opts.Metrics.retries.WithLabelValues(reason).Inc()
}

// callerLeft reports whether the context of a request has ended because its caller disconnected.
func callerLeft(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return cause != nil && !errors.Is(cause, context.DeadlineExceeded) && !errors.Is(cause, errProcessEnds)
}

// maxFailedAttempts bounds the failed attempts of a request, including those that reached no endpoint.
const maxFailedAttempts = 6

// tryRetry reports whether another attempt follows and takes it from the retry budget.
func (s *requestState) tryRetry(f failure, now time.Time) bool {
	if f.final || f.kind == errkind.NoEndpoint || s.isBlocked() {
		return false
	}
	if s.failedAttempts++; s.failedAttempts > maxFailedAttempts || !mayRetry(s.req, f, s.sendCount, now) {
		return false
	}
	return f.retryPaid || s.sendCount == 0 || s.gw.opts.RetryBudget.TryWithdraw(s.service.Name)
}

// refuse ends a request with an error of the gateway.
func (s *requestState) refuse(last failure, retryAfter time.Duration) {
	kind := finalKind(last, s.notExecuted)
	s.finish("refused", last.reason)
	s.gw.opts.Metrics.refusals.WithLabelValues(string(kind)).Inc()
	if s.headerWritten.Load() {
		s.writer.Abort()
		return
	}
	s.writer.Refuse(kind, retryAfter)
}

func (s *requestState) logEntry(event string) *logrus.Entry {
	return s.gw.opts.Log.WithFields(logrus.Fields{
		"event": event, "request": s.req.ID, "endpoint": s.endpointID, "sends": s.sendCount,
	})
}

// finish updates the metrics and logs the end of a request.
func (s *requestState) finish(outcome, reason string) {
	took := s.gw.opts.Now().Sub(s.req.ArrivedAt)
	s.gw.opts.Metrics.observe(s.req, outcome, took, s.firstEventLatency)
	level := logrus.InfoLevel
	if outcome == "answered" && !s.missedTarget() && s.gw.answeredInTime.Add(1)%answerLogInterval != 0 {
		level = logrus.DebugLevel
	}
	if !s.gw.opts.Log.IsLevelEnabled(level) {
		return // the usual case; skips building the fields
	}
	entry := s.logEntry(outcome).WithFields(logrus.Fields{
		"route": s.req.Route.Name, "kind": s.req.Route.Kind.String(), "tokens": s.req.PromptTokens, "parts": len(s.lastPlan.Endpoints),
		"took_ms": took.Milliseconds(), "first_ms": s.firstEventLatency.Milliseconds(),
		"events": s.eventCount, "pause_ms": s.longestGap.Milliseconds(),
		"cost": s.lastPlan.Cost, "cost_delay": s.lastPlan.DelayCost, "cost_block": s.lastPlan.BlockingCost,
		"waited_ms": s.waitedForPlan.Milliseconds(), "at_ms": s.gw.opts.Now().UnixMilli(),
		"output": s.req.OutputTokens, "goal_ms": s.req.Route.LatencyTarget.Milliseconds(),
		"predicted_ms": s.lastPlan.PredictedLatency.Milliseconds(), "not_run": s.notExecuted,
	})
	if reason != "" {
		entry = entry.WithField("reason", reason)
	}
	entry.Log(level, "request ended")
}

// answerLogInterval is the sampling interval for the log of requests that were answered in time: one in answerLogInterval is
// logged at level info. All other requests are logged at that level.
const answerLogInterval = 16

// missedTarget reports whether an answer missed a target of its route.
func (s *requestState) missedTarget() bool {
	route := s.req.Route
	return route.LatencyTarget > 0 && s.firstEventLatency > route.LatencyTarget ||
		route.GapTarget > 0 && s.longestGap > route.GapTarget
}

// attempt sends the request once. done means that the caller has received a complete response.
func (s *requestState) attempt(ctx context.Context, a *attempt) (f failure, done bool) {
	defer a.end()
	if ctx.Err() != nil {
		return s.contextFailure(ctx, s.sendCount > 0), false
	}
	if endsAt := s.gw.endsAt.Load(); endsAt != nil && mayOutlive(s.req, *endsAt) {
		return failure{kind: errkind.Draining, notExecuted: s.notExecuted, final: true, reason: "process ends too soon"}, false
	}
	plan, reservations, f, ok := s.planAndReserve(ctx)
	if !ok {
		return f, false
	}
	defer s.releasePlan(plan, reservations)
	return s.send(ctx, a, plan, reservations)
}

// contextFailure returns the failure of an attempt whose context has ended: at the deadline, because the caller disconnected, or because
// the process ends. mayBeReceived means that an endpoint may have received the request.
func (s *requestState) contextFailure(ctx context.Context, mayBeReceived bool) failure {
	f := failure{kind: errkind.Canceled, notExecuted: !mayBeReceived, reason: "caller left"}
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, context.DeadlineExceeded):
		f.kind, f.reason = errkind.DeadlineExceeded, "time is over"
	case errors.Is(cause, errProcessEnds):
		f.kind, f.reason, f.final = errkind.Draining, "process ends", true
	}
	return f
}

// resolvedPlan is a plan with its endpoints looked up.
type resolvedPlan struct {
	placement.Plan
	endpoints []*registry.Endpoint
}

// planAndReserve selects endpoints and reserves the memory that the plan requires. It blocks while the scheduler decides
// that the request has to wait for a better plan.
func (s *requestState) planAndReserve(ctx context.Context) (*resolvedPlan, *reservationSet, failure, bool) {
	defer s.leaveQueue()
	for {
		if f, blocked := s.blockedFailure(s.gw.opts.Quarantine.Check); blocked {
			return nil, nil, f, false
		}
		plan, decision, f := s.choosePlan()
		if plan == nil {
			return nil, nil, f, false
		}
		s.gw.opts.Metrics.plans.WithLabelValues(strconv.FormatBool(decision == placement.Wait)).Inc()
		if decision == placement.Wait {
			if s.awaitPlan(ctx) != nil {
				return nil, nil, s.contextFailure(ctx, s.sendCount > 0), false
			}
			continue
		}
		if !s.gw.opts.Throttle.Take(plan.Endpoints[0], s.accessTo(plan.endpoints[0]), len(s.triedEndpoints)+1) {
			s.releasePlan(plan, nil) // another request took the last one that the endpoint accepts
			continue
		}
		if s.limitedAsCold(plan.endpoints[0]) && !s.gw.opts.Warmup.Take(plan.Endpoints[0], s.service.ColdRequestsPerSecond) {
			s.releasePlan(plan, nil)
			continue
		}
		s.recordPlan(plan.Plan)
		s.logPlan(plan)
		if plan.ReserveTokens == nil {
			return plan, nil, failure{}, true
		}
		var reservations *reservationSet
		var ok bool
		s.unlocked(func() { reservations, ok = s.reserve(ctx, plan) })
		if ok {
			return plan, reservations, failure{}, true
		}
		s.releasePlan(plan, reservations)
		if s.failedReservations++; s.failedReservations >= maxFailedReservations {
			return nil, nil, failure{kind: errkind.Overloaded, notExecuted: true, final: true, reason: "memory not reserved"}, false
		}
	}
}

// Waiting requests of this gateway ask for a plan at intervals of minPlanInterval, or planTimeFactor times what a plan takes, which grows with
// the number of endpoints. In a burst, requests that each asked every 25 ms took the processor time of all other work.
const (
	minPlanInterval = time.Millisecond
	planTimeFactor  = 8
	// planTimeWeight is the weight of the latest plan in the moving average of the time that one takes.
	planTimeWeight = 0.1
)

// awaitPlan waits until the request should ask for a plan again.
func (s *requestState) awaitPlan(ctx context.Context) (err error) {
	waiting := s.gw.waiting.Add(1)
	defer s.gw.waiting.Add(-1)
	interval := max(minPlanInterval, planTimeFactor*time.Duration(s.gw.planTime.Load()))
	s.unlocked(func() { err = timing.Sleep(ctx, max(placement.WaitInterval, time.Duration(waiting)*interval)) })
	return err
}

// observePlanTime records the time that a plan has taken.
func (g *Gateway) observePlanTime(took time.Duration) {
	average := g.planTime.Load()
	g.planTime.Store(average + int64(planTimeWeight*float64(int64(took)-average))) // an update that is lost does no harm
}

// leaveQueue removes the request's queue entry, if there is one.
func (s *requestState) leaveQueue() {
	if s.queueJobID != 0 {
		s.gw.opts.Scheduler.Remove([]uint64{s.queueJobID})
		s.queueJobID = 0
	}
}

// recordPlan keeps the latest plan for the log and for the timeout of the watchdog.
func (s *requestState) recordPlan(p placement.Plan) {
	s.lastPlan, s.waitedForPlan = p, s.gw.opts.Now().Sub(s.req.ArrivedAt)
}

// logPlan logs plans that split a prompt among several endpoints. There are few of them.
func (s *requestState) logPlan(plan *resolvedPlan) {
	if len(plan.Endpoints) < minLoggedEndpoints {
		return
	}
	s.logEntry("placed").WithFields(logrus.Fields{
		"endpoints": plan.Endpoints, "reserve": plan.ReserveTokens, "tokens": s.req.PromptTokens,
		"predicted_ms": plan.PredictedLatency.Milliseconds(),
		"waited_ms":    s.waitedForPlan.Milliseconds(), "cost": plan.Cost, "at_ms": s.gw.opts.Now().UnixMilli(),
	}).Info("prompt is split")
}

// minLoggedEndpoints is the smallest number of endpoints of a plan that is logged.
const minLoggedEndpoints = 3

// maxFailedReservations bounds the plans whose memory could not be reserved. Each one makes a few calls, which are billed.
const maxFailedReservations = 4

// rejections maps the decisions that reject a request to failures. None of these is retried.
var rejections = map[placement.Decision]failure{
	placement.InsufficientMemory: {
		kind: errkind.Overloaded, notExecuted: true, final: true, reason: "no room for the prompt",
	},
	placement.TooLate: {
		kind: errkind.DeadlineUnmeetable, notExecuted: true, final: true, reason: "too late for the caller",
	},
	placement.TooCostly: {
		kind: errkind.Overloaded, notExecuted: true, final: true, reason: "endpoints are busy",
	},
	placement.QueueTooLong: {
		kind: errkind.Overloaded, notExecuted: true, final: true, persistent: true, reason: "queue is too long",
	},
}

// choosePlan asks for a placement once. The plan is nil if the request is rejected.
func (s *requestState) choosePlan() (*resolvedPlan, placement.Decision, failure) {
	usable := s.gw.opts.Registry.Usable(s.service.Name)
	if len(usable) == 0 {
		return s.waitForResumption()
	}
	byID := make(map[string]*registry.Endpoint, len(usable))
	candidates := s.candidates(usable, byID)
	if !slices.ContainsFunc(candidates, func(c placement.Candidate) bool { return !c.HelperOnly }) {
		return s.waitForLimits(usable)
	}
	placed, decision := s.choosePlacement(candidates)
	s.queueJobID = placed.QueueJobID
	if f, rejected := rejections[decision]; rejected {
		s.recordPlan(placed)
		return nil, decision, f
	}
	plan := &resolvedPlan{Plan: placed}
	for _, id := range placed.Endpoints {
		plan.endpoints = append(plan.endpoints, byID[id])
	}
	return plan, decision, failure{}
}

// candidates returns the usable endpoints as candidates and adds them to byID. It leaves out endpoints of earlier attempts
// unless no others are usable. Those that are at the limit that they have stated may only help.
func (s *requestState) candidates(usable []*registry.Endpoint, byID map[string]*registry.Endpoint) []placement.Candidate {
	candidates := make([]placement.Candidate, 0, len(usable))
	add := func(skipTried bool) {
		for _, e := range usable {
			if skipTried && slices.Contains(s.triedEndpoints, e.ID) {
				continue
			}
			failureRate, slowdown := s.gw.opts.Registry.Health(e)
			cold := s.limitedAsCold(e)
			byID[e.ID] = e
			candidates = append(candidates, placement.Candidate{
				ID: e.ID, Domain: e.Zone, SameFailureDomain: e.Zone == s.gw.opts.FailureDomain, Near: s.gw.opts.Near(e), FailureRate: failureRate,
				Slowdown: slowdown, HelperOnly: !s.belowLimit(e, cold), Cold: cold,
			})
		}
	}
	add(true)
	if len(candidates) == 0 {
		add(false)
	}
	return candidates
}

func (s *requestState) choosePlacement(candidates []placement.Candidate) (placement.Plan, placement.Decision) {
	now := s.gw.opts.Now()
	if s.service.Engine == nil || s.req.PromptTokens == 0 {
		candidates = slices.DeleteFunc(candidates, func(c placement.Candidate) bool { return c.HelperOnly })
		return s.gw.opts.Scheduler.ChoosePlain(candidates, now), placement.Admit
	}
	startedAt := time.Now()
	defer func() { s.gw.observePlanTime(time.Since(startedAt)) }()
	return s.gw.opts.Scheduler.Choose(s.service.Engine, candidates, placement.Request{
		PromptTokens: s.req.PromptTokens, OutputTokens: s.req.OutputTokens,
		LatencyTarget: s.req.Route.LatencyTarget, GapTarget: s.req.Route.GapTarget,
		Waited: now.Sub(s.waitingSince()), TimeLeft: s.callerTimeLeft(now), NoSplit: s.noSplit,
		Service: s.service.Name, QueueJobID: s.queueJobID,
	}, now)
}

// waitingSince returns the time since which the caller has waited for an event: the latest event of a resumed stream, or
// else the arrival of the request.
func (s *requestState) waitingSince() time.Time {
	if s.lastEventAt.IsZero() {
		return s.req.ArrivedAt
	}
	return s.lastEventAt
}

// callerTimeLeft returns the time until the caller gives up if no event arrives.
func (s *requestState) callerTimeLeft(now time.Time) time.Duration {
	left := deadlineOf(s.req).Sub(now)
	if s.req.Route.Kind != catalog.Stream {
		return left
	}
	return min(left, s.waitingSince().Add(placement.CallerIdleTimeout(s.req.Route.LatencyTarget, s.req.Route.GapTarget)).Sub(now))
}

// releasePlan removes the jobs of an attempt from the scheduler and releases its reservations.
func (s *requestState) releasePlan(plan *resolvedPlan, reservations *reservationSet) {
	s.gw.opts.Scheduler.Remove(plan.JobIDs)
	reservations.release()
}

// send sends the request to the primary endpoint of a plan and forwards the response.
func (s *requestState) send(ctx context.Context, a *attempt, plan *resolvedPlan, reservations *reservationSet) (failure, bool) {
	primary := plan.endpoints[0]
	s.endpointID = primary.ID
	if slices.ContainsFunc(plan.endpoints, func(e *registry.Endpoint) bool { return !s.gw.opts.Registry.StillUsable(e) }) {
		return failure{kind: errkind.Draining, notExecuted: true, reason: "endpoint left while the request was prepared"}, false
	}
	if f, blocked := s.blockedFailure(s.gw.opts.Quarantine.Admit); blocked {
		return f, false
	}
	s.triedEndpoints = append(s.triedEndpoints, primary.ID)
	a.watchSilence(primary)
	defer reservations.onLost(a.abandon)()
	s.gw.opts.Metrics.observeCrossings(s.gw.opts.FailureDomain, s.req, plan)
	sentAt := s.gw.opts.Now()
	message := &EndpointRequest{
		Request: s.req, Endpoint: primary, TimeLeft: deadlineOf(s.req).Sub(sentAt), Helpers: helpers(plan, reservations),
		LastEventID: s.lastEventID, NewConnection: len(s.triedEndpoints) > 1,
	}
	s.sendCount++
	var response *Response
	var err error
	s.unlocked(func() { response, err = s.gw.opts.Backend.Send(ctx, message) })
	if err != nil {
		return s.sendFailure(ctx, a, primary, err), false
	}
	defer response.Body.Close()
	return s.forwardResponse(ctx, a, plan, response, sentAt)
}

// helpers returns the endpoints that are passed to the primary endpoint of a plan. The primary endpoint itself comes first
// if it has a reservation.
func helpers(plan *resolvedPlan, reservations *reservationSet) []Helper {
	var list []Helper
	ids := reservations.ids()
	for i, e := range plan.endpoints {
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

// sendFailure returns the failure for a request that got no response.
func (s *requestState) sendFailure(ctx context.Context, a *attempt, e *registry.Endpoint, err error) failure {
	var sendErr *SendError
	mayBeReceived := !errors.As(err, &sendErr) || sendErr.MaybeReceived
	if mayBeReceived {
		s.notExecuted = false
	} else {
		s.sendCount--
	}
	switch {
	case a.superseded:
		return supersededFailure()
	case a.lost:
		return a.lostFailure(e, mayBeReceived)
	case ctx.Err() != nil:
		return s.contextFailure(ctx, mayBeReceived)
	}
	s.reportUnreachable(e, err.Error())
	if mayBeReceived {
		s.recordBrokenAttempt("attempt_broken", e, err, 0)
	}
	return failure{kind: errkind.EndpointFailed, notExecuted: !mayBeReceived, reason: "connection failed"}
}

// reportUnreachable records that an endpoint is silent or that its connection failed.
func (s *requestState) reportUnreachable(e *registry.Endpoint, cause string) {
	if s.gw.opts.Registry.ReportOutcome(e, registry.Unreachable) {
		s.gw.opts.Log.WithFields(logrus.Fields{"event": "endpoint_avoided", "request": s.req.ID, "endpoint": e.ID, "cause": cause}).
			Info("endpoint is avoided for a while")
	}
}

// reportFault records the endpoint that a response names as the cause of an error and returns it, or nil if it names none of the plan. It may
// be a helper.
func (s *requestState) reportFault(plan *resolvedPlan, resp *Response) (named *registry.Endpoint) {
	for _, e := range plan.endpoints {
		if resp.FaultyEndpoint != "" && (resp.FaultyEndpoint == e.ID || resp.FaultyEndpoint == e.Addr) {
			named = e
		}
	}
	fault := named
	if fault == nil {
		fault = plan.endpoints[0]
	}
	switch {
	case resp.WrongEndpoint:
		s.gw.opts.Registry.ReportOutcome(fault, registry.ShuttingDown)
		s.logEntry("endpoint_left").WithField("at", fault.ID).Info("another endpoint uses the address")
	case resp.NotExecuted && (resp.ClosesConnection || fault != plan.endpoints[0]):
		s.gw.opts.Registry.ReportOutcome(fault, registry.Unreachable)
		s.logEntry("endpoint_avoided").WithFields(logrus.Fields{"at": fault.ID, "cause": "caused a refusal"}).
			Info("endpoint is avoided for a while")
	}
	return named
}

// forwardResponse forwards a response whose header has arrived.
func (s *requestState) forwardResponse(
	ctx context.Context, a *attempt, plan *resolvedPlan, resp *Response, sentAt time.Time,
) (failure, bool) {
	primary := plan.endpoints[0]
	fault := s.reportFault(plan, resp)
	if resp.ConnectTime > 0 && primary.Zone != s.gw.opts.FailureDomain {
		s.gw.opts.Scheduler.ObservePath(primary.Zone, resp.ConnectTime/2, s.gw.opts.Now())
	}
	if resp.Leaving && s.gw.opts.Registry.MarkDraining(primary) {
		s.logEntry("endpoint_left").WithField("at", primary.ID).Info("endpoint states that it shuts down")
	}
	if resp.RetryAfter > 0 && s.gw.opts.Registry.Pause(primary, s.gw.opts.Now().Add(resp.RetryAfter)) {
		s.logEntry("endpoint_paused").WithFields(logrus.Fields{"at": primary.ID, "for_ms": resp.RetryAfter.Milliseconds()}).
			Info("endpoint wants no requests for a while")
	}
	s.gw.opts.Throttle.Observe(primary.ID, resp.Limit)
	if resp.ColdFor > 0 {
		s.gw.opts.Registry.ObserveCold(primary, resp.ColdFor)
	}
	if resp.NotExecuted || resp.WrongEndpoint {
		primary.RecordActivity(s.gw.opts.Now())
		s.noSplit = s.noSplit || len(plan.endpoints) > 1 && fault == nil
		return failure{kind: errkind.Overloaded, notExecuted: true, reason: "endpoint refused " + strconv.Itoa(resp.Status)}, false
	}
	s.notExecuted = false
	if s.req.Route.Kind == catalog.Stream && resp.Status == 200 && resp.SignatureValid {
		return s.forwardStream(ctx, a, plan, resp, sentAt)
	}
	return s.forwardWhole(ctx, a, primary, resp)
}

// maxWholeResponseBytes bounds a response that is read completely before it is forwarded. An endpoint in trouble may send bytes
// without end.
const maxWholeResponseBytes = 8 << 20

// forwardWhole reads a response completely and then forwards it.
func (s *requestState) forwardWhole(ctx context.Context, a *attempt, e *registry.Endpoint, resp *Response) (failure, bool) {
	e.RecordActivity(s.gw.opts.Now())
	var body *intake.Buffer
	var err error
	s.unlocked(func() {
		body, err = intake.ReadAll(resp.Body, resp.ContentLength, maxWholeResponseBytes, s.req.Account)
	})
	defer body.Release()
	if a.superseded {
		return supersededFailure(), false
	}
	if err != nil || !resp.SignatureValid {
		if a.lost {
			return a.lostFailure(e, true), false
		}
		if ctx.Err() != nil {
			return s.contextFailure(ctx, true), false
		}
		if errors.Is(err, intake.ErrShort) || errors.Is(err, intake.ErrEnded) {
			return failure{kind: errkind.EndpointFailed, final: true, reason: "no memory for the answer"}, false
		}
		s.gw.opts.Registry.ReportOutcome(e, registry.Failed)
		if err != nil && !errors.Is(err, intake.ErrTooLarge) {
			s.recordBrokenAttempt("attempt_broken", e, err, 0)
		}
		return failure{kind: errkind.EndpointFailed, reason: "incomplete answer"}, false
	}
	if resp.Status >= 500 || resp.PromisesNotRun {
		s.gw.opts.Registry.ReportOutcome(e, registry.Failed)
		f := failure{kind: errkind.EndpointFailed, reason: "endpoint failed " + strconv.Itoa(resp.Status)}
		if s.headerWritten.Load() || a.hasRival() {
			return f, false // a stream cannot continue with the error, and another attempt may succeed
		}
		if !s.tryRetry(f, s.gw.opts.Now()) {
			if resp.PromisesNotRun { // the request has run, so that this must not reach the caller
				f.final = true
				return f, false
			}
			return s.writeWhole(a, resp, body)
		}
		f.retryPaid = true
		return f, false
	}
	s.gw.opts.Registry.ReportOutcome(e, registry.Succeeded)
	if s.headerWritten.Load() {
		return failure{kind: errkind.StreamBroken, reason: "resumed stream answered " + strconv.Itoa(resp.Status)}, false
	}
	return s.writeWhole(a, resp, body)
}

// writeWhole writes a complete response to the caller.
func (s *requestState) writeWhole(a *attempt, resp *Response, body *intake.Buffer) (failure, bool) {
	if !a.lead() {
		return supersededFailure(), false
	}
	s.headerWritten.Store(true)
	s.firstEventLatency = s.gw.opts.Now().Sub(s.req.ArrivedAt)
	resp.ContentLength = body.Len()
	s.writer.WriteHeader(resp)
	if err := body.Drain(s.writer.Write); err != nil {
		return failure{kind: errkind.Canceled, reason: "caller left"}, false
	}
	if resp.Status < 500 { // an endpoint that fails a request may not have got as far as to crash
		s.gw.opts.Quarantine.RecordProgress(s.subjects, quarantine.Complete)
	}
	return failure{}, true
}
