// Package blame detects prompts that crash endpoints, so that they are not retried until the whole fleet is down.
//
// A prompt that was running on an endpoint when the endpoint crashed is a suspect and is retried alone. After a second
// crash the prompt is blamed and is refused until its record expires. Parts that several blamed prompts share are blamed, too, until prompts
// with them complete: a prompt with only some of the parts that were blamed together is tried now and then, as any of them may be at
// fault. Prompts and parts are identified by fingerprints. The
// records are kept in table rows and in the memory of each entry, and nodes exchange them, so that the rule also holds
// while the table is down.
package blame

import (
	"context"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/ringbuffer"
	"github.com/bilberrylink/bilberrylink/wire"
)

// RowPrefix is the prefix of the table keys of blame records.
const RowPrefix = "blame/"

// blameThreshold is the number of crashes at which a prompt is refused, and of blamed prompts at which a part of them is.
const blameThreshold = 2

// Trials of prompts with some of the parts that were blamed together.
const (
	partTrialInterval = 4 * time.Second // between the first and the second trial at one entry
	partTrialFactor   = 4               // by which it grows with each trial
	maxPartTrials     = 5               // that make it grow
)

// recentCompletion is the time for which a completed prompt shows that its parts are harmless.
const recentCompletion = 2 * time.Second

// partPrefix marks the fingerprints of parts.
const partPrefix = "part-"

// Limits of the memory of a Tracker, of its messages to other nodes and of its use of the table.
const (
	DefaultMaxRecords  = 16_384                 // records, and as many proven fingerprints; about 4 MB
	DefaultTTL         = 15 * time.Minute       // life of a record after its last change, and of a proven fingerprint
	gossipDuration     = 60 * time.Second       // time after a change during which a record is sent to other nodes
	maxGossipRecords   = 64                     // records per message to another node
	tableWriteTimeout  = 250 * time.Millisecond // time to wait for the table before a request is retried without it
	retryInterval      = time.Second            // pause between two attempts of a failed read or write of the table
	writeQueueCapacity = 1024                   // records waiting to be written to the table
	maxWriteAttempts   = 4                      // attempts of a conditional write if other entries write the row
	scanPageRows       = 500                    // rows per read of the table
	sameCrashWindow    = 2 * time.Second        // reports about one endpoint within this time count as one crash
)

// Verdict decides whether and how a prompt may run.
type Verdict int

// Verdicts.
const (
	Unproven Verdict = iota // has not finished before at this entry
	Proven                  // has finished before
	Suspect                 // was running when an endpoint crashed; must run alone
	Blamed                  // was running at two crashes; must be refused
)

// Gossip is the part of a Tracker that exchanges records with other nodes.
type Gossip interface {
	// MergeRecords merges records from another node.
	MergeRecords(records []*wire.BlameRecord)
	// RecentRecords returns the records to send to other nodes.
	RecentRecords() []*wire.BlameRecord
}

// Options configures a Tracker.
type Options struct {
	Table      cloud.Table           // nil: records are not stored
	TTL        func() time.Duration  // nil: DefaultTTL
	MaxRecords int                   // 0: DefaultMaxRecords
	Log        *logrus.Logger        // nil: the standard logger
	Registerer prometheus.Registerer // nil: metrics are not registered
	Disabled   bool                  // tests only: no prompt becomes a suspect
}

// Record holds the crashes that are attributed to one fingerprint. For a part, it holds the blamed prompts that contain it.
type Record struct {
	Fingerprint string    `json:"-"`
	Crashes     int       `json:"crashes"`   // of a prompt; of a part: number of blamed prompts
	Endpoints   []string  `json:"endpoints"` // of a prompt; of a part: fingerprints of the blamed prompts
	Cleared     bool      `json:"cleared"`
	Generation  int       `json:"generation"` // grows when the record is cleared or reopened; the highest one is valid
	Expires     time.Time `json:"-"`
	changedAt   time.Time // last change of the record at this entry
	crashedAt   time.Time // last crash reported to this entry

	completedBefore bool      // of a part: a prompt with it completed at this entry before its first crash
	trials          int       // of a part
	nextTrialAt     time.Time // of a part
}

