package logsink

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// blockingWriter is a writer that blocks while its block mutex is locked.
type blockingWriter struct {
	block  sync.Mutex
	mu     sync.Mutex
	output bytes.Buffer
}

func (w *blockingWriter) Write(p []byte) (int, error) {
	w.block.Lock()
	defer w.block.Unlock()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.Write(p)
}

func (w *blockingWriter) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.output.String()
}

// A blocked log destination must not block the code that logs: lines are dropped, counted and reported.
func TestBlockedWriterDoesNotBlockLogging(t *testing.T) {
	w := new(blockingWriter)
	s := New(t.Context(), w)
	w.block.Lock()
	start := time.Now()
	const lines = 3 * maxBufferedLines
	for i := range lines {
		n, err := fmt.Fprintf(s, "line %d\n", i)
		require.NoError(t, err)
		require.Positive(t, n)
	}
	require.Less(t, time.Since(start), 2*time.Second)
	w.block.Unlock()
	var written, reported int
	require.Eventually(t, func() bool { // each line is written or reported as dropped
		written, reported = countLines(t, w.String())
		return written+reported+int(s.Dropped()) == lines
	}, 5*time.Second, time.Millisecond)
	require.Positive(t, reported)
	require.LessOrEqual(t, written, maxBufferedLines+1, "a line that is being written and a full buffer")
	require.True(t, strings.Contains(w.String(), "line 0\n"))
}

// countLines returns the number of lines in an output, and of those that it reports as dropped.
func countLines(t *testing.T, output string) (written, reported int) {
	for line := range strings.Lines(output) {
		if !strings.Contains(line, `"event":"log_dropped"`) {
			written++
			continue
		}
		var report struct{ Lines int }
		require.NoError(t, json.Unmarshal([]byte(line), &report))
		reported += report.Lines
	}
	return written, reported
}

func BenchmarkWrite(b *testing.B) {
	s := New(b.Context(), new(blockingWriter))
	line := []byte(strings.Repeat("x", 300) + "\n")
	for b.Loop() {
		_, _ = s.Write(line)
	}
}
