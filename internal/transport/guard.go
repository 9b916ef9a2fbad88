package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/bilberrylink/bilberrylink/intake"
)

const (
	// headSlack is what may be read after the end of a head of the largest size: the buffer of net/http.
	headSlack = 4 << 10
	// writePiece is the most that is written to a caller at once, so that its progress is seen.
	writePiece = 32 << 10
	// lastAnswerTime bounds the time for the answer to a request that is being ended. Answers have some hundred bytes and need no more room than
	// a send buffer has.
	lastAnswerTime = time.Second
	// headAnswerTime is the same for the answer that is written while others wait.
	headAnswerTime = 20 * time.Millisecond
)

// Answers to requests whose head was not read.
const (
	answerTail    = "Content-Length: 0\r\nConnection: close\r\n\r\n"
	answerTimeout = "HTTP/1.1 408 Request Timeout\r\n" + answerTail
	answerLarge   = "HTTP/1.1 431 Request Header Fields Too Large\r\n" + answerTail
	answerShort   = "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n" + answerTail
)

// errHeadTooLarge ends a connection. net/http answers no errors of this type.
var errHeadTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("head is too large")}

// Guard makes a server that has not been started account for the connections of its listener with a budget, which ends them when callers make
// the process hold too much or take too long. The contexts of requests carry the accounts (intake.FromContext). The limits of the budget replace
// the server's ReadHeaderTimeout, IdleTimeout and MaxHeaderBytes.
func Guard(server *http.Server, l net.Listener, budget *intake.Budget) net.Listener {
	server.ReadHeaderTimeout, server.IdleTimeout = 0, 0
	server.MaxHeaderBytes = http.DefaultMaxHeaderBytes // above any that a configuration states
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		account := intake.FromContext(req.Context())
		account.BeginBody()
		if req.Body == nil || req.Body == http.NoBody {
			_ = account.BeginServing() // a connection that is being ended fails when it is used
		} else {
			req.Body = &countedBody{ReadCloser: req.Body, account: account}
		}
		handler.ServeHTTP(w, req)
	})
	server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if guarded := guardedOf(c); guarded != nil {
			return intake.WithAccount(ctx, guarded.account)
		}
		return ctx
	}
	server.ConnState = func(c net.Conn, state http.ConnState) {
		if guarded := guardedOf(c); guarded != nil && state == http.StateIdle {
			guarded.headBytes.Store(0)
			guarded.account.EndRequest()
		}
	}
	return &guardedListener{Listener: l, budget: budget}
}

// guardedOf returns the guarded connection below a connection of a server, or nil.
func guardedOf(c net.Conn) *guardedConn {
	if secure, ok := c.(*tls.Conn); ok {
		c = secure.NetConn()
	}
	guarded, _ := c.(*guardedConn)
	return guarded
}

// countedBody tells the account when the body has been read. It fails then if the connection is being ended, whose request must not run.
type countedBody struct {
	io.ReadCloser
	account *intake.Account
}

// Read implements io.Reader.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if ended := b.account.BeginServing(); ended != nil {
			return n, ended
		}
	}
	return n, err
}

// guardedListener opens an account for each connection and closes those that get none.
type guardedListener struct {
	net.Listener
	budget *intake.Budget
}

// Accept implements net.Listener.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		guarded := &guardedConn{Conn: c, budget: l.budget}
		host, _, err := net.SplitHostPort(c.RemoteAddr().String())
		if err != nil {
			host = c.RemoteAddr().String() // in tests, connections without a port
		}
		if guarded.account = l.budget.Open(host, guarded.end); guarded.account != nil {
			return guarded, nil
		}
		guarded.answer(answerShort)
		_ = c.Close() // nothing has been read from it
	}
}

// guardedConn is a connection of a caller.
type guardedConn struct {
	net.Conn
	budget    *intake.Budget
	account   *intake.Account
	headBytes atomic.Int64 // read since the previous request; counted until the handler begins

	mu    sync.Mutex
	ended bool // deadlines stay as they are
}

