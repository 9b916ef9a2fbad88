package entry

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/kvledger"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/route"
	"github.com/bilberrylink/bilberrylink/wire"
)

// callLog records the calls of split prompts at all agents and controls their replies.
type callLog struct {
	mu            sync.Mutex
	reserved      []string          // endpoints in the order of Reserve
	reservations  map[string]string // reservation to endpoint
	prefills      []string
	versions      []string // of the prefills
	prefillTime   time.Duration
	onCall        func(method, name string)   // called by each Reserve and Prefill
	failPrefillAt string                      // endpoint whose first Prefill fails
	crashPrefills bool                        // every Prefill crashes its endpoint
	memory        map[string]*kvledger.Ledger // by endpoint; nil: every reservation is granted
}

// splitAgent adds the calls of split prompts to a fakeAgent.
type splitAgent struct {
	*fakeAgent
	log *callLog
}

func (s splitAgent) Reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.ReserveReply, error) {
	if s.log.onCall != nil {
		s.log.onCall("reserve", s.name)
	}
	if m := s.log.memory[s.name]; m != nil {
		wait := time.Duration(r.GetWaitMs()) * time.Millisecond
		if err := m.Reserve(ctx, r.GetReservation(), int(r.GetTokens()), time.Minute, wait); err != nil {
			return &wire.ReserveReply{Refusal: &wire.Failure{Kind: "overloaded", Run: "not_run"}}, nil
		}
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.reserved = append(s.log.reserved, s.name)
	s.log.reservations[r.GetReservation()] = s.name
	return &wire.ReserveReply{Granted: true}, nil
}

func (s splitAgent) Renew(_ context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	reply := new(wire.RenewReply)
	for _, id := range r.GetReservations() {
		if s.log.reservations[id] == "" {
			reply.Unknown = append(reply.Unknown, id)
		}
	}
	return reply, nil
}

func (s splitAgent) Release(_ context.Context, r *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	for _, id := range r.GetReservations() {
		delete(s.log.reservations, id)
	}
	if m := s.log.memory[s.name]; m != nil {
		m.Release(r.GetReservations()...)
	}
	return new(wire.ReleaseReply), nil
}

func (s splitAgent) Prefill(_ context.Context, r *wire.PrefillRequest) (*wire.PrefillReply, error) {
	time.Sleep(s.log.prefillTime)
	if s.log.onCall != nil {
		s.log.onCall("prefill", s.name)
	}
	s.log.mu.Lock()
	defer s.log.mu.Unlock()
	s.log.prefills = append(s.log.prefills, s.name)
	s.log.versions = append(s.log.versions, r.GetVersion().GetVersion())
	if s.log.failPrefillAt == s.name || s.log.crashPrefills {
		s.log.failPrefillAt = ""
		return &wire.PrefillReply{Failure: &wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true}}, nil
	}
	return &wire.PrefillReply{Handle: &wire.KVHandle{Engine: s.name, Id: r.GetPrompt()}}, nil
}

// newSplitTestEntry returns an entry in front of six engines of 1000 tokens each.
func newSplitTestEntry(t *testing.T, disabled Disabled,
	run func(a *fakeAgent, r *wire.RunRequest, out *frameWriter)) (*testEntry, *callLog) {
	f := newFleet(t, run)
	calls := &callLog{reservations: make(map[string]string)}
	for i := range 6 {
		f.add(t, fmt.Sprintf("model-%d", i+1), func(a *fakeAgent) wire.Agent { return splitAgent{a, calls} })
	}
	epochs := new(fakeEpochs)
	epochs.set(t, 1, "")
	e := newTestEntryWith(t, f, epochs, disabled, "")
	for i := range 6 {
		// Endpoints with later names have more free memory: the plan must prefer them, the reservation order must not.
		e.server.dispatch.opts.RoutingView.Observe(&wire.Load{Endpoint: fmt.Sprintf("model-%d", i+1), Sequence: 1, KvCapacity: 1000,
			KvFree: int64(900 + i), PrefillRate: 100_000})
	}
	return e, calls
}

// answerPromptLength answers with the length of all segments together.
func answerPromptLength(_ *fakeAgent, r *wire.RunRequest, out *frameWriter) {
	n := len(r.GetModel().GetPrompt())
	for _, h := range r.GetModel().GetImported() {
		n += len(h.GetId())
	}
	out.started().tokens(0, fmt.Sprint(n)).end()
}

func longChatBody(tokens int) string {
	text := strings.Repeat("ledger é ", tokens*4/10)
	return fmt.Sprintf(`{"model":"clerk","max_tokens":50,"messages":[{"role":"user","content":"%s"}]}`, text)
}

func (calls *callLog) noReservations() bool {
	calls.mu.Lock()
	defer calls.mu.Unlock()
	return len(calls.reservations) == 0
}

// Guards against lost or repeated parts of a split prompt, against reservations that are not in the order of names, and
// against leaked reservations.
func TestSplitPromptIsWholeOrderedAndReleased(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, answerPromptLength)
	got := e.chat(t, longChatBody(1400))
	require.Equal(t, http.StatusOK, got.status, got.body)
	want := len("user: \n") + len("ledger é ")*(1400*4/10)
	assert.Contains(t, got.body, fmt.Sprintf(`"content":"%d"`, want))
	assert.True(t, sort.StringsAreSorted(calls.reserved), "%v", calls.reserved)
	assert.Greater(t, len(calls.reserved), 1)
	assert.Eventually(t, calls.noReservations, time.Second, 5*time.Millisecond)

	unguarded, unordered := newSplitTestEntry(t, Disabled{ReservationOrder: true, ReservationRelease: true}, answerPromptLength)
	unguarded.chat(t, longChatBody(1400))
	assert.False(t, sort.StringsAreSorted(unordered.reserved))
	assert.False(t, unordered.noReservations())
}

