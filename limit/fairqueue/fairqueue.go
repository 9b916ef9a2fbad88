// Package fairqueue provides a bounded queue with strict priority between service classes and weighted fair queueing
// between the workspaces of a class.
//
// Within a class, items are served by start-time fair queueing (SFQ): the start tag of an item is the later of the
// class's virtual time and the finish tag of its workspace's previous item. A full queue sheds an item of the least
// urgent class, and within the class the one with the latest start tag, which belongs to the workspace that exceeds its
// share the most.
package fairqueue

import (
	"math"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/invariant"
)

// ErrFull means that the queue is full and holds no item that may be shed for the new one.
var ErrFull = errors.New("fairqueue: full")

const (
	numClasses = 3
	minCost    = 1 // items that cost 0 count as this, so that the start tags of a workspace's items differ
)

// Item is an element of a Queue. Its exported fields must not change after Push.
type Item[T any] struct {
	Workspace string
	Class     fleet.Class
	Weight    float64 // weight of the workspace; 0 means 1
	Cost      float64 // amount of work, in a unit that is the same for all items of a queue, such as tokens
	Exclusive bool    // the item runs only while no other item runs
	Value     T

	startTag, finishTag float64
	state               itemState
}

// itemState is the state of an item.
type itemState int

const (
	stateNew itemState = iota
	stateQueued
	stateTaken   // returned by Next
	stateRemoved // cancelled or shed; final
)

// Options configures a Queue.
type Options struct {
	Capacity      int     // largest number of queued items over all classes
	OvertakeLimit float64 // largest difference of start tags (cost divided by weight) at which items may overtake one that yields

	runRemoved bool // tests only: an item that was removed can still run
}

// Queue is a bounded priority and fair queue. It is safe for concurrent use.
type Queue[T any] struct {
	mu               sync.Mutex
	opts             Options
	classQueues      [numClasses]classQueue[T]
	length           int
	running          int
	exclusiveRunning bool // a running item must run alone
}

// classQueue holds the items of one class, ordered by start tag.
type classQueue[T any] struct {
	items          []*Item[T]
	virtualTime    float64
	lastFinishTags map[string]float64 // finish tag of the newest item by workspace
	totalCost      float64            // of items
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	q := &Queue[T]{opts: opts}
	for i := range q.classQueues {
		q.classQueues[i].lastFinishTags = make(map[string]float64)
	}
	return q
}

// Rank returns the position of a class, 0 for the most urgent. An unknown class ranks as interactive.
func Rank(class fleet.Class) int {
	switch class {
	case fleet.ClassUrgent:
		return 0
	case fleet.ClassBulk:
		return 2
	}
	return 1
}

// Push queues an item and returns the item that was shed to make room, or nil. A shed item never runs. Errors: ErrFull.
func (q *Queue[T]) Push(item *Item[T]) (shed *Item[T], err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	class := &q.classQueues[Rank(item.Class)]
	item.startTag = max(class.virtualTime, class.lastFinishTags[item.Workspace])
	item.finishTag = item.startTag + max(item.Cost, minCost)/weightOf(item.Weight)
	if q.length >= q.opts.Capacity {
		if shed = q.itemToShed(item); shed == nil {
			return nil, ErrFull
		}
		q.discard(shed)
	}
	class.insert(item)
	q.length++
	return shed, nil
}

func weightOf(weight float64) float64 {
	if weight <= 0 {
		return 1
	}
	return weight
}

// itemToShed returns the item to shed for the new item, or nil. It is the last item of the least urgent class that has
// any; it must be of a less urgent class than the new item, or of the same class and have a later start tag.
func (q *Queue[T]) itemToShed(item *Item[T]) *Item[T] {
	rank := Rank(item.Class)
	for r := numClasses - 1; r >= rank; r-- {
		items := q.classQueues[r].items
		if len(items) == 0 {
			continue
		}
		last := items[len(items)-1]
		if r > rank || last.startTag > item.startTag {
			return last
		}
		return nil
	}
	return nil
}

// insert adds an item in the order of start tags.
func (c *classQueue[T]) insert(item *Item[T]) {
	i, _ := slices.BinarySearchFunc(c.items, item.startTag, func(queued *Item[T], startTag float64) int {
		if queued.startTag <= startTag {
			return -1 // items with equal tags stay in order of arrival
		}
		return 1
	})
	c.items = slices.Insert(c.items, i, item)
	c.lastFinishTags[item.Workspace] = item.finishTag
	c.totalCost += item.Cost
	item.state = stateQueued
}

// discard removes a queued item for good.
func (q *Queue[T]) discard(item *Item[T]) {
	class := &q.classQueues[Rank(item.Class)]
	if class.lastFinishTags[item.Workspace] == item.finishTag {
		class.lastFinishTags[item.Workspace] = item.startTag // work that did not run is not charged to the workspace
	}
	q.unlink(class, item)
	item.state = stateRemoved
}

