package placement

import (
	"cmp"
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
	// stackWeight prices a second of reading that an endpoint has left, relative to the value of a long prompt that would be
	// read there too: prompts that are read one after the other come earlier on average than those read at once.
	stackWeight = 1.2
	// partWeight prices each part beyond the first: it may fail, and occupies one more endpoint.
	partWeight = 0.004
	// zoneWeight prices a crossing of failure domains, which adds delay and traffic.
	zoneWeight = 0.01
	// failureWeight prices the recent failure rate of an endpoint, relative to the value of the prompt: a failed request
	// runs again elsewhere, late.
	failureWeight = 0.8
	// plainFailureWeight prices the same for plain services, in requests that wait there.
	plainFailureWeight = 4.0
	// plainZoneWeight is the crossing of failure domains in requests that wait: it costs less than waiting for one.
	plainZoneWeight = 0.5
	// plainSpread is the random part of the choice, so that gateways with equal views choose different endpoints.
	plainSpread = 0.2
	// slotWait is the assumed wait for a free slot.
	slotWait = 600 * time.Millisecond
	// blockFrom is the reading at an endpoint that short prompts bear beside their goals: a shorter block costs nothing.
	blockFrom = 200 * time.Millisecond
	// shortLife is the usual time that an answer with a short pause goal takes; it turns their number into a rate.
	shortLife = 2.0
	// blockShare is the share of free endpoints at which all short prompts suffer from blocked ones. With more free ones
	// they mostly go elsewhere: their loss falls with the square of the share.
	blockShare = 0.32
	// openWeight prices putting an answer with a short pause goal on an endpoint that has none: while there are such
	// endpoints, long prompts are read there without harm.
	openWeight = 0.3
	// packWeight and packShare make answers with a short pause goal prefer endpoints on which this share of the slots is
	// taken: after a burst, the endpoints with the fewest answers get empty again instead of all keeping some.
	packWeight = 0.6
	packShare  = 0.65
	// fullWeight prices the last slots of an endpoint: it grows with the fourth power of the share that is taken.
	fullWeight = 0.5
	// slotSecond is the value of a slot for a second when all are taken: about that of the short answer that could have
	// been written there.
	slotSecond = 0.65
	// lateShare is the part of a request's value that is lost when its first event is late.
	lateShare = 0.75
	// pauseMargin is the share of a pause goal that may be used up by a predicted pause.
	pauseMargin = 0.97
	// goalMargin is the share of a goal that a predicted first event may take.
	goalMargin = 0.9
	// memoryMargin is the share of an endpoint's memory that is given out without a reservation.
	memoryMargin = 0.92
	// maxParts bounds the endpoints of one prompt, the receiving one included: the engines take 16 helpers.
	maxParts = 16
	// splitFrom is the prompt length from which splitting is weighed.
	splitFrom = 500
	// leastPart is the length of a part below which more parts bring nothing: a pass takes longer than reading it.
	leastPart = 3000
	// waitFrom is the prompt length from which a request may wait for a better moment.
	waitFrom = 6000
	// waitGoal is the shortest goal that leaves time to wait: the reading that a request waits for takes some 100 ms.
	waitGoal = 600 * time.Millisecond
	// wholeWeight prices reading a prompt whole: parts of split prompts that come later are read before it.
	wholeWeight = 0.1
	// maxReservations bounds the endpoints that hold the memory of one prompt.
	maxReservations = 6
)

// Candidate is an endpoint that may be chosen.
type Candidate struct {
	ID                string
	SameFailureDomain bool    // in the caller's failure domain
	FailureRate       float64 // recent share of failed requests
	Slowdown          float64 // observed time over predicted time, at least 1
}

