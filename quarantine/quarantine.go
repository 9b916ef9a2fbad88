// Package quarantine finds the calls and prompt parts that crash endpoints and keeps them from reaching one endpoint after the other.
//
// All requests at an endpoint break when it crashes, so each of them, and each part of its prompt, is a suspect. A subject that
// makes progress at an endpoint is harmless, and its crashes are forgotten. One that has crashed several endpoints without any progress,
// beyond the crashes that another subject explains, is blocked. Parts that were always together in these crashes are blocked together: a
// request without one of them, which may be the one at fault, is tried now and then, and shows which are harmless. Gateways exchange and
// merge their records, so that the crashes seen by different gateways add up, and keep those of blocked subjects in the platform's store,
// so that a restart of all gateways does not lose them.
package quarantine

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Limits of the memory of a Tracker and of what it sends.
const (
	recordTTL     = 15 * time.Minute // life of the record of a part after its last crash
	callTTL       = 5 * time.Minute  // the same of a call, which is not tried: many callers may look up the same thing
	clearedTTL    = time.Minute      // life of a record without crashes, which overrides older records of peers
	spreadPeriod  = 10 * time.Second // time after a change during which a record is sent to peers
	maxRecords    = 16_384           // twice as many as the parts in a head of 16 KB
	maxNewRecords = 8192             // of one broken attempt
	maxProgress   = 16_384           // parts whose latest progress is kept
	maxExplaining = 16               // groups that may explain the crashes of others
	maxChanged    = 32_768           // records that all gateways together send to each of their peers at once
	maxStored     = 256              // members of a group whose records are stored
	maxLogged     = 16               // verdicts that are logged one by one
)

// Options configures a Tracker.
type Options struct {
	Now        func() time.Time                  // nil: time.Now
	Gateways   func() int                        // number of gateways that share the records; nil: 1
	Rand       func(time.Duration) time.Duration // returns a random duration below its argument; nil: rand.N
	Log        *logrus.Logger                    // nil: the standard logger
	Registerer prometheus.Registerer
}

// Tracker holds the records known to one gateway. It is safe for concurrent use.
type Tracker struct {
	opts    Options
	metrics metrics
	changed chan struct{}
	blocked atomic.Int32 // subjects that are not Admitted

	mu       sync.Mutex
	records  map[Subject]*entry
	heavy    map[Subject]*entry   // those that may be blocked
	progress map[Subject]progress // of parts, for recentProgress at least
	checks   uint64               // number of the latest check
	unsent   map[Subject]struct{} // changed here and not sent since
	lastSent Subject              // of Spread, which continues after it

	crashedAt map[uint32]time.Time // first report of a crash, by Crash.Endpoint
}

// entry is a record and what this gateway derives from it.
type entry struct {
	Record
	endpoints   []uint32 // distinct crashed endpoints, in ascending order
	calls       int      // different calls in the crashes
	verdict     Verdict  // on a request with all parts of the group and its rivals
	group       *group   // nil if the record is not heavy
	progressed  bool     // a part that made progress here before, at any time
	checked     uint64   // number of the latest check of a request with it
	changedAt   time.Time
	condemnedAt time.Time // zero unless Condemned
	setbacks    int       // crashes since, of requests that tried it
	nextTrialAt time.Time // of a request with all suspects
	nextProbeAt time.Time // of a request without one of the suspects
	sawCrash    bool      // this gateway has seen one of the crashes
	storeAt     time.Time // when this gateway stores the record if no other has
	removeRow   bool      // the row in the store is outdated
	rowLost     bool      // the store has lost the row, whatever peers say of it
}

// progress is what an endpoint has achieved with a part.
type progress struct {
	at     time.Time
	events int // of the attempt that got furthest
}

