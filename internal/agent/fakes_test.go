package agent

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/settings"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

const baseConfig = `
settings: {recall_streams: RECALL_STREAMS, rollout_step: 1}
services:
  chat: {kind: model, class: interactive, model: m}
  orders:
    kind: plain
    class: urgent
    endpoints: [p1]
    calls:
      - {method: GET, path: /stock/*, idempotent: true}
      - {method: POST, path: /ping, without_key: single_attempt}
      - {method: POST, path: /orders}
models:
  m: {version: VERSION, batch: b1, endpoints: ["e0", "e1"]}
batches: {b1: {supplier: s}}
recalled: [RECALLED]
`

func configText(version, recallStreams, recalled string) string {
	return strings.NewReplacer("VERSION", version, "RECALL_STREAMS", recallStreams, "RECALLED", recalled).Replace(baseConfig)
}

var v1 = endpoint.Version{Model: "m", Version: "1", Batch: "b1"}

// fakePeer is a Peer whose snapshot, freshness and nodes are set by the test.
type fakePeer struct {
	mu              sync.Mutex
	snapshot        *fleet.Snapshot
	pendingSnapshot *fleet.Snapshot // returned by Snapshot after WaitForEpoch
	stale           bool
	changed         chan struct{}
	nodes           map[string]membership.Node
}

func (p *fakePeer) Run(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
func (p *fakePeer) Epochs() epoch.View            { return p }
func (p *fakePeer) Members() membership.View      { return p }
func (p *fakePeer) Entries() []membership.Node    { return nil }
func (p *fakePeer) Agents() []membership.Node     { return nil }
func (p *fakePeer) ObserveLoad(*wire.Load)        {}
func (p *fakePeer) ObserveFailure(string)         {}
func (p *fakePeer) ObserveLeaving(string)         {}

func (p *fakePeer) Endpoint(name string) (membership.Node, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n, ok := p.nodes[name]
	return n, ok
}

func (p *fakePeer) Snapshot() *fleet.Snapshot {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.snapshot
}

func (p *fakePeer) Fresh() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.stale
}

func (p *fakePeer) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.changed
}

func (p *fakePeer) setSnapshot(s *fleet.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = s
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *fakePeer) setStale(stale bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stale = stale
}

func (p *fakePeer) setNode(n membership.Node) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.nodes[n.Endpoint] = n
}

