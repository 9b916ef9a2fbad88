package entry

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/wire"
)

// A run whose TLS handshake fails did not reach the agent. If it counted as sent, a certificate rotation would turn
// orders into calls of unknown outcome.
func TestFailedHandshakeMeansNotSent(t *testing.T) {
	var requests int
	plain := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests++ }))
	defer plain.Close()
	agents := newAgents(nil, &tls.Config{MinVersion: tls.VersionTLS13})
	defer agents.close()
	_, err := agents.run(t.Context(), strings.TrimPrefix(plain.URL, "http://"), &wire.RunRequest{})
	require.ErrorIs(t, err, errNotSent)
	require.Zero(t, requests)
}

// Guards against a new connection, and with mutual TLS a handshake, for each request: an HTTP client keeps a connection
// only if the end of the previous answer was read.
func TestConnectionsAreReused(t *testing.T) {
	const lateEnd = 5 * time.Millisecond // between the last frame and the end of the body, as an agent under load shows
	f := newFleet(t, func(a *fakeAgent, r *wire.RunRequest, out *frames) {
		serveTokens(a, r, out)
		time.Sleep(lateEnd)
	})
	b := newBench(t, f, Disabled{})
	const requests = 20
	for range requests {
		require.Equal(t, http.StatusOK, b.chat(t, plainChat).status)
		time.Sleep(4 * lateEnd)
	}
	require.Less(t, int(f.connections.Load()), requests/2, "there are three engines")
}
