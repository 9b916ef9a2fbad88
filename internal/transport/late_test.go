package transport

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"
)

// silenceableServer answers calls. It can silence the connections that are open.
type silenceableServer struct {
	*httptest.Server
	mu      sync.Mutex
	open    map[string]bool // by the address of the client
	silent  map[string]bool
	calls   int
	release chan struct{}
}

func newSilenceableServer(t *testing.T) *silenceableServer {
	s := &silenceableServer{open: make(map[string]bool), silent: make(map[string]bool), release: make(chan struct{})}
	s.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		body, _ := io.ReadAll(req.Body)
		s.mu.Lock()
		s.open[req.RemoteAddr] = true
		silent := s.silent[req.RemoteAddr]
		s.calls++
		s.mu.Unlock()
		if silent {
			<-s.release
			return
		}
		time.Sleep(20 * time.Millisecond) // so that concurrent calls open connections of their own
		_, _ = w.Write(append([]byte("echo "), body...))
	}))
	t.Cleanup(func() {
		close(s.release)
		s.Close()
	})
	return s
}

func (s *silenceableServer) silence() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for addr := range s.open {
		s.silent[addr] = true
	}
}

func (s *silenceableServer) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func post(t *testing.T, client *http.Client, url string, limit time.Duration) (string, error) {
	ctx, cancel := context.WithTimeout(t.Context(), limit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("x"))
	require.NoError(t, err)
	resp, err := client.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const pooledConnections = 4

func fillPool(t *testing.T, client *http.Client, url string) {
	var wg sync.WaitGroup
	for range pooledConnections {
		wg.Go(func() { _, _ = post(t, client, url, time.Second) })
	}
	wg.Wait()
}

// A pool of silent connections must cost calls that may be repeated the lateness, once.
func TestRepeatableCallsSurviveSilentConnections(t *testing.T) {
	s := newSilenceableServer(t)
	client := RepeatLate(NewHTTPClient(nil, nil), Any)
	fillPool(t, client, s.URL)
	s.silence()
	for _, limit := range []time.Duration{2 * time.Second, lateAfter} {
		body, err := post(t, client, s.URL, limit)
		require.NoError(t, err)
		require.Equal(t, "echo x", body)
	}
}

// A call that must not be repeated must be made once, and cost one time limit for the whole pool of silent connections.
func TestOtherCallsMeetOneSilentConnection(t *testing.T) {
	s := newSilenceableServer(t)
	client := RepeatLate(NewHTTPClient(nil, nil), Safe)
	fillPool(t, client, s.URL)
	s.silence()
	before := s.callCount()
	_, err := post(t, client, s.URL, 2*lateAfter)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Equal(t, before+1, s.callCount())
	body, err := post(t, client, s.URL, lateAfter)
	require.NoError(t, err)
	require.Equal(t, "echo x", body)
}

// A connection whose other side is gone must be closed within seconds, also while a response is on its way to it.
func TestListenersNoticeCallersThatAreGone(t *testing.T) {
	l, err := Listen(t.Context(), "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	accepted, err := l.Accept()
	require.NoError(t, err)
	defer accepted.Close()
	raw, err := accepted.(*net.TCPConn).SyscallConn()
	require.NoError(t, err)
	require.NoError(t, raw.Control(func(fd uintptr) {
		ms, err := unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT)
		require.NoError(t, err)
		require.Equal(t, unackedTimeout, time.Duration(ms)*time.Millisecond)
	}))
}
