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

func newTestBeliefs() *beliefs {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return newBeliefs(log)
}

func endpointRow(key, state string) platform.Row {
	return platform.Row{Key: key, Version: 1, Value: fmt.Appendf(nil, `{"Service":"s","Address":"10.0.0.1:80","State":%q}`, state)}
}

func usable(b *beliefs) []string {
	var ids []string
	for _, e := range b.roster.Usable("s") {
		ids = append(ids, e.ID)
	}
	return ids
}

// Guards against a configuration that goes back, and against one with a fault that replaces a good one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	b := newTestBeliefs()
	for _, text := range []string{`{"Version":5}`, `{"Version":4}`, `{"Version":9,"Routes":1}`, `{}`} {
		b.adopt([]byte(text), "store")
		require.Equal(t, int64(5), b.current.Snapshot().Epoch)
	}
	b.adopt([]byte(`{"Version":6}`), "peer")
	require.Equal(t, int64(6), b.current.Snapshot().Epoch)
}

// Guards against answering for good on a configuration that may be old.
func TestConfigurationIsCurrentOnlyWhileTheStoreAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newTestBeliefs()
		require.False(t, b.configCurrent())
		b.current.MarkConfirmed(time.Now())
		require.True(t, b.configCurrent())
		time.Sleep(freshFor)
		require.False(t, b.configCurrent())
	})
}

// Guards against one malformed row that hides the others, and against a row that removes a live endpoint.
func TestMalformedRowsDisturbNoOther(t *testing.T) {
	b := newTestBeliefs()
	b.endpointsFull([]platform.Row{endpointRow("a", "ready"), endpointRow("b", "odd"), {Key: "c"}, endpointRow("d", "ready")})
	require.Equal(t, []string{"a", "d"}, usable(b))
	b.endpointsChange([]platform.Row{endpointRow("a", "odd"), endpointRow("d", "draining"), endpointRow("e", "ready")})
	require.Equal(t, []string{"a", "e"}, usable(b))
	b.endpointsChange([]platform.Row{{Key: "a", Removed: true}})
	require.Equal(t, []string{"e"}, usable(b))
}

// Guards against an outage that counts as over while one table is still not heard of.
func TestStoreIsUpOnlyWithAllTables(t *testing.T) {
	b := newTestBeliefs()
	require.False(t, b.storeUp())
	b.storeHeard("one")
	require.False(t, b.storeUp())
	b.storeHeard("two")
	require.True(t, b.storeUp())
	b.storeLost("one", errors.New("down"))
	b.storeHeard("two")
	require.False(t, b.storeUp())
	b.endpointsFull([]platform.Row{endpointRow("a", "ready")})
	b.endpointsChange([]platform.Row{{Key: "a", Removed: true}})
	require.Equal(t, []string{"a"}, usable(b), "may have lapsed")
	b.storeHeard("one")
	require.True(t, b.storeUp())
}
