// Package fleetsim plays a load on a model of gateways and engines in virtual time. It shows what a decision of
// placement does to callers in seconds, before it is measured on real processes.
//
// Gateways decide by the views that they have of each other's jobs, and each view is old by a set delay. Engines work
// in passes: a pass reads all prompts that wait when it begins and lets every answer under way write one event.
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

// Kind is a kind of request.
type Kind struct {
	Name      string
	Rate      float64       // a second, on all gateways together
	From      time.Duration // of the first requests
	Until     time.Duration // of the last ones; 0: Length
	Tokens    float64       // mean of the prompt's tokens
	Spread    float64       // standard deviation of the logarithm of the prompt's tokens
	MaxTokens int
	Events    float64 // mean of the answer's events
	Goal      time.Duration
	PauseGoal time.Duration
	Limit     time.Duration // callers' time
	Value     float64       // of an answer in time to a prompt of the mean size
	LateValue float64       // of a late one
}

// value returns what a request is worth beside one of the mean size: it grows with the prompt, up to a bound.
func (k *Kind) value(tokens int) float64 {
	return min(baseShare+(1-baseShare)*float64(tokens)/k.Tokens, maxShare)
}

const (
	baseShare = 0.3 // part of the worth that does not depend on the size
	maxShare  = 4.0 // bound on the worth, in requests of the mean size
)

// Config describes a fleet and its load.
type Config struct {
	Model     engine.Model
	Gateways  int
	Endpoints int
	ViewDelay time.Duration // from a decision until the other gateways know it
	Length    time.Duration // time in which requests arrive
	Kinds     []Kind
	Seed      uint64
}

// Outcome counts what callers of one kind got.
type Outcome struct {
	Asked   int
	InTime  int
	Late    int
	Refused int
	Left    int // callers that gave up
	Owed    float64
	Earned  float64
	Held    float64 // worth of callers that were held and never offered to an engine in time
}

// InTimeShare returns the share of callers that were served in time.
func (o *Outcome) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Asked, 1)) }

// Result of a play.
type Result struct {
	Kinds map[string]*Outcome
	// Herded is the share of requests that went to an endpoint to which another gateway had sent one within the last
	// herdSpan.
	Herded float64
}

// herdSpan is about the time until gateways know of each other's decisions.
const herdSpan = 10 * time.Millisecond

// start is the virtual time at which a play begins.
var start = time.Unix(1_700_000_000, 0)

// Play runs the load until all requests have ended. Equal configurations give equal results.
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
	pending  []bool // by gateway: its jobs are about to be sent to the others
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

// arrivals schedules the requests of one kind.
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

// publish tells the other gateways the jobs of one, after the delay of views.
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

// request is one request of a caller.
type request struct {
	sim     *sim
	kind    *Kind
	outcome *Outcome
	gateway int
	tokens  int
	events  int
	arrived time.Time
	latest  time.Time // of the latest event
	placed  time.Time
	plan    placement.Plan
	queued  uint64 // place in the queue
	unread  int    // parts of the prompt that are not read yet
	late    bool
	ended   bool
}

func (r *request) board() *placement.Board { return r.sim.boards[r.gateway] }

// place asks for a decision and carries it out.
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

// watch ends the request when its caller has waited too long.
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

// Times for which a caller is held without an answer, and what it loses by that.
const (
	freeHold = 1.0 / 8 // of the goal: nothing is lost
	lostHold = 3.0 / 4 // of the caller's time: all is lost
)

// held notes the loss of a caller that was held and not sent to an engine within its goal.
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

// event hands the caller one event of the answer; first says that it is the first.
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
	lead    bool
	read    bool
	begun   bool // the first event has been written
}

// simEngine is one engine.
type simEngine struct {
	sim      *sim
	parts    []*part
	running  bool
	last     time.Time // of the latest request
	lastFrom int       // gateway of the latest request
}

// follows notes a request and reports whether another gateway sent one just before it.
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

// pass plays one pass. First it reads what waits: parts of split prompts always, others while slots are free.
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

// write is the second half of a pass: an event of each answer whose prompt has been read.
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

// drop forgets what has ended and parts that have been read for another engine.
func (e *simEngine) drop() {
	kept := e.parts[:0]
	for _, p := range e.parts {
		if !p.request.ended && (p.lead || !p.read) {
			kept = append(kept, p)
		}
	}
	e.parts = kept
}

// event is something that happens at a time; those of one time happen in the order in which they were scheduled.
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
