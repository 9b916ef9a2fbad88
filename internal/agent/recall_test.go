package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

// adapterText is baseText with adapter a of batch b2.
func adapterText(adapterVersion, recalled string) string {
	return strings.Replace(textOf("1", "finish", recalled), "batches: {", "batches: {b7: {supplier: s}, b8: {supplier: s}, ", 1) +
		"adapters:\n  a: {model: m, version: \"" + adapterVersion + "\", batch: b" + adapterVersion + "}\n"
}

func adapterVersion(version string) endpoint.Version {
	v := v1
	v.Adapter, v.AdapterVersion, v.AdapterBatch = "a", version, "b"+version
	return v
}

func requestOf(id string, v endpoint.Version) *wire.RunRequest {
	r := modelRequest(id)
	r.GetModel().Version = wire.EncodeVersion(v)
	return r
}

// Guards against a kind of recalled name that the agent does not match, and against a recall that stops more than it
// names. An attempt that computes its first token across the recall must not answer either.
func TestRecallStopsExactlyWhatItNames(t *testing.T) {
	for name, stops := range map[string]struct{ base, adapter bool }{
		"m": {true, true}, "m@1": {true, true}, "b1": {true, true},
		"a": {false, true}, "a@7": {false, true}, "b7": {false, true},
		"m@2": {}, "a@8": {}, "b8": {},
	} {
		bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
			f.peer.set(snapshot(t, 2, adapterText("7", "")))
			time.Sleep(2 * time.Second)
			f.engine.set(func(e *fakeEngine) { e.pace, e.ignoreOrder = 300*time.Millisecond, true })
			base, adapter := f.submit(t.Context(), requestOf("base", v1)), f.submit(t.Context(), requestOf("adapter", adapterVersion("7")))
			time.Sleep(100 * time.Millisecond)
			f.peer.set(snapshot(t, 3, adapterText("7", name)))
			for _, c := range []struct {
				att   *attempt
				stops bool
			}{{base, stops.base}, {adapter, stops.adapter}} {
				if c.stops {
					requireFailure(t, c.att, errkind.Recalled, errkind.Ran)
				} else {
					require.NotNil(t, wait(c.att).GetEnd(), name)
				}
			}
			if stops.adapter {
				requireFailure(t, f.submit(t.Context(), requestOf("later", adapterVersion("7"))), errkind.Recalled, errkind.NotRun)
			}
		})
	}
}

// Guards against a recall of an adapter's version that is judged by the text's version instead of the running one, and
// against an engine that keeps the old version although it accepts the orders.
func TestReplacedAdapterVersionStaysRecalled(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.peer.set(snapshot(t, 2, adapterText("7", "")))
		time.Sleep(2 * time.Second)
		require.Contains(t, f.engine.state().loaded, adapterVersion("7"))
		f.engine.set(func(e *fakeEngine) { e.ignoreOrder = true })
		before := len(f.engine.state().orders)
		f.peer.set(snapshot(t, 3, adapterText("8", "a@7")))
		time.Sleep(3 * time.Second)
		requireFailure(t, f.submit(t.Context(), requestOf("old", adapterVersion("7"))), errkind.Recalled, errkind.NotRun)
		requireFailure(t, f.submit(t.Context(), requestOf("new", adapterVersion("8"))), errkind.NotLoaded, errkind.NotRun)
		require.Greater(t, len(f.engine.state().orders), before+1, "orders are repeated")
		f.engine.set(func(e *fakeEngine) { e.ignoreOrder = false })
		time.Sleep(3 * time.Second)
		require.NotContains(t, f.engine.state().loaded, adapterVersion("7"))
	})
}

// Guards against a check at the first token that is never reached: without it, an attempt that began before the recall
// answers, and the assertion reports it.
func TestRecallCheckOffIsReported(t *testing.T) {
	found := violations(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fleet.KindModel, func(o *Options) { o.Disabled.RecallCheck = true })
		defer f.close()
		f.engine.set(func(e *fakeEngine) { e.pace, e.ignoreOrder = 300*time.Millisecond, true })
		att := f.submit(t.Context(), modelRequest("a"))
		time.Sleep(100 * time.Millisecond)
		f.peer.set(snapshot(t, 2, textOf("1", "finish", "b1")))
		require.NotNil(t, wait(att).GetEnd())
	})
	require.Contains(t, found(), "recalled_answer_started")
}

// Guards against an answer that an agent starts when it wakes from a pause longer than the freshness bound, during which
// the recall was accepted.
func TestPausedAgentDoesNotAnswerWhenItWakes(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.pace = 5 * time.Second })
		att := f.submit(t.Context(), modelRequest("a"))
		time.Sleep(time.Second)
		f.peer.setStale(true) // its evidence is older than the bound; it does not know the recall yet
		requireFailure(t, att, errkind.Isolated, errkind.Ran)
	})
}

