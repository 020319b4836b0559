package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// withUpdates appends updates to peers to the effects, if the exchanges have urgent
// ones.
func (r *Reducer) withUpdates(env *conductor.Env, effects ...messenger.Effect) []messenger.Effect {
	if !r.gateway.exchanges.NotifyPeers() {
		return effects
	}
	if len(r.ranking.Peers()) <= maxDirectPeers {
		return append(effects, r.sendUpdates(env)...)
	}
	return append(effects, r.sendToRelays(env)...)
}

// sendToRelays sends this node's update to the relays of its zone only. Other peers
// receive the next one within updateInterval.
func (r *Reducer) sendToRelays(env *conductor.Env) []messenger.Effect {
	relays := peerSet{self: r.gateway.self}
	relays.add(r.relays(r.config.Zone)...)
	return r.sendToSelected(relays.nodes, r.gateway.ownUpdate(env.Now))
}

// stateUpdateReceived applies a peer's update, and fetches the peer's configuration if
// that is newer.
func (r *Reducer) stateUpdateReceived(env *conductor.Env, e messenger.StateUpdateReceived) []messenger.Effect {
	g := r.gateway
	s := e.Update
	g.exchanges.StorePeerLoad(env.Now, e.From, s)
	g.knowsAllServers = g.knowsAllServers || s.AllServers
	if s.RequestsAllServers {
		g.serversRequested[e.From] = true
	}
	g.usage.MergePeerCounts(e.From, s.Incarnation, s.Usage)
	g.versions.Merge(env.Now, s.Rollouts)
	if s.Scope == messenger.ScopeOwn {
		g.versions.MergePeerCounts(env.Now, e.From, s.Incarnation, s)
	}
	g.mergeLeader(env.Now, s)
	if s.Scope == messenger.ScopeOwn {
		g.grantorNamed(env.Now, e.From, s)
	}
	g.origins.Merge(env.Now, s.Streams, g.relaySince != 0 && s.Scope == messenger.ScopeOwn)
	timeline := r.mergeServerLimits(env, s.Limits)
	merge := g.servers.Merge
	if s.AllServers {
		merge = g.servers.MergeAll
	}
	contained := s.AllServers && g.servers.ContainedIn(s.Servers)
	if g.continuity.receive(env.Now, g.servers.AsOf(), e.From, s, contained) {
		g.serversRead.merge(env.Now, s.ServersAge, s.ServersRead)
	}
	changed := merge(env.Now, g.serversRead.asOf, s.Servers)
	if s.StoreReturned.Node != "" && g.storeReturned.merge(env.Now, s.StoreReturnAge, s.StoreReturned) {
		g.servers.StoreReturned(env.Now, g.storeReturned.asOf)
	}
	out := append(timeline, r.recordRollouts(env)...)
	out = append(out, r.serversChanged(env, changed, false)...)
	g.exchanges.MergeCachedPrefixes(r.exchangeEnv(env), s.CachedPrefixes, g.relaySince != 0)
	if s.Revision == g.revision() {
		g.configRead.merge(env.Now, s.ConfigurationAge, s.ConfigurationRead)
	}
	if s.Revision <= g.revision() || env.Now.Before(g.nextFetch) {
		return out
	}
	node, known := r.members.Node(e.From)
	if !known {
		return out
	}
	g.nextFetch = env.Now.Add(peerFetchInterval)
	return append(out, messenger.FetchConfiguration{
		Peer:    e.From,
		Address: node.PeerAddress,
	})
}

// sendUpdates sends this node's update to all peers or, in a large cluster, to those of
// directPeers.
func (r *Reducer) sendUpdates(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	g.nextUpdate = env.Now.Add(updateInterval)
	peers := r.ranking.Peers()
	g.usesRelays = len(peers) > maxDirectPeers
	if g.usesRelays {
		return r.sendToSelected(r.directPeers(peers), g.ownUpdate(env.Now))
	}
	update := g.ownUpdate(env.Now)
	out := make([]messenger.Effect, 0, len(peers))
	for _, p := range peers {
		out = append(out, g.send(env.Now, p, update))
	}
	return out
}

// sendToSelected sends an update to selected peers. Counts of usage and of versions,
// which are most of an update, go only to the allocator and to candidates for the
// lease.
func (r *Reducer) sendToSelected(peers []gossiper.Node, update messenger.StateUpdate) []messenger.Effect {
	candidates := r.ranking.First(string(leaderLease), leaderNodes)
	withoutCounts := update
	withoutCounts.Usage = nil
	withoutCounts.Versions = nil
	var candidatePeers, otherPeers []gossiper.Node
	for _, p := range peers {
		if p.VM == r.gateway.allocator || ranker.Contains(candidates, p.VM) {
			candidatePeers = append(candidatePeers, p)
			continue
		}
		otherPeers = append(otherPeers, p)
	}
	return append(r.gateway.sendSame(candidatePeers, update), r.gateway.sendSame(otherPeers, withoutCounts)...)
}

// sendSame sends the same update to all of the peers, whether or not they are new.
//
// In large clusters, new nodes receive all entries from the relays of their zone.
// Otherwise a relay that starts together with all other nodes would receive all servers
// and all cached prefixes from each of them.
func (g *gateway) sendSame(peers []gossiper.Node, update messenger.StateUpdate) []messenger.Effect {
	out := make([]messenger.Effect, 0, len(peers))
	for _, p := range peers {
		out = append(out, messenger.SendStateUpdate{
			Peer:    p.VM,
			Address: p.PeerAddress,
			Update:  update,
		})
	}
	return out
}

