package limit

import (
	"sync"
	"time"
)

// Defaults of RetryBudgetOptions.
const (
	DefaultRetryRatio      = 0.1 // retries earned per request
	DefaultMinBalance      = 3   // retries in a new budget
	DefaultMaxBalance      = 100 // retries that may accumulate
	DefaultRefillPerSecond = 0.1 // retries per second by which a balance below the minimum grows
)

// RetryBudgetOptions configures RetryBudgets. Zero values take the defaults.
type RetryBudgetOptions struct {
	Ratio           float64 // retries earned per request
	MinBalance      float64 // initial balance, in retries
	MaxBalance      float64 // largest balance, in retries
	RefillPerSecond float64 // retries per second by which a balance below MinBalance grows
	MaxKeys         int     // keys held at a time
	Disabled        bool    // tests only: every retry is allowed
}

// RetryBudgets holds one retry budget per key, such as a workspace or an endpoint. It is safe for concurrent use.
type RetryBudgets struct {
	opts    RetryBudgetOptions
	budgets *recordMap[*retryBudget]
}

// retryBudget is the budget of one key.
type retryBudget struct {
	mu        sync.Mutex
	balance   float64
	updatedAt time.Time
}

// NewRetryBudgets returns RetryBudgets without any key.
func NewRetryBudgets(opts RetryBudgetOptions) *RetryBudgets {
	setDefault(&opts.Ratio, DefaultRetryRatio)
	setDefault(&opts.MinBalance, DefaultMinBalance)
	setDefault(&opts.MaxBalance, DefaultMaxBalance)
	setDefault(&opts.RefillPerSecond, DefaultRefillPerSecond)
	if opts.MaxKeys <= 0 {
		opts.MaxKeys = DefaultMaxKeys
	}
	return &RetryBudgets{opts: opts, budgets: newRecordMap[*retryBudget](opts.MaxKeys)}
}

// setDefault sets *v to value if it is 0.
func setDefault(v *float64, value float64) {
	if *v == 0 {
		*v = value
	}
}

func (b *RetryBudgets) get(key string, now time.Time) *retryBudget {
	return b.budgets.get(key, now, func() *retryBudget { return &retryBudget{balance: b.opts.MinBalance, updatedAt: now} })
}

// Deposit adds Ratio retries to the budget for the first attempt of a request.
func (b *RetryBudgets) Deposit(key string) {
	budget := b.get(key, time.Now())
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.balance = min(budget.balance+b.opts.Ratio, b.opts.MaxBalance)
}

// TryWithdraw takes one retry or hedged call from the budget. It reports false if the budget is spent.
func (b *RetryBudgets) TryWithdraw(key string) bool {
	if b.opts.Disabled {
		return true
	}
	now := time.Now()
	budget := b.get(key, now)
	budget.mu.Lock()
	defer budget.mu.Unlock()
	if budget.balance < b.opts.MinBalance {
		budget.balance = min(budget.balance+now.Sub(budget.updatedAt).Seconds()*b.opts.RefillPerSecond, b.opts.MinBalance)
	}
	budget.updatedAt = now
	if budget.balance < 1 {
		return false
	}
	budget.balance--
	return true
}

// Refund returns a retry that was taken from the budget and not made.
func (b *RetryBudgets) Refund(key string) {
	budget := b.get(key, time.Now())
	budget.mu.Lock()
	defer budget.mu.Unlock()
	budget.balance = min(budget.balance+1, b.opts.MaxBalance)
}
