// Package ringbuffer provides a bounded FIFO queue between goroutines, implemented as a ring buffer.
package ringbuffer

import (
	"context"
	"sync"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/internal/timing"
)

// Errors of a Buffer.
var (
	// ErrFull means that the queue is full.
	ErrFull = errors.New("ringbuffer: full")
	// ErrClosed means that the queue was closed. Pop returns it only when the queue is also empty.
	ErrClosed = errors.New("ringbuffer: closed")
)

// Buffer is a bounded FIFO queue. Push never blocks; Pop waits for an element. It is safe for concurrent use.
type Buffer[T any] struct {
	mu       sync.Mutex
	items    []T
	head     int // index of the oldest element
	length   int
	closed   bool
	nonEmpty chan struct{} // holds a token while the queue may be non-empty or closed
}

// New returns an empty queue for capacity elements, at least 1.
func New[T any](capacity int) *Buffer[T] {
	return &Buffer[T]{items: make([]T, max(capacity, 1)), nonEmpty: make(chan struct{}, 1)}
}

// Push appends an element. Errors: ErrFull, ErrClosed.
func (b *Buffer[T]) Push(element T) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return ErrClosed
	}
	if b.length == len(b.items) {
		return ErrFull
	}
	b.items[(b.head+b.length)%len(b.items)] = element
	b.length++
	b.signal()
	return nil
}

// Pop removes the oldest element; if there is none, it waits for one. Errors: ErrClosed, or the context's error.
func (b *Buffer[T]) Pop(ctx context.Context) (T, error) {
	for {
		element, ok, err := b.tryPop()
		if ok || err != nil {
			return element, err
		}
		select {
		case <-ctx.Done():
			return element, ctx.Err()
		case <-b.nonEmpty:
		}
	}
}

func (b *Buffer[T]) tryPop() (element T, ok bool, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.length == 0 {
		if b.closed {
			b.signal() // wakes the next waiting Pop
			return element, false, ErrClosed
		}
		return element, false, nil
	}
	var zero T
	element = b.items[b.head]
	b.items[b.head] = zero
	b.head = (b.head + 1) % len(b.items)
	b.length--
	if b.length > 0 {
		b.signal()
	}
	return element, true, nil
}

// Len returns the number of queued elements.
func (b *Buffer[T]) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.length
}

// Close makes Push fail. Pop still returns the remaining elements.
func (b *Buffer[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.signal()
}

// signal wakes one waiting Pop.
func (b *Buffer[T]) signal() {
	timing.Signal(b.nonEmpty)
}