func (p *fakePeer) WaitForEpoch(ctx context.Context, _ int64) error {
	p.mu.Lock()
	pending := p.pendingSnapshot
	p.mu.Unlock()
	if pending != nil {
		p.setSnapshot(pending)
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// fakeEngine emits answerTokens tokens per answer, one every tokenInterval. It can hang, crash and ignore orders.
type fakeEngine struct {
	mu            sync.Mutex
	report        endpoint.LoadReport
	tokenInterval time.Duration
	answerTokens  int
	hangs         bool // Generate ignores its context
	ignoresOrders bool
	down          bool
	crashed       chan struct{} // closed by the next crash
	generated     []string      // IDs of the streams that were started
	cancelled     []string      // IDs of cancelled streams and segments
	orders        []endpoint.Order
	recvError     error // returned once by Recv after recvErrorAt tokens
	recvErrorAt   int
	generateError error // returned once by Generate, which starts nothing
	resumeError   error // returned by Resume
}

func newFakeEngine() *fakeEngine {
	return &fakeEngine{report: endpoint.LoadReport{KVCapacityTokens: 100000, PrefillTokensPerSecond: 10000,
		Loaded: []endpoint.Version{v1}, Incarnation: "i1"}, tokenInterval: 10 * time.Millisecond, answerTokens: 5,
		recvErrorAt: 2, crashed: make(chan struct{})}
}

func (e *fakeEngine) update(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// recorded returns copies of the recorded attempts and orders and of the loaded versions.
func (e *fakeEngine) recorded() (s struct {
	generated, cancelled []string
	orders               []endpoint.Order
	loaded               []endpoint.Version
}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.generated, s.cancelled = slices.Clone(e.generated), slices.Clone(e.cancelled)
	s.orders, s.loaded = slices.Clone(e.orders), slices.Clone(e.report.Loaded)
	return s
}

// crash breaks all streams. The engine restarts with the given incarnation at once, or stays down if it is empty.
func (e *fakeEngine) crash(incarnation string) {
	e.update(func(e *fakeEngine) {
		close(e.crashed)
		e.crashed = make(chan struct{})
		e.down = incarnation == ""
		e.report.Incarnation = incarnation
		e.report.RunningIDs = nil
	})
}

func (e *fakeEngine) Generate(ctx context.Context, req endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	e.mu.Lock()
	if err := e.generateError; err != nil {
		e.generateError = nil
		e.mu.Unlock()
		return nil, err
	}
	e.generated = append(e.generated, req.StreamID)
	hangs := e.hangs
	e.report.RunningIDs = append(e.report.RunningIDs, req.StreamID)
	s := &fakeStream{engine: e, ctx: ctx, crashed: e.crashed, nextIndex: len(req.Generated)}
	e.mu.Unlock()
	if hangs {
		time.Sleep(time.Hour)
	}
	return s, nil
}

func (e *fakeEngine) Resume(ctx context.Context, id string, from int) (endpoint.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.resumeError != nil {
		return nil, e.resumeError
	}
	if !slices.Contains(e.report.RunningIDs, id) {
		return nil, endpoint.ErrUnknownStream
	}
	return &fakeStream{engine: e, ctx: ctx, crashed: e.crashed, nextIndex: from}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.update(func(e *fakeEngine) {
		e.cancelled = append(e.cancelled, id)
		e.report.RunningIDs = slices.DeleteFunc(slices.Clone(e.report.RunningIDs), func(r string) bool { return r == id })
	})
	return nil
}

func (e *fakeEngine) Prefill(_ context.Context, req endpoint.PrefillRequest) (endpoint.KVHandle, error) {
	e.update(func(e *fakeEngine) { e.report.RunningIDs = append(e.report.RunningIDs, req.ID) })
	return endpoint.KVHandle{Engine: "x", ID: req.ID, Tokens: 10, Version: req.Version}, nil
}

func (e *fakeEngine) ApplyOrder(_ context.Context, o endpoint.Order) error {
	e.update(func(e *fakeEngine) {
		e.orders = append(e.orders, o)
		if !e.ignoresOrders {
			e.report.Loaded = o.Versions
		}
	})
	return nil
}

func (e *fakeEngine) Report(context.Context) (endpoint.LoadReport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return endpoint.LoadReport{}, endpoint.ErrDown
	}
	return e.report, nil
}

func (e *fakeEngine) CacheEvents(context.Context, int64) ([]endpoint.CacheEvent, error) {
	return nil, nil
}

type fakeStream struct {
	engine    *fakeEngine
	ctx       context.Context
	crashed   chan struct{}
	nextIndex int
}

func (s *fakeStream) Recv() (endpoint.Token, error) {
	s.engine.mu.Lock()
	interval, answerTokens := s.engine.tokenInterval, s.engine.answerTokens
	recvErr := s.engine.recvError
	if s.nextIndex == s.engine.recvErrorAt && recvErr != nil {
		s.engine.recvError = nil
		s.engine.mu.Unlock()
		return endpoint.Token{}, recvErr
	}
	s.engine.mu.Unlock()
	select {
	case <-s.crashed:
		return endpoint.Token{}, endpoint.ErrDown
	case <-s.ctx.Done():
		return endpoint.Token{}, s.ctx.Err()
	case <-time.After(interval):
	}
	if s.nextIndex >= answerTokens {
		return endpoint.Token{}, io.EOF
	}
	s.nextIndex++
	return endpoint.Token{Index: s.nextIndex - 1, Text: fmt.Sprintf("t%d ", s.nextIndex-1)}, nil
}

func (s *fakeStream) Usage() endpoint.Usage { return endpoint.Usage{CompletionTokens: s.nextIndex} }
func (s *fakeStream) Close() error          { return nil }

// fakeService records the paths of its calls.
type fakeService struct {
	mu    sync.Mutex
	calls []string
	delay time.Duration
	err   error
	pause string // value of Retry-After in refusals; empty: it does not refuse
	limit endpoint.Limit
}

func (s *fakeService) Limit() endpoint.Limit {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.limit
}

func (s *fakeService) Do(_ context.Context, c endpoint.Call) (endpoint.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, c.Path)
	delay, err, pause := s.delay, s.err, s.pause
	s.mu.Unlock()
	time.Sleep(delay)
	if pause != "" {
		return endpoint.Response{Status: http.StatusServiceUnavailable, Header: http.Header{"Retry-After": {pause}}}, nil
	}
	return endpoint.Response{Status: 201, Body: []byte("booked")}, err
}

func (s *fakeService) CheckHealth(context.Context) error { return nil }

func (s *fakeService) setResult(delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.err = delay, err
}

func (s *fakeService) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// fakeTable is a table that can be down, or lose the results of commits that took effect.
type fakeTable struct {
	mu          sync.Mutex
	rows        map[string]cloud.Row
	down        bool
	loseResults int // number of next commits that take effect but return ErrInDoubt
}

func (t *fakeTable) Get(_ context.Context, key string) (cloud.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return cloud.Row{}, cloud.ErrUnavailable
	}
	row, ok := t.rows[key]
	if !ok {
		return cloud.Row{}, cloud.ErrNotFound
	}
	return row, nil
}

func (t *fakeTable) Commit(_ context.Context, writes ...cloud.Write) ([]cloud.Row, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return nil, cloud.ErrUnavailable
	}
	w := writes[0]
	current := t.rows[w.Key]
	if w.ExpectedVersion != current.Version && w.ExpectedVersion != cloud.AnyVersion {
		return nil, &cloud.ConditionError{Current: current}
	}
	row := cloud.Row{Key: w.Key, Version: current.Version + 1, Value: w.Value}
	t.rows[w.Key] = row
	if t.loseResults > 0 {
		t.loseResults--
		return nil, cloud.ErrInDoubt
	}
	return []cloud.Row{row}, nil
}

