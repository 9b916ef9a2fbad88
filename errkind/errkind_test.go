package errkind_test

import (
	"net/http"
	"testing"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/errkind"
)

// Guards against a kind without a rule, which would be answered as an internal error.
func TestEveryKindHasAnErrorStatusAndARunState(t *testing.T) {
	require.NotEmpty(t, errkind.Kinds())
	for _, kind := range errkind.Kinds() {
		rule := errkind.RuleOf(kind)
		require.GreaterOrEqual(t, rule.Status, http.StatusBadRequest, kind)
		require.Contains(t, []errkind.RunState{errkind.NotRun, errkind.Ran, errkind.RunUnknown}, rule.RunState, kind)
	}
}

// Guards against an unclassified error that tells the caller that nothing ran, or shows its cause.
func TestUnclassifiedErrorsHaveUnknownRunState(t *testing.T) {
	status, body := errkind.Response(errors.New("connection reset"))
	require.Equal(t, http.StatusInternalServerError, status)
	require.Equal(t, errkind.RunUnknown, body.Error.RunState)
	require.NotContains(t, body.Error.Message, "connection reset", "the response does not contain the cause")
	require.Equal(t, errkind.RuleOf(errkind.Internal), errkind.RuleOf("no_such_kind"))
}

// Guards against losing the kind and the run state of an error when another package wraps it.
func TestResponseFindsTheKindThroughWrapping(t *testing.T) {
	err := errors.Wrap(errkind.New(errkind.DeadlineExceeded, "too late").WithRunState(errkind.Ran), "dispatch")
	status, body := errkind.Response(err)
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Equal(t, errkind.Ran, body.Error.RunState)
	require.True(t, errkind.Is(err, errkind.DeadlineExceeded))
	require.False(t, errkind.Is(err, errkind.Internal))
}
