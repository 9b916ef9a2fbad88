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

// withCluster runs a test on a cluster of four entries and four agents in three failure domains.
func withCluster(t *testing.T, test func(t *testing.T, ctx context.Context, cluster *Cluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := NewCluster(Options{Entries: 4, Agents: 4, Domains: 3})
		require.NoError(t, cluster.Start(ctx))
		time.Sleep(3 * time.Second)
		test(t, ctx, cluster)
		cancel()
		cluster.Stop()
	})
}

func submission(id string, base int64, revision int) epoch.Submission {
	return epoch.Submission{ID: id, Operator: "clerk", BaseEpoch: base, Raw: ConfigText(3, 5, revision)}
}

// auditOutcomes returns the submission and the outcome of each audit record.
func auditOutcomes(t *testing.T, ctx context.Context, a *epoch.Acceptor) (outcomes []string) {
	records, err := a.Audit(ctx, "", 100)
	require.NoError(t, err)
	for _, r := range records {
		outcomes = append(outcomes, r.Submission+" "+r.Outcome)
	}
	return outcomes
}

// Guards against a second epoch for a change whose commit response was lost, and against a wrong result for the operator.
func TestLostAnswerIsResolvedByReadingBack(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		cluster.Table.SetLoseResponses(true)
		a := cluster.Nodes[0].Acceptor()
		accepted, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		require.Equal(t, int64(1), accepted.Epoch)
		cluster.Table.SetLoseResponses(false)
		again, err := cluster.Nodes[1].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err, "a repeated submission has the same outcome at another entry")
		require.Equal(t, int64(1), again.Epoch)
		_, err = a.Submit(ctx, submission("two", 1, 2))
		require.NoError(t, err)
		late, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err, "a repeated submission has the same outcome after a later change")
		require.Equal(t, int64(1), late.Epoch)
		require.Equal(t, []string{"one accepted", "two accepted"}, auditOutcomes(t, ctx, a))
	})
}

// Guards against a definite result while the table fails during a write and the outcome is unknown, and against a
// submission that stays in doubt after the table has recovered.
func TestSubmissionInDoubtIsReportedAndResolved(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		cluster.Table.SetLoseResponses(true)
		a := cluster.Nodes[0].Acceptor()
		go func() {
			time.Sleep(20 * time.Millisecond) // after the first write, before its retry
			cluster.Table.SetDown(true)
		}()
		_, err := a.Submit(ctx, submission("one", 0, 1))
		require.True(t, errkind.Is(err, errkind.AcceptanceUnknown), "%v", err)
		require.Equal(t, []string{"one"}, a.InDoubt())
		cluster.Table.SetLoseResponses(false)
		cluster.Table.SetDown(false)
		time.Sleep(3 * time.Second)
		require.Empty(t, a.InDoubt())
		require.Equal(t, int64(1), cluster.Nodes[0].Epoch())
	})
}

// Guards against an accepting entry that reports a submission as resolved and still uses the previous text, because its poller
// is in the back-off of the outage that put the submission in doubt.
func TestTextOfResolvedSubmissionIsAdopted(t *testing.T) {
	for outage := 10 * time.Second; outage < 16*time.Second; outage += 500 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			cluster := NewCluster(Options{Entries: 1, Domains: 1})
			require.NoError(t, cluster.Start(ctx))
			time.Sleep(3 * time.Second)
			cluster.Table.SetLoseResponses(true)
			a := cluster.Nodes[0].Acceptor()
			time.AfterFunc(20*time.Millisecond, func() { cluster.Table.SetDown(true) })
			_, err := a.Submit(ctx, submission("one", 0, 1))
			require.True(t, errkind.Is(err, errkind.AcceptanceUnknown), "%v", err)
			time.Sleep(outage)
			cluster.Table.SetLoseResponses(false)
			cluster.Table.SetDown(false)
			time.Sleep(3 * time.Second)
			require.Empty(t, a.InDoubt())
			require.Equal(t, int64(1), cluster.Nodes[0].Epoch(), "after an outage of %v", outage)
			cancel()
			cluster.Stop()
		})
	}
}

// Guards against a table outage that is reported as an unknown outcome although nothing was written.
func TestTableDownIsNotRun(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		cluster.Table.SetDown(true)
		_, err := cluster.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.True(t, errkind.Is(err, errkind.StoreUnavailable), "%v", err)
	})
}

// Guards against two accepted submissions for one epoch, a conflict error that does not say what changed, and rejections
// without an audit row.
func TestSecondOperatorIsToldWhatChanged(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		a, b := cluster.Nodes[0].Acceptor(), cluster.Nodes[1].Acceptor()
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
		require.Equal(t, []string{"one accepted", "two accepted", "three epoch_conflict", "four fleet_invalid"},
			auditOutcomes(t, ctx, a))
	})
}

// Guards against reporting a text as accepted while no other node holds it.
func TestAcceptanceNeedsAnotherNode(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		for _, n := range cluster.Nodes[1:] {
			n.Pause(true)
		}
		_, err := cluster.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.True(t, errkind.Is(err, errkind.AcceptanceUnknown), "%v", err)
		for _, n := range cluster.Nodes[1:] {
			n.Pause(false)
		}
		accepted, err := cluster.Nodes[2].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		require.Equal(t, int64(1), accepted.Epoch)
	})
}

