// Package gatewayd is the gateway daemon. It connects the gateway with the platform adapter and the exchange of state
// between gateways.
package gatewayd

import (
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/gateway"
	"github.com/bilberrylink/bilberrylink/intake"
	"github.com/bilberrylink/bilberrylink/internal/http1"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/internal/transport"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/platform"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/storewatch"
	"github.com/bilberrylink/bilberrylink/throttle"
	"github.com/bilberrylink/bilberrylink/warmup"
)

const (
	watchedTables = 2 // those of configuration and endpoints
	// configPollTimeout is the longest duration of a long poll of the configuration. Only its end shows that the connection has gone silent, if
	// no other call has found that, and a change must then still be in force within the three seconds after which platforms count on it.
	configPollTimeout = 2500 * time.Millisecond
	// endpointPollTimeout is the same for the endpoints. It is shorter, so that it finds most silences for both.
	endpointPollTimeout = 1600 * time.Millisecond
	// endpointCoalesceDelay is the pause between long polls after a change of the endpoint table. Changes often come in series,
	// and without the pause each one would end a billed call of every gateway. It is short compared with the bounds for
	// draining.
	endpointCoalesceDelay = 400 * time.Millisecond
	// peerListInterval is the interval between two reads of the list of gateways, for each gateway in the fleet. Gateways that start
	// announce themselves to the others, so the list only has to heal what both sides have missed.
	peerListInterval = 5 * time.Second
	// peerListRetryDelay is the delay after a failed call. Calls are billed, and in an outage all gateways make them.
	peerListRetryDelay = 1500 * time.Millisecond
	peerListJitter     = 0.5
	// eraCheckInterval is the interval at which the gateway looks whether its row may have been lost.
	eraCheckInterval = 500 * time.Millisecond
	// drainNoticeTime is the time from the first failing readiness check until the platform sends no new requests: two checks at
	// an interval of one second and a margin.
	drainNoticeTime = 2800 * time.Millisecond
	// shutdownMargin is the time reserved before the platform kills the process.
	shutdownMargin = 400 * time.Millisecond
	// answerMargin is the time reserved before that to answer the requests that are still open.
	answerMargin = 400 * time.Millisecond
)

// Limits of the listeners that callers do not use, in case that callers reach them.
const (
	checkConnections = 16 // of the listeners for readiness checks and for metrics
	// peerConnections is the bound of the internal listener. A gateway asks few others for their state.
	peerConnections  = 64
	checkTimeout     = 5 * time.Second // for a head
	checkIdleTimeout = 2 * time.Minute
	checkHeaderBytes = 16 << 10
)

// Options configures the daemon.
type Options struct {
	Settings     *platform.Settings
	SettingsPath string
	Log          *logrus.Logger
}

// Module returns the daemon as an fx module.
func Module(opts Options) fx.Option {
	return fx.Options(
		fx.StopTimeout(opts.Settings.GracePeriod),
		fx.Supply(opts),
		fx.Provide(newDaemon),
		fx.Invoke(func(lc fx.Lifecycle, d *daemon) {
			lc.Append(fx.Hook{OnStart: d.start, OnStop: d.stop})
		}),
	)
}

type daemon struct {
	opts            Options
	settings        *platform.Settings
	log             *logrus.Logger
	metricsRegistry *prometheus.Registry
	stateSync       *stateSync
	store           *platform.Store
	scheduler       *placement.Scheduler
	quarantine      *quarantine.Tracker
	storage         *quarantineStorage
	throttle        *throttle.Tracker
	backend         *platform.Backend
	retryBudget     *gateway.RetryBudget
	gateway         *gateway.Gateway
	handler         *platform.Handler
	exchange        *exchange.Exchange
	follower        *follower
	draining        atomic.Bool
	intake          *intake.Budget
	callerServer    *http.Server
	servers         []*http.Server
	cancel          context.CancelFunc
	wg              sync.WaitGroup
}

