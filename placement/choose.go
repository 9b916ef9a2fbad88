package placement

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// Parameters of the cost model. The unit of cost is one short request that misses its latency target.
const (
	// tokensPerValueUnit is the prompt length that adds one unit to the cost of a late request: long prompts took callers longer
	// to prepare, and a retry costs the engines more.
	tokensPerValueUnit = 9000
	baseRequestValue   = 0.75
	// latencyCostWeight is the cost of the time to the first event, relative to its target. It decides among plans that all meet
	// the target.
	latencyCostWeight = 0.15
	// backlogCostPerSecond is the cost of each second of prefill backlog at an endpoint, relative to the value of the long
	// prompt that would join it: prompts processed one after the other finish earlier on average than prompts processed
	// concurrently.
	backlogCostPerSecond = 1.2
	// extraPartCost is the cost of each part beyond the first: it may fail, and occupies one more endpoint.
	extraPartCost = 0.004
	// failureCostWeight is the cost of an endpoint's recent failure rate, relative to the value of the prompt: a failed request
	// is retried elsewhere and comes late.
	failureCostWeight = 0.8
	// plainFailureCostWeight is the cost of the failure rate for plain services, in requests queued at the endpoint.
	plainFailureCostWeight = 4.0
	// plainRandomCost is the largest random cost, which makes gateways with the same load data choose different endpoints.
	plainRandomCost = 0.2
	// assumedSlotWait is the assumed wait for a free slot.
	assumedSlotWait = 600 * time.Millisecond
	// toleratedBacklog is the prefill backlog that short prompts tolerate within their latency targets. Only blocking beyond it
	// has a cost.
	toleratedBacklog = 200 * time.Millisecond
	// tightAnswerSeconds is the typical duration of an answer with a tight gap target, in seconds. It turns the number of such
	// answers into an arrival rate.
	tightAnswerSeconds = 2.0
	// blockingFreeShare is the share of free endpoints up to which every blocked endpoint delays short prompts. With more free
	// endpoints most short prompts go elsewhere, and the loss falls with the square of the share.
	blockingFreeShare = 0.32
	// emptyEndpointCost is the cost of placing an answer with a tight gap target on an endpoint that has none: as long as such
	// endpoints exist, long prompts can be processed there without delaying others.
	emptyEndpointCost = 0.3
	// packingWeight and packingSlotShare make answers with a tight gap target prefer endpoints with this share of slots in use.
	// After a burst, the endpoints with the fewest answers then become empty instead of all keeping some.
	packingWeight    = 0.6
	packingSlotShare = 0.65
	// fullEndpointCost is the cost of using all slots of an endpoint. It is scaled by the fourth power of the share in use, so
	// that mostly the last slots cost something.
	fullEndpointCost = 0.5
	// slotCostPerSecond is the cost of occupying a slot for a second while all slots are in use: about the value of the short
	// answer that could have run there.
	slotCostPerSecond = 0.65
	// lateValueLoss is the share of a request's value that is lost if its first event is late.
	lateValueLoss = 0.75
	// safeShare and missedShare are the shares of a target that a predicted time may take without a risk, and from which on the target counts as
	// missed. In traces with up to 330 short prompts a second, 2 to 5 in 100 came late that were predicted to take half of their target, 11 to
	// 24 in 100 at four fifths, and 30 to 60 in 100 at the whole: placements of the same moment aren't known yet.
	safeShare   = 0.6
	missedShare = 1.2
	// idleTimeoutShare is the share of a caller's idle timeout that a predicted gap may take.
	idleTimeoutShare = 0.97
	// latencyTargetShare is the share of a latency target that the predicted time to the first event may take.
	latencyTargetShare = 0.9
	// usableMemoryShare is the share of an endpoint's memory that is allocated to requests, with or without a reservation.
	usableMemoryShare = 0.92
	// maxParts bounds the endpoints that process one prompt, the primary one included: an engine accepts 16 helpers.
	maxParts = 16
	// minSplitTokens is the shortest prompt that may be split. Engines read it in some 20 ms, so that a second part saves less than the wait
	// for the pass of a second endpoint costs.
	minSplitTokens = 4000
	// minPartTokens is the shortest useful part of a split prompt: prefill of a shorter part takes less time than a pass.
	minPartTokens = 3000
	// minWaitTokens is the shortest prompt that may wait for a better plan.
	minWaitTokens = 6000
	// minWaitTarget is the shortest latency target that leaves time to wait: the prefill that a request waits for takes about
	// 100 ms.
	minWaitTarget = 600 * time.Millisecond
	// unsplitCost is the cost of not splitting a prompt: engines process the parts of split prompts first, also those that
	// arrive later.
	unsplitCost = 0.1
	// maxReservations bounds the endpoints that hold the context of one prompt.
	maxReservations = 6
)

