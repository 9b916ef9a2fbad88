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

// KeyOf returns the key for the ID of an endpoint, or for the name of a service in a queued job.
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
	othersKnown   int  // jobs that were known at the endpoint when this one was placed; not exchanged
	// Queued marks a request that is in the queue and not placed yet. Endpoint is then the key of its service, and PlacedAt
	// the time since which its caller waits.
	Queued bool
}

// Scheduler keeps the jobs that this gateway and its peers have placed, and chooses endpoints by them. It is safe for
// concurrent use.
type Scheduler struct {
	mu      sync.Mutex
	local   map[uint64]*Job
	peers   map[string]peerJobs
	lastID  uint64
	changed chan struct{}
	rng     *rand.Rand

	changedScopes Scope // of the jobs that have changed since TakeChanged

	costPerGigabyte float64         // between failure domains
	paths           map[string]path // by failure domain
	leaving         map[string]bool // by service: short prompts leave this failure domain
}

type peerJobs struct {
	jobs       []Job
	receivedAt time.Time
}

// peerJobsTTL is the time without a message after which the jobs of a peer are dropped. Peers send at least twice a second.
const peerJobsTTL = 3 * time.Second

// NewScheduler returns a Scheduler without jobs.
func NewScheduler() *Scheduler { return NewSeededScheduler(rand.Uint64()) }

// NewSeededScheduler returns a Scheduler without jobs whose random choices are determined by seed.
func NewSeededScheduler(seed uint64) *Scheduler {
	return &Scheduler{
		local:   make(map[uint64]*Job),
		peers:   make(map[string]peerJobs),
		changed: make(chan struct{}, 1),
		paths:   make(map[string]path),
		leaving: make(map[string]bool),
		rng:     rand.New(rand.NewPCG(seed, 0)),
	}
}

// Changed returns a channel that signals that jobs of this gateway have changed since the last receive.
func (s *Scheduler) Changed() <-chan struct{} { return s.changed }

// Add adds a job of this gateway and returns its ID.
func (s *Scheduler) Add(j Job) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.add(j)
}

func (s *Scheduler) add(j Job) uint64 {
	s.lastID++
	j.ID = s.lastID
	s.local[j.ID] = &j
	s.markChanged(j.Scope())
	return j.ID
}

// MarkDecoding marks the jobs of a request whose prefill has ended. The first one generates the answer from now on. The others
// are removed unless they hold context.
func (s *Scheduler) MarkDecoding(ids []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, id := range ids {
		j := s.local[id]
		if j == nil {
			continue
		}
		s.markChanged(j.Scope())
		if i == 0 || j.MemoryTokens > 0 {
			j.Decoding = true
		} else {
			delete(s.local, id)
		}
	}
}

// MarkLate marks jobs that have missed a target.
func (s *Scheduler) MarkLate(ids []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		if j := s.local[id]; j != nil {
			j.Late = true
			s.markChanged(j.Scope())
		}
	}
}

// Remove removes jobs of this gateway.
func (s *Scheduler) Remove(ids []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range ids {
		s.removeLocal(id)
	}
}

func (s *Scheduler) removeLocal(id uint64) {
	if j := s.local[id]; j != nil {
		delete(s.local, id)
		s.markChanged(j.Scope())
	}
}

// LocalJobs returns a copy of all jobs of this gateway.
func (s *Scheduler) LocalJobs() []Job { return s.LocalJobsIn(Near | Fleetwide) }

// LocalJobsIn returns a copy of the jobs of this gateway in the given scopes.
func (s *Scheduler) LocalJobsIn(scopes Scope) []Job {
	s.mu.Lock()
	defer s.mu.Unlock()
	jobs := make([]Job, 0, len(s.local))
	for _, j := range s.local {
		if scopes&j.Scope() != 0 {
			jobs = append(jobs, *j)
		}
	}
	return jobs
}

// SetPeerJobs replaces the jobs of a peer.
func (s *Scheduler) SetPeerJobs(name string, jobs []Job, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers[name] = peerJobs{jobs: jobs, receivedAt: now}
}

// recentPeerAge is the age up to which a peer's jobs count as queued or as just placed. Older jobs count as load only. Peers
// send at least every 500 ms.
const recentPeerAge = 1200 * time.Millisecond

