package gatewayd

import (
	"testing"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// evacuationBound is the time in which no endpoint of an evacuated failure domain may get requests any more, for gateways whose connections
// have been sound for contactTime.
const (
	evacuationBound = 5 * time.Second
	contactTime     = 4 * time.Second
)

// addEndpoint adds an endpoint in a failure domain and waits until all gateways use it.
func (f *testFleet) addEndpoint(id, failureDomain string) {
	e := testEndpoint(0)
	e.Zone = failureDomain
	f.store.SetEndpoint(id, e)
	f.requireEverywhere(2*time.Second, f.all, "endpoint", uses(id, true))
}

// An evacuation and its end must be in force at every gateway within the bound: also at those that the store does not answer, and at those
// that start, wake up or are cut off meanwhile, once they are in touch again. Gateways did not know evacuations before.
func TestEvacuationReachesEveryGateway(t *testing.T) {
	for name, gateways := range map[string]int{"one circle": 6, "circles": 30} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, gateways, 3, func(f *testFleet) {
				f.addEndpoint("n0", "north")
				refused, frozen, killed, cut := f.all[0], f.all[1], f.all[2], f.all[3]
				f.store.SetMode(platformtest.Silent, refused.name)
				f.setFrozen(true, frozen)
				killed.kill()
				f.setCut(func(a, b *testNode) bool { return a == cut || b == cut })
				f.store.SetMode(platformtest.Refuses, cut.name)

				f.store.SetEvacuated("north", true)
				inTouch := without(f.all, []*testNode{frozen, killed, cut})
				f.requireEverywhere(evacuationBound, inTouch, "evacuation", uses("n0", false))

				f.setFrozen(false, frozen)
				killed.start()
				f.setCut(nil)
				f.requireEverywhere(contactTime, f.all, "evacuation after a return", uses("n0", false))
				f.store.SetMode(platformtest.Serves, refused.name, cut.name)
				time.Sleep(contactTime)
				f.requireEverywhere(0, f.all, "evacuation", uses("n0", false))

				f.store.SetEvacuated("north", false)
				f.requireEverywhere(evacuationBound, f.all, "end of the evacuation", uses("n0", true))
			})
		})
	}
}

// Several failure domains may be evacuated, one after the other and back, faster than a change takes to reach all.
func TestEvacuationsInQuickSuccession(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		domains := []string{"north", "south", "west"}
		for _, domain := range domains {
			f.addEndpoint("of-"+domain, domain)
		}
		for range 10 {
			for _, domain := range domains {
				f.store.SetEvacuated(domain, true)
				time.Sleep(50 * time.Millisecond)
				f.store.SetEvacuated(domain, domain == "south")
			}
		}
		for _, domain := range domains {
			f.requireEverywhere(evacuationBound, f.all, domain, uses("of-"+domain, domain != "south"))
		}
	})
}
