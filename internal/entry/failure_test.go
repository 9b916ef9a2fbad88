package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/invariant"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

// Guards against an answer that is lost when its connection goes silent, although the agent still has it.
func TestSilentConnectionIsResumed(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.started().tokens(0, "a").hang() })
	f.resume = func(_ *fakeAgent, r *wire.ResumeRequest, out *frameWriter) {
		out.nextSequence, out.firstSent = 0, r.GetNextSequence()
		out.started().tokens(0, "a", "b").end()
	}
	e := newTestEntry(t, f, Disabled{})
	got := e.chat(t, streamingChatBody)
	assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`))
	assert.Contains(t, got.body, "[DONE]")
	runs, _ := f.totalCounts()
	assert.Equal(t, 1, runs, "a resume is no new attempt")

	unguarded := newTestEntry(t, f, Disabled{Resume: true})
	unguarded.chat(t, streamingChatBody)
	after, _ := f.totalCounts()
	assert.Greater(t, after, runs+1, "without resume the answer costs further attempts")
}

// slowReads delays every read of a response body after the first, also after the request was cancelled.
type slowReads struct {
	next  http.RoundTripper
	delay time.Duration
}

func (s slowReads) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := s.next.RoundTrip(req)
	if err == nil {
		resp.Body = &slowBody{ReadCloser: resp.Body, delay: s.delay}
	}
	return resp, err
}

type slowBody struct {
	io.ReadCloser
	reads int
	delay time.Duration
}

func (b *slowBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if b.reads++; b.reads > 1 {
		time.Sleep(b.delay)
	}
	return n, err
}

// Guards against the loss of a frame that arrives just as its connection is given up as silent.
func TestFrameReceivedAtSilenceTimeoutIsKept(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.started()
		time.Sleep(testTiming.SilenceTimeout / 3)
		out.tokens(0, "a").hang()
	})
	f.resume = func(_ *fakeAgent, r *wire.ResumeRequest, out *frameWriter) {
		out.nextSequence, out.firstSent = 0, r.GetNextSequence()
		out.started().tokens(0, "a").end()
	}
	e := newTestEntry(t, f, Disabled{})
	pooled := e.server.dispatch.agents.pooledHTTP
	pooled.Transport = slowReads{next: pooled.Transport, delay: testTiming.SilenceTimeout + 50*time.Millisecond}
	got := e.chat(t, streamingChatBody)
	assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`), got.body)
	assert.Contains(t, got.body, "[DONE]")
}

// Guards against an answer that lacks tokens and yet looks complete.
func TestIncompleteAnswerIsNotDone(t *testing.T) {
	defer invariant.SetHandler(nil)() // the expected violation must not fail the test
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.started().tokens(0, "a").raw(&wire.Frame{Payload: &wire.Frame_End{End: &wire.End{
			Frames: out.digest.Frames(), Hash: out.digest.Sum(), CompletionTokens: 2}}})
	})
	got := newTestEntry(t, f, Disabled{}).chat(t, streamingChatBody, "X-Request-Timeout", "500ms")
	assert.NotContains(t, got.body, "[DONE]")
	assert.Contains(t, got.body, `"kind":"stream_broken"`)
}

// Guards against truncated answers, gaps and frames of other attempts that reach the caller.
func TestDamagedFramesNeverReachTheCaller(t *testing.T) {
	damages := map[string]func(out *frameWriter){
		"truncated":  func(out *frameWriter) { out.started().tokens(0, "a").abort() },
		"duplicated": func(out *frameWriter) { out.started().tokens(0, "a"); out.nextSequence--; out.tokens(0, "a").abort() },
		"crossed":    func(out *frameWriter) { out.started().tokens(0, "a"); out.attempt = "other"; out.tokens(1, "X") },
		"gap":        func(out *frameWriter) { out.started().tokens(0, "a"); out.nextSequence += 3; out.tokens(4, "X") },
		"token gap":  func(out *frameWriter) { out.started().tokens(0, "a").tokens(5, "X").end() },
		"bad hash": func(out *frameWriter) {
			out.started().tokens(0, "a")
			out.raw(&wire.Frame{Payload: &wire.Frame_End{End: &wire.End{Frames: 2, Hash: 1}}})
		},
	}
	for name, damage := range damages {
		var count atomic.Int32
		f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
			if count.Add(1) == 1 {
				damage(out)
				return
			}
			done := int64(len(r.GetModel().GetGenerated()))
			out.started().tokens(done, []string{"a", "b"}[done:]...).end()
		})
		got := newTestEntry(t, f, Disabled{}).chat(t, chatBody)
		assert.Contains(t, got.body, `"content":"ab"`, name)
	}
}

