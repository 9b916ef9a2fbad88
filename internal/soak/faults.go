package soak

import (
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// faultPause is the longest pause between two disturbances, which may overlap.
const faultPause = 3500 * time.Millisecond

// disturb carries out random disturbances for the duration of the run.
func (w *world) disturb() {
	kinds := []struct {
		name string
		run  func(seconds float64)
	}{
		{"planned stop", w.stopGateway},
		{"planned stop", w.stopGateway},
		{"kill", func(float64) { w.killGateways(1) }},
		{"kill of all", func(float64) { w.killGateways(len(w.gateways)) }},
		{"pause", w.pauseGateway},
		{"store refuses", func(s float64) { w.disturbStore(platformtest.Refuses, s) }},
		{"store silent", func(s float64) { w.disturbStore(platformtest.Silent, s) }},
		{"endpoint crash", func(float64) { w.randomEndpoint().crash() }},
		{"limits", w.limitEndpoints},
		{"garbled answers", w.garbleAnswers},
		{"invalid responses", w.sendInvalidResponses},
		{"store restored", w.restoreStore},
		{"store restored", w.restoreStore},
		{"configuration", func(float64) { w.changeConfiguration() }},
		{"configuration", func(float64) { w.changeConfiguration() }},
		{"endpoint leaves", w.emptyEndpoint},
		{"evacuation", w.evacuate},
		{"refusals", w.refuseRequests},
		{"denials", w.denyRequests},
		{"stall", w.stallEndpoint},
		{"stall", w.stallEndpoint},
		{"silent connections", w.silenceConnections},
		{"silent connections", w.silenceConnections},
		{"odd entries", func(float64) { w.writeOddEntries() }},
	}
	for time.Since(w.startedAt) < w.opts.Duration {
		time.Sleep(time.Duration(w.rng.Int64N(int64(faultPause))))
		kind := kinds[w.rng.IntN(len(kinds))]
		w.faults[kind.name]++
		kind.run(1 + 3*w.rng.Float64())
	}
}

func (w *world) randomEndpoint() *endpoint { return w.endpoints[w.rng.IntN(len(w.endpoints))] }

// after runs f after a time. The run waits for it.
func (w *world) after(d time.Duration, f func()) {
	w.pending.Go(func() {
		time.Sleep(d)
		f()
	})
}

// claim returns up to n random gateways that no other fault is using, and marks them as used.
func (w *world) claim(n int) (claimed []*gateway) {
	for _, i := range w.rng.Perm(len(w.gateways)) {
		g := w.gateways[i]
		if _, used := w.busy.LoadOrStore(g, true); !used {
			claimed = append(claimed, g)
		}
		if len(claimed) == n {
			break
		}
	}
	return claimed
}

func (w *world) restart(g *gateway) {
	if err := g.start(); err != nil {
		w.checker.violate("%s cannot start: %v", g.name, err)
	}
	w.checker.recordFault("", false)
	w.busy.Delete(g)
}

func (w *world) stopGateway(float64) {
	for _, g := range w.claim(1) {
		w.checker.recordFault(g.name, true)
		w.pending.Go(func() {
			if !g.end(syscall.SIGTERM) {
				w.checker.violate("%s did not stop in time", g.name)
			}
			w.restart(g)
		})
	}
}

func (w *world) killGateways(n int) {
	for _, g := range w.claim(n) {
		w.checker.recordFault(g.name, false)
		w.pending.Go(func() {
			g.end(syscall.SIGKILL)
			w.restart(g)
		})
	}
}

func (w *world) pauseGateway(seconds float64) {
	for _, g := range w.claim(1) {
		w.checker.recordFault(g.name, false)
		g.signal(syscall.SIGSTOP)
		w.after(time.Duration(seconds*float64(time.Second)), func() {
			g.signal(syscall.SIGCONT)
			w.checker.recordFault(g.name, false)
			w.busy.Delete(g)
		})
	}
}

func (w *world) disturbStore(mode platformtest.StoreMode, seconds float64) {
	w.checker.recordFault("", false)
	w.setStoreMode(mode)
	w.after(time.Duration(seconds*float64(time.Second)), func() {
		w.setStoreMode(platformtest.Serves)
		w.checker.recordFault("", false)
	})
}

func (w *world) setStoreMode(mode platformtest.StoreMode) {
	w.store.SetMode(mode)
	w.storeDisturbed(mode != platformtest.Serves)
}

// restoreStore lets the store come back from a copy of some seconds, in half of the cases without an outage. What the operator and the
// endpoints have written since is written again. The configuration may change right before and right after, so that a new one gets a version
// that the store has given out before.
func (w *world) restoreStore(seconds float64) {
	const (
		maxRewriteDelay = 1500 * time.Millisecond // within the two seconds that the platform allows
		maxChanges      = 2
	)
	copied := w.store.Copy()
	changes := w.rng.IntN(maxChanges + 1)
	away := time.Duration(max(0, 4*w.rng.Float64()-2) * float64(time.Second))
	delays := make([]time.Duration, len(w.endpoints))
	for i := range delays {
		delays[i] = time.Duration(w.rng.Int64N(int64(maxRewriteDelay)))
	}
	w.after(time.Duration(seconds*float64(time.Second)), func() {
		for range changes {
			w.changeConfiguration()
		}
		w.checker.recordFault("", false)
		if away > 0 {
			w.setStoreMode(platformtest.Refuses)
			time.Sleep(away)
		}
		w.store.Restore(copied)
		w.writeConfiguration()
		w.writeEvacuation()
		for range changes - 1 {
			w.changeConfiguration()
		}
		w.setStoreMode(platformtest.Serves)
		w.checker.recordFault("", false)
		live := make(map[string]bool)
		for i, e := range w.endpoints {
			live[e.currentID()] = true
			w.after(delays[i], e.registerAgain)
		}
		for _, id := range w.store.Endpoints() {
			if !live[id] {
				w.store.RemoveEndpoint(id)
			}
		}
	})
}

// emptyEndpoint lets an endpoint state that it shuts down, which the store does not tell, and crash later.
func (w *world) emptyEndpoint(float64) {
	const leavingTime = 5 * time.Second
	e := w.randomEndpoint()
	id := e.currentID()
	e.set(func(e *endpoint) { e.leaving = true })
	w.after(leavingTime, func() {
		if e.currentID() == id {
			e.crash()
		}
	})
}

// evacuate evacuates a failure domain for longer than gateways may take to comply.
func (w *world) evacuate(seconds float64) {
	if w.isEvacuated() {
		return
	}
	w.setEvacuated(true)
	w.after(evacuationTime+time.Duration(seconds*float64(time.Second)), func() { w.setEvacuated(false) })
}

func (w *world) refuseRequests(seconds float64) {
	e := w.randomEndpoint()
	e.set(func(e *endpoint) { e.refuses = true })
	w.after(time.Duration(seconds*float64(time.Second)), func() { e.set(func(e *endpoint) { e.refuses = false }) })
}

// denyRequests lets an endpoint deny some of the requests that it has run.
func (w *world) denyRequests(seconds float64) {
	e := w.randomEndpoint()
	e.set(func(e *endpoint) { e.denies = true })
	w.after(time.Duration(seconds*float64(time.Second)), func() { e.set(func(e *endpoint) { e.denies = false }) })
}

// stallEndpoint lets an endpoint make no events for longer than gateways wait before they try another one, and for less than callers wait. The
// others refuse requests meanwhile.
func (w *world) stallEndpoint(seconds float64) {
	const shortest, perSecond = 2500 * time.Millisecond, 300 * time.Millisecond
	stalled, stall := w.randomEndpoint(), shortest+time.Duration(seconds*float64(perSecond))
	until := time.Now().Add(stall)
	stalled.set(func(e *endpoint) { e.stalledTo = until })
	for _, e := range w.endpoints {
		if e != stalled && e.service == stalled.service {
			e.set(func(e *endpoint) { e.refuses = true })
			w.after(stall, func() { e.set(func(e *endpoint) { e.refuses = false }) })
		}
	}
}

func (w *world) limitEndpoints(seconds float64) {
	const share, stretch = 0.6, 5.0
	for _, e := range w.endpoints {
		if w.rng.Float64() >= share {
			continue
		}
		limit := 0.5 + 3*w.rng.Float64()
		e.set(func(e *endpoint) { e.limit = limit })
		w.after(time.Duration(stretch*seconds*float64(time.Second)), func() { e.set(func(e *endpoint) { e.limit = 0 }) })
	}
}

func (w *world) garbleAnswers(seconds float64) {
	e := w.randomEndpoint()
	e.set(func(e *endpoint) { e.garbles = true })
	w.after(time.Duration(seconds*float64(time.Second)), func() { e.set(func(e *endpoint) { e.garbles = false }) })
}

func (w *world) sendInvalidResponses(seconds float64) {
	e := w.randomEndpoint()
	e.set(func(e *endpoint) { e.invalid = true })
	w.after(time.Duration(seconds*float64(time.Second)), func() { e.set(func(e *endpoint) { e.invalid = false }) })
}

// silenceConnections silences the open connections to the store and to the endpoints, and changes the configuration right after.
func (w *world) silenceConnections(float64) {
	const maxChangeDelay = 300 * time.Millisecond
	w.checker.recordFault("", false)
	for _, g := range w.gateways {
		g.mu.Lock()
		g.noteDisturbance()
		g.mu.Unlock()
	}
	w.storeListener.silence()
	for _, e := range w.endpoints {
		e.set(func(e *endpoint) {
			if e.listener != nil {
				e.listener.silence()
			}
		})
	}
	w.after(time.Duration(w.rng.Int64N(int64(maxChangeDelay))), w.changeConfiguration)
}

// writeOddEntries writes entries of another writer among those of the endpoints.
func (w *world) writeOddEntries() {
	const depth = 20_000
	for i, value := range []string{
		strings.Repeat("[", depth) + strings.Repeat("]", depth), `{"Service":1e400}`, "{", "",
		`{"Service":"model","Address":"127.0.0.1:99999","Zone":"z","Slots":4,"State":"ready"}`,
		`{"Service":"shop","Address":"127.0.0.1:http","Zone":"z","Slots":9000000000000000000,"State":"ready"}`,
	} {
		w.store.SetEndpointValue(fmt.Sprintf("odd-%d", i), []byte(value))
	}
}
