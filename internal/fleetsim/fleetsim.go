// Package fleetsim is a discrete-event simulation of gateways and engines under load. It shows within seconds how a change
// of placement affects callers, before the change is measured with real processes.
//
// Gateways know of each other's jobs after a fixed delay. Engines work in passes: a pass runs the prefill of all prompts
// that wait when it begins, and then generates one event of every answer under way.
package fleetsim

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
	"github.com/bilberrylink/bilberrylink/placement"
)

// Kind describes requests of one kind.
type Kind struct {
	Name      string
	Rate      float64       // at all gateways together
	From      time.Duration // of arrivals
	Until     time.Duration // of arrivals; 0: that of the simulation
	Tokens    float64
	Spread    float64 // standard deviation of the logarithm of the number of prompt tokens
	MaxTokens int
	Events    float64       // of an answer
	Goal      time.Duration // for the first event
	PauseGoal time.Duration // for the time between two events
	Limit     time.Duration // for the whole request
	Value     float64       // of an answer in time to a prompt of mean length
	LateValue float64       // of a late answer to a prompt of mean length
}

// value returns the value of a request relative to one of mean length. It grows with the prompt, up to a bound.
func (k *Kind) value(tokens int) float64 {
	return min(baseShare+(1-baseShare)*float64(tokens)/k.Tokens, maxShare)
}

const (
	baseShare = 0.3 // share of the value that does not depend on the length
	maxShare  = 4.0
)

// Config describes a fleet and its load.
type Config struct {
	Model     engine.Model
	Gateways  int
	Endpoints int
	ViewDelay time.Duration // from a placement until the other gateways know of it
	Length    time.Duration // of arrivals; the simulation itself runs until all requests have ended
	Kinds     []Kind
	Seed      uint64
}

// Outcome counts the results of the requests of one kind.
type Outcome struct {
	Asked   int
	InTime  int
	Late    int
	Refused int
	Left    int     // caller gave up
	Owed    float64 // if all requests were answered in time
	Earned  float64
	Held    float64 // value lost by requests that waited and were not placed within their latency target
}

// InTimeShare returns the share of requests that were answered in time.
func (o *Outcome) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Asked, 1)) }

// Result is the result of a simulation.
type Result struct {
	Kinds map[string]*Outcome // by name of the kind
	// Herded is the share of requests that were placed on an endpoint on which another gateway had placed one within the
	// last herdSpan.
	Herded float64
}

// herdSpan is about the delay until gateways know of each other's placements.
const herdSpan = 10 * time.Millisecond

// start is the virtual time at which a simulation begins.
var start = time.Unix(1_700_000_000, 0)

// Play simulates the load until all requests have ended. The result is determined by the configuration.
func Play(c Config) Result {
	s := newSim(c)
	for i := range c.Kinds {
		s.arrivals(&c.Kinds[i])
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return Result{Kinds: s.outcomes, Herded: float64(s.herded) / float64(max(s.placed, 1))}
}

type sim struct {
	Config
	rng      *rand.Rand
	now      time.Time
	order    uint64
	events   eventHeap
	boards   []*placement.Board
	pending  []bool // by gateway: whether an update of its jobs to the others is scheduled
	engines  map[string]*simEngine
	cands    []placement.Candidate
	outcomes map[string]*Outcome
	placed   int
	herded   int
}

func newSim(c Config) *sim {
	s := &sim{
		Config: c, rng: rand.New(rand.NewPCG(c.Seed, 0)), now: start, pending: make([]bool, c.Gateways),
		engines: make(map[string]*simEngine), outcomes: make(map[string]*Outcome),
	}
	for i := range c.Gateways {
		s.boards = append(s.boards, placement.NewSeededBoard(c.Seed+uint64(i)))
	}
	for i := range c.Endpoints {
		id := "e" + strconv.Itoa(i)
		s.cands = append(s.cands, placement.Candidate{ID: id, Near: true, Pace: 1})
		s.engines[id] = &simEngine{sim: s, lastFrom: -1}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, do: do})
}

