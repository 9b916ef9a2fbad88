package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/throttle"
)

// The gateways of a circle must share the limit of an endpoint: what one has heard and sent binds the others within milliseconds, also
// those that have just started.
func TestCircleSharesTheLimitOfAnEndpoint(t *testing.T) {
	const perSecond = 2.0
	for name, gateways := range map[string]int{"one circle": 6, "circles": 30} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, gateways, 3, func(f *testFleet) {
				near := []*testNode{f.all[0], f.all[3]} // of the same failure domain
				near[0].daemon.throttle.Observe("i0", throttle.Statement{Stated: true, PerSecond: perSecond})
				f.requireEverywhere(100*time.Millisecond, near, "limit", limits("i0"))
				f.requireEverywhere(time.Second, f.all, "limit", limits("i0"))
				time.Sleep(5 * time.Second)
				sends := takeAll(near[0], "i0")
				require.Positive(t, sends)
				time.Sleep(10 * time.Millisecond)
				require.Zero(t, takeAll(near[1], "i0"), "the other one has used the limit")
				near[1].kill()
				near[1].start()
				f.requireEverywhere(time.Second, near, "limit", limits("i0"))
				require.LessOrEqual(t, sends+takeAll(near[1], "i0"), int(perSecond*2))
			})
		})
	}
}

// limits reports whether a gateway knows a limit of an endpoint: endpoints without one are left to nobody.
func limits(endpoint string) func(*daemon) bool {
	foreign := func() throttle.Access { return throttle.Foreign }
	return func(d *daemon) bool { return !d.throttle.Accepts(endpoint, foreign) }
}

// takeAll sends requests to an endpoint for as long as its limit allows, without waiting for room.
func takeAll(n *testNode, endpoint string) (sends int) {
	for range 100 {
		time.Sleep(time.Millisecond)
		if n.daemon.throttle.Take(endpoint, throttle.Shared, 1) {
			sends++
		}
	}
	return sends
}
