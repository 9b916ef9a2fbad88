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
	// catchUpTimeout bounds the wait for a newer text; the exchange interval is 1 s.
	catchUpTimeout = 1500 * time.Millisecond
	// defaultAnswerTokens is reserved for an answer without a limit.
	defaultAnswerTokens = 256
	// reportPatience is the age of the engine's last report after which no new work is started on it.
	reportPatience = 3 * time.Second
	// maxDeadline bounds the remaining time that an entry may state: the largest max_timeout of the example texts.
	maxDeadline = time.Hour
)

// submit admits an attempt to the run queue or refuses it. A refusal is the failure of the returned attempt's stream. A
// repeated submission of an attempt returns the existing one.
func (a *Agent) submit(ctx context.Context, req *wire.RunRequest) *attempt {
	req.DeadlineMs = min(req.GetDeadlineMs(), maxDeadline.Milliseconds())
	att := a.newAttempt(req)
	return a.enter(ctx, att)
}

func (a *Agent) enter(ctx context.Context, att *attempt) *attempt {
	if existing, err := a.insert(att); existing != nil {
		att.cancel(nil)
		return existing
	} else if err != nil {
		a.fail(att, err)
		return att
	}
	if err := a.admit(ctx, att); err != nil {
		a.fail(att, notRun(err))
		return att
	}
	a.enqueue(att)
	return att
}

