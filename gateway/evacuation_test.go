package gateway

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/registry"
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
