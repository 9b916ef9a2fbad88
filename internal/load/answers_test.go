package load

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/http1/http1test"
)

// The load tool must not report an invalid answer as a success, nor read one without end.
func TestInvalidAnswersAreNoSuccess(t *testing.T) {
	send := func(url string) Result {
		arrival := &Arrival{Traffic: &Traffic{Kind: KindCall, Method: http.MethodPost}, Workspace: &Workspace{}}
		return NewClient([]string{url}, 1).Send(t.Context(), arrival, nil)
	}
	for name, response := range http1test.Invalid() {
		require.Equal(t, OutcomeNoAnswer, send(http1test.Server(t, response.Text("")).URL).Outcome, name)
	}
	require.Equal(t, OutcomeOK, send(http1test.Server(t, "HTTP/1.1 200 OK\r\n\r\ntext").URL).Outcome)
	require.Equal(t, OutcomeNoAnswer, send(http1test.Server(t, "HTTP/1.1 200 OK\r\n\r\n"+string(make([]byte, maxAnswerBytes+1))).URL).Outcome)
}
