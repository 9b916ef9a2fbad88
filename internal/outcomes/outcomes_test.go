package outcomes

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/internal/agent"
	"github.com/bilberrylink/bilberrylink/internal/entry"
)

// checkResults compares the executions at the endpoints with the results that callers received.
func (sim *simulation) checkResults() {
	sim.checkIdle()
	executionsByPath := make(map[string]int)
	for _, call := range sim.platform.Counters().Snapshot().Calls {
		executionsByPath[call.Path] += call.Executions
	}
	sim.mu.Lock()
	requests := sim.requests
	sim.mu.Unlock()
	for id, rec := range requests {
		executions := len(sim.executions[rec.promptOrPath])
		switch {
		case rec.idempotencyKey != "":
			executions = sim.platform.Counters().Executions(rec.idempotencyKey)
			sim.checkIdempotencyKey(rec, executions)
		case strings.HasPrefix(rec.promptOrPath, "/stock/"):
			executions = executionsByPath[rec.promptOrPath]
		}
		if executions > 0 && len(rec.results) > 0 &&
			!slices.ContainsFunc(rec.results, func(result *requestResult) bool { return result.runState != errkind.NotRun }) {
			sim.addViolation("request %s %s%s was answered not_run and executed %d times: %s",
				id, rec.idempotencyKey, rec.promptOrPath[:min(len(rec.promptOrPath), 20)], executions, rec)
		}
		sim.checkLeavingEndpoints(id, rec)
	}
	if len(sim.faultKinds) > 0 &&
		!slices.ContainsFunc(sim.faultKinds, func(kind string) bool { return !slices.Contains(hiddenFaultKinds, kind) }) {
		sim.checkHiddenFaults()
	}
	for prompt, endpoints := range sim.platform.Counters().Crashes() {
		slices.Sort(endpoints)
		if crashed := slices.Compact(endpoints); len(crashed) > 2 {
			sim.addViolation("prompt %.40q crashed %d endpoints: %v", prompt, len(crashed), crashed)
		}
	}
}

// String lists the results in the order in which they ended.
func (rec *requestRecord) String() string {
	var b strings.Builder
	for _, result := range rec.results {
		_, _ = fmt.Fprintf(&b, "[%s %s to %s: %s %s] ",
			result.entry.name, result.startedAt.Format("05.000"), result.endedAt.Format("05.000"), result.label(), result.body)
	}
	return b.String()
}

// checkIdempotencyKey verifies that a key was executed at most once and that its successful results are all the same and
// follow an execution.
func (sim *simulation) checkIdempotencyKey(rec *requestRecord, executions int) {
	if executions > 1 {
		sim.addViolation("key %s was executed %d times", rec.idempotencyKey, executions)
	}
	body := ""
	for _, result := range rec.results {
		if !result.succeeded() || result.callerDisconnected {
			continue
		}
		if body == "" {
			body = result.body
		}
		if result.body != body || executions == 0 {
			sim.addViolation("key %s, executed %d times, received the answers %s and %s",
				rec.idempotencyKey, executions, body, result.body)
		}
	}
}

// checkHiddenFaults verifies that no request failed after it may have run. Exceptions are requests that exceeded a
// deadline shorter than chatTimeout, requests whose caller disconnected, and repeated calls while the first one with the key
// was in progress.
func (sim *simulation) checkHiddenFaults() {
	timedOutOrLeft := func(result *requestResult) bool {
		return result.callerDisconnected || result.errorKind == errkind.DeadlineExceeded && result.timeout < chatTimeout
	}
	for id, rec := range sim.requests {
		failed := func(result *requestResult) bool {
			return result.errorKind != "" && result.runState != errkind.NotRun && result.errorKind != errkind.KeyInProgress
		}
		if slices.ContainsFunc(rec.results, failed) && !slices.ContainsFunc(rec.results, timedOutOrLeft) {
			sim.addViolation("request %s failed although all injected faults must be hidden from callers: %s", id, rec)
		}
	}
}

// checkLeavingEndpoints verifies that a request does not reach an endpoint if it was first sent after all nodes had to know
// that the endpoint is leaving.
func (sim *simulation) checkLeavingEndpoints(id string, rec *requestRecord) {
	if rec.idempotencyKey != "" {
		return // many keys share one path
	}
	for _, execution := range sim.executions[rec.promptOrPath] {
		for _, leaving := range sim.leavingIntervals[execution.endpoint] {
			if rec.firstSentAt.After(leaving.from) && leaving.overlaps(execution.startedAt, execution.startedAt) {
				sim.addViolation("request %s reached leaving endpoint %s %v late",
					id, execution.endpoint, execution.startedAt.Sub(leaving.from))
			}
		}
	}
}

