package gateway

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrylink/bilberrylink/catalog"
)

// pausingBody sends events in quick succession, but for one pause. It ends early if ctx does.
type pausingBody struct {
	ctx        context.Context
	next, last int
	pauseAt    int // event before which it pauses
	pause      time.Duration
	cut        *bool
}

func (b *pausingBody) Read(p []byte) (int, error) {
	if b.next > b.last {
		return 0, io.EOF
	}
	pause := 20 * time.Millisecond
	if b.next == b.pauseAt {
		pause = b.pause
	}
	select {
	case <-time.After(pause):
	case <-b.ctx.Done():
		*b.cut = true
		return 0, b.ctx.Err()
	}
	b.next++
	return copy(p, eventText(b.next-1, b.next-1)), nil
}

func (*pausingBody) Close() error { return nil }

// silence is a case of an endpoint that is silent for a while and goes on. Another one does not take the request.
type silence struct {
	kind    catalog.Kind
	pauseAt int // event before which it is silent; 0: before the response
	pause   time.Duration
	other   string
	after   time.Duration // after which the other one does not take the request
}

const (
	eventsOfAnswer  = 8
	longestSilence  = 6 * time.Second // well before the deadline
	otherRefuses    = "refuses"
	otherConnects   = "accepts no connection"
	otherBreaks     = "breaks off without an event"
	otherIsSilent   = "is silent"
	otherFails      = "fails"
	otherHasLeft    = "has left"
	otherStartsOnly = "sends a header only"
)

// respond is what another endpoint does with the request.
func (c *silence) respond(ctx context.Context) (*Response, error) {
	time.Sleep(c.after)
	switch c.other {
	case otherRefuses:
		resp := newResponse(503, "")
		resp.NotExecuted = true
		return resp, nil
	case otherConnects:
		return nil, errNoConnection
	case otherBreaks:
		return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: brokenBody("id: 1\nda")}, nil
	case otherFails:
		return newResponse(500, "failed"), nil
	case otherStartsOnly:
		return &Response{Status: 200, SignatureValid: true, ContentLength: -1, Body: io.NopCloser(silentBody{ctx})}, nil
	}
	<-ctx.Done()
	return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
}

// silentBody sends nothing.
type silentBody struct{ ctx context.Context }

func (b silentBody) Read([]byte) (int, error) {
	<-b.ctx.Done()
	return 0, b.ctx.Err()
}

// play returns what is wrong with the outcome, or an empty string.
func (c *silence) play(t *testing.T) (problem string) {
	cut, received := false, 1
	tg := newTestGateway(nil)
	tg.script = func(ctx context.Context, n int, r *EndpointRequest) (*Response, error) {
		if n > 1 {
			if c.other != otherConnects {
				received++
			}
			return c.respond(ctx)
		}
		if c.other == otherHasLeft {
			for _, e := range tg.registry.Usable(r.Endpoint.Service) {
				if e.ID != r.Endpoint.ID {
					tg.registry.MarkDraining(e)
				}
			}
		}
		if c.pauseAt == 0 {
			select {
			case <-time.After(c.pause):
			case <-ctx.Done():
				cut = true
				return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
			}
		}
		resp := newResponse(200, "")
		resp.ContentLength, resp.Body = -1, &pausingBody{ctx: ctx, next: 1, last: eventsOfAnswer, pauseAt: c.pauseAt, pause: c.pause, cut: &cut}
		return resp, nil
	}
	caller := tg.serve(t.Context(), c.kind, nil)
	switch {
	case cut:
		return "the answer was given up, and nobody else has taken the request"
	case caller.aborted || caller.responses != 1 || caller.body.String() != eventText(1, eventsOfAnswer):
		return fmt.Sprintf("answer %q, aborted: %t, refused: %q", caller.body.String(), caller.aborted, caller.refusedKind)
	case received > 2:
		return fmt.Sprintf("%d endpoints have received it", received)
	case len(tg.scheduler.LocalJobs()) > 0:
		return "jobs are left"
	}
	return ""
}

