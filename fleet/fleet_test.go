package fleet

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrylink/bilberrylink/errkind"
)

const smallText = `settings:
  failure_domains: [a, b, c]
models:
  puli: {version: "3", batch: spring, endpoints: ["model-{01..02}"]}
adapters:
  letters: {model: puli, version: "7"}
batches:
  spring: {supplier: s}
services:
  replies: {kind: model, class: interactive, model: puli, adapter: letters, fallbacks: [plain]}
  plain: {kind: model, class: interactive, model: puli}
  orders:
    kind: plain
    class: urgent
    endpoints: ["order-{01..02}"]
    calls:
      - {method: GET, path: /stock/*, idempotent: true}
recalled: []
`

// Guards against examples that are not valid, or whose sizes differ from the deployments that they stand for.
func TestExamplesAreValid(t *testing.T) {
	for file, want := range map[string]struct{ engines, plain int }{"workshop": {24, 3}, "timing-centre": {15, 3}} {
		raw := readExample(t, file)
		s, faults := NewSnapshot(1, raw)
		require.Empty(t, faults)
		require.Empty(t, CheckRecallChanges(nil, s.Text, raw))
		require.Empty(t, Warnings(s))
		require.Len(t, s.assignedVersions, want.engines)
		require.Len(t, s.plainServices, want.plain)
		require.Len(t, s.Text.Workspaces, 10)
		for name := range s.Text.Workspaces {
			owner, _, ok := s.WorkspaceByKey(name + "-key")
			require.True(t, ok, name)
			require.Equal(t, name, owner)
		}
	}
}

func readExample(t *testing.T, name string) []byte {
	raw, err := os.ReadFile("../examples/" + name + ".yaml")
	require.NoError(t, err)
	return raw
}

// Guards against a fault that is accepted, or that is reported with a wrong line.
func TestFaultsNameTheirLine(t *testing.T) {
	for _, c := range []struct{ old, new, message, marker string }{
		{"kind: plain", "kind: odd", "unknown kind", "kind: odd"},
		{"class: urgent", "class: fast", "unknown class", "class: fast"},
		{"class: urgent", "clas: urgent", "field clas not found", "clas: urgent"},
		{"class: urgent", "timeout: -1s", "timeout must be positive", "timeout: -1s"},
		{"class: urgent", "timeout: 0s", "timeout must be positive", "timeout: 0s"},
		{"class: urgent", "timeout: 48h", "over the limit", "timeout: 48h"},
		{"class: urgent", "depends_on: [none]", `unknown service "none"`, "depends_on: [none]"},
		{"fallbacks: [plain]", "fallbacks: [replies]", "cycle in fallbacks: replies -> replies", "fallbacks: [replies]"},
		{"class: urgent", "depends_on: [orders]", "cycle in depends_on", "depends_on: [orders]"},
		{"path: /stock/*", `path: "/stock/["`, "invalid path pattern", `path: "/stock/["`},
		{"method: GET", "method: FETCH", "unknown method", "FETCH"},
		{"order-{01..02}", "order-{02..01}", "invalid range", "order-{02..01}"},
		{"order-{01..02}", "model-{01..02}", "belongs to model puli", `endpoints: ["model-{01..02}"]` + "\n    calls"},
		{"batch: spring", "batch: autumn", `unknown batch "autumn"`, "batch: autumn"},
		{"{model: puli, version", "{model: pumi, version", `unknown model "pumi"`, "pumi"},
		{"[a, b, c]", "[a, b, a]", "listed twice", "[a, b, a]"},
		{"[a, b, c]", "[a, b]\n  evacuated: [c]", `evacuated domain "c" is not in failure_domains`, "evacuated"},
		{"[a, b, c]", "[a, b]\n  evacuated:\n    - a\n    - b # again\n    - a # twice", `"a" is listed twice`, "- a # twice"},
	} {
		text := strings.Replace(smallText, c.old, c.new, 1)
		require.NotEqual(t, smallText, text, c.old)
		_, faults := Parse([]byte(text))
		require.NotEmpty(t, faults, c.new)
		line := 1 + strings.Count(text[:strings.Index(text, c.marker)], "\n")
		require.Condition(t, func() bool {
			for _, f := range faults {
				if f.Line == line && strings.Contains(f.Message, c.message) {
					return true
				}
			}
			return false
		}, "%s: want line %d, got %v", c.message, line, faults)
	}
}

