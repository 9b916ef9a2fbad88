package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/catalog"
	"github.com/bilberrylink/bilberrylink/engine"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/placement"
	"github.com/bilberrylink/bilberrylink/registry"
)

// backend is an endpoint fleet whose behavior a test sets.
type backend struct {
	mu       sync.Mutex
	sends    []EndpointRequest
	reserved map[string]int
	script   func(ctx context.Context, n int, s *EndpointRequest) (*Response, error)
	order    func() error
}

func (b *backend) Send(ctx context.Context, s *EndpointRequest) (*Response, error) {
	b.mu.Lock()
	b.sends = append(b.sends, *s)
	n := len(b.sends)
	b.mu.Unlock()
	return b.script(ctx, n, s)
}

func (b *backend) Reserve(_ context.Context, e *registry.Endpoint, id string, tokens int, _ time.Duration) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.reserved[id] = tokens
	if b.order != nil {
		return true, b.order()
	}
	return true, nil
}

func (b *backend) Release(_ context.Context, _ *registry.Endpoint, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reserved, id)
	return nil
}

// caller records what it gets.
type caller struct {
	status  int
	body    bytes.Buffer
	refused errkind.Kind
	after   time.Duration
	aborted bool
	finals  int
}

func (c *caller) WriteHeader(a *Response) { c.status = a.Status; c.finals++ }
func (c *caller) Write(p []byte) error    { c.body.Write(p); return nil }
func (c *caller) Refuse(kind errkind.Kind, after time.Duration) {
	c.refused, c.after = kind, after
	c.finals++
}
func (c *caller) Abort() { c.aborted = true }

// world is a gateway with three endpoints.
type world struct {
	*backend
	gateway *Gateway
	board   *placement.Scheduler
	roster  *registry.Registry
}

var testModel = &engine.TimingModel{Slots: 16, MemoryTokens: 300_000, TokensPerPass: 51, StepMs: 0.85, PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184, SplitsPrompts: true}

func newWorld(script func(ctx context.Context, n int, s *EndpointRequest) (*Response, error)) *world {
	log := logrus.New()
	log.SetOutput(io.Discard)
	w := &world{backend: &backend{script: script, reserved: map[string]int{}}, board: placement.NewScheduler(), roster: registry.New(nil)}
	for _, id := range []string{"a", "b", "c"} {
		w.roster.Upsert(registry.Entry{ID: id, Service: "app", Addr: "10.0.0.1:1"})
		w.roster.Upsert(registry.Entry{ID: "m" + id, Service: "model", Addr: "10.0.0.2:1"})
	}
	snap := catalog.New(1, nil, []*catalog.Service{{Name: "app"}, {Name: "model", Engine: testModel}}, nil)
	w.gateway = New(Options{
		Name: "g", Catalog: func() *catalog.Snapshot { return snap }, Registry: w.roster, Scheduler: w.board, Backend: w.backend, Log: log,
		RetryBudget:  NewRetryBudget(0.2, 100, 10*time.Second, func() int { return 1 }, time.Now),
		CrashTracker: NewCrashTracker(time.Now), Metrics: NewMetrics(nil),
	})
	return w
}

func (w *world) serve(ctx context.Context, kind catalog.Kind, change func(*Request)) *caller {
	route := &catalog.Route{Name: "r", Kind: kind, MaxAttempts: 2, Timeout: 10 * time.Second, LatencyTarget: 300 * time.Millisecond,
		TrafficSplit: []catalog.WeightedService{{Service: "app", Weight: 1}}}
	if kind == catalog.Stream {
		route.TrafficSplit[0].Service, route.Resumable, route.GapTarget = "model", true, 250*time.Millisecond
	}
	r := &Request{ID: "1", Route: route, ArrivedAt: time.Now(), LastEventID: -1}
	if kind == catalog.Stream {
		r.PromptTokens, r.OutputTokens = 2000, 500
	}
	if change != nil {
		change(r)
	}
	c := new(caller)
	w.gateway.Serve(ctx, r, c)
	return c
}

