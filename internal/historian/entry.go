package historian

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Stamp is an instant of the hybrid logical clock of a node.
type Stamp struct {
	Time  timekeeper.Time `json:"time_ms"`
	Count uint32          `json:"count"`
	// VM is the node that made the stamp.
	VM identifier.VMID `json:"node"`
}

// Compare orders stamps: it returns a negative number where s comes before t,
// a positive one where it comes after. Ties are broken by VM.
func (s Stamp) Compare(t Stamp) int {
	return cmp.Or(
		cmp.Compare(s.Time, t.Time),
		cmp.Compare(s.Count, t.Count),
		cmp.Compare(s.VM, t.VM),
	)
}

// Entry is an event on the time line.
type Entry struct {
	Stamp   `json:"stamp"`
	Kind    messenger.TimelineKind   `json:"kind"`
	Request identifier.RequestID     `json:"request,omitempty"`
	Attempt identifier.AttemptNumber `json:"attempt,omitempty"`
	// VM is the VM that the event is about; Stamp.VM is the node that saw it.
	VM     identifier.VMID `json:"vm,omitempty"`
	Detail string          `json:"detail,omitempty"`
}

// Filter chooses entries. Zero fields let everything through.
type Filter struct {
	Request identifier.RequestID
	// VM is the VM that the event is about, or the node that saw it.
	VM   identifier.VMID
	Kind messenger.TimelineKind
	// After leaves out entries up to and with this stamp.
	After Stamp
}

// Match reports whether f lets e through.
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

func (f Filter) appendTo(found, entries []Entry) []Entry {
	for _, e := range entries {
		if f.Match(e) {
			found = append(found, e)
		}
	}
	return found
}

// Merge returns the entries of several time lines in causal order, each once.
func Merge(lines [][]Entry) []Entry {
	all := slices.Concat(lines...)
	slices.SortStableFunc(all, func(a, b Entry) int { return a.Stamp.Compare(b.Stamp) })
	return slices.CompactFunc(all, func(a, b Entry) bool { return a.Stamp == b.Stamp })
}
