// Package registry keeps what a gateway knows of the endpoints: which ones the platform's store lists, whether they are
// shutting down, and the outcomes of the gateway's own requests to them.
//
// It handles two kinds of faults: endpoints that fail while the store lists them as ready, and store outages, after which
// the entries of live endpoints are missing for a while.
package registry

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// outageGracePeriod is the time after a store outage for which endpoints stay in use whose entries were removed around it.
	// Live endpoints are listed again within about two seconds after the store is back.
	outageGracePeriod = 2200 * time.Millisecond
	// outageWindow is the time after a store outage in which removed entries are assumed to have expired in the outage.
	outageWindow = 3 * time.Second
	// minAvoidance is the time for which an endpoint is avoided after a connection failure. It doubles with each further
	// failure up to maxAvoidance. A crashed endpoint of the platform is back after some seconds.
	minAvoidance = 400 * time.Millisecond
	maxAvoidance = 3 * time.Second
	// tombstoneTTL is the time for which a removed endpoint is remembered, so that a late entry does not add it again.
	tombstoneTTL = time.Minute
	// shortestOutage is the shortest time without a response of the store to any gateway that may be an outage in which entries expire. It is longer
	// than the time between two responses, and shorter than the silence after which an entry expires.
	shortestOutage = time.Second
	// restoredGracePeriod is the time after which an entry that was removed before the store came back from a copy counts as live if the store
	// still lists it. What the copy lacks is written again within that time, removals included.
	restoredGracePeriod = 10 * time.Second
	// failureRateWeight is the weight of the latest outcome in the failure rate, an exponential moving average.
	failureRateWeight = 0.15
	// slowdownWeight is the weight of the latest observation in the slowdown, an exponential moving average. minSlowdownSample and
	// maxSlowdownSample bound an observation, so that a single delayed request does not drive all others away from an endpoint.
	slowdownWeight    = 0.2
	minSlowdownSample = 0.5
	maxSlowdownSample = 10.0
)

// Entry is an endpoint as listed in the store.
type Entry struct {
	ID       string
	Service  string
	Addr     string // host:port
	Zone     string // failure domain
	Slots    int
	Draining bool
	Born     int64 // start time in Unix milliseconds; 0: not given. A restarted endpoint may keep its ID.
	Version  int64 // position of the latest change of the entry; 0: not given
	// ColdFor is how long the endpoint stays cold, as of the latest change of the entry. A cold endpoint works slowly and accepts fewer requests.
	ColdFor time.Duration `json:",omitempty"`
}

// Endpoint is an endpoint that is in use. Its Entry does not change. A restart of the endpoint creates a new Endpoint.
type Endpoint struct {
	Entry
	health       health
	lastActivity atomic.Int64 // Unix nanoseconds of the latest byte received from it; 0: none yet
}

// RecordActivity records that data has been received from the endpoint.
func (e *Endpoint) RecordActivity(now time.Time) { e.lastActivity.Store(now.UnixNano()) }

// ActiveSince reports whether data has been received from the endpoint after t.
func (e *Endpoint) ActiveSince(t time.Time) bool { return e.lastActivity.Load() > t.UnixNano() }

type health struct {
	connectionFailures int       // consecutive ones
	avoidUntil         time.Time // no new requests before this time if others are usable
	pausedUntil        time.Time // no new requests before this time, as the endpoint has stated
	failureRate        float64   // 0 to 1, moving average
	slowdown           float64   // ratio of observed to predicted time, moving average; 0: unknown
	coldSince          time.Time // when the endpoint may last have become cold
	coldUntil          time.Time // as the endpoint has stated; zero: it has not
}

// Outcome is the result of a request to an endpoint.
type Outcome int

const (
	Succeeded    Outcome = iota // complete response that is not a server error
	Failed                      // server error, or an invalid or incomplete response
	Unreachable                 // no connection, a reset, or a timeout
	ShuttingDown                // the endpoint shuts down, or another one uses its address
)

