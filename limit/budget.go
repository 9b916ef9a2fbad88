package limit

import (
	"sync"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRetryRatio      = 0.1 // retries per request
	DefaultMinBalance      = 3   // retries that are always possible at first
	DefaultMaxBalance      = 100 // retries that may accumulate
	DefaultRefillPerSecond = 0.1 // retries per second that refill without requests, up to the minimum
)

// RetryBudgetOptions configures Budgets.
type RetryBudgetOptions struct {
	Ratio           float64 // retries earned per request
	MinBalance      float64 // initial budget
	MaxBalance      float64 // largest budget
	RefillPerSecond float64 // refill per second up to Minimum
	MaxKeys         int
	Disabled        bool // test-only: every retry is allowed
}

// RetryBudgets holds one retry budget per key, a workspace or an endpoint.
type RetryBudgets struct {
	opts RetryBudgetOptions
	keys *buckets[*budget]
}

type budget struct {
	mu   sync.Mutex
	left float64
	at   time.Time
}

// NewRetryBudgets returns empty Budgets.
func NewRetryBudgets(opts RetryBudgetOptions) *RetryBudgets {
	setDefault(&opts.Ratio, DefaultRetryRatio)
	setDefault(&opts.MinBalance, DefaultMinBalance)
	setDefault(&opts.MaxBalance, DefaultMaxBalance)
	setDefault(&opts.RefillPerSecond, DefaultRefillPerSecond)
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	return &RetryBudgets{opts: opts, keys: newBuckets[*budget](opts.MaxKeys)}
}

func setDefault(v *float64, value float64) {
	if *v == 0 {
		*v = value
	}
}

func (b *RetryBudgets) get(key string, now time.Time) *budget {
	return b.keys.get(key, now, func() *budget { return &budget{left: b.opts.MinBalance, at: now} })
}

// Deposit accounts one first attempt.
func (b *RetryBudgets) Deposit(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+b.opts.Ratio, b.opts.MaxBalance)
}

// TryWithdraw takes one retry or hedge, or reports false when the budget is spent.
func (b *RetryBudgets) TryWithdraw(key string) bool {
	if b.opts.Disabled {
		return true
	}
	now := time.Now()
	k := b.get(key, now)
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.left < b.opts.MinBalance {
		k.left = min(k.left+now.Sub(k.at).Seconds()*b.opts.RefillPerSecond, b.opts.MinBalance)
	}
	k.at = now
	if k.left < 1 {
		return false
	}
	k.left--
	return true
}

// Refund returns a retry that was taken and not used.
func (b *RetryBudgets) Refund(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+1, b.opts.MaxBalance)
}
