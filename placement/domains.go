package placement

import (
	"math"
	"slices"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// Bytes that requests move between failure domains. Endpoints do not report them, so these are estimates.
const (
	// TextBytesPerToken is the mean length of a token in prompts and answers.
	TextBytesPerToken = 4
	// contextBytesPerToken is the size of the context that a part of a split prompt transfers to the primary endpoint.
	contextBytesPerToken = 256
)

// PartBytes returns the bytes that the primary endpoint exchanges with one that processes a part of a prompt.
func PartBytes(promptTokens, parts int) int {
	return promptTokens / max(parts, 1) * (TextBytesPerToken + contextBytesPerToken)
}

// DomainOptions sets how traffic between failure domains is weighed.
type DomainOptions struct {
	// CostPerGigabyte is the cost of the traffic in the unit of the cost model: short requests that miss their target. 0: it is not
	// stated, and bytes, delays, and the age of views are not weighed.
	CostPerGigabyte float64
}

const (
	// defaultPathDelay is the assumed one-way delay of a path that has not been measured, that of the longer paths between failure
	// domains of one region.
	defaultPathDelay = 1400 * time.Microsecond
	// pathTTL is the time for which a measurement of a path is used. A bad path gets no traffic and thus no measurements; after this time it
	// is tried again.
	pathTTL = 10 * time.Second
	// pathWeight is the weight of the latest measurement of a path in the moving averages.
	pathWeight = 0.1
	// leavingRoomShare is the share of the room elsewhere that the endpoints of a domain need to get all its short prompts.
	leavingRoomShare = 0.5
	// minRoomElsewhere is the number of free slots for each endpoint up to which the other domains get no short prompts, and
	// ampleRoomElsewhere that from which they get all that would leave: with all domains short of room, exchanging prompts served fewer
	// callers than keeping them (0.48 instead of 0.58 in time).
	minRoomElsewhere   = 0.3
	ampleRoomElsewhere = 0.9
	// minLeavingShare is the share from which short prompts begin to leave a domain. They stop when the share is zero.
	minLeavingShare = 0.1
	// roomDeviations is the number of standard deviations of the arrivals and departures within the age of a view that are subtracted
	// from the free slots of an endpoint.
	roomDeviations = 1.5
	// partCrossingCost is the cost of an endpoint in another failure domain for a part of a prompt besides bytes and delay: one more
	// path that may fail.
	partCrossingCost = 0.01
	// plainCrossingCost is the same for plain services, in requests queued at the endpoint. It is less than 1, since waiting for a whole
	// request takes longer than the path.
	plainCrossingCost = 0.5
	// plainTargetTime is the shortest target of plain calls. A path that takes as long costs as much as a queued request.
	plainTargetTime = 100 * time.Millisecond
	// plainBytes is the assumed size of a plain request with its response.
	plainBytes = 16 << 10
	// pathDeviations is the number of mean deviations beyond the mean delay up to which a path is expected to deliver, as in the
	// retransmission timeout of TCP. Losses appear as deviations.
	pathDeviations = 4
)

// path is the measured path to another failure domain.
type path struct {
	delay, deviation time.Duration // one way
	measuredAt       time.Time
}

// roundTrip returns the time that a path may add to a response.
func (p path) roundTrip() time.Duration { return 2*p.delay + pathDeviations*p.deviation }

// SetDomainOptions sets how traffic between failure domains is weighed.
func (s *Scheduler) SetDomainOptions(o DomainOptions) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.costPerGigabyte = o.CostPerGigabyte
}

// ObservePath records a measurement of the one-way delay to another failure domain.
func (s *Scheduler) ObservePath(domain string, delay time.Duration, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.pathTo(domain, now)
	deviation := max(delay-p.delay, p.delay-delay)
	p.deviation += scale(deviation-p.deviation, pathWeight)
	p.delay += scale(delay-p.delay, pathWeight)
	p.measuredAt = now
	s.paths[domain] = p
}

func (s *Scheduler) pathTo(domain string, now time.Time) path {
	if p, ok := s.paths[domain]; ok && now.Sub(p.measuredAt) < pathTTL {
		return p
	}
	return path{delay: defaultPathDelay}
}

// weighsCrossings reports whether the operator has stated what traffic between failure domains costs.
func (s *Scheduler) weighsCrossings() bool { return s.costPerGigabyte > 0 }

// costOfBytes returns the cost of bytes that move between failure domains.
func (s *Scheduler) costOfBytes(bytes int) float64 { return float64(bytes) / 1e9 * s.costPerGigabyte }

