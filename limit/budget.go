package limit

import (
	"sync"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRetryRatio      = 0.1 // retries earned per request
	DefaultMinBalance      = 3   // retries in a new budget
	DefaultMaxBalance      = 100 // retries that may accumulate
	DefaultRefillPerSecond = 0.1 // retries per second by which a balance below the minimum grows
)

// RetryBudgetOptions configures Budgets. Zero values take the defaults.
type RetryBudgetOptions struct {
	Ratio           float64 // retries earned per request
	MinBalance      float64 // initial balance, in retries
	MaxBalance      float64 // largest balance, in retries
	RefillPerSecond float64 // retries per second by which a balance below Minimum grows
	MaxKeys         int     // keys held at a time
	Disabled        bool    // tests only: every retry is allowed
}

// RetryBudgets holds one retry budget per key, such as a workspace or an endpoint. It is safe for concurrent use.
type RetryBudgets struct {
	opts RetryBudgetOptions
	keys *buckets[*budget]
}

type budget struct {
	mu   sync.Mutex
	left float64
	at   time.Time
}

// NewRetryBudgets returns Budgets without any key.
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

// setDefault sets *v to value if it is 0.
func setDefault(v *float64, value float64) {
	if *v == 0 {
		*v = value
	}
}

func (b *RetryBudgets) get(key string, now time.Time) *budget {
	return b.keys.get(key, now, func() *budget { return &budget{left: b.opts.MinBalance, at: now} })
}

// Deposit adds Ratio retries to the budget for the first attempt of a request.
func (b *RetryBudgets) Deposit(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+b.opts.Ratio, b.opts.MaxBalance)
}

// TryWithdraw takes one retry or hedged call from the budget. It reports false if the budget is spent.
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

// Refund returns a retry that was taken from the budget and not made.
func (b *RetryBudgets) Refund(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+1, b.opts.MaxBalance)
}
