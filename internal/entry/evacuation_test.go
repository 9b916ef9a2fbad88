package entry

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/limit"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/wire"
)

// inDomainA says whether an endpoint of the tests of evacuations is in failure domain a. Each service has one there; the others are in b.
func inDomainA(name string) bool { return strings.HasSuffix(name, "-1") }

// evacuationEntry returns an entry in front of endpoints in two failure domains, none of which is evacuated.
func evacuationEntry(t *testing.T, disabled Disabled, run func(a *fakeAgent, r *wire.RunRequest, out *frameWriter)) *testEntry {
	e := newTestEntryWith(t, newFleet(t, run), new(fakeEpochs), disabled, "")
	e.server.dispatch.timing.SilenceTimeout = 2 * time.Second // busy machines exceed that of the other tests
	for name := range e.fleet.agents {
		e.fleet.members.update(name, func(n *membership.Node) {
			n.FailureDomain = "b"
			if inDomainA(name) {
				n.FailureDomain = "a"
			}
		})
	}
	e.epochs.evacuate(t, 1)
	return e
}

// send sends one request of each kind: an order, a call without a key, a lookup, and chats with and without streaming.
func (e *testEntry) send(t *testing.T, i int) (replies []reply) {
	return []reply{
		e.do(t, http.MethodPost, "/services/stock/orders", "{}", "Idempotency-Key", fmt.Sprint("k", i)),
		e.do(t, http.MethodPost, "/services/stock/notes", "{}"),
		e.do(t, http.MethodGet, fmt.Sprint("/services/stock/stock/", i), ""),
		e.chat(t, strings.Replace(chatBody, "Which", fmt.Sprint(i, " Which"), 1)),
		e.chat(t, strings.Replace(streamingChatBody, "Which", fmt.Sprint(i, " Which"), 1)),
	}
}

func answerAny(a *fakeAgent, r *wire.RunRequest, out *frameWriter) {
	if r.GetCall() != nil {
		out.started().response(200, a.name).end()
		return
	}
	out.started().tokens(0, "a").end()
}

// Guards against a kind of request that still goes to an evacuated domain, also if the routing view does not show the change yet,
// against one that waits although no endpoint is left, and against a domain that gets nothing after its evacuation has ended.
func TestEvacuatedDomainIsSentNothing(t *testing.T) {
	e := evacuationEntry(t, Disabled{}, answerAny)
	for i := range 10 {
		e.send(t, i)
	}
	runsInB := func() (runs int) {
		for name, a := range e.fleet.agents {
			if n, _ := a.counts(); !inDomainA(name) {
				runs += n
			}
		}
		return runs
	}
	before := runsInB()
	require.Positive(t, before)
	e.epochs.evacuate(t, 2, "b")
	for i := range 10 {
		for _, got := range e.send(t, 100+i) {
			assert.Equal(t, http.StatusOK, got.status, got.body)
		}
	}
	assert.Equal(t, before, runsInB())
	for i := range 10 { // with a routing view that does not show the evacuation
		for _, name := range []string{"order-2", "order-3", "model-2", "model-3"} {
			e.server.dispatch.opts.RoutingView.Endpoint(name).SetAvailable(true, false)
		}
		assert.Equal(t, http.StatusOK, e.send(t, 200+i)[i%5].status)
	}
	assert.Equal(t, before, runsInB())
	assert.Zero(t, counterValue(e.server.metrics.retries), "no budget is spent")

	total, _ := e.fleet.totalCounts()
	e.epochs.evacuate(t, 3, "a", "b")
	began := time.Now()
	for _, got := range e.send(t, 300) {
		assert.Equal(t, http.StatusServiceUnavailable, got.status)
		assert.Contains(t, got.body, `"kind":"no_endpoint"`)
		assert.Contains(t, got.body, `"run":"not_run"`)
	}
	assert.Less(t, time.Since(began), 2*time.Second, "below the timeout of one call")
	after, _ := e.fleet.totalCounts()
	assert.Equal(t, total, after)

	e.epochs.evacuate(t, 4)
	e.server.dispatch.refreshView()
	for i := range 10 {
		e.send(t, 400+i)
	}
	assert.Greater(t, runsInB(), before)
}

