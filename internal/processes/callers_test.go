package processes

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/load"
)

const (
	requestDeadline  = 15 * time.Second
	clientTimeout    = 20 * time.Second
	answerTokens     = 200 // take about 0.5 s at timeScale
	maxOrderAttempts = 6   // attempts per idempotency key to learn the outcome
	orderRetryDelay  = 300 * time.Millisecond
)

// outcome is the result of one request as its caller saw it.
type outcome struct {
	load.Result
	key        string
	entry      int
	start, end time.Time
}

func (f *fleet) send(entry int, arrival load.Arrival, body string) outcome {
	client := load.Client{HTTP: f.client, Entries: f.entryURLs, DeadlineScale: 1}
	arrival.EntryIndex = uint64(entry)
	arrival.Workspace = &load.Workspace{Key: callerKey}
	arrival.Traffic.Deadline = load.Duration(requestDeadline)
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	start := time.Now()
	result := client.Send(ctx, &arrival, []byte(body))
	result.TokenGaps = nil // too long for the message of a failing test
	return outcome{Result: result, key: arrival.Key, entry: entry, start: start, end: time.Now()}
}

// chat sends a streaming chat request.
func (f *fleet) chat(entry int, prompt string, tokens int) outcome {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		tokens, prompt)
	return f.send(entry, load.Arrival{Traffic: &load.Traffic{Kind: load.KindChat}}, body)
}

// call sends a call to the service orders, with an idempotency key unless key is empty.
func (f *fleet) call(entry int, method, path, key string) outcome {
	body := ""
	if method == http.MethodPost {
		body = `{"item":"hose"}`
	}
	return f.send(entry, load.Arrival{Key: key,
		Traffic: &load.Traffic{Kind: load.KindCall, Method: method, Path: "/services/orders" + path}}, body)
}

func (f *fleet) order(entry int, key string) outcome {
	return f.call(entry, http.MethodPost, "/orders", key)
}

// traffic sends requests while a test injects faults.
type traffic struct {
	fleet   *fleet
	ready   []atomic.Bool // by entry, from the last readiness probe
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	chats   []outcome
	lookups []outcome
	orders  map[string][]outcome

	orderLock sync.RWMutex // read-locked while an order is in flight
}

// startTraffic starts workers that send chats, lookups and orders to the entries whose /readyz succeeds.
func startTraffic(f *fleet) *traffic {
	t := &traffic{fleet: f, ready: make([]atomic.Bool, len(f.entryURLs)), stop: make(chan struct{}),
		orders: make(map[string][]outcome)}
	for i := range f.entryURLs {
		t.ready[i].Store(true)
		t.wg.Go(func() { t.probeReadiness(i) })
	}
	for i := range 4 {
		t.wg.Go(func() { t.runWorker(i, t.sendChat) })
	}
	for i := range 2 {
		t.wg.Go(func() { t.runWorker(i, t.sendLookup) })
		t.wg.Go(func() { t.runWorker(i, t.sendOrder) })
	}
	return t
}

func (t *traffic) stopAndWait() {
	close(t.stop)
	t.wg.Wait()
}

// withoutOrdersInFlight runs action while no order is in flight.
func (t *traffic) withoutOrdersInFlight(action func()) {
	t.orderLock.Lock()
	defer t.orderLock.Unlock()
	action()
}

