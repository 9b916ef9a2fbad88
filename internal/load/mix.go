// Package load generates seeded open-loop load against entries and reports what the callers saw.
//
// Arrivals follow a schedule that depends on the mix and the seed only, never on answers. Latencies count from the
// scheduled arrival, so a slow system or a slow generator cannot hide delay by sending later.
package load

import (
	"bytes"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Kinds of traffic.
const (
	KindChat = "chat" // POST /v1/chat/completions
	KindCall = "call" // any method on /services/...
)

// Class is a range of prompt lengths.
type Class string

// Classes of prompt length. A call to a plain service has ClassNone.
const (
	ClassNone   Class = "call"
	ClassShort  Class = "1-4k"
	ClassMedium Class = "4-32k"
	ClassLong   Class = "32-128k"
	ClassHuge   Class = "128k-1M"
)

// classRange is the range of prompt lengths of a class, in tokens.
type classRange struct {
	class     Class
	low, high int
}

var classRanges = []classRange{
	{ClassShort, 1_000, 4_000},
	{ClassMedium, 4_000, 32_000},
	{ClassLong, 32_000, 128_000},
	{ClassHuge, 128_000, 1_000_000},
}

// bytesPerToken is the size of generated prompts; endpoint.CountTokens estimates with the same figure.
const bytesPerToken = 4

// Mix describes the load of all workspaces.
type Mix struct {
	Name       string      `yaml:"name"`
	Duration   Duration    `yaml:"duration"` // default of the run; flags override it
	Workspaces []Workspace `yaml:"workspaces"`
}

// Workspace is the load of one workspace.
type Workspace struct {
	Name    string    `yaml:"name"`
	Key     string    `yaml:"key"` // bearer key; default NAME-key
	Traffic []Traffic `yaml:"traffic"`
}

// Traffic is one Poisson stream of requests of the same kind.
type Traffic struct {
	Name     string   `yaml:"name"`
	Kind     string   `yaml:"kind"`
	Rate     float64  `yaml:"rate"`     // mean arrivals per second
	Deadline Duration `yaml:"deadline"` // X-Request-Timeout; 0: the service's default

	Model    string            `yaml:"model"`    // chat: service name
	Prompt   map[Class]float64 `yaml:"prompt"`   // chat: weight by class of prompt length
	Prefixes Prefixes          `yaml:"prefixes"` // chat: shared beginnings of prompts
	Answer   Answer            `yaml:"answer"`   // chat: length of the answer
	Stream   *bool             `yaml:"stream"`   // chat: SSE (default) or a single body

	Method      string  `yaml:"method"`       // call: HTTP method
	Path        string  `yaml:"path"`         // call: path from the root; {n} is a random item
	Body        string  `yaml:"body"`         // call: body; {n} as in path
	Items       int     `yaml:"items"`        // call: number of different items
	Key         bool    `yaml:"key"`          // call: send an Idempotency-Key
	RepeatShare float64 `yaml:"repeat_share"` // call: share of arrivals that repeat an earlier key and payload
}

// Prefixes describes prompt beginnings that several requests share.
type Prefixes struct {
	Count  int     `yaml:"count"`
	Tokens int     `yaml:"tokens"`
	Share  float64 `yaml:"share"` // share of the requests that start with one of them
}

// Answer is the range of max_tokens, uniform.
type Answer struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Duration is a time.Duration that YAML writes as "30s".
type Duration time.Duration

// UnmarshalYAML parses the notation of time.ParseDuration.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return errors.Wrapf(err, "line %d", node.Line)
	}
	*d = Duration(parsed)
	return nil
}

// ReadMix reads and validates a mix file.
func ReadMix(path string) (*Mix, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "mix")
	}
	mix, err := ParseMix(data)
	return mix, errors.Wrap(err, path)
}

// ParseMix decodes and validates a mix. Unknown fields are errors.
func ParseMix(data []byte) (*Mix, error) {
	mix := new(Mix)
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(mix); err != nil {
		return nil, errors.Wrap(err, "decode mix")
	}
	if err := mix.Validate(); err != nil {
		return nil, err
	}
	return mix, nil
}

// Validate applies defaults and reports the first fault.
func (m *Mix) Validate() error {
	if len(m.Workspaces) == 0 {
		return errors.New("mix has no workspace")
	}
	seen := make(map[string]bool)
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		if w.Name == "" || seen[w.Name] {
			return errors.Errorf("workspace %d: name %q is empty or repeated", i+1, w.Name)
		}
		seen[w.Name] = true
		if w.Key == "" {
			w.Key = w.Name + "-key"
		}
		if err := w.validateTraffic(); err != nil {
			return errors.Wrapf(err, "workspace %s", w.Name)
		}
	}
	return nil
}

func (w *Workspace) validateTraffic() error {
	seen := make(map[string]bool)
	for i := range w.Traffic {
		t := &w.Traffic[i]
		if t.Name == "" || seen[t.Name] {
			return errors.Errorf("traffic %d: name %q is empty or repeated", i+1, t.Name)
		}
		seen[t.Name] = true
		if err := t.validate(); err != nil {
			return errors.Wrapf(err, "traffic %s", t.Name)
		}
	}
	return nil
}

func (t *Traffic) validate() error {
	if t.Rate <= 0 {
		return errors.Errorf("rate %v is not positive", t.Rate)
	}
	if t.Deadline < 0 {
		return errors.New("negative deadline")
	}
	switch t.Kind {
	case KindChat:
		return t.validateChat()
	case KindCall:
		return t.validateCall()
	}
	return errors.Errorf("kind %q is neither %s nor %s", t.Kind, KindChat, KindCall)
}

func (t *Traffic) validateChat() error {
	if t.Model == "" {
		return errors.New("no model")
	}
	if t.Answer.Min < 1 || t.Answer.Max < t.Answer.Min {
		return errors.Errorf("answer of %d to %d tokens", t.Answer.Min, t.Answer.Max)
	}
	if t.Prefixes.Share < 0 || t.Prefixes.Share > 1 || (t.Prefixes.Share > 0 && t.Prefixes.Count < 1) {
		return errors.New("prefixes need a count and a share from 0 to 1")
	}
	sum := 0.0
	for class, weight := range t.Prompt {
		if _, ok := rangeOf(class); !ok || weight < 0 {
			return errors.Errorf("prompt class %q with weight %v", class, weight)
		}
		sum += weight
	}
	if sum <= 0 {
		return errors.New("no prompt class has a weight")
	}
	return nil
}

func (t *Traffic) validateCall() error {
	if t.Method == "" || !strings.HasPrefix(t.Path, "/") {
		return errors.New("a call needs a method and a path that starts with /")
	}
	if t.RepeatShare < 0 || t.RepeatShare >= 1 {
		return errors.Errorf("repeat_share %v is not in [0, 1)", t.RepeatShare)
	}
	if t.RepeatShare > 0 && !t.Key {
		return errors.New("repeat_share needs key: true")
	}
	if t.Items == 0 {
		t.Items = 1
	}
	if t.Items < 0 {
		return errors.Errorf("items %d is negative", t.Items)
	}
	return nil
}

// streams reports whether answers are requested as SSE.
func (t *Traffic) streams() bool { return t.Stream == nil || *t.Stream }

func rangeOf(class Class) (classRange, bool) {
	for _, r := range classRanges {
		if r.class == class {
			return r, true
		}
	}
	return classRange{}, false
}
