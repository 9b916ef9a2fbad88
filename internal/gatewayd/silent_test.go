package gatewayd

import (
	"context"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// silenceableNetwork has connections within the process that a test can silence: they stay open, and nothing passes any more.
type silenceableNetwork struct {
	mu    sync.Mutex
	open  []*connState
	ends  []net.Conn // of all connections
	dials int
	ended bool
}

// connState is the state that both ends of a connection share.
type connState struct{ silent, closed atomic.Bool }

// close closes all connections and waits for those that are being opened.
func (n *silenceableNetwork) close() {
	n.mu.Lock()
	n.ended = true
	for _, c := range n.ends {
		_ = c.Close()
	}
	n.mu.Unlock()
	time.Sleep(2 * linkDelay)
}

// silence silences all open connections. New ones work.
func (n *silenceableNetwork) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.open {
		c.silent.Store(true)
	}
	n.open = nil
}

// silenceOne silences one of the open connections.
func (n *silenceableNetwork) silenceOne(i int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.open = slices.DeleteFunc(n.open, func(c *connState) bool { return c.closed.Load() })
	if len(n.open) > 0 {
		n.open[i%len(n.open)].silent.Store(true)
	}
}

// dialTo returns a dial function for connections to a server.
func (n *silenceableNetwork) dialTo(server func(addr string) *pipeListener) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, _, addr string) (net.Conn, error) {
		listener := server(addr)
		if listener == nil {
			return nil, errors.New("connection refused")
		}
		time.Sleep(linkDelay)
		clientEnd, serverEnd := net.Pipe()
		state := new(connState)
		client, remote := newSilenceableConn(clientEnd, state), newSilenceableConn(serverEnd, state)
		n.mu.Lock()
		n.open = append(n.open, state)
		n.ends = append(n.ends, client, remote)
		n.dials++
		ended := n.ended
		n.mu.Unlock()
		if ended {
			return nil, net.ErrClosed
		}
		select {
		case listener.accepted <- remote:
			return client, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// silenceableConn is one end of a connection.
type silenceableConn struct {
	net.Conn
	state  *connState
	once   sync.Once
	closed chan struct{}
}

func newSilenceableConn(c net.Conn, state *connState) *silenceableConn {
	return &silenceableConn{Conn: c, state: state, closed: make(chan struct{})}
}

// Read returns nothing, not even the end, of a silent connection.
func (c *silenceableConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for err == nil && c.state.silent.Load() {
		n, err = c.Conn.Read(p)
	}
	if c.state.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.state.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *silenceableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.state.closed.Store(true)
	return c.Conn.Close()
}

// pipeListener is the listener of a server on a silenceableNetwork.
type pipeListener struct {
	accepted chan net.Conn
	closed   chan struct{}
}

// servePipe starts a server. The returned function stops it.
func servePipe(handler http.Handler) (*pipeListener, func()) {
	l := &pipeListener{accepted: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	return l, func() { _ = server.Close() }
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// withConnections runs a test in virtual time on a fleet whose calls to the store and to each other use connections.
func withConnections(t *testing.T, gateways, domains int, test func(f *testFleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newConnectedFleet(t, gateways, domains)
		defer f.stop()
		time.Sleep(5 * time.Second)
		f.requireEverywhere(time.Second, f.all, "start", uses("i0", true))
		test(f)
	})
}

// After all open connections, to the store and between gateways, have gone silent, a change must be in force at every gateway as soon as the
// gateways count as sound again, at whatever moment of their calls that happens.
func TestChangeAfterOpenConnectionsWentSilent(t *testing.T) {
	for _, gateways := range []int{1, 4, 30} {
		withConnections(t, gateways, 3, func(f *testFleet) {
			for i := range 25 {
				time.Sleep(5*time.Second + time.Duration(i)*120*time.Millisecond)
				f.network.silence()
				time.Sleep(100 * time.Millisecond)
				f.store.SetEpoch(int64(2 + i))
				f.requireEverywhere(contactBound-100*time.Millisecond, f.all, "configuration", hasEpoch(int64(2+i)))
			}
		})
	}
}

// One silent connection among sound ones must not delay a change beyond the same bound.
func TestChangeAfterOneConnectionWentSilent(t *testing.T) {
	withConnections(t, 1, 1, func(f *testFleet) {
		for i := range 40 {
			time.Sleep(5*time.Second + time.Duration(i)*120*time.Millisecond)
			f.network.silenceOne(i)
			time.Sleep(100 * time.Millisecond)
			f.store.SetEpoch(int64(2 + i))
			f.requireEverywhere(contactBound-100*time.Millisecond, f.all, "configuration", hasEpoch(int64(2+i)))
		}
	})
}

// A store that comes back from a copy while the connections are silent answers only on a new connection, with an error. That answer must count at
// once.
func TestStoreRestoredWhileConnectionsAreSilent(t *testing.T) {
	withConnections(t, 1, 1, func(f *testFleet) {
		epoch := int64(1)
		for i := range 25 {
			time.Sleep(5*time.Second + time.Duration(i)*120*time.Millisecond)
			copied := f.store.Copy()
			f.store.SetEndpoint("i1", testEndpoint(1)) // lost with the copy
			time.Sleep(3 * time.Second)
			f.network.silence()
			f.store.Restore(copied)
			epoch++
			f.store.SetEpoch(epoch)
			f.requireEverywhere(contactBound, f.all, "configuration", hasEpoch(epoch))
		}
	})
}

// Silent connections must not be taken for an outage of the store, in which entries expire: an endpoint that leaves just then must get no
// requests once the gateways count as sound.
func TestEndpointLeavesWhileConnectionsAreSilent(t *testing.T) {
	for _, gateways := range []int{1, 4, 30} {
		withConnections(t, gateways, 3, func(f *testFleet) {
			for i := range 25 {
				time.Sleep(5*time.Second + time.Duration(i)*120*time.Millisecond)
				f.network.silence()
				time.Sleep(50 * time.Millisecond)
				f.store.RemoveEndpoint("i0")
				time.Sleep(contactBound)
				f.requireEverywhere(0, f.all, "removal", uses("i0", false))
				f.store.SetEndpoint("i0", testEndpoint(0))
				f.requireEverywhere(drainBound, f.all, "return", uses("i0", true))
			}
		})
	}
}

// Sound connections must be kept: each new one costs both sides work.
func TestSoundConnectionsAreKept(t *testing.T) {
	withConnections(t, 4, 3, func(f *testFleet) {
		f.network.mu.Lock()
		before := f.network.dials
		f.network.mu.Unlock()
		time.Sleep(time.Minute)
		f.network.mu.Lock()
		defer f.network.mu.Unlock()
		require.Less(t, f.network.dials-before, 4*2*2, "two tables and a list of gateways")
	})
}