// maxPartRecords bounds what one prompt may add for its parts: one in so many of all records.
const maxPartRecords = 2

// Tracker holds the records known to one entry. It is safe for concurrent use.
type Tracker struct {
	opts       Options
	metrics    metrics
	writeQueue *ringbuffer.Buffer[string]

	mu       sync.Mutex
	records  *lru[*Record]   // by fingerprint
	proven   *lru[time.Time] // expiry of proven fingerprints
	gossiped int             // position behind the older records that were last sent to other nodes
}

type metrics struct {
	crashes, cleared, blamed, dropped prometheus.Counter
}

// New returns a Tracker without records. Run loads the records of the table and writes changed ones.
func New(opts Options) *Tracker {
	if opts.TTL == nil {
		opts.TTL = func() time.Duration { return DefaultTTL }
	}
	if opts.MaxRecords <= 0 {
		opts.MaxRecords = DefaultMaxRecords
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	t := &Tracker{
		opts:       opts,
		metrics:    newMetrics(opts.Registerer),
		writeQueue: ringbuffer.New[string](writeQueueCapacity),
		records:    newLRU[*Record](opts.MaxRecords),
		proven:     newLRU[time.Time](opts.MaxRecords),
	}
	return t
}

func newMetrics(reg prometheus.Registerer) metrics {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
		if reg != nil {
			reg.MustRegister(c)
		}
		return c
	}
	return metrics{
		crashes: counter("bilberry_blame_crashes_total", "Crashes attributed to suspects."),
		cleared: counter("bilberry_blame_cleared_total", "Suspects cleared because their prompt completed."),
		blamed:  counter("bilberry_blame_blamed_total", "Prompts that became blamed."),
		dropped: counter("bilberry_blame_writes_dropped_total", "Table writes dropped because the queue was full."),
	}
}

// Check returns the verdict on a fingerprint. It reads only from memory.
func (t *Tracker) Check(fingerprint string) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if r, ok := t.records.get(fingerprint); ok && now.Before(r.Expires) && !r.Cleared {
		return verdictOf(r.Crashes)
	}
	if expiresAt, ok := t.proven.get(fingerprint); ok && now.Before(expiresAt) {
		return Proven
	}
	return Unproven
}

func verdictOf(crashes int) Verdict {
	if crashes >= blameThreshold {
		return Blamed
	}
	return Suspect
}

// RecordCrash records that an endpoint crashed while the prompt was running there, and returns the resulting verdict. It
// merges the record with the row in the table. If the table does not answer within a short time, the verdict is based
// on memory and the record is written later.
func (t *Tracker) RecordCrash(ctx context.Context, fingerprint, endpoint string) Verdict {
	if t.opts.Disabled {
		return Unproven
	}
	t.metrics.crashes.Inc()
	t.merge(Record{Fingerprint: fingerprint, Crashes: 1, Endpoints: []string{endpoint}}, true)
	ctx, cancel := context.WithTimeout(ctx, tableWriteTimeout)
	defer cancel()
	if err := t.persist(ctx, fingerprint); err != nil {
		t.opts.Log.WithError(err).WithField("fingerprint", fingerprint).Warn("cannot write blame record; retrying in the background")
		t.enqueue(fingerprint)
	}
	return t.Check(fingerprint)
}

// CheckParts returns the verdict on a prompt with the given parts, and a part that has led to it. The verdict is Suspect if the prompt lacks parts
// that were blamed together with its own, so that its own may be harmless, and Blamed if it contains all of them.
func (t *Tracker) CheckParts(parts []string) (Verdict, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	verdict, decisive := Unproven, ""
	for _, s := range t.suspectsAmong(parts) {
		if s.verdict > verdict {
			verdict, decisive = s.verdict, strings.TrimPrefix(s.record.Fingerprint, partPrefix)
		}
	}
	return verdict, decisive
}

