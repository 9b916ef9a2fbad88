package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
)

// Guards against further calls to a service that has refused one with a time to return.
func TestServiceThatWantsNoCallsGetsNone(t *testing.T) {
	runWithAgent(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.service.mu.Lock()
		f.service.pause = "3"
		f.service.mu.Unlock()
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), callRequest("a", "GET", "/stock/1", ""))).GetEnd())
		requireFailure(t, f.submit(t.Context(), callRequest("b", "GET", "/stock/1", "")), errkind.Overloaded, errkind.NotRun)
		requireFailure(t, f.submit(t.Context(), callRequest("c", "POST", "/orders", "k")), errkind.Overloaded, errkind.NotRun)
		require.Equal(t, 1, f.service.callCount())
		time.Sleep(3 * time.Second)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), callRequest("d", "POST", "/orders", "k"))).GetEnd())
		require.Equal(t, 2, f.service.callCount())
	})
}

// Guards against further streams on an engine that has refused one with a time to return.
func TestEngineThatWantsNoStreamsGetsNone(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) {
			e.generateError = &endpoint.RefusedError{Err: endpoint.ErrNoMemory, After: 3 * time.Second}
		})
		requireFailure(t, f.submit(t.Context(), modelRequest("a")), errkind.Overloaded, errkind.NotRun)
		requireFailure(t, f.submit(t.Context(), modelRequest("b")), errkind.Overloaded, errkind.NotRun)
		require.Empty(t, f.engine.recorded().generated)
		time.Sleep(3 * time.Second)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), modelRequest("c"))).GetEnd())
	})
}
