package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// Guards against more calls to a service than the limit that it states in its answers allows, and against a limit that outlives the statement.
func TestServiceGetsNoMoreThanItsLimit(t *testing.T) {
	runWithAgent(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		call := func(id string) *attempt { return f.submit(t.Context(), callRequest(id, "GET", "/stock/1", "")) }
		setLimit := func(limit endpoint.Limit) {
			f.service.mu.Lock()
			defer f.service.mu.Unlock()
			f.service.limit = limit
		}
		const perSecond, seconds = 2.0, 4
		setLimit(endpoint.Limit{Stated: true, PerSecond: perSecond})
		refused := 0
		for i := range 10 * seconds {
			if end := waitForLastFrame(call(fmt.Sprint("limited-", i))); end.GetFailure() != nil {
				require.Equal(t, string(errkind.Overloaded), end.GetFailure().GetKind())
				require.Equal(t, string(errkind.NotRun), end.GetFailure().GetRun())
				refused++
			}
			time.Sleep(100 * time.Millisecond)
		}
		require.LessOrEqual(t, f.service.callCount(), int(1.5*perSecond*seconds)+5)
		require.GreaterOrEqual(t, f.service.callCount(), int(perSecond*seconds))
		require.Positive(t, refused)
		setLimit(endpoint.Limit{})
		for i := range 10 {
			require.NotNil(t, waitForLastFrame(call(fmt.Sprint("free-", i))).GetEnd())
		}
	})
}
