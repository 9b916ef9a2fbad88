package agent

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Guards against requests that wait in the queue of an evacuated endpoint and then run there, against running calls that are cut, and
// against an endpoint that gets nothing after the evacuation has ended. New attempts come from entries that are behind.
func TestEvacuatedAgentReturnsQueuedAttempts(t *testing.T) {
	evacuate := func(f *fixture, epoch int64, list string) {
		text := strings.Replace(configText("1", "finish", ""), "{recall", "{failure_domains: [a, b], evacuated: "+list+", recall", 1)
		f.peer.setSnapshot(newSnapshot(t, epoch, text))
	}
	inDomainB := func(o *Options) { o.Node.FailureDomain = "b" }
	runWithAgent(t, fleet.KindPlain, inDomainB, func(t *testing.T, f *fixture) {
		f.service.setResult(time.Second, nil)
		var attempts []*attempt
		for i := range maxConcurrentCalls + 2 {
			attempts = append(attempts, f.submit(t.Context(), callRequest(fmt.Sprint(i), "POST", "/orders", fmt.Sprint("k", i))))
		}
		time.Sleep(100 * time.Millisecond)
		evacuate(f, 2, "[a]")
		time.Sleep(100 * time.Millisecond)
		evacuate(f, 3, "[b]")
		time.Sleep(100 * time.Millisecond)
		for _, att := range attempts[maxConcurrentCalls:] {
			require.True(t, att.isDone(), "returned at once")
			requireFailure(t, att, errkind.NotReady, errkind.NotRun)
		}
		for _, att := range attempts[:maxConcurrentCalls] {
			require.NotNil(t, waitForLastFrame(att).GetEnd())
		}
		requireFailure(t, f.submit(t.Context(), callRequest("late", "GET", "/stock/1", "")), errkind.NotReady, errkind.NotRun)
		require.Equal(t, maxConcurrentCalls, f.service.callCount())
		evacuate(f, 4, "[]")
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), callRequest("after", "GET", "/stock/1", ""))).GetEnd())
	})
	runWithAgent(t, fleet.KindModel, inDomainB, func(t *testing.T, f *fixture) {
		reserve := func(name string) *wire.ReserveReply {
			reply, err := f.Reserve(t.Context(), &wire.ReserveRequest{Reservation: name, RequestId: "r", Workspace: "w", Tokens: 100,
				LeaseMs: 5000, Epoch: 1, Version: wire.EncodeVersion(v1)})
			require.NoError(t, err)
			return reply
		}
		require.True(t, reserve("before").GetGranted())
		evacuate(f, 2, "[b]")
		refusal := reserve("after").GetRefusal()
		require.Equal(t, string(errkind.NotReady), refusal.GetKind())
		prefill, err := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "before", RequestId: "r", Prompt: "x", DeadlineMs: 5000,
			Version: wire.EncodeVersion(v1)})
		require.NoError(t, err)
		require.NotNil(t, prefill.GetHandle(), "a prompt that holds memory here is left to finish: %v", prefill.GetFailure())
		_, err = f.Release(t.Context(), &wire.ReleaseRequest{Reservations: []string{"before"}})
		require.NoError(t, err)
	})
}
