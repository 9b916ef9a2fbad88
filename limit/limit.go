// Package limit holds per-workspace rate limits, retry budgets and the hedging trigger of an entry.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// sweepEvery bounds how often idle records are searched; idleAfter is the age at which they are dropped. A full bucket
// refills within a minute, so a dropped record loses no state that matters.
const (
	sweepEvery = time.Minute
	idleAfter  = 5 * time.Minute
)

// buckets keeps one record per key and drops idle ones, so that memory is bounded by the recently active keys.
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

// get returns the record of key, made by create when it is new.
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

func (b *buckets[T]) sweep(now time.Time) {
	if now.Sub(b.swept) < sweepEvery && len(b.items) < b.max {
		return
	}
	b.swept = now
	room := b.max
	if len(b.items) >= b.max {
		room = b.max - b.max/4 // frees many at once, so that the cost per new key stays constant
	}
	for key, item := range b.items {
		if now.Sub(item.used) > idleAfter || len(b.items) > room {
			delete(b.items, key)
		}
	}
}

// DefaultMaxKeys bounds the records of one limiter: the target is 11,000 workspaces.
const DefaultMaxKeys = 32_768

// RateLimiterOptions configures Rates.
type RateLimiterOptions struct {
	BurstDuration time.Duration // bucket size as time at the full rate; 0: 1 s
	MaxKeys       int           // 0: DefaultMaxKeys
}

// RateLimiter holds the request and token rates of the workspaces, divided equally between the live entries.
type RateLimiter struct {
	opts RateLimiterOptions
	keys *buckets[*workspaceRate]
}

type workspaceRate struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewRateLimiter returns empty Rates.
func NewRateLimiter(opts RateLimiterOptions) *RateLimiter {
	if opts.BurstDuration <= 0 {
		opts.BurstDuration = time.Second
	}
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	return &RateLimiter{opts: opts, keys: newBuckets[*workspaceRate](opts.MaxKeys)}
}

// WorkspaceLimits is the part of a workspace's limits that this entry enforces.
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

// allowTokens admits a request while the bucket is positive and then takes its tokens, so that a prompt larger than the
// bucket passes and is paid for by the requests after it.
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

// ChargeTokens takes tokens of an answer from the workspace's bucket after the fact.
func (r *RateLimiter) ChargeTokens(workspace string, tokens int) {
	now := time.Now()
	w := r.keys.get(workspace, now, func() *workspaceRate { return r.newWorkspaceRate(WorkspaceLimits{}) })
	if w.tokens.Limit() != rate.Inf {
		takeTokens(w.tokens, now, tokens)
	}
}

// newWorkspaceRate returns full buckets. A limiter that is made small and enlarged later would start nearly empty and
// refuse the first burst of a workspace.
func (r *RateLimiter) newWorkspaceRate(s WorkspaceLimits) *workspaceRate {
	return &workspaceRate{
		requests: rate.NewLimiter(r.bucket(s.RequestsPerSecond, s.Entries)),
		tokens:   rate.NewLimiter(r.bucket(s.TokensPerSecond, s.Entries)),
	}
}

// bucket returns the limit and the size of the bucket of one entry.
func (r *RateLimiter) bucket(perSecond float64, entries int) (rate.Limit, int) {
	if perSecond <= 0 {
		return rate.Inf, 1
	}
	limit := rate.Limit(perSecond / float64(max(entries, 1)))
	return limit, max(int(float64(limit)*r.opts.BurstDuration.Seconds()), 1)
}

// takeTokens may leave the bucket negative.
func takeTokens(l *rate.Limiter, now time.Time, tokens int) {
	for tokens > 0 {
		part := min(tokens, l.Burst())
		l.ReserveN(now, part)
		tokens -= part
	}
}

// set adapts a limiter to a changed limit or number of entries.
func (r *RateLimiter) set(l *rate.Limiter, now time.Time, perSecond float64, entries int) {
	limit, burst := r.bucket(perSecond, entries)
	if l.Limit() == limit && l.Burst() == burst {
		return
	}
	l.SetLimitAt(now, limit)
	l.SetBurstAt(now, burst)
}
