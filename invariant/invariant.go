// Package invariant holds assertions that run inside the program. A violation is counted in metrics and passed to the
// handler; in tests the handler fails the test.
package invariant

import (
	"fmt"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
)

var violations = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "bilberry_invariant_violations_total",
	Help: "Violations of invariants asserted inside the program.",
}, []string{"name"})

// Collector returns the collector of the violation counter for registration.
func Collector() prometheus.Collector { return violations }

// Handler receives a violation. It may be called from any goroutine.
type Handler func(name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler installs h and returns a function that restores the previous handler. A nil h only counts.
func SetHandler(h Handler) (restore func()) {
	previous := handler.Swap(&h)
	return func() { handler.Store(previous) }
}

// Check counts a violation of the named invariant and calls the handler unless ok. It returns ok.
func Check(ok bool, name, format string, args ...any) bool {
	if ok {
		return true
	}
	violations.WithLabelValues(name).Inc()
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(name, fmt.Sprintf(format, args...))
	}
	return false
}
