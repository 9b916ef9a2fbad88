package route

import (
	"time"

	"github.com/bilberrylink/bilberrylink/fleet"
)

// minMemoryPenalty is the minimum penalty for a prompt that does not fit into the free KV memory. Such a request waits until
// a running one finishes, which takes seconds.
const minMemoryPenalty = 2 * time.Second

// interferenceWeight is the weight of the delay that a request causes to others, for services that favor slowdown.
const interferenceWeight = 0.5

// estimateTTFT returns the expected time to first token at e. cached says that e has the prompt's prefix in its cache.
// Queued work of the request's class and of more urgent classes runs first; less urgent work is preempted between
// prefill chunks.
func estimateTTFT(e *Endpoint, r *Request, cached bool) time.Duration {
	report, dispatched := e.Report()
	tokensAhead := int64(0)
	for class := 0; class <= classIndex(r.Class); class++ {
		tokensAhead += report.QueuedPrefillTokens[class] + dispatched[class]
	}
	ownTokens := r.PromptTokens
	if cached {
		ownTokens = max(ownTokens-r.CachedTokens, 0)
	}
	return processingTime(tokensAhead+ownTokens, report.PrefillTokensPerSecond) + memoryPenalty(&report, dispatched, r)
}

// prefillTime returns the time that the engine at e needs to prefill the prompt when idle.
func prefillTime(e *Endpoint, r *Request, cached bool) time.Duration {
	report, _ := e.Report()
	ownTokens := r.PromptTokens
	if cached {
		ownTokens = max(ownTokens-r.CachedTokens, 0)
	}
	return processingTime(ownTokens, report.PrefillTokensPerSecond)
}

// memoryPenalty returns the expected wait for KV memory, 0 if the prompt fits into the free memory.
func memoryPenalty(report *LoadReport, dispatched [numClasses]int64, r *Request) time.Duration {
	if report.KVCapacityTokens == 0 {
		return 0
	}
	free := report.KVFreeTokens
	for _, tokens := range dispatched {
		free -= tokens
	}
	if free >= r.PromptTokens {
		return 0
	}
	// The missing memory is held by prompts that are prefilled before this one, so the wait is about their prefill time.
	return max(minMemoryPenalty, processingTime(r.PromptTokens-free, report.PrefillTokensPerSecond))
}

// cost returns the estimated time to first token. For services that favor slowdown it adds the weighted delay of other
// requests, so that a request avoids endpoints where it preempts much work, and a long request avoids endpoints where
// many requests wait.
func cost(e *Endpoint, r *Request, cached bool) time.Duration {
	ttft := estimateTTFT(e, r, cached)
	if r.Favor != fleet.FavorSlowdown {
		return ttft
	}
	report, dispatched := e.Report()
	tokensBehind := int64(0)
	for class := classIndex(r.Class) + 1; class < numClasses; class++ {
		tokensBehind += report.QueuedPrefillTokens[class] + dispatched[class]
	}
	preemptedWork := processingTime(tokensBehind, report.PrefillTokensPerSecond)
	waitersDelay := processingTime(r.PromptTokens, report.PrefillTokensPerSecond) * time.Duration(report.Waiting)
	return ttft + time.Duration(interferenceWeight*float64(preemptedWork+waitersDelay))
}

// processingTime returns the time to process tokens at rate tokens per second.
func processingTime(tokens, rate int64) time.Duration {
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
