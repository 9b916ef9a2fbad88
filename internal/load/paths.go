package load

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// Measurements that RunPaths can take.
const (
	PathsLatency    = "latency"    // latency that an entry adds to orders and lookups; table calls per order
	PathsSilence    = "silence"    // pauses of streams whose connections go silent
	PathsCrash      = "crash"      // engines that restart because of a prompt that crashes them
	PathsRestart    = "restart"    // requests that fail while the operator restarts processes
	PathsThroughput = "throughput" // latency and CPU usage of an entry at rising rates of lookups
)

// Parameters of the measurements.
const (
	pathsRequestDeadline   = 20 * time.Second
	silenceAnswerTokens    = 150
	silenceAfterTokens     = 20 // approximate number of tokens after which connections go silent
	crashPrompts           = 12
	crashInterval          = 250 * time.Millisecond
	throughputStepDuration = 5 * time.Second
	throughputInitialRate  = 250.0 // lookups per second
	throughputRateFactor   = 1.4
	throughputMaxP99       = 50 * time.Millisecond // the rate rises until the p99 of lookups exceeds it
	restartChatWorkers     = 4
	restartCallWorkers     = 2
	restartAnswerTokens    = 100
	restartRequestInterval = 20 * time.Millisecond
	readyPollInterval      = 50 * time.Millisecond
)

// PathsOptions configures RunPaths.
type PathsOptions struct {
	Entries       []string // base URLs
	Standin       string   // base URL of the stand-ins' control interface
	Key           string   // bearer key
	Service       string   // plain service with the calls GET /stock/* and POST /orders
	Model         string   // service that answers chats
	Seed          uint64
	Samples       int           // requests of each kind for latency, streams for silence
	RestartWindow time.Duration // duration of the measurement restart
	Salt          string        // part of the idempotency keys
}

// PathFigure is one measured value.
type PathFigure struct {
	Measurement string  `json:"measurement"`
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	Unit        string  `json:"unit"`
}

// pathsRun is the state of one call of RunPaths.
type pathsRun struct {
	options       PathsOptions
	entryClient   *Client
	standinClient *Client
	rng           *rand.Rand
	figures       []PathFigure
}

// RunPaths takes the named measurements in order. It injects faults through the stand-ins. If a measurement fails, RunPaths
// returns the figures taken until then with the error.
func RunPaths(ctx context.Context, options PathsOptions, names []string) ([]PathFigure, error) {
	p := &pathsRun{
		options:       options,
		entryClient:   NewClient(options.Entries, 1),
		standinClient: NewClient([]string{options.Standin}, 1),
		rng:           rand.New(rand.NewPCG(options.Seed, 0)),
	}
	measureFuncs := map[string]func(context.Context) error{
		PathsLatency:    p.measureLatency,
		PathsSilence:    p.measureSilence,
		PathsCrash:      p.measureCrash,
		PathsRestart:    p.measureRestart,
		PathsThroughput: p.measureThroughput,
	}
	for _, name := range names {
		if measureFuncs[name] == nil {
			return p.figures, errors.Errorf("unknown measurement %q", name)
		}
		if err := measureFuncs[name](ctx); err != nil {
			return p.figures, errors.Wrap(err, name)
		}
	}
	return p.figures, nil
}

func (p *pathsRun) addFigure(measurement, name, unit string, value float64) {
	p.figures = append(p.figures, PathFigure{Measurement: measurement, Name: name, Unit: unit, Value: value})
}

func (p *pathsRun) addQuantiles(measurement, name string, h histogram) {
	for _, q := range []float64{50, 95} {
		p.addFigure(measurement, fmt.Sprintf("%s p%g", name, q), "ms", quantileMillis(h, q))
	}
}

// quantileMillis returns the value at a percentile, in milliseconds.
func quantileMillis(h histogram, percent float64) float64 {
	return float64(h.h.ValueAtQuantile(percent)) / 1000
}

