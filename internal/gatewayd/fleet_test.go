package gatewayd

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
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
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/storewatch"
	"github.com/bilberrylink/bilberrylink/throttle"
)

const linkDelay = 500 * time.Microsecond

// storeMode tells how the emulated store treats the calls of a gateway.
type storeMode int

const (
	storeServes  storeMode = iota
	storeRefuses           // 503 at once
	storeSilent            // no answer
)

// fakeStore is a store with two tables, each row of which has a version.
type fakeStore struct {
	mu        sync.Mutex
	startedAt time.Time
	version   int64
	rows      map[string]map[string]platform.Row // by table and key; removed rows stay, marked
	changed   chan struct{}                      // closed at each change
	modes     map[string]storeMode               // by gateway
	calls     map[string]int                     // by gateway
}

func newFakeStore() *fakeStore {
	return &fakeStore{startedAt: time.Now(), rows: map[string]map[string]platform.Row{"op": {}, "servers": {}, "bilberry-peers": {}, "bilberry-quarantine": {}},
		changed: make(chan struct{}), modes: make(map[string]storeMode), calls: make(map[string]int)}
}

func (s *fakeStore) write(table, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows[table][key] = platform.Row{Table: table, Key: key, Value: []byte(value), Version: s.version, Removed: value == ""}
	close(s.changed)
	s.changed = make(chan struct{})
}

// transact carries out the writes of a gateway.
func (s *fakeStore) transact(body io.Reader) error {
	var writes struct{ Put, Remove []platform.Row }
	if err := json.NewDecoder(body).Decode(&writes); err != nil {
		return err
	}
	for _, row := range writes.Put {
		s.write(row.Table, row.Key, string(row.Value))
	}
	for _, row := range writes.Remove {
		s.write(row.Table, row.Key, "")
	}
	return nil
}

func (s *fakeStore) setMode(mode storeMode, gateways ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range gateways {
		s.modes[name] = mode
	}
}

func (s *fakeStore) totalCalls() (total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.calls {
		total += n
	}
	return total
}

// page returns the rows of a table after a version. A full read returns no removed rows.
func (s *fakeStore) page(table string, since int64) (rows []platform.Row, version int64, changed chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, row := range s.rows[table] {
		if row.Version > since && (since >= 0 || !row.Removed) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return int(a.Version - b.Version) })
	return rows, s.version, s.changed
}

// storeTransport carries the calls of one gateway.
type storeTransport struct {
	store *fakeStore
	name  string
}

func (t storeTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	time.Sleep(linkDelay)
	t.store.mu.Lock()
	t.store.calls[t.name]++
	mode := t.store.modes[t.name]
	t.store.mu.Unlock()
	switch mode {
	case storeRefuses:
		return response(http.StatusServiceUnavailable, nil), nil
	case storeSilent:
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	if req.URL.Path == "/rows-tx" {
		return response(http.StatusOK, nil), t.store.transact(req.Body)
	}
	query, since, deadline := req.URL.Query(), int64(-1), time.Duration(0)
	if req.URL.Path == "/rows-feed" {
		since, _ = strconv.ParseInt(query.Get("SinceRev"), 10, 64)
		ms, _ := strconv.Atoi(query.Get("WaitMs"))
		deadline = time.Duration(ms) * time.Millisecond
	}
	timeout := time.NewTimer(deadline)
	defer timeout.Stop()
	for {
		rows, version, changed := t.store.page(query.Get("Table"), since)
		waitOver := since < 0 || len(rows) > 0
		if !waitOver {
			select {
			case <-changed:
				continue
			case <-timeout.C:
			case <-req.Context().Done():
				return nil, req.Context().Err()
			}
		}
		t.store.mu.Lock()
		mode = t.store.modes[t.name]
		t.store.mu.Unlock()
		if mode != storeServes {
			<-req.Context().Done() // the connection has been cut since
			return nil, req.Context().Err()
		}
		body, err := json.Marshal(map[string]any{"Rows": rows, "Ver": version, "NowMs": time.Since(t.store.startedAt).Milliseconds() + 1})
		return response(http.StatusOK, body), err
	}
}

func response(status int, body []byte) *http.Response {
	return &http.Response{StatusCode: status, Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(body))}
}