type record struct {
	endpoint        *Endpoint
	version         int64     // position of the latest known change of the entry
	listedAt        int64     // position of the latest entry, as opposed to its removal
	draining        bool      // according to the store or to a response of the endpoint
	removedAt       time.Time // when the entry was removed from the store; zero: it is listed
	expiredInOutage bool      // removed around a store outage; stays in use until outageGracePeriod has passed
	restoredAt      time.Time // when a copy from before the removal listed it again; zero: none did
}

// Registry is the set of known endpoints. It is safe for concurrent use.
type Registry struct {
	mu             sync.Mutex
	records        map[string]*record // by endpoint ID
	storeDown      bool
	downSince      time.Time // when the store was first found down, while storeDown
	refusedSince   time.Time // when calls of this gateway to the store began to fail; zero: the latest one succeeded
	servedAt       time.Time // when the store last responded to any gateway, as far as is known
	outageEndedAt  time.Time // of the latest store outage
	startedVersion int64     // latest position whose changes are applied or being applied
	appliedVersion int64     // latest position whose changes are completely applied
	changedVersion int64     // position of the latest known change of an entry
	// forgottenVersion is the position up to which entries may have been removed that are not recorded here.
	forgottenVersion int64
	evacuated        map[string]bool // failure domains whose endpoints get no requests
	now              func() time.Time
}

// New returns a Registry without endpoints. now is the clock; nil means time.Now.
func New(now func() time.Time) *Registry {
	if now == nil {
		now = time.Now
	}
	return &Registry{records: make(map[string]*record), now: now}
}

// Upsert adds or updates an entry of the store and reports whether that changed anything.
func (r *Registry) Upsert(e Entry) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.upsert(e, r.appliedVersion)
}

// upsert is Upsert for an entry of a list that continues one at a position.
func (r *Registry) upsert(e Entry, since int64) bool {
	old := r.records[e.ID]
	if old != nil && (old.endpoint.Born > e.Born || e.Version != 0 && e.Version < old.version) {
		return false // the entry is from before a restart or a later change
	}
	r.changedVersion = max(r.changedVersion, e.Version)
	if old == nil || old.endpoint.Born != e.Born || old.endpoint.Addr != e.Addr || old.endpoint.Service != e.Service {
		r.records[e.ID] = &record{endpoint: &Endpoint{Entry: e}, version: e.Version, listedAt: e.Version, draining: e.Draining}
		r.markCold(r.records[e.ID].endpoint, e.ColdFor)
		return true
	}
	if e.Version > old.version && e.ColdFor > 0 {
		r.markCold(old.endpoint, e.ColdFor)
	}
	old.version = max(old.version, e.Version)
	startsDraining := e.Draining && !old.draining
	old.draining = old.draining || e.Draining // an endpoint that shuts down does not become ready again without a restart
	if r.precedesRemoval(e, old, since) {
		if old.restoredAt.IsZero() {
			old.restoredAt = r.now()
			return true
		}
		return startsDraining
	}
	if !old.removedAt.IsZero() {
		r.markCold(old.endpoint, e.ColdFor)
	}
	changed := !old.removedAt.IsZero() || startsDraining
	old.removedAt, old.restoredAt, old.expiredInOutage, old.listedAt = time.Time{}, time.Time{}, false, e.Version
	return changed
}

// precedesRemoval reports whether an entry may be one from before the removal of a record, which the store lists again only because it came
// back from a copy. An entry that was written after an earlier position of the same era is not from the copy.
func (r *Registry) precedesRemoval(e Entry, rec *record, since int64) bool {
	if rec.removedAt.IsZero() || rec.restoredAt.IsZero() && r.usable(rec, r.now()) {
		return false
	}
	writtenSince := EraOf(since) == EraOf(e.Version) && e.Version > since
	return !writtenSince && EraOf(e.Version) > EraOf(rec.listedAt) && VersionOf(e.Version) <= VersionOf(rec.listedAt)
}

// Remove marks entries as removed from the store at a position.
func (r *Registry) Remove(version int64, ids ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(ids, version, r.nearOutage())
}

// nearOutage reports whether entries that are removed now may have expired because of a store outage.
func (r *Registry) nearOutage() bool {
	return r.storeDown || r.now().Sub(r.outageEndedAt) < outageWindow
}

