package epoch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/wire"
)

// snapshot returns a snapshot of the given epoch whose text depends on the epoch.
func snapshot(t *testing.T, epoch int64) *fleet.Snapshot {
	t.Helper()
	s, faults := fleet.NewSnapshot(epoch, []byte(
		"settings:\n  failure_domains: [a, b, c]\nbatches:\n  spring: {note: \""+time.Duration(epoch).String()+"\"}\n"))
	require.Empty(t, faults)
	return s
}

// The epoch of a store must never decrease. With the protection disabled, the invariant check must report the decrease.
func TestEpochNeverDecreases(t *testing.T) {
	var violations []string
	defer invariant.SetHandler(func(name, _ string) { violations = append(violations, name) })()
	s := NewStore("a")
	require.True(t, s.Adopt(snapshot(t, 2)))
	require.False(t, s.Adopt(snapshot(t, 1)))
	require.Equal(t, int64(2), s.Epoch())
	require.Empty(t, violations)
	faulty := NewStoreWithFaults("a", FaultInjection{AdoptLowerEpoch: true})
	faulty.Adopt(snapshot(t, 2))
	faulty.Adopt(snapshot(t, 1))
	require.Equal(t, []string{"epoch_monotonic"}, violations)
}

// Evidence for an epoch that the node does not hold must not make its snapshot fresh.
func TestEvidenceCountsOnlyForHeldEpoch(t *testing.T) {
	evidence := []*wire.Evidence{{Domain: "b"}, {Domain: "c"}}
	for _, disabled := range []bool{false, true} {
		s := NewStoreWithFaults("a", FaultInjection{IgnoreEvidenceEpoch: disabled})
		s.Adopt(snapshot(t, 1))
		s.MergeEvidence(time.Now(), 2, evidence)
		require.Equal(t, disabled, s.Fresh())
	}
}

// A restarted node must neither count its own domain as evidence nor send it to others before it has known a current epoch.
func TestRestartedNodeDoesNotCountOwnDomain(t *testing.T) {
	for _, disabled := range []bool{false, true} {
		s := NewStoreWithFaults("a", FaultInjection{CountOwnDomainAfterRestart: disabled})
		s.Adopt(snapshot(t, 1))
		s.MergeEvidence(time.Now(), 1, []*wire.Evidence{{Domain: "b"}})
		require.Equal(t, disabled, s.Fresh(), "own domain and one other")
	}
	s := NewStore("a")
	s.Adopt(snapshot(t, 1))
	_, evidence := s.Evidence()
	require.Empty(t, evidence)
	s.ObserveTableRead(time.Now(), 1)
	_, evidence = s.Evidence()
	require.Len(t, evidence, 2, "table and own domain")
}

// Evidence must expire at the freshness bound. The evidence of a delayed reply is dated from the start of the request.
func TestFreshnessExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewStore("a")
		s.Adopt(snapshot(t, 1))
		s.ObserveTableRead(time.Now(), 1)
		time.Sleep(fleet.DefaultFreshnessBound - time.Millisecond)
		require.True(t, s.Fresh())
		time.Sleep(time.Millisecond)
		require.False(t, s.Fresh())
		start := time.Now()
		time.Sleep(5 * time.Second)
		s.MergeEvidence(start, 1, []*wire.Evidence{{Domain: "b"}, {Domain: "c"}})
		require.False(t, s.Fresh(), "the age counts from the start of the request")
		s.MergeEvidence(time.Now(), 1, []*wire.Evidence{{Domain: "b", AgeMs: 3999}})
		require.True(t, s.Fresh())
	})
}

// A patch without its base, or a text that does not match its hash, must not be adopted.
func TestApplyChangeChecksBaseAndHash(t *testing.T) {
	sender := NewStore("a")
	sender.Adopt(snapshot(t, 1))
	sender.Adopt(snapshot(t, 2))
	change := sender.ChangeFrom(1)
	require.NotNil(t, change)
	receiver := NewStore("b")
	if change.BaseEpoch != 0 {
		_, err := receiver.ApplyChange(change)
		require.ErrorIs(t, err, ErrBaseUnknown)
	}
	full := sender.ChangeFrom(0)
	require.Equal(t, int64(0), full.BaseEpoch)
	_, err := receiver.ApplyChange(&wire.Change{Epoch: 2, Hash: full.Hash, Text: []byte("services: {}\n")})
	require.ErrorContains(t, err, "does not match its hash")
	adopted, err := receiver.ApplyChange(full)
	require.NoError(t, err)
	require.True(t, adopted)
	require.Nil(t, sender.ChangeFrom(2))
}
