package limit

import (
	"sync"
	"time"
)

// Defaults of BudgetOptions.
const (
	DefaultRatio   = 0.1 // retries earned per request
	DefaultMinimum = 3   // retries in a new budget
	DefaultCeiling = 100 // retries that may accumulate
	DefaultTrickle = 0.1 // retries per second by which a balance below the minimum grows
)

// BudgetOptions configures Budgets. Zero values take the defaults.
type BudgetOptions struct {
	Ratio    float64 // retries earned per request
	Minimum  float64 // initial balance, in retries
	Ceiling  float64 // largest balance, in retries
	Trickle  float64 // retries per second by which a balance below Minimum grows
	MaxKeys  int     // keys held at a time
	Disabled bool    // tests only: every retry is allowed
}

// Budgets holds one retry budget per key, such as a workspace or an endpoint. It is safe for concurrent use.
type Budgets struct {
	opts BudgetOptions
	keys *buckets[*budget]
}

type budget struct {
	mu   sync.Mutex
	left float64
	at   time.Time
}

// NewBudgets returns Budgets without any key.
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

// setDefault sets *v to value if it is 0.
func setDefault(v *float64, value float64) {
	if *v == 0 {
		*v = value
	}
}

func (b *Budgets) get(key string, now time.Time) *budget {
	return b.keys.get(key, now, func() *budget { return &budget{left: b.opts.Minimum, at: now} })
}

// Earn adds Ratio retries to the budget for the first attempt of a request.
func (b *Budgets) Earn(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+b.opts.Ratio, b.opts.Ceiling)
}

// Spend takes one retry or hedged call from the budget. It reports false if the budget is spent.
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

// Refund returns a retry that was taken from the budget and not made.
func (b *Budgets) Refund(key string) {
	k := b.get(key, time.Now())
	k.mu.Lock()
	defer k.mu.Unlock()
	k.left = min(k.left+1, b.opts.Ceiling)
}
