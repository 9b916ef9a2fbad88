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

// Names of the measurements of paths.
const (
	PathsLatency    = "latency"    // added latency of orders and lookups; table calls per request
	PathsSilence    = "silence"    // pause of a stream whose connection goes silent
	PathsCrash      = "crash"      // endpoints lost to a crashing prompt
	PathsRestart    = "restart"    // requests cut off while the operator restarts processes
	PathsThroughput = "throughput" // lookups per second of one entry, and its CPU
)

// Parameters of the measurements.
const (
	pathsDeadline     = 20 * time.Second
	silenceTokens     = 150
	silenceAfter      = 20 // tokens after which connections go silent
	crashRepeats      = 12
	crashPause        = 250 * time.Millisecond
	throughputStep    = 5 * time.Second
	throughputFirst   = 250.0 // lookups per second
	throughputFactor  = 1.4
	throughputLimit   = 50 * time.Millisecond // p99 of lookups at which the rise ends
	restartChats      = 4
	restartCalls      = 2
	restartChatTokens = 100
	restartPause      = 20 * time.Millisecond
	readyPoll         = 50 * time.Millisecond
)

// PathsOptions configure RunPaths.
type PathsOptions struct {
	Entries       []string // base URLs
	Standin       string   // base URL of the stand-ins' controls
	Key           string   // bearer key
	Service       string   // plain service with /stock/* and /orders
	Model         string   // service that answers chats
	Seed          uint64
	Samples       int           // requests of each kind, or streams
	RestartWindow time.Duration // length of the measurement restart
	Salt          string        // part of the idempotency keys
}

// PathFigure is one measured figure.
type PathFigure struct {
	Measurement string  `json:"measurement"`
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	Unit        string  `json:"unit"`
}

// paths is one run against a fleet.
type paths struct {
	o       PathsOptions
	entries *Client
	direct  *Client
	rng     *rand.Rand
	figures []PathFigure
}

// RunPaths takes the measurements in the given order. It changes the faults of the stand-ins, and returns the figures
// up to the first measurement that could not be taken.
func RunPaths(ctx context.Context, o PathsOptions, measurements []string) ([]PathFigure, error) {
	p := &paths{o: o, entries: NewClient(o.Entries, 1), direct: NewClient([]string{o.Standin}, 1), rng: rand.New(rand.NewPCG(o.Seed, 0))}
	take := map[string]func(context.Context) error{PathsLatency: p.latency, PathsSilence: p.silence, PathsCrash: p.crash,
		PathsRestart: p.restart, PathsThroughput: p.throughput}
	for _, name := range measurements {
		if take[name] == nil {
			return p.figures, errors.Errorf("unknown measurement %q", name)
		}
		if err := take[name](ctx); err != nil {
			return p.figures, errors.Wrap(err, name)
		}
	}
	return p.figures, nil
}

func (p *paths) add(measurement, name, unit string, value float64) {
	p.figures = append(p.figures, PathFigure{Measurement: measurement, Name: name, Unit: unit, Value: value})
}

func (p *paths) addQuantiles(measurement, name string, h histogram) {
	for _, q := range []float64{50, 95} {
		p.add(measurement, fmt.Sprintf("%s p%g", name, q), "ms", quantile(h, q))
	}
}

// quantile returns milliseconds.
func quantile(h histogram, percent float64) float64 {
	return float64(h.h.ValueAtQuantile(percent)) / 1000
}

// pathKind is one kind of request of the latency measurement.
type pathKind struct {
	name   string
	client *Client
	method string
	path   string
	keyed  bool
	times  histogram
}

