package epoch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/membership"
)

// Guards against a recall that the status calls stopped before the epoch that recalled it was in force, and against
// engines that keep recalled weights unseen.
func TestRecallStatusFollowsTheEpochInForce(t *testing.T) {
	const text = "models: {m: {version: \"1\", batch: b1, endpoints: [e1]}}\nbatches: {b1: {supplier: s}, b2: {supplier: s}}\n"
	first, faults := fleet.NewSnapshot(1, []byte(text+"recalled: [b1]\n"))
	require.Empty(t, faults)
	second, faults := fleet.NewSnapshot(2, []byte(text+"recalled: [b1, m@1]\n"))
	require.Empty(t, faults)
	old := endpoint.Version{Model: "m", Version: "1", Batch: "b1"}
	holders := []membership.ServingCandidate{{Name: "n1", Endpoint: "e1", Loaded: []endpoint.Version{old}}, {Name: "n2", Endpoint: "e2"}}
	require.Equal(t, []RecallStatus{{Name: "b1", Stopped: true, Loaded: []string{"e1"}}, {Name: "m@1", Loaded: []string{"e1"}}},
		recallStatus(second, first, holders))
	require.Equal(t, []RecallStatus{{Name: "b1"}, {Name: "m@1"}}, recallStatus(second, nil, nil))
	require.Equal(t, []RecallStatus{{Name: "b1", Stopped: true}, {Name: "m@1", Stopped: true}}, recallStatus(second, second, nil))
}

// Guards against a stopped rollout that the status does not show, and against one that is shown after its end.
func TestRolloutStatusNamesWhatStopsIt(t *testing.T) {
	s, faults := fleet.NewSnapshot(2, []byte("models: {m: {version: \"2\", endpoints: [e1, e2, e3]}}\n"))
	require.Empty(t, faults)
	old, next := endpoint.Version{Model: "m", Version: "1"}, endpoint.Version{Model: "m", Version: "2"}
	holders := []membership.ServingCandidate{
		{Endpoint: "e1", Loaded: []endpoint.Version{next}},
		{Endpoint: "e2", OrderFault: "weights: not found", Loaded: []endpoint.Version{old}},
		{Endpoint: "e3", Loaded: []endpoint.Version{old}},
	}
	require.Equal(t, []RolloutStatus{{Version: "m@2", HoldingEndpoints: 1, AssignedEndpoints: 3, Faults: []string{"e2: weights: not found"}}}, rolloutStatus(s, holders))
	for i := range holders {
		holders[i].Loaded = []endpoint.Version{next}
	}
	require.Empty(t, rolloutStatus(s, holders))
}
