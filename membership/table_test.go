package membership

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	"github.com/bilberrylink/bilberrylink/cloud"
	"github.com/bilberrylink/bilberrylink/wire"
)

// agentRecord returns a record of the agent of endpoint model-01.
func agentRecord(incarnation string, sequence uint64) *wire.NodeRecord {
	return &wire.NodeRecord{Name: "agent-1", Addr: "a:1", FailureDomain: "a", Role: "agent", Endpoint: "model-01",
		Incarnation: incarnation, Sequence: sequence}
}

// vmList returns a VM list with that agent.
func vmList(state cloud.VMState) []cloud.VM {
	return []cloud.VM{{Name: "agent-1", Addr: "a:1", FailureDomain: "a", State: state, Role: cloud.RoleAgent}}
}

// isLive reports whether the table shows that agent as live.
func isLive(t *testing.T, table *Table) bool {
	n, ok := table.Endpoint("model-01")
	require.True(t, ok)
	return n.Live
}

// Guards against work that is sent to a node that is on the list but has not started.
func TestListedButNeverHeardIsNotLive(t *testing.T) {
	table := NewTable(Options{Name: "entry-1"})
	table.SetVMList(vmList(cloud.VMLive))
	require.Empty(t, table.Agents())
	require.Len(t, table.ServingCandidates(time.Second), 1, "a new epoch is not accepted without it")
}

// Guards against an agent that is in no failure domain, so that an evacuation misses it, because its own record states none.
func TestFailureDomainComesFromRecordOrList(t *testing.T) {
	table := NewTable(Options{Name: "entry-1"})
	table.SetVMList([]cloud.VM{{Name: "agent-1", Addr: "a:1", FailureDomain: "b", State: cloud.VMLive, Role: cloud.RoleAgent}})
	table.Observe(agentRecord("i1", 1), true)
	n, _ := table.Endpoint("model-01")
	require.Equal(t, "a", n.FailureDomain, "the record is newer than the list")
	record := agentRecord("i1", 2)
	record.FailureDomain = ""
	table.Observe(record, true)
	n, _ = table.Endpoint("model-01")
	require.Equal(t, "b", n.FailureDomain)
}

// Guards against a lagging list that takes a running node out of service, and against a stopped node that stays live.
func TestRemovedFromListButHeardStaysLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		table.SetVMList(vmList(cloud.VMLive))
		table.Observe(agentRecord("i1", 1), true)
		table.SetVMList(nil)
		require.True(t, isLive(t, table))
		time.Sleep(20 * time.Second)
		require.False(t, isLive(t, table))
		require.Empty(t, table.ServingCandidates(4*time.Second))
	})
}

// Guards against delayed gossip about an old incarnation that replaces the new one.
func TestRestartAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		table.Observe(agentRecord("i1", 900), true)
		leaving := agentRecord("i1", 901)
		leaving.Leaving = true
		table.Observe(leaving, true)
		require.False(t, isLive(t, table))
		time.Sleep(time.Second)
		table.Observe(agentRecord("i2", 1), true)
		require.True(t, isLive(t, table), "the new incarnation is not leaving")
		late := agentRecord("i1", 902)
		late.AgeMs = 0
		table.Observe(late, false)
		n, _ := table.Endpoint("model-01")
		require.Equal(t, "i2", n.Incarnation)
	})
}

// Guards against new work for a leaving node, whether the list, a reply or a record says that it leaves.
func TestLeavingIsFinal(t *testing.T) {
	for name, leave := range map[string]func(*Table){
		"list":   func(table *Table) { table.SetVMList(vmList(cloud.VMLeaving)) },
		"reply":  func(table *Table) { table.ObserveLeaving("model-01") },
		"record": func(table *Table) { r := agentRecord("i1", 2); r.Leaving = true; table.Observe(r, false) },
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Options{Name: "entry-1"})
			table.Observe(agentRecord("i1", 1), true)
			require.True(t, table.Agents()[0].Live)
			leave(table)
			require.False(t, table.Agents()[0].Live, "the cached view is outdated")
			table.Observe(agentRecord("i1", 3), true)
			require.False(t, isLive(t, table), "a later heartbeat does not undo it")
			require.Len(t, table.TakePushRecords(10), 1)
			require.Empty(t, table.TakePushRecords(10))
		})
	}
}

// Guards against a rolling restart during which entries still take a restarted agent for leaving when the next one stops.
func TestReturnIsPushedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		leaving := agentRecord("i1", 1)
		leaving.Leaving = true
		table.Observe(leaving, true)
		require.Len(t, table.TakePushRecords(10), 1)
		time.Sleep(time.Second)
		table.Observe(agentRecord("i2", 1), true)
		records := table.TakePushRecords(10)
		require.Len(t, records, 1)
		require.Equal(t, "i2", records[0].Incarnation)
		require.False(t, records[0].Leaving)
		require.True(t, isLive(t, table))
	})
}

