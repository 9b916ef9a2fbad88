// Package standin contains in-memory emulators of the operators' platform, model engines and plain services, with fault
// injection and counters of what was executed. They implement the interfaces of packages cloud and endpoint and can be
// served over HTTP. All time comes from package time, so the emulators also run on the virtual clock of testing/synctest.
package standin

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/cloud"
)

// Options configures the emulators. Zero values take the defaults.
type Options struct {
	TableWritesPerSecond float64        // rows; default 400
	TableReadsPerSecond  float64        // calls; default 2,000
	TableDelay           time.Duration  // per call; default 2 ms
	WeightsPerSecond     float64        // tickets; default 10
	VMListLag            time.Duration  // default 2 s
	TimeScale            float64        // speedup: divides the emulated durations and multiplies the rates; default 1
	Engine               EngineOptions  // defaults of AddEngine
	Service              ServiceOptions // defaults of AddService
}

// Defaults of Options.
const (
	DefaultTableWritesPerSecond = 400
	DefaultTableReadsPerSecond  = 2000
	DefaultTableDelay           = 2 * time.Millisecond
	DefaultWeightsPerSecond     = 10
	DefaultVMListLag            = 2 * time.Second
)

func (o Options) withDefaults() Options {
	o.TableWritesPerSecond = orDefault(o.TableWritesPerSecond, DefaultTableWritesPerSecond)
	o.TableReadsPerSecond = orDefault(o.TableReadsPerSecond, DefaultTableReadsPerSecond)
	o.TableDelay = orDefault(o.TableDelay, DefaultTableDelay)
	o.WeightsPerSecond = orDefault(o.WeightsPerSecond, DefaultWeightsPerSecond)
	o.VMListLag = orDefault(o.VMListLag, DefaultVMListLag)
	o.TimeScale = orDefault(o.TimeScale, 1)
	o.Engine = o.Engine.withDefaults()
	o.Service = o.Service.withDefaults()
	return o
}

// orDefault returns v, or fallback if v is the zero value.
func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// scaled divides a duration by the time scale.
func (o Options) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) / o.TimeScale)
}

// Platform is the set of emulators for one fleet.
type Platform struct {
	opts     Options
	faults   *Faults
	counters *Counters
	table    *table
	objects  *objectStore
	weights  *weightStore
	vms      *vmList

	mu         sync.Mutex
	engines    map[string]*Engine
	services   map[string]*Service
	lastNumber int // number of the last order, deposit or booking
}

// New returns a platform without endpoints. Close stops its engines.
func New(o Options) *Platform {
	o = o.withDefaults()
	f := newFaults(FaultState{VMListLagMS: o.scaled(o.VMListLag).Milliseconds(), LoadLagMS: o.scaled(o.Engine.LoadLag).Milliseconds(),
		IgnoreFencing: o.Engine.IgnoreFencing})
	c := newCounters()
	p := &Platform{
		opts: o, faults: f, counters: c, table: newTable(o, f, c),
		objects: &objectStore{faults: f, objects: make(map[string][]byte)},
		weights: &weightStore{faults: f, counters: c, limit: newLimiter(o.WeightsPerSecond * o.TimeScale),
			tickets: make(map[string]string)},
		vms:      &vmList{faults: f, vms: make(map[string]cloud.VM)},
		engines:  make(map[string]*Engine),
		services: make(map[string]*Service),
	}
	f.validate = p.validateFaults
	f.OnChange(p.vms.recordLeaving)
	f.OnChange(p.crashEndpoints)
	return p
}

// Faults returns the injected faults.
func (p *Platform) Faults() *Faults { return p.faults }

// Counters returns the counters of executed work.
func (p *Platform) Counters() *Counters { return p.counters }

// Services returns the platform's services for a caller that partitions do not affect.
func (p *Platform) Services() cloud.Services {
	return cloud.Services{Table: p.table, Objects: p.objects, Weights: p.weights, VMs: p.vms}
}

// SetVM adds a VM to the list or replaces it. Readers see the change after the lag of the list.
func (p *Platform) SetVM(vm cloud.VM) { p.vms.Set(vm) }

// RemoveVM removes a VM from the list. Readers see the change after the lag of the list.
func (p *Platform) RemoveVM(name string) { p.vms.Remove(name) }

// AddEngine adds an engine and starts it.
func (p *Platform) AddEngine(name string, o EngineOptions) *Engine {
	e := newEngine(p, name, p.opts.Engine.override(o))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[name] = e
	return e
}

// AddService adds a plain service endpoint.
func (p *Platform) AddService(name string, o ServiceOptions) *Service {
	s := newService(p, name, p.opts.Service.override(o))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.services[name] = s
	return s
}

// Engine returns the engine with a name, or nil.
func (p *Platform) Engine(name string) *Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[name]
}

// Service returns the plain service endpoint with a name, or nil.
func (p *Platform) Service(name string) *Service {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.services[name]
}

