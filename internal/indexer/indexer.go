// Package indexer estimates which backend servers have cached which shared parts of
// prompts. Requests are then sent to servers that need to read little of their prompt,
// or that can copy what they lack from another server.
//
// A node adds the parts of each prompt that it sends, and merges what its peers report.
// The index of a server is bounded by the server's cache capacity and evicts the least
// recently used parts, as the server does. It may be wrong: if a server has cached
// less, the prompt is read again.
//
// All functions are deterministic: time is passed in. Nothing is safe for concurrent
// use.
package indexer

import (
	"maps"
	"math"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxParts bounds the parts per server, and maxServers the servers. 600 servers
	// with 4,096 parts each take about 100 MB, a worst case that needs parts of less
	// than 150 tokens.
	maxParts   = 4096
	maxServers = 1024
	// minTokens is the size below which a part is not indexed: reading it takes less
	// time than the load of two servers typically differs by.
	minTokens = 512
	// updateWindow is the time for which a part is reported to peers, so that at least
	// two state updates contain it.
	updateWindow = 1100 * timekeeper.Millisecond
	// relayWindow is the same for a relay. Each node has two relays, which send every
	// half second.
	relayWindow = 600 * timekeeper.Millisecond
	// maxUpdates bounds the parts in one report, and maxSnapshot those in the report
	// for a joining peer, which is then about 40 KB.
	maxUpdates  = 256
	maxSnapshot = 2048
)

// Index holds the prompt parts that all servers are assumed to have cached.
type Index struct {
	servers map[identifier.VMID]*serverCache
	updates []update
}

// serverCache holds the parts of one server.
type serverCache struct {
	parts  *simplelru.LRU[identifier.PrefixHash, identifier.Tokens]
	tokens identifier.Tokens
}

// update is a part to be reported to peers.
type update struct {
	at   timekeeper.Time
	part messenger.CachedPrefix
}

// New returns an empty Index.
func New() *Index {
	return &Index{servers: map[identifier.VMID]*serverCache{}}
}

// AddSent records that a server has read the shared parts of a prompt, or will have
// read them before it reads another prompt. Parts that were not indexed are reported to
// peers. Capacity is the number of tokens that the server can cache, or zero if
// unknown.
func (x *Index) AddSent(now timekeeper.Time, server identifier.VMID, prefix []messenger.PromptPart, capacity identifier.Tokens) {
	for _, p := range sharedParts(prefix) {
		if x.add(server, p, capacity) {
			x.queueUpdate(now, server, p)
		}
	}
}

// Merge adds a part that a peer reported. If passOn is set and the part is new, this
// node reports it to its own peers as well.
func (x *Index) Merge(now timekeeper.Time, p messenger.CachedPrefix, capacity identifier.Tokens, passOn bool) {
	if x.add(p.Server, p.Part, capacity) && passOn {
		x.queueUpdate(now, p.Server, p.Part)
	}
}

// add adds a part and reports whether it was new.
func (x *Index) add(server identifier.VMID, p messenger.PromptPart, capacity identifier.Tokens) bool {
	if p.Tokens < minTokens {
		return false
	}
	cache := x.servers[server]
	if cache == nil {
		if len(x.servers) >= maxServers {
			return false
		}
		cache = newServerCache()
		x.servers[server] = cache
	}
	if _, known := cache.parts.Get(p.Hash); known {
		return false
	}
	cache.parts.Add(p.Hash, p.Tokens)
	cache.tokens += p.Tokens
	for capacity > 0 && cache.tokens > capacity && cache.parts.Len() > 1 {
		cache.parts.RemoveOldest()
	}
	return true
}

func newServerCache() *serverCache {
	cache := &serverCache{}
	parts, err := simplelru.NewLRU(maxParts, func(_ identifier.PrefixHash, n identifier.Tokens) { cache.tokens -= n })
	if err != nil {
		// NewLRU fails only for a size that is not positive.
		panic(err)
	}
	cache.parts = parts
	return cache
}

func (x *Index) queueUpdate(now timekeeper.Time, server identifier.VMID, p messenger.PromptPart) {
	x.updates = append(x.updates, update{
		at: now,
		part: messenger.CachedPrefix{
			Server: server,
			Part:   p,
		},
	})
}

// CachedTokens returns how many tokens of a prompt's shared parts a server is assumed
// to have cached. A part counts only if all parts before it are cached.
func (x *Index) CachedTokens(server identifier.VMID, prefix []messenger.PromptPart) identifier.Tokens {
	cache := x.servers[server]
	if cache == nil {
		return 0
	}
	var sum identifier.Tokens
	for _, p := range sharedParts(prefix) {
		if p.Tokens >= minTokens && !cache.parts.Contains(p.Hash) {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// Remove drops the shared parts of a prompt that the server did not read.
func (x *Index) Remove(server identifier.VMID, prefix []messenger.PromptPart) {
	cache := x.servers[server]
	if cache == nil {
		return
	}
	for _, p := range sharedParts(prefix) {
		cache.parts.Remove(p.Hash)
	}
}

// Forget drops a removed server.
func (x *Index) Forget(server identifier.VMID) { delete(x.servers, server) }

// Updates returns the parts to report to peers, oldest first.
func (x *Index) Updates(now timekeeper.Time) []messenger.CachedPrefix {
	x.updates = slices.DeleteFunc(x.updates, func(u update) bool { return now.Sub(u.at) > updateWindow })
	x.updates = x.updates[max(len(x.updates)-maxUpdates, 0):]
	return x.updatesWithin(now, updateWindow)
}

// RelayedUpdates returns the part of Updates that a relay passes on. Each peer receives
// it from two relays, so that each relay reports it for one interval only.
func (x *Index) RelayedUpdates(now timekeeper.Time) []messenger.CachedPrefix {
	return x.updatesWithin(now, relayWindow)
}

func (x *Index) updatesWithin(now timekeeper.Time, span timekeeper.Duration) []messenger.CachedPrefix {
	out := make([]messenger.CachedPrefix, 0, len(x.updates))
	for _, u := range x.updates {
		if now.Sub(u.at) <= span {
			out = append(out, u.part)
		}
	}
	return out
}

// All returns the parts of all servers, up to a bound, for a peer that has just joined.
func (x *Index) All() []messenger.CachedPrefix {
	var out []messenger.CachedPrefix
	for _, server := range slices.Sorted(maps.Keys(x.servers)) {
		cache := x.servers[server]
		for _, hash := range cache.parts.Keys() {
			if len(out) == maxSnapshot {
				return out
			}
			tokens, _ := cache.parts.Peek(hash)
			out = append(out, messenger.CachedPrefix{
				Server: server,
				Part: messenger.PromptPart{
					Hash:   hash,
					Tokens: tokens,
				},
			})
		}
	}
	return out
}

// sharedParts returns the parts of a prompt that other requests may share: all but the
// last.
func sharedParts(prefix []messenger.PromptPart) []messenger.PromptPart {
	if len(prefix) < 2 {
		return nil
	}
	return prefix[:len(prefix)-1]
}

// SharedTokens returns the number of tokens in a prompt's shared parts.
func SharedTokens(prefix []messenger.PromptPart) identifier.Tokens {
	var sum identifier.Tokens
	for _, p := range sharedParts(prefix) {
		sum += min(p.Tokens, math.MaxInt32)
	}
	return sum
}
