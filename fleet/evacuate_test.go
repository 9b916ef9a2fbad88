package fleet

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against an edit that loses a comment, another setting or another evacuation, for each way in which a list may be written.
func TestSetEvacuatedChangesOnlyTheList(t *testing.T) {
	const rest = "workspaces: {w: {weight: 2}} # é\n"
	for _, c := range []struct{ before, domain, after string }{ // evacuates the domain, or ends its evacuation if "after" begins with "-"
		{"settings:\n  # domains\n  failure_domains: [a, b]\n", "b", "settings:\n  evacuated: [b]\n  # domains\n  failure_domains: [a, b]\n"},
		{"settings: {failure_domains: [a, b]}\n", "b", "settings: {evacuated: [b], failure_domains: [a, b]}\n"},
		{"settings: {failure_domains: [a, b], evacuated: [a]}\n", "b", "settings: {failure_domains: [a, b], evacuated: [a, b]}\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated: [] # none\n", "a", "settings:\n  failure_domains: [a, b]\n  evacuated: [a] # none\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated: # none\n  blame_ttl: 1m\n", "a", "settings:\n  failure_domains: [a, b]\n  evacuated: [a] # none\n  blame_ttl: 1m\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated: ~ # none\n", "a", "settings:\n  failure_domains: [a, b]\n  evacuated: [a] # none\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated:\n    - a # fire\n", "b", "settings:\n  failure_domains: [a, b]\n  evacuated:\n    - a # fire\n    - b\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated:\n  - a # fire\n  - b\n", "b", "-settings:\n  failure_domains: [a, b]\n  evacuated:\n  - a # fire\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated:\n  - a\n  blame_ttl: 1m\n", "a", "-settings:\n  failure_domains: [a, b]\n  evacuated: []\n  blame_ttl: 1m\n"},
		{"settings:\n  evacuated: [a,\n   b]\n  failure_domains: [a, b]\n", "a", "-settings:\n  evacuated: [b]\n  failure_domains: [a, b]\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated: [a]\n", "b", "-settings:\n  failure_domains: [a, b]\n  evacuated: [a]\n"},
		{"settings:\n  failure_domains: [a, b]\n  evacuated: [a]\n", "a", "settings:\n  failure_domains: [a, b]\n  evacuated: [a]\n"},
	} {
		want, ends := strings.CutPrefix(c.after, "-")
		for _, text := range [][2]string{{c.before + rest, want + rest}, {rest + c.before, rest + want}} {
			got, err := SetEvacuated([]byte(text[0]), c.domain, !ends)
			require.NoError(t, err, c.before)
			require.Equal(t, text[1], string(got))
		}
	}
	atEnd, err := SetEvacuated([]byte("settings:\n  failure_domains: [a, b]\n  evacuated:\n  - a"), "b", true)
	require.NoError(t, err)
	require.Equal(t, "settings:\n  failure_domains: [a, b]\n  evacuated:\n  - a\n  - b\n", string(atEnd))
	for _, text := range []string{"settings: {failure_domains: [a]}\n", "settings: {failure_domains: &d [a, b], evacuated: *d}\n",
		"settings: {failure_domains: [b], evacuated: [c]}\n", "", "settings:\n  failure_domains: [a, b]\n  evacuated: [a, # ] b\n  ]\n"} {
		for _, evacuated := range []bool{true, false} {
			got, err := SetEvacuated([]byte(text), "b", evacuated)
			require.True(t, err != nil || string(got) == text, "%s: %s", text, got)
		}
	}
}
