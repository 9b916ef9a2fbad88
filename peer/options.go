// Package peer implements the gossip protocol between the nodes of a fleet. Each node periodically exchanges epochs,
// membership, load, freshness evidence and blame records with a random entry; entries also push new epochs immediately.
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

// Defaults and limits of the exchange. The limits keep the traffic of a node below 21 KB/s at 1,130 nodes.
const (
	DefaultInterval     = time.Second
	pushFanout          = 4   // entries to which a node pushes a new epoch
	maxRecordBytes      = 400 // total size of the changed node records per message between entries, about two records
	maxMissingNames     = 24  // records that a request asks for by name
	maxUpdates          = 12  // node updates per message between entries, about 40 bytes each
	maxPushRecords      = 64  // records of leaving or returned nodes per push
	maxBlames           = 16  // blame records per message
	maxKnownEntries     = 8   // entry addresses in a reply to an agent
	maxWatchedEndpoints = 48  // endpoints that an agent watches during a rollout
	fetchQueueCapacity  = 64  // queued addresses of entries with a newer text
	maxExchangeAttempts = 3   // entries tried per interval if exchanges fail
	listedVMsPerSecond  = 20  // VM list entries read per second and node: a larger list is read less often
	minListInterval     = time.Second
	confirmRetryDelay   = 100 * time.Millisecond
	announceRetryDelay  = 100 * time.Millisecond
	probeDeadEntryOneIn = 10 // one in this many exchanges goes to an entry that appears dead, so that partitions heal
)

// BlameStore stores the records of prompts that are suspected of crashing endpoints or blamed for it.
type BlameStore interface {
	// RecentRecords returns up to limit records to send to other nodes, newest first.
	RecentRecords(limit int) []*wire.BlameRecord
	// MergeRecords adds records received from another node.
	MergeRecords(records []*wire.BlameRecord)
}

// Options configures a Peer.
type Options struct {
	Name             string
	Addr             string // host:port by which other nodes reach this one
	FailureDomain    string
	Role             cloud.VMRole
	Endpoint         string // endpoint name, agents only
	EndpointKind     string // fleet.KindModel or fleet.KindPlain, agents only
	Incarnation      string // different at each start of the process
	Seeds            []string
	Services         cloud.Services
	Client           func(addr string) wire.Peer
	Interval         time.Duration          // between exchanges; default DefaultInterval if zero
	FillRecord       func(*wire.NodeRecord) // sets load, loaded versions, leaving and fault of this node's record; may be nil
	WatchedEndpoints func() []string        // endpoints whose records an agent needs for rollouts; may be nil
	Blames           BlameStore             // may be nil
	Log              *logrus.Logger         // may be nil
	Registerer       prometheus.Registerer  // may be nil

	// Store replaces the default epoch store. Tests use it to disable safety mechanisms.
	Store *epoch.Store
	// PollOnly disables the exchange of epochs and evidence, so that every node only polls the table. The propagation
	// benchmark uses it as the baseline.
	PollOnly bool
}

func (o *Options) validate() error {
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
