package agent

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/limit/fairqueue"
)

const (
	// maxStreams is the number of streams that are given to an engine at once.
	maxStreams = 256
	// prefillWindow is the prefill work, as time on an idle engine, that is given to the engine ahead of the first
	// token of each class. More would take the order of service out of the fair queue's hands; less would let the
	// engine idle between two dispatches.
	prefillWindow = 500 * time.Millisecond
)

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
func (a *Agent) fit(it *fairqueue.Item[*attempt], running int) fairqueue.Fit {
	att := it.Value
	if !att.hasVersion() {
		if running >= maxCalls {
			return fairqueue.Stop
		}
		return fairqueue.Fits
	}
	if running >= maxStreams || !a.fitsWindow(att) {
		return fairqueue.Stop
	}
	if att.reservation != att.id {
		return fairqueue.Fits
	}
	return a.fitsLedger(att)
}

func (a *Agent) fitsWindow(att *attempt) bool {
	ahead := a.outstandingAhead(att.class)
	if ahead == 0 {
		return true
	}
	return float64(ahead+att.prefill) <= a.prefillRate()*prefillWindow.Seconds()
}

// fitsLedger requests memory. At most one long and one short attempt wait in the ledger, so that its FCFS order does
// not replace the fair order of the queue.
func (a *Agent) fitsLedger(att *attempt) fairqueue.Fit {
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
	granted, err := a.ledger.Request(att.reservation, att.tokens, runLease)
	a.mu.Lock()
	defer a.mu.Unlock()
	if granted {
		a.kvWaiters[slot] = nil
		return fairqueue.Fits
	}
	if err == nil && !att.isDone() {
		a.kvWaiters[slot] = att
	}
	return fairqueue.Skip
}

func (a *Agent) outstandingAhead(class fleet.Class) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	sum := 0
	for r := 0; r <= fairqueue.Rank(class); r++ {
		sum += a.outstanding[r]
	}
	return sum
}

// start runs an attempt that the queue released, in its own goroutine.
func (a *Agent) start(att *attempt) {
	att.waiting.Store(true)
	a.mu.Lock()
	a.outstanding[fairqueue.Rank(att.class)] += att.prefill
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
	a.outstanding[fairqueue.Rank(att.class)] -= att.prefill
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
