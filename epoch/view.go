// Package epoch accepts configuration texts, keeps the snapshot in force and propagates it between nodes.
package epoch

import "github.com/bilberrylink/bilberrylink/fleet"

// View is what the other slices see of the configuration.
type View interface {
	// Snapshot returns the snapshot in force at this node, or nil while none is known.
	Snapshot() *fleet.Snapshot
	// Fresh reports whether the evidence of the current epoch is younger than the freshness bound.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of the snapshot.
	Changed() <-chan struct{}
}

var _ View = (*Store)(nil)
