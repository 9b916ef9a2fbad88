package agent

import (
	"github.com/prometheus/client_golang/prometheus"
)

type metrics struct {
	attempts       *prometheus.CounterVec
	firstToken     prometheus.Histogram
	orders         *prometheus.CounterVec
	crashes        prometheus.Counter
	unknownStreams prometheus.Counter
}

func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_agent_attempts_total",
			Help: "Ended attempts by error kind (ok for complete answers) and run state.",
		}, []string{"kind", "run"}),
		firstToken: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "bilberry_agent_first_token_seconds",
			Help:    "Time from the arrival of an attempt to its first token.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 14),
		}),
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_agent_orders_total",
			Help: "Orders sent to the engine by result.",
		}, []string{"result"}),
		crashes: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_agent_endpoint_crashes_total",
			Help: "Detected crashes of the endpoint.",
		}),
		unknownStreams: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_agent_unknown_streams_total",
			Help: "Streams and segments on the engine that the KV ledger did not know and that were cancelled.",
		}),
	}
	registry.MustRegister(m.attempts, m.firstToken, m.orders, m.crashes, m.unknownStreams)
	return m
}

func (a *Agent) registerGauges() {
	gauge := func(name, help string, value func() float64) {
		a.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
	}
	gauge("bilberry_agent_running", "Attempts that run on the endpoint.", func() float64 { return float64(a.queue.Running()) })
	gauge("bilberry_agent_waiting", "Attempts that wait in the run queue.", func() float64 { return float64(a.queue.Len()) })
	gauge("bilberry_agent_kv_reserved_tokens", "Reserved KV memory.", func() float64 { return float64(a.ledger.Reserved()) })
	gauge("bilberry_agent_kv_capacity_tokens", "KV memory of the engine.", func() float64 { return float64(a.ledger.Capacity()) })
}
