package epoch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/membership"
)

// A recalled name must not be reported as stopped before an epoch that recalls it is in force, and endpoints whose engines
// still have the recalled weights loaded must be listed.
func TestRecallStatusFollowsEpochInForce(t *testing.T) {
	const text = "models: {m: {version: \"1\", batch: b1, endpoints: [e1]}}\nbatches: {b1: {supplier: s}, b2: {supplier: s}}\n"
	first, faults := fleet.NewSnapshot(1, []byte(text+"recalled: [b1]\n"))
	require.Empty(t, faults)
	second, faults := fleet.NewSnapshot(2, []byte(text+"recalled: [b1, m@1]\n"))
	require.Empty(t, faults)
	old := endpoint.Version{Model: "m", Version: "1", Batch: "b1"}
	candidates := []membership.ServingCandidate{{Name: "n1", Endpoint: "e1", Loaded: []endpoint.Version{old}},
		{Name: "n2", Endpoint: "e2"}}
	require.Equal(t, []RecallStatus{{Name: "b1", Stopped: true, Loaded: []string{"e1"}}, {Name: "m@1", Loaded: []string{"e1"}}},
		recallStatus(second, first, candidates))
	require.Equal(t, []RecallStatus{{Name: "b1"}, {Name: "m@1"}}, recallStatus(second, nil, nil))
	require.Equal(t, []RecallStatus{{Name: "b1", Stopped: true}, {Name: "m@1", Stopped: true}}, recallStatus(second, second, nil))
}

// An evacuated domain must appear in the status with its endpoints, which the entries of the domain are not.
func TestStatusShowsEvacuatedDomains(t *testing.T) {
	s, faults := fleet.NewSnapshot(2, []byte("settings: {failure_domains: [a, b, c], evacuated: [b, c]}\n"))
	require.Empty(t, faults)
	candidates := []membership.ServingCandidate{{Name: "n1", FailureDomain: "a", Endpoint: "e1"}, {Name: "n2", FailureDomain: "b"},
		{Name: "n3", FailureDomain: "b", Endpoint: "e3"}}
	require.Equal(t, []EvacuatedDomain{{Name: "b", Endpoints: 1}, {Name: "c"}}, evacuatedDomains(s, candidates))
}

// A rollout that is stuck must appear in the status with the fault that blocks it, and a complete one must not appear.
func TestRolloutStatusShowsBlockingFault(t *testing.T) {
	s, faults := fleet.NewSnapshot(2, []byte("models: {m: {version: \"2\", endpoints: [e1, e2, e3]}}\n"))
	require.Empty(t, faults)
	old, next := endpoint.Version{Model: "m", Version: "1"}, endpoint.Version{Model: "m", Version: "2"}
	candidates := []membership.ServingCandidate{
		{Endpoint: "e1", Loaded: []endpoint.Version{next}},
		{Endpoint: "e2", OrderFault: "weights: not found", Loaded: []endpoint.Version{old}},
		{Endpoint: "e3", Loaded: []endpoint.Version{old}},
	}
	require.Equal(t, []RolloutStatus{{Version: "m@2", HoldingEndpoints: 1, AssignedEndpoints: 3,
		Faults: []string{"e2: weights: not found"}}}, rolloutStatus(s, candidates))
	for i := range candidates {
		candidates[i].Loaded = []endpoint.Version{next}
	}
	require.Empty(t, rolloutStatus(s, candidates))
}
