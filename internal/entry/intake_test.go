package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against callers that keep others out of an entry by bodies that they do not complete, and against a refusal of them that does not say
// that they have not run.
func TestStallingBodiesMakeRoom(t *testing.T) {
	t.Setenv("GOMEMLIMIT", "off") // that of the tests' process
	f := newFleet(t, answerTokens)
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	opts := moduleOptions(f, epochs, time.Millisecond)
	opts.MemoryBytes = 4 << 20 // 1 MB for bytes
	d, err := newDaemon(opts, Timing{}, Disabled{})
	require.NoError(t, err)
	require.NoError(t, d.start(t.Context()))
	const size, callers = 90_000, 12
	head := "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + testKey
	var stalling []net.Conn
	for range callers {
		conn, err := net.Dial("tcp", d.callerListener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "%s\r\nContent-Length: %d\r\n\r\n%s", head, size, strings.Repeat(" ", size-1))
		require.NoError(t, err)
		stalling = append(stalling, conn)
		time.Sleep(20 * time.Millisecond) // the first ones are older than the grace time when the budget is used up
	}
	time.Sleep(200 * time.Millisecond)
	e := &testEntry{url: "http://" + d.callerListener.Addr().String()}
	require.Equal(t, http.StatusOK, e.chat(t, strings.Replace(chatBody, "{", "{"+strings.Repeat(" ", size), 1)).status)
	refused := 0
	for _, conn := range stalling {
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			continue // still waiting
		}
		refused++
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
		body, err := io.ReadAll(resp.Body)
		require.NoError(t, err)
		require.Contains(t, string(body), `"run":"not_run"`)
	}
	require.Positive(t, refused)
	runs, _ := f.totalCounts()
	require.Equal(t, 1, runs)
	for _, conn := range stalling {
		_ = conn.Close() // the drain waits for open requests
	}
	require.NoError(t, d.stop(t.Context()))
}
