// Package throttle keeps the requests of all gateways to an endpoint within the limit that the endpoint has stated.
//
// Gateways tell each other of the limits and of how many requests they have sent in the window of the limit. Each one sends only while the
// sum leaves room. That holds among gateways that hear of each other within milliseconds; others leave the endpoint to these.
package throttle

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/placement"
)

const (
	// peerTTL is the time without a report after which the requests of a peer no longer count.
	peerTTL = 2500 * time.Millisecond
	// statementTTL is the time after which a statement is forgotten that nothing has confirmed: the endpoint is gone or out of use. Those
	// who use it hear more often, and tell others more often.
	statementTTL = 2 * time.Minute
	// heardPeriod is the time for which a gateway repeats what an endpoint has told it.
	heardPeriod = 2 * time.Second
	// liftedTTL is the time for which the end of a limit is remembered, so that late reports of peers do not bring it back.
	liftedTTL    = 10 * time.Second
	maxEndpoints = 4096
)

// Statement is what a response of an endpoint says about the requests that it accepts from all gateways together.
type Statement struct {
	Stated    bool    // the response names a limit
	Unknown   bool    // the response names something that is no limit, or is not the endpoint's own
	PerSecond float64 // requests per second, if Stated
}

// Report is what a gateway tells its peers about an endpoint.
type Report struct {
	Endpoint  placement.EndpointKey
	Stated    bool
	PerSecond float64       // requests per second, if Stated
	Age       time.Duration // of the statement
	Sends     int           // requests that the gateway has sent in the window of the limit, or keeps room for
}

// Options configures a Tracker.
type Options struct {
	Now        func() time.Time // nil: time.Now
	Gateways   func() int       // number of gateways in the fleet; nil: 1
	Sharing    func() int       // number of gateways that share endpoints with this one, itself included; nil: 1
	Log        *logrus.Logger   // nil: the standard logger
	Registerer prometheus.Registerer
}

// Tracker holds the limits that endpoints have stated and the requests that were sent to these endpoints. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	metrics metrics
	changed chan struct{}
	active  atomic.Bool // there are endpoints with a statement

	mu        sync.Mutex
	endpoints map[placement.EndpointKey]*endpoint // those that have stated a limit
	unsent    map[placement.EndpointKey]change
}

type endpoint struct {
	limit         float64   // requests per second
	limited       bool      // the latest statement named a limit
	statedAt      time.Time // of the latest statement, here or at a peer
	requests      int       // allowed in window
	window        time.Duration
	sends         []time.Time          // of this gateway, in the window
	reported      int                  // number of sends in the latest report
	heardAt       time.Time            // of the latest statement to this gateway; zero: only peers have heard one
	peers         map[string]peerSends // those that have sent requests in the window
	peerTotal     int                  // sum of the counts of peers
	peersExpireAt time.Time            // when the first of peers expires
	nextAt        time.Time            // of the next request, if Uncovered
	freedAt       time.Time            // when a request last left the window, or the limit changed
	reusable      int                  // requests of this gateway that have left the window and that it may replace before others do
	reusableUntil time.Time
	patience      float64   // share of the contention delay that this gateway waits, redrawn for each request
	reportedAt    time.Time // of the latest line about an excess
}

// change is a change at this gateway that is to be reported.
type change struct {
	statement bool // the endpoint has stated something else; otherwise only the requests have changed
	reports   int  // still to be sent
}

// reportsPerChange is the number of reports on a change: a gateway that misses one sends too much until the next keep-alive.
const reportsPerChange = 2

type peerSends struct {
	count int
	at    time.Time // of the report
}

// New returns a Tracker without limits.
func New(opts Options) *Tracker {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Gateways == nil {
		opts.Gateways = func() int { return 1 }
	}
	if opts.Sharing == nil {
		opts.Sharing = func() int { return 1 }
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	return &Tracker{opts: opts, metrics: newMetrics(opts.Registerer), changed: make(chan struct{}, 1),
		endpoints: make(map[placement.EndpointKey]*endpoint), unsent: make(map[placement.EndpointKey]change)}
}

// Observe records the statement in a response of an endpoint.
func (t *Tracker) Observe(id string, s Statement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	key := placement.KeyOf(id)
	if s.Unknown || t.endpoints[key] == nil && !s.Stated {
		return
	}
	now := t.opts.Now()
	changed := t.adopt(key, s.Stated, s.PerSecond, now)
	t.endpoints[key].heardAt = now
	if changed {
		t.opts.Log.WithFields(logrus.Fields{"event": "endpoint_limit", "endpoint": id, "stated": s.Stated, "per_second": s.PerSecond}).
			Info("endpoint has stated another limit")
		t.markChanged(key, true)
	}
}

// adopt takes over a statement and reports whether it says something else than the one before.
func (t *Tracker) adopt(key placement.EndpointKey, stated bool, perSecond float64, at time.Time) bool {
	e := t.endpoints[key]
	if e == nil {
		if len(t.endpoints) >= maxEndpoints {
			t.forget(t.opts.Now())
		}
		e = &endpoint{peers: make(map[string]peerSends)}
		t.endpoints[key] = e
		t.active.Store(true)
	}
	e.statedAt = at
	if e.limited == stated && e.limit == perSecond {
		return false
	}
	e.limited, e.limit = stated, perSecond
	e.requests, e.window = allowance(perSecond)
	e.nextAt, e.freedAt, e.patience = time.Time{}, t.opts.Now(), rand.Float64()
	return true
}

// forget removes the endpoints whose statement is old, and all if none is.
func (t *Tracker) forget(now time.Time) {
	for key, e := range t.endpoints {
		if e.isOutdated(now) {
			delete(t.endpoints, key)
		}
	}
	if len(t.endpoints) >= maxEndpoints {
		clear(t.endpoints)
	}
	t.active.Store(len(t.endpoints) > 0)
}

// Active reports whether any endpoint has stated a limit lately. It is cheap: each request asks for each endpoint.
func (t *Tracker) Active() bool { return t.active.Load() }

func (e *endpoint) isOutdated(now time.Time) bool {
	ttl := statementTTL
	if !e.limited {
		ttl = liftedTTL
	}
	return now.Sub(e.statedAt) > ttl
}

func (t *Tracker) markChanged(key placement.EndpointKey, statement bool) {
	t.unsent[key] = change{statement: statement || t.unsent[key].statement, reports: reportsPerChange}
	timing.Signal(t.changed)
}

// limitedEndpoint returns the state of an endpoint with a limit, or nil.
func (t *Tracker) limitedEndpoint(id string, now time.Time) *endpoint {
	if len(t.endpoints) == 0 {
		return nil // the usual case; skips the hash
	}
	e := t.endpoints[placement.KeyOf(id)]
	if e == nil || !e.limited || e.isOutdated(now) {
		return nil
	}
	return e
}

// Accepts reports whether a request may be sent to an endpoint now. access is asked for if the endpoint has a limit.
func (t *Tracker) Accepts(id string, access func() Access) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	e := t.limitedEndpoint(id, now)
	return e == nil || t.allows(e, access(), now)
}