// requestKind is a kind of request in the measurement latency, with its recorded latencies.
type requestKind struct {
	name   string
	client *Client
	method string
	path   string
	keyed  bool
	times  histogram
}

// measureLatency sends orders and lookups one at a time and in random order, both through the entries and directly to a
// stand-in.
func (p *pathsRun) measureLatency(ctx context.Context) error {
	endpoint, err := p.plainEndpoint(ctx)
	if err != nil {
		return err
	}
	viaEntry, direct := "/services/"+p.options.Service, "/services/"+endpoint+"/call"
	kinds := []*requestKind{
		{name: "order direct", client: p.standinClient, method: http.MethodPost, path: direct + "/orders", keyed: true},
		{name: "order through an entry", client: p.entryClient, method: http.MethodPost, path: viaEntry + "/orders", keyed: true},
		{name: "lookup direct", client: p.standinClient, method: http.MethodGet, path: direct + "/stock/hose"},
		{name: "lookup through an entry", client: p.entryClient, method: http.MethodGet, path: viaEntry + "/stock/hose"},
	}
	before, err := p.tableCounts(ctx)
	if err != nil {
		return err
	}
	if err := p.sampleLatencies(ctx, kinds); err != nil {
		return err
	}
	after, err := p.tableCounts(ctx)
	if err != nil {
		return err
	}
	for _, k := range kinds {
		p.addQuantiles(PathsLatency, k.name, k.times)
	}
	for i := 0; i < len(kinds); i += 2 {
		name, _, _ := strings.Cut(kinds[i].name, " ")
		for _, q := range []float64{50, 95} {
			p.addFigure(PathsLatency, fmt.Sprintf("added to one %s at p%g", name, q), "ms",
				quantileMillis(kinds[i+1].times, q)-quantileMillis(kinds[i].times, q))
		}
	}
	orders := float64(p.options.Samples)
	p.addFigure(PathsLatency, "table writes per order", "rows", float64(after["once"].Writes-before["once"].Writes)/orders)
	p.addFigure(PathsLatency, "table reads per order", "rows", float64(after["once"].Reads-before["once"].Reads)/orders)
	return nil
}

// sampleLatencies sends Samples requests of each kind and records their latencies. It fails with the first failed request.
func (p *pathsRun) sampleLatencies(ctx context.Context, kinds []*requestKind) error {
	for _, k := range kinds {
		k.times = newHistogram()
	}
	for n := range p.options.Samples {
		for _, i := range p.rng.Perm(len(kinds)) {
			k := kinds[i]
			key := ""
			if k.keyed {
				key = fmt.Sprintf("paths-%d-%s-%d-%d", p.options.Seed, p.options.Salt, i, n)
			}
			start := time.Now()
			result := p.sendCall(ctx, k.client, n, k.method, k.path, key)
			if result.Outcome != OutcomeOK {
				return errors.Errorf("%s: %s", k.name, result.Outcome)
			}
			if err := k.times.record(time.Since(start)); err != nil {
				return err
			}
		}
	}
	return nil
}

func (p *pathsRun) sendCall(ctx context.Context, c *Client, entry int, method, path, key string) Result {
	body := ""
	if method == http.MethodPost {
		body = `{"item":"hose","quantity":1}`
	}
	a := &Arrival{EntryIndex: uint64(entry), Key: key, Workspace: &Workspace{Key: p.options.Key},
		Traffic: &Traffic{Kind: KindCall, Method: method, Path: path, Deadline: Duration(pathsRequestDeadline)}}
	ctx, cancel := context.WithTimeout(ctx, pathsRequestDeadline+DefaultGrace)
	defer cancel()
	return c.Send(ctx, a, []byte(body))
}

