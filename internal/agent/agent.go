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
	queueCapacity        = 1024
	cancelBufferCapacity = 4096
	crashBufferCapacity  = 64
	reportInterval       = 250 * time.Millisecond
	reportTimeout        = time.Second
	maintainInterval     = 250 * time.Millisecond
	orderInterval        = time.Second
	// resumeWindow is how long an attempt continues without a connection. An entry resumes after 3 s of silence and may need
	// several tries.
	resumeWindow = 10 * time.Second
	// attemptLease is the lease of a running attempt's memory. It is renewed while the stream has a connection or may be resumed.
	attemptLease = 15 * time.Second
	// finishedRetention is how long the stream of a finished attempt can be resumed.
	finishedRetention = 15 * time.Second
)

// Agent is the sidecar of one endpoint.
type Agent struct {
	opts           Options
	incarnation    string
	startedAt      time.Time
	log            *logrus.Entry
	registry       *prometheus.Registry
	metrics        *metrics
	peer           Peer
	idempotency    *idempotency.Store
	ledger         *kvledger.Ledger
	queue          *fairqueue.Queue[*attempt]
	limit          requestLimit
	wakeup         chan struct{} // holds a value while the scheduler has work
	pendingCancels *ringbuffer.Buffer[string]
	pendingCrashes *ringbuffer.Buffer[crash]
	loadSequence   atomic.Uint64 // of the last wire.Load
	lateCalls      atomic.Int64  // calls that continue after their deadline so that their outcome is recorded
	estimates      estimates
	orderState     orderState
	orderRequested chan struct{} // holds a value while runOrders has work

	mu                  sync.Mutex
	attempts            map[string]*attempt           // by attempt ID, until finishedRetention after the end
	refusedIDs          *tombstones                   // attempts answered with not_run; refused with not_run if they arrive again
	pastIDs             *tombstones                   // attempts that may have run; refused with RunUnknown if they arrive again
	segmentReservations map[string]segmentReservation // reservations for segments of long prompts, by name
	outstanding         outstandingTokens
	memoryWaiters       [2]*attempt // the long and the short attempt that wait for memory in the ledger
	report              endpoint.LoadReport
	reportedAt          time.Time // when report arrived
	down                bool      // the endpoint does not respond
	downAt              time.Time // when down was last set
	fault               string    // why the endpoint cannot serve; empty: it can
	drainingSince       time.Time // zero: not draining
	pausedUntil         time.Time // the endpoint wants no requests before this time

	ctx      context.Context
	cancel   context.CancelFunc
	tasks    sync.WaitGroup
	server   *http.Server
	listener net.Listener

	beforeCallHook func() // tests only: runs after the row is written as started and before the call
}

// segmentReservation describes the reservation of a segment.
type segmentReservation struct {
	version   endpoint.Version
	workspace string
}

// New returns an agent; Start starts it.
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
		opts:                opts,
		incarnation:         newIncarnation(),
		log:                 opts.Log.WithFields(logrus.Fields{"node": opts.Node.Name, "endpoint": opts.Endpoint}),
		registry:            opts.Registry,
		metrics:             newMetrics(opts.Registry),
		queue:               fairqueue.New[*attempt](fairqueue.Options{Capacity: queueCapacity, OvertakeLimit: maxOvertakeTokens}),
		wakeup:              make(chan struct{}, 1),
		orderRequested:      make(chan struct{}, 1),
		pendingCancels:      ringbuffer.New[string](cancelBufferCapacity),
		pendingCrashes:      ringbuffer.New[crash](crashBufferCapacity),
		attempts:            make(map[string]*attempt),
		refusedIDs:          newTombstones(),
		pastIDs:             newTombstones(),
		startedAt:           time.Now(),
		segmentReservations: make(map[string]segmentReservation),
	}
	a.ctx, a.cancel = context.WithCancel(context.Background())
	a.ledger = kvledger.New(kvledger.Options{OnChange: a.wakeScheduler})
	a.idempotency = idempotency.New(idempotency.Options{Table: opts.Platform.Table, Objects: opts.Platform.Objects,
		TTL: a.idempotencyTTL, Log: opts.Log, Registerer: opts.Registry})
	a.registerGauges()
	_ = opts.Registry.Register(invariant.Collector()) // fails if another agent of the process has registered it
	return a, a.createPeer()
}

func newIncarnation() string {
	return strconv.FormatInt(time.Now().UnixNano(), 36) + "-" + strconv.FormatUint(rand.Uint64(), 36)
}

func (a *Agent) createPeer() error {
	peer, err := a.opts.NewPeer(PeerParams{Options: a.opts, Incarnation: a.incarnation, FillRecord: a.fillRecord,
		WatchedEndpoints: a.watchedEndpoints})
	a.peer = peer
	return errors.Wrap(err, "create exchange peer")
}