func answer(status int, body string) *Response {
	return &Response{Status: status, SignatureValid: true, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body))}
}

func events(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// cut is a body that breaks off with an error.
func cut(text string) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(text), brokenReader{}))
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var errReset = &SendError{MaybeReceived: true, Err: errors.New("connection reset")}

// Guards against an order that is executed twice: after a connection that broke with the request on it, a
// non-idempotent request is neither sent again nor reported as not run.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	w := newWorld(func(context.Context, int, *EndpointRequest) (*Response, error) { return nil, errReset })
	c := w.serve(t.Context(), catalog.NonIdempotent, nil)
	require.Len(t, w.sends, 1)
	require.NotEqual(t, errkind.NotRun, errkind.RuleOf(c.refused).RunState)
	require.Equal(t, 1, c.finals)
}

// Guards against losing a request that certainly did not reach an endpoint.
func TestNonIdempotentRequestIsSentAgainIfItDidNotRun(t *testing.T) {
	for name, first := range map[string]func() (*Response, error){
		"no connection": func() (*Response, error) { return nil, &SendError{Err: errors.New("refused")} },
		"full":          func() (*Response, error) { a := answer(503, ""); a.NotExecuted = true; return a, nil },
		"other address": func() (*Response, error) {
			a := answer(421, "")
			a.NotExecuted, a.WrongEndpoint = true, true
			return a, nil
		},
	} {
		w := newWorld(func(_ context.Context, n int, _ *EndpointRequest) (*Response, error) {
			if n == 1 {
				return first()
			}
			return answer(200, "ok"), nil
		})
		c := w.serve(t.Context(), catalog.NonIdempotent, nil)
		require.Equal(t, "ok", c.body.String(), name)
		require.NotEqual(t, w.sends[0].Endpoint.ID, w.sends[1].Endpoint.ID, name)
	}
}

// Guards against more endpoints than the route allows, and against a false promise after the last one.
func TestAttemptsAreBounded(t *testing.T) {
	w := newWorld(func(context.Context, int, *EndpointRequest) (*Response, error) { return nil, errReset })
	c := w.serve(t.Context(), catalog.Idempotent, nil)
	require.Len(t, w.sends, 2)
	require.Equal(t, errkind.EndpointFailed, c.refused)
}

// Guards against replacing the endpoint's own error by another one, and against not trying another endpoint first.
func TestLastEndpointErrorIsPassedOn(t *testing.T) {
	w := newWorld(func(context.Context, int, *EndpointRequest) (*Response, error) { return answer(500, "broken"), nil })
	c := w.serve(t.Context(), catalog.Idempotent, nil)
	require.Len(t, w.sends, 2)
	require.Equal(t, 500, c.status)
	require.Equal(t, "broken", c.body.String())
}

// Guards against passing on an answer that is not whole or not the endpoint's.
func TestIncompleteOrForeignAnswersAreNotPassedOn(t *testing.T) {
	for name, first := range map[string]*Response{
		"cut":     {Status: 200, SignatureValid: true, ContentLength: -1, Body: cut("ha")},
		"foreign": {Status: 200, ContentLength: 4, Body: io.NopCloser(strings.NewReader("half"))},
	} {
		w := newWorld(func(_ context.Context, n int, _ *EndpointRequest) (*Response, error) {
			if n == 1 {
				return first, nil
			}
			return answer(200, "whole"), nil
		})
		require.Equal(t, "whole", w.serve(t.Context(), catalog.Idempotent, nil).body.String(), name)
	}
}

