package prover

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxPartCrashes is the number of servers that a part may crash before all nodes must
	// refuse its requests, within quarantineDelay, but for maxLateSends.
	maxPartCrashes = 5
	// soundRecovery is the time after that crash from which sound requests must be served at
	// least minSoundRatio times as often as before.
	soundRecovery = 2 * quarantineDelay
	minSoundRatio = 0.5
	// firstPart is in all prompts but those of otherFirstPart.
	firstPart      identifier.PrefixHash = 0xf
	otherFirstPart identifier.PrefixHash = 0xe
	// documents is the number of parts that sound requests share in twos and threes.
	documents = 8
)

// promptParts holds the prompts of requests, and the parts that crash servers.
type promptParts struct {
	enabled  bool
	prefixes map[identifier.ExchangeID][]messenger.PromptPart
	// crashing are the parts that crash each server that begins to answer. began has the
	// server begin its answer first.
	crashing map[identifier.PrefixHash]bool
	began    bool
	// crashes counts the servers that each part crashed, and crashedAt is the time at which
	// that reached maxPartCrashes. lateSends are those quarantineDelay after it.
	crashes   map[identifier.PrefixHash]int
	crashedAt map[identifier.PrefixHash]timekeeper.Time
	lastCrash timekeeper.Time
	lateSends map[identifier.PrefixHash]int
	// received holds the times at which sound requests were received, and condemned counts
	// those that were refused because servers ended.
	received  map[identifier.ExchangeID]timekeeper.Time
	condemned int
}

// sendPrompts has all requests have prompts of several parts.
func (cl *exchangeCluster) sendPrompts() {
	cl.parts = promptParts{
		enabled:   true,
		prefixes:  map[identifier.ExchangeID][]messenger.PromptPart{},
		crashing:  map[identifier.PrefixHash]bool{},
		crashes:   map[identifier.PrefixHash]int{},
		crashedAt: map[identifier.PrefixHash]timekeeper.Time{},
		lateSends: map[identifier.PrefixHash]int{},
		received:  map[identifier.ExchangeID]timekeeper.Time{},
	}
}

// sendPrompt sends a request with the given parts and a last one of its own to a random node.
func (cl *exchangeCluster) sendPrompt(shared ...identifier.PrefixHash) {
	n := cl.anyReady()
	if n == nil {
		return
	}
	cl.lastExchange++
	x := cl.lastExchange
	id := identifier.RequestID(fmt.Sprintf("p-%d", x))
	prefix := cl.promptOf(x, shared)
	cl.repetitions[id] = catalog.Resumable
	cl.requests[x] = id
	cl.contents[id] = contentOf(id)
	cl.requestedAt[x] = cl.now
	cl.apply(n, messenger.ExchangeReceived{
		Spec: messenger.ExchangeSpec{
			Exchange:     x,
			Request:      id,
			Host:         "api.example",
			Path:         "/" + string(catalog.Resumable) + "/1",
			Key:          "secret",
			Received:     cl.now,
			TimeLimit:    5 * timekeeper.Second,
			PromptTokens: 100 * identifier.Tokens(len(prefix)),
			MaxTokens:    20,
			Prefix:       prefix,
			Content:      contentOf(id),
		},
	})
}

// promptOf returns the prompt of an exchange: the given parts and a last one of its own.
func (cl *exchangeCluster) promptOf(x identifier.ExchangeID, shared []identifier.PrefixHash) []messenger.PromptPart {
	if !cl.parts.enabled {
		return nil
	}
	var prefix []messenger.PromptPart
	for _, hash := range append(slices.Clone(shared), identifier.PrefixHash(1_000_000+x)) {
		prefix = append(prefix, messenger.PromptPart{
			Hash:   hash,
			Tokens: 100,
		})
	}
	cl.parts.prefixes[x] = prefix
	if cl.crashingPart(x) == 0 {
		cl.parts.received[x] = cl.now
	}
	return prefix
}

// sendSoundPrompt sends a request whose parts crash no server.
func (cl *exchangeCluster) sendSoundPrompt() { cl.sendPrompt(cl.soundParts()...) }

// soundParts returns parts of prompts that crash no server.
func (cl *exchangeCluster) soundParts() []identifier.PrefixHash {
	if !cl.parts.enabled {
		return nil
	}
	return []identifier.PrefixHash{firstPart, identifier.PrefixHash(0x100 + cl.rng.IntN(documents))}
}

// sendCrashing sends requests with the given parts periodically. The first of them crashes
// servers from then on.
func (cl *exchangeCluster) sendCrashing(from, spacing timekeeper.Duration, crashing identifier.PrefixHash, shared ...identifier.PrefixHash) {
	cl.at(from, func() { cl.parts.crashing[crashing] = true })
	for at := from; at < exchangeRunTime; at += spacing {
		cl.at(at, func() { cl.sendPrompt(shared...) })
	}
}

