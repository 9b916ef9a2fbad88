package registry

import "fmt"

// A position is a place in the history of the store. A store that comes back from a copy gives its versions out again, in a new era.
// Positions combine both, so that a later one is always larger. A store without eras has positions that equal its versions.

const versionBits = 40

// Bounds of what a position can hold.
const (
	MaxEra     = 1<<(63-versionBits) - 1
	MaxVersion = 1<<versionBits - 1
)

// Position returns the position of a version of the store in an era. Both must be within the bounds.
func Position(era, version int64) int64 { return era<<versionBits | version }

// EraOf returns the era of a position.
func EraOf(position int64) int64 { return position >> versionBits }

// VersionOf returns the version of the store at a position.
func VersionOf(position int64) int64 { return position & MaxVersion }

// FormatPosition returns a position as text, for logs: the era and the version.
func FormatPosition(position int64) string {
	return fmt.Sprintf("%d.%d", EraOf(position), VersionOf(position))
}
