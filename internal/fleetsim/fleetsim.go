// Package fleetsim is a discrete-event simulation of gateways and engines under load. It shows within seconds how a change
// of placement affects callers, before the change is measured with real processes.
//
// Gateways know of each other's jobs after a fixed delay. Engines work in passes: a pass runs the prefill of all prompts
// that wait when it begins, and then generates one event of every answer under way. Paths between failure domains have a delay
// and may be narrow or lossy.
package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
	"github.com/bilberrylink/bilberrylink/exchange"
	"github.com/bilberrylink/bilberrylink/placement"
)

// Workload describes requests of one kind.
type Workload struct {
	Name             string
	RatePerSecond    float64       // at all gateways together
	Start            time.Duration // of arrivals
	End              time.Duration // of arrivals; 0: that of the simulation
	MeanPromptTokens float64
	PromptLogStddev  float64 // standard deviation of the logarithm of the number of prompt tokens
	MaxPromptTokens  int
	MeanEvents       float64       // of an answer
	LatencyTarget    time.Duration // for the first event
	GapTarget        time.Duration // for the time between two events
	CallerTimeout    time.Duration // for the whole request
	Value            float64       // of an answer in time to a prompt of mean length
	LateValue        float64       // of a late answer to a prompt of mean length
}

// relativeValue returns the value of a request relative to one of mean length. It grows with the prompt, up to a bound.
func (w *Workload) relativeValue(tokens int) float64 {
	return min(baseValueShare+(1-baseValueShare)*float64(tokens)/w.MeanPromptTokens, maxRelativeValue)
}

const (
	baseValueShare   = 0.3 // share of the value that does not depend on the length
	maxRelativeValue = 4.0
)

// Config describes a fleet and its load.
type Config struct {
	Timing        engine.TimingModel
	Gateways      int
	Endpoints     int
	PeerViewDelay time.Duration // from a placement until the other gateways know of it
	// Domains is the number of failure domains, over which gateways and endpoints are distributed evenly. Changes of short prompts
	// are known outside the circle of a gateway after exchange.FarDelay at most. 0: all gateways know of all changes after PeerViewDelay.
	Domains int
	// DomainTraffic holds the share of each domain of the arrivals, relative to the other shares; nil: equal shares.
	DomainTraffic []float64
	Absence       *Absence
	// Path returns the path between two failure domains; nil: paths take no time.
	Path func(from, to int) Path
	Rule Rule
	// CostPerGigabyte is the cost of traffic between failure domains that the operator states; 0: none.
	CostPerGigabyte float64
	Duration        time.Duration // of arrivals; the simulation itself runs until all requests have ended
	Workloads       []Workload
	Seed            uint64
}

// Absence is the time for which a failure domain takes no new requests. Those under way are completed.
type Absence struct {
	Domain      int
	From, Until time.Duration
	// Lost means that callers reach no gateway of the domain, as when it is lost; otherwise its endpoints are evacuated only.
	Lost bool
}

// Path is a network path between two failure domains.
type Path struct {
	Delay          time.Duration // one way
	BytesPerSecond float64       // 0: unlimited
	Loss           float64       // share of messages that are delayed by retransmissionDelay
}

// retransmissionDelay is the shortest time after which TCP repeats a lost segment.
const retransmissionDelay = 200 * time.Millisecond

// Rule tells which endpoints are offered to the placement.
type Rule int

// The rules other than Weigh are for comparison.
const (
	Weigh  Rule = iota // all endpoints; the placement weighs those in other failure domains
	Never              // those in the failure domain of the gateway
	Always             // all endpoints, as if they were near the gateway
)

// Outcome counts the results of the requests of one kind.
type Outcome struct {
	Requests     int
	InTime       int
	Late         int
	Refused      int
	Abandoned    int     // caller gave up
	OfferedValue float64 // if all requests were answered in time
	EarnedValue  float64
	CrossedBytes int     // between failure domains: prompts, answers, and the parts and contexts of split prompts
	WaitingLoss  float64 // value lost by requests that waited and were not placed within their latency target
}

// InTimeShare returns the share of requests that were answered in time.
func (o *Outcome) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Requests, 1)) }