// remove marks entries as removed at a position and returns the number of those that were listed. Entries that
// changed later stay. nearOutage means that they may have expired because of a store outage.
func (r *Registry) remove(ids []string, version int64, nearOutage bool) (removed int) {
	now := r.now()
	for _, id := range ids {
		rec := r.records[id]
		if rec == nil || version < rec.version {
			continue
		}
		rec.version, r.changedVersion, rec.restoredAt = version, max(r.changedVersion, version), time.Time{}
		if rec.removedAt.IsZero() {
			rec.removedAt, rec.expiredInOutage = now, nearOutage
			removed++
		}
		rec.expiredInOutage = rec.expiredInOutage && nearOutage
	}
	return removed
}

// ApplyVersion runs changes, which must apply the changes up to a position. From the start of changes on, lists of
// peers with an older one are ignored. Version increases when changes has returned.
func (r *Registry) ApplyVersion(version int64, changes func()) {
	r.mu.Lock()
	r.startedVersion = max(r.startedVersion, version)
	r.mu.Unlock()
	changes()
	r.mu.Lock()
	r.appliedVersion = max(r.appliedVersion, version)
	r.mu.Unlock()
}

// Version returns the latest position whose changes are completely applied.
func (r *Registry) Version() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.appliedVersion
}

// ChangedVersion returns the position of the latest known change of an entry.
func (r *Registry) ChangedVersion() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changedVersion
}

// Replace applies a full list of the store's entries at a position: endpoints that are not in it are removed. It returns
// the number of changed entries.
func (r *Registry) Replace(entries []Entry, version int64) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isRestored(version) && !r.storeDown {
		r.setOutageEnd(r.now()) // entries that the copy lacks are written again, as after an outage
	}
	return r.replace(entries, version, r.appliedVersion, r.nearOutage())
}

// isRestored reports whether a position is of a later era than the list, so that the store has come back from a copy since.
func (r *Registry) isRestored(version int64) bool {
	return r.appliedVersion != 0 && EraOf(version) > EraOf(r.appliedVersion)
}

// replace is Replace after a list at the position since. nearOutage means that missing entries may have expired because of a store outage.
func (r *Registry) replace(entries []Entry, version, since int64, nearOutage bool) (changed int) {
	r.forgottenVersion = max(r.forgottenVersion, version) // entries that came and went before it are not known here
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	changed = r.upsertAll(entries, since)
	var missing []string
	for id, rec := range r.records {
		if !listed[id] && (rec.removedAt.IsZero() || rec.expiredInOutage || !rec.restoredAt.IsZero()) {
			missing = append(missing, id)
		}
	}
	r.remove(missing, version, nearOutage)
	return changed + len(missing)
}

// storeStable reports whether the store has been up for so long that entries which expired in an outage are listed again.
func (r *Registry) storeStable() bool {
	return !r.storeDown && r.now().Sub(r.outageEndedAt) >= outageWindow
}

// MarkStoreDown records that the store does not respond.
func (r *Registry) MarkStoreDown() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.refusedSince.IsZero() {
		r.refusedSince = r.now()
	}
	if !r.storeDown {
		r.endGracePeriod()
		r.storeDown, r.downSince = true, r.now()
	}
}

// MarkStoreUp records that the store responds to this gateway. If it did not before, the grace period of entries that expired in the outage starts
// now, unless the store responded to some gateway all the while: then none has expired because of an outage.
func (r *Registry) MarkStoreUp() {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, refusedSince, servedAt := r.now(), r.refusedSince, r.servedAt
	r.refusedSince, r.servedAt = time.Time{}, now
	switch {
	case !r.storeDown:
		return
	case now.Sub(servedAt) >= shortestOutage:
		r.outageEndedAt = now
	case r.outageEndedAt.Before(refusedSince):
		r.confirmRemovals(refusedSince)
	}
	r.storeDown = false
}

