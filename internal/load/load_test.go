package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
)

const testMix = `
name: test
duration: 2s
workspaces:
  - name: alfold
    traffic:
      - {name: chat, kind: chat, rate: 40, deadline: 5s, model: clerk, prompt: {1-4k: 3, 4-32k: 1}, answer: {min: 2, max: 6}, prefixes: {count: 2, tokens: 500, share: 0.5}}
      - {name: order, kind: call, rate: 40, deadline: 2s, method: POST, path: /services/orders/orders, body: '{"item":{n}}', items: 5, key: true, repeat_share: 0.3}
`

func parseMix(t *testing.T, text string) *Mix {
	t.Helper()
	mix, err := ParseMix([]byte(text))
	require.NoError(t, err)
	return mix
}

// fakeEntry answers chats and orders. Its fields select faults that the load generator must report.
type fakeEntry struct {
	dropTokens   bool // omit one token of each stream
	breakStreams bool // end streams with an error event
	changeAnswer bool // answer a repeated key differently
	executeTwice bool // count each execution as two
	refuseOrders bool // answer orders with run state not_run, but count an execution

	mu         sync.Mutex
	executions map[string]int
	bodies     map[string]string
}

func (f *fakeEntry) start(t *testing.T) string {
	f.executions, f.bodies = make(map[string]int), make(map[string]string)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", f.chat)
	mux.HandleFunc("POST /services/orders/orders", f.order)
	mux.HandleFunc("GET /counters", f.counters)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	return server.URL
}

func (f *fakeEntry) chat(w http.ResponseWriter, r *http.Request) {
	var q chatRequest
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil || r.Header.Get("Authorization") != "Bearer alfold-key" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	for i := range q.MaxTokens {
		if f.dropTokens && i == 1 {
			continue
		}
		fmt.Fprint(w, "data: {\"choices\":[{\"delta\":{\"content\":\"t \"}}]}\n\n")
	}
	if f.breakStreams {
		_, body := errkind.Response(errkind.New(errkind.StreamBroken, "test"))
		data, _ := json.Marshal(body)
		fmt.Fprintf(w, "event: error\ndata: %s\n\n", data)
		return
	}
	prompt := endpoint.EstimateTokens(q.Messages[0].Content)
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d}}\n\ndata: [DONE]\n\n", prompt, q.MaxTokens)
}

func (f *fakeEntry) order(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := r.Header.Get("Idempotency-Key")
	if _, ok := f.bodies[key]; !ok {
		f.executions[key]++
		if f.executeTwice {
			f.executions[key]++
		}
		body, _ := io.ReadAll(r.Body)
		f.bodies[key] = string(body)
	} else if f.changeAnswer {
		f.bodies[key] += "!"
	}
	if f.refuseOrders {
		status, body := errkind.Response(errkind.New(errkind.Overloaded, "test"))
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
		return
	}
	fmt.Fprint(w, f.bodies[key])
}

func (f *fakeEntry) counters(w http.ResponseWriter, _ *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := []map[string]any{}
	for key, n := range f.executions {
		calls = append(calls, map[string]any{"key": key, "executions": n})
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"calls": calls})
}

func runLoad(t *testing.T, f *fakeEntry) *Report {
	t.Helper()
	url := f.start(t)
	report, err := Run(t.Context(), Options{
		Mix: parseMix(t, testMix), Sender: NewClient([]string{url, url + "/"}, 4), Seed: 7,
		Duration: 2 * time.Second, TimeScale: 4, ScaleDeadlines: true, Standin: url,
	})
	require.NoError(t, err)
	return report
}

