package agent

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/kvledger"
	"github.com/bilberrylink/bilberrylink/wire"

	"github.com/pkg/errors"
)

const (
	// catchUpTimeout bounds the wait for a newer configuration; the exchange interval is 1 s.
	catchUpTimeout = 1500 * time.Millisecond
	// defaultAnswerTokens is the memory that is reserved for an answer of unlimited length.
	defaultAnswerTokens = 256
	// maxReportAge is the age of the engine's last report above which no work is started on it.
	maxReportAge = 3 * time.Second
	// maxDeadline bounds the remaining time that an entry may set: the largest max_timeout of the example configurations.
	maxDeadline = time.Hour
)

// submit adds an attempt to the run queue or refuses it. An attempt is refused by a failure in its stream. If the attempt has
// been submitted before, the existing one is returned.
func (a *Agent) submit(ctx context.Context, req *wire.RunRequest) *attempt {
	req.DeadlineMs = min(req.GetDeadlineMs(), maxDeadline.Milliseconds())
	att := a.newAttempt(req)
	return a.submitAttempt(ctx, att)
}

// submitAttempt implements submit for an attempt that has been created.
func (a *Agent) submitAttempt(ctx context.Context, att *attempt) *attempt {
	if existing, err := a.registerAttempt(att); existing != nil {
		att.cancel(nil)
		return existing
	} else if err != nil {
		a.fail(att, err)
		return att
	}
	if err := a.admit(ctx, att); err != nil {
		a.fail(att, asNotRun(err))
		return att
	}
	a.enqueue(att)
	return att
}

// registerAttempt registers an attempt, or returns the existing one. It returns an error if the attempt was cancelled before it
// arrived, if it arrived before and has been removed since, or if it was sent to an earlier incarnation of the agent, which may
// have answered it with not_run.
func (a *Agent) registerAttempt(att *attempt) (existing *attempt, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.attempts[att.id]; e != nil {
		return e, nil
	}
	a.attempts[att.id] = att
	if intended := att.request.GetIncarnation(); intended != "" && intended != a.incarnation && !a.opts.Disabled.IncarnationCheck {
		return nil, errkind.New(errkind.NotReady, "attempt was made for another incarnation of this agent").WithRunState(errkind.NotRun)
	}
	if a.pastIDs.has(att.id) {
		return nil, errkind.New(errkind.StreamBroken, "attempt has arrived before and its answer is no longer held").
			WithRunState(errkind.RunUnknown)
	}
	if a.refusedIDs.has(att.id) && !a.opts.Disabled.Tombstones {
		return nil, errkind.New(errkind.Canceled, "attempt was cancelled before it arrived").WithRunState(errkind.NotRun)
	}
	return nil, nil
}

func (a *Agent) admit(ctx context.Context, att *attempt) error {
	if att.id == "" || att.request.GetRequestId() == "" {
		return errkind.New(errkind.InvalidRequest, "request and attempt ids are required")
	}
	if a.isDraining() && !a.holdsMemory(att) {
		return errkind.New(errkind.Draining, "endpoint is leaving")
	}
	if err := a.checkPaused(); err != nil {
		return err
	}
	if err := a.catchUp(ctx, att.request.GetEpoch()); err != nil {
		return err
	}
	if err := a.checkMayRun(att); err != nil {
		return err
	}
	if err := a.checkMemory(att); err != nil {
		return err
	}
	return a.checkDeadlineMeetable(att)
}

// pause records that the endpoint wants no requests for some time.
func (a *Agent) pause(d time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if until := time.Now().Add(d); d > 0 && until.After(a.pausedUntil) {
		a.pausedUntil = until
		a.log.WithField("for", d).Info("endpoint wants no requests for a while")
	}
}

// pauseAfter pauses the endpoint if an error of it says so.
func (a *Agent) pauseAfter(err error) {
	var refused *endpoint.RefusedError
	if errors.As(err, &refused) {
		a.pause(refused.After)
	}
}

func (a *Agent) checkPaused() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.pausedUntil) {
		return errkind.New(errkind.Overloaded, "endpoint wants no requests for a while")
	}
	return nil
}