// New returns a Tracker without records.
func New(opts Options) *Tracker {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Gateways == nil {
		opts.Gateways = func() int { return 1 }
	}
	if opts.Rand == nil {
		opts.Rand = rand.N[time.Duration]
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	t := &Tracker{opts: opts, changed: make(chan struct{}, 1), records: make(map[Subject]*entry),
		heavy: make(map[Subject]*entry), progress: make(map[Subject]progress), unsent: make(map[Subject]struct{}), crashedAt: make(map[uint32]time.Time)}
	t.metrics = newMetrics(opts.Registerer)
	return t
}

// Check returns the verdict on a request and the subject that decided it. A request that may be a trial is Admitted.
func (t *Tracker) Check(subjects []Subject) (Verdict, Subject) {
	if t.blocked.Load() == 0 {
		return Admitted, Subject{} // the usual case, without the lock that all requests share
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.check(subjects)
}

func (t *Tracker) check(subjects []Subject) (Verdict, Subject) {
	now, worst, by := t.opts.Now(), Admitted, Subject{}
	for _, e := range t.blockedIn(subjects, now) {
		if verdict := t.verdictNow(e, now); verdict > worst {
			worst, by = verdict, e.Subject
		}
	}
	return worst, by
}

// blockedIn returns the entries of the blocked subjects of a request, and counts its parts in their groups.
func (t *Tracker) blockedIn(subjects []Subject, now time.Time) (blocked []*entry) {
	t.checks++
	var found []*entry
	for _, s := range subjects {
		e := t.heavy[s]
		if e == nil || e.group == nil || e.checked == t.checks || !now.Before(e.ExpiresAt) {
			continue
		}
		e.checked = t.checks
		found = append(found, e)
		e.group.found = 0
		for _, others := range [...][]*group{e.group.rivals, e.group.weaker} {
			for _, other := range others {
				other.found = 0
			}
		}
	}
	for _, e := range found {
		e.group.found++
		if e.verdict != Admitted {
			blocked = append(blocked, e)
		}
	}
	return blocked
}

// verdictNow returns the verdict on a request because of a blocked subject that it contains, after blockedIn.
func (t *Tracker) verdictNow(e *entry, now time.Time) Verdict {
	switch {
	case e.setbacks >= maxSetbacks && !e.progressed:
		return Condemned
	case e.group.lacksRival():
		if now.Before(e.nextProbeAt) {
			return Suspected
		}
	case e.verdict == Condemned && !e.isTriedIfCondemned() && !e.group.lacksWeaker():
		return Condemned
	case now.Before(e.nextTrialAt):
		return Suspected
	}
	return Admitted
}

// isTriedIfCondemned reports whether a condemned subject may be harmless, so that it is tried: a part that made progress before may have met a
// crash of many endpoints at once.
func (e *entry) isTriedIfCondemned() bool { return e.Subject.Kind == Part && e.progressed }

// Admit is Check for a request that is sent to an endpoint if it is Admitted. A trial is taken by it.
func (t *Tracker) Admit(subjects []Subject) (Verdict, Subject) {
	if t.blocked.Load() == 0 {
		return Admitted, Subject{}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, by := t.check(subjects)
	if verdict != Admitted {
		return verdict, by
	}
	now := t.opts.Now()
	for i, e := range t.blockedIn(subjects, now) {
		isProbe := e.group.lacksRival()
		switch {
		case !isProbe:
			e.nextTrialAt = t.trialTime(e.setbacks)
		case e.verdict == Condemned && now.Sub(e.condemnedAt) >= setbackDelay:
			e.nextProbeAt = t.trialTime(e.setbacks)
		default:
			e.nextProbeAt = now.Add(earlyProbePause)
		}
		if i == 0 {
			t.metrics.trials.Inc()
			t.log(e, "quarantine_trial").WithField("lacks_suspect", isProbe).Info("a blocked subject is tried with a request")
		}
	}
	return Admitted, Subject{}
}

// trialTime returns a random time for the next trial. All gateways together make one in trialInterval on average, fewer after setbacks.
func (t *Tracker) trialTime(setbacks int) time.Time {
	mean := trialInterval * time.Duration(max(t.opts.Gateways(), 1))
	for range setbacks {
		mean *= setbackFactor
	}
	return t.opts.Now().Add(mean/2 + t.opts.Rand(mean))
}

// RecordCrash records that an endpoint broke off an attempt after a number of events; 0 for an answer that is no stream. Parts that have
// recently got further are not suspects.
func (t *Tracker) RecordCrash(c Crash, subjects []Subject, events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	c = t.distinguish(c, now)
	changed := false
	for _, s := range t.suspects(subjects, events, now) {
		e := t.entry(s)
		e.Events = max(e.Events, min(events, Complete))
		e.progressed = t.progressed(e)
		isNew := !slices.Contains(e.endpoints, c.Endpoint) // not the crash of an endpoint that broke other attempts, too
		added, latest := e.add(c), now.Add(ttlOf(s.Kind))
		if !added && (len(e.Crashes) < MaxCrashes || latest.Sub(e.ExpiresAt) < minRestartTime) {
			continue
		}
		if added && isNew || latest.Sub(e.ExpiresAt) >= minRestartTime {
			t.noteSetback(e, now)
		}
		e.ExpiresAt, e.sawCrash = latest, true
		t.metrics.crashes.WithLabelValues(s.Kind.String()).Inc()
		t.noteChange(e, true)
		changed = true
	}
	if changed {
		t.judge("crash")
	}
}

// suspects returns the subjects of a broken attempt that may have caused the crash. A random choice of those without a record is left out if
// there are too many.
func (t *Tracker) suspects(subjects []Subject, events int, now time.Time) []Subject {
	suspects, unknown := make([]Subject, 0, len(subjects)), make([]Subject, 0, len(subjects))
	for _, s := range subjects {
		p, ok := t.progress[s]
		switch {
		case ok && now.Sub(p.at) < recentProgress && survives(p.events, events):
		case t.records[s] != nil:
			suspects = append(suspects, s)
		default:
			unknown = append(unknown, s)
		}
	}
	if len(unknown) > maxNewRecords {
		rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
		unknown = unknown[:maxNewRecords]
	}
	return append(suspects, unknown...)
}

// progressed reports whether the part of an entry has made progress here, at any time that is known, beyond its crashes.
func (t *Tracker) progressed(e *entry) bool {
	p, ok := t.progress[e.Subject]
	return ok && survives(p.events, e.Events)
}

// noteSetback counts a further crash if it must be that of a request that tried a condemned subject.
func (t *Tracker) noteSetback(e *entry, now time.Time) {
	if e.verdict != Condemned || now.Sub(e.condemnedAt) < setbackDelay {
		return
	}
	e.setbacks = min(e.setbacks+1, maxSetbacks)
	e.nextTrialAt, e.nextProbeAt = t.trialTime(e.setbacks), t.trialTime(e.setbacks)
}

func ttlOf(kind Kind) time.Duration {
	if kind == Call {
		return callTTL
	}
	return recordTTL
}

// distinguish gives a crash of its own to an endpoint that crashes again although its start time is the same as before: the start time
// of the new incarnation is not known yet.
func (t *Tracker) distinguish(c Crash, now time.Time) Crash {
	first, known := t.crashedAt[c.Endpoint]
	if known && now.Sub(first) >= minRestartTime {
		c.Endpoint = uint32(xxhash.Sum64String(strconv.FormatUint(uint64(c.Endpoint), 16) + now.Truncate(minRestartTime).String()))
		known = false
	}
	if !known {
		if len(t.crashedAt) >= maxRecords {
			clear(t.crashedAt)
		}
		t.crashedAt[c.Endpoint] = now
	}
	return c
}

// RecordProgress records that an endpoint has got on with an answer, by a number of events or to its end (Complete), so that the subjects of
// the request are harmless that have not got as far before a crash.
func (t *Tracker) RecordProgress(subjects []Subject, events int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	cleared := false
	for _, s := range subjects {
		if s.Kind == Part {
			t.noteProgress(s, events, now)
		}
		if e := t.records[s]; e != nil && len(e.Crashes) > 0 && survives(events, e.Events) {
			t.clear(e)
			cleared = true
		}
	}
	if cleared {
		t.judge("progress")
	}
}

func (t *Tracker) noteProgress(s Subject, events int, now time.Time) {
	known, ok := t.progress[s]
	if ok && known.events > events && now.Sub(known.at) < recentProgress {
		return
	}
	if !ok && len(t.progress) >= maxProgress {
		maps.DeleteFunc(t.progress, func(_ Subject, p progress) bool { return now.Sub(p.at) >= recentProgress })
		if len(t.progress) >= maxProgress {
			clear(t.progress)
		}
	}
	t.progress[s] = progress{at: now, events: events}
}

// clear forgets the crashes of a subject that has made progress.
func (t *Tracker) clear(e *entry) {
	if e.verdict != Admitted {
		t.metrics.cleared.Inc()
		t.log(e, "quarantine_cleared").WithField("cause", "progress").Info("a blocked subject is harmless")
	}
	e.removeRow = e.removeRow || e.StoredEndpoints > 0
	e.Generation, e.Crashes, e.StoredEndpoints, e.Events, e.setbacks, e.verdict = e.Generation+1, nil, 0, 0, 0, Admitted
	e.ExpiresAt = t.opts.Now().Add(clearedTTL)
	t.noteChange(e, true)
}

// Merge adds records of peers or of the store.
func (t *Tracker) Merge(records []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, changed := t.opts.Now(), false
	for i := range records {
		r := &records[i]
		if !now.Before(r.ExpiresAt) || r.Subject.Kind != Call && r.Subject.Kind != Part {
			continue
		}
		e := t.records[r.Subject]
		if e == nil && len(r.Crashes) == 0 {
			continue
		}
		if e == nil {
			e = t.entry(r.Subject)
			e.ExpiresAt = r.ExpiresAt
		}
		wasHeavy, before := e.isHeavy(), e.Record
		if !e.merge(r) {
			continue
		}
		if e.Generation == before.Generation && (len(e.Crashes) > len(before.Crashes) || e.ExpiresAt.Sub(before.ExpiresAt) > crashTimeError) {
			t.noteSetback(e, now)
		}
		e.progressed = t.progressed(e)
		t.noteChange(e, false)
		changed = changed || wasHeavy || e.isHeavy()
		if p := t.progress[r.Subject]; len(e.Crashes) > 0 && now.Sub(p.at) < recentProgress && survives(p.events, e.Events) {
			t.clear(e)
		}
	}
	if changed {
		t.judge("peer")
	}
}

// Delays after which a gateway stores a record, unless another one has done so. Gateways that saw one of the crashes go first.
const (
	maxFirstStoreDelay = 200 * time.Millisecond
	maxStoreDelay      = 1500 * time.Millisecond
)

func storeTime(sawCrash bool) time.Duration {
	if sawCrash {
		return rand.N(maxFirstStoreDelay)
	}
	return maxFirstStoreDelay + rand.N(maxStoreDelay-maxFirstStoreDelay)
}

// entry returns the entry of a subject and adds one if there is none.
func (t *Tracker) entry(s Subject) *entry {
	if e := t.records[s]; e != nil && t.opts.Now().Before(e.ExpiresAt) {
		return e
	}
	if len(t.records) >= maxRecords {
		t.evict()
	}
	e := &entry{Record: Record{Subject: s, ExpiresAt: t.opts.Now().Add(ttlOf(s.Kind))}}
	t.records[s] = e
	return e
}

// dropExpired removes the expired entries, which explain nothing any more.
func (t *Tracker) dropExpired() {
	now, wasHeavy := t.opts.Now(), false
	for s, e := range t.records {
		if !now.Before(e.ExpiresAt) {
			wasHeavy = wasHeavy || t.heavy[s] != nil
			t.remove(s)
		}
	}
	if wasHeavy {
		t.judge("expiry")
	}
}

func (t *Tracker) remove(s Subject) {
	delete(t.records, s)
	delete(t.heavy, s)
	delete(t.unsent, s)
}

// evict removes expired entries, and if too few have expired, those with the fewest and oldest crashes that block nothing.
func (t *Tracker) evict() {
	const kept = maxRecords * 3 / 4
	t.dropExpired()
	entries := slices.SortedFunc(maps.Values(t.records), func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.verdict, b.verdict), cmp.Compare(len(a.endpoints), len(b.endpoints)), a.changedAt.Compare(b.changedAt))
	})
	for _, e := range entries[:max(len(entries)-kept, 0)] {
		if e.verdict != Admitted && len(t.records) < maxRecords {
			return
		}
		t.remove(e.Subject)
	}
}

