package standin

import (
	"context"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/endpoint"
)

var testVersion = endpoint.Version{Model: "ledger", Version: "1", Batch: "b1"}

// withVirtualClock runs fn with a new platform on the virtual clock of testing/synctest.
func withVirtualClock(t *testing.T, o Options, fn func(t *testing.T, p *Platform)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		p := New(o)
		defer p.Close()
		fn(t, p)
	})
}

// loadedEngine adds an engine with testVersion loaded.
func loadedEngine(p *Platform, name string, o EngineOptions) *Engine {
	e := p.AddEngine(name, o)
	e.Load(testVersion)
	return e
}

// prompt returns a text of n tokens that starts with seed.
func prompt(seed string, n int) string {
	return seed + strings.Repeat("x", n*4-len(seed))
}

// collect reads a stream to its end and returns its text.
func collect(t *testing.T, s endpoint.TokenStream) (string, error) {
	t.Helper()
	var text strings.Builder
	for {
		token, err := s.Recv()
		if err == io.EOF {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(token.Text)
	}
}

func generate(t *testing.T, e endpoint.Engine, req endpoint.GenerateRequest) endpoint.TokenStream {
	t.Helper()
	req.Version = testVersion
	s, err := e.Generate(t.Context(), req)
	require.NoError(t, err)
	return s
}

// Of concurrent commits with the same expected version only one may succeed; otherwise a non-idempotent call could run
// twice.
func TestTableOneWriterWinsPerVersion(t *testing.T) {
	p := New(Options{TableWritesPerSecond: 1e6, TableReadsPerSecond: 1e6, TableDelay: time.Microsecond})
	ctx := t.Context()
	const writers = 32
	var mu sync.Mutex
	commits := 0
	var group sync.WaitGroup
	for i := range writers {
		group.Go(func() {
			_, err := p.table.Commit(ctx, cloud.Write{Key: "a"}, cloud.Write{Key: fmt.Sprint("b", i)})
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				commits++
				return
			}
			var condition *cloud.ConditionError
			if !errors.As(err, &condition) || condition.Current.Version != 1 {
				t.Errorf("unexpected error %v", err)
			}
		})
	}
	group.Wait()
	require.Equal(t, 1, commits)
	rows, err := p.table.Scan(ctx, "b", "", 100)
	require.NoError(t, err)
	require.Len(t, rows, 1, "a failed transaction wrote a row")
}

func TestTableRowsExpireAndScanInOrder(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		ctx := t.Context()
		_, err := p.table.Commit(ctx, cloud.Write{Key: "k/1", TTL: time.Minute}, cloud.Write{Key: "k/2"}, cloud.Write{Key: "k/3"})
		require.NoError(t, err)
		time.Sleep(time.Minute)
		_, err = p.table.Get(ctx, "k/1")
		require.ErrorIs(t, err, cloud.ErrNotFound)
		rows, err := p.table.Scan(ctx, "k/", "k/2", 10)
		require.NoError(t, err)
		require.Len(t, rows, 1)
		require.Equal(t, "k/3", rows[0].Key)
	})
}

func TestTableLimitsWrites(t *testing.T) {
	withVirtualClock(t, Options{TableWritesPerSecond: 100}, func(t *testing.T, p *Platform) {
		written := 0
		for range 2000 { // about two seconds on the virtual clock
			_, err := p.table.Commit(t.Context(), cloud.Write{Key: "k", ExpectedVersion: cloud.AnyVersion})
			if err == nil {
				written++
			} else {
				require.ErrorIs(t, err, cloud.ErrRateLimited)
				time.Sleep(time.Millisecond)
			}
		}
		require.InDelta(t, 100*2.2, written, 50)
	})
}

func TestPrefixCacheShortensPrefillAndReportsEvents(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		e := loadedEngine(p, "model-1", EngineOptions{})
		text := prompt("archive", 10_000)
		begin := time.Now()
		_, err := collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: text, MaxTokens: 1}))
		require.NoError(t, err)
		cold := time.Since(begin)
		begin = time.Now()
		s := generate(t, e, endpoint.GenerateRequest{StreamID: "b", Prompt: text, MaxTokens: 1})
		_, err = collect(t, s)
		require.NoError(t, err)
		require.Less(t, time.Since(begin), cold/10)
		require.Equal(t, 9984, s.Usage().CachedTokens)
		events, err := e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Empty(t, events, "events are visible before their lag has passed")
		time.Sleep(DefaultCacheEventLag)
		events, err = e.CacheEvents(t.Context(), 0)
		require.NoError(t, err)
		require.Len(t, events, 39)
	})
}