// Guards against a recall that a later text drops by mistake, and against a recall of a misspelt name.
func TestRecallStaysUntilReinstated(t *testing.T) {
	parse := func(lists string) (*Text, []byte) {
		raw := []byte(strings.Replace(smallText, "recalled: []\n", lists, 1))
		text, faults := Parse(raw)
		require.Empty(t, faults)
		return text, raw
	}
	old, _ := parse("recalled: [spring, letters@7]\n")
	for lists, want := range map[string]int{
		"recalled: [spring, letters@7]\n":                0,
		"recalled: [spring]\n":                           1,
		"recalled: []\n":                                 2,
		"recalled: [spring]\nreinstated: [letters@7]\n":  0,
		"recalled: [spring, letters@7, sprint]\n":        1,
		"recalled: [spring, letters@7, puli@3]\n":        0,
		"recalled: [spring, letters@7, unknown@3]\n":     1,
		"reinstated: [spring, letters@7]\n":              0,
		"recalled: [letters@7, puli]\nreinstated: [a]\n": 1,
	} {
		next, raw := parse(lists)
		require.Len(t, CheckRecallChanges(old, next, raw), want, lists)
	}
}

// Guards against a recall that covers a wrong version, and against a service that cannot answer without a warning.
func TestWarningsNameServicesWithoutSupplier(t *testing.T) {
	for item, want := range map[string]int{"letters@7": 0, "letters@6": 0, "puli@3": 3, "spring": 3, "letters": 0} {
		s, faults := NewSnapshot(1, []byte(strings.Replace(smallText, "recalled: []", "recalled: ["+item+"]", 1)))
		require.Empty(t, faults)
		require.Len(t, Warnings(s), want, "%s: %v", item, Warnings(s))
	}
}

// Guards against an evacuation of the whole fleet that nobody is told of, and against one that reaches another domain.
func TestEvacuatedDomains(t *testing.T) {
	for list, warnings := range map[string]int{"[]": 0, "[a]": 0, "[c, a]": 0, "[c, a, b]": 1} {
		s, faults := NewSnapshot(1, []byte(strings.Replace(smallText, "[a, b, c]", "[a, b, c]\n  evacuated: "+list, 1)))
		require.Empty(t, faults)
		require.Len(t, Warnings(s), warnings, list)
		for _, domain := range []string{"a", "b", "c", ""} {
			require.Equal(t, domain != "" && strings.Contains(list, domain), s.Evacuated(domain), "%s %q", list, domain)
		}
	}
}

// Guards against a recall that does not follow dependencies and fallbacks, and against exponential work for texts with many
// of them.
func TestRecallFollowsDependenciesAndFallbacks(t *testing.T) {
	text := "models:\n  m: {version: \"1\", endpoints: [e]}\n  r: {version: \"1\", endpoints: [f]}\nservices:\n" +
		"  reserve: {kind: model, model: r}\n  base: {kind: model, model: m, fallbacks: [mixed]}\n" +
		"  mixed: {kind: model, model: r, depends_on: [base]}\n  saved: {kind: model, model: m, fallbacks: [base, reserve]}\n" +
		"  user: {kind: model, model: r, depends_on: [saved]}\n"
	const layers = 200
	var names []string
	for i := range layers {
		names = append(names, fmt.Sprintf("s%03d", i))
		text += fmt.Sprintf("  s%03d: {kind: model, model: r, depends_on: [%s]}\n", i, strings.Join(append([]string{"base"}, names[:i]...), ", "))
	}
	s, faults := NewSnapshot(1, []byte(text+"recalled: [m]\n"))
	require.Empty(t, faults)
	for name, want := range map[string]string{"reserve": "reserve", "saved": "reserve", "user": "user", "base": "", "mixed": "", "s199": ""} {
		target, err := s.Resolve(name)
		require.Equal(t, want, target.Service, name)
		require.Equal(t, want == "", errkind.Is(err, errkind.DependencyRecalled), name)
	}
	require.Equal(t, layers+4, len(Warnings(s)), "the layers, base, mixed, the model and the missing domains")
}

