package gateway

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/registry"
)

// streamBufferBytes is the size of the read buffer of a stream in bytes. An event has about a hundred bytes.
const streamBufferBytes = 4096

// forwardStream forwards a stream event by event.
func (s *requestState) forwardStream(
	ctx context.Context, a *attempt, plan *resolvedPlan, resp *Response, sentAt time.Time,
) (failure, bool) {
	primary := plan.endpoints[0]
	var splitter EventSplitter
	buf := make([]byte, streamBufferBytes)
	received := 0 // events of this attempt
	charged := int64(0)
	defer func() { s.req.Account.Release(charged) }()
	a.noteProgress()
	for {
		var n int
		var err error
		s.unlocked(func() { n, err = resp.Body.Read(buf) })
		if a.superseded {
			return supersededFailure(), false
		}
		// The bytes after the last event, their buffer after it has grown, and a copy of them as an event. Those of usual events are part of the cost
		// of a request.
		if needed := 3 * int64(len(splitter.Rest())+n-streamBufferBytes); needed > charged {
			if chargeErr := s.req.Account.Charge(needed - charged); chargeErr != nil {
				return failure{kind: errkind.StreamBroken, final: true, reason: "no memory for the answer"}, false
			}
			charged = needed
		}
		events := splitter.Push(buf[:n])
		for _, e := range events {
			if received++; received == 1 {
				s.recordFirstEvent(plan, sentAt)
			}
			if isMilestone(received) {
				s.gw.opts.Quarantine.RecordProgress(s.subjects, received)
			}
			wasLate := s.missedTarget()
			if f, ok := s.forwardEvent(a, resp, e); !ok {
				return f, false
			}
			if !wasLate && s.missedTarget() {
				s.gw.opts.Scheduler.MarkLate(plan.JobIDs)
			}
		}
		if len(events) > 0 { // bytes without an event are no progress
			primary.RecordActivity(s.gw.opts.Now())
			a.noteProgress()
		}
		if err == nil && !splitter.Overflowed() {
			continue
		}
		if errors.Is(err, io.EOF) && len(splitter.Rest()) == 0 && s.headerWritten.Load() && a.lead() {
			s.gw.opts.Registry.ReportOutcome(primary, registry.Succeeded)
			s.gw.opts.Quarantine.RecordProgress(s.subjects, quarantine.Complete)
			return failure{}, true
		}
		return s.brokenStreamFailure(ctx, a, primary, err, received), false
	}
}

// recordFirstEvent records the first event of an attempt.
func (s *requestState) recordFirstEvent(plan *resolvedPlan, sentAt time.Time) {
	now := s.gw.opts.Now()
	if s.firstEventLatency == 0 {
		s.firstEventLatency = now.Sub(s.req.ArrivedAt)
		s.observePrediction(plan, now)
	}
	s.gw.opts.Scheduler.MarkDecoding(plan.JobIDs)
	if took := now.Sub(sentAt); plan.PredictedLatency > minSlowdownPrediction && len(plan.endpoints) == 1 {
		s.gw.opts.Registry.ObserveSlowdown(plan.endpoints[0], took.Seconds()/plan.PredictedLatency.Seconds())
	}
}

// observePrediction counts the placement and, if it promised a first event in time that came late, what may have delayed it.
func (s *requestState) observePrediction(plan *resolvedPlan, now time.Time) {
	target := s.req.Route.LatencyTarget
	if target <= 0 || s.waitedForPlan+plan.PredictedLatency > target {
		return
	}
	outcome := "in_time"
	if s.firstEventLatency > target {
		outcome = string(s.gw.opts.Scheduler.DelayCause(plan.JobIDs[0], now))
		s.logEntry("late_first_event").WithFields(logrus.Fields{"cause": outcome, "predicted_ms": plan.PredictedLatency.Milliseconds(),
			"waited_ms": s.waitedForPlan.Milliseconds(), "first_ms": s.firstEventLatency.Milliseconds()}).Debug("first event was predicted in time and came late")
	}
	s.gw.opts.Metrics.predictions.WithLabelValues(outcome).Inc()
}

// minSlowdownPrediction is the shortest prediction from which the speed of an endpoint can be judged.
const minSlowdownPrediction = 40 * time.Millisecond

// forwardEvent writes one event to the caller. It drops events that the caller has already received, so that a resumed stream
// repeats none.
func (s *requestState) forwardEvent(a *attempt, resp *Response, e Event) (failure, bool) {
	if e.ID >= 0 && e.ID <= s.lastEventID {
		return failure{}, true
	}
	if !a.lead() {
		return supersededFailure(), false
	}
	if !s.headerWritten.Load() {
		s.headerWritten.Store(true)
		resp.ContentLength = -1
		s.writer.WriteHeader(resp)
	}
	if err := s.writer.Write(e.Raw); err != nil {
		return failure{kind: errkind.Canceled, reason: "caller left"}, false
	}
	if e.ID >= 0 {
		s.lastEventID = e.ID
	}
	now := s.gw.opts.Now()
	if !s.lastEventAt.IsZero() {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
	s.eventCount++
	return failure{}, true
}

// brokenStreamFailure returns the failure for a stream that ended before it was complete. received is the number of events of the
// attempt.
func (s *requestState) brokenStreamFailure(
	ctx context.Context, a *attempt, e *registry.Endpoint, err error, received int,
) failure {
	switch {
	case a.lost:
		return a.lostFailure(e, true)
	case ctx.Err() != nil:
		return s.contextFailure(ctx, true)
	}
	s.gw.opts.Registry.ReportOutcome(e, registry.Failed)
	if err == nil {
		err = errors.New("event without end")
	}
	s.recordBrokenAttempt("stream_broken", e, err, received)
	return failure{kind: errkind.StreamBroken, reason: "stream ended early"}
}

// expectedSilence returns the time for which the endpoint may be silent because of prefill: one and a half times the
// prediction.
func (s *requestState) expectedSilence(e *registry.Endpoint, now time.Time) time.Duration {
	if s.service.Engine == nil {
		return 0
	}
	_, slowdown := s.gw.opts.Registry.Health(e)
	predictedSilence := s.gw.opts.Scheduler.TimeToNextEvent(s.service.Engine, e.ID, slowdown, now)
	return predictedSilence + predictedSilence/2
}

// stallTimeout returns the time without progress after which another endpoint is tried.
func (s *requestState) stallTimeout() time.Duration {
	if s.req.Route.Kind == catalog.Stream {
		return max(streamStallTimeout(s.req.Route), 2*s.lastPlan.PredictedLatency)
	}
	return time.Duration(float64(deadlineOf(s.req).Sub(s.req.ArrivedAt)) * plainStallShare)
}
