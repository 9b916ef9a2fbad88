// Package dev runs a complete fleet on loopback in one process: entries, agents, and emulators of the platform and the
// endpoints.
package dev

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/internal/standin"
	"github.com/bilberrylink/bilberrylink/internal/standin/faultnet"
)

// Options configures a Fleet.
type Options struct {
	Text             []byte   // configuration text
	Listen           []string // addresses for callers; one entry is started for each
	StandinListen    string   // address of the emulators
	TimeScale        float64  // speedup of the emulators
	Engines          int      // maximum number of engines to start; 0: all
	WeightsPerSecond float64  // rate limit of weight store tickets; 0: the emulator's default
	OnlyStandins     bool     // start no entries and agents
	Daemons          Daemons
	Log              *logrus.Logger
	Out              io.Writer // receives one line when the fleet is ready
}

// Timeouts of starting and stopping.
const (
	readyTimeout      = 10 * time.Second
	loadTimeout       = 2 * time.Minute // covers the tickets of all engines of an example text at the emulated rate, with refusals
	readyPollInterval = 50 * time.Millisecond
	stopTimeout       = 30 * time.Second
)

// defaultDomain is the failure domain of all nodes when the text lists none.
const defaultDomain = "default"

// Fleet is a running development fleet.
type Fleet struct {
	opts          Options
	configText    []byte
	snapshot      *fleet.Snapshot
	platform      *standin.Platform
	network       *faultnet.Network
	domains       []string
	engines       []string
	services      []string
	server        *http.Server
	apps          []*fx.App
	reservedAddrs map[string]bool // addresses assigned to daemons
}

// Run starts a fleet, prints its addresses and runs it until ctx ends.
func Run(ctx context.Context, opts Options) error {
	f, err := New(opts)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err = f.Start(ctx); err != nil {
		return err
	}
	<-ctx.Done()
	return nil
}

// New creates a fleet from the configuration text without starting it.
func New(opts Options) (*Fleet, error) {
	if !opts.OnlyStandins && (opts.Daemons.Entry == nil || opts.Daemons.Agent == nil) {
		return nil, errors.New("this build has no entry and agent; use --only-standins")
	}
	text, snapshot, err := withCallerKey(opts.Text)
	if err != nil {
		return nil, err
	}
	f := &Fleet{opts: opts, configText: text, snapshot: snapshot, domains: snapshot.Text.Settings.FailureDomains,
		reservedAddrs: make(map[string]bool)}
	if len(f.domains) == 0 {
		f.domains = []string{defaultDomain}
	}
	if f.engines, err = engineNames(snapshot, opts.Engines); err != nil {
		return nil, err
	}
	if f.services, err = serviceNames(snapshot); err != nil {
		return nil, err
	}
	f.platform = standin.New(standin.Options{TimeScale: opts.TimeScale, WeightsPerSecond: opts.WeightsPerSecond})
	f.network = faultnet.New(f.platform.Faults())
	for _, name := range f.engines {
		f.platform.AddEngine(name, standin.EngineOptions{})
	}
	for _, name := range f.services {
		f.platform.AddService(name, standin.ServiceOptions{})
	}
	return f, nil
}

// Start serves the emulators, starts the daemons, submits the text, and waits until the entries are ready and the engines
// have loaded their models.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.serveEmulators(); err != nil {
		return err
	}
	if f.opts.OnlyStandins {
		_, err := fmt.Fprintf(f.opts.Out, "ready: stand-ins http://%s; try: curl http://%s/faults\n",
			f.opts.StandinListen, f.opts.StandinListen)
		return errors.Wrap(err, "ready line")
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	if err := f.submitAndAwaitReady(ctx); err != nil {
		return err
	}
	loadCtx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := f.awaitLoaded(loadCtx); err != nil {
		return err
	}
	return f.printReady()
}

