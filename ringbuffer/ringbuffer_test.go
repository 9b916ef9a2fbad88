package ringbuffer_test

import (
	"context"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/ringbuffer"
)

// Guards against a queue that grows without bound, which would exhaust the memory under overload.
func TestPushFailsWhenFull(t *testing.T) {
	buffer := ringbuffer.New[int](2)
	require.NoError(t, buffer.Push(1))
	require.NoError(t, buffer.Push(2))
	require.ErrorIs(t, buffer.Push(3), ringbuffer.ErrFull)
	require.Equal(t, 2, buffer.Len())
}

// Guards against losing elements that were queued before the close.
func TestCloseDrainsBeforeItFails(t *testing.T) {
	buffer := ringbuffer.New[int](2)
	require.NoError(t, buffer.Push(7))
	buffer.Close()
	require.ErrorIs(t, buffer.Push(8), ringbuffer.ErrClosed)
	v, err := buffer.Pop(context.Background())
	require.NoError(t, err)
	require.Equal(t, 7, v)
	_, err = buffer.Pop(context.Background())
	require.ErrorIs(t, err, ringbuffer.ErrClosed)
}

// Guards against a waiting consumer that outlives its context.
func TestPopEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	_, err := ringbuffer.New[int](1).Pop(ctx)
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against lost wake-ups, which leave elements in the queue while consumers wait, and against consumers that do not
// notice the close.
func TestConcurrentConsumersReceiveEachElementOnce(t *testing.T) {
	const elements, consumers = 10_000, 4
	buffer := ringbuffer.New[int](elements)
	var mu sync.Mutex
	seen := make(map[int]int, elements)
	var wg sync.WaitGroup
	for range consumers {
		wg.Go(func() {
			for {
				v, err := buffer.Pop(context.Background())
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
		require.NoError(t, buffer.Push(i))
	}
	buffer.Close()
	wg.Wait()
	require.Len(t, seen, elements)
	for v, n := range seen {
		require.Equal(t, 1, n, v)
	}
}
