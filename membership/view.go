// Package membership tracks the nodes of the fleet and whether they are live. It combines the platform's VM list, records
// gossiped between nodes, and this node's own observations of replies and failures.
package membership

import (
	"time"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Node describes one node.
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
	Fault         string    // why the endpoint cannot serve; empty if it can
	OrderFault    string    // why the engine has not loaded all assigned versions; it serves those that it has loaded
	LastHeard     time.Time // newest evidence that the node runs; zero if none
	Load          *wire.Load
	Loaded        []endpoint.Version
}

// View is the interface to the membership for the other packages.
type View interface {
	// Entries returns the entries that may be live, this node included if it is an entry.
	Entries() []Node
	// Agents returns the agents that may be live.
	Agents() []Node
	// Endpoint returns the agent of the named endpoint.
	Endpoint(name string) (Node, bool)
	// ObserveLoad records a load report from a reply of an agent.
	ObserveLoad(load *wire.Load)
	// ObserveFailure records that the agent of an endpoint did not answer this node.
	ObserveFailure(endpoint string)
	// ObserveLeaving records that the agent of an endpoint refused work because it is leaving.
	ObserveLeaving(endpoint string)
}

var _ View = (*Table)(nil)
