package experiment

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/peer"
	"github.com/bilberrylink/bilberrylink/wire"
)

// networkDelay is the one-way delay between two nodes.
const networkDelay = 1500 * time.Microsecond

// Options configure a World.
type Options struct {
	Entries       int
	Agents        int
	Domains       int
	PollOnly      bool                 // nodes learn from the table alone
	Faulty        epoch.FaultInjection // mechanisms switched off in every store
	Unconditional bool                 // acceptors commit without a condition
	SkipConfirm   bool                 // acceptors answer without another node's confirmation
}

// World is a fleet of peers in one process.
type World struct {
	options Options
	Table   *Table
	Nodes   []*Node // entries first

	mu     sync.Mutex
	byAddr map[string]*Node
	cut    map[string]bool // failure domains that are cut off from the others
}

// Node is one process of a World. A restart replaces its peer.
type Node struct {
	world  *World
	Name   string
	Addr   string
	Domain string
	Role   cloud.VMRole

	mu       sync.Mutex
	peer     *peer.Peer
	acceptor *epoch.Acceptor
	stop     context.CancelFunc
	done     chan struct{}
	starts   int
	resumed  chan struct{} // closed while the node runs
}

// NewWorld returns a fleet that is not started.
func NewWorld(o Options) *World {
	w := &World{options: o, Table: NewTable(), byAddr: make(map[string]*Node), cut: make(map[string]bool)}
	for i := range o.Entries + o.Agents {
		n := &Node{world: w, Domain: DomainName(i % o.Domains), Role: cloud.RoleEntry, resumed: make(chan struct{})}
		n.Name, n.Addr = fmt.Sprintf("entry-%04d", i), fmt.Sprintf("entry-%04d:1", i)
		if i >= o.Entries {
			n.Role, n.Name, n.Addr = cloud.RoleAgent, fmt.Sprintf("agent-%04d", i), fmt.Sprintf("agent-%04d:1", i)
		}
		close(n.resumed)
		w.Nodes = append(w.Nodes, n)
		w.byAddr[n.Addr] = n
	}
	return w
}

// DomainName returns the name of failure domain i.
func DomainName(i int) string { return fmt.Sprintf("domain-%d", i) }

// Start starts every node.
func (w *World) Start(ctx context.Context) error {
	for _, n := range w.Nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops every node and waits for it.
func (w *World) Stop() {
	for _, n := range w.Nodes {
		n.Stop()
	}
}

// Cut separates a failure domain from the others and from the table, or joins it again.
func (w *World) Cut(domain string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[domain] = cut
}

func (w *World) separated(a, b string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return a != b && (w.cut[a] || w.cut[b])
}

// tableDomain stands for the table's own location: a domain that is cut off has no table.
const tableDomain = "table"

// List implements cloud.VMList.
func (w *World) List(context.Context) ([]cloud.VM, error) {
	vms := make([]cloud.VM, 0, len(w.Nodes))
	for _, n := range w.Nodes {
		vms = append(vms, cloud.VM{Name: n.Name, Addr: n.Addr, FailureDomain: n.Domain, State: cloud.VMLive, Role: n.Role})
	}
	return vms, nil
}

// Start starts the node with a new incarnation and no state.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	n.starts++
	incarnation := fmt.Sprint(n.starts)
	n.mu.Unlock()
	o := n.world.options
	store := epoch.NewStoreWithFaults(n.Domain, o.Faulty)
	gate := nodeTable{n}
	services := cloud.Services{Table: gate, Objects: nodeObjects{n}, VMs: n.world}
	p, err := peer.New(peer.Options{Name: n.Name, Addr: n.Addr, FailureDomain: n.Domain, Role: n.Role, Endpoint: endpointOf(n),
		Incarnation: incarnation, Services: services, Client: n.client, Store: store, PollOnly: o.PollOnly, FillRecord: n.report})
	if err != nil {
		return err
	}
	acceptor := epoch.NewAcceptor(epoch.AcceptorOptions{Node: n.Name, Services: services, Store: store, Cluster: p, UnconditionalCommit: o.Unconditional,
		SkipConfirmation: o.PollOnly || o.SkipConfirm})
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	n.mu.Lock()
	n.peer, n.acceptor, n.stop, n.done = p, acceptor, stop, done
	n.mu.Unlock()
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = p.Run(ctx) }) // ends with the context only
		if n.Role == cloud.RoleEntry {
			wg.Go(func() { _ = acceptor.Run(ctx) }) // ends with the context only
		}
		wg.Wait()
	}()
	return nil
}

