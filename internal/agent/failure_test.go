package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/membership"
	"github.com/bilberrylink/bilberrylink/stream"
	"github.com/bilberrylink/bilberrylink/wire"
)

// runWithAgent runs test in a synctest bubble with an agent whose endpoint has the given kind. A violated invariant fails it.
func runWithAgent(t *testing.T, kind string, configure func(*Options), test func(t *testing.T, f *fixture)) {
	requireNoViolations(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, kind, configure)
		defer f.close()
		test(t, f)
	})
}

func requireFailure(t *testing.T, att *attempt, kind errkind.Kind, runState errkind.RunState) *wire.Failure {
	t.Helper()
	failure := waitForLastFrame(att).GetFailure()
	require.NotNil(t, failure)
	require.Equal(t, string(kind), failure.GetKind(), failure.GetMessage())
	require.Equal(t, string(runState), failure.GetRun())
	require.NotNil(t, failure.GetLoad())
	return failure
}

// Guards against a call that runs although its agent was paused past the deadline after it wrote the row as started, and against
// a key that stays blocked by that row.
func TestPauseBeforeCallPastDeadline(t *testing.T) {
	runWithAgent(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.beforeCallHook = func() { time.Sleep(11 * time.Second) }
		att := f.submit(t.Context(), callRequest("a", "POST", "/orders", "k"))
		requireFailure(t, att, errkind.DeadlineExceeded, errkind.NotRun)
		f.beforeCallHook = nil
		time.Sleep(time.Second)
		require.Zero(t, f.service.callCount())
		retry := callRequest("b", "POST", "/orders", "k")
		retry.GetCall().ExpectVersion = f.table.version("once/w/k")
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), retry)).GetEnd())
		require.Equal(t, 1, f.service.callCount())
	})
}

// Guards against running an attempt that is delivered again after a restart, when the former incarnation answered not_run.
func TestAttemptForFormerIncarnationIsRefused(t *testing.T) {
	runWithAgent(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		late := callRequest("a", "POST", "/orders", "k")
		late.Incarnation = "former"
		requireFailure(t, f.submit(t.Context(), late), errkind.NotReady, errkind.NotRun)
		require.Zero(t, f.service.callCount())
		fresh := callRequest("b", "POST", "/orders", "k")
		fresh.Incarnation = f.incarnation
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), fresh)).GetEnd())
	})
}

// Guards against running an attempt that arrives after its cancellation was answered with not_run.
func TestAttemptAfterCancelIsRefused(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		require.Equal(t, errkind.RunUnknown, f.cancelAttempt(t.Context(), "early"), "an earlier incarnation may have run it")
		requireFailure(t, f.submit(t.Context(), modelRequest("early")), errkind.StreamBroken, errkind.RunUnknown)
		f.startedAt = f.startedAt.Add(-maxDeadline)
		require.Equal(t, errkind.NotRun, f.cancelAttempt(t.Context(), "late"))
		requireFailure(t, f.submit(t.Context(), modelRequest("late")), errkind.Canceled, errkind.NotRun)
		require.Empty(t, f.engine.recorded().generated)
	})
}

// Guards against a call that runs although the write of its start may be lost, and against running a started call again.
func TestCallsWithUnreliableTable(t *testing.T) {
	runWithAgent(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.table.loseResults = 1
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), callRequest("a", "POST", "/orders", "k"))).GetEnd())
		f.service.setResult(0, endpoint.ErrDown)
		requireFailure(t, f.submit(t.Context(), callRequest("b", "POST", "/orders", "k2")), errkind.EndpointFailed, errkind.RunUnknown)
		requireFailure(t, f.submit(t.Context(), callRequest("c", "POST", "/orders", "k2")), errkind.KeyInProgress, errkind.RunUnknown)
		time.Sleep(10 * time.Second)
		requireFailure(t, f.submit(t.Context(), callRequest("d", "POST", "/orders", "k2")), errkind.OutcomeUnknown, errkind.RunUnknown)
		require.Equal(t, 2, f.service.callCount())
		f.table.setDown(true)
		requireFailure(t, f.submit(t.Context(), callRequest("e", "POST", "/orders", "k3")), errkind.StoreUnavailable, errkind.NotRun)
		f.service.setResult(0, nil)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), callRequest("f", "GET", "/stock/x", ""))).GetEnd(),
			"idempotent calls need no table")
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), callRequest("g", "POST", "/ping", ""))).GetEnd(),
			"single_attempt needs no table")
		requireFailure(t, f.submit(t.Context(), callRequest("h", "POST", "/orders", "")), errkind.KeyRequired, errkind.NotRun)
		require.Equal(t, 4, f.service.callCount())
	})
}