// arrivals schedules the requests of one kind as a Poisson process.
func (s *sim) arrivals(k *Kind) {
	if s.outcomes[k.Name] == nil {
		s.outcomes[k.Name] = &Outcome{}
	}
	until := s.Length
	if k.Until > 0 {
		until = k.Until
	}
	mean := float64(time.Second) / k.Rate
	for at := k.From + time.Duration(s.rng.ExpFloat64()*mean); at < until; at += time.Duration(s.rng.ExpFloat64() * mean) {
		size := math.Exp(s.rng.NormFloat64()*k.Spread - k.Spread*k.Spread/2)
		r := &request{
			sim: s, kind: k, outcome: s.outcomes[k.Name], gateway: s.rng.IntN(s.Gateways), arrived: start.Add(at),
			tokens: min(max(int(k.Tokens*size), 1), k.MaxTokens), events: max(1, int(k.Events*(0.5+s.rng.Float64()))),
		}
		r.latest = r.arrived
		s.after(at, func() {
			r.outcome.Asked++
			r.outcome.Owed += k.Value * k.value(r.tokens)
			r.place()
		})
	}
}

// publish sends the jobs of a gateway to the others after the configured delay.
func (s *sim) publish(gateway int) {
	if s.pending[gateway] {
		return
	}
	s.pending[gateway] = true
	s.after(s.ViewDelay, func() {
		s.pending[gateway] = false
		jobs, name := s.boards[gateway].Own(), "g"+strconv.Itoa(gateway)
		for i, b := range s.boards {
			if i != gateway {
				b.SetPeer(name, jobs, s.now)
			}
		}
	})
}

type request struct {
	sim     *sim
	kind    *Kind
	outcome *Outcome
	gateway int
	tokens  int
	events  int // remaining
	arrived time.Time
	latest  time.Time // of the latest event, or the arrival
	placed  time.Time
	plan    placement.Plan
	queued  uint64 // queue entry; 0: none
	unread  int    // parts of the prompt whose prefill has not ended
	late    bool
	ended   bool
}

func (r *request) board() *placement.Board { return r.sim.boards[r.gateway] }

// place asks for a placement and carries it out.
func (r *request) place() {
	s, waited := r.sim, r.sim.now.Sub(r.arrived)
	p, verdict := r.board().Choose(&s.Model, s.cands, placement.Request{
		Tokens: r.tokens, Output: r.events * s.Model.Stride, Goal: r.kind.Goal, PauseGoal: r.kind.PauseGoal, Waited: waited,
		Left:   min(placement.Patience(r.kind.Goal, r.kind.PauseGoal), r.kind.Limit) - waited,
		Queued: r.queued,
	}, s.now)
	if p.Queued != r.queued {
		r.queued = p.Queued
		s.publish(r.gateway)
	}
	switch verdict {
	case placement.Wait:
		s.after(placement.WaitStep, r.place)
		return
	case placement.Go:
	default:
		r.outcome.Refused++
		r.held()
		return
	}
	r.plan, r.unread, r.placed = p, len(p.Endpoints), s.now
	s.publish(r.gateway)
	s.placed++
	if s.engines[p.Endpoints[0]].follows(r.gateway) {
		s.herded++
	}
	for i, id := range p.Endpoints {
		s.engines[id].add(&part{request: r, lead: i == 0})
	}
	r.watch()
}

// watch ends the request when its caller gives up.
func (r *request) watch() {
	leaves := r.latest.Add(placement.Patience(r.kind.Goal, r.kind.PauseGoal))
	if limit := r.arrived.Add(r.kind.Limit); limit.Before(leaves) {
		leaves = limit
	}
	r.sim.after(leaves.Sub(r.sim.now), func() {
		if r.ended {
			return
		}
		if r.sim.now.Sub(r.latest) < placement.Patience(r.kind.Goal, r.kind.PauseGoal) && r.sim.now.Sub(r.arrived) < r.kind.Limit {
			r.watch()
			return
		}
		r.outcome.Left++
		r.held()
		r.end()
	})
}

// A request that waits in vain loses value between these two waiting times, linearly.
const (
	freeHold = 1.0 / 8 // share of the latency target up to which nothing is lost
	lostHold = 3.0 / 4 // share of the time until the caller gives up from which everything is lost
)

