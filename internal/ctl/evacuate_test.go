package ctl

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/internal/experiment"
)

// Guards against an evacuation that changes anything else, that nobody can trace, or that a script cannot repeat.
func TestEvacuateChangesTheList(t *testing.T) {
	r := newCommandRunner(t)
	text := "# kept\n" + string(experiment.ConfigText(2, 3, 1))
	out, code := r.run("apply", "--wait", "20s", r.writeFile([]byte(text)))
	require.Equal(t, ExitOK, code, out)
	for i, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{"domain-1", "--wait", "20s"}, ExitOK, "epoch 2 accepted, in force: true"},
		{[]string{"domain-1"}, ExitOK, "nothing to change\nepoch 2 accepted, in force: true"},
		{[]string{"domain-7"}, ExitInvalid, `"domain-7" is not in settings.failure_domains`},
		{[]string{"domain-0"}, ExitOK, "warning: settings.evacuated lists all failure domains"},
		{[]string{"--end", "domain-0"}, ExitOK, "epoch 4 accepted"},
	} {
		out, code = r.run(append([]string{"evacuate"}, c.args...)...)
		require.Equal(t, c.code, code, "%d: %s", i, out)
		require.Contains(t, out, c.out, i)
	}
	out, _ = r.run("status")
	require.Contains(t, out, "evacuated domain-1: 1 endpoints")
	require.NotContains(t, out, "evacuated domain-0")
	out, _ = r.run("audit")
	require.Contains(t, out, "by unnamed token")
	require.Contains(t, out, "    + settings.evacuated.domain-1: listed")
	require.Contains(t, out, "    - settings.evacuated.domain-0: listed")

	_, code = r.run("evacuate", "--end", "domain-1")
	require.Equal(t, ExitOK, code)
	evacuated := strings.Replace(text, "settings:\n", "settings:\n  evacuated: []\n", 1)
	out, code = r.run("diff", r.writeFile([]byte(evacuated)))
	require.Equal(t, ExitOK, code, out)
}

// Guards against an evacuation that is submitted against another text than the one that was changed, and against an outcome that is
// reported as certain.
func TestEvacuateReportsConflictAndUnknownOutcome(t *testing.T) {
	for kind, want := range map[string]struct {
		status, code int
		out          string
	}{
		"epoch_conflict":     {http.StatusPreconditionFailed, ExitConflict, "epoch_conflict"},
		"acceptance_unknown": {http.StatusGatewayTimeout, ExitInDoubt, "repeat the command"},
	} {
		var ifMatch, body string
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
			w.Header().Set("ETag", `"7"`)
			if req.Method == http.MethodGet {
				_, _ = w.Write([]byte("settings: {failure_domains: [a, b]}\n"))
				return
			}
			raw := make([]byte, req.ContentLength)
			_, _ = req.Body.Read(raw)
			ifMatch, body = req.Header.Get("If-Match"), string(raw)
			w.WriteHeader(want.status)
			_, _ = w.Write([]byte(`{"error": {"kind": "` + kind + `", "message": "m"}}`))
		}))
		out, code := (&commandRunner{t: t, server: server.URL, client: server.Client()}).run("evacuate", "b")
		server.Close()
		require.Equal(t, want.code, code, out)
		require.Contains(t, out, want.out)
		require.Equal(t, `"7"`, ifMatch)
		require.Equal(t, "settings: {evacuated: [b], failure_domains: [a, b]}\n", body)
	}
}
