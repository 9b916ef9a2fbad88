package agent

import (
	"context"
	"fmt"
	"io"
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

const baseText = `
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

func textOf(version, streams, recalled string) string {
	return strings.NewReplacer("VERSION", version, "RECALL_STREAMS", streams, "RECALLED", recalled).Replace(baseText)
}

var v1 = endpoint.Version{Model: "m", Version: "1", Batch: "b1"}

// fakePeer is the exchange: a snapshot, freshness and nodes that the test sets.
type fakePeer struct {
	mu       sync.Mutex
	snapshot *fleet.Snapshot
	pending  *fleet.Snapshot // adopted by EpochCatchUp
	stale    bool
	changed  chan struct{}
	nodes    map[string]membership.Node
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

func (p *fakePeer) set(s *fleet.Snapshot) {
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
	pending := p.pending
	p.mu.Unlock()
	if pending != nil {
		p.set(pending)
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// fakeEngine emits `tokens` tokens per answer, one per `pace`, and can hang, crash and ignore orders.
type fakeEngine struct {
	mu          sync.Mutex
	report      endpoint.LoadReport
	pace        time.Duration
	tokens      int
	hang        bool // Generate ignores its context
	ignoreOrder bool
	down        bool
	crash       chan struct{}
	generated   []string
	cancelled   []string
	orders      []endpoint.Order
	broken      error // returned once by Recv after two tokens
}

func newEngine() *fakeEngine {
	return &fakeEngine{report: endpoint.LoadReport{KVCapacityTokens: 100000, PrefillTokensPerSecond: 10000, Loaded: []endpoint.Version{v1}, Incarnation: "i1"},
		pace: 10 * time.Millisecond, tokens: 5, crash: make(chan struct{})}
}

func (e *fakeEngine) set(change func(*fakeEngine)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(e)
}

// state returns a copy for reading.
func (e *fakeEngine) state() (s struct {
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

func (e *fakeEngine) crashNow(incarnation string) {
	e.set(func(e *fakeEngine) {
		close(e.crash)
		e.crash = make(chan struct{})
		e.down = incarnation == ""
		e.report.Incarnation = incarnation
		e.report.RunningIDs = nil
	})
}

func (e *fakeEngine) Generate(ctx context.Context, g endpoint.GenerateRequest) (endpoint.TokenStream, error) {
	e.mu.Lock()
	e.generated = append(e.generated, g.StreamID)
	hang := e.hang
	e.report.RunningIDs = append(e.report.RunningIDs, g.StreamID)
	s := &fakeStream{engine: e, ctx: ctx, crash: e.crash, next: len(g.Generated)}
	e.mu.Unlock()
	if hang {
		time.Sleep(time.Hour)
	}
	return s, nil
}

func (e *fakeEngine) Resume(ctx context.Context, id string, from int) (endpoint.TokenStream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !slices.Contains(e.report.RunningIDs, id) {
		return nil, endpoint.ErrUnknownStream
	}
	return &fakeStream{engine: e, ctx: ctx, crash: e.crash, next: from}, nil
}

func (e *fakeEngine) Cancel(_ context.Context, id string) error {
	e.set(func(e *fakeEngine) {
		e.cancelled = append(e.cancelled, id)
		e.report.RunningIDs = slices.DeleteFunc(slices.Clone(e.report.RunningIDs), func(r string) bool { return r == id })
	})
	return nil
}

func (e *fakeEngine) Prefill(_ context.Context, s endpoint.PrefillRequest) (endpoint.KVHandle, error) {
	e.set(func(e *fakeEngine) { e.report.RunningIDs = append(e.report.RunningIDs, s.ID) })
	return endpoint.KVHandle{Engine: "x", ID: s.ID, Tokens: 10, Version: s.Version}, nil
}

func (e *fakeEngine) ApplyOrder(_ context.Context, o endpoint.Order) error {
	e.set(func(e *fakeEngine) {
		e.orders = append(e.orders, o)
		if !e.ignoreOrder {
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
	engine *fakeEngine
	ctx    context.Context
	crash  chan struct{}
	next   int
}

func (s *fakeStream) Recv() (endpoint.Token, error) {
	s.engine.mu.Lock()
	pace, total := s.engine.pace, s.engine.tokens
	broken := s.engine.broken
	if s.next == 2 && broken != nil {
		s.engine.broken = nil
		s.engine.mu.Unlock()
		return endpoint.Token{}, broken
	}
	s.engine.mu.Unlock()
	select {
	case <-s.crash:
		return endpoint.Token{}, endpoint.ErrDown
	case <-s.ctx.Done():
		return endpoint.Token{}, s.ctx.Err()
	case <-time.After(pace):
	}
	if s.next >= total {
		return endpoint.Token{}, io.EOF
	}
	s.next++
	return endpoint.Token{Index: s.next - 1, Text: fmt.Sprintf("t%d ", s.next-1)}, nil
}

func (s *fakeStream) Usage() endpoint.Usage { return endpoint.Usage{CompletionTokens: s.next} }
func (s *fakeStream) Close() error          { return nil }

// fakeService counts its calls by path.
type fakeService struct {
	mu    sync.Mutex
	calls []string
	delay time.Duration
	err   error
}

func (s *fakeService) Do(_ context.Context, c endpoint.Call) (endpoint.Response, error) {
	s.mu.Lock()
	s.calls = append(s.calls, c.Path)
	delay, err := s.delay, s.err
	s.mu.Unlock()
	time.Sleep(delay)
	return endpoint.Response{Status: 201, Body: []byte("booked")}, err
}

func (s *fakeService) CheckHealth(context.Context) error { return nil }

func (s *fakeService) set(delay time.Duration, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay, s.err = delay, err
}

func (s *fakeService) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

// fakeTable is a table whose commits can be lost before or after they took effect.
type fakeTable struct {
	mu         sync.Mutex
	rows       map[string]cloud.Row
	down       bool
	loseAnswer int // commits that take effect and answer ErrInDoubt
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
	if t.loseAnswer > 0 {
		t.loseAnswer--
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
	mu      sync.Mutex
	refuse  int
	missing string // name without weights
	fetched []string
}

func (w *fakeWeights) IssueTicket(_ context.Context, name string) (string, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if name == w.missing {
		return "", cloud.ErrNotFound
	}
	if w.refuse > 0 {
		w.refuse--
		return "", cloud.ErrRateLimited
	}
	w.fetched = append(w.fetched, name)
	return "ticket-" + name, nil
}

func (w *fakeWeights) seen() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.fetched)
}

type fakeSink struct {
	mu      sync.Mutex
	crashes [][]string
}

func (s *fakeSink) ReportCrash(_ context.Context, _ string, fingerprints []string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.Sort(fingerprints)
	s.crashes = append(s.crashes, fingerprints)
	return nil
}

func (s *fakeSink) seen() [][]string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.crashes)
}

// fixture is an agent with fakes on all sides.
type fixture struct {
	*Agent
	t       *testing.T
	peer    *fakePeer
	engine  *fakeEngine
	service *fakeService
	table   *fakeTable
	weights *fakeWeights
	sink    *fakeSink
}

func snapshot(t *testing.T, epoch int64, text string) *fleet.Snapshot {
	s, faults := fleet.NewSnapshot(epoch, []byte(text))
	require.Empty(t, faults)
	return s
}

// newFixture starts an agent without a listener. It must be called inside a synctest bubble.
func newFixture(t *testing.T, kind string, change func(*Options)) *fixture {
	f := &fixture{t: t, engine: newEngine(), service: new(fakeService), weights: new(fakeWeights), sink: new(fakeSink),
		table: &fakeTable{rows: make(map[string]cloud.Row)},
		peer:  &fakePeer{changed: make(chan struct{}), nodes: make(map[string]membership.Node), snapshot: snapshot(t, 1, textOf("1", "finish", ""))}}
	log := logrus.New()
	log.SetOutput(io.Discard)
	opts := Options{Node: settings.Node{Name: "a1"}, Endpoint: "e1", EndpointKind: kind, Log: log, Crashes: f.sink,
		Services: cloud.Services{Table: f.table, Weights: f.weights},
		NewPeer:  func(PeerParams) (Peer, error) { return f.peer, nil }}
	if kind == fleet.KindModel {
		opts.Engine = f.engine
	} else {
		opts.Service = f.service
		opts.Endpoint = "p1"
	}
	if change != nil {
		change(&opts)
	}
	a, err := New(opts)
	require.NoError(t, err)
	f.Agent = a
	a.startDuties()
	time.Sleep(time.Second) // first report
	return f
}

// close ends the agent's duties. Goroutines of a hanging fake engine end after an hour of virtual time.
func (f *fixture) close() {
	f.stop()
	f.duties.Wait()
	f.engine.mu.Lock()
	hang := f.engine.hang
	f.engine.mu.Unlock()
	if hang {
		time.Sleep(2 * time.Hour)
	}
}

func violations(t *testing.T) func() []string {
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

// requireNoViolations fails the test at the first violated assertion.
func requireNoViolations(t *testing.T) {
	t.Cleanup(invariant.SetHandler(func(name, detail string) { t.Errorf("violation of %s: %s", name, detail) }))
}

func modelRequest(id string) *wire.RunRequest {
	return &wire.RunRequest{RequestId: "r-" + id, AttemptId: id, Workspace: "w", Service: "chat", Class: "interactive", Epoch: 1,
		DeadlineMs: 30000, Fingerprint: "f-" + id,
		Work: &wire.RunRequest_Model{Model: &wire.ModelWork{Version: wire.EncodeVersion(v1), Prompt: "hello", PromptTokens: 100, MaxTokens: 100}}}
}

func callRequest(id, method, path, key string) *wire.RunRequest {
	return &wire.RunRequest{RequestId: "r-" + id, AttemptId: id, Workspace: "w", Service: "orders", Class: "urgent", Epoch: 1, DeadlineMs: 10000,
		Work: &wire.RunRequest_Call{Call: &wire.CallWork{Method: method, Path: path, IdempotencyKey: key, Idempotent: method == "GET", RequestHash: "h"}}}
}

// wait returns the last frame of an attempt.
func wait(att *attempt) *wire.Frame {
	<-att.done
	return att.buffer.LastFrame()
}
