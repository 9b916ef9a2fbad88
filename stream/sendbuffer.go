package stream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/wire"
)

// HeartbeatInterval is the time after which an idle stream carries a heartbeat. Entries resume after 3 s of silence,
// which leaves room for two lost or late heartbeats.
const HeartbeatInterval = time.Second

// Errors of a Buffer.
var (
	// ErrClosed means that the stream already has its last frame.
	ErrClosed = errors.New("stream: closed")
	// ErrSuperseded means that a newer connection serves the stream.
	ErrSuperseded = errors.New("stream: another connection took over")
	// ErrResumeBeyondEnd means that a resume asked for a sequence that was never sent.
	ErrResumeBeyondEnd = errors.New("stream: resume beyond the end")
)

// SendBuffer is the sending side of one attempt. It keeps all frames, so that a lost connection can be resumed, and outlives
// its connections. It is safe for concurrent use.
type SendBuffer struct {
	request, attempt string

	mu       sync.Mutex
	frames   []*wire.Frame
	digest   *Digest
	last     *wire.Frame   // End or Failure
	changed  chan struct{} // closed and replaced at each change
	serving  uint64        // number of the connection that serves the stream
	attached bool
	detached time.Time // when the last connection went away
	complete bool      // the last frame was written to a connection
}

// NewSendBuffer returns the empty stream of an attempt.
func NewSendBuffer(request, attempt string) *SendBuffer {
	return &SendBuffer{request: request, attempt: attempt, digest: NewDigest(), changed: make(chan struct{}), detached: time.Now()}
}

// Append adds a frame with payload to the stream; frame's addressing is set here. Errors: ErrClosedStream.
func (b *SendBuffer) Append(frame *wire.Frame) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		return ErrClosed
	}
	b.address(frame)
	if err := b.digest.Add(frame); err != nil {
		return err
	}
	b.frames = append(b.frames, frame)
	b.wake()
	return nil
}

// Finish closes a complete answer; the count and hash of end are set here. Errors: ErrClosedStream.
func (b *SendBuffer) Finish(end *wire.End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	end.Frames = b.digest.Frames()
	end.Hash = b.digest.Sum()
	return b.close(&wire.Frame{Payload: &wire.Frame_End{End: end}})
}

// Fail closes an attempt that did not complete. Errors: ErrClosedStream.
func (b *SendBuffer) Fail(failure *wire.Failure) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.close(&wire.Frame{Payload: &wire.Frame_Failure{Failure: failure}})
}

func (b *SendBuffer) close(frame *wire.Frame) error {
	if b.last != nil {
		return ErrClosed
	}
	b.address(frame)
	b.last = frame
	b.wake()
	return nil
}

func (b *SendBuffer) address(frame *wire.Frame) {
	frame.RequestId = b.request
	frame.AttemptId = b.attempt
	frame.Sequence = uint64(len(b.frames))
}

func (b *SendBuffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// RequestID returns the request that the stream answers.
func (b *SendBuffer) RequestID() string { return b.request }

// LastFrame returns the End or Failure frame, or nil while the stream is open.
func (b *SendBuffer) LastFrame() *wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Frames returns the frames appended so far. They must not be changed.
func (b *SendBuffer) Frames() []*wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frames[:len(b.frames):len(b.frames)]
}

// DetachedFor returns for how long no connection has served the stream; 0 while one does.
func (b *SendBuffer) DetachedFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attached {
		return 0
	}
	return time.Since(b.detached)
}

// Serve writes the frames from sequence next on to w until the stream ends, and a heartbeat with load when idle. A
// later Serve takes the stream over. Errors: ErrBeyond, ErrSuperseded, context errors, errors of w.
func (b *SendBuffer) Serve(ctx context.Context, w *Writer, next uint64, load func() *wire.Load) error {
	id, err := b.attach(next)
	if err != nil {
		return err
	}
	defer b.detach(id)
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	for {
		frames, last, changed, err := b.pending(id, next)
		if err != nil {
			return err
		}
		for _, f := range frames {
			if err := w.Send(f); err != nil {
				return err
			}
			next++
		}
		if last != nil {
			return b.sendLast(w, last)
		}
		timer.Reset(HeartbeatInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
			if err := w.Send(b.heartbeat(next, load())); err != nil {
				return err
			}
		}
	}
}

func (b *SendBuffer) sendLast(w *Writer, last *wire.Frame) error {
	if err := w.Send(last); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete = true
	return nil
}

// LastFrameWritten reports whether the last frame was written to a connection. The connection may still lose it.
func (b *SendBuffer) LastFrameWritten() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

func (b *SendBuffer) attach(next uint64) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if next > uint64(len(b.frames)) {
		return 0, ErrResumeBeyondEnd
	}
	b.serving++
	b.attached = true
	b.wake()
	return b.serving, nil
}

func (b *SendBuffer) detach(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serving != id {
		return
	}
	b.attached = false
	b.detached = time.Now()
}

func (b *SendBuffer) pending(id, next uint64) (frames []*wire.Frame, last *wire.Frame, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serving != id {
		return nil, nil, nil, ErrSuperseded
	}
	return b.frames[next:], b.last, b.changed, nil
}

func (b *SendBuffer) heartbeat(next uint64, load *wire.Load) *wire.Frame {
	return &wire.Frame{RequestId: b.request, AttemptId: b.attempt, Sequence: next,
		Payload: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Load: load}}}
}