// report adds what an agent of a model engine reports, so that messages have their usual size.
func (n *Node) report(r *wire.NodeRecord) {
	if n.Role != cloud.RoleAgent {
		return
	}
	r.Load = &wire.Load{Endpoint: r.Endpoint, Sequence: uint64(time.Now().UnixMilli()), QueuedPrefill: 250_000, KvFree: 400_000,
		KvCapacity: 900_000, PrefillRate: 24_000, Running: 20, Waiting: 4, Incarnation: r.Incarnation}
	r.Loaded = []*wire.Version{{Model: "model-07", Version: "2026-11-02", Batch: "delivery-2026-11"}}
}

func endpointOf(n *Node) string {
	if n.Role == cloud.RoleAgent {
		return "endpoint-" + n.Name
	}
	return ""
}

// Stop ends the node's process and waits for it. A stopped node can be started again.
func (n *Node) Stop() {
	n.Pause(false)
	n.mu.Lock()
	stop, done := n.stop, n.done
	n.peer, n.stop = nil, nil
	n.mu.Unlock()
	if stop != nil {
		stop()
		<-done
	}
}

// Pause holds back every call to and from the node, or lets them go on.
func (n *Node) Pause(paused bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.resumed:
		if paused {
			n.resumed = make(chan struct{})
		}
	default:
		if !paused {
			close(n.resumed)
		}
	}
}

// Peer returns the node's peer, nil while it is stopped.
func (n *Node) Peer() *peer.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peer
}

// Acceptor returns the node's acceptor.
func (n *Node) Acceptor() *epoch.Acceptor {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor
}

// Epoch returns the epoch that the node holds, 0 while it is stopped.
func (n *Node) Epoch() int64 {
	if p := n.Peer(); p != nil {
		return p.EpochStore().Epoch()
	}
	return 0
}

// Running reports whether the node is neither stopped nor paused.
func (n *Node) Running() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	select {
	case <-n.resumed:
		return n.peer != nil
	default:
		return false
	}
}

// gate waits while the node is paused.
func (n *Node) gate(ctx context.Context) error {
	n.mu.Lock()
	resumed := n.resumed
	n.mu.Unlock()
	select {
	case <-resumed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (n *Node) client(addr string) wire.Peer { return link{from: n, addr: addr} }

// link is the network between two nodes. A separated link is silent: calls end with their context.
type link struct {
	from *Node
	addr string
}

var errRefused = errors.New("experiment: connection refused")

// Exchange implements wire.Peer.
func (l link) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	w := l.from.world
	w.mu.Lock()
	to := w.byAddr[l.addr]
	w.mu.Unlock()
	if err := l.deliver(ctx, l.from, to); err != nil {
		return nil, err
	}
	p := to.Peer()
	if p == nil {
		return nil, errRefused
	}
	reply, err := p.Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, l.deliver(ctx, to, l.from)
}

// deliver waits for one message to pass from a to b.
func (l link) deliver(ctx context.Context, a, b *Node) error {
	if err := a.gate(ctx); err != nil {
		return err
	}
	if err := timing.Sleep(ctx, networkDelay); err != nil {
		return err
	}
	if a.world.separated(a.Domain, b.Domain) {
		<-ctx.Done()
		return ctx.Err()
	}
	return b.gate(ctx)
}

// reach waits until the node may call the table, which a domain that is cut off cannot.
func (n *Node) reach(ctx context.Context) error {
	if err := n.gate(ctx); err != nil {
		return err
	}
	if n.world.separated(n.Domain, tableDomain) {
		return cloud.ErrUnavailable
	}
	return nil
}

type nodeTable struct{ node *Node }

func (t nodeTable) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := t.node.reach(ctx); err != nil {
		return cloud.Row{}, err
	}
	return t.node.world.Table.Get(ctx, key)
}

func (t nodeTable) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	if err := t.node.reach(ctx); err != nil {
		return nil, err
	}
	return t.node.world.Table.Commit(ctx, writes...)
}

func (t nodeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if err := t.node.reach(ctx); err != nil {
		return nil, err
	}
	return t.node.world.Table.Scan(ctx, prefix, after, limit)
}

type nodeObjects struct{ node *Node }

func (o nodeObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.node.reach(ctx); err != nil {
		return err
	}
	return o.node.world.Table.Objects().Put(ctx, name, data)
}

func (o nodeObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.node.reach(ctx); err != nil {
		return nil, err
	}
	return o.node.world.Table.Objects().Get(ctx, name)
}

// Text returns a configuration text with the given number of workspaces. Texts of different revisions differ in one line.
func Text(domains, workspaces, revision int) []byte {
	text := "settings:\n  failure_domains: ["
	for i := range domains {
		if i > 0 {
			text += ", "
		}
		text += DomainName(i)
	}
	text += fmt.Sprintf("]\n  max_body_bytes: %d\nworkspaces:\n", 1<<20+revision)
	for i := range workspaces {
		text += fmt.Sprintf("  workspace-%05d:\n    weight: 1\n    requests_per_second: 50\n", i)
	}
	return []byte(text)
}