// Shows that the check of token positions, and no other, refuses a gap between tokens.
func TestDisabledTokenIndexCheckAcceptsGap(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.started().tokens(0, "a").tokens(5, "X").end()
	})
	assert.Contains(t, newTestEntry(t, f, Disabled{TokenIndexCheck: true}).chat(t, chatBody).body, "aX")
}

// Guards against an answer that is lost or restarted when its engine crashes after the first tokens.
func TestAnswerContinuesAfterEngineCrash(t *testing.T) {
	for _, sent := range []int{0, 1, 2} {
		f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
			if !r.GetAlone() {
				out.started().tokens(0, []string{"a", "b"}[:sent]...)
				out.fail(&wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true})
				return
			}
			done := len(r.GetModel().GetGenerated())
			out.started().tokens(int64(done), []string{"a", "b", "c"}[done:]...).end()
		})
		e := newTestEntry(t, f, Disabled{})
		got := e.chat(t, streamingChatBody)
		assert.Contains(t, got.body, "[DONE]", "%d tokens sent", sent)
		assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`))
		assert.Contains(t, got.body, `"completion_tokens":3`)
		assert.Equal(t, 2, len(usedEndpoints(f)))
		assert.Empty(t, e.blames.BlamedRecords())
	}
}

func usedEndpoints(f *fakeFleet) (names []string) {
	for name, a := range f.agents {
		if runs, _ := a.counts(); runs > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a failed stream that looks complete.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.started().tokens(0, "a")
		out.fail(&wire.Failure{Kind: "internal", Run: "ran"})
	})
	got := newTestEntry(t, f, Disabled{}).chat(t, streamingChatBody)
	assert.Contains(t, got.body, "event: error\ndata: {\"error\":{\"kind\":\"internal\"")
	assert.Contains(t, got.body, `"run":"ran"`)
	assert.NotContains(t, got.body, "[DONE]")
}

// Guards against refusals by draining endpoints that reach the caller or use up the retry budget.
func TestDrainingRefusalsGoToTheNextCandidate(t *testing.T) {
	f := newFleet(t, func(a *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		if a.name != "model-2" {
			out.fail(&wire.Failure{Kind: "draining", Run: "not_run"})
			return
		}
		out.started().tokens(0, "a").end()
	})
	e := newTestEntry(t, f, Disabled{})
	for i := range 20 {
		body := strings.Replace(chatBody, "Which", fmt.Sprintf("%d Which", i), 1)
		require.Equal(t, http.StatusOK, e.chat(t, body).status)
	}
	assert.Zero(t, counterValue(e.server.metrics.retries))
}

// Guards against requests that wait although no endpoint of their service is live.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, answerTokens)
	for name := range f.members.nodes {
		f.members.update(name, func(n *membership.Node) { n.Live = false })
	}
	began := time.Now()
	got := newTestEntry(t, f, Disabled{}).chat(t, chatBody)
	assert.Contains(t, got.body, `"kind":"no_endpoint"`)
	assert.Contains(t, got.body, `"run":"not_run"`)
	assert.Less(t, time.Since(began), time.Second)
}

// Guards against requests that outlive their deadline, and against attempts that go on after the answer.
func TestDeadlineHoldsWhileAgentsHang(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.hang() })
	f.resume = func(_ *fakeAgent, _ *wire.ResumeRequest, out *frameWriter) { out.hang() }
	e := newTestEntry(t, f, Disabled{})
	began := time.Now()
	got := e.chat(t, chatBody, "X-Request-Timeout", "400ms")
	assert.Less(t, time.Since(began), 400*time.Millisecond)
	assert.Contains(t, got.body, `"kind":"deadline_exceeded"`)
	assert.Contains(t, got.body, `"run":"unknown"`)
	runs, cancels := f.totalCounts()
	assert.Equal(t, runs, cancels)
	time.Sleep(100 * time.Millisecond)
	later, _ := f.totalCounts()
	assert.Equal(t, runs, later, "nothing starts after the answer")

	unguarded := newTestEntry(t, f, Disabled{Cancel: true})
	unguarded.chat(t, chatBody, "X-Request-Timeout", "400ms")
	_, unchanged := f.totalCounts()
	assert.Equal(t, cancels, unchanged)
}

// Guards against attempts that continue after their caller has disconnected.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.started().tokens(0, "a").hang() })
	e := newTestEntry(t, f, Disabled{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/chat/completions", strings.NewReader(streamingChatBody))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	assert.Eventually(t, func() bool { _, cancels := f.totalCounts(); return cancels == 1 }, time.Second, 5*time.Millisecond)
}

// Guards against hedges that multiply load: one slow lookup may cause one more attempt.
func TestHedgeStartsOnceAndSlowerAttemptIsCancelled(t *testing.T) {
	var first atomic.Bool
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		if first.CompareAndSwap(false, true) {
			out.hang()
			return
		}
		out.started().response(200, "12").end()
	})
	e := newTestEntry(t, f, Disabled{})
	e.server.dispatch.hedgeDelays = limit.NewHedgeDelays(limit.HedgeOptions{InitialDelay: 20 * time.Millisecond})
	got := e.do(t, http.MethodGet, "/services/stock/stock/7", "")
	assert.Equal(t, "12", got.body)
	runs, cancels := f.totalCounts()
	assert.Equal(t, []int{2, 1}, []int{runs, cancels})
	assert.Equal(t, 1.0, counterValue(e.server.metrics.hedges))
}

// Guards against retries that multiply load while every endpoint refuses.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	overloaded := func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.fail(&wire.Failure{Kind: "overloaded", Run: "not_run"})
	}
	f := newFleet(t, overloaded)
	e := newTestEntry(t, f, Disabled{})
	for range 40 {
		assert.Contains(t, e.chat(t, chatBody, "X-Request-Timeout", "300ms").body, `"run":"not_run"`)
	}
	runs, _ := f.totalCounts()
	assert.LessOrEqual(t, runs, 40+4+int(limit.DefaultMinBalance), "10% of 40 requests and the minimum")

	unguarded := newFleet(t, overloaded)
	newTestEntry(t, unguarded, Disabled{RetryBudget: true}).chat(t, chatBody, "X-Request-Timeout", "300ms")
	unguardedRuns, _ := unguarded.totalCounts()
	assert.Greater(t, unguardedRuns, int(limit.DefaultMinBalance)+1)
}

// crashOnPoison crashes every endpoint that runs a prompt with the word "poison".
func crashOnPoison(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
	if strings.Contains(r.GetModel().GetPrompt(), "poison") {
		out.fail(&wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true})
		return
	}
	out.started().tokens(0, "a").end()
}

// Guards against a prompt that crashes more than two endpoints because it is repeated at several entries that do not know
// of each other's crashes, as while the table is down.
func TestPromptCrashesAtMostTwoEndpoints(t *testing.T) {
	poisonBody := strings.Replace(chatBody, "wineskins", "poison", 1)
	crashEndpoints := func(disabled Disabled) (int, string) {
		f := newFleet(t, crashOnPoison)
		lastBody := ""
		for i := range 6 {
			epochs := new(fakeEpochs)
			epochs.set(t, 1, "")
			e := newTestEntryWith(t, f, epochs, disabled, route.Random)
			e.server.dispatch.opts.RoutingView = route.NewView(route.Options{IntN: seeded(uint64(i))})
			e.chat(t, poisonBody, "X-Request-Timeout", "500ms")
			lastBody = e.chat(t, poisonBody, "X-Request-Timeout", "300ms").body
		}
		return len(usedEndpoints(f)), lastBody
	}
	endpoints, lastBody := crashEndpoints(Disabled{})
	assert.LessOrEqual(t, endpoints, 2)
	assert.Contains(t, lastBody, `"kind":"prompt_blamed"`)
	endpoints, _ = crashEndpoints(Disabled{Confinement: true})
	assert.Greater(t, endpoints, 2, "without confinement each entry tries others")
}

// Guards against a message that crashes one endpoint after the other in chats no two of which are alike, and against refusing sound chats
// that share their first message with it.
func TestSharedMessageThatCrashesEndpointsIsStopped(t *testing.T) {
	const maxRunsOfCrashingMessage = 5 // the platform's bound on crashes before a part must be known
	f := newFleet(t, crashOnPoison)
	e := newTestEntry(t, f, Disabled{RetryBudget: true})
	body := func(message string, i int) string {
		return fmt.Sprintf(`{"model":"clerk","max_tokens":5,"messages":[{"role":"system","content":"be brief"},
			{"role":"user","content":%q},{"role":"user","content":"question %d"}]}`, message, i)
	}
	last := reply{}
	for i := range 10 {
		for name := range f.agents {
			f.members.update(name, func(n *membership.Node) { n.Live = true }) // crashed endpoints are back
		}
		last = e.chat(t, body("poison", i), "X-Request-Timeout", "500ms")
		assert.Equal(t, http.StatusOK, e.chat(t, body("wineskins", i), "X-Request-Timeout", "2s").status)
	}
	runs := 0
	for _, a := range f.agents {
		for _, r := range a.runs {
			if strings.Contains(r.GetModel().GetPrompt(), "poison") {
				runs++
			}
		}
	}
	assert.LessOrEqual(t, runs, maxRunsOfCrashingMessage)
	assert.Contains(t, last.body, `"kind":"prompt_blamed"`)
}

// Guards against a message that crashes endpoints behind many others, and against refusing sound chats that share all others with it, of which
// nothing is known when they crash together.
func TestMessageThatCrashesEndpointsIsFoundAmongMany(t *testing.T) {
	const (
		messages             = 200
		maxRunsWithTheCause  = 5
		chats                = 10
		trialsOfSoundMessage = 1
	)
	for _, position := range []int{0, 100, messages - 1} {
		f := newFleet(t, crashOnPoison)
		e := newTestEntry(t, f, Disabled{RetryBudget: true})
		body := func(cause string, i int) string {
			var b strings.Builder
			for j := range messages {
				text := fmt.Sprint("message ", j)
				if j == position {
					text = cause
				}
				fmt.Fprintf(&b, `{"role":"user","content":%q},`, text)
			}
			return fmt.Sprintf(`{"model":"clerk","max_tokens":5,"messages":[%s{"role":"user","content":"question %s %d"}]}`, b.String(), cause, i)
		}
		revive := func() {
			for name := range f.agents {
				f.members.update(name, func(n *membership.Node) { n.Live = true })
			}
		}
		last := reply{}
		for i := range 3 {
			revive()
			last = e.chat(t, body("poison", i), "X-Request-Timeout", "500ms")
		}
		served := 0
		for i := range chats {
			revive()
			if e.chat(t, body("wineskins", i), "X-Request-Timeout", "2s").status == http.StatusOK {
				served++
			}
			last = e.chat(t, body("poison", 10+i), "X-Request-Timeout", "500ms")
		}
		assert.GreaterOrEqual(t, served, chats-trialsOfSoundMessage, "position %d", position)
		assert.Contains(t, last.body, `"kind":"prompt_blamed"`)
		runs := 0
		for _, a := range f.agents {
			for _, r := range a.runs {
				if strings.Contains(r.GetModel().GetPrompt(), "poison") {
					runs++
				}
			}
		}
		assert.LessOrEqual(t, runs, maxRunsWithTheCause, "position %d", position)
	}
}

// Guards against a prompt or a call that is not blamed because its endpoints crash in the middle of the answer.
func TestCrashInTheMiddleOfAnAnswerIsBlamed(t *testing.T) {
	for _, tokens := range []int{0, 1, 4, 20} {
		f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
			out.started()
			if r.GetCall() == nil {
				for i := len(r.GetModel().GetGenerated()); i < len(r.GetModel().GetGenerated())+tokens; i++ {
					out.tokens(int64(i), "a")
				}
			}
			out.fail(&wire.Failure{Kind: "endpoint_failed", Run: "ran", EndpointCrashed: true})
		})
		e := newTestEntry(t, f, Disabled{RetryBudget: true})
		for range 4 {
			for name := range f.agents {
				f.members.update(name, func(n *membership.Node) { n.Live = true })
			}
			e.chat(t, streamingChatBody, "X-Request-Timeout", "500ms")
			e.do(t, http.MethodGet, "/services/stock/stock/7", "")
		}
		runs, _ := f.totalCounts()
		assert.LessOrEqual(t, runs, 4, "two of each, after %d tokens", tokens)
		assert.Contains(t, e.do(t, http.MethodGet, "/services/stock/stock/7", "").body, `"kind":"prompt_blamed"`)
	}
}

// Guards against a slow lookup that is given up for a second attempt that its endpoint refuses or that fails.
func TestFailedHedgeCostsNoAnswer(t *testing.T) {
	for _, failure := range []*wire.Failure{{Kind: "overloaded", Run: "not_run"}, {Kind: "draining", Run: "not_run"},
		{Kind: "endpoint_failed", Run: "unknown"}, {Kind: "endpoint_failed", EndpointCrashed: true}} {
		var first atomic.Bool
		hedged := make(chan struct{})
		f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
			if first.CompareAndSwap(false, true) {
				<-hedged
				time.Sleep(30 * time.Millisecond)
				out.started().response(200, "12").end()
				return
			}
			close(hedged)
			out.fail(failure)
		})
		e := newTestEntry(t, f, Disabled{})
		e.server.dispatch.hedgeDelays = limit.NewHedgeDelays(limit.HedgeOptions{InitialDelay: 20 * time.Millisecond})
		assert.Equal(t, "12", e.do(t, http.MethodGet, "/services/stock/stock/7", "").body, failure.String())
	}
}

// Guards against a service's own status that looks like a refusal of the entry, whose callers learn from the body alone what has run.
func TestStatusOfAServiceClaimsNoRunState(t *testing.T) {
	for _, status := range []int32{408, 421, 429, 503} {
		f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.started().response(status, "own").end() })
		e := newTestEntry(t, f, Disabled{})
		got := e.do(t, http.MethodPost, "/services/stock/notes", "text")
		assert.Equal(t, int(status), got.status)
		assert.Equal(t, "own", got.body)
		runs, _ := f.totalCounts()
		assert.Equal(t, 1, runs, "it has run, and is not repeated")
	}
}

// Guards against answers of a recalled version, and against answers of an entry without fresh evidence.
func TestRecallAndFreshnessAreCheckedAtTheFirstFrame(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		epochs.set(t, 2, "recalled: [b1]")
		out.started().tokens(0, "a").end()
	})
	got := newTestEntryWith(t, f, epochs, Disabled{}, "").chat(t, streamingChatBody)
	assert.Contains(t, got.body, `recalled"`)
	assert.NotContains(t, got.body, `"content"`)
	epochs.set(t, 1, "")
	unguarded := newTestEntryWith(t, f, epochs, Disabled{RecallCheck: true}, "")
	assert.Contains(t, unguarded.chat(t, streamingChatBody).body, `"content":"a"`)

	epochs.set(t, 3, "")
	f.run = func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		epochs.stale.Store(true)
		out.started().tokens(0, "a").end()
	}
	got = newTestEntryWith(t, f, epochs, Disabled{}, "").chat(t, streamingChatBody, "X-Request-Timeout", "500ms")
	assert.Contains(t, got.body, `"kind":"isolated"`)
	assert.Contains(t, newTestEntryWith(t, f, epochs, Disabled{FreshnessCheck: true}, "").chat(t, streamingChatBody).body, "[DONE]")
}

