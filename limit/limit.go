// Package limit holds an entry's rate limits of workspaces, its retry budgets, and the delays before it hedges a call.
package limit

import (
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// sweepInterval is the minimum time between two searches for idle records, idleTimeout the time without use after which
// a record is deleted. A bucket refills within a minute, so a deleted record holds no state that matters.
const (
	sweepInterval = time.Minute
	idleTimeout   = 5 * time.Minute
)

// recordMap keeps one record per key. It deletes idle ones, so that memory is bounded by the recently active keys.
type recordMap[T any] struct {
	mu         sync.Mutex
	records    map[string]*record[T]
	maxRecords int
	sweptAt    time.Time
}

// record is the value of a key and the time of its last use.
type record[T any] struct {
	value  T
	usedAt time.Time
}

func newRecordMap[T any](maxRecords int) *recordMap[T] {
	return &recordMap[T]{records: make(map[string]*record[T]), maxRecords: maxRecords}
}

// get returns the record of key; create makes a new one.
func (m *recordMap[T]) get(key string, now time.Time, create func() T) T {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sweep(now)
	r := m.records[key]
	if r == nil {
		r = &record[T]{value: create()}
		m.records[key] = r
	}
	r.usedAt = now
	return r.value
}

// sweep deletes idle records, and arbitrary others if the map is full.
func (m *recordMap[T]) sweep(now time.Time) {
	if now.Sub(m.sweptAt) < sweepInterval && len(m.records) < m.maxRecords {
		return
	}
	m.sweptAt = now
	keep := m.maxRecords
	if len(m.records) >= m.maxRecords {
		keep = m.maxRecords - m.maxRecords/4 // deletes many at once, so that the amortised cost per new key stays constant
	}
	for key, r := range m.records {
		if now.Sub(r.usedAt) > idleTimeout || len(m.records) > keep {
			delete(m.records, key)
		}
	}
}

// DefaultMaxKeys is the default bound on the keys of one limiter. The design target is 11,000 workspaces.
const DefaultMaxKeys = 32_768

// RateLimiterOptions configures a RateLimiter.
type RateLimiterOptions struct {
	BurstDuration time.Duration // bucket size, as the time to fill an empty bucket; 0: 1 s
	MaxKeys       int           // 0: DefaultMaxKeys
}

// RateLimiter limits the requests and tokens per second of each workspace. Limits apply to the whole fleet and are
// divided equally between the live entries. It is safe for concurrent use.
type RateLimiter struct {
	opts       RateLimiterOptions
	workspaces *recordMap[*workspaceLimiters]
}

// workspaceLimiters holds the two buckets of a workspace.
type workspaceLimiters struct {
	requests *rate.Limiter
	tokens   *rate.Limiter
}

// NewRateLimiter returns a RateLimiter that has not seen any workspace.
func NewRateLimiter(opts RateLimiterOptions) *RateLimiter {
	if opts.BurstDuration <= 0 {
		opts.BurstDuration = time.Second
	}
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	return &RateLimiter{opts: opts, workspaces: newRecordMap[*workspaceLimiters](opts.MaxKeys)}
}

// WorkspaceLimits holds the limits of a workspace over the whole fleet, and the number of entries that share them.
type WorkspaceLimits struct {
	RequestsPerSecond float64 // over the fleet; 0: no limit
	TokensPerSecond   float64 // over the fleet; 0: no limit
	Entries           int     // live entries
}

// Allow takes one request of the given tokens from the workspace's buckets, or reports false and takes nothing.
func (r *RateLimiter) Allow(workspace string, limits WorkspaceLimits, tokens int) bool {
	now := time.Now()
	limiters := r.workspaces.get(workspace, now, func() *workspaceLimiters { return r.newWorkspaceLimiters(limits) })
	r.updateLimiter(limiters.requests, now, limits.RequestsPerSecond, limits.Entries)
	r.updateLimiter(limiters.tokens, now, limits.TokensPerSecond, limits.Entries)
	reservation := limiters.requests.ReserveN(now, 1)
	if !reservation.OK() || reservation.DelayFrom(now) > 0 {
		reservation.CancelAt(now)
		return false
	}
	if !allowTokens(limiters.tokens, now, tokens) {
		reservation.CancelAt(now)
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
	limiters := r.workspaces.get(workspace, now, func() *workspaceLimiters { return r.newWorkspaceLimiters(WorkspaceLimits{}) })
	if limiters.tokens.Limit() != rate.Inf {
		takeTokens(limiters.tokens, now, tokens)
	}
}

// newWorkspaceLimiters returns full buckets of the final size. A limiter that is enlarged after its creation would start
// nearly empty and refuse the first burst of a workspace.
func (r *RateLimiter) newWorkspaceLimiters(limits WorkspaceLimits) *workspaceLimiters {
	return &workspaceLimiters{
		requests: rate.NewLimiter(r.rateAndBurst(limits.RequestsPerSecond, limits.Entries)),
		tokens:   rate.NewLimiter(r.rateAndBurst(limits.TokensPerSecond, limits.Entries)),
	}
}

// rateAndBurst returns the rate and the size of this entry's bucket.
func (r *RateLimiter) rateAndBurst(perSecond float64, entries int) (rate.Limit, int) {
	if perSecond <= 0 {
		return rate.Inf, 1
	}
	limit := rate.Limit(perSecond / float64(max(entries, 1)))
	return limit, max(int(float64(limit)*r.opts.BurstDuration.Seconds()), 1)
}

// takeTokens takes tokens in parts of at most the bucket size; it may leave the bucket negative.
func takeTokens(l *rate.Limiter, now time.Time, tokens int) {
	for tokens > 0 {
		n := min(tokens, l.Burst())
		l.ReserveN(now, n)
		tokens -= n
	}
}

// updateLimiter updates a limiter after a change of the limit or of the number of entries.
func (r *RateLimiter) updateLimiter(l *rate.Limiter, now time.Time, perSecond float64, entries int) {
	limit, burst := r.rateAndBurst(perSecond, entries)
	if l.Limit() == limit && l.Burst() == burst {
		return
	}
	l.SetLimitAt(now, limit)
	l.SetBurstAt(now, burst)
}
