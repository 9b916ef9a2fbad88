package invariant_test

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/invariant"
)

// A violation that is neither counted nor handed to the test would let randomised runs pass with broken invariants.
func TestViolationIsCountedAndHandled(t *testing.T) {
	var got []string
	defer invariant.SetHandler(func(name, detail string) { got = append(got, name+": "+detail) })()
	require.True(t, invariant.Check(true, "example", "holds"))
	require.False(t, invariant.Check(false, "example", "value %d", 3))
	require.Equal(t, []string{"example: value 3"}, got)
	require.Equal(t, 1, testutil.CollectAndCount(invariant.Collector()))
}