// Guards against losing the outcome of a call that finishes after its deadline.
func TestOutcomeAfterDeadlineIsRecorded(t *testing.T) {
	runWithAgent(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.service.setResult(12*time.Second, nil)
		requireFailure(t, f.submit(t.Context(), callRequest("a", "POST", "/orders", "k")), errkind.DeadlineExceeded, errkind.RunUnknown)
		time.Sleep(5 * time.Second)
		again := f.submit(t.Context(), callRequest("b", "POST", "/orders", "k"))
		require.NotNil(t, waitForLastFrame(again).GetEnd())
		require.True(t, frameAt(again, 1).GetResponse().GetReplayed())
		require.Equal(t, 1, f.service.callCount())
	})
}

// Guards against running prompts that are not reported after a crash, memory that stays reserved, and work that is sent to the
// crashed engine.
func TestEngineCrashWithRunningAttempts(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.answerTokens = 1000 })
		var running []*attempt
		for _, id := range []string{"a", "b", "c"} {
			running = append(running, f.submit(t.Context(), modelRequest(id)))
		}
		time.Sleep(time.Second)
		f.engine.crash("")
		for _, att := range running {
			failure := requireFailure(t, att, errkind.EndpointFailed, errkind.Ran)
			require.True(t, failure.GetEndpointCrashed())
		}
		requireFailure(t, f.submit(t.Context(), modelRequest("d")), errkind.EndpointFailed, errkind.NotRun)
		time.Sleep(time.Second)
		require.Equal(t, [][]string{{"f-a", "f-b", "f-c"}}, f.crashReporter.reportedCrashes())
		require.Zero(t, f.ledger.Reserved())
		f.engine.update(func(e *fakeEngine) { e.down, e.answerTokens, e.report.Incarnation = false, 5, "i2" })
		time.Sleep(time.Second)
		require.NotNil(t, waitForLastFrame(f.submit(t.Context(), modelRequest("e"))).GetEnd())
	})
}

// Guards against taking a broken connection to a healthy engine for a crash, and against losing a token.
func TestBrokenEngineStreamIsResumed(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.recvError = endpoint.ErrDown })
		att := f.submit(t.Context(), modelRequest("a"))
		require.EqualValues(t, 6, waitForLastFrame(att).GetEnd().GetFrames())
		require.Empty(t, f.crashReporter.reportedCrashes())
	})
}

func reserve(f *fixture, id string, tokens, waitMs int64) *wire.ReserveReply {
	reply, _ := f.Reserve(context.Background(), &wire.ReserveRequest{Reservation: id, Tokens: tokens, WaitMs: waitMs, LeaseMs: 5000,
		Epoch: 1, Version: wire.EncodeVersion(v1)})
	return reply
}

// Guards against memory and segments on the engine that stay reserved for a failed entry.
func TestReservationsOfFailedEntryExpire(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		require.True(t, reserve(f, "seg", 60000, 0).GetGranted())
		reply, err := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "seg", RequestId: "r", Prompt: "x",
			Version: wire.EncodeVersion(v1), DeadlineMs: 5000, Epoch: 1})
		require.NoError(t, err)
		require.Nil(t, reply.GetFailure())
		require.Equal(t, "seg", reply.GetHandle().GetId())
		started := time.Now()
		require.True(t, reserve(f, "next", 60000, 30000).GetGranted())
		require.Less(t, time.Since(started), 2*attemptLease)
		time.Sleep(100 * time.Millisecond) // the segment is cancelled in the background
		require.Contains(t, f.engine.recorded().cancelled, "seg")
		_, _ = f.Release(t.Context(), &wire.ReleaseRequest{Reservations: []string{"next"}})
		require.Zero(t, f.ledger.Reserved())
	})
}