// sendChat sends a chat with a streamed answer. If concurrently is not nil, it runs at the same time.
func (p *pathsRun) sendChat(ctx context.Context, entry int, prompt string, tokens int, concurrently func()) Result {
	a := &Arrival{EntryIndex: uint64(entry), Workspace: &Workspace{Key: p.options.Key},
		Traffic: &Traffic{Kind: KindChat, Model: p.options.Model, Deadline: Duration(pathsRequestDeadline)}}
	body, err := json.Marshal(chatRequest{Model: p.options.Model, Messages: []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: tokens, Stream: true, StreamOptions: &streamOptions{IncludeUsage: true}})
	if err != nil {
		return Result{Outcome: OutcomeMalformed, RunState: errkind.NotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, pathsRequestDeadline+DefaultGrace)
	defer cancel()
	if concurrently != nil {
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(concurrently)
	}
	return p.entryClient.Send(ctx, a, body)
}

// measureSilence measures the longest pause of streams whose connections go silent midway.
func (p *pathsRun) measureSilence(ctx context.Context) error {
	endpoints, err := p.endpoints(ctx)
	if err != nil {
		return err
	}
	var names []string
	for _, e := range endpoints {
		names = append(names, e.Name)
	}
	fault, err := json.Marshal(map[string][]string{"connection_silent": names})
	if err != nil {
		return errors.Wrap(err, "faults")
	}
	pauses := newHistogram()
	for n := range p.options.Samples {
		var faultErr error
		result := p.sendChat(ctx, n, fmt.Sprintf("silence %d %d", p.options.Seed, p.rng.Uint64()), silenceAnswerTokens, func() {
			time.Sleep(silenceAfterTokens * 10 * time.Millisecond) // an engine generates a token every 10 ms
			faultErr = p.putFaults(ctx, string(fault))
		})
		if faultErr != nil {
			return faultErr
		}
		if result.Outcome != OutcomeOK || result.Fault != "" {
			return errors.Errorf("stream is incomplete: %s %s", result.Outcome, result.Fault)
		}
		if err := pauses.record(slices.Max(result.TokenGaps)); err != nil {
			return err
		}
	}
	p.addFigure(PathsSilence, "streams, all whole", "", float64(p.options.Samples))
	p.addQuantiles(PathsSilence, "longest pause", pauses)
	p.addFigure(PathsSilence, "longest pause, largest", "ms", float64(pauses.h.Max())/1000)
	return nil
}

// measureCrash repeatedly sends a prompt that crashes the engine which starts it, through all entries, and counts the
// engines that restarted.
func (p *pathsRun) measureCrash(ctx context.Context) error {
	marker := fmt.Sprintf("crashes-%d-%d", p.options.Seed, p.rng.Uint64())
	if err := p.putFaults(ctx, `{"crash_marker":"`+marker+`"}`); err != nil {
		return err
	}
	defer func() { _ = p.putFaults(ctx, `{"crash_marker":""}`) }() // a failure does not affect the figures
	before, err := p.incarnations(ctx)
	if err != nil {
		return err
	}
	outcomes := make(map[string]int)
	for n := range crashPrompts {
		outcomes[p.sendChat(ctx, n, "Please read "+marker, 8, nil).Outcome]++
		time.Sleep(crashInterval)
	}
	time.Sleep(standin.DefaultRestartTime) // until crashed engines report again
	after, err := p.incarnations(ctx)
	if err != nil {
		return err
	}
	restarted := 0
	for name, incarnation := range after {
		if before[name] != incarnation {
			restarted++
		}
	}
	p.addFigure(PathsCrash, "prompts sent", "", crashPrompts)
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		p.addFigure(PathsCrash, "answered "+outcome, "", float64(outcomes[outcome]))
	}
	p.addFigure(PathsCrash, "engines lost", "", float64(restarted))
	return nil
}