// latency sends orders and lookups one at a time, in random order, through the entries and to a stand-in directly.
func (p *paths) latency(ctx context.Context) error {
	endpoint, err := p.plainEndpoint(ctx)
	if err != nil {
		return err
	}
	via, direct := "/services/"+p.o.Service, "/services/"+endpoint+"/call"
	kinds := []*pathKind{
		{name: "order direct", client: p.direct, method: http.MethodPost, path: direct + "/orders", keyed: true},
		{name: "order through an entry", client: p.entries, method: http.MethodPost, path: via + "/orders", keyed: true},
		{name: "lookup direct", client: p.direct, method: http.MethodGet, path: direct + "/stock/hose"},
		{name: "lookup through an entry", client: p.entries, method: http.MethodGet, path: via + "/stock/hose"},
	}
	before, err := p.tableCalls(ctx)
	if err != nil {
		return err
	}
	if err := p.sendKinds(ctx, kinds); err != nil {
		return err
	}
	after, err := p.tableCalls(ctx)
	if err != nil {
		return err
	}
	for _, k := range kinds {
		p.addQuantiles(PathsLatency, k.name, k.times)
	}
	for i := 0; i < len(kinds); i += 2 {
		name, _, _ := strings.Cut(kinds[i].name, " ")
		for _, q := range []float64{50, 95} {
			p.add(PathsLatency, fmt.Sprintf("added to one %s at p%g", name, q), "ms", quantile(kinds[i+1].times, q)-quantile(kinds[i].times, q))
		}
	}
	orders := float64(p.o.Samples)
	p.add(PathsLatency, "table writes per order", "rows", float64(after["once"].Writes-before["once"].Writes)/orders)
	p.add(PathsLatency, "table reads per order", "rows", float64(after["once"].Reads-before["once"].Reads)/orders)
	return nil
}

