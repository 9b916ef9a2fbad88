package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

// dispatcherOptions holds the dependencies of a dispatcher.
type dispatcherOptions struct {
	Epochs      epoch.View
	Members     membership.View
	Blames      *blame.Tracker
	Idempotency IdempotencyStore // nil: lost non-idempotent calls have an unknown outcome
	Policy      route.Policy
	RoutingView *route.View
	Agents      *agentsClient
	Timing      Timing
	Log         *logrus.Logger
	Metrics     *metrics
	Disabled    Disabled
}

// dispatcher executes requests at endpoints: it chooses the endpoints, retries and hedges attempts, continues interrupted
// answers at other endpoints and determines the outcome of failed calls.
type dispatcher struct {
	opts    dispatcherOptions
	timing  Timing
	epochs  epoch.View
	members membership.View
	agents  *agentsClient
	log     *logrus.Logger
	metrics *metrics

	workspaceRetries *limit.RetryBudgets
	endpointRetries  *limit.RetryBudgets
	hedgeDelays      *limit.HedgeDelays
	prefixCache      *prefixCache
	pendingReleases  sync.WaitGroup // releases of reservations, which may outlive their request

	mu         sync.Mutex
	poolsEpoch int64
	pools      map[string]*route.Pool
}

func newDispatcher(opts dispatcherOptions) *dispatcher {
	budget := limit.RetryBudgetOptions{Disabled: opts.Disabled.RetryBudget}
	timing := opts.Timing.withDefaults()
	if opts.Disabled.SilenceTimeout {
		timing.SilenceTimeout = defaultMaxTimeout
	}
	return &dispatcher{
		opts:             opts,
		timing:           timing,
		epochs:           opts.Epochs,
		members:          opts.Members,
		agents:           opts.Agents,
		log:              opts.Log,
		metrics:          opts.Metrics,
		workspaceRetries: limit.NewRetryBudgets(budget),
		endpointRetries:  limit.NewRetryBudgets(budget),
		hedgeDelays:      limit.NewHedgeDelays(limit.HedgeOptions{}),
		prefixCache:      newPrefixCache(),
		pools:            make(map[string]*route.Pool),
	}
}

// observeLoad passes the load report of a reply to the routing view and the membership.
func (d *dispatcher) observeLoad(load *wire.Load) {
	if load == nil {
		return
	}
	d.opts.RoutingView.Observe(load)
	d.members.ObserveLoad(load)
}

// pool returns the endpoints of a target. It builds them once per epoch.
func (d *dispatcher) pool(snap *fleet.Snapshot, t *fleet.Target) *route.Pool {
	key := "service:" + t.Service
	if t.Service == "" {
		key = "model:" + t.Version.Model
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.poolsEpoch != snap.Epoch {
		d.poolsEpoch = snap.Epoch
		clear(d.pools)
	}
	p := d.pools[key]
	if p == nil {
		p = d.opts.RoutingView.Pool(t.Endpoints)
		setDefaultPrefillRates(snap, t, p)
		d.pools[key] = p
		d.refreshPool(p)
	}
	return p
}

// setDefaultPrefillRates sets the configured prefill rate for endpoints that have not reported theirs yet.
func setDefaultPrefillRates(snap *fleet.Snapshot, t *fleet.Target, p *route.Pool) {
	model := snap.Text.Models[t.Version.Model]
	if model == nil {
		return
	}
	for _, e := range p.Endpoints() {
		e.SetDefaultPrefillRate(int64(model.PrefillTokensPerSecond))
	}
}

// refreshView copies liveness and load of all agents from the membership into the routing view.
func (d *dispatcher) refreshView() {
	for _, n := range d.members.Agents() {
		d.refreshNode(n)
	}
}

func (d *dispatcher) refreshPool(p *route.Pool) {
	for _, e := range p.Endpoints() {
		if n, ok := d.members.Endpoint(e.Name); ok {
			d.refreshNode(n)
		}
	}
}

func (d *dispatcher) refreshNode(n membership.Node) {
	if n.Endpoint == "" {
		return
	}
	e := d.opts.RoutingView.Endpoint(n.Endpoint)
	evacuated := d.evacuated(n)
	e.SetAvailable(n.Live && !n.Leaving && n.Fault == "" && !evacuated, n.Leaving || evacuated)
	d.opts.RoutingView.Observe(n.Load)
}

// run executes a request until its answer is complete. The error is an *errkind.Error with the run state of the request.
func (d *dispatcher) run(ctx context.Context, r *request) error {
	if !d.opts.Disabled.Deadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadline.Add(-d.deadlineMargin(r)))
		defer cancel()
	}
	if err := d.checkBlame(r); err != nil {
		return r.finalError(err)
	}
	d.workspaceRetries.Deposit(r.workspace)
	err := d.execute(ctx, r)
	if err == nil {
		d.opts.Blames.RecordCompletion(r.fingerprint, r.parts)
		return nil
	}
	return r.finalError(err)
}

