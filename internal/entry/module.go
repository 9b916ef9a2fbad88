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
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
)

// Components is what an entry takes from the slices that other packages own.
type Components struct {
	Epochs          epoch.View
	Members         membership.View
	Idempotency     IdempotencyStore                  // nil: lost non-idempotent calls have an unknown outcome
	OperatorRoutes  []func(*mux.Router)               // register the operators' routes on the callers' listener
	InternalHandler http.Handler                      // serves the internal listener; nil: none
	BackgroundJobs  []func(ctx context.Context) error // run until the entry stops
}

// ComponentParams is what the constructor of Parts may use.
type ComponentParams struct {
	Options       Options
	Blames        blame.Gossip
	BlamedPrompts func() []blame.Record // blamed prompts known to the entry
	Registerer    prometheus.Registerer
	Leaving       func() bool // true once the entry is stopping; its node record says so
	Log           *logrus.Logger
}

// NewComponentsFunc constructs the Parts of an entry.
type NewComponentsFunc func(ComponentParams) (Components, error)

// Module returns a complete entry.
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
		fx.StopTimeout(opts.BalancerLag+opts.DrainTimeout+stopMargin),
		fx.Provide(func() (*daemon, error) { return newDaemon(opts, Timing{}, opts.Disabled) }),
		fx.Invoke(func(lc fx.Lifecycle, d *daemon) {
			lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
		}),
	)
}

// stopMargin is left for closing listeners after the drain.
const stopMargin = 5 * time.Second

// refreshEvery is the period at which gossiped liveness and load enter the load view.
const refreshEvery = 250 * time.Millisecond

// headerTimeout bounds the headers of a caller's request.
const headerTimeout = 10 * time.Second

// callerIdleTimeout ends unused kept-alive connections; load balancers reuse theirs more often than that.
const callerIdleTimeout = 5 * time.Minute

// daemon is one running entry.
type daemon struct {
	opts     Options
	parts    Components
	server   *server
	blames   *blame.Tracker
	view     *route.View
	callers  *http.Server
	internal *http.Server
	listener net.Listener
	cancel   context.CancelFunc
	running  chan struct{} // one token per background goroutine that has ended
	started  int
}

func newDaemon(opts Options, timing Timing, disabled Disabled) (*daemon, error) {
	config, err := transport.ClientTLSConfig(opts.TLS)
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
	d := &daemon{opts: opts, view: route.NewView(route.Options{})}
	d.server = &server{metrics: newMetrics(reg), gatherer: reg, log: opts.Log, rates: limit.NewRateLimiter(limit.RateLimiterOptions{})}
	d.blames = blame.New(blame.Options{Table: opts.Platform.Table, TTL: d.blameTTL, Log: opts.Log, Registerer: reg})
	if err := d.connect(reg); err != nil {
		return nil, err
	}
	d.server.epochs, d.server.members = d.parts.Epochs, d.parts.Members
	d.server.dispatch = newDispatcher(dispatchOptions{
		Epochs:   d.parts.Epochs,
		Members:  d.parts.Members,
		Blames:   d.blames,
		Once:     d.parts.Idempotency,
		Policy:   policy,
		View:     d.view,
		Agents:   newAgents(opts.Dial, config),
		Timing:   timing,
		Log:      opts.Log,
		Metrics:  d.server.metrics,
		Disabled: disabled,
	})
	return d, nil
}

func (d *daemon) connect(reg prometheus.Registerer) error {
	connect := d.opts.NewComponents
	if connect == nil {
		connect = connectDefault
	}
	parts, err := connect(ComponentParams{
		Options:       d.opts,
		Blames:        d.blames,
		BlamedPrompts: d.blames.BlamedRecords,
		Registerer:    reg,
		Leaving:       d.server.draining.Load,
		Log:           d.opts.Log,
	})
	d.parts = parts
	return err
}

// blameTTL returns the configured life of a blame.
func (d *daemon) blameTTL() time.Duration {
	if d.parts.Epochs == nil {
		return blame.DefaultTTL
	}
	snap := d.parts.Epochs.Snapshot()
	if snap == nil || snap.Text.Settings.BlameTTL <= 0 {
		return fleet.DefaultBlameTTL
	}
	return snap.Text.Settings.BlameTTL
}

// start opens the listeners and starts the background goroutines.
func (d *daemon) start(ctx context.Context) error {
	listen := d.opts.Listen
	if listen == nil {
		listen = new(net.ListenConfig).Listen
	}
	callers, err := listen(ctx, "tcp", d.opts.CallerListenAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	d.listener = callers
	if err := d.startInternal(ctx); err != nil {
		_ = callers.Close() // the first error is reported
		return err
	}
	d.callers = &http.Server{
		Handler:           d.server.router(d.parts.OperatorRoutes...),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	go d.serve(d.callers, callers, "callers")
	d.startBackground()
	d.opts.Log.WithField("callers", callers.Addr().String()).WithField("node", d.opts.Node.Name).Info("entry started")
	return nil
}

func (d *daemon) startInternal(ctx context.Context) error {
	if d.parts.InternalHandler == nil {
		return nil
	}
	config, err := transport.ServerTLSConfig(d.opts.TLS)
	if err != nil {
		return errors.Wrap(err, "TLS of the internal listener")
	}
	listen := d.opts.Listen
	if listen == nil {
		listen = func(ctx context.Context, _, addr string) (net.Listener, error) { return transport.Listen(ctx, addr) }
	}
	l, err := listen(ctx, "tcp", d.opts.Node.Listen)
	if err != nil {
		return errors.Wrap(err, "internal listener")
	}
	d.internal = transport.NewHTTPServer(d.parts.InternalHandler, config)
	go d.serve(d.internal, l, "internal")
	return nil
}

func (d *daemon) serve(s *http.Server, l net.Listener, name string) {
	if err := transport.Serve(s, l); err != nil {
		d.opts.Log.WithError(err).WithField("listener", name).Error("listener ended")
	}
}

func (d *daemon) startBackground() {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	jobs := append([]func(context.Context) error{d.blames.Run, d.refresh}, d.parts.BackgroundJobs...)
	d.running = make(chan struct{}, len(jobs))
	d.started = len(jobs)
	for _, job := range jobs {
		go func() {
			defer func() { d.running <- struct{}{} }()
			if err := job(ctx); err != nil && ctx.Err() == nil {
				d.opts.Log.WithError(err).Error("background job ended")
			}
		}()
	}
}

// refresh keeps the load view in step with the membership.
func (d *daemon) refresh(ctx context.Context) error {
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	for {
		d.server.dispatch.refresh()
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// stop fails /readyz, goes on accepting for the balancer's lag, and then finishes the streams.
func (d *daemon) stop(ctx context.Context) error {
	d.server.draining.Store(true)
	d.opts.Log.WithField("lag", d.opts.BalancerLag).Info("entry stops: waiting for the load balancer")
	_ = timing.Sleep(ctx, d.opts.BalancerLag) // a stop that runs out of time goes on at once
	drain, cancel := context.WithTimeout(ctx, d.opts.DrainTimeout)
	defer cancel()
	err := d.callers.Shutdown(drain)
	if err != nil {
		_ = d.callers.Close() // the drain's error is reported
	}
	d.server.dispatch.background.Wait()
	d.cancel()
	for range d.started {
		<-d.running
	}
	if d.internal != nil {
		_ = d.internal.Close() // peers tolerate a closed connection
	}
	d.server.dispatch.agents.close()
	d.opts.Log.Info("entry stopped")
	return errors.Wrap(err, "finish streams")
}
