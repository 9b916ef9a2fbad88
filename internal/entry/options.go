// Package entry composes the slices into the entry daemon: the callers' HTTP interface, admission, dispatch to agents,
// retries, and the answer stream to the caller. An entry holds no durable state.
package entry

import (
	"context"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/internal/settings"
)

// Options configures an entry.
type Options struct {
	Node                settings.Node
	TLS                 settings.TLS
	CallerListenAddr    string         // host:port for callers and operators
	OperatorTokenHashes []string       // NAME=HASH or HASH, see operator.ParseToken
	Platform            cloud.Services // the platform
	Seeds               []string       // internal addresses of some other nodes
	Dial                func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen              func(ctx context.Context, network, addr string) (net.Listener, error) // nil: the default listener
	Log                 *logrus.Logger
	Policy              string            // routing policy; empty: route.LeastTTFT
	BalancerLag         time.Duration     // time between a failing /readyz and the end of new connections; 0: DefaultBalancerLag
	DrainTimeout        time.Duration     // bound on finishing streams; 0: DefaultDrainTimeout
	NewComponents       NewComponentsFunc // nil: the membership and configuration exchange of this node
	Disabled            Disabled          // tests only
}

// Defaults of Options.
const (
	DefaultBalancerLag  = 5 * time.Second
	DefaultDrainTimeout = 10 * time.Minute // covers the longest service timeout
)

// Timing bounds the waits of a dispatch. Zero values take the defaults.
type Timing struct {
	SilenceTimeout   time.Duration // silence after which a stream is resumed on a new connection
	CancelTimeout    time.Duration // wait for an agent's answer to Cancel
	SettleTimeout    time.Duration // reserved before the deadline to settle a non-idempotent call
	AnswerMargin     time.Duration // reserved before the deadline to write the answer
	InitialBackoff   time.Duration // first pause after all candidates refused
	ReservationLease time.Duration // lease of the reservations of a split prompt
	MaxReserveWait   time.Duration // longest wait for one reservation
}

func (t Timing) withDefaults() Timing {
	set := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&t.SilenceTimeout, 3*time.Second)
	set(&t.CancelTimeout, 500*time.Millisecond)
	set(&t.SettleTimeout, time.Second)
	set(&t.AnswerMargin, 100*time.Millisecond)
	set(&t.InitialBackoff, 50*time.Millisecond)
	set(&t.ReservationLease, 6*time.Second)
	set(&t.MaxReserveWait, 30*time.Second)
	return t
}

// Disabled switches safety mechanisms off. It is for tests only: each check must be shown to fail without its mechanism.
type Disabled struct {
	Resume             bool // a silent or broken stream is not resumed
	RecallCheck        bool // the first frame's version is not checked
	FreshnessCheck     bool // answers start without fresh evidence
	Confinement        bool // first runs may go to any endpoint
	Cancel             bool // attempts are not cancelled at the agent
	Settlement         bool // a lost non-idempotent call is answered not_run without the row
	RetryBudget        bool // every retry is allowed
	TokenIndexCheck    bool // token positions are not checked
	SilenceTimeout     bool // silent connections are not noticed
	FrameOwnerCheck    bool // frames of other attempts are taken
	Deadline           bool // requests run on after their deadline
	ReservationRelease bool // reservations of a split prompt are left to their lease
	ReservationOrder   bool // reservations are taken in the order of free memory
}

// maxima of single requests that hold whatever the configuration text says.
const (
	defaultTimeout    = 30 * time.Second
	defaultMaxTimeout = 10 * time.Minute
	defaultMaxTokens  = 1024
	maxKeyLength      = 255
	bodyTimeout       = time.Minute // to read a chat's body, before its service and deadline are known
)
