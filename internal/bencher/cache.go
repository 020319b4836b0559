package bencher

import (
	"container/list"

	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxCacheBlocks is the capacity of an engine's prefix cache.
const maxCacheBlocks = 1200

// prefixCache is an engine's LRU cache of prompt prefix blocks.
type prefixCache struct {
	blocks map[identifier.PrefixHash]*list.Element
	order  *list.List
	events []cacheEvent
}

// cacheEvent lists the blocks that one update added and evicted.
type cacheEvent struct {
	at      timekeeper.Time
	cached  []identifier.PrefixHash
	evicted []identifier.PrefixHash
}

func newPrefixCache() *prefixCache {
	return &prefixCache{
		blocks: make(map[identifier.PrefixHash]*list.Element),
		order:  list.New(),
	}
}

// cachedTokens returns the length of the longest cached prefix and marks its
// blocks as used.
func (c *prefixCache) cachedTokens(prefix []identifier.PrefixHash) identifier.Tokens {
	n := 0
	for _, hash := range prefix {
		e, ok := c.blocks[hash]
		if !ok {
			break
		}
		c.order.MoveToFront(e)
		n++
	}
	return identifier.Tokens(n) * router.BlockTokens
}

func (c *prefixCache) add(now timekeeper.Time, prefix []identifier.PrefixHash) {
	e := cacheEvent{at: now}
	for _, hash := range prefix {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		e.cached = append(e.cached, hash)
	}
	for c.order.Len() > maxCacheBlocks {
		oldest := c.order.Remove(c.order.Back()).(identifier.PrefixHash)
		delete(c.blocks, oldest)
		e.evicted = append(e.evicted, oldest)
	}
	if len(e.cached)+len(e.evicted) > 0 {
		c.events = append(c.events, e)
	}
}
