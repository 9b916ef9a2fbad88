package throttle

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/placement"
)

// Changed returns a channel that signals that there is something to report since the last call of TakeChanged.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// TakeChanged returns the reports on the endpoints for which something has changed at this gateway and that have to be sent, some of them
// again: those with another statement, which concern all gateways, and those with other requests only, which concern the gateways that share the endpoint.
func (t *Tracker) TakeChanged() (statements, sends []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for key, c := range t.unsent {
		switch e := t.endpoints[key]; {
		case e == nil:
		case c.statement:
			statements = append(statements, e.report(key, now))
		default:
			sends = append(sends, e.report(key, now))
		}
		if c.reports--; c.reports > 0 {
			t.unsent[key] = c
			timing.Signal(t.changed)
		} else {
			delete(t.unsent, key)
		}
	}
	return statements, sends
}

// Reports returns the reports on the endpoints that this gateway has sent requests to or heard from, or of which it has reported requests that
// have left the window. It repeats them to the gateways that share them.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	t.forget(now)
	var reports []Report
	for key, e := range t.endpoints {
		reported := e.reported
		if r := e.report(key, now); r.Sends > 0 || reported > 0 || !e.heardAt.IsZero() && now.Sub(e.heardAt) < heardPeriod {
			reports = append(reports, r)
		}
	}
	return reports
}

func (e *endpoint) report(key placement.EndpointKey, now time.Time) Report {
	e.dropOld(now)
	e.reported = len(e.sends) + e.reusable
	return Report{Endpoint: key, Stated: e.limited, PerSecond: e.limit, Age: now.Sub(e.statedAt), Sends: e.reported}
}

// Merge adds the reports of a peer. The latest statement on an endpoint counts, here or there.
func (t *Tracker) Merge(peer string, reports []Report) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	for i := range reports {
		r := &reports[i]
		statedAt := now.Add(-r.Age)
		e := t.endpoints[r.Endpoint]
		if e == nil && !r.Stated {
			continue
		}
		if (e == nil || statedAt.After(e.statedAt)) && t.adopt(r.Endpoint, r.Stated, r.PerSecond, statedAt) {
			t.opts.Log.WithFields(logrus.Fields{"event": "endpoint_limit", "endpoint_key": r.Endpoint, "stated": r.Stated,
				"per_second": r.PerSecond, "peer": peer, "age_ms": r.Age.Milliseconds()}).Info("a peer has heard another limit")
		}
		e = t.endpoints[r.Endpoint]
		e.setPeer(peer, r.Sends, now)
		t.checkSum(r.Endpoint, e, now)
	}
}

// checkSum logs that the gateways together have sent more than an endpoint accepts.
func (t *Tracker) checkSum(key placement.EndpointKey, e *endpoint, now time.Time) {
	if !e.limited {
		return
	}
	if total := e.sent(now); total > e.requests+toleratedExcess && now.Sub(e.reportedAt) > e.window {
		e.reportedAt = now
		t.metrics.excesses.Inc()
		t.opts.Log.WithFields(logrus.Fields{"event": "endpoint_limit_exceeded", "endpoint_key": key, "per_second": e.limit,
			"sends": total, "allowed": e.requests, "window_ms": e.window.Milliseconds()}).
			Warn("the gateways together have sent more requests than an endpoint accepts")
	}
}

// toleratedExcess is the number of requests beyond a limit that gateways send before they hear of each other, without a log line.
const toleratedExcess = 2
