package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kong"
	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/experiment"
	"github.com/bilberrylink/bilberrylink/internal/operator"
)

// tool runs commands against one entry of a small fleet.
type tool struct {
	t      *testing.T
	server string
	client *http.Client
}

func newTool(t *testing.T) *tool {
	ctx, cancel := context.WithCancel(t.Context())
	w := experiment.NewWorld(experiment.Options{Entries: 2, Agents: 2, Domains: 2})
	require.NoError(t, w.Start(ctx))
	router := mux.NewRouter()
	operator.New(operator.Options{Acceptor: w.Nodes[0].Acceptor(), TokenHashes: []string{fleet.Hash([]byte("secret"))}}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(func() {
		server.Close()
		cancel()
		w.Stop()
	})
	return &tool{t: t, server: server.URL, client: server.Client()}
}

// run returns the output and the exit code of one command.
func (x *tool) run(args ...string) (string, int) {
	var cli CLI
	parser, err := kong.New(&cli)
	require.NoError(x.t, err)
	command, err := parser.Parse(append([]string{"--server", x.server, "--token", "secret"}, args...))
	require.NoError(x.t, err)
	var out bytes.Buffer
	err = command.Run(&Context{CLI: &cli, Out: &out, Client: x.client})
	var exit *ExitError
	switch {
	case err == nil:
		return out.String(), ExitOK
	case errors.As(err, &exit):
		return out.String() + exit.Message, exit.Code
	}
	return out.String() + err.Error(), ExitFailure
}

func (x *tool) file(text []byte) string {
	name := filepath.Join(x.t.TempDir(), "fleet.yaml")
	require.NoError(x.t, os.WriteFile(name, text, 0o600))
	return name
}

// Guards against commands whose output or exit code hides the outcome from a script.
func TestCommandsReportOutcome(t *testing.T) {
	x := newTool(t)
	first, second := x.file(experiment.Text(2, 3, 1)), x.file(experiment.Text(2, 3, 2))
	invalid := x.file([]byte("services:\n  x: {kind: odd}\n"))

	out, code := x.run("validate", invalid)
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, out, invalid+":2: unknown kind")
	_, code = x.run("validate", first)
	require.Equal(t, ExitOK, code)

	out, code = x.run("apply", "--wait", "20s", first)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "epoch 1 accepted, in force: true")
	out, code = x.run("diff", second)
	require.Equal(t, ExitDiffers, code)
	require.Contains(t, out, "~ settings.max_body_bytes: 1048577 -> 1048578")
	_, code = x.run("diff", first)
	require.Equal(t, ExitOK, code)

	out, code = x.run("apply", "--if-match", "0", second)
	require.Equal(t, ExitConflict, code, out)
	out, code = x.run("apply", invalid)
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, out, "line 2: ")

	out, code = x.run("--json", "status")
	require.Equal(t, ExitOK, code)
	var st epoch.Status
	require.NoError(t, json.Unmarshal([]byte(out), &st))
	require.True(t, st.InForce)
	require.Len(t, st.Nodes, 4)
	out, code = x.run("audit")
	require.Equal(t, ExitOK, code)
	require.Equal(t, 1, strings.Count(out, "  accepted  "))
	require.Equal(t, 1, strings.Count(out, "  epoch_conflict  "))
	require.Equal(t, 1, strings.Count(out, "  fleet_invalid  "))
}

// Guards against changes without a token or a condition.
func TestPutNeedsTokenAndCondition(t *testing.T) {
	x := newTool(t)
	for _, c := range []struct {
		token, ifMatch string
		status         int
	}{
		{"wrong", `"0"`, http.StatusUnauthorized},
		{"secret", "", http.StatusPreconditionRequired},
		{"secret", "*", http.StatusBadRequest},
		{"secret", `"0", "1"`, http.StatusBadRequest},
		{"secret", `"7"`, http.StatusPreconditionFailed},
	} {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, x.server+"/v1/fleet", bytes.NewReader(experiment.Text(2, 1, 1)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+c.token)
		req.Header.Set("If-Match", c.ifMatch)
		resp, err := x.client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		cancel()
		require.Equal(t, c.status, resp.StatusCode, "%+v", c)
	}
}

// Guards against a repeated submission that is applied again, over a change that came in between.
func TestRepeatedSubmissionUndoesNothing(t *testing.T) {
	x := newTool(t)
	first, second := x.file(experiment.Text(2, 3, 1)), x.file(experiment.Text(2, 3, 2))
	out, code := x.run("apply", "--submission", "one", "--if-match", "0", first)
	require.Equal(t, ExitOK, code, out)
	out, code = x.run("apply", second)
	require.Equal(t, ExitOK, code, out)
	out, code = x.run("apply", "--submission", "one", first)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "--if-match")
	out, code = x.run("apply", "--submission", "one", "--if-match", "0", first)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "epoch 1 accepted")
	_, code = x.run("diff", second)
	require.Equal(t, ExitOK, code, "the second text is still the current one")
}

// Guards against a server failure that a script takes for an answer.
func TestUnreachableServerIsFailure(t *testing.T) {
	x := &tool{t: t, server: "http://127.0.0.1:1", client: http.DefaultClient}
	_, code := x.run("status")
	require.Equal(t, ExitFailure, code)
}