// send sends an update to one peer. A new peer receives all cached prefixes and
// suspects, but all servers only on request. Most nodes have read these from the store,
// and when all nodes start at once, a relay would send thousands of servers to each
// node of its zone repeatedly.
func (g *gateway) send(now timekeeper.Time, peer gossiper.Node, update messenger.StateUpdate) messenger.SendStateUpdate {
	if until, ok := g.newPeers[peer.VM]; ok {
		all := g.allEntries(now)
		update.CachedPrefixes = all.prefixes
		update.Suspects = all.suspects
		if !now.Before(until) {
			delete(g.newPeers, peer.VM)
		}
	}
	if g.serversRequested[peer.VM] && g.knowsAllServers {
		update.Servers = g.allEntries(now).servers
		update.AllServers = true
		update.ServersSpan = g.serversSpan(now, registrar.RemovedRetention)
		delete(g.serversRequested, peer.VM)
	}
	return messenger.SendStateUpdate{
		Peer:    peer.VM,
		Address: peer.PeerAddress,
		Update:  update,
	}
}

// entries is all that a node knows of servers, cached prefixes and suspects at an
// instant.
type entries struct {
	at       timekeeper.Time
	servers  []messenger.PublishedServer
	prefixes []messenger.CachedPrefix
	// suspects are the requests under which servers ended.
	suspects []messenger.SuspectRequest
}

// allEntries returns the entries. They are computed once for all peers that receive
// them at the same instant.
func (g *gateway) allEntries(now timekeeper.Time) *entries {
	if g.cachedEntries == nil || g.cachedEntries.at != now {
		g.cachedEntries = &entries{
			at:       now,
			servers:  g.servers.All(),
			prefixes: g.exchanges.CachedPrefixes(),
			suspects: g.quarantine.All(now),
		}
	}
	return g.cachedEntries
}

// serversSpan returns the time up to limit for which this node has known all servers. A node
// that has just started does not know what changed before.
func (g *gateway) serversSpan(now timekeeper.Time, limit timekeeper.Duration) timekeeper.Duration {
	known := g.servers.KnownSince()
	if known == 0 {
		return 0
	}
	return min(limit, now.Sub(known))
}

// includesReceived reports whether this node's updates include changes that it received
// from peers. In large clusters, only those of relays do.
func (g *gateway) includesReceived() bool { return !g.usesRelays || g.relaySince != 0 }

// ownUpdate returns this node's update with its own load and counts.
func (g *gateway) ownUpdate(now timekeeper.Time) messenger.StateUpdate {
	running, demand := g.exchanges.OwnLoad(now)
	s := g.baseUpdate(now)
	s.Servers = g.servers.UpdatesSince(now, now.Add(-updateWindow), g.includesReceived())
	s.ServersSpan = g.serversSpan(now, updateWindow)
	s.InFlight = running
	s.Factors = g.exchanges.OwnFactors(now, running)
	s.Usage = g.usage.OwnCounts(now)
	s.Grantor = g.grantor.node
	s.Versions = g.versions.Counts()
	s.Demand = demand
	s.Streams = g.origins.Updates(now)
	return s
}

// baseUpdate returns the part of an update that does not depend on requests of this
// node, without the changed server entries.
func (g *gateway) baseUpdate(now timekeeper.Time) messenger.StateUpdate {
	s := messenger.StateUpdate{
		Incarnation:        g.incarnation,
		RequestsAllServers: g.requestsAllServers(now),
		ServersAge:         now.Sub(g.servers.AsOf()),
		ServersRead:        g.serversRead.basis,
		ConfigurationAge:   now.Sub(g.configRead.asOf),
		ConfigurationRead:  g.configRead.basis,
		Revision:           g.revision(),
		CachedPrefixes:     g.exchanges.CachedPrefixUpdates(now),
		Suspects:           g.quarantine.Updates(now, g.relaySince != 0),
		Limits:             g.serverLimits.Updates(now, g.relaySince != 0),
		Rollouts:           g.versions.Updates(now),
	}
	if !g.includesReceived() && g.serversRead.basis.Node != g.self {
		// Without the changes that this node received, its update says nothing of the
		// time up to which a peer knows all of them.
		s.ServersAge = now.Sub(0)
		s.ServersRead = messenger.Observation{}
	}
	if g.storeReturned.basis.Node != "" && now.Before(g.servers.DefersUntil()) {
		s.StoreReturned = g.storeReturned.basis
		s.StoreReturnAge = now.Sub(g.storeReturned.asOf)
	}
	if fence, _, held := g.leases.Held(leaderLease, now); held {
		g.announcements++
		s.Leader = g.self
		s.Fence = fence
		s.LeaderAnnounced = messenger.Observation{
			Node:        g.self,
			Incarnation: g.incarnation,
			Number:      g.announcements,
		}
	}
	return s
}

// requestsAllServers reports whether this node requests all servers from its peers:
// until it has received them, and in a large cluster after it may have missed changes.
func (g *gateway) requestsAllServers(now timekeeper.Time) bool {
	switch {
	case !g.usesRelays:
		return !g.knowsAllServers
	case g.knowsAllServers && now.Sub(g.continuity.acceptedAt) <= maxAcceptedAge:
		return false
	case now.Sub(g.startedAt) < serversRequestDelay || now.Before(g.nextServersRequest):
		return false
	}
	g.nextServersRequest = now.Add(serversRequestInterval)
	return true
}
