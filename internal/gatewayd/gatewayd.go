// Package gatewayd is the daemon that serves callers on the users' platform. It joins the gateway, the platform's
// adapter and the exchange between gateways.
package gatewayd

import (
	"context"
	"encoding/json"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gorilla/mux"
	"github.com/pkg/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/gateway"
	"github.com/bilberrylink/bilberrylink/internal/timing"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/platform"
)

// Times and limits of the daemon.
const (
	watchedTables = 2
	// feedWait bounds how late a silent outage of the store shows. Calls are billed, so it is not shorter.
	feedWait = 2500 * time.Millisecond
	// endpointGather is the pause after a change of the endpoints' table. Calls are billed, and many changes come one
	// after the other: each would end the open call of every gateway. It is short against the bounds for draining.
	endpointGather = 400 * time.Millisecond
	// peerRefresh is the pause between two reads of the list of gateways.
	peerRefresh = 10 * time.Second
	// fetchEvery is the pause between two transfers of state from a peer while the store is away.
	fetchEvery = 400 * time.Millisecond
	// leaveWait is the time from the first failing readiness check until the platform sends nothing new: two checks at
	// intervals of a second, and some.
	leaveWait = 2800 * time.Millisecond
	// endMargin is kept before the platform ends the process by force.
	endMargin = 400 * time.Millisecond
	// idleTimeout is for connections of callers. It is longer than callers keep idle connections.
	idleTimeout   = 2 * time.Minute
	headerTimeout = 20 * time.Second
	maxHeader     = 64 << 10 // bytes; the operator's limit is lower
)

// Options of the daemon.
type Options struct {
	Settings     *platform.Settings
	SettingsPath string
	Log          *logrus.Logger
}

// Module returns the daemon.
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

// daemon joins the parts.
type daemon struct {
	opts     Options
	settings *platform.Settings
	log      *logrus.Logger
	registry *prometheus.Registry
	beliefs  *beliefs
	store    *platform.Store
	board    *placement.Scheduler
	crashes  *gateway.CrashTracker
	backend  *platform.Backend
	gateway  *gateway.Gateway
	door     *platform.Handler
	exchange *exchange.Exchange
	leaving  atomic.Bool
	front    *http.Server
	servers  []*http.Server
	cancel   context.CancelFunc
	wait     sync.WaitGroup
}

func newDaemon(opts Options) (*daemon, error) {
	s := opts.Settings
	d := &daemon{
		opts: opts, settings: s, log: opts.Log, registry: prometheus.NewRegistry(), beliefs: newBeliefs(opts.Log),
		store: platform.NewStore(s.StoreURL), board: placement.NewScheduler(), crashes: gateway.NewCrashTracker(time.Now),
		backend: platform.NewBackend(),
	}
	d.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	conn, err := net.ListenPacket("udp", s.InternalAddr)
	if err != nil {
		return nil, errors.Wrap(err, "exchange")
	}
	d.exchange = exchange.New(exchange.Options{
		Name: s.Name, Conn: conn, Board: d.board, Crashes: d.crashes, StoreReachable: d.beliefs.storeUp, Log: d.log,
		Registerer: d.registry, Epoch: func() int64 { _, epoch := d.beliefs.current.Source(); return epoch },
	})
	for _, addr := range s.SeedAddrs {
		if err := d.exchange.AddTarget(addr); err != nil {
			return nil, err
		}
	}
	d.gateway = gateway.New(gateway.Options{
		Name: s.Name, FailureDomain: s.FailureDomain, Catalog: d.beliefs.current.Snapshot, Registry: d.beliefs.roster, Scheduler: d.board,
		RetryBudget: gateway.NewRetryBudget(s.RetryRatio, s.RetrySlack, s.RetryWindow,
			func() int { return 1 + len(d.exchange.LivePeers()) }, time.Now),
		CrashTracker: d.crashes, Backend: d.backend, Log: d.log, Metrics: gateway.NewMetrics(d.registry),
	})
	d.door = &platform.Handler{Gateway: d.gateway, Catalog: d.beliefs.current.Snapshot, ConfigCurrent: d.beliefs.configCurrent, Log: d.log}
	return d, nil
}

