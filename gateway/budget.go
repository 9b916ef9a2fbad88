package gateway

import (
	"sync"
	"time"
)

// Shares of the platform's bound on retries that this gateway uses. The rest covers gateways that stop and start within a
// window: the share of a new one adds to what the old one has already used.
const (
	ratioShare = 0.7
	slackShare = 0.5
)

// RetryBudget limits the retries of one gateway by service, so that all gateways together stay within the bound of the
// platform: ratio times the requests in a sliding window, plus slack. If endpoints fail many requests at once, retries
// without a limit would double the load of the endpoints that are left.
type RetryBudget struct {
	ratio, slack float64
	window       time.Duration
	entries      func() int
	now          func() time.Time

	mu       sync.Mutex
	services map[string]*repeats
}

type repeats struct{ requests, sent []time.Time }

// NewRetryBudget returns a budget. The slack is divided by the number of gateways that entries returns.
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

// Deposit counts a request from a caller.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.service(service)
	s.requests = append(s.requests, b.now())
}

// TryWithdraw takes one retry from the budget. It returns false if none is left.
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
