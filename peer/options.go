// Package peer is the exchange loop and the wire.Peer server of one node. Nodes pass on epochs, membership, load,
// freshness evidence and blames by periodic exchange with a random entry, and push new epochs at once.
package peer

import (
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Defaults and bounds of the exchange. The bounds keep a node within 21 KB/s at 1,130 nodes.
const (
	DefaultInterval  = time.Second
	fanout           = 4   // entries to which a node sends a new epoch
	maxRecordBytes   = 400 // of node records with news per message between entries, about two
	maxUnheard       = 24  // records that a request asks for by name
	maxUpdates       = 12  // per message between entries, about 40 bytes each
	maxUrgent        = 64  // leaving nodes per push
	maxBlames        = 16  // blame records per message
	maxKnown         = 8   // entry addresses in a reply to an agent
	maxWatch         = 48  // endpoints that an agent watches in a rollout
	maxAsks          = 64  // pending requests for a newer text
	exchangeTries    = 3   // targets tried per interval while exchanges fail
	listNodesPerSec  = 20  // with the size of the fleet the list grows; nodes then read it less often
	minListInterval  = time.Second
	confirmPause     = 100 * time.Millisecond
	probeDeadOneInto = 10 // one exchange in ten goes to an entry that does not look live, so that partitions heal
)

// BlameStore keeps the records of suspects and blamed prompts.
type BlameStore interface {
	// Outgoing returns up to limit records to pass on, newest first.
	Outgoing(limit int) []*wire.BlameRecord
	// Merge takes over records from another node.
	Merge(records []*wire.BlameRecord)
}

// Options configure a Peer.
type Options struct {
	Name             string
	Addr             string // host:port by which other nodes reach this one
	FailureDomain    string
	Role             cloud.VMRole
	Endpoint         string // agent: endpoint name
	EndpointKind     string // agent: fleet.KindModel or fleet.KindPlain
	Incarnation      string // differs at each start
	Seeds            []string
	Services         cloud.Services
	Client           func(addr string) wire.Peer
	Interval         time.Duration          // between exchanges; 0: DefaultInterval
	FillRecord       func(*wire.NodeRecord) // fills load, loaded versions, leaving and fault; may be nil
	WatchedEndpoints func() []string        // agent: endpoints whose records it needs now, for rollouts; may be nil
	Blames           BlameStore             // may be nil
	Log              *logrus.Logger         // may be nil
	Registerer       prometheus.Registerer  // may be nil

	// Store replaces the epoch store; tests use it to switch mechanisms off.
	Store *epoch.Store
	// PollOnly switches exchange of epochs and evidence off, so that every node learns from the table alone. It is the
	// baseline of the propagation benchmark.
	PollOnly bool
}

func (o *Options) check() error {
	switch {
	case o.Name == "" || o.Addr == "" || o.Incarnation == "":
		return errors.New("peer: name, address and incarnation are required")
	case o.Role != cloud.RoleEntry && o.Role != cloud.RoleAgent:
		return errors.Errorf("peer: unknown role %q", o.Role)
	case o.Client == nil:
		return errors.New("peer: a client is required")
	case o.Role == cloud.RoleEntry && (o.Services.Table == nil || o.Services.Objects == nil):
		return errors.New("peer: an entry needs the table and the object store")
	}
	if o.Interval <= 0 {
		o.Interval = DefaultInterval
	}
	if o.Log == nil {
		o.Log = logrus.New()
		o.Log.SetLevel(logrus.PanicLevel)
	}
	if o.Store == nil {
		o.Store = epoch.NewStore(o.FailureDomain)
	}
	return nil
}
