package entry

import (
	"strings"
	"sync"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// prefixesPerGeneration bounds the number of prefixes in each of the two generations.
const prefixesPerGeneration = 8192

// prefixTokens is the estimated length of the hashed prefix in tokens.
var prefixTokens = int64(endpoint.EstimateTokens(strings.Repeat("x", prefixBytes)))

// prefixCache holds, by prompt prefix, how many tokens the endpoint that the prefix selects reported as cached. When the
// current generation is full, it replaces the previous one.
type prefixCache struct {
	mu                sync.Mutex
	current, previous map[uint64]int64
}

func newPrefixCache() *prefixCache { return &prefixCache{current: make(map[uint64]int64)} }

func (p *prefixCache) cachedTokens(prefix uint64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, ok := p.current[prefix]; ok {
		return n
	}
	return p.previous[prefix]
}

// record stores the cached tokens that a reply reports for a prompt. A reply that reports none counts as one with a cached
// prefix, because the prompt itself has just been cached.
func (p *prefixCache) record(prefix uint64, cachedTokens, promptTokens int64) {
	if prefix == 0 {
		return
	}
	if cachedTokens == 0 {
		cachedTokens = min(promptTokens, prefixTokens)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.current) >= prefixesPerGeneration {
		p.previous, p.current = p.current, make(map[uint64]int64)
	}
	p.current[prefix] = cachedTokens
}
