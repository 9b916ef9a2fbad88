package limit

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against entries that each admit the full fleet-wide limit.
func TestRateIsDividedByEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRateLimiter(RateLimiterOptions{})
		count := func(s WorkspaceLimits) (n int) {
			for range 1000 {
				if r.Allow("workshop", s, 10) {
					n++
				}
				time.Sleep(10 * time.Millisecond)
			}
			return n
		}
		assert.InDelta(t, 100, count(WorkspaceLimits{RequestsPerSecond: 40, Entries: 4}), 11)
		assert.InDelta(t, 200, count(WorkspaceLimits{RequestsPerSecond: 40, Entries: 2}), 22)
		assert.Equal(t, 1000, count(WorkspaceLimits{Entries: 4}))
	})
}

// Guards against a workspace whose first requests are refused although they are far below its limit.
func TestFirstBurstOfAWorkspaceIsAdmitted(t *testing.T) {
	r := NewRateLimiter(RateLimiterOptions{})
	limits := WorkspaceLimits{RequestsPerSecond: 60, TokensPerSecond: 60_000, Entries: 2}
	admitted := 0
	for range 30 {
		if r.Allow("w", limits, 100) {
			admitted++
		}
	}
	assert.Equal(t, 30, admitted, "the bucket holds one second of the entry's share")
}

// Guards against prompts larger than the token bucket that are not counted, or never admitted.
func TestLargePromptsDelayLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRateLimiter(RateLimiterOptions{})
		limits := WorkspaceLimits{TokensPerSecond: 100, Entries: 1}
		assert.True(t, r.Allow("w", limits, 1000), "larger than the bucket")
		assert.False(t, r.Allow("w", limits, 1))
		time.Sleep(8 * time.Second)
		assert.False(t, r.Allow("w", limits, 1), "900 tokens are owed")
		time.Sleep(2 * time.Second)
		assert.True(t, r.Allow("w", limits, 1))
		r.ChargeTokens("w", 500)
		assert.False(t, r.Allow("w", limits, 1), "the answer's tokens count")
	})
}

// Guards against memory that grows with the number of workspaces ever seen.
func TestIdleWorkspacesAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := NewRateLimiter(RateLimiterOptions{MaxKeys: 12_000})
		for i := range 30_000 {
			r.Allow(fmt.Sprint(i), WorkspaceLimits{}, 1)
		}
		assert.LessOrEqual(t, len(r.workspaces.records), 12_000)
		time.Sleep(idleTimeout + time.Minute)
		r.Allow("new", WorkspaceLimits{}, 1)
		assert.Len(t, r.workspaces.records, 1)
	})
}

// Guards against retries that exceed a tenth of the requests, and against an idle workspace that can never retry again.
func TestRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		spend := func(b *RetryBudgets) (n int) {
			for range 1000 {
				b.Deposit("w")
				if b.TryWithdraw("w") {
					n++
				}
			}
			return n
		}
		b := NewRetryBudgets(RetryBudgetOptions{})
		assert.InDelta(t, 100+DefaultMinBalance, spend(b), 1)
		assert.False(t, b.TryWithdraw("w"))
		b.Refund("w")
		assert.True(t, b.TryWithdraw("w"))
		time.Sleep(time.Hour)
		for range DefaultMinBalance {
			assert.True(t, b.TryWithdraw("w"), "an idle workspace may retry again")
		}
		assert.False(t, b.TryWithdraw("w"))
		assert.Equal(t, 1000, spend(NewRetryBudgets(RetryBudgetOptions{Disabled: true})))
	})
}

// Guards against a delay that is derived from the latency of another service, or that does not follow a change of latency.
func TestHedgeDelayIsP95OfTheService(t *testing.T) {
	h := NewHedgeDelays(HedgeOptions{WindowSamples: 100})
	assert.Equal(t, DefaultHedgeDelay, h.Delay("stock"))
	for i := range 99 {
		h.Observe("stock", time.Duration(i+1)*time.Millisecond)
	}
	assert.InEpsilon(t, 95*time.Millisecond, h.Delay("stock"), 0.03)
	assert.Equal(t, DefaultHedgeDelay, h.Delay("kits"))
	for range 200 {
		h.Observe("stock", time.Second)
	}
	assert.InEpsilon(t, time.Second, h.Delay("stock"), 0.03)
	h.Retain(func(string) bool { return false })
	assert.Equal(t, DefaultHedgeDelay, h.Delay("stock"))
}
