// Package agent composes the sidecar process beside one endpoint. The agent is the authority on what its endpoint may
// run now: it admits, queues, runs and cancels attempts, owns the engine's KV memory, and is the only sender of orders.
package agent

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Options of an agent. Exactly one of Engine and Service is set, as EndpointKind says.
type Options struct {
	Node         settings.Node
	TLS          settings.TLS
	Endpoint     string // name of the endpoint, as in the configuration text
	EndpointKind string // fleet.KindModel or fleet.KindPlain
	Engine       endpoint.Engine
	Service      endpoint.Service
	Services     cloud.Services
	Seeds        []string // addresses of entries
	Dial         func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen       func(ctx context.Context, network, addr string) (net.Listener, error) // nil: the default listener
	Log          *logrus.Logger
	Registry     *prometheus.Registry // nil: an own one
	Crashes      CrashReporter        // nil: crashes are only logged and answered to the entries
	NewPeer      PeerFactory          // nil: the exchange loop of package peer

	Disabled Disabled // tests only
}

// Disabled turn mechanisms off, for tests that show that the check behind a mechanism reports a violation.
type Disabled struct {
	Tombstones       bool // an attempt that was cancelled before it arrived runs
	Deadlines        bool // attempts run on after their deadline
	RecallCheck      bool // answers of recalled versions start
	Draining         bool // a draining agent takes new work
	KVRelease        bool // memory of finished attempts stays reserved
	IncarnationCheck bool // an attempt made for an earlier incarnation runs
	CallRecords      bool // non-idempotent calls run without a record
}

// Peer is what the agent needs of the exchange between nodes.
type Peer interface {
	// Run exchanges with the entries until ctx ends.
	Run(ctx context.Context) error
	// Epochs returns the view of the configuration.
	Epochs() epoch.View
	// Members returns the view of the membership.
	Members() membership.View
	// WaitForEpoch returns when the view holds the epoch or a later one. Errors: the context's error.
	WaitForEpoch(ctx context.Context, epoch int64) error
}

// PeerParams are the parameters of a NewPeer.
type PeerParams struct {
	Options          Options
	Incarnation      string
	FillRecord       func(*wire.NodeRecord) // fills load, loaded versions, leaving and fault
	WatchedEndpoints func() []string        // endpoints whose records the agent needs now
}

// PeerFactory constructs the agent's part of the exchange.
type PeerFactory func(PeerParams) (Peer, error)

// CrashReporter receives the prompt fingerprints that were running when the endpoint crashed.
type CrashReporter interface {
	ReportCrash(ctx context.Context, endpoint string, fingerprints []string) error
}