func TestResumeAndContinuationGiveTheSameAnswer(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		first, second := loadedEngine(p, "model-1", EngineOptions{}), loadedEngine(p, "model-2", EngineOptions{})
		text := prompt("letter", 600)
		want := Answer(testVersion, text, 40)
		whole, err := collect(t, generate(t, first, endpoint.GenerateRequest{StreamID: "a", Prompt: text, MaxTokens: 40}))
		require.NoError(t, err)
		require.Equal(t, want, whole)
		resumed, err := first.Resume(t.Context(), "a", 10)
		require.NoError(t, err)
		tail, err := collect(t, resumed)
		require.NoError(t, err)
		require.True(t, strings.HasSuffix(want, tail))
		var generated []string
		for i := range 10 {
			generated = append(generated, AnswerToken(testVersion, text, i))
		}
		s := generate(t, second, endpoint.GenerateRequest{StreamID: "a2", Prompt: text, Generated: generated, MaxTokens: 40})
		rest, err := collect(t, s)
		require.NoError(t, err)
		require.Equal(t, want, strings.Join(generated, "")+rest)
		require.Equal(t, 40, s.Usage().CompletionTokens)
	})
}

// Guards against leaked KV memory: an engine without work must have none in use, however its work ended.
func TestMemoryReturnsToZero(t *testing.T) {
	for _, end := range []string{"finish", "cancel", "crash"} {
		t.Run(end, func(t *testing.T) {
			withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
				e := loadedEngine(p, "model-1", EngineOptions{})
				s := generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: prompt("a", 3000), MaxTokens: 50})
				h, err := e.Prefill(t.Context(), endpoint.PrefillRequest{ID: "seg", Version: testVersion, Prompt: prompt("s", 2000)})
				require.NoError(t, err)
				require.Equal(t, 2000, h.Tokens)
				require.GreaterOrEqual(t, e.KVUsed(), 2000)
				switch end {
				case "finish":
					_, err = collect(t, s)
					require.NoError(t, err)
					require.Equal(t, 2000, e.KVUsed(), "the exported segment must stay")
					require.NoError(t, e.Cancel(t.Context(), "seg"))
				case "cancel":
					require.NoError(t, e.Cancel(t.Context(), "a"))
					require.NoError(t, e.Cancel(t.Context(), "seg"))
					require.NoError(t, e.Cancel(t.Context(), "seg"), "a second cancel must not free twice")
				case "crash":
					before, err := e.Report(t.Context())
					require.NoError(t, err)
					e.Crash()
					_, err = collect(t, s)
					require.ErrorIs(t, err, endpoint.ErrDown)
					_, err = e.Report(t.Context())
					require.ErrorIs(t, err, endpoint.ErrDown)
					time.Sleep(DefaultRestartTime)
					after, err := e.Report(t.Context())
					require.NoError(t, err)
					require.NotEqual(t, before.Incarnation, after.Incarnation)
					require.Empty(t, after.Loaded)
				}
				require.Zero(t, e.KVUsed())
			})
		})
	}
}

func TestMemoryIsBounded(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		e := loadedEngine(p, "model-1", EngineOptions{KVCapacity: 1000})
		_, err := e.Generate(t.Context(), endpoint.GenerateRequest{StreamID: "a", Version: testVersion, Prompt: prompt("a", 990), MaxTokens: 20})
		require.ErrorIs(t, err, endpoint.ErrNoMemory)
		_, err = collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "b", Prompt: prompt("b", 900), MaxTokens: 20}))
		require.NoError(t, err)
		generate(t, e, endpoint.GenerateRequest{StreamID: "c", Prompt: prompt("c", 900), MaxTokens: 20})
		e.mu.Lock()
		defer e.mu.Unlock()
		require.LessOrEqual(t, e.usedTokens+e.cache.usedTokens(), 1000, "the cache was not shrunk")
	})
}

// A long bulk prompt must not delay a short urgent one by more than the step in progress.
func TestUrgentPromptPreemptsBulk(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		e := loadedEngine(p, "model-1", EngineOptions{})
		generate(t, e, endpoint.GenerateRequest{StreamID: "bulk", Prompt: prompt("b", 100_000), Priority: endpoint.PriorityBulk})
		time.Sleep(time.Second)
		begin := time.Now()
		s := generate(t, e, endpoint.GenerateRequest{StreamID: "urgent", Prompt: prompt("u", 400), Priority: endpoint.PriorityUrgent})
		_, err := s.Recv()
		require.NoError(t, err)
		require.Less(t, time.Since(begin), 70*time.Millisecond, "two full steps take 61 ms")
	})
}

