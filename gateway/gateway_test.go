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
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/registry"
	"github.com/bilberrylink/bilberrylink/throttle"
)

// fakeBackend is a fake Backend. script handles the n-th call of Send, and reserveResult the calls of Reserve.
type fakeBackend struct {
	mu            sync.Mutex
	requests      []EndpointRequest
	reserved      map[string]int
	script        func(ctx context.Context, n int, s *EndpointRequest) (*Response, error)
	reserveResult func() error
	unreachable   map[string]bool // IDs of endpoints that accept no connections
}

var errNoConnection = &SendError{Err: errors.New("connect: timeout")}

func (b *fakeBackend) Send(ctx context.Context, s *EndpointRequest) (*Response, error) {
	b.mu.Lock()
	b.requests = append(b.requests, *s)
	n := len(b.requests)
	b.mu.Unlock()
	return b.script(ctx, n, s)
}

func (b *fakeBackend) Reserve(_ context.Context, e *registry.Endpoint, id string, tokens int, _ time.Duration) (bool, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreachable[e.ID] {
		return false, errNoConnection
	}
	b.reserved[id] = tokens
	if b.reserveResult != nil {
		return true, b.reserveResult()
	}
	return true, nil
}

func (b *fakeBackend) Release(_ context.Context, e *registry.Endpoint, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.unreachable[e.ID] {
		return errNoConnection
	}
	delete(b.reserved, id)
	return nil
}

// fakeResponseWriter records the response.
type fakeResponseWriter struct {
	status      int
	body        bytes.Buffer
	refusedKind errkind.Kind
	retryAfter  time.Duration
	aborted     bool
	responses   int
}

func (w *fakeResponseWriter) WriteHeader(resp *Response) { w.status = resp.Status; w.responses++ }
func (w *fakeResponseWriter) Write(p []byte) error       { w.body.Write(p); return nil }
func (w *fakeResponseWriter) Refuse(kind errkind.Kind, retryAfter time.Duration) {
	w.refusedKind, w.retryAfter = kind, retryAfter
	w.responses++
}
func (w *fakeResponseWriter) Abort() { w.aborted = true }

// testGateway is a gateway with three endpoints for each of two services.
type testGateway struct {
	*fakeBackend
	gateway   *Gateway
	scheduler *placement.Scheduler
	registry  *registry.Registry
}

var testTiming = &engine.TimingModel{
	Slots: 16, MemoryTokens: 300_000, TokensPerPass: 51, StepMs: 0.85, PrefillTokensPerMs: 177, AttentionMsPerMPairs: 0.184,
	SplitsPrompts: true,
}

func newTestGateway(script func(ctx context.Context, n int, s *EndpointRequest) (*Response, error)) *testGateway {
	log := logrus.New()
	log.SetOutput(io.Discard)
	tg := &testGateway{
		fakeBackend: &fakeBackend{script: script, reserved: map[string]int{}}, scheduler: placement.NewScheduler(),
		registry: registry.New(nil),
	}
	for _, id := range []string{"a", "b", "c"} {
		tg.registry.Upsert(registry.Entry{ID: id, Service: "app", Addr: "10.0.0.1:1"})
		tg.registry.Upsert(registry.Entry{ID: "m" + id, Service: "model", Addr: "10.0.0.2:1"})
	}
	snap := catalog.New(1, nil, []*catalog.Service{{Name: "app"}, {Name: "model", Engine: testTiming}}, nil)
	tg.gateway = New(Options{
		Name: "g", Catalog: func() *catalog.Snapshot { return snap }, Registry: tg.registry, Scheduler: tg.scheduler,
		Backend: tg.fakeBackend, Log: log,
		RetryBudget: NewRetryBudget(0.2, 100, 10*time.Second, func() int { return 1 }, time.Now),
		Quarantine:  quarantine.New(quarantine.Options{Log: log}), Throttle: throttle.New(throttle.Options{Log: log}), Metrics: NewMetrics(nil),
	})
	return tg
}

// addModelEndpoints adds endpoints with addresses of their own and returns their IDs.
func (tg *testGateway) addModelEndpoints(count int) (ids []string) {
	for i := range count {
		ids = append(ids, fmt.Sprint("n", i))
		tg.registry.Upsert(registry.Entry{ID: ids[i], Service: "model", Addr: fmt.Sprintf("10.0.1.%d:1", i)})
	}
	return ids
}