// Guards against prefilling the whole prompt again when one member fails.
func TestOnlyTheFailedMemberIsReplaced(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, answerPromptLength)
	calls.failPrefillAt = "model-5"
	got := e.chat(t, longChatBody(2000))
	require.Equal(t, http.StatusOK, got.status, got.body)
	assert.Empty(t, calls.failPrefillAt, "the fault was met")
	assert.Len(t, calls.prefills, 3, "two segments and one re-run")
	seen := make(map[string]int)
	for _, name := range calls.prefills {
		seen[name]++
	}
	for name, n := range seen {
		assert.Equal(t, 1, n, name)
	}
	assert.Eventually(t, calls.noReservations, time.Second, 5*time.Millisecond)
}

// Guards against a split prompt that crashes one replacement after another while its segments are prefilled.
func TestSplitPromptCrashesAtMostTwoEndpoints(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{RetryBudget: true}, answerPromptLength)
	calls.crashPrefills = true
	assert.Contains(t, e.chat(t, longChatBody(1400)).body, `"kind":"prompt_blamed"`)
	assert.Len(t, calls.prefills, 2, "each prefill lost its endpoint")
	assert.Eventually(t, calls.noReservations, time.Second, 5*time.Millisecond)
}

// Guards against concurrent split prompts that wait for each other's memory until they fail, or that leak it. Five of them
// need more than the engines have in total, and each needs more than one engine has.
func TestConcurrentSplitPromptsAllComplete(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, answerPromptLength)
	calls.memory, calls.prefillTime = make(map[string]*kvledger.Ledger), 20*time.Millisecond
	for i := range 6 {
		m := kvledger.New(kvledger.Options{ShortTokens: 10})
		m.SetCapacity(1000)
		calls.memory[fmt.Sprintf("model-%d", i+1)] = m
	}
	var all sync.WaitGroup
	for i := range 5 {
		body := strings.Replace(longChatBody(1400), "ledger", fmt.Sprintf("book%02d", i), 1)
		all.Go(func() {
			got := e.chat(t, body)
			assert.Equal(t, http.StatusOK, got.status, got.body)
		})
	}
	all.Wait()
	assert.Eventually(t, calls.noReservations, time.Second, 5*time.Millisecond)
	for name, m := range calls.memory {
		assert.Zero(t, m.Reserved(), name)
	}
}

// Guards against refusing a prompt that fits into an engine's memory but exceeds what the engine gives one request.
func TestPromptOfNearlyOneEngineIsSplit(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, answerPromptLength)
	got := e.chat(t, longChatBody(900)) // 950 tokens with the answer; long requests get 900 of 1000
	require.Equal(t, http.StatusOK, got.status, got.body)
	assert.Greater(t, len(calls.reserved), 1)
}

// Guards against reservations that are not released after a failed decode or for a prompt that is too large for the fleet.
func TestSplitFailuresReleaseEverything(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, func(_ *fakeAgent, _ *wire.RunRequest, out *frameWriter) {
		out.fail(&wire.Failure{Kind: "internal", Run: "ran"})
	})
	assert.Contains(t, e.chat(t, longChatBody(1400)).body, `"kind":"internal"`)
	assert.Eventually(t, calls.noReservations, time.Second, 5*time.Millisecond)
	assert.Contains(t, e.chat(t, longChatBody(9000)).body, `"kind":"prompt_too_large"`)
	assert.True(t, calls.noReservations())
}

// Guards against refusing a long prompt because no load report has arrived yet. The first refusal brings the reports.
func TestPromptIsSplitAfterTheFirstRefusal(t *testing.T) {
	report := func(name string) *wire.Load {
		return &wire.Load{Endpoint: name, Sequence: 1, KvCapacity: 1000, KvFree: 1000, PrefillRate: 100_000}
	}
	var e *testEntry
	e, calls := newSplitTestEntry(t, Disabled{}, func(a *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		if r.GetModel().GetReservation() != "" {
			answerPromptLength(a, r, out)
			return
		}
		for i := range 6 {
			e.server.dispatch.opts.RoutingView.Observe(report(fmt.Sprintf("model-%d", i+1)))
		}
		out.fail(&wire.Failure{Kind: "prompt_too_large", Run: "not_run", Load: report(a.name)})
	})
	e.server.dispatch.opts.RoutingView = route.NewView(route.Options{IntN: seeded(1)})
	got := e.chat(t, longChatBody(1400))
	require.Equal(t, http.StatusOK, got.status, got.body)
	assert.Greater(t, len(calls.reserved), 1)
}

// Guards against members that use different versions during a rollout, and against refusing a prompt because too few
// endpoints have loaded the new version.
func TestSplitPromptUsesOneVersionDuringRollout(t *testing.T) {
	e, calls := newSplitTestEntry(t, Disabled{}, func(a *fakeAgent, r *wire.RunRequest, out *frameWriter) {
		out.version = r.GetModel().GetVersion().GetVersion()
		answerPromptLength(a, r, out)
	})
	for i := range 6 {
		version := "v0"
		if i < 2 {
			version = "v1"
		}
		e.fleet.members.update(fmt.Sprintf("model-%d", i+1), func(n *membership.Node) {
			n.Loaded = []endpoint.Version{{Model: "lark", Version: version, Batch: "b1"}}
		})
	}
	got := e.chat(t, longChatBody(2400))
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Greater(t, len(calls.versions), 1)
	for i, v := range calls.versions {
		require.Equal(t, "v0", v, calls.prefills[i])
	}
	require.NotContains(t, calls.reserved, "model-1")
	require.NotContains(t, calls.reserved, "model-2")
}