// Request is what the choice depends on.
type Request struct {
	PromptTokens  int // prompt tokens
	OutputTokens  int // expected output tokens
	LatencyTarget time.Duration
	GapTarget     time.Duration
	Waited        time.Duration // since the caller's request arrived
	TimeLeft      time.Duration // until the caller leaves
	NoSplit       bool          // do not split, for instance after a part failed
	Service       string        // whose requests wait for each other
	QueueJobID    uint64        // place in the queue from an earlier choice; 0: none
}

// patience is the wait for a first event after which callers have mostly left, in multiples of the goal.
const patience = 3.4

// Plan is the result of a choice: Endpoints[0] receives the request, the others read parts of the prompt.
type Plan struct {
	Endpoints        []string
	ReserveTokens    []int // tokens to reserve at Endpoints[i]; nil if no reservation is needed
	JobIDs           []uint64
	QueueJobID       uint64        // place in the queue of a request that waits
	PredictedLatency time.Duration // until the first event
	Cost             float64
	DelayCost        float64 // part of the cost: the own wait
	BlockingCost     float64 // part of the cost: prompts that arrive while endpoints read
}

// seat is a candidate with the load that it has.
type seat struct {
	*Candidate
	load *load
	cost float64
}

// Decision is the kind of a choice.
type Decision int

// Verdicts.
const (
	Admit              Decision = iota // the plan is placed
	Wait                               // a better plan is likely soon, and there is time
	InsufficientMemory                 // the prompt does not fit into the memory of the candidates together
	TooLate                            // the first event would come after the caller has left
	TooCostly                          // serving it would cost other callers more than it is worth
	QueueTooLong                       // the first event would miss its goal because of requests that go first
)

// WaitStep is the pause until a waiting request chooses again: about half a pass.
const WaitInterval = 25 * time.Millisecond

// Choose picks endpoints for a request to a model service. With Go, it places the plan's jobs on the board. With Wait, a
// long prompt gets a place in the queue, which any other verdict of a later choice ends.
func (b *Scheduler) Choose(m *engine.TimingModel, cands []Candidate, r Request, now time.Time) (Plan, Decision) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, v := b.choose(m, cands, r, now)
	if v == Wait && mayWait(r) {
		p.QueueJobID = b.queue(r, now)
	} else {
		b.leaveQueue(r.QueueJobID)
	}
	return p, v
}

func (b *Scheduler) choose(m *engine.TimingModel, cands []Candidate, r Request, now time.Time) (Plan, Decision) {
	if work, others := b.ahead(m, r, now); others {
		return turn(m, r, work, len(cands))
	}
	if tight(r.GapTarget) {
		cands = b.sample(cands, now)
	}
	seats := b.seats(m, cands, now)
	p, ok := cheapest(m, seats, r, now)
	if !ok {
		return Plan{}, roomLater(m, cands, r)
	}
	if v := verdict(m, seats, p, r, now); v != Admit {
		return p, v
	}
	p.JobIDs = b.place(p, r, now)
	return p, Admit
}

// sample draws the candidates that a short prompt is weighed at. Gateways that all looked for the cheapest endpoint
// would choose the same one, as long as they do not know of each other's choices: the more of these are unknown, the
// fewer candidates each gateway considers.
func (b *Scheduler) sample(cands []Candidate, now time.Time) []Candidate {
	n := int(float64(len(cands)) / (1 + unseenWeight*b.unseen(now)))
	if n = max(n, leastSample); n >= len(cands) {
		return cands
	}
	drawn := make([]Candidate, n)
	for i, k := range b.rng.Perm(len(cands))[:n] {
		drawn[i] = cands[k]
	}
	return drawn
}

// unseen estimates the number of requests that peers have placed and this gateway does not know yet.
func (b *Scheduler) unseen(now time.Time) float64 {
	recent := 0
	for j := range b.recentPeerJobs(now) {
		if j.OutputTokens > 0 && now.Sub(j.PlacedAt) < rateSpan {
			recent++
		}
	}
	return float64(recent) * viewAge.Seconds() / rateSpan.Seconds()
}

