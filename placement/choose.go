package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// Parameters of the cost model. The unit of cost is one short request that misses its latency target.
const (
	// valueTokens is the prompt length that adds one unit to the cost of a late request: long prompts took callers longer
	// to prepare, and a retry costs the engines more.
	valueTokens = 9000
	baseValue   = 0.75
	// waitWeight is the cost of the time to the first event, relative to its target. It decides among plans that all meet
	// the target.
	waitWeight = 0.15
	// stackWeight is the cost of each second of prefill backlog at an endpoint, relative to the value of the long prompt that
	// would join it: prompts processed one after the other finish earlier on average than prompts processed concurrently.
	stackWeight = 1.2
	// partWeight is the cost of each part beyond the first: it may fail, and occupies one more endpoint.
	partWeight = 0.004
	// zoneWeight is the cost of an endpoint in another failure domain, which adds latency and traffic.
	zoneWeight = 0.01
	// failureWeight is the cost of an endpoint's recent failure rate, relative to the value of the prompt: a failed request
	// is retried elsewhere and comes late.
	failureWeight = 0.8
	// plainFailureWeight is the cost of the failure rate for plain services, in requests queued at the endpoint.
	plainFailureWeight = 4.0
	// plainZoneWeight is the cost of an endpoint in another failure domain for plain services, in requests queued at the
	// endpoint. It is less than 1, since waiting for a whole request takes longer than the way to another domain.
	plainZoneWeight = 0.5
	// plainSpread is the largest random cost, which makes gateways with the same load data choose different endpoints.
	plainSpread = 0.2
	// slotWait is the assumed wait for a free slot.
	slotWait = 600 * time.Millisecond
	// blockFrom is the prefill backlog that short prompts tolerate within their latency targets. Only blocking beyond it has
	// a cost.
	blockFrom = 200 * time.Millisecond
	// shortLife is the typical duration of an answer with a tight gap target, in seconds. It turns the number of such
	// answers into an arrival rate.
	shortLife = 2.0
	// blockShare is the share of free endpoints up to which every blocked endpoint delays short prompts. With more free
	// endpoints most short prompts go elsewhere, and the loss falls with the square of the share.
	blockShare = 0.32
	// openWeight is the cost of placing an answer with a tight gap target on an endpoint without any: as long as such
	// endpoints exist, long prompts can be processed there without delaying others.
	openWeight = 0.3
	// packWeight and packShare make answers with a tight gap target prefer endpoints with this share of slots in use. After a
	// burst, the endpoints with the fewest answers then become empty instead of all keeping some.
	packWeight = 0.6
	packShare  = 0.65
	// fullWeight is the cost of using all slots of an endpoint. It is scaled by the fourth power of the share in use, so that
	// mostly the last slots cost something.
	fullWeight = 0.5
	// slotSecond is the cost of occupying a slot for a second while all slots are in use: about the value of the short
	// answer that could have run there.
	slotSecond = 0.65
	// lateShare is the share of a request's value that is lost if its first event is late.
	lateShare = 0.75
	// pauseMargin is the share of a gap target that a predicted gap may take.
	pauseMargin = 0.97
	// goalMargin is the share of a latency target that the predicted time to the first event may take.
	goalMargin = 0.9
	// memoryMargin is the share of an endpoint's memory that is allocated without a reservation.
	memoryMargin = 0.92
	// maxParts bounds the endpoints that process one prompt, the primary one included: an engine accepts 16 helpers.
	maxParts = 16
	// splitFrom is the shortest prompt that may be split.
	splitFrom = 500
	// leastPart is the shortest useful part of a split prompt: prefill of a shorter part takes less time than a pass.
	leastPart = 3000
	// waitFrom is the shortest prompt that may wait for a better plan.
	waitFrom = 6000
	// waitGoal is the shortest latency target that leaves time to wait: the prefill that a request waits for takes about
	// 100 ms.
	waitGoal = 600 * time.Millisecond
	// wholeWeight is the cost of not splitting a prompt: engines process the parts of split prompts first, also those that
	// arrive later.
	wholeWeight = 0.1
	// maxReservations bounds the endpoints that hold the context of one prompt.
	maxReservations = 6
)

// Candidate is an endpoint that a request may be placed on.
type Candidate struct {
	ID                string
	SameFailureDomain bool    // in the failure domain of this gateway
	FailureRate       float64 // recent share of failed requests
	Slowdown          float64 // ratio of observed to predicted time, at least 1
}

// Request holds the properties of a request that its placement depends on.
type Request struct {
	PromptTokens  int
	OutputTokens  int           // expected number
	LatencyTarget time.Duration // for the first event
	GapTarget     time.Duration // for the time between two events
	Waited        time.Duration // since the caller's latest event, or since the request arrived
	TimeLeft      time.Duration // until the caller gives up
	NoSplit       bool          // process the prompt at one endpoint, for instance after a part failed
	Service       string        // requests of one service share a queue
	QueueJobID    uint64        // queue entry from an earlier call of Choose; 0: none
}

