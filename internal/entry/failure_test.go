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

// Guards against a stream that ends when its connection goes silent while the agent still has the answer.
func TestSilentConnectionIsResumed(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.started().tokens(0, "a").hang() })
	f.resume = func(_ *fakeAgent, r *wire.ResumeRequest, out *frames) {
		out.next, out.skip = 0, r.GetNextSequence()
		out.started().tokens(0, "a", "b").end()
	}
	b := newBench(t, f, Disabled{})
	got := b.chat(t, streamChat)
	assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`))
	assert.Contains(t, got.body, "[DONE]")
	runs, _ := f.total()
	assert.Equal(t, 1, runs, "a resume is no new attempt")

	off := newBench(t, f, Disabled{Resume: true})
	off.chat(t, streamChat)
	after, _ := f.total()
	assert.Greater(t, after, runs+1, "without resume the answer costs further attempts")
}

// slowReads delays what a connection reads after its first frame, whether or not the connection is given up meanwhile.
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

// Guards against the loss of a frame that arrives at the moment at which its connection is given up as silent.
func TestFrameThatArrivesWithTheSilenceIsKept(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		out.started()
		time.Sleep(testTiming.SilenceTimeout / 3)
		out.tokens(0, "a").hang()
	})
	f.resume = func(_ *fakeAgent, r *wire.ResumeRequest, out *frames) {
		out.next, out.skip = 0, r.GetNextSequence()
		out.started().tokens(0, "a").end()
	}
	b := newBench(t, f, Disabled{})
	pooled := b.server.dispatch.agents.pooled
	pooled.Transport = slowReads{next: pooled.Transport, delay: testTiming.SilenceTimeout + 50*time.Millisecond}
	got := b.chat(t, streamChat)
	assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`), got.body)
	assert.Contains(t, got.body, "[DONE]")
}

// Guards against an answer that lacks tokens and yet looks complete.
func TestIncompleteAnswerIsNotDone(t *testing.T) {
	defer invariant.SetHandler(nil)() // the violation is counted
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		out.started().tokens(0, "a").raw(&wire.Frame{Payload: &wire.Frame_End{End: &wire.End{
			Frames: out.digest.Frames(), Hash: out.digest.Sum(), CompletionTokens: 2}}})
	})
	got := newBench(t, f, Disabled{}).chat(t, streamChat, "X-Request-Timeout", "500ms")
	assert.NotContains(t, got.body, "[DONE]")
	assert.Contains(t, got.body, `"kind":"stream_broken"`)
}

// Guards against frames of other attempts, gaps and truncation that reach the caller.
func TestDamagedFramesNeverReachTheCaller(t *testing.T) {
	damages := map[string]func(out *frames){
		"truncated":  func(out *frames) { out.started().tokens(0, "a").abort() },
		"duplicated": func(out *frames) { out.started().tokens(0, "a"); out.next--; out.tokens(0, "a").abort() },
		"crossed":    func(out *frames) { out.started().tokens(0, "a"); out.attempt = "other"; out.tokens(1, "X") },
		"gap":        func(out *frames) { out.started().tokens(0, "a"); out.next += 3; out.tokens(4, "X") },
		"token gap":  func(out *frames) { out.started().tokens(0, "a").tokens(5, "X").end() },
		"bad hash": func(out *frames) {
			out.started().tokens(0, "a")
			out.raw(&wire.Frame{Payload: &wire.Frame_End{End: &wire.End{Frames: 2, Hash: 1}}})
		},
	}
	for name, damage := range damages {
		var count atomic.Int32
		f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frames) {
			if count.Add(1) == 1 {
				damage(out)
				return
			}
			done := int64(len(r.GetModel().GetGenerated()))
			out.started().tokens(done, []string{"a", "b"}[done:]...).end()
		})
		got := newBench(t, f, Disabled{}).chat(t, plainChat)
		assert.Contains(t, got.body, `"content":"ab"`, name)
	}
}

