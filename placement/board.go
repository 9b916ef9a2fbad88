// Package placement chooses the endpoints of a request: the one that writes the answer, and for long prompts those that
// read parts of it. It weighs the caller's own wait against the pauses that the reading causes for others.
//
// The load it answers is a mix of short prompts with short pause goals and of prompts a hundred times as long, whose
// reading holds up every answer at the same engine.
package placement

import (
	"hash/fnv"
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
	ID        uint64 // unique within its source
	Endpoint  EndpointKey
	Tokens    int // prompt tokens of the whole request
	Parts     int // endpoints that read the prompt together
	Output    int // expected output tokens; 0 for a part that another endpoint writes
	Memory    int // tokens of context that are or will be held at this endpoint
	Goal      time.Duration
	PauseGoal time.Duration // 0: no writer here
	Placed    time.Time
	Writing   bool // the first event has arrived
}

// Board knows the jobs that this gateway and its peers have placed. It is safe for concurrent use.
type Board struct {
	mu      sync.Mutex
	own     map[uint64]*Job
	peers   map[string][]Job
	seen    map[string]time.Time
	next    uint64
	changed chan struct{}
}

// peerLife is the time after which the jobs of a silent peer are forgotten; peers send at least twice a second.
const peerLife = 3 * time.Second

// NewBoard returns an empty board.
func NewBoard() *Board {
	return &Board{
		own:     make(map[uint64]*Job),
		peers:   make(map[string][]Job),
		seen:    make(map[string]time.Time),
		changed: make(chan struct{}, 1),
	}
}

// Changed signals that the own jobs have changed since the last receive.
func (b *Board) Changed() <-chan struct{} { return b.changed }

func (b *Board) signal() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// Add places a job and returns its ID.
func (b *Board) Add(j Job) uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.add(j)
}

func (b *Board) add(j Job) uint64 {
	b.next++
	j.ID = b.next
	b.own[j.ID] = &j
	b.signal()
	return j.ID
}

// Writing marks jobs whose reading has ended: the first becomes a writer, the others, parts of it, are done.
func (b *Board) Writing(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, id := range ids {
		j := b.own[id]
		if j == nil {
			continue
		}
		if i == 0 || j.Memory > 0 {
			j.Writing = true
		} else {
			delete(b.own, id)
		}
	}
	b.signal()
}

// Remove ends jobs.
func (b *Board) Remove(ids []uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, id := range ids {
		delete(b.own, id)
	}
	b.signal()
}

// Own returns a copy of the own jobs.
func (b *Board) Own() []Job {
	b.mu.Lock()
	defer b.mu.Unlock()
	jobs := make([]Job, 0, len(b.own))
	for _, j := range b.own {
		jobs = append(jobs, *j)
	}
	return jobs
}

// SetPeer replaces the jobs of a peer.
func (b *Board) SetPeer(name string, jobs []Job, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[name], b.seen[name] = jobs, now
}

// load is the work at one endpoint.
type load struct {
	jobs    []*Job // by time of placement
	writers int
	context int
	memory  int
	backlog time.Duration // reading that is left
	pass    time.Duration // time of a pass without reading
}

// overdueRead is the reading time assumed to be left of a job that should have ended: its endpoint is behind.
const overdueRead = 30 * time.Millisecond

// snapshot returns the load by endpoint.
func (b *Board) snapshot(now time.Time) map[EndpointKey]*load {
	loads := make(map[EndpointKey]*load)
	add := func(j *Job) {
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
	for name, jobs := range b.peers {
		if now.Sub(b.seen[name]) > peerLife {
			delete(b.peers, name)
			delete(b.seen, name)
			continue
		}
		for i := range jobs {
			add(&jobs[i])
		}
	}
	return loads
}

// measure fills in the figures of a load from its jobs.
func (l *load) measure(m *engine.Model, pace float64, now time.Time) {
	sortByPlaced(l.jobs)
	finish := now.Add(-time.Hour)
	reading := 0
	for _, j := range l.jobs {
		l.memory += j.Memory
		if j.Writing {
			if j.Output > 0 {
				l.writers++
				l.context += j.Tokens
			}
			continue
		}
		reading++
		if j.Placed.After(finish) {
			finish = j.Placed
		}
		finish = finish.Add(scale(m.Read(j.Tokens, j.Parts), pace))
	}
	if reading > 0 {
		l.backlog = max(finish.Sub(now), overdueRead)
	}
	l.pass = scale(m.Pass(l.writers, l.context), pace)
}

func scale(d time.Duration, x float64) time.Duration { return time.Duration(float64(d) * x) }
