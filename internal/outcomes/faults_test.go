package outcomes

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/internal/standin"
)

const (
	vmListLag    = standin.DefaultVMListLag
	leavingBound = 3 * time.Second // design section 1.1, item 6
)

// injection is one fault that is in force for a while.
type injection struct {
	run  *run
	rng  *rand.Rand
	hold time.Duration
}

// faultKinds are the kinds of faults. A function returns when its fault is over. Those of one group never overlap.
var faultKinds = map[string]struct {
	group  string
	inject func(injection)
}{
	"table down":        {"table down", func(i injection) { i.state(func(s *standin.FaultState, on bool) { s.TableDown = on }) }},
	"table slow":        {"table slow", injection.tableSlow},
	"table answers":     {"table answers", injection.tableAnswers},
	"objects down":      {"objects down", func(i injection) { i.state(func(s *standin.FaultState, on bool) { s.ObjectsDown = on }) }},
	"endpoint crash":    {"", injection.endpointCrash},
	"engine down":       {"engine down", injection.engineDown},
	"crashing prompt":   {"", injection.crashingPrompt},
	"entry kill":        {"entry", func(i injection) { i.replace(i.run.entries, true) }},
	"entry drain":       {"entry", func(i injection) { i.replace(i.run.entries, false) }},
	"entry pause":       {"entry", func(i injection) { i.pause(i.run.entries) }},
	"agent kill":        {"", func(i injection) { i.replace(i.run.agents, true) }},
	"agent drain":       {"", func(i injection) { i.replace(i.run.agents, false) }},
	"agent pause":       {"", func(i injection) { i.pause(i.run.agents) }},
	"silent":            {"", injection.silent},
	"domain cut off":    {"partition", func(i injection) { i.partition([]string{i.domain()}) }},
	"platform cut off":  {"partition", injection.platformCutOff},
	"VM list lag":       {"vm list", injection.vmLag},
	"endpoint leaving":  {"vm list", injection.leaving},
	"late runs":         {"courier", func(i injection) { i.courier(0.3, 0, 0) }},
	"duplicate runs":    {"courier", func(i injection) { i.courier(0, 0.5, 0) }},
	"late and repeated": {"courier", func(i injection) { i.courier(0.2, 0.3, 0) }},
	"mixed up runs":     {"courier", func(i injection) { i.courier(0, 0, 0.3) }},
}

// hidden are the kinds of faults that must not fail a request that was admitted, as long as no other kind is injected.
var hidden = []string{"silent", "VM list lag", "endpoint leaving", "agent drain", "entry drain", "duplicate runs", "objects down"}

func allFaults() []string { return slices.Sorted(maps.Keys(faultKinds)) }

// inject starts faults at random times until the run stops.
func (r *run) inject() {
	if slices.Contains(r.faults, "crashing prompt") {
		r.platform.Faults().Set(func(s *standin.FaultState) { s.CrashMarker = crashMarker })
	}
	var mu sync.Mutex
	active := make(map[string]bool)
	for len(r.faults) > 0 {
		kind := r.faults[r.rng.IntN(len(r.faults))]
		i := injection{run: r, rng: rand.New(rand.NewPCG(r.rng.Uint64(), 2)), hold: time.Duration((0.5 + 6*r.rng.Float64()) * float64(time.Second))}
		select {
		case <-r.stop:
			return
		case <-time.After(time.Duration((0.2 + 1.5*r.rng.Float64()) * float64(time.Second))):
		}
		group := faultKinds[kind].group
		mu.Lock()
		overlaps := group != "" && active[group]
		active[group] = true
		mu.Unlock()
		if overlaps {
			continue
		}
		r.count(kind)
		r.holds.Go(func() {
			faultKinds[kind].inject(i)
			mu.Lock()
			defer mu.Unlock()
			active[group] = false
		})
	}
}

// state applies a fault of the emulators for the hold.
func (i injection) state(set func(s *standin.FaultState, on bool)) {
	faults := i.run.platform.Faults()
	faults.Set(func(s *standin.FaultState) { set(s, true) })
	time.Sleep(i.hold)
	faults.Set(func(s *standin.FaultState) { set(s, false) })
}

func (i injection) tableSlow() {
	delay := 50 + i.rng.Int64N(2000)
	i.state(func(s *standin.FaultState, on bool) {
		if s.TableDelayMS = 0; on {
			s.TableDelayMS = delay
		}
	})
}

func (i injection) tableAnswers() {
	i.state(func(s *standin.FaultState, on bool) {
		if s.TableLoseAnswers = 0; on {
			s.TableLoseAnswers = standin.AllAnswers
		}
	})
}

// someEndpoint draws an engine or a plain service.
func (i injection) someEndpoint() string {
	return i.run.agents[i.rng.IntN(len(i.run.agents))].endpoint
}

func (i injection) domain() string { return string("abc"[i.rng.IntN(3)]) }

func (i injection) endpointCrash() {
	name := i.someEndpoint()
	i.run.platform.Faults().Set(func(s *standin.FaultState) { s.EngineCrash = name })
}

