package reducer

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// In large clusters, two relays per availability zone receive the updates of all nodes
// of their zone, send the sum over the zone to the relays of other zones, and send each
// node of their zone the sum over all other nodes. So each node knows the load of all
// servers from a few messages per second, whatever the number of nodes.
//
// With updates to random peers instead, a node would miss half of the others within a
// second. Servers would be chosen by half of their load, requests within their account's
// limits refused, and usage underreported.
const (
	// relaysPerZone is two, so that updates are forwarded while one relay is dead.
	relaysPerZone = 2
	// relayInterval is the time between the sums of a zone. Two hops and a read of the
	// store take less than maxServersAge in total.
	relayInterval = 250 * timekeeper.Millisecond
	// relayWarmUp is the time for which a new relay sends no sums unless all nodes of
	// its zone report to it. By then all live nodes know that it is a relay. A relay
	// that replaces a dead one and sent sums at once would overwrite the complete sums
	// of the other relay with partial ones.
	relayWarmUp = 2500 * timekeeper.Millisecond
	// maxReportAge is the maximum age of the last report from a peer that reports
	// regularly: updateInterval plus transit time.
	maxReportAge = 700 * timekeeper.Millisecond
	// randomPeers is the number of additional random peers that receive a node's
	// updates, so that they spread even if all relays of a zone die at once.
	randomPeers = 2
	// fullUpdateRounds is the number of update rounds of which one also goes to
	// candidates for the lease and to random peers. Candidates need the counts of usage
	// within the seconds in which these have to be reported.
	fullUpdateRounds = 2
)

// relays returns the relays of a zone.
func (r *Reducer) relays(zone identifier.Zone) []gossiper.Node {
	return r.ranking.FirstInZone(zone, "relay", relaysPerZone)
}

// directPeers returns the peers that receive this node's updates directly in a large
// cluster: the relays of its zone and the allocator, which deducts the parts of nodes
// that it can't reach, and in every fullUpdateRounds-th round also the candidates for
// the lease, which need the counts of usage, and some random peers.
func (r *Reducer) directPeers(peers []gossiper.Node) []gossiper.Node {
	g := r.gateway
	g.updateRounds++
	direct := peerSet{self: g.self}
	direct.add(r.relays(r.config.Zone)...)
	if allocator, known := r.members.Node(g.allocator); known && allocator.State != gossiper.Dead {
		direct.add(allocator)
	}
	if grantor, known := r.members.Node(g.grantor.node); known {
		direct.add(grantor)
	}
	if g.updateRounds%fullUpdateRounds != 0 {
		return direct.nodes
	}
	direct.add(r.ranking.First(string(leaderLease), leaderNodes)...)
	for range randomPeers {
		direct.add(peers[r.rand.IntN(len(peers))])
	}
	return direct.nodes
}

// peerSet is a list of distinct peers.
type peerSet struct {
	self  identifier.VMID
	nodes []gossiper.Node
}

func (s *peerSet) add(nodes ...gossiper.Node) {
	for _, n := range nodes {
		if n.VM != s.self && !ranker.Contains(s.nodes, n.VM) {
			s.nodes = append(s.nodes, n)
		}
	}
}

// sendSums forwards the reports of the nodes of this zone, if this node is one of the
// zone's relays.
func (r *Reducer) sendSums(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if env.Now.Before(g.nextRelay) {
		return nil
	}
	g.nextRelay = env.Now.Add(relayInterval)
	if !r.isRelay() {
		g.relaySince = 0
		return nil
	}
	if g.relaySince == 0 {
		g.becomeRelay(env.Now)
	}
	warmedUp := env.Now.Sub(g.relaySince) >= relayWarmUp
	if !warmedUp && !r.receivesWholeZone(env.Now) {
		return nil
	}
	zone := g.exchanges.ZoneSum(env.Now, r.ranking.Neighbours())
	total := g.exchanges.AddZones(env.Now, zone)
	g.exchanges.StorePeerLoad(env.Now, g.self, r.updateForNode(env.Now, messenger.StateUpdate{}, total, g.self))
	if warmedUp && !g.relayPending && !r.isRelayTurn(env.Now, r.relays(r.config.Zone)) {
		return nil
	}
	g.relayPending = false
	common := g.sumBase(env.Now)
	out := r.sendToZones(env.Now, common, zone)
	if warmedUp || r.receivesOtherZones(env.Now) {
		out = append(out, r.sendToNeighbours(env.Now, common, total)...)
	}
	return out
}

// relayAtOnce makes this node pass on what it knows at the next tick if it is a relay, whether or not
// it is its turn.
func (g *gateway) relayAtOnce(now timekeeper.Time) {
	g.nextRelay = now
	g.relayPending = true
}

