package experiment

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/epoch"
	"github.com/bilberrylink/bilberrylink/errkind"
)

// inFleet runs a test on a started fleet of four entries and four agents in three failure domains.
func inFleet(t *testing.T, test func(t *testing.T, ctx context.Context, w *World)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWorld(Options{Entries: 4, Agents: 4, Domains: 3})
		require.NoError(t, w.Start(ctx))
		time.Sleep(3 * time.Second)
		test(t, ctx, w)
		cancel()
		w.Stop()
	})
}

func submission(id string, base int64, revision int) epoch.Submission {
	return epoch.Submission{ID: id, Operator: "clerk", BaseEpoch: base, Raw: Text(3, 5, revision)}
}

func audit(t *testing.T, ctx context.Context, a *epoch.Acceptor) (outcomes []string) {
	records, err := a.Audit(ctx, "", 100)
	require.NoError(t, err)
	for _, r := range records {
		outcomes = append(outcomes, r.Submission+" "+r.Outcome)
	}
	return outcomes
}

// Guards against a second epoch for one change whose answer was lost, and against a wrong answer to the operator.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		w.Table.SetLoseAnswers(true)
		a := w.Nodes[0].Acceptor()
		accepted, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		require.Equal(t, int64(1), accepted.Epoch)
		w.Table.SetLoseAnswers(false)
		again, err := w.Nodes[1].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err, "a repeated submission has the same outcome at another entry")
		require.Equal(t, int64(1), again.Epoch)
		_, err = a.Submit(ctx, submission("two", 1, 2))
		require.NoError(t, err)
		late, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err, "also after a later change")
		require.Equal(t, int64(1), late.Epoch)
		require.Equal(t, []string{"one accepted", "two accepted"}, audit(t, ctx, a))
	})
}

// Guards against an answer that claims more than is known while the table is lost during a write, and against a doubt
// that is never resolved.
func TestDoubtIsAnsweredAndResolvedLater(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		w.Table.SetLoseAnswers(true)
		a := w.Nodes[0].Acceptor()
		go func() {
			time.Sleep(20 * time.Millisecond) // after the first write, before its repetition
			w.Table.SetDown(true)
		}()
		_, err := a.Submit(ctx, submission("one", 0, 1))
		require.True(t, errkind.Is(err, errkind.AcceptanceUnknown), "%v", err)
		require.Equal(t, []string{"one"}, a.InDoubt())
		w.Table.SetLoseAnswers(false)
		w.Table.SetDown(false)
		time.Sleep(3 * time.Second)
		require.Empty(t, a.InDoubt())
		require.Equal(t, int64(1), w.Nodes[0].Epoch())
	})
}

// Guards against a store outage that is reported as a doubt although nothing was written.
func TestTableDownIsNotRun(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		w.Table.SetDown(true)
		_, err := w.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.True(t, errkind.Is(err, errkind.StoreUnavailable), "%v", err)
	})
}

// Guards against two winners of one epoch, a conflict that does not say what changed, and refusals without audit row.
func TestSecondOperatorIsToldWhatChanged(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		a, b := w.Nodes[0].Acceptor(), w.Nodes[1].Acceptor()
		_, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		_, err = a.Submit(ctx, submission("two", 1, 2))
		require.NoError(t, err)
		_, err = b.Submit(ctx, submission("three", 1, 3))
		require.True(t, errkind.Is(err, errkind.EpochConflict))
		var refusal *epoch.RejectionError
		require.ErrorAs(t, err, &refusal)
		require.Equal(t, int64(2), refusal.CurrentEpoch)
		require.Equal(t, []string{"~ settings.max_body_bytes: 1048577 -> 1048578"}, refusal.Details)
		_, err = b.Submit(ctx, epoch.Submission{ID: "four", BaseEpoch: 2, Raw: []byte("services: {x: {kind: odd}}\n")})
		require.True(t, errkind.Is(err, errkind.FleetInvalid))
		require.Equal(t, []string{"one accepted", "two accepted", "three epoch_conflict", "four fleet_invalid"}, audit(t, ctx, a))
	})
}

// Guards against an acceptance that is answered while no other node has the text.
func TestAcceptanceNeedsAnotherNode(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		for _, n := range w.Nodes[1:] {
			n.Pause(true)
		}
		_, err := w.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.True(t, errkind.Is(err, errkind.AcceptanceUnknown), "%v", err)
		for _, n := range w.Nodes[1:] {
			n.Pause(false)
		}
		accepted, err := w.Nodes[2].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		require.Equal(t, int64(1), accepted.Epoch)
	})
}

// Guards against an epoch that is never reported in force while a failure domain is cut off, or too early, or without
// naming the nodes that did not confirm.
func TestInForceByMajorityOfDomains(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		a := w.Nodes[0].Acceptor()
		_, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		time.Sleep(propagationBound)
		require.True(t, a.InForce(1))
		w.Cut(DomainName(2), true)
		start := time.Now()
		_, err = a.Submit(ctx, submission("two", 1, 2))
		require.NoError(t, err)
		for !a.InForce(2) && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(start)
		require.True(t, a.InForce(2))
		require.Greater(t, took, 4*time.Second, "the freshness bound must pass")
		require.Less(t, took, 10*time.Second)
		require.Equal(t, []string{"agent-0005", "entry-0002"}, a.Status().Unconfirmed)
		for _, n := range w.Nodes {
			if n.Domain == DomainName(2) {
				require.False(t, n.Peer().EpochStore().Fresh(), n.Name)
			}
		}
	})
}

