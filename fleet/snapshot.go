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

// Snapshot is an accepted configuration text and its epoch. It is immutable and safe for concurrent use.
type Snapshot struct {
	Epoch int64
	Hash  string // hex SHA-256 of Raw
	Raw   []byte
	Text  *Text

	recalled         map[string]bool
	endpoints        map[string][]string           // "service:" or "model:" and the name to expanded endpoint names
	assignedVersions map[string][]endpoint.Version // endpoint name to versions that its engine must load
	plainServices    map[string][]string           // endpoint name to plain services that it runs
	workspaceKeys    []workspaceKey

	blockers   map[string]string // service to the recalled item or dependency because of which it cannot answer itself
	answerable map[string]bool   // services that can answer, themselves or through a fallback
}

type workspaceKey struct {
	hash      [sha256.Size]byte
	workspace string
}

// Hash returns the hex SHA-256 of a text, by which texts are stored and compared.
func Hash(raw []byte) string {
	sum := sha256.Sum256(raw)
	return hex.EncodeToString(sum[:])
}

// NewSnapshot parses and indexes a text. It returns either a snapshot or the faults of the text.
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
	s.assignedVersions = make(map[string][]endpoint.Version)
	s.plainServices = make(map[string][]string)
	if err := s.indexModels(); err != nil {
		return err
	}
	if err := s.indexServices(); err != nil {
		return err
	}
	s.indexAnswerable()
	return s.indexKeys()
}

func (s *Snapshot) indexModels() error {
	for _, name := range sortedKeys(s.Text.Models) {
		names, err := ExpandNames(s.Text.Models[name].Endpoints)
		if err != nil {
			return err
		}
		s.endpoints["model:"+name] = names
		for _, v := range s.usableVersions(name) {
			for _, n := range names {
				s.assignedVersions[n] = append(s.assignedVersions[n], v)
			}
		}
	}
	return nil
}

// usableVersions returns the version of a model without an adapter and with each of its adapters, except recalled ones.
func (s *Snapshot) usableVersions(model string) []endpoint.Version {
	candidates := []endpoint.Version{s.version(model, "")}
	for _, name := range sortedKeys(s.Text.Adapters) {
		if s.Text.Adapters[name].Model == model {
			candidates = append(candidates, s.version(model, name))
		}
	}
	var usable []endpoint.Version
	for _, v := range candidates {
		if _, recalled := s.Recalled(v); !recalled {
			usable = append(usable, v)
		}
	}
	return usable
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
			s.plainServices[n] = append(s.plainServices[n], name)
		}
	}
	return nil
}

