// Package roster holds what a gateway believes of the endpoints: those that the platform's store lists, whether they
// are leaving, and how the gateway's own requests fared there.
//
// It answers for two loads: endpoints that fail while the store says that they are well, and a store outage, after
// which the entries of live endpoints are missing for a while.
package registry

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the roster.
const (
	// lapseGrace is how long an endpoint stays in use whose entry vanished around a store outage: the platform states
	// that live endpoints are back within about two seconds of the store's return.
	lapseGrace = 2200 * time.Millisecond
	// lapseWindow is the time after an outage in which vanished entries are taken for lapsed ones.
	lapseWindow = 3 * time.Second
	// firstPause is the time that an endpoint is left alone after a connection failure; it doubles up to maxPause. A
	// crashed endpoint of the platform is back after some seconds.
	firstPause = 400 * time.Millisecond
	maxPause   = 3 * time.Second
	// tombstoneLife is the time for which a left endpoint is remembered, so that a late entry does not bring it back.
	tombstoneLife = time.Minute
	// rateWeight is the weight of the newest outcome in the failure rate.
	rateWeight = 0.15
	// paceWeight is the weight of the newest observation in the pace; leastPace and mostPace bound one observation, so that
	// a single request that was held up does not empty an endpoint.
	paceWeight = 0.2
	leastPace  = 0.5
	mostPace   = 10.0
)

// Entry is what the store says of an endpoint.
type Entry struct {
	ID       string // identity of one start of the endpoint
	Service  string
	Addr     string // host:port
	Zone     string // failure domain
	Slots    int
	Draining bool
	Born     int64 // Unix milliseconds of the start; 0: not given. One ID may be used by several starts.
}

// Endpoint is an endpoint in use. Its fields do not change; a restart makes a new Endpoint.
type Endpoint struct {
	Entry
	health health
	heard  atomic.Int64 // Unix nanoseconds of the latest byte from it; 0: none yet
}

// RecordActivity notes that something came from the endpoint.
func (e *Endpoint) RecordActivity(now time.Time) { e.heard.Store(now.UnixNano()) }

// ActiveSince reports whether something came from the endpoint after t.
func (e *Endpoint) ActiveSince(t time.Time) bool { return e.heard.Load() > t.UnixNano() }

type health struct {
	failures    int       // connection failures in a row
	avoid       time.Time // no new requests before it
	failureRate float64   // 0 to 1, over recent outcomes
	pace        float64   // observed time over predicted time; 0: unknown
}

// Outcome is how a request fared at an endpoint.
type Outcome int

// Outcomes of a send.
const (
	Succeeded    Outcome = iota // answered
	Failed                      // the endpoint's own error, a garbled or a broken answer
	Unreachable                 // no connection, a reset, or silence
	ShuttingDown                // said that it shuts down, or another endpoint has its address
)

type record struct {
	endpoint *Endpoint
	draining bool
	gone     time.Time // when the store dropped the entry; zero: listed
	lapsed   bool      // dropped around an outage: in use until lapseGrace has passed
}

// Registry is safe for concurrent use.
type Registry struct {
	mu        sync.Mutex
	records   map[string]*record
	storeDown bool
	storeBack time.Time // end of the latest outage
	seen      int64     // version of the store whose changes are taken or about to be
	version   int64     // version of the store whose changes are all taken
	now       func() time.Time
}

// New returns an empty roster; now is the clock, nil for the time of day of the process.
func New(now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{records: make(map[string]*record), now: now}
}

// Upsert takes an entry of the store and reports whether it changed a belief.
func (r *Registry) Upsert(e Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.observe(e)
}

func (r *Registry) observe(e Entry) bool {
	old := r.records[e.ID]
	if old != nil && old.endpoint.Born > e.Born {
		return false // written before the restart
	}
	if old == nil || old.endpoint.Born != e.Born || old.endpoint.Addr != e.Addr || old.endpoint.Service != e.Service {
		r.records[e.ID] = &record{endpoint: &Endpoint{Entry: e}, draining: e.Draining}
		return true
	}
	changed := !old.gone.IsZero() || e.Draining && !old.draining
	old.gone, old.lapsed = time.Time{}, false
	old.draining = old.draining || e.Draining // an endpoint that leaves does not come back under the same start
	return changed
}

// Remove takes the store's word that entries are gone.
func (r *Registry) Remove(ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(ids, r.aroundOutage())
}

// aroundOutage reports whether entries that vanish now may have lapsed in an outage of the store.
func (r *Registry) aroundOutage() bool { return r.storeDown || r.now().Sub(r.storeBack) < lapseWindow }

// remove marks entries as gone; around says that they may have lapsed in an outage.
func (r *Registry) remove(ids []string, around bool) {
	now := r.now()
	for _, id := range ids {
		rec := r.records[id]
		if rec == nil {
			continue
		}
		if rec.gone.IsZero() {
			rec.gone, rec.lapsed = now, around
		}
		rec.lapsed = rec.lapsed && around
	}
}

// ApplyVersion makes the changes that lead to a version of the store. Lists of peers from before that version are ignored as soon
// as the changes begin; Version rises when they are complete.
func (r *Registry) ApplyVersion(version int64, changes func()) {
	r.mu.Lock()
	r.seen = max(r.seen, version)
	r.mu.Unlock()
	changes()
	r.mu.Lock()
	r.version = max(r.version, version)
	r.mu.Unlock()
}

