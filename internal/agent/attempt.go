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

// deadlineSlack is the overrun that the deadline assertion tolerates: timers and the scheduler are late under load.
const deadlineSlack = time.Second

// attempt is one execution try of a request, or the prefill of one segment.
type attempt struct {
	id          string
	request     *wire.RunRequest
	segment     *wire.PrefillRequest // set for the prefill of a segment, whose request is synthetic
	handle      endpoint.KVHandle    // result of a segment
	class       fleet.Class
	service     *fleet.Service // nil for segments
	arrived     time.Time
	deadline    time.Time
	reservation string // name in the ledger; empty for calls
	tokens      int    // KV memory
	prefill     int    // prompt tokens
	item        *fairqueue.Item[*attempt]
	buffer      *stream.SendBuffer
	ctx         context.Context
	cancel      context.CancelCauseFunc
	executed    atomic.Bool // the endpoint was called, or is about to be
	answering   atomic.Bool // the first token was admitted
	waiting     atomic.Bool // its prefill tokens count as outstanding
	finished    sync.Once
	done        chan struct{}
	ended       time.Time // guarded by Agent.mu
	run         errkind.RunState
	incarnation string // of the engine when it was called
}

func (att *attempt) isDone() bool {
	select {
	case <-att.done:
		return true
	default:
		return false
	}
}

// delivered reports whether the answer reached a connection or can no longer be resumed.
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

// continues reports whether the attempt uses memory that was reserved before.
func (att *attempt) continues() bool { return att.reservation != "" && att.reservation != att.id }

func (a *Agent) newAttempt(req *wire.RunRequest) *attempt {
	now := time.Now()
	att := &attempt{
		id:       req.GetAttemptId(),
		request:  req,
		class:    fleet.Class(req.GetClass()),
		arrived:  now,
		deadline: now.Add(time.Duration(req.GetDeadlineMs()) * time.Millisecond),
		buffer:   stream.NewSendBuffer(req.GetRequestId(), req.GetAttemptId()),
		done:     make(chan struct{}),
	}
	ctx, cancel := context.WithCancelCause(a.ctx)
	att.ctx, att.cancel = ctx, cancel
	if !a.opts.Disabled.Deadlines {
		late := errkind.New(errkind.DeadlineExceeded, "deadline has passed")
		ctx, stop := context.WithDeadlineCause(ctx, att.deadline, late)
		att.ctx = ctx
		context.AfterFunc(ctx, stop)
	}
	if m := req.GetModel(); m != nil {
		att.prefill = int(m.GetPromptTokens())
		if att.prefill == 0 {
			att.prefill = endpoint.EstimateTokens(m.GetPrompt())
		}
		answer := int(m.GetMaxTokens())
		if answer == 0 {
			answer = defaultAnswerTokens
		}
		att.tokens = att.prefill + max(answer, len(m.GetGenerated()))
		att.reservation = m.GetReservation()
		if att.reservation == "" {
			att.reservation = att.id
		}
	}
	att.item = &fairqueue.Item[*attempt]{
		Workspace: req.GetWorkspace(),
		Class:     att.class,
		Weight:    req.GetWeight(),
		Cost:      float64(max(att.prefill, 1)),
		Exclusive: req.GetAlone(),
		Value:     att,
	}
	return att
}

// fail ends an attempt with err. A not_run answer also makes every later start of the attempt impossible.
func (a *Agent) fail(att *attempt, err error) {
	att.finished.Do(func() {
		e := errkind.From(err)
		failure := a.failure(e)
		a.conclude(att, e.RunState, string(e.Kind))
		if e.RunState == errkind.NotRun {
			a.checkNotRun(att)
		}
		_ = att.buffer.Fail(failure) // only finished.Do closes the stream
		close(att.done)
	})
}

// succeed ends an attempt with a complete answer.
func (a *Agent) succeed(att *attempt, end *wire.End) {
	att.finished.Do(func() {
		a.conclude(att, errkind.Ran, "ok")
		end.Load = a.load()
		_ = att.buffer.Finish(end) // only finished.Do closes the stream
		close(att.done)
	})
}