// Guards against a call whose outcome is looked up until the deadline, so that its response cannot be written.
func TestSettlementLeavesTimeForTheResponse(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.hang() })
	f.resume = func(_ *fakeAgent, _ *wire.ResumeRequest, out *frameWriter) { out.hang() }
	e := newTestEntry(t, f, Disabled{})
	e.idempotency.hangs = true
	got := e.do(t, http.MethodPost, "/services/stock/orders", "{}", "X-Request-Timeout", "800ms", "Idempotency-Key", "k")
	assert.Contains(t, got.body, `"kind":"outcome_unknown"`)
	assert.Contains(t, got.body, `"run":"unknown"`)
}

// Guards against a lost order that is answered not_run although it may still start, and against its second execution.
func TestLostOrderIsSettledByItsRecord(t *testing.T) {
	order := func(e *testEntry) reply {
		return e.do(t, http.MethodPost, "/services/stock/orders", "{}", "Idempotency-Key", "k")
	}
	loseFirstAttempt := func(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		if r.GetCall().GetExpectVersion() == 0 {
			out.abort()
		}
		out.started().response(201, "ordered").end()
	}
	e := newTestEntry(t, newFleet(t, loseFirstAttempt), Disabled{})
	assert.Equal(t, "ordered", order(e).body, "after the refusal is recorded, the call is retried for the new record version")
	assert.Len(t, e.idempotency.refused, 1)

	e = newTestEntry(t, newFleet(t, loseFirstAttempt), Disabled{})
	e.idempotency.record = IdempotencyRecord{State: IdempotencyStarted, Version: 1}
	assert.Contains(t, order(e).body, `"kind":"outcome_unknown"`)
	runs, _ := e.fleet.totalCounts()
	assert.Equal(t, 1, runs, "a started call is never sent again")

	e = newTestEntry(t, newFleet(t, loseFirstAttempt), Disabled{})
	e.idempotency.record = IdempotencyRecord{State: IdempotencyDone, Version: 2,
		Response: &wire.CallResponse{Status: 201, Body: []byte("recorded")}}
	assert.Equal(t, "recorded", order(e).body)

	e = newTestEntry(t, newFleet(t, loseFirstAttempt), Disabled{})
	e.idempotency.err = cloud.ErrUnavailable
	assert.Contains(t, order(e).body, `"kind":"outcome_unknown"`)

	unguarded := newTestEntry(t, newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.abort() }),
		Disabled{Settlement: true})
	assert.Contains(t, order(unguarded).body, `"run":"not_run"`, "without the record, not_run is claimed although the call may run")
	assert.Empty(t, unguarded.idempotency.refused)
}

