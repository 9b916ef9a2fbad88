package standin

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// Defaults of EngineOptions.
const (
	DefaultKVCapacity    = 400_000
	DefaultPrefillRate   = 25_000
	DefaultStepTime      = 10 * time.Millisecond
	DefaultChunkTokens   = 512
	DefaultMaxBatch      = 256
	DefaultMaxTokens     = 256
	DefaultImportRate    = 1_000_000
	DefaultImportWindow  = 4096
	DefaultLoadTime      = time.Second
	DefaultRestartTime   = 2 * time.Second
	DefaultLoadLag       = 200 * time.Millisecond
	DefaultCacheEventLag = 500 * time.Millisecond
	DefaultKeepFinished  = 30 * time.Second
)

// sweepInterval is the minimum time between scans for finished streams to drop; a busy engine executes 100 steps a second,
// and a scan at each would be wasteful.
const sweepInterval = time.Second

// task is one stream or segment on an engine.
type task struct {
	id               string
	segment          bool
	version          endpoint.Version
	priority         endpoint.Priority
	prompt           string
	imported         []endpoint.KVHandle
	firstIndex       int       // index of the first token to generate
	maxTokens        int       // length limit of the whole answer
	importDone       time.Time // when all imported KV is read
	promptHash       uint64    // hash of the whole prompt, including imported segments
	hashState        []byte    // serialized hash after this part; tasks that import the segment continue it
	prefixHashes     []uint64
	promptTokens     int // length of prompt, without imported segments
	cachedTokens     int
	remainingPrefill int  // tokens
	started          bool // whether prefill has started
	reservedTokens   int  // KV memory
	tokens           []endpoint.Token
	done             bool
	err              error
	endedAt          time.Time
	changed          chan struct{} // closed and replaced at each token and at the end
}

// Engine emulates a model engine. It implements endpoint.Engine. KV memory for the prompt and the maximum answer length is
// reserved when work is admitted and freed when it ends; a finished segment keeps the memory of its prompt until Cancel.
type Engine struct {
	platform *Platform
	name     string
	opts     EngineOptions
	stop     chan struct{}
	wake     chan struct{}
	loop     sync.WaitGroup // the goroutine of run

	exportMu         sync.Mutex // leaf lock, since engines read each other's exported segments
	exportedSegments map[string]*task

	mu           sync.Mutex
	incarnation  int
	downUntil    time.Time
	tasks        map[string]*task
	queue        []*task // unfinished tasks; planStep sorts them by priority, then arrival
	usedTokens   int     // KV memory in tokens, without the cache
	cache        *prefixCache
	cacheEvents  []timedEvent
	lastEventSeq int64
	loaded       []endpoint.Version
	loading      map[endpoint.Version]time.Time // when each version finishes loading
	fencingToken int64
	role         string
	lastReport   endpoint.LoadReport
	nextSweep    time.Time // earliest time of the next scan by dropFinished
	closed       bool
}

type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newEngine(p *Platform, name string, opts EngineOptions) *Engine {
	opts.Addr = orDefault(opts.Addr, name)
	e := &Engine{platform: p, name: name, opts: opts, stop: make(chan struct{}), wake: make(chan struct{}, 1),
		exportedSegments: make(map[string]*task)}
	e.reset()
	e.loop.Add(1)
	go e.run()
	return e
}

// Name returns the endpoint's name.
func (e *Engine) Name() string { return e.name }

// Close stops the engine; its streams end with endpoint.ErrDown.
func (e *Engine) Close() {
	e.mu.Lock()
	if !e.closed {
		e.closed = true
		close(e.stop)
		e.failAll()
	}
	e.mu.Unlock()
	e.loop.Wait()
}

// Crash ends all streams and segments with endpoint.ErrDown, discards KV memory and loaded weights, and restarts the
// engine with a new incarnation after the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.failAll()
	e.reset()
	e.downUntil = time.Now().Add(e.platform.opts.scaled(e.opts.RestartTime))
}

func (e *Engine) failAll() {
	for _, t := range e.queue {
		e.finish(t, endpoint.ErrDown)
	}
}

// reset sets the state of a newly started engine with the next incarnation.
func (e *Engine) reset() {
	e.incarnation++
	e.exportMu.Lock()
	clear(e.exportedSegments)
	e.exportMu.Unlock()
	e.tasks = make(map[string]*task)
	e.queue = nil
	e.usedTokens = 0
	e.cacheEvents = nil
	e.lastEventSeq = 0
	e.cache = newPrefixCache(e.recordCacheEvent)
	e.loaded = nil
	e.loading = make(map[endpoint.Version]time.Time)
	e.fencingToken = 0
	e.role = ""
	e.lastReport = endpoint.LoadReport{}
}

