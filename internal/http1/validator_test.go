package http1

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/http1/http1test"
)

// feed passes a text to a validator in pieces and returns the number of valid bytes.
func feed(v *validator, text string, piece int) (valid int, err error) {
	for rest := []byte(text); len(rest) > 0; {
		next := rest[:min(piece, len(rest))]
		rest = rest[len(next):]
		n, err := v.consume(next)
		if valid += n; err != nil {
			return valid, err
		}
	}
	return valid, nil
}

// A response must be judged alike however the network cuts it into pieces.
func TestResponsesInPieces(t *testing.T) {
	invalid := http1test.Invalid()
	for _, piece := range []int{1, 2, 3, 7, 1 << 20} {
		for name, response := range http1test.Valid() {
			v := &validator{method: http.MethodGet}
			text := response.Text("")
			for range 2 {
				valid, err := feed(v, text, piece)
				require.NoError(t, err, name)
				require.Equal(t, len(text), valid, name)
			}
			require.Contains(t, []state{statusLine, untilClose}, v.state, name)
		}
		for name, response := range invalid {
			v := new(validator)
			if _, err := feed(v, response.Text(""), piece); err != nil {
				require.ErrorIs(t, err, ErrInvalid, name)
			} else {
				require.NotContains(t, []state{statusLine, untilClose}, v.state, "%q is neither invalid nor incomplete", name)
			}
		}
	}
}

// Bytes behind a valid response must not make it invalid.
func TestBytesBehindAResponse(t *testing.T) {
	const response, behind = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext", "nonsense\r\n\r\n"
	valid, err := new(validator).consume([]byte(response + behind))
	require.ErrorIs(t, err, ErrInvalid)
	require.Equal(t, len(response), valid)
}

// Bytes that come behind a response, before the next request is sent, must not become the beginning of the next response.
func TestBytesBehindAResponseEndTheConnection(t *testing.T) {
	for _, behind := range []string{"H", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"} {
		c, err := receive(t, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext"+behind)
		require.NoError(t, err)
		c.Begin(http.MethodGet)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, ErrInvalid, behind)
	}
}

// A head without end must not be received without end.
func TestEndlessHeadIsInvalid(t *testing.T) {
	for _, block := range []string{"x", "HTTP/1.1 200 OK\r\nx: ", "a:\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"} {
		v := new(validator)
		_, err := v.consume([]byte(block))
		for i := 0; err == nil && i < maxHeadBytes; i++ {
			_, err = v.consume([]byte("x"))
		}
		require.ErrorIs(t, err, ErrInvalid, block)
	}
}

// The validator and net/http must agree on where a valid response ends: otherwise one would judge bytes that the other takes for something else.
func FuzzFraming(f *testing.F) {
	for _, response := range http1test.Valid() {
		f.Add([]byte(response.Text("")), false)
	}
	f.Add([]byte("HTTP/1.1 204 x\r\nContent-Length: 0\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 304 x\r\nTransfer-Encoding: chunked\r\n\r\n"), false)
	f.Add([]byte("HTTP/1.1 200 x\r\nContent-Length: 4\r\n\r\n"), true)
	f.Fuzz(func(t *testing.T, text []byte, head bool) {
		method := http.MethodGet
		if head {
			method = http.MethodHead
		}
		v := &validator{method: method}
		if _, err := v.consume(text); err != nil {
			return
		}
		rest := bytes.NewReader(text)
		reader := bufio.NewReaderSize(rest, 1<<16)
		for reader.Buffered()+rest.Len() > 0 {
			resp, err := http.ReadResponse(reader, &http.Request{Method: method})
			if err != nil {
				require.Error(t, err) // net/http is stricter, or the response is incomplete
				return
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				return
			}
		}
		require.Contains(t, []state{statusLine, untilClose}, v.state, "net/http has read whole responses")
	})
}
