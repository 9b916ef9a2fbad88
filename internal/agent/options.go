// Package agent implements the sidecar process of one endpoint, which is a model engine or a plain service. The agent decides
// what its endpoint runs: it admits, queues, runs and cancels attempts, allocates the engine's KV memory, and is the only
// sender of orders, which tell the engine what model versions to load.
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
	Node          settings.Node
	TLS           settings.TLS
	Endpoint      string // name of the endpoint, as in the configuration text
	EndpointKind  string // fleet.KindModel or fleet.KindPlain
	Engine        endpoint.Engine
	Service       endpoint.Service
	Platform      cloud.Services
	Seeds         []string // addresses of entries
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen        func(ctx context.Context, network, addr string) (net.Listener, error) // nil: the default listener
	Log           *logrus.Logger
	Registry      *prometheus.Registry // nil: a new one
	CrashReporter CrashReporter        // nil: crashes are only logged and reported in the failures of the attempts
	NewPeer       PeerFactory          // nil: a peer of package peer

	Disabled Disabled // tests only
}

// Disabled selects mechanisms to disable, for tests that show that an invariant check reports a violation without them. Each
// field says what then happens.
type Disabled struct {
	Tombstones       bool // an attempt that was cancelled before it arrived runs
	Deadlines        bool // attempts continue after their deadline
	RecallCheck      bool // answers of recalled versions start
	Draining         bool // a draining agent admits new work
	KVRelease        bool // memory of finished attempts stays reserved
	IncarnationCheck bool // an attempt made for an earlier incarnation runs
	CallRecords      bool // non-idempotent calls run without a record
}

// Peer exchanges configuration and membership with the entries.
type Peer interface {
	// Run exchanges records with the entries until ctx ends.
	Run(ctx context.Context) error
	// Epochs returns the view of the configuration.
	Epochs() epoch.View
	// Members returns the membership view.
	Members() membership.View
	// WaitForEpoch fetches the configuration until the view holds the epoch or a later one. It returns the error of ctx if that
	// ends first.
	WaitForEpoch(ctx context.Context, epoch int64) error
}

// PeerParams are the parameters of a PeerFactory.
type PeerParams struct {
	Options          Options
	Incarnation      string
	FillRecord       func(*wire.NodeRecord) // fills load, loaded versions, leaving and fault
	WatchedEndpoints func() []string        // endpoints whose records the agent needs now
}

// PeerFactory constructs a Peer.
type PeerFactory func(PeerParams) (Peer, error)

// CrashReporter receives the fingerprints of the prompts that were running when the endpoint crashed.
type CrashReporter interface {
	ReportCrash(ctx context.Context, endpoint string, fingerprints []string) error
}