// deadlineMargin returns the time that is reserved before the deadline to end attempts and to write the response.
func (d *dispatcher) deadlineMargin(r *request) time.Duration {
	timeout := r.deadline.Sub(r.arrived)
	if !r.idempotent() {
		return min(d.timing.SettleTimeout, timeout/4)
	}
	return min(d.timing.AnswerMargin, timeout/10)
}

// answerMargin returns the part of a non-idempotent call's margin that is reserved to write the response.
func (d *dispatcher) answerMargin(r *request) time.Duration {
	return min(d.timing.AnswerMargin, d.deadlineMargin(r)/4)
}

// cancelTimeout returns how long to wait for an agent's reply to Cancel.
func (d *dispatcher) cancelTimeout(r *request) time.Duration {
	maxWait := time.Until(r.deadline) / 2
	return max(min(d.timing.CancelTimeout, maxWait), time.Millisecond)
}

// checkBlame refuses a blamed prompt and sets r.alone for a suspect one.
func (d *dispatcher) checkBlame(r *request) error {
	if err := d.blameError(r); err != nil {
		return err
	}
	if d.opts.Blames.Check(r.fingerprint) == blame.Suspect {
		r.alone = true
	}
	return nil
}

// blameError returns the error for a prompt that is blamed or contains a blamed part, or nil.
func (d *dispatcher) blameError(r *request) error {
	if d.opts.Blames.Check(r.fingerprint) == blame.Blamed {
		return errkind.New(errkind.PromptBlamed, "this prompt crashed endpoints and is refused for a while")
	}
	verdict, part := d.opts.Blames.CheckParts(r.parts)
	if verdict == blame.Suspect && (r.triesParts || d.opts.Blames.TryParts(r.parts)) {
		r.triesParts, r.alone = true, true
		return nil
	}
	if verdict == blame.Suspect || verdict == blame.Blamed {
		d.log.WithFields(logrus.Fields{"request": r.id, "part": part}).Info("refusing a prompt: prompts with this message crashed endpoints")
		return errkind.New(errkind.PromptBlamed, "prompts with one of these messages crashed endpoints; it is refused for a while")
	}
	return nil
}

// execute runs attempts one after another until one completes or no further one is allowed.
func (d *dispatcher) execute(ctx context.Context, r *request) error {
	selector := &endpointSelector{d: d, r: r}
	for {
		if err := d.updateTarget(r); err != nil {
			return err
		}
		if d.needsSplit(r) {
			return d.runSplit(ctx, r)
		}
		choice, err := selector.choose(ctx)
		if err != nil {
			return err
		}
		f := d.runHedged(ctx, r, choice, selector)
		if f == nil {
			return nil
		}
		if err := d.handleFailure(ctx, r, f, choice.Endpoint, selector); err != nil {
			return err
		}
		if r.response != nil {
			return nil // the idempotency record has the response of the failed attempt
		}
	}
}

// updateTarget adopts a new configuration between attempts. An answer that has started keeps its version.
func (d *dispatcher) updateTarget(r *request) error {
	snap := d.epochs.Snapshot()
	if snap == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	if snap == r.snap {
		return nil
	}
	target, err := snap.Resolve(r.requestedName)
	if err != nil {
		return err
	}
	if r.hasTokens() && !sameVersion(wire.EncodeVersion(target.Version), r.version) && !d.stillServed(snap, target, r.version) {
		return errkind.New(errkind.StreamBroken, "the version of the started answer is no longer served")
	}
	r.snap, r.target = snap, target
	return nil
}

