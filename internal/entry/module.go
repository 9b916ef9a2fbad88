package entry

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
)

// Components holds the components of an entry that other packages implement.
type Components struct {
	Epochs          epoch.View
	Members         membership.View
	Idempotency     IdempotencyStore                  // nil: lost non-idempotent calls have an unknown outcome
	OperatorRoutes  []func(*mux.Router)               // register the operators' routes on the callers' listener
	InternalHandler http.Handler                      // serves the internal listener; nil: there is no such listener
	BackgroundJobs  []func(ctx context.Context) error // run in the background until the entry stops
}

// ComponentParams holds the arguments of a NewComponentsFunc.
type ComponentParams struct {
	Options       Options
	Blames        blame.Gossip
	BlamedPrompts func() []blame.Record // blamed prompts that this entry knows
	Registerer    prometheus.Registerer
	Leaving       func() bool // whether the entry is stopping, for its node record
	Log           *logrus.Logger
}

// NewComponentsFunc constructs the components of an entry that other packages implement.
type NewComponentsFunc func(ComponentParams) (Components, error)

// Module returns the fx module of an entry daemon.
func Module(opts Options) fx.Option {
	if opts.Log == nil {
		opts.Log = logrus.StandardLogger()
	}
	if opts.BalancerLag == 0 {
		opts.BalancerLag = DefaultBalancerLag
	}
	if opts.DrainTimeout == 0 {
		opts.DrainTimeout = DefaultDrainTimeout
	}
	return fx.Options(
		fx.StopTimeout(opts.BalancerLag+opts.DrainTimeout+stopTimeoutMargin),
		fx.Provide(func() (*daemon, error) { return newDaemon(opts, Timing{}, opts.Disabled) }),
		fx.Invoke(func(lc fx.Lifecycle, d *daemon) {
			lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
		}),
	)
}

// stopTimeoutMargin is the time that is left for closing the listeners after the drain.
const stopTimeoutMargin = 5 * time.Second

// answerMargin is the time before the end of the drain that is left for answering the requests that are still open.
const answerMargin = time.Second

// errEntryStops is the reason why the context of a request ends when the entry has no more time for it.
var errEntryStops = errors.New("entry stops")

// viewRefreshInterval is the interval at which the routing view takes over liveness and load from the membership.
const viewRefreshInterval = 250 * time.Millisecond

// Limits for connections of callers.
const (
	// readHeaderTimeout bounds the time in which a caller sends the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// callerIdleTimeout closes idle keep-alive connections. Load balancers reuse theirs within a shorter time.
	callerIdleTimeout = 5 * time.Minute
	// maxHeaderBytes bounds the headers of a request if the memory is stated. Otherwise the bound is that of net/http, 1 MB.
	maxHeaderBytes = 64 << 10
)

// daemon is one running entry.
type daemon struct {
	opts           Options
	components     Components
	server         *server
	blames         *blame.Tracker
	routingView    *route.View
	intake         *intake.Budget // of callers
	callerServer   *http.Server
	internalServer *http.Server
	callerListener net.Listener
	cancel         context.CancelFunc
	requests       context.Context // of all requests of callers
	endRequests    context.CancelCauseFunc
	endedJobs      chan struct{} // receives one value for each background job that ends
	jobCount       int           // background jobs that were started
}

func newDaemon(opts Options, timing Timing, disabled Disabled) (*daemon, error) {
	tlsConfig, err := transport.ClientTLSConfig(opts.TLS)
	if err != nil {
		return nil, errors.Wrap(err, "TLS of the connections to agents")
	}
	policy, err := route.NewPolicy(opts.Policy)
	if err != nil {
		return nil, err
	}
	reg := prometheus.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
		invariant.Collector())
	d := &daemon{opts: opts, routingView: route.NewView(route.Options{SettleTime: maxSettleTime})}
	d.requests, d.endRequests = context.WithCancelCause(context.Background())
	d.server = &server{metrics: newMetrics(reg), gatherer: reg, log: opts.Log, startedAt: time.Now(),
		rateLimiter: limit.NewRateLimiter(limit.RateLimiterOptions{})}
	d.blames = blame.New(blame.Options{Table: opts.Platform.Table, TTL: d.blameTTL, Log: opts.Log, Registerer: reg})
	d.intake = intake.New(intake.Options{Sizes: intake.SizesFor(opts.MemoryBytes, opts.MaxFds), Limits: d.callerLimits, Log: opts.Log,
		Registerer: prometheus.WrapRegistererWith(prometheus.Labels{"listener": "callers"}, reg)})
	if err := d.buildComponents(reg); err != nil {
		return nil, err
	}
	d.server.epochs, d.server.members = d.components.Epochs, d.components.Members
	d.server.dispatch = newDispatcher(dispatcherOptions{
		Epochs:      d.components.Epochs,
		Members:     d.components.Members,
		Blames:      d.blames,
		Idempotency: d.components.Idempotency,
		Policy:      policy,
		RoutingView: d.routingView,
		Agents:      newAgentsClient(opts.Dial, tlsConfig),
		Timing:      timing,
		Log:         opts.Log,
		Metrics:     d.server.metrics,
		Disabled:    disabled,
	})
	return d, nil
}

func (d *daemon) buildComponents(reg prometheus.Registerer) error {
	newComponents := d.opts.NewComponents
	if newComponents == nil {
		newComponents = defaultComponents
	}
	components, err := newComponents(ComponentParams{
		Options:       d.opts,
		Blames:        d.blames,
		BlamedPrompts: d.blames.BlamedRecords,
		Registerer:    reg,
		Leaving:       d.server.draining.Load,
		Log:           d.opts.Log,
	})
	d.components = components
	return err
}

