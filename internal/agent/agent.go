package agent

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/idempotency"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/kvledger"
	"github.com/bilberrylink/bilberrylink/limit/fairqueue"
	"github.com/bilberrylink/bilberrylink/ringbuffer"
	"github.com/bilberrylink/bilberrylink/wire"
)

const (
	queueCapacity    = 1024
	cancelCapacity   = 4096
	crashCapacity    = 64
	reportInterval   = 250 * time.Millisecond
	reportTimeout    = time.Second
	maintainInterval = 250 * time.Millisecond
	orderInterval    = time.Second
	// resumeWindow is how long an attempt runs on without a connection. An entry resumes after 3 s of silence and may
	// need several tries.
	resumeWindow = 10 * time.Second
	// runLease is the lease of a running attempt's memory, renewed while its stream is attached or may be resumed.
	runLease = 15 * time.Second
	// finishedKept is how long a finished stream can be resumed.
	finishedKept = 15 * time.Second
)

// Agent runs beside one endpoint.
type Agent struct {
	opts        Options
	incarnation string
	born        time.Time
	log         *logrus.Entry
	registry    *prometheus.Registry
	metrics     *metrics
	peer        Peer
	once        *idempotency.Store
	ledger      *kvledger.Ledger
	queue       *fairqueue.Queue[*attempt]
	kick        chan struct{} // one token while the scheduler has work
	cancels     *ringbuffer.Buffer[string]
	crashes     *ringbuffer.Buffer[crash]
	sequence    atomic.Uint64
	late        atomic.Int64 // calls that run on after their deadline to record the outcome
	estimates   estimates
	orderState  orderState
	reorder     chan struct{}

	mu          sync.Mutex
	attempts    map[string]*attempt // by attempt id, until finishedKept after the end
	refused     *tombstones         // answered not_run; a later run is refused
	past        *tombstones         // may have run; a later run is refused without a statement
	segments    map[string]hold     // reservations for segments of long prompts
	outstanding outstanding
	kvWaiters   [2]*attempt // queued attempts that wait in the ledger: long, short
	report      endpoint.LoadReport
	reported    time.Time // when report arrived
	down        bool      // the endpoint does not answer
	downAt      time.Time // when down was set last
	fault       string
	draining    time.Time // zero: not draining

	ctx      context.Context
	stop     context.CancelFunc
	duties   sync.WaitGroup
	server   *http.Server
	listener net.Listener

	beforeCall func() // tests only: runs between the `started` write and the call
}

// hold is what a reservation was made for.
type hold struct {
	version   endpoint.Version
	workspace string
}

// New returns an agent that is not started yet.
func New(opts Options) (*Agent, error) {
	if (opts.Engine == nil) == (opts.Service == nil) {
		return nil, errors.New("agent: exactly one of Engine and Service is required")
	}
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.Registry == nil {
		opts.Registry = prometheus.NewRegistry()
	}
	if opts.NewPeer == nil {
		opts.NewPeer = defaultPeer
	}
	a := &Agent{
		opts:        opts,
		incarnation: newIncarnation(),
		log:         opts.Log.WithFields(logrus.Fields{"node": opts.Node.Name, "endpoint": opts.Endpoint}),
		registry:    opts.Registry,
		metrics:     newMetrics(opts.Registry),
		queue:       fairqueue.New[*attempt](fairqueue.Options{Capacity: queueCapacity, OvertakeLimit: overtakeTokens}),
		kick:        make(chan struct{}, 1),
		reorder:     make(chan struct{}, 1),
		cancels:     ringbuffer.New[string](cancelCapacity),
		crashes:     ringbuffer.New[crash](crashCapacity),
		attempts:    make(map[string]*attempt),
		refused:     newTombstones(),
		past:        newTombstones(),
		born:        time.Now(),
		segments:    make(map[string]hold),
	}
	a.ctx, a.stop = context.WithCancel(context.Background())
	a.ledger = kvledger.New(kvledger.Options{OnChange: a.schedule})
	a.once = idempotency.New(idempotency.Options{Table: opts.Services.Table, Objects: opts.Services.Objects, TTL: a.idempotencyTTL,
		Log: opts.Log, Registerer: opts.Registry})
	a.registerGauges()
	_ = opts.Registry.Register(invariant.Collector()) // agents of one process share the collector and maybe the registry
	return a, a.connect()
}

func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

func (a *Agent) connect() error {
	peer, err := a.opts.NewPeer(PeerParams{Options: a.opts, Incarnation: a.incarnation, FillRecord: a.describe, WatchedEndpoints: a.watch})
	a.peer = peer
	return errors.Wrap(err, "connect to the exchange")
}

