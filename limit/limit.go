// Package limit holds an entry's rate limits of workspaces, its retry budgets, and the delays before it hedges a call.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// sweepEvery is the minimum interval between two searches for idle records, idleAfter the time without use after which a
// record is deleted. A bucket refills within a minute, so a deleted record holds no state that matters.
const (
	sweepEvery = time.Minute
	idleAfter  = 5 * time.Minute
)

// buckets keeps one record per key. It deletes idle ones, so that memory is bounded by the recently active keys.
type buckets[T any] struct {
	mu    sync.Mutex
	items map[string]*bucket[T]
	max   int
	swept time.Time
}

type bucket[T any] struct {
	value T
	used  time.Time
}

func newBuckets[T any](maxItems int) *buckets[T] {
	return &buckets[T]{items: make(map[string]*bucket[T]), max: maxItems}
}

// get returns the record of key; create makes a new one.
func (b *buckets[T]) get(key string, now time.Time, create func() T) T {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sweep(now)
	item := b.items[key]
	if item == nil {
		item = &bucket[T]{value: create()}
		b.items[key] = item
	}
	item.used = now
	return item.value
}

// sweep deletes idle records, and arbitrary others if the map is full.
func (b *buckets[T]) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery && len(b.items) < b.max {
		return
	}
	b.swept = now
	room := b.max
	if len(b.items) >= b.max {
		room = b.max - b.max/4 // deletes many at once, so that the amortised cost per new key stays constant
	}
	for key, item := range b.items {
		if now.Sub(item.used) > idleAfter || len(b.items) > room {
			delete(b.items, key)
		}
	}
}

// DefaultMaxKeys is the default bound on the keys of one limiter. The design target is 11,000 workspaces.
const DefaultMaxKeys = 32_768

// RateLimiterOptions configures Rates.
type RateLimiterOptions struct {
	BurstDuration time.Duration // bucket size, as the time to fill an empty bucket; 0: 1 s
	MaxKeys       int           // 0: DefaultMaxKeys
}

// RateLimiter limits the requests and tokens per second of each workspace. Limits apply to the whole fleet and are divided
// equally between the live entries. It is safe for concurrent use.
type RateLimiter struct {
	opts RateLimiterOptions
	keys *buckets[*workspaceRate]
}

type workspaceRate struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewRateLimiter returns Rates without any workspace.
func NewRateLimiter(opts RateLimiterOptions) *RateLimiter {
	if opts.BurstDuration <= 0 {
		opts.BurstDuration = time.Second
	}
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	return &RateLimiter{opts: opts, keys: newBuckets[*workspaceRate](opts.MaxKeys)}
}

// WorkspaceLimits holds the limits of a workspace over the whole fleet, and the number of entries that share them.
type WorkspaceLimits struct {
	RequestsPerSecond float64 // over the fleet; 0: no limit
	TokensPerSecond   float64 // over the fleet; 0: no limit
	Entries           int     // live entries
}

// Allow takes one request of the given tokens from the workspace's buckets, or reports false and takes nothing.
func (r *RateLimiter) Allow(workspace string, s WorkspaceLimits, tokens int) bool {
	now := time.Now()
	w := r.keys.get(workspace, now, func() *workspaceRate { return r.newWorkspaceRate(s) })
	r.set(w.requests, now, s.RequestsPerSecond, s.Entries)
	r.set(w.tokens, now, s.TokensPerSecond, s.Entries)
	taken := w.requests.ReserveN(now, 1)
	if !taken.OK() || taken.DelayFrom(now) > 0 {
		taken.CancelAt(now)
		return false
	}
	if !allowTokens(w.tokens, now, tokens) {
		taken.CancelAt(now)
		return false
	}
	return true
}

// allowTokens admits a request if the bucket holds any tokens, and takes those of the request. A prompt larger than the
// bucket is therefore admitted; it leaves the bucket negative, which delays the requests after it.
func allowTokens(l *rate.Limiter, now time.Time, tokens int) bool {
	if l.Limit() == rate.Inf {
		return true
	}
	if l.TokensAt(now) <= 0 {
		return false
	}
	takeTokens(l, now, tokens)
	return true
}

// ChargeTokens takes the tokens of an answer, known only after the call, from the workspace's bucket.
func (r *RateLimiter) ChargeTokens(workspace string, tokens int) {
	now := time.Now()
	w := r.keys.get(workspace, now, func() *workspaceRate { return r.newWorkspaceRate(WorkspaceLimits{}) })
	if w.tokens.Limit() != rate.Inf {
		takeTokens(w.tokens, now, tokens)
	}
}

// newWorkspaceRate returns full buckets of the final size. A limiter that is enlarged after its creation would start
// nearly empty and refuse the first burst of a workspace.
func (r *RateLimiter) newWorkspaceRate(s WorkspaceLimits) *workspaceRate {
	return &workspaceRate{
		requests: rate.NewLimiter(r.bucket(s.RequestsPerSecond, s.Entries)),
		tokens:   rate.NewLimiter(r.bucket(s.TokensPerSecond, s.Entries)),
	}
}

// bucket returns the rate and the size of this entry's bucket.
func (r *RateLimiter) bucket(perSecond float64, entries int) (rate.Limit, int) {
	if perSecond <= 0 {
		return rate.Inf, 1
	}
	limit := rate.Limit(perSecond / float64(max(entries, 1)))
	return limit, max(int(float64(limit)*r.opts.BurstDuration.Seconds()), 1)
}

// takeTokens takes tokens in parts of at most the bucket size; it may leave the bucket negative.
func takeTokens(l *rate.Limiter, now time.Time, tokens int) {
	for tokens > 0 {
		part := min(tokens, l.Burst())
		l.ReserveN(now, part)
		tokens -= part
	}
}

// set updates a limiter after a change of the limit or of the number of entries.
func (r *RateLimiter) set(l *rate.Limiter, now time.Time, perSecond float64, entries int) {
	limit, burst := r.bucket(perSecond, entries)
	if l.Limit() == limit && l.Burst() == burst {
		return
	}
	l.SetLimitAt(now, limit)
	l.SetBurstAt(now, burst)
}