// TryParts reports whether a prompt for which CheckParts has returned Suspect may run now, and counts it as a trial.
func (t *Tracker) TryParts(parts []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now, suspects := time.Now(), t.suspectsAmong(parts)
	for _, s := range suspects {
		if s.verdict == Blamed || now.Before(s.record.nextTrialAt) {
			return false
		}
	}
	for _, s := range suspects {
		interval := partTrialInterval
		for range s.record.trials {
			interval *= partTrialFactor
		}
		s.record.nextTrialAt, s.record.trials = now.Add(interval), min(s.record.trials+1, maxPartTrials)
	}
	return true
}

// suspectPart is a blamed part of a prompt.
type suspectPart struct {
	record  *Record
	verdict Verdict
}

// partGroup holds the blamed parts with the same evidence, which nothing distinguishes.
type partGroup struct {
	first              *Record // of its members
	members, contained int     // contained: in the prompt that is being checked
	verdict            Verdict // on the prompt because of these parts; Unproven: something else explains their blame
}

// partEvidence identifies a group.
type partEvidence struct {
	prompts         uint64 // hash of the set of blamed prompts
	count           int    // of these prompts
	completedBefore bool
}

func (r *Record) evidence() partEvidence {
	e := partEvidence{count: len(r.Endpoints), completedBefore: r.completedBefore}
	for _, prompt := range r.Endpoints { // whose order differs between entries
		e.prompts += xxhash.Sum64String(prompt)
	}
	return e
}

// suspectsAmong returns the blamed parts among those of a prompt whose blame nothing else explains, with the verdict on the prompt.
func (t *Tracker) suspectsAmong(parts []string) (suspects []suspectPart) {
	now, groupOf := time.Now(), make(map[*Record]*partGroup)
	var own []*Record
	for _, part := range parts {
		r, ok := t.records.get(partPrefix + part)
		if _, known := groupOf[r]; ok && !known && r.isBlamedPart(now) {
			groupOf[r] = nil
			own = append(own, r)
		}
	}
	if len(own) == 0 {
		return nil
	}
	groups := make(map[partEvidence]*partGroup)
	t.records.each(func(r *Record) {
		if !r.isBlamedPart(now) {
			return
		}
		key := r.evidence()
		g := groups[key]
		if g == nil {
			g = &partGroup{first: r}
			groups[key] = g
		}
		g.members++
		if _, isOwn := groupOf[r]; isOwn {
			g.contained++
			groupOf[r] = g
		}
	})
	judgeParts(groups)
	for _, r := range own {
		if verdict := groupOf[r].verdict; verdict != Unproven {
			suspects = append(suspects, suspectPart{record: r, verdict: verdict})
		}
	}
	return suspects
}

// judgeParts sets the verdicts of the groups that the prompt contains parts of.
func judgeParts(groups map[partEvidence]*partGroup) {
	for _, g := range groups {
		if g.contained == 0 {
			continue
		}
		g.verdict = Blamed
		explained := false
		for _, other := range groups {
			if !other.first.mayExplain(g.first) {
				continue
			}
			explained = explained || other.first.explains(g.first)
			if other.contained < other.members {
				g.verdict = Suspect
			}
		}
		if explained {
			g.verdict = Unproven
		}
	}
}

func (r *Record) isBlamedPart(now time.Time) bool {
	return strings.HasPrefix(r.Fingerprint, partPrefix) && now.Before(r.Expires) && !r.Cleared && r.Crashes >= blameThreshold
}

// mayExplain reports whether too few blamed prompts would be left to blame a part if this one were at fault.
func (r *Record) mayExplain(other *Record) bool {
	if r.completedBefore && !other.completedBefore {
		return false
	}
	left := 0
	for _, prompt := range other.Endpoints {
		if !slices.Contains(r.Endpoints, prompt) {
			left++
		}
	}
	return left < blameThreshold
}

// explains reports whether another part, whose blame this one may explain, is harmless as far as is known: it is in fewer blamed prompts,
// or in as many and prompts with it have completed before.
func (r *Record) explains(other *Record) bool {
	if len(r.Endpoints) != len(other.Endpoints) {
		return len(r.Endpoints) > len(other.Endpoints)
	}
	return other.completedBefore && !r.completedBefore
}

