package limit

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Defaults of HedgeOptions.
const (
	DefaultHedgePercentile = 95.0                   // percent
	DefaultMinSamples      = 20                     // answers before the histogram decides
	DefaultWindowSamples   = 2048                   // answers after which older ones lose weight
	DefaultHedgeDelay      = 250 * time.Millisecond // before enough samples exist
	minHedgeDelay          = 2 * time.Millisecond   // below this the timer's own error dominates
	maxLatency             = 10 * time.Minute
)

// HedgeOptions configures a Hedge.
type HedgeOptions struct {
	Percentile    float64
	MinSamples    int64
	WindowSamples int64
	InitialDelay  time.Duration
}

// HedgeDelays keeps the latency histogram of each service and derives the delay before a second attempt.
type HedgeDelays struct {
	opts HedgeOptions

	mu       sync.Mutex
	services map[string]*latencies
}

// latencies holds the current window and the previous one.
type latencies struct {
	current, previous *hdrhistogram.Histogram
}

// NewHedgeDelays returns an empty Hedge.
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
	return &HedgeDelays{opts: opts, services: make(map[string]*latencies)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Observe records the latency of one attempt that answered.
func (h *HedgeDelays) Observe(service string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.services[service]
	if l == nil {
		l = &latencies{current: newHistogram()}
		h.services[service] = l
	}
	_ = l.current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds()) // within the bounds
	if l.current.TotalCount() >= h.opts.WindowSamples {
		l.previous, l.current = l.current, newHistogram()
	}
}

// Delay returns how long to wait for a service's answer before hedging.
func (h *HedgeDelays) Delay(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.services[service]
	if l == nil {
		return h.opts.InitialDelay
	}
	from := l.current
	if from.TotalCount() < h.opts.MinSamples && l.previous != nil {
		from = l.previous
	}
	if from.TotalCount() < h.opts.MinSamples {
		return h.opts.InitialDelay
	}
	p := time.Duration(from.ValueAtQuantile(h.opts.Percentile)) * time.Microsecond
	return max(p, minHedgeDelay)
}

// Retain drops services that keep rejects.
func (h *HedgeDelays) Retain(keep func(service string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.services {
		if !keep(name) {
			delete(h.services, name)
		}
	}
}