// Guards against the engines of a split prompt keeping its memory reserved after the entry has failed.
func TestReservationsOfFailedEntryExpireOnAllEngines(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		agents := []*fixture{f, newFixture(t, fleet.KindModel, nil), newFixture(t, fleet.KindModel, nil)}
		defer agents[1].close()
		defer agents[2].close()
		for _, agent := range agents {
			require.True(t, reserve(agent, "seg", 60000, 0).GetGranted())
			require.False(t, reserve(agent, "next", 60000, 0).GetGranted())
		}
		failed := time.Now()
		for _, agent := range agents {
			require.True(t, reserve(agent, "next", 60000, 30000).GetGranted())
			_, _ = agent.Release(t.Context(), &wire.ReleaseRequest{Reservations: []string{"next"}})
			require.Zero(t, agent.ledger.Reserved())
		}
		require.Less(t, time.Since(failed), 10*time.Second, "the lease of 5 s and the sweep")
	})
}

// Guards against a deadlock of two prompts that each reserve memory on one engine and wait for the other's. The bounded wait of
// one of them resolves it.
func TestOppositeReservationOrderDoesNotDeadlock(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		other := newFixture(t, fleet.KindModel, nil)
		defer other.close()
		reserveBoth := func(first, second *fixture, id string, waitMs int64) bool {
			defer func() {
				for _, agent := range []*fixture{first, second} {
					_, _ = agent.Release(context.Background(), &wire.ReleaseRequest{Reservations: []string{id}})
				}
			}()
			if !reserve(first, id, 60000, waitMs).GetGranted() {
				return false
			}
			time.Sleep(time.Millisecond)
			return reserve(second, id, 60000, waitMs).GetGranted()
		}
		results := make(chan bool, 2)
		go func() { results <- reserveBoth(f, other, "p", 1000) }()
		go func() { results <- reserveBoth(other, f, "q", 3000) }()
		granted := []bool{<-results, <-results}
		require.Contains(t, granted, true)
		require.Zero(t, f.ledger.Reserved()+other.ledger.Reserved())
	})
}

// Guards against an answer of a recalled version by an engine that ignores orders and fencing tokens, and against an answer of a
// version that the engine has unloaded without an order.
func TestRecallOnEngineThatIgnoresOrders(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.ignoresOrders, e.tokenInterval = true, time.Second })
		before := f.submit(t.Context(), modelRequest("before"))
		time.Sleep(500 * time.Millisecond)
		f.peer.setSnapshot(newSnapshot(t, 2, configText("1", "finish", "b1")))
		requireFailure(t, before, errkind.Recalled, errkind.Ran)
		requireFailure(t, f.submit(t.Context(), modelRequest("after")), errkind.Recalled, errkind.NotRun)
		time.Sleep(5 * time.Second)
		require.NotEmpty(t, f.engine.recorded().orders)
		require.GreaterOrEqual(t, len(f.engine.recorded().orders), 5, "the order is repeated while the loaded versions differ")
		require.EqualValues(t, 2, f.engine.recorded().orders[0].FencingToken)

		f.peer.setSnapshot(newSnapshot(t, 3, configText("1", "finish", "")))
		time.Sleep(time.Second)
		att := f.submit(t.Context(), modelRequest("replaced"))
		time.Sleep(500 * time.Millisecond)
		f.engine.update(func(e *fakeEngine) { e.report.Loaded = nil })
		requireFailure(t, att, errkind.NotLoaded, errkind.Ran)
	})
}

// Guards against streams that continue although recall_streams is cut, or are cut although it is finish.
func TestRecallOfRunningStreams(t *testing.T) {
	for recallStreams, finishes := range map[string]bool{"finish": true, "cut": false} {
		runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
			f.engine.update(func(e *fakeEngine) { e.answerTokens = 200 })
			f.peer.setSnapshot(newSnapshot(t, 2, configText("1", recallStreams, "")))
			att := f.submit(t.Context(), modelRequest("a"))
			time.Sleep(time.Second)
			f.peer.setSnapshot(newSnapshot(t, 3, configText("1", recallStreams, "m@1")))
			require.Equal(t, finishes, waitForLastFrame(att).GetEnd() != nil)
		})
	}
}

