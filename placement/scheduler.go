// Package placement chooses the endpoints of a request: the one that writes the answer, and for long prompts those that
// read parts of it. It weighs the caller's own wait against the pauses that the reading causes for others.
//
// The load it answers is a mix of short prompts with short pause goals and of prompts a hundred times as long, whose
// reading holds up every answer at the same engine.
package placement

import (
	"hash/fnv"
	"iter"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// EndpointKey stands for an endpoint's identity in jobs, so that gateways exchange four bytes instead of a name.
type EndpointKey uint32

// KeyOf returns the key of an endpoint's identity.
func KeyOf(id string) EndpointKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash does not fail
	return EndpointKey(h.Sum32())
}

// Job is a request, or a part of one, at an endpoint.
type Job struct {
	ID            uint64 // unique within its source
	Endpoint      EndpointKey
	PromptTokens  int // prompt tokens of the whole request
	Parts         int // endpoints that read the prompt together
	OutputTokens  int // expected output tokens; 0 for a part that another endpoint writes
	MemoryTokens  int // tokens of context that are or will be held at this endpoint
	LatencyTarget time.Duration
	GapTarget     time.Duration // 0: no writer here
	PlacedAt      time.Time
	Decoding      bool // the first event has arrived
	Late          bool // has missed a goal; further delay costs its caller little
	// Queued means that the request is not placed yet: Endpoint stands for its service, and Placed is the time since
	// which its caller waits.
	Queued bool
}

// Scheduler knows the jobs that this gateway and its peers have placed. It is safe for concurrent use.
type Scheduler struct {
	mu      sync.Mutex
	own     map[uint64]*Job
	peers   map[string]peerJobs
	next    uint64
	changed chan struct{}
	rng     *rand.Rand // order among equals
}

// peerJobs are the jobs of a peer.
type peerJobs struct {
	jobs  []Job
	heard time.Time // when they came
}

// peerLife is the time after which the jobs of a silent peer are forgotten; peers send at least twice a second.
const peerLife = 3 * time.Second

// NewScheduler returns an empty board.
func NewScheduler() *Scheduler { return NewSeededScheduler(rand.Uint64()) }

// NewSeededScheduler returns an empty board whose random choices follow from seed.
func NewSeededScheduler(seed uint64) *Scheduler {
	return &Scheduler{
		own:     make(map[uint64]*Job),
		peers:   make(map[string]peerJobs),
		changed: make(chan struct{}, 1),
		rng:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// Changed signals that the own jobs have changed since the last receive.
func (b *Scheduler) Changed() <-chan struct{} { return b.changed }

func (b *Scheduler) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Add places a job and returns its ID.
func (b *Scheduler) Add(j Job) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.add(j)
}

func (b *Scheduler) add(j Job) uint64 {
	b.next++
	j.ID = b.next
	b.own[j.ID] = &j
	b.signal()
	return j.ID
}

// MarkDecoding marks jobs whose reading has ended: the first becomes a writer, the others, parts of it, are done.
func (b *Scheduler) MarkDecoding(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, id := range ids {
		j := b.own[id]
		if j == nil {
			continue
		}
		if i == 0 || j.MemoryTokens > 0 {
			j.Decoding = true
		} else {
			delete(b.own, id)
		}
	}
	b.signal()
}

// MarkLate marks jobs that have missed a goal.
func (b *Scheduler) MarkLate(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		if j := b.own[id]; j != nil {
			j.Late = true
		}
	}
	b.signal()
}

// Remove ends jobs.
func (b *Scheduler) Remove(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		delete(b.own, id)
	}
	b.signal()
}

// LocalJobs returns a copy of the own jobs.
func (b *Scheduler) LocalJobs() []Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	jobs := make([]Job, 0, len(b.own))
	for _, j := range b.own {
		jobs = append(jobs, *j)
	}
	return jobs
}

// SetPeerJobs replaces the jobs of a peer.
func (b *Scheduler) SetPeerJobs(name string, jobs []Job, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[name] = peerJobs{jobs: jobs, heard: now}
}

// lately is the silence of a peer after which its jobs count as load only, not as requests that wait or have just been
// placed. Peers send at least every 500 ms.
const lately = 1200 * time.Millisecond

// recentPeerJobs yields the jobs of the peers that have been heard lately.
func (b *Scheduler) recentPeerJobs(now time.Time) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, p := range b.peers {
			if now.Sub(p.heard) > lately {
				continue
			}
			for i := range p.jobs {
				if !yield(&p.jobs[i]) {
					return
				}
			}
		}
	}
}

