package http1

import (
	"crypto/tls"
	"net"
	"sync"
	"syscall"

	"github.com/pkg/errors"
)

// Conn is a connection to a server, on which the bytes of invalid responses are not received. It passes all bytes until Begin is called.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	active    bool
	validator validator
	failure   error // of the first invalid byte; ends the connection
}

// NewConn returns the Conn of a network connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin tells that a request with a method is about to be sent. The previous response must have been received.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.active, c.validator.method = true, method
}

// Failure returns the error that a response was invalid with, or nil. What followed it was not received.
func (c *Conn) Failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.failure
}

// Read implements net.Conn. It returns ErrInvalid in place of the first invalid byte.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Failure(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.active {
		return n, err
	}
	valid, failure := c.validator.consume(p[:n])
	if c.failure = failure; failure != nil && valid == 0 {
		return 0, failure
	}
	if failure != nil {
		return valid, nil // the next call returns the failure
	}
	return n, err
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.New("connection is not one of the operating system")
	}
	return raw.SyscallConn()
}

// tlsState returns the state of the TLS connection, or nil.
func (c *Conn) tlsState() *tls.ConnectionState {
	secure, ok := c.Conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secure.ConnectionState()
	return &state
}