// Guards against changes that operators do not see in a diff.
func TestDiffShowsChanges(t *testing.T) {
	old, _ := Parse([]byte(smallText))
	next, faults := Parse([]byte(strings.NewReplacer("recalled: []", "recalled: [spring]", `version: "7"`, `version: "8"`,
		"  spring: {supplier: s}", "  spring: {note: n}").Replace(smallText)))
	require.Empty(t, faults)
	require.Equal(t, []string{"~ adapters.letters.version: 7 -> 8", "+ batches.spring.note: n", "- batches.spring.supplier: s",
		"+ recalled.spring: listed"}, Diff(old, next))
	require.Empty(t, Diff(next, next))
}

// Guards against a patch that gives another text than the one it was made for.
func TestPatchGivesNextText(t *testing.T) {
	line := rapid.SampledFrom([]string{"", "a\n", "b\n", "c", "\n", "=3\n", "d\r\n"})
	rapid.Check(t, func(t *rapid.T) {
		base := strings.Join(rapid.SliceOfN(line, 0, 30).Draw(t, "base"), "")
		next := strings.Join(rapid.SliceOfN(line, 0, 30).Draw(t, "next"), "")
		got, err := ApplyPatch([]byte(base), MakePatch([]byte(base), []byte(next)))
		require.NoError(t, err)
		require.Equal(t, next, string(got))
		if base != next {
			_, err = ApplyPatch([]byte(next), MakePatch([]byte(base), []byte(next)))
			require.ErrorIs(t, err, ErrPatchBaseMismatch)
		}
	})
}

// Guards against a patch that is much larger than the change: one inserted line must not cost the whole text.
func TestPatchIsSmall(t *testing.T) {
	var text strings.Builder
	for range 11000 {
		text.WriteString("  weight: 1\n  requests_per_second: 5\n")
	}
	base := text.String()
	next := base[:len(base)/2] + "changed\n" + base[len(base)/2:]
	require.Less(t, len(MakePatch([]byte(base), []byte(next))), 400)
}

// maxParseTime bounds the time to parse a text of 10,000 bytes. It is generous, because the fuzzer loads every processor.
const maxParseTime = 3 * time.Second

// Guards against texts that cause a panic, an inconsistent snapshot or excessive work.
func FuzzParse(f *testing.F) {
	f.Add([]byte(smallText))
	f.Add([]byte("services: {a: {kind: plain, endpoints: [\"x-{1..99999999999}\"]}}"))
	f.Add([]byte("a: &a [*a]"))
	f.Add([]byte("settings:\n  failure_domains: [a, b]\n  evacuated:\n  - a"))
	f.Add([]byte("settings: {failure_domains: [a], evacuated: [a]}"))
	f.Add([]byte("services: {a: }"))
	f.Fuzz(func(t *testing.T, data []byte) {
		start := time.Now()
		defer func() {
			if took := time.Since(start); took > maxParseTime && len(data) < 10000 {
				t.Fatalf("%d bytes took %s", len(data), took)
			}
		}()
		s, faults := NewSnapshot(1, data)
		if (s == nil) == (len(faults) == 0) {
			t.Fatalf("snapshot %v with faults %v", s, faults)
		}
		if s != nil {
			Warnings(s)
			Findings(s)
			CheckRecallChanges(nil, s.Text, data)
			for _, domain := range s.Text.Settings.FailureDomains[:min(1, len(s.Text.Settings.FailureDomains))] {
				for _, evacuated := range []bool{true, false} {
					next, err := SetEvacuated(data, domain, evacuated)
					if _, faults := Parse(next); err == nil && len(faults) > 0 {
						t.Fatalf("evacuation of %q makes the text invalid: %v", domain, faults)
					}
				}
			}
			if d := Diff(s.Text, s.Text); len(d) > 0 {
				t.Fatalf("difference to itself: %v", d)
			}
		}
	})
}

// Guards against corrupt patches that cause a panic or give a text that they do not name.
func FuzzApplyPatch(f *testing.F) {
	f.Add([]byte("a\nb\n"), MakePatch([]byte("a\nb\n"), []byte("a\nc\n")))
	f.Fuzz(func(t *testing.T, base, patch []byte) {
		next, err := ApplyPatch(base, patch)
		if err == nil && !strings.Contains(string(patch), Hash(next)) {
			t.Fatal("a text that the patch does not name")
		}
	})
}

