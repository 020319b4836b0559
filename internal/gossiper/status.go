package gossiper

import (
	"maps"
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxDemands is the maximum number of accounts in one node's status.
const maxDemands = 256

// Status is what a node reports about itself to its peers.
type Status struct {
	// Revision is the configuration revision that the node has applied.
	Revision identifier.Revision
	// Demand is the node's load by client account.
	Demand map[identifier.AccountID]Demand
	// Isolated reports that the node reaches no backend server itself.
	Isolated bool
}

// Demand is the load of a client account on one node, per second.
type Demand struct {
	Requests float64
	Tokens   float64
}

// SetStatus sets this node's status, which is sent to peers if it has
// changed.
func (m *Members) SetStatus(n Status) {
	n = n.rounded()
	r := m.self
	if r.status.Revision == n.Revision && r.status.Isolated == n.Isolated && maps.Equal(r.status.Demand, n.Demand) {
		return
	}
	r.status = n
	r.statusVersion++
	r.statusSends = 0
}

// Statuses returns the statuses of the other live nodes. It omits nodes whose
// heartbeat is overdue, as their statuses are stale.
func (m *Members) Statuses() map[identifier.VMID]Status {
	statuses := map[identifier.VMID]Status{}
	for _, r := range m.nodes.values() {
		if r != m.self && r.statusVersion > 0 && (r.State == Alive || r.State == Leaving) {
			statuses[r.VM] = r.status
		}
	}
	return statuses
}

// Isolated reports whether another node last stated that it is isolated.
func (m *Members) Isolated(vm identifier.VMID) bool {
	r := m.nodes.get(vm)
	return r != nil && r.status.Isolated
}

// rounded returns n as peers receive it: rates are encoded as four-byte
// floats.
func (n Status) rounded() Status {
	demand := make(map[identifier.AccountID]Demand, len(n.Demand))
	for account, d := range n.Demand {
		demand[account] = Demand{
			Requests: validRate(float32(d.Requests)),
			Tokens:   validRate(float32(d.Tokens)),
		}
	}
	n.Demand = demand
	return n
}

// validRate returns f, or zero if f is not a valid rate, so that an invalid
// number of one node cannot reach the limits of all.
func validRate(f float32) float64 {
	d := float64(f)
	if math.IsNaN(d) || math.IsInf(d, 0) || d < 0 {
		return 0
	}
	return d
}
