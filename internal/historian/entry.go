package historian

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stamp is a timestamp of a node's hybrid logical clock.
type Stamp struct {
	Time  timekeeper.Time `json:"time_ms"`
	Count uint32          `json:"count"`
	// VM is the node that issued the stamp.
	VM identifier.VMID `json:"node"`
}

// Compare returns a negative number if s is before t, a positive one if it is
// after t, and 0 if they are equal. Equal times and counts are ordered by VM.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Time, t.Time),
		cmp.Compare(s.Count, t.Count),
		cmp.Compare(s.VM, t.VM),
	)
}

// Entry is an event on the timeline.
type Entry struct {
	Stamp   `json:"stamp"`
	Kind    messenger.TimelineKind   `json:"kind"`
	Request identifier.RequestID     `json:"request,omitempty"`
	Attempt identifier.AttemptNumber `json:"attempt,omitempty"`
	// VM is the subject of the event; Stamp.VM is the node that recorded it.
	VM     identifier.VMID `json:"vm,omitempty"`
	Detail string          `json:"detail,omitempty"`
}

// Filter selects entries. A zero field matches every entry.
type Filter struct {
	Request identifier.RequestID
	// VM matches the subject of the event or the node that recorded it.
	VM   identifier.VMID
	Kind messenger.TimelineKind
	// After excludes entries up to and including this stamp.
	After Stamp
}

// Match reports whether e meets all conditions of f.
func (f Filter) Match(e Entry) bool {
	switch {
	case f.Request != "" && f.Request != e.Request:
		return false
	case f.VM != "" && f.VM != e.VM && f.VM != e.Stamp.VM:
		return false
	case f.Kind != "" && f.Kind != e.Kind:
		return false
	case f.After != Stamp{} && e.Stamp.Compare(f.After) <= 0:
		return false
	}
	return true
}

func (f Filter) appendMatches(matches, entries []Entry) []Entry {
	for _, e := range entries {
		if f.Match(e) {
			matches = append(matches, e)
		}
	}
	return matches
}

// Merge returns the entries of several timelines in causal order, without
// duplicates.
func Merge(timelines [][]Entry) []Entry {
	all := slices.Concat(timelines...)
	slices.SortStableFunc(all, func(a, b Entry) int { return a.Stamp.Compare(b.Stamp) })
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Stamp == b.Stamp })
}
