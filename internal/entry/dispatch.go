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

// dispatchOptions is what a dispatcher works with.
type dispatchOptions struct {
	Epochs   epoch.View
	Members  membership.View
	Blames   *blame.Tracker
	Once     IdempotencyStore // nil: lost non-idempotent calls have an unknown outcome
	Policy   route.Policy
	View     *route.View
	Agents   *agents
	Timing   Timing
	Log      *logrus.Logger
	Metrics  *metrics
	Disabled Disabled
}

// dispatcher runs requests on endpoints: it chooses, retries, hedges, continues and settles.
type dispatcher struct {
	opts    dispatchOptions
	timing  Timing
	epochs  epoch.View
	members membership.View
	agents  *agents
	log     *logrus.Logger
	metrics *metrics

	workspaceRetries *limit.RetryBudgets
	endpointRetries  *limit.RetryBudgets
	hedge            *limit.HedgeDelays
	prefixes         *prefixes
	background       sync.WaitGroup // releases that outlive their request

	mu    sync.Mutex
	epoch int64
	pools map[string]*route.Pool
}

func newDispatcher(opts dispatchOptions) *dispatcher {
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
		hedge:            limit.NewHedgeDelays(limit.HedgeOptions{}),
		prefixes:         newPrefixes(),
		pools:            make(map[string]*route.Pool),
	}
}

// observe feeds a load report of a reply into the load view and the membership.
func (d *dispatcher) observe(load *wire.Load) {
	if load == nil {
		return
	}
	d.opts.View.Observe(load)
	d.members.ObserveLoad(load)
}

// pool returns the endpoints of a target, built once per epoch.
func (d *dispatcher) pool(snap *fleet.Snapshot, t *fleet.Target) *route.Pool {
	key := "service:" + t.Service
	if t.Service == "" {
		key = "model:" + t.Version.Model
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.epoch != snap.Epoch {
		d.epoch = snap.Epoch
		clear(d.pools)
	}
	p := d.pools[key]
	if p == nil {
		p = d.opts.View.Pool(t.Endpoints)
		assumeRate(snap, t, p)
		d.pools[key] = p
		d.refreshPool(p)
	}
	return p
}

// assumeRate takes the prefill rate of the configuration text for endpoints that have not reported yet.
func assumeRate(snap *fleet.Snapshot, t *fleet.Target, p *route.Pool) {
	model := snap.Text.Models[t.Version.Model]
	if model == nil {
		return
	}
	for _, e := range p.Endpoints() {
		e.SetDefaultPrefillRate(int64(model.PrefillTokensPerSecond))
	}
}

// refresh copies liveness and gossiped load of the membership into the load view.
func (d *dispatcher) refresh() {
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
	e := d.opts.View.Endpoint(n.Endpoint)
	e.SetAvailable(n.Live && !n.Leaving && n.Fault == "", n.Leaving)
	d.opts.View.Observe(n.Load)
}

// run executes a request until its answer is complete. The error is an *errkind.Error with the final run state.
func (d *dispatcher) run(ctx context.Context, r *request) error {
	if !d.opts.Disabled.Deadline {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, r.deadline.Add(-d.margin(r)))
		defer cancel()
	}
	if err := d.admit(r); err != nil {
		return r.final(err)
	}
	d.workspaceRetries.Deposit(r.workspace)
	err := d.execute(ctx, r)
	if err == nil {
		d.opts.Blames.RecordCompletion(r.fingerprint)
		return nil
	}
	return r.final(err)
}

// margin is the time reserved before the deadline to end attempts and to write the answer.
func (d *dispatcher) margin(r *request) time.Duration {
	total := r.deadline.Sub(r.arrived)
	if !r.idempotent() {
		return min(d.timing.SettleTimeout, total/4)
	}
	return min(d.timing.AnswerMargin, total/10)
}

// answerMargin is the part of the margin of a non-idempotent call that is left to write the answer.
func (d *dispatcher) answerMargin(r *request) time.Duration {
	return min(d.timing.AnswerMargin, d.margin(r)/4)
}

// cancelBudget bounds the wait for an agent's answer to Cancel.
func (d *dispatcher) cancelBudget(r *request) time.Duration {
	left := time.Until(r.deadline) / 2
	return max(min(d.timing.CancelTimeout, left), time.Millisecond)
}

// admit refuses blamed prompts.
func (d *dispatcher) admit(r *request) error {
	switch d.opts.Blames.Check(r.fingerprint) {
	case blame.Blamed:
		return errkind.New(errkind.PromptBlamed, "this prompt crashed endpoints and is refused for a while")
	case blame.Suspect:
		r.alone = true
	}
	return nil
}

