package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The limits of accounts, as the nodes divide them. The node that holds the lease of
// the duties grants most of each limit; the others ask it, and each has a small part
// of its own, or an equal part of the whole while nobody can be asked.
const (
	// grantNewsTime is how long after a node may take the lease all have heard that
	// it holds it: an append, its read, and shares over relays.
	grantNewsTime = 700 * timekeeper.Millisecond
	// granterAge is how long a peer that holds the lease is asked for limits
	// after it was last heard; then this node grants its part alone. It is
	// longer than granteeAge, after which that peer takes this node's part off
	// its own. Both are two or three times the spacing of shares.
	granterAge = 1600 * timekeeper.Millisecond
	granteeAge = 1100 * timekeeper.Millisecond
	// deafAge is how long after it was last heard that peer counts as gone which
	// left silentAsks questions unanswered since: one whose VM was taken away is
	// asked in vain for a second less.
	deafAge    = 700 * timekeeper.Millisecond
	silentAsks = 2
	// cutMemory is how long a silent node's part of the limits is kept for
	// it: it may be cut off and serve callers on its side.
	cutMemory = 15 * timekeeper.Second
	// unlistedNodes is how many nodes are taken to share the limits until the
	// platform's list or a peer says how many there are.
	unlistedNodes = 100
)

// heardOfHolder takes in who holds the lease of the duties, from that node or
// from one that heard of it.
func (g *gateway) heardOfHolder(now timekeeper.Time, s messenger.StateUpdate) {
	if s.Leader == "" || s.Leader == g.self || s.Fence < g.granterFence {
		return
	}
	heard := now.Add(-s.LeaderAge)
	if s.Fence == g.granterFence && !heard.After(g.granterHeard) {
		return
	}
	g.granter = s.Leader
	g.granterFence = s.Fence
	g.granterHeard = heard
	g.silent = 0
}

// shareGrants sets this node's parts of the accounts' limits and of the retries
// by whom it hears.
func (r *Reducer) shareGrants(w *conductor.Env) {
	g := r.gateway
	nodes := r.nodesToShare(w)
	_, _, held := g.leases.Held(dutyLease, w.Now)
	g.retries.SetExtra(retryExtra/float64(nodes) + retryNodeExtra)
	g.local.SetNodes(nodes, !held && !g.granterThere(w.Now))
	if g.central != nil {
		g.central.SetReachable(1+g.exchanges.CountAllReportingPeers(w.Now, granteeAge), nodes)
	}
}

// nodesToShare returns the number of nodes that may grant a part of the limits.
//
// A node that has just started has heard of no other, and would take the whole
// of each limit for its own part. Where all nodes start at once each of them
// does, for the quarter of a second until they hear of one another. Until those
// that were killed would be forgotten, all that the platform's list names count.
func (r *Reducer) nodesToShare(w *conductor.Env) int {
	g := r.gateway
	heard := r.members.Count(w.Now, cutMemory)
	if g.startedAt != 0 && w.Now.Sub(g.startedAt) > cutMemory {
		return heard
	}
	if g.listed == 0 && heard == 1 && w.Now.Sub(g.startedAt) < settleTime {
		return unlistedNodes
	}
	return max(heard, g.listed)
}

// nodesListed takes in how many nodes the platform's list names. The first list
// begins this node's parts of the limits: by then they were those of one of many,
// with next to nothing to grant, and callers that come back after all nodes were
// down would be refused until these had grown.
func (r *Reducer) nodesListed(w *conductor.Env, nodes int) {
	g := r.gateway
	if g == nil {
		return
	}
	first := g.listed == 0
	g.listed = nodes
	if first && nodes > 0 {
		g.local = limiter.NewLocal()
		r.shareGrants(w)
	}
}

// granterNow returns the peer that grants limits, or nil where none can be asked.
func (r *Reducer) granterNow(w *conductor.Env) *dispatcher.Allocator {
	g := r.gateway
	node, known := r.members.Node(g.granter)
	if !known || !g.granterThere(w.Now) {
		return nil
	}
	return &dispatcher.Allocator{
		Node:    g.granter,
		Address: node.PeerAddress,
	}
}

// granterAnswered takes in that the peer that was asked did not answer, or that it grants
// nothing any more.
func (r *Reducer) granterAnswered(w *conductor.Env, unknown, notGranting bool) {
	if notGranting {
		// Nobody grants until a node has the lease. All nodes go on with
		// equal parts at once: waiting until the old holder counts as silent
		// refused all accounts for two seconds.
		r.gateway.granterHeard = 0
		r.shareGrants(w)
	}
	if unknown {
		r.gateway.silent++
	}
}

// granterThere reports whether the node that grants centrally can be asked.
func (g *gateway) granterThere(now timekeeper.Time) bool {
	age := now.Sub(g.granterHeard)
	return age <= granterAge && (age <= deafAge || g.silent < silentAsks)
}

// granterDue returns when a node probably grants centrally again that this one has
// heard of: once those that may hold the lease have settled, and the lease of the
// last holder has lapsed, which it can't renew any more.
func (g *gateway) granterDue() timekeeper.Time {
	due := g.startedAt.Add(settleTime + grantNewsTime)
	if g.granterHeard != 0 {
		due = max(due, g.granterHeard.Add(leaseTerm+grantNewsTime))
	}
	return due
}
