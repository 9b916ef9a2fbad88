package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/bilberrylink/bilberrylink/placement"
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
	crossings   *prometheus.CounterVec
	crossBytes  *prometheus.CounterVec
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
		crossings: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_crossings_total", Help: "Attempts sent to another failure domain, by reason.",
		}, []string{"from", "to", "reason"}),
		crossBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "bilberry_gateway_crossing_bytes_total",
			Help: "Estimated bytes between failure domains: prompts with expected answers, and parts of split prompts with their context.",
		}, []string{"from", "to", "reason"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bilberry_gateway_request_seconds", Help: "Time from the arrival of a request to its end.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12)}, []string{"kind"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "bilberry_gateway_first_event_seconds", Help: "Time from the arrival of a request to its first event or whole response.",
			Buckets: prometheus.ExponentialBuckets(0.01, 2, 12)}, []string{"kind"}),
	}
	if reg != nil {
		reg.MustRegister(m.requests, m.retries, m.refusals, m.broken, m.plans, m.predictions, m.crossings, m.crossBytes, m.duration, m.firstEvent)
	}
	return m
}

// splitPrompt is the reason why the parts of a split prompt cross failure domains.
const splitPrompt = "split_prompt"

// observeCrossings counts what an attempt sends between failure domains: the request to its primary endpoint, whose plan gives the reason,
// and the parts from there to the others.
func (m *Metrics) observeCrossings(own string, r *Request, plan *resolvedPlan) {
	count := func(from, to, reason string, bytes int) {
		if from != to {
			m.crossings.WithLabelValues(from, to, reason).Inc()
			m.crossBytes.WithLabelValues(from, to, reason).Add(float64(bytes))
		}
	}
	primary := plan.endpoints[0].Zone
	count(own, primary, plan.Leaving, (r.PromptTokens+r.OutputTokens)*placement.TextBytesPerToken)
	for _, e := range plan.endpoints[1:] {
		count(primary, e.Zone, splitPrompt, placement.PartBytes(r.PromptTokens, len(plan.endpoints)))
	}
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
