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

// oneWayDelay is the network delay of a message between two nodes.
const oneWayDelay = 1500 * time.Microsecond

// Options configure a Cluster.
type Options struct {
	Entries             int
	Agents              int
	Domains             int                  // number of failure domains
	PollOnly            bool                 // nodes learn of epochs only by polling the table
	Faults              epoch.FaultInjection // mechanisms disabled in every epoch store
	UnconditionalCommit bool                 // acceptors commit without checking the row version
	SkipConfirmation    bool                 // acceptors report acceptance before another node holds the epoch
}

// Cluster is a cluster of peers in one process.
type Cluster struct {
	options Options
	Table   *Table
	Nodes   []*Node // entries first

	mu              sync.Mutex
	byAddr          map[string]*Node
	isolatedDomains map[string]bool // failure domains without a connection to the others
}

// Node simulates one process of a Cluster. A restart replaces its peer.
type Node struct {
	cluster *Cluster
	Name    string
	Addr    string
	Domain  string
	Role    cloud.VMRole

	mu         sync.Mutex
	peer       *peer.Peer
	acceptor   *epoch.Acceptor
	cancel     context.CancelFunc
	done       chan struct{}
	startCount int
	resumed    chan struct{} // closed while the node is not paused
}

// NewCluster returns a cluster whose nodes are not started.
func NewCluster(o Options) *Cluster {
	cluster := &Cluster{options: o, Table: NewTable(), byAddr: make(map[string]*Node), isolatedDomains: make(map[string]bool)}
	for i := range o.Entries + o.Agents {
		n := &Node{cluster: cluster, Domain: DomainName(i % o.Domains), Role: cloud.RoleEntry, resumed: make(chan struct{})}
		n.Name, n.Addr = fmt.Sprintf("entry-%04d", i), fmt.Sprintf("entry-%04d:1", i)
		if i >= o.Entries {
			n.Role, n.Name, n.Addr = cloud.RoleAgent, fmt.Sprintf("agent-%04d", i), fmt.Sprintf("agent-%04d:1", i)
		}
		close(n.resumed)
		cluster.Nodes = append(cluster.Nodes, n)
		cluster.byAddr[n.Addr] = n
	}
	return cluster
}

// DomainName returns the name of failure domain i.
func DomainName(i int) string { return fmt.Sprintf("domain-%d", i) }

func (c *Cluster) Start(ctx context.Context) error {
	for _, n := range c.Nodes {
		if err := n.Start(ctx); err != nil {
			return err
		}
	}
	return nil
}

// Stop stops every node and waits until it has ended.
func (c *Cluster) Stop() {
	for _, n := range c.Nodes {
		n.Stop()
	}
}

// SetIsolated disconnects a failure domain from the other domains and from the table, or reconnects it.
func (c *Cluster) SetIsolated(domain string, isolated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isolatedDomains[domain] = isolated
}

func (c *Cluster) partitioned(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return a != b && (c.isolatedDomains[a] || c.isolatedDomains[b])
}

// tableDomain is the location of the table. An isolated failure domain cannot reach it.
const tableDomain = "table"

// List implements cloud.VMList.
func (c *Cluster) List(context.Context) ([]cloud.VM, error) {
	vms := make([]cloud.VM, 0, len(c.Nodes))
	for _, n := range c.Nodes {
		vms = append(vms, cloud.VM{Name: n.Name, Addr: n.Addr, FailureDomain: n.Domain, State: cloud.VMLive, Role: n.Role})
	}
	return vms, nil
}

// Start runs the node as a new incarnation without any state.
func (n *Node) Start(ctx context.Context) error {
	n.mu.Lock()
	n.startCount++
	incarnation := fmt.Sprint(n.startCount)
	n.mu.Unlock()
	o := n.cluster.options
	store := epoch.NewStoreWithFaults(n.Domain, o.Faults)
	table := nodeTable{n}
	services := cloud.Services{Table: table, Objects: nodeObjects{n}, VMs: n.cluster}
	p, err := peer.New(peer.Options{Name: n.Name, Addr: n.Addr, FailureDomain: n.Domain, Role: n.Role, Endpoint: endpointName(n),
		Incarnation: incarnation, Services: services, Client: n.client, Store: store, PollOnly: o.PollOnly, FillRecord: n.fillLoad})
	if err != nil {
		return err
	}
	acceptor := epoch.NewAcceptor(epoch.AcceptorOptions{Node: n.Name, Services: services, Store: store, Cluster: p,
		UnconditionalCommit: o.UnconditionalCommit, SkipConfirmation: o.PollOnly || o.SkipConfirmation})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	n.mu.Lock()
	n.peer, n.acceptor, n.cancel, n.done = p, acceptor, cancel, done
	n.mu.Unlock()
	go func() {
		defer close(done)
		var wg sync.WaitGroup
		wg.Go(func() { _ = p.Run(ctx) }) // returns only when the context ends
		if n.Role == cloud.RoleEntry {
			wg.Go(func() { _ = acceptor.Run(ctx) }) // returns only when the context ends
		}
		wg.Wait()
	}()
	return nil
}