// Result is the result of a simulation.
type Result struct {
	Outcomes map[string]*Outcome // by name of the workload
	// HerdedShare is the share of requests that were placed on an endpoint on which another gateway had placed one within the
	// last herdWindow.
	HerdedShare float64
	// Oscillation is the mean difference between the shares of requests that left their failure domain in successive intervals of
	// oscillationInterval, over all failure domains.
	Oscillation float64
}

const oscillationInterval = 250 * time.Millisecond

// herdWindow is about the delay until gateways know of each other's placements.
const herdWindow = 10 * time.Millisecond

// start is the virtual time at which a simulation begins.
var start = time.Unix(1_700_000_000, 0)

// Run simulates the load until all requests have ended. The result is determined by the configuration.
func Run(c Config) Result {
	s := newSimulation(c)
	for i := range c.Workloads {
		s.scheduleArrivals(&c.Workloads[i])
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.action()
	}
	return Result{
		Outcomes: s.outcomes, HerdedShare: float64(s.herdedCount) / float64(max(s.placedCount, 1)),
		Oscillation: s.oscillation(),
	}
}

type simulation struct {
	Config
	rng           *rand.Rand
	now           time.Time
	lastSequence  uint64 // of the events scheduled so far
	events        eventHeap
	schedulers    []*placement.Scheduler
	pendingScopes []placement.Scope // by gateway: scopes of the updates to other gateways that are scheduled
	engines       map[string]*simEngine
	circles       exchange.Circles
	circleOf      []exchange.Circle       // by gateway
	candidates    [][]placement.Candidate // by gateway
	remaining     [][]placement.Candidate // by gateway, without those of the absent failure domain
	domainOf      map[string]int          // by endpoint
	pathFreeAt    map[[2]int]time.Time    // by pair of failure domains: when the bytes sent so far have been transmitted
	departures    []map[int64]*departures // by failure domain and interval
	outcomes      map[string]*Outcome
	placedCount   int
	herdedCount   int
}

func newSimulation(c Config) *simulation {
	s := &simulation{
		Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), now: start, pendingScopes: make([]placement.Scope, c.Gateways),
		engines: make(map[string]*simEngine), outcomes: make(map[string]*Outcome),
		domainOf: make(map[string]int), pathFreeAt: make(map[[2]int]time.Time),
	}
	var gateways []exchange.Member
	for i := range c.Gateways {
		scheduler := placement.NewSeededScheduler(c.Seed + uint64(i))
		scheduler.SetDomainOptions(placement.DomainOptions{CostPerGigabyte: c.CostPerGigabyte})
		s.schedulers = append(s.schedulers, scheduler)
		gateways = append(gateways, s.member("g", i))
	}
	if c.Domains > 0 {
		s.circles = exchange.NewCircles(gateways)
	} else {
		s.circles = exchange.NewCircles(nil) // one circle
	}
	for i := range c.Endpoints {
		id := "e" + strconv.Itoa(i)
		s.domainOf[id] = i % s.domains()
		s.engines[id] = &simEngine{sim: s, lastGateway: -1}
	}
	for range s.domains() {
		s.departures = append(s.departures, make(map[int64]*departures))
	}
	s.addCandidates()
	s.schedule(exchange.FarDelay(c.Gateways), s.publishToAll)
	return s
}

// member returns a gateway or an endpoint as a member of a circle.
func (s *simulation) member(prefix string, i int) exchange.Member {
	return exchange.Member{Name: prefix + strconv.Itoa(i), FailureDomain: "d" + strconv.Itoa(i%s.domains())}
}

// addCandidates sets the candidates of all gateways.
func (s *simulation) addCandidates() {
	type group struct {
		circle exchange.Circle
		domain int
	}
	all, remaining := make(map[group][]placement.Candidate), make(map[group][]placement.Candidate)
	for gateway := range s.Gateways {
		g := group{s.circles.Of(s.member("g", gateway)), gateway % s.domains()}
		s.circleOf = append(s.circleOf, g.circle)
		if all[g] == nil {
			for i := range s.Endpoints {
				e := s.member("e", i)
				c := placement.Candidate{ID: e.Name, Domain: e.FailureDomain, SameFailureDomain: i%s.domains() == g.domain, Near: s.circles.Of(e) == g.circle, Slowdown: 1}
				if s.Rule == Never && !c.SameFailureDomain {
					continue
				}
				if s.Rule == Always {
					c.SameFailureDomain, c.Near = true, true
				}
				all[g] = append(all[g], c)
				if s.Absence == nil || i%s.domains() != s.Absence.Domain {
					remaining[g] = append(remaining[g], c)
				}
			}
		}
		s.candidates, s.remaining = append(s.candidates, all[g]), append(s.remaining, remaining[g])
	}
}

