package reducer

import (
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
// Telling 16 peers drawn at random each time, a node among 61 missed half of the
// others within a second: servers were chosen by half of their load, accounts
// were refused within their limits since the holder of the lease had heard half
// of the nodes, and reports of usage were off by a tenth.
const (
	// relaysPerZone is two, so that the news goes on when one dies.
	relaysPerZone = 2
	// relayEvery is the spacing of relays' sums. With two hops of it and a read
	// of the store, news is younger than serversStale everywhere.
	relayEvery = 250 * timekeeper.Millisecond
	// relayWarmUp is how long a node has been a relay before it tells sums: all
	// nodes of its zone, and the relays of others, have reported theirs by then.
	// One that took over from a dead relay at once reported a sixth of the load, in
	// place of what the other relay of its zone knew.
	relayWarmUp = 1500 * timekeeper.Millisecond
	// strayPeers is how many further peers hear a node directly: news travels
	// on if all relays of a zone die at once.
	strayPeers = 2
)

// relays returns the nodes of a zone that pass on what its nodes tell.
func (r *Reducer) relays(zone identifier.Zone) []gossiper.Node {
	return r.ranking.FirstOf(zone, "relay", relaysPerZone)
}

// fewPeers returns the peers that hear this node directly: the relays of its
// zone, the nodes that may hold the duties, which count its requests and grant
// it limits, and a few drawn ones.
func (r *Reducer) fewPeers(peers []gossiper.Node) []gossiper.Node {
	g := r.gateway
	relays := r.relays(r.config.Zone)
	duties := r.ranking.First(string(dutyLease), dutyNodes)
	few := make([]gossiper.Node, 0, len(relays)+len(duties)+1+strayPeers)
	add := func(n gossiper.Node) {
		if n.VM != g.self && !ranker.Has(few, n.VM) {
			few = append(few, n)
		}
	}
	for _, n := range relays {
		add(n)
	}
	for _, n := range duties {
		add(n)
	}
	if granter, known := r.members.Node(g.granter); known && granter.State != gossiper.Dead {
		add(granter)
	}
	for range strayPeers {
		add(peers[r.rand.IntN(len(peers))])
	}
	return few
}

// relayNow passes on what the nodes of this zone reported, where this node is one of
// the zone's relays.
func (r *Reducer) relayNow(w *conductor.World) []messenger.Effect {
	g := r.gateway
	if w.Now.Before(g.nextRelay) {
		return nil
	}
	g.nextRelay = w.Now.Add(relayEvery)
	peers := r.ranking.Peers()
	if len(peers) <= sharePeers || !ranker.Has(r.relays(r.config.Zone), g.self) {
		g.relaySince = 0
		return nil
	}
	if g.relaySince == 0 {
		g.relaySince = w.Now
	}
	if w.Now.Sub(g.relaySince) < relayWarmUp {
		return nil
	}
	zone := g.exchanges.ZoneSum(w.Now, r.ranking.Neighbours())
	all := g.exchanges.WithZones(w.Now, zone)
	withoutOne := func(vm identifier.VMID) messenger.Share {
		return g.sums(w.Now, messenger.ShareOthers, g.exchanges.Without(w.Now, all, vm))
	}
	g.exchanges.PeerLoad(w.Now, g.self, withoutOne(g.self))
	var out []messenger.Effect
	for _, p := range peers {
		if p.Zone == r.config.Zone {
			out = append(out, g.send(w.Now, p, withoutOne(p.VM)))
		}
	}
	toZones := g.sums(w.Now, messenger.ShareZone, zone)
	toZones.Zone = r.config.Zone
	for _, other := range r.ranking.OtherZones() {
		for _, p := range r.relays(other) {
			out = append(out, g.send(w.Now, p, toZones))
		}
	}
	return out
}

// sums is what a relay tells. It passes on who holds the lease; other nodes say
// so only of themselves, so that hearsay does not go round.
func (g *gateway) sums(now timekeeper.Time, scope messenger.ShareScope, sum dispatcher.Sum) messenger.Share {
	s := g.news(now)
	s.Scope = scope
	s.InFlight = sum.InFlight
	s.Demand = sum.Demand
	if age := now.Sub(g.granterHeard); s.Holder == "" && g.granter != "" && age <= granterAge {
		s.Holder = g.granter
		s.Fence = g.granterFence
		s.HolderAge = age
	}
	return s
}