func (d *daemon) ready() bool {
	return !d.leaving.Load() && d.beliefs.current.Snapshot() != nil && d.beliefs.roster.CountUsable() > 0
}

func (d *daemon) start(context.Context) error {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.run(ctx, d.exchange.Run, d.backend.Run, d.announce, d.fetchStates, d.reload)
	for _, w := range d.watches() {
		d.run(ctx, w.Run)
	}
	if err := d.serve(); err != nil {
		cancel()
		return err
	}
	d.log.WithFields(logrus.Fields{"event": "started", "node": d.settings.Name, "zone": d.settings.FailureDomain}).Info("gateway started")
	return nil
}

func (d *daemon) run(ctx context.Context, duties ...func(context.Context)) {
	for _, duty := range duties {
		d.wait.Add(1)
		go func() {
			defer d.wait.Done()
			duty(ctx)
		}()
	}
}

func (d *daemon) watches() []*platform.Watcher {
	b := d.beliefs
	config, endpoints := platform.NewConfigWatcher(d.store, feedWait), platform.NewEndpointWatcher(d.store, feedWait)
	endpoints.CoalesceDelay = endpointGather
	config.OnFullRead = func(rows []platform.Row, _ int64) { b.configRows(rows) }
	config.OnChange = config.OnFullRead
	endpoints.OnFullRead = func(rows []platform.Row, version int64) {
		b.roster.ApplyVersion(version, func() { b.endpointsFull(rows) })
	}
	endpoints.OnChange = func(rows []platform.Row, version int64) {
		b.roster.ApplyVersion(version, func() { b.endpointsChange(rows) })
	}
	config.OnError = func(err error) { b.storeLost(config.Table, err) }
	config.OnSuccess = func(now time.Time) {
		b.current.MarkConfirmed(now)
		b.storeHeard(config.Table)
	}
	endpoints.OnError = func(err error) { b.storeLost(endpoints.Table, err) }
	endpoints.OnSuccess = func(time.Time) { b.storeHeard(endpoints.Table) }
	return []*platform.Watcher{config, endpoints}
}

// serve opens the listeners: callers, readiness, the product's own traffic and metrics.
func (d *daemon) serve() error {
	metrics := mux.NewRouter()
	metrics.Handle("/metrics", promhttp.HandlerFor(d.registry, promhttp.HandlerOpts{}))
	d.front = d.server(d.door)
	listeners := []struct {
		addr   string
		server *http.Server
	}{
		{d.settings.CallerAddr, d.front},
		{d.settings.ReadinessAddr, d.server(platform.ReadinessHandler(d.ready))},
		{d.settings.InternalAddr, d.server(exchange.StateHandler(d.state))},
		{d.settings.MetricsAddr, d.server(metrics)},
	}
	for _, l := range listeners {
		ln, err := net.Listen("tcp", l.addr)
		if err != nil {
			return errors.Wrap(err, "listen")
		}
		d.servers = append(d.servers, l.server)
		d.wait.Add(1)
		go func() {
			defer d.wait.Done()
			if err := l.server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				d.log.WithError(err).WithFields(logrus.Fields{"event": "listener_failed", "addr": l.addr}).Error("listener ended")
			}
		}()
	}
	return nil
}

func (d *daemon) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader,
		ErrorLog: stdlog.New(io.Discard, "", 0), // broken connections of callers; requests have their own lines
	}
}

func (d *daemon) state() exchange.State {
	source, epoch := d.beliefs.current.Source()
	version := d.beliefs.roster.Version() // read before the entries, which may be newer but not older
	return exchange.State{
		Epoch: epoch, Config: source, EndpointsComplete: d.beliefs.roster.StoreStable(), Endpoints: d.beliefs.roster.Entries(), StoreVersion: version,
	}
}

