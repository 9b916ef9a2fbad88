package limit

import (
	"sync"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRatio   = 0.1 // retries per request
	DefaultMinimum = 3   // retries that are always possible at first
	DefaultCeiling = 100 // retries that may accumulate
	DefaultTrickle = 0.1 // retries per second that refill without requests, up to the minimum
)

// BudgetOptions configures Budgets.
type BudgetOptions struct {
	Ratio    float64 // retries earned per request
	Minimum  float64 // initial budget
	Ceiling  float64 // largest budget
	Trickle  float64 // refill per second up to Minimum
	MaxKeys  int
	Disabled bool // test-only: every retry is allowed
}

// Budgets holds one retry budget per key, a workspace or an endpoint.
type Budgets struct {
	opts BudgetOptions
	keys *buckets[*budget]
}

type budget struct {
	mu   sync.Mutex
	left float64
	at   time.Time
}

// NewBudgets returns empty Budgets.
func NewBudgets(opts BudgetOptions) *Budgets {
	setDefault(&opts.Ratio, DefaultRatio)
	setDefault(&opts.Minimum, DefaultMinimum)
	setDefault(&opts.Ceiling, DefaultCeiling)
	setDefault(&opts.Trickle, DefaultTrickle)
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	return &Budgets{opts: opts, keys: newBuckets[*budget](opts.MaxKeys)}
}

func setDefault(v *float64, value float64) {
	if *v == 0 {
		*v = value
	}
}

func (b *Budgets) get(key string, now time.Time) *budget {
	return b.keys.get(key, now, func() *budget { return &budget{left: b.opts.Minimum, at: now} })
}

// Earn accounts one first attempt.
func (b *Budgets) Earn(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+b.opts.Ratio, b.opts.Ceiling)
}

// Spend takes one retry or hedge, or reports false when the budget is spent.
func (b *Budgets) Spend(key string) bool {
	if b.opts.Disabled {
		return true
	}
	now := time.Now()
	k := b.get(key, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.left < b.opts.Minimum {
		k.left = min(k.left+now.Sub(k.at).Seconds()*b.opts.Trickle, b.opts.Minimum)
	}
	k.at = now
	if k.left < 1 {
		return false
	}
	k.left--
	return true
}

// Refund returns a retry that was taken and not used.
func (b *Budgets) Refund(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+1, b.opts.Ceiling)
}
