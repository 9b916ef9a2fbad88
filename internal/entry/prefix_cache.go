package entry

import (
	"strings"
	"sync"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// prefixCapacity bounds each of the two generations of known prefixes.
const prefixCapacity = 8192

// prefixTokens is the length of the hashed prefix in tokens.
var prefixTokens = int64(endpoint.EstimateTokens(strings.Repeat("x", prefixBytes)))

// prefixes remembers how many tokens of a prefix the endpoint of that prefix reported as cached.
type prefixes struct {
	mu       sync.Mutex
	now, old map[uint64]int64
}

func newPrefixes() *prefixes { return &prefixes{now: make(map[uint64]int64)} }

func (p *prefixes) cached(prefix uint64) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if n, ok := p.now[prefix]; ok {
		return n
	}
	return p.old[prefix]
}

// learn records a reply. A prompt without a hit has just filled the cache with its own prefix.
func (p *prefixes) learn(prefix uint64, cached, prompt int64) {
	if prefix == 0 {
		return
	}
	if cached == 0 {
		cached = min(prompt, prefixTokens)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.now) >= prefixCapacity {
		p.old, p.now = p.now, make(map[uint64]int64)
	}
	p.now[prefix] = cached
}
