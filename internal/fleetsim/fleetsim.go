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

// Workload is a kind of request.
type Workload struct {
	Name             string
	RatePerSecond    float64       // a second, on all gateways together
	Start            time.Duration // of the first requests
	End              time.Duration // of the last ones; 0: Length
	MeanPromptTokens float64       // mean of the prompt's tokens
	PromptLogStddev  float64       // standard deviation of the logarithm of the prompt's tokens
	MaxPromptTokens  int
	MeanEvents       float64 // mean of the answer's events
	LatencyTarget    time.Duration
	GapTarget        time.Duration
	CallerTimeout    time.Duration // callers' time
	Value            float64       // of an answer in time to a prompt of the mean size
	LateValue        float64       // of a late one
}

// value returns what a request is worth beside one of the mean size: it grows with the prompt, up to a bound.
func (k *Workload) value(tokens int) float64 {
	return min(baseShare+(1-baseShare)*float64(tokens)/k.MeanPromptTokens, maxShare)
}

const (
	baseShare = 0.3 // part of the worth that does not depend on the size
	maxShare  = 4.0 // bound on the worth, in requests of the mean size
)

// Config describes a fleet and its load.
type Config struct {
	Model     engine.TimingModel
	Gateways  int
	Endpoints int
	ViewDelay time.Duration // from a decision until the other gateways know it
	Duration  time.Duration // time in which requests arrive
	Workloads []Workload
	Seed      uint64
}

// Outcome counts what callers of one kind got.
type Outcome struct {
	Requests     int
	InTime       int
	Late         int
	Refused      int
	Abandoned    int // callers that gave up
	OfferedValue float64
	EarnedValue  float64
	HeldLoss     float64 // worth of callers that were held and never offered to an engine in time
}

// InTimeShare returns the share of callers that were served in time.
func (o *Outcome) InTimeShare() float64 { return float64(o.InTime) / float64(max(o.Requests, 1)) }

// Result of a play.
type Result struct {
	Outcomes map[string]*Outcome
	// HerdedShare is the share of requests that went to an endpoint to which another gateway had sent one within the last
	// herdSpan.
	HerdedShare float64
}

// herdSpan is about the time until gateways know of each other's decisions.
const herdSpan = 10 * time.Millisecond

// start is the virtual time at which a play begins.
var start = time.Unix(1_700_000_000, 0)

// Run runs the load until all requests have ended. Equal configurations give equal results.
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

// arrivals schedules the requests of one kind.
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

// publish tells the other gateways the jobs of one, after the delay of views.
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

// request is one request of a caller.
type request struct {
	sim     *sim
	kind    *Workload
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

func (r *request) board() *placement.Scheduler { return r.sim.boards[r.gateway] }

// place asks for a decision and carries it out.
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

// watch ends the request when its caller has waited too long.
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

// Times for which a caller is held without an answer, and what it loses by that.
const (
	freeHold = 1.0 / 8 // of the goal: nothing is lost
	lostHold = 3.0 / 4 // of the caller's time: all is lost
)

// held notes the loss of a caller that was held and not sent to an engine within its goal.
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

// event hands the caller one event of the answer; first says that it is the first.
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
