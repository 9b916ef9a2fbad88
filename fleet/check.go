package fleet

import (
	"fmt"
	"path"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Report is the result of Validate.
type Report struct {
	Snapshot *Snapshot // nil if the text has faults
	Faults   []Fault   // for which the text is refused
	Findings []Fault   // entries that are valid, but without the effect that they seem to have
	Warnings []string  // about what the text does as a whole
}

// Validate checks a text as the successor of old, which may be nil, and gives its snapshot the epoch. Entries accept a text by
// this check, and operators' tools use it before they submit one.
func Validate(epoch int64, raw []byte, old *Text) Report {
	snapshot, faults := NewSnapshot(epoch, raw)
	if len(faults) == 0 {
		faults = CheckRecallChanges(old, snapshot.Text, raw)
	}
	if len(faults) > 0 {
		return Report{Faults: faults}
	}
	return Report{Snapshot: snapshot, Findings: Findings(snapshot), Warnings: Warnings(snapshot)}
}

// Findings returns the entries of an accepted text that can have no effect or that contradict others, in line order.
func Findings(s *Snapshot) []Fault {
	v := &validator{text: s.Text, tree: &yamlTree{raw: s.Raw}}
	usedAdapters := make(map[string]bool)
	for _, name := range sortedKeys(s.Text.Services) {
		service := s.Text.Services[name]
		usedAdapters[service.Adapter] = true
		v.findUnmatchedCalls(name, service)
		v.findContradictions(name, service)
	}
	for _, name := range sortedKeys(s.Text.Adapters) {
		if !usedAdapters[name] {
			v.addFault([]string{"adapters", name}, "adapter %s is loaded, but no service uses it", name)
		}
	}
	v.findZeroLimits()
	slices.SortStableFunc(v.faults, func(a, b Fault) int { return a.Line - b.Line })
	return v.faults
}

// findUnmatchedCalls finds the call rules of a plain service that no request can match.
func (v *validator) findUnmatchedCalls(name string, s *Service) {
	if s.Kind == KindPlain && len(s.Calls) == 0 {
		v.addFault([]string{"services", name}, "service %s allows no calls: every request is refused", name)
	}
	for i, rule := range s.Calls {
		keys := []string{"services", name, "calls", fmt.Sprintf("[%d]", i)}
		if !isRequestPath(rule.Path) {
			v.addFault(keys, "call %s %s is never matched: paths are escaped and have no empty or dot segments", rule.Method, rule.Path)
		}
		if first := slices.IndexFunc(s.Calls[:i], func(earlier CallRule) bool { return earlier.covers(rule) }); first >= 0 {
			v.addFault(keys, "call %s %s is never matched: %s %s comes first", rule.Method, rule.Path, s.Calls[first].Method, s.Calls[first].Path)
		}
	}
}

// findContradictions finds limits of a service that contradict others, and fallbacks that cannot replace it.
func (v *validator) findContradictions(name string, s *Service) {
	keysOf := func(field string) []string { return []string{"services", name, field} }
	if m := v.text.Models[s.Model]; m != nil && m.MaxPromptTokens > 0 && s.MaxAnswerTokens > m.MaxPromptTokens {
		v.addFault(keysOf("max_tokens"), "service %s: max_tokens is larger than that of model %s, %d", name, s.Model, m.MaxPromptTokens)
	}
	recorded := func(rule CallRule) bool { return !rule.Idempotent }
	if ttl := v.text.Settings.IdempotencyTTL; max(s.Timeout, s.MaxTimeout) > ttl && slices.ContainsFunc(s.Calls, recorded) {
		field := "timeout"
		if s.MaxTimeout > ttl {
			field = "max_timeout"
		}
		v.addFault(keysOf(field), "service %s: %s is larger than idempotency_ttl, %s: the record of a running call may expire", name, field, ttl)
	}
	for _, fallback := range s.Fallbacks {
		if other := v.text.Services[fallback]; other.Kind != s.Kind {
			v.addFault(append(keysOf("fallbacks"), fallback), "service %s: fallback %s has another kind and cannot answer its requests", name, fallback)
		}
	}
}

// zeroMeanings has the fields of a workspace in which a written zero does not mean none.
var zeroMeanings = map[string]string{"weight": "counts as 1", "requests_per_second": "is no limit", "tokens_per_second": "is no limit"}

// findZeroLimits finds limits of workspaces that are written as zero. It walks the YAML tree, which is parsed only if the text
// may have one.
func (v *validator) findZeroLimits() {
	var fields []string
	for _, field := range sortedKeys(zeroMeanings) {
		if mayGiveZero(v.tree.raw, field) {
			fields = append(fields, field)
		}
	}
	if len(fields) == 0 {
		return
	}
	_, workspaces := mappingEntry(v.tree.rootNode(), "workspaces")
	for i := 0; workspaces != nil && workspaces.Kind == yaml.MappingNode && i+1 < len(workspaces.Content); i += 2 {
		for _, field := range fields {
			key, value := mappingEntry(workspaces.Content[i+1], field)
			if value == nil {
				continue
			}
			if number, err := strconv.ParseFloat(value.Value, 64); err == nil && number == 0 {
				v.faults = append(v.faults, Fault{Line: key.Line, Message: fmt.Sprintf("workspace %s: %s: 0 %s",
					workspaces.Content[i].Value, field, zeroMeanings[field])})
			}
		}
	}
}

// covers reports whether the rule matches every call that other matches. It may miss patterns with several wildcards in a
// segment, classes or escapes.
func (r CallRule) covers(other CallRule) bool {
	if r.Method != "*" && !strings.EqualFold(r.Method, other.Method) {
		return false
	}
	if r.Path == other.Path {
		return true
	}
	if strings.ContainsAny(r.Path+other.Path, `[\`) {
		return false
	}
	segments, otherSegments := strings.Split(r.Path, "/"), strings.Split(other.Path, "/")
	return slices.EqualFunc(segments, otherSegments, func(pattern, segment string) bool {
		if pattern == "*" || pattern == segment {
			return true
		}
		matched, _ := path.Match(pattern, segment) // the pattern is valid
		return matched && !strings.ContainsAny(segment, "*?")
	})
}

// isRequestPath reports whether a request's path, which is escaped and has no empty or dot segments, can match a pattern.
func isRequestPath(pattern string) bool {
	if strings.ContainsFunc(pattern, func(c rune) bool { return c <= ' ' || c > '~' || strings.ContainsRune("\"#<>`{|}", c) }) {
		return false
	}
	segments := strings.Split(strings.TrimSuffix(strings.TrimPrefix(pattern, "/"), "/"), "/")
	return pattern == "/" || !slices.ContainsFunc(segments, func(s string) bool { return s == "" || s == "." || s == ".." })
}
