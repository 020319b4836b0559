package gossiper

import (
	"maps"
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// maxDemands bounds the accounts in one node's news.
const maxDemands = 256

// News is what a node tells its peers about itself.
type Status struct {
	// Revision is the configuration that the node has applied.
	Revision identifier.Revision
	// Demand is what client accounts ask of the node.
	Demand map[identifier.AccountID]Demand
}

// Demand is the use that a client account makes of one node, per second.
type Demand struct {
	Requests float64
	Tokens   float64
}

// SetNews sets what this node tells its peers. Only a change is sent on.
func (m *Members) SetStatus(n Status) {
	n = n.rounded()
	r := m.self
	if r.news.Revision == n.Revision && maps.Equal(r.news.Demand, n.Demand) {
		return
	}
	r.news = n
	r.newsVersion++
	r.newsSends = 0
}

// NewsOf returns the news of the other live nodes. That of a node whose
// heartbeat is late has aged and is left out.
func (m *Members) Statuses() map[identifier.VMID]Status {
	found := map[identifier.VMID]Status{}
	for _, r := range m.nodes.values() {
		if r != m.self && r.newsVersion > 0 && (r.State == Alive || r.State == Leaving) {
			found[r.VM] = r.news
		}
	}
	return found
}

// rounded returns n as it arrives at a peer: rates take four bytes.
func (n Status) rounded() Status {
	demand := make(map[identifier.AccountID]Demand, len(n.Demand))
	for account, d := range n.Demand {
		demand[account] = Demand{
			Requests: rate(float32(d.Requests)),
			Tokens:   rate(float32(d.Tokens)),
		}
	}
	n.Demand = demand
	return n
}

// rate returns f, or zero where f is no rate: one node's bad number must not
// enter the limits of all.
func rate(f float32) float64 {
	d := float64(f)
	if math.IsNaN(d) || math.IsInf(d, 0) || d < 0 {
		return 0
	}
	return d
}
