package intake

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	ended *prometheus.CounterVec
}

// newMetrics creates the metrics of a budget and registers them with reg unless reg is nil.
func newMetrics(reg prometheus.Registerer, b *Budget) *metrics {
	m := &metrics{ended: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberry_intake_ended_total", Help: "Connections of callers that were ended, and connections and requests that were refused, by reason."},
		[]string{"reason"})}
	if reg == nil {
		return m
	}
	gauge := func(name, help string, value func() float64) prometheus.Collector {
		return prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value)
	}
	locked := func(read func() float64) func() float64 {
		return func() float64 {
			b.mu.Lock()
			defer b.mu.Unlock()
			return read()
		}
	}
	reg.MustRegister(m.ended,
		gauge("bilberry_intake_held_bytes", "What callers make the process hold.", locked(func() float64 { return float64(b.total.held) })),
		gauge("bilberry_intake_large_held_bytes", "Part of it that belongs to large requests.", locked(func() float64 { return float64(b.large.held) })),
		gauge("bilberry_intake_connections", "Connections of callers.", locked(func() float64 { return float64(b.total.conns) })),
		gauge("bilberry_intake_limit_bytes", "Bound of bilberry_intake_held_bytes; 0: none.", func() float64 { return float64(b.opts.Bytes) }),
		gauge("bilberry_intake_limit_connections", "Bound of bilberry_intake_connections; 0: none.",
			func() float64 { return float64(b.opts.Connections) }),
		gauge("bilberry_intake_limit_header_bytes", "Bound of the head of a request; 0: none.",
			func() float64 { return float64(b.Limits().MaxHeaderBytes) }),
	)
	return m
}
