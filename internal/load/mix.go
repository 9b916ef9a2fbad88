// Package load sends seeded open-loop load to entries and reports outcomes, latencies and violations as the callers
// observe them.
//
// Arrivals follow a schedule that depends only on the mix and the seed, not on answers. Latencies are measured from the
// scheduled arrival. This avoids coordinated omission: a slow system or a slow generator cannot hide delay by sending
// later.
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

// Class names a range of prompt lengths, or plain calls.
type Class string

// Classes of prompt length. Calls to plain services have ClassCall.
const (
	ClassCall   Class = "call"
	ClassShort  Class = "1-4k"
	ClassMedium Class = "4-32k"
	ClassLong   Class = "32-128k"
	ClassHuge   Class = "128k-1M"
)

// classRange is the range of prompt lengths of a class, in tokens.
type classRange struct {
	class                Class
	minTokens, maxTokens int
}

var classRanges = []classRange{
	{ClassShort, 1_000, 4_000},
	{ClassMedium, 4_000, 32_000},
	{ClassLong, 32_000, 128_000},
	{ClassHuge, 128_000, 1_000_000},
}

// bytesPerToken is the size of a token in generated prompts; endpoint.EstimateTokens uses the same ratio.
const bytesPerToken = 4

// Mix describes the load of all workspaces.
type Mix struct {
	Name       string      `yaml:"name"`
	Duration   Duration    `yaml:"duration"` // default length of the schedule; a flag overrides it
	Workspaces []Workspace `yaml:"workspaces"`
}

// Workspace is the load of one workspace.
type Workspace struct {
	Name    string    `yaml:"name"`
	Key     string    `yaml:"key"` // bearer token; default: NAME-key
	Traffic []Traffic `yaml:"traffic"`
}

// Traffic is a stream of requests of the same kind whose arrivals are a Poisson process.
type Traffic struct {
	Name     string   `yaml:"name"`
	Kind     string   `yaml:"kind"`
	Rate     float64  `yaml:"rate"`     // mean arrivals per second
	Deadline Duration `yaml:"deadline"` // X-Request-Timeout; 0: the service's default

	Model    string            `yaml:"model"`    // chat: service name
	Prompt   map[Class]float64 `yaml:"prompt"`   // chat: weight by class of prompt length
	Prefixes Prefixes          `yaml:"prefixes"` // chat: shared prompt prefixes
	Answer   AnswerLength      `yaml:"answer"`   // chat: range of max_tokens
	Stream   *bool             `yaml:"stream"`   // chat: SSE (default) or a single body

	Method      string  `yaml:"method"`       // call: HTTP method
	Path        string  `yaml:"path"`         // call: path from the root; {n} is a random item
	Body        string  `yaml:"body"`         // call: request body; {n} as in path
	Items       int     `yaml:"items"`        // call: number of distinct items; default: 1
	Key         bool    `yaml:"key"`          // call: send an Idempotency-Key
	RepeatShare float64 `yaml:"repeat_share"` // call: share of arrivals that repeat an earlier key and payload
}

// Prefixes describes prompt prefixes that several requests share.
type Prefixes struct {
	Count  int     `yaml:"count"`
	Tokens int     `yaml:"tokens"`
	Share  float64 `yaml:"share"` // share of the requests whose prompt starts with one of them
}

// AnswerLength is the range from which max_tokens is drawn uniformly.
type AnswerLength struct {
	Min int `yaml:"min"`
	Max int `yaml:"max"`
}

// Duration is a time.Duration in the notation of time.ParseDuration, such as "30s".
type Duration time.Duration

// UnmarshalYAML implements yaml.Unmarshaler.
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

// Validate applies defaults and returns the first error found.
func (m *Mix) Validate() error {
	if len(m.Workspaces) == 0 {
		return errors.New("mix has no workspaces")
	}
	seen := make(map[string]bool)
	for i := range m.Workspaces {
		w := &m.Workspaces[i]
		if w.Name == "" || seen[w.Name] {
			return errors.Errorf("workspace %d: name %q is empty or not unique", i+1, w.Name)
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
			return errors.Errorf("traffic %d: name %q is empty or not unique", i+1, t.Name)
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
		return errors.Errorf("rate must be positive: %v", t.Rate)
	}
	if t.Deadline < 0 {
		return errors.New("deadline must not be negative")
	}
	switch t.Kind {
	case KindChat:
		return t.validateChat()
	case KindCall:
		return t.validateCall()
	}
	return errors.Errorf("unknown kind %q: must be %s or %s", t.Kind, KindChat, KindCall)
}

func (t *Traffic) validateChat() error {
	if t.Model == "" {
		return errors.New("chat traffic needs a model")
	}
	if t.Answer.Min < 1 || t.Answer.Max < t.Answer.Min {
		return errors.Errorf("invalid answer length: min %d, max %d", t.Answer.Min, t.Answer.Max)
	}
	if t.Prefixes.Share < 0 || t.Prefixes.Share > 1 || (t.Prefixes.Share > 0 && t.Prefixes.Count < 1) {
		return errors.New("prefixes need a positive count and a share in [0, 1]")
	}
	totalWeight := 0.0
	for class, weight := range t.Prompt {
		if _, ok := rangeOfClass(class); !ok || weight < 0 {
			return errors.Errorf("prompt class %q is unknown or its weight %v is negative", class, weight)
		}
		totalWeight += weight
	}
	if totalWeight <= 0 {
		return errors.New("no prompt class has a positive weight")
	}
	return nil
}

func (t *Traffic) validateCall() error {
	if t.Method == "" || !strings.HasPrefix(t.Path, "/") {
		return errors.New("call traffic needs a method and a path that starts with /")
	}
	if t.RepeatShare < 0 || t.RepeatShare >= 1 {
		return errors.Errorf("repeat_share must be in [0, 1): %v", t.RepeatShare)
	}
	if t.RepeatShare > 0 && !t.Key {
		return errors.New("repeat_share requires key: true")
	}
	if t.Items == 0 {
		t.Items = 1
	}
	if t.Items < 0 {
		return errors.Errorf("items must not be negative: %d", t.Items)
	}
	return nil
}

// streamed reports whether chats request their answers as an SSE stream.
func (t *Traffic) streamed() bool { return t.Stream == nil || *t.Stream }

func rangeOfClass(class Class) (classRange, bool) {
	for _, r := range classRanges {
		if r.class == class {
			return r, true
		}
	}
	return classRange{}, false
}