func (tg *testGateway) serve(ctx context.Context, kind catalog.Kind, change func(*Request)) *fakeResponseWriter {
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
	caller := new(fakeResponseWriter)
	tg.gateway.Serve(ctx, r, caller)
	return caller
}

func newResponse(status int, body string) *Response {
	return &Response{
		Status: status, SignatureValid: true, ContentLength: int64(len(body)), Body: io.NopCloser(strings.NewReader(body)),
	}
}

func eventText(from, to int) string {
	var b strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: x\n\n", i)
	}
	return b.String()
}

// brokenBody returns a body that ends with an error after text.
func brokenBody(text string) io.ReadCloser {
	return io.NopCloser(io.MultiReader(strings.NewReader(text), brokenReader{}))
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

var errReset = &SendError{MaybeReceived: true, Err: errors.New("connection reset")}

// A non-idempotent request must not be executed twice: if the connection breaks after the request was sent, it is neither
// sent again nor reported as not executed.
func TestNonIdempotentRequestIsSentOnce(t *testing.T) {
	tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) { return nil, errReset })
	caller := tg.serve(t.Context(), catalog.NonIdempotent, nil)
	require.Len(t, tg.requests, 1)
	require.NotEqual(t, errkind.NotRun, errkind.RuleOf(caller.refusedKind).RunState)
	require.Equal(t, 1, caller.responses)
}

// A request that certainly was not executed must be sent to another endpoint.
func TestNonIdempotentRequestIsRetriedIfNotExecuted(t *testing.T) {
	for name, first := range map[string]func() (*Response, error){
		"no connection": func() (*Response, error) { return nil, &SendError{Err: errors.New("refused")} },
		"full":          func() (*Response, error) { resp := newResponse(503, ""); resp.NotExecuted = true; return resp, nil },
		"other address": func() (*Response, error) {
			resp := newResponse(421, "")
			resp.NotExecuted, resp.WrongEndpoint = true, true
			return resp, nil
		},
	} {
		tg := newTestGateway(func(_ context.Context, n int, _ *EndpointRequest) (*Response, error) {
			if n == 1 {
				return first()
			}
			return newResponse(200, "ok"), nil
		})
		caller := tg.serve(t.Context(), catalog.NonIdempotent, nil)
		require.Equal(t, "ok", caller.body.String(), name)
		require.NotEqual(t, tg.requests[0].Endpoint.ID, tg.requests[1].Endpoint.ID, name)
	}
}

// A request must not be sent more often than its route allows, nor be reported as not executed after the last attempt.
func TestAttemptsAreBounded(t *testing.T) {
	tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) { return nil, errReset })
	caller := tg.serve(t.Context(), catalog.Idempotent, nil)
	require.Len(t, tg.requests, 2)
	require.Equal(t, errkind.EndpointFailed, caller.refusedKind)
}

// An error response of an endpoint must be retried, and the last one passed on unchanged.
func TestLastEndpointErrorIsPassedOn(t *testing.T) {
	tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
		return newResponse(500, "broken"), nil
	})
	caller := tg.serve(t.Context(), catalog.Idempotent, nil)
	require.Len(t, tg.requests, 2)
	require.Equal(t, 500, caller.status)
	require.Equal(t, "broken", caller.body.String())
}

// A response that is incomplete or not signed by the endpoint must not be passed on.
func TestIncompleteOrUnsignedResponsesAreNotPassedOn(t *testing.T) {
	for name, first := range map[string]*Response{
		"cut":     {Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody("ha")},
		"foreign": {Status: 200, ContentLength: 4, Body: io.NopCloser(strings.NewReader("half"))},
	} {
		tg := newTestGateway(func(_ context.Context, n int, _ *EndpointRequest) (*Response, error) {
			if n == 1 {
				return first, nil
			}
			return newResponse(200, "whole"), nil
		})
		require.Equal(t, "whole", tg.serve(t.Context(), catalog.Idempotent, nil).body.String(), name)
	}
}

