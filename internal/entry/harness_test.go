package entry

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/blame"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

const testKey = "clerk-key"

const testConfig = `
settings: {failure_domains: [a], max_body_bytes: 100000, recall_streams: cut}
services:
  clerk: {kind: model, class: interactive, model: lark, timeout: 5s, max_timeout: 10s, max_tokens: 100}
  stock:
    kind: plain
    class: urgent
    endpoints: ["order-{1..3}"]
    timeout: 2s
    calls:
      - {method: GET, path: /stock/*, idempotent: true}
      - {method: POST, path: /orders}
      - {method: POST, path: /notes, without_key: single_attempt}
models:
  lark: {version: v1, batch: b1, endpoints: ["model-{1..6}"], max_tokens: 100000}
batches:
  b1: {supplier: example}
workspaces:
  workshop: {key_hashes: [KEYHASH]}
  guests: {key_hashes: [GUESTHASH], services: [clerk], requests_per_second: 1}
RECALLED`

// fakeEpochs is an epoch.View that the test sets.
type fakeEpochs struct {
	snap    atomic.Pointer[fleet.Snapshot]
	stale   atomic.Bool
	mu      sync.Mutex
	changed chan struct{}
}

func (f *fakeEpochs) Snapshot() *fleet.Snapshot { return f.snap.Load() }
func (f *fakeEpochs) Fresh() bool               { return !f.stale.Load() }

func (f *fakeEpochs) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

func (f *fakeEpochs) set(t *testing.T, epoch int64, recalled string) {
	f.setText(t, epoch, testConfig, recalled)
}

// evacuate sets a text with the failure domains a and b, of which the named ones are evacuated.
func (f *fakeEpochs) evacuate(t *testing.T, epoch int64, domains ...string) {
	list := "failure_domains: [a, b], evacuated: [" + strings.Join(domains, ", ") + "]"
	f.setText(t, epoch, strings.Replace(testConfig, "failure_domains: [a]", list, 1), "")
}

func (f *fakeEpochs) setText(t *testing.T, epoch int64, config, recalled string) {
	hash := func(s string) string { sum := sha256.Sum256([]byte(s)); return hex.EncodeToString(sum[:]) }
	text := strings.NewReplacer("KEYHASH", hash(testKey), "GUESTHASH", hash("guest"), "RECALLED", recalled).Replace(config)
	snap, faults := fleet.NewSnapshot(epoch, []byte(text))
	require.Empty(t, faults)
	f.snap.Store(snap)
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// fakeMembers is a membership.View that the test sets.
type fakeMembers struct {
	mu    sync.Mutex
	nodes map[string]membership.Node
}

func (f *fakeMembers) Entries() []membership.Node {
	return []membership.Node{{Name: "entry", Live: true}}
}
func (f *fakeMembers) Agents() []membership.Node {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []membership.Node
	for _, n := range f.nodes {
		out = append(out, n)
	}
	return out
}
func (f *fakeMembers) Endpoint(name string) (membership.Node, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n, ok := f.nodes[name]
	return n, ok
}
func (f *fakeMembers) ObserveLoad(*wire.Load) {}
func (f *fakeMembers) ObserveFailure(n string) {
	f.update(n, func(m *membership.Node) { m.Live = false })
}
func (f *fakeMembers) ObserveLeaving(n string) {
	f.update(n, func(m *membership.Node) { m.Leaving = true })
}
func (f *fakeMembers) update(name string, change func(*membership.Node)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := f.nodes[name]
	change(&n)
	f.nodes[name] = n
}

// fakeAgent is the agent of one endpoint. It records what it is asked and behaves as its fleet says.
type fakeAgent struct {
	wire.Agent
	name    string
	fleet   *fakeFleet
	mu      sync.Mutex
	cancels []string
	runs    []*wire.RunRequest
}

// fakeFleet is a set of agents with the same behaviour.
type fakeFleet struct {
	connections    atomic.Int32 // opened by the entry to all agents
	run            func(a *fakeAgent, r *wire.RunRequest, out *frameWriter)
	resume         func(a *fakeAgent, r *wire.ResumeRequest, out *frameWriter)
	agents         map[string]*fakeAgent
	members        *fakeMembers
	cancelRunState string // run state in the replies to Cancel
}

func (a *fakeAgent) Cancel(_ context.Context, r *wire.CancelRequest) (*wire.CancelReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.cancels = append(a.cancels, r.GetAttemptId())
	return &wire.CancelReply{Run: a.fleet.cancelRunState}, nil
}

func (a *fakeAgent) ServeHTTP(w http.ResponseWriter, hr *http.Request) {
	body, _ := io.ReadAll(hr.Body)
	flush := http.NewResponseController(w)
	out := &frameWriter{ctx: hr.Context(), w: w, writer: stream.NewWriter(w, func() { _ = flush.Flush() }),
		digest: stream.NewDigest()}
	if hr.URL.Path == resumePath {
		m := new(wire.ResumeRequest)
		_ = proto.Unmarshal(body, m)
		out.request, out.attempt, out.nextSequence = m.GetRequestId(), m.GetAttemptId(), m.GetNextSequence()
		if a.fleet.resume == nil {
			http.NotFound(w, hr)
			return
		}
		a.fleet.resume(a, m, out)
		return
	}
	m := new(wire.RunRequest)
	_ = proto.Unmarshal(body, m)
	a.mu.Lock()
	a.runs = append(a.runs, m)
	a.mu.Unlock()
	out.request, out.attempt = m.GetRequestId(), m.GetAttemptId()
	a.fleet.run(a, m, out)
}

func (a *fakeAgent) counts() (runs, cancels int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.runs), len(a.cancels)
}