func (p *paths) sendKinds(ctx context.Context, kinds []*pathKind) error {
	for _, k := range kinds {
		k.times = newHistogram()
	}
	for n := range p.o.Samples {
		for _, i := range p.rng.Perm(len(kinds)) {
			k := kinds[i]
			key := ""
			if k.keyed {
				key = fmt.Sprintf("paths-%d-%s-%d-%d", p.o.Seed, p.o.Salt, i, n)
			}
			start := time.Now()
			result := p.call(ctx, k.client, n, k.method, k.path, key)
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

func (p *paths) call(ctx context.Context, c *Client, entry int, method, path, key string) Result {
	body := ""
	if method == http.MethodPost {
		body = `{"item":"hose","quantity":1}`
	}
	a := &Arrival{Entry: uint64(entry), Key: key, Workspace: &Workspace{Key: p.o.Key},
		Traffic: &Traffic{Kind: KindCall, Method: method, Path: path, Deadline: Duration(pathsDeadline)}}
	ctx, cancel := context.WithTimeout(ctx, pathsDeadline+DefaultGrace)
	defer cancel()
	return c.Send(ctx, a, []byte(body))
}

// chat sends a streamed chat and runs beside, if given, at the same time.
func (p *paths) chat(ctx context.Context, entry int, prompt string, tokens int, beside func()) Result {
	a := &Arrival{Entry: uint64(entry), Workspace: &Workspace{Key: p.o.Key},
		Traffic: &Traffic{Kind: KindChat, Model: p.o.Model, Deadline: Duration(pathsDeadline)}}
	body, err := json.Marshal(chatRequest{Model: p.o.Model, Messages: []chatMessage{{Role: "user", Content: prompt}},
		MaxTokens: tokens, Stream: true, StreamOptions: &streamOptions{IncludeUsage: true}})
	if err != nil {
		return Result{Outcome: OutcomeMalformed, Run: errkind.NotRun}
	}
	ctx, cancel := context.WithTimeout(ctx, pathsDeadline+DefaultGrace)
	defer cancel()
	if beside != nil {
		var wg sync.WaitGroup
		defer wg.Wait()
		wg.Go(beside)
	}
	return p.entries.Send(ctx, a, body)
}

// silence measures the longest pause of streams whose connections go silent in the middle.
func (p *paths) silence(ctx context.Context) error {
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
	for n := range p.o.Samples {
		var faultErr error
		result := p.chat(ctx, n, fmt.Sprintf("silence %d %d", p.o.Seed, p.rng.Uint64()), silenceTokens, func() {
			time.Sleep(silenceAfter * 10 * time.Millisecond) // an engine needs 10 ms for a token
			faultErr = p.putFaults(ctx, string(fault))
		})
		if faultErr != nil {
			return faultErr
		}
		if result.Outcome != OutcomeOK || result.Fault != "" {
			return errors.Errorf("stream ended with %s %s", result.Outcome, result.Fault)
		}
		if err := pauses.record(slices.Max(result.Gaps)); err != nil {
			return err
		}
	}
	p.add(PathsSilence, "streams, all whole", "", float64(p.o.Samples))
	p.addQuantiles(PathsSilence, "longest pause", pauses)
	p.add(PathsSilence, "longest pause, largest", "ms", float64(pauses.h.Max())/1000)
	return nil
}

// crash repeats a prompt that crashes its engine through all entries and counts the engines that restarted.
func (p *paths) crash(ctx context.Context) error {
	marker := fmt.Sprintf("crashes-%d-%d", p.o.Seed, p.rng.Uint64())
	if err := p.putFaults(ctx, `{"crash_marker":"`+marker+`"}`); err != nil {
		return err
	}
	defer func() { _ = p.putFaults(ctx, `{"crash_marker":""}`) }() // the figures are complete without it
	before, err := p.incarnations(ctx)
	if err != nil {
		return err
	}
	outcomes := make(map[string]int)
	for n := range crashRepeats {
		outcomes[p.chat(ctx, n, "Please read "+marker, 8, nil).Outcome]++
		time.Sleep(crashPause)
	}
	time.Sleep(standin.DefaultRestartTime) // crashed engines report again
	after, err := p.incarnations(ctx)
	if err != nil {
		return err
	}
	lost := 0
	for name, incarnation := range after {
		if before[name] != incarnation {
			lost++
		}
	}
	p.add(PathsCrash, "prompts sent", "", crashRepeats)
	for _, outcome := range slices.Sorted(maps.Keys(outcomes)) {
		p.add(PathsCrash, "answered "+outcome, "", float64(outcomes[outcome]))
	}
	p.add(PathsCrash, "engines lost", "", float64(lost))
	return nil
}

// restart sends chats, lookups and orders in closed loops while the operator restarts processes. Like a load balancer,
// it uses the entries whose /readyz succeeds.
func (p *paths) restart(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, p.o.RestartWindow)
	defer cancel()
	ready := make([]atomic.Bool, len(p.o.Entries))
	var wg sync.WaitGroup
	for i := range ready {
		ready[i].Store(true)
		wg.Go(func() { p.probe(ctx, i, &ready[i]) })
	}
	var mu sync.Mutex
	outcomes := make(map[string]int)
	loop := func(kind string, worker int, send func(entry, n int) Result) {
		for n := 0; ctx.Err() == nil; n++ {
			result := send(firstReady(ready, worker+n), n)
			mu.Lock()
			outcomes[kind+" "+result.Outcome]++
			mu.Unlock()
			time.Sleep(restartPause)
		}
	}
	whole := context.WithoutCancel(ctx) // the end of the window cuts off no request
	for worker := range restartChats {
		wg.Go(func() {
			loop("chats", worker, func(entry, n int) Result {
				return p.chat(whole, entry, fmt.Sprintf("restart %d %d %d", p.o.Seed, worker, n), restartChatTokens, nil)
			})
		})
	}
	for worker := range restartCalls {
		wg.Go(func() {
			loop("lookups", worker, func(entry, n int) Result {
				return p.call(whole, p.entries, entry, http.MethodGet, "/services/"+p.o.Service+"/stock/hose", "")
			})
		})
		wg.Go(func() {
			loop("orders", worker, func(entry, n int) Result {
				key := fmt.Sprintf("restart-%d-%s-%d-%d", p.o.Seed, p.o.Salt, worker, n)
				return p.call(whole, p.entries, entry, http.MethodPost, "/services/"+p.o.Service+"/orders", key)
			})
		})
	}
	wg.Wait()
	failed := 0
	for _, name := range slices.Sorted(maps.Keys(outcomes)) {
		p.add(PathsRestart, name, "", float64(outcomes[name]))
		if !strings.HasSuffix(name, " "+OutcomeOK) {
			failed += outcomes[name]
		}
	}
	p.add(PathsRestart, "requests cut off or failed", "", float64(failed))
	return nil
}

func (p *paths) probe(ctx context.Context, entry int, ready *atomic.Bool) {
	for ctx.Err() == nil {
		_, err := p.get(ctx, p.o.Entries[entry]+"/readyz")
		ready.Store(err == nil)
		time.Sleep(readyPoll)
	}
}

// firstReady returns the preferred entry, or the next one that is ready.
func firstReady(ready []atomic.Bool, preferred int) int {
	for i := range ready {
		if e := (preferred + i) % len(ready); ready[e].Load() {
			return e
		}
	}
	return preferred
}

// throughput raises the rate of lookups at the first entry until p99 exceeds the limit or an error appears.
func (p *paths) throughput(ctx context.Context) error {
	for rate := throughputFirst; ; rate *= throughputFactor {
		step, err := p.lookups(ctx, rate)
		if err != nil {
			return err
		}
		p99 := quantile(step.times, 99)
		name := fmt.Sprintf("%.0f lookups/s: ", rate)
		p.add(PathsThroughput, name+"p50", "ms", quantile(step.times, 50))
		p.add(PathsThroughput, name+"p99", "ms", p99)
		p.add(PathsThroughput, name+"CPU of the entry", "cores", step.cores)
		for _, outcome := range slices.Sorted(maps.Keys(step.outcomes)) {
			p.add(PathsThroughput, name+"answered "+outcome, "", float64(step.outcomes[outcome]))
		}
		if len(step.outcomes) > 1 || step.outcomes[OutcomeOK] == 0 || p99 > float64(throughputLimit.Milliseconds()) || ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// lookupStep is what one rate of lookups gave.
type lookupStep struct {
	times    histogram
	outcomes map[string]int
	cores    float64 // processor time of the entry by second
}

// lookups sends lookups at a fixed rate in an open loop. Latency counts from the scheduled time.
func (p *paths) lookups(ctx context.Context, rate float64) (lookupStep, error) {
	step := lookupStep{times: newHistogram(), outcomes: make(map[string]int)}
	before, err := p.metric(ctx, p.o.Entries[0], "process_cpu_seconds_total")
	if err != nil {
		return step, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for n := range int(rate * throughputStep.Seconds()) {
		scheduled := start.Add(time.Duration(float64(n) / rate * float64(time.Second)))
		if !sleepUntil(ctx, scheduled) {
			break
		}
		wg.Go(func() {
			result := p.call(ctx, p.entries, 0, http.MethodGet, "/services/"+p.o.Service+"/stock/item-"+strconv.Itoa(n%100), "")
			mu.Lock()
			defer mu.Unlock()
			step.outcomes[result.Outcome]++
			_ = step.times.record(time.Since(scheduled)) // values outside the range count as its bound
		})
	}
	wg.Wait()
	after, err := p.metric(ctx, p.o.Entries[0], "process_cpu_seconds_total")
	step.cores = (after - before) / time.Since(start).Seconds()
	return step, err
}

func (p *paths) get(ctx context.Context, url string) ([]byte, error) {
	return p.exchange(ctx, http.MethodGet, url, "")
}

func (p *paths) putFaults(ctx context.Context, faults string) error {
	_, err := p.exchange(ctx, http.MethodPut, p.o.Standin+standin.PathFaults, faults)
	return err
}

func (p *paths) exchange(ctx context.Context, method, url, body string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, countersTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	resp, err := p.direct.HTTP.Do(req)
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

func (p *paths) getJSON(ctx context.Context, url string, into any) error {
	data, err := p.get(ctx, url)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(data, into), url)
}

func (p *paths) endpoints(ctx context.Context) (endpoints []standin.EndpointInfo, err error) {
	err = p.getJSON(ctx, p.o.Standin+standin.PathEndpoints, &endpoints)
	return endpoints, err
}

func (p *paths) plainEndpoint(ctx context.Context) (string, error) {
	endpoints, err := p.endpoints(ctx)
	if err != nil {
		return "", err
	}
	for _, e := range endpoints {
		if e.Kind == fleet.KindPlain {
			return e.Name, nil
		}
	}
	return "", errors.New("the stand-ins have no plain service")
}

func (p *paths) tableCalls(ctx context.Context) (map[string]standin.TableCount, error) {
	var counts standin.Counts
	if err := p.getJSON(ctx, p.o.Standin+standin.PathCounters, &counts); err != nil {
		return nil, err
	}
	byPrefix := make(map[string]standin.TableCount)
	for _, c := range counts.Table {
		byPrefix[c.Prefix] = c
	}
	return byPrefix, nil
}

// incarnations returns the incarnation of each engine; an engine that is down has none.
func (p *paths) incarnations(ctx context.Context) (map[string]string, error) {
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
		if err := p.getJSON(ctx, p.o.Standin+standin.PathEngine+e.Name+"/v1/report", &report); err == nil {
			byName[e.Name] = report.Incarnation
		} else {
			byName[e.Name] = ""
		}
	}
	return byName, nil
}

// metric returns the value of a metric without labels.
func (p *paths) metric(ctx context.Context, base, name string) (float64, error) {
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