// Endpoints returns the sorted names of all endpoints.
func (p *Platform) Endpoints() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	names := slices.Collect(maps.Keys(p.engines))
	names = slices.AppendSeq(names, maps.Keys(p.services))
	slices.Sort(names)
	return names
}

// Close stops the engines.
func (p *Platform) Close() {
	p.mu.Lock()
	engines := slices.Collect(maps.Values(p.engines))
	p.mu.Unlock()
	for _, e := range engines {
		e.Close()
	}
}

func (p *Platform) validateFaults(s FaultState) error {
	names := slices.Clone(s.EngineDown)
	names = append(names, s.SlowLookupEndpoints...)
	if s.EngineCrash != "" {
		names = append(names, s.EngineCrash)
	}
	for _, name := range names {
		if p.Engine(name) == nil && p.Service(name) == nil {
			return errors.Errorf("unknown endpoint %q", name)
		}
	}
	for _, ms := range []int64{s.TableDelayMS, s.VMListLagMS, s.LoadLagMS, s.SlowLookupsMS, s.SlowCallsMS} {
		if ms < 0 {
			return errors.New("durations must not be negative")
		}
	}
	if s.TableLoseAnswers < AllAnswers {
		return errors.New("table_lose_answers must be a count, -1 or a boolean")
	}
	return nil
}

func (p *Platform) crashEndpoints(before, after FaultState) {
	if after.EngineCrash != "" {
		p.crash(after.EngineCrash)
	}
	for _, name := range after.EngineDown {
		if !slices.Contains(before.EngineDown, name) {
			p.crash(name)
		}
	}
}

func (p *Platform) crash(name string) {
	if e := p.Engine(name); e != nil {
		e.Crash()
	}
	if s := p.Service(name); s != nil {
		s.Crash()
	}
}

// nextNumber returns the next number of an order, deposit or booking; the numbers are unique across all plain services.
func (p *Platform) nextNumber() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastNumber++
	return p.lastNumber
}

// ServicesFrom returns the platform's services for a node in a failure domain. While a partition separates the domain from
// the platform, calls block until the partition heals or their context ends.
func (p *Platform) ServicesFrom(domain string) cloud.Services {
	g := partitionGate{faults: p.faults, domain: domain}
	return cloud.Services{Table: gatedTable{g, p.table}, Objects: gatedObjects{g, p.objects},
		Weights: gatedWeights{g, p.weights}, VMs: gatedVMs{g, p.vms}}
}

// partitionGate blocks calls from a failure domain while it cannot reach the platform.
type partitionGate struct {
	faults *Faults
	domain string
}

func (g partitionGate) awaitReachable(ctx context.Context) error {
	for {
		changed := g.faults.Changed()
		if g.faults.State().Reachable(g.domain, PlatformDomain) {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(cloud.ErrUnavailable, ctx.Err().Error())
		case <-changed:
		}
	}
}

// gatedTable is a table behind a partitionGate.
type gatedTable struct {
	partitionGate
	next cloud.Table
}

// Get implements cloud.Table.
func (t gatedTable) Get(ctx context.Context, key string) (cloud.Row, error) {
	if err := t.awaitReachable(ctx); err != nil {
		return cloud.Row{}, err
	}
	return t.next.Get(ctx, key)
}

// Commit implements cloud.Table. A wait that ends is reported as in doubt, because a real client could not tell whether its
// write was sent.
func (t gatedTable) Commit(ctx context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	if err := t.awaitReachable(ctx); err != nil {
		return nil, errors.Wrap(cloud.ErrInDoubt, err.Error())
	}
	return t.next.Commit(ctx, writes...)
}

// Scan implements cloud.Table.
func (t gatedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]cloud.Row, error) {
	if err := t.awaitReachable(ctx); err != nil {
		return nil, err
	}
	return t.next.Scan(ctx, prefix, after, limit)
}

type gatedObjects struct {
	partitionGate
	next cloud.ObjectStore
}

// Put implements cloud.ObjectStore.
func (s gatedObjects) Put(ctx context.Context, name string, data []byte) error {
	if err := s.awaitReachable(ctx); err != nil {
		return err
	}
	return s.next.Put(ctx, name, data)
}

// Get implements cloud.ObjectStore.
func (s gatedObjects) Get(ctx context.Context, name string) ([]byte, error) {
	if err := s.awaitReachable(ctx); err != nil {
		return nil, err
	}
	return s.next.Get(ctx, name)
}

type gatedWeights struct {
	partitionGate
	next cloud.WeightStore
}

// IssueTicket implements cloud.WeightStore.
func (s gatedWeights) IssueTicket(ctx context.Context, name string) (string, error) {
	if err := s.awaitReachable(ctx); err != nil {
		return "", err
	}
	return s.next.IssueTicket(ctx, name)
}

type gatedVMs struct {
	partitionGate
	next cloud.VMList
}

// List implements cloud.VMList.
func (l gatedVMs) List(ctx context.Context) ([]cloud.VM, error) {
	if err := l.awaitReachable(ctx); err != nil {
		return nil, err
	}
	return l.next.List(ctx)
}
