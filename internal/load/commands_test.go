package load

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/alecthomas/kong"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// runCommandLine parses and runs a command line and returns its output.
func runCommandLine(t *testing.T, args ...string) (string, error) {
	t.Helper()
	var commands Commands
	var out bytes.Buffer
	options := append(settings.KongOptions("bilberry-load", "test"), kong.Writers(&out, &out), kong.Exit(func(int) {}))
	parser, err := kong.New(&commands, options...)
	require.NoError(t, err)
	ctx, err := parser.Parse(args)
	if err != nil {
		return "", err
	}
	err = ctx.Run()
	return out.String(), err
}

// Guards against flags that have no effect, and against a successful exit after a run with violations.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	mix, a, b, svg := filepath.Join(dir, "mix.yaml"), filepath.Join(dir, "a.json"), filepath.Join(dir, "b.json"), filepath.Join(dir, "x.svg")
	require.NoError(t, os.WriteFile(mix, []byte(testMix), 0o600))
	url := new(fakeEntry).start(t)

	out, err := runCommandLine(t, "run", "--entry", url, "--standin", url, "--mix", mix, "--time-scale", "4", "--rate-factor", "2", "--json", a)
	require.NoError(t, err, out)
	require.Contains(t, out, "0 kinds of violation (counters checked)")
	t.Log(out)

	out, err = runCommandLine(t, "run", "--entry", url, "--single", "--workspace", "alfold", "--model", "clerk", "--rate", "50",
		"--prompt", "1-4k=1;4-32k=1", "--duration", "2s", "--time-scale", "4", "--json", b)
	require.NoError(t, err, out)
	report, err := ReadReport(b)
	require.NoError(t, err)
	require.NotZero(t, report.seriesByName("chat 1-4k").OK())
	require.NotZero(t, report.seriesByName("chat 4-32k").OK())

	slow := filepath.Join(dir, "slow.json")
	out, err = runCommandLine(t, "slowdown", "--entry", url, "--mix", mix, "--time-scale", "4", "--key-prefix", "s-", "--idle-rate", "1000", "--json", slow)
	require.NoError(t, err, out)
	require.Contains(t, out, "slowdown")
	out, err = runCommandLine(t, "table", slow)
	require.NoError(t, err)
	require.Contains(t, out, "| slow | 4-32k |")
	_, err = runCommandLine(t, "table", a)
	require.ErrorContains(t, err, "not a report of slowdown")
	out, err = runCommandLine(t, "compare", a, b)
	require.NoError(t, err)
	require.Contains(t, out, "order call")
	_, err = runCommandLine(t, "plot", a, b, "--out", svg)
	require.NoError(t, err)
	require.FileExists(t, svg)

	_, err = runCommandLine(t, "run", "--entry", (&fakeEntry{dropTokens: true}).start(t), "--mix", mix, "--time-scale", "4")
	require.ErrorContains(t, err, "violations")
	_, err = runCommandLine(t, "run", "--entry", url)
	require.Error(t, err, "neither --mix nor --single")
}
