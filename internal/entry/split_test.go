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

// ledger records what the members of split prompts were asked, over all agents.
type ledger struct {
	mu          sync.Mutex
	reserved    []string          // endpoints in the order of Reserve
	held        map[string]string // reservation to endpoint
	prefills    []string
	versions    []string // of the prefills
	prefillTime time.Duration
	fail        string                      // endpoint whose first Prefill fails
	crashes     bool                        // every Prefill crashes its endpoint
	memory      map[string]*kvledger.Ledger // by endpoint; nil: every reservation is granted
}

// splitAgent is the unary side of a fakeAgent.
type splitAgent struct {
	*fakeAgent
	l *ledger
}

func (s splitAgent) Reserve(ctx context.Context, r *wire.ReserveRequest) (*wire.ReserveReply, error) {
	if m := s.l.memory[s.name]; m != nil {
		wait := time.Duration(r.GetWaitMs()) * time.Millisecond
		if err := m.Reserve(ctx, r.GetReservation(), int(r.GetTokens()), time.Minute, wait); err != nil {
			return &wire.ReserveReply{Refusal: &wire.Failure{Kind: "overloaded", Run: "not_run"}}, nil
		}
	}
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.l.reserved = append(s.l.reserved, s.name)
	s.l.held[r.GetReservation()] = s.name
	return &wire.ReserveReply{Granted: true}, nil
}

func (s splitAgent) Renew(_ context.Context, r *wire.RenewRequest) (*wire.RenewReply, error) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	reply := new(wire.RenewReply)
	for _, id := range r.GetReservations() {
		if s.l.held[id] == "" {
			reply.Unknown = append(reply.Unknown, id)
		}
	}
	return reply, nil
}

func (s splitAgent) Release(_ context.Context, r *wire.ReleaseRequest) (*wire.ReleaseReply, error) {
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	for _, id := range r.GetReservations() {
		delete(s.l.held, id)
	}
	if m := s.l.memory[s.name]; m != nil {
		m.Release(r.GetReservations()...)
	}
	return new(wire.ReleaseReply), nil
}

func (s splitAgent) Prefill(_ context.Context, r *wire.PrefillRequest) (*wire.PrefillReply, error) {
	time.Sleep(s.l.prefillTime)
	s.l.mu.Lock()
	defer s.l.mu.Unlock()
	s.l.prefills = append(s.l.prefills, s.name)
	s.l.versions = append(s.l.versions, r.GetVersion().GetVersion())
	if s.l.fail == s.name || s.l.crashes {
		s.l.fail = ""
		return &wire.PrefillReply{Failure: &wire.Failure{Kind: "endpoint_failed", EndpointCrashed: true}}, nil
	}
	return &wire.PrefillReply{Handle: &wire.KVHandle{Engine: s.name, Id: r.GetPrompt()}}, nil
}

// splitBench is an entry in front of six engines of 1000 tokens each.
func splitBench(t *testing.T, off Disabled, run func(a *fakeAgent, r *wire.RunRequest, out *frames)) (*bench, *ledger) {
	f := newFleet(t, run)
	l := &ledger{held: make(map[string]string)}
	for i := range 6 {
		f.add(t, fmt.Sprintf("model-%d", i+1), func(a *fakeAgent) wire.Agent { return splitAgent{a, l} })
	}
	epochs := new(fakeEpochs)
	epochs.accept(t, 1, "")
	b := newBenchWith(t, f, epochs, off, "")
	for i := range 6 {
		// More free memory at later names: the plan prefers them, the reservation order must not.
		b.server.dispatch.opts.View.Observe(&wire.Load{Endpoint: fmt.Sprintf("model-%d", i+1), Sequence: 1, KvCapacity: 1000,
			KvFree: int64(900 + i), PrefillRate: 100_000})
	}
	return b, l
}

// wholePrompt answers with the length of all segments together.
func wholePrompt(_ *fakeAgent, r *wire.RunRequest, out *frames) {
	n := len(r.GetModel().GetPrompt())
	for _, h := range r.GetModel().GetImported() {
		n += len(h.GetId())
	}
	out.started().tokens(0, fmt.Sprint(n)).end()
}

func splitChat(tokens int) string {
	text := strings.Repeat("ledger é ", tokens*4/10)
	return fmt.Sprintf(`{"model":"clerk","max_tokens":50,"messages":[{"role":"user","content":"%s"}]}`, text)
}

func (l *ledger) empty() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.held) == 0
}

// Guards against lost or repeated parts of a split prompt, reservations in opposite orders, and leaked memory.
func TestSplitPromptIsWholeOrderedAndReleased(t *testing.T) {
	b, l := splitBench(t, Disabled{}, wholePrompt)
	got := b.chat(t, splitChat(1400))
	require.Equal(t, http.StatusOK, got.status, got.body)
	want := len("user: \n") + len("ledger é ")*(1400*4/10)
	assert.Contains(t, got.body, fmt.Sprintf(`"content":"%d"`, want))
	assert.True(t, sort.StringsAreSorted(l.reserved), "%v", l.reserved)
	assert.Greater(t, len(l.reserved), 1)
	assert.Eventually(t, l.empty, time.Second, 5*time.Millisecond)

	off, unordered := splitBench(t, Disabled{ReservationOrder: true, ReservationRelease: true}, wholePrompt)
	off.chat(t, splitChat(1400))
	assert.False(t, sort.StringsAreSorted(unordered.reserved))
	assert.False(t, unordered.empty())
}

