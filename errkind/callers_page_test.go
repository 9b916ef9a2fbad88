package errkind_test

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/errkind"
)

var kindRow = regexp.MustCompile("(?m)^\\| `([a-z_]+)` \\| ([0-9]+ \\| `[a-z_]+`) \\| (\\S.*) \\| (\\S.*) \\|$")

// Guards against a callers' documentation page that omits a kind, lists an unknown one, or contradicts the rule of a kind.
func TestCallersPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("../docs/callers.md")
	require.NoError(t, err)
	rows := make(map[errkind.Kind]string)
	for _, match := range kindRow.FindAllStringSubmatch(string(page), -1) {
		kind := errkind.Kind(match[1])
		require.NotContains(t, rows, kind, "listed twice")
		rows[kind] = match[2]
	}
	for _, kind := range errkind.Kinds() {
		rule := errkind.RuleOf(kind)
		require.Equal(t, fmt.Sprintf("%d | `%s`", rule.Status, rule.RunState), rows[kind], "row of %s", kind)
	}
	require.Len(t, rows, len(errkind.Kinds()), "kinds that do not exist")
}
