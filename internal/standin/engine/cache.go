package engine

import (
	"container/list"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxCacheEvents bounds the stored events. Readers see older ones as a gap.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefix blocks.
type prefixCache struct {
	capacity int
	order    *list.List // of identifier.PrefixHash, most recently used first
	blocks   map[identifier.PrefixHash]*list.Element
	events   []cacheEvent
	seq      uint64
}

type cacheEvent struct {
	encoder.CacheEvent
	recordedAt timekeeper.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[identifier.PrefixHash]*list.Element),
	}
}

// cachedBlocks returns the number of leading blocks of a prompt that are cached,
// and marks them as used.
func (c *prefixCache) cachedBlocks(prefix []identifier.PrefixHash) identifier.Tokens {
	var blocks identifier.Tokens
	for _, h := range prefix {
		if c.blocks[h] == nil {
			break
		}
		blocks++
	}
	c.touch(prefix[:blocks])
	return blocks
}

// touch marks cached blocks as used, the first block last. Later blocks are thus
// evicted before earlier ones, without which they are useless.
func (c *prefixCache) touch(prefix []identifier.PrefixHash) {
	for _, h := range slices.Backward(prefix) {
		c.order.MoveToFront(c.blocks[h])
	}
}

// add caches the blocks of a prompt and evicts the least recently used blocks
// beyond the capacity.
func (c *prefixCache) add(prefix []identifier.PrefixHash, now timekeeper.Time) {
	for _, h := range prefix {
		if c.blocks[h] == nil {
			c.blocks[h] = c.order.PushFront(h)
			c.recordEvent(h, false, now)
		}
	}
	c.touch(prefix)
	for c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(identifier.PrefixHash)
		delete(c.blocks, oldest)
		c.recordEvent(oldest, true, now)
	}
}

func (c *prefixCache) recordEvent(h identifier.PrefixHash, evicted bool, now timekeeper.Time) {
	c.seq++
	c.events = append(c.events, cacheEvent{
		CacheEvent: encoder.CacheEvent{
			Seq:     c.seq,
			Hash:    h,
			Evicted: evicted,
		},
		recordedAt: now,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// eventsSince returns the events with a sequence number above after that were
// recorded no later than latest. It omits every dropEvery-th event.
func (c *prefixCache) eventsSince(after uint64, latest timekeeper.Time, dropEvery int) []encoder.CacheEvent {
	shown := []encoder.CacheEvent{}
	for _, e := range c.events {
		dropped := dropEvery > 0 && e.Seq%uint64(dropEvery) == 0
		if e.Seq > after && !e.recordedAt.After(latest) && !dropped {
			shown = append(shown, e.CacheEvent)
		}
	}
	return shown
}
