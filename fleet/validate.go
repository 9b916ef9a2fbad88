package fleet

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"path"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"
)

// Limits of a text.
const (
	MaxTextBytes   = 8 << 20        // 11,000 workspaces take about 1.5 MB
	MaxTimeout     = 24 * time.Hour // of one request
	MaxWeight      = 1000.0
	maxNameLength  = 128
	maxListEntries = 1000 // of a list of services, such as depends_on
)

var validNamePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var validMethods = []string{"*", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions}

// validator collects the faults of a text.
type validator struct {
	text   *Text
	tree   *yamlTree
	faults []Fault
}

// yamlTree is the tree of YAML nodes of a text, from which faults get their lines. It is parsed on first use, because that
// takes as long as decoding the text and a valid text has no faults.
type yamlTree struct {
	raw       []byte
	parseOnce sync.Once
	root      *yaml.Node
}

// rootNode returns the root of the tree, or nil if the text does not parse.
func (t *yamlTree) rootNode() *yaml.Node {
	t.parseOnce.Do(func() {
		doc := new(yaml.Node)
		if err := yaml.Unmarshal(t.raw, doc); err == nil && len(doc.Content) > 0 {
			t.root = doc.Content[0]
		}
	})
	return t.root
}

// validate returns all faults of a decoded text in line order.
func validate(text *Text, tree *yamlTree) []Fault {
	v := &validator{text: text, tree: tree}
	v.checkSettings()
	for _, name := range sortedKeys(text.Models) {
		v.checkModel(name, text.Models[name])
	}
	for _, name := range sortedKeys(text.Adapters) {
		v.checkAdapter(name, text.Adapters[name])
	}
	for _, name := range sortedKeys(text.Batches) {
		v.checkName(name, "batches", name)
		v.checkPresent(text.Batches[name] != nil, "batches", name)
	}
	for _, name := range sortedKeys(text.Services) {
		v.checkService(name, text.Services[name])
	}
	v.checkCycles("depends_on", func(s *Service) []string { return s.DependsOn })
	v.checkCycles("fallbacks", func(s *Service) []string { return s.Fallbacks })
	v.checkEndpointKinds()
	v.checkWorkspaces()
	v.checkRecalls()
	slices.SortStableFunc(v.faults, func(a, b Fault) int { return a.Line - b.Line })
	return v.faults
}

// addFault adds a fault at a path of mapping keys and list elements.
func (v *validator) addFault(keys []string, format string, args ...any) {
	v.faults = append(v.faults, Fault{Line: v.lineOf(keys...), Message: fmt.Sprintf(format, args...)})
}

// lineOf returns the line of the node at a path of mapping keys and list elements, or of its closest parent in the text.
func (v *validator) lineOf(keys ...string) int {
	node := v.tree.rootNode()
	line := 0
	for _, key := range keys {
		next, nextLine := childNode(node, key)
		if next == nil {
			break
		}
		node, line = next, nextLine
	}
	return line
}

// childNode returns the value of a mapping key, or the list element with that value or index, and its line. The index is
// written as [0].
func childNode(node *yaml.Node, key string) (*yaml.Node, int) {
	if node == nil {
		return nil, 0
	}
	if node.Kind == yaml.AliasNode {
		node = node.Alias
	}
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == key {
				return node.Content[i+1], node.Content[i].Line
			}
		}
	case yaml.SequenceNode:
		for i, item := range node.Content {
			if item.Value == key || fmt.Sprintf("[%d]", i) == key {
				return item, item.Line
			}
		}
	}
	return nil, 0
}

func (v *validator) checkName(name string, keys ...string) {
	if len(name) > maxNameLength || !validNamePattern.MatchString(name) {
		v.addFault(keys, "invalid name %q: use letters, digits, '.', '_' and '-', at most %d", name, maxNameLength)
	}
}

// checkPresent adds a fault if an item has no content, and returns ok.
func (v *validator) checkPresent(ok bool, keys ...string) bool {
	if !ok {
		v.addFault(keys, "%s is empty", strings.Join(keys, "."))
	}
	return ok
}

