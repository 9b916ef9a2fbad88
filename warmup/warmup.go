// Package warmup keeps the requests to cold endpoints within the rate that these tolerate from all gateways together: an endpoint that has just
// started crashes if it gets many more.
//
// Gateways do not talk about it. Each one has a share that holds by itself, so that the limit also holds among gateways that do not hear
// from each other: a failure domain whose endpoints all come back at once, or a fleet that is cold after a loss of power.
package warmup

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

const (
	// window is the time in which a gateway sends its share: a second, and a margin for requests that are delayed on the way to the endpoint.
	window = 1200 * time.Millisecond
	// settleTime is the time after the start of a gateway in which it may not know the others yet. Its share is the smallest one then.
	settleTime = 3 * time.Second
	// admittedShare is the share of the limit that the gateways use together if it is lower than their number. Which of them may use an
	// endpoint is decided by hashes, so their number varies.
	admittedShare = 0.5
	// sweepSize is the number of endpoints from which on those without recent requests are dropped.
	sweepSize = 1024
)

// Options configures a Limiter.
type Options struct {
	Name       string           // of this gateway
	Gateways   func() int       // number of gateways that may send requests, this one and those that are not heard included; nil: 1
	Now        func() time.Time // nil: time.Now
	Registerer prometheus.Registerer
}

// Limiter holds the recent requests of this gateway to cold endpoints. It is safe for concurrent use.
type Limiter struct {
	opts      Options
	startedAt time.Time
	sent      prometheus.Counter
	held      prometheus.Counter

	mu    sync.Mutex
	sends map[string][]time.Time // in the window, by endpoint ID
}

// New returns a Limiter.
func New(opts Options) *Limiter {
	if opts.Gateways == nil {
		opts.Gateways = func() int { return 1 }
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	l := &Limiter{
		opts: opts, startedAt: opts.Now(), sends: make(map[string][]time.Time),
		sent: prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_cold_requests_total",
			Help: "Requests to endpoints that may be cold."}),
		held: prometheus.NewCounter(prometheus.CounterOpts{Name: "bilberry_cold_requests_held_total",
			Help: "Times that a cold endpoint was no candidate because this gateway had used its share of the limit."}),
	}
	if opts.Registerer != nil {
		opts.Registerer.MustRegister(l.sent, l.held)
	}
	return l
}

// Accepts reports whether a request may be sent now to a cold endpoint that tolerates perSecond requests a second from all gateways.
func (l *Limiter) Accepts(id string, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hasRoom(id, perSecond) {
		return true
	}
	l.held.Inc()
	return false
}

// Take records a request to a cold endpoint, if one may be sent now.
func (l *Limiter) Take(id string, perSecond float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.hasRoom(id, perSecond) {
		return false
	}
	if len(l.sends) >= sweepSize {
		l.sweep()
	}
	l.sends[id] = append(l.sends[id], l.opts.Now())
	l.sent.Inc()
	return true
}

func (l *Limiter) hasRoom(id string, perSecond float64) bool {
	sends := timing.DropBefore(l.sends[id], l.opts.Now().Add(-window))
	if len(sends) == 0 {
		delete(l.sends, id)
	} else {
		l.sends[id] = sends
	}
	return len(sends) < l.share(id, perSecond)
}

// share returns the number of requests that this gateway may send to an endpoint within the window.
func (l *Limiter) share(id string, perSecond float64) int {
	if l.opts.Now().Sub(l.startedAt) < settleTime {
		return 1
	}
	gateways := float64(max(l.opts.Gateways(), 1))
	if perSecond >= gateways {
		return int(perSecond / gateways)
	}
	position := float64(xxhash.Sum64String(l.opts.Name+"\x00"+id)) / math.MaxUint64
	if position < perSecond*admittedShare/gateways {
		return 1
	}
	return 0
}

// sweep drops the endpoints without requests in the window.
func (l *Limiter) sweep() {
	since := l.opts.Now().Add(-window)
	for id, sends := range l.sends {
		if !slices.ContainsFunc(sends, since.Before) {
			delete(l.sends, id)
		}
	}
}