// The answer to a split prompt must equal that to the whole prompt, and decoding must fail once imported KV is gone.
func TestSplitPrefill(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		small := EngineOptions{KVCapacity: 12_000}
		a, b, c := loadedEngine(p, "model-1", small), loadedEngine(p, "model-2", small), loadedEngine(p, "model-3", small)
		text := prompt("archive", 15_000)
		parts := []string{text[:20_000], text[20_000:40_000], text[40_000:]}
		ctx := t.Context()
		h1, err := a.Prefill(ctx, endpoint.PrefillRequest{ID: "s1", Version: testVersion, Prompt: parts[0]})
		require.NoError(t, err)
		h2, err := b.Prefill(ctx, endpoint.PrefillRequest{ID: "s2", Version: testVersion, Prompt: parts[1], Imported: []endpoint.KVHandle{h1}})
		require.NoError(t, err)
		g := endpoint.GenerateRequest{StreamID: "g", Prompt: parts[2], Imported: []endpoint.KVHandle{h1, h2}, MaxTokens: 30}
		s := generate(t, c, g)
		require.Equal(t, 5000+30+DefaultImportWindow, c.KVUsed(), "imported KV must pass through a bounded window")
		got, err := collect(t, s)
		require.NoError(t, err)
		require.Equal(t, Answer(testVersion, text, 30), got)
		require.Equal(t, 15_000, s.Usage().PromptTokens)

		g.StreamID = "g2"
		s = generate(t, c, g)
		_, err = s.Recv()
		require.NoError(t, err)
		require.NoError(t, a.Cancel(ctx, "s1"))
		_, err = collect(t, s)
		require.ErrorIs(t, err, endpoint.ErrUnknownStream)
		require.Zero(t, c.KVUsed())
		_, err = c.Generate(ctx, endpoint.GenerateRequest{StreamID: "g3", Version: testVersion, Prompt: parts[2], Imported: g.Imported})
		require.ErrorIs(t, err, endpoint.ErrUnknownStream)
	})
}

func TestOrderNeedsTicketsAndFencingToken(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		ctx := t.Context()
		e := p.AddEngine("model-1", EngineOptions{})
		order := endpoint.Order{FencingToken: 5, Versions: []endpoint.Version{testVersion}}
		require.ErrorIs(t, e.ApplyOrder(ctx, order), endpoint.ErrNotLoaded)
		ticket, err := p.weights.IssueTicket(ctx, testVersion.WeightName())
		require.NoError(t, err)
		order.Tickets = map[string]string{testVersion.WeightName(): ticket}
		require.NoError(t, e.ApplyOrder(ctx, order))
		_, err = e.Generate(ctx, endpoint.GenerateRequest{StreamID: "a", Version: testVersion})
		require.ErrorIs(t, err, endpoint.ErrNotLoaded, "weights take time to load")
		time.Sleep(DefaultLoadTime)
		generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: "hello"})
		require.ErrorIs(t, e.ApplyOrder(ctx, endpoint.Order{FencingToken: 4}), endpoint.ErrFenced)
		require.NoError(t, p.faults.Merge([]byte(`{"ignore_fencing":true}`)))
		require.NoError(t, e.ApplyOrder(ctx, endpoint.Order{FencingToken: 4}))
		_, err = e.Generate(ctx, endpoint.GenerateRequest{StreamID: "b", Version: testVersion})
		require.ErrorIs(t, err, endpoint.ErrNotLoaded, "the order unloaded it")
	})
}

func TestServiceCountsEveryExecution(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		s := p.AddService("order-01", ServiceOptions{})
		call := endpoint.Call{Method: "POST", Path: "/orders", Header: map[string][]string{"Idempotency-Key": {"k1"}}}
		_, err := s.Do(t.Context(), call)
		require.NoError(t, err)
		ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		_, err = s.Do(ctx, call)
		require.ErrorIs(t, err, context.DeadlineExceeded)
		require.Equal(t, 2, p.counters.Executions("k1"), "a call whose caller disconnected still counts as executed")
		counts := p.counters.Snapshot()
		require.Len(t, counts.Calls, 1)
		require.Len(t, counts.Calls[0].Times, 2)
	})
}

// A stream that waits for imported KV must not delay other work on the engine.
func TestImportDoesNotDelayOtherWork(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		a, b := loadedEngine(p, "model-1", EngineOptions{}), loadedEngine(p, "model-2", EngineOptions{ImportRate: 1000})
		h, err := a.Prefill(t.Context(), endpoint.PrefillRequest{ID: "s", Version: testVersion, Prompt: prompt("s", 10_000)})
		require.NoError(t, err)
		generate(t, b, endpoint.GenerateRequest{StreamID: "long", Prompt: "x", Imported: []endpoint.KVHandle{h}})
		time.Sleep(time.Second)
		begin := time.Now()
		_, err = collect(t, generate(t, b, endpoint.GenerateRequest{StreamID: "short", Prompt: "x", MaxTokens: 1}))
		require.NoError(t, err)
		require.Less(t, time.Since(begin), 20*time.Millisecond, "one step takes 10 ms")
	})
}

func TestFinishedStreamsAreDropped(t *testing.T) {
	withVirtualClock(t, Options{}, func(t *testing.T, p *Platform) {
		e := loadedEngine(p, "model-1", EngineOptions{})
		_, err := collect(t, generate(t, e, endpoint.GenerateRequest{StreamID: "a", Prompt: "x", MaxTokens: 1}))
		require.NoError(t, err)
		time.Sleep(DefaultKeepFinished + 2*sweepInterval)
		_, err = e.Resume(t.Context(), "a", 0)
		require.ErrorIs(t, err, endpoint.ErrUnknownStream)
	})
}
