// Package summarizer bounds the log lines of events that come in crowds: the
// first of a kind in a while are written one by one, and the others are counted
// and summed up in one line with the names that they are about.
//
// When all nodes start, each of them hears of every other and of every server:
// 195 nodes wrote 67,000 lines in eight seconds, all at the moment at which they
// have most else to do. With the bound a node writes some dozens, and each event
// is still found by its name while no more than a few dozen come at a time.
//
// Everything is pure: time is an argument. Nothing is safe for concurrent use.
package summarizer

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// window is the time over which events of a kind are counted together: short
	// enough for a sum to be read beside the lines of what it led to.
	window = 2 * timekeeper.Second
	// singleLines is how many events of a kind in a window have a line of their
	// own. An availability zone loses some ten servers at a time.
	singleLines = 12
	// maxNames bounds the VMs that a sum names.
	maxNames = 24
)

// Sum is the events of a kind that have no line of their own.
type Summary struct {
	Kind  messenger.TimelineKind
	Count int
	// VMs are those that the events are about, the first of them only where they
	// are many, in the order in which they came.
	VMs   []identifier.VMID
	Since timekeeper.Time
}

// Summarizer counts the events of each kind.
type Summarizer struct {
	kinds map[messenger.TimelineKind]*crowd
}

// crowd is the events of one kind in the present window.
type crowd struct {
	since timekeeper.Time
	lines int
	sum   Summary
}

// New returns a Summarizer that has counted nothing.
func New() *Summarizer { return &Summarizer{kinds: map[messenger.TimelineKind]*crowd{}} }

// Admit reports whether an event about a VM has a line of its own. One that has
// none is counted in a sum.
func (s *Summarizer) Admit(now timekeeper.Time, kind messenger.TimelineKind, vm identifier.VMID) bool {
	c := s.kinds[kind]
	if c == nil {
		c = &crowd{since: now}
		s.kinds[kind] = c
	}
	if c.lines < singleLines {
		c.lines++
		return true
	}
	if c.sum.Count == 0 {
		c.sum = Summary{
			Kind:  kind,
			Since: now,
		}
	}
	c.sum.Count++
	if len(c.sum.VMs) < maxNames {
		c.sum.VMs = append(c.sum.VMs, vm)
	}
	return false
}

// Due returns the sums of the windows that are over, by kind.
func (s *Summarizer) Due(now timekeeper.Time) []Summary {
	var due []Summary
	for _, kind := range slices.Sorted(maps.Keys(s.kinds)) {
		c := s.kinds[kind]
		if now.Sub(c.since) < window {
			continue
		}
		delete(s.kinds, kind)
		if c.sum.Count > 0 {
			due = append(due, c.sum)
		}
	}
	return due
}
