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

// sweepInterval bounds how often finished streams are looked through, because a busy engine takes 100 steps a second.
const sweepInterval = time.Second

// task is one stream or segment on an engine.
type task struct {
	id        string
	segment   bool
	version   endpoint.Version
	priority  endpoint.Priority
	prompt    string
	imported  []endpoint.KVHandle
	first     int // index of the first token to generate
	max       int // tokens of the whole answer
	ready     time.Time
	promptSum uint64 // hash of the whole prompt, earlier segments included
	exported  []byte // segment: hash state for those that import it
	sums      []uint64
	length    int // prompt tokens of this engine's part
	cached    int
	left      int // tokens to prefill
	touched   bool
	memory    int // tokens reserved
	tokens    []endpoint.Token
	done      bool
	err       error
	ended     time.Time
	changed   chan struct{} // closed at the next token and at the end
}

// Engine emulates a model engine. It implements endpoint.Engine. KV memory for the prompt and the longest answer is
// taken when work is accepted and returned when it ends; segments keep the memory of their prompt until Cancel.
type Engine struct {
	p    *Platform
	name string
	o    EngineOptions
	stop chan struct{}
	wake chan struct{}
	ends sync.WaitGroup

	exportMu sync.Mutex // a leaf lock, because engines look into each other's exports
	exports  map[string]*task

	mu          sync.Mutex
	incarnation int
	downUntil   time.Time
	tasks       map[string]*task
	queue       []*task // unfinished tasks in order of arrival
	used        int     // tokens
	cache       *prefixCache
	events      []timedEvent
	eventSeq    int64
	loaded      []endpoint.Version
	loading     map[endpoint.Version]time.Time // loaded once this time has come
	fence       int64
	role        string
	report      endpoint.LoadReport
	nextSweep   time.Time // of forgetFinished
	closed      bool
}

type timedEvent struct {
	at    time.Time
	event endpoint.CacheEvent
}

func newEngine(p *Platform, name string, o EngineOptions) *Engine {
	o.Addr = orDefault(o.Addr, name)
	e := &Engine{p: p, name: name, o: o, stop: make(chan struct{}), wake: make(chan struct{}, 1),
		exports: make(map[string]*task)}
	e.reset()
	e.ends.Add(1)
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
	e.ends.Wait()
}

// Crash ends everything that runs on the engine with endpoint.ErrDown, loses its memory and loaded weights, and
// restarts it with a new incarnation after the restart time.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
}

func (e *Engine) crash() {
	e.failAll()
	e.reset()
	e.downUntil = time.Now().Add(e.p.opts.scaled(e.o.RestartTime))
}

func (e *Engine) failAll() {
	for _, t := range e.queue {
		e.finish(t, endpoint.ErrDown)
	}
}

// reset gives the engine the state of a fresh start.
func (e *Engine) reset() {
	e.incarnation++
	e.exportMu.Lock()
	clear(e.exports)
	e.exportMu.Unlock()
	e.tasks = make(map[string]*task)
	e.queue = nil
	e.used = 0
	e.events = nil
	e.eventSeq = 0
	e.cache = newPrefixCache(e.emit)
	e.loaded = nil
	e.loading = make(map[endpoint.Version]time.Time)
	e.fence = 0
	e.role = ""
	e.report = endpoint.LoadReport{}
}

// enter returns ErrDown while the engine does not answer. The caller holds the lock.
func (e *Engine) enter(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	if e.closed || time.Now().Before(e.downUntil) || slices.Contains(e.p.faults.State().EngineDown, e.name) {
		return endpoint.ErrDown
	}
	e.settleLoads()
	return nil
}

// settleLoads moves weights whose load time has passed to the loaded ones.
func (e *Engine) settleLoads() {
	now := time.Now()
	for _, v := range slices.Collect(maps.Keys(e.loading)) {
		if !now.Before(e.loading[v]) {
			delete(e.loading, v)
			e.loaded = append(e.loaded, v)
		}
	}
}

// Generate implements endpoint.Engine. MaxTokens bounds the whole answer, Generated included. A stream ID that is
// known already attaches to the existing stream.
func (e *Engine) Generate(ctx context.Context, g endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	longest := min(orDefault(g.MaxTokens, e.o.MaxTokens), e.o.MaxTokens)
	t := &task{id: g.StreamID, version: g.Version, priority: g.Priority, prompt: g.Prompt, imported: g.Imported,
		first: len(g.Generated), max: max(longest, len(g.Generated)), changed: make(chan struct{})}
	t.length = endpoint.EstimateTokens(g.Prompt)
	t.left = t.length + len(g.Generated)
	t.memory = t.length + t.max
	e.mu.Lock()
	defer e.mu.Unlock()
	t, err := e.accept(ctx, t)
	if err != nil {
		return nil, err
	}
	return &tokenStream{ctx: ctx, engine: e, task: t, next: t.first}, nil
}