// Shows that the check of token positions is what stops a wrong continuation.
func TestTokenIndexCheckOffLetsGapThrough(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.started().tokens(0, "a").tokens(5, "X").end() })
	assert.Contains(t, newBench(t, f, Disabled{TokenIndexCheck: true}).chat(t, plainChat).body, "aX")
}

// Guards against a lost or restarted answer when the engine dies after the first byte.
func TestEngineDeathContinuesElsewhere(t *testing.T) {
	for _, sent := range []int{0, 1, 2} {
		f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frames) {
			if !r.GetAlone() {
				out.started().tokens(0, []string{"a", "b"}[:sent]...)
				out.fail(&wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true})
				return
			}
			done := len(r.GetModel().GetGenerated())
			out.started().tokens(int64(done), []string{"a", "b", "c"}[done:]...).end()
		})
		b := newBench(t, f, Disabled{})
		got := b.chat(t, streamChat)
		assert.Contains(t, got.body, "[DONE]", "%d tokens sent", sent)
		assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`))
		assert.Contains(t, got.body, `"completion_tokens":3`)
		assert.Equal(t, 2, len(crashedOrRun(f)))
		assert.Empty(t, b.blames.BlamedRecords())
	}
}

func crashedOrRun(f *fakeFleet) (names []string) {
	for name, a := range f.agents {
		if runs, _ := a.counts(); runs > 0 {
			names = append(names, name)
		}
	}
	return names
}

// Guards against a failed stream that looks complete.
func TestBrokenStreamEndsWithErrorEvent(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		out.started().tokens(0, "a")
		out.fail(&wire.Failure{Kind: "internal", Run: "ran"})
	})
	got := newBench(t, f, Disabled{}).chat(t, streamChat)
	assert.Contains(t, got.body, "event: error\ndata: {\"error\":{\"kind\":\"internal\"")
	assert.Contains(t, got.body, `"run":"ran"`)
	assert.NotContains(t, got.body, "[DONE]")
}

// Guards against refusals of draining endpoints that reach the caller or use up the retry budget.
func TestDrainingRefusalsGoToTheNextCandidate(t *testing.T) {
	f := newFleet(t, func(a *fakeAgent, _ *wire.RunRequest, out *frames) {
		if a.name != "model-2" {
			out.fail(&wire.Failure{Kind: "draining", Run: "not_run"})
			return
		}
		out.started().tokens(0, "a").end()
	})
	b := newBench(t, f, Disabled{})
	for i := range 20 {
		body := strings.Replace(plainChat, "Which", fmt.Sprintf("%d Which", i), 1)
		require.Equal(t, http.StatusOK, b.chat(t, body).status)
	}
	assert.Zero(t, counted(b.server.metrics.retries))
}

// Guards against waiting for endpoints that are not there.
func TestNoEndpointIsRefusedAtOnce(t *testing.T) {
	f := newFleet(t, serveTokens)
	for name := range f.members.nodes {
		f.members.update(name, func(n *membership.Node) { n.Live = false })
	}
	began := time.Now()
	got := newBench(t, f, Disabled{}).chat(t, plainChat)
	assert.Contains(t, got.body, `"kind":"no_endpoint"`)
	assert.Contains(t, got.body, `"run":"not_run"`)
	assert.Less(t, time.Since(began), time.Second)
}

// Guards against requests that outlive their deadline, and against attempts that go on after the answer.
func TestDeadlineHoldsWhileEverythingHangs(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.hang() })
	f.resume = func(_ *fakeAgent, _ *wire.ResumeRequest, out *frames) { out.hang() }
	b := newBench(t, f, Disabled{})
	began := time.Now()
	got := b.chat(t, plainChat, "X-Request-Timeout", "400ms")
	assert.Less(t, time.Since(began), 400*time.Millisecond)
	assert.Contains(t, got.body, `"kind":"deadline_exceeded"`)
	assert.Contains(t, got.body, `"run":"unknown"`)
	runs, cancels := f.total()
	assert.Equal(t, runs, cancels)
	time.Sleep(100 * time.Millisecond)
	later, _ := f.total()
	assert.Equal(t, runs, later, "nothing starts after the answer")

	off := newBench(t, f, Disabled{Cancel: true})
	off.chat(t, plainChat, "X-Request-Timeout", "400ms")
	_, unchanged := f.total()
	assert.Equal(t, cancels, unchanged)
}

// Guards against answers for a caller that went away.
func TestClientDisconnectCancelsTheAttempt(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.started().tokens(0, "a").hang() })
	b := newBench(t, f, Disabled{})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, b.url+"/v1/chat/completions", strings.NewReader(streamChat))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	cancel()
	_ = resp.Body.Close()
	assert.Eventually(t, func() bool { _, cancels := f.total(); return cancels == 1 }, time.Second, 5*time.Millisecond)
}

// Guards against a hedge storm: one slow lookup may cost one more attempt.
func TestHedgeFiresOnceAndTheLoserIsCancelled(t *testing.T) {
	var first atomic.Bool
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		if first.CompareAndSwap(false, true) {
			out.hang()
			return
		}
		out.started().response(200, "12").end()
	})
	b := newBench(t, f, Disabled{})
	b.server.dispatch.hedge = limit.NewHedgeDelays(limit.HedgeOptions{InitialDelay: 20 * time.Millisecond})
	got := b.do(t, http.MethodGet, "/services/stock/stock/7", "")
	assert.Equal(t, "12", got.body)
	runs, cancels := f.total()
	assert.Equal(t, []int{2, 1}, []int{runs, cancels})
	assert.Equal(t, 1.0, counted(b.server.metrics.hedges))
}

// Guards against retries that multiply load while every endpoint refuses.
func TestRetryBudgetBoundsAttempts(t *testing.T) {
	overloaded := func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		out.fail(&wire.Failure{Kind: "overloaded", Run: "not_run"})
	}
	f := newFleet(t, overloaded)
	b := newBench(t, f, Disabled{})
	for range 40 {
		assert.Contains(t, b.chat(t, plainChat, "X-Request-Timeout", "300ms").body, `"run":"not_run"`)
	}
	runs, _ := f.total()
	assert.LessOrEqual(t, runs, 40+4+int(limit.DefaultMinBalance), "10% of 40 requests and the minimum")

	open := newFleet(t, overloaded)
	newBench(t, open, Disabled{RetryBudget: true}).chat(t, plainChat, "X-Request-Timeout", "300ms")
	unbounded, _ := open.total()
	assert.Greater(t, unbounded, int(limit.DefaultMinBalance)+1)
}

// crashAll crashes every endpoint that runs a prompt with the word "poison".
func crashAll(_ *fakeAgent, r *wire.RunRequest, out *frames) {
	if strings.Contains(r.GetModel().GetPrompt(), "poison") {
		out.fail(&wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true})
		return
	}
	out.started().tokens(0, "a").end()
}

// Guards against one prompt that takes down more than two endpoints through repeats at several entries that do not know
// of each other's crashes, the table being down.
func TestCrashingPromptLosesAtMostTwoEndpoints(t *testing.T) {
	poison := strings.Replace(plainChat, "wineskins", "poison", 1)
	lost := func(off Disabled) (int, string) {
		f := newFleet(t, crashAll)
		last := ""
		for i := range 6 {
			epochs := new(fakeEpochs)
			epochs.accept(t, 1, "")
			b := newBenchWith(t, f, epochs, off, route.Random)
			b.server.dispatch.opts.View = route.NewView(route.Options{IntN: seeded(uint64(i))})
			b.chat(t, poison, "X-Request-Timeout", "500ms")
			last = b.chat(t, poison, "X-Request-Timeout", "300ms").body
		}
		return len(crashedOrRun(f)), last
	}
	endpoints, last := lost(Disabled{})
	assert.LessOrEqual(t, endpoints, 2)
	assert.Contains(t, last, `"kind":"prompt_blamed"`)
	endpoints, _ = lost(Disabled{Confinement: true})
	assert.Greater(t, endpoints, 2, "without confinement each entry tries others")
}

// Guards against answers of a recalled version and of a node without fresh evidence.
func TestRecallAndFreshnessAreCheckedAtTheFirstFrame(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.accept(t, 1, "")
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		epochs.accept(t, 2, "recalled: [b1]")
		out.started().tokens(0, "a").end()
	})
	got := newBenchWith(t, f, epochs, Disabled{}, "").chat(t, streamChat)
	assert.Contains(t, got.body, `recalled"`)
	assert.NotContains(t, got.body, `"content"`)
	epochs.accept(t, 1, "")
	off := newBenchWith(t, f, epochs, Disabled{RecallCheck: true}, "")
	assert.Contains(t, off.chat(t, streamChat).body, `"content":"a"`)

	epochs.accept(t, 3, "")
	f.run = func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		epochs.stale.Store(true)
		out.started().tokens(0, "a").end()
	}
	got = newBenchWith(t, f, epochs, Disabled{}, "").chat(t, streamChat, "X-Request-Timeout", "500ms")
	assert.Contains(t, got.body, `"kind":"isolated"`)
	assert.Contains(t, newBenchWith(t, f, epochs, Disabled{FreshnessCheck: true}, "").chat(t, streamChat).body, "[DONE]")
}

