package fleet

import (
	"fmt"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Workspaces maps names to workspaces.
type Workspaces map[string]*Workspace

// workspaceFields has the fields of a workspace in a text.
var workspaceFields = map[string]bool{"key_hashes": true, "weight": true, "requests_per_second": true,
	"tokens_per_second": true, "services": true}

// UnmarshalYAML decodes the workspaces one by one. The YAML library compares each key of a mapping with all others, which
// takes most of a second for 11,000 workspaces.
func (w *Workspaces) UnmarshalYAML(node *yaml.Node) error {
	type plain Workspaces // without UnmarshalYAML; faults of a malformed mapping show the name fleet.plain
	faults := new(yaml.TypeError)
	checkWorkspaceFields(node, faults)
	if node.Kind != yaml.MappingNode || hasMergeKey(node) {
		if err := collectTypeErrors(faults, node.Decode((*plain)(w))); err != nil {
			return err
		}
		return errorOrNil(faults)
	}
	*w = make(Workspaces, len(node.Content)/2)
	lines := make(map[string]int, len(node.Content)/2)
	for i := 0; i+1 < len(node.Content); i += 2 {
		key, value := node.Content[i], node.Content[i+1]
		var name string
		if err := key.Decode(&name); err != nil {
			return err
		}
		if firstLine, duplicate := lines[name]; duplicate {
			faults.Errors = append(faults.Errors,
				fmt.Sprintf("line %d: mapping key %q already defined at line %d", key.Line, name, firstLine))
			continue
		}
		lines[name] = key.Line
		var workspace *Workspace
		if err := collectTypeErrors(faults, value.Decode(&workspace)); err != nil {
			return err
		}
		(*w)[name] = workspace
	}
	return errorOrNil(faults)
}

// collectTypeErrors adds the errors of a yaml.TypeError to faults. Other errors are returned.
func collectTypeErrors(faults *yaml.TypeError, err error) error {
	var typeError *yaml.TypeError
	if !errors.As(err, &typeError) {
		return err
	}
	faults.Errors = append(faults.Errors, typeError.Errors...)
	return nil
}

func errorOrNil(faults *yaml.TypeError) error {
	if len(faults.Errors) > 0 {
		return faults
	}
	return nil
}

func hasMergeKey(node *yaml.Node) bool {
	for i := 0; i < len(node.Content); i += 2 {
		if node.Content[i].Tag == "!!merge" {
			return true
		}
	}
	return false
}

// checkWorkspaceFields adds a fault for each unknown field of a workspace, because decoding a single node is not strict.
func checkWorkspaceFields(node *yaml.Node, faults *yaml.TypeError) {
	for i := 0; i+1 < len(node.Content) && node.Kind == yaml.MappingNode; i += 2 {
		checkFieldNames(node.Content[i+1], faults)
	}
}

func checkFieldNames(node *yaml.Node, faults *yaml.TypeError) {
	for i := 0; i+1 < len(node.Content) && node.Kind == yaml.MappingNode; i += 2 {
		key := node.Content[i]
		switch {
		case key.Tag == "!!merge" && node.Content[i+1].Kind == yaml.MappingNode:
			checkFieldNames(node.Content[i+1], faults)
		case key.Tag != "!!merge" && !workspaceFields[key.Value]:
			faults.Errors = append(faults.Errors, fmt.Sprintf("line %d: field %s not found in type fleet.Workspace", key.Line, key.Value))
		}
	}
}