// accept admits t, or returns the task that has its ID already.
func (e *Engine) accept(ctx context.Context, t *task) (*task, error) {
	if err := e.enter(ctx); err != nil {
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
	t.memory += e.window(t)
	if e.used+t.memory > e.o.KVCapacity {
		return nil, endpoint.ErrNoMemory
	}
	e.used += t.memory
	e.cache.shrink(e.o.KVCapacity - e.used)
	t.ready = time.Now().Add(e.p.opts.scaled(e.importTime(t)))
	e.tasks[t.id] = t
	e.queue = append(e.queue, t)
	e.signal()
	return t, nil
}

// hashPrompt continues the hash of the prompt after the imported segments.
func (e *Engine) hashPrompt(t *task) error {
	digest := xxhash.New()
	if n := len(t.imported); n > 0 {
		if !e.held(t) {
			return endpoint.ErrUnknownStream
		}
		last := e.p.export(t.imported[n-1])
		if last == nil {
			return endpoint.ErrUnknownStream
		}
		if err := digest.UnmarshalBinary(last.exported); err != nil {
			return errors.Wrap(err, "hash state of a segment")
		}
	} else {
		t.sums = prefixSums(t.prompt)
	}
	_, _ = digest.WriteString(t.prompt) // a hash never fails to write
	t.promptSum = digest.Sum64()
	state, err := digest.MarshalBinary()
	t.exported = state
	return errors.Wrap(err, "hash state")
}

// window returns the memory for imported KV, which passes through in bounded parts.
func (e *Engine) window(t *task) int { return min(importedTokens(t), e.o.ImportWindow) }

func (e *Engine) importTime(t *task) time.Duration {
	return time.Duration(float64(importedTokens(t)) / e.o.ImportRate * float64(time.Second))
}

func importedTokens(t *task) int {
	n := 0
	for _, h := range t.imported {
		n += h.Tokens
	}
	return n
}

// held reports whether all imported KV is still held by its engines.
func (e *Engine) held(t *task) bool {
	for _, h := range t.imported {
		if h.Version != t.version || e.p.export(h) == nil {
			return false
		}
	}
	return true
}

// export returns the finished segment that a handle names, or nil.
func (p *Platform) export(h endpoint.KVHandle) *task {
	holder := p.engineByAddr(h.Engine)
	if holder == nil {
		return nil
	}
	holder.exportMu.Lock()
	defer holder.exportMu.Unlock()
	return holder.exports[h.ID]
}

func (p *Platform) engineByAddr(addr string) *Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		if e.o.Addr == addr {
			return e
		}
	}
	return nil
}

// Prefill implements endpoint.Engine. A context that ends leaves the segment running until Cancel.
func (e *Engine) Prefill(ctx context.Context, s endpoint.PrefillRequest) (endpoint.KVHandle, error) {
	t := &task{id: s.ID, segment: true, version: s.Version, priority: s.Priority, prompt: s.Prompt,
		imported: s.Imported, changed: make(chan struct{})}
	t.length = endpoint.EstimateTokens(s.Prompt)
	t.left = t.length
	t.memory = t.length
	e.mu.Lock()
	t, err := e.accept(ctx, t)
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
			return endpoint.KVHandle{Engine: e.o.Addr, ID: t.id, Tokens: t.length, Version: t.version}, nil
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
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	e.forgetFinished()
	t := e.tasks[streamID]
	if t == nil || t.segment || t.err != nil {
		return nil, endpoint.ErrUnknownStream
	}
	return &tokenStream{ctx: ctx, engine: e, task: t, next: max(from, t.first)}, nil
}

// Cancel implements endpoint.Engine.
func (e *Engine) Cancel(ctx context.Context, id string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(ctx); err != nil {
		return err
	}
	t := e.tasks[id]
	if t == nil {
		return nil
	}
	e.unexport(t)
	if t.done {
		e.release(t)
	} else {
		e.finish(t, endpoint.ErrUnknownStream)
	}
	delete(e.tasks, id)
	return nil
}

func (e *Engine) unexport(t *task) {
	e.exportMu.Lock()
	defer e.exportMu.Unlock()
	if e.exports[t.id] == t {
		delete(e.exports, t.id)
	}
}

// finish ends t; a nil error means that it is complete. Segments that complete keep their own memory.
func (e *Engine) finish(t *task, err error) {
	t.done, t.err, t.ended = true, err, time.Now()
	e.queue = slices.DeleteFunc(slices.Clone(e.queue), func(q *task) bool { return q == t })
	if t.segment && err == nil {
		e.used -= t.memory - t.length
		t.memory = t.length
		e.exportMu.Lock()
		e.exports[t.id] = t
		e.exportMu.Unlock()
	} else {
		e.release(t)
	}
	t.prompt = ""
	e.notify(t)
}

func (e *Engine) release(t *task) {
	e.used -= t.memory
	t.memory = 0
}

func (e *Engine) notify(t *task) {
	close(t.changed)
	t.changed = make(chan struct{})
}

// forgetFinished drops streams that ended too long ago to be resumed.
func (e *Engine) forgetFinished() {
	now := time.Now()
	if now.Before(e.nextSweep) {
		return
	}
	e.nextSweep = now.Add(e.p.opts.scaled(sweepInterval))
	limit := now.Add(-e.p.opts.scaled(e.o.KeepFinished))
	for id, t := range e.tasks {
		if t.done && t.memory == 0 && t.ended.Before(limit) {
			delete(e.tasks, id)
		}
	}
}

