package exchange

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

func members(n, domains int) []Member {
	list := make([]Member, n)
	for i := range list {
		list[i] = Member{Name: fmt.Sprintf("entry-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%domains)}
	}
	return list
}

// The number of gateways that hear of every short prompt must not grow with the fleet.
func TestCirclesAreBounded(t *testing.T) {
	for _, n := range []int{22, 103, 360, 1000} {
		list := members(n, 5)
		circles, sizes := NewCircles(list), make(map[Circle]int)
		for _, m := range list {
			sizes[circles.Of(m)]++
		}
		for c, size := range sizes {
			require.LessOrEqual(t, size, 2*maxCircleSize, "%d gateways, circle %v", n, c)
		}
		require.LessOrEqual(t, len(sizes), 5+2*n/maxCircleSize)
	}
}

// Gateways and endpoints of a small fleet must share one circle, also across failure domains.
func TestSmallFleetIsOneCircle(t *testing.T) {
	list := members(maxSingleCircle, 3)
	circles := NewCircles(list)
	for _, m := range list {
		require.Equal(t, Circle{}, circles.Of(m))
	}
}

// Each circle of a failure domain must have endpoints of it, so that short prompts have a place near every gateway.
func TestEndpointsAreSpreadOverTheCirclesOfTheirDomain(t *testing.T) {
	circles := NewCircles(members(360, 5))
	byCircle := make(map[Circle]int)
	for i := range 770 {
		byCircle[circles.Of(Member{Name: fmt.Sprintf("i-%d", i), FailureDomain: fmt.Sprintf("domain-%d", i%5)})]++
	}
	for _, m := range members(360, 5) {
		require.Positive(t, byCircle[circles.Of(m)])
	}
}
