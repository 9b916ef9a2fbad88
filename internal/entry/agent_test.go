package entry

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

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
