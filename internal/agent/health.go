package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
)

const (
	// failedReports is the number of consecutive failed reports after which an engine counts as crashed.
	failedReports = 2
	healthTimeout = time.Second
	crashRetry    = 500 * time.Millisecond
	crashTries    = 20
)

// crash is one detected crash, on its way to the sink.
type crash struct{ fingerprints []string }

// runReporter reads the engine's report, reconciles the ledger with it and detects crashes.
func (a *Agent) runReporter(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	failures := 0
	for {
		asked := time.Now()
		report, err := a.readReport(ctx, reportTimeout)
		switch {
		case err == nil:
			failures = 0
			a.acceptReport(report, asked)
		case errors.Is(err, endpoint.ErrDown):
			failures++
			a.reportFailed(failures)
		default:
			a.setFault("engine does not report: " + err.Error())
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// acceptReport takes over a report. One that was asked for before a crash was found says nothing of the engine now: it
// would bring the crashed engine back and have the next failed report count the same crash again.
func (a *Agent) acceptReport(report endpoint.LoadReport, asked time.Time) {
	a.mu.Lock()
	if a.down && !asked.After(a.downAt) {
		a.mu.Unlock()
		return
	}
	restarted := a.report.Incarnation != "" && a.report.Incarnation != report.Incarnation
	wasDown := a.down
	a.report = report
	a.reported = time.Now()
	a.down = false
	if !restarted {
		a.fault = ""
	}
	if len(report.Loaded) == 0 {
		a.fault = a.orderState.fault // with nothing loaded it serves nothing
	}
	a.mu.Unlock()
	if restarted && !wasDown {
		a.endpointCrashed()
	}
	unknown, freed := a.ledger.Reconcile(report)
	for _, id := range unknown {
		a.metrics.unknown.Inc()
		a.cancelOnEngine(id)
	}
	for _, id := range freed {
		a.log.WithField("reservation", id).Warn("freed memory of a stream that the engine no longer runs")
	}
	if restarted || wasDown || a.orderDiffers(report) {
		a.requestOrder()
	}
	a.schedule()
}

func (a *Agent) reportFailed(failures int) {
	a.setFault("engine is down")
	if failures == failedReports {
		a.endpointCrashed()
	}
}

func (a *Agent) setFault(fault string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = fault
}

// endpointCrashed ends all attempts that ran on the endpoint, reports their fingerprints, and resets the ledger.
func (a *Agent) endpointCrashed() {
	a.mu.Lock()
	if a.down {
		a.mu.Unlock()
		return
	}
	a.down, a.downAt = true, time.Now()
	var fingerprints []string
	var victims []*attempt
	for _, att := range a.attempts {
		if att.executed.Load() && !att.isDone() {
			victims = append(victims, att)
			fingerprints = append(fingerprints, att.request.GetFingerprint())
		}
	}
	clear(a.segments)
	a.mu.Unlock()
	a.metrics.crashes.Inc()
	a.ledger.Reset()
	a.log.WithField("running", len(victims)).Warn("endpoint crashed")
	for _, att := range victims {
		att.cancel(crashed())
	}
	if len(fingerprints) > 0 {
		_ = a.crashes.Push(crash{fingerprints: fingerprints}) // when full, the entries still learn it from the failures
	}
}

// engineCrashed finds out whether a broken stream means a crash: the engine does not report, or has another incarnation.
func (a *Agent) engineCrashed(att *attempt) bool {
	report, err := a.readReport(att.ctx, reportTimeout)
	if err == nil && report.Incarnation == att.incarnation {
		return false
	}
	if att.ctx.Err() != nil {
		return errors.Is(context.Cause(att.ctx), errCrashed)
	}
	a.endpointCrashed()
	return true
}

// serviceCrashed finds out whether a broken call means a crash of the service.
func (a *Agent) serviceCrashed(att *attempt) bool {
	if err := a.healthy(att.ctx); err == nil || att.ctx.Err() != nil {
		return errors.Is(context.Cause(att.ctx), errCrashed)
	}
	a.endpointCrashed()
	return true
}

func (a *Agent) healthy(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return a.opts.Service.CheckHealth(ctx)
}

// runHealth watches a plain service.
func (a *Agent) runHealth(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		err := a.healthy(ctx)
		a.mu.Lock()
		a.fault = ""
		if err == nil {
			a.down = false
		} else {
			a.fault = "service is not healthy: " + err.Error()
		}
		a.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// reportCrashes passes crashes to the sink, with a bounded number of tries.
func (a *Agent) reportCrashes(ctx context.Context) error {
	for {
		c, err := a.crashes.Pop(ctx)
		if err != nil {
			return err
		}
		a.log.WithField("fingerprints", c.fingerprints).Warn("requests were running on the endpoint when it crashed")
		if a.opts.Crashes == nil {
			continue
		}
		for range crashTries {
			if a.opts.Crashes.ReportCrash(ctx, a.opts.Endpoint, c.fingerprints) == nil {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(crashRetry):
			}
		}
	}
}

// cancelOnEngine ends streams and segments on the engine in the background. An ID that is lost here is found again by
// the reconciliation with the engine's report.
func (a *Agent) cancelOnEngine(ids ...string) {
	for _, id := range ids {
		_ = a.cancels.Push(id) // see above
	}
}

func (a *Agent) runCancels(ctx context.Context) error {
	for {
		id, err := a.cancels.Pop(ctx)
		if err != nil {
			return err
		}
		a.cancelNow(ctx, id)
	}
}

func (a *Agent) cancelNow(ctx context.Context, id string) {
	ctx, stop := context.WithTimeout(ctx, reportTimeout)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- a.opts.Engine.Cancel(ctx, id) }()
	select {
	case err := <-done:
		if err != nil {
			a.log.WithError(err).WithField("stream", id).Debug("cancel failed")
		}
	case <-ctx.Done():
	}
}

// runMaintenance expires leases and attempts without a connection, and checks the assertions that need a clock.
func (a *Agent) runMaintenance(ctx context.Context) error {
	ticker := time.NewTicker(maintainInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			a.maintain(now)
		}
	}
}

func (a *Agent) maintain(now time.Time) {
	a.mu.Lock()
	open := 0
	for id, att := range a.attempts {
		switch {
		case !att.isDone():
			open++
			a.checkDeadline(att, now)
			a.keepOrDetach(att)
		case now.Sub(att.ended) > finishedKept:
			delete(a.attempts, id)
			a.past.add(id, now)
		}
	}
	others := len(a.segments)
	a.mu.Unlock()
	expired, engineIDs := a.ledger.Expire()
	a.cancelOnEngine(engineIDs...)
	a.forgetSegments(expired)
	if open == 0 && others == 0 && a.queue.Running() == 0 && a.queue.Len() == 0 {
		a.checkIdle()
	}
	a.leaveWithVM()
	a.schedule()
}

// keepOrDetach renews the memory of an attempt whose stream is attached or may still be resumed, and ends the others. A
// plain call is not ended, because it cannot be taken back.
func (a *Agent) keepOrDetach(att *attempt) {
	if att.segment == nil && att.hasVersion() && att.buffer.DetachedFor() > resumeWindow {
		att.cancel(errkind.New(errkind.Canceled, "no connection resumed the stream"))
		return
	}
	if att.reservation != "" {
		_ = a.ledger.Renew(att.reservation, runLease) // a queued attempt holds none yet
	}
}

// checkIdle asserts that nothing is reserved. It looks twice, since an attempt may be admitted in between.
func (a *Agent) checkIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.attempts {
		if !att.isDone() {
			return
		}
	}
	if len(a.segments) == 0 {
		a.ledger.AssertIdle()
	}
}

func (a *Agent) forgetSegments(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.segments, id)
	}
}

// leaveWithVM drains when the membership view says that this VM is leaving.
func (a *Agent) leaveWithVM() {
	node, ok := a.peer.Members().Endpoint(a.opts.Endpoint)
	if !ok || !node.Leaving || node.Name != a.opts.Node.Name {
		return
	}
	if node.Incarnation == "" || node.Incarnation == a.incarnation {
		a.startDraining()
	}
}
