package cloudhttp_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/internal/http1/http1test"
)

// An invalid response of the platform must be neither a row nor the confirmation of a write, which is in doubt then.
func TestInvalidResponsesOfThePlatform(t *testing.T) {
	for name, response := range http1test.Invalid() {
		text := response.JSONText()
		table := cloudhttp.New(http1test.Server(t, text).URL, nil).Table
		_, err := table.Get(t.Context(), "k")
		require.ErrorIs(t, err, cloud.ErrUnavailable, name)
		_, err = table.Commit(t.Context(), cloud.Write{Key: "k"})
		require.ErrorIs(t, err, cloud.ErrInDoubt, name)
	}
}