// absent reports whether a failure domain is absent at a time since the start.
func (s *simulation) absent(at time.Duration) bool {
	return s.Absence != nil && at >= s.Absence.From && at < s.Absence.Until
}

// domains returns the number of failure domains, at least 1.
func (s *simulation) domains() int { return max(s.Domains, 1) }

// arrivalGateway returns the gateway of a request that arrives at a time since the start.
func (s *simulation) arrivalGateway(at time.Duration) int {
	for {
		gateway := s.randomGateway()
		if !s.absent(at) || !s.Absence.Lost || gateway%s.domains() != s.Absence.Domain {
			return gateway
		}
	}
}

func (s *simulation) randomGateway() int {
	if len(s.DomainTraffic) == 0 {
		return s.rng.IntN(s.Gateways)
	}
	total := 0.0
	for _, share := range s.DomainTraffic {
		total += share
	}
	domain, x := 0, s.rng.Float64()*total
	for x -= s.DomainTraffic[0]; x > 0 && domain < s.domains()-1; x -= s.DomainTraffic[domain] {
		domain++
	}
	domain = min(domain, s.Gateways-1)
	inDomain := (s.Gateways - domain + s.domains() - 1) / s.domains()
	return domain + s.rng.IntN(inDomain)*s.domains()
}

// schedule runs action after a delay in virtual time.
func (s *simulation) schedule(delay time.Duration, action func()) {
	s.lastSequence++
	heap.Push(&s.events, simEvent{at: s.now.Add(delay), sequence: s.lastSequence, action: action})
}

// scheduleArrivals schedules the requests of one kind as a Poisson process.
func (s *simulation) scheduleArrivals(w *Workload) {
	if s.outcomes[w.Name] == nil {
		s.outcomes[w.Name] = &Outcome{}
	}
	end := s.Duration
	if w.End > 0 {
		end = w.End
	}
	meanGap := float64(time.Second) / w.RatePerSecond
	for at := w.Start + time.Duration(s.rng.ExpFloat64()*meanGap); at < end; at += time.Duration(s.rng.ExpFloat64() * meanGap) {
		relativeLength := math.Exp(s.rng.NormFloat64()*w.PromptLogStddev - w.PromptLogStddev*w.PromptLogStddev/2)
		r := &request{
			sim: s, workload: w, outcome: s.outcomes[w.Name], gateway: s.arrivalGateway(at), arrivedAt: start.Add(at),
			promptTokens: min(max(int(w.MeanPromptTokens*relativeLength), 1), w.MaxPromptTokens),
			eventsLeft:   max(1, int(w.MeanEvents*(0.5+s.rng.Float64()))),
		}
		r.lastEventAt = r.arrivedAt
		s.schedule(at, func() {
			r.outcome.Requests++
			r.outcome.OfferedValue += w.Value * w.relativeValue(r.promptTokens)
			r.place()
		})
	}
}

// publishJobs sends the changed jobs of a gateway to the gateways that have to know of them, after the configured delay.
func (s *simulation) publishJobs(gateway int) {
	changed := s.schedulers[gateway].TakeChanged()
	alreadyScheduled := s.pendingScopes[gateway] != 0
	s.pendingScopes[gateway] |= changed
	if changed == 0 || alreadyScheduled {
		return
	}
	s.schedule(s.PeerViewDelay, func() {
		scopes := s.pendingScopes[gateway]
		s.pendingScopes[gateway] = 0
		for i := range s.schedulers {
			if i == gateway {
				continue
			}
			s.send(gateway, i, scopes&placement.Fleetwide)
			if s.circleOf[i] == s.circleOf[gateway] {
				s.send(gateway, i, scopes&placement.Near)
			}
		}
	})
}

// send sends the jobs of a gateway in one scope to another gateway.
func (s *simulation) send(from, to int, scope placement.Scope) {
	if scope != 0 {
		name := "g" + strconv.Itoa(from) + "#" + strconv.Itoa(int(scope))
		s.schedulers[to].SetPeerJobs(name, s.schedulers[from].LocalJobsIn(scope), s.now)
	}
}

