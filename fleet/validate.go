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
	maxListEntries = 1000 // of one list of names, such as depends_on
)

var validName = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

var validMethods = []string{"*", http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch,
	http.MethodDelete, http.MethodOptions}

// validator collects the faults of one text.
type validator struct {
	text   *Text
	tree   *tree
	faults []Fault
}

// tree is the YAML tree of a text. It is parsed when a fault needs a line: the tree of a valid text would take as much
// time as decoding it.
type tree struct {
	raw  []byte
	once sync.Once
	root *yaml.Node
}

// node returns the root of the tree, or nil if the text does not parse.
func (t *tree) node() *yaml.Node {
	t.once.Do(func() {
		doc := new(yaml.Node)
		if err := yaml.Unmarshal(t.raw, doc); err == nil && len(doc.Content) > 0 {
			t.root = doc.Content[0]
		}
	})
	return t.root
}

// validate returns every fault of a decoded text in line order.
func validate(text *Text, tree *tree) []Fault {
	v := &validator{text: text, tree: tree}
	v.settings()
	for _, name := range sortedKeys(text.Models) {
		v.model(name, text.Models[name])
	}
	for _, name := range sortedKeys(text.Adapters) {
		v.adapter(name, text.Adapters[name])
	}
	for _, name := range sortedKeys(text.Batches) {
		v.name(name, "batches", name)
		v.present(text.Batches[name] != nil, "batches", name)
	}
	for _, name := range sortedKeys(text.Services) {
		v.service(name, text.Services[name])
	}
	v.cycles("depends_on", func(s *Service) []string { return s.DependsOn })
	v.cycles("fallbacks", func(s *Service) []string { return s.Fallbacks })
	v.endpointKinds()
	v.workspaces()
	v.recalls()
	slices.SortStableFunc(v.faults, func(a, b Fault) int { return a.Line - b.Line })
	return v.faults
}

func (v *validator) fault(at []string, format string, args ...any) {
	v.faults = append(v.faults, Fault{Line: v.line(at...), Message: fmt.Sprintf(format, args...)})
}

// line returns the line of the node at a path of mapping keys and list values, or of its nearest known parent.
func (v *validator) line(at ...string) int {
	node := v.tree.node()
	line := 0
	for _, key := range at {
		next, found := childOf(node, key)
		if next == nil {
			break
		}
		node, line = next, found
	}
	return line
}