func (a *Agent) idempotencyTTL() time.Duration {
	if s := a.peer.Epochs().Snapshot(); s != nil {
		return s.Text.Settings.IdempotencyTTL
	}
	return fleet.DefaultIdempotencyTTL
}

func (a *Agent) isModel() bool { return a.opts.Engine != nil }

// Start opens the internal listener and starts the duties. failed is called if the listener breaks.
func (a *Agent) Start(failed func(error)) error {
	if err := a.listen(failed); err != nil {
		return err
	}
	a.startDuties()
	return nil
}

// startDuties starts one goroutine per duty.
func (a *Agent) startDuties() {
	a.duty(a.peer.Run)
	a.duty(a.once.Run)
	a.duty(a.runScheduler)
	a.duty(a.runMaintenance)
	a.duty(a.watchEpochs)
	a.duty(a.reportCrashes)
	if a.isModel() {
		a.duty(a.runReporter)
		a.duty(a.runOrders)
		a.duty(a.runCancels)
		return
	}
	a.duty(a.runHealth)
}

func (a *Agent) duty(run func(context.Context) error) {
	a.duties.Go(func() {
		if err := run(a.ctx); err != nil && a.ctx.Err() == nil {
			a.log.WithError(err).Error("background duty ended")
		}
	})
}

// Stop drains, waits for the running work until ctx ends, and closes the listener.
func (a *Agent) Stop(ctx context.Context) error {
	a.startDraining()
	a.waitIdle(ctx)
	err := a.closeServer(ctx)
	a.stop()
	a.duties.Wait()
	return err
}

// waitIdle returns when nothing runs, every answer was delivered or cannot be resumed any more, and every record is
// written, or when ctx ends.
func (a *Agent) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !a.idle() || a.late.Load() > 0 || a.once.PendingWrites() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) idle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.attempts {
		if !att.isDone() || !att.delivered() {
			return false
		}
	}
	return len(a.segments) == 0
}

// startDraining makes the agent refuse new work and finish what runs. It returns the number of attempts in progress.
func (a *Agent) startDraining() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.draining.IsZero() {
		a.draining = time.Now()
		a.log.Info("draining: new work is refused")
	}
	running := 0
	for _, att := range a.attempts {
		if !att.isDone() {
			running++
		}
	}
	return running
}

func (a *Agent) isDraining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.draining.IsZero() && !a.opts.Disabled.Draining
}

// describe fills the agent's own record for the exchange.
func (a *Agent) describe(record *wire.NodeRecord) {
	record.Load = a.load()
	a.mu.Lock()
	defer a.mu.Unlock()
	record.Leaving = !a.draining.IsZero()
	record.Fault = a.faultLocked()
	record.OrderFault = a.orderState.fault
	record.Loaded = nil
	for _, v := range a.report.Loaded {
		record.Loaded = append(record.Loaded, wire.EncodeVersion(v))
	}
}

func (a *Agent) faultLocked() string {
	if a.down {
		return "endpoint does not answer"
	}
	return a.fault
}

// load returns the fresh load, as carried by every reply.
func (a *Agent) load() *wire.Load {
	a.mu.Lock()
	sent := a.outstanding.byClass()
	report := a.report
	a.mu.Unlock()
	urgent := int64(a.queue.QueuedCost(fleet.ClassUrgent)) + int64(sent[0])
	interactive := int64(a.queue.QueuedCost(fleet.ClassInteractive)) + int64(sent[0]+sent[1]) - urgent
	all := int64(a.queue.QueuedCost(fleet.ClassBulk)) + int64(sent[0]+sent[1]+sent[2])
	return &wire.Load{
		Endpoint:          a.opts.Endpoint,
		Sequence:          a.sequence.Add(1),
		QueuedPrefill:     all,
		KvFree:            int64(max(a.ledger.Capacity()-a.ledger.Reserved(), 0)),
		KvCapacity:        int64(a.ledger.Capacity()),
		PrefillRate:       int64(report.PrefillTokensPerSecond),
		Running:           int32(a.queue.Running()),
		Waiting:           int32(a.queue.Len()),
		QueuedUrgent:      urgent,
		QueuedInteractive: interactive,
		Incarnation:       a.incarnation,
	}
}

func handlesFromWire(handles []*wire.KVHandle) []endpoint.KVHandle {
	out := make([]endpoint.KVHandle, 0, len(handles))
	for _, h := range handles {
		out = append(out, endpoint.KVHandle{Engine: h.GetEngine(), ID: h.GetId(), Tokens: int(h.GetTokens()), Version: wire.DecodeVersion(h.GetVersion())})
	}
	return out
}