// publishToAll sends the jobs of all gateways to all others.
func (s *simulation) publishToAll() {
	for from := range s.schedulers {
		for to := range s.schedulers {
			if from != to {
				s.send(from, to, placement.Near)
				s.send(from, to, placement.Fleetwide)
			}
		}
	}
	if s.now.Sub(start) < s.Duration {
		s.schedule(exchange.FarDelay(s.Gateways), s.publishToAll)
	}
}

type request struct {
	sim          *simulation
	workload     *Workload
	outcome      *Outcome
	gateway      int
	domain       int // of the primary endpoint
	promptTokens int
	eventsLeft   int // of the answer
	arrivedAt    time.Time
	lastEventAt  time.Time // arrivedAt before the first event
	deliveredAt  time.Time // when the latest generated event arrives at the gateway
	placedAt     time.Time // zero: not yet
	plan         placement.Plan
	queueJobID   uint64 // queue entry; 0: none
	pendingParts int    // parts of the prompt whose prefill has not ended
	late         bool
	ended        bool
}

func (r *request) scheduler() *placement.Scheduler { return r.sim.schedulers[r.gateway] }

// place asks for a placement and carries it out.
func (r *request) place() {
	s, waited := r.sim, r.sim.now.Sub(r.arrivedAt)
	candidates := s.candidates[r.gateway]
	if s.absent(s.now.Sub(start)) {
		candidates = s.remaining[r.gateway]
	}
	plan, decision := r.scheduler().Choose(&s.Timing, candidates, placement.Request{
		PromptTokens: r.promptTokens, OutputTokens: r.eventsLeft * s.Timing.TokensPerPass,
		LatencyTarget: r.workload.LatencyTarget, GapTarget: r.workload.GapTarget, Waited: waited,
		TimeLeft:   min(placement.CallerIdleTimeout(r.workload.LatencyTarget, r.workload.GapTarget), r.workload.CallerTimeout) - waited,
		QueueJobID: r.queueJobID,
	}, s.now)
	if plan.QueueJobID != r.queueJobID {
		r.queueJobID = plan.QueueJobID
		s.publishJobs(r.gateway)
	}
	switch decision {
	case placement.Wait:
		s.schedule(placement.WaitInterval, r.place)
		return
	case placement.Admit:
	default:
		r.outcome.Refused++
		r.recordWaitingLoss()
		return
	}
	r.plan, r.pendingParts, r.placedAt = plan, len(plan.Endpoints), s.now
	s.publishJobs(r.gateway)
	s.placedCount++
	if s.engines[plan.Endpoints[0]].recordRequest(r.gateway) {
		s.herdedCount++
	}
	r.transmit()
	r.startTimeout()
}

// transmit sends the prompt to the primary endpoint and the parts to the others.
func (r *request) transmit() {
	s, home, primary := r.sim, r.gateway%r.sim.domains(), r.sim.domainOf[r.plan.Endpoints[0]]
	r.domain = primary
	s.recordDeparture(home, primary != home)
	if s.Path != nil && primary != home && s.rng.IntN(requestsPerConnection) == 0 {
		r.scheduler().ObservePath("d"+strconv.Itoa(primary), s.transmissionTime(home, primary, 0), s.now)
	}
	toPrimary := r.cross(home, primary, r.promptTokens*placement.TextBytesPerToken)
	for i, id := range r.plan.Endpoints {
		delay := toPrimary
		if i > 0 {
			delay += r.cross(primary, s.domainOf[id], placement.PartBytes(r.promptTokens, len(r.plan.Endpoints)))
		}
		part := &promptPart{request: r, primary: i == 0}
		if delay == 0 {
			s.engines[id].add(part)
		} else {
			s.schedule(delay, func() { s.engines[id].add(part) })
		}
	}
}

// requestsPerConnection is the number of requests per connection to another failure domain. A gateway measures the path when it connects.
const requestsPerConnection = 10

// cross counts bytes of a request that are sent between failure domains and returns the time that they take.
func (r *request) cross(from, to, bytes int) time.Duration {
	if from == to {
		return 0
	}
	r.outcome.CrossedBytes += bytes
	if r.sim.Path == nil {
		return 0
	}
	return r.sim.transmissionTime(from, to, bytes)
}

