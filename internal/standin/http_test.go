package standin

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/cloud/cloudhttp"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/endpoint/endpointhttp"
)

// servePlatform serves a platform over HTTP, at 20 times its speed, and returns its base URL.
func servePlatform(t *testing.T) (*Platform, string) {
	t.Helper()
	p := New(Options{TimeScale: 20})
	t.Cleanup(p.Close)
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	return p, server.URL
}

// refusedURL returns the URL of an address on which nothing listens.
func refusedURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return "http://" + l.Addr().String()
}

func TestPlatformOverHTTP(t *testing.T) {
	p, url := servePlatform(t)
	s := cloudhttp.New(url, nil)
	ctx := t.Context()
	rows, err := s.Table.Commit(ctx, cloud.Write{Key: "a/1 ?&", Value: []byte{0, 255}, TTL: time.Hour}, cloud.Write{Key: "a/2"})
	require.NoError(t, err)
	row, err := s.Table.Get(ctx, "a/1 ?&")
	require.NoError(t, err)
	require.True(t, rows[0].Expires.Equal(row.Expires))
	require.Equal(t, []byte{0, 255}, row.Value)
	_, err = s.Table.Get(ctx, "none")
	require.ErrorIs(t, err, cloud.ErrNotFound)
	_, err = s.Table.Commit(ctx, cloud.Write{Key: "a/2"})
	var condition *cloud.ConditionError
	require.ErrorAs(t, err, &condition)
	require.EqualValues(t, 1, condition.Current.Version)
	rows, err = s.Table.Scan(ctx, "a/", "a/1 ?&", 5)
	require.NoError(t, err)
	require.Len(t, rows, 1)
	require.NoError(t, s.Objects.Put(ctx, "texts/1", []byte("text")))
	data, err := s.Objects.Get(ctx, "texts/1")
	require.NoError(t, err)
	require.Equal(t, "text", string(data))
	ticket, err := s.Weights.IssueTicket(ctx, "ledger@1")
	require.NoError(t, err)
	require.NotEmpty(t, ticket)
	p.SetVM(cloud.VM{Name: "entry-1", State: cloud.VMLive, Role: cloud.RoleEntry})
	require.NoError(t, p.faults.Merge([]byte(`{"vm_list_lag_ms":0}`)))
	vms, err := s.VMs.List(ctx)
	require.NoError(t, err)
	require.Equal(t, "entry-1", vms[0].Name)
}

// A lost answer must be reported as in doubt, whereas a refused connection must be reported as unavailable.
func TestPlatformTransportErrors(t *testing.T) {
	p, url := servePlatform(t)
	s := cloudhttp.New(url, nil)
	require.NoError(t, p.faults.Merge([]byte(`{"table_lose_answers":1}`)))
	_, err := s.Table.Commit(t.Context(), cloud.Write{Key: "k"})
	require.ErrorIs(t, err, cloud.ErrInDoubt)
	_, err = s.Table.Get(t.Context(), "k")
	require.NoError(t, err, "the write took effect")
	require.NoError(t, p.faults.Merge([]byte(`{"table_down":true}`)))
	_, err = s.Table.Commit(t.Context(), cloud.Write{Key: "k2"})
	require.ErrorIs(t, err, cloud.ErrUnavailable)
	require.NoError(t, p.faults.Merge([]byte(`{"reset":true,"table_delay_ms":60000}`)))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = s.Table.Commit(ctx, cloud.Write{Key: "k3"})
	require.ErrorIs(t, err, cloud.ErrInDoubt)
	_, err = cloudhttp.New(refusedURL(t), nil).Table.Commit(t.Context(), cloud.Write{Key: "k"})
	require.ErrorIs(t, err, cloud.ErrUnavailable)
	broken := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("<html>")) }))
	defer broken.Close()
	_, err = cloudhttp.New(broken.URL, nil).Table.Commit(t.Context(), cloud.Write{Key: "k"})
	require.ErrorIs(t, err, cloud.ErrInDoubt)
	_, err = cloudhttp.New(broken.URL, nil).Table.Get(t.Context(), "k")
	require.ErrorIs(t, err, cloud.ErrUnavailable)
}

func TestEngineOverHTTP(t *testing.T) {
	p, url := servePlatform(t)
	loadedEngine(p, "model-1", EngineOptions{})
	e := endpointhttp.NewEngine(url+PathEngine+"model-1", nil)
	ctx := t.Context()
	text := prompt("letter", 600)
	s := generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: text, MaxTokens: 20})
	got, err := collect(t, s)
	require.NoError(t, err)
	require.Equal(t, Answer(testVersion, text, 20), got)
	require.Equal(t, endpoint.Usage{PromptTokens: 600, CompletionTokens: 20}, s.Usage())
	resumed, err := e.Resume(ctx, "a", 15)
	require.NoError(t, err)
	token, err := resumed.Recv()
	require.NoError(t, err)
	require.Equal(t, 15, token.Index)
	_, err = e.Resume(ctx, "none", 0)
	require.ErrorIs(t, err, endpoint.ErrUnknownStream)
	_, err = e.Generate(ctx, endpoint.GenerateRequest{StreamID: "b", Version: testVersion, Prompt: prompt("b", 500_000)})
	require.ErrorIs(t, err, endpoint.ErrNoMemory)
	require.ErrorIs(t, e.ApplyOrder(ctx, endpoint.Order{Versions: []endpoint.Version{{Model: "m"}}}), endpoint.ErrNotLoaded)
	require.ErrorIs(t, e.ApplyOrder(ctx, endpoint.Order{FencingToken: -1}), endpoint.ErrFenced)
}