func (v *validator) checkOneOf(value string, allowed []string, keys ...string) {
	if !slices.Contains(allowed, value) {
		v.addFault(keys, "unknown %s %q: use %s", keys[len(keys)-1], value, strings.Join(allowed, ", "))
	}
}

// checkDuration checks an optional duration. Zero means the default, but must not be written in the text.
func (v *validator) checkDuration(value, limit time.Duration, keys ...string) {
	if value < 0 || (value == 0 && v.isWritten(keys...)) {
		v.addFault(keys, "%s must be positive", keys[len(keys)-1])
	}
	if value > limit {
		v.addFault(keys, "%s is over the limit of %s", keys[len(keys)-1], limit)
	}
}

// isWritten reports whether the text contains a value, decoded as zero, at a path of keys.
func (v *validator) isWritten(keys ...string) bool {
	if key := keys[len(keys)-1]; !mayGiveZero(v.tree.raw, key) {
		return false
	}
	node := v.tree.rootNode()
	for _, key := range keys {
		if node, _ = childNode(node, key); node == nil {
			return false
		}
	}
	return true
}

// mayGiveZero reports whether the text may give key a zero, as any value that does not start with a digit from 1 to 9 may
// be. If it does not, the tree need not be parsed. Escapes and UTF-16 can hide a key, so that texts with them may give one.
func mayGiveZero(raw []byte, key string) bool {
	if bytes.IndexByte(raw, '\\') >= 0 || bytes.IndexByte(raw, 0) >= 0 {
		return true
	}
	for remaining := raw; ; {
		_, after, found := bytes.Cut(remaining, []byte(key))
		if !found {
			return false
		}
		value := bytes.TrimLeft(after, "\"': \t")
		if len(value) == 0 || value[0] < '1' || value[0] > '9' {
			return true
		}
		remaining = after
	}
}

func (v *validator) checkNonNegative(value float64, keys ...string) {
	if value < 0 || math.IsNaN(value) || math.IsInf(value, 0) {
		v.addFault(keys, "%s must not be negative", keys[len(keys)-1])
	}
}

func (v *validator) checkSettings() {
	s := v.text.Settings
	v.checkUnique(s.FailureDomains, "settings", "failure_domains")
	for _, domain := range s.FailureDomains {
		v.checkName(domain, "settings", "failure_domains", domain)
	}
	v.checkEvacuated(s)
	const maxFreshnessBound = time.Minute
	v.checkDuration(s.FreshnessBound, maxFreshnessBound, "settings", "freshness_bound")
	v.checkDuration(s.IdempotencyTTL, math.MaxInt64, "settings", "idempotency_ttl")
	v.checkDuration(s.BlameTTL, math.MaxInt64, "settings", "blame_ttl")
	v.checkNonNegative(float64(s.MaxBodyBytes), "settings", "max_body_bytes")
	v.checkNonNegative(float64(s.RolloutBatchSize), "settings", "rollout_step")
	if s.RecallStreams != "" {
		v.checkOneOf(s.RecallStreams, []string{RecallStreamsFinish, RecallStreamsCut}, "settings", "recall_streams")
	}
}

// checkEvacuated adds a fault for each evacuated domain that is unknown or listed before. The fault has the line of the list
// element itself, which is found by its index because the same name may be in the list twice.
func (v *validator) checkEvacuated(s Settings) {
	for i, domain := range s.Evacuated {
		keys := []string{"settings", "evacuated", fmt.Sprintf("[%d]", i)}
		if !slices.Contains(s.FailureDomains, domain) {
			v.addFault(keys, "evacuated domain %q is not in failure_domains", domain)
		}
		if slices.Contains(s.Evacuated[:i], domain) {
			v.addFault(keys, "%q is listed twice", domain)
		}
	}
}

func (v *validator) checkModel(name string, m *Model) {
	v.checkName(name, "models", name)
	if !v.checkPresent(m != nil, "models", name) {
		return
	}
	v.checkVersion(m.Version, "models", name)
	v.checkBatch(m.Batch, "models", name, "batch")
	v.checkEndpoints(m.Endpoints, "models", name, "endpoints")
	v.checkNonNegative(float64(m.MaxPromptTokens), "models", name, "max_tokens")
	v.checkNonNegative(float64(m.PrefillTokensPerSecond), "models", name, "prefill_rate")
}

