package http1

import (
	"cmp"
	"crypto/tls"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
)

// Conn is a connection to a server, on which the bytes of invalid responses are not received. It passes all bytes until Begin is called.
type Conn struct {
	net.Conn

	mu        sync.Mutex
	active    bool
	validator validator
	failure   error // of the first invalid byte; ends the connection
	headCost  int64 // as charged to the budget of the process
	closed    bool

	writeMu  sync.Mutex // held during a write
	writeErr error      // of the first write that failed
}

// NewConn returns the Conn of a network connection.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin tells that a request with a method is about to be sent. The previous response must have been received.
func (c *Conn) Begin(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.active && !c.validator.isBetweenResponses() {
		c.failure = cmp.Or(c.failure, errors.Wrap(ErrInvalid, "bytes behind the previous response"))
	}
	c.active, c.validator.method, c.validator.headCost = true, method, 0
	c.release()
}

// End tells that the head of the latest response is no longer used.
func (c *Conn) End() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.release()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.release()
	return err
}

// release takes back the charge for heads. c.mu must be held.
func (c *Conn) release() {
	heads.change(c.headCost, 0)
	c.headCost = 0
}

// charge charges the largest head since the request was sent, as earlier ones may still be in use. c.mu must be held.
func (c *Conn) charge() error {
	cost := c.validator.headCost
	switch {
	case cost <= c.headCost:
		return nil
	case cost > maxHeadCost:
		return errors.Wrap(ErrInvalid, "head is too large")
	case !heads.change(c.headCost, cost):
		return ErrShort
	}
	c.headCost = cost
	return nil
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
	switch {
	case !c.active:
		return n, err
	case c.closed:
		return 0, net.ErrClosed // nothing more must be charged
	case c.failure != nil: // of Begin
		return 0, c.failure
	}
	valid, failure := c.validator.consume(p[:n])
	if shortage := c.charge(); shortage != nil {
		valid, failure = 0, shortage
	}
	if c.failure = failure; failure != nil && valid == 0 {
		return 0, failure
	}
	if failure != nil {
		return valid, nil // the next call returns the failure
	}
	if err == io.EOF && c.validator.state == untilClose {
		c.failure = c.resetError()
		return n, cmp.Or(c.failure, err)
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// resetError returns an error if a connection whose end has been read did not end in order. The system reports a reset once: if a write gets the
// error, reads find an end like any other. What remains of the request is not sent, as the response is over.
func (c *Conn) resetError() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // ends a write in progress; fails only on a closed connection
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	switch err := c.writeErr; {
	case err == nil, errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(err, syscall.EPIPE): // the server had closed its side before
		return nil
	default:
		return errors.Wrap(err, "connection failed during the response")
	}
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