// A broken stream must continue at another endpoint after the last complete event, without missing, repeated or incomplete
// events.
func TestBrokenStreamIsResumedAfterTheLastCompleteEvent(t *testing.T) {
	tg := newTestGateway(func(_ context.Context, n int, s *EndpointRequest) (*Response, error) {
		if n == 1 {
			return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody(eventText(1, 3) + "id: 4\nda")}, nil
		}
		return newResponse(200, eventText(3, 6)), nil // repeats event 3
	})
	caller := tg.serve(t.Context(), catalog.Stream, nil)
	require.Equal(t, eventText(1, 6), caller.body.String())
	require.Equal(t, int64(3), tg.requests[1].LastEventID)
	require.False(t, caller.aborted)
	require.Equal(t, 1, caller.responses)
	require.Empty(t, tg.scheduler.LocalJobs())
}

// A broken stream must be resumed even if its request is old and the endpoints are busy: what counts is the time since its
// latest event.
func TestOldStreamIsResumedAtBusyEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(nil)
		tg.script = func(_ context.Context, n int, s *EndpointRequest) (*Response, error) {
			if n > 1 {
				return newResponse(200, eventText(3, 4)), nil
			}
			for range 80 { // it is busy with other requests
				time.Sleep(100 * time.Millisecond)
				s.Endpoint.RecordActivity(time.Now())
			}
			for _, id := range []string{"ma", "mb", "mc"} {
				tg.scheduler.Add(placement.Job{Endpoint: placement.KeyOf(id), PromptTokens: 1000, Parts: 1, OutputTokens: 100, Decoding: true,
					GapTarget: 250 * time.Millisecond, PlacedAt: time.Now()})
			}
			return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody(eventText(1, 2))}, nil
		}
		caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
			r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout =
				50_000, 1500*time.Millisecond, 600*time.Millisecond, 30*time.Second
			r.Route.MaxAttempts = 2
		})
		require.Equal(t, eventText(1, 4), caller.body.String())
		require.False(t, caller.aborted)
	})
}

// A stream that cannot be resumed must not look complete.
func TestStreamThatCannotBeResumedIsAborted(t *testing.T) {
	tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
		return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody(eventText(1, 2))}, nil
	})
	caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) { r.Route.Resumable = false })
	require.True(t, caller.aborted)
	require.Len(t, tg.requests, 1)
}

// A stream must move to another endpoint when its endpoint becomes silent, before the caller gives up.
func TestSilentStreamMovesToAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(ctx context.Context, n int, _ *EndpointRequest) (*Response, error) {
			if n == 1 {
				<-ctx.Done()
				return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
			}
			return newResponse(200, eventText(1, 2)), nil
		})
		began := time.Now()
		caller := tg.serve(t.Context(), catalog.Stream, nil)
		require.Equal(t, eventText(1, 2), caller.body.String())
		require.Less(t, time.Since(began), 2*time.Second)
	})
}

// An attempt must not be abandoned while its endpoint sends events of other requests: the endpoint is only busy, and the
// prompt would be processed twice.
func TestAttemptIsNotAbandonedWhileTheEndpointServesOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(ctx context.Context, n int, s *EndpointRequest) (*Response, error) {
			for range 30 {
				time.Sleep(100 * time.Millisecond)
				s.Endpoint.RecordActivity(time.Now())
			}
			return newResponse(200, eventText(1, 2)), ctx.Err()
		})
		caller := tg.serve(t.Context(), catalog.Stream, nil)
		require.Equal(t, eventText(1, 2), caller.body.String())
		require.Len(t, tg.requests, 1)
	})
}

// drippingBody sends a byte of an event that never ends, now and then.
type drippingBody struct{ ctx context.Context }

func (b drippingBody) Read(p []byte) (int, error) {
	select {
	case <-time.After(400 * time.Millisecond):
		p[0] = 'x'
		return 1, nil
	case <-b.ctx.Done():
		return 0, b.ctx.Err()
	}
}

func (drippingBody) Close() error { return nil }

// A stream that sends a byte now and then, but no event, makes no progress. It must move to another endpoint like a silent one.
func TestDrippingStreamMovesToAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(ctx context.Context, n int, _ *EndpointRequest) (*Response, error) {
			resp := newResponse(200, "")
			resp.ContentLength, resp.Body = -1, io.ReadCloser(drippingBody{ctx})
			if n > 1 {
				resp.Body = io.NopCloser(strings.NewReader(eventText(1, 3)))
			}
			return resp, nil
		})
		started := time.Now()
		caller := tg.serve(t.Context(), catalog.Stream, nil)
		require.Equal(t, eventText(1, 3), caller.body.String())
		require.Less(t, time.Since(started), 2*time.Second, "the caller gives up after two seconds")
	})
}

