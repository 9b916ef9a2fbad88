package gatewayd

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/platform/platformtest"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/storewatch"
	"github.com/bilberrylink/bilberrylink/throttle"
)

const linkDelay = 500 * time.Microsecond

// storeTransport carries the calls of one gateway to the store.
type storeTransport struct {
	store *platformtest.Store
	name  string
}

func (t storeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(linkDelay)
	recorder := httptest.NewRecorder()
	t.store.Serve(recorder, req, t.name)
	if err := req.Context().Err(); err != nil {
		return nil, err
	}
	return recorder.Result(), nil
}

// testFleet is a fleet of gateways without callers: the real watching, following and exchange over an emulated network.
type testFleet struct {
	t     *testing.T
	store *platformtest.Store

	mu    sync.Mutex
	nodes map[string]*testNode // by address; those that run
	cut   func(a, b *testNode) bool
	all   []*testNode

	// network carries the calls to the store and between gateways; nil: they need no connections.
	network  *silenceableNetwork
	storeEnd *pipeListener
	closers  []func()
}

// setCut cuts the connections between pairs of gateways, in both directions.
func (f *testFleet) setCut(cut func(a, b *testNode) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// reachable returns the gateway at an address if another one reaches it.
func (f *testFleet) reachable(from *testNode, addr string) *testNode {
	to := f.node(addr)
	f.mu.Lock()
	defer f.mu.Unlock()
	if to == nil || f.cut != nil && f.cut(from, to) {
		return nil
	}
	return to
}

// seedsOf returns the gateways that one knows when it starts.
func (f *testFleet) seedsOf(n *testNode) []*testNode {
	if n.seeds != nil {
		return n.seeds
	}
	return f.all
}

type testNode struct {
	fleet  *testFleet
	name   string
	domain string
	addr   string
	state  *pipeListener // serves the state to peers on the fleet's network
	daemon *daemon
	inbox  chan []byte
	closed chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
	frozen bool        // receives and sends nothing
	seeds  []*testNode // that it knows when it starts; nil: all
}

func newTestFleet(t *testing.T, gateways, domains int) *testFleet {
	f := &testFleet{t: t, store: platformtest.NewStore(), nodes: make(map[string]*testNode)}
	f.startAll(gateways, domains)
	return f
}

// newConnectedFleet returns a fleet whose calls use connections.
func newConnectedFleet(t *testing.T, gateways, domains int) *testFleet {
	f := &testFleet{t: t, store: platformtest.NewStore(), nodes: make(map[string]*testNode), network: new(silenceableNetwork)}
	var closeStore func()
	f.storeEnd, closeStore = servePipe(f.store)
	f.closers = append(f.closers, closeStore)
	f.startAll(gateways, domains)
	return f
}

func (f *testFleet) startAll(gateways, domains int) {
	f.store.SetEpoch(1)
	for i := range 5 {
		f.store.SetEndpoint(fmt.Sprintf("i%d", i), testEndpoint(i))
	}
	for i := range gateways {
		f.all = append(f.all, &testNode{fleet: f, name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprintf("domain-%d", i%domains),
			addr: fmt.Sprintf("10.0.%d.%d:7680", i/250, 1+i%250)})
	}
	for _, n := range f.all {
		n.start()
	}
}

func testEndpoint(i int) platformtest.Endpoint {
	return platformtest.Endpoint{Service: "s", Addr: fmt.Sprintf("10.9.0.%d:80", i+1)}
}

func drainingEndpoint(i int) platformtest.Endpoint {
	e := testEndpoint(i)
	e.Draining = true
	return e
}

// start runs the gateway as a new process, which knows the addresses of all others.
func (n *testNode) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &daemon{log: log, stateSync: newStateSync(log, nil), settings: &platform.Settings{Name: n.name, InternalAddr: n.addr},
		store:     platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: n.toStore(), Log: log}),
		scheduler: placement.NewScheduler(), quarantine: quarantine.New(quarantine.Options{Log: log})}
	d.throttle = throttle.New(throttle.Options{Log: log, Gateways: func() int { return 1 + len(d.exchange.LivePeers()) },
		Sharing: func() int { return d.exchange.CircleSize() }})
	d.storage = newQuarantineStorage(d.store, d.quarantine, d.era, log)
	d.exchange = exchange.New(exchange.Options{Name: n.name, Addr: n.addr, FailureDomain: n.domain, Conn: memConn{n},
		Scheduler: d.scheduler, Quarantine: d.quarantine, Throttle: d.throttle, Evacuation: d.stateSync.evacuation, Versions: d.stateSync.versions, Log: log})
	d.stateSync.onNews = d.exchange.AnnounceVersions
	d.follower = newFollower(d.exchange, d.stateSync, storewatch.Gateway{Name: n.name, FailureDomain: n.domain}, log)
	n.daemon, n.inbox, n.closed = d, make(chan []byte, 4096), make(chan struct{})
	d.follower.client = exchange.NewStateClient(n.toPeers())
	for _, other := range n.fleet.seedsOf(n) {
		require.NoError(n.fleet.t, d.exchange.AddTarget(other.addr))
	}
	n.fleet.mu.Lock()
	n.fleet.nodes[n.addr] = n
	n.fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	tasks := []func(context.Context){d.exchange.Run, d.follower.run, d.storage.run, d.maintainPeerList}
	for _, w := range d.watchers() {
		tasks = append(tasks, w.Run)
	}
	for _, task := range tasks {
		n.done.Go(func() { task(ctx) })
	}
}

