package soak

import (
	"flag"
	"os/exec"
	"path/filepath"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var (
	firstSeed = flag.Uint64("soak.seed", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 1, "number of seeds")
	duration  = flag.Duration("soak.duration", 20*time.Second, "duration of the disturbances for each seed")
	program   = flag.String("soak.binary", "", "gateway program, for instance of an earlier version; empty: built from the source")
	gateways  = flag.Int("soak.gateways", 3, "number of gateway processes")
)

// Guards the promises to callers and endpoints against what only shows with real processes, sockets and signals: answers that are broken,
// another's or missing, orders that run twice, planned stops that cut requests off, and bounds on the requests to endpoints.
func TestSoak(t *testing.T) {
	binary := *program
	if binary == "" {
		binary = filepath.Join(t.TempDir(), "bilberry-gateway")
		out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../../cmd/bilberry-gateway").CombinedOutput()
		require.NoError(t, err, string(out))
	}
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) {
			report, err := Run(t.Context(), Options{Seed: seed, Duration: *duration, Gateways: *gateways, Endpoints: 8, Callers: 24,
				Binary: binary, Dir: t.TempDir(), BasePort: 21000 + 8*int(seed%500)})
			require.NoError(t, err)
			t.Log("\n" + report.String())
			require.Empty(t, report.Violations)
			require.Positive(t, report.Outcomes["chat 200"])
			require.Positive(t, report.Outcomes["order 200"])
		})
	}
}
