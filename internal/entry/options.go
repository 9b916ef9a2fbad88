// Package entry implements the entry daemon, which receives the callers' requests over HTTP. It admits a request, sends it
// to the agent of an endpoint, retries failed attempts and streams the answer to the caller. An entry holds no durable
// state.
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
	Platform            cloud.Services // clients of the platform: table, object store, weight store and VM list
	Seeds               []string       // internal addresses of some other nodes
	Dial                func(ctx context.Context, network, addr string) (net.Conn, error)
	Listen              func(ctx context.Context, network, addr string) (net.Listener, error) // nil: the default listener
	MemoryBytes         int64                                                                 // of the VM, from which the bounds for callers follow; 0: not stated, no bounds
	MaxFds              int                                                                   // file descriptors of the process; 0: not stated
	Log                 *logrus.Logger
	Policy              string            // routing policy; empty: route.LeastTTFT
	BalancerLag         time.Duration     // how long load balancers send new connections after /readyz fails; 0: DefaultBalancerLag
	DrainTimeout        time.Duration     // longest wait for open streams at shutdown; 0: DefaultDrainTimeout
	NewComponents       NewComponentsFunc // nil: the components of a production entry
	Disabled            Disabled          // tests only
}

// Defaults of Options.
const (
	DefaultBalancerLag  = 5 * time.Second
	DefaultDrainTimeout = 10 * time.Minute // covers the longest service timeout
)

// Timing holds the timeouts of a request's attempts. Zero values take the defaults.
type Timing struct {
	SilenceTimeout   time.Duration // a stream without frames for this long is resumed on a new connection
	CancelTimeout    time.Duration // longest wait for the reply to Cancel
	SettleTimeout    time.Duration // reserved before the deadline to determine the outcome of a failed non-idempotent call
	AnswerMargin     time.Duration // reserved before the deadline to write the response
	InitialBackoff   time.Duration // first delay after all candidates refused; it doubles up to maxBackoff
	ReservationLease time.Duration // lease of the KV memory reservations of a split prompt
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

// Disabled switches safety mechanisms off, so that tests can show that they fail without the mechanism.
type Disabled struct {
	Resume             bool // a silent or broken stream is not resumed
	RecallCheck        bool // the version of the first frame is not checked against recalls and the requested version
	FreshnessCheck     bool // answers start without fresh evidence of the current configuration
	Confinement        bool // a prompt that has never completed may go to any endpoint
	Cancel             bool // attempts are not cancelled at the agent
	Settlement         bool // a lost non-idempotent call is answered not_run without checking its idempotency record
	RetryBudget        bool // every retry is allowed
	TokenIndexCheck    bool // token positions are not checked
	SilenceTimeout     bool // silent connections are not detected
	FrameOwnerCheck    bool // frames of other attempts are accepted
	Deadline           bool // requests continue after their deadline
	ReservationRelease bool // reservations of a split prompt are not released; they end with their lease
	ReservationOrder   bool // reservations are made in the order of free memory instead of names
}

// Defaults for services whose configuration sets no limits, and fixed limits of requests.
const (
	defaultTimeout    = 30 * time.Second
	defaultMaxTimeout = 10 * time.Minute
	defaultMaxTokens  = 1024
	maxKeyLength      = 255
	chatBodyTimeout   = time.Minute // for reading a chat's body, which names the service and thereby the deadline
)
