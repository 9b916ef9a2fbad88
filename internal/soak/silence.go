package soak

import (
	"net"
	"sync"
	"sync/atomic"
)

// silenceableListener accepts connections that can be silenced: they stay open, and nothing passes any more.
type silenceableListener struct {
	net.Listener

	mu     sync.Mutex
	conns  map[*silenceableConn]struct{} // those that are open
	silent []net.Conn                    // closed here, but not for the other side, which an unreferenced connection would be
}

func listenSilenceable(addr string) (*silenceableListener, error) {
	l, err := net.Listen("tcp", addr)
	return &silenceableListener{Listener: l, conns: make(map[*silenceableConn]struct{})}, err
}

// Accept implements net.Listener.
func (l *silenceableListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &silenceableConn{Conn: inner, listener: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// silence silences all open connections. New ones work.
func (l *silenceableListener) silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

type silenceableConn struct {
	net.Conn
	listener *silenceableListener
	silent   atomic.Bool
}

// Read implements net.Conn. On a silent connection it returns when the other side closes it.
func (c *silenceableConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn.
func (c *silenceableConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *silenceableConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	delete(c.listener.conns, c)
	if c.silent.Load() {
		c.listener.silent = append(c.listener.silent, c.Conn)
		return nil
	}
	return c.Conn.Close()
}

// SetLinger is that of net.TCPConn.
func (c *silenceableConn) SetLinger(seconds int) error {
	return c.Conn.(*net.TCPConn).SetLinger(seconds)
}