// confirmRemovals records that entries removed since a time have not expired because of an outage.
func (r *Registry) confirmRemovals(since time.Time) {
	for _, rec := range r.records {
		if !rec.removedAt.Before(since) {
			rec.expiredInOutage = false
		}
	}
}

// endGracePeriod makes the removals of entries final whose grace period is over, before the next outage gives them another one.
func (r *Registry) endGracePeriod() {
	if !r.storeDown && r.now().Sub(r.outageEndedAt) >= outageGracePeriod {
		r.confirmRemovals(time.Time{})
	}
}

// setOutageEnd records the end of an outage that is later than those known.
func (r *Registry) setOutageEnd(at time.Time) {
	if at.After(r.outageEndedAt) {
		r.endGracePeriod()
		r.outageEndedAt = at
	}
}

// ObserveStoreUp records that the store responded to another gateway at confirmedAt, and when the latest outage that this gateway
// has seen ended; zero means none. If the store was up for others when it was found down here, it refuses only this gateway:
// no entry has expired because of it, and the grace period is that of the other gateway.
func (r *Registry) ObserveStoreUp(confirmedAt, othersOutageEndedAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if confirmedAt.After(r.servedAt) {
		r.servedAt = confirmedAt
	}
	if !r.storeDown || !confirmedAt.After(r.downSince) {
		return
	}
	r.setOutageEnd(othersOutageEndedAt)
	r.storeDown = false
	if othersOutageEndedAt.Before(r.downSince) {
		r.confirmRemovals(r.downSince)
	}
}

// OutageEndedAt returns the end of the latest store outage; zero: none.
func (r *Registry) OutageEndedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outageEndedAt
}

// usable reports whether new requests may be sent to the endpoint of a record.
func (r *Registry) usable(rec *record, now time.Time) bool {
	if rec.draining {
		return false
	}
	switch {
	case rec.removedAt.IsZero():
		return true
	case !rec.restoredAt.IsZero():
		return now.Sub(rec.restoredAt) >= restoredGracePeriod
	case !rec.expiredInOutage:
		return false
	}
	return r.storeDown || now.Sub(r.outageEndedAt) < outageGracePeriod
}

// mayReceive reports whether new requests may be sent to the endpoint of a record, whose failure domain may be evacuated.
func (r *Registry) mayReceive(rec *record, now time.Time) bool {
	return r.usable(rec, now) && !r.evacuated[rec.endpoint.Zone]
}

// SetEvacuated sets the failure domains whose endpoints get no requests. When it returns, Usable and StillUsable comply. The endpoints of a
// failure domain that is in use again may be cold.
func (r *Registry) SetEvacuated(failureDomains []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous := r.evacuated
	r.evacuated = make(map[string]bool, len(failureDomains))
	for _, d := range failureDomains {
		r.evacuated[d] = true
	}
	for _, rec := range r.records {
		if zone := rec.endpoint.Zone; previous[zone] && !r.evacuated[zone] {
			r.markCold(rec.endpoint, 0)
		}
	}
}

// markCold records that an endpoint may be cold from now on, and for how long it states to be; 0: it has not said so.
func (r *Registry) markCold(e *Endpoint, statedFor time.Duration) {
	now := r.now()
	e.health.coldSince = now
	if until := now.Add(statedFor); statedFor > 0 && until.After(e.health.coldUntil) {
		e.health.coldUntil = until
	}
}

// ObserveCold records that an endpoint states to be cold for some time.
func (r *Registry) ObserveCold(e *Endpoint, statedFor time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.markCold(e, statedFor)
}

// MayBeCold reports whether an endpoint may be cold, if its service stays cold for coldStart after a start. An endpoint that was unreachable,
// unlisted or evacuated may have started again.
func (r *Registry) MayBeCold(e *Endpoint, coldStart time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	return now.Before(e.health.coldUntil) || now.Before(e.health.coldSince.Add(coldStart))
}

