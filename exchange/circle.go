package exchange

import (
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Circles bound who hears at once of the short prompts that a gateway places. With all gateways in one circle, the datagrams of a
// gateway grow with their number, most of them between failure domains: at 103 gateways the exchange cost 0.87 GB between
// domains in a minute and half of the processor time of the small VMs.
const (
	// maxSingleCircle is the largest number of gateways that form one circle across failure domains.
	maxSingleCircle = 8
	// maxCircleSize is the largest number of gateways of one failure domain that form one circle.
	maxCircleSize = 24
)

// Member is a gateway or an endpoint that belongs to a circle.
type Member struct {
	Name          string
	FailureDomain string
}

// Circles assigns gateways and endpoints to circles: one for a small fleet, else one or more for each failure domain. Gateways
// that know the same gateways compute the same circles. Views that differ for a moment cost accuracy only.
type Circles struct {
	single          bool
	circlesByDomain map[string]int
}

// Circle identifies a circle.
type Circle struct {
	failureDomain string // empty: the only circle
	index         int
}

// NewCircles returns the circles of a fleet with the given gateways.
func NewCircles(gateways []Member) Circles {
	gatewaysByDomain := make(map[string]int)
	for _, g := range gateways {
		gatewaysByDomain[g.FailureDomain]++
	}
	c := Circles{single: len(gateways) <= maxSingleCircle, circlesByDomain: make(map[string]int, len(gatewaysByDomain))}
	for domain, count := range gatewaysByDomain {
		c.circlesByDomain[domain] = (count + maxCircleSize - 1) / maxCircleSize
	}
	return c
}

// Of returns the circle of a gateway or of an endpoint.
func (c Circles) Of(m Member) Circle {
	if c.single {
		return Circle{}
	}
	count := max(c.circlesByDomain[m.FailureDomain], 1)
	return Circle{failureDomain: m.FailureDomain, index: int(xxhash.Sum64String(m.Name) % uint64(count))}
}

// sortedCircles returns the keys of a map in a fixed order.
func sortedCircles[T any](byCircle map[Circle]T) []Circle {
	circles := make([]Circle, 0, len(byCircle))
	for c := range byCircle {
		circles = append(circles, c)
	}
	sort.Slice(circles, func(i, j int) bool {
		a, b := circles[i], circles[j]
		return a.failureDomain < b.failureDomain || a.failureDomain == b.failureDomain && a.index < b.index
	})
	return circles
}