// Guards against a stream with a piece that is missing, repeated or cut: it goes on at another endpoint after the last
// whole event.
func TestBrokenStreamIsResumedAfterTheLastWholeEvent(t *testing.T) {
	w := newWorld(func(_ context.Context, n int, s *EndpointRequest) (*Response, error) {
		if n == 1 {
			return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: cut(events(1, 3) + "id: 4\nda")}, nil
		}
		return answer(200, events(3, 6)), nil // repeats event 3
	})
	c := w.serve(t.Context(), catalog.Stream, nil)
	require.Equal(t, events(1, 6), c.body.String())
	require.Equal(t, int64(3), w.sends[1].LastEventID)
	require.False(t, c.aborted)
	require.Equal(t, 1, c.finals)
	require.Empty(t, w.board.LocalJobs())
}

// Guards against breaking a long stream off because its request is old: the wait for the next event counts, also at busy
// endpoints.
func TestOldStreamIsResumedAtBusyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(nil)
		w.script = func(_ context.Context, n int, s *EndpointRequest) (*Response, error) {
			if n > 1 {
				return answer(200, events(3, 4)), nil
			}
			time.Sleep(8 * time.Second)
			for _, id := range []string{"ma", "mb", "mc"} {
				w.board.Add(placement.Job{Endpoint: placement.KeyOf(id), PromptTokens: 1000, Parts: 1, OutputTokens: 100, Decoding: true,
					GapTarget: 250 * time.Millisecond, PlacedAt: time.Now()})
			}
			return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: cut(events(1, 2))}, nil
		}
		c := w.serve(t.Context(), catalog.Stream, func(r *Request) {
			r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout = 50_000, 1500*time.Millisecond, 600*time.Millisecond, 30*time.Second
			r.Route.MaxAttempts = 2
		})
		require.Equal(t, events(1, 4), c.body.String())
		require.False(t, c.aborted)
	})
}

// Guards against a stream that looks complete although its rest could not be had.
func TestStreamThatCannotBeResumedIsAborted(t *testing.T) {
	w := newWorld(func(context.Context, int, *EndpointRequest) (*Response, error) {
		return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: cut(events(1, 2))}, nil
	})
	c := w.serve(t.Context(), catalog.Stream, func(r *Request) { r.Route.Resumable = false })
	require.True(t, c.aborted)
	require.Len(t, w.sends, 1)
}

// Guards against waiting for an endpoint that has fallen silent until the caller has left.
func TestSilentStreamMovesToAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(func(ctx context.Context, n int, _ *EndpointRequest) (*Response, error) {
			if n == 1 {
				<-ctx.Done()
				return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
			}
			return answer(200, events(1, 2)), nil
		})
		began := time.Now()
		c := w.serve(t.Context(), catalog.Stream, nil)
		require.Equal(t, events(1, 2), c.body.String())
		require.Less(t, time.Since(began), 2*time.Second)
	})
}

// Guards against reading a prompt twice because its endpoint is busy: one that still answers others is not given up.
func TestEndpointThatAnswersOthersIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(func(ctx context.Context, n int, s *EndpointRequest) (*Response, error) {
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				s.Endpoint.RecordActivity(time.Now())
			}
			return answer(200, events(1, 2)), ctx.Err()
		})
		c := w.serve(t.Context(), catalog.Stream, nil)
		require.Equal(t, events(1, 2), c.body.String())
		require.Len(t, w.sends, 1)
	})
}

// Guards against a caller that is kept waiting past the route's bound, and against a promise for what may run.
func TestRequestEndsAtItsBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(func(ctx context.Context, _ int, _ *EndpointRequest) (*Response, error) {
			<-ctx.Done()
			return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
		})
		began := time.Now()
		c := w.serve(t.Context(), catalog.NonIdempotent, func(r *Request) { r.Route.Timeout = 800 * time.Millisecond })
		require.LessOrEqual(t, time.Since(began), 800*time.Millisecond)
		require.Equal(t, errkind.DeadlineExceeded, c.refused)
	})
}

