package gossiper

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// goneReads and goneAge bound how long the list must miss a server before
	// it counts as gone: one read that misses a live server is a fault of the
	// list.
	goneReads = 2
	goneAge   = 5 * timekeeper.Second
	// goneGrace is how long a server is kept past its deadline.
	goneGrace = 5 * timekeeper.Second
)

// Server is a backend server as this node knows it.
type Server struct {
	messenger.VMState
	// LeaveBy is the end of a leaving server, else Never.
	LeaveBy timekeeper.Time
}

type serverRecord struct {
	Server
	// asOf is the instant of the newest list that showed the server.
	asOf timekeeper.Time
	// missed counts the lists since that did not.
	missed int
}

// Servers returns the backend servers of a pool, sorted by VM. Leaving ones are
// included until they are gone.
func (m *Members) Servers(pool identifier.PoolName) []Server {
	var found []Server
	for _, s := range m.servers.values() {
		if s.Pool == pool {
			found = append(found, s.Server)
		}
	}
	return found
}

// Server returns a backend server.
func (m *Members) Server(vm identifier.VMID) (Server, bool) {
	s := m.servers.get(vm)
	if s == nil {
		return Server{}, false
	}
	return s.Server, true
}

// ListRead takes in the platform's list of VMs as of an instant. Entries
// without a pool are entry VMs, which serve as seeds of the gossip. Of an old
// list only the leaving VMs count: lists come late and cross one another.
func (m *Members) MergeList(now, asOf timekeeper.Time, vms []messenger.VMState) []Change {
	changes := m.wake(now)
	vms = slices.SortedFunc(slices.Values(vms), func(a, b messenger.VMState) int {
		return cmp.Compare(a.VM, b.VM)
	})
	for _, vm := range vms {
		if vm.Leaving {
			changes = append(changes, m.mark(now, listMark(now, vm.VM))...)
		}
	}
	if m.guard.newerListOnly && asOf <= m.listAsOf {
		return changes
	}
	m.listAsOf = asOf
	for _, vm := range vms {
		if vm.Pool == "" {
			m.addSeed(asOf, vm)
			continue
		}
		changes = append(changes, m.listed(now, asOf, vm)...)
	}
	m.dropSeeds(asOf)
	return append(changes, m.dropMissing(asOf)...)
}

func listMark(now timekeeper.Time, vm identifier.VMID) mark {
	return mark{
		vm:        vm,
		through:   everyIncarnation,
		deadline:  now.Add(listNotice),
		estimated: true,
	}
}

// addSeed notes or renews the peer address of an entry VM on the list.
func (m *Members) addSeed(asOf timekeeper.Time, vm messenger.VMState) {
	if s := m.seeds.get(vm.VM); s != nil {
		s.address = vm.Address
		s.asOf = asOf
		return
	}
	m.seeds.put(vm.VM, &seed{
		vm:      vm.VM,
		address: vm.Address,
		asOf:    asOf,
	})
}

func (m *Members) dropSeeds(asOf timekeeper.Time) {
	for _, s := range m.seeds.values() {
		if s.asOf.Before(asOf) {
			m.seeds.remove(s.vm)
		}
	}
}

// listed takes in a backend server that a list as of an instant showed.
func (m *Members) listed(now, asOf timekeeper.Time, vm messenger.VMState) []Change {
	k := m.marks.get(vm.VM)
	if k != nil && k.passed(now) {
		return nil
	}
	s := m.servers.get(vm.VM)
	joined := s == nil
	if joined {
		s = &serverRecord{}
		if !m.servers.put(vm.VM, s) {
			return nil
		}
	}
	s.VMState = vm
	s.LeaveBy = timekeeper.Never
	s.asOf = asOf
	s.missed = 0
	if k != nil && m.guard.marksForGood {
		s.leave(k)
	}
	var changes []Change
	if joined {
		changes = append(changes, s.change(ServerJoined))
	}
	if joined && s.Leaving {
		changes = append(changes, s.change(ServerLeaving))
	}
	return changes
}

func (m *Members) dropMissing(asOf timekeeper.Time) []Change {
	var changes []Change
	for _, s := range m.servers.values() {
		if !s.asOf.Before(asOf) {
			continue
		}
		s.missed++
		if s.missed >= goneReads && asOf.Sub(s.asOf) >= goneAge {
			changes = append(changes, m.gone(s))
		}
	}
	return changes
}

// dropEnded drops servers whose notice has run out, so that they go also
// while the list is out.
func (m *Members) dropEnded(now timekeeper.Time) []Change {
	var changes []Change
	for _, k := range m.marks.values() {
		if s := m.servers.get(k.vm); s != nil && k.passed(now) {
			changes = append(changes, m.gone(s))
		}
	}
	return changes
}

func (m *Members) gone(s *serverRecord) Change {
	m.servers.remove(s.VM)
	return s.change(ServerRemoved)
}

// told takes in a server that a peer knows of. A server that this node's own
// newer list does not show is not taken back.
func (m *Members) told(now, asOf timekeeper.Time, vm messenger.VMState) []Change {
	s := m.servers.get(vm.VM)
	if s == nil && asOf.After(m.listAsOf) {
		return m.listed(now, asOf, vm)
	}
	if s != nil && asOf.After(s.asOf) {
		s.asOf = asOf
		s.missed = 0
	}
	return nil
}

func (s *serverRecord) leave(k *mark) {
	s.Leaving = true
	s.LeaveBy = k.deadline
}

func (s *serverRecord) change(k ChangeKind) Change {
	c := Change{
		Kind: k,
		VM:   s.VM,
	}
	if k == ServerLeaving {
		c.Deadline = s.LeaveBy
	}
	return c
}
