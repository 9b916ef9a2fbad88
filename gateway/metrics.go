package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics holds the Prometheus metrics of a gateway.
type Metrics struct {
	requests *prometheus.CounterVec
	retries  *prometheus.CounterVec
	refusals *prometheus.CounterVec
	broken   *prometheus.CounterVec
	plans    *prometheus.CounterVec
	// predictions counts first events that were predicted in time.
	predictions *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	firstEvent  *prometheus.HistogramVec
}

// NewMetrics creates the metrics of a gateway and registers them with reg unless reg is nil.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_requests_total", Help: "Requests by kind and outcome."}, []string{"kind", "outcome"}),
		retries: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_retries_total", Help: "Retries by failure reason of the previous attempt."}, []string{"reason"}),
		refusals: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_refusals_total", Help: "Requests rejected by the gateway, by error kind."}, []string{"error"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_broken_attempts_total", Help: "Attempts that endpoints broke off, by the part of the answer that had arrived.",
		}, []string{"progress"}),
		predictions: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_predictions_total",
			Help: "First events that were predicted in time, by whether they were or by what may have delayed them."}, []string{"outcome"}),
		plans: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_plans_total", Help: "Plans that requests asked for, by whether the request then waited."}, []string{"waits"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bilberry_gateway_request_seconds", Help: "Time from the arrival of a request to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12)}, []string{"kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bilberry_gateway_first_event_seconds", Help: "Time from the arrival of a request to its first event or whole response.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12)}, []string{"kind"}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.retries, m.refusals, m.broken, m.plans, m.predictions, m.duration, m.firstEvent)
	}
	return m
}

// observeBroken counts an attempt that an endpoint broke off after a number of events.
func (m *Metrics) observeBroken(events int) {
	progress := "later"
	switch events {
	case 0:
		progress = "no_event"
	case 1:
		progress = "first_event"
	}
	m.broken.WithLabelValues(progress).Inc()
}

func (m *Metrics) observe(r *Request, outcome string, elapsed, firstEventLatency time.Duration) {
	kind := r.Route.Kind.String()
	m.requests.WithLabelValues(kind, outcome).Inc()
	m.duration.WithLabelValues(kind).Observe(elapsed.Seconds())
	if firstEventLatency > 0 {
		m.firstEvent.WithLabelValues(kind).Observe(firstEventLatency.Seconds())
	}
}