func newDaemon(opts Options) (*daemon, error) {
	s := opts.Settings
	d := &daemon{
		opts: opts, settings: s, log: opts.Log, metricsRegistry: prometheus.NewRegistry(), scheduler: placement.NewScheduler(), backend: platform.NewBackend(),
	}
	d.stateSync = newStateSync(opts.Log, d.metricsRegistry)
	d.scheduler.SetDomainOptions(placement.DomainOptions{CostPerGigabyte: s.CrossingCostPerGB})
	d.store = platform.NewStore(platform.StoreOptions{URL: s.StoreURL, Registerer: d.metricsRegistry, Log: d.log})
	d.metricsRegistry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	countGateways := func() int { return 1 + len(d.exchange.LivePeers()) }
	d.quarantine = quarantine.New(quarantine.Options{Gateways: countGateways, Log: d.log, Registerer: d.metricsRegistry})
	d.throttle = throttle.New(throttle.Options{Gateways: countGateways,
		Sharing: func() int { return d.exchange.CircleSize() }, Log: d.log, Registerer: d.metricsRegistry})
	d.storage = newQuarantineStorage(d.store, d.quarantine, d.era, d.log)
	conn, err := net.ListenPacket("udp", s.InternalAddr)
	if err != nil {
		return nil, errors.Wrap(err, "exchange")
	}
	d.exchange = exchange.New(exchange.Options{
		Name: s.Name, Addr: s.InternalAddr, FailureDomain: s.FailureDomain, Conn: conn, Scheduler: d.scheduler,
		Quarantine: d.quarantine, Throttle: d.throttle, Evacuation: d.stateSync.evacuation,
		Versions: d.stateSync.versions, Log: d.log, Registerer: d.metricsRegistry,
	})
	d.stateSync.onNews = d.exchange.AnnounceVersions
	d.follower = newFollower(d.exchange, d.stateSync, storewatch.Gateway{Name: s.Name, FailureDomain: s.FailureDomain}, d.log)
	for _, addr := range s.SeedAddrs {
		if err := d.exchange.AddTarget(addr); err != nil {
			return nil, err
		}
	}
	d.retryBudget = gateway.NewRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow, countGateways, time.Now)
	d.gateway = gateway.New(gateway.Options{
		Name: s.Name, FailureDomain: s.FailureDomain, Catalog: d.stateSync.config.Snapshot, Registry: d.stateSync.registry,
		Scheduler:   d.scheduler,
		Near:        func(e *registry.Endpoint) bool { return d.exchange.IsNear(memberOf(e)) },
		Covered:     func(e *registry.Endpoint) bool { return d.exchange.IsCovered(memberOf(e)) },
		RetryBudget: d.retryBudget, Quarantine: d.quarantine, Throttle: d.throttle, Backend: d.backend,
		Warmup: warmup.New(warmup.Options{Name: s.Name, Gateways: d.exchange.KnownGateways, Registerer: d.metricsRegistry}),
		Log:    d.log, Metrics: gateway.NewMetrics(d.metricsRegistry),
	})
	d.backend.LimitIdle(intake.IdleEndpointConnections(s.MaxFds))
	if s.MemoryBytes > 0 {
		d.backend.BoundReceiveBuffers()
	}
	d.intake = intake.New(intake.Options{Sizes: intake.SizesFor(s.MemoryBytes, s.MaxFds), Log: d.log, Registerer: d.listenerMetrics("callers"),
		Limits: func() intake.Limits { return platform.CallerLimits(d.stateSync.config.Snapshot()) }})
	d.handler = &platform.Handler{
		Gateway: d.gateway, Catalog: d.servingSnapshot, ConfigCurrent: d.stateSync.configCurrent,
		StoreAway: d.stateSync.storeAway, Log: d.log,
	}
	return d, nil
}

func memberOf(e *registry.Endpoint) exchange.Member {
	return exchange.Member{Name: e.ID, FailureDomain: e.Zone}
}

// ready reports whether the gateway can serve requests, for the platform's readiness checks.
func (d *daemon) ready() bool {
	return !d.draining.Load() && d.servingSnapshot() != nil && d.stateSync.registry.CountUsable() > 0
}

func (d *daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	transport.LimitGoMemory(d.settings.MemoryBytes)
	http1.LimitHeads(d.settings.MemoryBytes)
	d.startTasks(ctx, d.exchange.Run, d.backend.Run, d.maintainPeerList, d.follower.run, d.storage.run, d.reloadSettingsOnHangup)
	for _, w := range d.watchers() {
		d.startTasks(ctx, w.Run)
	}
	if err := d.startServers(ctx); err != nil {
		cancel()
		return err
	}
	d.log.WithFields(logrus.Fields{"event": "started", "node": d.settings.Name, "zone": d.settings.FailureDomain}).
		Info("gateway started")
	return nil
}

// startTasks runs each task in a goroutine that stop waits for.
func (d *daemon) startTasks(ctx context.Context, tasks ...func(context.Context)) {
	for _, task := range tasks {
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			task(ctx)
		}()
	}
}