// Guards against a zero duration that is accepted because of the way in which it is written. The tree, which tells a zero
// from a missing value, is parsed only if the text may contain one.
func TestZeroDurationIsFoundHoweverItIsWritten(t *testing.T) {
	const service = "services:\n  stock:\n    kind: plain\n    endpoints: [stock-1]\n    "
	for _, line := range []string{"timeout: 0s", "\"timeout\": 0s", "'timeout' : \"0s\"", "\"time\\x6fut\": 0s", "? timeout\n    : 0s",
		"timeout:   0s\n    max_timeout: 5s", "max_timeout: 5s\n    timeout: 0s", "timeout: -0s"} {
		_, faults := Parse([]byte(service + line + "\n"))
		require.Len(t, faults, 1, line)
		require.Contains(t, faults[0].Message, "timeout must be positive", line)
	}
	_, faults := Parse([]byte(service + "timeout: 5s\n"))
	require.Empty(t, faults)
}

// Guards against workspaces, which have their own decoder, that are decoded less strictly than the rest of the text.
func TestWorkspacesAreDecodedStrictly(t *testing.T) {
	for text, want := range map[string]string{
		"workspaces:\n  a: {weight: 1}\n  a: {weight: 2}\n":                      "line 3: mapping key \"a\" already defined at line 2",
		"workspaces:\n  a: {weigth: 1}\n":                                        "line 2: field weigth not found in type fleet.Workspace",
		"workspaces:\n  a: {weight: 1, weight: 2}\n":                             "line 2: mapping key \"weight\" already defined at line 2",
		"workspaces:\n  a: {weight: heavy}\n":                                    "line 2: cannot unmarshal !!str `heavy` into float64",
		"workspaces:\n  a: {<<: {weigth: 1}}\n":                                  "line 2: field weigth not found in type fleet.Workspace",
		"workspaces:\n  a: [1]\n":                                                "line 2: cannot unmarshal !!seq into fleet.Workspace",
		"workspaces: [a]\n":                                                      "line 1: cannot unmarshal !!seq into fleet.plain",
		"workspaces:\n  a: &d {weight: 2}\n  b:\n    <<: *d\n    service: [x]\n": "line 5: field service not found in type fleet.Workspace",
	} {
		_, faults := Parse([]byte(text))
		require.Len(t, faults, 1, text)
		require.Equal(t, want, faults[0].String(), text)
	}
	_, faults := Parse([]byte("workspaces:\n  a: {weigth: 1}\n  b: {weight: x}\n  c: {serv: []}\n"))
	require.Len(t, faults, 3, "every fault is reported, not only the first")
	got, faults := Parse([]byte("workspaces:\n  a: &d {weight: 2}\n  b:\n    <<: *d\n    requests_per_second: 3\n"))
	require.Empty(t, faults)
	require.Equal(t, &Workspace{Weight: 2, RequestsPerSecond: 3}, got.Workspaces["b"])
}

// Guards against a recall that is matched with the version in the text instead of the running one: a text that recalls
// adapter@version and sets the next version in the same change must stop exactly the old version.
func TestRecallOfAReplacedVersion(t *testing.T) {
	const text = `
models: {m: {version: "1", batch: b1, endpoints: [e1]}}
adapters: {a: {model: m, version: "VERSION", batch: bVERSION}}
batches: {b1: {supplier: s}, b7: {supplier: s}, b8: {supplier: s}}
`
	at := func(epoch int64, version, recalled string) *Snapshot {
		s, faults := NewSnapshot(epoch, []byte(strings.ReplaceAll(text, "VERSION", version)+"recalled: ["+recalled+"]\n"))
		require.Empty(t, faults)
		return s
	}
	v7, v8 := at(1, "7", "").version("m", "a"), at(1, "8", "").version("m", "a")
	require.NotEqual(t, v7.WeightName(), v8.WeightName())
	for _, name := range []string{"a@7", "b7"} {
		s := at(2, "8", name)
		item, recalled := s.Recalled(v7)
		require.True(t, recalled)
		require.Equal(t, name, item)
		_, recalled = s.Recalled(v8)
		require.False(t, recalled)
		require.Contains(t, s.AssignedVersions("e1"), v8)
		require.NotContains(t, at(3, "7", name).AssignedVersions("e1"), v7)
	}
}
