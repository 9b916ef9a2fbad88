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
	vmListLag               = standin.DefaultVMListLag
	leavingPropagationLimit = 3 * time.Second // for all nodes to learn of a leaving endpoint; design section 1.1, item 6
)

// injection is one injected fault.
type injection struct {
	sim      *simulation
	rng      *rand.Rand
	duration time.Duration
}

// injectors has the function that injects each kind of fault and returns when the fault is over. Faults of one group never
// overlap.
var injectors = map[string]struct {
	group  string
	inject func(injection)
}{
	"table down": {"table down", func(inj injection) {
		inj.applyState(func(s *standin.FaultState, on bool) { s.TableDown = on })
	}},
	"table slow":         {"table slow", injection.slowTable},
	"table answers lost": {"table answers", injection.loseTableAnswers},
	"objects down": {"objects down", func(inj injection) {
		inj.applyState(func(s *standin.FaultState, on bool) { s.ObjectsDown = on })
	}},
	"endpoint crash":          {"", injection.crashEndpoint},
	"engine down":             {"engine down", injection.takeEndpointDown},
	"crashing prompt":         {"", injection.sendCrashingPrompt},
	"entry kill":              {"entry", func(inj injection) { inj.restartNode(inj.sim.entries, true) }},
	"entry drain":             {"entry", func(inj injection) { inj.restartNode(inj.sim.entries, false) }},
	"entry pause":             {"entry", func(inj injection) { inj.pauseNode(inj.sim.entries) }},
	"agent kill":              {"", func(inj injection) { inj.restartNode(inj.sim.agents, true) }},
	"agent drain":             {"", func(inj injection) { inj.restartNode(inj.sim.agents, false) }},
	"agent pause":             {"", func(inj injection) { inj.pauseNode(inj.sim.agents) }},
	"silent":                  {"", injection.silenceConnections},
	"domain cut off":          {"partition", func(inj injection) { inj.partition([]string{inj.drawFailureDomain()}) }},
	"platform cut off":        {"partition", injection.partitionPlatform},
	"VM list lag":             {"vm list", injection.delayVMList},
	"endpoint leaving":        {"vm list", injection.announceLeaving},
	"late runs":               {"run delivery", func(inj injection) { inj.disturbRunDelivery(0.3, 0, 0) }},
	"duplicate runs":          {"run delivery", func(inj injection) { inj.disturbRunDelivery(0, 0.5, 0) }},
	"late and duplicate runs": {"run delivery", func(inj injection) { inj.disturbRunDelivery(0.2, 0.3, 0) }},
	"misdelivered runs":       {"run delivery", func(inj injection) { inj.disturbRunDelivery(0, 0, 0.3) }},
}

// hiddenFaultKinds are the kinds of faults that must not fail an admitted request if no other kind is injected in the same
// simulation.
var hiddenFaultKinds = []string{"silent", "VM list lag", "endpoint leaving", "agent drain", "entry drain",
	"duplicate runs", "objects down"}

// allFaultKinds returns the kinds in a fixed order, since a seed replays the same faults only if the order is the same.
func allFaultKinds() []string { return slices.Sorted(maps.Keys(injectors)) }

// injectFaults starts faults at random times until the callers stop.
func (sim *simulation) injectFaults() {
	if slices.Contains(sim.faultKinds, "crashing prompt") {
		sim.platform.Faults().Set(func(s *standin.FaultState) { s.CrashMarker = crashMarker })
	}
	var mu sync.Mutex
	activeGroups := make(map[string]bool)
	for len(sim.faultKinds) > 0 {
		kind := sim.faultKinds[sim.faultRNG.IntN(len(sim.faultKinds))]
		inj := injection{sim: sim, rng: rand.New(rand.NewPCG(sim.faultRNG.Uint64(), 2)),
			duration: time.Duration((0.5 + 6*sim.faultRNG.Float64()) * float64(time.Second))}
		select {
		case <-sim.stopCallers:
			return
		case <-time.After(time.Duration((0.2 + 1.5*sim.faultRNG.Float64()) * float64(time.Second))):
		}
		group := injectors[kind].group
		mu.Lock()
		overlaps := group != "" && activeGroups[group]
		activeGroups[group] = true
		mu.Unlock()
		if overlaps {
			continue
		}
		sim.countFault(kind)
		sim.activeFaults.Go(func() {
			injectors[kind].inject(inj)
			mu.Lock()
			defer mu.Unlock()
			activeGroups[group] = false
		})
	}
}