// Guards against a fleet that stops serving when the table is down, and against a restarted node that serves before it
// knows a current epoch.
func TestTableOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		_, err := w.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		time.Sleep(propagationBound)
		w.Table.SetDown(true)
		for range 100 {
			time.Sleep(600 * time.Millisecond)
			for _, n := range w.Nodes {
				require.True(t, n.Peer().EpochStore().Fresh(), n.Name)
			}
		}
		restarted := w.Nodes[1]
		restarted.Stop()
		require.NoError(t, restarted.Start(ctx))
		require.False(t, restarted.Peer().EpochStore().Fresh())
		time.Sleep(5 * time.Second)
		require.True(t, restarted.Peer().EpochStore().Fresh(), "two other failure domains vouch")
	})
}

// Guards against a leaving node that still looks live at some entry after 3 s.
func TestLeavingReachesEveryEntry(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		name := "endpoint-" + w.Nodes[4].Name
		before, ok := w.Nodes[3].Peer().Members().Endpoint(name)
		require.True(t, ok && before.Live)
		w.Nodes[0].Peer().Members().ObserveLeaving(name)
		time.Sleep(3 * time.Second)
		for _, n := range w.Nodes[:4] {
			got, _ := n.Peer().Members().Endpoint(name)
			require.False(t, got.Live, n.Name)
		}
		require.True(t, w.Nodes[4].Peer().Members().SelfLeaving(), "the node itself is told")
	})
}

// Guards against an audit trail that is read as a whole for each answer, and pages that skip or repeat records.
func TestAuditIsPaged(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		a := w.Nodes[0].Acceptor()
		for i := range int64(12) {
			_, err := a.Submit(ctx, submission(fmt.Sprintf("s%02d", i), i, int(i)+1))
			require.NoError(t, err)
			_, err = a.Submit(ctx, submission(fmt.Sprintf("r%02d", i), i, 99))
			require.Error(t, err)
		}
		newest, err := a.Audit(ctx, "", 5)
		require.NoError(t, err)
		require.Len(t, newest, 5)
		require.Equal(t, "r11", newest[4].Submission)
		scans, began := w.Table.Scans(epoch.AuditPrefix), time.Now()
		_, err = a.Audit(ctx, "", 5)
		require.NoError(t, err)
		require.LessOrEqual(t, w.Table.Scans(epoch.AuditPrefix)-scans, 3, "three pages")
		// The reads of other nodes are not counted: each read takes tableDelay of virtual time.
		require.LessOrEqual(t, time.Since(began), 4*tableDelay, "the row of the current epoch and three pages")
		var all []string
		for key := epoch.AuditPrefix; ; {
			page, err := a.Audit(ctx, key, 7)
			require.NoError(t, err)
			if len(page) == 0 {
				break
			}
			for _, r := range page {
				all = append(all, r.Submission)
			}
			key = page[len(page)-1].Key
		}
		require.Len(t, all, 24)
		require.Equal(t, []string{"s00", "r00", "s01", "r01"}, all[:4])
		_, err = a.Audit(ctx, "", epoch.MaxAuditLimit+1)
		require.True(t, errkind.Is(err, errkind.InvalidRequest))
		_, err = a.Audit(ctx, "once/", 1)
		require.True(t, errkind.Is(err, errkind.InvalidRequest), "no other rows can be read")
	})
}

// Guards against an epoch that no other entry can report in force once the accepting entry is gone, also while the VM
// list still names it.
func TestInForceAfterAcceptingEntryDies(t *testing.T) {
	inFleet(t, func(t *testing.T, ctx context.Context, w *World) {
		w.Nodes[3].Stop() // still listed, so that the rule of the majority is needed
		_, err := w.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		w.Nodes[0].Stop()
		other := w.Nodes[1].Acceptor()
		start := time.Now()
		for !other.Status().InForce && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, time.Since(start), 10*time.Second, "two of three domains are complete; the freshness bound of 4 s must pass")
		require.Equal(t, []string{"entry-0003"}, other.Status().Unconfirmed)

		w.Nodes[2].Stop()
		require.NoError(t, w.Nodes[2].Start(ctx))
		time.Sleep(propagationBound)
		require.True(t, w.Nodes[2].Acceptor().InForce(1), "a restarted entry learns it from the others")
	})
}

// Guards against a leaving node that looks live at some entry of a larger fleet after 3 s.
func TestLeavingReachesEveryEntryOf300Nodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := NewWorld(Options{Entries: 96, Agents: 204, Domains: 7})
		require.NoError(t, w.Start(ctx))
		time.Sleep(40 * time.Second)
		leaving := w.Nodes[100]
		name := "endpoint-" + leaving.Name
		w.Nodes[0].Peer().Members().ObserveLeaving(name)
		time.Sleep(3 * time.Second)
		for _, n := range w.Nodes[:96] {
			got, _ := n.Peer().Members().Endpoint(name)
			require.False(t, got.Live, n.Name)
		}
		require.True(t, leaving.Peer().Members().SelfLeaving(), "the node itself is told")
		cancel()
		w.Stop()
	})
}