// submitAndAwaitReady submits the text and waits until the entries are ready.
func (f *Fleet) submitAndAwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.submitText(ctx); err != nil {
		return err
	}
	for _, addr := range f.opts.Listen {
		if err := awaitReady(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// awaitLoaded waits until every engine has loaded the versions that the text assigns to it, so that the first requests are
// not refused.
func (f *Fleet) awaitLoaded(ctx context.Context) error {
	for _, name := range f.engines {
		err := poll(ctx, "engine "+name, func() error {
			report, err := f.platform.Engine(name).Report(ctx)
			if err == nil && len(report.Loaded) < len(f.snapshot.AssignedVersions(name)) {
				err = endpoint.ErrNotLoaded
			}
			return err
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// Stop stops the daemons in reverse start order, then the emulators.
func (f *Fleet) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, app := range slices.Backward(f.apps) {
		if err := app.Stop(ctx); err != nil {
			f.opts.Log.WithError(err).Warn("daemon did not stop cleanly")
		}
	}
	if f.server != nil {
		_ = f.server.Close() // also ends the emulators' open streams
	}
	f.platform.Close()
}

func (f *Fleet) serveEmulators() error {
	l, err := net.Listen("tcp", f.opts.StandinListen)
	if err != nil {
		return errors.Wrap(err, "emulator listener")
	}
	f.opts.StandinListen = l.Addr().String()
	f.server = &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: readyTimeout}
	go func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.opts.Log.WithError(err).Error("emulator listener failed")
		}
	}()
	return nil
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	entries := make([]settings.Node, len(f.opts.Listen))
	seeds := make([]string, len(f.opts.Listen))
	for i := range entries {
		node, err := f.addNode(fmt.Sprintf("entry-%d", i+1), i, cloud.RoleEntry)
		if err != nil {
			return err
		}
		entries[i], seeds[i] = node, node.Listen
	}
	for i, node := range entries {
		option := f.opts.Daemons.Entry(EntryConfig{Node: node, CallerListenAddr: f.opts.Listen[i],
			OperatorTokenHashes: []string{OperatorName + "=" + fleet.Hash([]byte(OperatorToken))}, Platform: f.platform.ServicesFrom(node.FailureDomain),
			Seeds: seeds, Dial: f.network.Dialer(node.FailureDomain, node.Name), Log: f.opts.Log})
		if err := f.startApp(ctx, option); err != nil {
			return errors.Wrap(err, node.Name)
		}
	}
	return f.startAgents(ctx, seeds)
}

func (f *Fleet) startAgents(ctx context.Context, seeds []string) error {
	for i, name := range slices.Concat(f.engines, f.services) {
		node, err := f.addNode("agent-"+name, i, cloud.RoleAgent, name)
		if err != nil {
			return err
		}
		config := AgentConfig{Node: node, Endpoint: name, Platform: f.platform.ServicesFrom(node.FailureDomain), Seeds: seeds,
			Dial: f.network.Dialer(node.FailureDomain, node.Name, name), Log: f.opts.Log}
		if e := f.platform.Engine(name); e != nil {
			config.EndpointKind, config.Engine = fleet.KindModel, e
		} else {
			config.EndpointKind, config.Service = fleet.KindPlain, f.platform.Service(name)
		}
		if err = f.startApp(ctx, f.opts.Daemons.Agent(config)); err != nil {
			return errors.Wrap(err, node.Name)
		}
	}
	return nil
}

func (f *Fleet) startApp(ctx context.Context, option fx.Option) error {
	app := fx.New(fx.NopLogger, option)
	if err := app.Err(); err != nil {
		return err
	}
	if err := app.Start(ctx); err != nil {
		return err
	}
	f.apps = append(f.apps, app)
	return nil
}

// addNode reserves a loopback address for a daemon and adds it to the VM list. Nodes are assigned to failure domains in turn.
func (f *Fleet) addNode(name string, index int, role cloud.VMRole, endpoints ...string) (settings.Node, error) {
	addr, err := f.reserveAddr()
	if err != nil {
		return settings.Node{}, err
	}
	domain := f.domains[index%len(f.domains)]
	f.network.Register(addr, domain, append([]string{name}, endpoints...)...)
	f.platform.SetVM(cloud.VM{Name: name, Addr: addr, FailureDomain: domain, State: cloud.VMLive, Role: role})
	return settings.Node{Name: name, FailureDomain: domain, Listen: addr}, nil
}

// reserveAddr returns a loopback address that is not assigned to another daemon of the fleet. The kernel may return the same
// address twice before its daemon listens on it.
func (f *Fleet) reserveAddr() (string, error) {
	for {
		addr, err := freeAddr()
		if err != nil || !f.reservedAddrs[addr] {
			f.reservedAddrs[addr] = true
			return addr, err
		}
	}
}

func freeAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "loopback address")
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// submitText submits the text to the first entry as the first epoch. A failed precondition means that an earlier attempt
// succeeded although its response was lost.
func (f *Fleet) submitText(ctx context.Context) error {
	return poll(ctx, "configuration text", func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.opts.Listen[0]+"/v1/fleet",
			bytes.NewReader(f.configText))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+OperatorToken)
		req.Header.Set("If-Match", `"0"`)
		return expectStatus(req, http.StatusOK, http.StatusPreconditionFailed)
	})
}

func awaitReady(ctx context.Context, addr string) error {
	return poll(ctx, "entry "+addr, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
		if err != nil {
			return err
		}
		return expectStatus(req, http.StatusOK)
	})
}

// expectStatus sends a request and returns an error unless the response has an accepted status.
func expectStatus(req *http.Request, accepted ...int) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body) // the body only adds detail to the error
	if !slices.Contains(accepted, resp.StatusCode) {
		return errors.Errorf("status %d: %s", resp.StatusCode, body)
	}
	return nil
}

// poll repeats fn until it succeeds or ctx ends.
func poll(ctx context.Context, what string, fn func() error) error {
	for {
		err := fn()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(err, what)
		case <-time.After(readyPollInterval):
		}
	}
}

func (f *Fleet) printReady() error {
	model := ""
	if s, err := parseText(f.configText); err == nil && len(s.Text.Models) > 0 {
		model = sortedKeys(s.Text.Models)[0]
	}
	_, err := fmt.Fprintf(f.opts.Out, "ready: entries %v, stand-ins http://%s; try: curl -s http://%s/v1/chat/completions "+
		"-H 'Authorization: Bearer %s' -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		f.opts.Listen, f.opts.StandinListen, f.opts.Listen[0], CallerKey, model)
	return errors.Wrap(err, "ready line")
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