// childOf returns the value under a mapping key, or the list element with that text, and its line.
func childOf(node *yaml.Node, key string) (*yaml.Node, int) {
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

func (v *validator) name(name string, at ...string) {
	if len(name) > maxNameLength || !validName.MatchString(name) {
		v.fault(at, "invalid name %q: use letters, digits, '.', '_' and '-', at most %d", name, maxNameLength)
	}
}

// present reports whether an item has a body, and adds a fault if it has none.
func (v *validator) present(ok bool, at ...string) bool {
	if !ok {
		v.fault(at, "%s is empty", strings.Join(at, "."))
	}
	return ok
}

func (v *validator) oneOf(value string, allowed []string, at ...string) {
	if !slices.Contains(allowed, value) {
		v.fault(at, "unknown %s %q: use %s", at[len(at)-1], value, strings.Join(allowed, ", "))
	}
}

// duration checks an optional duration; zero means the default.
func (v *validator) duration(d, limit time.Duration, at ...string) {
	if d < 0 || (d == 0 && v.given(at...)) {
		v.fault(at, "%s must be positive", at[len(at)-1])
	}
	if d > limit {
		v.fault(at, "%s is over the limit of %s", at[len(at)-1], limit)
	}
}

// given reports whether the text itself contains the path.
func (v *validator) given(at ...string) bool {
	if key := at[len(at)-1]; !zeroDuration(v.tree.raw, key) {
		return false
	}
	node := v.tree.node()
	for _, key := range at {
		if node, _ = childOf(node, key); node == nil {
			return false
		}
	}
	return true
}

// zeroDuration reports whether any line may give a key a value that starts with a zero or is not plain. It spares the tree
// of texts that give no zero. Escapes and UTF-16 can hide a key, so texts with them count as giving one.
func zeroDuration(raw []byte, key string) bool {
	if bytes.IndexByte(raw, '\\') >= 0 || bytes.IndexByte(raw, 0) >= 0 {
		return true
	}
	for rest := raw; ; {
		_, after, found := bytes.Cut(rest, []byte(key))
		if !found {
			return false
		}
		value := bytes.TrimLeft(after, "\"': \t")
		if len(value) == 0 || value[0] < '1' || value[0] > '9' {
			return true
		}
		rest = after
	}
}

func (v *validator) nonNegative(n float64, at ...string) {
	if n < 0 || math.IsNaN(n) || math.IsInf(n, 0) {
		v.fault(at, "%s must not be negative", at[len(at)-1])
	}
}

func (v *validator) settings() {
	s := v.text.Settings
	v.unique(s.FailureDomains, "settings", "failure_domains")
	for _, d := range s.FailureDomains {
		v.name(d, "settings", "failure_domains", d)
	}
	const maxBound = time.Minute
	v.duration(s.FreshnessBound, maxBound, "settings", "freshness_bound")
	v.duration(s.IdempotencyTTL, math.MaxInt64, "settings", "idempotency_ttl")
	v.duration(s.BlameTTL, math.MaxInt64, "settings", "blame_ttl")
	v.nonNegative(float64(s.MaxBodyBytes), "settings", "max_body_bytes")
	v.nonNegative(float64(s.RolloutBatchSize), "settings", "rollout_step")
	if s.RecallStreams != "" {
		v.oneOf(s.RecallStreams, []string{RecallStreamsFinish, RecallStreamsCut}, "settings", "recall_streams")
	}
}

func (v *validator) model(name string, m *Model) {
	v.name(name, "models", name)
	if !v.present(m != nil, "models", name) {
		return
	}
	v.version(m.Version, "models", name)
	v.batch(m.Batch, "models", name, "batch")
	v.endpoints(m.Endpoints, "models", name, "endpoints")
	v.nonNegative(float64(m.MaxPromptTokens), "models", name, "max_tokens")
	v.nonNegative(float64(m.PrefillTokensPerSecond), "models", name, "prefill_rate")
}

func (v *validator) adapter(name string, a *Adapter) {
	v.name(name, "adapters", name)
	if !v.present(a != nil, "adapters", name) {
		return
	}
	v.version(a.Version, "adapters", name)
	v.batch(a.Batch, "adapters", name, "batch")
	if v.text.Models[a.Model] == nil {
		v.fault([]string{"adapters", name, "model"}, "adapter %s: unknown model %q", name, a.Model)
	}
}

func (v *validator) version(version string, at ...string) {
	if version == "" {
		v.fault(at, "%s has no version", strings.Join(at, "."))
	}
	if strings.Contains(version, "@") {
		v.fault(append(at, "version"), "version %q must not contain '@'", version)
	}
}

func (v *validator) batch(batch string, at ...string) {
	if batch != "" && v.text.Batches[batch] == nil {
		v.fault(at, "unknown batch %q", batch)
	}
}

func (v *validator) endpoints(patterns []string, at ...string) {
	names, err := ExpandNames(patterns)
	if err != nil {
		v.fault(at, "%s", err)
		return
	}
	if len(names) == 0 {
		v.fault(at, "%s: no endpoints", strings.Join(at[:2], "."))
	}
	v.unique(names, at...)
	for _, n := range names {
		if !validName.MatchString(n) {
			v.fault(at, "invalid endpoint name %q", n)
		}
	}
}

func (v *validator) unique(names []string, at ...string) {
	seen := make(map[string]bool, len(names))
	for _, n := range names {
		if seen[n] {
			v.fault(append(at, n), "%q is listed twice", n)
		}
		seen[n] = true
	}
}

func (v *validator) service(name string, s *Service) {
	v.name(name, "services", name)
	if !v.present(s != nil, "services", name) {
		return
	}
	at := func(field string) []string { return []string{"services", name, field} }
	v.oneOf(s.Kind, []string{KindModel, KindPlain}, at("kind")...)
	if s.Class != "" {
		v.oneOf(string(s.Class), []string{string(ClassUrgent), string(ClassInteractive), string(ClassBulk)}, at("class")...)
	}
	if s.Favor != "" {
		v.oneOf(s.Favor, []string{FavorSlowdown, FavorFirstToken}, at("favor")...)
	}
	if s.WhenIsolated != "" {
		v.oneOf(s.WhenIsolated, []string{WhenIsolatedRefuse, WhenIsolatedServe}, at("when_isolated")...)
	}
	v.duration(s.Timeout, MaxTimeout, at("timeout")...)
	v.duration(s.MaxTimeout, MaxTimeout, at("max_timeout")...)
	if s.MaxTimeout > 0 && s.Timeout > s.MaxTimeout {
		v.fault(at("timeout"), "service %s: timeout is larger than max_timeout", name)
	}
	v.nonNegative(float64(s.MaxAnswerTokens), at("max_tokens")...)
	v.references(name, s.DependsOn, at("depends_on"))
	v.references(name, s.Fallbacks, at("fallbacks"))
	if s.Kind == KindPlain {
		v.plain(name, s)
	} else {
		v.modelService(name, s)
	}
}

func (v *validator) references(name string, refs []string, at []string) {
	v.unique(refs, at...)
	if len(refs) > maxListEntries {
		v.fault(at, "%s has more than %d entries", at[len(at)-1], maxListEntries)
	}
	for _, ref := range refs {
		if v.text.Services[ref] == nil {
			v.fault(append(slices.Clone(at), ref), "service %s: unknown service %q in %s", name, ref, at[len(at)-1])
		}
	}
}

func (v *validator) modelService(name string, s *Service) {
	if v.text.Models[s.Model] == nil {
		v.fault([]string{"services", name, "model"}, "service %s: unknown model %q", name, s.Model)
	}
	if s.Adapter != "" {
		a := v.text.Adapters[s.Adapter]
		if a == nil {
			v.fault([]string{"services", name, "adapter"}, "service %s: unknown adapter %q", name, s.Adapter)
		} else if a.Model != s.Model {
			v.fault([]string{"services", name, "adapter"}, "service %s: adapter %s is for model %s", name, s.Adapter, a.Model)
		}
	}
	if len(s.Endpoints) > 0 || len(s.Calls) > 0 {
		v.fault([]string{"services", name}, "service %s: endpoints and calls belong to kind plain", name)
	}
}

func (v *validator) plain(name string, s *Service) {
	v.endpoints(s.Endpoints, "services", name, "endpoints")
	if s.Model != "" || s.Adapter != "" {
		v.fault([]string{"services", name}, "service %s: model and adapter belong to kind model", name)
	}
	for i, rule := range s.Calls {
		v.call(rule, "services", name, "calls", fmt.Sprintf("[%d]", i))
	}
}

func (v *validator) call(rule CallRule, at ...string) {
	if !slices.Contains(validMethods, strings.ToUpper(rule.Method)) {
		v.fault(append(slices.Clone(at), "method"), "unknown method %q", rule.Method)
	}
	if _, err := path.Match(rule.Path, "/"); err != nil || !strings.HasPrefix(rule.Path, "/") {
		v.fault(append(slices.Clone(at), "path"), "invalid path pattern %q", rule.Path)
	}
	if rule.WithoutKey != "" {
		v.oneOf(rule.WithoutKey, []string{WithoutKeyRefuse, WithoutKeySingleAttempt}, append(slices.Clone(at), "without_key")...)
	}
}

// cycles adds one fault per service from which a walk along one kind of edge returns to its start.
func (v *validator) cycles(field string, edges func(*Service) []string) {
	const visiting, done = 1, 2
	state := make(map[string]int, len(v.text.Services))
	var walk func(name string, trail []string)
	walk = func(name string, trail []string) {
		s := v.text.Services[name]
		if s == nil || state[name] == done {
			return
		}
		if state[name] == visiting {
			cycle := append(slices.Clone(trail[slices.Index(trail, name):]), name)
			v.fault([]string{"services", name, field}, "cycle in %s: %s", field, strings.Join(cycle, " -> "))
			return
		}
		state[name] = visiting
		for _, next := range edges(s) {
			walk(next, append(slices.Clone(trail), name))
		}
		state[name] = done
	}
	for _, name := range sortedKeys(v.text.Services) {
		walk(name, nil)
	}
}

// endpointKinds refuses an endpoint that is listed for models and for plain services: it has one agent of one kind.
func (v *validator) endpointKinds() {
	engines := make(map[string]string)
	for _, name := range sortedKeys(v.text.Models) {
		if m := v.text.Models[name]; m != nil {
			names, _ := ExpandNames(m.Endpoints) // faults of patterns are reported with the model
			for _, n := range names {
				engines[n] = name
			}
		}
	}
	for _, name := range sortedKeys(v.text.Services) {
		s := v.text.Services[name]
		if s == nil || s.Kind != KindPlain {
			continue
		}
		names, _ := ExpandNames(s.Endpoints) // faults of patterns are reported with the service
		for _, n := range names {
			if model, ok := engines[n]; ok {
				v.fault([]string{"services", name, "endpoints"}, "endpoint %s belongs to model %s", n, model)
			}
		}
	}
}

var validHash = regexp.MustCompile(`^[0-9a-fA-F]{64}$`)

func (v *validator) workspaces() {
	owners := make(map[string]string)
	for _, name := range sortedKeys(v.text.Workspaces) {
		w := v.text.Workspaces[name]
		v.name(name, "workspaces", name)
		if !v.present(w != nil, "workspaces", name) {
			continue
		}
		v.nonNegative(w.Weight, "workspaces", name, "weight")
		if w.Weight > MaxWeight {
			v.fault([]string{"workspaces", name, "weight"}, "weight is over the limit of %g", MaxWeight)
		}
		v.nonNegative(w.RequestsPerSecond, "workspaces", name, "requests_per_second")
		v.nonNegative(w.TokensPerSecond, "workspaces", name, "tokens_per_second")
		for _, h := range w.KeyHashes {
			v.keyHash(owners, name, h)
		}
		for _, s := range w.Services {
			if v.text.Services[s] == nil && v.text.Models[s] == nil {
				v.fault([]string{"workspaces", name, "services", s}, "workspace %s: unknown service %q", name, s)
			}
		}
	}
}

func (v *validator) keyHash(owners map[string]string, workspace, hash string) {
	at := []string{"workspaces", workspace, "key_hashes", hash}
	if !validHash.MatchString(hash) {
		v.fault(at, "workspace %s: key_hashes must be hex SHA-256", workspace)
		return
	}
	hash = strings.ToLower(hash)
	if owner, taken := owners[hash]; taken {
		v.fault(at, "workspace %s: key belongs to workspace %s as well", workspace, owner)
	}
	owners[hash] = workspace
}

func (v *validator) recalls() {
	v.unique(v.text.Recalled, "recalled")
	v.unique(v.text.Reinstated, "reinstated")
	for _, name := range v.text.Recalled {
		if name == "" {
			v.fault([]string{"recalled"}, "empty name in recalled")
		}
		if slices.Contains(v.text.Reinstated, name) {
			v.fault([]string{"recalled", name}, "%q is recalled and reinstated in one text", name)
		}
	}
}

// CheckRecallChanges returns the faults of next as a successor of old: a recall that was dropped without being listed
// under reinstated, and a new recall of a name that the text does not have. raw is the text of next; old may be nil.
func CheckRecallChanges(old, next *Text, raw []byte) []Fault {
	v := &validator{text: next, tree: &tree{raw: raw}}
	var before []string
	if old != nil {
		before = old.Recalled
	}
	for _, name := range before {
		if !slices.Contains(next.Recalled, name) && !slices.Contains(next.Reinstated, name) {
			v.fault([]string{"recalled"}, "recall of %q is missing: a recall stays until its name is listed under reinstated", name)
		}
	}
	for _, name := range next.Recalled {
		if !slices.Contains(before, name) && !next.names(name) {
			v.fault([]string{"recalled", name}, "recalled name %q is no batch, model, adapter or version", name)
		}
	}
	return v.faults
}

// names reports whether name is a batch, a model, an adapter, or name@version of a model or adapter.
func (t *Text) names(name string) bool {
	base, version, versioned := strings.Cut(name, "@")
	if versioned {
		return version != "" && (t.Models[base] != nil || t.Adapters[base] != nil)
	}
	return t.Batches[name] != nil || t.Models[name] != nil || t.Adapters[name] != nil
}

// Warnings returns what an operator should know about an accepted text: services and models that recalls leave
// without a supplier, and settings that weaken the fleet.
func Warnings(s *Snapshot) []string {
	var warnings []string
	if len(s.Text.Settings.FailureDomains) == 0 {
		warnings = append(warnings, "settings.failure_domains is empty: while the table is down, nodes refuse new answers")
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
		if !s.Text.names(name) {
			warnings = append(warnings, fmt.Sprintf("recalled name %s is no longer in the text", name))
		}
	}
	return warnings
}
