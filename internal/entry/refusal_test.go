package entry

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// A refusal must reach a caller that sends its whole prompt before it reads, also on a connection that is not kept.
func TestRefusalReachesACallerThatIsStillSending(t *testing.T) {
	const bodyBytes = 16 << 20 // more than the buffers of a connection hold
	e := newTestEntry(t, newFleet(t, answerTokens), Disabled{})
	conn, err := net.Dial("tcp", strings.TrimPrefix(e.url, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nConnection: close\r\nContent-Length: " + strconv.Itoa(bodyBytes) + "\r\n\r\n"
	_, err = io.WriteString(conn, head+strings.Repeat("x", bodyBytes))
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusUnauthorized, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Contains(t, string(body), `"kind":"unauthorized"`)
	require.NoError(t, resp.Body.Close())
}
