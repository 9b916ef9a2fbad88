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
	callerDeadline = 15 * time.Second
	callerPatience = 20 * time.Second
	answerTokens   = 200 // half a second at the time scale of the tests
	keyTries       = 6   // calls under one key until its outcome is known
	keyPause       = 300 * time.Millisecond
)

// outcome is what a caller saw of one request.
type outcome struct {
	load.Result
	key        string
	entry      int
	start, end time.Time
}

func (f *fleet) send(entry int, a load.Arrival, body string) outcome {
	sender := load.Client{HTTP: f.client, Entries: f.callers, DeadlineScale: 1}
	a.Entry = uint64(entry)
	a.Workspace = &load.Workspace{Key: callerKey}
	a.Traffic.Deadline = load.Duration(callerDeadline)
	ctx, cancel := context.WithTimeout(context.Background(), callerPatience)
	defer cancel()
	start := time.Now()
	result := sender.Send(ctx, &a, []byte(body))
	result.Gaps = nil // too long for the message of a failed test
	return outcome{Result: result, key: a.Key, entry: entry, start: start, end: time.Now()}
}

// chat sends a streamed chat.
func (f *fleet) chat(entry int, prompt string, tokens int) outcome {
	body := fmt.Sprintf(`{"model":"chat","stream":true,"stream_options":{"include_usage":true},"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, tokens, prompt)
	return f.send(entry, load.Arrival{Traffic: &load.Traffic{Kind: load.KindChat}}, body)
}

// call sends one call of the service orders; a key is sent if it is not empty.
func (f *fleet) call(entry int, method, path, key string) outcome {
	body := ""
	if method == http.MethodPost {
		body = `{"item":"hose"}`
	}
	return f.send(entry, load.Arrival{Key: key, Traffic: &load.Traffic{Kind: load.KindCall, Method: method, Path: "/services/orders" + path}}, body)
}

func (f *fleet) order(entry int, key string) outcome {
	return f.call(entry, http.MethodPost, "/orders", key)
}

// traffic is load that runs beside the faults of a test.
type traffic struct {
	f       *fleet
	ready   []atomic.Bool // by entry, as a load balancer sees it
	stop    chan struct{}
	wg      sync.WaitGroup
	mu      sync.Mutex
	chats   []outcome
	lookups []outcome
	orders  map[string][]outcome

	orderGate sync.RWMutex // held for reading during an order
}

// startTraffic starts callers of chats, lookups and orders. They use the entries whose /readyz succeeds.
func startTraffic(f *fleet) *traffic {
	t := &traffic{f: f, ready: make([]atomic.Bool, len(f.callers)), stop: make(chan struct{}), orders: make(map[string][]outcome)}
	for i := range f.callers {
		t.ready[i].Store(true)
		t.wg.Go(func() { t.probe(i) })
	}
	for i := range 4 {
		t.wg.Go(func() { t.loop(i, t.oneChat) })
	}
	for i := range 2 {
		t.wg.Go(func() { t.loop(i, t.oneLookup) })
		t.wg.Go(func() { t.loop(i, t.oneOrder) })
	}
	return t
}

func (t *traffic) end() {
	close(t.stop)
	t.wg.Wait()
}

// betweenOrders runs do while no order is in flight.
func (t *traffic) betweenOrders(do func()) {
	t.orderGate.Lock()
	defer t.orderGate.Unlock()
	do()
}

func (t *traffic) stopped() bool {
	select {
	case <-t.stop:
		return true
	default:
		return false
	}
}

// probe is the health check of a load balancer.
func (t *traffic) probe(entry int) {
	client := http.Client{Timeout: time.Second}
	for ; !t.stopped(); time.Sleep(pollEvery) {
		resp, err := client.Get(t.f.callers[entry] + "/readyz")
		t.ready[entry].Store(err == nil && resp.StatusCode == http.StatusOK)
		if err == nil {
			_ = resp.Body.Close()
		}
	}
}

// entry returns the preferred entry, or the next that is ready.
func (t *traffic) entry(preferred int) int {
	for i := range t.ready {
		if e := (preferred + i) % len(t.ready); t.ready[e].Load() {
			return e
		}
	}
	return preferred % len(t.ready)
}

func (t *traffic) loop(worker int, one func(worker, n int)) {
	for n := 0; !t.stopped(); n++ {
		one(worker, n)
		time.Sleep(pollEvery)
	}
}

func (t *traffic) oneChat(worker, n int) {
	prompt := fmt.Sprintf("Caller %d asks question %d. %s", worker, n, strings.Repeat("hose ", 200))
	o := t.f.chat(t.entry(worker+n), prompt, answerTokens)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.chats = append(t.chats, o)
}

func (t *traffic) oneLookup(worker, n int) {
	o := t.f.call(t.entry(worker+n), http.MethodGet, fmt.Sprintf("/stock/item-%d", n%10), "")
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lookups = append(t.lookups, o)
}

// oneOrder repeats an order under its key, each time at the next entry, until it succeeds.
func (t *traffic) oneOrder(worker, n int) {
	key := fmt.Sprintf("%s-%d-%d", t.f.prefix, worker, n)
	for try := range keyTries {
		t.orderGate.RLock()
		o := t.f.order(t.entry(worker+n+try), key)
		t.orderGate.RUnlock()
		t.mu.Lock()
		t.orders[key] = append(t.orders[key], o)
		t.mu.Unlock()
		if o.Outcome == load.OutcomeOK {
			return
		}
		time.Sleep(keyPause)
	}
}

// count returns the number of finished chats and of orders.
func (t *traffic) count() (chats, orders int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.chats), len(t.orders)
}

// awaitProgress waits until n more chats and n more orders have ended or begun.
func (t *traffic) awaitProgress(n int) {
	chats, orders := t.count()
	t.f.eventually("progress of the traffic", func() bool {
		c, o := t.count()
		return c >= chats+n && o >= orders+n
	})
}

// checkOnce compares all answers under each key with the executions: at most one, exactly one after a success, none if
// every answer says not_run, and all successful answers alike.
func (t *traffic) checkOnce() {
	executed := t.f.executions()
	for key, answers := range t.orders {
		runs := executed[key]
		assert.LessOrEqual(t.f.t, runs, 1, "executions of %s: %+v", key, answers)
		if slices.ContainsFunc(answers, func(o outcome) bool { return o.Outcome == load.OutcomeOK }) {
			assert.Equal(t.f.t, 1, runs, "%s was answered with success: %+v", key, answers)
		}
		if !slices.ContainsFunc(answers, func(o outcome) bool { return o.Run != errkind.NotRun || o.Outcome == load.OutcomeOK }) {
			assert.Zero(t.f.t, runs, "every answer of %s says not_run: %+v", key, answers)
		}
	}
	require.NotEmpty(t.f.t, t.orders)
}

// outage is a time in which an entry was killed or not started again.
type outage struct {
	entry    int
	from, to time.Time
}

// checkClear requires that each request got a whole answer or an error of the closed list, unless its entry was killed.
func (t *traffic) checkClear(outages ...outage) {
	ordered := slices.Concat(t.chats, t.lookups)
	for _, answers := range t.orders {
		ordered = append(ordered, answers...)
	}
	for _, o := range ordered {
		excused := slices.ContainsFunc(outages, func(x outage) bool {
			return x.entry == o.entry && o.end.After(x.from) && o.start.Before(x.to)
		})
		assert.Empty(t.f.t, o.Fault, "%+v", o)
		if !excused {
			assert.NotContains(t.f.t, []string{load.OutcomeNoAnswer, load.OutcomeTruncated, load.OutcomeMalformed}, o.Outcome,
				"entry %d, %s to %s", o.entry, o.start.Format(time.TimeOnly), o.end.Format(time.TimeOnly))
		}
	}
}

// failed returns the outcomes that are not a success, for the message of a failing test.
func failed(outcomes []outcome) []string {
	var list []string
	for _, o := range outcomes {
		if o.Outcome != load.OutcomeOK {
			list = append(list, fmt.Sprintf("%s %s at entry %d, %s to %s", o.Outcome, o.Run, o.entry,
				o.start.Format("15:04:05.000"), o.end.Format("15:04:05.000")))
		}
	}
	return list
}

// checkNoneCutOff requires that every request of the kinds given succeeded at its first try.
func (t *traffic) checkNoneCutOff(withOrders bool) {
	assert.Empty(t.f.t, failed(t.chats), "chats")
	assert.Empty(t.f.t, failed(t.lookups), "lookups")
	if !withOrders {
		return
	}
	for key, answers := range t.orders {
		assert.Empty(t.f.t, failed(answers), key)
	}
}
