package agent

import (
	"container/list"
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/limit/fairqueue"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

// deadlineSlack is the overrun that the deadline assertion tolerates, since timers and goroutines are delayed under load.
const deadlineSlack = time.Second

// attempt is one attempt to execute a request, or the prefill of one segment of a long prompt.
type attempt struct {
	id                 string
	request            *wire.RunRequest
	segment            *wire.PrefillRequest // set for the prefill of a segment; request is then derived from it
	segmentHandle      endpoint.KVHandle    // result of the prefill of a segment
	class              fleet.Class
	service            *fleet.Service // nil for segments
	arrivedAt          time.Time
	deadline           time.Time
	reservation        string // name of the reservation in the ledger; empty for calls
	memoryTokens       int    // KV memory in tokens
	promptTokens       int
	queueItem          *fairqueue.Item[*attempt]
	buffer             *stream.SendBuffer
	ctx                context.Context
	cancel             context.CancelCauseFunc
	executed           atomic.Bool // the endpoint has been called or is about to be
	answerStarted      atomic.Bool // set by ensureAnswerStarted
	countedOutstanding atomic.Bool // its prompt tokens are counted in Agent.outstanding
	finishOnce         sync.Once
	done               chan struct{}
	endedAt            time.Time        // guarded by Agent.mu
	runState           errkind.RunState // set with endedAt
	engineIncarnation  string           // incarnation of the engine when it was called
}

func (att *attempt) isDone() bool {
	select {
	case <-att.done:
		return true
	default:
		return false
	}
}

// delivered reports whether the answer was written to a connection as a whole or can no longer be resumed.
func (att *attempt) delivered() bool {
	return att.buffer.LastFrameWritten() || att.buffer.DetachedFor() > resumeWindow
}

func (att *attempt) version() endpoint.Version {
	if att.segment != nil {
		return wire.DecodeVersion(att.segment.GetVersion())
	}
	return wire.DecodeVersion(att.request.GetModel().GetVersion())
}

func (att *attempt) hasVersion() bool { return att.segment != nil || att.request.GetModel() != nil }

// preReserved reports whether the attempt uses a reservation that was made before it.
func (att *attempt) preReserved() bool { return att.reservation != "" && att.reservation != att.id }

func (a *Agent) newAttempt(req *wire.RunRequest) *attempt {
	now := time.Now()
	att := &attempt{
		id:        req.GetAttemptId(),
		request:   req,
		class:     fleet.Class(req.GetClass()),
		arrivedAt: now,
		deadline:  now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		buffer:    stream.NewSendBuffer(req.GetRequestId(), req.GetAttemptId()),
		done:      make(chan struct{}),
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	att.ctx, att.cancel = ctx, cancel
	if !a.opts.Disabled.Deadlines {
		cause := errkind.New(errkind.DeadlineExceeded, "deadline has passed")
		ctx, stop := context.WithDeadlineCause(ctx, att.deadline, cause)
		att.ctx = ctx
		context.AfterFunc(ctx, stop)
	}
	if work := req.GetModel(); work != nil {
		att.promptTokens = int(work.GetPromptTokens())
		if att.promptTokens == 0 {
			att.promptTokens = endpoint.EstimateTokens(work.GetPrompt())
		}
		answerTokens := int(work.GetMaxTokens())
		if answerTokens == 0 {
			answerTokens = defaultAnswerTokens
		}
		att.memoryTokens = att.promptTokens + max(answerTokens, len(work.GetGenerated()))
		att.reservation = work.GetReservation()
		if att.reservation == "" {
			att.reservation = att.id
		}
	}
	att.queueItem = &fairqueue.Item[*attempt]{
		Workspace: req.GetWorkspace(),
		Class:     att.class,
		Weight:    req.GetWeight(),
		Cost:      float64(max(att.promptTokens, 1)),
		Exclusive: req.GetAlone(),
		Value:     att,
	}
	return att
}

// fail ends an attempt with err. If it ends as not_run, it is refused should it arrive again.
func (a *Agent) fail(att *attempt, err error) {
	att.finishOnce.Do(func() {
		e := errkind.From(err)
		failure := a.newFailure(e)
		a.finish(att, e.RunState, string(e.Kind))
		if e.RunState == errkind.NotRun {
			a.assertNotExecuted(att)
		}
		_ = att.buffer.Fail(failure) // fails only on a closed stream, and only finishOnce closes it
		close(att.done)
	})
}

// succeed ends an attempt with a complete answer.
func (a *Agent) succeed(att *attempt, end *wire.End) {
	att.finishOnce.Do(func() {
		a.finish(att, errkind.Ran, "ok")
		end.Load = a.currentLoad()
		_ = att.buffer.Finish(end) // fails only on a closed stream, and only finishOnce closes it
		close(att.done)
	})
}

// finish releases the resources of an ended attempt and records its run state.
func (a *Agent) finish(att *attempt, runState errkind.RunState, kind string) {
	a.removeOutstanding(att)
	if att.reservation != "" && att.segment == nil && !a.opts.Disabled.KVRelease {
		a.cancelOnEngine(a.ledger.Release(att.reservation)...)
	}
	a.mu.Lock()
	if att.segment == nil {
		delete(a.segmentReservations, att.reservation)
	}
	att.endedAt = time.Now()
	att.runState = runState
	if runState == errkind.NotRun {
		a.refusedIDs.add(att.id, att.endedAt)
	}
	for i, w := range a.memoryWaiters {
		if w == att {
			a.memoryWaiters[i] = nil
		}
	}
	a.mu.Unlock()
	att.cancel(nil)
	a.metrics.attempts.WithLabelValues(kind, string(runState)).Inc()
	a.assertDeadline(att, att.endedAt)
	a.wakeScheduler()
}

func (a *Agent) assertNotExecuted(att *attempt) {
	invariant.Check(!att.executed.Load(), "not_run_executed", "attempt %s is answered not_run after it was executed", att.id)
}

func (a *Agent) assertDeadline(att *attempt, now time.Time) {
	invariant.Check(now.Sub(att.deadline) <= deadlineSlack, "deadline_overrun",
		"attempt %s is open %v after its deadline", att.id, now.Sub(att.deadline))
}

// beginExecution marks the attempt as executed. It must be called immediately before the endpoint is called.
func (a *Agent) beginExecution(att *attempt) error {
	if err := att.ctx.Err(); err != nil {
		return asNotRun(context.Cause(att.ctx))
	}
	if err := a.checkPaused(); err != nil {
		return asNotRun(err)
	}
	if !a.limit.take(a.endpointLimit(), time.Now()) {
		return asNotRun(errkind.New(errkind.Overloaded, "endpoint is at the limit that it has stated"))
	}
	a.mu.Lock()
	refused := a.refusedIDs.has(att.id)
	arrivedDraining := !a.drainingSince.IsZero() && att.arrivedAt.After(a.drainingSince) && !att.preReserved()
	att.engineIncarnation = a.report.Incarnation
	att.executed.Store(true)
	a.mu.Unlock()
	invariant.Check(!refused, "not_run_executed", "attempt %s runs after it was answered not_run", att.id)
	invariant.Check(!arrivedDraining, "drained_admitted", "attempt %s runs although it arrived while draining", att.id)
	return nil
}

// asNotRun returns err for an attempt that certainly has not run.
func asNotRun(err error) error { return errkind.From(err).WithRunState(errkind.NotRun) }

// asRan returns err for an attempt that the endpoint has executed at least in part.
func asRan(err error) error { return errkind.From(err).WithRunState(errkind.Ran) }

func (a *Agent) newFailure(e *errkind.Error) *wire.Failure {
	f := &wire.Failure{Kind: string(e.Kind), Message: e.Message, Run: string(e.RunState), Load: a.currentLoad()}
	if s := a.peer.Epochs().Snapshot(); s != nil {
		f.Epoch = s.Epoch
	}
	var mismatch *rowMismatchError
	if errors.As(e, &mismatch) {
		f.RowVersion = mismatch.version
	}
	f.EndpointCrashed = errors.Is(e, errEndpointCrashed)
	return f
}

// errEndpointCrashed is the cause of the failures of attempts that were running when the endpoint crashed.
var errEndpointCrashed = errors.New("agent: endpoint crashed")

// rowMismatchError carries the version of the row of an idempotency key.
type rowMismatchError struct{ version int64 }

// Error implements the error interface.
func (e *rowMismatchError) Error() string {
	return "agent: row of the idempotency key does not match the attempt"
}

const (
	tombstoneTTL      = 2 * maxDeadline // an attempt can arrive until its deadline
	tombstoneCapacity = 1 << 16
)

// tombstones remembers the IDs of attempts that are refused when they arrive, for example because they were cancelled before.
// When the capacity is reached, the oldest ID is dropped.
type tombstones struct {
	byID  map[string]*list.Element
	order *list.List
}

type tombstone struct {
	id      string
	addedAt time.Time
}

func newTombstones() *tombstones {
	return &tombstones{byID: make(map[string]*list.Element), order: list.New()}
}

func (t *tombstones) add(id string, now time.Time) {
	if t.byID[id] != nil {
		return
	}
	t.byID[id] = t.order.PushBack(tombstone{id: id, addedAt: now})
	for t.order.Len() > tombstoneCapacity || now.Sub(t.order.Front().Value.(tombstone).addedAt) > tombstoneTTL {
		delete(t.byID, t.order.Remove(t.order.Front()).(tombstone).id)
	}
}

func (t *tombstones) has(id string) bool { return t.byID[id] != nil }