// patience is the time to the first event after which most callers have given up, in multiples of the latency target.
const patience = 3.4

// Plan is the placement of a request. Endpoints[0], the primary endpoint, receives the request and generates the answer.
// The others process parts of the prompt.
type Plan struct {
	Endpoints        []string
	ReserveTokens    []int // for each of Endpoints; nil if no reservation is needed
	JobIDs           []uint64
	QueueJobID       uint64        // queue entry of a request that waits; 0: none
	PredictedLatency time.Duration // until the first event
	Cost             float64
	DelayCost        float64 // part of Cost: the request's own wait
	BlockingCost     float64 // part of Cost: short prompts that arrive while the endpoints are busy with prefill
}

// seat is a candidate and its current load.
type seat struct {
	*Candidate
	load *load
	cost float64
}

// Decision tells what to do with a request.
type Decision int

const (
	Admit              Decision = iota // run the plan, whose jobs have been added
	Wait                               // call Choose again: a better plan is likely soon, and there is time
	InsufficientMemory                 // reject: the prompt does not fit into the memory of all candidates together
	TooLate                            // reject: the first event would come after the caller has given up
	TooCostly                          // reject: the delay for other callers would cost more than the request is worth
	QueueTooLong                       // reject: the queued requests before it would make it miss its latency target
)

// WaitStep is the interval at which a waiting request calls Choose again: about half a pass.
const WaitInterval = 25 * time.Millisecond

// Choose selects endpoints for a request to a model service. If it admits the request, it adds the jobs of the plan. If
// the request has to wait and its prompt is long, it gets a queue entry, which is removed by the next call that decides
// otherwise.
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

// sample returns a random subset of the candidates for a short prompt. Gateways that all took the cheapest endpoint would
// choose the same one as long as they do not know of each other's placements. The more of these are unknown, the smaller
// the subset.
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

// unseen estimates the number of requests that peers have placed and this gateway has not received yet.
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
	// rateSpan is the time window for the request rate of the peers.
	rateSpan = 500 * time.Millisecond
	// viewAge is the typical delay until gateways know of each other's placements: batching, network and processing.
	viewAge = 10 * time.Millisecond
	// unseenWeight scales down the sample for each unknown placement of a peer. With a lower weight gateways still choose
	// the same endpoint; with a higher one short prompts spread over endpoints that long prompts need.
	unseenWeight = 4.0
	// leastSample is the smallest sample.
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

// roomLater decides on a prompt for which there is no memory now: it waits if it fits once other requests have ended.
func roomLater(m *engine.TimingModel, cands []Candidate, r Request) Decision {
	most := memoryOf(m) * min(len(cands), maxReservations)
	if r.PromptTokens+r.OutputTokens > most || r.LatencyTarget > 0 && level(r, r.Waited) > 0 {
		return InsufficientMemory
	}
	return Wait
}

// waitHarm is the cost to others, as a share of the request's value, above which a request waits if it loses nothing by
// waiting.
const waitHarm = 0.08

// verdict decides whether a plan is run now. A request waits while all slots are taken and while its plan would cost
// others more than the request is worth. A long prompt also waits while it would delay others and could avoid that by
// starting a little later.
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

// gain returns the share of a request's value that remains at a level of lateness.
func gain(level int) float64 {
	return [...]float64{1, 1 - lateShare, 0}[level]
}

// harm returns the cost of the plan to other requests.
func (p *Plan) harm() float64 { return p.Cost - p.DelayCost }

// idle returns the candidates as if nothing were placed on them.
func idle(m *engine.TimingModel, seats []seat) []seat {
	free := make([]seat, len(seats))
	for i := range seats {
		free[i] = seat{Candidate: seats[i].Candidate, load: &load{pass: m.DecodePassTime(0, 0), short: seats[i].load.short}}
	}
	return free
}

// slotsOf returns the number of slots of an endpoint that may be in use with this request. The last one is reserved for
// requests that can still meet their latency target: if there are too few slots for all, some requests are in time
// instead of none.
func slotsOf(m *engine.TimingModel, r Request) int {
	first := r.Waited + WaitInterval + m.PrefillTime(r.PromptTokens, 1) + m.DecodePassTime(m.Slots, 0)
	if level(r, first) == 0 {
		return m.Slots
	}
	return max(m.Slots-keptSlots, 1)
}

// keptSlots is the number of slots of an endpoint that are reserved for requests that can still meet their latency target.
const keptSlots = 1

// noSlot reports whether no candidate has a slot for the request.
func noSlot(m *engine.TimingModel, seats []seat, r Request) bool {
	slots := slotsOf(m, r)
	for i := range seats {
		if seats[i].load.leads < slots {
			return false
		}
	}
	return true
}

