package throttle

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	sends    *prometheus.CounterVec
	excesses prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_throttle_sends_total", Help: "Requests sent to endpoints that have stated a limit."}, []string{"attempt"}),
		excesses: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_throttle_excesses_total", Help: "Times at which the gateways together had sent more than an endpoint accepts."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.sends, m.excesses)
	}
	return m
}

func (m *metrics) observeSend(attempt int) {
	label := "first"
	if attempt > 1 {
		label = "further"
	}
	m.sends.WithLabelValues(label).Inc()
}
