package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/registry"
)

// Operators must see what leaves a failure domain, and why, and the placement must get the measured delay of the path.
func TestCrossingsAreCountedAndPathsMeasured(t *testing.T) {
	tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
		r := newResponse(200, eventText(0, 9))
		r.ConnectTime = time.Second
		return r, nil
	})
	reg := prometheus.NewRegistry()
	tg.gateway.opts.FailureDomain, tg.gateway.opts.Metrics = "d1", NewMetrics(reg)
	tg.gateway.opts.Near = func(e *registry.Endpoint) bool { return e.Zone == "d1" }
	tg.scheduler.SetDomainOptions(placement.DomainOptions{CostPerGigabyte: 2})
	for _, id := range []string{"ma", "mb", "mc"} {
		tg.registry.Remove(0, id)
	}
	tg.registry.Upsert(registry.Entry{ID: "far", Service: "model", Addr: "10.0.0.3:1", Zone: "d2"})
	tg.serve(t.Context(), catalog.Stream, nil)
	families, err := reg.Gather()
	require.NoError(t, err)
	counted := map[string]float64{}
	for _, f := range families {
		for _, m := range f.GetMetric() {
			if m.GetCounter() != nil && len(m.GetLabel()) == 3 {
				for _, l := range m.GetLabel() {
					counted[f.GetName()+" "+l.GetValue()] = m.GetCounter().GetValue()
				}
			}
		}
	}
	for _, label := range []string{"d1", "d2", placement.NoEndpoint} {
		require.Equal(t, 1.0, counted["bilberry_gateway_crossings_total "+label])
		require.Equal(t, 2500.0*placement.TextBytesPerToken, counted["bilberry_gateway_crossing_bytes_total "+label])
	}
	candidates := []placement.Candidate{{ID: "far", Domain: "d2"}}
	p, _ := tg.scheduler.Choose(testTiming, candidates, placement.Request{PromptTokens: 2000, LatencyTarget: 300 * time.Millisecond,
		GapTarget: 250 * time.Millisecond, TimeLeft: 5 * time.Second}, time.Now())
	require.Greater(t, p.PredictedLatency, 200*time.Millisecond, "a tenth of the measured round trip with its deviation")
}
