package gateway

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
)

// Requests that wait must not take the processor time of a small VM. In a burst, hundreds of them asked for a plan every 25 ms, so that a
// gateway noticed withdrawn keys, endpoints that leave, callers that leave and its own SIGTERM seconds late.
func TestWaitingRequestsAskForFewPlans(t *testing.T) {
	const (
		plansPerSecond = 1050 // a tenth of a core, at 0.1 ms for each
		burst          = 400  // requests, of which the endpoints run 48
	)
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(ctx context.Context, _ int, _ *EndpointRequest) (*Response, error) {
			<-ctx.Done()
			return nil, errReset
		})
		ctx, cancel := context.WithCancel(t.Context())
		var requests sync.WaitGroup
		for range burst {
			requests.Go(func() {
				tg.serve(ctx, catalog.Stream, func(r *Request) { r.Route.LatencyTarget = 5 * time.Second })
			})
		}
		synctest.Wait()
		waits := func() float64 { return testutil.ToFloat64(tg.gateway.opts.Metrics.plans.WithLabelValues("true")) }
		before := waits()
		require.Positive(t, before, "requests wait")
		time.Sleep(2 * time.Second)
		asked := waits() - before
		require.Positive(t, asked)
		require.LessOrEqual(t, asked, 2.0*plansPerSecond)
		cancel()
		requests.Wait()
	})
}
