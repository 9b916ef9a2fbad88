package fleet

import (
	"maps"
	"slices"
)

// sortedKeys returns the keys of m in order, so that every node derives the same lists from one text.
func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
