package gossiper

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// everyIncarnation makes a mark cover all incarnations: the VM itself is
	// leaving.
	everyIncarnation identifier.Incarnation = math.MaxUint64
	// estimatedNotice is the assumed time until a VM leaves if the list shows
	// it as leaving and no notice has given its deadline.
	estimatedNotice = 10 * timekeeper.Second
	// deadlineTolerance is the difference by which a deadline must be earlier
	// to be forwarded as a change. Deadlines drift by the transit time of
	// each message.
	deadlineTolerance = 250 * timekeeper.Millisecond
	// markRetention is the minimum time for which a mark is retained after
	// its deadline.
	markRetention = timekeeper.Hour
)

// mark records that a VM is leaving.
//
// It guards against the lag of the list, which would show a server as live
// again after its notice: new work would be sent to it and be interrupted. It
// is sufficient to retain a mark until the list no longer shows the VM, as VM
// ids are never reused.
type mark struct {
	vm identifier.VMID
	// through is the last incarnation that the mark covers.
	through  identifier.Incarnation
	deadline timekeeper.Time
	// estimated reports whether the deadline is not from a notice.
	estimated bool
	sends     int
}

func (mk *mark) covers(i identifier.Incarnation) bool { return i <= mk.through }

// expired reports whether the VM must have been removed by now.
func (mk *mark) expired(now timekeeper.Time) bool {
	return !mk.estimated && now.After(mk.deadline.Add(removalGrace))
}

// merge merges another mark of the VM and reports whether the result has to
// be forwarded.
func (mk *mark) merge(other mark) bool {
	changed := false
	if other.through > mk.through {
		mk.through = other.through
		changed = true
	}
	switch {
	case mk.estimated && !other.estimated:
		mk.deadline = other.deadline
		mk.estimated = false
		return true
	case mk.estimated == other.estimated && other.deadline.Before(mk.deadline):
		changed = changed || mk.deadline.Sub(other.deadline) > deadlineTolerance
		mk.deadline = other.deadline
	}
	return changed
}

// MarkLeaving marks the present incarnation of a node, or a backend server
// permanently, as leaving by the deadline. Of several deadlines the earliest
// applies. The mark is sent with the next Tick.
func (m *Members) MarkLeaving(now timekeeper.Time, vm identifier.VMID, deadline timekeeper.Time) []Change {
	changes := m.advance(now)
	through := everyIncarnation
	if r := m.nodes.get(vm); r != nil {
		through = r.Incarnation
	}
	return append(changes, m.addMark(now, mark{
		vm:       vm,
		through:  through,
		deadline: deadline,
	})...)
}

// MarkReclaimed permanently marks a VM as leaving, whatever process it runs.
// It is meant for reclaim notices: a process that starts on an entry VM after
// the notice is leaving too.
func (m *Members) MarkReclaimed(now timekeeper.Time, vm identifier.VMID, deadline timekeeper.Time) []Change {
	changes := m.advance(now)
	return append(changes, m.addMark(now, mark{
		vm:       vm,
		through:  everyIncarnation,
		deadline: deadline,
	})...)
}

func (m *Members) addMark(now timekeeper.Time, mk mark) []Change {
	known := m.marks.get(mk.vm)
	switch {
	case known == nil:
		m.evictMark()
		known = &mk
		m.marks.put(mk.vm, known)
	case !known.merge(mk):
		return nil
	}
	known.sends = 0
	m.urgent = true
	return m.applyMark(now, known)
}

// applyMark applies a new or changed mark to its VM.
func (m *Members) applyMark(now timekeeper.Time, mk *mark) []Change {
	if s := m.servers.get(mk.vm); s != nil {
		s.markLeaving(mk)
		return []Change{s.change(ServerLeaving)}
	}
	r := m.nodes.get(mk.vm)
	if r == nil || !mk.covers(r.Incarnation) || r.State == Dead {
		return nil
	}
	r.LeaveBy = mk.deadline
	r.State = Leaving
	m.version++
	return []Change{r.change(NodeLeaving)}
}

// evictMark removes the mark with the earliest deadline if the table is full.
func (m *Members) evictMark() {
	if !m.marks.full() {
		return
	}
	marks := m.marks.values()
	earliest := marks[0]
	for _, mk := range marks[1:] {
		if mk.deadline.Before(earliest.deadline) {
			earliest = mk
		}
	}
	m.marks.remove(earliest.vm)
	m.marks.dropped++
}

// removeExpiredMarks removes marks after their retention if the VM is no
// longer known. The list must have been read since the deadline: a mark stays
// while the list is unavailable or still shows the VM.
func (m *Members) removeExpiredMarks(now timekeeper.Time) {
	for _, mk := range m.marks.values() {
		if now.Sub(mk.deadline) < markRetention || m.listAsOf.Before(mk.deadline) {
			continue
		}
		r := m.nodes.get(mk.vm)
		if m.servers.get(mk.vm) == nil && m.seeds.get(mk.vm) == nil && (r == nil || r.State == Dead) {
			m.marks.remove(mk.vm)
		}
	}
}
