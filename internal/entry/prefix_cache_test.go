package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an estimate that depends on cache events, which engines send late and with gaps: what is cached is
// learned from replies, and a reply that reports less than expected corrects it.
func TestCachedPrefixIsLearnedFromReplies(t *testing.T) {
	p := newPrefixes()
	assert.Zero(t, p.cached(7))
	p.learn(7, 0, 50_000)
	assert.Equal(t, prefixTokens, p.cached(7), "the prompt has just filled the cache with its prefix")
	p.learn(7, 20_000, 50_000)
	assert.EqualValues(t, 20_000, p.cached(7))
	p.learn(7, 0, 50_000)
	assert.Equal(t, prefixTokens, p.cached(7), "evicted without an event")
	for i := range uint64(3 * prefixCapacity) {
		p.learn(i+100, 1, 1)
	}
	assert.Zero(t, p.cached(7), "old prefixes are forgotten")
	assert.LessOrEqual(t, len(p.now)+len(p.old), 2*prefixCapacity)
}
