package agent

import (
	"context"
	"time"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/limit/fairqueue"
)

const (
	// maxConcurrentStreams is the number of streams that an engine runs concurrently.
	maxConcurrentStreams = 256
	// prefillWindow bounds the prefill work that is dispatched to the engine and waits for its first token, as time on an
	// idle engine. With more, the engine would decide the order instead of the fair queue; with less, the engine would idle
	// between two dispatches.
	prefillWindow = 500 * time.Millisecond
	// maxOvertakeTokens bounds how far shorter prompts may overtake a longer one of their class that waits for the engine, in
	// prefill tokens divided by the weight of their workspace. It is about 2 s of prefill, so that the shares of workspaces
	// hold over longer times.
	maxOvertakeTokens = 32_768
)

// classCount is the number of service classes.
const classCount = 3

// outstandingTokens counts the prompt tokens of dispatched attempts that have no first token yet, by class rank and grade.
type outstandingTokens [classCount][endpoint.PrioritiesPerClass]int

// aheadOf returns the outstanding tokens that the engine prefills before those of a new attempt.
func (o *outstandingTokens) aheadOf(att *attempt) int {
	rank, sum := fairqueue.Rank(att.class), 0
	for r := range rank {
		sum += o.inClass(r)
	}
	for _, tokens := range o[rank][:att.lengthGrade()+1] {
		sum += tokens
	}
	return sum
}

func (o *outstandingTokens) inClass(rank int) int {
	sum := 0
	for _, tokens := range o[rank] {
		sum += tokens
	}
	return sum
}

func (o *outstandingTokens) byClass() (sums [classCount]int) {
	for r := range sums {
		sums[r] = o.inClass(r)
	}
	return sums
}

// wakeScheduler wakes the scheduler.
func (a *Agent) wakeScheduler() {
	timing.Signal(a.wakeup)
}

// runScheduler starts queued attempts in the order of the fair queue, as the endpoint has capacity.
func (a *Agent) runScheduler(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-a.wakeup:
		}
		for item := a.queue.Next(a.decideStart); item != nil; item = a.queue.Next(a.decideStart) {
			a.start(item.Value)
		}
	}
}

// decideStart decides whether a queued attempt can start now.
func (a *Agent) decideStart(item *fairqueue.Item[*attempt], running int) fairqueue.Decision {
	att := item.Value
	if !att.hasVersion() {
		if running >= maxConcurrentCalls {
			return fairqueue.Stop
		}
		return fairqueue.Admit
	}
	if running >= maxConcurrentStreams {
		return fairqueue.Stop
	}
	if !a.fitsPrefillWindow(att) {
		return fairqueue.Yield
	}
	if att.reservation != att.id {
		return fairqueue.Admit
	}
	return a.reserveForStart(att)
}

func (a *Agent) fitsPrefillWindow(att *attempt) bool {
	ahead := a.outstandingAhead(att)
	if ahead == 0 {
		return true
	}
	return float64(ahead+att.promptTokens) <= a.prefillTokensPerSecond()*prefillWindow.Seconds()
}

// reserveForStart requests memory from the ledger. At most one long and one short attempt wait there, so that its first-come,
// first-served order does not replace the fair order of the queue.
func (a *Agent) reserveForStart(att *attempt) fairqueue.Decision {
	slot := 0
	if a.ledger.IsShort(att.memoryTokens) {
		slot = 1
	}
	a.mu.Lock()
	waiter := a.memoryWaiters[slot]
	a.mu.Unlock()
	if waiter != nil && waiter != att {
		return fairqueue.Skip
	}
	granted, err := a.ledger.ReserveOrEnqueue(att.reservation, att.memoryTokens, attemptLease)
	a.mu.Lock()
	defer a.mu.Unlock()
	if granted {
		a.memoryWaiters[slot] = nil
		return fairqueue.Admit
	}
	if err == nil && !att.isDone() {
		a.memoryWaiters[slot] = att
	}
	return fairqueue.Skip
}

func (a *Agent) outstandingAhead(att *attempt) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.outstanding.aheadOf(att)
}

// start runs an attempt that the queue has released, in a new goroutine.
func (a *Agent) start(att *attempt) {
	att.countedOutstanding.Store(true)
	a.mu.Lock()
	a.outstanding[fairqueue.Rank(att.class)][att.lengthGrade()] += att.promptTokens
	a.mu.Unlock()
	a.tasks.Go(func() {
		err := a.execute(att)
		if err != nil {
			a.fail(att, err)
		}
		a.queue.Done(att.queueItem)
		a.wakeScheduler()
	})
}

func (a *Agent) removeOutstanding(att *attempt) {
	if !att.countedOutstanding.CompareAndSwap(true, false) {
		return
	}
	a.mu.Lock()
	a.outstanding[fairqueue.Rank(att.class)][att.lengthGrade()] -= att.promptTokens
	a.mu.Unlock()
	a.wakeScheduler()
}

// execute runs an attempt. On success the stream is closed; otherwise the caller closes it with the returned error.
func (a *Agent) execute(att *attempt) error {
	if att.ctx.Err() != nil {
		return asNotRun(context.Cause(att.ctx))
	}
	if err := a.checkMayRun(att); err != nil {
		return asNotRun(err)
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
