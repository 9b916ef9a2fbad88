package agent

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
)

const (
	// failedReports is the number of consecutive failed reports from which an engine counts as crashed.
	failedReports = 2
	healthTimeout = time.Second
	crashRetry    = 500 * time.Millisecond
	crashTries    = 20
)

// crash is a detected crash that is to be reported to the CrashSink.
type crash struct{ fingerprints []string }

// runReporter reads the engine's load report periodically, reconciles the ledger with it and detects crashes.
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

// acceptReport stores a report. It ignores one that was requested before the engine was found to be down: that report would
// mark the crashed engine as up, and the next failed report would count the same crash again.
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
		a.fault = a.orderState.fault // with nothing loaded, the engine cannot serve
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
		a.log.WithField("reservation", id).Warn("released the memory of a stream that the engine no longer runs")
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

// endpointCrashed ends all attempts that were running on the endpoint, reports their fingerprints and resets the ledger.
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
		_ = a.crashes.Push(crash{fingerprints: fingerprints}) // if it is full, the entries still see the crash in the failures
	}
}

// engineCrashed reports whether a broken stream was caused by a crash: the engine does not report, or has a new incarnation.
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

// serviceCrashed reports whether a failed call was caused by a crash of the service.
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

// runHealth checks the health of a plain service periodically.
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

// reportCrashes reports crashes to the CrashSink, with a bounded number of retries.
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

// cancelOnEngine cancels streams and segments on the engine in the background. An ID that is dropped because the buffer is full
// is found again when the ledger is reconciled with the engine's report.
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

// keepOrDetach renews the memory lease of an attempt whose stream has a connection or may still be resumed, and cancels other
// attempts. It does not cancel calls of plain services, because their effects cannot be undone.
func (a *Agent) keepOrDetach(att *attempt) {
	if att.segment == nil && att.hasVersion() && att.buffer.DetachedFor() > resumeWindow {
		att.cancel(errkind.New(errkind.Canceled, "no connection resumed the stream"))
		return
	}
	if att.reservation != "" {
		_ = a.ledger.Renew(att.reservation, runLease) // fails for a queued attempt that has no reservation yet
	}
}

// checkIdle asserts that no memory is reserved, after checking again that nothing runs: an attempt may have been admitted
// since the caller's check.
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

// leaveWithVM starts draining if the membership view shows this VM as leaving.
func (a *Agent) leaveWithVM() {
	node, ok := a.peer.Members().Endpoint(a.opts.Endpoint)
	if !ok || !node.Leaving || node.Name != a.opts.Node.Name {
		return
	}
	if node.Incarnation == "" || node.Incarnation == a.incarnation {
		a.startDraining()
	}
}
