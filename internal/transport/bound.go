package transport

import (
	"cmp"
	"net/http"
)

// BoundBodies returns a client like c, for which bodies of responses fail with *http.MaxBytesError behind maxBytes bytes.
func BoundBodies(c *http.Client, maxBytes int64) *http.Client {
	bounded := *c
	bounded.Transport = boundedTransport{next: cmp.Or(c.Transport, http.DefaultTransport), maxBytes: maxBytes}
	return &bounded
}

type boundedTransport struct {
	next     http.RoundTripper
	maxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t boundedTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.next.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	resp.Body = http.MaxBytesReader(nil, resp.Body, t.maxBytes)
	return resp, nil
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t boundedTransport) CloseIdleConnections() {
	if next, ok := t.next.(interface{ CloseIdleConnections() }); ok {
		next.CloseIdleConnections()
	}
}