// transmissionTime returns the time that bytes take between two failure domains after those sent before.
func (s *simulation) transmissionTime(from, to, bytes int) time.Duration {
	path, delay := s.Path(from, to), time.Duration(0)
	if path.BytesPerSecond > 0 {
		freeAt := s.pathFreeAt[[2]int{from, to}]
		if freeAt.Before(s.now) {
			freeAt = s.now
		}
		freeAt = freeAt.Add(time.Duration(float64(bytes) / path.BytesPerSecond * float64(time.Second)))
		s.pathFreeAt[[2]int{from, to}] = freeAt
		delay = freeAt.Sub(s.now)
	}
	if path.Loss > 0 && s.rng.Float64() < path.Loss {
		delay += retransmissionDelay
	}
	return delay + path.Delay
}

// departures counts the requests of a failure domain in an interval.
type departures struct{ placed, left int }

func (s *simulation) recordDeparture(domain int, left bool) {
	interval := int64(s.now.Sub(start) / oscillationInterval)
	d := s.departures[domain][interval]
	if d == nil {
		d = new(departures)
		s.departures[domain][interval] = d
	}
	d.placed++
	if left {
		d.left++
	}
}

// oscillation returns the mean difference between the shares of requests that left their domain in successive intervals.
func (s *simulation) oscillation() float64 {
	sum, count := 0.0, 0
	for _, intervals := range s.departures {
		for i := int64(1); i < int64(s.Duration/oscillationInterval); i++ {
			before, after := intervals[i-1], intervals[i]
			if before == nil || after == nil {
				continue
			}
			sum += math.Abs(float64(after.left)/float64(after.placed) - float64(before.left)/float64(before.placed))
			count++
		}
	}
	return sum / float64(max(count, 1))
}

// startTimeout schedules the end of the request for the time at which its caller gives up if no event arrives before.
func (r *request) startTimeout() {
	abandonsAt := r.lastEventAt.Add(placement.CallerIdleTimeout(r.workload.LatencyTarget, r.workload.GapTarget))
	if timeoutAt := r.arrivedAt.Add(r.workload.CallerTimeout); timeoutAt.Before(abandonsAt) {
		abandonsAt = timeoutAt
	}
	r.sim.schedule(abandonsAt.Sub(r.sim.now), func() {
		if r.ended {
			return
		}
		if r.sim.now.Sub(r.lastEventAt) < placement.CallerIdleTimeout(r.workload.LatencyTarget, r.workload.GapTarget) &&
			r.sim.now.Sub(r.arrivedAt) < r.workload.CallerTimeout {
			r.startTimeout()
			return
		}
		r.outcome.Abandoned++
		r.recordWaitingLoss()
		r.finish()
	})
}

// A request that waits in vain loses value between these two waiting times, linearly.
const (
	freeWaitShare = 1.0 / 8 // share of the latency target up to which nothing is lost
	lostWaitShare = 3.0 / 4 // share of the time until the caller gives up from which everything is lost
)

// recordWaitingLoss records the value lost by a request that has ended and was not placed within its latency target.
func (r *request) recordWaitingLoss() {
	if !r.placedAt.IsZero() && r.placedAt.Sub(r.arrivedAt) <= r.workload.LatencyTarget {
		return
	}
	freeSeconds := freeWaitShare * r.workload.LatencyTarget.Seconds()
	lostSeconds := lostWaitShare * min(
		placement.CallerIdleTimeout(r.workload.LatencyTarget, r.workload.GapTarget), r.workload.CallerTimeout,
	).Seconds()
	lostShare := (r.sim.now.Sub(r.arrivedAt).Seconds() - freeSeconds) / (lostSeconds - freeSeconds)
	r.outcome.WaitingLoss += min(max(lostShare, 0), 1) * r.workload.Value * r.workload.relativeValue(r.promptTokens)
}

func (r *request) finish() {
	r.ended = true
	r.scheduler().Remove(r.plan.JobIDs)
	r.sim.publishJobs(r.gateway)
}

// sendEvent sends a generated event to the gateway. Events do not overtake each other.
func (r *request) sendEvent(first bool) {
	s := r.sim
	at := s.now.Add(r.cross(r.domain, r.gateway%s.domains(), s.Timing.TokensPerPass*placement.TextBytesPerToken))
	if at.Before(r.deliveredAt) {
		at = r.deliveredAt
	}
	if r.deliveredAt = at; at.Equal(s.now) {
		r.deliverEvent(first)
		return
	}
	s.schedule(at.Sub(s.now), func() { r.deliverEvent(first) })
}

