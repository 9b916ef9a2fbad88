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
	n, k := float64(tokens), float64(max(parts, 1))
	ms := n/k/m.PrefillTokensPerMs + n*n/2/k/million*m.AttentionMsPerMPairs
	if m.PrefillChunkTokens > 0 {
		ms += n / k / float64(m.PrefillChunkTokens) * m.StepMs
	}
	return millis(ms)
}

// DecodePassTime returns the duration of a pass without prefill, with the given number of requests whose contexts have context
// tokens in total.
func (m *TimingModel) DecodePassTime(writers, context int) time.Duration {
	if m == nil {
		return 0
	}
	step := m.StepMs + float64(writers)*m.StepMsPerSequence + float64(context)/1000*m.StepMsPer1KContext
	return millis(step * float64(max(m.TokensPerPass, 1)))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
