package route

import (
	"time"

	"github.com/bilberrylink/bilberrylink/fleet"
)

// memoryWait is the minimum penalty for a prompt that does not fit into the free KV memory. Such a request waits until
// a running one finishes, which takes seconds.
const memoryWait = 2 * time.Second

// crowding is the weight of the delay that a request causes to others, for services that favor slowdown.
const crowding = 0.5

// estimate returns the expected time to first token at e. Queued work of the request's class and of more urgent classes
// runs first; less urgent work is preempted between prefill chunks.
func estimate(e *Endpoint, r *Request, prefix bool) time.Duration {
	report, sent := e.Report()
	ahead := int64(0)
	for class := 0; class <= rank(r.Class); class++ {
		ahead += report.QueuedPrefillTokens[class] + sent[class]
	}
	own := r.PromptTokens
	if prefix {
		own = max(own-r.CachedTokens, 0)
	}
	return seconds(ahead+own, report.PrefillRate) + memoryPenalty(&report, sent, r)
}

// prefill returns the time that the engine at e needs to prefill the prompt when idle.
func prefill(e *Endpoint, r *Request, prefix bool) time.Duration {
	report, _ := e.Report()
	own := r.PromptTokens
	if prefix {
		own = max(own-r.CachedTokens, 0)
	}
	return seconds(own, report.PrefillRate)
}

// memoryPenalty returns the expected wait for KV memory, 0 if the prompt fits into the free memory.
func memoryPenalty(report *LoadReport, sent [classes]int64, r *Request) time.Duration {
	if report.KVCapacityTokens == 0 {
		return 0
	}
	free := report.KVFreeTokens
	for _, tokens := range sent {
		free -= tokens
	}
	if free >= r.PromptTokens {
		return 0
	}
	// The missing memory is held by prompts that are prefilled before this one, so the wait is about their prefill time.
	return max(memoryWait, seconds(r.PromptTokens-free, report.PrefillRate))
}

// cost returns the estimate. For services that favor slowdown it adds the weighted delay of other requests, so that a
// short request avoids endpoints with much queued work, and a long one avoids endpoints with many waiting requests.
func cost(e *Endpoint, r *Request, prefix bool) time.Duration {
	ttft := estimate(e, r, prefix)
	if r.Favor != fleet.FavorSlowdown {
		return ttft
	}
	report, sent := e.Report()
	behind := int64(0)
	for class := rank(r.Class) + 1; class < classes; class++ {
		behind += report.QueuedPrefillTokens[class] + sent[class]
	}
	shared := seconds(behind, report.PrefillRate)
	delayed := seconds(r.PromptTokens, report.PrefillRate) * time.Duration(report.Waiting)
	return ttft + time.Duration(crowding*float64(shared+delayed))
}

// seconds returns the time to process tokens at rate tokens per second.
func seconds(tokens, rate int64) time.Duration {
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
