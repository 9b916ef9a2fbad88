package http1

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/http1/http1test"
)

// receive begins to receive a response whose text follows, and returns its connection and the error of the first byte that was not received.
func receive(t *testing.T, text string) (*Conn, error) {
	client, server := net.Pipe()
	t.Cleanup(func() { _ = server.Close() })
	c := NewConn(client)
	c.Begin(http.MethodGet)
	go func() { _, _ = server.Write([]byte(text)) }() // ends when the test does
	buf := make([]byte, 4<<10)
	for received := 0; received < len(text); {
		n, err := c.Read(buf)
		if err != nil {
			return c, err
		}
		received += n
	}
	return c, nil
}

// Heads that together take more memory than the process has for them must fail, not the process, and must leave room for usual ones.
func TestHeadsShareABudget(t *testing.T) {
	const capacity = 1 << 20
	earlier := heads
	heads = &headBudget{capacity: capacity}
	defer func() { heads = earlier }()
	largeHead := "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 600) // some 160 KB of memory
	var conns []*Conn
	var failures int
	for range 100 {
		c, err := receive(t, largeHead)
		if err != nil {
			require.ErrorIs(t, err, ErrShort)
			failures++
		}
		conns = append(conns, c)
	}
	require.Positive(t, failures)
	require.Less(t, failures, len(conns))
	require.LessOrEqual(t, heads.held, int64(capacity))
	for name, response := range http1test.Valid() {
		c, err := receive(t, response.Text(""))
		require.NoError(t, err, name)
		require.NoError(t, c.Close())
	}
	someFields := strings.Repeat("X-Any: 1\r\n", 60)
	c, err := receive(t, "HTTP/1.1 200 OK\r\n"+someFields+"\r\n")
	require.NoError(t, err, "large heads leave room for heads of some kilobytes")
	c.End()
	for _, c := range conns {
		require.NoError(t, c.Close())
	}
	require.Zero(t, heads.held)
	require.Zero(t, heads.large)
}

// A head must stay charged until its response is no longer used, also if the response has been received whole.
func TestHeadOfAWholeResponseIsCharged(t *testing.T) {
	earlier := heads
	heads = &headBudget{capacity: 1 << 30}
	defer func() { heads = earlier }()
	const fields = 500
	c, err := receive(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", fields)+"Content-Length: 0\r\n\r\n")
	require.NoError(t, err)
	require.Greater(t, heads.held, int64(fields*intake.FieldCost-freeHeadCost))
	c.Begin(http.MethodGet)
	require.Zero(t, heads.held)
}

// A head of short fields must be bounded by what it takes, not by its length.
func TestHeadOfShortFieldsIsBounded(t *testing.T) {
	earlier := heads
	heads = &headBudget{capacity: 1 << 30}
	defer func() { heads = earlier }()
	c, err := receive(t, "HTTP/1.1 200 OK\r\n"+strings.Repeat("a:\r\n", maxHeadCost/256+1))
	require.ErrorIs(t, err, ErrInvalid)
	require.NoError(t, c.Close())
}
