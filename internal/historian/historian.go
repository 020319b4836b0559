// Package historian records a timeline of the events of one node and merges
// the timelines of several nodes in causal order.
//
// Every entry has a stamp of a hybrid logical clock: wall time, and a counter
// that breaks ties. Nodes add a stamp to each message to a peer, and the
// receiver advances its clock past it. An entry that was caused by another
// therefore has the larger stamp, even if the wall clocks of the two VMs differ.
//
// The timeline is a ring buffer of fixed size. It overwrites the oldest entries
// and counts how many were lost.
package historian

import (
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// DefaultCapacity is the number of entries kept if Config.Capacity is not
	// positive.
	DefaultCapacity = 4096
	// MaxClockSkew bounds how far a peer's stamp may be ahead of the local clock.
	MaxClockSkew = timekeeper.Minute
)

// Config holds the parameters of New.
type Config struct {
	Self  identifier.VMID
	Clock timekeeper.Clock
	// Capacity is the number of entries kept. The default is DefaultCapacity.
	Capacity int
}

// Historian records the timeline of one node. It is safe for concurrent use.
type Historian struct {
	self  identifier.VMID
	clock timekeeper.Clock

	mu       sync.Mutex
	last     Stamp
	ring     []Entry
	next     int
	full     bool
	dropped  uint64
	rejected uint64
}

// New returns a Historian without entries.
func New(c Config) *Historian {
	if c.Capacity <= 0 {
		c.Capacity = DefaultCapacity
	}
	return &Historian{
		self:  c.Self,
		clock: c.Clock,
		ring:  make([]Entry, c.Capacity),
	}
}

// Record adds an event to the timeline and returns its stamped entry.
func (h *Historian) Record(n messenger.TimelineEntry) Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := Entry{
		Stamp:   h.advance(),
		Kind:    n.Kind,
		Request: n.Request,
		Attempt: n.Attempt,
		VM:      n.VM,
		Detail:  n.Detail,
	}
	if h.full {
		h.dropped++
	}
	h.ring[h.next] = e
	h.next++
	if h.next == len(h.ring) {
		h.next = 0
		h.full = true
	}
	return e
}

// Stamp advances the clock and returns a stamp for an outgoing message.
func (h *Historian) Stamp() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.advance()
}

// Observe advances the clock to the stamp of a received message, so that later
// local stamps are larger.
//
// A stamp more than MaxClockSkew ahead is ignored. Otherwise one VM with a wrong
// wall clock would permanently advance the clocks of all nodes. Ignoring it only
// loses the causal order relative to that VM.
func (h *Historian) Observe(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Time.After(h.clock.Now().Add(MaxClockSkew)) {
		h.rejected++
		return
	}
	if s.Time.After(h.last.Time) || s.Time == h.last.Time && s.Count > h.last.Count {
		h.last.Time = s.Time
		h.last.Count = s.Count
	}
}

// Entries returns the entries that match f, oldest first.
func (h *Historian) Entries(f Filter) []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var matches []Entry
	if h.full {
		matches = f.appendMatches(matches, h.ring[h.next:])
	}
	return f.appendMatches(matches, h.ring[:h.next])
}

// Counts holds the numbers of entries and stamps that were discarded.
type Counts struct {
	// DroppedEntries is the number of entries overwritten by newer ones.
	DroppedEntries uint64 `json:"dropped"`
	// RejectedStamps is the number of peers' stamps that exceeded MaxClockSkew.
	RejectedStamps uint64 `json:"ahead"`
}

// Counts returns the totals since the Historian was created.
func (h *Historian) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Counts{
		DroppedEntries: h.dropped,
		RejectedStamps: h.rejected,
	}
}

func (h *Historian) advance() Stamp {
	now := h.clock.Now()
	if now.After(h.last.Time) {
		h.last.Time = now
		h.last.Count = 0
	} else {
		h.last.Count++
	}
	return Stamp{
		Time:  h.last.Time,
		Count: h.last.Count,
		VM:    h.self,
	}
}
