package faultnet

import (
	"context"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// silenceTimeout is how long a test waits before it concludes that nothing arrives.
const silenceTimeout = 100 * time.Millisecond

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func newNetwork(t *testing.T) (*standin.Platform, *Network, string) {
	t.Helper()
	p := standin.New(standin.Options{})
	t.Cleanup(p.Close)
	n := New(p.Faults())
	addr := startEchoServer(t)
	n.Register(addr, "south", "agent-1", "model-1")
	return p, n, addr
}

func roundTrip(t *testing.T, c net.Conn) error {
	t.Helper()
	require.NoError(t, c.SetReadDeadline(time.Now().Add(silenceTimeout)))
	_, err := c.Write([]byte("ping"))
	require.NoError(t, err)
	_, err = io.ReadFull(c, make([]byte, 4))
	return err
}

// An open connection that becomes silent must neither deliver data nor fail, whereas a new one must work.
func TestOpenConnectionGoesSilentAndNewOneWorks(t *testing.T) {
	p, n, addr := newNetwork(t)
	dial := n.Dialer("north", "entry-1")
	old, err := dial(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = old.Close() }()
	require.NoError(t, roundTrip(t, old))
	require.NoError(t, p.Faults().Merge([]byte(`{"connection_silent":["model-1"]}`)))
	require.ErrorIs(t, roundTrip(t, old), os.ErrDeadlineExceeded)
	fresh, err := dial(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = fresh.Close() }()
	require.NoError(t, roundTrip(t, fresh))
	require.NoError(t, p.Faults().Merge([]byte(`{"table_down":true}`)))
	require.NoError(t, roundTrip(t, fresh), "another fault must not silence newer connections")
	require.NoError(t, p.Faults().Merge([]byte(`{"connection_silent":["model-1"]}`)))
	require.ErrorIs(t, roundTrip(t, fresh), os.ErrDeadlineExceeded, "a repeated fault must take effect again")
	require.NoError(t, p.Faults().Merge([]byte(`{"reset":true}`)))
	require.ErrorIs(t, roundTrip(t, old), os.ErrDeadlineExceeded, "the state of the connection is lost for good")
}

// Close must unblock a Read on a silent connection; otherwise the reading goroutine leaks.
func TestCloseReleasesReaderOfSilentConnection(t *testing.T) {
	_, n, addr := newNetwork(t)
	c, err := n.Dialer("north", "entry-1")(t.Context(), "tcp", addr)
	require.NoError(t, err)
	released := make(chan error, 1)
	go func() {
		_, err := c.Read(make([]byte, 1))
		released <- err
	}()
	n.Silence("entry-1")
	require.NoError(t, c.Close())
	select {
	case err = <-released:
		require.Error(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the reader still waits")
	}
}

func TestPartitionBlocksDataAndDials(t *testing.T) {
	p, n, addr := newNetwork(t)
	dial := n.Dialer("north", "entry-1")
	c, err := dial(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	require.NoError(t, p.Faults().Merge([]byte(`{"partition":[["north"],["south"]]}`)))
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(silenceTimeout)))
	_, err = c.Write([]byte("ping"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	ctx, cancel := context.WithTimeout(t.Context(), silenceTimeout)
	defer cancel()
	_, err = dial(ctx, "tcp", addr)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	near, err := n.Dialer("south", "entry-2")(t.Context(), "tcp", addr)
	require.NoError(t, err)
	defer func() { _ = near.Close() }()
	require.NoError(t, roundTrip(t, near))

	require.NoError(t, c.SetWriteDeadline(time.Time{}))
	require.NoError(t, p.Faults().Merge([]byte(`{"partition":[]}`)))
	require.NoError(t, roundTrip(t, c), "a healed partition delivers again")
}
