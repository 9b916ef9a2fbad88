// Package quarantine finds the calls and prompt parts that crash endpoints and keeps them from reaching one endpoint after the other.
//
// All requests at an endpoint break when it crashes, so each of them, and each part of its prompt, is a suspect. A subject that
// makes progress at an endpoint is harmless, and its crashes are forgotten. One that has crashed several endpoints without any progress,
// beyond the crashes that another subject explains, is blocked. Gateways exchange and merge their records, so that the crashes seen by
// different gateways add up, and keep those of blocked subjects in the platform's store, so that a restart of all gateways does not
// lose them.
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
	maxExplaining = 16               // records that may explain the crashes of others
	maxChanged    = 32_768           // records that all gateways together send to each of their peers at once
	maxLogged     = 16               // verdicts that are logged one by one
)

// Options configures a Tracker.
type Options struct {
	Now        func() time.Time // nil: time.Now
	Gateways   func() int       // number of gateways that share the records; nil: 1
	Log        *logrus.Logger   // nil: the standard logger
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
	progress map[Subject]time.Time // latest progress of parts, for recentProgress at least
	unsent   map[Subject]struct{}  // changed here and not sent since
	lastSent Subject               // of Spread, which continues after it

	crashedAt map[uint32]time.Time // first report of a crash, by Crash.Endpoint
}

// entry is a record and what this gateway derives from it.
type entry struct {
	Record
	endpoints   []uint32 // distinct crashed endpoints, in ascending order
	calls       int      // different calls in the crashes
	verdict     Verdict
	changedAt   time.Time
	nextTrialAt time.Time // Suspected only
	sawCrash    bool      // this gateway has seen one of the crashes
	storeAt     time.Time // when this gateway stores the record if no other has
	removeRow   bool      // the row in the store is outdated
	rowLost     bool      // the store has lost the row, whatever peers say of it
}

// New returns a Tracker without records.
func New(opts Options) *Tracker {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Gateways == nil {
		opts.Gateways = func() int { return 1 }
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	t := &Tracker{opts: opts, changed: make(chan struct{}, 1), records: make(map[Subject]*entry),
		progress: make(map[Subject]time.Time), unsent: make(map[Subject]struct{}), crashedAt: make(map[uint32]time.Time)}
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
	for _, s := range subjects {
		e := t.records[s]
		if e == nil || e.verdict == Admitted || !now.Before(e.ExpiresAt) {
			continue
		}
		if e.verdict == Suspected && !now.Before(e.nextTrialAt) {
			continue
		}
		if e.verdict > worst {
			worst, by = e.verdict, s
		}
	}
	return worst, by
}

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
	for _, s := range subjects {
		if e := t.records[s]; e != nil && e.verdict == Suspected {
			e.nextTrialAt = t.trialTime()
			t.metrics.trials.Inc()
			t.log(e, "quarantine_trial").Info("a blocked subject is tried with a request")
		}
	}
	return Admitted, Subject{}
}

// trialTime returns a random time for the next trial. All gateways together make one in trialInterval on average.
func (t *Tracker) trialTime() time.Time {
	mean := trialInterval * time.Duration(max(t.opts.Gateways(), 1))
	return t.opts.Now().Add(mean/2 + rand.N(mean))
}

// RecordCrash records that an endpoint broke off an attempt before it had got far with the answer. The parts among the subjects are in
// the order of the prompt. Parts that have made progress recently are not suspects.
func (t *Tracker) RecordCrash(c Crash, subjects []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	c = t.distinguish(c, now)
	changed := false
	for depth, s := range t.suspects(subjects, now) {
		e := t.entry(s)
		if depth > e.Depth {
			e.Depth, changed = depth, true
		}
		if !e.add(c) {
			continue
		}
		t.metrics.crashes.WithLabelValues(s.Kind.String()).Inc()
		e.ExpiresAt, e.sawCrash = now.Add(ttlOf(s.Kind)), true
		t.noteChange(e, true)
		changed = true
	}
	if changed {
		t.judge("crash")
	}
}

