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

// adapterConfig returns baseConfig with an adapter named a in the given version, whose batch is "b" followed by the version.
func adapterConfig(adapterVersion, recalled string) string {
	return strings.Replace(configText("1", "finish", recalled),
		"batches: {", "batches: {b7: {supplier: s}, b8: {supplier: s}, ", 1) +
		"adapters:\n  a: {model: m, version: \"" + adapterVersion + "\", batch: b" + adapterVersion + "}\n"
}

func adapterVersion(version string) endpoint.Version {
	v := v1
	v.Adapter, v.AdapterVersion, v.AdapterBatch = "a", version, "b"+version
	return v
}

func versionRequest(id string, v endpoint.Version) *wire.RunRequest {
	r := modelRequest(id)
	r.GetModel().Version = wire.EncodeVersion(v)
	return r
}

// Guards against a kind of recall (model, version, batch, adapter) that the agent does not apply, and against a recall that stops
// more than it names. It also applies to attempts that are waiting for their first token.
func TestRecallAppliesExactlyToNamedItems(t *testing.T) {
	for name, stops := range map[string]struct{ base, adapter bool }{
		"m": {true, true}, "m@1": {true, true}, "b1": {true, true},
		"a": {false, true}, "a@7": {false, true}, "b7": {false, true},
		"m@2": {}, "a@8": {}, "b8": {},
	} {
		runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
			f.peer.setSnapshot(newSnapshot(t, 2, adapterConfig("7", "")))
			time.Sleep(2 * time.Second)
			f.engine.update(func(e *fakeEngine) { e.tokenInterval, e.ignoresOrders = 300*time.Millisecond, true })
			base, adapter := f.submit(t.Context(), versionRequest("base", v1)),
				f.submit(t.Context(), versionRequest("adapter", adapterVersion("7")))
			time.Sleep(100 * time.Millisecond)
			f.peer.setSnapshot(newSnapshot(t, 3, adapterConfig("7", name)))
			for _, c := range []struct {
				att   *attempt
				stops bool
			}{{base, stops.base}, {adapter, stops.adapter}} {
				if c.stops {
					requireFailure(t, c.att, errkind.Recalled, errkind.Ran)
				} else {
					require.NotNil(t, waitForLastFrame(c.att).GetEnd(), name)
				}
			}
			if stops.adapter {
				requireFailure(t, f.submit(t.Context(), versionRequest("later", adapterVersion("7"))), errkind.Recalled, errkind.NotRun)
			}
		})
	}
}

// Guards against matching a recall of an adapter's version with the configured version instead of the running one, and against an
// engine that keeps the old version although it accepts the orders.
func TestReplacedAdapterVersionRemainsRecalled(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.peer.setSnapshot(newSnapshot(t, 2, adapterConfig("7", "")))
		time.Sleep(2 * time.Second)
		require.Contains(t, f.engine.recorded().loaded, adapterVersion("7"))
		f.engine.update(func(e *fakeEngine) { e.ignoresOrders = true })
		before := len(f.engine.recorded().orders)
		f.peer.setSnapshot(newSnapshot(t, 3, adapterConfig("8", "a@7")))
		time.Sleep(3 * time.Second)
		requireFailure(t, f.submit(t.Context(), versionRequest("old", adapterVersion("7"))), errkind.Recalled, errkind.NotRun)
		requireFailure(t, f.submit(t.Context(), versionRequest("new", adapterVersion("8"))), errkind.NotLoaded, errkind.NotRun)
		require.Greater(t, len(f.engine.recorded().orders), before+1, "orders are repeated")
		f.engine.update(func(e *fakeEngine) { e.ignoresOrders = false })
		time.Sleep(3 * time.Second)
		require.NotContains(t, f.engine.recorded().loaded, adapterVersion("7"))
	})
}

// Guards against a recall check at the first token that has no effect: with the check disabled, an attempt that began before the
// recall answers, and the invariant check reports it.
func TestDisabledRecallCheckIsReported(t *testing.T) {
	violations := recordViolations(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, fleet.KindModel, func(o *Options) { o.Disabled.RecallCheck = true })
		defer f.close()
		f.engine.update(func(e *fakeEngine) { e.tokenInterval, e.ignoresOrders = 300*time.Millisecond, true })
		att := f.submit(t.Context(), modelRequest("a"))
		time.Sleep(100 * time.Millisecond)
		f.peer.setSnapshot(newSnapshot(t, 2, configText("1", "finish", "b1")))
		require.NotNil(t, waitForLastFrame(att).GetEnd())
	})
	require.Contains(t, violations(), "recalled_answer_started")
}

// Guards against an answer that an agent starts after a pause longer than the freshness bound, during which a recall came into
// force.
func TestStaleAgentDoesNotStartAnswer(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.tokenInterval = 5 * time.Second })
		att := f.submit(t.Context(), modelRequest("a"))
		time.Sleep(time.Second)
		f.peer.setStale(true) // its evidence is older than the bound; it has not received the recall yet
		requireFailure(t, att, errkind.Isolated, errkind.Ran)
	})
}