// headroom is the room for short prompts of a group of endpoints.
type headroom struct {
	freeSlots float64 // at endpoints whose prefill backlog short prompts tolerate
	endpoints int
}

func (h headroom) perEndpoint() float64 { return h.freeSlots / float64(max(h.endpoints, 1)) }

func (h *headroom) add(other headroom) {
	h.freeSlots += other.freeSlots
	h.endpoints += other.endpoints
}

// group is a group of endpoints with the same path from this gateway.
type group struct {
	loads []candidateLoad
	room  headroom
}

func (g *group) add(l candidateLoad, slots int, viewAge time.Duration) {
	g.loads = append(g.loads, l)
	if !acceptsRequest(l) {
		return
	}
	g.room.endpoints++
	g.room.freeSlots += l.freeSlots(slots, viewAge)
}

// knownFreeSlots returns the free slots of an endpoint as far as its load is known.
func (c *candidateLoad) knownFreeSlots(slots int) float64 {
	if c.load.backlog() >= toleratedBacklog {
		return 0
	}
	return float64(max(slots-c.load.slotsUsed, 0))
}

// freeSlots returns the slots that are likely to be still free at an endpoint whose load is known with a delay.
func (c *candidateLoad) freeSlots(slots int, viewAge time.Duration) float64 {
	if c.Cold {
		return 0
	}
	unseen := float64(c.load.slotsUsed) / tightAnswerSeconds * viewAge.Seconds()
	return max(c.knownFreeSlots(slots)-roomDeviations*math.Sqrt(2*unseen), 0) / max(c.Slowdown, 1) * (1 - c.FailureRate)
}

// leavingShare returns the share of short prompts that leave a group of endpoints for another one. It is zero while the group has at least
// leavingRoomShare of the room of the other one, and grows to one as its room vanishes.
func leavingShare(home, other headroom) float64 {
	if other.endpoints == 0 {
		return 0
	}
	if home.endpoints == 0 {
		return 1
	}
	needed := leavingRoomShare * other.perEndpoint()
	if needed <= 0 {
		return 0
	}
	return max(1-home.perEndpoint()/needed, 0)
}

// acceptance returns the share of the prompts that would go to a group of endpoints that its room bears.
func (h headroom) acceptance() float64 {
	return min(max((h.perEndpoint()-minRoomElsewhere)/(ampleRoomElsewhere-minRoomElsewhere), 0), 1)
}

// farViewAge returns the mean age of what this gateway knows of the jobs of gateways elsewhere.
func (s *Scheduler) farViewAge(now time.Time) time.Duration {
	sum, count := time.Duration(0), 0
	for _, p := range s.peers {
		if age := now.Sub(p.receivedAt); age > 2*peerViewDelay {
			sum += age
			count++
		}
	}
	return sum / time.Duration(max(count, 1))
}

// Reasons why a request leaves its failure domain.
const (
	NoEndpoint  = "no_endpoint" // the domain has none that accepts the request
	ShortOfRoom = "short_of_room"
	CheaperPlan = "cheaper_plan"
	FewerJobs   = "fewer_jobs" // plain services
)

// surroundings groups the endpoints that a short prompt may be placed on by their path from the gateway.
type surroundings struct {
	near    group
	far     []*group // by failure domain; that of the gateway as well, for the endpoints of other circles there
	farRoom headroom
	farAge  time.Duration
}

// look groups the candidates. The room at the end of a path counts by the share of responses that it is likely to deliver in time.
func (s *Scheduler) look(m *engine.TimingModel, r Request, loads []candidateLoad, now time.Time) *surroundings {
	v := &surroundings{farAge: s.farViewAge(now)}
	byDomain := make(map[string]*group)
	for _, l := range loads {
		if l.Near {
			v.near.add(l, m.Slots, peerViewDelay)
			continue
		}
		g := byDomain[l.Domain]
		if g == nil {
			g = new(group)
			byDomain[l.Domain] = g
			v.far = append(v.far, g)
		}
		g.add(l, m.Slots, v.farAge)
	}
	slack := scale(r.LatencyTarget, latencyTargetShare) - m.PrefillTime(r.PromptTokens, 1) - scale(m.DecodePassTime(m.Slots, 0), 1.5)
	for _, g := range v.far {
		late := min(g.loads[0].path.roundTrip.Seconds()/max(slack, time.Millisecond).Seconds(), 1)
		g.room.freeSlots *= 1 - late
		v.farRoom.add(g.room)
	}
	return v
}