func (a *Agent) idempotencyTTL() time.Duration {
	if s := a.peer.Epochs().Snapshot(); s != nil {
		return s.Text.Settings.IdempotencyTTL
	}
	return fleet.DefaultIdempotencyTTL
}

func (a *Agent) hasEngine() bool { return a.opts.Engine != nil }

// Start opens the internal listener and starts the background tasks. failed is called if the server ends with an error.
func (a *Agent) Start(failed func(error)) error {
	if err := a.listen(failed); err != nil {
		return err
	}
	a.startTasks()
	return nil
}

// startTasks starts a goroutine for each background task.
func (a *Agent) startTasks() {
	a.startTask(a.peer.Run)
	a.startTask(a.idempotency.Run)
	a.startTask(a.runScheduler)
	a.startTask(a.runMaintenance)
	a.startTask(a.watchEpochs)
	a.startTask(a.runCrashReporter)
	if a.hasEngine() {
		a.startTask(a.runReporter)
		a.startTask(a.runOrders)
		a.startTask(a.runCancels)
		return
	}
	a.startTask(a.runHealthChecks)
}

func (a *Agent) startTask(run func(context.Context) error) {
	a.tasks.Go(func() {
		if err := run(a.ctx); err != nil && a.ctx.Err() == nil {
			a.log.WithError(err).Error("background task failed")
		}
	})
}

// Stop drains the agent, waits for running work until ctx ends, closes the listener and stops the background tasks.
func (a *Agent) Stop(ctx context.Context) error {
	a.startDraining()
	a.waitIdle(ctx)
	err := a.closeServer(ctx)
	a.cancel()
	a.tasks.Wait()
	return err
}

// waitIdle returns when nothing runs, all answers are delivered or can no longer be resumed, and all records are written, or
// when ctx ends.
func (a *Agent) waitIdle(ctx context.Context) {
	ticker := time.NewTicker(50 * time.Millisecond)
	defer ticker.Stop()
	for !a.isIdle() || a.lateCalls.Load() > 0 || a.idempotency.PendingWrites() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (a *Agent) isIdle() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, att := range a.attempts {
		if !att.isDone() || !att.delivered() {
			return false
		}
	}
	return len(a.segmentReservations) == 0
}

// startDraining makes the agent refuse new work and finish the attempts in progress. It returns their number.
func (a *Agent) startDraining() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.drainingSince.IsZero() {
		a.drainingSince = time.Now()
		a.log.Info("draining; refusing new work")
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
	return !a.drainingSince.IsZero() && !a.opts.Disabled.Draining
}

// fillRecord fills the agent's record for the exchange.
func (a *Agent) fillRecord(record *wire.NodeRecord) {
	record.Load = a.currentLoad()
	a.mu.Lock()
	defer a.mu.Unlock()
	record.Leaving = !a.drainingSince.IsZero()
	record.Fault = a.faultLocked()
	record.OrderFault = a.orderState.fault
	record.Loaded = nil
	for _, v := range a.report.Loaded {
		record.Loaded = append(record.Loaded, wire.EncodeVersion(v))
	}
}

// faultLocked returns why the endpoint cannot serve, or "". The caller holds mu.
func (a *Agent) faultLocked() string {
	if a.down {
		return "endpoint does not answer"
	}
	return a.fault
}

// currentLoad returns the load, which every reply carries.
func (a *Agent) currentLoad() *wire.Load {
	a.mu.Lock()
	dispatched := a.outstanding.byClass()
	report := a.report
	a.mu.Unlock()
	urgent := int64(a.queue.QueuedCost(fleet.ClassUrgent)) + int64(dispatched[0])
	interactive := int64(a.queue.QueuedCost(fleet.ClassInteractive)) + int64(dispatched[0]+dispatched[1]) - urgent
	total := int64(a.queue.QueuedCost(fleet.ClassBulk)) + int64(dispatched[0]+dispatched[1]+dispatched[2])
	return &wire.Load{
		Endpoint:          a.opts.Endpoint,
		Sequence:          a.loadSequence.Add(1),
		QueuedPrefill:     total,
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

func decodeHandles(handles []*wire.KVHandle) []endpoint.KVHandle {
	decoded := make([]endpoint.KVHandle, 0, len(handles))
	for _, h := range handles {
		decoded = append(decoded, endpoint.KVHandle{Engine: h.GetEngine(), ID: h.GetId(), Tokens: int(h.GetTokens()),
			Version: wire.DecodeVersion(h.GetVersion())})
	}
	return decoded
}
