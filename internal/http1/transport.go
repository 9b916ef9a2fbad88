package http1

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Transport is an http.Transport that returns valid responses only. It uses HTTP/1.1.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport with the settings and the dial functions of t, which must not be used any more.
func NewTransport(t *http.Transport) *Transport {
	dial, dialTLS := t.DialContext, t.DialTLSContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	if dialTLS == nil {
		dialTLS = secure(dial, t.TLSClientConfig, t.TLSHandshakeTimeout)
	}
	t.DialContext, t.DialTLSContext = validate(dial), validate(dialTLS)
	t.ForceAttemptHTTP2 = false
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeadBytes
	}
	return &Transport{t}
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// validate returns a dial function whose connections validate responses.
func validate(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}

// secure returns a dial function that uses TLS, as an http.Transport does without one. A timeout of 0 is none.
func secure(dial dialFunc, config *tls.Config, handshakeTimeout time.Duration) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		host, _, err := net.SplitHostPort(addr)
		if err != nil {
			return nil, err
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		hostConfig := config.Clone()
		if hostConfig == nil {
			hostConfig = new(tls.Config)
		}
		if hostConfig.ServerName == "" {
			hostConfig.ServerName = host
		}
		hostConfig.NextProtos = nil // net/http adds HTTP/2 to that of a transport in use
		if handshakeTimeout > 0 {
			var cancel context.CancelFunc
			ctx, cancel = context.WithTimeout(ctx, handshakeTimeout)
			defer cancel()
		}
		c := tls.Client(raw, hostConfig)
		if err := c.HandshakeContext(ctx); err != nil {
			_ = raw.Close() // the handshake error matters, not this one
			return nil, err
		}
		return c, nil
	}
}

// Client returns a client like c that accepts valid responses only. nil stands for http.DefaultClient. A client with a transport of another
// kind than that of net/http is returned as it is.
func Client(c *http.Client) *http.Client {
	if c == nil {
		c = http.DefaultClient
	}
	transport := c.Transport
	if transport == nil {
		transport = http.DefaultTransport
	}
	standard, ok := transport.(*http.Transport)
	if !ok {
		return c
	}
	validating := *c
	validating.Transport = NewTransport(standard.Clone())
	return &validating
}

// Clone returns a Transport with the same settings and connections of its own.
func (t *Transport) Clone() *Transport { return &Transport{t.Transport.Clone()} }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used atomic.Pointer[Conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			c.Begin(req.Method)
			used.Store(c)
		}
	}}
	resp, err := t.Transport.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if c := used.Load(); err == nil && resp.TLS == nil && c != nil {
		resp.TLS = c.tlsState()
	}
	return resp, err
}