// stillServed reports whether an endpoint of the target that may get requests still has v loaded, which a rollout is replacing.
func (d *dispatcher) stillServed(snap *fleet.Snapshot, target fleet.Target, v *wire.Version) bool {
	if _, recalled := snap.Recalled(wire.DecodeVersion(v)); recalled {
		return false
	}
	return slices.ContainsFunc(target.Endpoints, func(name string) bool {
		node, ok := d.members.Endpoint(name)
		return ok && node.Live && !d.evacuated(node) && slices.ContainsFunc(node.Loaded, func(l endpoint.Version) bool { return sameVersion(wire.EncodeVersion(l), v) })
	})
}

// versionAt returns the version to request from a node: the target's, or, while a rollout has not reached the node, the
// loaded version that the target's replaces. An answer that has started keeps its version.
func (r *request) versionAt(node membership.Node) endpoint.Version {
	if r.version != nil {
		return wire.DecodeVersion(r.version)
	}
	targetVersion := r.target.Version
	if slices.Contains(node.Loaded, targetVersion) {
		return targetVersion
	}
	for _, loaded := range node.Loaded {
		if _, recalled := r.snap.Recalled(loaded); !recalled &&
			loaded.Model == targetVersion.Model && loaded.Adapter == targetVersion.Adapter {
			return loaded
		}
	}
	return targetVersion
}

// runAttempt runs one attempt at the chosen endpoint.
func (d *dispatcher) runAttempt(ctx context.Context, r *request, ep *route.Endpoint) (*attempt, *failure) {
	node, ok := d.members.Endpoint(ep.Name)
	if !ok || node.Addr == "" {
		err := errkind.New(errkind.NoEndpoint, "endpoint left the membership")
		return nil, &failure{err: err, unreachable: true}
	}
	if f := d.checkEvacuated(node, ep); f != nil {
		return nil, f
	}
	remaining := time.Until(r.deadline) - d.deadlineMargin(r)
	a := d.newAttempt(r, node, ep, remaining)
	if err := a.run(ctx); err != nil {
		var f *failure
		errors.As(err, &f) // run returns no other error
		return a, f
	}
	return a, nil
}

// acceptResult takes over the result of a completed attempt. It checks a buffered answer once more before it is sent.
func (d *dispatcher) acceptResult(r *request, a *attempt) *failure {
	if !r.isChat() {
		r.response = a.callResponse
		return nil
	}
	if r.buffered {
		if err := d.checkAnswer(r, a.message.GetModel().GetVersion(), a.started.GetVersion()); err != nil {
			return &failure{err: err.WithRunState(errkind.Ran), entryIsolated: err.Kind == errkind.Isolated}
		}
	}
	d.prefixCache.record(r.prefix, a.end.GetCachedTokens(), r.promptTokens)
	return nil
}

// handleFailure handles a failed attempt. It returns nil if another attempt may follow or r.response was set, and otherwise
// the error of the request.
func (d *dispatcher) handleFailure(ctx context.Context, r *request, f *failure, ep *route.Endpoint,
	selector *endpointSelector) error {
	r.raiseRunState(f.err.RunState)
	d.recordFailure(ctx, r, f, ep)
	if err := d.settleOutcome(ctx, r, f); err != nil || r.response != nil {
		return err
	}
	if ctx.Err() != nil {
		return d.contextError(ctx, f)
	}
	if err := d.retryError(r, f); err != nil {
		return err
	}
	if err := d.blameError(r); err != nil {
		return err
	}
	if r.buffered && f.err.Kind == errkind.StreamBroken || f.err.Kind == errkind.Recalled {
		r.discardBuffered()
	}
	selector.exclude(ep, f)
	return d.withdrawRetry(r, f)
}

// discardBuffered discards the tokens of a buffered answer, of which the caller has seen nothing.
func (r *request) discardBuffered() {
	if r.buffered {
		r.tokens, r.version = nil, nil
	}
}

