package standin

import (
	"container/list"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberrylink/bilberrylink/endpoint"
)

// CacheBlockTokens is the block size of the prefix cache, in tokens.
const CacheBlockTokens = 256

// cacheBlockBytes is the text length of one block at four bytes a token; see endpoint.EstimateTokens.
const cacheBlockBytes = CacheBlockTokens * 4

// maxCacheEvents bounds the events that an engine retains for its agent. Older ones are dropped, which leaves a gap in
// the sequence numbers.
const maxCacheEvents = 4096

type blockKey struct {
	version    endpoint.Version
	prefixHash uint64
}

type block struct {
	key    blockKey
	tokens int // length of the prefix that ends with this block
}

// prefixCache is an LRU cache of prompt prefixes in blocks. The engine's lock guards it.
type prefixCache struct {
	blocks map[blockKey]*list.Element
	lru    *list.List                  // front: most recently used
	emit   func(b block, evicted bool) // called for each block that is added or evicted
}

func newPrefixCache(emit func(block, bool)) *prefixCache {
	return &prefixCache{blocks: make(map[blockKey]*list.Element), lru: list.New(), emit: emit}
}

// usedTokens returns the cache memory in use, in tokens.
func (c *prefixCache) usedTokens() int { return c.lru.Len() * CacheBlockTokens }

// prefixHashes returns the hash of each whole-block prefix of a prompt, shortest first.
func prefixHashes(prompt string) []uint64 {
	hashes := make([]uint64, 0, len(prompt)/cacheBlockBytes)
	digest := xxhash.New()
	for ; len(prompt) >= cacheBlockBytes; prompt = prompt[cacheBlockBytes:] {
		_, _ = digest.WriteString(prompt[:cacheBlockBytes]) // writing to a hash never fails
		hashes = append(hashes, digest.Sum64())
	}
	return hashes
}

// lookup returns the length of the longest cached prefix in tokens and marks its blocks as recently used.
func (c *prefixCache) lookup(v endpoint.Version, hashes []uint64) int {
	n := 0
	for n < len(hashes) && c.blocks[blockKey{v, hashes[n]}] != nil {
		n++
	}
	c.touch(v, hashes[:n])
	return n * CacheBlockTokens
}

// touch marks prefixes as recently used, the shortest last, so that a prefix is evicted before the shorter ones it extends.
func (c *prefixCache) touch(v endpoint.Version, hashes []uint64) {
	for i := len(hashes) - 1; i >= 0; i-- {
		if e := c.blocks[blockKey{v, hashes[i]}]; e != nil {
			c.lru.MoveToFront(e)
		}
	}
}

// insert adds the prefixes of a prompt, up to limit tokens, and evicts others until the cache fits into limit.
func (c *prefixCache) insert(v endpoint.Version, hashes []uint64, limit int) {
	hashes = hashes[:min(len(hashes), max(limit, 0)/CacheBlockTokens)]
	for i, hash := range hashes {
		key := blockKey{v, hash}
		if c.blocks[key] != nil {
			continue
		}
		b := block{key: key, tokens: (i + 1) * CacheBlockTokens}
		c.blocks[key] = c.lru.PushFront(b)
		c.emit(b, false)
	}
	c.touch(v, hashes)
	c.shrink(limit)
}

// shrink evicts the least recently used blocks until at most limit tokens are in use.
func (c *prefixCache) shrink(limit int) {
	for c.lru.Len() > 0 && c.usedTokens() > limit {
		c.evict(c.lru.Back())
	}
}

func (c *prefixCache) evict(e *list.Element) {
	b := c.lru.Remove(e).(block)
	delete(c.blocks, b.key)
	c.emit(b, true)
}

// dropVersions evicts the prefixes of the versions for which keep returns false.
func (c *prefixCache) dropVersions(keep func(endpoint.Version) bool) {
	for e := c.lru.Back(); e != nil; {
		next := e.Prev()
		if !keep(e.Value.(block).key.version) {
			c.evict(e)
		}
		e = next
	}
}
