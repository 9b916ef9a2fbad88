package fleet

import (
	"fmt"
	"maps"
	"reflect"
	"slices"

	"go.yaml.in/yaml/v3"
)

// Diff returns the differences between two texts as lines in the order of their paths: "+ path: value" for an addition,
// "- path: value" for a removal and "~ path: old -> new" for a change. Comments and formatting are ignored. A nil text
// counts as empty.
func Diff(old, new *Text) []string {
	old, new = changedParts(old, new)
	before, after := flatten(old), flatten(new)
	var lines []string
	for path, value := range before {
		newValue, kept := after[path]
		switch {
		case !kept:
			lines = append(lines, fmt.Sprintf("- %s: %s", path, value))
		case newValue != value:
			lines = append(lines, fmt.Sprintf("~ %s: %s -> %s", path, value, newValue))
		}
	}
	for path, value := range after {
		if _, existed := before[path]; !existed {
			lines = append(lines, fmt.Sprintf("+ %s: %s", path, value))
		}
	}
	slices.SortFunc(lines, func(a, b string) int { return slices.Compare([]byte(a[2:]), []byte(b[2:])) })
	return lines
}

// changedParts returns copies of two texts without the named items that are equal in both. Flattening 11,000 workspaces
// when one has changed would allocate about 500 MB.
func changedParts(old, new *Text) (*Text, *Text) {
	if old == nil || new == nil {
		return old, new
	}
	before, after := *old, *new
	before.Services, after.Services = changedItems(old.Services, new.Services)
	before.Models, after.Models = changedItems(old.Models, new.Models)
	before.Adapters, after.Adapters = changedItems(old.Adapters, new.Adapters)
	before.Batches, after.Batches = changedItems(old.Batches, new.Batches)
	before.Workspaces, after.Workspaces = changedItems(old.Workspaces, new.Workspaces)
	return &before, &after
}

func changedItems[M ~map[string]V, V any](old, new M) (before, after M) {
	before, after = maps.Clone(old), maps.Clone(new)
	for name, item := range old {
		if newItem, kept := new[name]; kept && reflect.DeepEqual(item, newItem) {
			delete(before, name)
			delete(after, name)
		}
	}
	return before, after
}

// flatten returns the values of a text by path. Lists of names are treated as sets, while call rules have their index in
// the path.
func flatten(t *Text) map[string]string {
	values := make(map[string]string)
	if t == nil {
		return values
	}
	raw, err := yaml.Marshal(t)
	if err != nil {
		return values
	}
	var tree any
	if err := yaml.Unmarshal(raw, &tree); err != nil {
		return values
	}
	flattenInto(values, "", tree)
	return values
}

func flattenInto(values map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			flattenInto(values, joinPath(path, key), child)
		}
	case []any:
		for i, child := range v {
			if s, ok := child.(string); ok {
				values[joinPath(path, s)] = "listed"
				continue
			}
			flattenInto(values, fmt.Sprintf("%s[%d]", path, i), child)
		}
	case nil:
	default:
		if text := fmt.Sprint(v); text != "" && text != "0" && text != "false" {
			values[path] = text
		}
	}
}

func joinPath(path, key string) string {
	if path == "" {
		return key
	}
	return path + "." + key
}
