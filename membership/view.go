// Package member joins the platform's VM list, heartbeats and direct evidence into one view of the live nodes.
package membership

import (
	"time"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Node is one node of the view.
type Node struct {
	Name          string
	Addr          string // host:port of the internal listener
	FailureDomain string
	Role          cloud.VMRole
	Endpoint      string // agent: endpoint name
	EndpointKind  string // agent: fleet.KindModel or fleet.KindPlain
	Incarnation   string
	Epoch         int64
	Live          bool // may receive new work
	Leaving       bool
	Fault         string    // why the endpoint cannot serve, empty if it can
	OrderFault    string    // why the engine does not hold what the text derives; it still serves what it holds
	LastHeard     time.Time // newest evidence, zero if never heard
	Load          *wire.Load
	Loaded        []endpoint.Version
}

// View is what the other slices see of the membership.
type View interface {
	// Entries returns the entries that may be live, this node included if it is an entry.
	Entries() []Node
	// Agents returns the agents that may be live.
	Agents() []Node
	// Endpoint returns the agent beside the named endpoint.
	Endpoint(name string) (Node, bool)
	// ObserveLoad records load carried by a reply of the agent.
	ObserveLoad(load *wire.Load)
	// ObserveFailure records direct evidence that the agent of an endpoint does not answer.
	ObserveFailure(endpoint string)
	// ObserveLeaving records that an agent refused work because it is leaving.
	ObserveLeaving(endpoint string)
}

var _ View = (*Table)(nil)
