package endpointhttp_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/endpoint/endpointhttp"
	"github.com/bilberrylink/bilberrylink/internal/http1/http1test"
)

// requireNoAnswer fails the test if a call, a stream, an order, a health check or a report gets an answer of an endpoint that writes a text, with
// and without a valid response behind it.
func requireNoAnswer(t *testing.T, response http1test.Response) {
	valid := http1test.Valid()["length"]
	for _, behind := range []string{"", valid.Text("")} {
		url := http1test.Server(t, response.Text("")+behind).URL
		service, engine := endpointhttp.NewService(url, nil), endpointhttp.NewEngine(url, nil)
		answer, err := service.Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders", Body: []byte("data")})
		require.ErrorIs(t, err, endpoint.ErrDown, "call: %+v", answer)
		require.ErrorIs(t, service.CheckHealth(t.Context()), endpoint.ErrDown, "health check")
		stream, err := engine.Generate(t.Context(), endpoint.GenerateRequest{})
		if err == nil {
			_, err = stream.Recv()
		}
		require.ErrorIs(t, err, endpoint.ErrDown, "stream")
		require.ErrorIs(t, engine.ApplyOrder(t.Context(), endpoint.Order{}), endpoint.ErrDown, "order")
		_, err = engine.Report(t.Context())
		require.ErrorIs(t, err, endpoint.ErrDown, "report")
	}
}

// A response whose status line is not one must not be taken for an answer, nor what follows its head.
func TestInvalidStatusLinesAreNoAnswers(t *testing.T) {
	for name, response := range http1test.InvalidStatusLines() {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, response) })
	}
}

// A response with a field that is not one must not be taken for an answer.
func TestInvalidFieldsAreNoAnswers(t *testing.T) {
	for name, response := range http1test.InvalidFields() {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, response) })
	}
}

// An interim response that is not one, or content whose end is not told or told twice, must not be taken for an answer.
func TestInvalidFramingIsNoAnswer(t *testing.T) {
	for name, response := range http1test.InvalidFraming() {
		t.Run(name, func(t *testing.T) { requireNoAnswer(t, response) })
	}
}

// An endpoint may answer a call whose content is still being sent. Content without a length that was cut off by a reset must not be taken for a
// complete answer, whichever of the writer and the reader the system tells of it, and content that ended before is one.
func TestAnswerThatIsResetDuringAnUpload(t *testing.T) {
	for name, end := range http1test.EarlyEnds() {
		t.Run(name, func(t *testing.T) {
			server := http1test.EarlyServer(t, "HTTP/1.1 200 OK\r\n\r\n"+http1test.Body, end)
			for range 20 {
				answer, err := endpointhttp.NewService(server.URL, nil).Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders",
					Body: make([]byte, http1test.LongContent)})
				if end.Complete {
					require.NoError(t, err)
					require.Equal(t, http1test.Body, string(answer.Body))
					continue
				}
				require.ErrorIs(t, err, endpoint.ErrDown, "%+v", answer)
			}
		})
	}
}

// Guards against refusing responses that RFC 9112 allows, and against changing them.
func TestValidResponsesAreAnswers(t *testing.T) {
	for name, response := range http1test.Valid() {
		t.Run(name, func(t *testing.T) {
			server := http1test.Server(t, response.Text(""))
			answer, err := endpointhttp.NewService(server.URL, nil).Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders"})
			require.NoError(t, err)
			require.Equal(t, response.Status, answer.Status)
			require.Equal(t, http1test.Body, string(answer.Body))
		})
	}
}

// A response to HEAD has no content, whatever length it states.
func TestResponsesWithoutContent(t *testing.T) {
	for _, test := range []struct{ method, text string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\n\r\n"},
		{http.MethodGet, "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n"},
	} {
		server := http1test.Server(t, test.text)
		answer, err := endpointhttp.NewService(server.URL, nil).Do(t.Context(), endpoint.Call{Method: test.method, Path: "/orders"})
		require.NoError(t, err, test.text)
		require.Empty(t, answer.Body, test.text)
	}
}