// Guards against a call whose settling takes all the time to the deadline, so that its answer cannot be written.
func TestSettlingLeavesTimeForTheAnswer(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.hang() })
	f.resume = func(_ *fakeAgent, _ *wire.ResumeRequest, out *frames) { out.hang() }
	b := newBench(t, f, Disabled{})
	b.once.hangs = true
	got := b.do(t, http.MethodPost, "/services/stock/orders", "{}", "X-Request-Timeout", "800ms", "Idempotency-Key", "k")
	assert.Contains(t, got.body, `"kind":"outcome_unknown"`)
	assert.Contains(t, got.body, `"run":"unknown"`)
}

// Guards against a lost order that is answered not_run although it may start, and against a second execution.
func TestLostOrderIsSettledThroughTheRow(t *testing.T) {
	order := func(b *bench) reply {
		return b.do(t, http.MethodPost, "/services/stock/orders", "{}", "Idempotency-Key", "k")
	}
	lose := func(_ *fakeAgent, r *wire.RunRequest, out *frames) {
		if r.GetCall().GetExpectVersion() == 0 {
			out.abort()
		}
		out.started().response(201, "ordered").end()
	}
	b := newBench(t, newFleet(t, lose), Disabled{})
	assert.Equal(t, "ordered", order(b).body, "after a won refusal the call is tried for the new row version")
	assert.Len(t, b.once.refused, 1)

	b = newBench(t, newFleet(t, lose), Disabled{})
	b.once.row = IdempotencyRecord{State: IdempotencyStarted, Version: 1}
	assert.Contains(t, order(b).body, `"kind":"outcome_unknown"`)
	runs, _ := b.fleet.total()
	assert.Equal(t, 1, runs, "a started call is never sent again")

	b = newBench(t, newFleet(t, lose), Disabled{})
	b.once.row = IdempotencyRecord{State: IdempotencyDone, Version: 2, Response: &wire.CallResponse{Status: 201, Body: []byte("recorded")}}
	assert.Equal(t, "recorded", order(b).body)

	b = newBench(t, newFleet(t, lose), Disabled{})
	b.once.down = cloud.ErrUnavailable
	assert.Contains(t, order(b).body, `"kind":"outcome_unknown"`)

	off := newBench(t, newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.abort() }), Disabled{Settlement: true})
	assert.Contains(t, order(off).body, `"run":"not_run"`, "without the row the answer claims what nobody knows")
	assert.Empty(t, off.once.refused)
}