// admitCall returns ErrDown while the engine is closed, restarting or down. The caller holds e.mu.
func (e *Engine) admitCall(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if e.closed || time.Now().Before(e.downUntil) || slices.Contains(e.platform.faults.State().EngineDown, e.name) {
		return endpoint.ErrDown
	}
	e.completeLoads()
	return nil
}

// completeLoads marks versions whose load time has passed as loaded.
func (e *Engine) completeLoads() {
	now := time.Now()
	for _, v := range slices.Collect(maps.Keys(e.loading)) {
		if !now.Before(e.loading[v]) {
			delete(e.loading, v)
			e.loaded = append(e.loaded, v)
		}
	}
}

// Generate implements endpoint.Engine. MaxTokens bounds the whole answer, including Generated. A call with the ID of an
// existing stream attaches to that stream.
func (e *Engine) Generate(ctx context.Context, req endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	maxTokens := min(orDefault(req.MaxTokens, e.opts.MaxTokens), e.opts.MaxTokens)
	t := &task{id: req.StreamID, version: req.Version, priority: req.Priority, prompt: req.Prompt, imported: req.Imported,
		firstIndex: len(req.Generated), maxTokens: max(maxTokens, len(req.Generated)), changed: make(chan struct{})}
	t.promptTokens = endpoint.EstimateTokens(req.Prompt)
	t.remainingPrefill = t.promptTokens + len(req.Generated)
	t.reservedTokens = t.promptTokens + t.maxTokens
	e.mu.Lock()
	defer e.mu.Unlock()
	t, err := e.admit(ctx, t)
	if err != nil {
		return nil, err
	}
	return &tokenStream{ctx: ctx, engine: e, task: t, next: t.firstIndex}, nil
}

// admit reserves memory for t and queues it, or returns the existing task with the same ID.
func (e *Engine) admit(ctx context.Context, t *task) (*task, error) {
	if err := e.admitCall(ctx); err != nil {
		return nil, err
	}
	if old := e.tasks[t.id]; old != nil && old.err == nil && old.segment == t.segment {
		return old, nil
	}
	if !slices.Contains(e.loaded, t.version) {
		return nil, endpoint.ErrNotLoaded
	}
	if err := e.hashPrompt(t); err != nil {
		return nil, err
	}
	t.reservedTokens += e.importWindowTokens(t)
	if e.usedTokens+t.reservedTokens > e.opts.KVCapacity {
		return nil, endpoint.ErrNoMemory
	}
	e.usedTokens += t.reservedTokens
	e.cache.shrink(e.opts.KVCapacity - e.usedTokens)
	t.importDone = time.Now().Add(e.platform.opts.scaled(e.importTime(t)))
	e.tasks[t.id] = t
	e.queue = append(e.queue, t)
	e.wakeUp()
	return t, nil
}

// hashPrompt computes the prompt hash of t, continuing from the hash state of the last imported segment.
func (e *Engine) hashPrompt(t *task) error {
	digest := xxhash.New()
	if n := len(t.imported); n > 0 {
		if !e.importsHeld(t) {
			return endpoint.ErrUnknownStream
		}
		lastSegment := e.platform.exportedSegment(t.imported[n-1])
		if lastSegment == nil {
			return endpoint.ErrUnknownStream
		}
		if err := digest.UnmarshalBinary(lastSegment.hashState); err != nil {
			return errors.Wrap(err, "restore the hash state of a segment")
		}
	} else {
		t.prefixHashes = prefixHashes(t.prompt)
	}
	_, _ = digest.WriteString(t.prompt) // writing to a hash never fails
	t.promptHash = digest.Sum64()
	state, err := digest.MarshalBinary()
	t.hashState = state
	return errors.Wrap(err, "serialize the hash state")
}

// importWindowTokens returns the memory reserved for imported KV, of which at most a window is held at a time.
func (e *Engine) importWindowTokens(t *task) int { return min(importedTokens(t), e.opts.ImportWindow) }

func (e *Engine) importTime(t *task) time.Duration {
	return time.Duration(float64(importedTokens(t)) / e.opts.ImportRate * float64(time.Second))
}

func importedTokens(t *task) int {
	n := 0
	for _, h := range t.imported {
		n += h.Tokens
	}
	return n
}

// importsHeld reports whether all imported KV has the version of t and is still held by the exporting engines.
func (e *Engine) importsHeld(t *task) bool {
	for _, h := range t.imported {
		if h.Version != t.version || e.platform.exportedSegment(h) == nil {
			return false
		}
	}
	return true
}

// exportedSegment returns the finished segment for a handle, or nil if its engine no longer holds it.
func (p *Platform) exportedSegment(h endpoint.KVHandle) *task {
	holder := p.engineByAddr(h.Engine)
	if holder == nil {
		return nil
	}
	holder.exportMu.Lock()
	defer holder.exportMu.Unlock()
	return holder.exportedSegments[h.ID]
}