// Candidate is an endpoint that a request may be placed on.
type Candidate struct {
	ID                string
	Domain            string  // failure domain
	SameFailureDomain bool    // in the failure domain of this gateway
	Near              bool    // short prompts that others place on it are known here at once
	HelperOnly        bool    // it may process parts of prompts, but accepts no request itself now
	Cold              bool    // has started lately: slow, and does not bear many requests
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

// abandonmentFactor is the time to the first event after which most callers have given up, in multiples of the latency target.
const abandonmentFactor = 3.4

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
	Leaving          string  // why the request leaves its failure domain; empty: it does not
	BlockingCost     float64 // part of Cost: delay of short prompts that arrive while the endpoints are busy with prefill
}

// candidateLoad is a candidate and its current load.
type candidateLoad struct {
	*Candidate
	load *endpointLoad
	path pathCost
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

// WaitInterval is the interval at which a waiting request calls Choose again: about half a pass.
const WaitInterval = 25 * time.Millisecond

// Choose selects endpoints for a request to a model service. If it admits the request, it adds the jobs of the plan. If
// the request has to wait and its prompt is long, it gets a queue entry, which is removed by the next call that decides
// otherwise.
func (s *Scheduler) Choose(m *engine.TimingModel, candidates []Candidate, r Request, now time.Time) (Plan, Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, decision := s.choose(m, candidates, r, now)
	if decision == Wait && mayQueue(r) {
		p.QueueJobID = s.enqueue(r, now)
	} else {
		s.dequeue(r.QueueJobID)
	}
	return p, decision
}

func (s *Scheduler) choose(m *engine.TimingModel, candidates []Candidate, r Request, now time.Time) (Plan, Decision) {
	if work, others := s.workAhead(m, r, now); others {
		return decideBehindQueue(m, r, work, len(candidates))
	}
	loads := s.candidateLoads(m, candidates, now)
	reason := CheaperPlan
	if !mayQueue(r) {
		loads, reason = s.nearOrFar(m, r, loads, now)
	}
	if isTightGap(r.GapTarget) {
		loads = withPrimary(sampleLoads(loads), loads)
	}
	p, ok := cheapestPlan(m, loads, r, now)
	if !ok {
		return Plan{}, decideWithoutMemory(m, candidates, r)
	}
	if decision := decide(m, loads, p, r, now); decision != Admit {
		return p, decision
	}
	if slices.ContainsFunc(candidates, func(c Candidate) bool { return c.ID == p.Endpoints[0] && !c.SameFailureDomain }) {
		p.Leaving = reason
	}
	p.JobIDs = s.addPlanJobs(p, r, now)
	for i := range loads {
		if loads[i].ID == p.Endpoints[0] {
			s.local[p.JobIDs[0]].othersKnown = len(loads[i].load.jobs)
		}
	}
	return p, Admit
}

// sampleLoads returns a random subset of the loads for a short prompt. Gateways that all took the cheapest endpoint would choose
// the same one as long as they do not know of each other's placements. The more of these are unseen, the smaller the subset. The
// loads must be in random order.
func sampleLoads(loads []candidateLoad) []candidateLoad {
	if len(loads) > 0 && !loads[0].Near {
		return loads[:min(minSampleSize, len(loads))]
	}
	n := int(float64(len(loads)) / (1 + unseenPlacementWeight*unseenPlacements(loads)))
	return loads[:min(max(n, minSampleSize), len(loads))]
}

// withPrimary returns a sample of loads with at least one endpoint that accepts the request, if there is one among all loads.
func withPrimary(sample, all []candidateLoad) []candidateLoad {
	if len(sample) == 0 || slices.ContainsFunc(sample, acceptsRequest) {
		return sample
	}
	i := slices.IndexFunc(all, acceptsRequest)
	if i < 0 {
		return sample
	}
	return append(sample[:len(sample)-1:len(sample)-1], all[i])
}

func acceptsRequest(c candidateLoad) bool { return !c.HelperOnly }

// unseenPlacements estimates the number of requests that peers have placed on the endpoints and this gateway has not received
// yet.
func unseenPlacements(loads []candidateLoad) float64 {
	recent := 0
	for i := range loads {
		recent += loads[i].load.recentPeerRequests
	}
	return float64(recent) * peerViewDelay.Seconds() / rateWindow.Seconds()
}

const (
	// rateWindow is the time window for the request rate of the peers.
	rateWindow = 500 * time.Millisecond
	// peerViewDelay is the typical delay until gateways know of each other's placements: batching, network and processing.
	peerViewDelay = 10 * time.Millisecond
	// unseenPlacementWeight scales down the sample for each unseen placement of a peer. With a lower weight gateways still choose
	// the same endpoint; with a higher one short prompts spread over endpoints that long prompts need.
	unseenPlacementWeight = 4.0
	// minSampleSize is the smallest sample.
	minSampleSize = 5
)

// cheapestPlan returns the plan with the lowest cost over all numbers of parts. ok is false if none fits into memory.
func cheapestPlan(m *engine.TimingModel, loads []candidateLoad, r Request, now time.Time) (p Plan, ok bool) {
	if len(loads) == 0 {
		return p, false
	}
	scarcity := slotScarcity(m, loads)
	for _, parts := range partCounts(m, r, len(loads)) {
		if plan, fits := planFor(m, loads, r, parts, scarcity, now); fits && (!ok || plan.Cost < p.Cost) {
			p, ok = plan, true
		}
	}
	return p, ok
}

// decideWithoutMemory decides on a prompt for which there is no memory now: it waits if it fits once other requests have ended.
func decideWithoutMemory(m *engine.TimingModel, candidates []Candidate, r Request) Decision {
	availableTokens := usableMemoryTokens(m) * min(len(candidates), maxReservations)
	if r.PromptTokens+r.OutputTokens > availableTokens || r.LatencyTarget > 0 && lateness(r, r.Waited) > 0 {
		return InsufficientMemory
	}
	return Wait
}

// waitHarmShare is the cost to others, as a share of the request's value, above which a request waits if it loses nothing by
// waiting.
const waitHarmShare = 0.08

// decide decides whether a plan is run now. A request waits while all slots are taken and while its plan would cost
// others more than the request is worth. A long prompt also waits while it would delay others and could avoid that by
// starting a little later.
func decide(m *engine.TimingModel, loads []candidateLoad, p Plan, r Request, now time.Time) Decision {
	later := r.Waited + WaitInterval
	excessCost := 0.0
	if mayQueue(r) {
		ideal, ok := cheapestPlan(m, withoutLoad(m, loads), r, now)
		if !ok {
			return InsufficientMemory
		}
		later += ideal.PredictedLatency
		excessCost = p.costToOthers() - ideal.costToOthers()
	}
	mayWaitMore := later < scale(requestIdleTimeout(r), maxWaitShare)
	latenessNow, latenessLater := lateness(r, r.Waited+p.PredictedLatency), lateness(r, later)
	switch {
	case allSlotsTaken(m, loads, r) || excessCost > remainingValueShare(latenessNow)*requestValue(r.PromptTokens):
		if mayWaitMore {
			return Wait
		}
		return TooCostly
	case excessCost > waitHarmShare*requestValue(r.PromptTokens) && latenessLater <= latenessNow && mayWaitMore:
		return Wait
	case p.PredictedLatency > r.TimeLeft:
		return TooLate
	}
	return Admit
}

// remainingValueShare returns the share of a request's value that remains at a level of lateness.
func remainingValueShare(lateness int) float64 {
	return [...]float64{1, 1 - lateValueLoss, 0}[lateness]
}

// costToOthers returns the cost of the plan to other requests.
func (p *Plan) costToOthers() float64 { return p.Cost - p.DelayCost }

// withoutLoad returns the candidates as if nothing were placed on them.
func withoutLoad(m *engine.TimingModel, loads []candidateLoad) []candidateLoad {
	free := make([]candidateLoad, len(loads))
	for i := range loads {
		free[i] = candidateLoad{
			Candidate: loads[i].Candidate, path: loads[i].path,
			load: &endpointLoad{decodePassTime: m.DecodePassTime(0, 0), tightAnswers: loads[i].load.tightAnswers},
		}
	}
	return free
}

// slotLimit returns the number of slots of an endpoint that may be in use with this request. The last one is reserved for
// requests that can still meet their latency target: if there are too few slots for all, some requests are in time
// instead of none.
func slotLimit(m *engine.TimingModel, r Request) int {
	firstEvent := r.Waited + WaitInterval + m.PrefillTime(r.PromptTokens, 1) + m.DecodePassTime(m.Slots, 0)
	if lateness(r, firstEvent) == 0 {
		return m.Slots
	}
	return max(m.Slots-reservedSlots, 1)
}

// reservedSlots is the number of slots of an endpoint that are reserved for requests that can still meet their latency target.
const reservedSlots = 1

// allSlotsTaken reports whether no candidate has a slot for the request.
func allSlotsTaken(m *engine.TimingModel, loads []candidateLoad, r Request) bool {
	slots := slotLimit(m, r)
	for i := range loads {
		if acceptsRequest(loads[i]) && loads[i].load.slotsUsed < slots {
			return false
		}
	}
	return true
}

// maxWaitShare is the share of the caller's idle timeout that a request may spend waiting to be placed.
const maxWaitShare = 0.45

// lateness returns the lateness of a first event: 0 in time, 1 late, 2 after most callers have given up.
func lateness(r Request, firstEvent time.Duration) int {
	switch targetsUsed := firstEvent.Seconds() / r.LatencyTarget.Seconds(); {
	case targetsUsed > abandonmentFactor:
		return 2
	case targetsUsed > latencyTargetShare:
		return 1
	}
	return 0
}

// candidateLoads returns the candidates and their loads in random order, so that equal costs do not always lead to the same
// endpoint.
func (s *Scheduler) candidateLoads(m *engine.TimingModel, candidates []Candidate, now time.Time) []candidateLoad {
	byEndpoint := s.loadByEndpoint(now)
	loads := make([]candidateLoad, len(candidates))
	for i := range candidates {
		l := byEndpoint[KeyOf(candidates[i].ID)]
		if l == nil {
			l = new(endpointLoad)
		}
		l.compute(m, max(candidates[i].Slowdown, 1), now)
		loads[i] = candidateLoad{Candidate: &candidates[i], load: l, path: s.pathCostOf(&candidates[i], now)}
	}
	s.rng.Shuffle(len(loads), func(i, j int) { loads[i], loads[j] = loads[j], loads[i] })
	return loads
}

// partCounts returns the numbers of parts to consider for a prompt.
func partCounts(m *engine.TimingModel, r Request, endpoints int) []int {
	counts := []int{1}
	if !m.SplitsPrompts || r.NoSplit || r.PromptTokens < minSplitTokens {
		return counts
	}
	maxCount := max(r.PromptTokens/minPartTokens, 2)
	for _, n := range []int{2, 3, 4, 6, 8, 11, maxParts} {
		if n <= endpoints && n <= maxCount {
			counts = append(counts, n)
		}
	}
	return counts
}

// requestValue returns the value of a request by the length of its prompt.
func requestValue(tokens int) float64 { return baseRequestValue + float64(tokens)/tokensPerValueUnit }

// planFor returns the cheapest plan with the given number of parts. It returns false if the prompt does not fit into the
// memory of the endpoints.
func planFor(m *engine.TimingModel, loads []candidateLoad, r Request, parts int, scarcity float64, now time.Time) (Plan, bool) {
	prefill := m.PrefillTime(r.PromptTokens, parts)
	for i := range loads {
		loads[i].cost = partCost(m, &loads[i], r, prefill, parts > 1, now) + loads[i].partCrossingCost(r, parts)
		loads[i].cost += prefill.Seconds() * float64(loads[i].load.slotsUsed) * slotCostPerSecond * scarcity
	}
	chosen, ok := cheapestWithPrimary(loads, parts)
	if !ok {
		return Plan{}, false
	}
	primary := primaryIndex(chosen)
	chosen[0], chosen[primary] = chosen[primary], chosen[0]

	plan := Plan{Cost: float64(parts-1) * extraPartCost}
	var slowest time.Duration
	for i := range chosen {
		c := &chosen[i]
		plan.Cost += c.cost
		plan.Endpoints = append(plan.Endpoints, c.ID)
		slowest = max(slowest, c.prefillDelay(parts > 1)+scale(prefill, c.Slowdown)+c.path.roundTrip)
	}
	pass := chosen[0].load.decodePassTime
	plan.PredictedLatency = slowest + pass/2 + pass // the rest of the current pass, on average half of it, and the first decode pass
	if chosen[0].load.slotsUsed >= m.Slots {
		plan.PredictedLatency += assumedSlotWait
	}
	if parts == 1 {
		plan.Cost += unsplitCost
	}
	plan.DelayCost, plan.BlockingCost = delayCost(r, plan.PredictedLatency), blockingCost(loads, chosen, prefill)
	plan.Cost += plan.DelayCost + plan.BlockingCost
	return plan, plan.reserveMemory(m, chosen, r)
}

// cheapestWithPrimary returns the n loads with the lowest cost of which at least one endpoint accepts the request. ok is false if there is
// none.
func cheapestWithPrimary(loads []candidateLoad, n int) (chosen []candidateLoad, ok bool) {
	chosen = cheapest(loads, n)
	if slices.ContainsFunc(chosen, acceptsRequest) {
		return chosen, true
	}
	best := -1
	for i := range loads {
		if acceptsRequest(loads[i]) && (best < 0 || loads[i].cost < loads[best].cost) {
			best = i
		}
	}
	if best < 0 {
		return nil, false
	}
	chosen[len(chosen)-1] = loads[best]
	return chosen, true
}

// cheapest returns the n loads with the lowest cost, in ascending order of cost. n is small compared with the number of loads.
func cheapest(loads []candidateLoad, n int) []candidateLoad {
	chosen := make([]candidateLoad, 0, n+1)
	for i := range loads {
		if len(chosen) == n && loads[i].cost >= chosen[n-1].cost {
			continue
		}
		at := sort.Search(len(chosen), func(k int) bool { return chosen[k].cost > loads[i].cost })
		chosen = slices.Insert(chosen, at, loads[i])
		chosen = chosen[:min(len(chosen), n)]
	}
	return chosen
}

// slotScarcity returns how scarce slots are, from 0 (none in use) to 1 (all in use). It grows with the third power of the
// share in use.
func slotScarcity(m *engine.TimingModel, loads []candidateLoad) float64 {
	slotsUsed := 0
	for i := range loads {
		slotsUsed += loads[i].load.slotsUsed
	}
	share := float64(slotsUsed) / float64(m.Slots*len(loads))
	return min(share*share*share, 1)
}

// prefillDelay returns the time until the endpoint starts the prefill of a new job. Parts of split prompts are processed before
// whole prompts.
func (c *candidateLoad) prefillDelay(split bool) time.Duration {
	if split {
		return c.load.splitBacklog
	}
	return c.load.backlog()
}

// blockingCost returns the cost of a plan's prefill to short prompts that arrive while it runs.
func blockingCost(loads, chosen []candidateLoad, prefill time.Duration) float64 {
	var blocked time.Duration
	freeEndpoints, tightAnswers := 0, 0
	for i := range loads {
		if loads[i].load.backlog() < toleratedBacklog {
			freeEndpoints++
		}
		tightAnswers += loads[i].load.tightAnswers
	}
	for i := range chosen {
		before := chosen[i].load.backlog()
		after := before + scale(prefill, chosen[i].Slowdown)
		blocked += max(after-toleratedBacklog, 0) - max(before-toleratedBacklog, 0)
		if before < toleratedBacklog && after >= toleratedBacklog {
			freeEndpoints--
		}
	}
	rate := float64(tightAnswers) / tightAnswerSeconds / float64(len(loads)) // short prompts per second and endpoint
	freeShare := max(float64(freeEndpoints)/float64(len(loads)), 0.01)
	return blocked.Seconds() * rate * lateValueLoss * min(blockingFreeShare*blockingFreeShare/freeShare/freeShare, 1)
}

// partCost returns the cost of one part of a prompt at an endpoint: the delay for the jobs there, the wait, and the risk
// of a failure. prefill is the prefill time of the part at normal speed.
func partCost(m *engine.TimingModel, c *candidateLoad, r Request, prefill time.Duration, split bool, now time.Time) float64 {
	l := c.load
	prefill = scale(prefill, c.Slowdown)
	cost := c.FailureRate*failureCostWeight*requestValue(r.PromptTokens) +
		(c.prefillDelay(split)+prefill).Seconds()*latencyCostWeight
	if r.LatencyTarget >= minWaitTarget {
		cost += backlogCostPerSecond * requestValue(r.PromptTokens) * l.backlog().Seconds()
	}
	if isTightGap(r.GapTarget) {
		share := float64(l.slotsUsed) / float64(m.Slots)
		cost += fullEndpointCost*share*share*share*share + packingWeight*(share-packingSlotShare)*(share-packingSlotShare)
		if l.tightAnswers == 0 {
			cost += emptyEndpointCost
		}
	}
	for _, j := range l.jobs {
		if !j.Decoding && !split {
			continue // the prefill of a whole prompt runs after that of all waiting jobs and delays only decoding jobs
		}
		cost += l.valueLoss(j, prefill, now)
	}
	return cost
}

// isTightGap reports whether a gap target is too short for the prefill of a long prompt between two events.
func isTightGap(gapTarget time.Duration) bool { return gapTarget > 0 && gapTarget < 2*toleratedBacklog }

// valueLoss returns the value that a job loses if its endpoint gets additional prefill work of the given duration.
func (l *endpointLoad) valueLoss(j *Job, prefill time.Duration, now time.Time) float64 {
	if j.OutputTokens == 0 {
		return 0
	}
	// before and after are the times to the job's next event without and with the additional prefill.
	var before, target time.Duration
	if j.Decoding {
		target = j.GapTarget
		before = l.decodePassTime + max(l.currentPassPrefill, l.nextPassPrefill)
		prefill = max(l.decodePassTime+l.nextPassPrefill+prefill-before, 0)
	} else {
		target = j.LatencyTarget
		before = now.Sub(j.PlacedAt) + l.backlog() + l.decodePassTime
	}
	after := before + prefill
	lost := 0.0
	if idleTimeout := scale(jobIdleTimeout(j), idleTimeoutShare); before <= idleTimeout && after > idleTimeout {
		lost = 1 - lateValueLoss
	}
	if !j.Late && target > 0 {
		lost += lateValueLoss * (missProbability(after.Seconds()/target.Seconds()) - missProbability(before.Seconds()/target.Seconds()))
	}
	return lost * requestValue(j.PromptTokens)
}

// Callers give up a stream after a time without an event that is the longest of minCallerIdleTimeout and these multiples of the
// stream's targets.
const (
	minCallerIdleTimeout      = 2 * time.Second
	idleTimeoutLatencyTargets = 4
	idleTimeoutGapTargets     = 8
)

// CallerIdleTimeout returns the time without an event after which callers give up a stream.
func CallerIdleTimeout(latencyTarget, gapTarget time.Duration) time.Duration {
	return max(minCallerIdleTimeout, idleTimeoutLatencyTargets*latencyTarget, idleTimeoutGapTargets*gapTarget)
}

func requestIdleTimeout(r Request) time.Duration {
	return CallerIdleTimeout(r.LatencyTarget, r.GapTarget)
}

func jobIdleTimeout(j *Job) time.Duration { return CallerIdleTimeout(j.LatencyTarget, j.GapTarget) }

// delayCost returns the cost that a request itself incurs by its time to the first event.
func delayCost(r Request, predictedLatency time.Duration) float64 {
	if r.LatencyTarget <= 0 {
		return predictedLatency.Seconds()
	}
	targetsUsed := (predictedLatency + r.Waited).Seconds() / r.LatencyTarget.Seconds()
	cost := targetsUsed * latencyCostWeight * requestValue(r.PromptTokens)
	cost += missProbability(targetsUsed) * lateValueLoss * requestValue(r.PromptTokens)
	if targetsUsed > abandonmentFactor {
		cost += (targetsUsed - abandonmentFactor + 1) * requestValue(r.PromptTokens)
	}
	return cost
}

// missProbability returns the probability that a target is missed of which the predicted time takes a share.
func missProbability(share float64) float64 {
	return min(max((share-safeShare)/(missedShare-safeShare), 0), 1)
}

// primaryIndex returns the index of the endpoint with the most free memory among those that accept the request. It becomes the primary
// endpoint, which holds the context while it generates the answer.
func primaryIndex(chosen []candidateLoad) int {
	best := -1
	for i := range chosen {
		if acceptsRequest(chosen[i]) && (best < 0 || chosen[i].load.memoryTokens < chosen[best].load.memoryTokens) {
			best = i
		}
	}
	return best
}

// usableMemoryTokens returns the number of context tokens that are placed on one endpoint at most.
func usableMemoryTokens(m *engine.TimingModel) int {
	return int(float64(m.MemoryTokens) * usableMemoryShare)
}

// reserveMemory decides which endpoints hold the context of the prompt. It returns false if there is not enough memory.
func (p *Plan) reserveMemory(m *engine.TimingModel, chosen []candidateLoad, r Request) bool {
	neededTokens := r.PromptTokens + r.OutputTokens
	freeTokens := func(c candidateLoad) int { return usableMemoryTokens(m) - c.load.memoryTokens }
	if m.MemoryTokens <= 0 || neededTokens <= freeTokens(chosen[0]) {
		return true
	}
	if neededTokens <= usableMemoryTokens(m) && len(chosen) == 1 {
		p.Cost += requestValue(r.PromptTokens) // the request waits for memory or preempts others
		return true
	}
	p.ReserveTokens = make([]int, len(chosen))
	remaining, holders := neededTokens, 0
	for i := range chosen {
		take := min(remaining, freeTokens(chosen[i]))
		if take <= 0 || holders == maxReservations {
			continue
		}
		p.ReserveTokens[i] = take
		remaining -= take
		holders++
		if remaining == 0 {
			break
		}
	}
	return remaining == 0
}

// addPlanJobs adds the jobs of a plan and returns their IDs.
func (s *Scheduler) addPlanJobs(p Plan, r Request, now time.Time) []uint64 {
	ids := make([]uint64, 0, len(p.Endpoints))
	for i, e := range p.Endpoints {
		j := Job{
			Endpoint: KeyOf(e), PromptTokens: r.PromptTokens, Parts: len(p.Endpoints), LatencyTarget: r.LatencyTarget, PlacedAt: now,
		}
		if p.ReserveTokens != nil {
			j.MemoryTokens = p.ReserveTokens[i]
		}
		if i == 0 {
			j.OutputTokens, j.GapTarget = max(r.OutputTokens, 1), r.GapTarget
			if p.ReserveTokens == nil {
				j.MemoryTokens = r.PromptTokens + r.OutputTokens
			}
		}
		ids = append(ids, s.add(j))
	}
	return ids
}

// sortByPlacedAt sorts jobs by time of placement. The sizes break ties, so that the order does not depend on map iteration.
func sortByPlacedAt(jobs []*Job) {
	slices.SortFunc(jobs, func(a, b *Job) int {
		return cmp.Or(a.PlacedAt.Compare(b.PlacedAt), cmp.Compare(a.PromptTokens, b.PromptTokens),
			cmp.Compare(a.OutputTokens, b.OutputTokens), cmp.Compare(a.Parts, b.Parts))
	})
}

// ChoosePlain selects the endpoint of a plain service with the fewest jobs and adds a job for it. Among equals it prefers
// endpoints in the same failure domain. candidates must not be empty.
func (s *Scheduler) ChoosePlain(candidates []Candidate, now time.Time) Plan {
	s.mu.Lock()
	defer s.mu.Unlock()
	byEndpoint := s.loadByEndpoint(now)
	costOf := func(c Candidate) float64 {
		cost := c.FailureRate*plainFailureCostWeight + s.rng.Float64()*plainRandomCost
		if l := byEndpoint[KeyOf(c.ID)]; l != nil {
			cost += float64(len(l.jobs))
		}
		if !c.SameFailureDomain {
			cost += s.pathCostOf(&c, now).plainCost()
		}
		return cost
	}
	best, lowestCost := 0, 0.0
	for i, c := range candidates {
		if cost := costOf(c); i == 0 || cost < lowestCost {
			best, lowestCost = i, cost
		}
	}
	p := Plan{Endpoints: []string{candidates[best].ID}, Cost: lowestCost}
	if !candidates[best].SameFailureDomain {
		p.Leaving = FewerJobs
	}
	p.JobIDs = []uint64{s.add(Job{Endpoint: KeyOf(candidates[best].ID), Parts: 1, PlacedAt: now})}
	return p
}