func (i injection) engineDown() {
	name := i.someEndpoint()
	i.state(func(s *standin.FaultState, on bool) {
		if s.EngineDown = nil; on {
			s.EngineDown = []string{name}
		}
	})
}

// crashingPrompt has a caller send a prompt that crashes each engine, several times through several entries.
func (i injection) crashingPrompt() {
	c := newCaller(i.run, 1000+i.rng.IntN(1_000_000))
	content := fmt.Sprintf("%s %d", crashMarker, c.id)
	rec := c.newRecord("")
	rec.work = "user: " + content + "\n"
	var sends sync.WaitGroup
	for range 6 {
		at, stream := c.pick(nil), c.rng.IntN(2) == 0
		sends.Go(func() { c.sendChat(rec, content, 20, at, stream, 20*time.Second, 0) })
		if c.rng.IntN(3) > 0 {
			time.Sleep(time.Duration(c.rng.Float64() * float64(3*time.Second)))
		}
	}
	sends.Wait()
}

// claim returns a node that no other fault holds, or nil. At most half of the agents are held at a time.
func (i injection) claim(nodes []*node) *node {
	held := 0
	var free []*node
	for _, n := range nodes {
		n.mu.Lock()
		if n.busy {
			held++
		} else {
			free = append(free, n)
		}
		n.mu.Unlock()
	}
	if held >= len(nodes)/2 {
		return nil
	}
	n := free[i.rng.IntN(len(free))]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.busy {
		return nil
	}
	n.busy = true
	return n
}

func (n *node) release() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.busy = false
}

// replace kills or drains a process and starts a new incarnation later.
func (i injection) replace(nodes []*node, kill bool) {
	n := i.claim(nodes)
	if n == nil {
		return
	}
	defer n.release()
	if kill {
		over := n.trouble()
		defer over()
		n.kill()
	} else {
		n.drain()
	}
	time.Sleep(i.hold)
	n.start()
}

func (i injection) pause(nodes []*node) {
	n := i.claim(nodes)
	if n == nil {
		return
	}
	defer n.release()
	defer n.trouble()()
	n.mu.Lock()
	h := n.host
	n.mu.Unlock()
	defer i.run.cut()()
	h.pause(i.hold)
	time.Sleep(time.Second) // the process works off what was held
}

// silent makes the open connections of a node go silent for good.
func (i injection) silent() {
	nodes := i.run.nodes()
	name := nodes[i.rng.IntN(len(nodes))].name
	i.run.platform.Faults().Set(func(s *standin.FaultState) { s.ConnectionSilent = []string{name} })
}

func (i injection) partition(groups ...[]string) {
	defer i.run.cut()()
	i.state(func(s *standin.FaultState, on bool) {
		if s.Partition = nil; on {
			s.Partition = groups
		}
	})
}

// platformCutOff separates all domains from the platform, or one domain from the platform and the others.
func (i injection) platformCutOff() {
	if i.rng.IntN(2) == 0 {
		i.partition([]string{standin.PlatformDomain})
		return
	}
	one := i.domain()
	group := []string{standin.PlatformDomain}
	for _, d := range []string{"a", "b", "c"} {
		if d != one {
			group = append(group, d)
		}
	}
	i.partition(group)
}

// cut records that nodes may not learn of the VM list until the returned function is called.
func (r *run) cut() (over func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	i := len(r.cutOff)
	r.cutOff = append(r.cutOff, interval{from: time.Now()})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.cutOff[i].to = time.Now()
	}
}

func (i injection) vmLag() {
	i.state(func(s *standin.FaultState, on bool) {
		if s.VMListLagMS = vmListLag.Milliseconds(); on {
			s.VMListLagMS = (vmListLag + i.hold).Milliseconds()
		}
	})
}

// leaving has the VM list show an agent's VM as leaving, stops the agent, and brings the VM back.
func (i injection) leaving() {
	n := i.claim(i.run.agents)
	if n == nil {
		return
	}
	defer n.release()
	r, faults := i.run, i.run.platform.Faults()
	listed := time.Now().Add(vmListLag)
	faults.Set(func(s *standin.FaultState) { s.VMLeaving = []string{n.name} })
	time.Sleep(vmListLag + leavingBound + i.hold)
	r.mu.Lock()
	known := !slices.ContainsFunc(r.cutOff, func(c interval) bool { return c.overlaps(listed, listed.Add(leavingBound)) })
	if known {
		r.leaving[n.endpoint] = append(r.leaving[n.endpoint], interval{listed.Add(leavingBound), time.Now()})
	}
	r.mu.Unlock()
	n.drain()
	faults.Set(func(s *standin.FaultState) { s.VMLeaving = nil })
	time.Sleep(vmListLag + time.Second)
	n.start()
}

func (i injection) courier(late, twice, mixed float64) {
	i.run.courier.set(late, twice, mixed)
	time.Sleep(i.hold)
	i.run.courier.set(0, 0, 0)
}

func (c *courier) set(late, twice, mixed float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.late, c.twice, c.mixed = late, twice, mixed
}
