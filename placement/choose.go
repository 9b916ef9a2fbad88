package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// Weights of the choice. Costs are in units of a short request that becomes late.
const (
	// valueTokens is the prompt length that adds one unit to the cost of being late: long prompts took longer to
	// prepare and cost the engines more when they are asked again.
	valueTokens = 9000
	baseValue   = 0.75
	// waitWeight prices the first event's delay relative to its goal, for choices that are all in time.
	waitWeight = 0.15
	// workWeight prices a second of reading, so that prompts are not split further than helps.
	workWeight = 0.02
	// partWeight prices each part beyond the first: it may fail, and occupies one more endpoint.
	partWeight = 0.004
	// zoneWeight prices a crossing of failure domains, which adds delay and traffic.
	zoneWeight = 0.01
	// failureWeight prices the recent failure rate of an endpoint.
	failureWeight = 4.0
	// slotWait is the assumed wait for a free slot.
	slotWait = 600 * time.Millisecond
	// pauseMargin is the share of a pause goal that may be used up by a predicted pause.
	pauseMargin = 0.85
	// goalMargin is the share of a goal that a predicted first event may take.
	goalMargin = 0.9
	// memoryMargin is the share of an endpoint's memory that is given out without a reservation.
	memoryMargin = 0.92
	// maxParts bounds the endpoints of one prompt, the receiving one included: the engines take 16 helpers.
	maxParts = 16
	// splitFrom is the prompt length from which splitting is weighed.
	splitFrom = 6000
	// maxReservations bounds the endpoints that hold the memory of one prompt.
	maxReservations = 6
)

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID          string
	Near        bool    // in the caller's failure domain
	FailureRate float64 // recent share of failed requests
	Pace        float64 // observed time over predicted time, at least 1
}

// Request is what the choice depends on.
type Request struct {
	Tokens    int // prompt tokens
	Output    int // expected output tokens
	Goal      time.Duration
	PauseGoal time.Duration
	Waited    time.Duration // since the caller's request arrived
	Whole     bool          // do not split, for instance after a part failed
}

// Plan is the result of a choice: Endpoints[0] receives the request, the others read parts of the prompt.
type Plan struct {
	Endpoints []string
	Reserve   []int // tokens to reserve at Endpoints[i]; nil if no reservation is needed
	Jobs      []uint64
	Predicted time.Duration // until the first event
	Cost      float64
}

// seat is a candidate with the load that it has.
type seat struct {
	*Candidate
	load *load
	cost float64
}

// Choose picks endpoints for a request to a model service and places its jobs on the board.
// ok is false if the prompt does not fit into the memory of the candidates together.
func (b *Board) Choose(m *engine.Model, cands []Candidate, r Request, now time.Time) (p Plan, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	seats := b.seats(m, cands, now)
	if len(seats) == 0 {
		return Plan{}, false
	}
	for _, parts := range partCounts(m, r, len(seats)) {
		if plan, fits := planFor(m, seats, r, parts); fits && (!ok || plan.Cost < p.Cost) {
			p, ok = plan, true
		}
	}
	if ok {
		p.Jobs = b.place(p, r, now)
	}
	return p, ok
}

func (b *Board) seats(m *engine.Model, cands []Candidate, now time.Time) []seat {
	loads := b.snapshot(now)
	seats := make([]seat, len(cands))
	for i := range cands {
		l := loads[KeyOf(cands[i].ID)]
		if l == nil {
			l = new(load)
		}
		l.measure(m, max(cands[i].Pace, 1), now)
		seats[i] = seat{Candidate: &cands[i], load: l}
	}
	rand.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	return seats
}

// partCounts returns the numbers of parts that are weighed.
func partCounts(m *engine.Model, r Request, seats int) []int {
	counts := []int{1}
	if !m.SplitsPrompts || r.Whole || r.Tokens < splitFrom {
		return counts
	}
	for _, n := range []int{2, 3, 4, 6, 8, 11, maxParts} {
		if n <= seats {
			counts = append(counts, n)
		}
	}
	return counts
}

// value is the cost of a late request with a prompt of so many tokens.
func value(tokens int) float64 { return baseValue + float64(tokens)/valueTokens }

// planFor returns the cheapest plan with so many parts.
func planFor(m *engine.Model, seats []seat, r Request, parts int) (Plan, bool) {
	read := m.Read(r.Tokens, parts)
	for i := range seats {
		seats[i].cost = partCost(m, &seats[i], r, read)
	}
	slices.SortFunc(seats, func(a, b seat) int { return cmp.Compare(a.cost, b.cost) })
	chosen := slices.Clone(seats[:parts])
	lead := leadIndex(m, chosen, r)
	chosen[0], chosen[lead] = chosen[lead], chosen[0]

	plan := Plan{Cost: float64(parts-1) * partWeight}
	var slowest time.Duration
	for i := range chosen {
		s := &chosen[i]
		plan.Cost += s.cost
		plan.Endpoints = append(plan.Endpoints, s.ID)
		slowest = max(slowest, s.load.backlog+scale(read, s.Pace))
	}
	plan.Predicted = slowest + chosen[0].load.pass
	if chosen[0].load.writers >= m.Slots {
		plan.Predicted += slotWait
	}
	plan.Cost += waitCost(r, plan.Predicted) + read.Seconds()*float64(parts)*workWeight
	return plan, plan.reserve(m, chosen, r)
}

