package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"path"
	"slices"
	"strings"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
)

// Snapshot is one accepted text with its epoch. It is immutable and safe for concurrent use.
type Snapshot struct {
	Epoch int64
	Hash  string // hex SHA-256 of Raw
	Raw   []byte
	Text  *Text

	recalled  map[string]bool
	endpoints map[string][]string           // service or model name to expanded endpoint names
	duties    map[string][]endpoint.Version // endpoint name to versions that its engine holds
	plain     map[string][]string           // endpoint name to plain services that it runs
	keys      []workspaceKey

	blocked    map[string]string // service to the recalled name or dependency that keeps it from answering itself
	answerable map[string]bool   // services that answer themselves or through a fallback
}

type workspaceKey struct {
	hash      [sha256.Size]byte
	workspace string
}

// Hash returns the hex SHA-256 by which texts are stored and compared.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// NewSnapshot parses raw and indexes it. A text with faults gives no snapshot.
func NewSnapshot(epoch int64, raw []byte) (*Snapshot, []Fault) {
	text, faults := Parse(raw)
	if len(faults) > 0 {
		return nil, faults
	}
	s := &Snapshot{Epoch: epoch, Hash: Hash(raw), Raw: raw, Text: text}
	if err := s.index(); err != nil {
		return nil, []Fault{{Message: err.Error()}}
	}
	return s, nil
}

func (s *Snapshot) index() error {
	s.recalled = make(map[string]bool, len(s.Text.Recalled))
	for _, name := range s.Text.Recalled {
		s.recalled[name] = true
	}
	s.endpoints = make(map[string][]string)
	s.duties = make(map[string][]endpoint.Version)
	s.plain = make(map[string][]string)
	if err := s.indexModels(); err != nil {
		return err
	}
	if err := s.indexServices(); err != nil {
		return err
	}
	s.indexSuppliers()
	return s.indexKeys()
}

func (s *Snapshot) indexModels() error {
	for _, name := range sortedKeys(s.Text.Models) {
		names, err := ExpandNames(s.Text.Models[name].Endpoints)
		if err != nil {
			return err
		}
		s.endpoints["model:"+name] = names
		for _, v := range s.versionsOf(name) {
			for _, n := range names {
				s.duties[n] = append(s.duties[n], v)
			}
		}
	}
	return nil
}

// versionsOf returns the base version of a model and one version per adapter, without recalled ones.
func (s *Snapshot) versionsOf(model string) []endpoint.Version {
	candidates := []endpoint.Version{s.version(model, "")}
	for _, name := range sortedKeys(s.Text.Adapters) {
		if s.Text.Adapters[name].Model == model {
			candidates = append(candidates, s.version(model, name))
		}
	}
	var kept []endpoint.Version
	for _, v := range candidates {
		if _, recalled := s.Recalled(v); !recalled {
			kept = append(kept, v)
		}
	}
	return kept
}

func (s *Snapshot) version(model, adapter string) endpoint.Version {
	m := s.Text.Models[model]
	if m == nil {
		return endpoint.Version{}
	}
	v := endpoint.Version{Model: model, Version: m.Version, Adapter: adapter, Batch: m.Batch}
	if a := s.Text.Adapters[adapter]; a != nil {
		v.AdapterVersion, v.AdapterBatch = a.Version, a.Batch
	}
	return v
}

func (s *Snapshot) indexServices() error {
	for _, name := range sortedKeys(s.Text.Services) {
		spec := s.Text.Services[name]
		if spec.Kind != KindPlain {
			continue
		}
		names, err := ExpandNames(spec.Endpoints)
		if err != nil {
			return err
		}
		s.endpoints["service:"+name] = names
		for _, n := range names {
			s.plain[n] = append(s.plain[n], name)
		}
	}
	return nil
}