// unlink takes an item out of its queue.
func (q *Queue[T]) unlink(class *classQueue[T], item *Item[T]) {
	i := slices.Index(class.items, item)
	class.items = slices.Delete(class.items, i, i+1)
	class.totalCost -= item.Cost
	q.length--
	if len(class.items) == 0 {
		class.totalCost = 0
	}
}

// Remove removes a queued item for good: Next never returns it. It reports false if the item is not queued.
func (q *Queue[T]) Remove(item *Item[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if item.state != stateQueued {
		return false
	}
	if q.opts.runRemoved {
		item.state = stateRemoved
		return true
	}
	q.discard(item)
	return true
}

// Decision is a decision on whether an item may start now.
type Decision int

// Values of Decision.
const (
	Admit Decision = iota // the item starts
	Skip                  // it does not start; later items may
	Stop                  // it does not start, and neither do later or less urgent items
	Yield                 // it does not start; later items of the class may, within Options.OvertakeLimit; less urgent ones do not
)

// Next takes the first item in fair order that decide admits, or returns nil. decide gets the number of running items and
// must not call the queue. The caller must call Done when the item has ended. An item that must run alone blocks all
// later items until nothing runs.
func (q *Queue[T]) Next(decide func(item *Item[T], running int) Decision) *Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.exclusiveRunning {
		return nil
	}
	for r := range q.classQueues {
		item, tryNextClass := q.nextOfClass(&q.classQueues[r], decide)
		if item != nil || !tryNextClass {
			return item
		}
	}
	return nil
}

// nextOfClass takes the first item of a class that may start, or returns nil. tryNextClass reports whether an item of a
// less urgent class may start instead.
func (q *Queue[T]) nextOfClass(class *classQueue[T], decide func(item *Item[T], running int) Decision) (
	item *Item[T], tryNextClass bool) {
	maxStartTag := math.Inf(1)   // largest start tag of an item that may start
	firstYieldTag := math.Inf(1) // start tag of the first item that yields
	for _, item := range class.items {
		if item.startTag > maxStartTag || item.Exclusive && q.running > 0 {
			return nil, false
		}
		switch decide(item, q.running) {
		case Admit:
			q.take(class, item, min(item.startTag, firstYieldTag))
			return item, false
		case Stop:
			return nil, false
		case Yield:
			firstYieldTag = min(firstYieldTag, item.startTag)
			maxStartTag = firstYieldTag + q.opts.OvertakeLimit
		}
	}
	return nil, math.IsInf(maxStartTag, 1)
}

// take starts an item and advances the virtual time. It does not advance beyond the start tag of an item that yields,
// since the workspace of that item would otherwise lose the service that others received while it waited.
func (q *Queue[T]) take(class *classQueue[T], item *Item[T], virtualTime float64) {
	invariant.Check(item.state == stateQueued, "queue_removed_item_runs", "item of %s runs after its removal", item.Workspace)
	q.unlink(class, item)
	class.virtualTime = max(class.virtualTime, virtualTime)
	item.state = stateTaken
	q.running++
	q.exclusiveRunning = item.Exclusive
	if len(class.items) == 0 {
		class.dropPassedTags()
	}
}

// dropPassedTags deletes the finish tags that virtual time has passed, which bounds the map.
func (c *classQueue[T]) dropPassedTags() {
	for workspace, finish := range c.lastFinishTags {
		if finish <= c.virtualTime {
			delete(c.lastFinishTags, workspace)
		}
	}
}

// Done reports that an item returned by Next has ended.
func (q *Queue[T]) Done(item *Item[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if item.Exclusive {
		q.exclusiveRunning = false
	}
}

// Len returns the number of queued items.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.length
}

// Running returns the number of items that were returned by Next and are not done.
func (q *Queue[T]) Running() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.running
}

// CostAheadOf returns the cost of the queued items that would be served before the given item if it were pushed now:
// those of more urgent classes, and those of its class with the same or an earlier start tag.
func (q *Queue[T]) CostAheadOf(item *Item[T]) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank, sum := Rank(item.Class), 0.0
	for r := range rank {
		sum += q.classQueues[r].totalCost
	}
	class := &q.classQueues[rank]
	start := max(class.virtualTime, class.lastFinishTags[item.Workspace])
	for _, other := range class.items {
		if other.startTag > start {
			break
		}
		sum += other.Cost
	}
	return sum
}

// QueuedCost returns the cost of the queued items of class c and of more urgent classes.
func (q *Queue[T]) QueuedCost(class fleet.Class) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var sum float64
	for r := 0; r <= Rank(class); r++ {
		sum += q.classQueues[r].totalCost
	}
	return sum
}
