package gatewayd

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
	"github.com/bilberrylink/bilberrylink/quarantine"
)

// contactBound is the platform's time after which what some gateways have seen must be known to all that are in touch.
const contactBound = 3 * time.Second

// crashAt records at a gateway that an endpoint has crashed during a call with the part "bad".
func crashAt(n *testNode, i int) {
	n.daemon.quarantine.RecordCrash(quarantine.NewCrash("i0", int64(i), uint64(i)),
		[]quarantine.Subject{quarantine.CallSubject(uint64(i)), quarantine.PartSubject("bad")}, 0)
}

func blocks(part string) func(*daemon) bool {
	return func(d *daemon) bool {
		verdict, _ := d.quarantine.Check([]quarantine.Subject{quarantine.PartSubject(part)})
		return verdict == quarantine.Condemned
	}
}

// Crashes that five gateways in different circles have seen, one each, must block the part everywhere.
func TestCrashesBlockAPartEverywhere(t *testing.T) {
	withFleet(t, 60, 5, func(f *testFleet) {
		for i := range 5 {
			crashAt(f.all[i*7], i)
		}
		f.requireEverywhere(time.Second, f.all, "part", blocks("bad"))
	})
}

// A part must stay blocked when all gateways are killed and started again, also if the store is away while they start.
func TestPartStaysBlockedAfterARestartOfAllGateways(t *testing.T) {
	for name, storeAway := range map[string]time.Duration{"store there": 0, "store away": 6 * time.Second} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 6, 3, func(f *testFleet) {
				for i := range 5 {
					crashAt(f.all[i], i)
				}
				f.requireEverywhere(time.Second, f.all, "part", blocks("bad"))
				time.Sleep(time.Second)
				if storeAway > 0 {
					f.store.SetMode(platformtest.Refuses, names(f.all)...)
				}
				for _, n := range f.all {
					n.kill()
				}
				for _, n := range f.all {
					n.start()
				}
				time.Sleep(storeAway)
				f.store.SetMode(platformtest.Serves, names(f.all)...)
				f.requireEverywhere(contactBound, f.all, "part", blocks("bad"))
			})
		})
	}
}

// A gateway that starts must not serve before it knows what is blocked, and not wait for long if the store does not tell.
func TestGatewayServesWhenItKnowsWhatIsBlocked(t *testing.T) {
	withFleet(t, 3, 1, func(f *testFleet) {
		for i := range 5 {
			crashAt(f.all[0], i)
		}
		time.Sleep(time.Second)
		for _, n := range f.all {
			n.kill()
		}
		for _, n := range f.all {
			n.start()
		}
		for range 100 {
			time.Sleep(100 * time.Microsecond)
			for _, n := range f.all {
				if n.daemon.servingSnapshot() != nil {
					require.True(t, blocks("bad")(n.daemon))
				}
			}
		}
		require.NotNil(t, f.all[0].daemon.servingSnapshot())

		f.store.SetMode(platformtest.Silent, f.all[0].name)
		f.all[0].kill()
		f.all[0].start()
		time.Sleep(3 * time.Second)
		require.NotNil(t, f.all[0].daemon.servingSnapshot(), "the store does not answer this gateway")
		require.True(t, blocks("bad")(f.all[0].daemon))
	})
}

// A part that was blocked while the store was away must be stored when it is back, by whoever is left.
func TestBlockedPartIsStoredWhenTheStoreIsBack(t *testing.T) {
	withFleet(t, 6, 3, func(f *testFleet) {
		f.store.SetMode(platformtest.Refuses, names(f.all)...)
		for i := range 5 {
			crashAt(f.all[0], i)
		}
		f.requireEverywhere(time.Second, f.all, "part", blocks("bad"))
		f.all[0].kill()
		time.Sleep(5 * time.Second)
		f.store.SetMode(platformtest.Serves, names(f.all)...)
		time.Sleep(contactBound)
		for _, n := range f.all[1:] {
			n.kill()
		}
		for _, n := range f.all {
			n.start()
		}
		f.requireEverywhere(contactBound, f.all, "part", blocks("bad"))
	})
}

// A gateway that starts while the store refuses it must learn from its peers what is blocked, also long after the crashes.
func TestStartedGatewayLearnsWhatIsBlocked(t *testing.T) {
	withFleet(t, 30, 3, func(f *testFleet) {
		for i := range 5 {
			crashAt(f.all[i], i)
		}
		time.Sleep(2 * time.Minute)
		late := f.all[3]
		late.kill()
		f.store.SetMode(platformtest.Silent, late.name)
		late.start()
		f.requireEverywhere(contactBound, []*testNode{late}, "part", blocks("bad"))
	})
}
