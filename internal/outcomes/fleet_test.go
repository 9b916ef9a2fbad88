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
	callerKey     = "caller"
	operatorToken = "operator"
	crashMarker   = "crash-marker"
	balancerLag   = 2 * time.Second
	quietPeriod   = 75 * time.Second // longer than the leases, the kept streams and the grace of late records together
)

const fleetText = `
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

// plan describes a run.
type plan struct {
	seed     uint64
	length   time.Duration
	callers  int
	faults   []string
	disabled entry.Disabled
	off      agent.Disabled
	abrupt   bool // graceful stops cut off what runs
	unaware  bool // no process learns from the VM list that a VM leaves
}

// interval is a span of time; a zero end is open.
type interval struct{ from, to time.Time }

func (i interval) overlaps(from, to time.Time) bool {
	return !i.from.After(to) && (i.to.IsZero() || !i.to.Before(from))
}

// node is one VM with an entry or an agent, over all incarnations.
type node struct {
	run                *run
	name, domain, addr string
	callersAddr        string // entry
	endpoint           string // agent

	mu       sync.Mutex
	busy     bool // a fault holds the node
	host     *host
	app      *fx.App
	troubled []interval // paused, killed or not yet ready
	stopping time.Time  // start of a graceful stop
}

// run is one simulation.
type run struct {
	plan
	t        *testing.T
	rng      *rand.Rand // of the fault injector only
	platform *standin.Platform
	network  *network
	faultnet *faultnet.Network
	courier  *courier
	entries  []*node
	agents   []*node
	log      *logrus.Logger
	stop     chan struct{} // closed when callers end
	holds    sync.WaitGroup

	mu         sync.Mutex
	violations []string
	injected   map[string]int
	answers    map[string]int // by status and kind
	requests   map[string]*record
	work       map[string][]execution // by prompt or path
	leaving    map[string][]interval  // by endpoint: when no new work may reach it
	cutOff     []interval             // nodes could not learn of the VM list
}

// execution is one piece of work that reached an endpoint.
type execution struct {
	endpoint string
	at       time.Time
}

func (r *run) violate(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// asserted takes a violation from inside the program. A paused agent ends its attempts when it wakes.
func (r *run) asserted(name, detail string) {
	now := time.Now()
	paused := func(n *node) bool { return n.wasTroubled(now.Add(-10*time.Second), now) }
	if name == "deadline_overrun" && slices.ContainsFunc(r.agents, paused) {
		return
	}
	r.violate("invariant %s: %s", name, detail)
}

func (r *run) count(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.injected[kind]++
}

func (r *run) executed(work, endpoint string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.work[work] = append(r.work[work], execution{endpoint, time.Now()})
}

// simulate executes a plan in virtual time and returns the run with its violations.
func simulate(t *testing.T, p plan) *run {
	var r *run
	synctest.Test(t, func(t *testing.T) {
		r = newRun(t, p)
		restore := invariant.SetHandler(r.asserted)
		defer restore()
		r.start()
		r.drive()
		r.settle()
		r.check()
		r.shutDown()
	})
	return r
}

func newRun(t *testing.T, p plan) *run {
	r := &run{plan: p, t: t, rng: rand.New(rand.NewPCG(p.seed, 0)), network: &network{listeners: make(map[string]*listener)},
		log: logrus.New(), stop: make(chan struct{}), injected: make(map[string]int), answers: make(map[string]int),
		requests: make(map[string]*record), work: make(map[string][]execution), leaving: make(map[string][]interval)}
	r.log.SetOutput(io.Discard)
	r.platform = standin.New(standin.Options{Engine: standin.EngineOptions{KVCapacity: 12_000}, Service: standin.ServiceOptions{CallTime: 150 * time.Millisecond}})
	r.faultnet = faultnet.New(r.platform.Faults()).Over(r.network.dial)
	r.courier = &courier{network: r.network, rng: rand.New(rand.NewPCG(p.seed, 1)), count: r.count, former: make(map[string][]byte)}
	return r
}

func (r *run) start() {
	for i := range 3 {
		r.entries = append(r.entries, r.addNode(fmt.Sprintf("entry-%d", i+1), i, cloud.RoleEntry, ""))
	}
	for i := range 4 {
		name := fmt.Sprintf("model-%d", i+1)
		r.platform.AddEngine(name, standin.EngineOptions{})
		r.agents = append(r.agents, r.addNode("agent-"+name, i, cloud.RoleAgent, name))
	}
	for i := range 3 {
		name := fmt.Sprintf("counter-%d", i+1)
		r.platform.AddService(name, standin.ServiceOptions{})
		r.agents = append(r.agents, r.addNode("agent-"+name, i, cloud.RoleAgent, name))
	}
	for _, n := range r.nodes() {
		n.start()
	}
	r.submit()
	time.Sleep(10 * time.Second) // engines load the model
}

func (r *run) nodes() []*node { return append(append([]*node(nil), r.entries...), r.agents...) }

func (r *run) addNode(name string, i int, role cloud.VMRole, endpoint string) *node {
	n := &node{run: r, name: name, domain: string("abc"[i%3]), addr: name + ":1", callersAddr: name + ":80", endpoint: endpoint}
	r.faultnet.Register(n.addr, n.domain, n.name, endpoint)
	r.platform.SetVM(cloud.VM{Name: name, Addr: n.addr, FailureDomain: n.domain, State: cloud.VMLive, Role: role})
	return n
}

func (r *run) submit() {
	sum := sha256.Sum256([]byte(callerKey))
	text := fmt.Sprintf(fleetText, hex.EncodeToString(sum[:]))
	client := r.newClient()
	for range 20 {
		req, err := http.NewRequest(http.MethodPut, "http://"+r.entries[0].callersAddr+"/v1/fleet", strings.NewReader(text))
		require.NoError(r.t, err)
		req.Header.Set("Authorization", "Bearer "+operatorToken)
		req.Header.Set("If-Match", `"0"`)
		resp, err := client.Do(req)
		if err == nil {
			body, _ := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusPreconditionFailed {
				return
			}
			r.t.Logf("submit: %d %s", resp.StatusCode, body)
		}
		time.Sleep(500 * time.Millisecond)
	}
	r.t.Fatal("the text was not accepted")
}

// newClient returns a client of callers, which reach entries without faults of their own.
func (r *run) newClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: r.network.dial, DisableKeepAlives: true}}
}

// start starts a new incarnation of the node's process.
func (n *node) start() {
	r := n.run
	h := &host{conns: make(map[*hostConn]struct{}), courier: r.courier}
	services := r.platform.ServicesFrom(n.domain)
	services.Table = hostTable{services.Table, h}
	if r.unaware {
		services.VMs = steadyList{services.VMs}
	}
	me := settings.Node{Name: n.name, FailureDomain: n.domain, Listen: n.addr}
	seeds := []string{"entry-1:1", "entry-2:1", "entry-3:1"}
	dial := h.dialer(r.faultnet.Dialer(n.domain, n.name, n.endpoint))
	var module fx.Option
	if n.endpoint == "" {
		sum := sha256.Sum256([]byte(operatorToken))
		module = entry.Module(entry.Options{Node: me, CallerListenAddr: n.callersAddr, OperatorTokenHashes: []string{hex.EncodeToString(sum[:])},
			Platform: services, Seeds: seeds, Dial: dial, Listen: h.listen(r.network), Log: r.log, BalancerLag: balancerLag, Disabled: r.disabled})
	} else {
		o := agent.Options{Node: me, Endpoint: n.endpoint, Platform: services, Seeds: seeds, Dial: dial, Listen: h.listen(r.network), Log: r.log, Disabled: r.off}
		if e := r.platform.Engine(n.endpoint); e != nil {
			o.EndpointKind, o.Engine = fleet.KindModel, hostEngine{e, h, n.endpoint, r}
		} else {
			o.EndpointKind, o.Service = fleet.KindPlain, hostService{r.platform.Service(n.endpoint), h, n.endpoint, r}
		}
		module = agent.Module(o)
	}
	app := fx.New(fx.NopLogger, module)
	require.NoError(r.t, app.Start(context.Background()))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.host, n.app, n.stopping = h, app, time.Time{}
}

// kill ends the process without a graceful shutdown. Its goroutines end in the background.
func (n *node) kill() {
	n.mu.Lock()
	h, app := n.host, n.app
	n.mu.Unlock()
	h.kill()
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond) // ends the graceful stop at once
	defer cancel()
	_ = app.Stop(ctx)
}

// drain stops the process gracefully.
func (n *node) drain() {
	n.mu.Lock()
	app := n.app
	n.stopping = time.Now()
	n.mu.Unlock()
	if n.run.abrupt {
		n.kill()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Minute)
	defer cancel()
	if err := app.Stop(ctx); err != nil {
		n.run.violate("graceful stop of %s: %v", n.name, err)
	}
}

// trouble marks the node as paused, killed or starting until the returned function is called.
func (n *node) trouble() (over func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := len(n.troubled)
	n.troubled = append(n.troubled, interval{from: time.Now()})
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.troubled[i].to = time.Now()
	}
}

func (n *node) wasTroubled(from, to time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, i := range n.troubled {
		if i.overlaps(from, to) {
			return true
		}
	}
	return false
}

// drive runs callers and faults for the length of the plan.
func (r *run) drive() {
	var callers sync.WaitGroup
	for i := range r.callers {
		callers.Go(func() { newCaller(r, i).loop() })
	}
	injector := make(chan struct{})
	go func() {
		defer close(injector)
		r.inject()
	}()
	time.Sleep(r.length)
	close(r.stop)
	callers.Wait()
	<-injector
	r.holds.Wait()
}

// settle ends the faults and waits for the quiet period.
func (r *run) settle() {
	r.courier.set(0, 0, 0)
	time.Sleep(quietPeriod)
}

// checkQuiet asserts that no finished request holds memory or a goroutine.
func (r *run) checkQuiet() {
	for _, n := range r.agents {
		client := wire.NewAgentProtobufClient("http://"+n.addr, r.newClient())
		reply, err := client.Release(context.Background(), &wire.ReleaseRequest{})
		if err != nil {
			r.violate("%s does not answer after the run: %v", n.name, err)
			continue
		}
		load := reply.GetLoad()
		if load.GetKvFree() != load.GetKvCapacity() || load.GetRunning() != 0 || load.GetWaiting() != 0 {
			r.violate("%s is not idle after the run: %v", n.name, load)
		}
		if e := r.platform.Engine(n.endpoint); e != nil && e.KVUsed() != 0 {
			r.violate("engine %s uses %d tokens of KV memory after the run", n.endpoint, e.KVUsed())
		}
	}
	buf := make([]byte, 16<<20)
	stacks := string(buf[:runtime.Stack(buf, true)])
	for _, frame := range []string{"entry.(*dispatcher).run(", "agent.(*Agent).execute(", "entry.(*server).chat(", "entry.(*server).plain("} {
		if n := strings.Count(stacks, frame); n > 0 {
			r.violate("%d goroutines of finished requests are left in %s", n, frame)
		}
	}
}

func (r *run) shutDown() {
	var stops sync.WaitGroup
	for _, n := range r.nodes() {
		stops.Go(n.drain)
	}
	stops.Wait()
	r.platform.Close()
	time.Sleep(3 * time.Minute) // idle connections time out
}
