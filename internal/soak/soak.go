// Package soak runs gateway processes on loopback against stand-ins of the platform's store and endpoints, disturbs all of them, and checks
// what callers and endpoints see. A seed determines the plan of disturbances and the requests.
package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/platform/platformtest"
)

// Options configures a run.
type Options struct {
	Seed      uint64
	Duration  time.Duration // of the disturbances
	Gateways  int
	Endpoints int // of the model service; the order service has three
	Callers   int
	Binary    string // path of the gateway program
	Dir       string // for settings and logs
	BasePort  int    // the first of four ports that the gateways use, each at an address of its own
}

// Report is the result of a run.
type Report struct {
	Violations []string
	Outcomes   map[string]int // results of callers, by kind of request and status
	Faults     map[string]int // by kind
}

// String returns the report as text.
func (r *Report) String() string {
	var b strings.Builder
	for _, counts := range []map[string]int{r.Faults, r.Outcomes} {
		for _, key := range slices.Sorted(maps.Keys(counts)) {
			fmt.Fprintf(&b, "%s: %d\n", key, counts[key])
		}
	}
	for _, v := range r.Violations {
		b.WriteString("VIOLATION: " + v + "\n")
	}
	return b.String()
}

// world is everything in a run.
type world struct {
	opts      Options
	ctx       context.Context
	rng       *rand.Rand // of the plan
	binary    string
	dir       string
	storeAddr string
	store     *platformtest.Store
	// storeListener accepts the connections to the store.
	storeListener *silenceableListener
	checker       *checker
	gateways      []*gateway
	endpoints     []*endpoint
	lastID        atomic.Int64
	startedAt     time.Time
	faults        map[string]int
	busy          sync.Map // gateways that a fault is using
	pending       sync.WaitGroup

	mu               sync.Mutex
	epoch            int64     // of the configuration; each adds a route and withdraws the key that the one before added
	changedAt        time.Time // of the latest change of the configuration
	evacuated        bool      // otherDomain
	storeAway        bool
	storeDisturbedAt time.Time
}

// Names of the configuration.
const (
	host          = "soak.example"
	chatPrefix    = "/chat/"
	modelService  = "model"
	shopService   = "shop"
	apiKey        = "key"
	latencyTarget = 500 * time.Millisecond
	otherDomain   = "other" // failure domain of some endpoints, which is evacuated at times
)

const (
	startTime = 2 * time.Second // until the gateways know each other and the endpoints
	// crashingFrom is the share of the duration after which requests with the crashing part come.
	crashingFrom = 0.2
	crashingRate = 0.04
)

func (w *world) nextID() int64 { return w.lastID.Add(1) }

func (w *world) port(offset int) string { return strconv.Itoa(w.opts.BasePort + offset) }

// crashingShare returns the share of chats that contain the crashing part now.
func (w *world) crashingShare() float64 {
	if time.Since(w.startedAt) < time.Duration(crashingFrom*float64(w.opts.Duration)) {
		return 0
	}
	return crashingRate
}

// Run runs the processes for a while. The error tells that the run could not be set up.
func Run(ctx context.Context, opts Options) (*Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := &world{opts: opts, ctx: ctx, rng: rand.New(rand.NewPCG(opts.Seed, 0)), binary: opts.Binary, dir: opts.Dir, store: platformtest.NewStore(),
		checker: newChecker(), faults: make(map[string]int), epoch: 1}
	listener, err := listenSilenceable("127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "store")
	}
	w.storeAddr, w.storeListener = listener.Addr().String(), listener
	server := &http.Server{Handler: w.store, BaseContext: func(net.Listener) context.Context { return ctx }}
	go func() { _ = server.Serve(listener) }() // ends with Close
	defer func() { _ = server.Close() }()
	w.writeConfiguration()
	if err := w.startAll(); err != nil {
		return nil, err
	}
	time.Sleep(startTime)
	w.startedAt = time.Now()
	callersCtx, stopCallers := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range opts.Callers {
		c := &caller{world: w, rng: rand.New(rand.NewPCG(opts.Seed, uint64(1+i)))}
		callers.Go(func() { c.run(callersCtx) })
	}
	callers.Go(func() { w.probe(callersCtx) })
	w.disturb()
	w.pending.Wait()
	w.checkPrompts()
	stopCallers()
	callers.Wait()
	for _, g := range w.gateways {
		w.pending.Go(func() { g.end(syscall.SIGTERM) })
	}
	w.pending.Wait()
	return &Report{Violations: w.checker.check(), Outcomes: w.checker.outcomes(), Faults: w.faults}, nil
}

// changeConfiguration writes a configuration with another route and another key.
func (w *world) changeConfiguration() {
	w.mu.Lock()
	w.epoch++
	w.changedAt = time.Now()
	w.mu.Unlock()
	w.writeConfiguration()
}

// writeConfiguration writes the configuration of the current epoch, again if the store has lost it.
func (w *world) writeConfiguration() {
	w.mu.Lock()
	defer w.mu.Unlock()
	route := func(prefix, kind, service string) platformtest.Route {
		return platformtest.Route{Host: host, Prefix: prefix, Kind: kind, Service: service, Attempts: 2, Timeout: callerTimeout,
			LatencyTarget: latencyTarget}
	}
	w.store.SetConfig(platformtest.Config{
		Epoch: w.epoch,
		Routes: []platformtest.Route{route(chatPrefix, "streaming", modelService), route("/orders/", "non_idempotent", shopService),
			route("/stock/", "idempotent", shopService), route(addedPrefix(w.epoch), "idempotent", shopService)},
		Limits: platformtest.Limits{MaxBodyBytes: 2 * longBody},
		Models: []string{modelService}, Services: []string{shopService}, APIKeys: []string{apiKey, addedKey(w.epoch)},
	}.Encode())
}

func addedPrefix(epoch int64) string { return fmt.Sprintf("/added-%d/", epoch) }
func addedKey(epoch int64) string    { return fmt.Sprintf("%s-%d", apiKey, epoch) }

// setEvacuated evacuates otherDomain or takes that back.
func (w *world) setEvacuated(evacuated bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evacuated = evacuated
	w.store.SetEvacuated(otherDomain, evacuated)
	w.checker.recordEvacuation(evacuated)
}

// writeEvacuation writes the operator's request again if the store has lost it.
func (w *world) writeEvacuation() {
	w.setEvacuated(w.isEvacuated())
}

func (w *world) isEvacuated() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.evacuated
}

func (w *world) storeDisturbed(away bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeAway, w.storeDisturbedAt = away, time.Now()
}

func (w *world) startAll() error {
	const shopEndpoints = 3
	for i := range w.opts.Endpoints + shopEndpoints {
		e := &endpoint{world: w, service: modelService, addr: "127.0.0.1:0", domain: zone}
		if i%3 == 0 { // of each service, some stay
			e.domain = otherDomain
		}
		if i >= w.opts.Endpoints {
			e.service = shopService
		}
		if err := e.start(); err != nil {
			return errors.Wrap(err, "endpoint")
		}
		w.endpoints = append(w.endpoints, e)
	}
	for i := range w.opts.Gateways {
		g, err := newGateway(w, i)
		if err == nil {
			err = g.start()
		}
		if err != nil {
			return errors.Wrap(err, "gateway")
		}
		w.gateways = append(w.gateways, g)
	}
	w.checker.recordFault("", false)
	return nil
}