func (p *Platform) engineByAddr(addr string) *Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.opts.Addr == addr {
			return e
		}
	}
	return nil
}

// Prefill implements endpoint.Engine. The segment keeps running after ctx ends, until Cancel.
func (e *Engine) Prefill(ctx context.Context, req endpoint.PrefillRequest) (endpoint.KVHandle, error) {
	t := &task{id: req.ID, segment: true, version: req.Version, priority: req.Priority, prompt: req.Prompt,
		imported: req.Imported, changed: make(chan struct{})}
	t.promptTokens = endpoint.EstimateTokens(req.Prompt)
	t.remainingPrefill = t.promptTokens
	t.reservedTokens = t.promptTokens
	e.mu.Lock()
	t, err := e.admit(ctx, t)
	e.mu.Unlock()
	if err != nil {
		return endpoint.KVHandle{}, err
	}
	return e.awaitSegment(ctx, t)
}

func (e *Engine) awaitSegment(ctx context.Context, t *task) (endpoint.KVHandle, error) {
	for {
		e.mu.Lock()
		done, err, changed := t.done, t.err, t.changed
		e.mu.Unlock()
		if err != nil {
			return endpoint.KVHandle{}, err
		}
		if done {
			return endpoint.KVHandle{Engine: e.opts.Addr, ID: t.id, Tokens: t.promptTokens, Version: t.version}, nil
		}
		select {
		case <-ctx.Done():
			return endpoint.KVHandle{}, ctx.Err()
		case <-changed:
		}
	}
}

// Resume implements endpoint.Engine.
func (e *Engine) Resume(ctx context.Context, streamID string, from int) (endpoint.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitCall(ctx); err != nil {
		return nil, err
	}
	e.dropFinished()
	t := e.tasks[streamID]
	if t == nil || t.segment || t.err != nil {
		return nil, endpoint.ErrUnknownStream
	}
	return &tokenStream{ctx: ctx, engine: e, task: t, next: max(from, t.firstIndex)}, nil
}

// Cancel implements endpoint.Engine.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitCall(ctx); err != nil {
		return err
	}
	t := e.tasks[id]
	if t == nil {
		return nil
	}
	e.removeExport(t)
	if t.done {
		e.releaseMemory(t)
	} else {
		e.finish(t, endpoint.ErrUnknownStream)
	}
	delete(e.tasks, id)
	return nil
}

func (e *Engine) removeExport(t *task) {
	e.exportMu.Lock()
	defer e.exportMu.Unlock()
	if e.exportedSegments[t.id] == t {
		delete(e.exportedSegments, t.id)
	}
}

// finish ends t, successfully if err is nil. A successful segment is exported and keeps the memory of its prompt; all other
// memory is freed.
func (e *Engine) finish(t *task, err error) {
	t.done, t.err, t.endedAt = true, err, time.Now()
	e.queue = slices.DeleteFunc(slices.Clone(e.queue), func(q *task) bool { return q == t })
	if t.segment && err == nil {
		e.usedTokens -= t.reservedTokens - t.promptTokens
		t.reservedTokens = t.promptTokens
		e.exportMu.Lock()
		e.exportedSegments[t.id] = t
		e.exportMu.Unlock()
	} else {
		e.releaseMemory(t)
	}
	t.prompt = ""
	e.notify(t)
}

func (e *Engine) releaseMemory(t *task) {
	e.usedTokens -= t.reservedTokens
	t.reservedTokens = 0
}

func (e *Engine) notify(t *task) {
	close(t.changed)
	t.changed = make(chan struct{})
}

// dropFinished drops streams that ended longer than KeepFinished ago. They can no longer be resumed.
func (e *Engine) dropFinished() {
	now := time.Now()
	if now.Before(e.nextSweep) {
		return
	}
	e.nextSweep = now.Add(e.platform.opts.scaled(sweepInterval))
	limit := now.Add(-e.platform.opts.scaled(e.opts.KeepFinished))
	for id, t := range e.tasks {
		if t.done && t.reservedTokens == 0 && t.endedAt.Before(limit) {
			delete(e.tasks, id)
		}
	}
}

// ApplyOrder implements endpoint.Engine. Loads finish after the load time. A version whose ticket is missing, already
// redeemed or issued for other weights is not loaded; the rest of the order takes effect, and ErrNotLoaded is returned.
func (e *Engine) ApplyOrder(ctx context.Context, order endpoint.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitCall(ctx); err != nil {
		return err
	}
	if e.checksFencing() && order.FencingToken < e.fencingToken {
		return endpoint.ErrFenced
	}
	e.fencingToken = order.FencingToken
	e.role = order.Role
	e.unload(order.Versions)
	return e.load(order)
}

