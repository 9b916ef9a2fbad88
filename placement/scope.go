package placement

import "github.com/bilberrylink/bilberrylink/internal/timing"

// Scope selects the jobs that concern only the gateways near to this one, or those that concern every gateway.
//
// A short prompt is placed on an endpoint near its gateway, so only the gateways that share these endpoints have to know of
// it at once. A long prompt is placed on endpoints anywhere, and all gateways share one queue.
type Scope uint8

// The scopes can be combined.
const (
	Near      Scope = 1 << iota // jobs of short prompts and of plain requests
	Fleetwide                   // jobs of long prompts, and queued requests
)

// Scope returns the scope of a job.
func (j *Job) Scope() Scope {
	if j.Queued || isLong(j.PromptTokens, j.LatencyTarget) {
		return Fleetwide
	}
	return Near
}

// TakeChanged returns the scopes of the jobs of this gateway that have changed since the last call.
func (s *Scheduler) TakeChanged() Scope {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed := s.changedScopes
	s.changedScopes = 0
	return changed
}

// markChanged records a change of a job of this gateway and signals it.
func (s *Scheduler) markChanged(scope Scope) {
	s.changedScopes |= scope
	timing.Signal(s.changed)
}

// headroom is the room for short prompts of a group of endpoints.
type headroom struct {
	freeSlots int // at endpoints whose prefill backlog short prompts tolerate
	endpoints int
}

func (h headroom) perEndpoint() float64 { return float64(h.freeSlots) / float64(max(h.endpoints, 1)) }

// spillHeadroomShare is the share of the headroom elsewhere that the endpoints near this gateway need to get all its short
// prompts. Views of the other endpoints are old, and traffic to them crosses failure domains.
const spillHeadroomShare = 0.5

// spillProbability returns the share of short prompts that go to endpoints far from this gateway. It is zero while the near
// endpoints have at least spillHeadroomShare of the headroom of the far ones, and grows to one as the near headroom vanishes,
// so that a failure domain with more traffic than its endpoints bear uses those of others.
func spillProbability(near, far headroom) float64 {
	if far.endpoints == 0 {
		return 0
	}
	if near.endpoints == 0 {
		return 1
	}
	needed := spillHeadroomShare * far.perEndpoint()
	if needed <= 0 {
		return 0
	}
	return min(max(1-near.perEndpoint()/needed, 0), 1)
}

// nearOrFar returns the loads of the endpoints that a short prompt may be placed on: those near this gateway or, for a share
// of the prompts, the far ones.
func (s *Scheduler) nearOrFar(slots int, loads []candidateLoad) []candidateLoad {
	var near, far []candidateLoad
	var nearRoom, farRoom headroom
	for _, l := range loads {
		group, room := &far, &farRoom
		if l.Near {
			group, room = &near, &nearRoom
		}
		*group = append(*group, l)
		if !acceptsRequest(l) {
			continue
		}
		room.endpoints++
		if l.load.backlog() < toleratedBacklog {
			room.freeSlots += max(slots-l.load.slotsUsed, 0)
		}
	}
	if p := spillProbability(nearRoom, farRoom); p > 0 && s.rng.Float64() < p {
		return far
	}
	return near
}
