package fleet

import (
	"maps"
	"slices"
)

// sortedKeys returns the sorted keys of m, so that all nodes derive the same lists from a text.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
