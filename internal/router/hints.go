package router

import (
	"container/list"
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// BlockTokens is the number of prompt tokens that one prefix hash stands for.
const BlockTokens identifier.Tokens = 64

// The defaults of a HintsConfig.
const (
	DefaultHintsPerServer = 2048
	DefaultHintsTotal     = 16384
	DefaultHintHalfLife   = 5 * timekeeper.Minute
)

const (
	// reportedConfidence is the confidence in a block that the server itself
	// reported.
	reportedConfidence = 1.0
	// routedConfidence is the confidence in a block that this node sent there
	// and of which the server has said nothing yet.
	routedConfidence = 0.8
	// gapFactor is what remains of the confidence after lost events: they may
	// have said that the block was dropped.
	gapFactor = 0.5
)

// HintsConfig bounds a table of hints. Zero fields mean the defaults.
type HintsConfig struct {
	// PerServer and InAll bound the number of blocks remembered.
	PerServer int
	Total     int
	// HalfLife is the age at which a hint counts half.
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

// Hints remembers which server probably has which prompt prefix cached. A
// full table drops the hints learned longest ago, of the server with the most.
type Hints struct {
	config  HintsConfig
	servers map[identifier.VMID]*serverHints
	count   int
	dropped uint64
}

// serverHints are the hints of one server, the one learned last in front.
type serverHints struct {
	blocks map[identifier.PrefixHash]*list.Element
	order  *list.List
	// gaps counts the gaps in the server's cache events so far.
	gaps int
}

// hint is one block that a server may hold.
type hint struct {
	hash       identifier.PrefixHash
	learned    timekeeper.Time
	confidence float64
	// gaps is the server's count of gaps when the hint was learned.
	gaps int
}

// NewHints returns an empty table.
func NewHints(c HintsConfig) *Hints {
	return &Hints{
		config:  c.withDefaults(),
		servers: make(map[identifier.VMID]*serverHints),
	}
}

// Observe takes in a server's cache events. A gap before them halves the
// confidence in all that was known of the server.
func (h *Hints) Observe(now timekeeper.Time, server identifier.VMID, held, gone []identifier.PrefixHash, gap bool) {
	s := h.server(server)
	if gap {
		s.gaps++
	}
	for _, hash := range held {
		h.put(s, now, hash, reportedConfidence)
	}
	for _, hash := range gone {
		h.remove(s, hash)
	}
}

// Routed notes that a prompt with this prefix was sent to the server.
func (h *Hints) Routed(now timekeeper.Time, server identifier.VMID, prefix []identifier.PrefixHash) {
	s := h.server(server)
	for _, hash := range prefix {
		h.put(s, now, hash, max(routedConfidence, s.confidence(now, hash, h.config.HalfLife)))
	}
}

// CachedTokens returns the expected number of leading prompt tokens that the server
// has cached. A block counts no more than the block before it: an engine can
// use only an unbroken prefix.
func (h *Hints) CachedTokens(now timekeeper.Time, server identifier.VMID, prefix []identifier.PrefixHash) identifier.Tokens {
	s, ok := h.servers[server]
	if !ok {
		return 0
	}
	blocks, sure := 0.0, 1.0
	for _, hash := range prefix {
		sure = min(sure, s.confidence(now, hash, h.config.HalfLife))
		if sure == 0 {
			break
		}
		blocks += sure
	}
	return identifier.Tokens(blocks * float64(BlockTokens))
}

// Forget drops all hints of a server.
func (h *Hints) Forget(server identifier.VMID) {
	if s, ok := h.servers[server]; ok {
		h.count -= len(s.blocks)
		delete(h.servers, server)
	}
}

// Len returns the number of hints, Dropped how many were dropped for lack of
// room so far.
func (h *Hints) Len() int { return h.count }

// Dropped returns how many hints were dropped for lack of room so far.
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
		learned:    now,
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

// largest returns the server with the most hints; of several, the one whose
// id sorts first.
func (h *Hints) largest() *serverHints {
	var found *serverHints
	var foundID identifier.VMID
	for id, s := range h.servers {
		if found == nil || len(s.blocks) > len(found.blocks) ||
			len(s.blocks) == len(found.blocks) && id < foundID {
			found, foundID = s, id
		}
	}
	return found
}

// confidence is the chance that the server still holds the block.
func (s *serverHints) confidence(now timekeeper.Time, hash identifier.PrefixHash, halfLife timekeeper.Duration) float64 {
	e, ok := s.blocks[hash]
	if !ok {
		return 0
	}
	k := e.Value.(*hint)
	age := float64(max(now.Sub(k.learned), 0)) / float64(halfLife)
	return k.confidence * math.Exp2(-age) * math.Pow(gapFactor, float64(s.gaps-k.gaps))
}
