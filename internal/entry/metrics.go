package entry

import "github.com/prometheus/client_golang/prometheus"

// metrics holds the Prometheus metrics of one entry.
type metrics struct {
	requests        *prometheus.CounterVec
	attempts        *prometheus.CounterVec
	cancels         *prometheus.CounterVec
	retries         prometheus.Counter
	resumes         prometheus.Counter
	hedges          prometheus.Counter
	budgetExhausted prometheus.Counter
	splitPrompts    prometheus.Counter
	segments        prometheus.Counter
	ttft            *prometheus.HistogramVec
	inFlight        prometheus.Gauge
}

func newMetrics(reg prometheus.Registerer) *metrics {
	counter := func(name, help string) prometheus.Counter {
		return prometheus.NewCounter(prometheus.CounterOpts{Name: name, Help: help})
	}
	vec := func(name, help, label string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, []string{label})
	}
	m := &metrics{
		requests:        vec("bilberry_entry_requests_total", "Requests by result: ok or the error kind.", "result"),
		attempts:        vec("bilberry_entry_attempts_total", "Attempts by result: done or the error kind.", "result"),
		cancels:         vec("bilberry_entry_cancels_total", "Attempts cancelled at their agent, by result.", "result"),
		retries:         counter("bilberry_entry_retries_total", "Retries taken from the budget."),
		resumes:         counter("bilberry_entry_resumes_total", "Streams resumed on a new connection."),
		hedges:          counter("bilberry_entry_hedges_total", "Second attempts of slow idempotent calls."),
		budgetExhausted: counter("bilberry_entry_budget_spent_total", "Retries refused because a budget was spent."),
		splitPrompts:    counter("bilberry_entry_split_prompts_total", "Prompts split over several engines."),
		segments:        counter("bilberry_entry_segments_total", "Segments prefilled for split prompts, re-runs included."),
		ttft: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "bilberry_entry_ttft_seconds",
			Help:    "Time to first token by prompt length.",
			Buckets: []float64{.025, .05, .1, .2, .4, .8, 1.6, 3.2, 6.4, 12.8, 25.6, 60, 120, 300},
		}, []string{"prompt"}),
		inFlight: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "bilberry_entry_requests_in_flight", Help: "Requests being answered.",
		}),
	}
	reg.MustRegister(m.requests, m.attempts, m.cancels, m.retries, m.resumes, m.hedges, m.budgetExhausted, m.splitPrompts,
		m.segments, m.ttft, m.inFlight)
	return m
}

// promptLengthLabel returns the label value for a prompt length in tokens.
func promptLengthLabel(tokens int64) string {
	switch {
	case tokens <= 4_000:
		return "4k"
	case tokens <= 32_000:
		return "32k"
	case tokens <= 128_000:
		return "128k"
	}
	return "1M"
}
