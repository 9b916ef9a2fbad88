package stream

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/wire"
)

// HeartbeatInterval is the time without frames after which a heartbeat is sent. Entries resume a stream after 3 s of
// silence, so that two heartbeats may be lost or late.
const HeartbeatInterval = time.Second

// Errors of a Buffer.
var (
	// ErrClosedStream means that the stream has already ended.
	ErrClosedStream = errors.New("stream: closed")
	// ErrSuperseded means that a newer connection serves the stream.
	ErrSuperseded = errors.New("stream: another connection took over")
	// ErrBeyond means that a connection asked for frames beyond the newest one.
	ErrBeyond = errors.New("stream: resume beyond the end")
)

// Buffer is the sending side of the stream of one attempt. It outlives its connections and keeps all frames, so that the
// stream can be resumed on another connection. It is safe for concurrent use.
type Buffer struct {
	request, attempt string

	mu       sync.Mutex
	frames   []*wire.Frame
	digest   *Digest
	last     *wire.Frame   // End or Failure; nil while the stream is open
	changed  chan struct{} // closed and replaced at each change
	serving  uint64        // number of the newest connection, which serves the stream
	attached bool          // a connection serves the stream
	detached time.Time     // when the last connection ended
	complete bool          // the last frame was written to a connection
}

// NewBuffer returns an empty Buffer for an attempt.
func NewBuffer(request, attempt string) *Buffer {
	return &Buffer{request: request, attempt: attempt, digest: NewDigest(), changed: make(chan struct{}), detached: time.Now()}
}

// Append adds a frame to the stream and sets its IDs and sequence number. Errors: ErrClosedStream.
func (b *Buffer) Append(frame *wire.Frame) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.last != nil {
		return ErrClosedStream
	}
	b.address(frame)
	if err := b.digest.Add(frame); err != nil {
		return err
	}
	b.frames = append(b.frames, frame)
	b.wake()
	return nil
}

// Finish closes the stream of a complete answer. It sets the frame count and the hash of end. Errors: ErrClosedStream.
func (b *Buffer) Finish(end *wire.End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	end.Frames = b.digest.Frames()
	end.Hash = b.digest.Sum()
	return b.close(&wire.Frame{Payload: &wire.Frame_End{End: end}})
}

// Fail closes the stream of an attempt that did not complete. Errors: ErrClosedStream.
func (b *Buffer) Fail(failure *wire.Failure) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.close(&wire.Frame{Payload: &wire.Frame_Failure{Failure: failure}})
}

func (b *Buffer) close(frame *wire.Frame) error {
	if b.last != nil {
		return ErrClosedStream
	}
	b.address(frame)
	b.last = frame
	b.wake()
	return nil
}

// address sets the IDs and the sequence number of a frame.
func (b *Buffer) address(frame *wire.Frame) {
	frame.RequestId = b.request
	frame.AttemptId = b.attempt
	frame.Sequence = uint64(len(b.frames))
}

// wake notifies the connections of a change.
func (b *Buffer) wake() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// Request returns the ID of the request that the stream answers.
func (b *Buffer) Request() string { return b.request }

// Last returns the End or Failure frame, or nil while the stream is open.
func (b *Buffer) Last() *wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.last
}

// Frames returns the frames appended so far, which must not be changed.
func (b *Buffer) Frames() []*wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frames[:len(b.frames):len(b.frames)]
}

// Detached returns for how long no connection has served the stream, 0 while one does.
func (b *Buffer) Detached() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attached {
		return 0
	}
	return time.Since(b.detached)
}

// Serve writes the frames from sequence number next on to w until the stream ends. While there is no frame to send, it
// sends heartbeats with the result of load. A later call of Serve takes over the stream. Errors: ErrBeyond,
// ErrSuperseded, context errors, errors of w.
func (b *Buffer) Serve(ctx context.Context, w *Writer, next uint64, load func() *wire.Load) error {
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

func (b *Buffer) sendLast(w *Writer, last *wire.Frame) error {
	if err := w.Send(last); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.complete = true
	return nil
}

// Complete reports whether the last frame was written to a connection. The frame may still be lost on its way.
func (b *Buffer) Complete() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.complete
}

// attach registers a connection that takes over the stream, and returns its number.
func (b *Buffer) attach(next uint64) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if next > uint64(len(b.frames)) {
		return 0, ErrBeyond
	}
	b.serving++
	b.attached = true
	b.wake()
	return b.serving, nil
}

// detach ends a connection unless another one has taken over the stream.
func (b *Buffer) detach(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serving != id {
		return
	}
	b.attached = false
	b.detached = time.Now()
}

// pending returns the frames from sequence number next on, and a channel that is closed at the next change.
func (b *Buffer) pending(id, next uint64) (frames []*wire.Frame, last *wire.Frame, changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.serving != id {
		return nil, nil, nil, ErrSuperseded
	}
	return b.frames[next:], b.last, b.changed, nil
}

func (b *Buffer) heartbeat(next uint64, load *wire.Load) *wire.Frame {
	return &wire.Frame{RequestId: b.request, AttemptId: b.attempt, Sequence: next,
		Payload: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Load: load}}}
}