// Guards against requests that wait for an endpoint of an evacuated domain, or for one of another domain until their back-off is over.
func TestWaitingRequestsArePlacedAgainAtOnce(t *testing.T) {
	for _, evacuated := range [][]string{{"b"}, {"a", "b"}, nil} { // nil: the new text recalls the model of the chat
		loading := make(chan struct{}, 100)
		e := evacuationEntry(t, Disabled{}, nil)
		e.fleet.run = func(a *fakeAgent, r *wire.RunRequest, out *frameWriter) {
			if e.epochs.Snapshot().Epoch == 1 {
				loading <- struct{}{}
				out.fail(&wire.Failure{Kind: "not_loaded", Run: "not_run"})
				return
			}
			answerAny(a, r, out)
		}
		e.server.dispatch.timing.InitialBackoff = time.Hour // only a change of the text ends the wait
		answers := make(chan []reply, 1)
		go func() {
			chat := make(chan reply, 1)
			go func() { chat <- e.chat(t, streamingChatBody) }()
			order := e.do(t, http.MethodPost, "/services/stock/orders", "{}", "Idempotency-Key", "k")
			answers <- []reply{order, <-chat}
		}()
		for range 2 + 2 { // a request that has never completed may go to two endpoints
			<-loading
		}
		time.Sleep(50 * time.Millisecond) // until both wait
		runs, _ := e.fleet.totalCounts()
		if evacuated == nil {
			e.epochs.set(t, 2, "recalled: [b1]")
		} else {
			e.epochs.evacuate(t, 2, evacuated...)
		}
		got := <-answers
		after, _ := e.fleet.totalCounts()
		assert.Equal(t, []int{1, 2, 0}[len(evacuated)], after-runs)
		assert.Equal(t, len(evacuated) < 2, got[0].status == http.StatusOK, got[0].body)
		assert.Equal(t, len(evacuated) == 1, got[1].status == http.StatusOK, got[1].body)
		for _, refused := range got {
			assert.True(t, refused.status == http.StatusOK || strings.Contains(refused.body, `"run":"not_run"`), refused.body)
		}
		assert.Equal(t, evacuated == nil, strings.Contains(got[1].body, `"kind":"dependency_recalled"`))
		for name, a := range e.fleet.agents {
			if n, _ := a.counts(); len(evacuated) > 0 && !inDomainA(name) {
				assert.LessOrEqual(t, n, 1, "%s was asked once, before the evacuation", name)
			}
		}
	}
}