func (s *Snapshot) indexKeys() error {
	for _, name := range sortedKeys(s.Text.Workspaces) {
		for _, keyHash := range s.Text.Workspaces[name].KeyHashes {
			k := workspaceKey{workspace: name}
			if n, err := hex.Decode(k.hash[:], []byte(keyHash)); err != nil || n != sha256.Size {
				return errkind.New(errkind.FleetInvalid, "workspace "+name+": key_hashes must be hex SHA-256")
			}
			s.workspaceKeys = append(s.workspaceKeys, k)
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace of a caller's key. The key is compared with all hashes in constant time.
func (s *Snapshot) WorkspaceByKey(key string) (name string, w *Workspace, ok bool) {
	sum := sha256.Sum256([]byte(key))
	for i := range s.workspaceKeys {
		if subtle.ConstantTimeCompare(sum[:], s.workspaceKeys[i].hash[:]) == 1 {
			name, ok = s.workspaceKeys[i].workspace, true
		}
	}
	return name, s.Text.Workspaces[name], ok
}

// Target is the service or model that answers a request, with recalls and fallbacks resolved.
type Target struct {
	Service   string // name of the service that answers; empty if the request names a model
	Spec      *Service
	Version   endpoint.Version // kind model
	Endpoints []string         // names of the endpoints that may answer
}

// Resolve returns the target of a service name or, for chats, of a model name. It replaces a service that cannot answer
// because of a recall by its first fallback that can. Errors: UnknownService, Recalled, DependencyRecalled.
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
	blocker := s.blockers[name]
	if blocker == "" {
		return s.ownTarget(name, spec), nil
	}
	for _, fallback := range spec.Fallbacks {
		if s.answerable[fallback] {
			return s.resolveService(fallback, s.Text.Services[fallback])
		}
	}
	return Target{}, errkind.New(errkind.DependencyRecalled, "service "+name+": "+blocker+" is recalled and no fallback is usable")
}

func (s *Snapshot) ownTarget(name string, spec *Service) Target {
	if spec.Kind == KindPlain {
		return Target{Service: name, Spec: spec, Endpoints: s.endpoints["service:"+name]}
	}
	return Target{Service: name, Spec: spec, Version: s.version(spec.Model, spec.Adapter),
		Endpoints: s.endpoints["model:"+spec.Model]}
}

// indexAnswerable determines which services can answer, themselves or through a fallback. It starts with none and repeats
// until nothing changes. Each pass takes linear time; following every path would take exponential time.
func (s *Snapshot) indexAnswerable() {
	s.blockers, s.answerable = make(map[string]string), make(map[string]bool)
	names := sortedKeys(s.Text.Services)
	for changed := true; changed; {
		changed = false
		for _, name := range names {
			spec := s.Text.Services[name]
			s.blockers[name] = s.blockerOf(spec)
			if !s.answerable[name] && (s.blockers[name] == "" || slices.ContainsFunc(spec.Fallbacks, s.canAnswer)) {
				s.answerable[name], changed = true, true
			}
		}
	}
}

func (s *Snapshot) canAnswer(name string) bool { return s.answerable[name] }

// blockerOf returns the recalled item or the dependency because of which a service cannot answer itself, or "".
func (s *Snapshot) blockerOf(spec *Service) string {
	if spec.Kind != KindPlain {
		if item, recalled := s.Recalled(s.version(spec.Model, spec.Adapter)); recalled {
			return item
		}
	}
	for _, dependency := range spec.DependsOn {
		if !s.answerable[dependency] {
			return dependency
		}
	}
	return ""
}

// Evacuated reports whether the endpoints of a failure domain are to be sent nothing.
func (s *Snapshot) Evacuated(domain string) bool {
	return slices.Contains(s.Text.Settings.Evacuated, domain)
}

// Recalled returns the item in the list of recalls that covers v: its model, model@version, adapter, adapter@version or
// one of its batches.
func (s *Snapshot) Recalled(v endpoint.Version) (item string, recalled bool) {
	for _, name := range recallNames(v) {
		if name != "" && s.recalled[name] {
			return name, true
		}
	}
	return "", false
}

// RecallCovers reports whether a recall of name covers v.
func RecallCovers(name string, v endpoint.Version) bool {
	return name != "" && slices.Contains(recallNames(v), name)
}

// recallNames returns the names by which v may be recalled; some may be empty.
func recallNames(v endpoint.Version) []string {
	names := []string{v.Model, v.Model + "@" + v.Version, v.Batch}
	if v.Adapter != "" {
		names = append(names, v.Adapter, v.Adapter+"@"+v.AdapterVersion, v.AdapterBatch)
	}
	return names
}

// ModelEndpoints returns the endpoints of a model in the order of the text. The slice is shared and must not be changed.
func (s *Snapshot) ModelEndpoints(model string) []string { return s.endpoints["model:"+model] }

// AssignedVersions returns the versions that the engine of an endpoint must load.
func (s *Snapshot) AssignedVersions(endpointName string) []endpoint.Version {
	return s.assignedVersions[endpointName]
}

// PlainServices returns the plain services that an endpoint runs.
func (s *Snapshot) PlainServices(endpointName string) []string { return s.plainServices[endpointName] }

// MatchCall returns the service's first call rule that matches a method and path.
func (s *Service) MatchCall(method, callPath string) (CallRule, bool) {
	for _, rule := range s.Calls {
		if rule.Method != "*" && !strings.EqualFold(rule.Method, method) {
			continue
		}
		if ok, err := path.Match(rule.Path, callPath); err == nil && ok {
			return rule, true
		}
	}
	return CallRule{}, false
}
