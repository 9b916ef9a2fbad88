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

// value returns the value of a request relative to one of mean length. It grows with the prompt, up to a bound.
func (k *Workload) value(tokens int) float64 {
	return min(baseShare+(1-baseShare)*float64(tokens)/k.MeanPromptTokens, maxShare)
}

const (
	baseShare = 0.3 // share of the value that does not depend on the length
	maxShare  = 4.0
)

// Config describes a fleet and its load.
type Config struct {
	Model     engine.TimingModel
	Gateways  int
	Endpoints int
	ViewDelay time.Duration // from a placement until the other gateways know of it
	Duration  time.Duration // of arrivals; the simulation itself runs until all requests have ended
	Workloads []Workload
	Seed      uint64
}

// Outcome counts the results of the requests of one kind.
type Outcome struct {
	Requests     int
	InTime       int
	Late         int
	Refused      int
	Abandoned    int     // caller gave up
	OfferedValue float64 // if all requests were answered in time
	EarnedValue  float64
	HeldLoss     float64 // value lost by requests that waited and were not placed within their latency target
}

// InTimeShare returns the share of requests that were answered in time.
func (o *Outcome) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Requests, 1)) }

// Result is the result of a simulation.
type Result struct {
	Outcomes map[string]*Outcome // by name of the kind
	// HerdedShare is the share of requests that were placed on an endpoint on which another gateway had placed one within the
	// last herdSpan.
	HerdedShare float64
}

// herdSpan is about the delay until gateways know of each other's placements.
const herdSpan = 10 * time.Millisecond

// start is the virtual time at which a simulation begins.
var start = time.Unix(1_700_000_000, 0)

// Run simulates the load until all requests have ended. The result is determined by the configuration.
func Run(c Config) Result {
	s := newSim(c)
	for i := range c.Workloads {
		s.arrivals(&c.Workloads[i])
	}
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(event)
		s.now = e.at
		e.do()
	}
	return Result{Outcomes: s.outcomes, HerdedShare: float64(s.herded) / float64(max(s.placed, 1))}
}

type sim struct {
	Config
	rng      *rand.Rand
	now      time.Time
	order    uint64
	events   eventHeap
	boards   []*placement.Scheduler
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
		s.boards = append(s.boards, placement.NewSeededScheduler(c.Seed+uint64(i)))
	}
	for i := range c.Endpoints {
		id := "e" + strconv.Itoa(i)
		s.cands = append(s.cands, placement.Candidate{ID: id, SameFailureDomain: true, Slowdown: 1})
		s.engines[id] = &simEngine{sim: s, lastFrom: -1}
	}
	return s
}

func (s *sim) after(d time.Duration, do func()) {
	s.order++
	heap.Push(&s.events, event{at: s.now.Add(d), order: s.order, do: do})
}

// arrivals schedules the requests of one kind as a Poisson process.
func (s *sim) arrivals(k *Workload) {
	if s.outcomes[k.Name] == nil {
		s.outcomes[k.Name] = &Outcome{}
	}
	until := s.Duration
	if k.End > 0 {
		until = k.End
	}
	mean := float64(time.Second) / k.RatePerSecond
	for at := k.Start + time.Duration(s.rng.ExpFloat64()*mean); at < until; at += time.Duration(s.rng.ExpFloat64() * mean) {
		size := math.Exp(s.rng.NormFloat64()*k.PromptLogStddev - k.PromptLogStddev*k.PromptLogStddev/2)
		r := &request{
			sim: s, kind: k, outcome: s.outcomes[k.Name], gateway: s.rng.IntN(s.Gateways), arrived: start.Add(at),
			tokens: min(max(int(k.MeanPromptTokens*size), 1), k.MaxPromptTokens), events: max(1, int(k.MeanEvents*(0.5+s.rng.Float64()))),
		}
		r.latest = r.arrived
		s.after(at, func() {
			r.outcome.Requests++
			r.outcome.OfferedValue += k.Value * k.value(r.tokens)
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
		jobs, name := s.boards[gateway].LocalJobs(), "g"+strconv.Itoa(gateway)
		for i, b := range s.boards {
			if i != gateway {
				b.SetPeerJobs(name, jobs, s.now)
			}
		}
	})
}

type request struct {
	sim     *sim
	kind    *Workload
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

func (r *request) board() *placement.Scheduler { return r.sim.boards[r.gateway] }

// place asks for a placement and carries it out.
func (r *request) place() {
	s, waited := r.sim, r.sim.now.Sub(r.arrived)
	p, verdict := r.board().Choose(&s.Model, s.cands, placement.Request{
		PromptTokens: r.tokens, OutputTokens: r.events * s.Model.TokensPerPass, LatencyTarget: r.kind.LatencyTarget, GapTarget: r.kind.GapTarget, Waited: waited,
		TimeLeft:   min(placement.CallerIdleTimeout(r.kind.LatencyTarget, r.kind.GapTarget), r.kind.CallerTimeout) - waited,
		QueueJobID: r.queued,
	}, s.now)
	if p.QueueJobID != r.queued {
		r.queued = p.QueueJobID
		s.publish(r.gateway)
	}
	switch verdict {
	case placement.Wait:
		s.after(placement.WaitInterval, r.place)
		return
	case placement.Admit:
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
	leaves := r.latest.Add(placement.CallerIdleTimeout(r.kind.LatencyTarget, r.kind.GapTarget))
	if limit := r.arrived.Add(r.kind.CallerTimeout); limit.Before(leaves) {
		leaves = limit
	}
	r.sim.after(leaves.Sub(r.sim.now), func() {
		if r.ended {
			return
		}
		if r.sim.now.Sub(r.latest) < placement.CallerIdleTimeout(r.kind.LatencyTarget, r.kind.GapTarget) && r.sim.now.Sub(r.arrived) < r.kind.CallerTimeout {
			r.watch()
			return
		}
		r.outcome.Abandoned++
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
	if !r.placed.IsZero() && r.placed.Sub(r.arrived) <= r.kind.LatencyTarget {
		return
	}
	free := freeHold * r.kind.LatencyTarget.Seconds()
	lost := lostHold * min(placement.CallerIdleTimeout(r.kind.LatencyTarget, r.kind.GapTarget), r.kind.CallerTimeout).Seconds()
	share := (r.sim.now.Sub(r.arrived).Seconds() - free) / (lost - free)
	r.outcome.HeldLoss += min(max(share, 0), 1) * r.kind.Value * r.kind.value(r.tokens)
}

func (r *request) end() {
	r.ended = true
	r.board().Remove(r.plan.JobIDs)
	r.sim.publish(r.gateway)
}

// event delivers one event of the answer to the caller. first marks the first one of an attempt.
func (r *request) event(first bool) {
	goal := r.kind.GapTarget
	if first {
		goal = r.kind.LatencyTarget
		r.board().MarkDecoding(r.plan.JobIDs)
		r.sim.publish(r.gateway)
	}
	if !r.late && r.sim.now.Sub(r.latest) > goal {
		r.late = true
		r.board().MarkLate(r.plan.JobIDs)
	}
	r.latest = r.sim.now
	if r.events--; r.events > 0 {
		return
	}
	if r.late {
		r.outcome.Late++
		r.outcome.EarnedValue += r.kind.LateValue * r.kind.value(r.tokens)
	} else {
		r.outcome.InTime++
		r.outcome.EarnedValue += r.kind.Value * r.kind.value(r.tokens)
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
			took += m.PrefillTime(p.request.tokens, len(p.request.plan.Endpoints))
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
	e.sim.after(e.sim.Model.DecodePassTime(len(writing), context), func() {
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
