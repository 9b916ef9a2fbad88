package limit

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Defaults of HedgeOptions.
const (
	DefaultHedgePercentile = 95.0                   // percentile of the latency
	DefaultMinSamples      = 20                     // samples needed before the histogram determines the delay
	DefaultWindowSamples   = 2048                   // samples after which a new histogram begins
	DefaultHedgeDelay      = 250 * time.Millisecond // delay before enough samples exist
	minHedgeDelay          = 2 * time.Millisecond   // below it the error of the timer dominates
	maxLatency             = 10 * time.Minute       // largest value of a histogram
)

// HedgeOptions configures HedgeDelays. Zero values take the defaults.
type HedgeOptions struct {
	Percentile    float64       // percentile of a service's latency after which its calls are hedged
	MinSamples    int64         // samples needed before the histogram determines the delay
	WindowSamples int64         // samples after which a new histogram begins
	InitialDelay  time.Duration // delay before enough samples exist
}

// HedgeDelays keeps a latency histogram of each service and derives from it the delay before a hedged call, which is a
// second attempt while the first one is still running. It is safe for concurrent use.
type HedgeDelays struct {
	opts HedgeOptions

	mu         sync.Mutex
	histograms map[string]*latencyHistograms
}

// latencyHistograms holds the histograms of the current and the previous window of samples.
type latencyHistograms struct {
	current, previous *hdrhistogram.Histogram
}

// NewHedgeDelays returns HedgeDelays without samples.
func NewHedgeDelays(opts HedgeOptions) *HedgeDelays {
	setDefault(&opts.Percentile, DefaultHedgePercentile)
	if opts.MinSamples <= 0 {
		opts.MinSamples = DefaultMinSamples
	}
	if opts.WindowSamples <= 0 {
		opts.WindowSamples = DefaultWindowSamples
	}
	if opts.InitialDelay <= 0 {
		opts.InitialDelay = DefaultHedgeDelay
	}
	return &HedgeDelays{opts: opts, histograms: make(map[string]*latencyHistograms)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Observe records the latency of one answered attempt.
func (h *HedgeDelays) Observe(service string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	latencies := h.histograms[service]
	if latencies == nil {
		latencies = &latencyHistograms{current: newHistogram()}
		h.histograms[service] = latencies
	}
	_ = latencies.current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds()) // within the bounds
	if latencies.current.TotalCount() >= h.opts.WindowSamples {
		latencies.previous, latencies.current = latencies.current, newHistogram()
	}
}

// Delay returns how long to wait for the answer of a service before the call is hedged.
func (h *HedgeDelays) Delay(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	latencies := h.histograms[service]
	if latencies == nil {
		return h.opts.InitialDelay
	}
	histogram := latencies.current
	if histogram.TotalCount() < h.opts.MinSamples && latencies.previous != nil {
		histogram = latencies.previous
	}
	if histogram.TotalCount() < h.opts.MinSamples {
		return h.opts.InitialDelay
	}
	percentile := time.Duration(histogram.ValueAtQuantile(h.opts.Percentile)) * time.Microsecond
	return max(percentile, minHedgeDelay)
}

// Retain deletes the samples of services for which keep returns false.
func (h *HedgeDelays) Retain(keep func(service string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.histograms {
		if !keep(name) {
			delete(h.histograms, name)
		}
	}
}
