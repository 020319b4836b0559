package gossiper

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// removalReads and removalAge are the number of lists and the time for
	// which a server has to be missing from the list before it is removed. A
	// single list that omits a live server is an error of the list.
	removalReads = 2
	removalAge   = 5 * timekeeper.Second
	// removalGrace is the time for which a server is retained after its
	// deadline.
	removalGrace = 5 * timekeeper.Second
)

// Server is a backend server as known to this node.
type Server struct {
	messenger.VMState
	// LeaveBy is the deadline of a leaving server, and Never otherwise.
	LeaveBy timekeeper.Time
}

type serverRecord struct {
	Server
	// asOf is the instant of the newest list that showed the server.
	asOf timekeeper.Time
	// missedLists counts the later lists, none of which showed it.
	missedLists int
}

// Servers returns the backend servers of a pool, sorted by VM. Leaving
// servers are included until they are removed.
func (m *Members) Servers(pool identifier.PoolName) []Server {
	var servers []Server
	for _, s := range m.servers.values() {
		if s.Pool == pool {
			servers = append(servers, s.Server)
		}
	}
	return servers
}

// Server returns a backend server.
func (m *Members) Server(vm identifier.VMID) (Server, bool) {
	s := m.servers.get(vm)
	if s == nil {
		return Server{}, false
	}
	return s.Server, true
}

// MergeList merges the platform's list of VMs as of an instant. Entries
// without a pool are entry VMs, which serve as seeds of the gossip. Lists may
// arrive late and out of order, so only the leaving VMs of an old list are
// used.
func (m *Members) MergeList(now, asOf timekeeper.Time, vms []messenger.VMState) []Change {
	changes := m.advance(now)
	vms = slices.SortedFunc(slices.Values(vms), func(a, b messenger.VMState) int {
		return cmp.Compare(a.VM, b.VM)
	})
	for _, vm := range vms {
		if vm.Leaving {
			changes = append(changes, m.addMark(now, listMark(now, vm.VM))...)
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
		changes = append(changes, m.mergeListed(now, asOf, vm)...)
	}
	m.removeSeeds(asOf)
	return append(changes, m.removeMissing(asOf)...)
}

func listMark(now timekeeper.Time, vm identifier.VMID) mark {
	return mark{
		vm:        vm,
		through:   everyIncarnation,
		deadline:  now.Add(estimatedNotice),
		estimated: true,
	}
}

// addSeed stores or updates the peer address of an entry VM in the list.
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

func (m *Members) removeSeeds(asOf timekeeper.Time) {
	for _, s := range m.seeds.values() {
		if s.asOf.Before(asOf) {
			m.seeds.remove(s.vm)
		}
	}
}

// mergeListed merges a backend server from a list as of an instant.
func (m *Members) mergeListed(now, asOf timekeeper.Time, vm messenger.VMState) []Change {
	mk := m.marks.get(vm.VM)
	if mk != nil && mk.expired(now) {
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
	s.missedLists = 0
	if mk != nil && m.guard.permanentMarks {
		s.markLeaving(mk)
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

func (m *Members) removeMissing(asOf timekeeper.Time) []Change {
	var changes []Change
	for _, s := range m.servers.values() {
		if !s.asOf.Before(asOf) {
			continue
		}
		s.missedLists++
		if s.missedLists >= removalReads && asOf.Sub(s.asOf) >= removalAge {
			changes = append(changes, m.removeServer(s))
		}
	}
	return changes
}

// removeExpired removes servers whose deadline has passed, even if the list
// is unavailable.
func (m *Members) removeExpired(now timekeeper.Time) []Change {
	var changes []Change
	for _, mk := range m.marks.values() {
		if s := m.servers.get(mk.vm); s != nil && mk.expired(now) {
			changes = append(changes, m.removeServer(s))
		}
	}
	return changes
}

func (m *Members) removeServer(s *serverRecord) Change {
	m.servers.remove(s.VM)
	return s.change(ServerRemoved)
}

// mergeServer merges a server from a peer's message. A server that is missing
// from this node's own newer list is not added again.
func (m *Members) mergeServer(now, asOf timekeeper.Time, vm messenger.VMState) []Change {
	s := m.servers.get(vm.VM)
	if s == nil && asOf.After(m.listAsOf) {
		return m.mergeListed(now, asOf, vm)
	}
	if s != nil && asOf.After(s.asOf) {
		s.asOf = asOf
		s.missedLists = 0
	}
	return nil
}

func (s *serverRecord) markLeaving(mk *mark) {
	s.Leaving = true
	s.LeaveBy = mk.deadline
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