// measureRestart sends chats, lookups and orders in closed loops while the operator restarts processes. Like a load
// balancer, it sends requests only to entries whose /readyz succeeds.
func (p *pathsRun) measureRestart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.options.RestartWindow)
	defer cancel()
	ready := make([]atomic.Bool, len(p.options.Entries))
	var wg sync.WaitGroup
	for i := range ready {
		ready[i].Store(true)
		wg.Go(func() { p.pollReady(ctx, i, &ready[i]) })
	}
	var mu sync.Mutex
	outcomes := make(map[string]int)
	runLoop := func(kind string, worker int, send func(entry, n int) Result) {
		for n := 0; ctx.Err() == nil; n++ {
			result := send(readyEntry(ready, worker+n), n)
			mu.Lock()
			outcomes[kind+" "+result.Outcome]++
			mu.Unlock()
			time.Sleep(restartRequestInterval)
		}
	}
	requestCtx := context.WithoutCancel(ctx) // requests in flight at the end of the window finish
	for worker := range restartChatWorkers {
		wg.Go(func() {
			runLoop("chats", worker, func(entry, n int) Result {
				return p.sendChat(requestCtx, entry, fmt.Sprintf("restart %d %d %d", p.options.Seed, worker, n), restartAnswerTokens, nil)
			})
		})
	}
	for worker := range restartCallWorkers {
		wg.Go(func() {
			runLoop("lookups", worker, func(entry, n int) Result {
				return p.sendCall(requestCtx, p.entryClient, entry, http.MethodGet, "/services/"+p.options.Service+"/stock/hose", "")
			})
		})
		wg.Go(func() {
			runLoop("orders", worker, func(entry, n int) Result {
				key := fmt.Sprintf("restart-%d-%s-%d-%d", p.options.Seed, p.options.Salt, worker, n)
				return p.sendCall(requestCtx, p.entryClient, entry, http.MethodPost, "/services/"+p.options.Service+"/orders", key)
			})
		})
	}
	wg.Wait()
	failed := 0
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		p.addFigure(PathsRestart, name, "", float64(outcomes[name]))
		if !strings.HasSuffix(name, " "+OutcomeOK) {
			failed += outcomes[name]
		}
	}
	p.addFigure(PathsRestart, "requests cut off or failed", "", float64(failed))
	return nil
}

// pollReady polls the /readyz of an entry until ctx ends.
func (p *pathsRun) pollReady(ctx context.Context, entry int, ready *atomic.Bool) {
	for ctx.Err() == nil {
		_, err := p.get(ctx, p.options.Entries[entry]+"/readyz")
		ready.Store(err == nil)
		time.Sleep(readyPollInterval)
	}
}

// readyEntry returns the first ready entry from preferred on, or preferred if none is ready.
func readyEntry(ready []atomic.Bool, preferred int) int {
	for i := range ready {
		if index := (preferred + i) % len(ready); ready[index].Load() {
			return index
		}
	}
	return preferred
}

