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

// commandRunner runs bilberryctl commands against one entry of a small fleet.
type commandRunner struct {
	t      *testing.T
	server string
	client *http.Client
}

func newCommandRunner(t *testing.T) *commandRunner {
	ctx, cancel := context.WithCancel(t.Context())
	w := experiment.NewCluster(experiment.Options{Entries: 2, Agents: 2, Domains: 2})
	require.NoError(t, w.Start(ctx))
	router := mux.NewRouter()
	operator.New(operator.Options{Acceptor: w.Nodes[0].Acceptor(), TokenHashes: []string{fleet.Hash([]byte("secret"))}}).Register(router)
	server := httptest.NewServer(router)
	t.Cleanup(func() {
		server.Close()
		cancel()
		w.Stop()
	})
	return &commandRunner{t: t, server: server.URL, client: server.Client()}
}

// run executes a command and returns its output, followed by the error message, and its exit code.
func (r *commandRunner) run(args ...string) (string, int) {
	var cli CLI
	parser, err := kong.New(&cli)
	require.NoError(r.t, err)
	command, err := parser.Parse(append([]string{"--server", r.server, "--token", "secret"}, args...))
	require.NoError(r.t, err)
	var out bytes.Buffer
	err = command.Run(&Context{CLI: &cli, Out: &out, Client: r.client})
	var exitErr *ExitError
	switch {
	case err == nil:
		return out.String(), ExitOK
	case errors.As(err, &exitErr):
		return out.String() + exitErr.Message, exitErr.Code
	}
	return out.String() + err.Error(), ExitFailure
}

func (r *commandRunner) writeFile(text []byte) string {
	name := filepath.Join(r.t.TempDir(), "fleet.yaml")
	require.NoError(r.t, os.WriteFile(name, text, 0o600))
	return name
}

// Guards against a command whose output or exit code does not tell a script the outcome.
func TestCommandsReportOutcome(t *testing.T) {
	r := newCommandRunner(t)
	first, second := r.writeFile(experiment.ConfigText(2, 3, 1)), r.writeFile(experiment.ConfigText(2, 3, 2))
	invalid := r.writeFile([]byte("services:\n  x: {kind: odd}\n"))

	out, code := r.run("validate", invalid)
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, out, invalid+":2: unknown kind")
	_, code = r.run("validate", first)
	require.Equal(t, ExitOK, code)

	out, code = r.run("check", invalid)
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, out, invalid+":2: unknown kind")
	out, code = r.run("check", first)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "differences from epoch 0")

	out, code = r.run("apply", "--wait", "20s", first)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "epoch 1 accepted, in force: true")
	out, code = r.run("diff", second)
	require.Equal(t, ExitDiffers, code)
	require.Contains(t, out, "~ settings.max_body_bytes: 1048577 -> 1048578")
	_, code = r.run("diff", first)
	require.Equal(t, ExitOK, code)
	out, code = r.run("check", second)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "valid\n1 differences from epoch 1\n~ settings.max_body_bytes: 1048577 -> 1048578\n")
	noLimit := r.writeFile(append(experiment.ConfigText(2, 0, 2), "  w: {requests_per_second: 0}\nrecalled: []\n"...))
	out, code = r.run("check", "--strict", "--json", noLimit)
	require.Equal(t, ExitInvalid, code)
	var result checkResult
	require.NoError(t, json.NewDecoder(strings.NewReader(out)).Decode(&result))
	require.Equal(t, []fleet.Fault{{Line: 5, Message: "workspace w: requests_per_second: 0 is no limit"}}, result.Findings)
	require.Equal(t, "1", result.ComparedTo)
	require.Contains(t, result.Differences, "~ settings.max_body_bytes: 1048577 -> 1048578")
	out, code = r.run("validate", noLimit)
	require.Equal(t, ExitOK, code)
	require.Equal(t, noLimit+":5: warning: workspace w: requests_per_second: 0 is no limit\n"+noLimit+": valid\n", out)

	out, code = r.run("apply", "--if-match", "0", second)
	require.Equal(t, ExitConflict, code, out)
	out, code = r.run("apply", invalid)
	require.Equal(t, ExitInvalid, code)
	require.Contains(t, out, "line 2: ")

	out, code = r.run("--json", "status")
	require.Equal(t, ExitOK, code)
	var status epoch.Status
	require.NoError(t, json.Unmarshal([]byte(out), &status))
	require.True(t, status.InForce)
	require.Len(t, status.Nodes, 4)
	out, code = r.run("audit")
	require.Equal(t, ExitOK, code)
	require.Equal(t, 1, strings.Count(out, "  accepted  "))
	require.Equal(t, 1, strings.Count(out, "  epoch_conflict  "))
	require.Equal(t, 1, strings.Count(out, "  fleet_invalid  "))
	out, code = r.run("apply", noLimit)
	require.Equal(t, ExitOK, code)
	require.Contains(t, out, "warning: line 5: workspace w: requests_per_second: 0 is no limit")
}

// Guards against changes without a valid token or without an If-Match of the current text.
func TestPutNeedsTokenAndIfMatch(t *testing.T) {
	r := newCommandRunner(t)
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
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, r.server+"/v1/fleet", bytes.NewReader(experiment.ConfigText(2, 1, 1)))
		require.NoError(t, err)
		req.Header.Set("Authorization", "Bearer "+c.token)
		req.Header.Set("If-Match", c.ifMatch)
		resp, err := r.client.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		cancel()
		require.Equal(t, c.status, resp.StatusCode, "%+v", c)
	}
}

// Guards against a retried submission that is applied a second time and reverts a change made in between.
func TestRepeatedSubmissionRevertsNothing(t *testing.T) {
	r := newCommandRunner(t)
	first, second := r.writeFile(experiment.ConfigText(2, 3, 1)), r.writeFile(experiment.ConfigText(2, 3, 2))
	out, code := r.run("apply", "--submission", "one", "--if-match", "0", first)
	require.Equal(t, ExitOK, code, out)
	out, code = r.run("apply", second)
	require.Equal(t, ExitOK, code, out)
	out, code = r.run("apply", "--submission", "one", first)
	require.Equal(t, ExitFailure, code)
	require.Contains(t, out, "--if-match")
	out, code = r.run("apply", "--submission", "one", "--if-match", "0", first)
	require.Equal(t, ExitOK, code, out)
	require.Contains(t, out, "epoch 1 accepted")
	_, code = r.run("diff", second)
	require.Equal(t, ExitOK, code, "the second text is still the current one")
}

// Guards against an unreachable server that a script cannot tell from a response.
func TestUnreachableServerIsFailure(t *testing.T) {
	r := &commandRunner{t: t, server: "http://127.0.0.1:1", client: http.DefaultClient}
	_, code := r.run("status")
	require.Equal(t, ExitFailure, code)
	file := r.writeFile(experiment.ConfigText(2, 3, 1))
	_, code = r.run("check", file)
	require.Equal(t, ExitFailure, code)
	_, code = r.run("validate", file)
	require.Equal(t, ExitOK, code, "validate asks no server")
}