// ApplyOrder implements endpoint.Engine. Loads finish after the load time; a version whose ticket is missing, spent or of
// another weight is not loaded, and the order then fails with ErrNotLoaded after the rest has taken effect.
func (e *Engine) ApplyOrder(ctx context.Context, o endpoint.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(ctx); err != nil {
		return err
	}
	if e.checksFencing() && o.FencingToken < e.fence {
		return endpoint.ErrFenced
	}
	e.fence = o.FencingToken
	e.role = o.Role
	e.unload(o.Versions)
	return e.load(o)
}

func (e *Engine) checksFencing() bool { return !e.p.faults.State().IgnoreFencing && !e.o.IgnoreFencing }

// unload drops all versions but those to keep, with their cached prefixes and exported KV. Running streams go on.
func (e *Engine) unload(keep []endpoint.Version) {
	e.loaded = slices.DeleteFunc(e.loaded, func(v endpoint.Version) bool { return !slices.Contains(keep, v) })
	maps.DeleteFunc(e.loading, func(v endpoint.Version, _ time.Time) bool { return !slices.Contains(keep, v) })
	e.cache.drop(func(v endpoint.Version) bool { return slices.Contains(keep, v) })
	for id, t := range e.tasks {
		if t.segment && t.done && !slices.Contains(keep, t.version) {
			e.unexport(t)
			e.release(t)
			delete(e.tasks, id)
		}
	}
}

func (e *Engine) load(o endpoint.Order) error {
	var missing []string
	for _, v := range o.Versions {
		if _, loading := e.loading[v]; loading || slices.Contains(e.loaded, v) {
			continue
		}
		name := v.WeightName()
		if !e.p.weights.redeem(name, o.Tickets[name]) {
			missing = append(missing, name)
			continue
		}
		e.loading[v] = time.Now().Add(e.p.opts.scaled(e.o.LoadTime))
	}
	if len(missing) > 0 {
		return errors.Wrapf(endpoint.ErrNotLoaded, "no ticket for %s", strings.Join(missing, ", "))
	}
	return nil
}

// Load makes the engine hold versions at once, without tickets. It is for tests and load experiments.
func (e *Engine) Load(versions ...endpoint.Version) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loaded = slices.Clone(versions)
}

// Report implements endpoint.Engine. It returns the last report until that is older than the lag.
func (e *Engine) Report(ctx context.Context) (endpoint.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(ctx); err != nil {
		return endpoint.LoadReport{}, err
	}
	lag := milliseconds(e.p.faults.State().LoadLagMS)
	if e.report.TakenAt.IsZero() || time.Since(e.report.TakenAt) >= lag {
		e.report = e.takeReport()
	}
	return e.report, nil
}

func (e *Engine) takeReport() endpoint.LoadReport {
	r := endpoint.LoadReport{TakenAt: time.Now(), KVCapacityTokens: e.o.KVCapacity, KVUsedTokens: e.used, RunningIDs: []string{},
		Loaded: slices.Clone(e.loaded), PrefillTokensPerSecond: e.effectivePrefillRate(), ChecksFencing: e.checksFencing(),
		Incarnation: fmt.Sprintf("%s-%d", e.name, e.incarnation)}
	for _, t := range e.queue {
		r.QueuedPrefillTokens += t.left
	}
	for id, t := range e.tasks {
		if t.memory > 0 {
			r.RunningIDs = append(r.RunningIDs, id)
		}
	}
	slices.Sort(r.RunningIDs)
	return r
}

// effectivePrefillRate is the rate of an idle engine with the fixed time of each step included, in tokens per second.
func (e *Engine) effectivePrefillRate() float64 {
	chunk := float64(e.o.ChunkTokens)
	perStep := e.o.StepTime.Seconds() + chunk/e.o.PrefillRate
	return chunk / perStep * e.p.opts.TimeScale
}

// CacheEvents implements endpoint.Engine.
func (e *Engine) CacheEvents(ctx context.Context, seq int64) ([]endpoint.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.enter(ctx); err != nil {
		return nil, err
	}
	visible := time.Now().Add(-e.p.opts.scaled(e.o.CacheEventLag))
	events := []endpoint.CacheEvent{}
	for _, timed := range e.events {
		if timed.event.Seq > seq && !timed.at.After(visible) {
			events = append(events, timed.event)
		}
	}
	return events, nil
}

func (e *Engine) emit(b block, evicted bool) {
	e.eventSeq++
	if e.p.faults.State().DropCacheEvents {
		return
	}
	event := endpoint.CacheEvent{Seq: e.eventSeq, Version: b.key.version, PrefixHash: b.key.prefix, Tokens: b.tokens, Evicted: evicted}
	e.events = append(e.events, timedEvent{at: time.Now(), event: event})
	if len(e.events) > maxCacheEvents {
		e.events = slices.Delete(e.events, 0, len(e.events)-maxCacheEvents)
	}
}

// KVUsed returns the KV memory in use now, in tokens, without the lag of Report.
func (e *Engine) KVUsed() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.used
}
