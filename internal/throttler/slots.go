package throttler

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// useRetention is the time for which a node's report of its requests counts. Each node's
	// load reaches the others in another way within it.
	useRetention = 2 * timekeeper.Second
	// transitTime is the time after which a granted slot that the node has not reported to have
	// received counts as lost on the way.
	transitTime = 500 * timekeeper.Millisecond
	// maxUsers bounds the nodes whose requests are tracked per server.
	maxUsers = 4096
)

// Slots tracks the requests of all other nodes at the brittle servers whose slots this node
// allocates.
type Slots struct {
	servers map[identifier.VMID]map[identifier.VMID]*slotUser
}

// slotUser is what is known of one node's requests at one server.
type slotUser struct {
	sequence uint64
	at       timekeeper.Time
	running  int
	// granted and received are the numbers of slots that were granted to the node and that it
	// has received. Those between are on the way.
	granted   uint64
	received  uint64
	grantedAt timekeeper.Time
}

// NewSlots returns Slots without a request.
func NewSlots() *Slots { return &Slots{servers: map[identifier.VMID]map[identifier.VMID]*slotUser{}} }

// Report records a node's report. Reports that were overtaken by later ones are ignored.
func (s *Slots) Report(now timekeeper.Time, r messenger.SlotReport) {
	for _, use := range r.Uses {
		u := s.user(use.Server, r.From, use.Received)
		if u == nil || r.Sequence <= u.sequence {
			continue
		}
		if use.Received < u.received || use.Received > u.granted {
			// One of the two nodes has restarted, or another node allocated the slots.
			u.granted = use.Received
		}
		u.sequence = r.Sequence
		u.at = now
		u.running = max(use.Running, 0)
		u.received = use.Received
	}
}

func (s *Slots) user(server, node identifier.VMID, received uint64) *slotUser {
	users := s.servers[server]
	if users == nil {
		if len(s.servers) >= maxServers {
			return nil
		}
		users = map[identifier.VMID]*slotUser{}
		s.servers[server] = users
	}
	u := users[node]
	if u == nil {
		if len(users) >= maxUsers {
			return nil
		}
		u = &slotUser{
			granted:  received,
			received: received,
		}
		users[node] = u
	}
	return u
}

// Grant records a slot that is granted to a node that has reported its requests.
func (s *Slots) Grant(now timekeeper.Time, server, node identifier.VMID) {
	if u := s.servers[server][node]; u != nil {
		u.granted++
		u.grantedAt = now
	}
}

// InUse returns the number of slots of a server that other nodes use.
func (s *Slots) InUse(now timekeeper.Time, server identifier.VMID) int {
	used := 0
	for _, u := range s.servers[server] {
		if now.Sub(u.at) > useRetention {
			continue
		}
		used += u.running
		if now.Sub(u.grantedAt) <= transitTime {
			used += int(u.granted - u.received)
		}
	}
	return used
}

// Forget drops a server that has ended.
func (s *Slots) Forget(server identifier.VMID) { delete(s.servers, server) }

// Tick drops reports that no longer count.
func (s *Slots) Tick(now timekeeper.Time) {
	for server, users := range s.servers {
		for node, u := range users {
			switch {
			case now.Sub(u.at) > useRetention:
				delete(users, node)
			case now.Sub(u.grantedAt) > transitTime:
				u.granted = u.received
			}
		}
		if len(users) == 0 {
			delete(s.servers, server)
		}
	}
}
