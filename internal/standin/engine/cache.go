package engine

import (
	"container/list"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxCacheEvents bounds the events kept for readers; older ones are gaps.
const maxCacheEvents = 4096

// prefixCache holds prefix blocks, the least recently used goes first.
type prefixCache struct {
	capacity int
	order    *list.List // of identifier.PrefixHash, most recently used first
	blocks   map[identifier.PrefixHash]*list.Element
	events   []cacheEvent
	seq      uint64
}

type cacheEvent struct {
	encoder.CacheEvent
	at timekeeper.Time
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{
		capacity: capacity,
		order:    list.New(),
		blocks:   make(map[identifier.PrefixHash]*list.Element),
	}
}

// hit returns how many leading blocks of a prompt are held.
func (c *prefixCache) hit(prefix []identifier.PrefixHash) identifier.Tokens {
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

// touch marks blocks as used, the first block last: a block is of no use
// without those before it, so the later ones have to go first.
func (c *prefixCache) touch(prefix []identifier.PrefixHash) {
	for _, h := range slices.Backward(prefix) {
		c.order.MoveToFront(c.blocks[h])
	}
}

// add takes the blocks of a prompt in and drops what no longer fits.
func (c *prefixCache) add(prefix []identifier.PrefixHash, now timekeeper.Time) {
	for _, h := range prefix {
		if c.blocks[h] == nil {
			c.blocks[h] = c.order.PushFront(h)
			c.record(h, false, now)
		}
	}
	c.touch(prefix)
	for c.order.Len() > c.capacity {
		oldest := c.order.Remove(c.order.Back()).(identifier.PrefixHash)
		delete(c.blocks, oldest)
		c.record(oldest, true, now)
	}
}

func (c *prefixCache) record(h identifier.PrefixHash, gone bool, now timekeeper.Time) {
	c.seq++
	c.events = append(c.events, cacheEvent{
		CacheEvent: encoder.CacheEvent{
			Seq:     c.seq,
			Hash:    h,
			Evicted: gone,
		},
		at: now,
	})
	if len(c.events) > maxCacheEvents {
		c.events = c.events[len(c.events)-maxCacheEvents:]
	}
}

// since returns the events after seq that are old enough to be shown, without
// every drop-th one.
func (c *prefixCache) since(after uint64, horizon timekeeper.Time, drop int) []encoder.CacheEvent {
	shown := []encoder.CacheEvent{}
	for _, e := range c.events {
		dropped := drop > 0 && e.Seq%uint64(drop) == 0
		if e.Seq > after && !e.at.After(horizon) && !dropped {
			shown = append(shown, e.CacheEvent)
		}
	}
	return shown
}