func TestCorrectEntryHasNoViolations(t *testing.T) {
	report := runLoad(t, new(fakeEntry))
	require.Empty(t, report.Violations)
	require.True(t, report.CountersChecked)
	sent := 0
	for _, s := range report.Series {
		require.Equal(t, s.Sent, s.OK(), "%s: %v", s.Name(), s.Outcomes)
		sent += s.Sent
	}
	require.Len(t, Schedule(parseMix(t, testMix), 7, "", 2*time.Second), sent)
	chat := report.seriesByName("chat 1-4k")
	require.EqualValues(t, chat.Sent, chat.FirstToken.Count)
	require.LessOrEqual(t, chat.FirstToken.P50, chat.Total.P50)
}

// Guards against checks that never report a violation.
func TestViolationsAreReported(t *testing.T) {
	for want, entry := range map[string]*fakeEntry{
		ViolationIncompleteAnswer:   {dropTokens: true},
		ViolationDifferentAnswers:   {changeAnswer: true},
		ViolationMultipleExecutions: {executeTwice: true},
		ViolationNotRunExecuted:     {refuseOrders: true},
	} {
		t.Run(want, func(t *testing.T) {
			report := runLoad(t, entry)
			require.Len(t, report.Violations, 1)
			require.Equal(t, want, report.Violations[0].Name)
			require.NotEmpty(t, report.Violations[0].Examples)
		})
	}
}

// Guards against counting a broken stream as a success or as a violation.
func TestBrokenStreamCountsAsItsErrorKind(t *testing.T) {
	report := runLoad(t, &fakeEntry{breakStreams: true})
	chat := report.seriesByName("chat 1-4k")
	require.Equal(t, chat.Sent, chat.Outcomes["stream_broken/ran"])
	require.Zero(t, chat.Total.Count)
	require.Empty(t, report.Violations)
}

func TestIncompleteStreamsAreDetected(t *testing.T) {
	r := readStream(bytes.NewBufferString("data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"))
	require.Equal(t, OutcomeTruncated, r.Outcome)
	require.Equal(t, 1, r.AnswerTokens)
	require.Equal(t, OutcomeMalformed, readStream(bytes.NewBufferString("data: {\n")).Outcome)
	require.NotEmpty(t, readStream(bytes.NewBufferString("data: [DONE]\n\n")).Fault, "no usage")
}

// Guards against runs that are not reproducible, and against a salt that changes the load, so that the phases of a slowdown
// experiment would not be comparable.
func TestScheduleIsDeterministic(t *testing.T) {
	mix := parseMix(t, testMix)
	a := Schedule(mix, 3, "", 20*time.Second)
	require.Equal(t, a, Schedule(mix, 3, "", 20*time.Second))
	require.NotEqual(t, a, Schedule(mix, 4, "", 20*time.Second))
	salted := Schedule(mix, 3, "x-", 20*time.Second)
	require.Len(t, salted, len(a))
	repeats, keyed, prefixed := 0, 0, 0
	for i := range a {
		require.Equal(t, a[i].Offset, salted[i].Offset)
		require.Equal(t, a[i].PromptTokens, salted[i].PromptTokens)
		if a[i].Key != "" {
			keyed++
			require.NotEqual(t, a[i].Key, salted[i].Key)
		} else {
			require.NotEqual(t, a[i].Prompt(), salted[i].Prompt())
			require.Equal(t, a[i].PromptTokens, endpoint.EstimateTokens(a[i].Prompt()))
		}
		if a[i].Repeat {
			repeats++
		}
		if a[i].PrefixIndex >= 0 {
			prefixed++
		}
	}
	// 800 arrivals of each traffic are expected; the tolerances exceed four standard deviations.
	require.InDelta(t, 800, keyed, 120)
	require.InDelta(t, 0.3, float64(repeats)/float64(keyed), 0.08)
	require.InDelta(t, 0.5, float64(prefixed)/float64(len(a)-keyed), 0.08)
}

