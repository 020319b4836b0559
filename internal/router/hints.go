package router

import (
	"container/list"
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// BlockTokens is the number of prompt tokens covered by one prefix hash.
const BlockTokens identifier.Tokens = 64

// Defaults of HintsConfig.
const (
	DefaultHintsPerServer = 2048
	DefaultHintsTotal     = 16384
	DefaultHintHalfLife   = 5 * timekeeper.Minute
)

const (
	// reportedConfidence is the confidence in a block that the server itself reported.
	reportedConfidence = 1.0
	// routedConfidence is the confidence in a block of a prompt that this node sent to
	// the server, before the server reports it.
	routedConfidence = 0.8
	// gapFactor is the factor on the confidence for each gap in a server's cache
	// events, which may have been evictions.
	gapFactor = 0.5
)

// HintsConfig bounds a table of hints. Zero fields select the defaults.
type HintsConfig struct {
	// PerServer and Total bound the number of blocks, per server and over all servers.
	PerServer int
	Total     int
	// HalfLife is the age at which the confidence in a hint is halved.
	HalfLife timekeeper.Duration
}

func (c HintsConfig) withDefaults() HintsConfig {
	if c.PerServer <= 0 {
		c.PerServer = DefaultHintsPerServer
	}
	if c.Total <= 0 {
		c.Total = DefaultHintsTotal
	}
	if c.HalfLife <= 0 {
		c.HalfLife = DefaultHintHalfLife
	}
	return c
}

// Hints estimates which prompt prefixes each server has cached. If a bound is exceeded,
// the oldest hint of the server, or of the server with the most hints, is dropped.
type Hints struct {
	config  HintsConfig
	servers map[identifier.VMID]*serverHints
	count   int
	dropped uint64
}

// serverHints are the hints of one server, most recent first.
type serverHints struct {
	blocks map[identifier.PrefixHash]*list.Element
	order  *list.List
	// gaps counts the gaps in the server's cache events.
	gaps int
}

// hint is one block that a server may have cached.
type hint struct {
	hash       identifier.PrefixHash
	updatedAt  timekeeper.Time
	confidence float64
	// gaps is the value of serverHints.gaps when the hint was updated.
	gaps int
}

// NewHints returns an empty table.
func NewHints(c HintsConfig) *Hints {
	return &Hints{
		config:  c.withDefaults(),
		servers: make(map[identifier.VMID]*serverHints),
	}
}

// Observe applies a server's cache events. A gap before them halves the confidence in
// all earlier hints of the server.
func (h *Hints) Observe(now timekeeper.Time, server identifier.VMID, cached, evicted []identifier.PrefixHash, gap bool) {
	s := h.server(server)
	if gap {
		s.gaps++
	}
	for _, hash := range cached {
		h.put(s, now, hash, reportedConfidence)
	}
	for _, hash := range evicted {
		h.remove(s, hash)
	}
}

// Routed records that a prompt with this prefix was sent to the server.
func (h *Hints) Routed(now timekeeper.Time, server identifier.VMID, prefix []identifier.PrefixHash) {
	s := h.server(server)
	for _, hash := range prefix {
		h.put(s, now, hash, max(routedConfidence, s.confidence(now, hash, h.config.HalfLife)))
	}
}

// CachedTokens returns the expected number of leading prompt tokens that the server has
// cached. The confidence in a block is at most that in the block before it, because an
// engine can use only an unbroken prefix.
func (h *Hints) CachedTokens(now timekeeper.Time, server identifier.VMID, prefix []identifier.PrefixHash) identifier.Tokens {
	s, ok := h.servers[server]
	if !ok {
		return 0
	}
	blocks, confidence := 0.0, 1.0
	for _, hash := range prefix {
		confidence = min(confidence, s.confidence(now, hash, h.config.HalfLife))
		if confidence == 0 {
			break
		}
		blocks += confidence
	}
	return identifier.Tokens(blocks * float64(BlockTokens))
}

// Forget drops all hints of a removed server.
func (h *Hints) Forget(server identifier.VMID) {
	if s, ok := h.servers[server]; ok {
		h.count -= len(s.blocks)
		delete(h.servers, server)
	}
}

// Len returns the number of hints.
func (h *Hints) Len() int { return h.count }

// Dropped returns the number of hints dropped so far because a bound was exceeded.
func (h *Hints) Dropped() uint64 { return h.dropped }

func (h *Hints) server(id identifier.VMID) *serverHints {
	s, ok := h.servers[id]
	if !ok {
		s = &serverHints{
			blocks: make(map[identifier.PrefixHash]*list.Element),
			order:  list.New(),
		}
		h.servers[id] = s
	}
	return s
}

func (h *Hints) put(s *serverHints, now timekeeper.Time, hash identifier.PrefixHash, confidence float64) {
	fresh := hint{
		hash:       hash,
		updatedAt:  now,
		confidence: confidence,
		gaps:       s.gaps,
	}
	if e, ok := s.blocks[hash]; ok {
		*e.Value.(*hint) = fresh
		s.order.MoveToFront(e)
		return
	}
	s.blocks[hash] = s.order.PushFront(&fresh)
	h.count++
	if len(s.blocks) > h.config.PerServer {
		h.dropOldest(s)
	}
	if h.count > h.config.Total {
		h.dropOldest(h.largest())
	}
}

func (h *Hints) remove(s *serverHints, hash identifier.PrefixHash) {
	if e, ok := s.blocks[hash]; ok {
		s.order.Remove(e)
		delete(s.blocks, hash)
		h.count--
	}
}

func (h *Hints) dropOldest(s *serverHints) {
	h.remove(s, s.order.Back().Value.(*hint).hash)
	h.dropped++
}

// largest returns the server with the most hints; ties go to the lowest id.
func (h *Hints) largest() *serverHints {
	var largest *serverHints
	var largestID identifier.VMID
	for id, s := range h.servers {
		if largest == nil || len(s.blocks) > len(largest.blocks) ||
			len(s.blocks) == len(largest.blocks) && id < largestID {
			largest, largestID = s, id
		}
	}
	return largest
}

// confidence returns the probability that the server still has the block cached.
func (s *serverHints) confidence(now timekeeper.Time, hash identifier.PrefixHash, halfLife timekeeper.Duration) float64 {
	e, ok := s.blocks[hash]
	if !ok {
		return 0
	}
	entry := e.Value.(*hint)
	age := float64(max(now.Sub(entry.updatedAt), 0)) / float64(halfLife)
	return entry.confidence * math.Exp2(-age) * math.Pow(gapFactor, float64(s.gaps-entry.gaps))
}
