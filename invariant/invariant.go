// Package invariant provides assertions that are also checked in production. A violation is counted in a metric and
// passed to a handler. Tests install a handler that fails the test.
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

// Collector returns the metric that counts violations, for registration.
func Collector() prometheus.Collector { return violations }

// Handler is called for each violation, from any goroutine.
type Handler func(name, detail string)

var handler atomic.Pointer[Handler]

// SetHandler installs h and returns a function that restores the previous handler. With a nil h, violations are only
// counted.
func SetHandler(h Handler) (restore func()) {
	previous := handler.Swap(&h)
	return func() { handler.Store(previous) }
}

// Check counts a violation of the named invariant and calls the handler unless holds is true. It returns holds.
func Check(holds bool, name, format string, args ...any) bool {
	if holds {
		return true
	}
	violations.WithLabelValues(name).Inc()
	if h := handler.Load(); h != nil && *h != nil {
		(*h)(name, fmt.Sprintf(format, args...))
	}
	return false
}