// deliverEvent delivers one event of the answer to the caller. first marks the first event.
func (r *request) deliverEvent(first bool) {
	if r.ended {
		return
	}
	target := r.workload.GapTarget
	if first {
		target = r.workload.LatencyTarget
		r.scheduler().MarkDecoding(r.plan.JobIDs)
		r.sim.publishJobs(r.gateway)
	}
	if !r.late && r.sim.now.Sub(r.lastEventAt) > target {
		r.late = true
		r.scheduler().MarkLate(r.plan.JobIDs)
	}
	r.lastEventAt = r.sim.now
	if r.eventsLeft--; r.eventsLeft > 0 {
		return
	}
	if r.late {
		r.outcome.Late++
		r.outcome.EarnedValue += r.workload.LateValue * r.workload.relativeValue(r.promptTokens)
	} else {
		r.outcome.InTime++
		r.outcome.EarnedValue += r.workload.Value * r.workload.relativeValue(r.promptTokens)
	}
	r.finish()
}

// promptPart is a prompt, or a part of one, at an engine.
type promptPart struct {
	request   *request
	primary   bool // the answer is generated at this engine
	prefilled bool // prefill has ended
	decoding  bool // the first event has been generated
}

type simEngine struct {
	sim           *simulation
	parts         []*promptPart
	running       bool
	lastRequestAt time.Time
	lastGateway   int // that sent the latest request; -1: none
}

// recordRequest records a request and reports whether another gateway sent one just before it.
func (e *simEngine) recordRequest(gateway int) bool {
	herded := e.lastGateway >= 0 && e.lastGateway != gateway && e.sim.now.Sub(e.lastRequestAt) < herdWindow
	e.lastRequestAt, e.lastGateway = e.sim.now, gateway
	return herded
}

func (e *simEngine) add(p *promptPart) {
	e.parts = append(e.parts, p)
	if !e.running {
		e.running = true
		e.sim.schedule(0, e.runPass)
	}
}

// runPass simulates one pass. It starts with the prefill of waiting prompts: always of parts for other engines, and of the
// engine's own requests while slots are free.
func (e *simEngine) runPass() {
	e.removeFinishedParts()
	if len(e.parts) == 0 {
		e.running = false
		return
	}
	m := &e.sim.Timing
	var prefilling []*promptPart
	prefillTime, slotsUsed := time.Duration(0), 0
	for _, p := range e.parts {
		if p.primary {
			if slotsUsed++; slotsUsed > m.Slots {
				continue
			}
		}
		if !p.prefilled {
			prefilling = append(prefilling, p)
			prefillTime += m.PrefillTime(p.request.promptTokens, len(p.request.plan.Endpoints))
		}
	}
	e.sim.schedule(prefillTime, func() {
		for _, p := range prefilling {
			p.prefilled = true
			p.request.pendingParts--
		}
		e.decode()
	})
}

// decode simulates the second half of a pass: one event of each answer whose prompt has been processed.
func (e *simEngine) decode() {
	var decoding []*promptPart
	contextTokens := 0
	for _, p := range e.parts {
		if p.primary && p.request.pendingParts == 0 && !p.request.ended {
			decoding = append(decoding, p)
			contextTokens += p.request.promptTokens
		}
	}
	e.sim.schedule(e.sim.Timing.DecodePassTime(len(decoding), contextTokens), func() {
		for _, p := range decoding {
			if !p.request.ended {
				p.request.sendEvent(!p.decoding)
				p.decoding = true
			}
		}
		e.runPass()
	})
}

// removeFinishedParts removes parts of ended requests and processed parts for other engines.
func (e *simEngine) removeFinishedParts() {
	kept := e.parts[:0]
	for _, p := range e.parts {
		if !p.request.ended && (p.primary || !p.prefilled) {
			kept = append(kept, p)
		}
	}
	e.parts = kept
}

// simEvent is an action at a virtual time. Events at the same time run in the order in which they were scheduled.
type simEvent struct {
	at       time.Time
	sequence uint64
	action   func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].sequence < h[j].sequence
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
