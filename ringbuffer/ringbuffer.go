// Package ring provides a bounded FIFO queue between goroutines, implemented as a ring buffer.
package ringbuffer

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Errors of a Ring.
var (
	// ErrFull means that the queue is full.
	ErrFull = errors.New("ring: full")
	// ErrClosed means that the queue was closed. Pop returns it only when the queue is also empty.
	ErrClosed = errors.New("ring: closed")
)

// Buffer is a bounded FIFO queue. Push never blocks; Pop waits for an element. It is safe for concurrent use.
type Buffer[T any] struct {
	mu       sync.Mutex
	items    []T
	head     int
	length   int
	closed   bool
	nonEmpty chan struct{} // holds a token while the queue may be non-empty or closed
}

// New returns an empty queue for capacity elements, at least 1.
func New[T any](capacity int) *Buffer[T] {
	return &Buffer[T]{items: make([]T, max(capacity, 1)), nonEmpty: make(chan struct{}, 1)}
}

// Push appends v. Errors: ErrFull, ErrClosed.
func (r *Buffer[T]) Push(v T) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		return ErrClosed
	}
	if r.length == len(r.items) {
		return ErrFull
	}
	r.items[(r.head+r.length)%len(r.items)] = v
	r.length++
	r.signal()
	return nil
}

// Pop removes the oldest element; if there is none, it waits for one. Errors: ErrClosed, or the context's error.
func (r *Buffer[T]) Pop(ctx context.Context) (T, error) {
	for {
		v, ok, err := r.tryPop()
		if ok || err != nil {
			return v, err
		}
		select {
		case <-ctx.Done():
			return v, ctx.Err()
		case <-r.nonEmpty:
		}
	}
}

func (r *Buffer[T]) tryPop() (v T, ok bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.length == 0 {
		if r.closed {
			r.signal() // wakes the next waiting Pop
			return v, false, ErrClosed
		}
		return v, false, nil
	}
	var zero T
	v = r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.length--
	if r.length > 0 {
		r.signal()
	}
	return v, true, nil
}

// Len returns the number of queued elements.
func (r *Buffer[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.length
}

// Close makes Push fail. Pop still returns the remaining elements.
func (r *Buffer[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	r.signal()
}

// signal wakes one waiting Pop.
func (r *Buffer[T]) signal() {
	select {
	case r.nonEmpty <- struct{}{}:
	default:
	}
}
