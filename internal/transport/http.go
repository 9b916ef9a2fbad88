package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/http1"
)

// Timeouts and limits of internal connections. There is neither a total request timeout nor one for the response header,
// because the response to a prefill call of a split prompt takes minutes; the request's context limits each call.
const (
	dialTimeout         = 2 * time.Second // connecting within a region takes milliseconds
	handshakeTimeout    = 3 * time.Second
	readHeaderTimeout   = 5 * time.Second
	clientIdleTimeout   = 30 * time.Second // shorter than serverIdleTimeout, so that clients do not reuse a closing connection
	serverIdleTimeout   = 60 * time.Second
	maxHeaderBytes      = 64 << 10
	maxIdleConnsPerHost = 32
)

// keepAliveConfig detects an unresponsive idle connection after about 11 s.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTPClient returns a client for calls between the system's own processes. config is the result of ClientTLSConfig,
// or nil for plain TCP. If dial is nil, the client uses the default dialer. Connections use HTTP/1.1, so that an
// unresponsive connection affects a single call only, and ignore the proxy settings of the environment.
func NewHTTPClient(config *tls.Config, dial DialFunc) *http.Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAliveConfig}
		dial = dialer.DialContext
	}
	transport := &http.Transport{
		DialContext:            dial,
		IdleConnTimeout:        clientIdleTimeout,
		MaxIdleConnsPerHost:    maxIdleConnsPerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	if config != nil {
		transport.DialTLSContext = dialTLS(config, dial)
	}
	return &http.Client{Transport: http1.NewTransport(transport), CheckRedirect: returnRedirect}
}

// WithoutKeepAlives returns a client like c that opens a connection for each request and accepts valid responses only.
func WithoutKeepAlives(c *http.Client) *http.Client {
	single := *http1.Client(c)
	if t, ok := single.Transport.(*http1.Transport); ok {
		t = t.Clone()
		t.DisableKeepAlives = true
		single.Transport = t
	}
	return &single
}

// returnRedirect makes the client return a redirect response instead of following it, since no process of the system
// sends redirects.
func returnRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dialTLS returns a DialFunc that performs the TLS handshake and verifies the peer's host name or IP address.
func dialTLS(config *tls.Config, dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, errors.Wrap(err, "peer address")
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, configForHost(config, host))
		handshakeCtx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := conn.HandshakeContext(handshakeCtx); err != nil {
			_ = raw.Close() // the handshake error matters, not this one
			return nil, errors.Wrapf(err, "TLS handshake with %s", addr)
		}
		return conn, nil
	}
}

// configForHost returns a copy of config that also verifies that the peer's certificate is valid for host.
func configForHost(config *tls.Config, host string) *tls.Config {
	c := config.Clone()
	c.ServerName = host
	verifyChain := c.VerifyConnection
	c.VerifyConnection = func(state tls.ConnectionState) error {
		if verifyChain != nil {
			if err := verifyChain(state); err != nil {
				return err
			}
		}
		return state.PeerCertificates[0].VerifyHostname(host)
	}
	return c
}

// NewHTTPServer returns a server for calls between the system's own processes. config is the result of ServerTLSConfig, or
// nil for plain TCP.
func NewHTTPServer(handler http.Handler, config *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Listen opens a TCP listener whose connections are closed when the other side has been silent for seconds: it answers neither keep-alive
// probes nor acknowledges data.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAliveConfig, Control: UserTimeout(unackedTimeout)}
	l, err := config.Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// Serve accepts connections on l until server is shut down, using TLS if server has a TLS configuration. It returns nil
// after a shutdown.
func Serve(server *http.Server, l net.Listener) error {
	err := serve(server, l)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errors.Wrap(err, "serve")
}

func serve(server *http.Server, l net.Listener) error {
	if server.TLSConfig == nil {
		return server.Serve(l)
	}
	return server.ServeTLS(l, "", "")
}