// held records the value lost by a request that has ended and was not placed within its latency target.
func (r *request) held() {
	if !r.placed.IsZero() && r.placed.Sub(r.arrived) <= r.kind.Goal {
		return
	}
	free := freeHold * r.kind.Goal.Seconds()
	lost := lostHold * min(placement.Patience(r.kind.Goal, r.kind.PauseGoal), r.kind.Limit).Seconds()
	share := (r.sim.now.Sub(r.arrived).Seconds() - free) / (lost - free)
	r.outcome.Held += min(max(share, 0), 1) * r.kind.Value * r.kind.value(r.tokens)
}

func (r *request) end() {
	r.ended = true
	r.board().Remove(r.plan.Jobs)
	r.sim.publish(r.gateway)
}

// event delivers one event of the answer to the caller. first marks the first one of an attempt.
func (r *request) event(first bool) {
	goal := r.kind.PauseGoal
	if first {
		goal = r.kind.Goal
		r.board().Writing(r.plan.Jobs)
		r.sim.publish(r.gateway)
	}
	if !r.late && r.sim.now.Sub(r.latest) > goal {
		r.late = true
		r.board().Late(r.plan.Jobs)
	}
	r.latest = r.sim.now
	if r.events--; r.events > 0 {
		return
	}
	if r.late {
		r.outcome.Late++
		r.outcome.Earned += r.kind.LateValue * r.kind.value(r.tokens)
	} else {
		r.outcome.InTime++
		r.outcome.Earned += r.kind.Value * r.kind.value(r.tokens)
	}
	r.end()
}

// part is a prompt, or a part of one, at an engine.
type part struct {
	request *request
	lead    bool // the answer is generated at this engine
	read    bool // prefill has ended
	begun   bool // the first event has been generated
}

type simEngine struct {
	sim      *sim
	parts    []*part
	running  bool
	last     time.Time // of the latest request
	lastFrom int       // gateway of the latest request; -1: none
}

// follows records a request and reports whether another gateway sent one just before it.
func (e *simEngine) follows(gateway int) bool {
	herded := e.lastFrom >= 0 && e.lastFrom != gateway && e.sim.now.Sub(e.last) < herdSpan
	e.last, e.lastFrom = e.sim.now, gateway
	return herded
}

func (e *simEngine) add(p *part) {
	e.parts = append(e.parts, p)
	if !e.running {
		e.running = true
		e.sim.after(0, e.pass)
	}
}

// pass simulates one pass. It starts with the prefill of waiting prompts: always of parts for other engines, and of the
// engine's own requests while slots are free.
func (e *simEngine) pass() {
	e.drop()
	if len(e.parts) == 0 {
		e.running = false
		return
	}
	m := &e.sim.Model
	var reading []*part
	took, slots := time.Duration(0), 0
	for _, p := range e.parts {
		if p.lead {
			if slots++; slots > m.Slots {
				continue
			}
		}
		if !p.read {
			reading = append(reading, p)
			took += m.Read(p.request.tokens, len(p.request.plan.Endpoints))
		}
	}
	e.sim.after(took, func() {
		for _, p := range reading {
			p.read = true
			p.request.unread--
		}
		e.write()
	})
}

// write simulates the second half of a pass: one event of each answer whose prompt has been processed.
func (e *simEngine) write() {
	var writing []*part
	context := 0
	for _, p := range e.parts {
		if p.lead && p.request.unread == 0 && !p.request.ended {
			writing = append(writing, p)
			context += p.request.tokens
		}
	}
	e.sim.after(e.sim.Model.Pass(len(writing), context), func() {
		for _, p := range writing {
			if !p.request.ended {
				p.request.event(!p.begun)
				p.begun = true
			}
		}
		e.pass()
	})
}

// drop removes parts of ended requests and processed parts for other engines.
func (e *simEngine) drop() {
	kept := e.parts[:0]
	for _, p := range e.parts {
		if !p.request.ended && (p.lead || !p.read) {
			kept = append(kept, p)
		}
	}
	e.parts = kept
}

// event is an action at a virtual time. Events at the same time run in the order in which they were scheduled.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if !h[i].at.Equal(h[j].at) {
		return h[i].at.Before(h[j].at)
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
