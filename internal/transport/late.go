package transport

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/hedge"
	"github.com/bilberrylink/bilberrylink/internal/http1"
)

const (
	// lateAfter is the time after which the response to a call within a region is late. The connection may be silent then.
	lateAfter = 300 * time.Millisecond
	// maxRepeatableBytes bounds the response to a call that may be repeated, as it is read before it is returned.
	maxRepeatableBytes = 64 << 20
)

// RepeatLate returns a client like c that makes calls whose response is late once more on a new connection. Calls that are not repeatable are made
// once. The client accepts valid responses only. The idle connections are closed when a call has shown that one is silent. repeatable calls must
// not stream their responses. A client with a transport of another kind than that of net/http is returned as it is.
func RepeatLate(c *http.Client, repeatable func(*http.Request) bool) *http.Client {
	repeating := *http1.Client(c)
	pooled, ok := repeating.Transport.(*http1.Transport)
	if !ok {
		return c
	}
	repeating.Transport = &lateTransport{pooled: pooled, single: WithoutKeepAlives(&repeating).Transport, repeatable: repeatable}
	return &repeating
}

// Any reports true for each request.
func Any(*http.Request) bool { return true }

// Safe reports whether the method of a request asks for no change.
func Safe(req *http.Request) bool {
	return req.Method == http.MethodGet || req.Method == http.MethodHead
}

type lateTransport struct {
	pooled     *http1.Transport
	single     http.RoundTripper // opens a connection for each call
	repeatable func(*http.Request) bool
}

// CloseIdleConnections closes the idle connections; http.Client calls it.
func (t *lateTransport) CloseIdleConnections() { t.pooled.CloseIdleConnections() }

// RoundTrip implements http.RoundTripper.
func (t *lateTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	hasBody := req.Body != nil && req.Body != http.NoBody
	if !t.repeatable(req) || hasBody && req.GetBody == nil {
		resp, err := t.pooled.RoundTrip(req)
		if err != nil && errors.Is(req.Context().Err(), context.DeadlineExceeded) {
			t.pooled.CloseIdleConnections()
		}
		return resp, err
	}
	if hasBody {
		defer func() { _ = req.Body.Close() }() // each call has a copy
	}
	resp, by, err := hedge.Do(req.Context(), lateAfter, nil, func(ctx context.Context, c hedge.Connection) (*http.Response, error) {
		repeat := req.Clone(ctx)
		if hasBody {
			body, err := req.GetBody()
			if err != nil {
				return nil, err
			}
			repeat.Body = body
		}
		if c == hedge.New {
			return readWhole(t.single.RoundTrip(repeat))
		}
		return readWhole(t.pooled.RoundTrip(repeat))
	})
	if err == nil && by == hedge.New {
		t.pooled.CloseIdleConnections()
	}
	return resp, err
}

// readWhole reads the body of a response, whose context ends with the call.
func readWhole(resp *http.Response, err error) (*http.Response, error) {
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxRepeatableBytes+1))
	if err == nil && len(body) > maxRepeatableBytes {
		err = errors.New("response is longer than expected")
	}
	if err != nil {
		return nil, err
	}
	resp.Body = io.NopCloser(bytes.NewReader(body))
	return resp, nil
}