// blameTTL returns how long a blamed prompt is refused.
func (d *daemon) blameTTL() time.Duration {
	if d.components.Epochs == nil {
		return blame.DefaultTTL
	}
	snap := d.components.Epochs.Snapshot()
	if snap == nil || snap.Text.Settings.BlameTTL <= 0 {
		return fleet.DefaultBlameTTL
	}
	return snap.Text.Settings.BlameTTL
}

// start opens the listeners and starts the background goroutines.
func (d *daemon) start(ctx context.Context) error {
	listener, err := d.listenForCallers(ctx)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	d.callerListener = listener
	if err := d.startInternalServer(ctx); err != nil {
		_ = listener.Close() // the first error is reported
		return err
	}
	d.callerServer = &http.Server{
		Handler:     d.server.router(d.components.OperatorRoutes...),
		BaseContext: func(net.Listener) context.Context { return d.requests },
	}
	transport.LimitGoMemory(d.opts.MemoryBytes)
	http1.LimitHeads(d.opts.MemoryBytes)
	go d.serve(d.callerServer, transport.Guard(d.callerServer, listener, d.intake), "callers")
	d.startBackgroundJobs()
	d.opts.Log.WithField("callers", listener.Addr().String()).WithField("node", d.opts.Node.Name).Info("entry started")
	return nil
}

func (d *daemon) startInternalServer(ctx context.Context) error {
	if d.components.InternalHandler == nil {
		return nil
	}
	tlsConfig, err := transport.ServerTLSConfig(d.opts.TLS)
	if err != nil {
		return errors.Wrap(err, "TLS of the internal listener")
	}
	l, err := d.listen(ctx, d.opts.Node.Listen)
	if err != nil {
		return errors.Wrap(err, "internal listener")
	}
	d.internalServer = transport.NewHTTPServer(d.components.InternalHandler, tlsConfig)
	go d.serve(d.internalServer, l, "internal")
	return nil
}

// listenForCallers opens the listener for callers. The kernel's part of the connections is bounded if the memory is stated.
func (d *daemon) listenForCallers(ctx context.Context) (net.Listener, error) {
	if d.opts.MemoryBytes > 0 && d.opts.Listen == nil {
		return transport.ListenBounded(ctx, d.opts.CallerListenAddr)
	}
	return d.listen(ctx, d.opts.CallerListenAddr)
}

func (d *daemon) callerLimits() intake.Limits {
	limits := intake.Limits{HeaderTimeout: readHeaderTimeout, IdleTimeout: callerIdleTimeout}
	if d.opts.MemoryBytes > 0 {
		limits.MaxHeaderBytes = maxHeaderBytes
	}
	return limits
}

// endSlowCallers ends connections of callers that exceed a limit of time, until ctx ends.
func (d *daemon) endSlowCallers(ctx context.Context) error {
	d.intake.Run(ctx)
	return nil
}

func (d *daemon) listen(ctx context.Context, addr string) (net.Listener, error) {
	if d.opts.Listen != nil {
		return d.opts.Listen(ctx, "tcp", addr)
	}
	return transport.Listen(ctx, addr)
}

func (d *daemon) serve(s *http.Server, l net.Listener, name string) {
	if err := transport.Serve(s, l); err != nil {
		d.opts.Log.WithError(err).WithField("listener", name).Error("listener failed")
	}
}

func (d *daemon) startBackgroundJobs() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	jobs := append([]func(context.Context) error{d.blames.Run, d.refreshRoutingView, d.endSlowCallers}, d.components.BackgroundJobs...)
	d.endedJobs = make(chan struct{}, len(jobs))
	d.jobCount = len(jobs)
	for _, job := range jobs {
		go func() {
			defer func() { d.endedJobs <- struct{}{} }()
			if err := job(ctx); err != nil && ctx.Err() == nil {
				d.opts.Log.WithError(err).Error("background job failed")
			}
		}()
	}
}

// refreshRoutingView updates the routing view from the membership and the configuration until ctx ends.
func (d *daemon) refreshRoutingView(ctx context.Context) error {
	ticker := time.NewTicker(viewRefreshInterval)
	defer ticker.Stop()
	for {
		changed := d.components.Epochs.Changed() // before the view is refreshed, so that no change is missed
		d.server.dispatch.refreshView()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

// stop makes /readyz fail, accepts requests for another BalancerLag and then waits for the open streams.
func (d *daemon) stop(ctx context.Context) error {
	d.server.draining.Store(true)
	d.opts.Log.WithField("lag", d.opts.BalancerLag).Info("entry is stopping; waiting for load balancers to remove it")
	_ = timing.Sleep(ctx, d.opts.BalancerLag) // once ctx has ended, the shutdown continues without waiting
	drainCtx, cancel := context.WithTimeout(ctx, d.opts.DrainTimeout)
	defer cancel()
	defer time.AfterFunc(d.opts.DrainTimeout-min(answerMargin, d.opts.DrainTimeout/2), func() { d.endRequests(errEntryStops) }).Stop()
	err := d.callerServer.Shutdown(drainCtx)
	if err != nil {
		_ = d.callerServer.Close() // the error of Shutdown is reported
	}
	d.server.dispatch.pendingReleases.Wait()
	d.cancel()
	for range d.jobCount {
		<-d.endedJobs
	}
	if d.internalServer != nil {
		_ = d.internalServer.Close() // peers handle a closed connection
	}
	d.server.dispatch.agents.close()
	d.opts.Log.Info("entry stopped")
	return errors.Wrap(err, "drain open streams")
}