func (v *validator) checkAdapter(name string, a *Adapter) {
	v.checkName(name, "adapters", name)
	if !v.checkPresent(a != nil, "adapters", name) {
		return
	}
	v.checkVersion(a.Version, "adapters", name)
	v.checkBatch(a.Batch, "adapters", name, "batch")
	if v.text.Models[a.Model] == nil {
		v.addFault([]string{"adapters", name, "model"}, "adapter %s: unknown model %q", name, a.Model)
	}
}

func (v *validator) checkVersion(version string, keys ...string) {
	if version == "" {
		v.addFault(keys, "%s has no version", strings.Join(keys, "."))
	}
	if strings.Contains(version, "@") {
		v.addFault(append(keys, "version"), "version %q must not contain '@'", version)
	}
}

func (v *validator) checkBatch(batch string, keys ...string) {
	if batch != "" && v.text.Batches[batch] == nil {
		v.addFault(keys, "unknown batch %q", batch)
	}
}

func (v *validator) checkEndpoints(patterns []string, keys ...string) {
	names, err := ExpandNames(patterns)
	if err != nil {
		v.addFault(keys, "%s", err)
		return
	}
	if len(names) == 0 {
		v.addFault(keys, "%s: no endpoints", strings.Join(keys[:2], "."))
	}
	v.checkUnique(names, keys...)
	for _, n := range names {
		if !validNamePattern.MatchString(n) {
			v.addFault(keys, "invalid endpoint name %q", n)
		}
	}
}

func (v *validator) checkUnique(names []string, keys ...string) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if seen[n] {
			v.addFault(append(keys, n), "%q is listed twice", n)
		}
		seen[n] = true
	}
}

func (v *validator) checkService(name string, s *Service) {
	v.checkName(name, "services", name)
	if !v.checkPresent(s != nil, "services", name) {
		return
	}
	keysOf := func(field string) []string { return []string{"services", name, field} }
	v.checkOneOf(s.Kind, []string{KindModel, KindPlain}, keysOf("kind")...)
	if s.Class != "" {
		v.checkOneOf(string(s.Class), []string{string(ClassUrgent), string(ClassInteractive), string(ClassBulk)}, keysOf("class")...)
	}
	if s.Favor != "" {
		v.checkOneOf(s.Favor, []string{FavorSlowdown, FavorFirstToken}, keysOf("favor")...)
	}
	if s.WhenIsolated != "" {
		v.checkOneOf(s.WhenIsolated, []string{WhenIsolatedRefuse, WhenIsolatedServe}, keysOf("when_isolated")...)
	}
	v.checkDuration(s.Timeout, MaxTimeout, keysOf("timeout")...)
	v.checkDuration(s.MaxTimeout, MaxTimeout, keysOf("max_timeout")...)
	if s.MaxTimeout > 0 && s.Timeout > s.MaxTimeout {
		v.addFault(keysOf("timeout"), "service %s: timeout is larger than max_timeout", name)
	}
	v.checkNonNegative(float64(s.MaxAnswerTokens), keysOf("max_tokens")...)
	v.checkReferences(name, s.DependsOn, keysOf("depends_on"))
	v.checkReferences(name, s.Fallbacks, keysOf("fallbacks"))
	if s.Kind == KindPlain {
		v.checkPlainService(name, s)
	} else {
		v.checkModelService(name, s)
	}
}

func (v *validator) checkReferences(name string, refs []string, keys []string) {
	v.checkUnique(refs, keys...)
	if len(refs) > maxListEntries {
		v.addFault(keys, "%s has more than %d entries", keys[len(keys)-1], maxListEntries)
	}
	for _, ref := range refs {
		if v.text.Services[ref] == nil {
			v.addFault(append(slices.Clone(keys), ref), "service %s: unknown service %q in %s", name, ref, keys[len(keys)-1])
		}
	}
}

