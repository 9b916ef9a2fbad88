package throttle

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/placement"
)

// Changed returns a channel that signals that there is something to report since the last call of TakeChanged.
func (t *Tracker) Changed() <-chan struct{} { return t.changed }

// TakeChanged returns the reports on the endpoints for which something has changed at this gateway since the last call.
func (t *Tracker) TakeChanged() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	reports := make([]Report, 0, len(t.unsent))
	for key := range t.unsent {
		if e := t.endpoints[key]; e != nil {
			reports = append(reports, e.report(key, now))
		}
	}
	clear(t.unsent)
	return reports
}

// Reports returns the reports on all endpoints with a statement.
func (t *Tracker) Reports() []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	t.forget(now)
	var reports []Report
	for key, e := range t.endpoints {
		reports = append(reports, e.report(key, now))
	}
	return reports
}

func (e *endpoint) report(key placement.EndpointKey, now time.Time) Report {
	e.dropOld(now)
	return Report{Endpoint: key, Stated: e.limited, PerSecond: e.limit, Age: now.Sub(e.statedAt), Sends: len(e.sends)}
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
		if r.Sends < e.peers[peer].count {
			e.freedAt = now
		}
		e.peers[peer] = peerSends{count: r.Sends, at: now}
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