// applyState sets a fault of the emulators for the duration of the injection.
func (inj injection) applyState(set func(s *standin.FaultState, on bool)) {
	faults := inj.sim.platform.Faults()
	faults.Set(func(s *standin.FaultState) { set(s, true) })
	time.Sleep(inj.duration)
	faults.Set(func(s *standin.FaultState) { set(s, false) })
}

func (inj injection) slowTable() {
	delay := 50 + inj.rng.Int64N(2000)
	inj.applyState(func(s *standin.FaultState, on bool) {
		if s.TableDelayMS = 0; on {
			s.TableDelayMS = delay
		}
	})
}

func (inj injection) loseTableAnswers() {
	inj.applyState(func(s *standin.FaultState, on bool) {
		if s.TableLoseAnswers = 0; on {
			s.TableLoseAnswers = standin.AllAnswers
		}
	})
}

// drawEndpoint picks a random engine or plain service.
func (inj injection) drawEndpoint() string {
	return inj.sim.agents[inj.rng.IntN(len(inj.sim.agents))].endpoint
}

func (inj injection) drawFailureDomain() string { return string("abc"[inj.rng.IntN(3)]) }

func (inj injection) crashEndpoint() {
	name := inj.drawEndpoint()
	inj.sim.platform.Faults().Set(func(s *standin.FaultState) { s.EngineCrash = name })
}

func (inj injection) takeEndpointDown() {
	name := inj.drawEndpoint()
	inj.applyState(func(s *standin.FaultState, on bool) {
		if s.EngineDown = nil; on {
			s.EngineDown = []string{name}
		}
	})
}

// sendCrashingPrompt sends a prompt that crashes any engine that starts it, several times through random entries.
func (inj injection) sendCrashingPrompt() {
	sender := newCaller(inj.sim, 1000+inj.rng.IntN(1_000_000))
	content := fmt.Sprintf("%s %d", crashMarker, sender.id)
	rec := sender.newRequestRecord("")
	rec.promptOrPath = "user: " + content + "\n"
	var requests sync.WaitGroup
	for range 6 {
		entry, stream := sender.pickEntry(nil), sender.rng.IntN(2) == 0
		requests.Go(func() { sender.sendChat(rec, content, 20, entry, stream, 20*time.Second, 0) })
		if sender.rng.IntN(3) > 0 {
			time.Sleep(time.Duration(sender.rng.Float64() * float64(3*time.Second)))
		}
	}
	requests.Wait()
}

// claimNode reserves a node that no other fault uses. It returns nil if half of the nodes are in use already, or if another
// fault has just claimed the chosen node.
func (inj injection) claimNode(nodes []*node) *node {
	claimed := 0
	var free []*node
	for _, n := range nodes {
		n.mu.Lock()
		if n.claimed {
			claimed++
		} else {
			free = append(free, n)
		}
		n.mu.Unlock()
	}
	if claimed >= len(nodes)/2 {
		return nil
	}
	n := free[inj.rng.IntN(len(free))]
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.claimed {
		return nil
	}
	n.claimed = true
	return n
}

func (n *node) releaseClaim() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.claimed = false
}

// restartNode kills or drains a process and starts a new incarnation after the duration of the injection.
func (inj injection) restartNode(nodes []*node, abrupt bool) {
	n := inj.claimNode(nodes)
	if n == nil {
		return
	}
	defer n.releaseClaim()
	if abrupt {
		endDisruption := n.beginDisruption()
		defer endDisruption()
		n.kill()
	} else {
		n.drain()
	}
	time.Sleep(inj.duration)
	n.start()
}

