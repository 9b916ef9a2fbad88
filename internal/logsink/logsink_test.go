package logsink

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// reader is a writer that blocks while hold is locked.
type reader struct {
	hold sync.Mutex
	mu   sync.Mutex
	text bytes.Buffer
}

func (r *reader) Write(p []byte) (int, error) {
	r.hold.Lock()
	defer r.hold.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.Write(p)
}

func (r *reader) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.text.String()
}

// A blocked log destination must not block the code that logs: lines are dropped, counted and reported.
func TestStoppedReaderBlocksNobody(t *testing.T) {
	r := new(reader)
	s := New(t.Context(), r)
	r.hold.Lock()
	began := time.Now()
	const lines = 3 * capacity
	for i := range lines {
		n, err := fmt.Fprintf(s, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.Less(t, time.Since(began), 2*time.Second)
	require.GreaterOrEqual(t, s.Dropped(), int64(lines-capacity-1))
	r.hold.Unlock()
	require.Eventually(t, func() bool { return strings.Contains(r.String(), `"event":"log_dropped"`) }, 5*time.Second, time.Millisecond)
	require.True(t, strings.Contains(r.String(), "line 0\n"))
}

func BenchmarkWrite(b *testing.B) {
	s := New(b.Context(), new(reader))
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