func (sim *simulation) summary() string {
	return fmt.Sprintf("seed %d, %v of virtual time, faults %v, results %v",
		sim.seed, sim.duration, sim.faultCounts, sim.resultCounts)
}

func (sim *simulation) requireNoViolations(t *testing.T) {
	t.Helper()
	t.Log(sim.summary())
	require.Empty(t, sim.violations, "seed %d", sim.seed)
}

var (
	longFlag = flag.Bool("long", false, "run the number of TestRandomised seeds that -runs sets")
	seedFlag = flag.Uint64("seed", 1, "first seed of TestRandomised")
	runsFlag = flag.Int("runs", 100, "number of TestRandomised seeds with -long")
)

// Guards against requests that fail, receive results of others or leak memory or goroutines without any fault.
func TestWithoutFaults(t *testing.T) {
	sim := simulate(t, plan{seed: 1, duration: 20 * time.Second, callerCount: 6})
	sim.requireNoViolations(t)
	for label := range sim.resultCounts {
		require.Contains(t, []string{"ok", "caller left", "deadline_exceeded/unknown", "deadline_exceeded/ran",
			"deadline_exceeded/not_run", "deadline_unmeetable/not_run", "key_in_progress/unknown", "outcome_unknown/unknown"}, label)
	}
}

// Guards against violations caused by a single kind of fault.
func TestSingleFaults(t *testing.T) {
	for _, kind := range allFaultKinds() {
		t.Run(kind, func(t *testing.T) {
			simulate(t, plan{seed: *seedFlag, duration: 15 * time.Second, callerCount: 5,
				faultKinds: []string{kind}}).requireNoViolations(t)
		})
	}
}

// Guards against violations caused by combinations of all kinds of faults.
func TestRandomised(t *testing.T) {
	seeds := uint64(4)
	if *longFlag {
		seeds = uint64(*runsFlag)
	}
	for seed := *seedFlag; seed < *seedFlag+seeds; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			simulate(t, plan{seed: seed, duration: time.Minute, callerCount: 5, faultKinds: allFaultKinds()}).requireNoViolations(t)
		})
	}
}

// Guards against checks that cannot fail: with a mechanism disabled, at least one of eight seeds must report the violation
// that the mechanism prevents.
func TestRunsReportViolationsWithoutMechanisms(t *testing.T) {
	cases := map[string]struct {
		plan
		want string
	}{
		"call records": {plan{agentDisabled: agent.Disabled{CallRecords: true}}, "was executed 2 times"},
		"incarnation check": {plan{agentDisabled: agent.Disabled{IncarnationCheck: true},
			faultKinds: []string{"duplicate runs", "table down", "agent drain", "agent kill"}}, "was answered not_run and executed"},
		"settlement": {plan{entryDisabled: entry.Disabled{Settlement: true},
			faultKinds: []string{"endpoint crash", "agent kill"}}, "was answered not_run and executed"},
		"frame owner check": {plan{entryDisabled: entry.Disabled{FrameOwnerCheck: true},
			faultKinds: []string{"misdelivered runs"}}, "differ from its expected answer"},
		"silence timeout": {plan{entryDisabled: entry.Disabled{SilenceTimeout: true},
			faultKinds: []string{"silent"}}, "must be hidden from callers"},
		"entry deadline": {plan{entryDisabled: entry.Disabled{Deadline: true},
			faultKinds: []string{"agent pause"}}, "with a timeout of"},
		"agent deadline": {plan{agentDisabled: agent.Disabled{Deadlines: true}, entryDisabled: entry.Disabled{Cancel: true},
			faultKinds: []string{"table slow"}}, "deadline_overrun"},
		"agent drain": {plan{agentDisabled: agent.Disabled{Draining: true},
			faultKinds: []string{"agent drain"}}, "drained_admitted"},
		"leaving endpoint": {plan{agentDisabled: agent.Disabled{Draining: true}, hideLeaving: true,
			faultKinds: []string{"endpoint leaving"}}, "reached leaving endpoint"},
		"confinement": {plan{entryDisabled: entry.Disabled{Confinement: true},
			faultKinds: []string{"crashing prompt", "table down"}}, "crashed 3 endpoints"},
		"KV release":    {plan{agentDisabled: agent.Disabled{KVRelease: true}}, "kv_reserved_when_idle"},
		"graceful stop": {plan{killOnStop: true, faultKinds: []string{"entry drain"}}, "was cut off"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			tc.duration, tc.callerCount = 30*time.Second, 5
			for tc.seed = 1; tc.seed <= 8; tc.seed++ {
				sim := simulate(t, tc.plan)
				if slices.ContainsFunc(sim.violations, func(violation string) bool { return strings.Contains(violation, tc.want) }) {
					return
				}
				t.Logf("%s reports %v", sim.summary(), sim.violations)
			}
			t.Errorf("no run reports %q", tc.want)
		})
	}
}