// execute runs attempts, one after another, until one completes or no further one is allowed.
func (d *dispatcher) execute(ctx context.Context, r *request) error {
	round := &round{d: d, r: r}
	for {
		if err := d.resolve(r); err != nil {
			return err
		}
		if d.tooLarge(r) {
			return d.split(ctx, r)
		}
		choice, err := round.choose(ctx)
		if err != nil {
			return err
		}
		f := d.attemptHedged(ctx, r, choice, round)
		if f == nil {
			return nil
		}
		if err := d.afterFailure(ctx, r, f, choice.Endpoint, round); err != nil {
			return err
		}
		if r.response != nil {
			return nil // the recorded outcome of a lost attempt
		}
	}
}

// resolve follows configuration changes between attempts. A started answer keeps its version.
func (d *dispatcher) resolve(r *request) error {
	snap := d.epochs.Snapshot()
	if snap == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	if snap == r.snap {
		return nil
	}
	target, err := snap.Resolve(r.asked)
	if err != nil {
		return err
	}
	if r.begun() && !sameVersion(wire.EncodeVersion(target.Version), r.version) && !d.stillServed(snap, target, r.version) {
		return errkind.New(errkind.StreamBroken, "the version of the started answer is no longer served")
	}
	r.snap, r.target = snap, target
	return nil
}

// stillServed reports whether an endpoint of the target holds v, which a rollout is replacing.
func (d *dispatcher) stillServed(snap *fleet.Snapshot, target fleet.Target, v *wire.Version) bool {
	if _, recalled := snap.Recalled(wire.DecodeVersion(v)); recalled {
		return false
	}
	return slices.ContainsFunc(target.Endpoints, func(name string) bool {
		node, ok := d.members.Endpoint(name)
		return ok && node.Live && slices.ContainsFunc(node.Loaded, func(l endpoint.Version) bool { return sameVersion(wire.EncodeVersion(l), v) })
	})
}

// versionAt returns the version to ask of a node: the target's, or, until the node's turn in a rollout, the loaded one
// that the target's replaces. A started answer keeps its version.
func (r *request) versionAt(node membership.Node) endpoint.Version {
	if r.version != nil {
		return wire.DecodeVersion(r.version)
	}
	want := r.target.Version
	if slices.Contains(node.Loaded, want) {
		return want
	}
	for _, l := range node.Loaded {
		if _, recalled := r.snap.Recalled(l); !recalled && l.Model == want.Model && l.Adapter == want.Adapter {
			return l
		}
	}
	return want
}

// attemptOnce runs one attempt at the chosen endpoint.
func (d *dispatcher) attemptOnce(ctx context.Context, r *request, ep *route.Endpoint) (*attempt, *failure) {
	node, ok := d.members.Endpoint(ep.Name)
	if !ok || node.Addr == "" {
		err := errkind.New(errkind.NoEndpoint, "endpoint left the membership")
		return nil, &failure{err: err, unreached: true}
	}
	remaining := time.Until(r.deadline) - d.margin(r)
	a := d.newAttempt(r, node, ep, remaining)
	if err := a.run(ctx); err != nil {
		var f *failure
		errors.As(err, &f) // run returns nothing else
		return a, f
	}
	return a, nil
}

// complete takes over the result of a finished attempt.
func (d *dispatcher) complete(r *request, a *attempt) *failure {
	if !r.isChat() {
		r.response = a.resp
		return nil
	}
	if r.buffered {
		if err := d.mayAnswer(r, a.message.GetModel().GetVersion(), a.started.GetVersion()); err != nil {
			return &failure{err: err.WithRunState(errkind.Ran), own: err.Kind == errkind.Isolated}
		}
	}
	d.prefixes.learn(r.prefix, a.end.GetCachedTokens(), r.promptTokens)
	return nil
}

// afterFailure decides what follows a failed attempt: nil lets the next attempt start.
func (d *dispatcher) afterFailure(ctx context.Context, r *request, f *failure, ep *route.Endpoint, rd *round) error {
	r.note(f.err.RunState)
	d.learn(ctx, r, f, ep)
	if err := d.settle(ctx, r, f); err != nil || r.response != nil {
		return err
	}
	if ctx.Err() != nil {
		return d.expired(ctx, f)
	}
	if err := d.retryable(r, f); err != nil {
		return err
	}
	if d.opts.Blames.Check(r.fingerprint) == blame.Blamed {
		return errkind.New(errkind.PromptBlamed, "this prompt crashed endpoints and is refused for a while")
	}
	if r.buffered && f.err.Kind == errkind.StreamBroken || f.err.Kind == errkind.Recalled {
		r.restart()
	}
	rd.exclude(ep, f)
	return d.spend(r, f)
}

