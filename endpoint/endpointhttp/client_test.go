package endpointhttp_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
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

// rawEndpoint answers each request with what respond returns, and writes the answer to the first request of a connection once more before
// the answers to later ones.
func rawEndpoint(t *testing.T, respond func(n int) string) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	requests := atomic.Int64{}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				reader, first := bufio.NewReader(c), ""
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, req.Body)
					response := respond(int(requests.Add(1)))
					_, _ = io.WriteString(c, first+response)
					if first == "" {
						first = response
					}
				}
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

func rawResponse(status int, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
}

// An answer that an endpoint writes once more, on a connection that is in use again, must not be taken for the answer to a later call.
func TestRepeatedAnswersOfAnEndpointBelongToNoCall(t *testing.T) {
	url := rawEndpoint(t, func(n int) string { return rawResponse(200, fmt.Sprintf(`"answer %d"`, n)) })
	service := endpointhttp.NewService(url, nil)
	for n := 1; n <= 4; n++ {
		response, err := service.Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders"})
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf(`"answer %d"`, n), string(response.Body))
	}

	status, body := endpointhttp.EncodeError(endpoint.ErrNoMemory)
	refusal, err := json.Marshal(body)
	require.NoError(t, err)
	tokens := "event: token\ndata: {\"index\":0,\"text\":\"t\"}\n\nevent: end\ndata: {}\n\n"
	engine := endpointhttp.NewEngine(rawEndpoint(t, func(n int) string {
		if n == 1 {
			return rawResponse(status, string(refusal))
		}
		return rawResponse(200, tokens)
	}), nil)
	_, err = engine.Generate(t.Context(), endpoint.GenerateRequest{StreamID: "a"})
	require.ErrorIs(t, err, endpoint.ErrNoMemory)
	stream, err := engine.Generate(t.Context(), endpoint.GenerateRequest{StreamID: "b"})
	require.NoError(t, err, "the engine runs it")
	token, err := stream.Recv()
	require.NoError(t, err)
	require.Equal(t, "t", token.Text)
	require.NoError(t, stream.Close())
}

// An answer whose head breaks off anywhere must not be taken for an empty one.
func TestAnswerThatBreaksOffInItsHeadIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 x\r\nX-Any: 1\r\nContent-Length: 15\r\n\r\n", "HTTP/1.1 200 x\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 x\r\nX-Any: 1\r\n\r\n"} {
		for cut := 1; cut < len(head); cut++ {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				c, _, err := w.(http.Hijacker).Hijack()
				if err == nil {
					_, _ = io.WriteString(c, head[:cut])
					_ = c.Close()
				}
			}))
			_, err := endpointhttp.NewService(server.URL, nil).Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders"})
			require.Error(t, err, "%q", head[:cut])
			_, err = endpointhttp.NewEngine(server.URL, nil).Generate(t.Context(), endpoint.GenerateRequest{})
			require.Error(t, err, "%q", head[:cut])
			server.Close()
		}
	}
}

// A refusal that names a time to return must tell it.
func TestTimeToReturnOfARefusal(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer server.Close()
	_, err := endpointhttp.NewEngine(server.URL, nil).Generate(t.Context(), endpoint.GenerateRequest{})
	var refused *endpoint.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, 2500*time.Millisecond, refused.After)
	require.ErrorIs(t, err, endpoint.ErrDown)
}

// A limit that cannot be read must be none, and one holds until an answer without it.
func TestLimitOfTheLatestAnswerIsRead(t *testing.T) {
	header := ""
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if header != "" {
			w.Header().Set("Server-Limit", header)
		}
		_, _ = w.Write([]byte("{}"))
	}))
	defer server.Close()
	service := endpointhttp.NewService(server.URL, nil)
	for value, want := range map[string]endpoint.Limit{
		"2.5": {Stated: true, PerSecond: 2.5}, "0": {Stated: true}, "": {}, "-1": {}, "many": {}, "NaN": {}, "1e400": {},
	} {
		header = value
		_, err := service.Do(t.Context(), endpoint.Call{Method: "GET", Path: "/"})
		require.NoError(t, err)
		require.Equal(t, want, service.(endpoint.Limited).Limit(), value)
	}
}

// rawServer answers each connection with bytes and then closes it, or resets it.
func rawServer(t *testing.T, answer string, reset bool) *httptest.Server {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body) // a close with unread data resets the connection
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, answer)
		if reset {
			time.Sleep(20 * time.Millisecond) // so that the answer is read before the reset
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}))
	t.Cleanup(server.Close)
	return server
}

const unframedHead = "HTTP/1.1 200 x\r\nX-Any: 1\r\n\r\n"

// An answer with neither a length nor chunks is complete if its connection ends, and is not if that is reset.
func TestAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	for _, reset := range []bool{false, true} {
		server := rawServer(t, unframedHead+"paid", reset)
		resp, err := endpointhttp.NewService(server.URL, nil).Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders"})
		if reset {
			require.ErrorIs(t, err, endpoint.ErrDown)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "paid", string(resp.Body))
	}
}

// A stream that ends inside an event, wherever that is, has been broken off and must not look complete.
func TestStreamThatEndsInsideAnEventIsBroken(t *testing.T) {
	const events = "event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\nevent: end\ndata: {\"completion_tokens\":1}\n\n"
	for cut := range len(events) {
		server := rawServer(t, unframedHead+events[:cut], false)
		stream, err := endpointhttp.NewEngine(server.URL, nil).Generate(t.Context(), endpoint.GenerateRequest{})
		require.NoError(t, err)
		for err == nil {
			_, err = stream.Recv()
		}
		require.ErrorIs(t, err, endpoint.ErrDown, "%q", events[:cut])
		server.Close()
	}
	server := rawServer(t, unframedHead+events, false)
	stream, err := endpointhttp.NewEngine(server.URL, nil).Generate(t.Context(), endpoint.GenerateRequest{})
	require.NoError(t, err)
	_, err = stream.Recv()
	require.NoError(t, err)
	_, err = stream.Recv()
	require.ErrorIs(t, err, io.EOF)
}
