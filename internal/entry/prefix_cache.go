package entry

import (
	"strings"
	"sync"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// prefixCapacity bounds the number of prefixes in each of the two generations.
const prefixCapacity = 8192

// prefixTokens is the estimated length of the hashed prefix in tokens.
var prefixTokens = int64(endpoint.EstimateTokens(strings.Repeat("x", prefixBytes)))

// prefixes holds how many tokens of a prompt the endpoint selected by its prefix has cached, as replies reported it. When
// the current generation is full, it becomes the old one, and the old one is dropped.
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

// learn records the cached tokens that a reply reports for a prompt. A reply that reports none counts as one with a cached
// prefix, because the prompt itself has just been cached.
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
