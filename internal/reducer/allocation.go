package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Accounts' limits are divided among the nodes. The holder of the lease, the allocator,
// grants most of each limit on request of its peers. Each node grants a small part by
// itself, or an equal part of the whole limit while it can't reach the allocator.
const (
	// leaderAnnounceTime is the time from the expiry of a lease until all nodes know
	// the new holder: an append, its read, and updates through relays.
	leaderAnnounceTime = 700 * timekeeper.Millisecond
	// allocatorTimeout is the time without an update of the allocator after which this
	// node grants its part alone. It is longer than deductionTimeout, the time without
	// an update of a node after which the allocator deducts that node's part from its
	// own. Both are two to three times updateInterval.
	allocatorTimeout = 1600 * timekeeper.Millisecond
	deductionTimeout = 1100 * timekeeper.Millisecond
	// unresponsiveAge is the time without an update of the allocator after which it
	// counts as unreachable if it also left maxUnanswered requests without an answer.
	// It shortens the time in which an allocator that was removed is asked in vain.
	unresponsiveAge = 700 * timekeeper.Millisecond
	maxUnanswered   = 2
	// nodeRetention is the time for which the part of a node without updates is
	// reserved, because it may be partitioned and still serve callers.
	nodeRetention = 15 * timekeeper.Second
	// assumedNodes is the assumed number of nodes that share the limits until the
	// platform's list or a peer states one.
	assumedNodes = 100
)

// mergeLeader applies the holder of the lease that a peer reports. A relay that reports none knows of
// none.
func (g *gateway) mergeLeader(now timekeeper.Time, s messenger.StateUpdate) {
	if s.Leader == "" && s.Round != 0 {
		g.holderUntil = min(g.holderUntil, now)
	}
	if s.Leader == "" || s.Leader == g.self || s.Fence < g.allocatorFence {
		return
	}
	if s.Fence > g.allocatorFence {
		g.allocatorSeen = freshness{}
	}
	if !g.allocatorSeen.merge(now, s.LeaderAge, s.LeaderAnnounced) {
		return
	}
	g.allocator = s.Leader
	g.allocatorFence = s.Fence
	g.unanswered = 0
	g.holderUntil = max(g.holderUntil, g.allocatorSeen.asOf.Add(leaseTTL))
}

// divideLimits sets this node's parts of the accounts' limits and of the retries, by
// the nodes that it knows and can reach.
func (r *Reducer) divideLimits(env *conductor.Env) {
	g := r.gateway
	nodes := r.limitNodes(env)
	_, _, held := g.leases.Held(leaderLease, env.Now)
	g.retries.SetExtra(extraRetries/float64(nodes) + extraRetriesPerNode)
	r.updateGrantor(env.Now, held)
	g.localLimits.SetNodes(nodes, g.grantor.node == "")
	if g.centralLimits != nil {
		others := g.grantor.count(env.Now, func(vm identifier.VMID) bool { return vm != "" && vm != g.self })
		g.centralLimits.SetReachable(1+g.exchanges.CountAllReportingPeers(env.Now, deductionTimeout)-others, nodes)
	}
	if g.grantor.limits != nil {
		naming := g.grantor.count(env.Now, func(vm identifier.VMID) bool { return vm == g.self })
		g.grantor.limits.SetReachable(1+naming, nodes)
	}
}

// limitNodes returns the number of nodes that may grant a part of the limits.
//
// A node that has just started knows no peer and would take the whole of each limit.
// When all nodes start at once, each would do so until they learn of each other. So
// until nodes killed before the start would be forgotten, all nodes in the platform's
// list count.
func (r *Reducer) limitNodes(env *conductor.Env) int {
	g := r.gateway
	known := r.members.Count(env.Now, nodeRetention)
	if g.startedAt != 0 && env.Now.Sub(g.startedAt) > nodeRetention {
		return known
	}
	if g.listedNodes == 0 && known == 1 && env.Now.Sub(g.startedAt) < settleTime {
		return assumedNodes
	}
	return max(known, g.listedNodes)
}

// nodesListed applies the number of nodes in the platform's list. The first list resets
// this node's parts of the limits: the parts for assumedNodes hold almost nothing, so
// callers that return after a total outage would be refused until these have refilled.
func (r *Reducer) nodesListed(env *conductor.Env, nodes int) {
	g := r.gateway
	if g == nil {
		return
	}
	first := g.listedNodes == 0
	g.listedNodes = nodes
	g.listOutdated = false
	if first && nodes > 0 {
		g.localLimits = limiter.NewLocal()
		r.divideLimits(env)
	}
}

// reachableAllocator returns the peer that grants limits, or nil if there is none or it
// can't be reached.
func (r *Reducer) reachableAllocator(env *conductor.Env) *dispatcher.Allocator {
	g := r.gateway
	node, known := r.members.Node(g.allocator)
	if !known || !g.allocatorReachable(env.Now) {
		return nil
	}
	return allocatorAt(node)
}

// allocatorAt returns a node as one that grants limits and permits.
func allocatorAt(n gossiper.Node) *dispatcher.Allocator {
	return &dispatcher.Allocator{
		Node:    n.VM,
		Address: n.PeerAddress,
	}
}

// grantorAnswered records the answer of the allocator or the standby.
func (r *Reducer) grantorAnswered(env *conductor.Env, e messenger.LimitAnswered) {
	g := r.gateway
	if e.Peer == "" || e.Peer == g.allocator {
		r.allocatorAnswered(env, e.Unknown, e.NotGranting)
		return
	}
	if e.Unknown || e.NotGranting {
		g.grantor.standbyDue = env.Now.Add(standbyRetry)
		r.divideLimits(env)
	}
}

// allocatorAnswered records that the allocator did not answer (unknown), or that it no
// longer grants.
func (r *Reducer) allocatorAnswered(env *conductor.Env, unknown, notGranting bool) {
	if notGranting {
		// No node grants until one acquires the lease. All nodes switch to equal
		// parts at once, because waiting for allocatorTimeout would refuse the
		// requests of all accounts meanwhile.
		r.gateway.allocatorSeen.asOf = 0
		r.divideLimits(env)
	}
	if unknown {
		r.gateway.unanswered++
	}
}

// allocatorFailed handles a failed message to the allocator. If its process has ended, this
// node may be the standby and has to grant before the allocator's last report is old.
func (r *Reducer) allocatorFailed(env *conductor.Env, e messenger.PeerFailed) {
	if r.gateway != nil && e.Ended && e.Peer == r.gateway.allocator {
		r.allocatorAnswered(env, false, true)
	}
}

func (g *gateway) allocatorReachable(now timekeeper.Time) bool {
	age := now.Sub(g.allocatorSeen.asOf)
	return age <= allocatorTimeout && (age <= unresponsiveAge || g.unanswered < maxUnanswered)
}

// allocatorDue returns the time at which this node probably knows an allocator again:
// the candidates have settled, the lease of the last known holder has expired, and the
// new holder has been announced.
func (g *gateway) allocatorDue() timekeeper.Time {
	due := g.startedAt.Add(settleTime + leaderAnnounceTime)
	if g.allocatorSeen.asOf != 0 {
		due = max(due, g.allocatorSeen.asOf.Add(leaseTTL+leaderAnnounceTime))
	}
	return due
}