// nearOrFar returns the loads of the endpoints that a short prompt may be placed on: those near the gateway or, for a share of the
// prompts, those elsewhere. reason applies if these are in another failure domain.
func (s *Scheduler) nearOrFar(m *engine.TimingModel, r Request, loads []candidateLoad, now time.Time) (chosen []candidateLoad, reason string) {
	if !s.weighsCrossings() {
		return s.nearOrAnyFar(m.Slots, loads)
	}
	v := s.look(m, r, loads, now)
	if s.rng.Float64() >= s.shareOf(v, r) {
		return v.near.loads, CheaperPlan
	}
	return v.randomFar(s.rng.Float64()).withRoom(m.Slots, v.farAge), reasonToLeave(loads)
}

// reasonToLeave returns the reason why a short prompt is placed far from the gateway.
func reasonToLeave(loads []candidateLoad) string {
	isLocal := func(c candidateLoad) bool { return c.SameFailureDomain && acceptsRequest(c) }
	if slices.ContainsFunc(loads, isLocal) {
		return ShortOfRoom
	}
	return NoEndpoint
}

// nearOrAnyFar is nearOrFar without regard to paths, bytes and the age of views.
func (s *Scheduler) nearOrAnyFar(slots int, loads []candidateLoad) (chosen []candidateLoad, reason string) {
	var near, far group
	for _, l := range loads {
		g := &far
		if l.Near {
			g = &near
		}
		g.loads = append(g.loads, l)
		if acceptsRequest(l) {
			g.room.add(headroom{freeSlots: l.knownFreeSlots(slots), endpoints: 1})
		}
	}
	if p := leavingShare(near.room, far.room); p > 0 && s.rng.Float64() < p {
		return far.loads, reasonToLeave(loads)
	}
	return near.loads, CheaperPlan
}

// shareOf returns the share of short prompts that leave the endpoints near the gateway. The benefit, the additional share of callers served
// in time, must exceed the cost of the bytes.
func (s *Scheduler) shareOf(v *surroundings, r Request) float64 {
	if v.near.room.endpoints == 0 {
		return leavingShare(v.near.room, v.farRoom)
	}
	share := leavingShare(v.near.room, v.farRoom) * v.farRoom.acceptance()
	threshold := s.costOfBytes((r.PromptTokens+r.OutputTokens)*TextBytesPerToken) / requestValue(r.PromptTokens)
	if !s.leaving[r.Service] {
		threshold = max(threshold, minLeavingShare)
	}
	s.leaving[r.Service] = share > threshold
	if !s.leaving[r.Service] {
		return 0
	}
	return share
}

// randomFar returns a group of endpoints elsewhere, with a probability that follows its room. x is a random number from 0 to 1.
func (v *surroundings) randomFar(x float64) *group {
	x *= v.farRoom.freeSlots
	for _, g := range v.far {
		if x -= g.room.freeSlots; x < 0 {
			return g
		}
	}
	return v.far[len(v.far)-1]
}

// withRoom returns the loads of the endpoints that are likely to have a free slot, or all if there are none.
func (g *group) withRoom(slots int, viewAge time.Duration) []candidateLoad {
	var list []candidateLoad
	for _, l := range g.loads {
		if acceptsRequest(l) && l.freeSlots(slots, viewAge) > 0 {
			list = append(list, l)
		}
	}
	if len(list) == 0 {
		return g.loads
	}
	return list
}

// pathCost is what a path to another failure domain adds to a request; zero within a domain.
type pathCost struct {
	roundTrip time.Duration
	perByte   float64
}

func (s *Scheduler) pathCostOf(c *Candidate, now time.Time) pathCost {
	if c.SameFailureDomain || !s.weighsCrossings() {
		return pathCost{}
	}
	return pathCost{roundTrip: s.pathTo(c.Domain, now).roundTrip(), perByte: s.costOfBytes(1)}
}

// partCrossingCost returns the cost of processing a prompt, or one of its parts, in another failure domain.
func (c *candidateLoad) partCrossingCost(r Request, parts int) float64 {
	if c.SameFailureDomain {
		return 0
	}
	bytes := (r.PromptTokens + r.OutputTokens) * TextBytesPerToken
	if parts > 1 {
		bytes = PartBytes(r.PromptTokens, parts)
	}
	return partCrossingCost + float64(bytes)*c.path.perByte + c.path.roundTrip.Seconds()*latencyCostWeight
}

// plainCost returns the cost of a path for a plain request, in requests queued at the endpoint.
func (p pathCost) plainCost() float64 {
	return plainCrossingCost + plainBytes*p.perByte + p.roundTrip.Seconds()/plainTargetTime.Seconds()
}
