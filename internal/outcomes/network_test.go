// Package outcomes runs entries and agents against the platform emulators in virtual time, injects random faults, and
// checks the guarantees that callers and operators rely on (design section 1.1).
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

var errConnectionRefused = errors.New("connection refused")

// network connects processes through in-memory pipes: a goroutine that waits on a real socket is not durably blocked, so
// virtual time in a synctest bubble would not advance.
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
		return nil, errConnectionRefused
	}
	clientConn, serverConn := net.Pipe()
	select {
	case l.accepted <- serverConn:
		return clientConn, nil
	case <-l.closed:
		return nil, errConnectionRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// process is one incarnation of a node's process. Its connections, table commits and endpoint calls go
// through it, so that the process can be killed or paused.
type process struct {
	mu          sync.Mutex
	killed      bool
	resumed     chan struct{} // closed when the pause ends; nil: not paused
	conns       map[*processConn]struct{}
	listeners   []*listener
	runDelivery *runDelivery
}

// awaitResume waits until the process is not paused. It reports whether it waited and whether the process is alive.
func (p *process) awaitResume() (waited, alive bool) {
	for {
		p.mu.Lock()
		resumed, killed := p.resumed, p.killed
		p.mu.Unlock()
		if killed || resumed == nil {
			return waited, !killed
		}
		<-resumed
		waited = true
	}
}

// kill closes all listeners and connections and makes every later message and call of the process fail.
func (p *process) kill() {
	p.mu.Lock()
	p.killed = true
	conns := p.conns
	p.conns = make(map[*processConn]struct{})
	p.mu.Unlock()
	for _, l := range p.listeners {
		_ = l.Close()
	}
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// pause delays the messages, table commits and endpoint calls of the process for the given duration.
func (p *process) pause(duration time.Duration) {
	resumed := make(chan struct{})
	p.mu.Lock()
	p.resumed = resumed
	p.mu.Unlock()
	time.Sleep(duration)
	p.mu.Lock()
	p.resumed = nil
	p.mu.Unlock()
	close(resumed)
}

func (p *process) dialer(dial func(context.Context, string, string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		if _, alive := p.awaitResume(); !alive {
			return nil, errConnectionRefused
		}
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return p.wrapConn(c, addr), nil
	}
}

func (p *process) listen(n *network) func(context.Context, string, string) (net.Listener, error) {
	return func(_ context.Context, _, addr string) (net.Listener, error) {
		l := n.listen(addr)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listeners = append(p.listeners, l)
		return processListener{l, p}, nil
	}
}

type processListener struct {
	*listener
	process *process
}

func (l processListener) Accept() (net.Conn, error) {
	c, err := l.listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.process.wrapConn(c, ""), nil
}

func (p *process) wrapConn(c net.Conn, addr string) net.Conn {
	wrapped := &processConn{Conn: c, process: p, dialedAddr: addr}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.killed {
		_ = c.Close()
	}
	p.conns[wrapped] = struct{}{}
	return wrapped
}

type processConn struct {
	net.Conn
	process    *process
	dialedAddr string // address that was dialed; empty: accepted connection
}

func (c *processConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if _, alive := c.process.awaitResume(); !alive {
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *processConn) Write(p []byte) (int, error) {
	if _, alive := c.process.awaitResume(); !alive {
		return 0, net.ErrClosed
	}
	if c.dialedAddr == "" {
		return c.Conn.Write(p)
	}
	message, deferred := c.process.runDelivery.intercept(c.dialedAddr, p)
	if deferred {
		return len(p), nil
	}
	if _, err := c.Conn.Write(message); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *processConn) Close() error {
	c.process.mu.Lock()
	delete(c.process.conns, c)
	c.process.mu.Unlock()
	return c.Conn.Close()
}

// runDelivery injects faults into the delivery of run requests to agents: it delivers them late or a second time on
// separate connections, or sends the previous request to the same address again in place of the current one, so that the
// caller of the current request receives frames of the previous attempt.
type runDelivery struct {
	network                *network
	mu                     sync.Mutex
	rng                    *rand.Rand
	lateProbability        float64
	duplicateProbability   float64
	misdeliveryProbability float64           // that the previous request to the address is sent instead
	previousRuns           map[string][]byte // by address
	countFault             func(kind string)
}

var runRequestLine = []byte("POST /agent/v1/run ")

// intercept returns the bytes to write now, or reports that the message is deferred and delivered on another connection.
func (d *runDelivery) intercept(addr string, message []byte) (writeNow []byte, deferred bool) {
	if !bytes.HasPrefix(message, runRequestLine) || !isCompleteRequest(message) {
		return message, false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	draw, delay := d.rng.Float64(), time.Duration(d.rng.Float64()*float64(12*time.Second))
	previous := d.previousRuns[addr]
	d.previousRuns[addr] = bytes.Clone(message)
	switch {
	case draw < d.lateProbability:
		d.countFault("late run")
		go d.deliverAfter(addr, bytes.Clone(message), delay)
		return nil, true
	case draw < d.lateProbability+d.duplicateProbability:
		d.countFault("duplicate run")
		go d.deliverAfter(addr, bytes.Clone(message), delay)
	case draw < d.lateProbability+d.duplicateProbability+d.misdeliveryProbability && previous != nil:
		d.countFault("misdelivered run")
		return previous, false
	}
	return message, false
}

// isCompleteRequest reports whether a message holds a complete request.
func isCompleteRequest(message []byte) bool {
	req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(message)))
	if err != nil {
		return false
	}
	_, err = io.ReadAll(req.Body)
	return err == nil
}

func (d *runDelivery) deliverAfter(addr string, message []byte, delay time.Duration) {
	time.Sleep(delay)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := d.network.dial(ctx, "tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err = conn.Write(message); err == nil {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// processTable delays the writes of a paused process until it resumes, and sends them although their context has ended by
// then.
type processTable struct {
	cloud.Table
	process *process
}

func (t processTable) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	waited, alive := t.process.awaitResume()
	if !alive {
		return nil, cloud.ErrUnavailable
	}
	if waited {
		ctx = context.WithoutCancel(ctx)
	}
	rows, err := t.Table.Commit(ctx, writes...)
	if _, alive = t.process.awaitResume(); !alive {
		return nil, cloud.ErrInDoubt
	}
	return rows, err
}

// liveVMList lists every VM as live.
type liveVMList struct{ cloud.VMList }

func (l liveVMList) List(ctx context.Context) ([]cloud.VM, error) {
	vms, err := l.VMList.List(ctx)
	for i := range vms {
		vms[i].State = cloud.VMLive
	}
	return vms, err
}

// processEngine is an engine as seen by one incarnation of its agent. It records executions, and its calls wait during a
// pause and fail after a kill.
type processEngine struct {
	endpoint.Engine
	process  *process
	endpoint string
	sim      *simulation
}

func (e processEngine) Generate(ctx context.Context, req endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	if _, alive := e.process.awaitResume(); !alive {
		return nil, endpoint.ErrDown
	}
	tokens, err := e.Engine.Generate(ctx, req)
	if err == nil {
		e.sim.recordExecution(req.Prompt, e.endpoint)
	}
	return tokens, err
}

func (e processEngine) Cancel(ctx context.Context, id string) error {
	if _, alive := e.process.awaitResume(); !alive {
		return endpoint.ErrDown
	}
	return e.Engine.Cancel(ctx, id)
}

func (e processEngine) ApplyOrder(ctx context.Context, order endpoint.Order) error {
	if _, alive := e.process.awaitResume(); !alive {
		return endpoint.ErrDown
	}
	return e.Engine.ApplyOrder(ctx, order)
}

// processService is a plain service as seen by one incarnation of its agent. It records executions, and its calls wait
// during a pause and fail after a kill.
type processService struct {
	endpoint.Service
	process  *process
	endpoint string
	sim      *simulation
}

func (s processService) Do(ctx context.Context, call endpoint.Call) (endpoint.Response, error) {
	if _, alive := s.process.awaitResume(); !alive {
		return endpoint.Response{}, endpoint.ErrDown
	}
	s.sim.recordExecution(call.Path, s.endpoint)
	return s.Service.Do(ctx, call)
}
