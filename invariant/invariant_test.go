package invariant_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/invariant"
)

// Guards against a violation that is not counted or not passed to the handler, since tests with random operations would
// then pass although an invariant is broken.
func TestViolationIsCountedAndHandled(t *testing.T) {
	var got []string
	defer invariant.SetHandler(func(name, detail string) { got = append(got, name+": "+detail) })()
	require.True(t, invariant.Check(true, "example", "holds"))
	require.False(t, invariant.Check(false, "example", "value %d", 3))
	require.Equal(t, []string{"example: value 3"}, got)
	require.Equal(t, 1, testutil.CollectAndCount(invariant.Collector()))
}
