// Package throttle keeps the requests of all gateways to an endpoint within the limit that the endpoint has stated.
package throttle

import (
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// Statement is what a response of an endpoint says about the requests that it accepts from all gateways together.
type Statement struct {
	Stated    bool    // the response names a limit
	Unknown   bool    // the response names something that is no limit, or is not the endpoint's own
	PerSecond float64 // requests per second, if Stated
}

// Options configures a Tracker.
type Options struct {
	Now        func() time.Time // nil: time.Now
	Log        *logrus.Logger   // nil: the standard logger
	Registerer prometheus.Registerer
}

// Tracker holds the limits that endpoints have stated and the requests that were sent to these endpoints. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	metrics metrics

	mu        sync.Mutex
	endpoints map[string]*endpoint // by ID; those that have stated a limit
}

type endpoint struct {
	limit      float64     // requests per second
	limited    bool        // the latest statement named a limit
	sends      []time.Time // of this gateway, within reportWindow
	reportedAt time.Time   // of the latest report of an excess
}

// reportWindow is the time over which sends are compared with a limit for the log.
const reportWindow = 4 * time.Second

// New returns a Tracker without limits.
func New(opts Options) *Tracker {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	return &Tracker{opts: opts, metrics: newMetrics(opts.Registerer), endpoints: make(map[string]*endpoint)}
}

// Observe records the statement in a response of an endpoint.
func (t *Tracker) Observe(id string, s Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if s.Unknown || e == nil && !s.Stated {
		return
	}
	if e == nil {
		e = new(endpoint)
		t.endpoints[id] = e
	}
	if e.limited == s.Stated && e.limit == s.PerSecond {
		return
	}
	e.limited, e.limit = s.Stated, s.PerSecond
	t.opts.Log.WithFields(logrus.Fields{"event": "endpoint_limit", "endpoint": id, "stated": s.Stated, "per_second": s.PerSecond}).
		Info("endpoint has stated another limit")
}

// RecordSend records a request that is sent to an endpoint. attempt counts the attempts of the request from 1.
func (t *Tracker) RecordSend(id string, attempt int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpoints[id]
	if e == nil || !e.limited {
		return
	}
	t.metrics.observeSend(attempt)
	now := t.opts.Now()
	e.sends = append(dropBefore(e.sends, now.Add(-reportWindow)), now)
	if float64(len(e.sends)) > e.limit*reportWindow.Seconds() && now.Sub(e.reportedAt) > reportWindow {
		e.reportedAt = now
		t.opts.Log.WithFields(logrus.Fields{"event": "endpoint_limit_exceeded", "endpoint": id, "per_second": e.limit,
			"sends": len(e.sends), "window_ms": reportWindow.Milliseconds()}).
			Warn("this gateway alone has sent more requests than the endpoint accepts from all")
	}
}

func dropBefore(times []time.Time, start time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(start) {
		i++
	}
	return times[i:]
}