// partCost is what a part of so much reading costs the others at an endpoint, and its risk.
func partCost(m *engine.Model, s *seat, r Request, read time.Duration) float64 {
	l := s.load
	read = scale(read, s.Pace)
	before := l.backlog + l.pass
	after := before + read
	cost := s.FailureRate*failureWeight*value(r.Tokens)*0.2 + after.Seconds()*waitWeight
	if !s.Near {
		cost += zoneWeight
	}
	for _, j := range l.jobs {
		cost += harm(j, before, after)
	}
	if l.writers >= m.Slots {
		cost += value(r.Tokens)
	}
	return cost
}

// harm is what a job loses when the pass at its endpoint grows from before to after.
func harm(j *Job, before, after time.Duration) float64 {
	if j.Output == 0 {
		return 0
	}
	goal := scale(j.PauseGoal, pauseMargin)
	if !j.Writing {
		goal = scale(j.Goal, goalMargin)
	}
	if goal <= 0 || before > goal {
		return 0
	}
	if after > goal {
		return value(j.Tokens)
	}
	return 0
}

// waitCost is what a request loses by its own wait for the first event.
func waitCost(r Request, predicted time.Duration) float64 {
	if r.Goal <= 0 {
		return predicted.Seconds()
	}
	used := (predicted + r.Waited).Seconds() / r.Goal.Seconds()
	cost := used * waitWeight * value(r.Tokens)
	if used > goalMargin {
		cost += value(r.Tokens)
	}
	return cost
}

// leadIndex returns the chosen endpoint with the most free memory: it holds the context while the answer is written.
func leadIndex(m *engine.Model, chosen []seat, r Request) int {
	best := 0
	for i := range chosen {
		if r.Tokens >= splitFrom && chosen[i].load.memory < chosen[best].load.memory {
			best = i
		}
	}
	return best
}

// reserve decides where the context of the prompt is kept. It returns false if there is no room.
func (p *Plan) reserve(m *engine.Model, chosen []seat, r Request) bool {
	need := r.Tokens + r.Output
	room := func(s seat) int { return int(float64(m.MemoryTokens)*memoryMargin) - s.load.memory }
	if m.MemoryTokens <= 0 || need <= room(chosen[0]) {
		return true
	}
	if need <= int(float64(m.MemoryTokens)*memoryMargin) && len(chosen) == 1 {
		p.Cost += value(r.Tokens) // waits for memory, or preempts others
		return true
	}
	p.Reserve = make([]int, len(chosen))
	left, holders := need, 0
	for i := range chosen {
		take := min(left, room(chosen[i]))
		if take <= 0 || holders == maxReservations {
			continue
		}
		p.Reserve[i] = take
		left -= take
		holders++
		if left == 0 {
			break
		}
	}
	return left == 0
}

// place adds the jobs of a plan to the board.
func (b *Board) place(p Plan, r Request, now time.Time) []uint64 {
	ids := make([]uint64, 0, len(p.Endpoints))
	for i, e := range p.Endpoints {
		j := Job{Endpoint: KeyOf(e), Tokens: r.Tokens, Parts: len(p.Endpoints), Goal: r.Goal, Placed: now}
		if p.Reserve != nil {
			j.Memory = p.Reserve[i]
		}
		if i == 0 {
			j.Output, j.PauseGoal = max(r.Output, 1), r.PauseGoal
			if p.Reserve == nil {
				j.Memory = r.Tokens + r.Output
			}
		}
		ids = append(ids, b.add(j))
	}
	return ids
}

func sortByPlaced(jobs []*Job) {
	slices.SortFunc(jobs, func(a, b *Job) int { return a.Placed.Compare(b.Placed) })
}

// ChoosePlain picks the endpoint of a plain service with the fewest jobs, near ones first among equals.
func (b *Board) ChoosePlain(cands []Candidate, now time.Time) (Plan, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(cands) == 0 {
		return Plan{}, false
	}
	loads := b.snapshot(now)
	costOf := func(c Candidate) float64 {
		cost := c.FailureRate*failureWeight + rand.Float64()*0.2
		if l := loads[KeyOf(c.ID)]; l != nil {
			cost += float64(len(l.jobs))
		}
		if !c.Near {
			cost += 0.5 // a crossing costs less than waiting behind one more request
		}
		return cost
	}
	best, lowest := 0, 0.0
	for i, c := range cands {
		if cost := costOf(c); i == 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	p := Plan{Endpoints: []string{cands[best].ID}, Cost: lowest}
	p.Jobs = []uint64{b.add(Job{Endpoint: KeyOf(cands[best].ID), Parts: 1, Placed: now})}
	return p, true
}
