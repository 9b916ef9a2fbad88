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

// bubble runs test with an agent of kind in virtual time and fails on a violated assertion.
func bubble(t *testing.T, kind string, change func(*Options), test func(t *testing.T, f *fixture)) {
	requireNoViolations(t)
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, kind, change)
		defer f.close()
		test(t, f)
	})
}

func requireFailure(t *testing.T, att *attempt, kind errkind.Kind, run errkind.RunState) *wire.Failure {
	t.Helper()
	failure := wait(att).GetFailure()
	require.NotNil(t, failure)
	require.Equal(t, string(kind), failure.GetKind(), failure.GetMessage())
	require.Equal(t, string(run), failure.GetRun())
	require.NotNil(t, failure.GetLoad())
	return failure
}

// Guards against a call that runs although its agent was paused after `started` until past the deadline, and against a
// key that stays blocked by it.
func TestAgentPausedBetweenStartedAndCall(t *testing.T) {
	bubble(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.beforeCall = func() { time.Sleep(11 * time.Second) }
		att := f.submit(t.Context(), callRequest("a", "POST", "/orders", "k"))
		requireFailure(t, att, errkind.DeadlineExceeded, errkind.NotRun)
		f.beforeCall = nil
		time.Sleep(time.Second)
		require.Zero(t, f.service.count())
		retry := callRequest("b", "POST", "/orders", "k")
		retry.GetCall().ExpectVersion = f.table.version("once/w/k")
		require.NotNil(t, wait(f.submit(t.Context(), retry)).GetEnd())
		require.Equal(t, 1, f.service.count())
	})
}

// Guards against a run that is delivered a second time after a restart, when the former incarnation answered not_run.
func TestLateRunForTheFormerIncarnation(t *testing.T) {
	bubble(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		late := callRequest("a", "POST", "/orders", "k")
		late.Incarnation = "former"
		requireFailure(t, f.submit(t.Context(), late), errkind.NotReady, errkind.NotRun)
		require.Zero(t, f.service.count())
		fresh := callRequest("b", "POST", "/orders", "k")
		fresh.Incarnation = f.incarnation
		require.NotNil(t, wait(f.submit(t.Context(), fresh)).GetEnd())
	})
}

// Guards against a run that arrives after its cancellation was answered with not_run.
func TestLateRunAfterCancel(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		require.Equal(t, errkind.RunUnknown, f.cancelAttempt(t.Context(), "early"), "an earlier incarnation may have run it")
		requireFailure(t, f.submit(t.Context(), modelRequest("early")), errkind.StreamBroken, errkind.RunUnknown)
		f.born = f.born.Add(-maxDeadline)
		require.Equal(t, errkind.NotRun, f.cancelAttempt(t.Context(), "late"))
		requireFailure(t, f.submit(t.Context(), modelRequest("late")), errkind.Canceled, errkind.NotRun)
		require.Empty(t, f.engine.state().generated)
	})
}

// Guards against a call that runs with its start in doubt, and a second run of a started call.
func TestLostTableAnswers(t *testing.T) {
	bubble(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.table.loseAnswer = 1
		require.NotNil(t, wait(f.submit(t.Context(), callRequest("a", "POST", "/orders", "k"))).GetEnd())
		f.service.set(0, endpoint.ErrDown)
		requireFailure(t, f.submit(t.Context(), callRequest("b", "POST", "/orders", "k2")), errkind.EndpointFailed, errkind.RunUnknown)
		requireFailure(t, f.submit(t.Context(), callRequest("c", "POST", "/orders", "k2")), errkind.KeyInProgress, errkind.RunUnknown)
		time.Sleep(10 * time.Second)
		requireFailure(t, f.submit(t.Context(), callRequest("d", "POST", "/orders", "k2")), errkind.OutcomeUnknown, errkind.RunUnknown)
		require.Equal(t, 2, f.service.count())
		f.table.setDown(true)
		requireFailure(t, f.submit(t.Context(), callRequest("e", "POST", "/orders", "k3")), errkind.StoreUnavailable, errkind.NotRun)
		f.service.set(0, nil)
		require.NotNil(t, wait(f.submit(t.Context(), callRequest("f", "GET", "/stock/x", ""))).GetEnd(), "idempotent calls go on")
		require.NotNil(t, wait(f.submit(t.Context(), callRequest("g", "POST", "/ping", ""))).GetEnd(), "single_attempt needs no table")
		requireFailure(t, f.submit(t.Context(), callRequest("h", "POST", "/orders", "")), errkind.KeyRequired, errkind.NotRun)
		require.Equal(t, 4, f.service.count())
	})
}

