package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/timing"
)

const (
	testHeaderTimeout = 500 * time.Millisecond
	longerThanThat    = 600 * time.Millisecond
)

// guardedServer starts a server and returns its address. It answers after a while with as many bytes as the body has, and on /wait not at all.
func guardedServer(t *testing.T, server *http.Server, sizes intake.Sizes) string {
	limits := intake.Limits{HeaderTimeout: testHeaderTimeout, IdleTimeout: time.Hour}
	budget := intake.New(intake.Options{Sizes: sizes, Limits: func() intake.Limits { return limits }})
	l, err := ListenBounded(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Path == "/wait" {
			<-req.Context().Done()
		}
		n, err := io.Copy(io.Discard, req.Body)
		if err == nil {
			time.Sleep(longerThanThat)
			_, _ = io.WriteString(w, strings.Repeat("x", int(n))) // fails only if the caller has disconnected
		}
	})
	go func() { _ = Serve(server, Guard(server, l, budget)) }() // ends with Close
	go timing.Every(t.Context(), 10*time.Millisecond, budget.Sweep)
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// Guards against limits of time for a head that hold for the rest of a request or for the time between requests, with and without TLS.
func TestGuardTellsPhasesApart(t *testing.T) {
	ca := newAuthority(t, "ca")
	config, err := ServerTLSConfig(ca.issue(t, t.TempDir(), "server", "127.0.0.1", ca))
	require.NoError(t, err)
	for _, scheme := range []string{"http", "https"} {
		t.Run(scheme, func(t *testing.T) {
			t.Parallel()
			server, client := &http.Server{}, NewHTTPClient(nil, nil)
			if scheme == "https" {
				server.TLSConfig, client = config, newClient(t, ca.issue(t, t.TempDir(), "client", "127.0.0.1", ca))
			}
			addr := guardedServer(t, server, intake.Sizes{})
			for range 2 {
				resp, err := client.Post(scheme+"://"+addr, "text/plain", strings.NewReader("body"))
				require.NoError(t, err)
				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)
				require.NoError(t, resp.Body.Close())
				require.Equal(t, "xxxx", string(body))
				time.Sleep(longerThanThat)
			}
		})
	}
}

// Guards against a slow head that keeps a connection open, and against a connection above the bound that is left open.
func TestGuardEndsConnections(t *testing.T) {
	addr := guardedServer(t, &http.Server{}, intake.Sizes{Connections: 4})
	dial := func(text string) *bufio.Reader {
		conn, err := net.Dial("tcp", addr)
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		require.NoError(t, conn.SetDeadline(time.Now().Add(5*time.Second)))
		_, err = io.WriteString(conn, text)
		require.NoError(t, err)
		return bufio.NewReader(conn)
	}
	slow := dial("GET / HTTP/1.1\r\nHo")
	resp, err := http.ReadResponse(slow, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusRequestTimeout, resp.StatusCode)
	for range 2 { // the share of an address
		dial("GET /wait HTTP/1.1\r\nHost: x\r\n\r\n")
	}
	time.Sleep(100 * time.Millisecond) // until the requests have been read
	resp, err = http.ReadResponse(dial(""), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
}
