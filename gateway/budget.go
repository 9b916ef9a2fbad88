package gateway

import (
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Shares of the platform's bound on retries that this gateway uses. The rest covers gateways that stop and start within a
// window: the share of a new one adds to what the old one has already used.
const (
	usedRatioShare = 0.7
	usedSlackShare = 0.5
)

// RetryBudget limits the retries of one gateway by service, so that all gateways together stay within the bound of the
// platform: ratio times the requests in a sliding window, plus slack. If endpoints fail many requests at once, retries
// without a limit would double the load of the endpoints that are left.
type RetryBudget struct {
	gateways func() int
	now      func() time.Time

	mu           sync.Mutex
	ratio, slack float64
	windowLength time.Duration
	windows      map[string]*retryWindow
}

type retryWindow struct{ requests, retries []time.Time }

// NewRetryBudget returns a budget. The slack is divided by the current number of gateways, which gateways returns.
func NewRetryBudget(ratio, slack float64, windowLength time.Duration, gateways func() int, now func() time.Time) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, windowLength: windowLength, gateways: gateways, now: now,
		windows: make(map[string]*retryWindow)}
}

// SetLimits replaces the bound. Retries that were taken before still count.
func (b *RetryBudget) SetLimits(ratio, slack float64, windowLength time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio, b.slack, b.windowLength = ratio, slack, windowLength
}

// windowOf returns the window of a service after removing times that are no longer in it.
func (b *RetryBudget) windowOf(service string) *retryWindow {
	window := b.windows[service]
	if window == nil {
		window = new(retryWindow)
		b.windows[service] = window
	}
	windowStart := b.now().Add(-b.windowLength)
	window.requests, window.retries = timing.DropBefore(window.requests, windowStart), timing.DropBefore(window.retries, windowStart)
	return window
}

// Deposit counts a request from a caller.
func (b *RetryBudget) Deposit(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.windowOf(service)
	window.requests = append(window.requests, b.now())
}

// TryWithdraw takes one retry from the budget. It returns false if none is left.
func (b *RetryBudget) TryWithdraw(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	window := b.windowOf(service)
	allowed := usedRatioShare*b.ratio*float64(len(window.requests)) + usedSlackShare*b.slack/float64(max(b.gateways(), 1))
	if float64(len(window.retries)+1) > allowed {
		return false
	}
	window.retries = append(window.retries, b.now())
	return true
}
