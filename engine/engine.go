// Package engine predicts the timing of an inference engine with iteration-level batching. The engine works in passes: each
// pass first runs the prefill of all waiting prompts and then some decode steps for all running requests. Every request of
// a pass waits until the whole pass has ended.
package engine

import "time"

// TimingModel holds the timing parameters of one kind of engine.
type TimingModel struct {
	Slots                int     // requests that are decoded concurrently
	MemoryTokens         int     // context that fits into memory
	TokensPerPass        int     // decode steps of a pass, which is also the number of tokens of an event
	StepMs               float64 // duration of a decode step without requests
	StepMsPerSequence    float64 // added to a decode step for each request
	StepMsPer1KContext   float64 // added to a decode step for each 1,000 tokens of context
	PrefillTokensPerMs   float64 // 0: unknown
	PrefillChunkTokens   int     // largest number of prompt tokens in a prefill step; 0: unlimited
	AttentionMsPerMPairs float64 // prefill time for each million pairs of a token and an earlier token
	SplitsPrompts        bool    // several endpoints may process a prompt together
}

const million = 1e6

// PrefillTime returns the prefill time of one of the equal parts of a prompt, which includes its share of the pairs of tokens.
func (m *TimingModel) PrefillTime(tokens, parts int) time.Duration {
	if m == nil || m.PrefillTokensPerMs <= 0 {
		return 0
	}
	promptTokens, partCount := float64(tokens), float64(max(parts, 1))
	ms := promptTokens/partCount/m.PrefillTokensPerMs +
		promptTokens*promptTokens/2/partCount/million*m.AttentionMsPerMPairs // each token with the earlier ones
	if m.PrefillChunkTokens > 0 {
		ms += promptTokens / partCount / float64(m.PrefillChunkTokens) * m.StepMs
	}
	return millis(ms)
}

// DecodePassTime returns the duration of a pass without prefill. sequences is the number of requests that are decoded, and
// contextTokens the total length of their contexts.
func (m *TimingModel) DecodePassTime(sequences, contextTokens int) time.Duration {
	if m == nil {
		return 0
	}
	stepMs := m.StepMs + float64(sequences)*m.StepMsPerSequence + float64(contextTokens)/1000*m.StepMsPer1KContext
	return millis(stepMs * float64(max(m.TokensPerPass, 1)))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
