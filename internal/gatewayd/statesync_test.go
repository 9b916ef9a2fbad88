package gatewayd

import (
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/platform"
)

func newTestStateSync() *stateSync {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newStateSync(log, nil)
}

func endpointRow(key, state string) platform.Row {
	return platform.Row{Key: key, Version: 1, Value: fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:80","Zone":"z","Slots":4,"State":%q}`, state)}
}

func usableIDs(s *stateSync) []string {
	var ids []string
	for _, e := range s.registry.Usable("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

// An older or an invalid configuration must not replace the current one.
func TestOlderOrInvalidConfigurationIsIgnored(t *testing.T) {
	s := newTestStateSync()
	for _, text := range []string{`{"Version":5}`, `{"Version":4}`, `{"Version":9,"Routes":1}`, `{}`} {
		s.updateConfig([]byte(text), "store", 0)
		require.Equal(t, int64(5), s.config.Snapshot().Epoch)
	}
	s.updateConfig([]byte(`{"Version":6}`), "peer", 0)
	require.Equal(t, int64(6), s.config.Snapshot().Epoch)
}

// A configuration must not count as the newest for long after its last confirmation.
func TestConfigurationIsCurrentOnlyWhileTheStoreResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestStateSync()
		require.False(t, s.configCurrent())
		s.config.MarkConfirmed(time.Now())
		require.True(t, s.configCurrent())
		time.Sleep(configFreshness)
		require.False(t, s.configCurrent())
	})
}

// An invalid row must neither hide other rows nor remove an endpoint.
func TestMalformedRowsDoNotAffectOthers(t *testing.T) {
	s := newTestStateSync()
	s.replaceEndpoints([]platform.Row{endpointRow("a", "ready"), endpointRow("b", "odd"), {Key: "c"}, endpointRow("d", "ready")}, 1)
	require.Equal(t, []string{"a", "d"}, usableIDs(s))
	s.updateEndpoints([]platform.Row{endpointRow("a", "odd"), endpointRow("d", "draining"), endpointRow("e", "ready")}, 2)
	require.Equal(t, []string{"a", "e"}, usableIDs(s))
	s.updateEndpoints([]platform.Row{{Key: "a", Removed: true}}, 3)
	require.Equal(t, []string{"e"}, usableIDs(s))
}

// The store must not count as available while one of its tables is not.
func TestStoreIsUpOnlyWithAllTables(t *testing.T) {
	s := newTestStateSync()
	require.False(t, s.storeReachable())
	s.markTableUp("one")
	require.False(t, s.storeReachable())
	s.markTableUp("two")
	require.True(t, s.storeReachable())
	s.markTableDown("one", errors.New("down"))
	s.markTableUp("two")
	require.False(t, s.storeReachable())
	s.replaceEndpoints([]platform.Row{endpointRow("a", "ready")}, 1)
	s.updateEndpoints([]platform.Row{{Key: "a", Removed: true}}, 2)
	require.Equal(t, []string{"a"}, usableIDs(s), "the entry may have expired in the outage")
	s.markTableUp("one")
	require.True(t, s.storeReachable())
}