// Guards against a running answer that is cut by an evacuation, and against a retry or a continued answer in the evacuated domain.
func TestRunningRequestsFinishAndRetriesMove(t *testing.T) {
	e := evacuationEntry(t, Disabled{RetryBudget: true}, nil) // the only endpoint in a gets more retries than its budget
	e.fleet.run = func(a *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		assert.True(t, inDomainA(a.name) || e.epochs.Snapshot().Epoch == 1)
		done := int64(len(r.GetModel().GetGenerated()))
		out.started()
		if done == 0 {
			out.tokens(0, "a")
			e.epochs.evacuate(t, 2, "b")
			if strings.Contains(r.GetModel().GetPrompt(), "crash") {
				out.fail(&wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true})
				return
			}
			done = 1
		}
		out.tokens(done, "b").end()
	}
	for i := range 20 {
		e.epochs.evacuate(t, 1)
		e.server.dispatch.refreshView()
		got := e.chat(t, strings.Replace(streamingChatBody, "Which", fmt.Sprint(i, []string{"finish", "crash"}[i%2]), 1))
		assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`))
		assert.Contains(t, got.body, "[DONE]")
	}
	assert.Len(t, usedEndpoints(e.fleet), 3)
	_, cancels := e.fleet.totalCounts()
	assert.Zero(t, cancels)
}

// Guards against an answer that waits until its deadline for a version that only evacuated endpoints have loaded.
func TestAnswerOfAVersionInEvacuatedDomainsEnds(t *testing.T) {
	e := evacuationEntry(t, Disabled{}, nil)
	e.fleet.run = func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.version = "v0"
		out.started().tokens(0, "a")
		e.epochs.evacuate(t, 2, "b")
		out.fail(&wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true})
	}
	for name := range e.fleet.agents {
		e.fleet.members.update(name, func(n *membership.Node) {
			n.Loaded, n.Live = []endpoint.Version{{Model: "lark", Version: "v0", Batch: "b1"}}, !inDomainA(name)
		})
	}
	assert.Contains(t, e.chat(t, streamingChatBody).body, `"kind":"stream_broken"`)
	runs, _ := e.fleet.totalCounts()
	assert.Equal(t, 1, runs)
}

// Guards against a response that is resumed in an evacuated domain although it can continue elsewhere, and against an order whose response
// is lost because it is not resumed.
func TestResponsesInEvacuatedDomainsMoveUnlessTheyAreOrders(t *testing.T) {
	e := evacuationEntry(t, Disabled{}, nil)
	e.fleet.run = func(a *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		if inDomainA(a.name) {
			out.started().tokens(int64(len(r.GetModel().GetGenerated())), "b").end()
			return
		}
		if r.GetCall() == nil {
			out.started().tokens(0, "a")
		}
		e.epochs.evacuate(t, 2, "b")
		out.hang()
	}
	e.server.dispatch.timing.SilenceTimeout = testTiming.SilenceTimeout
	resumed := make(chan string, 10)
	e.fleet.resume = func(a *fakeAgent, r *wire.ResumeRequest, out *frameWriter) {
		resumed <- a.name
		out.nextSequence, out.firstSent = 0, r.GetNextSequence()
		out.started().response(201, "ordered").end()
	}
	for _, name := range []string{"model-1", "order-1"} {
		e.fleet.members.update(name, func(n *membership.Node) { n.Live = false })
	}
	e.server.dispatch.refreshView()
	for _, name := range []string{"model-1", "order-1"} {
		e.fleet.members.update(name, func(n *membership.Node) { n.Live = true })
	}
	got := e.chat(t, streamingChatBody)
	assert.Contains(t, got.body, "[DONE]")
	assert.Equal(t, 1, strings.Count(got.body, `"content":"a"`))
	assert.Empty(t, resumed)
	e.epochs.evacuate(t, 3)
	got = e.do(t, http.MethodPost, "/services/stock/orders", "{}", "Idempotency-Key", "k")
	assert.Equal(t, "ordered", got.body)
	assert.Len(t, resumed, 1)
	assert.Empty(t, e.idempotency.refused)
}

// Guards against a hedge in an evacuated domain, also if the routing view still shows its endpoints as available.
func TestHedgeAvoidsEvacuatedDomain(t *testing.T) {
	e := evacuationEntry(t, Disabled{}, nil)
	e.fleet.run = func(a *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		assert.True(t, inDomainA(a.name))
		for _, name := range []string{"order-2", "order-3"} {
			e.server.dispatch.opts.RoutingView.Endpoint(name).SetAvailable(true, false)
		}
		time.Sleep(75 * time.Millisecond)
		out.started().response(200, a.name).end()
	}
	e.server.dispatch.hedgeDelays = limit.NewHedgeDelays(limit.HedgeOptions{InitialDelay: 20 * time.Millisecond})
	e.epochs.evacuate(t, 2, "b")
	for i := range 5 {
		e.server.dispatch.refreshView()
		assert.Equal(t, http.StatusOK, e.do(t, http.MethodGet, fmt.Sprint("/services/stock/stock/", i), "").status)
	}
	assert.Positive(t, counterValue(e.server.metrics.hedges), "hedges were due")
}

// Guards against parts and the decode of a split prompt that are sent to an evacuated domain, against prefilling again what is prefilled
// there, and against a refusal that blames the prompt for the evacuation.
func TestSplitPromptLeavesEvacuatedDomain(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, answerPromptLength)
	for name := range e.fleet.agents { // the plan prefers model-4 to model-6
		e.fleet.members.update(name, func(n *membership.Node) { n.FailureDomain = map[bool]string{true: "b", false: "a"}[name >= "model-4"] })
	}
	for _, moment := range []struct {
		method string
		nth    int // the domain is evacuated during this call of the method
		inB    int // parts that have been prefilled there by then
	}{{"reserve", 1, 0}, {"prefill", 1, 1}, {"reserve", 2, 1}, {"reserve", 3, 2}} {
		var count atomic.Int32
		calls.reserved, calls.prefills = nil, nil
		calls.onCall = func(method, name string) {
			assert.True(t, e.epochs.Snapshot().Epoch == 1 || name < "model-4", "%s at %s", method, name)
			if method == moment.method && count.Add(1) == int32(moment.nth) {
				e.epochs.evacuate(t, 2, "b")
			}
		}
		e.epochs.evacuate(t, 1)
		e.server.dispatch.refreshView()
		got := e.chat(t, longChatBody(1400))
		require.Equal(t, http.StatusOK, got.status, got.body)
		assert.Contains(t, got.body, fmt.Sprintf(`"content":"%d"`, len("user: \n")+len("ledger é ")*(1400*4/10)))
		require.Len(t, calls.prefills, 2, "%v: a part is prefilled once", moment)
		for i, name := range calls.prefills {
			assert.Equal(t, i < moment.inB, name >= "model-4", "%v: %v", moment, calls.prefills)
		}
		for name, a := range e.fleet.agents {
			runs, _ := a.counts()
			assert.True(t, runs == 0 || name < "model-4", name)
		}
	}
	calls.onCall = nil
	for _, domains := range [][]string{{"a", "b"}, {"b"}} { // three engines hold no 3000 tokens
		e.epochs.evacuate(t, 3, domains...)
		e.server.dispatch.refreshView()
		got := e.chat(t, longChatBody(3000))
		assert.Contains(t, got.body, `"kind":"no_endpoint"`, domains)
		assert.Contains(t, got.body, `"run":"not_run"`)
	}
	assert.Eventually(t, calls.noReservations, time.Second, 5*time.Millisecond)
}
