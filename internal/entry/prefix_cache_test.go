package entry

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against an estimate that depends on cache events, which engines send late and with gaps. The cached tokens are
// taken from replies, and a reply that reports fewer than expected corrects the estimate.
func TestCachedPrefixIsLearnedFromReplies(t *testing.T) {
	p := newPrefixCache()
	assert.Zero(t, p.cachedTokens(7))
	p.record(7, 0, 50_000)
	assert.Equal(t, prefixTokens, p.cachedTokens(7), "the prompt has just filled the cache with its prefix")
	p.record(7, 20_000, 50_000)
	assert.EqualValues(t, 20_000, p.cachedTokens(7))
	p.record(7, 0, 50_000)
	assert.Equal(t, prefixTokens, p.cachedTokens(7), "evicted without an event")
	for i := range uint64(3 * prefixesPerGeneration) {
		p.record(i+100, 1, 1)
	}
	assert.Zero(t, p.cachedTokens(7), "old prefixes are forgotten")
	assert.LessOrEqual(t, len(p.current)+len(p.previous), 2*prefixesPerGeneration)
}
