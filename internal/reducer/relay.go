package reducer

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
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
	alive := slices.DeleteFunc(r.members.Nodes(), func(n gossiper.Node) bool {
		return n.Zone != zone || n.State != gossiper.Alive && n.VM != r.config.Self
	})
	return ranked("relay", alive, relaysPerZone)
}

// fewPeers returns the peers that hear this node directly: the relays of its
// zone, the nodes that may hold the duties, which count its requests and grant
// it limits, and a few drawn ones.
func (r *Reducer) fewPeers(peers []gossiper.Node) []gossiper.Node {
	g := r.gateway
	named := map[identifier.VMID]bool{g.granter: true}
	for _, n := range r.relays(r.config.Zone) {
		named[n.VM] = true
	}
	for _, n := range firstFor(string(dutyLease), g.self, r.members, dutyNodes) {
		named[n.VM] = true
	}
	var few, rest []gossiper.Node
	for _, p := range peers {
		if named[p.VM] {
			few = append(few, p)
			continue
		}
		rest = append(rest, p)
	}
	r.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return append(few, rest[:min(strayPeers, len(rest))]...)
}

// relayNow passes on what the nodes of this zone reported, where this node is one of
// the zone's relays.
func (r *Reducer) relayNow(w *conductor.World) []messenger.Effect {
	g := r.gateway
	if w.Now.Before(g.nextRelay) {
		return nil
	}
	g.nextRelay = w.Now.Add(relayEvery)
	peers := r.peers()
	if len(peers) <= sharePeers || !has(r.relays(r.config.Zone), g.self) {
		g.relaySince = 0
		return nil
	}
	if g.relaySince == 0 {
		g.relaySince = w.Now
	}
	if w.Now.Sub(g.relaySince) < relayWarmUp {
		return nil
	}
	neighbours, zones := r.divide(peers)
	zone := g.exchanges.ZoneSum(w.Now, neighbours)
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
	for _, other := range zones {
		for _, p := range r.relays(other) {
			out = append(out, g.send(w.Now, p, toZones))
		}
	}
	return out
}

// divide returns the peers of this node's zone, and the other zones in order.
func (r *Reducer) divide(peers []gossiper.Node) (neighbours []identifier.VMID, zones []identifier.Zone) {
	for _, p := range peers {
		if p.Zone == r.config.Zone {
			neighbours = append(neighbours, p.VM)
			continue
		}
		zones = append(zones, p.Zone)
	}
	slices.Sort(zones)
	return neighbours, slices.Compact(zones)
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

func has(nodes []gossiper.Node, vm identifier.VMID) bool {
	return slices.ContainsFunc(nodes, func(n gossiper.Node) bool { return n.VM == vm })
}