// recentPeerJobs yields the jobs of the peers that have sent them recently.
func (s *Scheduler) recentPeerJobs(now time.Time) iter.Seq[*Job] {
	return func(yield func(*Job) bool) {
		for _, p := range s.peers {
			if now.Sub(p.receivedAt) > recentPeerAge {
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

// endpointLoad is the work at one endpoint. Engines process the parts of split prompts before whole prompts, and jobs that
// arrive during a pass wait for the next one.
type endpointLoad struct {
	jobs               []*Job        // by time of placement
	decoding           int           // answers being generated
	slotsUsed          int           // requests whose answer is generated here, during prefill too; each takes a slot
	tightAnswers       int           // answers with a tight gap target
	contextTokens      int           // tokens of prompts whose answer is being generated
	memoryTokens       int           // tokens held or to be held
	splitBacklog       time.Duration // remaining prefill of parts of split prompts
	wholeBacklog       time.Duration // remaining prefill of whole prompts
	currentPassPrefill time.Duration // prefill in the current pass, from its start
	nextPassPrefill    time.Duration // prefill that waits for the next pass
	decodePassTime     time.Duration // duration of a pass without prefill
	recentPeerRequests int           // requests that peers have placed here within rateWindow
}

// backlog returns the remaining prefill time.
func (l *endpointLoad) backlog() time.Duration { return l.splitBacklog + l.wholeBacklog }

// overduePrefill is the prefill time assumed to remain for a job that should have ended by its prediction.
const overduePrefill = 30 * time.Millisecond

// loadByEndpoint groups the placed jobs by endpoint. The other fields of the loads are set by compute.
func (s *Scheduler) loadByEndpoint(now time.Time) map[EndpointKey]*endpointLoad {
	loads := make(map[EndpointKey]*endpointLoad)
	add := func(j *Job) *endpointLoad {
		if j.Queued {
			return nil
		}
		l := loads[j.Endpoint]
		if l == nil {
			l = new(endpointLoad)
			loads[j.Endpoint] = l
		}
		l.jobs = append(l.jobs, j)
		return l
	}
	for _, j := range s.local {
		add(j)
	}
	for name, p := range s.peers {
		if now.Sub(p.receivedAt) > peerJobsTTL {
			delete(s.peers, name)
			continue
		}
		recent := now.Sub(p.receivedAt) <= recentPeerAge
		for i := range p.jobs {
			j := &p.jobs[i]
			if l := add(j); l != nil && recent && j.OutputTokens > 0 && now.Sub(j.PlacedAt) < rateWindow {
				l.recentPeerRequests++
			}
		}
	}
	return loads
}

// compute sets the fields of a load from its jobs. slowdown is that of the endpoint.
func (l *endpointLoad) compute(m *engine.TimingModel, slowdown float64, now time.Time) {
	sortByPlacedAt(l.jobs)
	for _, j := range l.jobs {
		l.memoryTokens += j.MemoryTokens
		if j.OutputTokens > 0 {
			l.slotsUsed++
			if isTightGap(j.GapTarget) {
				l.tightAnswers++
			}
		}
		if j.Decoding && j.OutputTokens > 0 {
			l.decoding++
			l.contextTokens += j.PromptTokens
		}
	}
	past := now.Add(-time.Hour)
	splitEnd := l.prefillEnd(m, slowdown, true, past, now)
	l.splitBacklog = max(splitEnd.Sub(now), 0)
	l.wholeBacklog = max(l.prefillEnd(m, slowdown, false, splitEnd, now).Sub(now)-l.splitBacklog, 0)
	l.decodePassTime = scale(m.DecodePassTime(l.decoding, l.contextTokens), slowdown)
	l.assignPasses(m, slowdown, now)
}

// prefillEnd returns the time at which the prefill of all split or all whole prompts ends if the engine can start them at from.
func (l *endpointLoad) prefillEnd(m *engine.TimingModel, slowdown float64, split bool, from, now time.Time) time.Time {
	for _, j := range l.jobs {
		if j.Decoding || (j.Parts > 1) != split {
			continue
		}
		if j.PlacedAt.After(from) {
			from = j.PlacedAt
		}
		from = from.Add(scale(m.PrefillTime(j.PromptTokens, j.Parts), slowdown))
		if earliest := now.Add(overduePrefill); from.Before(earliest) {
			from = earliest
		}
	}
	return from
}

// assignPasses divides the remaining prefill between the current pass and the next one. The current pass began when its
// oldest job was placed, and jobs placed later wait for the next pass.
func (l *endpointLoad) assignPasses(m *engine.TimingModel, slowdown float64, now time.Time) {
	var passStart time.Time
	for _, j := range l.jobs {
		if j.Decoding {
			continue
		}
		prefill := scale(m.PrefillTime(j.PromptTokens, j.Parts), slowdown)
		switch {
		case passStart.IsZero():
			passStart = j.PlacedAt
			l.currentPassPrefill = max(prefill, now.Sub(passStart))
		case j.PlacedAt.Sub(passStart) < samePassWindow:
			l.currentPassPrefill += prefill
		case j.PlacedAt.Sub(passStart) >= l.currentPassPrefill:
			passStart, l.currentPassPrefill, l.nextPassPrefill = j.PlacedAt, l.nextPassPrefill+prefill, 0
		default:
			l.nextPassPrefill += prefill
		}
	}
}

// TimeToNextEvent predicts the time until the next event of an endpoint from the jobs placed there.
func (s *Scheduler) TimeToNextEvent(m *engine.TimingModel, id string, slowdown float64, now time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.loadByEndpoint(now)[KeyOf(id)]
	if l == nil {
		return 0
	}
	l.compute(m, max(slowdown, 1), now)
	return l.decodePassTime + max(l.currentPassPrefill, l.nextPassPrefill, l.backlog())
}

// samePassWindow is the time within which jobs are assumed to enter the same pass: half a pass with few answers under way.
const samePassWindow = 20 * time.Millisecond

func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }
