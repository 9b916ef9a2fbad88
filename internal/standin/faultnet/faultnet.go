// Package faultnet wraps the dialers of nodes in one process to apply the injected faults connection_silent and partition
// to their connections.
package faultnet

import (
	"context"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// dialTimeout bounds a connection attempt, including the time that a partition blocks it.
const dialTimeout = 5 * time.Second

// silentCloseDelay is how long the underlying connection stays open after a silent connection is closed, because the remote
// side must not see the close at once.
const silentCloseDelay = time.Minute

// Dial connects to an address; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// node is one side of a connection.
type node struct {
	names  []string // node and endpoint names
	domain string
}

// Network tracks the nodes and their open connections. It is safe for concurrent use.
type Network struct {
	faults *standin.Faults
	dial   Dial

	mu    sync.Mutex
	nodes map[string]node // by address
	conns map[*conn]struct{}
}

// New returns a Network that applies the faults as they change.
func New(faults *standin.Faults) *Network {
	n := &Network{faults: faults, dial: new(net.Dialer).DialContext, nodes: make(map[string]node), conns: make(map[*conn]struct{})}
	faults.OnChange(n.faultsChanged)
	return n
}

// SetDial sets the function that makes the underlying connections, instead of TCP. It must be called before the first Dialer
// is used.
func (n *Network) SetDial(dial Dial) *Network {
	n.dial = dial
	return n
}

// Register sets the failure domain and the names of the node that listens on addr. An agent also has the name of its
// endpoint.
func (n *Network) Register(addr, domain string, names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[addr] = node{names: names, domain: domain}
}

// Dialer returns the dialer of a node in a failure domain. Unregistered addresses are always reachable.
func (n *Network) Dialer(domain string, names ...string) Dial {
	from := node{names: names, domain: domain}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		to, known := n.nodeAt(addr)
		if !known {
			to.domain = domain
		}
		if err := n.awaitReachable(ctx, from.domain, to.domain); err != nil {
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		inner, err := n.dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return n.wrap(inner, from, to), nil
	}
}

func (n *Network) nodeAt(addr string) (node, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	registered, ok := n.nodes[addr]
	return registered, ok
}

func (n *Network) awaitReachable(ctx context.Context, from, to string) error {
	for {
		changed := n.faults.Changed()
		if n.faults.State().Reachable(from, to) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

func (n *Network) wrap(inner net.Conn, from, to node) *conn {
	c := &conn{Conn: inner, network: n, from: from, to: to, silent: make(chan struct{}), closed: make(chan struct{}),
		readDeadline: newDeadline(), writeDeadline: newDeadline()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

// faultsChanged applies the one-shot fault connection_silent.
func (n *Network) faultsChanged(_, after standin.FaultState) {
	n.Silence(after.ConnectionSilent...)
}

// Silence makes the open connections of nodes or endpoints permanently silent.
func (n *Network) Silence(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.involves(names) {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	}
}

func (n *Network) remove(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// conn is one connection. Once it is silent, data from either side is discarded, and only Close or a deadline ends a Read.
// While a partition separates the two sides, data is held back until the partition heals.
type conn struct {
	net.Conn
	network                     *Network
	from, to                    node
	silent                      chan struct{} // closed when the connection goes silent
	silenceOnce                 sync.Once
	closed                      chan struct{}
	closeOnce                   sync.Once
	readDeadline, writeDeadline *deadline
}

func (c *conn) involves(names []string) bool {
	for _, name := range names {
		if slices.Contains(c.from.names, name) || slices.Contains(c.to.names, name) {
			return true
		}
	}
	return false
}

func (c *conn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		read, err := c.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return read, err
		}
		if holdErr := c.awaitHealed(c.readDeadline); holdErr != nil {
			return 0, holdErr
		}
		if !c.isSilent() {
			return read, err
		}
		if err != nil {
			return 0, c.awaitEnd(c.readDeadline)
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.awaitHealed(c.writeDeadline); err != nil {
		return 0, err
	}
	if c.isSilent() {
		select {
		case <-c.closed:
			return 0, net.ErrClosed
		default:
			return len(p), nil
		}
	}
	return c.Conn.Write(p)
}

// awaitHealed blocks while a partition separates the two sides.
func (c *conn) awaitHealed(d *deadline) error {
	for {
		changed := c.network.faults.Changed()
		if c.isSilent() || c.network.faults.State().Reachable(c.from.domain, c.to.domain) {
			return nil
		}
		if err := d.wait(c.closed, changed); err != nil {
			return err
		}
	}
}

// awaitEnd blocks until Close or the deadline and returns the error.
func (c *conn) awaitEnd(d *deadline) error {
	for {
		if err := d.wait(c.closed, nil); err != nil {
			return err
		}
	}
}

// Close implements net.Conn. The remote side of a silent connection does not see it until silentCloseDelay has passed.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.remove(c)
		if c.isSilent() {
			err = c.Conn.SetDeadline(time.Unix(1, 0)) // unblocks a Read and a Write in progress
			time.AfterFunc(silentCloseDelay, func() { _ = c.Conn.Close() })
			return
		}
		err = c.Conn.Close()
	})
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.readDeadline.set(t)
	c.writeDeadline.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.readDeadline.set(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.writeDeadline.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// deadline is a deadline that can be changed while a goroutine waits for it.
type deadline struct {
	mu      sync.Mutex
	at      time.Time // zero: none
	changed chan struct{}
}

func newDeadline() *deadline { return &deadline{changed: make(chan struct{})} }

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
	close(d.changed)
	d.changed = make(chan struct{})
}

// wait blocks until closed, the deadline or stop. It returns net.ErrClosed, os.ErrDeadlineExceeded or nil, and also nil
// when the deadline changes.
func (d *deadline) wait(closed, stop <-chan struct{}) error {
	d.mu.Lock()
	at, moved := d.at, d.changed
	d.mu.Unlock()
	var timeout <-chan time.Time
	if !at.IsZero() {
		timer := time.NewTimer(time.Until(at))
		defer timer.Stop()
		timeout = timer.C
	}
	select {
	case <-closed:
		return net.ErrClosed
	case <-timeout:
		return os.ErrDeadlineExceeded
	case <-moved:
	case <-stop:
	}
	return nil
}