// announce puts the own address into the list of gateways and reads the others' from it.
func (d *daemon) announce(ctx context.Context) {
	row, err := json.Marshal(peerRow{Addr: d.settings.InternalAddr})
	if err != nil {
		d.log.WithError(err).Error("own address not encoded")
		return
	}
	listed := false
	for ctx.Err() == nil {
		if !listed {
			listed = d.logged(d.store.PutPeer(ctx, d.settings.Name, row), "peer_list_write")
		}
		rows, err := d.store.Peers(ctx)
		if d.logged(err, "peer_list_read") {
			d.addPeers(rows)
		}
		pause := peerRefresh
		if !listed {
			pause = time.Second
		}
		if timing.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// peerRow is the value of a gateway's row.
type peerRow struct {
	Addr string `json:"addr"` // host:port of the exchange
}

func (d *daemon) addPeers(rows []platform.Row) {
	for _, row := range rows {
		var p peerRow
		if err := json.Unmarshal(row.Value, &p); err != nil || d.exchange.AddTarget(p.Addr) != nil {
			d.log.WithFields(logrus.Fields{"event": "peer_malformed", "peer": row.Key}).Warn("row names no gateway")
		}
	}
}

func (d *daemon) logged(err error, event string) bool {
	if err != nil {
		d.log.WithError(err).WithField("event", event).Warn("call to the store failed")
	}
	return err == nil
}

// fetchStates takes configuration and endpoints from a peer that reaches the store while this gateway does not.
func (d *daemon) fetchStates(ctx context.Context) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	timing.Every(ctx, fetchEvery, func() {
		if !d.beliefs.storeUp() {
			d.fetchState(ctx, client)
		}
	})
}

func (d *daemon) fetchState(ctx context.Context, client *http.Client) {
	_, own := d.beliefs.current.Source()
	for _, p := range d.exchange.LivePeers() {
		if !p.StoreReachable && p.Epoch <= own {
			continue
		}
		s, err := exchange.FetchState(ctx, client, p.Addr)
		if err != nil {
			d.log.WithError(err).WithFields(logrus.Fields{"event": "peer_state", "peer": p.Name}).Info("state of a peer not read")
			continue
		}
		if s.Epoch > own {
			d.beliefs.adopt(s.Config, p.Name)
		}
		if p.StoreReachable {
			d.beliefs.current.MarkConfirmed(time.Now())
		}
		if p.StoreReachable && s.EndpointsComplete {
			d.beliefs.endpointsFromPeer(s, p.Name)
			return
		}
	}
}

// reload reads the settings again when the platform says that they have changed. All of them are used at the start only;
// a file with a fault is reported and changes nothing.
func (d *daemon) reload(ctx context.Context) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
		}
		entry := d.log.WithField("event", "settings_reloaded")
		if _, err := platform.LoadSettings(d.opts.SettingsPath); err != nil {
			entry.WithError(err).Error("settings not taken")
			continue
		}
		entry.Info("settings read again")
	}
}

// stop drains the daemon: readiness fails first, then callers are asked to leave, then open requests finish.
func (d *daemon) stop(context.Context) error {
	d.log.WithFields(logrus.Fields{"event": "stopping", "active": d.gateway.ActiveRequests()}).Info("gateway is leaving")
	began := time.Now()
	d.leaving.Store(true)
	d.door.StartDraining()
	if err := d.store.RemovePeer(context.Background(), d.settings.Name); err != nil {
		d.log.WithError(err).Info("own address stays in the list of gateways")
	}
	time.Sleep(leaveWait - time.Since(began))
	left, cancel := context.WithTimeout(context.Background(), d.settings.GracePeriod-endMargin-time.Since(began))
	defer cancel()
	if err := d.front.Shutdown(left); err != nil {
		d.log.WithError(err).WithField("active", d.gateway.ActiveRequests()).Warn("requests are cut off by the end of the grace period")
	}
	d.exchange.AnnounceStop()
	for _, s := range d.servers {
		_ = s.Close() // nothing is lost: the front has been shut down, the others serve single reads
	}
	d.cancel()
	d.wait.Wait()
	d.log.WithField("event", "stopped").Info("gateway stopped")
	return nil
}
