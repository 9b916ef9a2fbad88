package limit

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Defaults of HedgeOptions.
const (
	DefaultQuantile = 95.0                   // percent
	DefaultSamples  = 20                     // answers before the histogram decides
	DefaultWindow   = 2048                   // answers after which older ones lose weight
	DefaultDelay    = 250 * time.Millisecond // before enough samples exist
	minHedgeDelay   = 2 * time.Millisecond   // below this the timer's own error dominates
	maxLatency      = 10 * time.Minute
)

// HedgeOptions configures a Hedge.
type HedgeOptions struct {
	Quantile float64
	Samples  int64
	Window   int64
	Delay    time.Duration
}

// Hedge keeps the latency histogram of each service and derives the delay before a second attempt.
type Hedge struct {
	opts HedgeOptions

	mu       sync.Mutex
	services map[string]*latencies
}

// latencies holds the current window and the previous one.
type latencies struct {
	current, previous *hdrhistogram.Histogram
}

// NewHedge returns an empty Hedge.
func NewHedge(opts HedgeOptions) *Hedge {
	setDefault(&opts.Quantile, DefaultQuantile)
	if opts.Samples <= 0 {
		opts.Samples = DefaultSamples
	}
	if opts.Window <= 0 {
		opts.Window = DefaultWindow
	}
	if opts.Delay <= 0 {
		opts.Delay = DefaultDelay
	}
	return &Hedge{opts: opts, services: make(map[string]*latencies)}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatency.Microseconds(), 2)
}

// Observe records the latency of one attempt that answered.
func (h *Hedge) Observe(service string, latency time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.services[service]
	if l == nil {
		l = &latencies{current: newHistogram()}
		h.services[service] = l
	}
	_ = l.current.RecordValue(min(max(latency, time.Microsecond), maxLatency).Microseconds()) // within the bounds
	if l.current.TotalCount() >= h.opts.Window {
		l.previous, l.current = l.current, newHistogram()
	}
}

// Delay returns how long to wait for a service's answer before hedging.
func (h *Hedge) Delay(service string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	l := h.services[service]
	if l == nil {
		return h.opts.Delay
	}
	from := l.current
	if from.TotalCount() < h.opts.Samples && l.previous != nil {
		from = l.previous
	}
	if from.TotalCount() < h.opts.Samples {
		return h.opts.Delay
	}
	p := time.Duration(from.ValueAtQuantile(h.opts.Quantile)) * time.Microsecond
	return max(p, minHedgeDelay)
}

// Retain drops services that keep rejects.
func (h *Hedge) Retain(keep func(service string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.services {
		if !keep(name) {
			delete(h.services, name)
		}
	}
}
