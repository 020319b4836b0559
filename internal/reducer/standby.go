package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// While a large cluster has lost its allocator, one of the candidates for the lease, the
// standby, grants parts of the limits in its place. A node's own part is smaller than most
// prompts there, so that nearly all requests would be refused until a new holder of the
// lease is known.
//
// Each node states in its updates from which node it requests. A node that grants counts
// only the nodes that name it. So an allocator and a standby that different nodes can reach
// grant parts of one limit, not a limit each.

// standbyRetry is the time for which a node does not request from a standby that did not
// grant.
const standbyRetry = 500 * timekeeper.Millisecond

// grantor is the node from which a node requests parts of limits, and what it knows of
// the nodes that request from it.
type grantor struct {
	// node is empty if there is none. asStandby is set if this node grants itself, in
	// place of an allocator.
	node      identifier.VMID
	asStandby bool
	// standbyDue is the earliest time of a request to the standby.
	standbyDue timekeeper.Time
	// limits are the limits that this node grants as a standby.
	limits *limiter.Buckets
	// named are the nodes that peers named last.
	named map[identifier.VMID]namedGrantor
}

type namedGrantor struct {
	node identifier.VMID
	at   timekeeper.Time
}

// record records the node that a peer names in its own update.
func (g *grantor) record(now timekeeper.Time, peer, node identifier.VMID) {
	if g.named == nil || len(g.named) >= maxObservers {
		g.named = map[identifier.VMID]namedGrantor{}
	}
	g.named[peer] = namedGrantor{
		node: node,
		at:   now,
	}
}

// count returns the number of peers that recently named a node for which the function
// returns true.
func (g *grantor) count(now timekeeper.Time, counts func(identifier.VMID) bool) int {
	n := 0
	for _, named := range g.named {
		if now.Sub(named.at) <= deductionTimeout && counts(named.node) {
			n++
		}
	}
	return n
}

// standby returns the node that grants in place of the allocator, or false if none does.
func (r *Reducer) standby() (gossiper.Node, bool) {
	g := r.gateway
	if g.allocator == "" || !g.usesRelays {
		return gossiper.Node{}, false
	}
	for _, n := range r.ranking.First(string(leaderLease), leaderNodes) {
		if n.VM != g.allocator {
			return n, true
		}
	}
	return gossiper.Node{}, false
}

// updateGrantor selects the node from which this node requests parts of limits. A new one
// is notified at once, because it grants according to the nodes that name it.
func (r *Reducer) updateGrantor(now timekeeper.Time, held bool) {
	g := r.gateway
	before := g.grantor.node
	g.grantor.asStandby = false
	g.grantor.node = ""
	switch {
	case held:
		g.grantor.node = g.self
	case g.allocatorReachable(now):
		g.grantor.node = g.allocator
	default:
		standby, known := r.standby()
		if known && (standby.VM == g.self || !now.Before(g.grantor.standbyDue)) {
			g.grantor.node = standby.VM
			g.grantor.asStandby = standby.VM == g.self
		}
	}
	if !g.grantor.asStandby {
		g.grantor.limits = nil
	} else if g.grantor.limits == nil {
		g.grantor.limits = limiter.NewStandby()
	}
	if g.grantor.node != before && g.usesRelays {
		g.nextUpdate = now
	}
}

// setGrantor sets who grants parts of limits for exchanges.
func (r *Reducer) setGrantor(out *dispatcher.Env, held bool) {
	g := r.gateway
	switch {
	case held:
		out.Central = g.centralLimits
		return
	case g.grantor.asStandby:
		out.Central = g.grantor.limits
		return
	}
	if node, known := r.members.Node(g.grantor.node); known {
		out.Allocator = allocatorAt(node)
		return
	}
	out.AllocatorDue = max(g.allocatorDue().Sub(out.Now), 0)
}

// grantorNamed records from which node a peer requests. An allocator that no longer
// announces that it holds the lease has lost it.
func (g *gateway) grantorNamed(now timekeeper.Time, from identifier.VMID, s messenger.StateUpdate) {
	g.grantor.record(now, from, s.Grantor)
	if from == g.allocator && s.Leader != from {
		g.allocatorSeen.asOf = 0
		g.holderUntil = min(g.holderUntil, now)
	}
}
