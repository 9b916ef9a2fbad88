package intake

import (
	"io"

	"github.com/pkg/errors"
)

// ErrTooLarge is returned by ReadAll for more bytes than the limit.
var ErrTooLarge = errors.New("more bytes than the limit")

// Sizes of the segments of a Buffer whose length is not known beforehand.
const (
	firstSegment = 4 << 10
	maxSegment   = 32 << 10
)

// Buffer holds bytes in segments, so that it never copies what it has when it grows. Its bytes are charged to an account.
type Buffer struct {
	segments [][]byte
	size     int64
	charged  int64
	account  *Account
}

// ReadAll reads to the end. expected is the number of bytes that will come, or -1; limit bounds it, 0: none. Each segment is charged before it
// is allocated. Whatever the error, nothing stays charged.
func ReadAll(r io.Reader, expected, limit int64, account *Account) (*Buffer, error) {
	if limit > 0 && expected > limit {
		return nil, ErrTooLarge
	}
	b := &Buffer{account: account}
	if err := b.readFrom(r, expected, limit); err != nil {
		b.Release()
		return nil, err
	}
	return b, nil
}

func (b *Buffer) readFrom(r io.Reader, expected, limit int64) error {
	next := int64(firstSegment)
	for {
		size := next
		if left := expected - b.size; expected >= 0 {
			size = min(max(left, 1), maxSegment) // one byte finds the end
		} else {
			next = min(next*2, maxSegment)
		}
		if limit > 0 {
			size = min(size, limit-b.size+1)
		}
		segment, end, err := b.readSegment(r, size)
		if len(segment) > 0 {
			b.segments = append(b.segments, segment)
			b.size += int64(len(segment))
		}
		switch {
		case err != nil:
			return err
		case limit > 0 && b.size > limit:
			return ErrTooLarge
		case end:
			return nil
		}
	}
}

// readSegment reads a segment and reports whether it is the last one.
func (b *Buffer) readSegment(r io.Reader, size int64) (segment []byte, end bool, err error) {
	if err = b.account.Charge(size); err != nil {
		return nil, false, err
	}
	b.charged += size
	segment = make([]byte, size)
	n := 0
	for n < len(segment) && err == nil {
		var read int
		read, err = r.Read(segment[n:])
		n += read
	}
	if err == io.EOF { // unlike io.ErrUnexpectedEOF, which tells that the bytes were cut off
		return segment[:n], true, nil
	}
	return segment[:n], false, err
}

// Len returns the number of bytes.
func (b *Buffer) Len() int64 {
	if b == nil {
		return 0
	}
	return b.size
}

// Segments returns the bytes. They must not be changed.
func (b *Buffer) Segments() [][]byte {
	if b == nil {
		return nil
	}
	return b.segments
}

// Drain passes the segments to write, one by one, and releases each after it has been written.
func (b *Buffer) Drain(write func([]byte) error) error {
	for i, segment := range b.segments {
		if err := write(segment); err != nil {
			return err
		}
		b.segments[i] = nil
		b.release(int64(cap(segment)))
	}
	return nil
}

// Release gives up the bytes.
func (b *Buffer) Release() {
	if b != nil {
		b.segments = nil
		b.release(b.charged)
	}
}

func (b *Buffer) release(n int64) {
	n = min(n, b.charged)
	b.charged -= n
	b.account.Release(n)
}