// The answer of an endpoint that is silent for a while must not be given up before another endpoint has got on with it: whether and when one
// takes the request is not known.
func TestSilenceAloneEndsNoAnswer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		c := silence{
			kind:    rapid.SampledFrom([]catalog.Kind{catalog.Stream, catalog.Idempotent}).Draw(rt, "kind"),
			pauseAt: rapid.IntRange(0, eventsOfAnswer).Draw(rt, "pause at"),
			pause:   time.Duration(rapid.Int64Range(0, int64(longestSilence)).Draw(rt, "pause")),
			other: rapid.SampledFrom([]string{otherRefuses, otherConnects, otherBreaks, otherIsSilent, otherFails, otherHasLeft, otherStartsOnly}).
				Draw(rt, "other"),
			after: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "after")),
		}
		if c.kind == catalog.Idempotent && c.other == otherStartsOnly {
			c.other = otherIsSilent
		}
		problem := ""
		synctest.Test(t, func(t *testing.T) { problem = c.play(t) })
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// When both endpoints go on with an answer, the caller must get each event once and in order, from one of them after the other.
func TestAnswersOfTwoEndpointsDoNotMix(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		pauseAt := rapid.IntRange(1, eventsOfAnswer).Draw(rt, "pause at")
		pause := time.Duration(rapid.Int64Range(0, int64(longestSilence)).Draw(rt, "pause"))
		secondAfter := time.Duration(rapid.Int64Range(0, int64(longestSilence)).Draw(rt, "second after"))
		secondPauseAt := rapid.IntRange(1, eventsOfAnswer).Draw(rt, "second pauses at")
		var body string
		attempts, cuts := 0, 0
		synctest.Test(t, func(t *testing.T) {
			var cut [2]bool
			tg := newTestGateway(nil)
			tg.script = func(ctx context.Context, n int, r *EndpointRequest) (*Response, error) {
				resp := newResponse(200, "")
				answer := &pausingBody{ctx: ctx, next: int(max(r.LastEventID, 0)) + 1, last: eventsOfAnswer, pauseAt: pauseAt, pause: pause, cut: &cut[n-1]}
				if n > 1 {
					time.Sleep(min(secondAfter, longestSilence/2))
					answer.pauseAt, answer.pause = secondPauseAt, secondAfter/8
				}
				resp.ContentLength, resp.Body = -1, answer
				return resp, nil
			}
			caller := tg.serve(t.Context(), catalog.Stream, nil)
			body, attempts = caller.body.String(), len(tg.requests)
			for _, c := range cut {
				if c {
					cuts++
				}
			}
		})
		if body != eventText(1, eventsOfAnswer) || attempts > 2 || cuts > 1 {
			rt.Fatalf("body %q after %d attempts, %d of them cut", body, attempts, cuts)
		}
	})
}

// When an endpoint goes silent and others cannot be reached, the request must be tried at all that are left at once, as after a failure, and not at
// one after each silence.
func TestTakeoverTriesTheNextEndpointAtOnce(t *testing.T) {
	for _, kind := range []catalog.Kind{catalog.Stream, catalog.Idempotent} {
		synctest.Test(t, func(t *testing.T) {
			tg := newTestGateway(func(ctx context.Context, n int, _ *EndpointRequest) (*Response, error) {
				switch n {
				case 1:
					<-ctx.Done()
					return nil, &SendError{MaybeReceived: true, Err: ctx.Err()}
				case 2:
					return nil, errNoConnection
				}
				return newResponse(200, eventText(1, 2)), nil
			})
			began := time.Now()
			caller := tg.serve(t.Context(), kind, func(r *Request) { r.Route.Timeout = 5 * time.Second })
			require.Equal(t, eventText(1, 2), caller.body.String())
			require.Len(t, tg.requests, 3)
			require.Less(t, time.Since(began), 2100*time.Millisecond, "one silence")
		})
	}
}
