package reducer

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Where nodes are many, two relays in each availability zone hear all nodes of
// their zone, tell the relays of other zones the sum, and tell each node of
// their zone the sum over all others. A node then knows the load of all servers
// by a few messages a second, however many nodes there are.
//
// Were a few peers drawn at random each time, a node would miss half of the others
// within a second: servers would be chosen by half of their load, accounts refused
// within their limits, and usage reported too low.
const (
	// relaysPerZone is two, so that the news goes on when one dies.
	relaysPerZone = 2
	// relayEvery is the spacing of relays' sums. With two hops of it and a read
	// of the store, news is younger than serversStale everywhere.
	relayEvery = 250 * timekeeper.Millisecond
	// relayWarmUp is how long a node has been a relay before it tells sums though it
	// does not hear all nodes of its zone: those that live have learned by then that
	// it is one. One that takes over from a dead relay at once would report a part of
	// the load in place of what the other relay of its zone knows. One that hears all
	// need not wait.
	relayWarmUp = 2500 * timekeeper.Millisecond
	// regularNews is the age up to which a report is one of a series: the spacing of
	// shares and a way.
	regularNews = 700 * timekeeper.Millisecond
	// strayPeers is how many further peers hear a node directly: news travels
	// on if all relays of a zone die at once.
	strayPeers = 2
	// shareRoundsOfAll is in how many of its shares, one, a node tells more than
	// the relays and the granter. Those that may hold the duties next need its
	// counts of usage within the seconds in which these are due.
	shareRoundsOfAll = 2
)

// relays returns the nodes of a zone that pass on what its nodes tell.
func (r *Reducer) relays(zone identifier.Zone) []gossiper.Node {
	return r.ranking.FirstInZone(zone, "relay", relaysPerZone)
}

// fewPeers returns the peers that hear this node directly: the relays of its
// zone and the node that grants limits, which takes this node's part off what it
// grants, and every other time the nodes that may come to hold the duties, which
// keep its counts of usage, and a few drawn ones.
func (r *Reducer) fewPeers(peers []gossiper.Node) []gossiper.Node {
	g := r.gateway
	g.shareRounds++
	few := peerSet{self: g.self}
	few.add(r.relays(r.config.Zone)...)
	if granter, known := r.members.Node(g.granter); known && granter.State != gossiper.Dead {
		few.add(granter)
	}
	if g.shareRounds%shareRoundsOfAll != 0 {
		return few.nodes
	}
	few.add(r.ranking.First(string(dutyLease), dutyNodes)...)
	for range strayPeers {
		few.add(peers[r.rand.IntN(len(peers))])
	}
	return few.nodes
}

// peerSet gathers peers, each once.
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

// relayNow passes on what the nodes of this zone reported, where this node is one of
// the zone's relays.
func (r *Reducer) relayNow(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	if w.Now.Before(g.nextRelay) {
		return nil
	}
	g.nextRelay = w.Now.Add(relayEvery)
	relays := r.relays(r.config.Zone)
	if len(r.ranking.Peers()) <= sharePeers || !ranker.Contains(relays, g.self) {
		g.relaySince = 0
		return nil
	}
	if g.relaySince == 0 {
		g.relaySince = w.Now
	}
	warm := w.Now.Sub(g.relaySince) >= relayWarmUp
	if !warm && !r.hearsZone(w.Now) {
		return nil
	}
	zone := g.exchanges.ZoneSum(w.Now, r.ranking.Neighbours())
	all := g.exchanges.AddZones(w.Now, zone)
	g.exchanges.MergePeerLoad(w.Now, g.self, r.sumWithout(w.Now, all, g.self))
	if warm && !g.relayNews && !r.relayTurn(w.Now, relays) {
		return nil
	}
	g.relayNews = false
	out := r.tellZones(w.Now, zone)
	if warm || r.hearsZones(w.Now) {
		out = append(out, r.tellNeighbours(w.Now, all)...)
	}
	return out
}

// hearsZone reports whether all nodes of this zone report to this relay. Each does
// so twice a second to its relays, and seldom to others.
func (r *Reducer) hearsZone(now timekeeper.Time) bool {
	neighbours := r.ranking.Neighbours()
	return r.gateway.exchanges.CountReportingPeers(now, neighbours, regularNews) == len(neighbours)
}

// hearsZones reports whether a relay of each other zone reports to this one.
func (r *Reducer) hearsZones(now timekeeper.Time) bool {
	zones := r.ranking.OtherZones()
	return r.gateway.exchanges.CountReportingZones(now, zones, regularNews) == len(zones)
}

// relayTurn reports whether it is this relay's turn to tell sums: the relays of a
// zone take turns by the clock, so that its nodes, and the relays of other zones,
// hear one of them in each relayEvery, and half as many messages as if both told
// each time.
func (r *Reducer) relayTurn(now timekeeper.Time, relays []gossiper.Node) bool {
	at := slices.IndexFunc(relays, func(n gossiper.Node) bool { return n.VM == r.gateway.self })
	return int64(now)/int64(relayEvery)%int64(len(relays)) == int64(at)
}

// tellNeighbours tells each node of this zone the sum over all others.
func (r *Reducer) tellNeighbours(now timekeeper.Time, all dispatcher.LoadSum) []messenger.Effect {
	var out []messenger.Effect
	for _, p := range r.ranking.Peers() {
		if p.Zone == r.config.Zone {
			out = append(out, r.gateway.send(now, p, r.sumWithout(now, all, p.VM)))
		}
	}
	return out
}

// sumWithout is what a relay tells one node: the sum over all others, of the servers
// that the node chooses from.
func (r *Reducer) sumWithout(now timekeeper.Time, all dispatcher.LoadSum, vm identifier.VMID) messenger.StateUpdate {
	g := r.gateway
	tells := dispatcher.SubsetFilter(vm)
	part := all.ForServers(func(server identifier.VMID) bool { return tells(server, g.servers.ServiceSize(server)) })
	return g.sums(now, messenger.ScopeOthers, g.exchanges.WithoutNode(now, part, vm))
}

// tellZones tells the relays of the other zones the sum over this one.
func (r *Reducer) tellZones(now timekeeper.Time, zone dispatcher.LoadSum) []messenger.Effect {
	g := r.gateway
	share := g.sums(now, messenger.ScopeZone, zone)
	share.Zone = r.config.Zone
	var out []messenger.Effect
	for _, other := range r.ranking.OtherZones() {
		for _, p := range r.relays(other) {
			out = append(out, g.send(now, p, share))
		}
	}
	return out
}

// sums is what a relay tells. It passes on who holds the lease; other nodes say
// so only of themselves, so that hearsay does not go round.
func (g *gateway) sums(now timekeeper.Time, scope messenger.UpdateScope, sum dispatcher.LoadSum) messenger.StateUpdate {
	s := g.news(now)
	s.CachedPrefixes = g.exchanges.RelayedCachedPrefixUpdates(now)
	s.Scope = scope
	s.InFlight = sum.InFlight
	s.Demand = sum.Demand
	if age := now.Sub(g.granterHeard); s.Leader == "" && g.granter != "" && age <= granterAge {
		s.Leader = g.granter
		s.Fence = g.granterFence
		s.LeaderAge = age
	}
	return s
}