func (inj injection) pauseNode(nodes []*node) {
	n := inj.claimNode(nodes)
	if n == nil {
		return
	}
	defer n.releaseClaim()
	defer n.beginDisruption()()
	n.mu.Lock()
	proc := n.process
	n.mu.Unlock()
	defer inj.sim.beginVMListOutage()()
	proc.pause(inj.duration)
	time.Sleep(time.Second) // for the process to handle the messages that the pause delayed
}

// silenceConnections makes the open connections of a node stop delivering data permanently, without closing them.
func (inj injection) silenceConnections() {
	nodes := inj.sim.nodes()
	nodeName := nodes[inj.rng.IntN(len(nodes))].name
	inj.sim.platform.Faults().Set(func(s *standin.FaultState) { s.ConnectionSilent = []string{nodeName} })
}

func (inj injection) partition(groups ...[]string) {
	defer inj.sim.beginVMListOutage()()
	inj.applyState(func(s *standin.FaultState, on bool) {
		if s.Partition = nil; on {
			s.Partition = groups
		}
	})
}

// partitionPlatform disconnects either all failure domains from the platform, or one from the platform and the others.
func (inj injection) partitionPlatform() {
	if inj.rng.IntN(2) == 0 {
		inj.partition([]string{standin.PlatformDomain})
		return
	}
	separated := inj.drawFailureDomain()
	group := []string{standin.PlatformDomain}
	for _, domain := range []string{"a", "b", "c"} {
		if domain != separated {
			group = append(group, domain)
		}
	}
	inj.partition(group)
}

// beginVMListOutage records that nodes may be unable to learn of changes to the VM list until the returned function is
// called.
func (sim *simulation) beginVMListOutage() (end func()) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	index := len(sim.vmListOutages)
	sim.vmListOutages = append(sim.vmListOutages, interval{from: time.Now()})
	return func() {
		sim.mu.Lock()
		defer sim.mu.Unlock()
		sim.vmListOutages[index].to = time.Now()
	}
}

func (inj injection) delayVMList() {
	inj.applyState(func(s *standin.FaultState, on bool) {
		if s.VMListLagMS = vmListLag.Milliseconds(); on {
			s.VMListLagMS = (vmListLag + inj.duration).Milliseconds()
		}
	})
}

// announceLeaving lists an agent's VM as leaving, stops the agent, and later lists the VM as live and starts the agent again.
func (inj injection) announceLeaving() {
	n := inj.claimNode(inj.sim.agents)
	if n == nil {
		return
	}
	defer n.releaseClaim()
	sim, faults := inj.sim, inj.sim.platform.Faults()
	shownAt := time.Now().Add(vmListLag)
	faults.Set(func(s *standin.FaultState) { s.VMLeaving = []string{n.name} })
	time.Sleep(vmListLag + leavingPropagationLimit + inj.duration)
	sim.mu.Lock()
	knownInTime := !slices.ContainsFunc(sim.vmListOutages, func(outage interval) bool {
		return outage.overlaps(shownAt, shownAt.Add(leavingPropagationLimit))
	})
	if knownInTime {
		sim.leavingIntervals[n.endpoint] = append(sim.leavingIntervals[n.endpoint],
			interval{shownAt.Add(leavingPropagationLimit), time.Now()})
	}
	sim.mu.Unlock()
	n.drain()
	faults.Set(func(s *standin.FaultState) { s.VMLeaving = nil })
	time.Sleep(vmListLag + time.Second)
	n.start()
}

func (inj injection) disturbRunDelivery(late, duplicate, misdelivery float64) {
	inj.sim.runDelivery.setProbabilities(late, duplicate, misdelivery)
	time.Sleep(inj.duration)
	inj.sim.runDelivery.setProbabilities(0, 0, 0)
}

func (d *runDelivery) setProbabilities(late, duplicate, misdelivery float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lateProbability, d.duplicateProbability, d.misdeliveryProbability = late, duplicate, misdelivery
}