// suspects returns the subjects of a broken attempt that have not made progress recently, by position. A random choice of those without a record
// is left out if there are too many.
func (t *Tracker) suspects(subjects []Subject, now time.Time) map[int]Subject {
	suspects, unknown, depth := make(map[int]Subject, len(subjects)), 0, 0
	for _, i := range rand.Perm(len(subjects)) {
		s := subjects[i]
		if depth = i; s.Kind == Call {
			depth = 0
		}
		if t.records[s] == nil {
			unknown++
		}
		if !t.madeProgress(s, now) && (t.records[s] != nil || unknown <= maxNewRecords) {
			suspects[depth] = s
		}
	}
	return suspects
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

func (t *Tracker) madeProgress(s Subject, now time.Time) bool {
	at, ok := t.progress[s]
	return ok && now.Sub(at) < recentProgress
}

// RecordProgress records that an endpoint has got on with an answer, so that the subjects of the request are harmless.
func (t *Tracker) RecordProgress(subjects []Subject) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Now()
	cleared := false
	for _, s := range subjects {
		if s.Kind == Part {
			t.noteProgress(s, now)
		}
		if e := t.records[s]; e != nil && len(e.Crashes) > 0 {
			t.clear(e)
			cleared = true
		}
	}
	if cleared {
		t.judge("progress")
	}
}

func (t *Tracker) noteProgress(s Subject, now time.Time) {
	if len(t.progress) >= maxProgress {
		for other, at := range t.progress {
			if now.Sub(at) >= recentProgress {
				delete(t.progress, other)
			}
		}
		if len(t.progress) >= maxProgress {
			clear(t.progress)
		}
	}
	t.progress[s] = now
}

// clear forgets the crashes of a subject that has made progress.
func (t *Tracker) clear(e *entry) {
	if e.verdict != Admitted {
		t.metrics.cleared.Inc()
		t.log(e, "quarantine_cleared").WithField("cause", "progress").Info("a blocked subject is harmless")
	}
	e.removeRow = e.removeRow || e.StoredEndpoints > 0
	e.Generation, e.Crashes, e.StoredEndpoints, e.verdict = e.Generation+1, nil, 0, Admitted
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
		}
		if !e.merge(r) {
			continue
		}
		t.noteChange(e, false)
		changed = true
		if len(e.Crashes) > 0 && t.madeProgress(r.Subject, now) {
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
	now, before := t.opts.Now(), len(t.records)
	for s, e := range t.records {
		if !now.Before(e.ExpiresAt) {
			delete(t.records, s)
		}
	}
	if len(t.records) < before {
		t.judge("expiry")
	}
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
		delete(t.records, e.Subject)
	}
}

// noteChange updates what is derived from the record of an entry that has changed, here or at a peer.
func (t *Tracker) noteChange(e *entry, here bool) {
	e.changedAt, e.endpoints, e.calls = t.opts.Now(), e.crashedEndpoints(), e.callCount()
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
	for _, e := range t.records {
		if now.Before(e.ExpiresAt) && e.isHeavy() {
			heavy = append(heavy, e)
		}
	}
	explaining := heaviest(heavy, maxExplaining)
	blocked, changed := map[Kind]int{}, 0
	for _, e := range t.records {
		previous := e.verdict
		e.verdict = Admitted
		if now.Before(e.ExpiresAt) && e.isHeavy() {
			e.verdict = verdictFor(e.Subject.Kind, unexplainedCrashes(e, explaining))
		}
		if e.verdict != Admitted {
			blocked[e.Subject.Kind]++
		}
		if e.verdict == previous {
			continue
		}
		if e.verdict == Suspected {
			e.nextTrialAt = t.trialTime()
		}
		e.storeAt = now.Add(storeTime(e.sawCrash))
		if changed++; changed <= maxLogged {
			t.log(e, "quarantine_verdict").WithField("cause", cause).Info("verdict on what may crash endpoints has changed")
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

func (t *Tracker) log(e *entry, event string) *logrus.Entry {
	return t.opts.Log.WithFields(logrus.Fields{
		"event": event, "subject": e.Subject.Key(), "endpoints": len(e.endpoints), "calls": e.calls,
		"generation": e.Generation, "verdict": e.verdict.String(),
	})
}
