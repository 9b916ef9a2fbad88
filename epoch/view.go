// Package epoch accepts configuration texts from operators and keeps each node's current snapshot.
//
// An epoch is the version number of the fleet's configuration text; each accepted text increments it by one. The row
// fleet/current in the table refers to the current text in the object store. Nodes adopt higher epochs only. A node holds
// an epoch once it has adopted its text, and the epoch is in force once no node can serve under an earlier one any more.
package epoch

import "github.com/bilberrylink/bilberrylink/fleet"

// View is read access to a node's configuration.
type View interface {
	// Snapshot returns the snapshot that this node uses, or nil if it has none yet.
	Snapshot() *fleet.Snapshot
	// Fresh reports whether the evidence that the snapshot is current is younger than the freshness bound.
	Fresh() bool
	// Changed returns a channel that is closed at the next change of the snapshot.
	Changed() <-chan struct{}
}

var _ View = (*Store)(nil)
