package gateway

import (
	"sync"
	"time"
)

// Shares of the bound on repeats that an entry uses. The rest covers entries that die and come within a window, whose
// shares overlap with those of the others.
const (
	ratioShare = 0.7
	slackShare = 0.5
)

// RetryBudget bounds the repeats of an entry by service, so that all entries together keep the bound of the platform:
// ratio times the requests of a sliding window, and some more. It answers for back ends that fail many requests at
// once: without it, repeats would double the load of those that are left.
type RetryBudget struct {
	ratio, slack float64
	window       time.Duration
	entries      func() int
	now          func() time.Time

	mu       sync.Mutex
	services map[string]*repeats
}

type repeats struct{ requests, sent []time.Time }

// NewRetryBudget returns a budget; slack is shared by as many entries as the function tells.
func NewRetryBudget(ratio, slack float64, window time.Duration, entries func() int, now func() time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: window, entries: entries, now: now,
		services: make(map[string]*repeats)}
}

func (b *RetryBudget) service(name string) *repeats {
	s := b.services[name]
	if s == nil {
		s = new(repeats)
		b.services[name] = s
	}
	from := b.now().Add(-b.window)
	s.requests, s.sent = trim(s.requests, from), trim(s.sent, from)
	return s
}

func trim(times []time.Time, from time.Time) []time.Time {
	i := 0
	for i < len(times) && times[i].Before(from) {
		i++
	}
	return times[i:]
}

// Deposit counts a caller's request.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.requests = append(s.requests, b.now())
}

// TryWithdraw takes one repeat and reports whether the budget allows it.
func (b *RetryBudget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	allowed := ratioShare*b.ratio*float64(len(s.requests)) + slackShare*b.slack/float64(max(b.entries(), 1))
	if float64(len(s.sent)+1) > allowed {
		return false
	}
	s.sent = append(s.sent, b.now())
	return true
}