// restart drops an answer of which the caller has seen nothing.
func (r *request) restart() {
	if r.buffered {
		r.tokens, r.version = nil, nil
	}
}

// learn records what a failure says about the endpoint and the prompt.
func (d *dispatcher) learn(ctx context.Context, r *request, f *failure, ep *route.Endpoint) {
	switch {
	case f.crashed:
		ep.SetAvailable(false, false)
		verdict := d.opts.Blames.RecordCrash(ctx, r.fingerprint, ep.Name)
		r.alone = verdict == blame.Suspect
	case f.unreached:
		ep.SetAvailable(false, false)
		d.members.ObserveFailure(ep.Name)
	case f.err.Kind == errkind.Draining:
		ep.SetAvailable(false, true)
		d.members.ObserveLeaving(ep.Name)
	}
}

// retryable returns the error to answer if the failure must not be followed by another attempt.
func (d *dispatcher) retryable(r *request, f *failure) error {
	if f.err.Kind == errkind.StreamBroken {
		if r.buffered && r.isChat() || r.isChat() && !r.begun() {
			return nil
		}
		return f.err
	}
	if f.err.Kind == errkind.PromptTooLarge && f.err.RunState == errkind.NotRun && d.tooLarge(r) {
		return nil // the refusal's load report shows that the prompt must be split
	}
	retry := errkind.RuleOf(f.err.Kind).Retryable || f.unreached
	if !retry || f.own {
		return f.err
	}
	if f.err.Kind == errkind.Recalled && r.begun() && !r.buffered {
		return f.err
	}
	if !r.idempotent() && f.err.RunState != errkind.NotRun {
		return f.err
	}
	return nil
}

// spend takes a retry from the workspace's budget. Transient refusals are free: a rolling restart or weights that are
// still loading must not use up the budget, and the back-off between rounds bounds how often an endpoint is asked.
func (d *dispatcher) spend(r *request, f *failure) error {
	if f.transient() {
		return nil
	}
	r.retries++
	if d.workspaceRetries.TryWithdraw(r.workspace) {
		d.metrics.retries.Inc()
		return nil
	}
	d.metrics.budgetSpent.Inc()
	if r.begun() {
		return f.err
	}
	return errkind.Wrap(f.err, errkind.Overloaded, "retry budget of the workspace is spent")
}

// expired returns the error for a context that ended between or during attempts.
func (d *dispatcher) expired(ctx context.Context, last *failure) error {
	run := errkind.NotRun
	if last != nil {
		run = last.err.RunState
	}
	if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		return errkind.New(errkind.DeadlineExceeded, "not finished by the deadline").WithRunState(run)
	}
	return errkind.New(errkind.Canceled, "caller went away").WithRunState(run)
}

// mayAnswer checks, immediately before the first byte, that the version is not recalled and that this entry's evidence
// of the configuration is fresh.
func (d *dispatcher) mayAnswer(r *request, want, v *wire.Version) *errkind.Error {
	snap := d.epochs.Snapshot()
	if !d.opts.Disabled.RecallCheck {
		if item, recalled := snap.Recalled(wire.DecodeVersion(v)); recalled {
			return errkind.New(errkind.Recalled, item+" is recalled")
		}
		if !sameVersion(want, v) {
			return errkind.New(errkind.NotLoaded, "the endpoint answered with another version than "+want.GetModel()+"@"+want.GetVersion())
		}
	}
	return d.fresh(r)
}

func (d *dispatcher) fresh(r *request) *errkind.Error {
	if d.opts.Disabled.FreshnessCheck || r.target.Spec.WhenIsolated == fleet.WhenIsolatedServe || d.epochs.Fresh() {
		return nil
	}
	return errkind.New(errkind.Isolated, "this entry has no fresh evidence of the current configuration")
}

// mayContinue cuts a running answer of a recalled version if the configuration says so.
func (d *dispatcher) mayContinue(r *request, v *wire.Version) *errkind.Error {
	snap := d.epochs.Snapshot()
	if snap == r.snap || snap.Text.Settings.RecallStreams != fleet.RecallStreamsCut || d.opts.Disabled.RecallCheck {
		return nil
	}
	if item, recalled := snap.Recalled(wire.DecodeVersion(v)); recalled {
		return errkind.New(errkind.Recalled, item+" was recalled during the answer").WithRunState(errkind.Ran)
	}
	return nil
}