// Guards against routing to an agent that does not answer, and against an agent that is never used again afterwards.
func TestFailureUntilHeardAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		table.Observe(agentRecord("i1", 1), true)
		time.Sleep(time.Second)
		table.ObserveFailure("model-01")
		require.False(t, isLive(t, table))
		old := agentRecord("i1", 2)
		old.AgeMs = 500
		time.Sleep(100 * time.Millisecond)
		table.Observe(old, false)
		require.False(t, isLive(t, table), "gossip from before the failure proves nothing")
		table.Observe(agentRecord("i1", 3), true)
		require.True(t, isLive(t, table))
	})
}

// Guards against an old load report that replaces a newer one.
func TestOlderLoadIsIgnored(t *testing.T) {
	table := NewTable(Options{Name: "entry-1"})
	table.Observe(agentRecord("i1", 1), true)
	for _, sequence := range []uint64{5, 4, 7, 6} {
		table.ObserveLoad(&wire.Load{Endpoint: "model-01", Incarnation: "i1", Sequence: sequence})
	}
	n, _ := table.Endpoint("model-01")
	require.Equal(t, uint64(7), n.Load.Sequence)
}

// Guards against messages of unbounded size, and against gossip that prefers records that have not changed.
func TestRecordsAreBoundedNewestFirst(t *testing.T) {
	table := NewTable(Options{Name: "entry-1"})
	for _, name := range []string{"a", "b", "c"} {
		table.Observe(&wire.NodeRecord{Name: name, Role: "agent", Incarnation: "i", Sequence: 1}, true)
	}
	size := proto.Size(table.Records(1000, "")[0])
	records := table.Records(2*size, "")
	require.Len(t, records, 2)
	require.Equal(t, "c", records[0].Name)
	require.Equal(t, "b", table.Records(2*size, "c")[0].Name)
}

// Guards against nodes that do not count as live at entries to which they did not report. Ages spread with each reply,
// but only between nodes with the same list.
func TestAgesKeepNodesLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		vms := []cloud.VM{{Name: "agent-1"}, {Name: "entry-1"}, {Name: "entry-2"}}
		sender, receiver := NewTable(Options{Name: "entry-1"}), NewTable(Options{Name: "entry-2"})
		sender.SetVMList(vms)
		receiver.SetVMList(vms)
		sender.Observe(agentRecord("i1", 1), true)
		receiver.Observe(agentRecord("i1", 1), false)
		time.Sleep(time.Minute)
		require.False(t, isLive(t, receiver))
		sender.Observe(agentRecord("i1", 2), true)
		time.Sleep(300 * time.Millisecond)
		ages, digest := sender.Ages()
		receiver.ObserveAges(ages, digest+1)
		require.False(t, isLive(t, receiver), "another list")
		receiver.ObserveAges(ages, digest)
		require.True(t, isLive(t, receiver))
		n, _ := receiver.Endpoint("model-01")
		require.Equal(t, 500*time.Millisecond, time.Since(n.LastHeard), "rounded up")
	})
}

// Guards against updates that are applied to another incarnation or out of order, and against a missing record that is
// not requested.
func TestUpdatesApplyToTheirIncarnation(t *testing.T) {
	sender, receiver := NewTable(Options{Name: "entry-1"}), NewTable(Options{Name: "entry-2"})
	r := agentRecord("i1", 7)
	r.Epoch, r.Load = 4, &wire.Load{Endpoint: "model-01", Incarnation: "i1", Sequence: 3, QueuedPrefill: 500}
	sender.Observe(r, true)
	updates := sender.Updates(10)
	require.Len(t, updates, 1)
	receiver.ObserveUpdates(updates)
	missing := receiver.TakeMissingKeys()
	require.Len(t, missing, 1)
	require.Empty(t, receiver.TakeMissingKeys(), "requested once")
	receiver.Observe(agentRecord("i1", 5), false)
	require.Len(t, sender.RecordsByKey(missing), 1)
	receiver.ObserveUpdates(updates)
	n, _ := receiver.Endpoint("model-01")
	require.Equal(t, int64(4), n.Epoch)
	receiver.Observe(sender.RecordsByKey(missing)[0], false)
	r.Sequence, r.Load.Sequence, r.Load.QueuedPrefill = 8, 4, 900
	sender.Observe(r, true)
	receiver.ObserveUpdates(sender.Updates(10))
	receiver.ObserveUpdates(updates)
	n, _ = receiver.Endpoint("model-01")
	require.Equal(t, int64(900), n.Load.GetQueuedPrefill(), "an older update does not replace a newer one")
	receiver.Observe(agentRecord("i2", 1), true)
	receiver.ObserveUpdates(sender.Updates(10))
	n, _ = receiver.Endpoint("model-01")
	require.Equal(t, "i2", n.Incarnation)
	require.Zero(t, n.Epoch)
}