// Guards against a rollout that leaves no endpoint to answer: until its turn, and until the weight store grants the
// ticket, an engine serves the version that the text replaces.
func TestReplacedVersionServesUntilItsTurn(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		v2 := endpoint.Version{Model: "m", Version: "2", Batch: "b1"}
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v1}})
		require.Empty(t, f.watch())
		f.peer.set(snapshot(t, 2, textOf("2", "finish", "")))
		time.Sleep(time.Second)
		require.Equal(t, []string{"e0"}, f.watch(), "the exchange must tell of the earlier steps")
		require.NotNil(t, wait(f.submit(t.Context(), requestOf("a", v1))).GetEnd())
		requireFailure(t, f.submit(t.Context(), requestOf("b", v2)), errkind.NotLoaded, errkind.NotRun)

		f.weights.mu.Lock()
		f.weights.refuse = 5
		f.weights.mu.Unlock()
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v2}})
		time.Sleep(rolloutSoak - time.Second)
		require.Empty(t, f.weights.seen(), "the earlier step must be healthy for a while")
		time.Sleep(1500 * time.Millisecond)
		require.NotNil(t, wait(f.submit(t.Context(), requestOf("c", v1))).GetEnd(), "no ticket yet")
		time.Sleep(time.Minute)
		require.Equal(t, []endpoint.Version{v2}, f.engine.state().loaded)
		require.NotNil(t, wait(f.submit(t.Context(), requestOf("d", v2))).GetEnd())
		require.Empty(t, f.watch())
	})
}

// Guards against a version whose weights do not exist taking the endpoint, and with it the model, out of service.
func TestMissingWeightsDoNotStopTheOtherVersions(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.weights.mu.Lock()
		f.weights.missing = adapterVersion("7").WeightName()
		f.weights.mu.Unlock()
		f.peer.set(snapshot(t, 2, adapterText("7", "")))
		time.Sleep(2 * time.Second)
		require.NotNil(t, wait(f.submit(t.Context(), requestOf("a", v1))).GetEnd())
		record := new(wire.NodeRecord)
		f.describe(record)
		require.Empty(t, record.GetFault())
		require.Contains(t, record.GetOrderFault(), cloud.ErrNotFound.Error())
		f.engine.set(func(e *fakeEngine) { e.ignoreOrder, e.report.Loaded = true, nil })
		time.Sleep(2 * time.Second)
		f.describe(record)
		require.Contains(t, record.GetFault(), cloud.ErrNotFound.Error(), "with nothing loaded it serves nothing")
	})
}

// Guards against exported KV of a recalled version that stays held or serves a decode.
func TestRecallReleasesExportedKV(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		require.True(t, reserve(f, "held", 1000, 0).GetGranted())
		reply, err := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "held", RequestId: "r", Prompt: "x", Version: wire.EncodeVersion(v1), DeadlineMs: 5000, Epoch: 1})
		require.NoError(t, err)
		require.NotNil(t, reply.GetHandle())
		f.peer.set(snapshot(t, 2, textOf("1", "finish", "b1")))
		time.Sleep(time.Second)
		require.Zero(t, f.ledger.Reserved())
		require.Contains(t, f.engine.state().cancelled, "held")
		decode := modelRequest("decode")
		decode.GetModel().Imported, decode.GetModel().Reservation = []*wire.KVHandle{reply.GetHandle()}, "held"
		requireFailure(t, f.submit(t.Context(), decode), errkind.Recalled, errkind.NotRun)
		require.Empty(t, f.engine.state().generated)
	})
}

// Guards against an order from before a pause that an engine without fencing obeys: what it loaded answers nothing and is
// unloaded again.
func TestLateOrderAtAnEngineWithoutFencing(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.peer.set(snapshot(t, 2, textOf("2", "finish", "m@1")))
		time.Sleep(3*time.Second + 100*time.Millisecond) // between two ticks of the agent's own orders and reports
		v2 := endpoint.Version{Model: "m", Version: "2", Batch: "b1"}
		require.Equal(t, []endpoint.Version{v2}, f.engine.state().loaded)
		require.NoError(t, f.engine.ApplyOrder(t.Context(), endpoint.Order{FencingToken: 1, Versions: []endpoint.Version{v1}}))
		requireFailure(t, f.submit(t.Context(), requestOf("old", v1)), errkind.Recalled, errkind.NotRun)
		require.Equal(t, string(errkind.NotLoaded), wait(f.submit(t.Context(), requestOf("new", v2))).GetFailure().GetKind())
		time.Sleep(3 * time.Second)
		require.Equal(t, []endpoint.Version{v2}, f.engine.state().loaded)
		require.NotNil(t, wait(f.submit(t.Context(), requestOf("again", v2))).GetEnd())
	})
}