func (t *Tracker) allows(e *endpoint, access Access, now time.Time) bool {
	switch access {
	case Foreign:
		return false
	case Uncovered:
		if e.nextAt.IsZero() {
			e.nextAt = now.Add(rand.N(t.uncoveredInterval(e)))
		}
		return !now.Before(e.nextAt)
	}
	room := e.requests - e.sent(now)
	if room <= 0 || e.reusable > 0 {
		return room > 0
	}
	delay := time.Duration(e.patience * float64(contentionDelay(room, t.opts.Sharing())))
	return !now.Before(e.freedAt.Add(delay))
}

// uncoveredInterval is the interval at which this gateway uses an endpoint that has no gateways near it: its share of the limit.
func (t *Tracker) uncoveredInterval(e *endpoint) time.Duration {
	perRequest := float64(e.window) / float64(e.requests) / uncoveredShare
	return time.Duration(perRequest * float64(max(t.opts.Gateways(), 1)))
}

// dropOld drops the requests of this gateway that have left the window.
func (e *endpoint) dropOld(now time.Time) {
	kept := timing.DropBefore(e.sends, now.Add(-e.window))
	for _, sentAt := range e.sends[:len(e.sends)-len(kept)] {
		e.freedAt = sentAt.Add(e.window)
		if rand.Float64() < reuseShare {
			e.reusable++
			e.reusableUntil = e.freedAt.Add(reuseTime)
		}
	}
	e.sends = kept
	if e.reusable > 0 && now.After(e.reusableUntil) {
		e.reusable, e.freedAt = 0, e.reusableUntil
	}
}

// sent returns the number of requests in the window that this gateway knows of.
func (e *endpoint) sent(now time.Time) int {
	e.dropOld(now)
	if len(e.peers) > 0 && !now.Before(e.peersExpireAt) {
		for name, p := range e.peers {
			if now.Sub(p.at) >= peerTTL {
				delete(e.peers, name)
				e.freedAt = now
			}
		}
		e.sumPeers()
	}
	return len(e.sends) + e.peerTotal
}

// setPeer records the requests that a peer has sent in the window.
func (e *endpoint) setPeer(name string, count int, now time.Time) {
	previous := e.peers[name].count
	if previous == 0 && count == 0 {
		return
	}
	if count < previous {
		e.freedAt = now
	}
	if count == 0 {
		delete(e.peers, name)
	} else {
		e.peers[name] = peerSends{count: count, at: now}
	}
	e.sumPeers()
}

func (e *endpoint) sumPeers() {
	e.peerTotal, e.peersExpireAt = 0, time.Time{}
	for _, p := range e.peers {
		e.peerTotal += p.count
		if expiresAt := p.at.Add(peerTTL); e.peersExpireAt.IsZero() || expiresAt.Before(e.peersExpireAt) {
			e.peersExpireAt = expiresAt
		}
	}
}

// Take records a request to an endpoint, if one may be sent now. attempt counts the attempts of the request from 1.
func (t *Tracker) Take(id string, access Access, attempt int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	e := t.limitedEndpoint(id, now)
	if e == nil {
		return true
	}
	if !t.allows(e, access, now) {
		return false
	}
	e.sends, e.patience = append(e.sends, now), rand.Float64()
	e.reusable = max(e.reusable-1, 0)
	if access == Uncovered {
		e.nextAt = now.Add(t.uncoveredInterval(e))
	}
	t.metrics.observeSend(attempt)
	t.markChanged(placement.KeyOf(id), false)
	return true
}

// MayWait reports whether a request for which all the given endpoints are at their limits waits for one of them, after it has waited
// for a time already and if it may wait for longest in all. If not, it returns the time after which one of them may be free.
func (t *Tracker) MayWait(ids []string, waited, longest time.Duration) (ok bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	next := maxWindow
	for _, id := range ids {
		if e := t.limitedEndpoint(id, now); e != nil {
			next = min(next, e.nextFree(now))
		} else {
			next = 0
		}
	}
	return mayWait(waited, longest, next), next
}

// nextFree returns the time until one of the requests in the window leaves it, as far as this gateway knows.
func (e *endpoint) nextFree(now time.Time) time.Duration {
	if len(e.sends) > 0 && e.sent(now) == len(e.sends) && len(e.sends) >= e.requests {
		return e.sends[len(e.sends)-e.requests].Add(e.window).Sub(now)
	}
	return e.window / time.Duration(e.requests)
}
