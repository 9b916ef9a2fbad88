package entry

import (
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
)

// evacuated reports whether the configuration that this entry holds now evacuates the failure domain of a node. It may be
// newer than the configuration of a request in progress.
func (d *dispatcher) evacuated(node membership.Node) bool {
	snap := d.epochs.Snapshot()
	return snap != nil && snap.Evacuated(node.FailureDomain)
}

// checkEvacuated returns a failure if the node of an endpoint must not be sent work. It is called immediately before each
// message that starts work, because the routing view may not show a change of the configuration yet.
func (d *dispatcher) checkEvacuated(node membership.Node, ep *route.Endpoint) *failure {
	if !d.evacuated(node) {
		return nil
	}
	ep.SetAvailable(false, true)
	return &failure{err: errkind.New(errkind.NoEndpoint, "failure domain "+node.FailureDomain+" is evacuated"), evacuated: true}
}