// Read implements net.Conn. It charges and bounds what is read before the head of a request is complete.
func (c *guardedConn) Read(p []byte) (int, error) {
	c.account.BeginRead()
	n, err := c.Conn.Read(p)
	if !c.account.EndRead(n) || n == 0 {
		return n, err
	}
	headBytes := c.headBytes.Add(int64(n))
	if limit := c.budget.Limits().MaxHeaderBytes; limit > 0 && headBytes > limit+headSlack {
		c.account.CountRefusal(intake.ReasonLargeHead)
		c.answer(answerLarge)
		return 0, errHeadTooLarge
	}
	if chargeErr := c.account.Charge(int64(n) * intake.HeadCost); chargeErr != nil {
		if errors.Is(chargeErr, intake.ErrShort) {
			c.answer(answerShort)
		}
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: chargeErr}
	}
	return n, err
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (written int, err error) {
	for {
		piece := p[written:min(written+writePiece, len(p))]
		c.account.BeginWrite()
		n, err := c.Conn.Write(piece)
		c.account.EndWrite(n)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	err := c.Conn.Close()
	c.account.Close()
	return err
}

// CloseWrite shuts down the writing side. net/http calls it before it closes a connection whose request it has not read.
func (c *guardedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *guardedConn) SetReadDeadline(t time.Time) error {
	return c.setDeadline(c.Conn.SetReadDeadline, t)
}

// SetWriteDeadline implements net.Conn.
func (c *guardedConn) SetWriteDeadline(t time.Time) error {
	return c.setDeadline(c.Conn.SetWriteDeadline, t)
}

// SetDeadline implements net.Conn.
func (c *guardedConn) SetDeadline(t time.Time) error { return c.setDeadline(c.Conn.SetDeadline, t) }

// setDeadline sets a deadline unless the connection is being ended.
func (c *guardedConn) setDeadline(set func(time.Time) error, t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		return nil
	}
	return set(t)
}

// end ends the connection for the budget. A handler that reads a body finds an error and has lastAnswerTime to refuse the request.
func (c *guardedConn) end(e intake.Ending) {
	refusable := e.Reason == intake.ReasonShort || e.Reason == intake.ReasonSlowBody
	if e.Phase == intake.Body && !e.Writing && refusable {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		now := time.Now()
		_ = c.Conn.SetReadDeadline(now) // fails only on a closed connection
		_ = c.Conn.SetWriteDeadline(now.Add(lastAnswerTime))
		return
	}
	if e.Phase == intake.Head && !e.Writing {
		switch e.Reason {
		case intake.ReasonHeadTime:
			c.answer(answerTimeout)
		case intake.ReasonShort:
			c.answer(answerShort)
		}
	}
	if e.Writing {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0) // the kernel drops what it has not sent
		}
	}
	_ = c.Conn.Close() // the server finds it closed, and closes the account
}

// answer writes a short answer without waiting for the caller.
func (c *guardedConn) answer(text string) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil || tcp.SetWriteDeadline(time.Now().Add(headAnswerTime)) != nil {
		return
	}
	_ = raw.Write(func(fd uintptr) bool { // without room in the send buffer, the connection ends without an answer
		_, _ = unix.Write(int(fd), []byte(text))
		return true
	})
}

// ListenBounded is like Listen, and bounds what the kernel holds of a connection, for callers that the operator does not control.
func ListenBounded(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: func(network, addr string, conn syscall.RawConn) error {
		if err := UserTimeout(unackedTimeout)(network, addr, conn); err != nil {
			return err
		}
		if err := setSocketOption(conn, unix.SO_SNDBUF, intake.SendBuffer); err != nil {
			return err
		}
		return BoundReceiveBuffer(network, addr, conn)
	}}
	l, err := config.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	if err := limitBacklog(l); err != nil {
		_ = l.Close() // the first error is reported
		return nil, errors.Wrapf(err, "backlog of %s", addr)
	}
	return l, nil
}

// BoundReceiveBuffer is a function for net.ListenConfig.Control and net.Dialer.Control that bounds what the kernel receives for a connection before
// the process reads it.
func BoundReceiveBuffer(_, _ string, conn syscall.RawConn) error {
	return setSocketOption(conn, unix.SO_RCVBUF, intake.ReceiveBuffer)
}

func setSocketOption(conn syscall.RawConn, option, value int) error {
	var optionErr error
	err := conn.Control(func(fd uintptr) { optionErr = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, option, value) })
	if err != nil {
		return errors.Wrap(err, "access socket")
	}
	return errors.Wrap(optionErr, "set size of a socket buffer")
}

// backlog bounds the connections that the kernel has accepted and the process has not: up to 12 MB of what their callers have sent. The
// default of Go is that of the system, 4,096.
const backlog = 256

func limitBacklog(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	err = raw.Control(func(fd uintptr) { listenErr = unix.Listen(int(fd), backlog) })
	if err != nil {
		return err
	}
	return listenErr
}

// goMemoryParts of goMemoryWhole is the share of the machine's memory up to which the Go runtime collects as rarely as usual. The rest is for the
// program's code and for what the kernel holds of connections.
const goMemoryParts, goMemoryWhole = 5, 8

// LimitGoMemory makes the Go runtime collect more often when the memory of the machine is about to be used up; 0: not known, no limit. The
// environment variable GOMEMLIMIT takes precedence.
func LimitGoMemory(machineBytes int64) {
	if machineBytes > 0 && os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(machineBytes * goMemoryParts / goMemoryWhole)
	}
}

// RefuseRest makes the server close the connection of a request whose body is not to be read, after its response has been sent.
func RefuseRest(w http.ResponseWriter) {
	w.Header().Set("Connection", "close")
	_ = http.NewResponseController(w).SetReadDeadline(time.Now()) // unsupported only by test recorders
}