// Guards against a call whose outcome is lost because its caller's deadline passed.
func TestOutcomeAfterDeadlineIsRecorded(t *testing.T) {
	bubble(t, fleet.KindPlain, nil, func(t *testing.T, f *fixture) {
		f.service.set(12*time.Second, nil)
		requireFailure(t, f.submit(t.Context(), callRequest("a", "POST", "/orders", "k")), errkind.DeadlineExceeded, errkind.RunUnknown)
		time.Sleep(5 * time.Second)
		again := f.submit(t.Context(), callRequest("b", "POST", "/orders", "k"))
		require.NotNil(t, wait(again).GetEnd())
		require.True(t, frameOf(again, 1).GetResponse().GetReplayed())
		require.Equal(t, 1, f.service.count())
	})
}

// Guards against suspects that are not reported, memory that stays reserved after a crash, and work sent to a crashed
// engine.
func TestEngineCrashWithSeveralRunning(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.tokens = 1000 })
		var running []*attempt
		for _, id := range []string{"a", "b", "c"} {
			running = append(running, f.submit(t.Context(), modelRequest(id)))
		}
		time.Sleep(time.Second)
		f.engine.crashNow("")
		for _, att := range running {
			failure := requireFailure(t, att, errkind.EndpointFailed, errkind.Ran)
			require.True(t, failure.GetEndpointCrashed())
		}
		requireFailure(t, f.submit(t.Context(), modelRequest("d")), errkind.EndpointFailed, errkind.NotRun)
		time.Sleep(time.Second)
		require.Equal(t, [][]string{{"f-a", "f-b", "f-c"}}, f.sink.seen())
		require.Zero(t, f.ledger.Reserved())
		f.engine.set(func(e *fakeEngine) { e.down, e.tokens, e.report.Incarnation = false, 5, "i2" })
		time.Sleep(time.Second)
		require.NotNil(t, wait(f.submit(t.Context(), modelRequest("e"))).GetEnd())
	})
}

// Guards against a broken connection to a healthy engine that is taken for a crash, and a lost token.
func TestBrokenEngineStreamIsResumed(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.broken = endpoint.ErrDown })
		att := f.submit(t.Context(), modelRequest("a"))
		require.EqualValues(t, 6, wait(att).GetEnd().GetFrames())
		require.Empty(t, f.sink.seen())
	})
}

func reserve(f *fixture, id string, tokens, waitMs int64) *wire.ReserveReply {
	reply, _ := f.Reserve(context.Background(), &wire.ReserveRequest{Reservation: id, Tokens: tokens, WaitMs: waitMs, LeaseMs: 5000, Epoch: 1, Version: wire.EncodeVersion(v1)})
	return reply
}

// Guards against memory and engine segments that stay held for an entry that has failed.
func TestEntryFailsWhileItHoldsReservations(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		require.True(t, reserve(f, "seg", 60000, 0).GetGranted())
		reply, err := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "seg", RequestId: "r", Prompt: "x", Version: wire.EncodeVersion(v1), DeadlineMs: 5000, Epoch: 1})
		require.NoError(t, err)
		require.Nil(t, reply.GetFailure())
		require.Equal(t, "seg", reply.GetHandle().GetId())
		started := time.Now()
		require.True(t, reserve(f, "next", 60000, 30000).GetGranted())
		require.Less(t, time.Since(started), 2*runLease)
		time.Sleep(100 * time.Millisecond) // segments are cancelled in the background
		require.Contains(t, f.engine.state().cancelled, "seg")
		_, _ = f.Release(t.Context(), &wire.ReleaseRequest{Reservations: []string{"next"}})
		require.Zero(t, f.ledger.Reserved())
	})
}

// Guards against the members of a split prompt that keep their memory after its entry has failed.
func TestEntryFailsWhileItHoldsThreeEngines(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		members := []*fixture{f, newFixture(t, fleet.KindModel, nil), newFixture(t, fleet.KindModel, nil)}
		defer members[1].close()
		defer members[2].close()
		for _, m := range members {
			require.True(t, reserve(m, "seg", 60000, 0).GetGranted())
			require.False(t, reserve(m, "next", 60000, 0).GetGranted())
		}
		failed := time.Now()
		for _, m := range members {
			require.True(t, reserve(m, "next", 60000, 30000).GetGranted())
			_, _ = m.Release(t.Context(), &wire.ReleaseRequest{Reservations: []string{"next"}})
			require.Zero(t, m.ledger.Reserved())
		}
		require.Less(t, time.Since(failed), 10*time.Second, "the lease of 5 s and the sweep")
	})
}

