package outcomes

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/agent"
	"github.com/bilberrylink/bilberrylink/internal/entry"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/internal/standin/faultnet"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	workspaceKey  = "caller"
	operatorToken = "operator"
	crashMarker   = "crash-marker"
	balancerLag   = 2 * time.Second
	quietPeriod   = 75 * time.Second // longer than leases, stream retention and the grace period of late records together
)

const fleetConfiguration = `
settings: {failure_domains: [a, b, c], freshness_bound: 4s, recall_streams: finish}
services:
  clerk: {kind: model, class: interactive, model: lark, timeout: 20s, max_timeout: 60s, max_tokens: 200}
  orders:
    kind: plain
    class: urgent
    endpoints: ["counter-{1..3}"]
    timeout: 5s
    max_timeout: 30s
    calls:
      - {method: GET, path: /stock/*, idempotent: true}
      - {method: POST, path: /orders}
      - {method: POST, path: /deposits}
models:
  lark: {version: v1, batch: b1, endpoints: ["model-{1..4}"], max_tokens: 100000}
batches:
  b1: {supplier: example}
workspaces:
  workshop: {key_hashes: [%s]}
`

// plan is the configuration of a simulation.
type plan struct {
	seed          uint64
	duration      time.Duration
	callerCount   int
	faultKinds    []string
	entryDisabled entry.Disabled
	agentDisabled agent.Disabled
	killOnStop    bool // processes are killed instead of stopped gracefully
	hideLeaving   bool // processes see leaving VMs as live in the VM list
}

// interval is a period of time. A zero end means that it has not ended.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from))
}

// node is a VM with an entry or an agent. It outlives the incarnations of its process.
type node struct {
	sim                       *simulation
	name, failureDomain, addr string
	callerAddr                string // of an entry: address for callers
	endpoint                  string // of an agent: its endpoint; empty for an entry

	mu            sync.Mutex
	claimed       bool // a fault is using the node
	process       *process
	app           *fx.App
	disruptions   []interval // periods in which the process was paused, killed or starting
	stopStartedAt time.Time  // of the last graceful stop; zero: not stopped since the last start
}

// simulation is one run of entries, agents, callers and faults in virtual time.
type simulation struct {
	plan
	t            *testing.T
	faultRNG     *rand.Rand // used by the fault injector only
	platform     *standin.Platform
	network      *network
	faultnet     *faultnet.Network
	runDelivery  *runDelivery
	entries      []*node
	agents       []*node
	log          *logrus.Logger
	stopCallers  chan struct{} // closed when callers and the injector should stop
	activeFaults sync.WaitGroup

	mu               sync.Mutex
	violations       []string
	faultCounts      map[string]int
	resultCounts     map[string]int // by label
	requests         map[string]*requestRecord
	executions       map[string][]execution // by prompt or path
	leavingIntervals map[string][]interval  // by endpoint: when no new request may reach it
	vmListOutages    []interval             // when some node may be unable to learn of changes to the VM list
}

// execution is a prompt or call that reached an endpoint.
type execution struct {
	endpoint  string
	startedAt time.Time
}

func (sim *simulation) addViolation(format string, args ...any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.violations = append(sim.violations, fmt.Sprintf(format, args...))
}

// handleInvariantViolation records a violation of an internal invariant. Overrun deadlines are ignored when an agent was
// disrupted recently, since a paused agent ends its attempts only after it resumes.
func (sim *simulation) handleInvariantViolation(invariantName, detail string) {
	now := time.Now()
	disrupted := func(n *node) bool { return n.disruptedDuring(now.Add(-10*time.Second), now) }
	if invariantName == "deadline_overrun" && slices.ContainsFunc(sim.agents, disrupted) {
		return
	}
	sim.addViolation("invariant %s: %s", invariantName, detail)
}

func (sim *simulation) countFault(kind string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faultCounts[kind]++
}

func (sim *simulation) recordExecution(promptOrPath, endpoint string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.executions[promptOrPath] = append(sim.executions[promptOrPath], execution{endpoint, time.Now()})
}

// simulate executes a plan in virtual time and returns the simulation with its violations.
func simulate(t *testing.T, p plan) *simulation {
	var sim *simulation
	synctest.Test(t, func(t *testing.T) {
		sim = newSimulation(t, p)
		restore := invariant.SetHandler(sim.handleInvariantViolation)
		defer restore()
		sim.startNodes()
		sim.runCallersAndFaults()
		sim.endFaultsAndWait()
		sim.checkResults()
		sim.shutDown()
	})
	return sim
}