// Guards against an epoch that is never reported in force while a failure domain is isolated, or is reported too early, or
// without the names of the nodes that did not confirm it.
func TestInForceByMajorityOfDomains(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		a := cluster.Nodes[0].Acceptor()
		_, err := a.Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		time.Sleep(propagationTarget)
		require.True(t, a.InForce(1))
		cluster.SetIsolated(DomainName(2), true)
		start := time.Now()
		_, err = a.Submit(ctx, submission("two", 1, 2))
		require.NoError(t, err)
		for !a.InForce(2) && time.Since(start) < time.Minute {
			time.Sleep(10 * time.Millisecond)
		}
		took := time.Since(start)
		require.True(t, a.InForce(2))
		require.Greater(t, took, 4*time.Second, "reported in force before the freshness bound passed")
		require.Less(t, took, 10*time.Second)
		require.Equal(t, []string{"agent-0005", "entry-0002"}, a.Status().Unconfirmed)
		for _, n := range cluster.Nodes {
			if n.Domain == DomainName(2) {
				require.False(t, n.Peer().EpochStore().Fresh(), n.Name)
			}
		}
	})
}

// Guards against a cluster that stops serving when the table is down, and against a restarted node that serves before it
// knows the current epoch.
func TestTableOutage(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		_, err := cluster.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		time.Sleep(propagationTarget)
		cluster.Table.SetDown(true)
		for range 100 {
			time.Sleep(600 * time.Millisecond)
			for _, n := range cluster.Nodes {
				require.True(t, n.Peer().EpochStore().Fresh(), n.Name)
			}
		}
		restarted := cluster.Nodes[1]
		restarted.Stop()
		require.NoError(t, restarted.Start(ctx))
		require.False(t, restarted.Peer().EpochStore().Fresh())
		time.Sleep(5 * time.Second)
		require.True(t, restarted.Peer().EpochStore().Fresh(), "two other failure domains confirm the epoch")
	})
}

// Guards against a leaving node that some entry still considers live after 3 s.
func TestLeavingReachesEveryEntry(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		name := "endpoint-" + cluster.Nodes[4].Name
		before, ok := cluster.Nodes[3].Peer().Members().Endpoint(name)
		require.True(t, ok && before.Live)
		cluster.Nodes[0].Peer().Members().ObserveLeaving(name)
		time.Sleep(3 * time.Second)
		for _, n := range cluster.Nodes[:4] {
			got, _ := n.Peer().Members().Endpoint(name)
			require.False(t, got.Live, n.Name)
		}
		require.True(t, cluster.Nodes[4].Peer().Members().SelfLeaving(), "the node must learn that it is leaving")
	})
}

// Guards against audit queries that read the whole trail, and pages that skip or repeat records.
func TestAuditIsPaged(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		a := cluster.Nodes[0].Acceptor()
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
		scans, start := cluster.Table.ScanCount(epoch.AuditPrefix), time.Now()
		_, err = a.Audit(ctx, "", 5)
		require.NoError(t, err)
		require.LessOrEqual(t, cluster.Table.ScanCount(epoch.AuditPrefix)-scans, 3, "three pages")
		// The table counts the reads of all nodes, so the virtual time is checked: each read takes tableLatency.
		require.LessOrEqual(t, time.Since(start), 4*tableLatency, "the row of the current epoch and three pages")
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
		require.True(t, errkind.Is(err, errkind.InvalidRequest), "rows other than audit records must not be readable")
	})
}

// Guards against an epoch that no other entry reports in force after the accepting entry has stopped, also while the VM
// list still contains it.
func TestInForceAfterAcceptingEntryStops(t *testing.T) {
	withCluster(t, func(t *testing.T, ctx context.Context, cluster *Cluster) {
		cluster.Nodes[3].Stop() // still listed, so the epoch needs the majority of domains
		_, err := cluster.Nodes[0].Acceptor().Submit(ctx, submission("one", 0, 1))
		require.NoError(t, err)
		cluster.Nodes[0].Stop()
		other := cluster.Nodes[1].Acceptor()
		start := time.Now()
		for !other.Status().InForce && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		require.Less(t, time.Since(start), 10*time.Second,
			"two of three domains are complete, so only the freshness bound of 4 s must pass")
		require.Equal(t, []string{"entry-0003"}, other.Status().Unconfirmed)

		cluster.Nodes[2].Stop()
		require.NoError(t, cluster.Nodes[2].Start(ctx))
		time.Sleep(propagationTarget)
		require.True(t, cluster.Nodes[2].Acceptor().InForce(1), "a restarted entry learns it from the others")
	})
}

// Guards against a leaving node that some entry of a larger cluster still considers live after 3 s.
func TestLeavingReachesEveryEntryOf300Nodes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cluster := NewCluster(Options{Entries: 96, Agents: 204, Domains: 7})
		require.NoError(t, cluster.Start(ctx))
		time.Sleep(40 * time.Second)
		leaving := cluster.Nodes[100]
		name := "endpoint-" + leaving.Name
		cluster.Nodes[0].Peer().Members().ObserveLeaving(name)
		time.Sleep(3 * time.Second)
		for _, n := range cluster.Nodes[:96] {
			got, _ := n.Peer().Members().Endpoint(name)
			require.False(t, got.Live, n.Name)
		}
		require.True(t, leaving.Peer().Members().SelfLeaving(), "the node must learn that it is leaving")
		cancel()
		cluster.Stop()
	})
}