// fillLoad adds the load report of a model engine to an agent's record, so that messages have a realistic size.
func (n *Node) fillLoad(r *wire.NodeRecord) {
	if n.Role != cloud.RoleAgent {
		return
	}
	r.Load = &wire.Load{Endpoint: r.Endpoint, Sequence: uint64(time.Now().UnixMilli()), QueuedPrefill: 250_000, KvFree: 400_000,
		KvCapacity: 900_000, PrefillRate: 24_000, Running: 20, Waiting: 4, Incarnation: r.Incarnation}
	r.Loaded = []*wire.Version{{Model: "model-07", Version: "2026-11-02", Batch: "delivery-2026-11"}}
}

func endpointName(n *Node) string {
	if n.Role == cloud.RoleAgent {
		return "endpoint-" + n.Name
	}
	return ""
}

// Stop cancels the node and waits until it has ended. A stopped node can be started again.
func (n *Node) Stop() {
	n.Pause(false)
	n.mu.Lock()
	cancel, done := n.cancel, n.done
	n.peer, n.cancel = nil, nil
	n.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

// Pause blocks every call to and from the node, or unblocks them.
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

// Peer returns the node's peer, or nil while the node is stopped.
func (n *Node) Peer() *peer.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peer
}

func (n *Node) Acceptor() *epoch.Acceptor {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor
}

// Epoch returns the epoch that the node holds, or 0 while it is stopped.
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

// awaitResumed blocks while the node is paused.
func (n *Node) awaitResumed(ctx context.Context) error {
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

// link is a simulated network connection from a node to an address. While the two are partitioned, a call blocks until
// its context ends.
type link struct {
	from *Node
	addr string
}

var errConnectionRefused = errors.New("experiment: connection refused")

// Exchange implements wire.Peer.
func (l link) Exchange(ctx context.Context, req *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	cluster := l.from.cluster
	cluster.mu.Lock()
	to := cluster.byAddr[l.addr]
	cluster.mu.Unlock()
	if err := l.deliver(ctx, l.from, to); err != nil {
		return nil, err
	}
	p := to.Peer()
	if p == nil {
		return nil, errConnectionRefused
	}
	reply, err := p.Exchange(ctx, req)
	if err != nil {
		return nil, err
	}
	return reply, l.deliver(ctx, to, l.from)
}

// deliver waits until a message has passed between two nodes.
func (l link) deliver(ctx context.Context, from, to *Node) error {
	if err := from.awaitResumed(ctx); err != nil {
		return err
	}
	if err := timing.Sleep(ctx, oneWayDelay); err != nil {
		return err
	}
	if from.cluster.partitioned(from.Domain, to.Domain) {
		<-ctx.Done()
		return ctx.Err()
	}
	return to.awaitResumed(ctx)
}

// awaitTableAccess blocks while the node is paused and fails if its failure domain is isolated.
func (n *Node) awaitTableAccess(ctx context.Context) error {
	if err := n.awaitResumed(ctx); err != nil {
		return err
	}
	if n.cluster.partitioned(n.Domain, tableDomain) {
		return cloud.ErrUnavailable
	}
	return nil
}

type nodeTable struct{ node *Node }

func (t nodeTable) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := t.node.awaitTableAccess(ctx); err != nil {
		return cloud.Row{}, err
	}
	return t.node.cluster.Table.Get(ctx, key)
}

func (t nodeTable) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	if err := t.node.awaitTableAccess(ctx); err != nil {
		return nil, err
	}
	return t.node.cluster.Table.Commit(ctx, writes...)
}

func (t nodeTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if err := t.node.awaitTableAccess(ctx); err != nil {
		return nil, err
	}
	return t.node.cluster.Table.Scan(ctx, prefix, after, limit)
}

type nodeObjects struct{ node *Node }

func (o nodeObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := o.node.awaitTableAccess(ctx); err != nil {
		return err
	}
	return o.node.cluster.Table.Objects().Put(ctx, name, data)
}

func (o nodeObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := o.node.awaitTableAccess(ctx); err != nil {
		return nil, err
	}
	return o.node.cluster.Table.Objects().Get(ctx, name)
}

// ConfigText returns a configuration text with the given number of failure domains and workspaces. The texts of two revisions
// differ in one line.
func ConfigText(domains, workspaces, revision int) []byte {
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
