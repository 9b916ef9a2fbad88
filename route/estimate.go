package route

import (
	"time"

	"github.com/bilberrylink/bilberrylink/fleet"
)

// memoryWait is the least penalty when the prompt does not fit into the free KV memory: the request waits for a running
// answer to finish, which takes seconds.
const memoryWait = 2 * time.Second

// crowding weighs the cost of work behind which shorter requests would queue, for services that favor slowdown.
const crowding = 0.5

// estimate returns the expected time to first token at e. Work of more urgent classes and of the own class is ahead;
// less urgent work is preempted between chunks.
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

// prefill returns the time that an idle engine at e takes for the prompt.
func prefill(e *Endpoint, r *Request, prefix bool) time.Duration {
	report, _ := e.Report()
	own := r.PromptTokens
	if prefix {
		own = max(own-r.CachedTokens, 0)
	}
	return seconds(own, report.PrefillRate)
}

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
	// The memory that is missing is held by prompts that are prefilled first, so it takes about their prefill time.
	return max(memoryWait, seconds(r.PromptTokens-free, report.PrefillRate))
}

// cost is the estimate, plus the delay that the request causes to others where the service favors slowdown: a short
// request avoids endpoints with long work in progress, and long work avoids endpoints with many requests.
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

func seconds(tokens, rate int64) time.Duration {
	if rate <= 0 {
		rate = DefaultPrefillRate
	}
	return time.Duration(float64(tokens) / float64(rate) * float64(time.Second))
}