// holdsMemory reports whether an attempt continues a long prompt that holds a reservation here. Such an attempt is work in
// progress, which a draining agent still admits.
func (a *Agent) holdsMemory(att *attempt) bool {
	return att.preReserved() && a.ledger.Renew(att.reservation, attemptLease) == nil
}

// catchUp fetches a newer configuration if the entry's epoch is ahead.
func (a *Agent) catchUp(ctx context.Context, epoch int64) error {
	s := a.peer.Epochs().Snapshot()
	if s != nil && s.Epoch >= epoch {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := a.peer.WaitForEpoch(ctx, epoch); err != nil {
		return errkind.Wrap(err, errkind.NotReady, "agent is behind the entry's epoch")
	}
	return nil
}

// checkMayRun checks that the configuration is fresh, does not evacuate this agent's failure domain and assigns the attempt's service or version to this endpoint, and that the
// version is loaded and not recalled. It is called at admission and again before the endpoint is called.
func (a *Agent) checkMayRun(att *attempt) error {
	s := a.peer.Epochs().Snapshot()
	if s == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	a.mu.Lock()
	down := a.down
	loaded := a.report.Loaded
	reportOutdated := a.hasEngine() && time.Since(a.reportedAt) > maxReportAge
	a.mu.Unlock()
	if err := a.evacuationError(s, att); err != nil {
		return err
	}
	if err := a.resolveService(s, att, loaded); err != nil {
		return err
	}
	if err := a.checkMayAnswer(att); err != nil {
		return err
	}
	if down || reportOutdated {
		return errkind.New(errkind.EndpointFailed, "endpoint does not answer")
	}
	if att.hasVersion() && !contains(loaded, att.version()) {
		return errkind.New(errkind.NotLoaded, "engine has not loaded "+att.version().WeightName())
	}
	return nil
}

// evacuationError returns the error of an attempt that may not start because the failure domain is evacuated. An attempt that
// continues a long prompt, which holds memory here, counts as running. The kind is NotReady, because Draining would make
// entries treat the agent as leaving until it restarts.
func (a *Agent) evacuationError(s *fleet.Snapshot, att *attempt) error {
	if !s.Evacuated(a.opts.Node.FailureDomain) || att.preReserved() {
		return nil
	}
	return errkind.New(errkind.NotReady, "failure domain "+a.opts.Node.FailureDomain+" is evacuated")
}

// resolveService looks up the attempt's service in the configuration and checks that this endpoint serves it.
func (a *Agent) resolveService(s *fleet.Snapshot, att *attempt, loaded []endpoint.Version) error {
	att.service = s.Text.Services[att.request.GetService()]
	if att.hasVersion() {
		if !a.serves(s, loaded, att.version()) {
			if item, recalled := s.Recalled(att.version()); recalled {
				return errkind.New(errkind.Recalled, item+" is recalled")
			}
			return errkind.New(errkind.NotLoaded, "endpoint does not hold "+att.version().WeightName())
		}
		return nil
	}
	if att.request.GetCall() == nil {
		return errkind.New(errkind.InvalidRequest, "attempt carries no work")
	}
	for _, name := range s.PlainServices(a.opts.Endpoint) {
		if name == att.request.GetService() {
			return nil
		}
	}
	return errkind.New(errkind.UnknownService, "endpoint does not run service "+att.request.GetService())
}

// serves reports whether the configuration assigns v to this endpoint, or a rollout replaces v and this endpoint still serves it
// because it waits for its turn or for a ticket.
func (a *Agent) serves(s *fleet.Snapshot, loaded []endpoint.Version, v endpoint.Version) bool {
	return contains(s.AssignedVersions(a.opts.Endpoint), v) || contains(a.wantedVersions(s, loaded), v) ||
		contains(a.beingReplaced(), v)
}

// checkMayAnswer checks freshness and recalls against the current configuration.
func (a *Agent) checkMayAnswer(att *attempt) error {
	epochs := a.peer.Epochs()
	s := epochs.Snapshot()
	servesIsolated := att.service != nil && att.service.WhenIsolated == fleet.WhenIsolatedServe
	if !epochs.Fresh() && !servesIsolated {
		return errkind.New(errkind.Isolated, "no fresh evidence of the current epoch")
	}
	if a.opts.Disabled.RecallCheck {
		return nil
	}
	return recallError(s, att)
}

func recallError(s *fleet.Snapshot, att *attempt) error {
	if att.hasVersion() {
		if item, recalled := s.Recalled(att.version()); recalled {
			return errkind.New(errkind.Recalled, item+" is recalled")
		}
	}
	return nil
}

// assertNotRecalled asserts that the attempt does not start an answer of a recalled version.
func (a *Agent) assertNotRecalled(att *attempt) {
	s := a.peer.Epochs().Snapshot()
	invariant.Check(recallError(s, att) == nil, "recalled_answer_started",
		"attempt %s starts an answer of a recalled version at epoch %d", att.id, s.Epoch)
}

func contains(list []endpoint.Version, v endpoint.Version) bool { return slices.Contains(list, v) }

func (a *Agent) checkMemory(att *attempt) error {
	if att.reservation == "" || att.reservation != att.id {
		return nil // a call, or a reservation that was made before
	}
	err := a.ledger.CheckSize(att.memoryTokens)
	if errors.Is(err, kvledger.ErrTooLarge) {
		return errkind.Wrap(err, errkind.PromptTooLarge, "prompt needs more memory than the engine has")
	}
	if err != nil {
		return errkind.Wrap(err, errkind.NotReady, "engine has not reported yet")
	}
	return nil
}

// checkDeadlineMeetable refuses an attempt whose estimated time exceeds the time until its deadline.
func (a *Agent) checkDeadlineMeetable(att *attempt) error {
	estimated := a.estimateDuration(att)
	if remaining := time.Until(att.deadline); estimated > remaining {
		return errkind.New(errkind.DeadlineUnmeetable, "estimate "+estimated.Round(time.Millisecond).String()+
			" exceeds the remaining "+remaining.Round(time.Millisecond).String())
	}
	return nil
}

// enqueue queues an admitted attempt. A full queue sheds a less urgent one.
func (a *Agent) enqueue(att *attempt) {
	shed, err := a.queue.Push(att.queueItem)
	if err != nil {
		a.fail(att, errkind.Wrap(err, errkind.Overloaded, "run queue is full"))
		return
	}
	if shed != nil {
		a.fail(shed.Value, errkind.New(errkind.Overloaded, "shed for more urgent work"))
	}
	a.failOnceCancelled(att)
	a.wakeScheduler()
}

// failOnceCancelled fails an attempt whose context ends while it is still queued.
func (a *Agent) failOnceCancelled(att *attempt) {
	context.AfterFunc(att.ctx, func() {
		if a.queue.Remove(att.queueItem) {
			a.fail(att, asNotRun(context.Cause(att.ctx)))
		}
	})
}

// cancelAttempt cancels an attempt and returns its run state. An attempt that has not arrived yet is refused when it does.
func (a *Agent) cancelAttempt(ctx context.Context, id string) errkind.RunState {
	a.mu.Lock()
	att := a.attempts[id]
	if att == nil {
		defer a.mu.Unlock()
		return a.cancelUnknown(id, time.Now())
	}
	a.mu.Unlock()
	att.cancel(errkind.New(errkind.Canceled, "cancelled by the entry"))
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	select {
	case <-att.done:
	case <-ctx.Done():
		return errkind.RunUnknown
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return att.runState
}

// cancelUnknown makes sure that an unknown attempt is refused if it arrives later. It returns NotRun only if the attempt is
// certainly younger than this process: an earlier incarnation may have run an older one. The caller holds mu.
func (a *Agent) cancelUnknown(id string, now time.Time) errkind.RunState {
	if a.refusedIDs.has(id) {
		return errkind.NotRun
	}
	if a.pastIDs.has(id) || now.Sub(a.startedAt) < maxDeadline {
		a.pastIDs.add(id, now)
		return errkind.RunUnknown
	}
	a.refusedIDs.add(id, now)
	return errkind.NotRun
}

// pathWithoutQuery returns the path of a call without its query.
func pathWithoutQuery(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