// insert registers an attempt unless it was cancelled before it arrived or has arrived before. A run that is delivered late,
// after a restart, may have been answered not_run by the former incarnation.
func (a *Agent) insert(att *attempt) (existing *attempt, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e := a.attempts[att.id]; e != nil {
		return e, nil
	}
	a.attempts[att.id] = att
	if meant := att.request.GetIncarnation(); meant != "" && meant != a.incarnation && !a.opts.Disabled.IncarnationCheck {
		return nil, errkind.New(errkind.NotReady, "attempt was made for another incarnation of this agent").WithRunState(errkind.NotRun)
	}
	if a.past.has(att.id) {
		return nil, errkind.New(errkind.StreamBroken, "attempt has arrived before and its answer is no longer held").WithRunState(errkind.RunUnknown)
	}
	if a.refused.has(att.id) && !a.opts.Disabled.Tombstones {
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
	if err := a.catchUp(ctx, att.request.GetEpoch()); err != nil {
		return err
	}
	if err := a.mayRun(att); err != nil {
		return err
	}
	if err := a.fitsMemory(att); err != nil {
		return err
	}
	return a.fitsDeadline(att)
}

// holdsMemory reports whether an attempt continues a long prompt that holds a reservation here. Such an attempt is work in
// progress, which draining does not cut off.
func (a *Agent) holdsMemory(att *attempt) bool {
	return att.continues() && a.ledger.Renew(att.reservation, runLease) == nil
}

// catchUp fetches a newer text when the entry's epoch is ahead.
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

// mayRun checks freshness, duty, recall and what is loaded. It runs at admission and again before the endpoint is
// called.
func (a *Agent) mayRun(att *attempt) error {
	s := a.peer.Epochs().Snapshot()
	if s == nil {
		return errkind.New(errkind.NotReady, "no configuration is known yet")
	}
	a.mu.Lock()
	down := a.down
	loaded := a.report.Loaded
	silent := a.isModel() && time.Since(a.reported) > reportPatience
	a.mu.Unlock()
	if err := a.resolveService(s, att, loaded); err != nil {
		return err
	}
	if err := a.mayAnswer(att); err != nil {
		return err
	}
	if down || silent {
		return errkind.New(errkind.EndpointFailed, "endpoint does not answer")
	}
	if att.hasVersion() && !holds(loaded, att.version()) {
		return errkind.New(errkind.NotLoaded, "engine has not loaded "+att.version().WeightName())
	}
	return nil
}

// resolveService finds the service in the text and checks that this endpoint serves it.
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

// serves reports whether the text gives v to this endpoint, or this endpoint still holds v in a rollout that replaces it:
// its turn or the ticket has not come.
func (a *Agent) serves(s *fleet.Snapshot, loaded []endpoint.Version, v endpoint.Version) bool {
	return holds(s.AssignedVersions(a.opts.Endpoint), v) || holds(a.wanted(s, loaded), v) || holds(a.waiting(), v)
}

// mayAnswer checks freshness and recall against the snapshot in force now.
func (a *Agent) mayAnswer(att *attempt) error {
	epochs := a.peer.Epochs()
	s := epochs.Snapshot()
	serve := att.service != nil && att.service.WhenIsolated == fleet.WhenIsolatedServe
	if !epochs.Fresh() && !serve {
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

// checkRecall asserts that no answer of a recalled version starts.
func (a *Agent) checkRecall(att *attempt) {
	s := a.peer.Epochs().Snapshot()
	invariant.Check(recallError(s, att) == nil, "recalled_answer_started", "attempt %s starts an answer of a recalled version at epoch %d", att.id, s.Epoch)
}

func holds(versions []endpoint.Version, v endpoint.Version) bool { return slices.Contains(versions, v) }

func (a *Agent) fitsMemory(att *attempt) error {
	if att.reservation == "" || att.reservation != att.id {
		return nil // a call, or memory that was reserved before
	}
	err := a.ledger.CheckSize(att.tokens)
	if errors.Is(err, kvledger.ErrTooLarge) {
		return errkind.Wrap(err, errkind.PromptTooLarge, "prompt needs more memory than the engine has")
	}
	if err != nil {
		return errkind.Wrap(err, errkind.NotReady, "engine has not reported yet")
	}
	return nil
}

// fitsDeadline refuses work that the estimate says cannot finish by its deadline.
func (a *Agent) fitsDeadline(att *attempt) error {
	need := a.estimate(att)
	if remaining := time.Until(att.deadline); need > remaining {
		return errkind.New(errkind.DeadlineUnmeetable, "estimate "+need.Round(time.Millisecond).String()+
			" exceeds the remaining "+remaining.Round(time.Millisecond).String())
	}
	return nil
}

// enqueue queues an admitted attempt, shedding a less important one if the queue is full.
func (a *Agent) enqueue(att *attempt) {
	shed, err := a.queue.Push(att.item)
	if err != nil {
		a.fail(att, errkind.Wrap(err, errkind.Overloaded, "run queue is full"))
		return
	}
	if shed != nil {
		a.fail(shed.Value, errkind.New(errkind.Overloaded, "shed for more urgent work"))
	}
	a.watchQueued(att)
	a.schedule()
}

// watchQueued refuses an attempt whose context ends while it is still queued.
func (a *Agent) watchQueued(att *attempt) {
	context.AfterFunc(att.ctx, func() {
		if a.queue.Remove(att.item) {
			a.fail(att, notRun(context.Cause(att.ctx)))
		}
	})
}

// cancelAttempt ends an attempt, or makes its later start impossible, and returns its run state.
func (a *Agent) cancelAttempt(ctx context.Context, id string) errkind.RunState {
	a.mu.Lock()
	att := a.attempts[id]
	if att == nil {
		defer a.mu.Unlock()
		return a.cancelAbsent(id, time.Now())
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
	return att.run
}

// cancelAbsent refuses a later run of an attempt that is not held. not_run is certain only if the attempt is younger than
// this process, which may have replaced another one that ran it. The caller holds mu.
func (a *Agent) cancelAbsent(id string, now time.Time) errkind.RunState {
	if a.refused.has(id) {
		return errkind.NotRun
	}
	if a.past.has(id) || now.Sub(a.born) < maxDeadline {
		a.past.add(id, now)
		return errkind.RunUnknown
	}
	a.refused.add(id, now)
	return errkind.NotRun
}

// pathOf returns the path of a call without its query.
func pathOf(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
