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

// Errors of a SendBuffer.
var (
	// ErrClosed means that the stream has already ended.
	ErrClosed = errors.New("stream: closed")
	// ErrSuperseded means that a newer connection serves the stream.
	ErrSuperseded = errors.New("stream: another connection took over")
	// ErrResumeBeyondEnd means that a connection asked for frames beyond the newest one.
	ErrResumeBeyondEnd = errors.New("stream: resume beyond the end")
)

// SendBuffer is the sending side of the stream of one attempt. It outlives its connections and keeps all frames, so that
// the stream can be resumed on another connection. It is safe for concurrent use.
type SendBuffer struct {
	requestID, attemptID string

	mu               sync.Mutex
	frames           []*wire.Frame
	digest           *Digest
	lastFrame        *wire.Frame   // End or Failure; nil while the stream is open
	changed          chan struct{} // closed and replaced at each change
	connection       uint64        // number of the newest connection, which serves the stream
	attached         bool          // a connection serves the stream
	detachedAt       time.Time     // when the last connection ended
	lastFrameWritten bool          // the last frame was written to a connection
}

// NewSendBuffer returns an empty SendBuffer for an attempt.
func NewSendBuffer(requestID, attemptID string) *SendBuffer {
	return &SendBuffer{requestID: requestID, attemptID: attemptID, digest: NewDigest(), changed: make(chan struct{}),
		detachedAt: time.Now()}
}

// Append adds a frame to the stream and sets its IDs and sequence number. Errors: ErrClosed.
func (b *SendBuffer) Append(frame *wire.Frame) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.lastFrame != nil {
		return ErrClosed
	}
	b.setIDs(frame)
	if err := b.digest.Add(frame); err != nil {
		return err
	}
	b.frames = append(b.frames, frame)
	b.notify()
	return nil
}

// Finish closes the stream of a complete answer. It sets the frame count and the hash of end. Errors: ErrClosed.
func (b *SendBuffer) Finish(end *wire.End) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	end.Frames = b.digest.Frames()
	end.Hash = b.digest.Sum()
	return b.close(&wire.Frame{Payload: &wire.Frame_End{End: end}})
}

// Fail closes the stream of an attempt that did not complete. Errors: ErrClosed.
func (b *SendBuffer) Fail(failure *wire.Failure) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.close(&wire.Frame{Payload: &wire.Frame_Failure{Failure: failure}})
}

func (b *SendBuffer) close(frame *wire.Frame) error {
	if b.lastFrame != nil {
		return ErrClosed
	}
	b.setIDs(frame)
	b.lastFrame = frame
	b.notify()
	return nil
}

// setIDs sets the IDs and the sequence number of a frame.
func (b *SendBuffer) setIDs(frame *wire.Frame) {
	frame.RequestId = b.requestID
	frame.AttemptId = b.attemptID
	frame.Sequence = uint64(len(b.frames))
}

// notify notifies the connections of a change.
func (b *SendBuffer) notify() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// RequestID returns the ID of the request that the stream answers.
func (b *SendBuffer) RequestID() string { return b.requestID }

// LastFrame returns the End or Failure frame, or nil while the stream is open.
func (b *SendBuffer) LastFrame() *wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastFrame
}

// Frames returns the frames appended so far, which must not be changed.
func (b *SendBuffer) Frames() []*wire.Frame {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.frames[:len(b.frames):len(b.frames)]
}

// DetachedFor returns for how long no connection has served the stream, 0 while one does.
func (b *SendBuffer) DetachedFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.attached {
		return 0
	}
	return time.Since(b.detachedAt)
}

// Serve writes the frames from the given sequence number on to w until the stream ends. While there is no frame to send,
// it sends heartbeats with the result of load. A later call of Serve takes over the stream. Errors: ErrResumeBeyondEnd,
// ErrSuperseded, context errors, errors of w.
func (b *SendBuffer) Serve(ctx context.Context, w *Writer, sequence uint64, load func() *wire.Load) error {
	connection, err := b.attach(sequence)
	if err != nil {
		return err
	}
	defer b.detach(connection)
	timer := time.NewTimer(HeartbeatInterval)
	defer timer.Stop()
	for {
		frames, lastFrame, changed, err := b.framesFrom(connection, sequence)
		if err != nil {
			return err
		}
		for _, f := range frames {
			if err := w.Send(f); err != nil {
				return err
			}
			sequence++
		}
		if lastFrame != nil {
			return b.sendLastFrame(w, lastFrame)
		}
		timer.Reset(HeartbeatInterval)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-timer.C:
			if err := w.Send(b.heartbeat(sequence, load())); err != nil {
				return err
			}
		}
	}
}

func (b *SendBuffer) sendLastFrame(w *Writer, lastFrame *wire.Frame) error {
	if err := w.Send(lastFrame); err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastFrameWritten = true
	return nil
}

// LastFrameWritten reports whether the last frame was written to a connection. The frame may still be lost on its way.
func (b *SendBuffer) LastFrameWritten() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lastFrameWritten
}

// attach registers a connection that takes over the stream, and returns its number.
func (b *SendBuffer) attach(sequence uint64) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if sequence > uint64(len(b.frames)) {
		return 0, ErrResumeBeyondEnd
	}
	b.connection++
	b.attached = true
	b.notify()
	return b.connection, nil
}

// detach ends a connection unless another one has taken over the stream.
func (b *SendBuffer) detach(connection uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.connection != connection {
		return
	}
	b.attached = false
	b.detachedAt = time.Now()
}

// framesFrom returns the frames from a sequence number on, and a channel that is closed at the next change.
func (b *SendBuffer) framesFrom(connection, sequence uint64) (frames []*wire.Frame, lastFrame *wire.Frame,
	changed <-chan struct{}, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.connection != connection {
		return nil, nil, nil, ErrSuperseded
	}
	return b.frames[sequence:], b.lastFrame, b.changed, nil
}

func (b *SendBuffer) heartbeat(sequence uint64, load *wire.Load) *wire.Frame {
	return &wire.Frame{RequestId: b.requestID, AttemptId: b.attemptID, Sequence: sequence,
		Payload: &wire.Frame_Heartbeat{Heartbeat: &wire.Heartbeat{Load: load}}}
}
