package gossiper

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// everyIncarnation is the reach of a mark on the VM itself.
	everyIncarnation identifier.Incarnation = math.MaxUint64
	// listNotice is the time that a VM is taken to have left when the list
	// shows it leaving and no notice told its deadline.
	listNotice = 10 * timekeeper.Second
	// deadlineSlack is how much earlier a deadline must be to be news. A mark
	// gets a little later with each message, by the time of its travel.
	deadlineSlack = 250 * timekeeper.Millisecond
	// markKeep is how long a mark is kept past its deadline, at the least.
	markKeep = timekeeper.Hour
)

// mark says that a VM is leaving. Marks are never taken back.
//
// Failure: the list lags, and would show a server as live again after its
// notice; new work would go to it and be cut off. It is enough to keep the
// mark until the list has stopped showing the VM, as no VM id is used twice.
type mark struct {
	vm identifier.VMID
	// through is the last incarnation that the mark covers.
	through  identifier.Incarnation
	deadline timekeeper.Time
	// estimated tells that no notice gave the deadline.
	estimated bool
	sends     int
}

func (k *mark) covers(i identifier.Incarnation) bool { return i <= k.through }

// passed reports whether the VM must be gone by now.
func (k *mark) passed(now timekeeper.Time) bool {
	return !k.estimated && now.After(k.deadline.Add(goneGrace))
}

// merge takes in what other says and reports whether that was news.
func (k *mark) merge(other mark) bool {
	news := false
	if other.through > k.through {
		k.through = other.through
		news = true
	}
	switch {
	case k.estimated && !other.estimated:
		k.deadline = other.deadline
		k.estimated = false
		return true
	case k.estimated == other.estimated && other.deadline.Before(k.deadline):
		news = news || k.deadline.Sub(other.deadline) > deadlineSlack
		k.deadline = other.deadline
	}
	return news
}

// MarkLeaving marks the present incarnation of a node, or a backend server for
// good, as leaving by the deadline. Of two deadlines the earlier one counts.
// The mark spreads with the next Tick.
func (m *Members) MarkLeaving(now timekeeper.Time, vm identifier.VMID, deadline timekeeper.Time) []Change {
	changes := m.wake(now)
	through := everyIncarnation
	if r := m.nodes.get(vm); r != nil {
		through = r.Incarnation
	}
	return append(changes, m.mark(now, mark{
		vm:       vm,
		through:  through,
		deadline: deadline,
	})...)
}

// MarkReclaimed marks a VM as leaving for good, whatever process it runs and
// will run. It is for reclaim notices: a process that starts on an entry VM
// after its notice is leaving too.
func (m *Members) MarkReclaimed(now timekeeper.Time, vm identifier.VMID, deadline timekeeper.Time) []Change {
	changes := m.wake(now)
	return append(changes, m.mark(now, mark{
		vm:       vm,
		through:  everyIncarnation,
		deadline: deadline,
	})...)
}

func (m *Members) mark(now timekeeper.Time, k mark) []Change {
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
	return m.announceMark(now, known)
}

// announceMark applies a mark that is new, or has changed, to its VM.
func (m *Members) announceMark(now timekeeper.Time, k *mark) []Change {
	if s := m.servers.get(k.vm); s != nil {
		s.leave(k)
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

// evictMark makes room for a mark by dropping the one that ended first.
func (m *Members) evictMark() {
	if !m.marks.full() {
		return
	}
	values := m.marks.values()
	oldest := values[0]
	for _, k := range values[1:] {
		if k.deadline.Before(oldest.deadline) {
			oldest = k
		}
	}
	m.marks.remove(oldest.vm)
	m.marks.dropped++
}

// forgetMarks drops marks long past their deadline whose VM nothing shows any
// more. The list must have been read since the deadline: while it is out, or
// still shows the VM, the mark stays.
func (m *Members) forgetMarks(now timekeeper.Time) {
	for _, k := range m.marks.values() {
		if now.Sub(k.deadline) < markKeep || m.listAsOf.Before(k.deadline) {
			continue
		}
		r := m.nodes.get(k.vm)
		if m.servers.get(k.vm) == nil && m.seeds.get(k.vm) == nil && (r == nil || r.State == Dead) {
			m.marks.remove(k.vm)
		}
	}
}