// slowBody sends an event with a pause before it, several times.
type slowBody struct {
	pause time.Duration
	next  int
	last  int
}

func (b *slowBody) Read(p []byte) (int, error) {
	if b.next++; b.next > b.last {
		return 0, io.EOF
	}
	time.Sleep(b.pause)
	return copy(p, eventText(b.next, b.next)), nil
}

func (*slowBody) Close() error { return nil }

// A slow but sound stream must not be cut.
func TestSlowStreamIsNotCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
			resp := newResponse(200, "")
			resp.ContentLength, resp.Body = -1, &slowBody{pause: time.Second, last: 8}
			return resp, nil
		})
		caller := tg.serve(t.Context(), catalog.Stream, nil)
		require.Equal(t, eventText(1, 8), caller.body.String())
		require.Len(t, tg.requests, 1)
	})
}

// A request must end at the timeout of its route, and must not be reported as not executed if it may have been.
func TestRequestEndsAtTheRouteTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(ctx context.Context, _ int, _ *EndpointRequest) (*Response, error) {
			<-ctx.Done()
			return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
		})
		began := time.Now()
		caller := tg.serve(t.Context(), catalog.NonIdempotent, func(r *Request) { r.Route.Timeout = 800 * time.Millisecond })
		require.LessOrEqual(t, time.Since(began), 800*time.Millisecond)
		require.Equal(t, errkind.DeadlineExceeded, caller.refusedKind)
	})
}

// The request at the endpoint must be cancelled when the caller disconnects.
func TestDisconnectCancelsTheRequestAtTheEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, disconnect := context.WithCancel(t.Context())
		ended := false
		tg := newTestGateway(func(ctx context.Context, _ int, _ *EndpointRequest) (*Response, error) {
			<-ctx.Done()
			ended = true
			return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
		})
		time.AfterFunc(100*time.Millisecond, disconnect)
		caller := tg.serve(ctx, catalog.Stream, nil)
		require.True(t, ended)
		require.Len(t, tg.requests, 1)
		require.True(t, caller.aborted)
		require.Empty(t, tg.scheduler.LocalJobs())
	})
}

// No memory may stay reserved: all reservations are released when the request ends, and repeatedly as long as a call that
// got no response may still be executed.
func TestReservationsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tg := newTestGateway(func(_ context.Context, _ int, s *EndpointRequest) (*Response, error) {
			return newResponse(200, eventText(1, 2)), nil
		})
		tg.reserveResult = func() error { return nil }
		caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
			r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout =
				500_000, 30*time.Second, 5*time.Second, 100*time.Second
		})
		require.Equal(t, eventText(1, 2), caller.body.String())
		require.NotEmpty(t, tg.requests[0].Helpers)
		time.Sleep(time.Second)
		require.Empty(t, tg.reserved)

		tg.reserveResult = func() error { return errors.New("no answer") }
		caller = tg.serve(t.Context(), catalog.Stream, func(r *Request) {
			r.PromptTokens, r.Route.LatencyTarget = 500_000, 30*time.Second
		})
		require.Equal(t, errkind.Overloaded, caller.refusedKind)
		time.Sleep(3 * time.Second)
		tg.mu.Lock()
		tg.reserved["late"] = 1 // a reservation that is executed late
		delete(tg.reserved, "late")
		tg.mu.Unlock()
		time.Sleep(maxExecutionDelay + 2*releaseInterval)
		require.Empty(t, tg.reserved)
	})
}

