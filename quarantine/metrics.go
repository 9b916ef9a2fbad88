package quarantine

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	crashes *prometheus.CounterVec
	blocked *prometheus.GaugeVec
	cleared prometheus.Counter
	trials  prometheus.Counter
}

func newMetrics(registerer prometheus.Registerer) metrics {
	m := metrics{
		crashes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_quarantine_crashes_total", Help: "Crashes recorded at this gateway, by the kind of the suspect."}, []string{"kind"}),
		blocked: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "bilberry_quarantine_blocked", Help: "Subjects that are blocked, by kind."}, []string{"kind"}),
		cleared: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_quarantine_cleared_total", Help: "Blocked subjects that turned out to be harmless."}),
		trials: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "bilberry_quarantine_trials_total", Help: "Requests with which a blocked subject was tried."}),
	}
	if registerer != nil {
		registerer.MustRegister(m.crashes, m.blocked, m.cleared, m.trials)
	}
	return m
}

// String returns the name of the verdict in logs.
func (v Verdict) String() string { return [...]string{"admitted", "suspected", "condemned"}[v] }