// Guards against a planned stop that interrupts a stream, and against admitting new work after it.
func TestDrainWithRunningStreams(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.answerTokens = 300 })
		require.True(t, reserve(f, "held", 1000, 0).GetGranted())
		att := f.submit(t.Context(), modelRequest("a"))
		time.Sleep(100 * time.Millisecond)
		f.peer.setNode(membership.Node{Name: "a1", Endpoint: "e1", Leaving: true})
		time.Sleep(time.Second)
		record := new(wire.NodeRecord)
		f.fillRecord(record)
		require.True(t, record.GetLeaving())
		requireFailure(t, f.submit(t.Context(), modelRequest("b")), errkind.Draining, errkind.NotRun)
		require.False(t, reserve(f, "r", 100, 0).GetGranted())
		reply, _ := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "held", RequestId: "r", Prompt: "x",
			Version: wire.EncodeVersion(v1), DeadlineMs: 5000, Epoch: 1})
		require.Nil(t, reply.GetFailure(), "a long prompt that holds memory is in progress")
		stopped := make(chan error, 1)
		go func() { stopped <- f.Stop(context.Background()) }()
		require.NotNil(t, waitForLastFrame(att).GetEnd())
		require.NoError(t, <-stopped)
	})
}

// Guards against an attempt that stays open, and keeps its memory, because the engine hangs.
func TestHangingEngineAttemptEndsAtDeadline(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.hangs = true })
		started := time.Now()
		att := f.submit(t.Context(), modelRequest("a"))
		go func() { _ = att.buffer.Serve(att.ctx, stream.NewWriter(new(discardWriter), nil), 0, f.currentLoad) }()
		requireFailure(t, att, errkind.DeadlineExceeded, errkind.Ran)
		require.Equal(t, 30*time.Second, time.Since(started))
		time.Sleep(time.Second)
		require.Zero(t, f.ledger.Reserved())
		require.Contains(t, f.engine.recorded().cancelled, "a")
	})
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Guards against admitting work that cannot finish in time, has no fresh evidence of the configuration, or was sent under a newer
// configuration than the agent's.
func TestAdmissionRefusals(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		started := time.Now()
		long := modelRequest("long")
		long.GetModel().PromptTokens = 80000 // 8 s of prefill
		long.DeadlineMs = 5000
		requireFailure(t, f.submit(t.Context(), long), errkind.DeadlineUnmeetable, errkind.NotRun)
		f.peer.setStale(true)
		requireFailure(t, f.submit(t.Context(), modelRequest("stale")), errkind.Isolated, errkind.NotRun)
		f.peer.setStale(false)
		require.Zero(t, time.Since(started))
		ahead := modelRequest("ahead")
		ahead.Epoch = 2
		requireFailure(t, f.submit(t.Context(), ahead), errkind.NotReady, errkind.NotRun)
		f.peer.mu.Lock()
		f.peer.pendingSnapshot = newSnapshot(t, 2, configText("1", "finish", "m"))
		f.peer.mu.Unlock()
		ahead = modelRequest("ahead2")
		ahead.Epoch = 2
		requireFailure(t, f.submit(t.Context(), ahead), errkind.Recalled, errkind.NotRun)
	})
}

// Guards against a backlog of one workspace that makes the agent refuse another workspace with deadline_unmeetable.
func TestBacklogDoesNotRefuseOtherWorkspaces(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.tokenInterval = time.Minute }) // nothing has its first token yet
		for i := range 60 {
			r := modelRequest(fmt.Sprint("flood", i))
			r.GetModel().PromptTokens = 6000 // 0.6 s each
			f.submit(t.Context(), r)
		}
		time.Sleep(10 * time.Millisecond)
		more := modelRequest("more")
		more.GetModel().PromptTokens = 6000
		requireFailure(t, f.submit(t.Context(), more), errkind.DeadlineUnmeetable, errkind.NotRun)
		quiet := modelRequest("quiet")
		quiet.Workspace = "quiet"
		att := f.submit(t.Context(), quiet)
		time.Sleep(10 * time.Millisecond)
		require.False(t, att.isDone(), "admitted")
	})
}

// Guards against a short prompt that waits behind a long one of its class, and against dispatching all long prompts to the engine
// at once.
func TestShortPromptOvertakesLongPrompt(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.tokenInterval = time.Second }) // nothing has its first token yet
		request := func(id string, tokens int64) *attempt {
			r := modelRequest(id)
			r.GetModel().PromptTokens = tokens
			return f.submit(t.Context(), r)
		}
		long, short := request("long", 20_000), request("short", 3000)
		require.Greater(t, long.priority(), short.priority())
		require.Less(t, long.priority(), endpoint.PriorityBulk)
		request("long2", 20_000)
		request("short2", 1000)
		time.Sleep(10 * time.Millisecond)
		require.ElementsMatch(t, []string{"long", "short", "short2"}, f.engine.recorded().generated, "the second long prompt waits")
	})
}