const (
	// rateSpan is the time over which the rate of requests is taken.
	rateSpan = 500 * time.Millisecond
	// viewAge is the usual time until gateways know of each other's choices: gathering, the way, and their processors.
	viewAge = 10 * time.Millisecond
	// unseenWeight is the share of candidates that are left out for each unknown choice of others: with less, gateways
	// still meet at one endpoint, with more, short prompts spread over endpoints that long ones need.
	unseenWeight = 4.0
	// leastSample is the least number of candidates.
	leastSample = 5
)

func cheapest(m *engine.TimingModel, seats []seat, r Request, now time.Time) (p Plan, ok bool) {
	if len(seats) == 0 {
		return p, false
	}
	scarce := scarcity(m, seats)
	for _, parts := range partCounts(m, r, len(seats)) {
		if plan, fits := planFor(m, seats, r, parts, scarce, now); fits && (!ok || plan.Cost < p.Cost) {
			p, ok = plan, true
		}
	}
	return p, ok
}

// roomLater tells a prompt that fits once others have ended from one that never does.
func roomLater(m *engine.TimingModel, cands []Candidate, r Request) Decision {
	most := memoryOf(m) * min(len(cands), maxReservations)
	if r.PromptTokens+r.OutputTokens > most || r.LatencyTarget > 0 && level(r, r.Waited) > 0 {
		return InsufficientMemory
	}
	return Wait
}

// waitHarm is the harm to others, relative to the own value, from which a request waits if it loses nothing by that.
const waitHarm = 0.08

// verdict decides whether a plan is carried out now. A plan waits while all slots are taken, while it would cost others
// more than it gains, and, for long prompts, while it does harm that it could avoid by starting a little later.
func verdict(m *engine.TimingModel, seats []seat, p Plan, r Request, now time.Time) Decision {
	later := r.Waited + WaitInterval
	excess := 0.0
	if mayWait(r) {
		ideal, ok := cheapest(m, idle(m, seats), r, now)
		if !ok {
			return InsufficientMemory
		}
		later += ideal.PredictedLatency
		excess = p.harm() - ideal.harm()
	}
	timeLeft := later < scale(patienceOf(r), patienceShare)
	at, atLater := level(r, r.Waited+p.PredictedLatency), level(r, later)
	switch {
	case noSlot(m, seats, r) || excess > gain(at)*value(r.PromptTokens):
		if timeLeft {
			return Wait
		}
		return TooCostly
	case excess > waitHarm*value(r.PromptTokens) && atLater <= at && timeLeft:
		return Wait
	case p.PredictedLatency > r.TimeLeft:
		return TooLate
	}
	return Admit
}

// gain is the share of a request's value that is left at a level of lateness.
func gain(level int) float64 {
	return [...]float64{1, 1 - lateShare, 0}[level]
}

// harm is what the plan costs others.
func (p *Plan) harm() float64 { return p.Cost - p.DelayCost }

// idle returns the seats without their load.
func idle(m *engine.TimingModel, seats []seat) []seat {
	free := make([]seat, len(seats))
	for i := range seats {
		free[i] = seat{Candidate: seats[i].Candidate, load: &load{pass: m.DecodePassTime(0, 0), short: seats[i].load.short}}
	}
	return free
}

// slotsOf returns the slots of an endpoint that a request may take. The last ones are kept for requests that can still
// come in time: when there are too few slots for all, some are served in time instead of none.
func slotsOf(m *engine.TimingModel, r Request) int {
	first := r.Waited + WaitInterval + m.PrefillTime(r.PromptTokens, 1) + m.DecodePassTime(m.Slots, 0)
	if level(r, first) == 0 {
		return m.Slots
	}
	return max(m.Slots-keptSlots, 1)
}

// keptSlots is the number of slots of an endpoint for requests that can come in time.
const keptSlots = 1