func newSimulation(t *testing.T, p plan) *simulation {
	sim := &simulation{plan: p, t: t, faultRNG: rand.New(rand.NewPCG(p.seed, 0)),
		network: &network{listeners: make(map[string]*listener)},
		log:     logrus.New(), stopCallers: make(chan struct{}), faultCounts: make(map[string]int), resultCounts: make(map[string]int),
		requests: make(map[string]*requestRecord), executions: make(map[string][]execution),
		leavingIntervals: make(map[string][]interval)}
	sim.log.SetOutput(io.Discard)
	sim.platform = standin.New(standin.Options{Engine: standin.EngineOptions{KVCapacity: 12_000},
		Service: standin.ServiceOptions{CallTime: 150 * time.Millisecond}})
	sim.faultnet = faultnet.New(sim.platform.Faults()).SetDial(sim.network.dial)
	sim.runDelivery = &runDelivery{network: sim.network, rng: rand.New(rand.NewPCG(p.seed, 1)),
		countFault: sim.countFault, previousRuns: make(map[string][]byte)}
	return sim
}

func (sim *simulation) startNodes() {
	for i := range 3 {
		sim.entries = append(sim.entries, sim.addNode(fmt.Sprintf("entry-%d", i+1), i, cloud.RoleEntry, ""))
	}
	for i := range 4 {
		name := fmt.Sprintf("model-%d", i+1)
		sim.platform.AddEngine(name, standin.EngineOptions{})
		sim.agents = append(sim.agents, sim.addNode("agent-"+name, i, cloud.RoleAgent, name))
	}
	for i := range 3 {
		name := fmt.Sprintf("counter-%d", i+1)
		sim.platform.AddService(name, standin.ServiceOptions{})
		sim.agents = append(sim.agents, sim.addNode("agent-"+name, i, cloud.RoleAgent, name))
	}
	for _, n := range sim.nodes() {
		n.start()
	}
	sim.submitConfiguration()
	time.Sleep(10 * time.Second) // for the engines to load the model
}

func (sim *simulation) nodes() []*node {
	return append(append([]*node(nil), sim.entries...), sim.agents...)
}

func (sim *simulation) addNode(name string, index int, role cloud.VMRole, endpoint string) *node {
	n := &node{sim: sim, name: name, failureDomain: string("abc"[index%3]), addr: name + ":1",
		callerAddr: name + ":80", endpoint: endpoint}
	sim.faultnet.Register(n.addr, n.failureDomain, n.name, endpoint)
	sim.platform.SetVM(cloud.VM{Name: name, Addr: n.addr, FailureDomain: n.failureDomain, State: cloud.VMLive, Role: role})
	return n
}

func (sim *simulation) submitConfiguration() {
	keyHash := sha256.Sum256([]byte(workspaceKey))
	text := fmt.Sprintf(fleetConfiguration, hex.EncodeToString(keyHash[:]))
	client := sim.newClient()
	for range 20 {
		req, err := http.NewRequest(http.MethodPut, "http://"+sim.entries[0].callerAddr+"/v1/fleet", strings.NewReader(text))
		require.NoError(sim.t, err)
		req.Header.Set("Authorization", "Bearer "+operatorToken)
		req.Header.Set("If-Match", `"0"`)
		resp, err := client.Do(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusPreconditionFailed {
				return
			}
			sim.t.Logf("configuration not accepted yet: status %d, body %s", resp.StatusCode, body)
		}
		time.Sleep(500 * time.Millisecond)
	}
	sim.t.Fatal("the configuration was not accepted")
}

// newClient returns a client whose connections are not subject to injected network faults.
func (sim *simulation) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: sim.network.dial, DisableKeepAlives: true}}
}

// start starts a new incarnation of the process.
func (n *node) start() {
	sim := n.sim
	proc := &process{conns: make(map[*processConn]struct{}), runDelivery: sim.runDelivery}
	services := sim.platform.ServicesFrom(n.failureDomain)
	services.Table = processTable{services.Table, proc}
	if sim.hideLeaving {
		services.VMs = liveVMList{services.VMs}
	}
	nodeSettings := settings.Node{Name: n.name, FailureDomain: n.failureDomain, Listen: n.addr}
	seeds := []string{"entry-1:1", "entry-2:1", "entry-3:1"}
	dial := proc.dialer(sim.faultnet.Dialer(n.failureDomain, n.name, n.endpoint))
	var module fx.Option
	if n.endpoint == "" {
		tokenHash := sha256.Sum256([]byte(operatorToken))
		module = entry.Module(entry.Options{Node: nodeSettings, CallerListenAddr: n.callerAddr,
			OperatorTokenHashes: []string{hex.EncodeToString(tokenHash[:])}, Platform: services, Seeds: seeds, Dial: dial,
			Listen: proc.listen(sim.network), Log: sim.log, BalancerLag: balancerLag, Disabled: sim.entryDisabled})
	} else {
		opts := agent.Options{Node: nodeSettings, Endpoint: n.endpoint, Platform: services, Seeds: seeds, Dial: dial,
			Listen: proc.listen(sim.network), Log: sim.log, Disabled: sim.agentDisabled}
		if engine := sim.platform.Engine(n.endpoint); engine != nil {
			opts.EndpointKind, opts.Engine = fleet.KindModel, processEngine{engine, proc, n.endpoint, sim}
		} else {
			opts.EndpointKind, opts.Service = fleet.KindPlain, processService{sim.platform.Service(n.endpoint), proc, n.endpoint, sim}
		}
		module = agent.Module(opts)
	}
	app := fx.New(fx.NopLogger, module)
	require.NoError(sim.t, app.Start(context.Background()))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.process, n.app, n.stopStartedAt = proc, app, time.Time{}
}

// kill stops the process without a graceful shutdown. Its goroutines end in the background.
func (n *node) kill() {
	n.mu.Lock()
	proc, app := n.process, n.app
	n.mu.Unlock()
	proc.kill()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond) // cuts the graceful stop short
	defer cancel()
	_ = app.Stop(ctx)
}

// drain stops the process gracefully, or kills it if the plan says so.
func (n *node) drain() {
	n.mu.Lock()
	app := n.app
	n.stopStartedAt = time.Now()
	n.mu.Unlock()
	if n.sim.killOnStop {
		n.kill()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		n.sim.addViolation("graceful stop of %s: %v", n.name, err)
	}
}

// beginDisruption records that the process is paused, killed or starting until the returned function is called.
func (n *node) beginDisruption() (end func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	index := len(n.disruptions)
	n.disruptions = append(n.disruptions, interval{from: time.Now()})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.disruptions[index].to = time.Now()
	}
}

func (n *node) disruptedDuring(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, disruption := range n.disruptions {
		if disruption.overlaps(from, to) {
			return true
		}
	}
	return false
}

// runCallersAndFaults runs callers and faults for the duration of the plan and waits until both have ended.
func (sim *simulation) runCallersAndFaults() {
	var callers sync.WaitGroup
	for i := range sim.callerCount {
		callers.Go(func() { newCaller(sim, i).sendRequests() })
	}
	injectorDone := make(chan struct{})
	go func() {
		defer close(injectorDone)
		sim.injectFaults()
	}()
	time.Sleep(sim.duration)
	close(sim.stopCallers)
	callers.Wait()
	<-injectorDone
	sim.activeFaults.Wait()
}

// endFaultsAndWait stops the faults in the delivery of run requests and waits for the quiet period.
func (sim *simulation) endFaultsAndWait() {
	sim.runDelivery.setProbabilities(0, 0, 0)
	time.Sleep(quietPeriod)
}

// checkIdle verifies that finished requests have released their KV memory and goroutines.
func (sim *simulation) checkIdle() {
	for _, n := range sim.agents {
		client := wire.NewAgentProtobufClient("http://"+n.addr, sim.newClient())
		reply, err := client.Release(context.Background(), &wire.ReleaseRequest{})
		if err != nil {
			sim.addViolation("%s does not answer after the run: %v", n.name, err)
			continue
		}
		load := reply.GetLoad()
		if load.GetKvFree() != load.GetKvCapacity() || load.GetRunning() != 0 || load.GetWaiting() != 0 {
			sim.addViolation("%s is not idle after the run: %v", n.name, load)
		}
		if engine := sim.platform.Engine(n.endpoint); engine != nil && engine.KVUsed() != 0 {
			sim.addViolation("engine %s uses %d tokens of KV memory after the run", n.endpoint, engine.KVUsed())
		}
	}
	buf := make([]byte, 16<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	for _, frame := range []string{"entry.(*dispatcher).run(", "agent.(*Agent).execute(",
		"entry.(*server).handleChat(", "entry.(*server).handleCall("} {
		if count := strings.Count(stacks, frame); count > 0 {
			sim.addViolation("%d goroutines of finished requests are left in %s", count, frame)
		}
	}
}

func (sim *simulation) shutDown() {
	var nodeStops sync.WaitGroup
	for _, n := range sim.nodes() {
		nodeStops.Go(n.drain)
	}
	nodeStops.Wait()
	sim.platform.Close()
	time.Sleep(3 * time.Minute) // idle connections time out
}