func (v *validator) checkModelService(name string, s *Service) {
	if v.text.Models[s.Model] == nil {
		v.addFault([]string{"services", name, "model"}, "service %s: unknown model %q", name, s.Model)
	}
	if s.Adapter != "" {
		a := v.text.Adapters[s.Adapter]
		if a == nil {
			v.addFault([]string{"services", name, "adapter"}, "service %s: unknown adapter %q", name, s.Adapter)
		} else if a.Model != s.Model {
			v.addFault([]string{"services", name, "adapter"}, "service %s: adapter %s is for model %s", name, s.Adapter, a.Model)
		}
	}
	if len(s.Endpoints) > 0 || len(s.Calls) > 0 {
		v.addFault([]string{"services", name}, "service %s: endpoints and calls belong to kind plain", name)
	}
}

func (v *validator) checkPlainService(name string, s *Service) {
	v.checkEndpoints(s.Endpoints, "services", name, "endpoints")
	if s.Model != "" || s.Adapter != "" {
		v.addFault([]string{"services", name}, "service %s: model and adapter belong to kind model", name)
	}
	for i, rule := range s.Calls {
		v.checkCallRule(rule, "services", name, "calls", fmt.Sprintf("[%d]", i))
	}
}

func (v *validator) checkCallRule(rule CallRule, keys ...string) {
	if !slices.Contains(validMethods, strings.ToUpper(rule.Method)) {
		v.addFault(append(slices.Clone(keys), "method"), "unknown method %q", rule.Method)
	}
	if _, err := path.Match(rule.Path, "/"); err != nil || !strings.HasPrefix(rule.Path, "/") {
		v.addFault(append(slices.Clone(keys), "path"), "invalid path pattern %q", rule.Path)
	}
	if rule.WithoutKey != "" {
		v.checkOneOf(rule.WithoutKey, []string{WithoutKeyRefuse, WithoutKeySingleAttempt}, append(slices.Clone(keys), "without_key")...)
	}
}

// checkCycles adds a fault for each service that a depth-first search along one kind of edge reaches again from itself.
func (v *validator) checkCycles(field string, edges func(*Service) []string) {
	const visiting, done = 1, 2
	state := make(map[string]int, len(v.text.Services))
	var visit func(name string, ancestors []string)
	visit = func(name string, ancestors []string) {
		s := v.text.Services[name]
		if s == nil || state[name] == done {
			return
		}
		if state[name] == visiting {
			cycle := append(slices.Clone(ancestors[slices.Index(ancestors, name):]), name)
			v.addFault([]string{"services", name, field}, "cycle in %s: %s", field, strings.Join(cycle, " -> "))
			return
		}
		state[name] = visiting
		for _, next := range edges(s) {
			visit(next, append(slices.Clone(ancestors), name))
		}
		state[name] = done
	}
	for _, name := range sortedKeys(v.text.Services) {
		visit(name, nil)
	}
}

// checkEndpointKinds adds a fault for each endpoint that is listed for a model and for a plain service, because an endpoint
// has one agent of one kind.
func (v *validator) checkEndpointKinds() {
	modelOf := make(map[string]string)
	for _, name := range sortedKeys(v.text.Models) {
		if m := v.text.Models[name]; m != nil {
			names, _ := ExpandNames(m.Endpoints) // faults of patterns are reported for the model
			for _, n := range names {
				modelOf[n] = name
			}
		}
	}
	for _, name := range sortedKeys(v.text.Services) {
		s := v.text.Services[name]
		if s == nil || s.Kind != KindPlain {
			continue
		}
		names, _ := ExpandNames(s.Endpoints) // faults of patterns are reported for the service
		for _, n := range names {
			if model, ok := modelOf[n]; ok {
				v.addFault([]string{"services", name, "endpoints"}, "endpoint %s belongs to model %s", n, model)
			}
		}
	}
}

var validHashPattern = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

func (v *validator) checkWorkspaces() {
	owners := make(map[string]string)
	for _, name := range sortedKeys(v.text.Workspaces) {
		w := v.text.Workspaces[name]
		v.checkName(name, "workspaces", name)
		if !v.checkPresent(w != nil, "workspaces", name) {
			continue
		}
		v.checkNonNegative(w.Weight, "workspaces", name, "weight")
		if w.Weight > MaxWeight {
			v.addFault([]string{"workspaces", name, "weight"}, "weight is over the limit of %g", MaxWeight)
		}
		v.checkNonNegative(w.RequestsPerSecond, "workspaces", name, "requests_per_second")
		v.checkNonNegative(w.TokensPerSecond, "workspaces", name, "tokens_per_second")
		for _, h := range w.KeyHashes {
			v.checkKeyHash(owners, name, h)
		}
		for _, s := range w.Services {
			if v.text.Services[s] == nil && v.text.Models[s] == nil {
				v.addFault([]string{"workspaces", name, "services", s}, "workspace %s: unknown service %q", name, s)
			}
		}
	}
}

