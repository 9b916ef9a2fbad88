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

// agent returns a record of the agent of endpoint model-01.
func agent(incarnation string, sequence uint64) *wire.NodeRecord {
	return &wire.NodeRecord{Name: "agent-1", Addr: "a:1", FailureDomain: "a", Role: "agent", Endpoint: "model-01",
		Incarnation: incarnation, Sequence: sequence}
}

// listed returns a VM list with that agent.
func listed(state cloud.VMState) []cloud.VM {
	return []cloud.VM{{Name: "agent-1", Addr: "a:1", FailureDomain: "a", State: state, Role: cloud.RoleAgent}}
}

// live reports whether the table shows that agent as live.
func live(t *testing.T, table *Table) bool {
	n, ok := table.Endpoint("model-01")
	require.True(t, ok)
	return n.Live
}

// Guards against work that is sent to a node that is on the list but has not started.
func TestListedButNeverHeardIsNotLive(t *testing.T) {
	table := NewTable(Options{Name: "entry-1"})
	table.SetVMList(listed(cloud.VMLive))
	require.Empty(t, table.Agents())
	require.Len(t, table.ServingCandidates(time.Second), 1, "a new epoch is not accepted without it")
}

// Guards against a lagging list that takes a running node out of service, and against a stopped node that stays live.
func TestDroppedByListButAnsweringStaysLive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		table.SetVMList(listed(cloud.VMLive))
		table.Observe(agent("i1", 1), true)
		table.SetVMList(nil)
		require.True(t, live(t, table))
		time.Sleep(20 * time.Second)
		require.False(t, live(t, table))
		require.Empty(t, table.ServingCandidates(4*time.Second))
	})
}

// Guards against delayed gossip about an old incarnation that replaces the new one.
func TestRestartAtSameAddress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		table.Observe(agent("i1", 900), true)
		leaving := agent("i1", 901)
		leaving.Leaving = true
		table.Observe(leaving, true)
		require.False(t, live(t, table))
		time.Sleep(time.Second)
		table.Observe(agent("i2", 1), true)
		require.True(t, live(t, table), "the new incarnation is not leaving")
		late := agent("i1", 902)
		late.AgeMs = 0
		table.Observe(late, false)
		n, _ := table.Endpoint("model-01")
		require.Equal(t, "i2", n.Incarnation)
	})
}

// Guards against new work for a leaving node, whether the list, a reply or a record says that it leaves.
func TestLeavingIsFinal(t *testing.T) {
	for name, leave := range map[string]func(*Table){
		"list":   func(table *Table) { table.SetVMList(listed(cloud.VMLeaving)) },
		"reply":  func(table *Table) { table.ObserveLeaving("model-01") },
		"record": func(table *Table) { r := agent("i1", 2); r.Leaving = true; table.Observe(r, false) },
	} {
		t.Run(name, func(t *testing.T) {
			table := NewTable(Options{Name: "entry-1"})
			table.Observe(agent("i1", 1), true)
			require.True(t, table.Agents()[0].Live)
			leave(table)
			require.False(t, table.Agents()[0].Live, "the cached view is outdated")
			table.Observe(agent("i1", 3), true)
			require.False(t, live(t, table), "a later heartbeat does not undo it")
			require.Len(t, table.TakePushRecords(10), 1)
			require.Empty(t, table.TakePushRecords(10))
		})
	}
}

// Guards against a rolling restart during which entries still take a restarted agent for leaving when the next one stops.
func TestReturnIsUrgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		leaving := agent("i1", 1)
		leaving.Leaving = true
		table.Observe(leaving, true)
		require.Len(t, table.TakePushRecords(10), 1)
		time.Sleep(time.Second)
		table.Observe(agent("i2", 1), true)
		records := table.TakePushRecords(10)
		require.Len(t, records, 1)
		require.Equal(t, "i2", records[0].Incarnation)
		require.False(t, records[0].Leaving)
		require.True(t, live(t, table))
	})
}

// Guards against routing to an agent that does not answer, and against an agent that is never used again afterwards.
func TestFailureUntilHeardAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(Options{Name: "entry-1"})
		table.Observe(agent("i1", 1), true)
		time.Sleep(time.Second)
		table.ObserveFailure("model-01")
		require.False(t, live(t, table))
		old := agent("i1", 2)
		old.AgeMs = 500
		time.Sleep(100 * time.Millisecond)
		table.Observe(old, false)
		require.False(t, live(t, table), "gossip from before the failure proves nothing")
		table.Observe(agent("i1", 3), true)
		require.True(t, live(t, table))
	})
}

// Guards against an old load report that replaces a newer one.
func TestLoadBySequence(t *testing.T) {
	table := NewTable(Options{Name: "entry-1"})
	table.Observe(agent("i1", 1), true)
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
		near, far := NewTable(Options{Name: "entry-1"}), NewTable(Options{Name: "entry-2"})
		near.SetVMList(vms)
		far.SetVMList(vms)
		near.Observe(agent("i1", 1), true)
		far.Observe(agent("i1", 1), false)
		time.Sleep(time.Minute)
		require.False(t, live(t, far))
		near.Observe(agent("i1", 2), true)
		time.Sleep(300 * time.Millisecond)
		ages, digest := near.Ages()
		far.ObserveAges(ages, digest+1)
		require.False(t, live(t, far), "another list")
		far.ObserveAges(ages, digest)
		require.True(t, live(t, far))
		n, _ := far.Endpoint("model-01")
		require.Equal(t, 500*time.Millisecond, time.Since(n.LastHeard), "rounded up")
	})
}

// Guards against updates that are applied to another incarnation or out of order, and against a missing record that is
// not requested.
func TestUpdatesNeedTheirRecord(t *testing.T) {
	from, to := NewTable(Options{Name: "entry-1"}), NewTable(Options{Name: "entry-2"})
	r := agent("i1", 7)
	r.Epoch, r.Load = 4, &wire.Load{Endpoint: "model-01", Incarnation: "i1", Sequence: 3, QueuedPrefill: 500}
	from.Observe(r, true)
	updates := from.Updates(10)
	require.Len(t, updates, 1)
	to.ObserveUpdates(updates)
	lacking := to.TakeMissingKeys()
	require.Len(t, lacking, 1)
	require.Empty(t, to.TakeMissingKeys(), "requested once")
	to.Observe(agent("i1", 5), false)
	require.Len(t, from.RecordsByKey(lacking), 1)
	to.ObserveUpdates(updates)
	n, _ := to.Endpoint("model-01")
	require.Equal(t, int64(4), n.Epoch)
	to.Observe(from.RecordsByKey(lacking)[0], false)
	r.Sequence, r.Load.Sequence, r.Load.QueuedPrefill = 8, 4, 900
	from.Observe(r, true)
	to.ObserveUpdates(from.Updates(10))
	to.ObserveUpdates(updates)
	n, _ = to.Endpoint("model-01")
	require.Equal(t, int64(900), n.Load.GetQueuedPrefill(), "an older update does not replace a newer one")
	to.Observe(agent("i2", 1), true)
	to.ObserveUpdates(from.Updates(10))
	n, _ = to.Endpoint("model-01")
	require.Equal(t, "i2", n.Incarnation)
	require.Zero(t, n.Epoch)
}