// servingSnapshot returns the configuration to serve callers with, or nil if there is none or it is not yet known what is blocked.
func (d *daemon) servingSnapshot() *catalog.Snapshot {
	snapshot, since := d.stateSync.config.Snapshot(), d.stateSync.config.AvailableSince()
	if snapshot == nil || !d.storage.mayServe(time.Since(since)) {
		return nil
	}
	return snapshot
}

// watchers returns the watchers of the tables of configuration and endpoints.
func (d *daemon) watchers() []*platform.Watcher {
	stateSync := d.stateSync
	config, endpoints := platform.NewConfigWatcher(d.store, configPollTimeout), platform.NewEndpointWatcher(d.store, endpointPollTimeout)
	endpoints.CoalesceDelay = endpointCoalesceDelay
	config.Await, endpoints.Await = d.follower.awaitTurn(configPollTimeout), d.follower.awaitTurn(endpointPollTimeout)
	endpoints.KnownVersion = stateSync.registry.Version
	config.OnFullRead, config.OnChange = stateSync.replaceOperatorRows, stateSync.updateOperatorRows
	endpoints.OnFullRead, endpoints.OnChange = stateSync.replaceEndpoints, stateSync.updateEndpoints
	config.OnError = func(err error) { stateSync.markTableDown(config.Table, err) }
	config.OnSuccess = func(now time.Time) {
		stateSync.config.MarkConfirmed(now)
		stateSync.markTableUp(config.Table)
		d.storage.noteAnswer()
	}
	endpoints.OnError = func(err error) { stateSync.markTableDown(endpoints.Table, err) }
	endpoints.OnSuccess = func(now time.Time) {
		stateSync.confirmEndpoints(now)
		stateSync.markTableUp(endpoints.Table)
	}
	return []*platform.Watcher{config, endpoints}
}

// startServers starts the HTTP servers for callers, readiness checks, other gateways and metrics.
func (d *daemon) startServers(ctx context.Context) error {
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(d.metricsRegistry, promhttp.HandlerOpts{}))
	d.callerServer = d.newServer(d.handler)
	listeners := []struct {
		addr   string
		server *http.Server
		budget *intake.Budget
	}{
		{d.settings.CallerAddr, d.callerServer, d.intake},
		{d.settings.ReadinessAddr, d.newServer(platform.ReadinessHandler(d.ready)), d.checkBudget("readiness", checkConnections)},
		{d.settings.InternalAddr, d.newServer(exchange.StateHandler(d.stateSync.stateFor)), d.checkBudget("internal", peerConnections)},
		{d.settings.MetricsAddr, d.newServer(metrics), d.checkBudget("metrics", checkConnections)},
	}
	for _, l := range listeners {
		ln, err := d.listen(ctx, l.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		ln = transport.Guard(l.server, ln, l.budget)
		d.startTasks(ctx, l.budget.Run)
		d.servers = append(d.servers, l.server)
		d.wg.Add(1)
		go func() {
			defer d.wg.Done()
			if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				d.log.WithError(err).WithFields(logrus.Fields{"event": "listener_failed", "addr": l.addr}).Error("listener ended")
			}
		}()
	}
	return nil
}

// listen opens a listener. The kernel's part of the connections is bounded if the memory of the machine is known.
func (d *daemon) listen(ctx context.Context, addr string) (net.Listener, error) {
	if d.settings.MemoryBytes > 0 {
		return transport.ListenBounded(ctx, addr)
	}
	return transport.Listen(ctx, addr)
}

// checkBudget returns the budget of a listener that callers do not use.
func (d *daemon) checkBudget(listener string, connections int) *intake.Budget {
	return intake.New(intake.Options{Sizes: intake.Sizes{Connections: connections}, Log: d.log, Registerer: d.listenerMetrics(listener),
		Limits: func() intake.Limits {
			return intake.Limits{MaxHeaderBytes: checkHeaderBytes, HeaderTimeout: checkTimeout, IdleTimeout: checkIdleTimeout}
		}})
}

// listenerMetrics returns the registry for the budget of a listener.
func (d *daemon) listenerMetrics(listener string) prometheus.Registerer {
	return prometheus.WrapRegistererWith(prometheus.Labels{"listener": listener}, d.metricsRegistry)
}

func (d *daemon) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:  h,
		ErrorLog: stdlog.New(io.Discard, "", 0), // only broken connections of callers; requests are logged elsewhere
	}
}

