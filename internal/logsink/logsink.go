// Package logsink provides an asynchronous log writer that never blocks the goroutine that logs.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

// maxBufferedLines is the capacity of the buffer, about a megabyte of lines.
const maxBufferedLines = 4096

// Sink is an io.Writer for complete lines, which it buffers for the underlying writer. When the buffer is full, it drops
// lines and counts them.
type Sink struct {
	lines   *ringbuffer.Buffer[[]byte]
	dropped atomic.Int64
}

// New returns a Sink that writes to w until ctx ends.
func New(ctx context.Context, w io.Writer) *Sink {
	s := &Sink{lines: ringbuffer.New[[]byte](maxBufferedLines)}
	go s.writeLoop(ctx, w)
	return s
}

// Write implements io.Writer. It buffers a copy of p, or drops p if the buffer is full, and always reports success.
func (s *Sink) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	if err := s.lines.Push(line); err != nil {
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the last log_dropped line.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) writeLoop(ctx context.Context, w io.Writer) {
	for {
		line, err := s.lines.Pop(ctx)
		if err != nil {
			return
		}
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, `{"level":"warning","event":"log_dropped","lines":%d,"msg":"log lines dropped"}`+"\n", n)
		}
		_, _ = w.Write(line) // there is nowhere to report a failing log
	}
}
