// Package stream transfers the frames of an answer from an agent to an entry over connections that may break.
//
// Each frame carries the IDs of the request and the attempt and a sequence number. The End frame carries the number of
// frames and a hash over their payloads. A Reader delivers only frames of its attempt, in order and without gaps.
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

// MaxFrameBytes is the largest size of a frame that a Reader accepts.
const MaxFrameBytes = 32 << 20

// Errors of a Reader.
var (
	// ErrWrongAttempt means that a frame of another request or attempt arrived on this stream.
	ErrWrongAttempt = errors.New("stream: frame of another attempt")
	// ErrGap means that a frame is missing or out of order.
	ErrGap = errors.New("stream: gap in the frame sequence")
	// ErrDigestMismatch means that the number of frames or the hash over their payloads differs from the sender's.
	ErrDigestMismatch = errors.New("stream: hash or count mismatch")
	// ErrTruncated means that the connection ended before the last frame, or that a frame cannot be decoded.
	ErrTruncated = errors.New("stream: truncated")
)

// Digest accumulates the number of frames of a stream and the hash over their payloads. Use NewDigest; the zero value is
// not usable.
type Digest struct {
	frames uint64
	sum    hash.Hash64
}

// NewDigest returns an empty Digest.
func NewDigest() *Digest { return &Digest{sum: xxhash.New()} }

// Add adds the payload of a frame.
func (d *Digest) Add(f *wire.Frame) error {
	data, err := payload(f)
	if err != nil {
		return err
	}
	d.frames++
	_, _ = d.sum.Write(data) // Write of a hash never returns an error
	return nil
}

// Frames returns the number of frames added.
func (d *Digest) Frames() uint64 { return d.frames }

// Sum returns the hash over the payloads added.
func (d *Digest) Sum() uint64 { return d.sum.Sum64() }

// payload returns the bytes that the hash covers: the frame without its IDs and sequence number.
func payload(f *wire.Frame) ([]byte, error) {
	payloadOnly := &wire.Frame{Payload: f.GetPayload()}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(payloadOnly)
	return data, errors.Wrap(err, "marshal payload")
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
	SkipAttemptCheck bool // tests only: frames of other attempts are accepted

	requestID, attemptID string
	nextSequence         uint64 // sequence number of the next frame
	digest               *Digest
	src                  *bufio.Reader
}

// NewReader returns a Reader for one attempt. Attach must be called before Recv.
func NewReader(requestID, attemptID string) *Reader {
	return &Reader{requestID: requestID, attemptID: attemptID, digest: NewDigest()}
}

// Attach makes the Reader continue on another connection, whose frames start at or before sequence number NextSequence.
func (r *Reader) Attach(src io.Reader) { r.src = bufio.NewReader(src) }

// NextSequence returns the sequence number that the Reader expects next.
func (r *Reader) NextSequence() uint64 { return r.nextSequence }

// Recv returns the next frame after checking it. Duplicates are skipped. Heartbeats and failures have no place in the
// sequence and are always returned. Errors: ErrWrongAttempt, ErrGap, ErrDigestMismatch, ErrTruncated.
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

// check returns an error if a frame does not fit into the stream, and adds the next frame of the sequence to the digest.
func (r *Reader) check(f *wire.Frame) (duplicate bool, err error) {
	if !r.SkipAttemptCheck && (f.GetRequestId() != r.requestID || f.GetAttemptId() != r.attemptID) {
		return false, ErrWrongAttempt
	}
	switch p := f.GetPayload().(type) {
	case *wire.Frame_Heartbeat, *wire.Frame_Failure:
		return false, nil
	case *wire.Frame_End:
		return false, r.checkEnd(f, p.End)
	}
	if f.GetSequence() < r.nextSequence {
		return true, nil
	}
	if f.GetSequence() > r.nextSequence {
		return false, ErrGap
	}
	r.nextSequence++
	return false, r.digest.Add(f)
}

func (r *Reader) checkEnd(f *wire.Frame, end *wire.End) error {
	if f.GetSequence() != r.nextSequence {
		return ErrGap
	}
	if end.GetFrames() != r.digest.Frames() || end.GetHash() != r.digest.Sum() {
		return ErrDigestMismatch
	}
	return nil
}
