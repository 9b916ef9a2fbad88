// Package engine models the timing of a model engine that works in passes: in each pass it reads waiting prompts and
// then lets every running request write some tokens. All requests of a pass wait for all of it.
package engine

import "time"

// TimingModel holds the timing of one kind of engine.
type TimingModel struct {
	Slots                int     // requests that write at once
	MemoryTokens         int     // tokens of context that fit into memory
	TokensPerPass        int     // token steps of a pass with writers, and tokens of an event
	StepMs               float64 // time of a token step without writers
	StepMsPerSequence    float64 // time that each writer adds to a step
	StepMsPer1KContext   float64 // time that 1,000 tokens of context of a writer add to a step
	PrefillTokensPerMs   float64 // prompt tokens read in a millisecond; 0: unknown
	PrefillChunkTokens   int     // prompt tokens read in a step at most; 0: no bound
	AttentionMsPerMPairs float64 // time for a million pairs of a token and an earlier token
	SplitsPrompts        bool    // prompts may be read by several endpoints together
}

const million = 1e6

// PrefillTime returns the time in which one engine reads 1/parts of a prompt: its tokens, and its part of the pairs.
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

// DecodePassTime returns the time of a pass without reading, with some writers whose contexts hold context tokens in all.
func (m *TimingModel) DecodePassTime(writers, context int) time.Duration {
	if m == nil {
		return 0
	}
	step := m.StepMs + float64(writers)*m.StepMsPerSequence + float64(context)/1000*m.StepMsPer1KContext
	return millis(step * float64(max(m.TokensPerPass, 1)))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