// toStore returns the transport of calls to the store.
func (n *testNode) toStore() http.RoundTripper {
	if n.fleet.network == nil {
		return storeTransport{n.fleet.store, n.name}
	}
	return &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second,
		DialContext: n.fleet.network.dialTo(func(string) *pipeListener { return n.fleet.storeEnd })}
}

// toPeers returns the transport of calls to other gateways, and starts the server for theirs.
func (n *testNode) toPeers() http.RoundTripper {
	if n.fleet.network == nil {
		return peerTransport{n}
	}
	var closeState func()
	n.state, closeState = servePipe(exchange.StateHandler(n.daemon.stateSync.stateFor))
	n.fleet.closers = append(n.fleet.closers, closeState)
	return &http.Transport{MaxIdleConnsPerHost: 1, IdleConnTimeout: time.Minute, DialContext: n.fleet.network.dialTo(func(addr string) *pipeListener {
		if peer := n.fleet.reachable(n, addr); peer != nil {
			return peer.state
		}
		return nil
	})}
}

func (n *testNode) kill() {
	n.fleet.mu.Lock()
	delete(n.fleet.nodes, n.addr)
	n.fleet.mu.Unlock()
	n.cancel()
	n.done.Wait()
}

func (f *testFleet) stop() {
	for _, n := range f.all {
		n.kill()
	}
	for _, closeServer := range f.closers {
		closeServer()
	}
	if f.network != nil {
		f.network.close()
	}
}

func (f *testFleet) node(addr string) *testNode {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := f.nodes[addr]; n != nil && !n.frozen {
		return n
	}
	return nil
}

func (f *testFleet) setFrozen(frozen bool, nodes ...*testNode) {
	f.mu.Lock()
	defer f.mu.Unlock()
	mode := platformtest.Serves
	if frozen {
		mode = platformtest.Silent
	}
	for _, n := range nodes {
		n.frozen = frozen
		f.store.SetMode(mode, n.name)
	}
}

// watchers returns the gateways that watch the store.
func (f *testFleet) watchers() (watching []*testNode) {
	for _, n := range f.all {
		if (storewatch.Policy{}).RoleOf(n.daemon.follower.view(time.Now())) == storewatch.Watcher {
			watching = append(watching, n)
		}
	}
	return watching
}

func names(nodes []*testNode) (list []string) {
	for _, n := range nodes {
		list = append(list, n.name)
	}
	return list
}

// requireEverywhere waits until the condition holds at all given gateways.
func (f *testFleet) requireEverywhere(within time.Duration, nodes []*testNode, what string, holds func(*daemon) bool) {
	f.t.Helper()
	start := time.Now()
	for {
		var missing []string
		for _, n := range nodes {
			if !holds(n.daemon) {
				missing = append(missing, n.name)
			}
		}
		if len(missing) == 0 {
			return
		}
		require.Less(f.t, time.Since(start), within, "%s: not at %s", what, strings.Join(missing, " "))
		time.Sleep(10 * time.Millisecond)
	}
}

func hasEpoch(epoch int64) func(*daemon) bool {
	return func(d *daemon) bool { s := d.stateSync.config.Snapshot(); return s != nil && s.Epoch >= epoch }
}

func uses(id string, want bool) func(*daemon) bool {
	return func(d *daemon) bool { return slices.Contains(usableIDs(d.stateSync), id) == want }
}

// memConn is the exchange socket of a gateway.
type memConn struct{ node *testNode }

func (c memConn) ReadFrom(p []byte) (int, net.Addr, error) {
	select {
	case datagram := <-c.node.inbox:
		return copy(p, datagram), &net.UDPAddr{}, nil
	case <-c.node.closed:
		return 0, nil, net.ErrClosed
	}
}

func (c memConn) WriteTo(p []byte, to net.Addr) (int, error) {
	datagram, addr := slices.Clone(p), to.String()
	if c.node.fleet.node(c.node.addr) != nil {
		time.AfterFunc(linkDelay, func() {
			if receiver := c.node.fleet.reachable(c.node, addr); receiver != nil {
				select {
				case receiver.inbox <- datagram:
				default: // lost
				}
			}
		})
	}
	return len(p), nil
}

func (c memConn) Close() error                     { close(c.node.closed); return nil }
func (c memConn) LocalAddr() net.Addr              { return &net.UDPAddr{} }
func (c memConn) SetDeadline(time.Time) error      { return nil }
func (c memConn) SetReadDeadline(time.Time) error  { return nil }
func (c memConn) SetWriteDeadline(time.Time) error { return nil }

// peerTransport carries the state requests of a gateway.
type peerTransport struct{ node *testNode }

func (t peerTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(2 * linkDelay)
	receiver := t.node.fleet.reachable(t.node, req.URL.Host)
	if receiver == nil || t.node.fleet.node(t.node.addr) == nil {
		return nil, errors.New("connection refused")
	}
	recorder := httptest.NewRecorder()
	exchange.StateHandler(receiver.daemon.stateSync.stateFor).ServeHTTP(recorder, req)
	return recorder.Result(), nil
}
