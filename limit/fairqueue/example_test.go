package fairqueue_test

import (
	"fmt"

	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/limit/fairqueue"
)

// A workspace that fills the queue delays the first item of another workspace by one item at most.
func ExampleQueue() {
	q := fairqueue.New[string](fairqueue.Options{Capacity: 16})
	for range 3 {
		_, _ = q.Push(&fairqueue.Item[string]{Workspace: "flood", Class: fleet.ClassInteractive, Cost: 100, Value: "flood"})
	}
	_, _ = q.Push(&fairqueue.Item[string]{Workspace: "desk", Class: fleet.ClassInteractive, Cost: 100, Value: "desk"})
	always := func(*fairqueue.Item[string], int) fairqueue.Decision { return fairqueue.Admit }
	for it := q.Next(always); it != nil; it = q.Next(always) {
		fmt.Println(it.Value)
		q.Done(it)
	}
	// Output:
	// flood
	// desk
	// flood
	// flood
}
