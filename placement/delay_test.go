package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a metric that blames late first events on the wrong cause.
func TestDelaysAreExplainedByWhatBecameKnown(t *testing.T) {
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	peerJob := func(placedAt time.Time, parts int) Job {
		return Job{Endpoint: KeyOf("e00"), PromptTokens: 50_000, Parts: parts, LatencyTarget: 300 * time.Millisecond, PlacedAt: placedAt}
	}
	for name, test := range map[string]struct {
		known, later []Job
		want         DelayCause
	}{
		"nothing":      {nil, nil, OtherDelay},
		"known before": {[]Job{peerJob(at(-10), 1)}, []Job{peerJob(at(-10), 1)}, OtherDelay},
		"unseen":       {nil, []Job{peerJob(at(-5), 1), peerJob(at(5), 2)}, UnseenWork},
		"later part":   {nil, []Job{peerJob(at(5), 1), peerJob(at(6), 4)}, LaterPart},
		"later prompt": {nil, []Job{peerJob(at(5), 1)}, LaterPrompt},
	} {
		t.Run(name, func(t *testing.T) {
			s := NewSeededScheduler(1)
			s.SetPeerJobs("peer", test.known, start)
			plan, decision := s.Choose(testTimingModel(), candidates(1), shortRequest(4000), start)
			require.Equal(t, Admit, decision)
			s.SetPeerJobs("peer", test.later, at(20))
			require.Equal(t, test.want, s.DelayCause(plan.JobIDs[0], at(100)))
		})
	}
}
