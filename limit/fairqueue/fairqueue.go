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
	classes     = 3
	minimumCost = 1 // the start tags of a workspace's items differ even if their cost is 0
)

// Item is an element of a Queue. Its exported fields must not change after Push.
type Item[T any] struct {
	Workspace string
	Class     fleet.Class
	Weight    float64 // weight of the workspace; 0 means 1
	Cost      float64 // amount of work, in a unit that is the same for all items of a queue, such as tokens
	Exclusive bool    // the item runs only while no other item runs
	Value     T

	start, finish float64
	state         state
}

// state is the state of an item.
type state int

const (
	idle state = iota
	queued
	taken   // returned by Next
	removed // cancelled or shed; final
)

// Options configures a Queue.
type Options struct {
	Capacity      int     // largest number of queued items over all classes
	OvertakeLimit float64 // cost divided by weight up to which items of the class may overtake one that yields

	allowRemoved bool // tests only: an item that was removed can still run
}

// Queue is a bounded priority and fair queue. It is safe for concurrent use.
type Queue[T any] struct {
	mu      sync.Mutex
	opts    Options
	lanes   [classes]lane[T]
	length  int
	running int
	alone   bool // a running item must run alone
}

// lane holds the items of one class, ordered by start tag.
type lane[T any] struct {
	items   []*Item[T]
	virtual float64            // virtual time
	last    map[string]float64 // finish tag of the newest item by workspace
	cost    float64            // total cost of items
}

// New returns an empty queue.
func New[T any](opts Options) *Queue[T] {
	q := &Queue[T]{opts: opts}
	for i := range q.lanes {
		q.lanes[i].last = make(map[string]float64)
	}
	return q
}

// Rank returns the position of a class, 0 for the most urgent. An unknown class ranks as interactive.
func Rank(c fleet.Class) int {
	switch c {
	case fleet.ClassUrgent:
		return 0
	case fleet.ClassBulk:
		return 2
	}
	return 1
}

// Push queues an item and returns the item that was shed to make room, or nil. A shed item never runs. Errors: ErrFull.
func (q *Queue[T]) Push(it *Item[T]) (shed *Item[T], err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := &q.lanes[Rank(it.Class)]
	it.start = max(l.virtual, l.last[it.Workspace])
	it.finish = it.start + max(it.Cost, minimumCost)/weightOf(it.Weight)
	if q.length >= q.opts.Capacity {
		if shed = q.victim(it); shed == nil {
			return nil, ErrFull
		}
		q.drop(shed)
	}
	l.insert(it)
	q.length++
	return shed, nil
}

func weightOf(w float64) float64 {
	if w <= 0 {
		return 1
	}
	return w
}

// victim returns the item to shed for it, or nil: the last item of the least urgent class, which must be less urgent than
// it, or of the same class with a later start tag.
func (q *Queue[T]) victim(it *Item[T]) *Item[T] {
	own := Rank(it.Class)
	for r := classes - 1; r >= own; r-- {
		items := q.lanes[r].items
		if len(items) == 0 {
			continue
		}
		latest := items[len(items)-1]
		if r > own || latest.start > it.start {
			return latest
		}
		return nil
	}
	return nil
}

// insert adds an item in the order of start tags.
func (l *lane[T]) insert(it *Item[T]) {
	i, _ := slices.BinarySearchFunc(l.items, it.start, func(e *Item[T], start float64) int {
		if e.start <= start {
			return -1 // items with equal tags stay in order of arrival
		}
		return 1
	})
	l.items = slices.Insert(l.items, i, it)
	l.last[it.Workspace] = it.finish
	l.cost += it.Cost
	it.state = queued
}

// drop removes a queued item for good.
func (q *Queue[T]) drop(it *Item[T]) {
	l := &q.lanes[Rank(it.Class)]
	if l.last[it.Workspace] == it.finish {
		l.last[it.Workspace] = it.start // work that did not run is not charged to the workspace
	}
	q.unlink(l, it)
	it.state = removed
}