// When the primary endpoint of a split prompt goes dark, its helpers must not hold their memory until the deadline, and the prompt must be
// read elsewhere. One that serves other requests is only slow to accept.
func TestMemoryOfHelpersIsFreeSoonAfterThePrimaryGoesDark(t *testing.T) {
	const freeBound = 4 * time.Second // of the platform, from the end of the last request that used the memory
	for name, dark := range map[string]bool{"dark": true, "busy": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tg := newTestGateway(nil)
				var darkSince time.Time
				heldLate := false
				tg.script = func(ctx context.Context, n int, r *EndpointRequest) (*Response, error) {
					if n > 1 {
						return newResponse(200, eventText(1, 2)), nil
					}
					time.Sleep(reservationTTL / 3)
					tg.mu.Lock()
					tg.unreachable, darkSince = map[string]bool{r.Endpoint.ID: true}, time.Now()
					held := len(tg.reserved)
					tg.mu.Unlock()
					require.Greater(t, held, 1)
					for ctx.Err() == nil && time.Since(darkSince) < 2*freeBound {
						time.Sleep(100 * time.Millisecond)
						if !dark {
							r.Endpoint.RecordActivity(time.Now())
						}
					}
					heldLate = time.Since(darkSince) > freeBound
					if ctx.Err() == nil {
						return newResponse(200, eventText(1, 2)), nil
					}
					return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
				}
				caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
					r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout =
						400_000, 30*time.Second, 5*time.Second, 100*time.Second
				})
				require.Equal(t, eventText(1, 2), caller.body.String())
				require.Equal(t, dark, len(tg.requests) == 2)
				require.Equal(t, !dark, heldLate)
				time.Sleep(maxExecutionDelay + 2*releaseInterval) // releases at the dark endpoint are repeated
			})
		})
	}
}

// A helper that has failed must be avoided, and the endpoint that reported it must not be.
func TestFailedHelperIsAvoided(t *testing.T) {
	tg := newTestGateway(nil)
	all := tg.registry.Usable("model")
	state := &requestState{gw: tg.gateway, req: &Request{ID: "1"}}
	plan := &resolvedPlan{endpoints: all}
	state.reportFault(plan, &Response{Status: 503, NotExecuted: true, FaultyEndpoint: all[1].ID})
	require.Equal(t, []*registry.Endpoint{all[0], all[2]}, tg.registry.Usable("model"))
	state.reportFault(plan, &Response{Status: 503, NotExecuted: true})
	require.Len(t, tg.registry.Usable("model"), 2, "a full endpoint is not avoided")
	state.reportFault(plan, &Response{Status: 421, NotExecuted: true, WrongEndpoint: true})
	require.False(t, tg.registry.StillUsable(all[0]))
	require.True(t, tg.registry.StillUsable(all[2]))
}

// A request that is still open when the process has to end must get an answer: a refusal that tells the caller to return if it has not
// run, an error if it may have. An answer that has begun goes on for as long as the process lives.
func TestRequestsThatOutliveTheProcessAreAnswered(t *testing.T) {
	for name, test := range map[string]struct {
		hang func(ctx context.Context) (*Response, error)
		want errkind.RunState // empty: answered
	}{
		"not sent": {func(ctx context.Context) (*Response, error) { <-ctx.Done(); return nil, &SendError{Err: ctx.Err()} }, errkind.NotRun},
		"sent": {func(ctx context.Context) (*Response, error) {
			<-ctx.Done()
			return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
		}, errkind.RunUnknown},
		"begun": {func(context.Context) (*Response, error) {
			return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: &slowBody{pause: 200 * time.Millisecond, last: 4}}, nil
		}, ""},
	} {
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(func(ctx context.Context, _ int, _ *EndpointRequest) (*Response, error) { return test.hang(ctx) })
			time.AfterFunc(300*time.Millisecond, tg.gateway.EndRequests)
			caller := tg.serve(t.Context(), catalog.Stream, nil)
			require.False(t, caller.aborted, name)
			if test.want == "" {
				require.Equal(t, eventText(1, 4), caller.body.String(), name)
			} else {
				require.Equal(t, test.want, errkind.RuleOf(caller.refusedKind).RunState, name)
				require.Positive(t, caller.retryAfter, name)
			}
			late := tg.serve(t.Context(), catalog.Stream, nil)
			require.Equal(t, errkind.NotRun, errkind.RuleOf(late.refusedKind).RunState, name)
		})
	}
}

// During a planned stop, a request that must not be repeated must not be sent if its time limit is beyond the end of the process, where it would be
// cut. Others are served, and so is one that is already running.
func TestRequestsThatMayOutliveTheProcessAreNotSent(t *testing.T) {
	for kind, isServed := range map[catalog.Kind]bool{catalog.NonIdempotent: false, catalog.Idempotent: true} {
		synctest.Test(t, func(t *testing.T) {
			sent := 0
			tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
				sent++
				return &Response{Status: 200, SignatureValid: true, Body: io.NopCloser(strings.NewReader("body"))}, nil
			})
			tg.gateway.AnnounceEnd(time.Now().Add(time.Hour))
			require.Equal(t, "body", tg.serve(t.Context(), kind, nil).body.String())
			tg.gateway.AnnounceEnd(time.Now().Add(time.Second))
			caller := tg.serve(t.Context(), kind, nil)
			if isServed {
				require.Equal(t, "body", caller.body.String())
				return
			}
			require.Equal(t, 1, sent)
			require.Equal(t, errkind.NotRun, errkind.RuleOf(caller.refusedKind).RunState)
			require.Positive(t, caller.retryAfter)
		})
	}
}

