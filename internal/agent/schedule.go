package agent

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/limit/fairqueue"
)

const (
	// maxStreams is the number of streams that are given to an engine at once.
	maxStreams = 256
	// prefillWindow is the prefill work, as time on an idle engine, that is given to the engine ahead of the first
	// token of each class. More would take the order of service out of the fair queue's hands; less would let the
	// engine idle between two dispatches.
	prefillWindow = 500 * time.Millisecond
	// overtakeTokens bounds by how much shorter prompts may overtake a longer one of their class that waits for the
	// engine, as prefill tokens over the weight of their workspace: about 2 s, so that shares hold over longer times.
	overtakeTokens = 32_768
)

// classes is the number of classes of service.
const classes = 3

// outstanding counts the prefill tokens at the engine before their first token, by class rank and grade.
type outstanding [classes][endpoint.PrioritiesPerClass]int

// ahead returns the tokens that the engine serves before a new attempt.
func (o *outstanding) ahead(att *attempt) int {
	rank, sum := fairqueue.Rank(att.class), 0
	for r := range rank {
		sum += o.class(r)
	}
	for _, tokens := range o[rank][:att.grade()+1] {
		sum += tokens
	}
	return sum
}

func (o *outstanding) class(rank int) int {
	sum := 0
	for _, tokens := range o[rank] {
		sum += tokens
	}
	return sum
}

func (o *outstanding) byClass() (sums [classes]int) {
	for r := range sums {
		sums[r] = o.class(r)
	}
	return sums
}

// schedule wakes the scheduler.
func (a *Agent) schedule() {
	select {
	case a.kick <- struct{}{}:
	default:
	}
}

// runScheduler starts queued attempts in fair order as the endpoint can take them.
func (a *Agent) runScheduler(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.kick:
		}
		for it := a.queue.Next(a.fit); it != nil; it = a.queue.Next(a.fit) {
			a.start(it.Value)
		}
	}
}

// fit says whether an attempt can start now.
func (a *Agent) fit(it *fairqueue.Item[*attempt], running int) fairqueue.Decision {
	att := it.Value
	if !att.hasVersion() {
		if running >= maxCalls {
			return fairqueue.Stop
		}
		return fairqueue.Admit
	}
	if running >= maxStreams {
		return fairqueue.Stop
	}
	if !a.fitsWindow(att) {
		return fairqueue.Yield
	}
	if att.reservation != att.id {
		return fairqueue.Admit
	}
	return a.fitsLedger(att)
}

func (a *Agent) fitsWindow(att *attempt) bool {
	ahead := a.outstandingAhead(att)
	if ahead == 0 {
		return true
	}
	return float64(ahead+att.prefill) <= a.prefillRate()*prefillWindow.Seconds()
}

// fitsLedger requests memory. At most one long and one short attempt wait in the ledger, so that its FCFS order does
// not replace the fair order of the queue.
func (a *Agent) fitsLedger(att *attempt) fairqueue.Decision {
	slot := 0
	if a.ledger.IsShort(att.tokens) {
		slot = 1
	}
	a.mu.Lock()
	waiter := a.kvWaiters[slot]
	a.mu.Unlock()
	if waiter != nil && waiter != att {
		return fairqueue.Skip
	}
	granted, err := a.ledger.ReserveOrEnqueue(att.reservation, att.tokens, runLease)
	a.mu.Lock()
	defer a.mu.Unlock()
	if granted {
		a.kvWaiters[slot] = nil
		return fairqueue.Admit
	}
	if err == nil && !att.isDone() {
		a.kvWaiters[slot] = att
	}
	return fairqueue.Skip
}

func (a *Agent) outstandingAhead(att *attempt) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outstanding.ahead(att)
}

// start runs an attempt that the queue released, in its own goroutine.
func (a *Agent) start(att *attempt) {
	att.waiting.Store(true)
	a.mu.Lock()
	a.outstanding[fairqueue.Rank(att.class)][att.grade()] += att.prefill
	a.mu.Unlock()
	a.duties.Go(func() {
		err := a.execute(att)
		if err != nil {
			a.fail(att, err)
		}
		a.queue.Done(att.item)
		a.schedule()
	})
}

func (a *Agent) noLongerOutstanding(att *attempt) {
	if !att.waiting.CompareAndSwap(true, false) {
		return
	}
	a.mu.Lock()
	a.outstanding[fairqueue.Rank(att.class)][att.grade()] -= att.prefill
	a.mu.Unlock()
	a.schedule()
}

// execute runs an attempt and closes its stream; an error is the failure to close it with.
func (a *Agent) execute(att *attempt) error {
	if att.ctx.Err() != nil {
		return notRun(context.Cause(att.ctx))
	}
	if err := a.mayRun(att); err != nil {
		return notRun(err)
	}
	switch {
	case att.segment != nil:
		return a.runSegment(att)
	case att.request.GetModel() != nil:
		return a.runModel(att)
	case att.request.GetCall() != nil:
		return a.runCall(att)
	}
	return errkind.New(errkind.InvalidRequest, "attempt carries no work")
}
