package transport

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
)

// Timeouts of internal connections. Requests have neither a total timeout nor one for the header of the answer: the
// request's context bounds them. A prefill call of a split prompt answers after minutes.
const (
	dialTimeout       = 2 * time.Second // an address within a region answers in milliseconds
	handshakeTimeout  = 3 * time.Second
	readHeaderTimeout = 5 * time.Second
	clientIdleTimeout = 30 * time.Second // below serverIdleTimeout, so that clients do not reuse a closing connection
	serverIdleTimeout = 60 * time.Second
	maxHeaderBytes    = 64 << 10
	maxIdlePerHost    = 32
)

// keepAlive detects a silent idle connection after about 11 s.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewHTTPClient returns a client for calls between the system's own processes. config is the result of Client, nil for
// plain TCP; dial may be nil for the default dialer. Connections use HTTP/1.1, so a silent connection affects a
// single call, and they ignore proxies of the environment.
func NewHTTPClient(config *tls.Config, dial DialFunc) *http.Client {
	if dial == nil {
		dialer := &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive}
		dial = dialer.DialContext
	}
	transport := &http.Transport{
		DialContext:            dial,
		IdleConnTimeout:        clientIdleTimeout,
		MaxIdleConnsPerHost:    maxIdlePerHost,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DisableCompression:     true,
	}
	if config != nil {
		transport.DialTLSContext = dialTLS(config, dial)
	}
	return &http.Client{Transport: transport, CheckRedirect: refuseRedirect}
}

// refuseRedirect returns the redirect itself: no process of the system redirects another.
func refuseRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// dialTLS returns a DialFunc that performs the handshake and verifies the peer's host name or IP address.
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
		conn := tls.Client(raw, configFor(config, host))
		handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		if err := conn.HandshakeContext(handshake); err != nil {
			_ = raw.Close() // the handshake error is the cause
			return nil, errors.Wrapf(err, "TLS handshake with %s", addr)
		}
		return conn, nil
	}
}

func configFor(config *tls.Config, host string) *tls.Config {
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

// NewHTTPServer returns a server for calls between the system's own processes. config is the result of Server, nil for
// plain TCP.
func NewHTTPServer(handler http.Handler, config *tls.Config) *http.Server {
	return &http.Server{
		Handler:           handler,
		TLSConfig:         config,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Listen opens a TCP listener whose connections use keep-alive probes.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	config := net.ListenConfig{KeepAliveConfig: keepAlive}
	l, err := config.Listen(ctx, "tcp", addr)
	return l, errors.Wrapf(err, "listen on %s", addr)
}

// Serve accepts connections on l until server is shut down, with TLS when server has a TLS configuration. It returns
// nil after a shutdown.
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
