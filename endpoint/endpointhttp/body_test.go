package endpointhttp

import (
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// zeros is a reader without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// gate is a reader that tells when it is read, and ends when it is opened.
type gate struct{ reached, opened chan struct{} }

func (g gate) Read([]byte) (int, error) {
	g.reached <- struct{}{}
	<-g.opened
	return 0, io.EOF
}

// Bodies without end at many calls at once must not take more memory than the process has for all of them: some fail before they reach the
// bound of a single one, and usual ones still pass.
func TestBodiesShareABudget(t *testing.T) {
	const readers, size, mostAtOnce = 8, MaxBodyBytes/2 + 1, 2
	type result struct {
		body []byte
		err  error
	}
	end, results := gate{make(chan struct{}, readers), make(chan struct{})}, make(chan result, readers)
	for range readers {
		go func() {
			body, err := readBody(io.MultiReader(io.LimitReader(zeros{}, size), end))
			results <- result{body, err}
		}()
	}
	held := 0
	for range readers {
		select {
		case r := <-results:
			require.Equal(t, errShort, r.err)
		case <-end.reached:
			held++
		}
	}
	require.LessOrEqual(t, held, mostAtOnce)
	body, err := readBody(io.LimitReader(zeros{}, freeBodyBytes-1))
	require.NoError(t, err, "a usual body does not depend on others")
	require.Len(t, body, freeBodyBytes-1)
	close(end.opened)
	for range held {
		r := <-results
		require.NoError(t, r.err)
		require.Len(t, r.body, size)
	}
	for size, want := range map[int64]error{MaxBodyBytes: nil, MaxBodyBytes + 1: errTooLong, 1 << 40: errTooLong} {
		_, err := readBody(io.LimitReader(zeros{}, size))
		require.Equal(t, want, err, "%d bytes, with the whole budget", size)
	}
}