// measureThroughput raises the rate of lookups at the first entry until their p99 exceeds throughputMaxP99 or one fails.
func (p *pathsRun) measureThroughput(ctx context.Context) error {
	for rate := throughputInitialRate; ; rate *= throughputRateFactor {
		step, err := p.runRateStep(ctx, rate)
		if err != nil {
			return err
		}
		p99 := quantileMillis(step.times, 99)
		name := fmt.Sprintf("%.0f lookups/s: ", rate)
		p.addFigure(PathsThroughput, name+"p50", "ms", quantileMillis(step.times, 50))
		p.addFigure(PathsThroughput, name+"p99", "ms", p99)
		p.addFigure(PathsThroughput, name+"CPU of the entry", "cores", step.cores)
		for _, outcome := range slices.Sorted(maps.Keys(step.outcomes)) {
			p.addFigure(PathsThroughput, name+"answered "+outcome, "", float64(step.outcomes[outcome]))
		}
		if len(step.outcomes) > 1 || step.outcomes[OutcomeOK] == 0 ||
			p99 > float64(throughputMaxP99.Milliseconds()) || ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// rateStep is the result of the lookups at one rate.
type rateStep struct {
	times    histogram
	outcomes map[string]int
	cores    float64 // CPU seconds of the entry per second
}

// runRateStep sends lookups at a fixed rate in an open loop. Latencies are measured from the scheduled times.
func (p *pathsRun) runRateStep(ctx context.Context, rate float64) (rateStep, error) {
	step := rateStep{times: newHistogram(), outcomes: make(map[string]int)}
	before, err := p.readMetric(ctx, p.options.Entries[0], "process_cpu_seconds_total")
	if err != nil {
		return step, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for n := range int(rate * throughputStepDuration.Seconds()) {
		scheduled := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if !sleepUntil(ctx, scheduled) {
			break
		}
		wg.Go(func() {
			result := p.sendCall(ctx, p.entryClient, 0, http.MethodGet,
				"/services/"+p.options.Service+"/stock/item-"+strconv.Itoa(n%100), "")
			mu.Lock()
			defer mu.Unlock()
			step.outcomes[result.Outcome]++
			_ = step.times.record(time.Since(scheduled)) // cannot fail: record clamps values to the range of the histogram
		})
	}
	wg.Wait()
	after, err := p.readMetric(ctx, p.options.Entries[0], "process_cpu_seconds_total")
	step.cores = (after - before) / time.Since(start).Seconds()
	return step, err
}

func (p *pathsRun) get(ctx context.Context, url string) ([]byte, error) {
	return p.do(ctx, http.MethodGet, url, "")
}

func (p *pathsRun) putFaults(ctx context.Context, faults string) error {
	_, err := p.do(ctx, http.MethodPut, p.options.Standin+standin.PathFaults, faults)
	return err
}

func (p *pathsRun) do(ctx context.Context, method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, countersTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := p.standinClient.HTTP.Do(req)
	if err != nil {
		return nil, errors.Wrap(err, url)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode >= 300 {
		err = errors.Errorf("status %d: %s", resp.StatusCode, data)
	}
	return data, errors.Wrap(err, url)
}

func (p *pathsRun) getJSON(ctx context.Context, url string, result any) error {
	data, err := p.get(ctx, url)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, result), url)
}

func (p *pathsRun) endpoints(ctx context.Context) (endpoints []standin.EndpointInfo, err error) {
	err = p.getJSON(ctx, p.options.Standin+standin.PathEndpoints, &endpoints)
	return endpoints, err
}

func (p *pathsRun) plainEndpoint(ctx context.Context) (string, error) {
	endpoints, err := p.endpoints(ctx)
	if err != nil {
		return "", err
	}
	for _, e := range endpoints {
		if e.Kind == fleet.KindPlain {
			return e.Name, nil
		}
	}
	return "", errors.New("no stand-in is an endpoint of a plain service")
}

func (p *pathsRun) tableCounts(ctx context.Context) (map[string]standin.TableCount, error) {
	var counts standin.Counts
	if err := p.getJSON(ctx, p.options.Standin+standin.PathCounters, &counts); err != nil {
		return nil, err
	}
	byPrefix := make(map[string]standin.TableCount)
	for _, c := range counts.Table {
		byPrefix[c.Prefix] = c
	}
	return byPrefix, nil
}

// incarnations returns the incarnation of each engine by name; it is empty for an engine that does not report.
func (p *pathsRun) incarnations(ctx context.Context) (map[string]string, error) {
	endpoints, err := p.endpoints(ctx)
	if err != nil {
		return nil, err
	}
	byName := make(map[string]string)
	for _, e := range endpoints {
		if e.Kind != fleet.KindModel {
			continue
		}
		var report struct {
			Incarnation string `json:"incarnation"`
		}
		if err := p.getJSON(ctx, p.options.Standin+standin.PathEngine+e.Name+"/v1/report", &report); err == nil {
			byName[e.Name] = report.Incarnation
		} else {
			byName[e.Name] = ""
		}
	}
	return byName, nil
}

// readMetric returns the value of a metric without labels, read from base.
func (p *pathsRun) readMetric(ctx context.Context, base, name string) (float64, error) {
	data, err := p.get(ctx, base+"/metrics")
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			n, err := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return n, errors.Wrap(err, name)
		}
	}
	return 0, errors.Errorf("no metric %s at %s", name, base)
}
