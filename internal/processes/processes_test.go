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

const minProgress = 3 // chats and orders that must finish between two faults

// Guards against double executions, false not_run answers and answers that end without a definite outcome when agents,
// entries and endpoints are killed during streams and orders.
func TestKilledProcesses(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(minProgress)

	f.agents["model-01"].kill()
	traffic.awaitProgress(minProgress)
	f.agents["model-01"].start()

	f.agents["order-01"].kill()
	traffic.awaitProgress(minProgress)
	f.agents["order-01"].start()

	outageStart := time.Now()
	f.entries[1].kill()
	traffic.awaitProgress(minProgress)
	f.entries[1].start()
	f.awaitStatus("entry", f.entryURLs[1]+"/readyz", http.StatusOK)
	killed := outage{entry: 1, from: outageStart, to: time.Now()}

	f.setFaults(`{"engine_crash":"model-02"}`)
	traffic.awaitProgress(minProgress)
	f.setFaults(`{"engine_crash":"order-02"}`)
	traffic.awaitProgress(minProgress)
	traffic.stopAndWait()

	traffic.checkExecutions()
	traffic.checkDefiniteOutcomes(killed)
}

// Guards against a second execution of an order whose agent is paused after it started the call, and against the loss of
// the outcome when the agent continues.
func TestPausedAgentOwnsStartedOrder(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	f.setFaults(`{"slow_calls_ms":1500}`)
	const key = "paused-agent"
	firstOutcome := make(chan outcome, 1)
	go func() { firstOutcome <- f.order(0, key) }()
	owner := f.awaitExecution(key)
	f.agents[owner].signal(syscall.SIGSTOP)
	f.setFaults(`{"slow_calls_ms":0}`)
	repeated := f.order(1, key)
	assert.NotEqual(t, load.OutcomeOK, repeated.Outcome, "no outcome is recorded yet")
	assert.NotEqual(t, errkind.NotRun, repeated.RunState, "the order was executed")
	f.agents[owner].signal(syscall.SIGCONT)
	firstResult := <-firstOutcome
	if firstResult.Outcome != load.OutcomeOK {
		assert.NotEqual(t, errkind.NotRun, firstResult.RunState, "the order was executed")
	}
	f.eventually("recorded outcome", func() bool { return f.order(1, key).Outcome == load.OutcomeOK })
	require.Equal(t, 1, f.executionsByKey()[key])
}

// Guards against double executions when an entry is paused with orders in flight, the callers retry them at the other
// entry, and the paused entry continues.
func TestPausedEntry(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(minProgress)
	outageStart := time.Now()
	f.entries[0].signal(syscall.SIGSTOP)
	time.Sleep(5 * time.Second) // longer than the freshness bound and the silence timeout of a stream
	f.entries[0].signal(syscall.SIGCONT)
	f.awaitStatus("entry", f.entryURLs[0]+"/readyz", http.StatusOK)
	traffic.awaitProgress(minProgress)
	paused := outage{entry: 0, from: outageStart, to: time.Now()}
	traffic.stopAndWait()
	traffic.checkExecutions()
	traffic.checkDefiniteOutcomes(paused)
}

// rollingRestart restarts every entry and agent, one after the other, as an operator does.
func (f *fleet) rollingRestart() {
	f.t.Helper()
	for i, p := range f.entries {
		f.restart(p)
		f.awaitStatus(p.name, f.entryURLs[i]+"/readyz", http.StatusOK)
	}
	for endpoint, p := range f.agents {
		f.restart(p)
		f.awaitStatus(p.name, "http://"+f.internalAddrs["agent-"+endpoint]+"/readyz", http.StatusOK)
	}
}

func (f *fleet) restart(p *process) {
	f.t.Helper()
	p.signal(syscall.SIGTERM)
	require.NoError(f.t, p.awaitExit(stopTimeout), "%s must exit cleanly", p.name)
	p.start()
}

// Guards against requests that fail or are cut off when a process is stopped as planned.
func TestRollingRestartCutsOffNothing(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(minProgress)
	f.rollingRestart()
	traffic.awaitProgress(minProgress)
	traffic.stopAndWait()
	traffic.checkAllSucceeded(true)
	traffic.checkExecutions()
}

// Guards against three failures during an outage of the table: chats and lookups that need the table, orders that are
// executed without it or answered with a false not_run, and processes that cannot restart although they have no outcome
// left to record.
func TestTableOutage(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	traffic := startTraffic(f)
	traffic.awaitProgress(minProgress)
	traffic.withoutOrdersInFlight(func() { f.setFaults(`{"table_down":true}`) })
	traffic.awaitProgress(minProgress)
	f.rollingRestart()
	f.agents["model-03"].kill()
	f.agents["model-03"].start()
	f.setFaults(`{"engine_crash":"model-04"}`)
	traffic.awaitProgress(minProgress)
	traffic.stopAndWait()
	traffic.checkAllSucceeded(false)
	traffic.checkDefiniteOutcomes()

	f.setFaults(`{"table_down":false}`)
	for key := range traffic.orders {
		f.eventually("outcome of "+key, func() bool {
			o := f.order(0, key)
			traffic.orders[key] = append(traffic.orders[key], o)
			return o.Outcome == load.OutcomeOK
		})
	}
	traffic.checkExecutions()
}

// Guards against the loss of an order's outcome when its agent is stopped during an outage of the table. The agent must not
// exit before the outcome is recorded.
func TestStopWaitsForUnrecordedOutcome(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	f.setFaults(`{"slow_calls_ms":1000}`)
	const key = "stop-in-outage"
	firstOutcome := make(chan outcome, 1)
	go func() { firstOutcome <- f.order(0, key) }()
	owner := f.awaitExecution(key)
	f.setFaults(`{"table_down":true,"slow_calls_ms":0}`)
	f.agents[owner].signal(syscall.SIGTERM)
	firstResult := <-firstOutcome
	assert.NotEqual(t, errkind.NotRun, firstResult.RunState, "the order was executed")
	select {
	case <-f.agents[owner].exited:
		require.FailNow(t, "the agent exited before the outcome was recorded")
	case <-time.After(2 * time.Second): // the call itself takes 1 s
	}
	f.setFaults(`{"table_down":false}`)
	require.NoError(t, f.agents[owner].awaitExit(stopTimeout))
	f.eventually("recorded outcome", func() bool { return f.order(1, key).Outcome == load.OutcomeOK })
	require.Equal(t, 1, f.executionsByKey()[key])
}

// awaitExecution waits until an order is executed and returns its endpoint.
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

// Guards against more than two table writes or any table read per order in a fleet without faults, and against more than
// two endpoints lost to one crashing prompt that is retried through both entries.
func TestPathTargets(t *testing.T) {
	t.Parallel()
	f := startFleet(t, fleetOptions{})
	figures, err := load.RunPaths(t.Context(), load.PathsOptions{Entries: f.entryURLs, Standin: f.standinURL, Key: callerKey,
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
	assert.Positive(t, values["engines lost"], "the prompt crashed no endpoint, so the fault had no effect")
}