func TestRepeatsHaveTheSamePayload(t *testing.T) {
	bodies := make(map[string]string)
	for _, a := range Schedule(parseMix(t, testMix), 5, "", 30*time.Second) {
		if a.Key == "" {
			continue
		}
		body, err := a.Body()
		require.NoError(t, err)
		first, seen := bodies[a.Key]
		require.Equal(t, a.Repeat, seen)
		if seen {
			require.Equal(t, first, string(body))
		}
		bodies[a.Key] = string(body)
	}
	require.NotEmpty(t, bodies)
}

func TestPromptLengthsMatchTheirClass(t *testing.T) {
	mix := parseMix(t, testMix)
	mix.Workspaces[0].Traffic[0].Prompt = map[Class]float64{ClassShort: 1, ClassMedium: 1, ClassLong: 1, ClassHuge: 1}
	seen := make(map[Class]bool)
	for _, a := range Schedule(mix, 1, "", 10*time.Second) {
		if a.Class == ClassCall {
			continue
		}
		r, ok := rangeOfClass(a.Class)
		require.True(t, ok)
		require.GreaterOrEqual(t, a.PromptTokens, r.minTokens)
		require.LessOrEqual(t, a.PromptTokens, r.maxTokens)
		seen[a.Class] = true
	}
	require.Len(t, seen, len(classRanges))
}

// slowSender answers every request after a fixed delay.
type slowSender time.Duration

func (s slowSender) Send(ctx context.Context, _ *Arrival, _ []byte) Result {
	time.Sleep(time.Duration(s))
	return Result{Outcome: OutcomeOK, End: time.Now()}
}

// Guards against coordinated omission: if the generator or the entry stalls, the latencies of later arrivals must include
// their wait.
func TestLatencyCountsFromScheduledArrival(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{
			Mix: parseMix(t, testMix), Sender: slowSender(100 * time.Millisecond), Seed: 1,
			Duration: 5 * time.Second, MaxInFlight: 1,
		}
		report, err := Run(t.Context(), o)
		require.NoError(t, err)
		require.True(t, report.Generator.FellBehind)
		// About 400 requests, one at a time, take 40 s. They arrive within 5 s, so the last one waits for 35 s.
		require.Greater(t, report.Generator.LagMax, 25_000.0)
		require.Greater(t, report.seriesByName("order call").Total.Max, 25_000.0)

		o.MaxInFlight = 0
		report, err = Run(t.Context(), o)
		require.NoError(t, err)
		require.False(t, report.Generator.FellBehind)
		require.Zero(t, report.Generator.LateStarts)
		require.InDelta(t, 100, report.seriesByName("order call").Total.Max, 1)
	})
}

func TestTimeScaleMultipliesRatesAndTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		report, err := Run(t.Context(), Options{
			Mix: parseMix(t, testMix), Sender: slowSender(10 * time.Millisecond), Seed: 1,
			Duration: 40 * time.Second, Warmup: 20 * time.Second, TimeScale: 10,
		})
		require.NoError(t, err)
		require.InDelta(t, 4, time.Since(start).Seconds(), 0.5)
		require.InDelta(t, 100, report.seriesByName("order call").Total.P50, 1)
		require.InDelta(t, 800, report.seriesByName("order call").Sent, 120, "arrivals of the warm-up are not recorded")
	})
}

func TestSlowdownSendsSameShortRequestsInBothPhases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := Options{Mix: parseMix(t, testMix), Sender: slowSender(time.Millisecond), Seed: 1, Duration: 10 * time.Second}
		s, err := RunSlowdown(t.Context(), o, 4000)
		require.NoError(t, err)
		require.Zero(t, s.ShortOnly.seriesByName("chat 4-32k").Sent)
		require.NotZero(t, s.WithLong.seriesByName("chat 4-32k").Sent)
		require.Equal(t, s.WithLong.seriesByName("chat 1-4k").Sent, s.ShortOnly.seriesByName("chat 1-4k").Sent)
		var table bytes.Buffer
		require.NoError(t, s.WriteTable(&table))
		require.Contains(t, table.String(), "1.00")
	})
}