// frameWriter writes the frames of one attempt.
type frameWriter struct {
	ctx              context.Context
	w                http.ResponseWriter
	writer           *stream.Writer
	request, attempt string
	nextSequence     uint64
	digest           *stream.Digest
	version          string // in the started frame; empty: v1
	firstSent        uint64 // frames with a lower sequence are digested but not sent, as by an agent that resumes
}

func (f *frameWriter) send(m *wire.Frame) {
	m.RequestId, m.AttemptId, m.Sequence = f.request, f.attempt, f.nextSequence
	_ = f.digest.Add(m)
	f.nextSequence++
	if m.GetSequence() >= f.firstSent {
		_ = f.writer.Send(m)
	}
}

func (f *frameWriter) started() *frameWriter {
	v := &wire.Version{Model: "lark", Version: "v1", Batch: "b1"}
	if f.version != "" {
		v.Version = f.version
	}
	f.send(&wire.Frame{Payload: &wire.Frame_Started{Started: &wire.Started{Version: v}}})
	return f
}

func (f *frameWriter) tokens(from int64, texts ...string) *frameWriter {
	for i, text := range texts {
		f.send(&wire.Frame{Payload: &wire.Frame_Token{Token: &wire.Token{Index: from + int64(i), Text: text}}})
	}
	return f
}

func (f *frameWriter) response(status int32, body string) *frameWriter {
	f.send(&wire.Frame{Payload: &wire.Frame_Response{Response: &wire.CallResponse{Status: status, Body: []byte(body)}}})
	return f
}

func (f *frameWriter) end() {
	end := &wire.End{Frames: f.digest.Frames(), Hash: f.digest.Sum(), PromptTokens: 7, CachedTokens: 2}
	f.raw(&wire.Frame{Payload: &wire.Frame_End{End: end}})
}

func (f *frameWriter) fail(failure *wire.Failure) {
	f.raw(&wire.Frame{Payload: &wire.Frame_Failure{Failure: failure}})
}

func (f *frameWriter) raw(m *wire.Frame) {
	m.RequestId, m.AttemptId, m.Sequence = f.request, f.attempt, f.nextSequence
	_ = f.writer.Send(m)
}

// hang keeps the connection open without frames until the entry closes it.
func (f *frameWriter) hang() {
	_ = http.NewResponseController(f.w).Flush()
	<-f.ctx.Done()
}

// abort breaks the connection.
func (f *frameWriter) abort() { panic(http.ErrAbortHandler) }

// testEntry is an entry under test in front of a fake fleet.
type testEntry struct {
	url         string
	epochs      *fakeEpochs
	fleet       *fakeFleet
	blames      *blame.Tracker
	server      *server
	idempotency *fakeIdempotencyStore
}

var testTiming = Timing{
	SilenceTimeout:   150 * time.Millisecond,
	CancelTimeout:    200 * time.Millisecond,
	SettleTimeout:    200 * time.Millisecond,
	AnswerMargin:     50 * time.Millisecond,
	InitialBackoff:   5 * time.Millisecond,
	ReservationLease: 300 * time.Millisecond,
	MaxReserveWait:   500 * time.Millisecond,
}

// newFleet starts the agents of the endpoints in testConfig, except model-4 to model-6.
func newFleet(t *testing.T, run func(a *fakeAgent, r *wire.RunRequest, out *frameWriter)) *fakeFleet {
	f := &fakeFleet{run: run, agents: map[string]*fakeAgent{}, members: &fakeMembers{nodes: map[string]membership.Node{}},
		cancelRunState: "unknown"}
	for _, name := range []string{"model-1", "model-2", "model-3", "order-1", "order-2", "order-3"} {
		f.add(t, name, func(a *fakeAgent) wire.Agent { return a })
	}
	return f
}