func (t *fakeTable) Scan(context.Context, string, string, int) ([]cloud.Row, error) {
	return nil, nil
}

func (t *fakeTable) version(key string) int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rows[key].Version
}

func (t *fakeTable) setDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.down = down
}

type fakeWeights struct {
	mu       sync.Mutex
	refusals int      // number of next tickets that are refused
	missing  string   // weight name that is not found
	issued   []string // weight names of issued tickets
}

func (w *fakeWeights) IssueTicket(_ context.Context, name string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if name == w.missing {
		return "", cloud.ErrNotFound
	}
	if w.refusals > 0 {
		w.refusals--
		return "", cloud.ErrRateLimited
	}
	w.issued = append(w.issued, name)
	return "ticket-" + name, nil
}

func (w *fakeWeights) issuedNames() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.issued)
}

type fakeCrashReporter struct {
	mu      sync.Mutex
	crashes [][]string // fingerprints of each reported crash
}

func (r *fakeCrashReporter) ReportCrash(_ context.Context, _ string, fingerprints []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.Sort(fingerprints)
	r.crashes = append(r.crashes, fingerprints)
	return nil
}

func (r *fakeCrashReporter) reportedCrashes() [][]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.crashes)
}

// fixture is an agent with fakes of everything that it depends on.
type fixture struct {
	*Agent
	t             *testing.T
	peer          *fakePeer
	engine        *fakeEngine
	service       *fakeService
	table         *fakeTable
	weights       *fakeWeights
	crashReporter *fakeCrashReporter
}

func newSnapshot(t *testing.T, epoch int64, text string) *fleet.Snapshot {
	s, faults := fleet.NewSnapshot(epoch, []byte(text))
	require.Empty(t, faults)
	return s
}

// newFixture starts an agent without a listener. It must be called inside a synctest bubble.
func newFixture(t *testing.T, kind string, configure func(*Options)) *fixture {
	f := &fixture{t: t, engine: newFakeEngine(), service: new(fakeService), weights: new(fakeWeights),
		crashReporter: new(fakeCrashReporter), table: &fakeTable{rows: make(map[string]cloud.Row)},
		peer: &fakePeer{changed: make(chan struct{}), nodes: make(map[string]membership.Node),
			snapshot: newSnapshot(t, 1, configText("1", "finish", ""))}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := Options{Node: settings.Node{Name: "a1"}, Endpoint: "e1", EndpointKind: kind, Log: log, CrashReporter: f.crashReporter,
		Platform: cloud.Services{Table: f.table, Weights: f.weights},
		NewPeer:  func(PeerParams) (Peer, error) { return f.peer, nil }}
	if kind == fleet.KindModel {
		opts.Engine = f.engine
	} else {
		opts.Service = f.service
		opts.Endpoint = "p1"
	}
	if configure != nil {
		configure(&opts)
	}
	a, err := New(opts)
	require.NoError(t, err)
	f.Agent = a
	a.startTasks()
	time.Sleep(time.Second) // first report
	return f
}

// close stops the agent. Goroutines that a hanging fake engine blocks end after an hour of virtual time.
func (f *fixture) close() {
	f.cancel()
	f.tasks.Wait()
	f.engine.mu.Lock()
	hangs := f.engine.hangs
	f.engine.mu.Unlock()
	if hangs {
		time.Sleep(2 * time.Hour)
	}
}

// recordViolations returns a function that returns the names of the invariants violated since this call.
func recordViolations(t *testing.T) func() []string {
	var mu sync.Mutex
	var names []string
	t.Cleanup(invariant.SetHandler(func(name, _ string) {
		mu.Lock()
		defer mu.Unlock()
		names = append(names, name)
	}))
	return func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Clone(names)
	}
}

// requireNoViolations fails the test on a violated invariant.
func requireNoViolations(t *testing.T) {
	t.Cleanup(invariant.SetHandler(func(name, detail string) { t.Errorf("violation of %s: %s", name, detail) }))
}

func modelRequest(id string) *wire.RunRequest {
	return &wire.RunRequest{RequestId: "r-" + id, AttemptId: id, Workspace: "w", Service: "chat", Class: "interactive", Epoch: 1,
		DeadlineMs: 30000, Fingerprint: "f-" + id,
		Work: &wire.RunRequest_Model{Model: &wire.ModelWork{Version: wire.EncodeVersion(v1), Prompt: "hello",
			PromptTokens: 100, MaxTokens: 100}}}
}

func callRequest(id, method, path, key string) *wire.RunRequest {
	return &wire.RunRequest{RequestId: "r-" + id, AttemptId: id, Workspace: "w", Service: "orders", Class: "urgent", Epoch: 1,
		DeadlineMs: 10000, Work: &wire.RunRequest_Call{Call: &wire.CallWork{Method: method, Path: path, IdempotencyKey: key,
			Idempotent: method == "GET", RequestHash: "h"}}}
}

// waitForLastFrame waits until an attempt has ended and returns the last frame of its stream.
func waitForLastFrame(att *attempt) *wire.Frame {
	<-att.done
	return att.buffer.LastFrame()
}
