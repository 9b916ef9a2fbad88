package placement

import "time"

// DelayCause tells what may have delayed the first event of a request beyond its prediction.
type DelayCause string

// Causes, by what has become known of the primary endpoint since the placement, in this order.
const (
	UnseenWork  DelayCause = "unseen_work"  // work that was placed there before and was not known here
	LaterPart   DelayCause = "later_part"   // a part of a split prompt, which engines process before whole prompts
	LaterPrompt DelayCause = "later_prompt" // a whole prompt
	OtherDelay  DelayCause = "other"        // nothing: the endpoint, another part of the prompt, or the path
)

// DelayCause returns what may have delayed the request with the given first job. It must be called before the job ends. Jobs that have
// ended meanwhile are not seen.
func (s *Scheduler) DelayCause(jobID uint64, now time.Time) DelayCause {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.local[jobID]
	if own == nil {
		return OtherDelay
	}
	before, cause := 0, OtherDelay
	for _, j := range s.jobsAt(own.Endpoint, now) {
		switch {
		case j == own:
		case !j.PlacedAt.After(own.PlacedAt):
			before++
		case j.Parts > 1:
			cause = LaterPart
		case cause == OtherDelay:
			cause = LaterPrompt
		}
	}
	if before > own.othersKnown {
		return UnseenWork
	}
	return cause
}

// jobsAt returns the known jobs at an endpoint.
func (s *Scheduler) jobsAt(e EndpointKey, now time.Time) []*Job {
	if l := s.loadByEndpoint(now)[e]; l != nil {
		return l.jobs
	}
	return nil
}
