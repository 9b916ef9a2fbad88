// Package dev runs a whole fleet in one process on loopback: entries, agents, and emulators of the platform and of the
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
	Listen           []string // callers' addresses, one entry each
	StandinListen    string
	TimeScale        float64 // divides the emulators' own durations
	Engines          int     // most engines to start; 0: all
	WeightsPerSecond float64 // weight store tickets; 0: the emulator's default
	OnlyStandins     bool    // serve the emulators only
	Daemons          Daemons
	Log              *logrus.Logger
	Out              io.Writer // receives one line once the fleet is ready
}

// Times of starting and stopping.
const (
	readyTimeout = 10 * time.Second
	loadTimeout  = 2 * time.Minute // tickets of all engines of an example text at the emulated rate, with refusals
	readyPoll    = 50 * time.Millisecond
	stopTimeout  = 30 * time.Second
)

// defaultDomain is used when the text lists no failure domains.
const defaultDomain = "default"

// Fleet is a running development fleet.
type Fleet struct {
	o        Options
	text     []byte
	snapshot *fleet.Snapshot
	platform *standin.Platform
	network  *faultnet.Network
	domains  []string
	engines  []string
	services []string
	server   *http.Server
	apps     []*fx.App
	reserved map[string]bool // addresses of daemons
}

// Run starts a fleet, prints its addresses and stops it when ctx ends.
func Run(ctx context.Context, o Options) error {
	f, err := New(o)
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

// New derives a fleet from the text, without starting it.
func New(o Options) (*Fleet, error) {
	if !o.OnlyStandins && (o.Daemons.Entry == nil || o.Daemons.Agent == nil) {
		return nil, errors.New("this build has no entry and agent; use --only-standins")
	}
	raw, s, err := withCallerKey(o.Text)
	if err != nil {
		return nil, err
	}
	f := &Fleet{o: o, text: raw, snapshot: s, domains: s.Text.Settings.FailureDomains, reserved: make(map[string]bool)}
	if len(f.domains) == 0 {
		f.domains = []string{defaultDomain}
	}
	if f.engines, err = engineNames(s, o.Engines); err != nil {
		return nil, err
	}
	if f.services, err = serviceNames(s); err != nil {
		return nil, err
	}
	f.platform = standin.New(standin.Options{TimeScale: o.TimeScale, WeightsPerSecond: o.WeightsPerSecond})
	f.network = faultnet.New(f.platform.Faults())
	for _, name := range f.engines {
		f.platform.AddEngine(name, standin.EngineOptions{})
	}
	for _, name := range f.services {
		f.platform.AddService(name, standin.ServiceOptions{})
	}
	return f, nil
}

// Start serves the emulators, starts the daemons, submits the text and waits until the entries are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.serveStandins(); err != nil {
		return err
	}
	if f.o.OnlyStandins {
		_, err := fmt.Fprintf(f.o.Out, "ready: stand-ins http://%s; try: curl http://%s/faults\n", f.o.StandinListen, f.o.StandinListen)
		return errors.Wrap(err, "ready line")
	}
	if err := f.startDaemons(ctx); err != nil {
		return err
	}
	if err := f.bringUp(ctx); err != nil {
		return err
	}
	loading, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if err := f.awaitLoaded(loading); err != nil {
		return err
	}
	return f.printReady()
}

// bringUp submits the text and waits until the entries are ready.
func (f *Fleet) bringUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.submitText(ctx); err != nil {
		return err
	}
	for _, addr := range f.o.Listen {
		if err := awaitReady(ctx, addr); err != nil {
			return err
		}
	}
	return nil
}

// awaitLoaded waits until every engine holds the versions that the text gives it, so that the first requests are not refused.
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

// Stop ends the daemons in the reverse order of their start, then the emulators.
func (f *Fleet) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, app := range slices.Backward(f.apps) {
		if err := app.Stop(ctx); err != nil {
			f.o.Log.WithError(err).Warn("daemon did not stop cleanly")
		}
	}
	if f.server != nil {
		_ = f.server.Close() // open streams of the emulators end with it
	}
	f.platform.Close()
}

func (f *Fleet) serveStandins() error {
	l, err := net.Listen("tcp", f.o.StandinListen)
	if err != nil {
		return errors.Wrap(err, "stand-in listener")
	}
	f.o.StandinListen = l.Addr().String()
	f.server = &http.Server{Handler: f.platform.Handler(), ReadHeaderTimeout: readyTimeout}
	go func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.o.Log.WithError(err).Error("stand-in listener failed")
		}
	}()
	return nil
}

