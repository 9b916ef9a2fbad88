package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/errkind"
)

// pausingGateway returns a gateway and the times of the requests to each endpoint. Those in pausing refuse with a time to return.
func pausingGateway(retryAfter time.Duration, pausing ...string) (*testGateway, map[string][]time.Time) {
	sends := make(map[string][]time.Time)
	refuses := make(map[string]bool)
	for _, id := range pausing {
		refuses[id] = true
	}
	tg := newTestGateway(nil)
	tg.script = func(_ context.Context, _ int, r *EndpointRequest) (*Response, error) {
		tg.mu.Lock()
		defer tg.mu.Unlock()
		sends[r.Endpoint.ID] = append(sends[r.Endpoint.ID], time.Now())
		if refuses[r.Endpoint.ID] && len(sends[r.Endpoint.ID]) == 1 {
			resp := newResponse(503, "")
			resp.NotExecuted, resp.RetryAfter = true, retryAfter
			return resp, nil
		}
		return newResponse(200, eventText(1, 6)), nil
	}
	return tg, sends
}

// An endpoint that refuses with a time to return must get nothing from this gateway until then, and is used again after it.
func TestEndpointThatWantsNoRequestsGetsNone(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Idempotent, catalog.NonIdempotent, catalog.Stream} {
		synctest.Test(t, func(t *testing.T) {
			const pause = 3 * time.Second
			tg, sends := pausingGateway(pause, "a", "ma")
			for start := time.Now(); time.Since(start) < 2*pause; time.Sleep(20 * time.Millisecond) {
				require.Equal(t, 200, tg.serve(t.Context(), kind, nil).status)
			}
			for _, id := range []string{"a", "ma"} {
				for i, at := range sends[id] {
					if i > 0 {
						require.GreaterOrEqual(t, at.Sub(sends[id][0]), pause)
					}
				}
			}
			require.Greater(t, len(sends["a"])+len(sends["ma"]), 1, "used again")
		})
	}
}

// A request that no endpoint wants in time must be refused at once, as one that has not run, with a time to return; one that an endpoint
// wants soon waits for it.
func TestAllEndpointsWantNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg, sends := pausingGateway(4*time.Second, "a", "b", "c")
		for range 2 {
			tg.serve(t.Context(), catalog.Idempotent, nil) // two endpoints, and the third
		}
		began := time.Now()
		caller := tg.serve(t.Context(), catalog.NonIdempotent, nil)
		require.Equal(t, errkind.NotRun, errkind.RuleOf(caller.refusedKind).RunState)
		require.Greater(t, caller.retryAfter, time.Second)
		require.Zero(t, time.Since(began))
		time.Sleep(4*time.Second - 100*time.Millisecond)
		require.Equal(t, 200, tg.serve(t.Context(), catalog.NonIdempotent, nil).status, "an endpoint is free in 0.1 s")
		require.Equal(t, 4, len(sends["a"])+len(sends["b"])+len(sends["c"]))
	})
}
