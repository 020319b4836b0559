// Package summarizer limits the log lines of bursts of events: the first
// events of a kind are logged individually, and the others are counted and
// logged in one summary that names their VMs.
//
// When all nodes start together, each receives an event for every other node
// and every server at once. Without the limit, logging would take processor
// time at the moment of the node's highest load: 195 nodes wrote 67,000 lines
// in eight seconds.
//
// Everything is deterministic: time is an argument. Nothing is safe for
// concurrent use.
package summarizer

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// window is the time over which events of a kind are counted together. It
	// is short, so that a summary is logged close to the lines of its
	// consequences.
	window = 2 * timekeeper.Second
	// maxSingleLines is the number of events of a kind in a window that are
	// logged individually: more than the servers of a zone that usually leave
	// together.
	maxSingleLines = 12
	// maxNames is the maximum number of VMs in a summary.
	maxNames = 24
)

// Summary describes the events of a kind that were not logged individually.
type Summary struct {
	Kind  messenger.TimelineKind
	Count int
	// VMs are the VMs of the first events, in order of arrival.
	VMs   []identifier.VMID
	Since timekeeper.Time
}

// Summarizer counts the events of each kind.
type Summarizer struct {
	bursts map[messenger.TimelineKind]*burst
}

// burst holds the events of one kind in the present window.
type burst struct {
	start   timekeeper.Time
	lines   int
	summary Summary
}

// New returns a Summarizer without events.
func New() *Summarizer { return &Summarizer{bursts: map[messenger.TimelineKind]*burst{}} }

// Admit reports whether to log an event about a VM individually. Otherwise
// the event is counted in a summary.
func (s *Summarizer) Admit(now timekeeper.Time, kind messenger.TimelineKind, vm identifier.VMID) bool {
	b := s.bursts[kind]
	if b == nil {
		b = &burst{start: now}
		s.bursts[kind] = b
	}
	if b.lines < maxSingleLines {
		b.lines++
		return true
	}
	if b.summary.Count == 0 {
		b.summary = Summary{
			Kind:  kind,
			Since: now,
		}
	}
	b.summary.Count++
	if len(b.summary.VMs) < maxNames {
		b.summary.VMs = append(b.summary.VMs, vm)
	}
	return false
}

// Due returns the summaries of the windows that have ended, sorted by kind.
func (s *Summarizer) Due(now timekeeper.Time) []Summary {
	var due []Summary
	for _, kind := range slices.Sorted(maps.Keys(s.bursts)) {
		b := s.bursts[kind]
		if now.Sub(b.start) < window {
			continue
		}
		delete(s.bursts, kind)
		if b.summary.Count > 0 {
			due = append(due, b.summary)
		}
	}
	return due
}