func (f *Fleet) startDaemons(ctx context.Context) error {
	entries := make([]settings.Node, len(f.o.Listen))
	seeds := make([]string, len(f.o.Listen))
	for i := range entries {
		node, err := f.node(fmt.Sprintf("entry-%d", i+1), i, cloud.RoleEntry)
		if err != nil {
			return err
		}
		entries[i], seeds[i] = node, node.Listen
	}
	for i, node := range entries {
		option := f.o.Daemons.Entry(EntryConfig{Node: node, CallersListen: f.o.Listen[i],
			OperatorTokenHashes: []string{OperatorName + "=" + fleet.Hash([]byte(OperatorToken))}, Services: f.platform.ServicesFrom(node.FailureDomain),
			Seeds: seeds, Dial: f.network.Dialer(node.FailureDomain, node.Name), Log: f.o.Log})
		if err := f.startApp(ctx, option); err != nil {
			return errors.Wrap(err, node.Name)
		}
	}
	return f.startAgents(ctx, seeds)
}

func (f *Fleet) startAgents(ctx context.Context, seeds []string) error {
	for i, name := range slices.Concat(f.engines, f.services) {
		node, err := f.node("agent-"+name, i, cloud.RoleAgent, name)
		if err != nil {
			return err
		}
		c := AgentConfig{Node: node, Endpoint: name, Services: f.platform.ServicesFrom(node.FailureDomain), Seeds: seeds,
			Dial: f.network.Dialer(node.FailureDomain, node.Name, name), Log: f.o.Log}
		if e := f.platform.Engine(name); e != nil {
			c.EndpointKind, c.Engine = fleet.KindModel, e
		} else {
			c.EndpointKind, c.Service = fleet.KindPlain, f.platform.Service(name)
		}
		if err = f.startApp(ctx, f.o.Daemons.Agent(c)); err != nil {
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

// node reserves a loopback address for a daemon and lists it as a VM.
func (f *Fleet) node(name string, i int, role cloud.VMRole, endpoints ...string) (settings.Node, error) {
	addr, err := f.reserveAddr()
	if err != nil {
		return settings.Node{}, err
	}
	domain := f.domains[i%len(f.domains)]
	f.network.Register(addr, domain, append([]string{name}, endpoints...)...)
	f.platform.SetVM(cloud.VM{Name: name, Addr: addr, FailureDomain: domain, State: cloud.VMLive, Role: role})
	return settings.Node{Name: name, FailureDomain: domain, Listen: addr}, nil
}

// reserveAddr returns an address that no daemon of this fleet has. The kernel may offer one again before its daemon
// listens on it.
func (f *Fleet) reserveAddr() (string, error) {
	for {
		addr, err := freeAddr()
		if err != nil || !f.reserved[addr] {
			f.reserved[addr] = true
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

// submitText has the first entry accept the text as the first epoch. A failed precondition means that an earlier try,
// whose answer was lost, took effect.
func (f *Fleet) submitText(ctx context.Context) error {
	return poll(ctx, "configuration text", func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+f.o.Listen[0]+"/v1/fleet", bytes.NewReader(f.text))
		if err != nil {
			return err
		}
		req.Header.Set("Authorization", "Bearer "+OperatorToken)
		req.Header.Set("If-Match", `"0"`)
		return expect(req, http.StatusOK, http.StatusPreconditionFailed)
	})
}

func awaitReady(ctx context.Context, addr string) error {
	return poll(ctx, "entry "+addr, func() error {
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/readyz", nil)
		if err != nil {
			return err
		}
		return expect(req, http.StatusOK)
	})
}

func expect(req *http.Request, accepted ...int) error {
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	body, _ := io.ReadAll(resp.Body) // only for the message
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
		case <-time.After(readyPoll):
		}
	}
}

func (f *Fleet) printReady() error {
	model := ""
	if s, err := snapshot(f.text); err == nil && len(s.Text.Models) > 0 {
		model = sortedKeys(s.Text.Models)[0]
	}
	_, err := fmt.Fprintf(f.o.Out, "ready: entries %v, stand-ins http://%s; try: curl -s http://%s/v1/chat/completions "+
		"-H 'Authorization: Bearer %s' -d '{\"model\":%q,\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'\n",
		f.o.Listen, f.o.StandinListen, f.o.Listen[0], CallerKey, model)
	return errors.Wrap(err, "ready line")
}

func sortedKeys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