// noteChange updates what is derived from the record of an entry that has changed, here or at a peer.
func (t *Tracker) noteChange(e *entry, here bool) {
	e.changedAt, e.endpoints, e.calls = t.opts.Now(), e.crashedEndpoints(), e.callCount()
	if e.isHeavy() {
		t.heavy[e.Subject] = e
	}
	if !here {
		return
	}
	t.unsent[e.Subject] = struct{}{}
	timing.Signal(t.changed)
}

// judge recomputes the verdicts after a change.
func (t *Tracker) judge(cause string) {
	now := t.opts.Now()
	var heavy []*entry
	for s, e := range t.heavy {
		if now.Before(e.ExpiresAt) && e.isHeavy() {
			heavy = append(heavy, e)
			continue
		}
		delete(t.heavy, s)
		e.group = nil
		t.setVerdict(e, Admitted)
	}
	judgeGroups(groupsOf(heavy))
	blocked, changed := map[Kind]int{}, 0
	for _, e := range heavy {
		if t.setVerdict(e, e.group.verdict) {
			if changed++; changed <= maxLogged {
				t.log(e, "quarantine_verdict").WithField("cause", cause).Info("verdict on what may crash endpoints has changed")
			}
		}
		if e.verdict != Admitted {
			blocked[e.Subject.Kind]++
		}
	}
	if changed > maxLogged {
		t.opts.Log.WithFields(logrus.Fields{"event": "quarantine_verdicts", "cause": cause, "subjects": changed}).
			Info("verdicts on what may crash endpoints have changed")
	}
	t.blocked.Store(int32(blocked[Call] + blocked[Part]))
	for _, kind := range []Kind{Call, Part} {
		t.metrics.blocked.WithLabelValues(kind.String()).Set(float64(blocked[kind]))
	}
}

// setVerdict sets the verdict on an entry and reports whether it has changed.
func (t *Tracker) setVerdict(e *entry, verdict Verdict) bool {
	if verdict == e.verdict {
		return false
	}
	now, previous := t.opts.Now(), e.verdict
	e.verdict, e.condemnedAt = verdict, time.Time{}
	switch {
	case verdict == Admitted:
		e.setbacks = 0
	case previous == Admitted:
		e.nextTrialAt, e.nextProbeAt = t.trialTime(0), now
	}
	if verdict == Condemned {
		e.condemnedAt, e.nextTrialAt = now, t.trialTime(0)
	}
	e.storeAt = now.Add(storeTime(e.sawCrash))
	return true
}

func (t *Tracker) log(e *entry, event string) *logrus.Entry {
	fields := logrus.Fields{
		"event": event, "subject": e.Subject.Key(), "endpoints": len(e.endpoints), "calls": e.calls, "crash_events": e.Events,
		"generation": e.Generation, "verdict": e.verdict.String(),
	}
	if g := e.group; g != nil {
		fields["group"], fields["rivals"] = g.members, len(g.rivals)
	}
	return t.opts.Log.WithFields(fields)
}
