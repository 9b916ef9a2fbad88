package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// CacheBlockTokens is the granularity of the prefix cache in tokens.
const CacheBlockTokens = 256

// cacheBlockBytes is the length of the text of one block; see endpoint.CountTokens.
const cacheBlockBytes = CacheBlockTokens * 4

// maxCacheEvents bounds the events that an engine keeps for its agent; older ones are lost, which leaves a gap.
const maxCacheEvents = 4096

type blockKey struct {
	version endpoint.Version
	prefix  uint64
}

type block struct {
	key    blockKey
	tokens int // length of the whole prefix
}

// prefixCache keeps prefixes in blocks, least recently used first out. Its user holds the engine's lock.
type prefixCache struct {
	blocks map[blockKey]*list.Element
	order  *list.List // front: most recently used
	emit   func(b block, evicted bool)
}

func newPrefixCache(emit func(block, bool)) *prefixCache {
	return &prefixCache{blocks: make(map[blockKey]*list.Element), order: list.New(), emit: emit}
}

// tokens returns the memory in use.
func (c *prefixCache) tokens() int { return c.order.Len() * CacheBlockTokens }

// prefixSums returns the hash of each whole-block prefix of a prompt, shortest first.
func prefixSums(prompt string) []uint64 {
	sums := make([]uint64, 0, len(prompt)/cacheBlockBytes)
	digest := xxhash.New()
	for ; len(prompt) >= cacheBlockBytes; prompt = prompt[cacheBlockBytes:] {
		_, _ = digest.WriteString(prompt[:cacheBlockBytes]) // a hash never fails to write
		sums = append(sums, digest.Sum64())
	}
	return sums
}

// lookup returns the length of the longest cached prefix in tokens and marks it as used.
func (c *prefixCache) lookup(v endpoint.Version, sums []uint64) int {
	n := 0
	for n < len(sums) && c.blocks[blockKey{v, sums[n]}] != nil {
		n++
	}
	c.touch(v, sums[:n])
	return n * CacheBlockTokens
}

// touch marks prefixes as used, the shortest last, so that longer ones are evicted before those they build on.
func (c *prefixCache) touch(v endpoint.Version, sums []uint64) {
	for i := len(sums) - 1; i >= 0; i-- {
		if e := c.blocks[blockKey{v, sums[i]}]; e != nil {
			c.order.MoveToFront(e)
		}
	}
}

// insert adds the prefixes of a prompt as far as limit tokens of cache memory allow.
func (c *prefixCache) insert(v endpoint.Version, sums []uint64, limit int) {
	sums = sums[:min(len(sums), max(limit, 0)/CacheBlockTokens)]
	for i, sum := range sums {
		key := blockKey{v, sum}
		if c.blocks[key] != nil {
			continue
		}
		b := block{key: key, tokens: (i + 1) * CacheBlockTokens}
		c.blocks[key] = c.order.PushFront(b)
		c.emit(b, false)
	}
	c.touch(v, sums)
	c.shrink(limit)
}

// shrink evicts until at most limit tokens are in use.
func (c *prefixCache) shrink(limit int) {
	for c.order.Len() > 0 && c.tokens() > limit {
		c.remove(c.order.Back())
	}
}

func (c *prefixCache) remove(e *list.Element) {
	b := c.order.Remove(e).(block)
	delete(c.blocks, b.key)
	c.emit(b, true)
}

// drop removes the prefixes of versions that keep rejects.
func (c *prefixCache) drop(keep func(endpoint.Version) bool) {
	for e := c.order.Back(); e != nil; {
		next := e.Prev()
		if !keep(e.Value.(block).key.version) {
			c.remove(e)
		}
		e = next
	}
}