// noSlot reports whether no endpoint has a slot for the request.
func noSlot(m *engine.TimingModel, seats []seat, r Request) bool {
	slots := slotsOf(m, r)
	for i := range seats {
		if seats[i].load.leads < slots {
			return false
		}
	}
	return true
}

// patienceShare is the part of the callers' patience that a request may spend waiting.
const patienceShare = 0.45

// level tells a first event in time (0), late (1), and after callers have mostly left (2).
func level(r Request, first time.Duration) int {
	switch used := first.Seconds() / r.LatencyTarget.Seconds(); {
	case used > patience:
		return 2
	case used > goalMargin:
		return 1
	}
	return 0
}

func (b *Scheduler) seats(m *engine.TimingModel, cands []Candidate, now time.Time) []seat {
	loads := b.snapshot(now)
	seats := make([]seat, len(cands))
	for i := range cands {
		l := loads[KeyOf(cands[i].ID)]
		if l == nil {
			l = new(load)
		}
		l.measure(m, max(cands[i].Slowdown, 1), now)
		seats[i] = seat{Candidate: &cands[i], load: l}
	}
	b.rng.Shuffle(len(seats), func(i, j int) { seats[i], seats[j] = seats[j], seats[i] })
	return seats
}

// partCounts returns the numbers of parts that are weighed.
func partCounts(m *engine.TimingModel, r Request, seats int) []int {
	counts := []int{1}
	if !m.SplitsPrompts || r.NoSplit || r.PromptTokens < splitFrom {
		return counts
	}
	most := max(r.PromptTokens/leastPart, 2)
	for _, n := range []int{2, 3, 4, 6, 8, 11, maxParts} {
		if n <= seats && n <= most {
			counts = append(counts, n)
		}
	}
	return counts
}

// value is the cost of a late request with a prompt of so many tokens.
func value(tokens int) float64 { return baseValue + float64(tokens)/valueTokens }

// planFor returns the cheapest plan with so many parts.
func planFor(m *engine.TimingModel, seats []seat, r Request, parts int, scarce float64, now time.Time) (Plan, bool) {
	read := m.PrefillTime(r.PromptTokens, parts)
	for i := range seats {
		seats[i].cost = partCost(m, &seats[i], r, read, parts > 1, now)
		seats[i].cost += read.Seconds() * float64(seats[i].load.leads) * slotSecond * scarce
	}
	slices.SortFunc(seats, func(a, b seat) int { return cmp.Compare(a.cost, b.cost) })
	chosen := slices.Clone(seats[:parts])
	lead := leadIndex(chosen)
	chosen[0], chosen[lead] = chosen[lead], chosen[0]

	plan := Plan{Cost: float64(parts-1) * partWeight}
	var slowest time.Duration
	for i := range chosen {
		s := &chosen[i]
		plan.Cost += s.cost
		plan.Endpoints = append(plan.Endpoints, s.ID)
		slowest = max(slowest, s.wait(parts > 1)+scale(read, s.Slowdown))
	}
	pass := chosen[0].load.pass
	plan.PredictedLatency = slowest + pass/2 + pass // the rest of the pass under way, on average half of it, and the one that writes
	if chosen[0].load.leads >= m.Slots {
		plan.PredictedLatency += slotWait
	}
	if parts == 1 {
		plan.Cost += wholeWeight
	}
	plan.DelayCost, plan.BlockingCost = waitCost(r, plan.PredictedLatency), blockCost(seats, chosen, read)
	plan.Cost += plan.DelayCost + plan.BlockingCost
	return plan, plan.reserve(m, chosen, r)
}

// scarcity is 0 while slots are free and 1 when all are taken.
func scarcity(m *engine.TimingModel, seats []seat) float64 {
	leads := 0
	for i := range seats {
		leads += seats[i].load.leads
	}
	share := float64(leads) / float64(m.Slots*len(seats))
	return min(share*share*share, 1)
}

