// Package placement selects the endpoints of a request: the primary one, which generates the answer, and for long prompts
// others that process parts of the prompt. It weighs the request's own latency against the delay that its prefill causes
// for other requests.
//
// It is designed for a mix of short prompts with tight targets for the time between events and of prompts a hundred times
// as long, whose prefill delays every answer at the same engine.
package placement

import (
	"hash/fnv"
	"iter"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/bilberrylink/bilberrylink/engine"
)

// EndpointKey is a hash of an endpoint's ID. Gateways exchange these four bytes instead of the ID.
type EndpointKey uint32

// KeyOf returns the key for an endpoint ID.
func KeyOf(id string) EndpointKey {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // a hash does not fail
	return EndpointKey(h.Sum32())
}

// Job is a request, or a part of one, at an endpoint.
type Job struct {
	ID            uint64 // unique within one gateway
	Endpoint      EndpointKey
	PromptTokens  int           // of the whole request
	Parts         int           // number of endpoints that process the prompt together
	OutputTokens  int           // expected number; 0 for a part whose answer is generated at another endpoint
	MemoryTokens  int           // context that is or will be held at this endpoint
	LatencyTarget time.Duration // for the first event
	GapTarget     time.Duration // for the time between two events; 0: no answer is generated here
	PlacedAt      time.Time
	Decoding      bool // the first event has arrived
	Late          bool // has missed a target; further delay costs its caller little
	// Queued marks a request that is in the queue and not placed yet. Endpoint is then the key of its service, and Placed
	// the time since which its caller waits.
	Queued bool
}

// Scheduler keeps the jobs that this gateway and its peers have placed, and chooses endpoints by them. It is safe for
// concurrent use.
type Scheduler struct {
	mu      sync.Mutex
	own     map[uint64]*Job
	peers   map[string]peerJobs
	next    uint64
	changed chan struct{}
	rng     *rand.Rand
}

type peerJobs struct {
	jobs  []Job
	heard time.Time // time of receipt
}

// peerLife is the time without a message after which the jobs of a peer are dropped. Peers send at least twice a second.
const peerLife = 3 * time.Second

// NewScheduler returns a Board without jobs.
func NewScheduler() *Scheduler { return NewSeededScheduler(rand.Uint64()) }

// NewSeededScheduler returns a Board without jobs whose random choices are determined by seed.
func NewSeededScheduler(seed uint64) *Scheduler {
	return &Scheduler{
		own:     make(map[uint64]*Job),
		peers:   make(map[string]peerJobs),
		changed: make(chan struct{}, 1),
		rng:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// Changed returns a channel that signals that jobs of this gateway have changed since the last receive.
func (b *Scheduler) Changed() <-chan struct{} { return b.changed }

func (b *Scheduler) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Add adds a job of this gateway and returns its ID.
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

// MarkDecoding marks the jobs of a request whose prefill has ended. The first one generates the answer from now on. The others
// are removed unless they hold context.
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

// MarkLate marks jobs that have missed a target.
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

// Remove removes jobs of this gateway.
func (b *Scheduler) Remove(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		delete(b.own, id)
	}
	b.signal()
}

// LocalJobs returns a copy of the jobs of this gateway.
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

// lately is the age up to which a peer's jobs count as queued or as just placed. Older jobs count as load only. Peers
// send at least every 500 ms.
const lately = 1200 * time.Millisecond

// recentPeerJobs yields the jobs of the peers that have sent them recently.
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

// load is the work at one endpoint. Engines process the parts of split prompts before whole prompts, and jobs that arrive
// during a pass wait for the next one.
type load struct {
	jobs    []*Job // by time of placement
	writers int
	leads   int           // requests whose answer is generated here, during prefill too; each takes a slot
	short   int           // answers with a tight gap target
	context int           // tokens of prompts whose answer is being generated
	memory  int           // tokens held or to be held
	parts   time.Duration // remaining prefill of parts of split prompts
	whole   time.Duration // remaining prefill of whole prompts
	current time.Duration // prefill in the current pass, from its start
	next    time.Duration // prefill that waits for the next pass
	pass    time.Duration // duration of a pass without prefill
}

// backlog returns the remaining prefill time.
func (l *load) backlog() time.Duration { return l.parts + l.whole }

// overdueRead is the prefill time assumed to remain for a job that should have ended by its prediction.
const overdueRead = 30 * time.Millisecond

// snapshot returns the jobs by endpoint.
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

// measure computes the fields of a load from its jobs.
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

// read returns the time at which the prefill of all split or all whole prompts ends if the engine can start them at from.
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

// splitPasses divides the remaining prefill between the current pass and the next one. The current pass began when its
// oldest job was placed, and jobs placed later wait for the next pass.
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

// TimeToNextEvent predicts the time until the next event of an endpoint from the jobs placed there.
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

// passSlack is the time within which jobs are assumed to enter the same pass: half a pass with few answers under way.
const passSlack = 20 * time.Millisecond

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