// recordFailure updates the state of the endpoint and, after a crash, the blame record of the prompt and r.alone.
func (d *dispatcher) recordFailure(ctx context.Context, r *request, f *failure, ep *route.Endpoint) {
	switch {
	case f.endpointCrashed:
		ep.SetAvailable(false, false)
		verdict := d.opts.Blames.RecordCrash(ctx, r.fingerprint, ep.Name)
		r.alone = verdict == blame.Suspect
		if verdict == blame.Blamed {
			d.opts.Blames.RecordBlamedPrompt(r.fingerprint, r.parts)
		}
	case f.unreachable:
		ep.SetAvailable(false, false)
		d.members.ObserveFailure(ep.Name)
	case f.err.Kind == errkind.Draining:
		ep.SetAvailable(false, true)
		d.members.ObserveLeaving(ep.Name)
	}
}

// retryError returns nil if another attempt may follow the failure, and otherwise the error of the request.
func (d *dispatcher) retryError(r *request, f *failure) error {
	if f.err.Kind == errkind.StreamBroken {
		if r.buffered && r.isChat() || r.isChat() && !r.hasTokens() {
			return nil
		}
		return f.err
	}
	if f.err.Kind == errkind.PromptTooLarge && f.err.RunState == errkind.NotRun && d.needsSplit(r) {
		return nil // the refusal's load report shows that the prompt must be split
	}
	allowed := errkind.RuleOf(f.err.Kind).Retryable || f.unreachable || f.evacuated
	if !allowed || f.entryIsolated {
		return f.err
	}
	if f.err.Kind == errkind.Recalled && r.hasTokens() && !r.buffered {
		return f.err
	}
	if !r.idempotent() && f.err.RunState != errkind.NotRun {
		return f.err
	}
	return nil
}

// withdrawRetry takes a retry from the workspace's budget. Transient refusals are free, so that rolling restarts and
// engines that still load weights do not exhaust the budget; the backoff bounds how often an endpoint is asked.
func (d *dispatcher) withdrawRetry(r *request, f *failure) error {
	if f.transient() {
		return nil
	}
	r.retries++
	if d.workspaceRetries.TryWithdraw(r.workspace) {
		d.metrics.retries.Inc()
		return nil
	}
	d.metrics.budgetExhausted.Inc()
	if r.hasTokens() {
		return f.err
	}
	return errkind.Wrap(f.err, errkind.Overloaded, "retry budget of the workspace is spent")
}

// contextError returns the error of a request whose context ended between or during attempts.
func (d *dispatcher) contextError(ctx context.Context, lastFailure *failure) error {
	run := errkind.NotRun
	if lastFailure != nil {
		run = lastFailure.err.RunState
	}
	return endError(ctx).WithRunState(run)
}

// checkAnswer checks, immediately before the first byte of an answer, that the answering version is the requested one and
// not recalled, and that this entry has fresh evidence of the current configuration.
func (d *dispatcher) checkAnswer(r *request, requested, answering *wire.Version) *errkind.Error {
	snap := d.epochs.Snapshot()
	if !d.opts.Disabled.RecallCheck {
		if item, recalled := snap.Recalled(wire.DecodeVersion(answering)); recalled {
			return errkind.New(errkind.Recalled, item+" is recalled")
		}
		if !sameVersion(requested, answering) {
			return errkind.New(errkind.NotLoaded,
				"the endpoint answered with another version than "+requested.GetModel()+"@"+requested.GetVersion())
		}
	}
	return d.checkFresh(r)
}

func (d *dispatcher) checkFresh(r *request) *errkind.Error {
	if d.opts.Disabled.FreshnessCheck || r.target.Spec.WhenIsolated == fleet.WhenIsolatedServe || d.epochs.Fresh() {
		return nil
	}
	return errkind.New(errkind.Isolated, "this entry has no fresh evidence of the current configuration")
}

// checkRunningAnswer returns an error if v was recalled during the answer and the configuration cuts such streams.
func (d *dispatcher) checkRunningAnswer(r *request, v *wire.Version) *errkind.Error {
	snap := d.epochs.Snapshot()
	if snap == r.snap || snap.Text.Settings.RecallStreams != fleet.RecallStreamsCut || d.opts.Disabled.RecallCheck {
		return nil
	}
	if item, recalled := snap.Recalled(wire.DecodeVersion(v)); recalled {
		return errkind.New(errkind.Recalled, item+" was recalled during the answer").WithRunState(errkind.Ran)
	}
	return nil
}