func TestReportOutputs(t *testing.T) {
	report := runLoad(t, new(fakeEntry))
	dir := t.TempDir()
	path := filepath.Join(dir, "a.json")
	require.NoError(t, report.WriteFile(path))
	again, err := ReadReport(path)
	require.NoError(t, err)
	require.Equal(t, report, again)

	var table bytes.Buffer
	require.NoError(t, report.WriteTable(&table))
	require.Contains(t, table.String(), "0 kinds of violation (counters checked)")
	table.Reset()
	require.NoError(t, WriteComparison(&table, report, again))
	require.Contains(t, table.String(), "1.00")

	svg := filepath.Join(dir, "plot.svg")
	require.NoError(t, Plot(svg, MeasureTotal, []string{PlotName(path)}, []*Report{again}))
	data, err := os.ReadFile(svg)
	require.NoError(t, err)
	require.Contains(t, string(data), "a: order call")
	require.Error(t, Plot(svg, MeasureFirst, []string{"empty"}, []*Report{{}}))
}

func TestExampleMixesAreValid(t *testing.T) {
	paths, err := filepath.Glob("../../examples/mixes/*.yaml")
	require.NoError(t, err)
	require.Len(t, paths, 2)
	for _, path := range paths {
		mix, err := ReadMix(path)
		require.NoError(t, err)
		require.Len(t, mix.Workspaces, 10, path)
	}
}

// Guards against changes of the routing mixes that no longer load the fleet as intended: long prompts take half of its
// prefill capacity, all prompts 70%.
func TestRoutingMixesUseIntendedCapacity(t *testing.T) {
	const engineRate = 16_797 // prefill rate of an idle stand-in engine, in tokens per second
	for name, engines := range map[string]float64{"workshop": 24, "timing-centre": 15} {
		mix, err := ReadMix("../../examples/mixes/routing/" + name + ".yaml")
		require.NoError(t, err)
		long, all := 0.0, 0.0
		for _, w := range mix.Workspaces {
			for _, tr := range w.Traffic {
				for class, weight := range tr.Prompt {
					r, _ := rangeOfClass(class)
					tokens := tr.Rate * weight * float64(r.maxTokens-r.minTokens) / math.Log(float64(r.maxTokens)/float64(r.minTokens))
					all += tokens
					if class == ClassLong || class == ClassHuge {
						long += tokens
					}
				}
			}
		}
		require.InDelta(t, 0.5, long/(engines*engineRate), 0.01, name)
		require.InDelta(t, 0.7, all/(engines*engineRate), 0.01, name)
	}
}

// Guards against comparing long prompts with the target of short ones, and against a target that is not scaled with the
// prompt length.
func TestFirstTokenTargetScalesWithPromptLength(t *testing.T) {
	r := newRecorder(2, 10_000)
	for tokens, want := range map[int]float64{4_000: 0.5, 16_000: 0.5, 32_000: 800.0 / 4800} {
		s := newSeries()
		require.NoError(t, r.recordTargetRatio(s, tokens, 800*time.Millisecond))
		require.InDelta(t, want, s.firstTokenOverTarget.summary().P95, 0.002, tokens)
	}
}

func TestInvalidMixesAreRejected(t *testing.T) {
	for name, text := range map[string]string{
		"empty":               "name: x",
		"unknown field":       "name: x\nspeed: 3",
		"zero rate":           "workspaces: [{name: a, traffic: [{name: t, kind: call, method: GET, path: /}]}]",
		"unknown class":       "workspaces: [{name: a, traffic: [{name: t, kind: chat, rate: 1, model: m, prompt: {5k: 1}, answer: {min: 1, max: 1}}]}]",
		"repeats without key": "workspaces: [{name: a, traffic: [{name: t, kind: call, rate: 1, method: GET, path: /, repeat_share: 0.5}]}]",
	} {
		_, err := ParseMix([]byte(text))
		require.Error(t, err, name)
	}
}