// RecordBlamedPrompt records that a prompt with the given parts is blamed. Parts of prompts that have completed lately are not
// suspected.
func (t *Tracker) RecordBlamedPrompt(fingerprint string, parts []string) {
	if t.opts.Disabled {
		return
	}
	if limit := t.opts.MaxRecords / maxPartRecords; len(parts) > limit {
		parts = slices.Clone(parts)
		rand.Shuffle(len(parts), func(i, j int) { parts[i], parts[j] = parts[j], parts[i] })
		parts = parts[:limit]
	}
	for _, part := range parts {
		key := partPrefix + part
		completed, lately := t.completion(key)
		if lately {
			continue
		}
		t.merge(Record{Fingerprint: key, Crashes: 1, Endpoints: []string{fingerprint}, completedBefore: completed}, true)
		t.enqueue(key)
	}
}

// completion reports whether a prompt with a fingerprint has completed at this entry, and whether it has lately.
func (t *Tracker) completion(fingerprint string) (completed, lately bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	expiresAt, ok := t.proven.get(fingerprint)
	return ok && time.Now().Before(expiresAt), ok && time.Until(expiresAt) > t.opts.TTL()-recentCompletion
}

// RecordCompletion records that a prompt with the given parts completed. This clears a suspect and the parts, but a blamed prompt stays
// blamed until its record expires.
func (t *Tracker) RecordCompletion(fingerprint string, parts []string) {
	t.recordCompletion(fingerprint)
	for _, part := range parts {
		t.recordCompletion(partPrefix + part)
	}
}

func (t *Tracker) recordCompletion(fingerprint string) {
	t.mu.Lock()
	t.proven.put(fingerprint, time.Now().Add(t.opts.TTL()))
	r, ok := t.records.get(fingerprint)
	cleared := ok && !r.Cleared && r.mayClear()
	if cleared {
		r.Cleared = true
		r.trials, r.nextTrialAt = 0, time.Time{}
		r.Generation++
		r.changedAt = time.Now()
	}
	t.mu.Unlock()
	if cleared {
		t.metrics.cleared.Inc()
		t.enqueue(fingerprint)
	}
}

// enqueue queues the record of a fingerprint for a write to the table.
func (t *Tracker) enqueue(fingerprint string) {
	if t.opts.Table == nil {
		return
	}
	if err := t.writeQueue.Push(fingerprint); err != nil {
		t.metrics.dropped.Inc()
	}
}

// merge merges a record into memory. crashedHere says that update is a crash reported to this entry; it adds to the count
// and reopens a cleared record. The crash count is at least the number of distinct crashed endpoints.
func (t *Tracker) merge(update Record, crashedHere bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	r, ok := t.records.get(update.Fingerprint)
	if !ok || !now.Before(r.Expires) {
		r = &Record{Fingerprint: update.Fingerprint}
		t.records.put(update.Fingerprint, r)
	}
	if !crashedHere && update.Generation != noGeneration && !r.adoptGeneration(update.Generation) {
		return
	}
	previous := *r
	r.completedBefore = r.completedBefore || update.completedBefore
	switch {
	case crashedHere && r.Cleared:
		r.Crashes, r.Cleared, r.Endpoints = 1, false, nil
		r.Generation++
	case crashedHere && now.Sub(r.crashedAt) < sameCrashWindow && slices.Contains(r.Endpoints, update.Endpoints[0]):
		// Another request with the same prompt was lost in the same crash, which is counted already.
	case crashedHere:
		r.Crashes++
	case update.Cleared && r.mayClear() && update.Crashes >= r.Crashes:
		r.Cleared, r.Crashes = true, update.Crashes
		r.Generation = max(r.Generation+1, update.Generation)
	case !update.Cleared:
		r.Cleared = r.Cleared && update.Crashes <= r.Crashes
		r.Crashes = max(r.Crashes, update.Crashes)
	}
	if crashedHere {
		r.crashedAt = now
	}
	r.addEndpoints(update.Endpoints)
	if !r.Cleared {
		r.Crashes = max(r.Crashes, len(r.Endpoints))
	}
	t.updateTimes(r, &previous, update, now)
}

// mayClear reports whether a completion clears the record.
func (r *Record) mayClear() bool {
	return r.Crashes < blameThreshold || strings.HasPrefix(r.Fingerprint, partPrefix)
}

