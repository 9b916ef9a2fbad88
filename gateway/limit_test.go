package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/throttle"
)

// Bounds of the platform on the requests to an endpoint with a limit.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// requireWithinLimit checks that no window holds more sends than the platform allows, from the time at which gateways must know the limit.
func requireWithinLimit(t *testing.T, sends []time.Time, limit float64, from time.Time) {
	t.Helper()
	allowed := int(limitFactor*limit*limitWindow.Seconds()) + limitSlack
	for i := range sends {
		count := 0
		for _, at := range sends[i:] {
			if at.Sub(sends[i]) <= limitWindow {
				count++
			}
		}
		if sends[i].After(from) {
			require.LessOrEqual(t, count, allowed)
		}
	}
}

// Endpoints that name a limit must not get more requests than that. Requests beyond it are refused, with a time to return.
func TestEndpointGetsNoMoreThanItsLimit(t *testing.T) {
	const limit = 1.0
	synctest.Test(t, func(t *testing.T) {
		sends := make(map[string][]time.Time)
		tg := newTestGateway(nil)
		tg.script = func(_ context.Context, _ int, r *EndpointRequest) (*Response, error) {
			tg.mu.Lock()
			sends[r.Endpoint.ID] = append(sends[r.Endpoint.ID], time.Now())
			tg.mu.Unlock()
			time.Sleep(100 * time.Millisecond)
			resp := newResponse(200, eventText(1, 6))
			resp.Limit = throttle.Statement{Stated: true, PerSecond: limit}
			return resp, nil
		}
		start := time.Now()
		answered, refused := 0, 0
		var requests sync.WaitGroup
		for range 300 {
			requests.Go(func() {
				caller := tg.serve(t.Context(), catalog.Stream, nil)
				tg.mu.Lock()
				defer tg.mu.Unlock()
				if caller.status == 200 {
					answered++
					return
				}
				refused++
				require.Equal(t, errkind.NotRun, errkind.RuleOf(caller.refusedKind).RunState)
				require.Positive(t, caller.retryAfter)
			})
			time.Sleep(50 * time.Millisecond)
		}
		requests.Wait()
		for _, times := range sends {
			requireWithinLimit(t, times, limit, start.Add(3*time.Second))
		}
		require.Greater(t, answered, int(0.8*limit*15*3), "the limits are used")
		require.Positive(t, refused)
	})
}
