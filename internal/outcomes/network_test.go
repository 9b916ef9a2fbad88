// Package outcomes runs entries and agents against the emulators in virtual time, with random faults, and checks what
// callers and operators rely on (design section 1.1).
package outcomes

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
)

var errRefused = errors.New("connection refused")

// network joins processes by in-memory connections, since real sockets do not block durably in a synctest bubble.
type network struct {
	mu        sync.Mutex
	listeners map[string]*listener
}

type listener struct {
	addr     string
	accepted chan net.Conn
	closed   chan struct{}
	once     sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *listener) Addr() net.Addr  { return l }
func (l *listener) Network() string { return "tcp" }
func (l *listener) String() string  { return l.addr }

func (n *network) listen(addr string) *listener {
	l := &listener{addr: addr, accepted: make(chan net.Conn), closed: make(chan struct{})}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.listeners[addr] = l
	return l
}

func (n *network) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[addr]
	n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	near, far := net.Pipe()
	select {
	case l.accepted <- far:
		return near, nil
	case <-l.closed:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// host is the process of one incarnation of a node. Its messages pass through it, so that it can be killed or paused.
type host struct {
	mu        sync.Mutex
	dead      bool
	paused    chan struct{} // closed at the end of the pause; nil: not paused
	conns     map[*hostConn]struct{}
	listeners []*listener
	courier   *courier
}

// pass waits for the end of a pause. held reports that it waited, alive that the process was not killed.
func (h *host) pass() (held, alive bool) {
	for {
		h.mu.Lock()
		paused, dead := h.paused, h.dead
		h.mu.Unlock()
		if dead || paused == nil {
			return held, !dead
		}
		<-paused
		held = true
	}
}

// kill cuts all connections and makes every later message and call of the process fail.
func (h *host) kill() {
	h.mu.Lock()
	h.dead = true
	conns := h.conns
	h.conns = make(map[*hostConn]struct{})
	h.mu.Unlock()
	for _, l := range h.listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// pause holds all messages of the process for d.
func (h *host) pause(d time.Duration) {
	paused := make(chan struct{})
	h.mu.Lock()
	h.paused = paused
	h.mu.Unlock()
	time.Sleep(d)
	h.mu.Lock()
	h.paused = nil
	h.mu.Unlock()
	close(paused)
}

func (h *host) dialer(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if _, alive := h.pass(); !alive {
			return nil, errRefused
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return h.wrap(c, addr), nil
	}
}

func (h *host) listen(n *network) func(context.Context, string, string) (net.Listener, error) {
	return func(_ context.Context, _, addr string) (net.Listener, error) {
		l := n.listen(addr)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.listeners = append(h.listeners, l)
		return hostListener{l, h}, nil
	}
}

type hostListener struct {
	*listener
	host *host
}

func (l hostListener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.host.wrap(c, ""), nil
}

func (h *host) wrap(c net.Conn, addr string) net.Conn {
	wrapped := &hostConn{Conn: c, host: h, addr: addr}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.dead {
		_ = c.Close()
	}
	h.conns[wrapped] = struct{}{}
	return wrapped
}

type hostConn struct {
	net.Conn
	host *host
	addr string // dialled address; empty: accepted
}

func (c *hostConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if _, alive := c.host.pass(); !alive {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *hostConn) Write(p []byte) (int, error) {
	if _, alive := c.host.pass(); !alive {
		return 0, net.ErrClosed
	}
	if c.addr == "" {
		return c.Conn.Write(p)
	}
	message, taken := c.host.courier.takes(c.addr, p)
	if taken {
		return len(p), nil
	}
	if _, err := c.Conn.Write(message); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *hostConn) Close() error {
	c.host.mu.Lock()
	delete(c.host.conns, c)
	c.host.mu.Unlock()
	return c.Conn.Close()
}

// courier delivers runs late, or a second time, on connections of its own. It also mixes connections up: the answer to
// the former run of an address then arrives on the connection of the next one.
type courier struct {
	network *network
	mu      sync.Mutex
	rng     *rand.Rand
	late    float64 // probability
	twice   float64 // probability
	mixed   float64 // probability that the former run to the address goes out instead
	former  map[string][]byte
	count   func(kind string)
}

var runLine = []byte("POST /agent/v1/run ")

// takes returns what is written now, or reports that the message will be delivered later.
func (c *courier) takes(addr string, message []byte) (now []byte, taken bool) {
	if !bytes.HasPrefix(message, runLine) || !whole(message) {
		return message, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	draw, delay := c.rng.Float64(), time.Duration(c.rng.Float64()*float64(12*time.Second))
	former := c.former[addr]
	c.former[addr] = bytes.Clone(message)
	switch {
	case draw < c.late:
		c.count("late run")
		go c.deliver(addr, bytes.Clone(message), delay)
		return nil, true
	case draw < c.late+c.twice:
		c.count("duplicate run")
		go c.deliver(addr, bytes.Clone(message), delay)
	case draw < c.late+c.twice+c.mixed && former != nil:
		c.count("mixed up run")
		return former, false
	}
	return message, false
}

// whole reports whether a message holds a complete request.
func whole(message []byte) bool {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message)))
	if err != nil {
		return false
	}
	_, err = io.ReadAll(req.Body)
	return err == nil
}

func (c *courier) deliver(addr string, message []byte, delay time.Duration) {
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := c.network.dial(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = conn.Write(message); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// hostTable holds the writes of a paused process and sends them late.
type hostTable struct {
	cloud.Table
	host *host
}

func (t hostTable) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	held, alive := t.host.pass()
	if !alive {
		return nil, cloud.ErrUnavailable
	}
	if held {
		ctx = context.WithoutCancel(ctx)
	}
	rows, err := t.Table.Commit(ctx, writes...)
	if _, alive = t.host.pass(); !alive {
		return nil, cloud.ErrInDoubt
	}
	return rows, err
}

// steadyList shows no VM as leaving.
type steadyList struct{ cloud.VMList }

func (l steadyList) List(ctx context.Context) ([]cloud.VM, error) {
	vms, err := l.VMList.List(ctx)
	for i := range vms {
		vms[i].State = cloud.VMLive
	}
	return vms, err
}

// hostEngine is the engine as one incarnation of its agent reaches it.
type hostEngine struct {
	endpoint.Engine
	host *host
	name string
	run  *run
}

func (e hostEngine) Generate(ctx context.Context, g endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	if _, alive := e.host.pass(); !alive {
		return nil, endpoint.ErrDown
	}
	s, err := e.Engine.Generate(ctx, g)
	if err == nil {
		e.run.executed(g.Prompt, e.name)
	}
	return s, err
}

func (e hostEngine) Cancel(ctx context.Context, id string) error {
	if _, alive := e.host.pass(); !alive {
		return endpoint.ErrDown
	}
	return e.Engine.Cancel(ctx, id)
}

func (e hostEngine) ApplyOrder(ctx context.Context, o endpoint.Order) error {
	if _, alive := e.host.pass(); !alive {
		return endpoint.ErrDown
	}
	return e.Engine.ApplyOrder(ctx, o)
}

// hostService is the plain service as one incarnation of its agent reaches it.
type hostService struct {
	endpoint.Service
	host *host
	name string
	run  *run
}

func (s hostService) Do(ctx context.Context, c endpoint.Call) (endpoint.Response, error) {
	if _, alive := s.host.pass(); !alive {
		return endpoint.Response{}, endpoint.ErrDown
	}
	s.run.executed(c.Path, s.name)
	return s.Service.Do(ctx, c)
}
