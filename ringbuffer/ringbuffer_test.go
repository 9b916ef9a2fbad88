package ringbuffer_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

// A ring that grew without bound would turn overload into memory exhaustion.
func TestPushFailsWhenFull(t *testing.T) {
	r := ringbuffer.New[int](2)
	require.NoError(t, r.Push(1))
	require.NoError(t, r.Push(2))
	require.ErrorIs(t, r.Push(3), ringbuffer.ErrFull)
	require.Equal(t, 2, r.Len())
}

// Elements queued before the close must still be handled.
func TestCloseDrainsBeforeItFails(t *testing.T) {
	r := ringbuffer.New[int](2)
	require.NoError(t, r.Push(7))
	r.Close()
	require.ErrorIs(t, r.Push(8), ringbuffer.ErrClosed)
	v, err := r.Pop(context.Background())
	require.NoError(t, err)
	require.Equal(t, 7, v)
	_, err = r.Pop(context.Background())
	require.ErrorIs(t, err, ringbuffer.ErrClosed)
}

// A waiting consumer must not outlive its context.
func TestPopEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := ringbuffer.New[int](1).Pop(ctx)
	require.ErrorIs(t, err, context.Canceled)
}

// Lost wake-ups would leave elements in the ring while consumers wait; every consumer must also see the close.
func TestConcurrentConsumersReceiveEachElementOnce(t *testing.T) {
	const elements, consumers = 10_000, 4
	r := ringbuffer.New[int](elements)
	var mu sync.Mutex
	seen := make(map[int]int, elements)
	var wg sync.WaitGroup
	for range consumers {
		wg.Go(func() {
			for {
				v, err := r.Pop(context.Background())
				if err != nil {
					return
				}
				mu.Lock()
				seen[v]++
				mu.Unlock()
			}
		})
	}
	for i := range elements {
		require.NoError(t, r.Push(i))
	}
	r.Close()
	wg.Wait()
	require.Len(t, seen, elements)
	for v, n := range seen {
		require.Equal(t, 1, n, v)
	}
}
