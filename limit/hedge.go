package limit

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Defaults of HedgeOptions.
const (
	DefaultQuantile = 95.0                   // percentile of the latency
	DefaultSamples  = 20                     // samples needed before the histogram determines the delay
	DefaultWindow   = 2048                   // samples after which a new histogram begins
	DefaultDelay    = 250 * time.Millisecond // delay before enough samples exist
	minHedgeDelay   = 2 * time.Millisecond   // below it the error of the timer dominates
	maxLatency      = 10 * time.Minute       // largest value of a histogram
)

// HedgeOptions configures a Hedge. Zero values take the defaults.
type HedgeOptions struct {
	Quantile float64       // percentile of a service's latency after which its calls are hedged
	Samples  int64         // samples needed before the histogram determines the delay
	Window   int64         // samples after which a new histogram begins
	Delay    time.Duration // delay before enough samples exist
}

// Hedge keeps a latency histogram of each service and derives from it the delay before a hedged call, a second attempt
// while the first one is still running. It is safe for concurrent use.
type Hedge struct {
	opts HedgeOptions

	mu       sync.Mutex
	services map[string]*latencies
}

// latencies holds the histograms of the current and the previous window of samples.
type latencies struct {
	current, previous *hdrhistogram.Histogram
}

// NewHedge returns a Hedge without samples.
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

// Observe records the latency of one answered attempt.
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

// Delay returns how long to wait for the answer of a service before the call is hedged.
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

// Retain deletes the samples of services for which keep returns false.
func (h *Hedge) Retain(keep func(service string) bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name := range h.services {
		if !keep(name) {
			delete(h.services, name)
		}
	}
}