// Guards against a keyless single-attempt call that is repeated.
func TestSingleAttemptIsNotRepeated(t *testing.T) {
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) { out.abort() })
	got := newBench(t, f, Disabled{}).do(t, http.MethodPost, "/services/stock/notes", "{}")
	assert.Contains(t, got.body, string(errkind.OutcomeUnknown))
	runs, _ := f.total()
	assert.Equal(t, 1, runs)
}

func counted(c prometheus.Counter) float64 {
	m := new(dto.Metric)
	_ = c.Write(m) // a counter never fails to write
	return m.GetCounter().GetValue()
}

// Guards against requests that fail within milliseconds, with the retry budget spent, while weights are still loading.
func TestLoadingEnginesAreAwaitedWithoutSpendingTheBudget(t *testing.T) {
	var refusals atomic.Int32
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		if refusals.Add(1) <= 2*int32(limit.DefaultMinBalance)+2 {
			out.fail(&wire.Failure{Kind: "not_loaded", Run: "not_run"})
			return
		}
		out.started().tokens(0, "a").end()
	})
	b := newBench(t, f, Disabled{})
	got := b.chat(t, plainChat)
	assert.Equal(t, http.StatusOK, got.status, got.body)
	assert.Zero(t, counted(b.server.metrics.budgetSpent))
	assert.Zero(t, counted(b.server.metrics.retries))
}

