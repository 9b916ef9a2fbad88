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

func snapshot(t *testing.T, epoch int64) *fleet.Snapshot {
	t.Helper()
	s, faults := fleet.NewSnapshot(epoch, []byte("settings:\n  failure_domains: [a, b, c]\nbatches:\n  spring: {note: \""+time.Duration(epoch).String()+"\"}\n"))
	require.Empty(t, faults)
	return s
}

// Guards against an epoch that goes backwards; with the mechanism off the program reports it.
func TestEpochNeverFalls(t *testing.T) {
	var violations []string
	defer invariant.SetHandler(func(name, _ string) { violations = append(violations, name) })()
	s := NewStore("a")
	require.True(t, s.Adopt(snapshot(t, 2)))
	require.False(t, s.Adopt(snapshot(t, 1)))
	require.Equal(t, int64(2), s.Epoch())
	require.Empty(t, violations)
	off := NewStoreWithFaults("a", FaultInjection{AdoptLowerEpoch: true})
	off.Adopt(snapshot(t, 2))
	off.Adopt(snapshot(t, 1))
	require.Equal(t, []string{"epoch_monotonic"}, violations)
}

// Guards against evidence that vouches for an epoch that this node does not hold.
func TestEvidenceOnlyAfterAdoption(t *testing.T) {
	evidence := []*wire.Evidence{{Domain: "b"}, {Domain: "c"}}
	for _, off := range []bool{false, true} {
		s := NewStoreWithFaults("a", FaultInjection{IgnoreEvidenceEpoch: off})
		s.Adopt(snapshot(t, 1))
		s.MergeEvidence(time.Now(), 2, evidence)
		require.Equal(t, off, s.Fresh())
	}
}

// Guards against a restarted node that counts its own domain, or makes others count it, before it knows a current epoch.
func TestRestartedNodeDoesNotVouch(t *testing.T) {
	for _, off := range []bool{false, true} {
		s := NewStoreWithFaults("a", FaultInjection{CountOwnDomainAfterRestart: off})
		s.Adopt(snapshot(t, 1))
		s.MergeEvidence(time.Now(), 1, []*wire.Evidence{{Domain: "b"}})
		require.Equal(t, off, s.Fresh(), "own domain and one other")
	}
	s := NewStore("a")
	s.Adopt(snapshot(t, 1))
	_, evidence := s.Evidence()
	require.Empty(t, evidence)
	s.ObserveTableRead(time.Now(), 1)
	_, evidence = s.Evidence()
	require.Len(t, evidence, 2, "table and own domain")
}

// Guards against evidence that outlives the freshness bound, and against a delayed reply that looks fresh.
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

// Guards against a change that is applied to the wrong base or with the wrong hash.
func TestApplyChecksBaseAndHash(t *testing.T) {
	from := NewStore("a")
	from.Adopt(snapshot(t, 1))
	from.Adopt(snapshot(t, 2))
	change := from.ChangeFrom(1)
	require.NotNil(t, change)
	to := NewStore("b")
	if change.BaseEpoch != 0 {
		_, err := to.ApplyChange(change)
		require.ErrorIs(t, err, ErrBaseUnknown)
	}
	whole := from.ChangeFrom(0)
	require.Equal(t, int64(0), whole.BaseEpoch)
	_, err := to.ApplyChange(&wire.Change{Epoch: 2, Hash: whole.Hash, Text: []byte("services: {}\n")})
	require.ErrorContains(t, err, "does not match its hash")
	adopted, err := to.ApplyChange(whole)
	require.NoError(t, err)
	require.True(t, adopted)
	require.Nil(t, from.ChangeFrom(2))
}
