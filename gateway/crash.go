package gateway

import (
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/bilberrylink/bilberrylink/errkind"
	"github.com/bilberrylink/bilberrylink/quarantine"
	"github.com/bilberrylink/bilberrylink/registry"
)

// progressEvents is the number of events of one attempt after which the endpoint has survived the start of the answer.
const progressEvents = 4

// maxLoggedParts bounds the parts of a prompt in a line of the log.
const maxLoggedParts = 64

// isMilestone reports whether an attempt that has received a number of events has got on with the answer: when that has doubled.
func isMilestone(events int) bool { return events >= progressEvents && events&(events-1) == 0 }

// subjectsOf returns what may be the cause if the request crashes endpoints.
func subjectsOf(r *Request) []quarantine.Subject {
	subjects := make([]quarantine.Subject, 0, 1+len(r.SharedParts))
	subjects = append(subjects, quarantine.CallSubject(r.Fingerprint))
	for _, id := range r.SharedParts {
		subjects = append(subjects, quarantine.PartSubject(id))
	}
	return subjects
}

func loggedParts(parts []string) []string { return parts[:min(len(parts), maxLoggedParts)] }

func (s *requestState) isBlocked() bool {
	verdict, _ := s.gw.opts.Quarantine.Check(s.subjects)
	return verdict != quarantine.Admitted
}

// blockedFailure returns the failure for a request that is blocked because it, or a part of its prompt, crashes endpoints. A caller
// whose request may be harmless is asked to return late.
func (s *requestState) blockedFailure(judge func([]quarantine.Subject) (quarantine.Verdict, quarantine.Subject)) (failure, bool) {
	verdict, by := judge(s.subjects)
	if verdict == quarantine.Admitted {
		return failure{}, false
	}
	s.logEntry("blocked").WithFields(logrus.Fields{
		"subject": by.Key(), "verdict": verdict.String(), "shared_parts": loggedParts(s.req.SharedParts),
	}).Info("request is not sent: what it contains has crashed endpoints")
	return failure{kind: errkind.PromptBlamed, notExecuted: true, final: true, persistent: true, hopeless: verdict == quarantine.Condemned,
		reason: by.Kind.String() + " has crashed endpoints"}, true
}

// recordBrokenAttempt records an attempt that the endpoint broke off after a number of events, and logs what tells why: how much of
// the answer had arrived, and what the prompt has in common with others.
func (s *requestState) recordBrokenAttempt(event string, e *registry.Endpoint, err error, received int) {
	s.gw.opts.Metrics.observeBroken(received)
	s.gw.opts.Quarantine.RecordCrash(quarantine.NewCrash(e.ID, e.Born, s.req.Fingerprint), s.subjects, received)
	s.logEntry(event).WithError(err).WithFields(logrus.Fields{
		"endpoint": e.ID, "resume_after": s.lastEventID, "attempt_events": received, "shared_parts": loggedParts(s.req.SharedParts),
		"call": strconv.FormatUint(s.req.Fingerprint, 16),
	}).Info("endpoint broke off an attempt")
}