// patienceShare is the share of the caller's idle timeout that a request may spend waiting to be placed.
const patienceShare = 0.45

// level returns the lateness of a first event: 0 in time, 1 late, 2 after most callers have given up.
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

// partCounts returns the numbers of parts to consider for a prompt.
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

// value returns the value of a request by the length of its prompt.
func value(tokens int) float64 { return baseValue + float64(tokens)/valueTokens }

// planFor returns the cheapest plan with the given number of parts. It returns false if the prompt does not fit into the
// memory of the endpoints.
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
	plan.PredictedLatency = slowest + pass/2 + pass // the rest of the current pass, on average half of it, and the first decode pass
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

// scarcity returns how scarce slots are, from 0 (none in use) to 1 (all in use). It grows with the third power of the
// share in use.
func scarcity(m *engine.TimingModel, seats []seat) float64 {
	leads := 0
	for i := range seats {
		leads += seats[i].load.leads
	}
	share := float64(leads) / float64(m.Slots*len(seats))
	return min(share*share*share, 1)
}

// wait returns the time until the endpoint starts the prefill of a new job. Parts of split prompts are processed before
// whole prompts.
func (s *seat) wait(split bool) time.Duration {
	if split {
		return s.load.parts
	}
	return s.load.backlog()
}

// blockCost returns the cost of a plan's prefill to short prompts that arrive while it runs.
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
	rate := float64(short) / shortLife / float64(len(seats)) // short prompts per second and endpoint
	share := max(float64(free)/float64(len(seats)), 0.01)
	return blocked.Seconds() * rate * lateShare * min(blockShare*blockShare/share/share, 1)
}

// partCost returns the cost of one part of a prompt at an endpoint: the delay for the jobs there, the wait, and the risk
// of a failure. read is the prefill time of the part at normal speed.
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
			continue // a whole prompt is processed after all that wait for their prefill
		}
		cost += l.harm(j, read, now)
	}
	return cost
}

// tight reports whether a gap target is too short for the prefill of a long prompt between two events.
func tight(pauseGoal time.Duration) bool { return pauseGoal > 0 && pauseGoal < 2*blockFrom }

// harm returns the value that a job loses if its endpoint gets additional prefill work of the given duration.
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

// Callers give up a stream after a time without an event that is the longest of leastPatience and these multiples of the
// stream's targets.
const (
	leastPatience  = 2 * time.Second
	patienceGoals  = 4
	patiencePauses = 8
)

// CallerIdleTimeout returns the time without an event after which callers give up a stream.
func CallerIdleTimeout(goal, pauseGoal time.Duration) time.Duration {
	return max(leastPatience, patienceGoals*goal, patiencePauses*pauseGoal)
}

func patienceOf(r Request) time.Duration { return CallerIdleTimeout(r.LatencyTarget, r.GapTarget) }

func abandonment(j *Job) time.Duration { return CallerIdleTimeout(j.LatencyTarget, j.GapTarget) }

// waitCost returns the cost of the time to the first event to the request itself.
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

// leadIndex returns the index of the endpoint with the most free memory. It becomes the primary endpoint, which holds the
// context while it generates the answer.
func leadIndex(chosen []seat) int {
	best := 0
	for i := range chosen {
		if chosen[i].load.memory < chosen[best].load.memory {
			best = i
		}
	}
	return best
}

// memoryOf returns the number of context tokens that are placed on one endpoint at most.
func memoryOf(m *engine.TimingModel) int { return int(float64(m.MemoryTokens) * memoryMargin) }

// reserve decides which endpoints hold the context of the prompt. It returns false if there is not enough memory.
func (p *Plan) reserve(m *engine.TimingModel, chosen []seat, r Request) bool {
	need := r.PromptTokens + r.OutputTokens
	room := func(s seat) int { return memoryOf(m) - s.load.memory }
	if m.MemoryTokens <= 0 || need <= room(chosen[0]) {
		return true
	}
	if need <= memoryOf(m) && len(chosen) == 1 {
		p.Cost += value(r.PromptTokens) // the request waits for memory or preempts others
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

// place adds the jobs of a plan and returns their IDs.
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

// sortByPlaced sorts jobs by time of placement. The sizes break ties, so that the order does not depend on map iteration.
func sortByPlaced(jobs []*Job) {
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(a.PlacedAt.Compare(b.PlacedAt), cmp.Compare(a.PromptTokens, b.PromptTokens), cmp.Compare(a.OutputTokens, b.OutputTokens), cmp.Compare(a.Parts, b.Parts))
	})
}

// ChoosePlain selects the endpoint of a plain service with the fewest jobs and adds a job for it. Among equals it prefers
// endpoints in the same failure domain. cands must not be empty.
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
