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

func (k *mark) covers(i identifier.Incarnation) bool { return i <= k.through }

// expired reports whether the VM must have been removed by now.
func (k *mark) expired(now timekeeper.Time) bool {
	return !k.estimated && now.After(k.deadline.Add(removalGrace))
}

// merge merges another mark of the VM and reports whether the result has to
// be forwarded.
func (k *mark) merge(other mark) bool {
	changed := false
	if other.through > k.through {
		k.through = other.through
		changed = true
	}
	switch {
	case k.estimated && !other.estimated:
		k.deadline = other.deadline
		k.estimated = false
		return true
	case k.estimated == other.estimated && other.deadline.Before(k.deadline):
		changed = changed || k.deadline.Sub(other.deadline) > deadlineTolerance
		k.deadline = other.deadline
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

func (m *Members) addMark(now timekeeper.Time, k mark) []Change {
	known := m.marks.get(k.vm)
	switch {
	case known == nil:
		m.evictMark()
		known = &k
		m.marks.put(k.vm, known)
	case !known.merge(k):
		return nil
	}
	known.sends = 0
	m.urgent = true
	return m.applyMark(now, known)
}

// applyMark applies a new or changed mark to its VM.
func (m *Members) applyMark(now timekeeper.Time, k *mark) []Change {
	if s := m.servers.get(k.vm); s != nil {
		s.markLeaving(k)
		return []Change{s.change(ServerLeaving)}
	}
	r := m.nodes.get(k.vm)
	if r == nil || !k.covers(r.Incarnation) || r.State == Dead {
		return nil
	}
	r.LeaveBy = k.deadline
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
	for _, k := range marks[1:] {
		if k.deadline.Before(earliest.deadline) {
			earliest = k
		}
	}
	m.marks.remove(earliest.vm)
	m.marks.dropped++
}

// removeExpiredMarks removes marks after their retention if the VM is no
// longer known. The list must have been read since the deadline: a mark stays
// while the list is unavailable or still shows the VM.
func (m *Members) removeExpiredMarks(now timekeeper.Time) {
	for _, k := range m.marks.values() {
		if now.Sub(k.deadline) < markRetention || m.listAsOf.Before(k.deadline) {
			continue
		}
		r := m.nodes.get(k.vm)
		if m.servers.get(k.vm) == nil && m.seeds.get(k.vm) == nil && (r == nil || r.State == Dead) {
			m.marks.remove(k.vm)
		}
	}
}
