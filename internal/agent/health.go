package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
)

const (
	// maxFailedReports is the number of consecutive failed reports from which an engine counts as crashed.
	maxFailedReports       = 2
	healthTimeout          = time.Second
	crashReportDelay       = 500 * time.Millisecond
	maxCrashReportAttempts = 20
)

// crash is a detected crash that is to be reported to the CrashReporter.
type crash struct{ fingerprints []string }

// runReporter reads the engine's load report periodically, reconciles the ledger with it and detects crashes.
func (a *Agent) runReporter(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	failures := 0
	for {
		requestedAt := time.Now()
		report, err := a.readReport(ctx, reportTimeout)
		switch {
		case err == nil:
			failures = 0
			a.acceptReport(report, requestedAt)
		case errors.Is(err, endpoint.ErrDown):
			failures++
			a.handleFailedReport(failures)
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

// acceptReport stores a report. It ignores one that was requested before the engine was found to be down: that report would
// mark the crashed engine as up, and the next failed report would count the same crash again.
func (a *Agent) acceptReport(report endpoint.LoadReport, requestedAt time.Time) {
	a.mu.Lock()
	if a.down && !requestedAt.After(a.downAt) {
		a.mu.Unlock()
		return
	}
	restarted := a.report.Incarnation != "" && a.report.Incarnation != report.Incarnation
	wasDown := a.down
	a.report = report
	a.reportedAt = time.Now()
	a.down = false
	if !restarted {
		a.fault = ""
	}
	if len(report.Loaded) == 0 {
		a.fault = a.orderState.fault // with nothing loaded, the engine cannot serve
	}
	a.mu.Unlock()
	if restarted && !wasDown {
		a.handleCrash()
	}
	unknownIDs, releasedIDs := a.ledger.Reconcile(report)
	for _, id := range unknownIDs {
		a.metrics.unknownStreams.Inc()
		a.cancelOnEngine(id)
	}
	for _, id := range releasedIDs {
		a.log.WithField("reservation", id).Warn("released the memory of a stream that the engine no longer runs")
	}
	if restarted || wasDown || a.needsOrder(report) {
		a.requestOrder()
	}
	a.wakeScheduler()
}

func (a *Agent) handleFailedReport(failures int) {
	a.setFault("engine is down")
	if failures == maxFailedReports {
		a.handleCrash()
	}
}

func (a *Agent) setFault(fault string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.fault = fault
}

// handleCrash ends all attempts that were running on the endpoint, reports their fingerprints and resets the ledger.
func (a *Agent) handleCrash() {
	a.mu.Lock()
	if a.down {
		a.mu.Unlock()
		return
	}
	a.down, a.downAt = true, time.Now()
	var fingerprints []string
	var running []*attempt
	for _, att := range a.attempts {
		if att.executed.Load() && !att.isDone() {
			running = append(running, att)
			fingerprints = append(fingerprints, att.request.GetFingerprint())
		}
	}
	clear(a.segmentReservations)
	a.mu.Unlock()
	a.metrics.crashes.Inc()
	a.ledger.Reset()
	a.log.WithField("running", len(running)).Warn("endpoint crashed")
	for _, att := range running {
		att.cancel(newCrashError())
	}
	if len(fingerprints) > 0 {
		_ = a.pendingCrashes.Push(crash{fingerprints: fingerprints}) // if it is full, the entries still see the crash in the failures
	}
}

// detectEngineCrash reports whether a broken stream was caused by a crash: the engine does not report, or has a new incarnation.
func (a *Agent) detectEngineCrash(att *attempt) bool {
	report, err := a.readReport(att.ctx, reportTimeout)
	if err == nil && report.Incarnation == att.engineIncarnation {
		return false
	}
	if att.ctx.Err() != nil {
		return errors.Is(context.Cause(att.ctx), errEndpointCrashed)
	}
	a.handleCrash()
	return true
}

// detectServiceCrash reports whether a failed call was caused by a crash of the service.
func (a *Agent) detectServiceCrash(att *attempt) bool {
	if err := a.checkHealth(att.ctx); err == nil || att.ctx.Err() != nil {
		return errors.Is(context.Cause(att.ctx), errEndpointCrashed)
	}
	a.handleCrash()
	return true
}

func (a *Agent) checkHealth(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return a.opts.Service.CheckHealth(ctx)
}

// runHealthChecks checks the health of a plain service periodically.
func (a *Agent) runHealthChecks(ctx context.Context) error {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		err := a.checkHealth(ctx)
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

// runCrashReporter reports crashes to the CrashReporter, with a bounded number of retries.
func (a *Agent) runCrashReporter(ctx context.Context) error {
	for {
		c, err := a.pendingCrashes.Pop(ctx)
		if err != nil {
			return err
		}
		a.log.WithField("fingerprints", c.fingerprints).Warn("requests were running on the endpoint when it crashed")
		if a.opts.CrashReporter == nil {
			continue
		}
		for range maxCrashReportAttempts {
			if a.opts.CrashReporter.ReportCrash(ctx, a.opts.Endpoint, c.fingerprints) == nil {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(crashReportDelay):
			}
		}
	}
}

// cancelOnEngine cancels streams and segments on the engine in the background. An ID that is dropped because the buffer is full
// is found again when the ledger is reconciled with the engine's report.
func (a *Agent) cancelOnEngine(ids ...string) {
	for _, id := range ids {
		_ = a.pendingCancels.Push(id) // see above
	}
}

func (a *Agent) runCancels(ctx context.Context) error {
	for {
		id, err := a.pendingCancels.Pop(ctx)
		if err != nil {
			return err
		}
		a.sendCancel(ctx, id)
	}
}

func (a *Agent) sendCancel(ctx context.Context, id string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- a.opts.Engine.Cancel(ctx, id) }()
	select {
	case err := <-done:
		if err != nil {
			a.log.WithError(err).WithField("stream", id).Debug("cannot cancel a stream on the engine")
		}
	case <-ctx.Done():
	}
}

// runMaintenance periodically expires leases and attempts without a connection, and checks the invariants that depend on time.
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
	openAttempts := 0
	for id, att := range a.attempts {
		switch {
		case !att.isDone():
			openAttempts++
			a.assertDeadline(att, now)
			a.renewOrCancel(att)
		case now.Sub(att.endedAt) > finishedRetention:
			delete(a.attempts, id)
			a.pastIDs.add(id, now)
		}
	}
	segments := len(a.segmentReservations)
	a.mu.Unlock()
	expiredIDs, engineIDs := a.ledger.Expire()
	a.cancelOnEngine(engineIDs...)
	a.removeSegmentReservations(expiredIDs)
	if openAttempts == 0 && segments == 0 && a.queue.Running() == 0 && a.queue.Len() == 0 {
		a.assertIdle()
	}
	a.drainIfVMLeaves()
	a.wakeScheduler()
}

// renewOrCancel renews the memory lease of an attempt whose stream has a connection or may still be resumed, and cancels other
// attempts. It does not cancel calls of plain services, because their effects cannot be undone.
func (a *Agent) renewOrCancel(att *attempt) {
	if att.segment == nil && att.hasVersion() && att.buffer.DetachedFor() > resumeWindow {
		att.cancel(errkind.New(errkind.Canceled, "no connection resumed the stream"))
		return
	}
	if att.reservation != "" {
		_ = a.ledger.Renew(att.reservation, attemptLease) // fails for a queued attempt that has no reservation yet
	}
}

// assertIdle asserts that no memory is reserved, after checking again that nothing runs: an attempt may have been admitted
// since the caller's check.
func (a *Agent) assertIdle() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.attempts {
		if !att.isDone() {
			return
		}
	}
	if len(a.segmentReservations) == 0 {
		a.ledger.AssertIdle()
	}
}

func (a *Agent) removeSegmentReservations(ids []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, id := range ids {
		delete(a.segmentReservations, id)
	}
}

// drainIfVMLeaves starts draining if the membership view shows this VM as leaving.
func (a *Agent) drainIfVMLeaves() {
	node, ok := a.peer.Members().Endpoint(a.opts.Endpoint)
	if !ok || !node.Leaving || node.Name != a.opts.Node.Name {
		return
	}
	if node.Incarnation == "" || node.Incarnation == a.incarnation {
		a.startDraining()
	}
}