// wait is the reading that comes before a new job at the endpoint.
func (s *seat) wait(split bool) time.Duration {
	if split {
		return s.load.parts
	}
	return s.load.backlog()
}

// blockCost is what the reading of a plan costs short prompts that arrive meanwhile.
func blockCost(seats, chosen []seat, read time.Duration) float64 {
	var blocked time.Duration
	free, short := 0, 0
	for i := range seats {
		if seats[i].load.backlog() < blockFrom {
			free++
		}
		short += seats[i].load.short
	}
	for i := range chosen {
		before := chosen[i].load.backlog()
		after := before + scale(read, chosen[i].Slowdown)
		blocked += max(after-blockFrom, 0) - max(before-blockFrom, 0)
		if before < blockFrom && after >= blockFrom {
			free--
		}
	}
	rate := float64(short) / shortLife / float64(len(seats)) // short prompts that arrive at an endpoint in a second
	share := max(float64(free)/float64(len(seats)), 0.01)
	return blocked.Seconds() * rate * lateShare * min(blockShare*blockShare/share/share, 1)
}

// partCost is what a part of so much reading costs the others at an endpoint, and its risk.
func partCost(m *engine.TimingModel, s *seat, r Request, read time.Duration, split bool, now time.Time) float64 {
	l := s.load
	read = scale(read, s.Slowdown)
	cost := s.FailureRate*failureWeight*value(r.PromptTokens) + (s.wait(split)+read).Seconds()*waitWeight
	if !s.SameFailureDomain {
		cost += zoneWeight
	}
	if r.LatencyTarget >= waitGoal {
		cost += stackWeight * value(r.PromptTokens) * l.backlog().Seconds()
	}
	if tight(r.GapTarget) {
		share := float64(l.leads) / float64(m.Slots)
		cost += fullWeight*share*share*share*share + packWeight*(share-packShare)*(share-packShare)
		if l.short == 0 {
			cost += openWeight
		}
	}
	for _, j := range l.jobs {
		if !j.Decoding && !split {
			continue // a whole prompt is read after those that wait
		}
		cost += l.harm(j, read, now)
	}
	return cost
}

// tight reports whether a pause goal leaves no room for reading a long prompt.
func tight(pauseGoal time.Duration) bool { return pauseGoal > 0 && pauseGoal < 2*blockFrom }

// harm is what a job loses by so much more reading at its endpoint.
func (l *load) harm(j *Job, read time.Duration, now time.Time) float64 {
	if j.OutputTokens == 0 {
		return 0
	}
	var before, goal time.Duration
	if j.Decoding {
		goal = scale(j.GapTarget, pauseMargin)
		before = l.pass + max(l.current, l.next)
		read = max(l.pass+l.next+read-before, 0)
	} else {
		goal = scale(j.LatencyTarget, goalMargin)
		before = now.Sub(j.PlacedAt) + l.backlog() + l.pass
	}
	after := before + read
	lost := 0.0
	if leaves := scale(abandonment(j), pauseMargin); before <= leaves && after > leaves {
		lost = 1 - lateShare
	}
	if !j.Late && goal > 0 && before <= goal && after > goal {
		lost += lateShare
	}
	return lost * value(j.PromptTokens)
}

// Callers give a stream up after a gap of these multiples of its goals, or leastPatience.
const (
	leastPatience  = 2 * time.Second
	patienceGoals  = 4
	patiencePauses = 8
)

// CallerIdleTimeout returns the gap without an event after which callers give a stream up.
func CallerIdleTimeout(goal, pauseGoal time.Duration) time.Duration {
	return max(leastPatience, patienceGoals*goal, patiencePauses*pauseGoal)
}

func patienceOf(r Request) time.Duration { return CallerIdleTimeout(r.LatencyTarget, r.GapTarget) }

func abandonment(j *Job) time.Duration { return CallerIdleTimeout(j.LatencyTarget, j.GapTarget) }

