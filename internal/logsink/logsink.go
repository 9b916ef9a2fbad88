// Package logsink writes log lines without ever blocking the goroutine that logs.
package logsink

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

// capacity bounds the lines that wait for a slow reader; about a megabyte.
const capacity = 4096

// Sink is an io.Writer for whole lines. When the reader is slower than the log, lines are dropped and counted.
type Sink struct {
	lines   *ringbuffer.Buffer[[]byte]
	dropped atomic.Int64
}

// New returns a Sink whose lines go to w until ctx ends.
func New(ctx context.Context, w io.Writer) *Sink {
	s := &Sink{lines: ringbuffer.New[[]byte](capacity)}
	go s.copy(ctx, w)
	return s
}

// Write implements io.Writer; it keeps a copy of p or drops it.
func (s *Sink) Write(p []byte) (int, error) {
	line := make([]byte, len(p))
	copy(line, p)
	if err := s.lines.Push(line); err != nil {
		s.dropped.Add(1)
	}
	return len(p), nil
}

// Dropped returns the number of lines dropped since the last line about it.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }

func (s *Sink) copy(ctx context.Context, w io.Writer) {
	for {
		line, err := s.lines.Pop(ctx)
		if err != nil {
			return
		}
		if n := s.dropped.Swap(0); n > 0 {
			_, _ = fmt.Fprintf(w, `{"level":"warning","event":"log_dropped","lines":%d,"msg":"log lines dropped"}`+"\n", n)
		}
		_, _ = w.Write(line) // a broken log has no place to be reported
	}
}