// Guards against all endpoints changing version at once, a rollout that continues after a fault, and agents that retry refused
// tickets in lockstep.
func TestRolloutFollowsEndpointOrder(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		v2 := endpoint.Version{Model: "m", Version: "2", Batch: "b1"}
		f.weights.mu.Lock()
		f.weights.refusals = 2
		f.weights.mu.Unlock()
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v1}})
		f.peer.setSnapshot(newSnapshot(t, 2, configText("2", "finish", "")))
		time.Sleep(10 * time.Second)
		require.Empty(t, f.engine.recorded().orders, "rank 1 waits for rank 0")
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v2}, Fault: "crashed"})
		time.Sleep(10 * time.Second)
		require.Empty(t, f.engine.recorded().orders, "a fault stops the rollout")
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v2}})
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"m@2"}, f.weights.issuedNames())
		require.Equal(t, []endpoint.Version{v2}, f.engine.recorded().loaded)
		orders := f.engine.recorded().orders
		last := orders[len(orders)-1]
		require.EqualValues(t, 2, last.FencingToken)
		require.Equal(t, "ticket-m@2", last.Tickets["m@2"])
	})
}

// Guards against a stream that keeps its memory after its entry has failed and no other resumes it.
func TestStreamWithoutConnectionIsCancelled(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) { e.answerTokens = 100000 })
		requireFailure(t, f.submit(t.Context(), modelRequest("a")), errkind.Canceled, errkind.Ran)
		require.Zero(t, f.ledger.Reserved())
	})
}

// Shows that an invariant check reports a violation when the mechanism behind it is disabled.
func TestViolationsAreReportedWithoutMechanism(t *testing.T) {
	cases := map[string]struct {
		disabled Disabled
		test     func(t *testing.T, f *fixture)
	}{
		"not_run_executed": {Disabled{Tombstones: true}, func(t *testing.T, f *fixture) {
			f.startedAt = f.startedAt.Add(-maxDeadline)
			require.Equal(t, errkind.NotRun, f.cancelAttempt(t.Context(), "a"))
			waitForLastFrame(f.submit(t.Context(), modelRequest("a")))
		}},
		"deadline_overrun": {Disabled{Deadlines: true}, func(t *testing.T, f *fixture) {
			f.engine.update(func(e *fakeEngine) { e.hangs = true })
			req := modelRequest("a")
			req.DeadlineMs = 2000
			f.submit(t.Context(), req)
			time.Sleep(5 * time.Second)
		}},
		"recalled_answer_started": {Disabled{RecallCheck: true}, func(t *testing.T, f *fixture) {
			f.engine.update(func(e *fakeEngine) { e.ignoresOrders, e.tokenInterval = true, time.Second })
			att := f.submit(t.Context(), modelRequest("a"))
			time.Sleep(500 * time.Millisecond)
			f.peer.setSnapshot(newSnapshot(t, 2, configText("1", "finish", "m")))
			waitForLastFrame(att)
		}},
		"drained_admitted": {Disabled{Draining: true}, func(t *testing.T, f *fixture) {
			f.startDraining()
			time.Sleep(time.Second)
			waitForLastFrame(f.submit(t.Context(), modelRequest("a")))
		}},
		"kv_reserved_when_idle": {Disabled{KVRelease: true}, func(t *testing.T, f *fixture) {
			waitForLastFrame(f.submit(t.Context(), modelRequest("a")))
			time.Sleep(time.Second)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			violations := recordViolations(t)
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fleet.KindModel, func(o *Options) { o.Disabled = c.disabled })
				defer f.close()
				c.test(t, f)
				require.Contains(t, violations(), name)
			})
		})
	}
}

// Guards against reporting a stream as not run that the engine has begun: a refusal to resume it says nothing of its start.
func TestRefusalToResumeIsNoRefusalOfTheStream(t *testing.T) {
	runWithAgent(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.update(func(e *fakeEngine) {
			e.recvError, e.recvErrorAt, e.resumeError = endpoint.ErrDown, 0, endpoint.ErrNoMemory
		})
		requireFailure(t, f.submit(t.Context(), modelRequest("a")), errkind.EndpointFailed, errkind.Ran)
		require.Equal(t, []string{"a"}, f.engine.recorded().generated)
	})
}
