package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrylink/bilberrylink/endpoint"
	"github.com/bilberrylink/bilberrylink/fleet"
	"github.com/bilberrylink/bilberrylink/internal/standin"
)

// Guards against a trial that passes although callers or engines saw answers of the recalled version after in force.
func TestLateAnswersAreCounted(t *testing.T) {
	text, faults := fleet.Parse([]byte(`
models: {m: {version: "1", batch: b1, endpoints: [e1]}}
adapters: {a: {model: m, version: "7", batch: b2}}
batches: {b1: {supplier: s}, b2: {supplier: s}}
`))
	require.Empty(t, faults)
	base := endpoint.Version{Model: "m", Version: "1", Batch: "b1"}
	adapter := base
	adapter.Adapter, adapter.AdapterVersion, adapter.AdapterBatch = "a", "7", "b2"
	require.Equal(t, []endpoint.Version{adapter}, versionsOf(text, "b2"))
	require.ElementsMatch(t, []endpoint.Version{base, adapter}, versionsOf(text, "m@1"))

	answered := time.Now()
	s := submission{sent: answered.Add(-10 * time.Millisecond), answered: answered}
	force := answered.Add(time.Second)
	of := func(v endpoint.Version, sent, first time.Duration) *answer {
		return &answer{prompt: "p", text: standin.Answer(v, "p", answerTokens), whole: true, sent: answered.Add(sent), first: answered.Add(first)}
	}
	got := evaluate(s, force, "b2", versionsOf(text, "b2"), []*answer{
		of(adapter, -time.Second, -time.Millisecond), // began before
		of(adapter, -time.Second, 300*time.Millisecond),
		of(adapter, time.Second, 2*time.Second), // began after in force
		of(base, time.Second, 2*time.Second),
		{sent: answered.Add(time.Second), kind: "isolated"},
	})
	require.Equal(t, 1, got.LateSeen)
	require.Equal(t, 2010.0, got.LastSeenMs)
	require.Equal(t, 1, got.Fallback)
	require.Equal(t, map[string]int{"answered from b2": 1, "fallback": 1, "isolated": 1}, got.Outcomes)
	got.engineStarts([]time.Time{answered.Add(-time.Second), answered.Add(50 * time.Millisecond), force.Add(time.Millisecond)}, answered, force)
	require.Equal(t, 1, got.LateStarts)
	require.Equal(t, 1001.0, got.LastStartMs)
}
