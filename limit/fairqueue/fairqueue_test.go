package fairqueue

import (
	"flag"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
)

// TestMain fixes the seed of the randomised tests.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1") // an unsigned number always parses
	}
	m.Run()
}

func alwaysAdmit(*Item[int], int) Decision { return Admit }

func push(t require.TestingT, q *Queue[int], workspace string, class fleet.Class, cost float64) (it, shed *Item[int]) {
	it = &Item[int]{Workspace: workspace, Class: class, Cost: cost}
	shed, err := q.Push(it)
	require.NoError(t, err)
	return it, shed
}

// Guards against a workspace that loses its share to one that pushes ten times as many items.
func TestShareUnderTenfoldLoad(t *testing.T) {
	q := New[int](Options{Capacity: 200})
	served := map[string]int{}
	for range 300 {
		for range 10 {
			_, _ = q.Push(&Item[int]{Workspace: "flood", Class: fleet.ClassInteractive, Cost: 100}) // may be full
		}
		push(t, q, "quiet", fleet.ClassInteractive, 100)
		for range 2 {
			it := q.Next(alwaysAdmit)
			served[it.Workspace]++
			q.Done(it)
		}
	}
	require.GreaterOrEqual(t, served["quiet"], 270) // 90% of its share of 300 items
}

// Guards against a workspace whose short items overtake the long items of another one without bound, so that the other
// one loses its share. A long item can start only at every fortieth attempt.
func TestOvertakingKeepsTheShareUnderTenfoldLoad(t *testing.T) {
	const long, short, overtakeLimit = 100, 10, 200
	q := New[int](Options{Capacity: 500, OvertakeLimit: overtakeLimit})
	served := map[string]float64{}
	attempts, waiting := 0, 0
	decide := func(it *Item[int], _ int) Decision {
		if it.Cost == long && attempts%40 != 0 {
			return Yield
		}
		return Admit
	}
	for range 4000 {
		for range 10 {
			_, _ = q.Push(&Item[int]{Workspace: "flood", Class: fleet.ClassInteractive, Cost: short}) // may be full
		}
		if waiting == 0 {
			push(t, q, "quiet", fleet.ClassInteractive, long)
			waiting++
		}
		if it := q.Next(decide); it != nil {
			served[it.Workspace] += it.Cost
			q.Done(it)
			if it.Workspace == "quiet" {
				waiting--
			}
		}
		attempts++
	}
	require.GreaterOrEqual(t, served["quiet"], 0.9*served["flood"], "equal weights")
}

// Guards against an estimate of the work ahead that counts the whole backlog of one workspace for items of the others.
func TestCostAheadCountsOnlyItemsServedEarlier(t *testing.T) {
	q := New[int](Options{Capacity: 200})
	for range 100 {
		push(t, q, "flood", fleet.ClassInteractive, 100)
	}
	require.EqualValues(t, 100, q.CostAheadOf(&Item[int]{Workspace: "quiet", Class: fleet.ClassInteractive, Cost: 100}))
	require.EqualValues(t, 10_000, q.CostAheadOf(&Item[int]{Workspace: "flood", Class: fleet.ClassInteractive, Cost: 100}))
	require.EqualValues(t, 10_000, q.CostAheadOf(&Item[int]{Workspace: "quiet", Class: fleet.ClassBulk, Cost: 100}))
	require.Zero(t, q.CostAheadOf(&Item[int]{Workspace: "flood", Class: fleet.ClassUrgent, Cost: 100}))
}

// Guards against items that overtake a yielding one although they are beyond the overtake limit or of a less urgent class.
func TestOnlyItemsWithinLimitOvertake(t *testing.T) {
	q := New[int](Options{Capacity: 10, OvertakeLimit: 15})
	yielding, _ := push(t, q, "a", fleet.ClassInteractive, 100)
	decide := func(it *Item[int], _ int) Decision {
		if it == yielding {
			return Yield
		}
		return Admit
	}
	near, _ := push(t, q, "b", fleet.ClassInteractive, 20)
	push(t, q, "b", fleet.ClassInteractive, 20) // its start tag is 20
	push(t, q, "c", fleet.ClassBulk, 1)
	require.Same(t, near, q.Next(decide))
	require.Nil(t, q.Next(decide))
	require.Same(t, yielding, q.Next(alwaysAdmit))
}

// Guards against a full queue that sheds urgent items before bulk ones, or that sheds an item of the same class for one
// of the workspace that exceeds its share.
func TestBulkIsShedFirst(t *testing.T) {
	q := New[int](Options{Capacity: 3})
	push(t, q, "a", fleet.ClassBulk, 10)
	latest, _ := push(t, q, "a", fleet.ClassBulk, 10)
	push(t, q, "b", fleet.ClassInteractive, 10)
	_, shed := push(t, q, "c", fleet.ClassUrgent, 10)
	require.Same(t, latest, shed)
	_, err := q.Push(&Item[int]{Workspace: "a", Class: fleet.ClassBulk, Cost: 10})
	require.ErrorIs(t, err, ErrFull)
	require.Equal(t, fleet.ClassUrgent, q.Next(alwaysAdmit).Class)
}

// Guards against an item that must run alone but runs together with others.
func TestExclusiveItemRunsAlone(t *testing.T) {
	q := New[int](Options{Capacity: 9})
	first, _ := push(t, q, "a", fleet.ClassInteractive, 1)
	require.Same(t, first, q.Next(alwaysAdmit))
	suspect := &Item[int]{Workspace: "b", Class: fleet.ClassInteractive, Exclusive: true}
	_, err := q.Push(suspect)
	require.NoError(t, err)
	push(t, q, "c", fleet.ClassInteractive, 1)
	require.Nil(t, q.Next(alwaysAdmit), "the suspect waits and blocks later items")
	q.Done(first)
	require.Same(t, suspect, q.Next(alwaysAdmit))
	require.Nil(t, q.Next(alwaysAdmit))
	q.Done(suspect)
	require.NotNil(t, q.Next(alwaysAdmit))
}

// Guards against an item that runs after it was shed or removed.
func TestRemovedItemNeverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		defer invariant.SetHandler(func(name, detail string) { t.Errorf("%s: %s", name, detail) })()
		q := New[int](Options{Capacity: 8})
		var items []*Item[int]
		removed := map[*Item[int]]bool{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				class := rapid.SampledFrom([]fleet.Class{fleet.ClassUrgent, fleet.ClassInteractive, fleet.ClassBulk}).Draw(t, "class")
				it := &Item[int]{Workspace: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "workspace"), Class: class}
				shed, err := q.Push(it)
				removed[shed] = true
				if err == nil {
					items = append(items, it)
				}
			case 1:
				if len(items) > 0 {
					it := rapid.SampledFrom(items).Draw(t, "item")
					if q.Remove(it) {
						removed[it] = true
					}
				}
			case 2:
				if it := q.Next(alwaysAdmit); it != nil {
					require.False(t, removed[it])
					q.Done(it)
				}
			}
		}
	})
}

// Checks that the invariant reports a removed item that runs.
func TestRemovedItemRunsIsReported(t *testing.T) {
	var names []string
	defer invariant.SetHandler(func(name, _ string) { names = append(names, name) })()
	q := New[int](Options{Capacity: 2, runRemoved: true})
	it, _ := push(t, q, "a", fleet.ClassBulk, 1)
	require.True(t, q.Remove(it))
	require.NotNil(t, q.Next(alwaysAdmit))
	require.Equal(t, []string{"queue_removed_item_runs"}, names)
}