func (e *Engine) checksFencing() bool {
	return !e.platform.faults.State().IgnoreFencing && !e.opts.IgnoreFencing
}

// unload drops all versions except those in keep, with their cached prefixes and exported segments. Running streams
// continue.
func (e *Engine) unload(keep []endpoint.Version) {
	e.loaded = slices.DeleteFunc(e.loaded, func(v endpoint.Version) bool { return !slices.Contains(keep, v) })
	maps.DeleteFunc(e.loading, func(v endpoint.Version, _ time.Time) bool { return !slices.Contains(keep, v) })
	e.cache.dropVersions(func(v endpoint.Version) bool { return slices.Contains(keep, v) })
	for id, t := range e.tasks {
		if t.segment && t.done && !slices.Contains(keep, t.version) {
			e.removeExport(t)
			e.releaseMemory(t)
			delete(e.tasks, id)
		}
	}
}

func (e *Engine) load(order endpoint.Order) error {
	var missing []string
	for _, v := range order.Versions {
		if _, loading := e.loading[v]; loading || slices.Contains(e.loaded, v) {
			continue
		}
		name := v.WeightName()
		if !e.platform.weights.redeem(name, order.Tickets[name]) {
			missing = append(missing, name)
			continue
		}
		e.loading[v] = time.Now().Add(e.platform.opts.scaled(e.opts.LoadTime))
	}
	if len(missing) > 0 {
		return errors.Wrapf(endpoint.ErrNotLoaded, "no ticket for %s", strings.Join(missing, ", "))
	}
	return nil
}

// Load replaces the loaded versions immediately, without tickets. It is for tests and load experiments.
func (e *Engine) Load(versions ...endpoint.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = slices.Clone(versions)
}

// Report implements endpoint.Engine. It returns the previous report until that has reached the configured age.
func (e *Engine) Report(ctx context.Context) (endpoint.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitCall(ctx); err != nil {
		return endpoint.LoadReport{}, err
	}
	lag := milliseconds(e.platform.faults.State().LoadLagMS)
	if e.lastReport.TakenAt.IsZero() || time.Since(e.lastReport.TakenAt) >= lag {
		e.lastReport = e.newReport()
	}
	return e.lastReport, nil
}

func (e *Engine) newReport() endpoint.LoadReport {
	r := endpoint.LoadReport{TakenAt: time.Now(), KVCapacityTokens: e.opts.KVCapacity, KVUsedTokens: e.usedTokens,
		RunningIDs: []string{}, Loaded: slices.Clone(e.loaded), PrefillTokensPerSecond: e.effectivePrefillRate(), ChecksFencing: e.checksFencing(),
		Incarnation: fmt.Sprintf("%s-%d", e.name, e.incarnation)}
	for _, t := range e.queue {
		r.QueuedPrefillTokens += t.remainingPrefill
	}
	for id, t := range e.tasks {
		if t.reservedTokens > 0 {
			r.RunningIDs = append(r.RunningIDs, id)
		}
	}
	slices.Sort(r.RunningIDs)
	return r
}

// effectivePrefillRate returns the prefill rate of an idle engine in tokens per second, including the fixed time of each
// step.
func (e *Engine) effectivePrefillRate() float64 {
	chunk := float64(e.opts.ChunkTokens)
	stepSeconds := e.opts.StepTime.Seconds() + chunk/e.opts.PrefillRate
	return chunk / stepSeconds * e.platform.opts.TimeScale
}

// CacheEvents implements endpoint.Engine.
func (e *Engine) CacheEvents(ctx context.Context, seq int64) ([]endpoint.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.admitCall(ctx); err != nil {
		return nil, err
	}
	visible := time.Now().Add(-e.platform.opts.scaled(e.opts.CacheEventLag))
	events := []endpoint.CacheEvent{}
	for _, timed := range e.cacheEvents {
		if timed.event.Seq > seq && !timed.at.After(visible) {
			events = append(events, timed.event)
		}
	}
	return events, nil
}

func (e *Engine) recordCacheEvent(b block, evicted bool) {
	e.lastEventSeq++
	if e.platform.faults.State().DropCacheEvents {
		return
	}
	event := endpoint.CacheEvent{Seq: e.lastEventSeq, Version: b.key.version, PrefixHash: b.key.prefixHash,
		Tokens: b.tokens, Evicted: evicted}
	e.cacheEvents = append(e.cacheEvents, timedEvent{at: time.Now(), event: event})
	if len(e.cacheEvents) > maxCacheEvents {
		e.cacheEvents = slices.Delete(e.cacheEvents, 0, len(e.cacheEvents)-maxCacheEvents)
	}
}

// KVUsed returns the current KV memory in use, in tokens. Unlike Report, it never lags.
func (e *Engine) KVUsed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.usedTokens
}