// A request to a service without endpoints must be rejected at once.
func TestServiceWithoutEndpointsIsRejectedAtOnce(t *testing.T) {
	tg := newTestGateway(nil)
	tg.registry.Remove(0, "a", "b", "c")
	caller := tg.serve(t.Context(), catalog.Idempotent, nil)
	require.Equal(t, errkind.NoEndpoint, caller.refusedKind)
	require.Positive(t, caller.retryAfter)
}

// Callers that are rejected because of a long queue must not be asked to retry soon: in load test scale-1 on
// szucs-tomlo-grown, callers with long prompts retried after 1.5 s, still within a burst of 9.5 s, and lost their last try.
func TestRetryAfterIsLongForALongQueue(t *testing.T) {
	require.Equal(t, 1500*time.Millisecond, retryAfter(failure{}, 15*time.Second))
	require.Equal(t, 5*time.Second, retryAfter(rejections[placement.QueueTooLong], 15*time.Second))
	require.Equal(t, 300*time.Millisecond, retryAfter(failure{}, 1200*time.Millisecond))
	require.Equal(t, 100*time.Millisecond, retryAfter(failure{}, 300*time.Millisecond))
	require.Zero(t, retryAfter(rejections[placement.QueueTooLong], -time.Second))
}

// A gateway that has restarted must not repeat the IDs of its reservations: endpoints hold those of the process before it for some
// seconds, and would renew them instead of reserving anew.
func TestReservationIDsDifferAfterARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		seen := make(map[string]bool)
		for range 3 {
			time.Sleep(time.Second)
			tg := newTestGateway(nil)
			tg.script = func(_ context.Context, _ int, s *EndpointRequest) (*Response, error) {
				for _, h := range s.Helpers {
					if h.Reservation != "" {
						require.False(t, seen[h.Reservation], h.Reservation)
						seen[h.Reservation] = true
					}
				}
				return newResponse(200, eventText(1, 2)), nil
			}
			tg.serve(t.Context(), catalog.Stream, func(r *Request) {
				r.PromptTokens, r.Route.LatencyTarget, r.Route.GapTarget, r.Route.Timeout =
					500_000, 30*time.Second, 5*time.Second, 100*time.Second
			})
			time.Sleep(maxExecutionDelay + 2*releaseInterval)
		}
		require.NotEmpty(t, seen)
	})
}

// A stream that broke off must not be continued with the error of the next endpoint, nor look complete because of it, and its attempts
// must be paid for.
func TestErrorAfterABrokenStreamReachesNoCaller(t *testing.T) {
	for name, second := range map[string]func() (*Response, error){
		"error":       func() (*Response, error) { return newResponse(500, "id: 3\ndata: broken\n\n"), nil },
		"bad request": func() (*Response, error) { return newResponse(400, "id: 3\ndata: broken\n\n"), nil },
		"not found":   func() (*Response, error) { return newResponse(404, ""), nil },
		"refusal": func() (*Response, error) {
			resp := newResponse(503, "full")
			resp.NotExecuted = true
			return resp, nil
		},
		"other address": func() (*Response, error) {
			resp := newResponse(421, "")
			resp.NotExecuted, resp.WrongEndpoint = true, true
			return resp, nil
		},
		"unsigned": func() (*Response, error) {
			resp := newResponse(200, eventText(3, 4))
			resp.SignatureValid = false
			return resp, nil
		},
		"broken":      func() (*Response, error) { r := newResponse(200, ""); r.Body = brokenBody("id: 3\nda"); return r, nil },
		"broken head": func() (*Response, error) { return nil, errReset },
	} {
		t.Run(name, func(t *testing.T) {
			tg := newTestGateway(func(_ context.Context, n int, _ *EndpointRequest) (*Response, error) {
				if n == 1 {
					return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody(eventText(1, 2))}, nil
				}
				return second()
			})
			tg.gateway.opts.RetryBudget = NewRetryBudget(0, 2, 10*time.Second, func() int { return 1 }, time.Now)
			caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) { r.Route.MaxAttempts = 5 })
			require.Equal(t, eventText(1, 2), caller.body.String())
			require.Equal(t, 1, caller.responses)
			require.True(t, caller.aborted)
			require.Len(t, tg.requests, 2, "the budget allows one further attempt")
		})
	}
}

