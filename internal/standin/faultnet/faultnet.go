// Package faultnet wraps the dialers of nodes that run in one process, so that the injected faults connection_silent
// and partition take effect on their connections.
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

// dialTimeout bounds a connection attempt, also one that a partition holds up.
const dialTimeout = 5 * time.Second

// silentLinger is how long the far side of a closed silent connection stays open, as nothing tells it of the close.
const silentLinger = time.Minute

// Dial connects to an address; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// place is one side of a connection.
type place struct {
	names  []string // node and endpoint names
	domain string
}

// Network knows the nodes and their open connections. It is safe for concurrent use.
type Network struct {
	faults *standin.Faults
	dial   Dial

	mu     sync.Mutex
	places map[string]place // by address
	conns  map[*conn]struct{}
}

// New returns a Network that follows the faults.
func New(faults *standin.Faults) *Network {
	n := &Network{faults: faults, dial: new(net.Dialer).DialContext, places: make(map[string]place), conns: make(map[*conn]struct{})}
	faults.OnChange(n.faultsChanged)
	return n
}

// Over makes connections through dial instead of TCP. It must be called before the first Dialer is used.
func (n *Network) Over(dial Dial) *Network {
	n.dial = dial
	return n
}

// Register names what listens on addr and its failure domain: a node and, for an agent, its endpoint.
func (n *Network) Register(addr, domain string, names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.places[addr] = place{names: names, domain: domain}
}

// Dialer returns the dialer of a node in a failure domain. Addresses that are not registered are never cut off.
func (n *Network) Dialer(domain string, names ...string) Dial {
	from := place{names: names, domain: domain}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		to, known := n.placeOf(addr)
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

func (n *Network) placeOf(addr string) (place, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p, ok := n.places[addr]
	return p, ok
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

func (n *Network) wrap(inner net.Conn, from, to place) *conn {
	c := &conn{Conn: inner, network: n, from: from, to: to, silent: make(chan struct{}), closed: make(chan struct{}),
		read: newDeadline(), write: newDeadline()}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns[c] = struct{}{}
	return c
}

// faultsChanged silences the connections of the names that a change lists.
func (n *Network) faultsChanged(_, after standin.FaultState) {
	n.Silence(after.ConnectionSilent...)
}

// Silence makes the open connections of nodes or endpoints go silent for good.
func (n *Network) Silence(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.touches(names) {
			c.silenceOnce.Do(func() { close(c.silent) })
		}
	}
}

func (n *Network) forget(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// conn is one connection. Once silent, what either side sends is lost and nothing ends it but its own Close or
// deadline. While the two sides are partitioned, what they send is held back until the partition heals.
type conn struct {
	net.Conn
	network     *Network
	from, to    place
	silent      chan struct{} // closed when the connection goes silent
	silenceOnce sync.Once
	closed      chan struct{}
	closeOnce   sync.Once
	read, write *deadline
}

func (c *conn) touches(names []string) bool {
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
		n, err := c.Conn.Read(p)
		if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed) {
			return n, err
		}
		if holdErr := c.awaitHealed(c.read); holdErr != nil {
			return 0, holdErr
		}
		if !c.isSilent() {
			return n, err
		}
		if err != nil {
			return 0, c.awaitEnd(c.read)
		}
	}
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.awaitHealed(c.write); err != nil {
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

// awaitHealed waits while the two sides are partitioned.
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

// awaitEnd waits for Close or the deadline.
func (c *conn) awaitEnd(d *deadline) error {
	for {
		if err := d.wait(c.closed, nil); err != nil {
			return err
		}
	}
}

// Close implements net.Conn. The far side of a silent connection does not learn of it for a while.
func (c *conn) Close() error {
	err := net.ErrClosed
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.forget(c)
		if c.isSilent() {
			err = c.Conn.SetDeadline(time.Unix(1, 0)) // wakes a Read and a Write in progress
			time.AfterFunc(silentLinger, func() { _ = c.Conn.Close() })
			return
		}
		err = c.Conn.Close()
	})
	return err
}

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return c.Conn.SetDeadline(t)
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return c.Conn.SetWriteDeadline(t)
}

// deadline is a point in time that may move while someone waits for it.
type deadline struct {
	mu    sync.Mutex
	at    time.Time // zero: none
	moved chan struct{}
}

func newDeadline() *deadline { return &deadline{moved: make(chan struct{})} }

func (d *deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at = t
	close(d.moved)
	d.moved = make(chan struct{})
}

// wait returns nil when other is closed or the deadline moved. Errors: net.ErrClosed, os.ErrDeadlineExceeded.
func (d *deadline) wait(closed, other <-chan struct{}) error {
	d.mu.Lock()
	at, moved := d.at, d.moved
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
	case <-other:
	}
	return nil
}