// unlink takes an item out of its lane.
func (q *Queue[T]) unlink(l *lane[T], it *Item[T]) {
	i := slices.Index(l.items, it)
	l.items = slices.Delete(l.items, i, i+1)
	l.cost -= it.Cost
	q.length--
	if len(l.items) == 0 {
		l.cost = 0
	}
}

// Remove removes a queued item for good: Next never returns it. It reports false if the item is not queued.
func (q *Queue[T]) Remove(it *Item[T]) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if it.state != queued {
		return false
	}
	if q.opts.allowRemoved {
		it.state = removed
		return true
	}
	q.drop(it)
	return true
}

// Decision is a decision on whether an item may start now.
type Decision int

// Values of Fit.
const (
	Admit Decision = iota
	Skip           // cannot start; later items may
	Stop           // cannot start, and neither may later or less urgent items
	Yield          // cannot start; later items of the class may if their start tag is within Options.Slack of this item's
)

// Next takes the first item in fair order for which fit returns Fits, or returns nil. fit gets the number of running
// items and must not call the queue. The caller must call Done when the item has ended. An item that must run alone
// blocks all later items until nothing runs.
func (q *Queue[T]) Next(fit func(it *Item[T], running int) Decision) *Item[T] {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.alone {
		return nil
	}
	for r := range q.lanes {
		it, more := q.nextOf(&q.lanes[r], fit)
		if it != nil || !more {
			return it
		}
	}
	return nil
}

// nextOf takes the first item of a class that may start. more reports whether less urgent classes may be tried.
func (q *Queue[T]) nextOf(l *lane[T], fit func(it *Item[T], running int) Decision) (it *Item[T], more bool) {
	limit := math.Inf(1) // largest start tag of an item that may start
	first := math.Inf(1) // start tag of the first item that yields
	for _, it := range l.items {
		if it.start > limit || it.Exclusive && q.running > 0 {
			return nil, false
		}
		switch fit(it, q.running) {
		case Admit:
			q.take(l, it, min(it.start, first))
			return it, false
		case Stop:
			return nil, false
		case Yield:
			first = min(first, it.start)
			limit = first + q.opts.OvertakeLimit
		}
	}
	return nil, math.IsInf(limit, 1)
}

// take starts an item and advances the virtual time. It does not advance beyond the start tag of an item that yields,
// since the workspace of that item would otherwise lose the service that others received while it waited.
func (q *Queue[T]) take(l *lane[T], it *Item[T], virtual float64) {
	invariant.Check(it.state == queued, "queue_removed_item_runs", "item of %s runs after its removal", it.Workspace)
	q.unlink(l, it)
	l.virtual = max(l.virtual, virtual)
	it.state = taken
	q.running++
	q.alone = it.Exclusive
	if len(l.items) == 0 {
		l.forget()
	}
}

// forget deletes the finish tags that virtual time has passed, which bounds the map.
func (l *lane[T]) forget() {
	for w, finish := range l.last {
		if finish <= l.virtual {
			delete(l.last, w)
		}
	}
}

// Done reports that an item returned by Next has ended.
func (q *Queue[T]) Done(it *Item[T]) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if it.Exclusive {
		q.alone = false
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

// CostAheadOf returns the cost of the queued items that would be served before it if it were pushed now: those of more urgent
// classes, and those of its class with the same or an earlier start tag.
func (q *Queue[T]) CostAheadOf(it *Item[T]) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	rank, sum := Rank(it.Class), 0.0
	for r := range rank {
		sum += q.lanes[r].cost
	}
	l := &q.lanes[rank]
	start := max(l.virtual, l.last[it.Workspace])
	for _, other := range l.items {
		if other.start > start {
			break
		}
		sum += other.Cost
	}
	return sum
}

// QueuedCost returns the cost of the queued items of class c and of more urgent classes.
func (q *Queue[T]) QueuedCost(c fleet.Class) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	var sum float64
	for r := 0; r <= Rank(c); r++ {
		sum += q.lanes[r].cost
	}
	return sum
}