// A prompt that was refused because of a part at a failed endpoint must be split again, without that endpoint. It was sent whole, so that prompts
// for which one endpoint takes too long or has too little memory came late or were refused after a crash of a single one.
func TestPromptRefusedForANamedHelperIsSplitAgain(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(r *EndpointRequest) string
		split bool
	}{
		"named":     {func(r *EndpointRequest) string { return r.Helpers[0].Addr }, true},
		"not named": {func(*EndpointRequest) string { return "" }, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				faulty := ""
				tg := newTestGateway(func(_ context.Context, n int, r *EndpointRequest) (*Response, error) {
					if n > 1 {
						return newResponse(200, eventText(1, 6)), nil
					}
					resp := newResponse(503, "")
					resp.NotExecuted, resp.FaultyEndpoint = true, test.fault(r)
					faulty = resp.FaultyEndpoint
					return resp, nil
				})
				tg.addModelEndpoints(6)
				for _, id := range []string{"ma", "mb", "mc"} { // these have the same address
					tg.registry.Remove(1, id)
				}
				caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
					r.PromptTokens, r.Route.Timeout, r.Route.LatencyTarget, r.Route.GapTarget = 150_000, 15*time.Second, 4*time.Second, time.Second
				})
				require.Equal(t, 200, caller.status, caller.refusedKind)
				require.Len(t, tg.requests, 2)
				require.Equal(t, test.split, len(tg.requests[1].Helpers) > 0)
				for _, h := range tg.requests[1].Helpers {
					require.NotEqual(t, faulty, h.Addr)
				}
			})
		})
	}
}

// An endpoint that breaks the connection of a reservation must not be chosen again at once. After a crash, prompts were refused within
// 20 ms since each new plan asked the same endpoints for memory.
func TestEndpointsThatBreakReservationsAreAvoided(t *testing.T) {
	for range 10 {
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(func(context.Context, int, *EndpointRequest) (*Response, error) {
				return newResponse(200, eventText(1, 6)), nil
			})
			tg.unreachable = make(map[string]bool)
			for _, id := range tg.addModelEndpoints(maxFailedReservations - 1) {
				tg.unreachable[id] = true
			}
			caller := tg.serve(t.Context(), catalog.Stream, func(r *Request) {
				r.PromptTokens, r.Route.Timeout, r.Route.LatencyTarget, r.Route.GapTarget = 400_000, 30*time.Second, 6*time.Second, time.Second
			})
			time.Sleep(2 * maxExecutionDelay) // releases are repeated until then
			require.Equal(t, 200, caller.status, caller.refusedKind)
		})
	}
}

// An endpoint's own status that callers take for the promise that a request has not run must not reach them when it has run, whatever the
// kind of the route. Statuses that promise nothing are passed on.
func TestStatusThatPromisesNotRunIsTrue(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.NonIdempotent, catalog.Idempotent, catalog.Stream} {
		for status, promises := range map[int]bool{408: true, 421: true, 429: true, 503: true, 400: false, 404: false, 500: false, 502: false, 504: false} {
			for _, refusesFirst := range []bool{false, true} {
				name := fmt.Sprintf("%s, %d, after a refusal: %t", kind, status, refusesFirst)
				tg := newTestGateway(func(_ context.Context, n int, _ *EndpointRequest) (*Response, error) {
					resp := newResponse(status, "ran")
					resp.PromisesNotRun = promises
					if refusesFirst && n == 1 {
						resp.NotExecuted = true
					}
					return resp, nil
				})
				caller := tg.serve(t.Context(), kind, nil)
				require.Equal(t, 1, caller.responses, name)
				if promises {
					require.Equal(t, errkind.EndpointFailed, caller.refusedKind, name)
					require.Zero(t, caller.status, name)
				} else {
					require.Equal(t, status, caller.status, name)
					require.Equal(t, "ran", caller.body.String(), name)
				}
				if kind == catalog.NonIdempotent && !refusesFirst {
					require.Len(t, tg.requests, 1, name)
				}
			}
		}
	}
}