// Guards against work that goes on after its caller has left.
func TestLeavingCallerEndsTheRequestAtTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, leave := context.WithCancel(t.Context())
		ended := false
		w := newWorld(func(ctx context.Context, _ int, _ *EndpointRequest) (*Response, error) {
			<-ctx.Done()
			ended = true
			return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
		})
		time.AfterFunc(100*time.Millisecond, leave)
		c := w.serve(ctx, catalog.Stream, nil)
		require.True(t, ended)
		require.Len(t, w.sends, 1)
		require.True(t, c.aborted)
		require.Empty(t, w.board.LocalJobs())
	})
}

// Guards against memory that stays reserved: all reservations are released when the request ends, and again while an
// order without an answer may still be carried out.
func TestReservationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(func(_ context.Context, _ int, s *EndpointRequest) (*Response, error) {
			return answer(200, events(1, 2)), nil
		})
		w.order = func() error { return nil }
		c := w.serve(t.Context(), catalog.Stream, func(r *Request) {
			r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout = 500_000, 30*time.Second, 5*time.Second, 100*time.Second
		})
		require.Equal(t, events(1, 2), c.body.String())
		require.NotEmpty(t, w.sends[0].Helpers)
		time.Sleep(time.Second)
		require.Empty(t, w.reserved)

		w.order = func() error { return errors.New("no answer") }
		c = w.serve(t.Context(), catalog.Stream, func(r *Request) { r.PromptTokens, r.Route.LatencyTarget = 500_000, 30*time.Second })
		require.Equal(t, errkind.Overloaded, c.refused)
		time.Sleep(3 * time.Second)
		w.mu.Lock()
		w.reserved["late"] = 1 // stands for an order that is carried out late
		delete(w.reserved, "late")
		w.mu.Unlock()
		time.Sleep(lateOrders + 2*releaseEvery)
		require.Empty(t, w.reserved)
	})
}

// Guards against choosing a dead endpoint again to read a part, and against avoiding the one that reported it.
func TestEndpointAtFaultForARefusalIsAvoided(t *testing.T) {
	w := newWorld(nil)
	all := w.roster.Usable("model")
	n := &run{g: w.gateway, r: &Request{ID: "1"}}
	c := &chosen{endpoints: all}
	n.noteFault(c, &Response{Status: 503, NotExecuted: true, FaultyEndpoint: all[1].ID})
	require.Equal(t, []*registry.Endpoint{all[0], all[2]}, w.roster.Usable("model"))
	n.noteFault(c, &Response{Status: 503, NotExecuted: true})
	require.Len(t, w.roster.Usable("model"), 2, "a full endpoint is not avoided")
	n.noteFault(c, &Response{Status: 421, NotExecuted: true, WrongEndpoint: true})
	require.False(t, w.roster.StillUsable(all[0]))
	require.True(t, w.roster.StillUsable(all[2]))
}

// Guards against an endless wait for an endpoint of a service that has none.
func TestServiceWithoutEndpointsIsRefusedAtOnce(t *testing.T) {
	w := newWorld(nil)
	w.roster.Remove("a", "b", "c")
	c := w.serve(t.Context(), catalog.Idempotent, nil)
	require.Equal(t, errkind.NoEndpoint, c.refused)
	require.Positive(t, c.after)
}

// Guards against callers that are sent back into the queue that they were refused for: on szucs-tomlo-grown, scale-1, long
// prompts came back after 1.5 s into a burst of 9.5 s and were refused again, which ended their last try.
func TestRetryAfterSpreadsCallersOfALongQueue(t *testing.T) {
	require.Equal(t, 1500*time.Millisecond, retryAfter(failure{}, 15*time.Second))
	require.Equal(t, 5*time.Second, retryAfter(refusals[placement.QueueTooLong], 15*time.Second))
	require.Equal(t, 300*time.Millisecond, retryAfter(failure{}, 1200*time.Millisecond))
	require.Equal(t, 100*time.Millisecond, retryAfter(failure{}, 300*time.Millisecond))
	require.Zero(t, retryAfter(refusals[placement.QueueTooLong], -time.Second))
}