// crashingPart returns the first part of an exchange's prompt that crashes servers, or zero.
func (cl *exchangeCluster) crashingPart(x identifier.ExchangeID) identifier.PrefixHash {
	for _, p := range messenger.SharedParts(cl.parts.prefixes[x]) {
		if cl.parts.crashing[p.Hash] {
			return p.Hash
		}
	}
	return 0
}

// beginPrompt has a server crash if the prompt has a part that crashes servers.
func (cl *exchangeCluster) beginPrompt(f *serverAttempt) {
	part := cl.crashingPart(f.e.Exchange)
	if part == 0 {
		return
	}
	p := &cl.parts
	if crashedAt := p.crashedAt[part]; crashedAt != 0 && cl.now.Sub(crashedAt) > quarantineDelay && cl.undisturbed(f.n) {
		p.lateSends[part]++
		if p.lateSends[part] == maxLateSends+1 {
			cl.violatef("%s sends a part under which %d servers had ended, once too often since all know", f.n.vm, maxPartCrashes)
		}
	}
	cl.after(crashDelay, func() {
		if f.ended || cl.ended[f.e.Server] {
			return
		}
		p.crashes[part]++
		p.lastCrash = cl.now
		if p.crashes[part] == maxPartCrashes {
			p.crashedAt[part] = cl.now
		}
		if p.began {
			cl.apply(f.n, messenger.ExchangeBegan{
				Exchange: f.e.Exchange,
				Attempt:  f.e.Attempt,
			})
		}
		cl.endServer(f.e.Server)
	})
}

// soundShare returns the share of the sound requests that were served of those received in a
// time.
func (cl *exchangeCluster) soundShare(from, until timekeeper.Time) (c servedCounts) {
	for x, at := range cl.parts.received {
		if at.Before(from) || !at.Before(until) {
			continue
		}
		c.received++
		if cl.partition.served[x] {
			c.served++
		}
	}
	return c
}

// partCluster returns a cluster whose sound requests share their first part and, some of them,
// a second one.
func partCluster(t testing.TB, seed uint64, nodes, servers int) *exchangeCluster {
	cl := newSizedCluster(t, seed, clusterSize{
		nodes:           nodes,
		servers:         servers,
		requestInterval: exchangeInterval,
		tokensPerSecond: 1e6,
		nodesListed:     true,
	})
	cl.serviceTime = 150
	cl.sendPrompts()
	cl.recordDisturbances()
	return cl
}

// partCase is what crashes servers, from crashesFrom on.
type partCase struct {
	name   string
	inject func(*exchangeCluster)
	// parts are those that crash servers.
	parts []identifier.PrefixHash
}

const crashesFrom = 8 * timekeeper.Second

var partCases = []partCase{
	{
		name: "a middle part",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 250, 0xbad, firstPart, 0xbad)
		},
		parts: []identifier.PrefixHash{0xbad},
	},
	{
		name: "a middle part, after the answer has begun",
		inject: func(cl *exchangeCluster) {
			cl.parts.began = true
			cl.sendCrashing(crashesFrom, 250, 0xbad, firstPart, 0xbad)
		},
		parts: []identifier.PrefixHash{0xbad},
	},
	{
		name: "a middle part, rarely",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 900, 0xbad, firstPart, 0xbad)
		},
		parts: []identifier.PrefixHash{0xbad},
	},
	{
		name: "the first part",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 250, otherFirstPart, otherFirstPart, 0x101)
		},
		parts: []identifier.PrefixHash{otherFirstPart},
	},
	{
		name: "a part that was served before",
		inject: func(cl *exchangeCluster) {
			for at := timekeeper.Duration(3500); at < crashesFrom-500; at += 300 {
				cl.at(at, func() { cl.sendPrompt(firstPart, 0xbad) })
			}
			cl.sendCrashing(crashesFrom, 250, 0xbad, firstPart, 0xbad)
		},
		parts: []identifier.PrefixHash{0xbad},
	},
	{
		name: "two parts at once",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 300, 0xbad, firstPart, 0xbad)
			cl.sendCrashing(crashesFrom+100, 300, 0xbad2, firstPart, 0x102, 0xbad2)
		},
		parts: []identifier.PrefixHash{0xbad, 0xbad2},
	},
	{
		name: "two parts that are always together",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 250, 0xbad, firstPart, 0xbad, 0xbad2)
		},
		parts: []identifier.PrefixHash{0xbad},
	},
	{
		name: "many at one moment",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 500, 0xbad, firstPart, 0xbad)
			for range 10 {
				cl.at(crashesFrom, func() { cl.sendPrompt(firstPart, 0xbad) })
			}
		},
		parts: []identifier.PrefixHash{0xbad},
	},
	{
		name: "beside servers that end by themselves",
		inject: func(cl *exchangeCluster) {
			cl.sendCrashing(crashesFrom, 250, 0xbad, firstPart, 0xbad)
			for at := timekeeper.Duration(4000); at < exchangeRunTime; at += 1000 {
				cl.at(at, cl.endAnyServer)
			}
		},
		parts: []identifier.PrefixHash{0xbad},
	},
}

