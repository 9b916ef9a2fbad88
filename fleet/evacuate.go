package fleet

import (
	"bytes"
	"reflect"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// evacuatedKey is the name of Settings.Evacuated in a text.
const evacuatedKey = "evacuated"

// SetEvacuated returns a text with a failure domain added to settings.evacuated or removed from it. The rest of the text
// stays as it is, with its comments and formatting. If the list needs no change, the same text is returned.
func SetEvacuated(raw []byte, domain string, evacuated bool) ([]byte, error) {
	text, faults := Parse(raw)
	if len(faults) > 0 {
		return nil, errors.Errorf("current text: %s", faults[0])
	}
	list := text.Settings.Evacuated
	if slices.Contains(list, domain) == evacuated {
		return raw, nil
	}
	if !slices.Contains(text.Settings.FailureDomains, domain) {
		return nil, errors.Errorf("%q is not in settings.failure_domains", domain)
	}
	if evacuated {
		list = append(slices.Clone(list), domain)
	} else {
		list = slices.DeleteFunc(slices.Clone(list), func(d string) bool { return d == domain })
	}
	edited := editEvacuated(raw, list, domain)
	// The edit knows the usual forms of a list. For any other, such as an alias, its result differs from what is wanted.
	result, faults := Parse(edited)
	if len(faults) > 0 || !slices.Equal(result.Settings.Evacuated, list) {
		return nil, errors.New("settings.evacuated has an unusual form; edit the text and apply it")
	}
	text.Settings.Evacuated, result.Settings.Evacuated = nil, nil
	if !reflect.DeepEqual(text, result) {
		return nil, errors.New("settings.evacuated has an unusual form; edit the text and apply it")
	}
	return edited, nil
}

// editEvacuated writes list into settings.evacuated, of which changed is the name that is added or removed.
func editEvacuated(raw []byte, list []string, changed string) []byte {
	doc := new(yaml.Node)
	if err := yaml.Unmarshal(raw, doc); err != nil || len(doc.Content) == 0 {
		return raw
	}
	settingsKey, settings := mappingEntry(doc.Content[0], "settings")
	key, value := mappingEntry(settings, evacuatedKey)
	flowList := "[" + strings.Join(list, ", ") + "]"
	switch {
	case settings == nil:
		return raw
	case key == nil && settings.Style&yaml.FlowStyle != 0:
		return replaceBytes(raw, nodeOffset(raw, settings)+1, 0, evacuatedKey+": "+flowList+", ")
	case key == nil && len(settings.Content) > 0:
		indent := strings.Repeat(" ", settings.Content[0].Column-1)
		return replaceBytes(raw, lineOffset(raw, settingsKey.Line+1), 0, indent+evacuatedKey+": "+flowList+"\n")
	case key == nil:
		return raw
	case value.Kind == yaml.SequenceNode && value.Style&yaml.FlowStyle != 0:
		start := nodeOffset(raw, value)
		return replaceBytes(raw, start, bytes.IndexByte(raw[start:], ']')+1, flowList)
	case value.Kind == yaml.SequenceNode && len(list) > 0:
		return editBlockList(raw, value, list, changed)
	}
	start := nodeOffset(raw, key) + len(evacuatedKey)
	end := start + len(":") // a missing value
	switch {
	case len(value.Content) > 0: // a block list whose only element is removed
		end = len(bytes.TrimRight(raw[:lineOffset(raw, value.Content[0].Line+1)], "\r\n"))
	case value.Value != "": // null
		end = nodeOffset(raw, value) + len(value.Value)
	}
	return replaceBytes(raw, start, min(max(end-start, 0), len(raw)-start), ": "+flowList)
}

// editBlockList adds a line for the changed name after the last element, or removes the line of its element.
func editBlockList(raw []byte, value *yaml.Node, list []string, changed string) []byte {
	for _, item := range value.Content {
		if item.Value == changed {
			start := lineOffset(raw, item.Line)
			return replaceBytes(raw, start, lineOffset(raw, item.Line+1)-start, "")
		}
	}
	last := value.Content[len(value.Content)-1]
	prefix := string(raw[lineOffset(raw, last.Line):nodeOffset(raw, last)])
	return replaceBytes(raw, lineOffset(raw, last.Line+1), 0, prefix+list[len(list)-1]+"\n")
}

// mappingEntry returns the key and the value of an entry of a mapping, or nil.
func mappingEntry(node *yaml.Node, name string) (key, value *yaml.Node) {
	if node == nil || node.Kind != yaml.MappingNode {
		return nil, nil
	}
	for i := 0; i+1 < len(node.Content); i += 2 {
		if node.Content[i].Value == name {
			return node.Content[i], node.Content[i+1]
		}
	}
	return nil, nil
}

// nodeOffset returns the offset in bytes at which a node begins. The columns of nodes count runes.
func nodeOffset(raw []byte, node *yaml.Node) int {
	offset := lineOffset(raw, node.Line)
	for range node.Column - 1 {
		_, size := utf8.DecodeRune(raw[offset:])
		offset += size
	}
	return offset
}

// lineOffset returns the offset in bytes of a line, counted from 1, or the length of the text if it has fewer lines.
func lineOffset(raw []byte, line int) int {
	offset := 0
	for range line - 1 {
		end := bytes.IndexByte(raw[offset:], '\n')
		if end < 0 {
			return len(raw)
		}
		offset += end + 1
	}
	return offset
}

// replaceBytes replaces length bytes at an offset. A new line at the end of a text without a final line break gets one before it.
func replaceBytes(raw []byte, offset, length int, replacement string) []byte {
	if offset == len(raw) && offset > 0 && raw[offset-1] != '\n' {
		replacement = "\n" + replacement
	}
	return slices.Concat(raw[:offset], []byte(replacement), raw[offset+length:])
}
