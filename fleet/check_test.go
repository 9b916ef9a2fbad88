package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const checkedText = `settings: {failure_domains: [a, b], idempotency_ttl: 10m}
models:
  puli: {version: "3", endpoints: [m1], max_tokens: 4000}
adapters:
  letters: {model: puli, version: "7"}
services:
  replies: {kind: model, model: puli, adapter: letters, max_tokens: 1000}
  plain: {kind: model, model: puli}
  orders:
    kind: plain
    endpoints: [o1]
    calls:
      - {method: GET, path: /stock/*/size, idempotent: true}
      - {method: "*", path: "/orders/?"}
      - {method: POST, path: /orders/ab}
workspaces:
  desk:
    key_hashes: [00056d24dfe63022181d672aa99ade3b34af2b7e50d1b15f68de03aab112d1e0]
    requests_per_second: 5
  bench: {weight: 2}
`

// Guards against a kind of mistake that the check does not report, or reports at a wrong line, and against a report on a sound text.
func TestValidateReportsEachKindOfMistake(t *testing.T) {
	require.Equal(t, Report{Snapshot: Validate(1, []byte(checkedText), nil).Snapshot}, Validate(1, []byte(checkedText), nil))
	const key = "key_hashes: [00056d24dfe63022181d672aa99ade3b34af2b7e50d1b15f68de03aab112d1e0]"
	for _, c := range []struct {
		old, new string // the mistake replaces old
		line     int
		message  string
		fault    bool // the text is refused
	}{
		{"path: /orders/ab}", "path: /orders/a}", 15, "POST /orders/a is never matched: * /orders/? comes first", false},
		{"path: /orders/ab}", `path: "/orders/?"}`, 15, "POST /orders/? is never matched", false},
		{"method: POST, path: /orders/ab", "method: get, path: /stock/7/size", 15, "get /stock/7/size is never matched: GET /stock/*/size", false},
		{"path: /orders/ab}", `path: "/orders/a b"}`, 15, "never matched: paths are escaped", false},
		{"path: /orders/ab}", "path: /orders//ab}", 15, "empty or dot segments", false},
		{"path: /orders/ab}", "path: /../ab}", 15, "empty or dot segments", false},
		{"services:", "services:\n  closed: {kind: plain, endpoints: [o1]}", 7, "service closed allows no calls", false},
		{"max_tokens: 1000", "max_tokens: 5000", 7, "max_tokens is larger than that of model puli, 4000", false},
		{"endpoints: [o1]", "endpoints: [o1]\n    max_timeout: 20m", 12, "max_timeout is larger than idempotency_ttl, 10m0s", false},
		{"endpoints: [o1]", "endpoints: [o1]\n    timeout: 20m", 12, "timeout is larger than idempotency_ttl", false},
		{"endpoints: [o1]", "endpoints: [o1]\n    fallbacks: [plain]", 12, "fallback plain has another kind", false},
		{"adapter: letters, ", "", 5, "no service uses it", false},
		{"requests_per_second: 5", "requests_per_second: 0", 19, "workspace desk: requests_per_second: 0 is no limit", false},
		{"requests_per_second: 5", "tokens_per_second: 0.0", 19, "tokens_per_second: 0 is no limit", false},
		{"weight: 2", "weight: 0", 20, "workspace bench: weight: 0 counts as 1", false},
		{"endpoints: [o1]", "endpoints: []", 11, "services.orders: no endpoints", true},
		{"endpoints: [m1]", "endpoints: []", 3, "models.puli: no endpoints", true},
		{"endpoints: [o1]", "endpoints: [o1]\n    timeout: 20s\n    max_timeout: 10s", 12, "timeout is larger than max_timeout", true},
		{"weight: 2", key, 18, "key belongs to workspace bench as well", true},
		{"weight: 2", "weight: -2", 20, "weight must not be negative", true},
		{"weight: 2", "wait: 2", 20, "field wait not found", true},
		{"failure_domains: [a, b]", "failure_domains: [a, b], evacuated: [c]", 1, `evacuated domain "c" is not in failure_domains`, true},
		{"workspaces:", "recalled: [pumi]\nworkspaces:", 16, `recalled name "pumi"`, true},
	} {
		text := strings.Replace(checkedText, c.old, c.new, 1)
		require.NotEqual(t, checkedText, text, c.old)
		report := Validate(1, []byte(text), nil)
		found := report.Findings
		if c.fault {
			require.Nil(t, report.Snapshot)
			found = report.Faults
		}
		require.Len(t, found, 1, "%s: %v %v", c.new, report.Faults, report.Findings)
		require.Contains(t, found[0].Message, c.message)
		require.Equal(t, c.line, found[0].Line, c.new)
	}
	old := Validate(1, []byte(checkedText+"recalled: [letters]\n"), nil)
	require.NotEmpty(t, Validate(2, []byte(checkedText), old.Snapshot.Text).Faults, "the recall is missing")
	for _, file := range []string{"workshop", "timing-centre"} {
		report := Validate(1, readExample(t, file), nil)
		require.Empty(t, append(report.Findings, report.Faults...), file)
	}
}
