package warmup

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Bounds of a platform on the requests to a cold endpoint in any one second.
const (
	perSecond    = 32.0
	boundFactor  = 1.5
	boundSlack   = 5
	allowedSends = perSecond*boundFactor + boundSlack
)

// Gateways that hear nothing from each other must together keep the limit of a cold endpoint in any second, with more requests than the
// endpoint tolerates at each of them, also right after their start. Without a limit, a failure domain whose endpoints all come back
// at once gets the whole load of the fleet.
func TestGatewaysKeepTheLimitTogether(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 11, 22, 31, 50}).Draw(t, "gateways")
		now := time.Unix(1_700_000_000, 0)
		limiters := make([]*Limiter, count)
		for i := range limiters {
			limiters[i] = New(Options{Name: fmt.Sprintf("entry-%d", i), Gateways: func() int { return count }, Now: func() time.Time { return now }})
		}
		if rapid.Bool().Draw(t, "settled") {
			now = now.Add(settleTime)
		}
		var sends []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "pause")) * time.Millisecond)
			for range rapid.IntRange(0, 10).Draw(t, "requests") {
				if limiters[rapid.IntRange(0, count-1).Draw(t, "gateway")].Take("cold", perSecond) {
					sends = append(sends, now)
				}
			}
		}
		for i := range sends {
			inSecond := 0
			for _, at := range sends[i:] {
				if at.Sub(sends[i]) <= time.Second {
					inSecond++
				}
			}
			require.LessOrEqual(t, float64(inSecond), allowedSends)
		}
	})
}

// In a fleet with more gateways than a cold endpoint tolerates requests, the gateways that use it must keep the limit, and every endpoint must
// be usable by some.
func TestFewGatewaysUseAColdEndpointOfALargeFleet(t *testing.T) {
	const gateways, endpoints = 360, 50
	now := time.Unix(1_700_000_000, 0)
	limiters := make([]*Limiter, gateways)
	for i := range limiters {
		limiters[i] = New(Options{Name: fmt.Sprintf("entry-%d", i), Gateways: func() int { return gateways }, Now: func() time.Time { return now }})
	}
	now = now.Add(settleTime)
	for e := range endpoints {
		sends := 0
		for _, l := range limiters {
			for l.Take(fmt.Sprintf("endpoint-%d", e), perSecond) {
				sends++
			}
		}
		require.Positive(t, sends)
		require.LessOrEqual(t, float64(sends), allowedSends)
	}
}

// A share must become usable again, and endpoints that are no longer used must not stay in memory.
func TestSharesReturnAndMemoryIsReleased(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	l := New(Options{Now: func() time.Time { return now }})
	now = now.Add(settleTime)
	for i := range 3 * sweepSize {
		require.True(t, l.Take(fmt.Sprint(i), 1))
		require.False(t, l.Accepts(fmt.Sprint(i), 1))
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, len(l.sends), sweepSize)
	require.True(t, l.Accepts("0", 1))
}
