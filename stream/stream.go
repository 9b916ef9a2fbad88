// Package stream writes and checks the frames of an answer stream between an agent and an entry.
//
// Each frame carries request id, attempt id and sequence; the End frame carries the number of frames and a hash over
// their payloads. A Reader delivers only frames that belong to its attempt, in order and without gaps.
package stream

import (
	"bufio"
	"hash"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/wire"
)

// MaxFrameBytes bounds one frame; a larger one is refused by the Reader.
const MaxFrameBytes = 32 << 20

// Errors of a Reader.
var (
	// ErrWrongAttempt means that a frame of another request or attempt arrived on this stream.
	ErrWrongAttempt = errors.New("stream: frame of another attempt")
	// ErrGap means that a frame is missing or out of order.
	ErrGap = errors.New("stream: gap in the frame sequence")
	// ErrDigestMismatch means that the payloads differ from what the sender hashed, or the count differs.
	ErrDigestMismatch = errors.New("stream: hash or count mismatch")
	// ErrTruncated means that the stream ended before its last frame.
	ErrTruncated = errors.New("stream: truncated")
)

// Digest accumulates the count and the hash over a stream's payloads. The zero value is not usable; see NewDigest.
type Digest struct {
	frames uint64
	sum    hash.Hash64
}

// NewDigest returns an empty Digest.
func NewDigest() *Digest { return &Digest{sum: xxhash.New()} }

// Add accounts one frame's payload.
func (d *Digest) Add(f *wire.Frame) error {
	body, err := payload(f)
	if err != nil {
		return err
	}
	d.frames++
	_, _ = d.sum.Write(body) // a hash never fails to write
	return nil
}

// Frames returns the number of frames added.
func (d *Digest) Frames() uint64 { return d.frames }

// Sum returns the hash over the payloads added.
func (d *Digest) Sum() uint64 { return d.sum.Sum64() }

// payload returns the bytes that the hash covers: the frame without its addressing.
func payload(f *wire.Frame) ([]byte, error) {
	bare := &wire.Frame{Payload: f.GetPayload()}
	body, err := proto.MarshalOptions{Deterministic: true}.Marshal(bare)
	return body, errors.Wrap(err, "marshal payload")
}

// Writer writes frames to w. It is safe for concurrent use.
type Writer struct {
	mu    sync.Mutex
	w     io.Writer
	flush func()
}

// NewWriter returns a Writer; flush is called after each frame and may be nil.
func NewWriter(w io.Writer, flush func()) *Writer {
	if flush == nil {
		flush = func() {}
	}
	return &Writer{w: w, flush: flush}
}

// Send writes one frame.
func (w *Writer) Send(f *wire.Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if _, err := protodelim.MarshalTo(w.w, f); err != nil {
		return errors.Wrap(err, "write frame")
	}
	w.flush()
	return nil
}

// Reader reads and checks the frames of one attempt over one or more connections.
type Reader struct {
	SkipAttemptCheck bool // tests only: frames of other attempts are delivered

	request, attempt string
	next             uint64
	digest           *Digest
	src              *bufio.Reader
}

// NewReader returns a Reader for one attempt. Attach gives it a connection to read from.
func NewReader(request, attempt string) *Reader {
	return &Reader{request: request, attempt: attempt, digest: NewDigest()}
}

// Attach makes the Reader continue on another connection that starts at sequence Next.
func (r *Reader) Attach(src io.Reader) { r.src = bufio.NewReader(src) }

// NextSequence returns the sequence that the Reader expects next.
func (r *Reader) NextSequence() uint64 { return r.next }

// Recv returns the next checked frame. Duplicates are skipped; heartbeats and failures are returned as they come.
// Errors: ErrForeign, ErrGap, ErrHash, ErrTruncated.
func (r *Reader) Recv() (*wire.Frame, error) {
	for {
		f, err := r.read()
		if err != nil {
			return nil, err
		}
		duplicate, err := r.check(f)
		if err != nil {
			return nil, err
		}
		if !duplicate {
			return f, nil
		}
	}
}

func (r *Reader) read() (*wire.Frame, error) {
	f := new(wire.Frame)
	opts := protodelim.UnmarshalOptions{MaxSize: MaxFrameBytes}
	if err := opts.UnmarshalFrom(r.src, f); err != nil {
		return nil, errors.Wrap(ErrTruncated, err.Error())
	}
	return f, nil
}

func (r *Reader) check(f *wire.Frame) (duplicate bool, err error) {
	if !r.SkipAttemptCheck && (f.GetRequestId() != r.request || f.GetAttemptId() != r.attempt) {
		return false, ErrWrongAttempt
	}
	switch p := f.GetPayload().(type) {
	case *wire.Frame_Heartbeat, *wire.Frame_Failure:
		return false, nil
	case *wire.Frame_End:
		return false, r.checkEnd(f, p.End)
	}
	if f.GetSequence() < r.next {
		return true, nil
	}
	if f.GetSequence() > r.next {
		return false, ErrGap
	}
	r.next++
	return false, r.digest.Add(f)
}

func (r *Reader) checkEnd(f *wire.Frame, end *wire.End) error {
	if f.GetSequence() != r.next {
		return ErrGap
	}
	if end.GetFrames() != r.digest.Frames() || end.GetHash() != r.digest.Sum() {
		return ErrDigestMismatch
	}
	return nil
}
