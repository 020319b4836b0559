// Package indexer remembers which backend servers probably keep which shared
// parts of prompts, so that a request goes where little of its prompt has to be
// read, or copies from there what its own server lacks.
//
// A node notes the parts of each prompt that it sends, and its peers report what
// they noted. Of a server it remembers as much as that keeps: the parts that
// were used least recently give way, as they do there. What is remembered may
// be wrong: a server may keep less, which costs the time to read it again.
//
// Everything is pure: time is an argument. Nothing is safe for concurrent use.
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
	// maxParts bounds the parts remembered of one server, and maxServers the
	// servers: 600 servers of 4,096 parts take some 100 MB at worst, which only
	// parts of less than 150 tokens would reach.
	maxParts   = 4096
	maxServers = 1024
	// leastTokens is the size below which a part is not remembered: it is read
	// in less time than two servers' loads differ by.
	leastTokens = 512
	// newsTime is for how long a part is reported to peers: each share goes out
	// within it at least twice.
	newsTime = 1100 * timekeeper.Millisecond
	// relayedTime is the same for one of two relays, which tells every half second.
	relayedTime = 600 * timekeeper.Millisecond
	// maxNews bounds the parts that are reported at a time, and maxAll those that
	// a peer hears of which joined: some 40 KB.
	maxNews = 256
	maxAll  = 2048
)

// Index is what one node remembers of all servers.
type Index struct {
	servers map[identifier.VMID]*kept
	updates []item
}

// kept is the parts of one server.
type kept struct {
	parts  *simplelru.LRU[identifier.PrefixHash, identifier.Tokens]
	tokens identifier.Tokens
}

// item is a part that peers hear of.
type item struct {
	at   timekeeper.Time
	part messenger.CachedPrefix
}

// New returns an Index that remembers nothing.
func New() *Index {
	return &Index{servers: map[identifier.VMID]*kept{}}
}

// AddSent takes in that a server has read the shared parts of a prompt, or will
// have before it reads another prompt. Peers hear of those that were not
// remembered. Capacity is how many tokens the server keeps; zero where that is
// not known.
func (x *Index) AddSent(now timekeeper.Time, server identifier.VMID, prefix []messenger.PromptPart, capacity identifier.Tokens) {
	for _, p := range shared(prefix) {
		if x.add(server, p, capacity) {
			x.queueUpdate(now, server, p)
		}
	}
}

// Merge takes in what a peer reported. With passOn set this node's own peers
// hear of it too, if it is new.
func (x *Index) Merge(now timekeeper.Time, p messenger.CachedPrefix, capacity identifier.Tokens, passOn bool) {
	if x.add(p.Server, p.Part, capacity) && passOn {
		x.queueUpdate(now, p.Server, p.Part)
	}
}

// add reports whether the part was not remembered.
func (x *Index) add(server identifier.VMID, p messenger.PromptPart, capacity identifier.Tokens) bool {
	if p.Tokens < leastTokens {
		return false
	}
	k := x.servers[server]
	if k == nil {
		if len(x.servers) >= maxServers {
			return false
		}
		k = newKept()
		x.servers[server] = k
	}
	if _, known := k.parts.Get(p.Hash); known {
		return false
	}
	k.parts.Add(p.Hash, p.Tokens)
	k.tokens += p.Tokens
	for capacity > 0 && k.tokens > capacity && k.parts.Len() > 1 {
		k.parts.RemoveOldest()
	}
	return true
}

func newKept() *kept {
	k := &kept{}
	parts, err := simplelru.NewLRU(maxParts, func(_ identifier.PrefixHash, n identifier.Tokens) { k.tokens -= n })
	if err != nil {
		// Only a size that is not positive is an error.
		panic(err)
	}
	k.parts = parts
	return k
}

func (x *Index) queueUpdate(now timekeeper.Time, server identifier.VMID, p messenger.PromptPart) {
	x.updates = append(x.updates, item{
		at: now,
		part: messenger.CachedPrefix{
			Server: server,
			Part:   p,
		},
	})
}

// CachedTokens returns how many tokens of a prompt's shared parts a server keeps. A
// part counts only if all before it are kept too.
func (x *Index) CachedTokens(server identifier.VMID, prefix []messenger.PromptPart) identifier.Tokens {
	k := x.servers[server]
	if k == nil {
		return 0
	}
	var sum identifier.Tokens
	for _, p := range shared(prefix) {
		if p.Tokens >= leastTokens && !k.parts.Contains(p.Hash) {
			break
		}
		sum += p.Tokens
	}
	return sum
}

// Remove forgets what a prompt's server was noted to keep of it: the server did
// not read it.
func (x *Index) Remove(server identifier.VMID, prefix []messenger.PromptPart) {
	k := x.servers[server]
	if k == nil {
		return
	}
	for _, p := range shared(prefix) {
		k.parts.Remove(p.Hash)
	}
}

// Forget drops a server that is gone.
func (x *Index) Forget(server identifier.VMID) { delete(x.servers, server) }

// Updates returns what peers hear of, the newest last.
func (x *Index) Updates(now timekeeper.Time) []messenger.CachedPrefix {
	x.updates = slices.DeleteFunc(x.updates, func(i item) bool { return now.Sub(i.at) > newsTime })
	x.updates = x.updates[max(len(x.updates)-maxNews, 0):]
	return x.updatesWithin(now, newsTime)
}

// RelayedUpdates returns the part of News that a relay passes on: each of its peers
// hears of a part from two relays, so that each need tell it no longer than for one
// of its turns.
func (x *Index) RelayedUpdates(now timekeeper.Time) []messenger.CachedPrefix {
	return x.updatesWithin(now, relayedTime)
}

func (x *Index) updatesWithin(now timekeeper.Time, span timekeeper.Duration) []messenger.CachedPrefix {
	out := make([]messenger.CachedPrefix, 0, len(x.updates))
	for _, i := range x.updates {
		if now.Sub(i.at) <= span {
			out = append(out, i.part)
		}
	}
	return out
}

// All returns what is remembered of all servers, up to a bound, for a peer that
// remembers nothing.
func (x *Index) All() []messenger.CachedPrefix {
	var out []messenger.CachedPrefix
	for _, server := range slices.Sorted(maps.Keys(x.servers)) {
		k := x.servers[server]
		for _, hash := range k.parts.Keys() {
			if len(out) == maxAll {
				return out
			}
			tokens, _ := k.parts.Peek(hash)
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

// shared returns the parts of a prompt that other requests may share: all but
// the last, which is the request's own.
func shared(prefix []messenger.PromptPart) []messenger.PromptPart {
	if len(prefix) < 2 {
		return nil
	}
	return prefix[:len(prefix)-1]
}

// SharedTokens returns the tokens of a prompt's shared parts.
func SharedTokens(prefix []messenger.PromptPart) identifier.Tokens {
	var sum identifier.Tokens
	for _, p := range shared(prefix) {
		sum += min(p.Tokens, math.MaxInt32)
	}
	return sum
}