// Guards against the retry of a single-attempt call without a key.
func TestSingleAttemptIsNotRepeated(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) { out.abort() })
	got := newTestEntry(t, f, Disabled{}).do(t, http.MethodPost, "/services/stock/notes", "{}")
	assert.Contains(t, got.body, string(errkind.OutcomeUnknown))
	runs, _ := f.totalCounts()
	assert.Equal(t, 1, runs)
}

func counterValue(c prometheus.Counter) float64 {
	m := new(dto.Metric)
	_ = c.Write(m) // a counter never fails to write
	return m.GetCounter().GetValue()
}

// Guards against requests that exhaust the retry budget and fail within milliseconds while weights are still loading.
func TestLoadingEnginesAreAwaitedWithoutSpendingTheBudget(t *testing.T) {
	var refusals atomic.Int32
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		if refusals.Add(1) <= 2*int32(limit.DefaultMinBalance)+2 {
			out.fail(&wire.Failure{Kind: "not_loaded", Run: "not_run"})
			return
		}
		out.started().tokens(0, "a").end()
	})
	e := newTestEntry(t, f, Disabled{})
	got := e.chat(t, chatBody)
	assert.Equal(t, http.StatusOK, got.status, got.body)
	assert.Zero(t, counterValue(e.server.metrics.budgetExhausted))
	assert.Zero(t, counterValue(e.server.metrics.retries))
}