// maintainPeerList adds the address of this gateway to the list in the store, again after each restore of the store, and reads the addresses
// of the others from it.
func (d *daemon) maintainPeerList(ctx context.Context) {
	row, err := json.Marshal(peerRow{Addr: d.settings.InternalAddr})
	if err != nil {
		d.log.WithError(err).Error("cannot encode the gateway address")
		return
	}
	listedEra := int64(noEra)
	for ctx.Err() == nil {
		if d.era() > listedEra && !d.draining.Load() {
			if era, err := d.store.PutPeer(ctx, d.settings.Name, row); d.logFailure(err, "peer_list_write") {
				listedEra = era
			}
		}
		pause := peerListRetryDelay
		if listedEra > noEra { // gateways that write before they read cannot miss each other
			rows, err := d.store.Peers(ctx)
			if d.logFailure(err, "peer_list_read") {
				d.addPeers(rows)
				d.follower.listRead.Store(true)
				pause = peerListInterval * time.Duration(max(len(rows), 1))
			}
		}
		if d.sleepUntilRestore(ctx, timing.Jitter(pause, peerListJitter), listedEra) != nil {
			return
		}
	}
}

// noEra is lower than any era of the store.
const noEra = -1

// era returns the latest era of the store that this gateway or a peer has seen.
func (d *daemon) era() int64 {
	era, _ := d.store.Era()
	return max(era, registry.EraOf(d.stateSync.registry.Version()))
}

// sleepUntilRestore waits for a time, or until the store is found to have come back from a copy since an era. It then waits for a random
// share of peerListRetryDelay, as all gateways find that at about the same time.
func (d *daemon) sleepUntilRestore(ctx context.Context, wait time.Duration, era int64) error {
	for end := time.Now().Add(wait); time.Now().Before(end); {
		if era > noEra && d.era() > era {
			return timing.Sleep(ctx, rand.N(peerListRetryDelay))
		}
		if err := timing.Sleep(ctx, min(eraCheckInterval, time.Until(end))); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// peerRow is the value of a row in the list of gateways.
type peerRow struct {
	Addr string `json:"addr"` // host:port for the exchange
}

func (d *daemon) addPeers(rows []platform.Row) {
	for _, row := range rows {
		var p peerRow
		if err := json.Unmarshal(row.Value, &p); err != nil || d.exchange.AddTarget(p.Addr) != nil {
			d.log.WithFields(logrus.Fields{"event": "peer_malformed", "peer": row.Key}).Warn("invalid row in the list of gateways")
		}
	}
}

// logFailure logs a failed call to the store and reports whether the call succeeded.
func (d *daemon) logFailure(err error, event string) bool {
	if err != nil {
		d.log.WithError(err).WithField("event", event).Warn("call to the store failed")
	}
	return err == nil
}

// stop drains the gateway: it fails readiness checks and asks callers to close their connections, waits until no new
// requests arrive, and then lets open requests finish.
func (d *daemon) stop(context.Context) error {
	d.log.WithFields(logrus.Fields{"event": "stopping", "active": d.gateway.ActiveRequests()}).Info("gateway is shutting down")
	stopStartedAt := time.Now()
	d.draining.Store(true)
	endsAt := stopStartedAt.Add(d.settings.GracePeriod - shutdownMargin)
	d.gateway.AnnounceEnd(endsAt.Add(-answerMargin))
	d.handler.StartDraining()
	if err := d.store.RemovePeer(context.Background(), d.settings.Name); err != nil {
		d.log.WithError(err).Info("cannot remove the gateway from the list of gateways")
	}
	time.Sleep(drainNoticeTime - time.Since(stopStartedAt))
	shutdownCtx, cancel := context.WithDeadline(context.Background(), endsAt)
	defer cancel()
	defer time.AfterFunc(time.Until(endsAt.Add(-answerMargin)), d.gateway.EndRequests).Stop()
	if err := d.callerServer.Shutdown(shutdownCtx); err != nil {
		d.log.WithError(err).WithField("active", d.gateway.ActiveRequests()).Warn("grace period ended with requests in progress")
	}
	d.exchange.AnnounceStop()
	for _, s := range d.servers {
		_ = s.Close() // callerServer has been shut down; the others only serve short reads
	}
	d.cancel()
	d.wg.Wait()
	d.log.WithField("event", "stopped").Info("gateway stopped")
	return nil
}
