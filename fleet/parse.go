package fleet

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Fault is one error of a configuration text.
type Fault struct {
	Line    int    `json:"line"` // 1-based; 0 if the fault has no line
	Message string `json:"message"`
}

// String returns the fault as "line N: message".
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Message
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Message)
}

// Parse decodes a text strictly and validates it. It returns either a text or all faults that were found; a text that
// does not decode has only the faults of decoding.
func Parse(data []byte) (*Text, []Fault) {
	if len(data) > MaxTextBytes {
		return nil, []Fault{{Message: fmt.Sprintf("text is over the limit of %d bytes", MaxTextBytes)}}
	}
	text := new(Text)
	dec := yaml.NewDecoder(bytes.NewReader(data))
	dec.KnownFields(true)
	if err := dec.Decode(text); err != nil && err != io.EOF {
		return nil, faultsOf(err)
	}
	if err := dec.Decode(new(yaml.Node)); err != io.EOF {
		return nil, []Fault{{Message: "the text must be a single YAML document"}}
	}
	if faults := validate(text, &tree{raw: data}); len(faults) > 0 {
		return nil, faults
	}
	text.applyDefaults()
	return text, nil
}

func (t *Text) applyDefaults() {
	t.Settings.applyDefaults()
	for _, s := range t.Services {
		if s.Class == "" {
			s.Class = ClassInteractive
		}
	}
}

var yamlLine = regexp.MustCompile(`line (\d+): (.*)`)

// faultsOf splits a YAML error into one fault per line that it names.
func faultsOf(err error) []Fault {
	var faults []Fault
	for _, line := range strings.Split(err.Error(), "\n") {
		m := yamlLine.FindStringSubmatch(line)
		if m == nil {
			continue
		}
		n, _ := strconv.Atoi(m[1]) // the pattern admits digits only
		faults = append(faults, Fault{Line: n, Message: m[2]})
	}
	if len(faults) == 0 {
		faults = append(faults, Fault{Message: err.Error()})
	}
	return faults
}

func (s *Settings) applyDefaults() {
	if s.FreshnessBound == 0 {
		s.FreshnessBound = DefaultFreshnessBound
	}
	if s.RecallStreams == "" {
		s.RecallStreams = RecallStreamsFinish
	}
	if s.IdempotencyTTL == 0 {
		s.IdempotencyTTL = DefaultIdempotencyTTL
	}
	if s.BlameTTL == 0 {
		s.BlameTTL = DefaultBlameTTL
	}
	if s.MaxBodyBytes == 0 {
		s.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if s.RolloutBatchSize == 0 {
		s.RolloutBatchSize = DefaultRolloutBatchSize
	}
}

var namePattern = regexp.MustCompile(`^(.*)\{(\d+)\.\.(\d+)\}(.*)$`)

// maxExpansion bounds the names that one list of patterns expands to, so that a short text cannot fill the memory.
const maxExpansion = 10000

// ExpandNames expands patterns such as model-{01..24}, keeping leading zeros.
func ExpandNames(patterns []string) ([]string, error) {
	var names []string
	for _, p := range patterns {
		m := namePattern.FindStringSubmatch(p)
		if m == nil {
			names = append(names, p)
			continue
		}
		low, errLow := strconv.Atoi(m[2])
		high, errHigh := strconv.Atoi(m[3])
		if errLow != nil || errHigh != nil || high < low || high-low >= maxExpansion-len(names) {
			return nil, errors.Errorf("invalid range in endpoint pattern %q", p)
		}
		for i := low; i <= high; i++ {
			names = append(names, fmt.Sprintf("%s%0*d%s", m[1], len(m[2]), i, m[4]))
		}
	}
	return names, nil
}
