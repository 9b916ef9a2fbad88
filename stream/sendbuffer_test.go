package stream

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/wire"
)

func noLoad() *wire.Load { return nil }

func tokenFrame(i int) *wire.Frame {
	return &wire.Frame{Payload: &wire.Frame_Token{Token: &wire.Token{Index: int64(i), Text: "x"}}}
}

// serve writes the stream of the buffer to a pipe and returns the pipe's reading end and the result of Serve.
func serve(ctx context.Context, b *SendBuffer, next uint64) (*io.PipeReader, <-chan error) {
	r, w := io.Pipe()
	result := make(chan error, 1)
	go func() { result <- b.Serve(ctx, NewWriter(w, nil), next, noLoad) }()
	return r, result
}

// Guards against frames that are lost, repeated or changed when a stream is resumed on a new connection, and against an
// old, silent connection that still serves the stream.
func TestResumeAfterSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		b := NewSendBuffer("r", "a")
		reader := NewReader("r", "a")
		first, firstResult := serve(ctx, b, 0)
		reader.Attach(first)
		require.NoError(t, b.Append(tokenFrame(0)))
		_, err := reader.Recv()
		require.NoError(t, err)
		require.NoError(t, b.Append(tokenFrame(1))) // stuck in the silent connection
		synctest.Wait()
		second, secondResult := serve(ctx, b, reader.NextSequence())
		reader.Attach(second)
		_ = first.CloseWithError(errors.New("reset")) // ends the writer of the old connection
		require.Error(t, <-firstResult)
		go func() {
			for i := 2; i < 5; i++ {
				_ = b.Append(tokenFrame(i))
			}
			_ = b.Finish(&wire.End{})
		}()
		for reader.NextSequence() < 5 {
			_, err = reader.Recv()
			require.NoError(t, err)
		}
		end, err := reader.Recv()
		require.NoError(t, err, "the count and the hash cover the whole stream")
		require.EqualValues(t, 5, end.GetEnd().GetFrames())
		require.NoError(t, <-secondResult)
		require.ErrorIs(t, b.Append(tokenFrame(5)), ErrClosed)
		require.ErrorIs(t, b.Serve(ctx, nil, 6, noLoad), ErrResumeBeyondEnd)
	})
}

// Guards against an idle stream without heartbeats, which the entry takes for broken, and against an attempt that counts
// as served although it has no connection.
func TestHeartbeatAndDetach(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		b := NewSendBuffer("r", "a")
		reader := NewReader("r", "a")
		conn, result := serve(ctx, b, 0)
		reader.Attach(conn)
		start := time.Now()
		for range 3 {
			frame, err := reader.Recv()
			require.NoError(t, err)
			require.NotNil(t, frame.GetHeartbeat())
		}
		require.Equal(t, 3*HeartbeatInterval, time.Since(start))
		require.Zero(t, b.DetachedFor())
		cancel()
		require.ErrorIs(t, <-result, context.Canceled)
		time.Sleep(time.Second)
		require.Equal(t, time.Second, b.DetachedFor())
	})
}
