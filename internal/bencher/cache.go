package bencher

import (
	"container/list"

	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// cacheBlocks is how many shareable prefix blocks an engine keeps.
const cacheBlocks = 1200

// prefixCache is an engine's cache of prompt prefixes: least recently used
// blocks go first.
type prefixCache struct {
	blocks map[identifier.PrefixHash]*list.Element
	order  *list.List
	events []cacheEvent
}

// cacheEvent tells what the cache took in and dropped.
type cacheEvent struct {
	at   timekeeper.Time
	held []identifier.PrefixHash
	gone []identifier.PrefixHash
}

func newPrefixCache() *prefixCache {
	return &prefixCache{
		blocks: make(map[identifier.PrefixHash]*list.Element),
		order:  list.New(),
	}
}

// hit returns how many leading tokens of the prefix are cached.
func (c *prefixCache) hit(prefix []identifier.PrefixHash) identifier.Tokens {
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

func (c *prefixCache) learn(now timekeeper.Time, prefix []identifier.PrefixHash) {
	e := cacheEvent{at: now}
	for _, hash := range prefix {
		if _, ok := c.blocks[hash]; ok {
			continue
		}
		c.blocks[hash] = c.order.PushFront(hash)
		e.held = append(e.held, hash)
	}
	for c.order.Len() > cacheBlocks {
		oldest := c.order.Remove(c.order.Back()).(identifier.PrefixHash)
		delete(c.blocks, oldest)
		e.gone = append(e.gone, oldest)
	}
	if len(e.held)+len(e.gone) > 0 {
		c.events = append(c.events, e)
	}
}
