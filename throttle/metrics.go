package throttle

import "github.com/prometheus/client_golang/prometheus"

type metrics struct{ sends *prometheus.CounterVec }

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{sends: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "bilberry_throttle_sends_total", Help: "Requests sent to endpoints that have stated a limit."}, []string{"attempt"})}
	if registerer != nil {
		registerer.MustRegister(m.sends)
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