// Guards against re-running the whole prompt when one member fails.
func TestFailedMemberIsReplacedAlone(t *testing.T) {
	b, l := splitBench(t, Disabled{}, wholePrompt)
	l.fail = "model-5"
	got := b.chat(t, splitChat(2000))
	require.Equal(t, http.StatusOK, got.status, got.body)
	assert.Empty(t, l.fail, "the fault was met")
	assert.Len(t, l.prefills, 3, "two segments and one re-run")
	seen := make(map[string]int)
	for _, name := range l.prefills {
		seen[name]++
	}
	for name, n := range seen {
		assert.Equal(t, 1, n, name)
	}
	assert.Eventually(t, l.empty, time.Second, 5*time.Millisecond)
}

// Guards against a prompt that takes down one replacement after another while its segments are prefilled.
func TestCrashingSplitPromptLosesAtMostTwoEndpoints(t *testing.T) {
	b, l := splitBench(t, Disabled{RetryBudget: true}, wholePrompt)
	l.crashes = true
	assert.Contains(t, b.chat(t, splitChat(1400)).body, `"kind":"prompt_blamed"`)
	assert.Len(t, l.prefills, 2, "each prefill lost its endpoint")
	assert.Eventually(t, l.empty, time.Second, 5*time.Millisecond)
}

// Guards against concurrent split prompts that wait for each other's memory until they fail, or that leak it: five of
// them need more than the engines have together, and each needs more than one engine has.
func TestConcurrentSplitPromptsAllComplete(t *testing.T) {
	b, l := splitBench(t, Disabled{}, wholePrompt)
	l.memory, l.prefillTime = make(map[string]*kvledger.Ledger), 20*time.Millisecond
	for i := range 6 {
		m := kvledger.New(kvledger.Options{ShortTokens: 10})
		m.SetCapacity(1000)
		l.memory[fmt.Sprintf("model-%d", i+1)] = m
	}
	var all sync.WaitGroup
	for i := range 5 {
		body := strings.Replace(splitChat(1400), "ledger", fmt.Sprintf("book%02d", i), 1)
		all.Go(func() {
			got := b.chat(t, body)
			assert.Equal(t, http.StatusOK, got.status, got.body)
		})
	}
	all.Wait()
	assert.Eventually(t, l.empty, time.Second, 5*time.Millisecond)
	for name, m := range l.memory {
		assert.Zero(t, m.Reserved(), name)
	}
}

// Guards against refusing a prompt that is smaller than an engine, but larger than what the engine gives one request.
func TestPromptOfNearlyOneEngineIsSplit(t *testing.T) {
	b, l := splitBench(t, Disabled{}, wholePrompt)
	got := b.chat(t, splitChat(900)) // 950 tokens with the answer; long requests get 900 of 1000
	require.Equal(t, http.StatusOK, got.status, got.body)
	assert.Greater(t, len(l.reserved), 1)
}

// Guards against reservations that survive a failed decode or a prompt that no fleet can hold.
func TestSplitFailuresReleaseEverything(t *testing.T) {
	b, l := splitBench(t, Disabled{}, func(_ *fakeAgent, _ *wire.RunRequest, out *frames) {
		out.fail(&wire.Failure{Kind: "internal", Run: "ran"})
	})
	assert.Contains(t, b.chat(t, splitChat(1400)).body, `"kind":"internal"`)
	assert.Eventually(t, l.empty, time.Second, 5*time.Millisecond)
	assert.Contains(t, b.chat(t, splitChat(9000)).body, `"kind":"prompt_too_large"`)
	assert.True(t, l.empty())
}

// Guards against refusing a long prompt only because no load report has arrived yet.
func TestPromptIsSplitAfterTheFirstRefusal(t *testing.T) {
	report := func(name string) *wire.Load {
		return &wire.Load{Endpoint: name, Sequence: 1, KvCapacity: 1000, KvFree: 1000, PrefillRate: 100_000}
	}
	var b *bench
	b, l := splitBench(t, Disabled{}, func(a *fakeAgent, r *wire.RunRequest, out *frames) {
		if r.GetModel().GetReservation() != "" {
			wholePrompt(a, r, out)
			return
		}
		for i := range 6 {
			b.server.dispatch.opts.View.Observe(report(fmt.Sprintf("model-%d", i+1)))
		}
		out.fail(&wire.Failure{Kind: "prompt_too_large", Run: "not_run", Load: report(a.name)})
	})
	b.server.dispatch.opts.View = route.NewView(route.Options{IntN: seeded(1)})
	got := b.chat(t, splitChat(1400))
	require.Equal(t, http.StatusOK, got.status, got.body)
	assert.Greater(t, len(l.reserved), 1)
}

// Guards against members that use different versions during a rollout, and against a prompt that is refused because the
// first step alone holds the new version.
func TestSplitPromptUsesOneVersionDuringRollout(t *testing.T) {
	b, l := splitBench(t, Disabled{}, func(a *fakeAgent, r *wire.RunRequest, out *frames) {
		out.version = r.GetModel().GetVersion().GetVersion()
		wholePrompt(a, r, out)
	})
	for i := range 6 {
		version := "v0"
		if i < 2 {
			version = "v1"
		}
		b.fleet.members.update(fmt.Sprintf("model-%d", i+1), func(n *membership.Node) {
			n.Loaded = []endpoint.Version{{Model: "lark", Version: version, Batch: "b1"}}
		})
	}
	got := b.chat(t, splitChat(2400))
	require.Equal(t, http.StatusOK, got.status, got.body)
	require.Greater(t, len(l.versions), 1)
	for i, v := range l.versions {
		require.Equal(t, "v0", v, l.prefills[i])
	}
	require.NotContains(t, l.reserved, "model-1")
	require.NotContains(t, l.reserved, "model-2")
}