// Guards against a rollout that leaves no endpoint to serve the model: until its turn, and until the weight store grants the
// ticket, an engine serves the version that is being replaced.
func TestReplacedVersionServesUntilRolloutTurn(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		v2 := endpoint.Version{Model: "m", Version: "2", Batch: "b1"}
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v1}})
		require.Empty(t, f.watchedEndpoints())
		f.peer.setSnapshot(newSnapshot(t, 2, configText("2", "finish", "")))
		time.Sleep(time.Second)
		require.Equal(t, []string{"e0"}, f.watchedEndpoints(), "records of the earlier steps are requested")
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), versionRequest("a", v1))).GetEnd())
		requireFailure(t, f.submit(t.Context(), versionRequest("b", v2)), errkind.NotLoaded, errkind.NotRun)

		f.weights.mu.Lock()
		f.weights.refusals = 5
		f.weights.mu.Unlock()
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v2}})
		time.Sleep(rolloutSoakTime - time.Second)
		require.Empty(t, f.weights.issuedNames(), "the earlier step must be healthy for a while")
		time.Sleep(1500 * time.Millisecond)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), versionRequest("c", v1))).GetEnd(), "no ticket yet")
		time.Sleep(time.Minute)
		require.Equal(t, []endpoint.Version{v2}, f.engine.recorded().loaded)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), versionRequest("d", v2))).GetEnd())
		require.Empty(t, f.watchedEndpoints())
	})
}

// Guards against a version without weights that takes the endpoint, and with it the model, out of service.
func TestMissingWeightsDoNotAffectOtherVersions(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.weights.mu.Lock()
		f.weights.missing = adapterVersion("7").WeightName()
		f.weights.mu.Unlock()
		f.peer.setSnapshot(newSnapshot(t, 2, adapterConfig("7", "")))
		time.Sleep(2 * time.Second)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), versionRequest("a", v1))).GetEnd())
		record := new(wire.NodeRecord)
		f.fillRecord(record)
		require.Empty(t, record.GetFault())
		require.Contains(t, record.GetOrderFault(), cloud.ErrNotFound.Error())
		f.engine.update(func(e *fakeEngine) { e.ignoresOrders, e.report.Loaded = true, nil })
		time.Sleep(2 * time.Second)
		f.fillRecord(record)
		require.Contains(t, record.GetFault(), cloud.ErrNotFound.Error(), "with nothing loaded it serves nothing")
	})
}

// Guards against exported KV memory of a recalled version that stays reserved or is used by a decode.
func TestRecallReleasesExportedKV(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		require.True(t, reserve(f, "held", 1000, 0).GetGranted())
		reply, err := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "held", RequestId: "r", Prompt: "x",
			Version: wire.EncodeVersion(v1), DeadlineMs: 5000, Epoch: 1})
		require.NoError(t, err)
		require.NotNil(t, reply.GetHandle())
		f.peer.setSnapshot(newSnapshot(t, 2, configText("1", "finish", "b1")))
		time.Sleep(time.Second)
		require.Zero(t, f.ledger.Reserved())
		require.Contains(t, f.engine.recorded().cancelled, "held")
		decode := modelRequest("decode")
		decode.GetModel().Imported, decode.GetModel().Reservation = []*wire.KVHandle{reply.GetHandle()}, "held"
		requireFailure(t, f.submit(t.Context(), decode), errkind.Recalled, errkind.NotRun)
		require.Empty(t, f.engine.recorded().generated)
	})
}

// Guards against a late order, from before a pause of its sender, that an engine without fencing executes: the version that it
// loads must not answer and is unloaded again.
func TestLateOrderOnEngineWithoutFencing(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.peer.setSnapshot(newSnapshot(t, 2, configText("2", "finish", "m@1")))
		time.Sleep(3*time.Second + 100*time.Millisecond) // between two ticks of the order and report timers
		v2 := endpoint.Version{Model: "m", Version: "2", Batch: "b1"}
		require.Equal(t, []endpoint.Version{v2}, f.engine.recorded().loaded)
		require.NoError(t, f.engine.ApplyOrder(t.Context(), endpoint.Order{FencingToken: 1, Versions: []endpoint.Version{v1}}))
		requireFailure(t, f.submit(t.Context(), versionRequest("old", v1)), errkind.Recalled, errkind.NotRun)
		require.Equal(t, string(errkind.NotLoaded),
			waitForLastFrame(f.submit(t.Context(), versionRequest("new", v2))).GetFailure().GetKind())
		time.Sleep(3 * time.Second)
		require.Equal(t, []endpoint.Version{v2}, f.engine.recorded().loaded)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), versionRequest("again", v2))).GetEnd())
	})
}
