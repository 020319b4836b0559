// Package historian keeps the time line of events of one node and merges the
// time lines of several nodes in causal order.
//
// Every entry bears a stamp of a hybrid logical clock: wall time, and a count
// that breaks ties. Nodes put their stamp on each message to a peer, and the
// receiver moves its clock past it, so an entry that was caused by another
// has the larger stamp, even where the wall clocks of the two VMs differ.
//
// The time line is a ring of fixed size. It forgets the oldest entries and
// counts them.
package historian

import (
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// DefaultCapacity is the number of entries kept when the Config names none.
	DefaultCapacity = 4096
	// MaxAhead is how far ahead of the own clock a peer's stamp may be.
	MaxAhead = timekeeper.Minute
)

// Config says whose time line a Historian keeps.
type Config struct {
	Self  identifier.VMID
	Clock timekeeper.Clock
	// Capacity is the number of entries kept.
	Capacity int
}

// Historian keeps the time line of one node. It is safe for concurrent use.
type Historian struct {
	self  identifier.VMID
	clock timekeeper.Clock

	mu      sync.Mutex
	last    Stamp
	ring    []Entry
	next    int
	full    bool
	dropped uint64
	ahead   uint64
}

// New returns an empty time line.
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

// Record puts an event on the time line and returns the entry made of it.
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

// Stamp returns a fresh stamp, for a message that is about to leave.
func (h *Historian) Stamp() Stamp {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.advance()
}

// Observe moves the clock past the stamp of a message that arrived.
//
// A stamp far in the future is left out. Otherwise one VM with a wrong wall
// clock would drag the time lines of all nodes along for good; left out, only
// the order towards that VM is lost.
func (h *Historian) Observe(s Stamp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Time.After(h.clock.Now().Add(MaxAhead)) {
		h.ahead++
		return
	}
	if s.Time.After(h.last.Time) || s.Time == h.last.Time && s.Count > h.last.Count {
		h.last.Time = s.Time
		h.last.Count = s.Count
	}
}

// Entries returns the entries that f lets through, oldest first.
func (h *Historian) Entries(f Filter) []Entry {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []Entry
	if h.full {
		found = f.appendTo(found, h.ring[h.next:])
	}
	return f.appendTo(found, h.ring[:h.next])
}

// Counts tells what a time line left out.
type Counts struct {
	// Dropped entries were the oldest when the ring was full.
	Dropped uint64 `json:"dropped"`
	// Ahead stamps of peers were too far in the future to be observed.
	Ahead uint64 `json:"ahead"`
}

// Counts returns what the time line has left out so far.
func (h *Historian) Counts() Counts {
	h.mu.Lock()
	defer h.mu.Unlock()
	return Counts{
		Dropped: h.dropped,
		Ahead:   h.ahead,
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