// Version returns the version of the store whose changes are all taken.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version
}

// Replace takes a full list of the store: what it lacks is removed. It returns the number of changed beliefs.
func (r *Registry) Replace(entries []Entry) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replace(entries, r.aroundOutage())
}

// ReplaceFromPeer takes the list of a gateway whose store has been up for long enough that no entry is lapsed, with the
// version of the store that it shows. A list from before the own knowledge is not taken: it would bring endpoints back
// whose removal the store has told already.
func (r *Registry) ReplaceFromPeer(entries []Entry, version int64) (changed int, taken bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version < r.seen {
		return 0, false
	}
	r.seen, r.version = version, version
	return r.replace(entries, false), true
}

func (r *Registry) replace(entries []Entry, around bool) (changed int) {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		if r.observe(e) {
			changed++
		}
	}
	var missing []string
	for id, rec := range r.records {
		if !listed[id] && (rec.gone.IsZero() || rec.lapsed) {
			missing = append(missing, id)
		}
	}
	r.remove(missing, around)
	return changed + len(missing)
}

// StoreStable reports whether the store has been up for so long that entries which lapsed in an outage are back.
func (r *Registry) StoreStable() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.storeDown && r.now().Sub(r.storeBack) >= lapseWindow
}

// MarkStoreDown notes that the store does not answer; StoreRegained that it does again.
func (r *Registry) MarkStoreDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.storeDown = true
}

// MarkStoreUp ends an outage. Entries that lapsed in it get their grace from now on.
func (r *Registry) MarkStoreUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.storeDown {
		r.storeDown, r.storeBack = false, r.now()
	}
}

// usable reports whether new requests may go to the endpoint of a record.
func (r *Registry) usable(rec *record, now time.Time) bool {
	if rec.draining {
		return false
	}
	if rec.gone.IsZero() {
		return true
	}
	if !rec.lapsed {
		return false
	}
	return r.storeDown || now.Sub(r.storeBack) < lapseGrace
}

// Usable returns the endpoints of a service that may get new requests, in a fixed order. Endpoints that failed lately
// are left out as long as others are there.
func (r *Registry) Usable(service string) []*Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var calm, avoided []*Endpoint
	for id, rec := range r.records {
		if !rec.gone.IsZero() && now.Sub(rec.gone) > tombstoneLife && !r.usable(rec, now) {
			delete(r.records, id)
			continue
		}
		if rec.endpoint.Service != service || !r.usable(rec, now) {
			continue
		}
		if now.Before(rec.endpoint.health.avoid) {
			avoided = append(avoided, rec.endpoint)
		} else {
			calm = append(calm, rec.endpoint)
		}
	}
	if len(calm) == 0 {
		calm = avoided
	}
	sort.Slice(calm, func(i, j int) bool { return calm[i].ID < calm[j].ID })
	return calm
}

// StillUsable reports whether new requests may still go to an endpoint.
func (r *Registry) StillUsable(e *Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[e.ID]
	return rec != nil && rec.endpoint == e && r.usable(rec, r.now())
}

// ReportOutcome takes the outcome of a request at an endpoint and reports whether the endpoint is now avoided.
func (r *Registry) ReportOutcome(e *Endpoint, o Outcome) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, now := &e.health, r.now()
	bad := 1.0
	switch o {
	case Succeeded:
		h.failures, h.avoid, bad = 0, time.Time{}, 0
	case ShuttingDown:
		if rec := r.records[e.ID]; rec != nil && rec.endpoint == e {
			rec.draining = true
		}
		return true
	case Unreachable:
		if now.Before(h.avoid) {
			break // requests that were under way when the endpoint failed count once
		}
		h.failures++
		h.avoid = now.Add(min(firstPause<<min(h.failures-1, 8), maxPause))
	}
	h.failureRate += rateWeight * (bad - h.failureRate)
	return now.Before(h.avoid)
}

// ObserveSlowdown takes the ratio of observed to predicted time of a request.
func (r *Registry) ObserveSlowdown(e *Endpoint, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ratio = min(max(ratio, leastPace), mostPace)
	if e.health.pace == 0 {
		e.health.pace = 1
	}
	e.health.pace += paceWeight * (ratio - e.health.pace)
}

// Health returns the recent failure rate of an endpoint and how much slower than predicted it works (1 if unknown).
func (r *Registry) Health(e *Endpoint) (failureRate, pace float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.health.failureRate, max(e.health.pace, 1)
}

// CountUsable returns the number of endpoints that may get new requests.
func (r *Registry) CountUsable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n, now := 0, r.now()
	for _, rec := range r.records {
		if r.usable(rec, now) {
			n++
		}
	}
	return n
}

// Entries returns what is known of the endpoints that the store lists.
func (r *Registry) Entries() []Entry {
	r.mu.Lock()
	defer r.mu.Unlock()
	var entries []Entry
	for _, rec := range r.records {
		if rec.gone.IsZero() {
			e := rec.endpoint.Entry
			e.Draining = rec.draining
			entries = append(entries, e)
		}
	}
	sort.Slice(entries, func(i, j int) bool { return entries[i].ID < entries[j].ID })
	return entries
}
