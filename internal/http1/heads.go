package http1

import (
	"sync"

	"github.com/pkg/errors"

	"github.com/bilberrylink/bilberrylink/intake"
)

// ErrShort is returned in place of a head for which the process has no memory.
var ErrShort = errors.New("no memory for the head of an HTTP response")

// Costs of heads in bytes of memory; see headCost.
const (
	// maxHeadCost bounds what the head of one response costs.
	maxHeadCost = 8 << 20
	// freeHeadCost is what the head of a response may cost without a charge. Usual heads cost a third of it, so that they never fail for others.
	freeHeadCost = 16 << 10
	// smallHeadCost is the cost up to which a head may use the whole budget.
	smallHeadCost = 64 << 10
	// Larger heads share largeShare of shareWhole of it.
	largeShare, shareWhole = 3, 4
	// defaultHeadBytes is the budget of a process whose machine is not known.
	defaultHeadBytes = 32 << 20
	// memoryShare is the part of the machine's memory for the budget.
	memoryShare = 16
)

// headCost returns what a head costs while it is received and used. Fields of a few bytes cost many times their length.
func headCost(size, fields int64) int64 { return size*intake.HeadCost + fields*intake.FieldCost }

// headBudget bounds what the heads of all responses that a process receives cost together. It is safe for concurrent use.
type headBudget struct {
	mu       sync.Mutex
	capacity int64
	held     int64
	large    int64 // part of held by heads above smallHeadCost
}

// heads is the budget of the process.
var heads = &headBudget{capacity: defaultHeadBytes}

// LimitHeads bounds the memory that the heads of responses may take, for all connections of the process, by the memory of the machine in bytes; 0:
// not known, which leaves a bound that suits most machines.
func LimitHeads(machineBytes int64) {
	if machineBytes <= 0 {
		return
	}
	heads.mu.Lock()
	defer heads.mu.Unlock()
	heads.capacity = machineBytes / memoryShare
}

// change changes the cost of a head, and reports whether there is room for it.
func (b *headBudget) change(from, to int64) bool {
	charge, large := chargeOf(to)-chargeOf(from), largeChargeOf(to)-largeChargeOf(from)
	if charge == 0 && large == 0 {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if to > from && (b.held+charge > b.capacity || large > 0 && b.large+large > b.capacity*largeShare/shareWhole) {
		return false
	}
	b.held += charge
	b.large += large
	return true
}

func chargeOf(cost int64) int64 { return max(cost-freeHeadCost, 0) }

func largeChargeOf(cost int64) int64 {
	if cost <= smallHeadCost {
		return 0
	}
	return chargeOf(cost)
}
