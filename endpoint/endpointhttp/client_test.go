package endpointhttp_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/endpoint/endpointhttp"
)

// endlessly writes a block until the client closes the connection, or until a bound that no sound answer reaches.
func endlessly(w http.ResponseWriter, block string) {
	for range (1 << 30) / len(block) {
		if _, err := io.WriteString(w, block); err != nil {
			return
		}
	}
}

// An answer that is longer than the agent accepts must not be cut and passed on as a complete one.
func TestTooLongAnswerIsNotCutToACompleteOne(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", endpointhttp.MaxBodyBytes+1))
	}))
	defer server.Close()
	_, err := endpointhttp.NewService(server.URL, nil).Do(t.Context(), endpoint.Call{Method: http.MethodGet, Path: "/stock"})
	require.ErrorIs(t, err, endpoint.ErrDown)
}

// An engine in trouble may send a line of a stream without end. The agent must drop the connection and keep its memory bounded.
func TestEndlessLineOfAStreamIsDropped(t *testing.T) {
	const maxHeap = 16 << 20 // half of what a node may use
	dropped := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "event: token\ndata: ")
		endlessly(w, strings.Repeat("x", 1<<16))
		close(dropped)
	}))
	defer server.Close()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	stream, err := endpointhttp.NewEngine(server.URL, nil).Generate(t.Context(), endpoint.GenerateRequest{})
	require.NoError(t, err)
	_, err = stream.Recv()
	require.ErrorIs(t, err, endpoint.ErrDown)
	require.NoError(t, stream.Close())
	runtime.ReadMemStats(&after)
	require.Less(t, int64(after.HeapAlloc)-int64(before.HeapAlloc), int64(maxHeap))
	select {
	case <-dropped:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection is still open")
	}
}