// Usable returns the endpoints of a service that new requests may be sent to, sorted by ID. It leaves out those that are paused, and
// endpoints with a recent connection failure as long as there are others.
func (r *Registry) Usable(service string) []*Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	var preferred, avoided []*Endpoint
	for id, rec := range r.records {
		if !rec.removedAt.IsZero() && now.Sub(rec.removedAt) > tombstoneTTL && !r.usable(rec, now) {
			delete(r.records, id)
			r.forgottenVersion = max(r.forgottenVersion, rec.version)
			continue
		}
		if rec.endpoint.Service != service || !r.mayReceive(rec, now) || now.Before(rec.endpoint.health.pausedUntil) {
			continue
		}
		if now.Before(rec.endpoint.health.avoidUntil) {
			avoided = append(avoided, rec.endpoint)
		} else {
			preferred = append(preferred, rec.endpoint)
		}
	}
	if len(preferred) == 0 {
		preferred = avoided
	}
	sort.Slice(preferred, func(i, j int) bool { return preferred[i].ID < preferred[j].ID })
	return preferred
}

// StillUsable reports whether new requests may still be sent to an endpoint.
func (r *Registry) StillUsable(e *Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[e.ID]
	now := r.now()
	return rec != nil && rec.endpoint == e && r.mayReceive(rec, now) && !now.Before(e.health.pausedUntil)
}

// Pause records that an endpoint wants no new requests until a time, and reports whether it was not paused before.
func (r *Registry) Pause(e *Endpoint, until time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	wasPaused := r.now().Before(e.health.pausedUntil)
	if until.After(e.health.pausedUntil) {
		e.health.pausedUntil = until
	}
	return !wasPaused
}

// ResumesAt returns when the first paused endpoint of a service may get requests again; ok is false if none is paused.
func (r *Registry) ResumesAt(service string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	for _, rec := range r.records {
		until := rec.endpoint.health.pausedUntil
		if rec.endpoint.Service == service && r.mayReceive(rec, now) && now.Before(until) && (!ok || until.Before(at)) {
			at, ok = until, true
		}
	}
	return at, ok
}

// ReportOutcome records the outcome of a request to an endpoint and reports whether the endpoint is avoided now.
func (r *Registry) ReportOutcome(e *Endpoint, o Outcome) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	h, now := &e.health, r.now()
	failed := 1.0
	switch o {
	case Succeeded:
		h.connectionFailures, h.avoidUntil, failed = 0, time.Time{}, 0
	case ShuttingDown:
		r.markDraining(e)
		return true
	case Unreachable:
		if now.Before(h.avoidUntil) {
			break // all requests that were in progress when the endpoint failed count as one failure
		}
		h.connectionFailures++
		h.avoidUntil = now.Add(min(minAvoidance<<min(h.connectionFailures-1, 8), maxAvoidance))
		h.coldSince = h.avoidUntil
	}
	h.failureRate += failureRateWeight * (failed - h.failureRate)
	return now.Before(h.avoidUntil)
}

// MarkDraining records that an endpoint has stated that it shuts down, and reports whether that is new. It gets no new requests.
func (r *Registry) MarkDraining(e *Endpoint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.markDraining(e)
}

func (r *Registry) markDraining(e *Endpoint) bool {
	rec := r.records[e.ID]
	if rec == nil || rec.endpoint != e || rec.draining {
		return false
	}
	rec.draining = true
	return true
}

// ObserveSlowdown records the ratio of observed to predicted time of a request.
func (r *Registry) ObserveSlowdown(e *Endpoint, ratio float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	ratio = min(max(ratio, minSlowdownSample), maxSlowdownSample)
	if e.health.slowdown == 0 {
		e.health.slowdown = 1
	}
	e.health.slowdown += slowdownWeight * (ratio - e.health.slowdown)
}

// Health returns the recent failure rate of an endpoint and its slowdown, the ratio of observed to predicted time. The
// slowdown is at least 1, also if it is unknown.
func (r *Registry) Health(e *Endpoint) (failureRate, slowdown float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return e.health.failureRate, max(e.health.slowdown, 1)
}

// CountUsable returns the number of endpoints that new requests may be sent to, or could be if their failure domains were not evacuated.
func (r *Registry) CountUsable() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count, now := 0, r.now()
	for _, rec := range r.records {
		if r.usable(rec, now) {
			count++
		}
	}
	return count
}