// Guards against a rollout during which no endpoint can answer: until a rollout reaches an endpoint, the entry requests the
// version that the endpoint still has loaded, but never a recalled one.
func TestRolloutRequestsTheLoadedVersion(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		out.version = r.GetModel().GetVersion().GetVersion()
		out.started().tokens(0, out.version).end()
	})
	old := endpoint.Version{Model: "lark", Version: "v0", Batch: "b1"}
	for _, name := range []string{"model-1", "model-2", "model-3"} {
		f.members.update(name, func(n *membership.Node) { n.Loaded = []endpoint.Version{old} })
	}
	e := newTestEntryWith(t, f, epochs, Disabled{}, "")
	assert.Contains(t, e.chat(t, streamingChatBody).body, `"content":"v0"`)
	epochs.set(t, 2, "recalled: [\"lark@v0\"]")
	got := e.chat(t, streamingChatBody).body
	assert.Contains(t, got, `"content":"v1"`)
	assert.NotContains(t, got, "v0")
}

// Guards against an answer that continues after its version was recalled, although the configuration cuts such streams.
// The entry must cut it, because the agent may not know the recall yet.
func TestEntryCutsRunningAnswerOfRecalledVersion(t *testing.T) {
	epochs := new(fakeEpochs)
	firstTokenSeen := make(chan struct{}) // before the caller has the first token, the entry may restart the request
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.started().tokens(0, "a")
		<-firstTokenSeen
		epochs.set(t, 2, "recalled: [b1]")
		out.tokens(1, "b").end()
	})
	epochs.set(t, 1, "")
	got := newTestEntryWith(t, f, epochs, Disabled{}, "").stream(t, streamingChatBody, func(line string) {
		if strings.Contains(line, `"content":"a"`) {
			close(firstTokenSeen)
		}
	})
	assert.Contains(t, got, `"kind":"recalled"`)
	assert.NotContains(t, got, `"content":"b"`)
	epochs.set(t, 1, "")
	assert.Contains(t, newTestEntryWith(t, f, epochs, Disabled{RecallCheck: true}, "").chat(t, streamingChatBody).body,
		`"content":"b"`)
}

