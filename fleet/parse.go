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

// Fault is one error in a configuration text.
type Fault struct {
	Line    int    `json:"line"` // from 1; 0 if the fault has no line
	Message string `json:"message"`
}

// String returns the fault as "line N: message".
func (f Fault) String() string {
	if f.Line == 0 {
		return f.Message
	}
	return fmt.Sprintf("line %d: %s", f.Line, f.Message)
}

// Parse decodes a text, refusing unknown fields, and validates it. It returns either the text with its defaults or all
// faults that were found. A text that cannot be decoded is not validated.
func Parse(data []byte) (*Text, []Fault) {
	if len(data) > MaxTextBytes {
		return nil, []Fault{{Message: fmt.Sprintf("text is over the limit of %d bytes", MaxTextBytes)}}
	}
	text := new(Text)
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	decoder.KnownFields(true)
	if err := decoder.Decode(text); err != nil && err != io.EOF {
		return nil, decodingFaults(err)
	}
	if err := decoder.Decode(new(yaml.Node)); err != io.EOF {
		return nil, []Fault{{Message: "the text must be a single YAML document"}}
	}
	if faults := validate(text, &yamlTree{raw: data}); len(faults) > 0 {
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

var yamlLinePattern = regexp.MustCompile(`line (\d+): (.*)`)

// decodingFaults splits a YAML error into one fault per reported line.
func decodingFaults(err error) []Fault {
	var faults []Fault
	for _, line := range strings.Split(err.Error(), "\n") {
		match := yamlLinePattern.FindStringSubmatch(line)
		if match == nil {
			continue
		}
		number, _ := strconv.Atoi(match[1]) // the pattern admits digits only
		faults = append(faults, Fault{Line: number, Message: match[2]})
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

var rangePattern = regexp.MustCompile(`^(.*)\{(\d+)\.\.(\d+)\}(.*)$`)

// maxExpandedNames bounds the number of names that a list of patterns expands to, so that a short text cannot exhaust the
// memory.
const maxExpandedNames = 10000

// ExpandNames expands ranges in patterns such as model-{01..24}, keeping leading zeros.
func ExpandNames(patterns []string) ([]string, error) {
	var names []string
	for _, pattern := range patterns {
		match := rangePattern.FindStringSubmatch(pattern)
		if match == nil {
			names = append(names, pattern)
			continue
		}
		low, errLow := strconv.Atoi(match[2])
		high, errHigh := strconv.Atoi(match[3])
		if errLow != nil || errHigh != nil || high < low || high-low >= maxExpandedNames-len(names) {
			return nil, errors.Errorf("invalid range in endpoint pattern %q", pattern)
		}
		for i := low; i <= high; i++ {
			names = append(names, fmt.Sprintf("%s%0*d%s", match[1], len(match[2]), i, match[4]))
		}
	}
	return names, nil
}