// receivesWholeZone reports whether all nodes of this zone report to this relay. A node
// reports to its relays in every round, and rarely to other nodes.
func (r *Reducer) receivesWholeZone(now timekeeper.Time) bool {
	neighbours := r.ranking.Neighbours()
	return r.gateway.exchanges.CountReportingPeers(now, neighbours, maxReportAge) == len(neighbours)
}

// receivesOtherZones reports whether a relay of each other zone reports to this one.
func (r *Reducer) receivesOtherZones(now timekeeper.Time) bool {
	zones := r.ranking.OtherZones()
	return r.gateway.exchanges.CountReportingZones(now, zones, maxReportAge) == len(zones)
}

// isRelayTurn reports whether it is this relay's turn to send sums. The relays of a
// zone take turns by the clock, so that receivers get one message per relayInterval,
// half as many as if every relay sent each time.
func (r *Reducer) isRelayTurn(now timekeeper.Time, relays []gossiper.Node) bool {
	position := slices.IndexFunc(relays, func(n gossiper.Node) bool { return n.VM == r.gateway.self })
	return int64(now)/int64(relayInterval)%int64(len(relays)) == int64(position)
}

// sendToNeighbours sends each node of this zone the sum over all other nodes.
func (r *Reducer) sendToNeighbours(now timekeeper.Time, common messenger.StateUpdate, total dispatcher.LoadSum) []messenger.Effect {
	var out []messenger.Effect
	for _, p := range r.ranking.Peers() {
		if p.Zone == r.config.Zone {
			out = append(out, r.gateway.send(now, p, r.updateForNode(now, common, total, p.VM)))
		}
	}
	return out
}

// updateForNode returns a relay's update for one node: the sum over all other nodes,
// limited to the servers from which the node chooses.
func (r *Reducer) updateForNode(now timekeeper.Time, common messenger.StateUpdate, total dispatcher.LoadSum, vm identifier.VMID) messenger.StateUpdate {
	g := r.gateway
	inSubset := dispatcher.SubsetFilter(vm)
	part := total.ForServers(func(server identifier.VMID) bool { return inSubset(server, g.servers.ServiceSize(server)) })
	return withSum(common, messenger.ScopeOthers, g.exchanges.WithoutNode(now, part, vm))
}

// sendToZones sends the sum over this zone to the relays of the other zones.
func (r *Reducer) sendToZones(now timekeeper.Time, common messenger.StateUpdate, zone dispatcher.LoadSum) []messenger.Effect {
	g := r.gateway
	update := withSum(common, messenger.ScopeZone, zone)
	update.Zone = r.config.Zone
	update.Streams = g.origins.RelayedUpdates(now)
	var out []messenger.Effect
	for _, other := range r.ranking.OtherZones() {
		for _, p := range r.relays(other) {
			out = append(out, g.send(now, p, update))
		}
	}
	return out
}

// becomeRelay begins to send rounds. The rounds of an earlier time as a relay are not
// continued, because the changes in between were not sent. Peers repeat requests for all
// servers that have not been answered.
func (g *gateway) becomeRelay(now timekeeper.Time) {
	g.relaySince = now
	g.round += updateRepeats
	g.roundTimes = [updateRepeats]timekeeper.Time{now - 1, now - 1}
	clear(g.serversRequested)
}

// sumBase begins a round of a relay's updates and returns what they have in common. It
// is computed once a round, because it depends on the number of all servers. Only relays
// report another node as holder of the lease, so that an outdated holder is not reported
// forever.
func (g *gateway) sumBase(now timekeeper.Time) messenger.StateUpdate {
	s := g.baseUpdate(now)
	g.round++
	s.Round = g.round
	s.ServersSpan = g.serversSpan(now, registrar.RemovedRetention)
	s.Servers = g.servers.UpdatesSince(now, g.roundTimes[0], true)
	g.roundTimes = [updateRepeats]timekeeper.Time{g.roundTimes[1], now - 1}
	s.CachedPrefixes = g.exchanges.RelayedCachedPrefixUpdates(now)
	if age := now.Sub(g.allocatorSeen.asOf); s.Leader == "" && g.allocator != "" && age <= allocatorTimeout {
		s.Leader = g.allocator
		s.Fence = g.allocatorFence
		s.LeaderAge = age
		s.LeaderAnnounced = g.allocatorSeen.basis
	}
	return s
}

// withSum returns an update with a sum.
func withSum(update messenger.StateUpdate, scope messenger.UpdateScope, sum dispatcher.LoadSum) messenger.StateUpdate {
	update.Scope = scope
	update.InFlight = sum.InFlight
	update.Factors = sum.Factors
	update.Demand = sum.Demand
	return update
}
