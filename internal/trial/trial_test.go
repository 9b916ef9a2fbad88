package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// Guards against a trial that passes although engines computed, or callers received, first tokens of a recalled version after
// the recall was in force.
func TestLateFirstTokensAreCounted(t *testing.T) {
	text, faults := fleet.Parse([]byte(`
models: {m: {version: "1", batch: b1, endpoints: [e1]}}
adapters: {a: {model: m, version: "7", batch: b2}}
batches: {b1: {supplier: s}, b2: {supplier: s}}
`))
	require.Empty(t, faults)
	base := endpoint.Version{Model: "m", Version: "1", Batch: "b1"}
	adapter := base
	adapter.Adapter, adapter.AdapterVersion, adapter.AdapterBatch = "a", "7", "b2"
	require.Equal(t, []endpoint.Version{adapter}, recalledVersions(text, "b2"))
	require.ElementsMatch(t, []endpoint.Version{base, adapter}, recalledVersions(text, "m@1"))

	acceptedAt := time.Now()
	sub := submission{sentAt: acceptedAt.Add(-10 * time.Millisecond), acceptedAt: acceptedAt}
	inForceAt := acceptedAt.Add(time.Second)
	answerFrom := func(v endpoint.Version, sent, first time.Duration) *answer {
		return &answer{prompt: "p", text: standin.Answer(v, "p", answerTokens), complete: true,
			sentAt: acceptedAt.Add(sent), firstTokenAt: acceptedAt.Add(first)}
	}
	trial := evaluateAnswers(sub, inForceAt, "b2", recalledVersions(text, "b2"), []*answer{
		answerFrom(adapter, -time.Second, -time.Millisecond), // first token before the acceptance
		answerFrom(adapter, -time.Second, 300*time.Millisecond),
		answerFrom(adapter, time.Second, 2*time.Second), // first token after the recall was in force
		answerFrom(base, time.Second, 2*time.Second),
		{sentAt: acceptedAt.Add(time.Second), errorKind: "isolated"},
	})
	require.Equal(t, 1, trial.LateCallerTokens)
	require.Equal(t, 2010.0, trial.LastCallerTokenMs)
	require.Equal(t, 1, trial.FallbackAnswers)
	require.Equal(t, map[string]int{"answered from b2": 1, "fallback": 1, "isolated": 1}, trial.Outcomes)
	trial.addEngineStarts([]time.Time{acceptedAt.Add(-time.Second), acceptedAt.Add(50 * time.Millisecond), inForceAt.Add(time.Millisecond)},
		acceptedAt, inForceAt)
	require.Equal(t, 1, trial.LateEngineTokens)
	require.Equal(t, 1001.0, trial.LastEngineTokenMs)
}
