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