// load is the work at one endpoint. Engines read the parts of split prompts before whole prompts, and what arrives during
// a pass waits for the next one.
type load struct {
	jobs    []*Job // by time of placement
	writers int
	leads   int // requests that are answered here, reading or writing: each takes a slot
	short   int // answers with a short pause goal
	context int
	memory  int
	parts   time.Duration // reading left of parts of split prompts
	whole   time.Duration // reading left of whole prompts
	current time.Duration // reading of the pass under way, from its start
	next    time.Duration // reading that waits for the next pass
	pass    time.Duration // time of a pass without reading
}

// backlog is all reading that is left.
func (l *load) backlog() time.Duration { return l.parts + l.whole }

// overdueRead is the reading time assumed to be left of a job that should have ended: its endpoint is behind.
const overdueRead = 30 * time.Millisecond

// snapshot returns the load by endpoint.
func (b *Scheduler) snapshot(now time.Time) map[EndpointKey]*load {
	loads := make(map[EndpointKey]*load)
	add := func(j *Job) {
		if j.Queued {
			return
		}
		l := loads[j.Endpoint]
		if l == nil {
			l = new(load)
			loads[j.Endpoint] = l
		}
		l.jobs = append(l.jobs, j)
	}
	for _, j := range b.own {
		add(j)
	}
	for name, p := range b.peers {
		if now.Sub(p.heard) > peerLife {
			delete(b.peers, name)
			continue
		}
		for i := range p.jobs {
			add(&p.jobs[i])
		}
	}
	return loads
}

// measure fills in the figures of a load from its jobs.
func (l *load) measure(m *engine.TimingModel, pace float64, now time.Time) {
	sortByPlaced(l.jobs)
	for _, j := range l.jobs {
		l.memory += j.MemoryTokens
		if j.OutputTokens > 0 {
			l.leads++
			if tight(j.GapTarget) {
				l.short++
			}
		}
		if j.Decoding && j.OutputTokens > 0 {
			l.writers++
			l.context += j.PromptTokens
		}
	}
	long := now.Add(-time.Hour)
	parts := l.read(m, pace, true, long, now)
	l.parts = max(parts.Sub(now), 0)
	l.whole = max(l.read(m, pace, false, parts, now).Sub(now)-l.parts, 0)
	l.pass = scale(m.DecodePassTime(l.writers, l.context), pace)
	l.splitPasses(m, pace, now)
}

// read returns when the prompts of one kind have been read if the engine is free for them from a time on.
func (l *load) read(m *engine.TimingModel, pace float64, split bool, from, now time.Time) time.Time {
	for _, j := range l.jobs {
		if j.Decoding || (j.Parts > 1) != split {
			continue
		}
		if j.PlacedAt.After(from) {
			from = j.PlacedAt
		}
		from = from.Add(scale(m.PrefillTime(j.PromptTokens, j.Parts), pace))
		if left := now.Add(overdueRead); from.Before(left) {
			from = left
		}
	}
	return from
}

// splitPasses tells the reading of the pass under way from that of the next one: the pass began when the oldest job
// could be read, and what was placed later waits.
func (l *load) splitPasses(m *engine.TimingModel, pace float64, now time.Time) {
	var began time.Time
	for _, j := range l.jobs {
		if j.Decoding {
			continue
		}
		read := scale(m.PrefillTime(j.PromptTokens, j.Parts), pace)
		switch {
		case began.IsZero():
			began = j.PlacedAt
			l.current = max(read, now.Sub(began))
		case j.PlacedAt.Sub(began) < passSlack:
			l.current += read
		case j.PlacedAt.Sub(began) >= l.current:
			began, l.current, l.next = j.PlacedAt, l.next+read, 0
		default:
			l.next += read
		}
	}
}

// TimeToNextEvent returns the time that an endpoint may take until its next event by what is placed there.
func (b *Scheduler) TimeToNextEvent(m *engine.TimingModel, id string, pace float64, now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.snapshot(now)[KeyOf(id)]
	if l == nil {
		return 0
	}
	l.measure(m, max(pace, 1), now)
	return l.pass + max(l.current, l.next, l.backlog())
}

// passSlack is the time within which jobs are taken to enter the same pass: half a pass with few writers.
const passSlack = 20 * time.Millisecond

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