// waitCost is what a request loses by its own wait for the first event.
func waitCost(r Request, predicted time.Duration) float64 {
	if r.LatencyTarget <= 0 {
		return predicted.Seconds()
	}
	used := (predicted + r.Waited).Seconds() / r.LatencyTarget.Seconds()
	cost := used * waitWeight * value(r.PromptTokens)
	if used > goalMargin {
		cost += lateShare * value(r.PromptTokens)
	}
	if used > patience {
		cost += (used - patience + 1) * value(r.PromptTokens)
	}
	return cost
}

// leadIndex returns the chosen endpoint with the most free memory: it holds the context while the answer is written.
func leadIndex(chosen []seat) int {
	best := 0
	for i := range chosen {
		if chosen[i].load.memory < chosen[best].load.memory {
			best = i
		}
	}
	return best
}

// memoryOf returns the tokens of context that an endpoint is given.
func memoryOf(m *engine.TimingModel) int { return int(float64(m.MemoryTokens) * memoryMargin) }

// reserve decides where the context of the prompt is kept. It returns false if there is no room.
func (p *Plan) reserve(m *engine.TimingModel, chosen []seat, r Request) bool {
	need := r.PromptTokens + r.OutputTokens
	room := func(s seat) int { return memoryOf(m) - s.load.memory }
	if m.MemoryTokens <= 0 || need <= room(chosen[0]) {
		return true
	}
	if need <= memoryOf(m) && len(chosen) == 1 {
		p.Cost += value(r.PromptTokens) // waits for memory, or preempts others
		return true
	}
	p.ReserveTokens = make([]int, len(chosen))
	left, holders := need, 0
	for i := range chosen {
		take := min(left, room(chosen[i]))
		if take <= 0 || holders == maxReservations {
			continue
		}
		p.ReserveTokens[i] = take
		left -= take
		holders++
		if left == 0 {
			break
		}
	}
	return left == 0
}

// place adds the jobs of a plan to the board.
func (b *Scheduler) place(p Plan, r Request, now time.Time) []uint64 {
	ids := make([]uint64, 0, len(p.Endpoints))
	for i, e := range p.Endpoints {
		j := Job{Endpoint: KeyOf(e), PromptTokens: r.PromptTokens, Parts: len(p.Endpoints), LatencyTarget: r.LatencyTarget, PlacedAt: now}
		if p.ReserveTokens != nil {
			j.MemoryTokens = p.ReserveTokens[i]
		}
		if i == 0 {
			j.OutputTokens, j.GapTarget = max(r.OutputTokens, 1), r.GapTarget
			if p.ReserveTokens == nil {
				j.MemoryTokens = r.PromptTokens + r.OutputTokens
			}
		}
		ids = append(ids, b.add(j))
	}
	return ids
}

// sortByPlaced sorts by time. The sizes break ties, so that the order does not depend on that of a map.
func sortByPlaced(jobs []*Job) {
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(a.PlacedAt.Compare(b.PlacedAt), cmp.Compare(a.PromptTokens, b.PromptTokens), cmp.Compare(a.OutputTokens, b.OutputTokens), cmp.Compare(a.Parts, b.Parts))
	})
}

// ChoosePlain picks the endpoint of a plain service with the fewest jobs, near ones first among equals. There must be a
// candidate.
func (b *Scheduler) ChoosePlain(cands []Candidate, now time.Time) Plan {
	b.mu.Lock()
	defer b.mu.Unlock()
	loads := b.snapshot(now)
	costOf := func(c Candidate) float64 {
		cost := c.FailureRate*plainFailureWeight + b.rng.Float64()*plainSpread
		if l := loads[KeyOf(c.ID)]; l != nil {
			cost += float64(len(l.jobs))
		}
		if !c.SameFailureDomain {
			cost += plainZoneWeight
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
	p.JobIDs = []uint64{b.add(Job{Endpoint: KeyOf(cands[best].ID), Parts: 1, PlacedAt: now})}
	return p
}