// checkParts verifies that the crashing parts were refused in time and that sound requests were
// served.
func (cl *exchangeCluster) checkParts(parts []identifier.PrefixHash) {
	p := &cl.parts
	for _, part := range parts {
		if p.crashes[part] == 0 {
			cl.violatef("part %x crashed no server", part)
		}
	}
	before := cl.soundShare(exchangeStart.Add(3500), exchangeStart.Add(crashesFrom))
	fifth := p.lastCrash
	for _, at := range p.crashedAt {
		fifth = min(fifth, at)
	}
	after := cl.soundShare(fifth.Add(soundRecovery), exchangeStart.Add(exchangeRunTime-timekeeper.Second))
	if after.share() < minSoundRatio*before.share() {
		cl.violatef("%d of %d sound requests are served, %d of %d before", after.served, after.received, before.served, before.received)
	}
	if p.condemned > 0 {
		cl.violatef("%d sound requests are refused because servers ended", p.condemned)
	}
}

// Guards against requests with a common part that crash one server after the other.
func TestPartThatCrashesServers(t *testing.T) {
	for _, test := range partCases {
		for _, nodes := range clusterSizes() {
			t.Run(fmt.Sprintf("%s/%d nodes", test.name, nodes), func(t *testing.T) {
				for seed := range uint64(max(12/nodes/cellStride, 1)) {
					cl := partCluster(t, seed, nodes, 24)
					test.inject(cl)
					cl.run()
					cl.checkParts(test.parts)
					require.Empty(t, cl.violations, "seed %d, %v", seed, cl.parts.crashes)
				}
			})
		}
	}
}

// partFaults are what happens to nodes while a part crashes servers.
var partFaults = []exchangeFault{
	{
		name: "all nodes are killed once they refuse it",
		inject: func(cl *exchangeCluster) {
			cl.at(crashesFrom+5000, func() { cl.killNodes(1, 500) })
		},
	},
	{
		name: "a node is killed each second",
		inject: func(cl *exchangeCluster) {
			for i := range 12 {
				cl.at(crashesFrom+timekeeper.Duration(1000*i), func() { cl.kill(cl.nodes[exchangeNode(i%cl.size.nodes)], 700) })
			}
		},
	},
	{
		name: "some nodes are cut off",
		inject: func(cl *exchangeCluster) {
			cl.at(crashesFrom-1000, func() { cl.cutOff(true) })
			cl.at(crashesFrom+5000, func() { cl.cutOff(false) })
		},
	},
}

// testCrashingPart plays a part that crashes servers beside a fault.
func testCrashingPart(t *testing.T, name string, inject func(cl *exchangeCluster, seed uint64)) {
	t.Run(name, func(t *testing.T) {
		for seed := range max(uint64(4/cellStride), 1) {
			cl := partCluster(t, seed, 6, 24)
			cl.sendCrashing(crashesFrom, 250, 0xbad, firstPart, 0xbad)
			inject(cl, seed)
			cl.run()
			require.Empty(t, cl.violations, "seed %d, %v", seed, cl.parts.crashes)
		}
	})
}

// Guards against parts that crash servers again after restarts and partitions.
func TestCrashingPartDuringFaults(t *testing.T) {
	for _, fault := range partFaults {
		testCrashingPart(t, fault.name, func(cl *exchangeCluster, _ uint64) { fault.inject(cl) })
	}
	for _, fault := range exchangeFaults {
		testCrashingPart(t, fault.name, func(cl *exchangeCluster, seed uint64) {
			cl.at(crashesFrom+timekeeper.Duration(400*seed), func() { fault.inject(cl) })
		})
	}
}

// Guards against refusals of parts that are on servers which end by themselves.
func TestSoundPartsAreServed(t *testing.T) {
	for _, test := range []struct {
		name   string
		inject func(*exchangeCluster)
	}{
		{
			name: "one server in a second",
			inject: func(cl *exchangeCluster) {
				for at := timekeeper.Duration(4000); at < exchangeRunTime; at += 1000 {
					cl.at(at, cl.endAnyServer)
				}
			},
		},
		{
			name: "three servers in a second",
			inject: func(cl *exchangeCluster) {
				for at := timekeeper.Duration(4000); at < exchangeRunTime; at += 330 {
					cl.at(at, cl.endAnyServer)
				}
			},
		},
		{
			name: "most servers at once, and again",
			inject: func(cl *exchangeCluster) {
				for at := timekeeper.Duration(6000); at < exchangeRunTime; at += 1700 {
					cl.at(at, func() {
						for range 4 {
							cl.endAnyServer()
						}
					})
				}
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			condemned := 0
			for seed := range uint64(40 / cellStride) {
				cl := partCluster(t, seed, 4, 6)
				test.inject(cl)
				cl.run()
				condemned += cl.parts.condemned
			}
			require.Zero(t, condemned)
		})
	}
}
