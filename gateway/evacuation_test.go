package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/warmup"
)

// An evacuation must also hold for a prompt that was placed before it: it must not be sent with a part at an evacuated endpoint. Before, only
// the primary endpoint was checked.
func TestEvacuationHoldsForPromptsInPreparation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
			return newResponse(200, eventText(1, 6)), nil
		})
		const evacuatedAddr = "10.0.1.1:1"
		for _, id := range []string{"na", "nb", "nc", "nd"} {
			tg.registry.Upsert(registry.Entry{ID: id, Service: "model", Addr: evacuatedAddr, Zone: "north"})
		}
		tg.reserveResult = func() error { // the evacuation comes while memory is being reserved
			tg.registry.SetEvacuated([]string{"north"})
			return nil
		}
		caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
			r.PromptTokens, r.Route.Timeout, r.Route.LatencyTarget, r.Route.GapTarget = 400_000, 30*time.Second, 6*time.Second, time.Second
		})
		require.Equal(t, 200, caller.status, caller.refusedKind)
		require.Len(t, tg.requests, 1)
		require.NotEqual(t, evacuatedAddr, tg.requests[0].Endpoint.Addr)
		for _, h := range tg.requests[0].Helpers {
			require.NotEqual(t, evacuatedAddr, h.Addr)
		}
	})
}

// Cold endpoints must get no more requests a second than they tolerate, and callers must be served by others or a little later.
func TestColdEndpointsGetFewRequests(t *testing.T) {
	const perSecond = 5.0
	synctest.Test(t, func(t *testing.T) {
		sends := make(map[string][]time.Time)
		tg := newTestGateway(nil)
		tg.script = func(_ context.Context, _ int, r *EndpointRequest) (*Response, error) {
			tg.mu.Lock()
			sends[r.Endpoint.ID] = append(sends[r.Endpoint.ID], time.Now())
			tg.mu.Unlock()
			return newResponse(200, eventText(1, 6)), nil
		}
		service := &catalog.Service{Name: "model", Engine: testTiming, ColdStart: 3 * time.Second, ColdRequestsPerSecond: perSecond}
		snapshot := catalog.New(1, nil, []*catalog.Service{service}, nil)
		tg.gateway.opts.Catalog = func() *catalog.Snapshot { return snapshot }
		tg.gateway.opts.Warmup = warmup.New(warmup.Options{})
		time.Sleep(4 * time.Second) // the gateway knows its peers, and the endpoints are warm
		tg.registry.SetEvacuated([]string{""})
		tg.registry.SetEvacuated(nil)
		var requests sync.WaitGroup
		served := 0
		for range 100 {
			requests.Go(func() {
				caller := tg.serve(t.Context(), catalog.Stream, nil)
				tg.mu.Lock()
				defer tg.mu.Unlock()
				if caller.status == 200 {
					served++
				}
			})
			time.Sleep(20 * time.Millisecond)
		}
		requests.Wait()
		for id, times := range sends {
			for i := range times {
				if i+int(perSecond) < len(times) {
					require.Greater(t, times[i+int(perSecond)].Sub(times[i]), time.Second, id)
				}
			}
		}
		require.Greater(t, served, int(perSecond)*3, "the shares are used")
	})
}