func (v *validator) checkKeyHash(owners map[string]string, workspace, hash string) {
	keys := []string{"workspaces", workspace, "key_hashes", hash}
	if !validHashPattern.MatchString(hash) {
		v.addFault(keys, "workspace %s: key_hashes must be hex SHA-256", workspace)
		return
	}
	hash = strings.ToLower(hash)
	if owner, known := owners[hash]; known {
		v.addFault(keys, "workspace %s: key belongs to workspace %s as well", workspace, owner)
	}
	owners[hash] = workspace
}

func (v *validator) checkRecalls() {
	v.checkUnique(v.text.Recalled, "recalled")
	v.checkUnique(v.text.Reinstated, "reinstated")
	for _, name := range v.text.Recalled {
		if name == "" {
			v.addFault([]string{"recalled"}, "empty name in recalled")
		}
		if slices.Contains(v.text.Reinstated, name) {
			v.addFault([]string{"recalled", name}, "%q is recalled and reinstated in one text", name)
		}
	}
}

// CheckRecallChanges returns the faults in the recalls of next as the successor of old: a recall that is missing without
// being listed under reinstated, and a new recall of a name that next does not define. raw is the source of next; old may
// be nil.
func CheckRecallChanges(old, next *Text, raw []byte) []Fault {
	v := &validator{text: next, tree: &yamlTree{raw: raw}}
	var oldRecalls []string
	if old != nil {
		oldRecalls = old.Recalled
	}
	for _, name := range oldRecalls {
		if !slices.Contains(next.Recalled, name) && !slices.Contains(next.Reinstated, name) {
			v.addFault([]string{"recalled"}, "recall of %q is missing: a recall stays until its name is listed under reinstated", name)
		}
	}
	for _, name := range next.Recalled {
		if !slices.Contains(oldRecalls, name) && !next.defines(name) {
			v.addFault([]string{"recalled", name}, "recalled name %q is no batch, model, adapter or version", name)
		}
	}
	return v.faults
}

// defines reports whether the text defines name, which may be a batch, a model, an adapter or, for any version, the
// name@version of a model or adapter.
func (t *Text) defines(name string) bool {
	base, version, hasVersion := strings.Cut(name, "@")
	if hasVersion {
		return version != "" && (t.Models[base] != nil || t.Adapters[base] != nil)
	}
	return t.Batches[name] != nil || t.Models[name] != nil || t.Adapters[name] != nil
}

// Warnings returns warnings about an accepted text: services and models that cannot answer because of recalls, recalls of
// names that the text does not define, missing failure domains, and the evacuation of all of them.
func Warnings(s *Snapshot) []string {
	var warnings []string
	if len(s.Text.Settings.FailureDomains) == 0 {
		warnings = append(warnings, "settings.failure_domains is empty: while the table is down, nodes refuse new answers")
	} else if len(s.Text.Settings.Evacuated) == len(s.Text.Settings.FailureDomains) {
		warnings = append(warnings, "settings.evacuated lists all failure domains: every request is refused")
	}
	for _, name := range sortedKeys(s.Text.Services) {
		if _, err := s.Resolve(name); err != nil {
			warnings = append(warnings, fmt.Sprintf("service %s has no supplier: %s", name, err))
		}
	}
	for _, name := range sortedKeys(s.Text.Models) {
		if item, recalled := s.Recalled(s.version(name, "")); recalled {
			warnings = append(warnings, fmt.Sprintf("model %s is not served: %s is recalled", name, item))
		}
	}
	for _, name := range s.Text.Recalled {
		if !s.Text.defines(name) {
			warnings = append(warnings, fmt.Sprintf("recalled name %s is no longer in the text", name))
		}
	}
	return warnings
}