// Guards against two prompts that hold one member each and wait for the other's forever: the bounded wait ends one.
func TestReservationsInOppositeOrder(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		other := newFixture(t, fleet.KindModel, nil)
		defer other.close()
		take := func(first, second *fixture, id string, patience int64) bool {
			defer func() {
				for _, x := range []*fixture{first, second} {
					_, _ = x.Release(context.Background(), &wire.ReleaseRequest{Reservations: []string{id}})
				}
			}()
			if !reserve(first, id, 60000, patience).GetGranted() {
				return false
			}
			time.Sleep(time.Millisecond)
			return reserve(second, id, 60000, patience).GetGranted()
		}
		results := make(chan bool, 2)
		go func() { results <- take(f, other, "p", 1000) }()
		go func() { results <- take(other, f, "q", 3000) }()
		granted := []bool{<-results, <-results}
		require.Contains(t, granted, true)
		require.Zero(t, f.ledger.Reserved()+other.ledger.Reserved())
	})
}

// Guards against an answer of a recalled version by an engine that ignores fencing and orders, and against one of a
// version that the engine replaced behind the agent's back.
func TestRecallAtAnEngineThatIgnoresOrders(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.ignoreOrder, e.pace = true, time.Second })
		before := f.submit(t.Context(), modelRequest("before"))
		time.Sleep(500 * time.Millisecond)
		f.peer.set(snapshot(t, 2, textOf("1", "finish", "b1")))
		requireFailure(t, before, errkind.Recalled, errkind.Ran)
		requireFailure(t, f.submit(t.Context(), modelRequest("after")), errkind.Recalled, errkind.NotRun)
		time.Sleep(5 * time.Second)
		require.NotEmpty(t, f.engine.state().orders)
		require.GreaterOrEqual(t, len(f.engine.state().orders), 5, "the order is repeated while the loaded versions differ")
		require.EqualValues(t, 2, f.engine.state().orders[0].FencingToken)

		f.peer.set(snapshot(t, 3, textOf("1", "finish", "")))
		time.Sleep(time.Second)
		att := f.submit(t.Context(), modelRequest("replaced"))
		time.Sleep(500 * time.Millisecond)
		f.engine.set(func(e *fakeEngine) { e.report.Loaded = nil })
		requireFailure(t, att, errkind.NotLoaded, errkind.Ran)
	})
}

// Guards against streams that go on although the text says cut, or are cut although it says finish.
func TestRecallOfRunningStreams(t *testing.T) {
	for streams, ends := range map[string]bool{"finish": true, "cut": false} {
		bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
			f.engine.set(func(e *fakeEngine) { e.tokens = 200 })
			f.peer.set(snapshot(t, 2, textOf("1", streams, "")))
			att := f.submit(t.Context(), modelRequest("a"))
			time.Sleep(time.Second)
			f.peer.set(snapshot(t, 3, textOf("1", streams, "m@1")))
			require.Equal(t, ends, wait(att).GetEnd() != nil)
		})
	}
}

// Guards against a planned stop that cuts a stream, and new work after it.
func TestDrainWithRunningStreams(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.tokens = 300 })
		require.True(t, reserve(f, "held", 1000, 0).GetGranted())
		att := f.submit(t.Context(), modelRequest("a"))
		time.Sleep(100 * time.Millisecond)
		f.peer.setNode(membership.Node{Name: "a1", Endpoint: "e1", Leaving: true})
		time.Sleep(time.Second)
		record := new(wire.NodeRecord)
		f.describe(record)
		require.True(t, record.GetLeaving())
		requireFailure(t, f.submit(t.Context(), modelRequest("b")), errkind.Draining, errkind.NotRun)
		require.False(t, reserve(f, "r", 100, 0).GetGranted())
		reply, _ := f.Prefill(t.Context(), &wire.PrefillRequest{Reservation: "held", RequestId: "r", Prompt: "x", Version: wire.EncodeVersion(v1), DeadlineMs: 5000, Epoch: 1})
		require.Nil(t, reply.GetFailure(), "a long prompt that holds memory is in progress")
		stopped := make(chan error, 1)
		go func() { stopped <- f.Stop(context.Background()) }()
		require.NotNil(t, wait(att).GetEnd())
		require.NoError(t, <-stopped)
	})
}

// Guards against an attempt that stays open because its engine hangs, and memory that it keeps.
func TestSilentEngineAtTheDeadline(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.hang = true })
		started := time.Now()
		att := f.submit(t.Context(), modelRequest("a"))
		go func() { _ = att.buffer.Serve(att.ctx, stream.NewWriter(new(discard), nil), 0, f.load) }()
		requireFailure(t, att, errkind.DeadlineExceeded, errkind.Ran)
		require.Equal(t, 30*time.Second, time.Since(started))
		time.Sleep(time.Second)
		require.Zero(t, f.ledger.Reserved())
		require.Contains(t, f.engine.state().cancelled, "a")
	})
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// Guards against work that cannot finish in time, is admitted without fresh evidence, or under an old text.
func TestAdmissionRefusesAtOnce(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
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
		f.peer.pending = snapshot(t, 2, textOf("1", "finish", "m"))
		f.peer.mu.Unlock()
		ahead = modelRequest("ahead2")
		ahead.Epoch = 2
		requireFailure(t, f.submit(t.Context(), ahead), errkind.Recalled, errkind.NotRun)
	})
}

