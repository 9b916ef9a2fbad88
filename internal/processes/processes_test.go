package processes

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/load"
)

const steady = 3 // chats and orders between two faults

// Guards against double executions, false not_run answers and unclear ends of answers when agents, entries and
// endpoints are killed while streams and orders run.
func TestKilledProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(steady)

	f.agents["model-01"].kill()
	traffic.awaitProgress(steady)
	f.agents["model-01"].start()

	f.agents["order-01"].kill()
	traffic.awaitProgress(steady)
	f.agents["order-01"].start()

	from := time.Now()
	f.entries[1].kill()
	traffic.awaitProgress(steady)
	f.entries[1].start()
	f.await("entry", f.callers[1]+"/readyz", http.StatusOK)
	killed := outage{entry: 1, from: from, to: time.Now()}

	f.faults(`{"engine_crash":"model-02"}`)
	traffic.awaitProgress(steady)
	f.faults(`{"engine_crash":"order-02"}`)
	traffic.awaitProgress(steady)
	traffic.end()

	traffic.checkOnce()
	traffic.checkClear(killed)
}

// Guards against a second execution of an order whose agent is paused after it started the call, and against a lost
// outcome when it wakes.
func TestPausedAgentOwnsStartedOrder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	f.faults(`{"slow_calls_ms":1500}`)
	const key = "paused-agent"
	first := make(chan outcome, 1)
	go func() { first <- f.order(0, key) }()
	owner := f.awaitExecution(key)
	f.agents[owner].signal(syscall.SIGSTOP)
	f.faults(`{"slow_calls_ms":0}`)
	repeat := f.order(1, key)
	assert.NotEqual(t, load.OutcomeOK, repeat.Outcome, "no outcome is recorded yet")
	assert.NotEqual(t, errkind.NotRun, repeat.Run, "the order was executed")
	f.agents[owner].signal(syscall.SIGCONT)
	answer := <-first
	if answer.Outcome != load.OutcomeOK {
		assert.NotEqual(t, errkind.NotRun, answer.Run, "the order was executed")
	}
	f.eventually("recorded outcome", func() bool { return f.order(1, key).Outcome == load.OutcomeOK })
	require.Equal(t, 1, f.executions()[key])
}

// Guards against double executions when an entry is paused with orders in flight, the callers repeat them at the other
// entry, and the paused entry wakes and goes on.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(steady)
	from := time.Now()
	f.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second) // longer than the freshness bound and the silence after which a stream is resumed
	f.entries[0].signal(syscall.SIGCONT)
	f.await("entry", f.callers[0]+"/readyz", http.StatusOK)
	traffic.awaitProgress(steady)
	paused := outage{entry: 0, from: from, to: time.Now()}
	traffic.end()
	traffic.checkOnce()
	traffic.checkClear(paused)
}

// roll restarts every process, one after the other, as an operator does.
func (f *fleet) roll() {
	f.t.Helper()
	for i, p := range f.entries {
		f.restart(p)
		f.await(p.name, f.callers[i]+"/readyz", http.StatusOK)
	}
	for endpoint, p := range f.agents {
		f.restart(p)
		f.await(p.name, "http://"+f.internal["agent-"+endpoint]+"/readyz", http.StatusOK)
	}
}

func (f *fleet) restart(p *process) {
	f.t.Helper()
	p.signal(syscall.SIGTERM)
	require.NoError(f.t, p.wait(stopWait), "%s must stop cleanly", p.name)
	p.start()
}

// Guards against requests that a planned stop of a process cuts off or fails.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(steady)
	f.roll()
	traffic.awaitProgress(steady)
	traffic.end()
	traffic.checkNoneCutOff(true)
	traffic.checkOnce()
}

// Guards against chats and lookups that need the table, against orders that run without it or whose refusal is false,
// and against processes that cannot be restarted during its outage although they owe the table nothing.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(steady)
	traffic.betweenOrders(func() { f.faults(`{"table_down":true}`) })
	traffic.awaitProgress(steady)
	f.roll()
	f.agents["model-03"].kill()
	f.agents["model-03"].start()
	f.faults(`{"engine_crash":"model-04"}`)
	traffic.awaitProgress(steady)
	traffic.end()
	traffic.checkNoneCutOff(false)
	traffic.checkClear()

	f.faults(`{"table_down":false}`)
	for key := range traffic.orders {
		f.eventually("outcome of "+key, func() bool {
			o := f.order(0, key)
			traffic.orders[key] = append(traffic.orders[key], o)
			return o.Outcome == load.OutcomeOK
		})
	}
	traffic.checkOnce()
}

// Guards against the loss of an order's outcome when its agent is stopped during an outage of the table: the stop waits
// until the outcome is recorded.
func TestStopWaitsForUnrecordedOutcome(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	f.faults(`{"slow_calls_ms":1000}`)
	const key = "stop-in-outage"
	first := make(chan outcome, 1)
	go func() { first <- f.order(0, key) }()
	owner := f.awaitExecution(key)
	f.faults(`{"table_down":true,"slow_calls_ms":0}`)
	f.agents[owner].signal(syscall.SIGTERM)
	answer := <-first
	assert.NotEqual(t, errkind.NotRun, answer.Run, "the order was executed")
	select {
	case <-f.agents[owner].end:
		require.FailNow(t, "the agent stopped although the outcome is not recorded")
	case <-time.After(2 * time.Second): // the call itself takes 1 s
	}
	f.faults(`{"table_down":false}`)
	require.NoError(t, f.agents[owner].wait(stopWait))
	f.eventually("recorded outcome", func() bool { return f.order(1, key).Outcome == load.OutcomeOK })
	require.Equal(t, 1, f.executions()[key])
}

// awaitExecution returns the endpoint that executes the order.
func (f *fleet) awaitExecution(key string) (endpoint string) {
	f.t.Helper()
	f.eventually("start of the order", func() bool {
		for _, call := range f.counts().Calls {
			if call.Key == key {
				endpoint = call.Endpoint
			}
		}
		return endpoint != ""
	})
	return endpoint
}

// Guards the targets of a quiet fleet: two table writes and no read per order, and at most two endpoints lost to one
// crashing prompt that is repeated through both entries.
func TestPathTargets(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	figures, err := load.RunPaths(t.Context(), load.PathsOptions{Entries: f.callers, Standin: f.standin, Key: callerKey,
		Service: "orders", Model: "chat", Seed: 1, Samples: 50}, []string{load.PathsLatency, load.PathsCrash})
	require.NoError(t, err)
	values := make(map[string]float64)
	for _, figure := range figures {
		values[figure.Name] = figure.Value
	}
	require.Contains(t, values, "table reads per order")
	assert.InDelta(t, 2, values["table writes per order"], 0.001)
	assert.Zero(t, values["table reads per order"])
	require.Contains(t, values, "engines lost")
	assert.LessOrEqual(t, values["engines lost"], 2.0)
	assert.Positive(t, values["engines lost"], "the prompt crashed nothing, so the fault had no effect")
}