// conclude frees what the attempt holds.
func (a *Agent) conclude(att *attempt, run errkind.RunState, kind string) {
	a.noLongerOutstanding(att)
	if att.reservation != "" && att.segment == nil && !a.opts.Disabled.KVRelease {
		a.cancelOnEngine(a.ledger.Release(att.reservation)...)
	}
	a.mu.Lock()
	if att.segment == nil {
		delete(a.segments, att.reservation)
	}
	att.ended = time.Now()
	att.run = run
	if run == errkind.NotRun {
		a.refused.add(att.id, att.ended)
	}
	for i, w := range a.kvWaiters {
		if w == att {
			a.kvWaiters[i] = nil
		}
	}
	a.mu.Unlock()
	att.cancel(nil)
	a.metrics.attempts.WithLabelValues(kind, string(run)).Inc()
	a.checkDeadline(att, att.ended)
	a.schedule()
}

func (a *Agent) checkNotRun(att *attempt) {
	invariant.Check(!att.executed.Load(), "not_run_executed", "attempt %s is answered not_run after it was executed", att.id)
}

func (a *Agent) checkDeadline(att *attempt, now time.Time) {
	invariant.Check(now.Sub(att.deadline) <= deadlineSlack, "deadline_overrun", "attempt %s is open %v after its deadline", att.id, now.Sub(att.deadline))
}

// beginExecution marks the attempt as executed. It must be the last step before the call to the endpoint.
func (a *Agent) beginExecution(att *attempt) error {
	if err := att.ctx.Err(); err != nil {
		return notRun(context.Cause(att.ctx))
	}
	a.mu.Lock()
	refused := a.refused.has(att.id)
	draining := !a.draining.IsZero() && att.arrived.After(a.draining) && !att.continues()
	att.incarnation = a.report.Incarnation
	att.executed.Store(true)
	a.mu.Unlock()
	invariant.Check(!refused, "not_run_executed", "attempt %s runs after it was answered not_run", att.id)
	invariant.Check(!draining, "drained_admitted", "attempt %s runs although it arrived while draining", att.id)
	return nil
}

// notRun returns err as certain not to have run.
func notRun(err error) error { return errkind.From(err).WithRunState(errkind.NotRun) }

// ran returns err for an attempt that the endpoint has executed, at least in part.
func ran(err error) error { return errkind.From(err).WithRunState(errkind.Ran) }

func (a *Agent) failure(e *errkind.Error) *wire.Failure {
	f := &wire.Failure{Kind: string(e.Kind), Message: e.Message, Run: string(e.RunState), Load: a.load()}
	if s := a.peer.Epochs().Snapshot(); s != nil {
		f.Epoch = s.Epoch
	}
	var row *rowError
	if errors.As(e, &row) {
		f.RowVersion = row.version
	}
	f.EndpointCrashed = errors.Is(e, errCrashed)
	return f
}

// errCrashed is the cause of failures of attempts that ran on the endpoint when it crashed.
var errCrashed = errors.New("agent: endpoint crashed")

// rowError carries the version of an at-most-once row.
type rowError struct{ version int64 }

// Error implements the error interface.
func (e *rowError) Error() string {
	return "agent: at-most-once row differs from the attempt's condition"
}

const (
	tombstoneTTL      = 2 * maxDeadline // a late run can arrive until its deadline
	tombstoneCapacity = 1 << 16
)

// tombstones remembers attempts that were answered not_run or cancelled before they arrived. The oldest is dropped when
// the capacity is reached.
type tombstones struct {
	byID  map[string]*list.Element
	order *list.List
}

type tombstone struct {
	id string
	at time.Time
}

func newTombstones() *tombstones {
	return &tombstones{byID: make(map[string]*list.Element), order: list.New()}
}

func (t *tombstones) add(id string, now time.Time) {
	if t.byID[id] != nil {
		return
	}
	t.byID[id] = t.order.PushBack(tombstone{id: id, at: now})
	for t.order.Len() > tombstoneCapacity || now.Sub(t.order.Front().Value.(tombstone).at) > tombstoneTTL {
		delete(t.byID, t.order.Remove(t.order.Front()).(tombstone).id)
	}
}

func (t *tombstones) has(id string) bool { return t.byID[id] != nil }