// noGeneration is the generation of records from other nodes, whose messages carry none.
const noGeneration = -1

// adoptGeneration resets the record if generation is newer, and reports whether a record of that generation is to be
// merged.
func (r *Record) adoptGeneration(generation int) bool {
	if generation > r.Generation {
		r.Crashes, r.Cleared, r.Endpoints, r.Generation = 0, false, nil, generation
	}
	return generation == r.Generation
}

func (r *Record) addEndpoints(names []string) {
	for _, name := range names {
		if !slices.Contains(r.Endpoints, name) {
			r.Endpoints = append(r.Endpoints, name)
		}
	}
}

// updateTimes updates the times of a record that a merge has changed, and reports a prompt that became blamed.
func (t *Tracker) updateTimes(r, previous *Record, update Record, now time.Time) {
	changed := r.Crashes != previous.Crashes || r.Cleared != previous.Cleared || len(r.Endpoints) != len(previous.Endpoints)
	if !changed {
		return
	}
	expires := update.Expires
	if expires.IsZero() {
		expires = now.Add(t.opts.TTL())
	}
	if expires.After(r.Expires) {
		r.Expires = expires
	}
	r.changedAt = now
	t.proven.remove(r.Fingerprint)
	if r.Crashes >= blameThreshold && previous.Crashes < blameThreshold {
		t.metrics.blamed.Inc()
		t.opts.Log.WithFields(logrus.Fields{"fingerprint": r.Fingerprint, "endpoints": r.Endpoints}).
			Warn("prompt or part blamed for endpoint crashes")
	}
}

// MergeRecords implements Gossip.
func (t *Tracker) MergeRecords(records []*wire.BlameRecord) {
	if t.opts.Disabled {
		return
	}
	now := time.Now()
	for _, received := range records {
		ttl := min(time.Duration(received.GetTtlMs())*time.Millisecond, t.opts.TTL())
		if received.GetFingerprint() == "" || ttl <= 0 {
			continue
		}
		t.merge(Record{
			Fingerprint: received.GetFingerprint(),
			Crashes:     int(received.GetCrashes()),
			Endpoints:   received.GetEndpoints(),
			Cleared:     received.GetCleared(),
			Generation:  noGeneration,
			Expires:     now.Add(ttl),
		}, false)
	}
}

// RecentRecords implements Gossip. It returns records that changed lately, the newest change first. If there are too many for a message, a
// half of it is for the older ones in turn.
func (t *Tracker) RecentRecords() []*wire.BlameRecord {
	now := time.Now()
	recent := t.unexpired(func(r *Record) bool { return now.Sub(r.changedAt) < gossipDuration })
	sort.Slice(recent, func(i, j int) bool { return recent[i].changedAt.After(recent[j].changedAt) })
	if len(recent) > maxGossipRecords {
		const half = maxGossipRecords / 2
		older := recent[half:]
		t.mu.Lock()
		start := t.gossiped % len(older)
		t.gossiped = start + half
		t.mu.Unlock()
		older = slices.Concat(older[start:], older[:start])
		recent = slices.Concat(recent[:half], older[:half])
	}
	newest := make([]*wire.BlameRecord, 0, len(recent))
	for _, r := range recent {
		newest = append(newest, &wire.BlameRecord{
			Fingerprint: r.Fingerprint,
			Crashes:     int32(r.Crashes),
			TtlMs:       r.Expires.Sub(now).Milliseconds(),
			Cleared:     r.Cleared,
			Endpoints:   r.Endpoints,
		})
	}
	return newest
}

// BlamedRecords returns the records of the prompts that are blamed now, for the status page.
func (t *Tracker) BlamedRecords() []Record {
	return t.unexpired(func(r *Record) bool { return !r.Cleared && r.Crashes >= blameThreshold })
}

// unexpired returns copies of the unexpired records for which keep returns true.
func (t *Tracker) unexpired(keep func(*Record) bool) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var matching []Record
	t.records.each(func(r *Record) {
		if now.Before(r.Expires) && keep(r) {
			record := *r
			record.Endpoints = slices.Clone(r.Endpoints)
			matching = append(matching, record)
		}
	})
	return matching
}