// A stream that breaks off must end with ErrDown; io.EOF would make it look like a complete answer.
func TestBrokenEngineStreamOverHTTP(t *testing.T) {
	p, url := servePlatform(t)
	loadedEngine(p, "model-1", EngineOptions{})
	e := endpointhttp.NewEngine(url+PathEngine+"model-1", nil)
	s := generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: "x", MaxTokens: 100_000})
	_, err := s.Recv()
	require.NoError(t, err)
	p.Engine("model-1").Crash()
	_, err = collect(t, s)
	require.ErrorIs(t, err, endpoint.ErrDown)
	_, err = endpointhttp.NewEngine(refusedURL(t), nil).Report(t.Context())
	require.ErrorIs(t, err, endpoint.ErrDown)
	cut := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("event: token\ndata: {\"index\":0,\"text\":\"a\"}\n\n"))
	}))
	defer cut.Close()
	s = generate(t, endpointhttp.NewEngine(cut.URL, nil), endpoint.GenerateRequest{})
	got, err := collect(t, s)
	require.Equal(t, "a", got)
	require.ErrorIs(t, err, endpoint.ErrDown)
}

func TestServiceOverHTTP(t *testing.T) {
	p, url := servePlatform(t)
	p.AddService("order-1", ServiceOptions{})
	s := endpointhttp.NewService(url+PathService+"order-1", nil)
	require.NoError(t, s.CheckHealth(t.Context()))
	header := http.Header{"Idempotency-Key": {"k1"}}
	resp, err := s.Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders/a%2Fb?x=1", Header: header, Body: []byte("{}")})
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, resp.Status)
	counts := p.counters.Snapshot()
	require.Equal(t, "/orders/a/b", counts.Calls[0].Path)
	require.Equal(t, "k1", counts.Calls[0].Key)
	p.Service("order-1").Crash()
	_, err = s.Do(t.Context(), endpoint.Call{Method: http.MethodPost, Path: "/orders"})
	require.ErrorIs(t, err, endpoint.ErrDown)
}

// net/http retries a request with an Idempotency-Key header when a kept-alive connection breaks, which would execute a
// non-idempotent call twice. The service client must not let it.
func TestServiceCallIsNotRetried(t *testing.T) {
	var executions atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if strings.HasSuffix(r.URL.Path, "/warm") {
			return
		}
		executions.Add(1)
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	s := endpointhttp.NewService(server.URL, nil)
	for _, body := range []string{"", "{}"} {
		executions.Store(0)
		_, err := s.Do(t.Context(), endpoint.Call{Method: http.MethodGet, Path: "/warm"})
		require.NoError(t, err)
		call := endpoint.Call{Method: http.MethodPost, Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}, Body: []byte(body)}
		_, err = s.Do(t.Context(), call)
		require.ErrorIs(t, err, endpoint.ErrDown)
		require.EqualValues(t, 1, executions.Load())
	}
}

func TestFaultControls(t *testing.T) {
	p, url := servePlatform(t)
	put := func(body string) int {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPut, url+PathFaults, strings.NewReader(body))
		require.NoError(t, err)
		resp, err := http.DefaultClient.Do(req)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		return resp.StatusCode
	}
	require.Equal(t, http.StatusOK, put(`{"table_down":true}`))
	require.True(t, p.faults.State().TableDown)
	require.Equal(t, http.StatusUnprocessableEntity, put(`{"table_down":false,"tabel_down":true}`))
	require.True(t, p.faults.State().TableDown)
	for _, path := range []string{PathFaults, PathCounters} {
		resp, err := http.Get(url + path)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, resp.StatusCode)
		require.NoError(t, resp.Body.Close())
	}
}

// The table must be unreachable for nodes that a partition separates from the platform, and reachable after it heals.
func TestPartitionBlocksPlatformCalls(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		require.NoError(t, p.faults.Merge([]byte(`{"partition":[["north","platform"],["south"]]}`)))
		_, err := p.ServicesFrom("north").Table.Commit(t.Context(), cloud.Write{Key: "k"})
		require.NoError(t, err)
		south := p.ServicesFrom("south").Table
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = south.Get(ctx, "k")
		require.ErrorIs(t, err, cloud.ErrUnavailable)
		_, err = south.Commit(ctx, cloud.Write{Key: "k2"})
		require.ErrorIs(t, err, cloud.ErrInDoubt)
		require.NoError(t, p.faults.Merge([]byte(`{"reset":true}`)))
		_, err = south.Get(t.Context(), "k")
		require.NoError(t, err)
	})
}