func (s *Snapshot) indexKeys() error {
	for _, name := range sortedKeys(s.Text.Workspaces) {
		for _, h := range s.Text.Workspaces[name].KeyHashes {
			k := workspaceKey{workspace: name}
			if n, err := hex.Decode(k.hash[:], []byte(h)); err != nil || n != sha256.Size {
				return errkind.New(errkind.FleetInvalid, "workspace "+name+": key_hashes must be hex SHA-256")
			}
			s.keys = append(s.keys, k)
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace of a caller's key. Every hash is compared in constant time.
func (s *Snapshot) WorkspaceByKey(key string) (name string, w *Workspace, ok bool) {
	sum := sha256.Sum256([]byte(key))
	for i := range s.keys {
		if subtle.ConstantTimeCompare(sum[:], s.keys[i].hash[:]) == 1 {
			name, ok = s.keys[i].workspace, true
		}
	}
	return name, s.Text.Workspaces[name], ok
}

// Target is where a request goes after recalls and fallbacks are resolved.
type Target struct {
	Service   string // name of the service that answers; empty when a model was asked for directly
	Spec      *Service
	Version   endpoint.Version // kind model
	Endpoints []string         // endpoint names that may run it
}

// Resolve returns the target of a service or, for chats, of a model name, following fallbacks past recalled suppliers.
// Errors: UnknownService, Recalled, DependencyRecalled.
func (s *Snapshot) Resolve(name string) (Target, error) {
	if spec, ok := s.Text.Services[name]; ok {
		return s.resolveService(name, spec)
	}
	if _, ok := s.Text.Models[name]; ok {
		return s.resolveModel(name)
	}
	return Target{}, errkind.New(errkind.UnknownService, "unknown service or model: "+name)
}

func (s *Snapshot) resolveModel(name string) (Target, error) {
	v := s.version(name, "")
	if item, recalled := s.Recalled(v); recalled {
		return Target{}, errkind.New(errkind.Recalled, "model "+name+": "+item+" is recalled")
	}
	return Target{Spec: &Service{Kind: KindModel, Class: ClassInteractive, Model: name}, Version: v,
		Endpoints: s.endpoints["model:"+name]}, nil
}

func (s *Snapshot) resolveService(name string, spec *Service) (Target, error) {
	blocked := s.blocked[name]
	if blocked == "" {
		return s.target(name, spec), nil
	}
	for _, next := range spec.Fallbacks {
		if s.answerable[next] {
			return s.resolveService(next, s.Text.Services[next])
		}
	}
	return Target{}, errkind.New(errkind.DependencyRecalled, "service "+name+": "+blocked+" is recalled and no fallback is usable")
}

func (s *Snapshot) target(name string, spec *Service) Target {
	if spec.Kind == KindPlain {
		return Target{Service: name, Spec: spec, Endpoints: s.endpoints["service:"+name]}
	}
	return Target{Service: name, Spec: spec, Version: s.version(spec.Model, spec.Adapter), Endpoints: s.endpoints["model:"+spec.Model]}
}

// indexSuppliers computes which services can answer themselves or through a fallback. It starts from none and repeats
// until nothing changes, which takes linear time per pass; following every path would take exponential time.
func (s *Snapshot) indexSuppliers() {
	s.blocked, s.answerable = make(map[string]string), make(map[string]bool)
	names := sortedKeys(s.Text.Services)
	for changed := true; changed; {
		changed = false
		for _, name := range names {
			spec := s.Text.Services[name]
			s.blocked[name] = s.blockedBy(spec)
			if !s.answerable[name] && (s.blocked[name] == "" || slices.ContainsFunc(spec.Fallbacks, s.canAnswer)) {
				s.answerable[name], changed = true, true
			}
		}
	}
}

func (s *Snapshot) canAnswer(name string) bool { return s.answerable[name] }

// blockedBy returns the recalled name or the dependency that keeps a service from answering itself, or "".
func (s *Snapshot) blockedBy(spec *Service) string {
	if spec.Kind != KindPlain {
		if item, recalled := s.Recalled(s.version(spec.Model, spec.Adapter)); recalled {
			return item
		}
	}
	for _, dep := range spec.DependsOn {
		if !s.answerable[dep] {
			return dep
		}
	}
	return ""
}

// Recalled returns the recalled name that covers v: its model, model@version, adapter, adapter@version or a batch.
func (s *Snapshot) Recalled(v endpoint.Version) (item string, recalled bool) {
	for _, n := range recallNames(v) {
		if n != "" && s.recalled[n] {
			return n, true
		}
	}
	return "", false
}

// RecallCovers reports whether the recall of a name concerns v.
func RecallCovers(name string, v endpoint.Version) bool {
	return name != "" && slices.Contains(recallNames(v), name)
}

// recallNames returns the names whose recall concerns v; some may be empty.
func recallNames(v endpoint.Version) []string {
	names := []string{v.Model, v.Model + "@" + v.Version, v.Batch}
	if v.Adapter != "" {
		names = append(names, v.Adapter, v.Adapter+"@"+v.AdapterVersion, v.AdapterBatch)
	}
	return names
}

// ModelEndpoints returns the endpoints of a model in the order of the text. The slice is shared; callers must not change it.
func (s *Snapshot) ModelEndpoints(model string) []string { return s.endpoints["model:"+model] }

// AssignedVersions returns the versions that the engine of an endpoint holds.
func (s *Snapshot) AssignedVersions(endpointName string) []endpoint.Version {
	return s.duties[endpointName]
}

// PlainServices returns the plain services that an endpoint runs.
func (s *Snapshot) PlainServices(endpointName string) []string { return s.plain[endpointName] }

// MatchCall returns the first call rule of a service that matches.
func (svc *Service) MatchCall(method, callPath string) (CallRule, bool) {
	for _, rule := range svc.Calls {
		if rule.Method != "*" && !strings.EqualFold(rule.Method, method) {
			continue
		}
		if ok, err := path.Match(rule.Path, callPath); err == nil && ok {
			return rule, true
		}
	}
	return CallRule{}, false
}