// Guards against a flood of one workspace whose backlog makes the agent refuse another as deadline_unmeetable.
func TestFloodDoesNotMakeOthersUnmeetable(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.pace = time.Minute }) // nothing has its first token yet
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

// Guards against a short prompt that waits behind a long one of its class, and against long prompts that are all given to
// the engine at once.
func TestShortPromptOvertakesLongOneOfItsClass(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.pace = time.Second }) // nothing has its first token yet
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
		require.ElementsMatch(t, []string{"long", "short", "short2"}, f.engine.state().generated, "the second long prompt waits")
	})
}

// Guards against the whole fleet changing version at once, going on after a fault, or asking the weight store in step.
func TestRolloutByRank(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		v2 := endpoint.Version{Model: "m", Version: "2", Batch: "b1"}
		f.weights.mu.Lock()
		f.weights.refuse = 2
		f.weights.mu.Unlock()
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v1}})
		f.peer.set(snapshot(t, 2, textOf("2", "finish", "")))
		time.Sleep(10 * time.Second)
		require.Empty(t, f.engine.state().orders, "rank 1 waits for rank 0")
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v2}, Fault: "crashed"})
		time.Sleep(10 * time.Second)
		require.Empty(t, f.engine.state().orders, "a fault stops the rollout")
		f.peer.setNode(membership.Node{Endpoint: "e0", Live: true, Loaded: []endpoint.Version{v2}})
		time.Sleep(10 * time.Second)
		require.Equal(t, []string{"m@2"}, f.weights.seen())
		require.Equal(t, []endpoint.Version{v2}, f.engine.state().loaded)
		orders := f.engine.state().orders
		last := orders[len(orders)-1]
		require.EqualValues(t, 2, last.FencingToken)
		require.Equal(t, "ticket-m@2", last.Tickets["m@2"])
	})
}

// Guards against a stream that keeps its memory after its entry has gone for good.
func TestStreamWithoutConnectionEnds(t *testing.T) {
	bubble(t, fleet.KindModel, nil, func(t *testing.T, f *fixture) {
		f.engine.set(func(e *fakeEngine) { e.tokens = 100000 })
		requireFailure(t, f.submit(t.Context(), modelRequest("a")), errkind.Canceled, errkind.Ran)
		require.Zero(t, f.ledger.Reserved())
	})
}

// Shows that the assertion behind each mechanism reports a violation when the mechanism is off.
func TestViolationsAreReported(t *testing.T) {
	cases := map[string]struct {
		off  Disabled
		test func(t *testing.T, f *fixture)
	}{
		"not_run_executed": {Disabled{Tombstones: true}, func(t *testing.T, f *fixture) {
			f.born = f.born.Add(-maxDeadline)
			require.Equal(t, errkind.NotRun, f.cancelAttempt(t.Context(), "a"))
			wait(f.submit(t.Context(), modelRequest("a")))
		}},
		"deadline_overrun": {Disabled{Deadlines: true}, func(t *testing.T, f *fixture) {
			f.engine.set(func(e *fakeEngine) { e.hang = true })
			req := modelRequest("a")
			req.DeadlineMs = 2000
			f.submit(t.Context(), req)
			time.Sleep(5 * time.Second)
		}},
		"recalled_answer_started": {Disabled{RecallCheck: true}, func(t *testing.T, f *fixture) {
			f.engine.set(func(e *fakeEngine) { e.ignoreOrder, e.pace = true, time.Second })
			att := f.submit(t.Context(), modelRequest("a"))
			time.Sleep(500 * time.Millisecond)
			f.peer.set(snapshot(t, 2, textOf("1", "finish", "m")))
			wait(att)
		}},
		"drained_admitted": {Disabled{Draining: true}, func(t *testing.T, f *fixture) {
			f.startDraining()
			time.Sleep(time.Second)
			wait(f.submit(t.Context(), modelRequest("a")))
		}},
		"kv_reserved_when_idle": {Disabled{KVRelease: true}, func(t *testing.T, f *fixture) {
			wait(f.submit(t.Context(), modelRequest("a")))
			time.Sleep(time.Second)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			seen := violations(t)
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, fleet.KindModel, func(o *Options) { o.Disabled = c.off })
				defer f.close()
				c.test(t, f)
				require.Contains(t, seen(), name)
			})
		})
	}
}