func (f *fakeFleet) add(t *testing.T, name string, rpc func(*fakeAgent) wire.Agent) {
	a := &fakeAgent{name: name, fleet: f}
	mux := http.NewServeMux()
	mux.Handle("/agent/v1/", a)
	mux.Handle("/twirp/", wire.NewAgentServer(rpc(a)))
	srv := httptest.NewUnstartedServer(mux)
	srv.Config.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateNew {
			f.connections.Add(1)
		}
	}
	srv.Start()
	t.Cleanup(srv.CloseClientConnections)
	t.Cleanup(srv.Close)
	f.agents[name] = a
	f.members.nodes[name] = membership.Node{Name: name, Endpoint: name, Live: true, Addr: srv.Listener.Addr().String()}
}

// newTestEntry starts an entry in front of a fleet.
func newTestEntry(t *testing.T, f *fakeFleet, disabled Disabled) *testEntry {
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	return newTestEntryWith(t, f, epochs, disabled, "")
}

func newTestEntryWith(t *testing.T, f *fakeFleet, epochs *fakeEpochs, disabled Disabled, policy string) *testEntry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	reg := prometheus.NewRegistry()
	p, err := route.NewPolicy(policy)
	require.NoError(t, err)
	e := &testEntry{epochs: epochs, fleet: f, idempotency: &fakeIdempotencyStore{}}
	e.blames = blame.New(blame.Options{Log: log, Registerer: reg})
	e.server = &server{epochs: epochs, members: f.members, metrics: newMetrics(reg), gatherer: reg, log: log,
		rateLimiter: limit.NewRateLimiter(limit.RateLimiterOptions{})}
	e.server.dispatch = newDispatcher(dispatcherOptions{Epochs: epochs, Members: f.members, Blames: e.blames,
		Idempotency: e.idempotency, Policy: p, RoutingView: route.NewView(route.Options{IntN: seeded(7)}),
		Agents: newAgentsClient(nil, nil), Timing: testTiming, Log: log, Metrics: e.server.metrics, Disabled: disabled})
	srv := httptest.NewServer(e.server.router())
	t.Cleanup(srv.Close)
	e.url = srv.URL
	return e
}

// seeded returns a generator with a fixed seed.
func seeded(seed uint64) func(int) int {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, seed))
	return func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return r.IntN(n)
	}
}

// fakeIdempotencyStore is an IdempotencyStore with a single record.
type fakeIdempotencyStore struct {
	mu      sync.Mutex
	record  IdempotencyRecord
	err     error
	hangs   bool // Refuse blocks until the context ends
	refused []string
}

func (s *fakeIdempotencyStore) Refuse(ctx context.Context, _, _ string, expectedVersion int64,
	attemptID string) (IdempotencyRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hangs {
		<-ctx.Done()
		return IdempotencyRecord{}, ctx.Err()
	}
	if s.err != nil {
		return IdempotencyRecord{}, s.err
	}
	s.refused = append(s.refused, attemptID)
	if s.record.Version == expectedVersion {
		s.record = IdempotencyRecord{State: IdempotencyRefused, Version: expectedVersion + 1, AttemptID: attemptID}
	}
	return s.record, nil
}

func (s *fakeIdempotencyStore) Lookup(context.Context, string, string) (IdempotencyRecord, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.record, s.err
}

// reply is a response as the caller receives it.
type reply struct {
	status int
	body   string
	header http.Header
}

func (e *testEntry) do(t *testing.T, method, path, body string, headers ...string) reply {
	req, err := http.NewRequest(method, e.url+path, strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers) && headers[i] != ""; i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	return reply{status: resp.StatusCode, body: string(data), header: resp.Header}
}

const (
	chatBody          = `{"model":"clerk","messages":[{"role":"user","content":"Which wineskins leak?"}]}`
	streamingChatBody = `{"model":"clerk","stream":true,"stream_options":{"include_usage":true},"messages":[{"role":"user","content":"Which wineskins leak?"}]}`
)

func (e *testEntry) chat(t *testing.T, body string, headers ...string) reply {
	return e.do(t, http.MethodPost, "/v1/chat/completions", body, headers...)
}

// stream sends a chat and calls onLine for each line of the answer as it arrives. It returns the whole answer.
func (e *testEntry) stream(t *testing.T, body string, onLine func(line string)) string {
	req, err := http.NewRequest(http.MethodPost, e.url+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var all strings.Builder
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		onLine(lines.Text())
		all.WriteString(lines.Text() + "\n")
	}
	require.NoError(t, lines.Err())
	return all.String()
}

// totalCounts returns the runs and cancels at all agents.
func (f *fakeFleet) totalCounts() (runs, cancels int) {
	for _, a := range f.agents {
		r, c := a.counts()
		runs, cancels = runs+r, cancels+c
	}
	return runs, cancels
}