// Guards against a rollout during which nobody is asked: until an endpoint's turn the entry asks it for the version that
// it still holds, and never for a recalled one.
func TestRolloutAsksEachEndpointForWhatItHolds(t *testing.T) {
	epochs := new(fakeEpochs)
	epochs.accept(t, 1, "")
	f := newFleet(t, func(_ *fakeAgent, r *wire.RunRequest, out *frames) {
		out.version = r.GetModel().GetVersion().GetVersion()
		out.started().tokens(0, out.version).end()
	})
	old := endpoint.Version{Model: "lark", Version: "v0", Batch: "b1"}
	for _, name := range []string{"model-1", "model-2", "model-3"} {
		f.members.update(name, func(n *membership.Node) { n.Loaded = []endpoint.Version{old} })
	}
	b := newBenchWith(t, f, epochs, Disabled{}, "")
	assert.Contains(t, b.chat(t, streamChat).body, `"content":"v0"`)
	epochs.accept(t, 2, "recalled: [\"lark@v0\"]")
	got := b.chat(t, streamChat).body
	assert.Contains(t, got, `"content":"v1"`)
	assert.NotContains(t, got, "v0")
}

// Guards against a running answer that goes on at the entry although the text says that recalls cut it, while the agent
// does not know the recall yet.
func TestEntryCutsRunningAnswerOfRecalledVersion(t *testing.T) {
	epochs := new(fakeEpochs)
	begun := make(chan struct{}) // closed once the caller has the first token; before that the entry may still move the request
	f := newFleet(t, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		out.started().tokens(0, "a")
		<-begun
		epochs.accept(t, 2, "recalled: [b1]")
		out.tokens(1, "b").end()
	})
	epochs.accept(t, 1, "")
	got := newBenchWith(t, f, epochs, Disabled{}, "").stream(t, streamChat, func(line string) {
		if strings.Contains(line, `"content":"a"`) {
			close(begun)
		}
	})
	assert.Contains(t, got, `"kind":"recalled"`)
	assert.NotContains(t, got, `"content":"b"`)
	epochs.accept(t, 1, "")
	assert.Contains(t, newBenchWith(t, f, epochs, Disabled{RecallCheck: true}, "").chat(t, streamChat).body, `"content":"b"`)
}