func (t *traffic) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// probeReadiness polls an entry's /readyz as a load balancer does.
func (t *traffic) probeReadiness(entry int) {
	client := http.Client{Timeout: time.Second}
	for ; !t.stopped(); time.Sleep(pollInterval) {
		resp, err := client.Get(t.fleet.entryURLs[entry] + "/readyz")
		t.ready[entry].Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// readyEntry returns the first ready entry from preferred on, or preferred if none is ready.
func (t *traffic) readyEntry(preferred int) int {
	for i := range t.ready {
		if e := (preferred + i) % len(t.ready); t.ready[e].Load() {
			return e
		}
	}
	return preferred % len(t.ready)
}

func (t *traffic) runWorker(worker int, send func(worker, n int)) {
	for n := 0; !t.stopped(); n++ {
		send(worker, n)
		time.Sleep(pollInterval)
	}
}

func (t *traffic) sendChat(worker, n int) {
	prompt := fmt.Sprintf("Caller %d asks question %d. %s", worker, n, strings.Repeat("hose ", 200))
	o := t.fleet.chat(t.readyEntry(worker+n), prompt, answerTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chats = append(t.chats, o)
}

func (t *traffic) sendLookup(worker, n int) {
	o := t.fleet.call(t.readyEntry(worker+n), http.MethodGet, fmt.Sprintf("/stock/item-%d", n%10), "")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookups = append(t.lookups, o)
}

// sendOrder sends an order and retries it with the same idempotency key, at the next entry each time, until it succeeds.
func (t *traffic) sendOrder(worker, n int) {
	key := fmt.Sprintf("%s-%d-%d", t.fleet.keyPrefix, worker, n)
	for attempt := range maxOrderAttempts {
		t.orderLock.RLock()
		o := t.fleet.order(t.readyEntry(worker+n+attempt), key)
		t.orderLock.RUnlock()
		t.mu.Lock()
		t.orders[key] = append(t.orders[key], o)
		t.mu.Unlock()
		if o.Outcome == load.OutcomeOK {
			return
		}
		time.Sleep(orderRetryDelay)
	}
}

// progress returns the number of finished chats and the number of orders with a finished attempt.
func (t *traffic) progress() (chats, orders int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.chats), len(t.orders)
}

// awaitProgress waits until n more chats are finished and n more orders have a finished attempt.
func (t *traffic) awaitProgress(n int) {
	chats, orders := t.progress()
	t.fleet.eventually("progress of the traffic", func() bool {
		currentChats, currentOrders := t.progress()
		return currentChats >= chats+n && currentOrders >= orders+n
	})
}

// checkExecutions compares the executions of each idempotency key with the answers that its callers got: at most one
// execution, exactly one if an answer was a success, and none if every answer says not_run.
func (t *traffic) checkExecutions() {
	executed := t.fleet.executionsByKey()
	for key, answers := range t.orders {
		runs := executed[key]
		assert.LessOrEqual(t.fleet.t, runs, 1, "executions of %s: %+v", key, answers)
		if slices.ContainsFunc(answers, func(o outcome) bool { return o.Outcome == load.OutcomeOK }) {
			assert.Equal(t.fleet.t, 1, runs, "%s was answered with success: %+v", key, answers)
		}
		if !slices.ContainsFunc(answers, func(o outcome) bool { return o.RunState != errkind.NotRun || o.Outcome == load.OutcomeOK }) {
			assert.Zero(t.fleet.t, runs, "every answer of %s says not_run: %+v", key, answers)
		}
	}
	require.NotEmpty(t.fleet.t, t.orders)
}

// outage is a period in which an entry was killed or paused, until it was ready again.
type outage struct {
	entry    int
	from, to time.Time
}

// checkDefiniteOutcomes requires that each request got a complete answer or a documented error, unless its entry had an
// outage meanwhile.
func (t *traffic) checkDefiniteOutcomes(outages ...outage) {
	outcomes := slices.Concat(t.chats, t.lookups)
	for _, answers := range t.orders {
		outcomes = append(outcomes, answers...)
	}
	for _, o := range outcomes {
		inOutage := slices.ContainsFunc(outages, func(x outage) bool {
			return x.entry == o.entry && o.end.After(x.from) && o.start.Before(x.to)
		})
		assert.Empty(t.fleet.t, o.Fault, "%+v", o)
		if !inOutage {
			assert.NotContains(t.fleet.t, []string{load.OutcomeNoAnswer, load.OutcomeTruncated, load.OutcomeMalformed}, o.Outcome,
				"entry %d, %s to %s", o.entry, o.start.Format(time.TimeOnly), o.end.Format(time.TimeOnly))
		}
	}
}

// describeFailures describes the outcomes that are not a success, for the message of a failing test.
func describeFailures(outcomes []outcome) []string {
	var list []string
	for _, o := range outcomes {
		if o.Outcome != load.OutcomeOK {
			list = append(list, fmt.Sprintf("%s %s at entry %d, %s to %s", o.Outcome, o.RunState, o.entry,
				o.start.Format("15:04:05.000"), o.end.Format("15:04:05.000")))
		}
	}
	return list
}

// checkAllSucceeded requires that every chat and lookup succeeded, and every order at its first attempt if withOrders is set.
func (t *traffic) checkAllSucceeded(withOrders bool) {
	assert.Empty(t.fleet.t, describeFailures(t.chats), "chats")
	assert.Empty(t.fleet.t, describeFailures(t.lookups), "lookups")
	if !withOrders {
		return
	}
	for key, answers := range t.orders {
		assert.Empty(t.fleet.t, describeFailures(answers), key)
	}
}
