// Package engine predicts the timing of an inference engine with iteration-level batching. The engine works in passes: each
// pass first runs the prefill of all waiting prompts and then some decode steps for all running requests. Every request of
// a pass waits until the whole pass has ended.
package engine

import "time"

// Model holds the timing parameters of one kind of engine.
type Model struct {
	Slots         int     // requests that are decoded concurrently
	MemoryTokens  int     // context that fits into memory
	Stride        int     // decode steps of a pass, which is also the number of tokens of an event
	StepMs        float64 // duration of a decode step without requests
	StepWriterMs  float64 // added to a decode step for each request
	ContextMs     float64 // added to a decode step for each 1,000 tokens of context
	ReadPerMs     float64 // 0: unknown
	Chunk         int     // largest number of prompt tokens in a prefill step; 0: unlimited
	PairsMs       float64 // prefill time for each million pairs of a token and an earlier token
	SplitsPrompts bool    // several endpoints may process a prompt together
}

const million = 1e6

// Read returns the prefill time of one of the equal parts of a prompt, which includes its share of the pairs of tokens.
func (m *Model) Read(tokens, parts int) time.Duration {
	if m == nil || m.ReadPerMs <= 0 {
		return 0
	}
	n, k := float64(tokens), float64(max(parts, 1))
	ms := n/k/m.ReadPerMs + n*n/2/k/million*m.PairsMs
	if m.Chunk > 0 {
		ms += n / k / float64(m.Chunk) * m.StepMs
	}
	return millis(ms)
}

// Pass returns the duration of a pass without prefill, with the given number of requests whose contexts have context
// tokens in total.
func (m *Model) Pass(writers, context int) time.Duration {
	if m == nil {
		return 0
	}
	step := m.StepMs + float64(writers)*m.StepWriterMs + float64(context)/1000*m.ContextMs
	return millis(step * float64(max(m.Stride, 1)))
}

func millis(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