// Guards against a prompt that reaches a third endpoint although it was blamed while it waited for one of its two.
func TestPromptBlamedWhileItWaitsIsNotSent(t *testing.T) {
	f := newFleet(t, answerTokens)
	e := newTestEntry(t, f, Disabled{})
	d := e.server.dispatch
	d.refreshView()
	snap := e.epochs.Snapshot()
	target, err := snap.Resolve("clerk")
	require.NoError(t, err)
	r := &request{snap: snap, target: target, requestedName: "clerk", fingerprint: "f", deadline: time.Now().Add(time.Minute)}
	selector := &endpointSelector{d: d, r: r}
	for range 2 {
		choice, err := selector.choose(t.Context())
		require.NoError(t, err)
		selector.tried = append(selector.tried, choice.Endpoint)
	}
	confined := selector.tried
	for _, ep := range confined {
		f.members.update(ep.Name, func(n *membership.Node) { n.Live = false })
	}
	d.refreshView()
	chosen := make(chan error)
	go func() {
		_, err := (&endpointSelector{d: d, r: r}).choose(t.Context())
		chosen <- err
	}()
	select {
	case err := <-chosen:
		require.Fail(t, "did not wait for its two endpoints", "%v", err)
	case <-time.After(50 * time.Millisecond):
	}
	e.blames.MergeRecords([]*wire.BlameRecord{{Fingerprint: "f", Crashes: 2, TtlMs: time.Minute.Milliseconds()}})
	for _, ep := range confined {
		f.members.update(ep.Name, func(n *membership.Node) { n.Leaving = true })
	}
	d.refreshView()
	err = <-chosen
	require.Error(t, err)
	require.Equal(t, errkind.PromptBlamed, errkind.From(err).Kind)
}