// testFleet is a fleet of gateways without callers: the real watching, following and exchange over an emulated network.
type testFleet struct {
	t     *testing.T
	store *fakeStore

	mu    sync.Mutex
	nodes map[string]*testNode // by address; those that run
	cut   func(a, b *testNode) bool
	all   []*testNode
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

type testNode struct {
	fleet  *testFleet
	name   string
	domain string
	addr   string
	daemon *daemon
	inbox  chan []byte
	closed chan struct{}
	cancel context.CancelFunc
	done   sync.WaitGroup
	frozen bool // receives and sends nothing
}

func newTestFleet(t *testing.T, gateways, domains int) *testFleet {
	f := &testFleet{t: t, store: newFakeStore(), nodes: make(map[string]*testNode)}
	f.store.write("op", "config", `{"Version":1}`)
	for i := range 5 {
		f.store.write("servers", fmt.Sprintf("i%d", i), endpointValue(i, "ready"))
	}
	for i := range gateways {
		f.all = append(f.all, &testNode{fleet: f, name: fmt.Sprintf("entry-%d", i), domain: fmt.Sprintf("domain-%d", i%domains),
			addr: fmt.Sprintf("10.0.%d.%d:7680", i/250, 1+i%250)})
	}
	for _, n := range f.all {
		n.start()
	}
	return f
}

func endpointValue(i int, state string) string {
	return fmt.Sprintf(`{"Service":"s","Address":"10.9.0.%d:80","State":%q}`, i+1, state)
}

// start runs the gateway as a new process, which knows the addresses of all others.
func (n *testNode) start() {
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &daemon{log: log, stateSync: newStateSync(log),
		store:     platform.NewStore(platform.StoreOptions{URL: "http://store", Transport: storeTransport{n.fleet.store, n.name}}),
		scheduler: placement.NewScheduler(), quarantine: quarantine.New(quarantine.Options{Log: log})}
	d.throttle = throttle.New(throttle.Options{Log: log, Gateways: func() int { return 1 + len(d.exchange.LivePeers()) },
		Sharing: func() int { return d.exchange.CircleSize() }})
	d.storage = newQuarantineStorage(d.store, d.quarantine, log)
	d.exchange = exchange.New(exchange.Options{Name: n.name, Addr: n.addr, FailureDomain: n.domain, Conn: memConn{n},
		Scheduler: d.scheduler, Quarantine: d.quarantine, Throttle: d.throttle, Versions: d.stateSync.versions, Log: log})
	d.stateSync.onNews = d.exchange.AnnounceVersions
	d.follower = newFollower(d.exchange, d.stateSync, storewatch.Gateway{Name: n.name, FailureDomain: n.domain}, log)
	d.follower.client = &http.Client{Transport: peerTransport{n}}
	n.daemon, n.inbox, n.closed = d, make(chan []byte, 4096), make(chan struct{})
	for _, other := range n.fleet.all {
		require.NoError(n.fleet.t, d.exchange.AddTarget(other.addr))
	}
	n.fleet.mu.Lock()
	n.fleet.nodes[n.addr] = n
	n.fleet.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	tasks := []func(context.Context){d.exchange.Run, d.follower.run, d.storage.run}
	for _, w := range d.watchers() {
		tasks = append(tasks, w.Run)
	}
	for _, task := range tasks {
		n.done.Go(func() { task(ctx) })
	}
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
	mode := storeServes
	if frozen {
		mode = storeSilent
	}
	for _, n := range nodes {
		n.frozen = frozen
		f.store.setMode(mode, n.name)
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
