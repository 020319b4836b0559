package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// withNews adds to effects what peers hear of at once.
func (r *Reducer) withNews(w *conductor.Env, effects ...messenger.Effect) []messenger.Effect {
	if !r.gateway.exchanges.NotifyPeers() {
		return effects
	}
	if len(r.ranking.Peers()) <= sharePeers {
		return append(effects, r.shareNow(w)...)
	}
	return append(effects, r.tellRelays(w)...)
}

// tellRelays tells the relays of this zone alone what this node has at the
// servers. Its next share to others follows within shareEachTime.
func (r *Reducer) tellRelays(w *conductor.Env) []messenger.Effect {
	relays := peerSet{self: r.gateway.self}
	relays.add(r.relays(r.config.Zone)...)
	return r.tellFew(relays.nodes, r.gateway.share(w.Now))
}

// shareReceived takes in what a peer knows, and fetches its configuration where
// that is newer.
func (r *Reducer) shareReceived(w *conductor.Env, e messenger.StateUpdateReceived) []messenger.Effect {
	g := r.gateway
	s := e.Update
	g.exchanges.MergePeerLoad(w.Now, e.From, s)
	g.whole = g.whole || s.AllServers
	if s.RequestsAllServers {
		g.wanting[e.From] = true
	}
	g.usage.PeerCounts(e.From, s.Incarnation, s.Usage)
	g.versions.Merge(w.Now, s.Rollouts)
	if s.Scope == messenger.ScopeOwn {
		g.versions.MergePeerCounts(w.Now, e.From, s.Incarnation, s)
	}
	g.heardOfHolder(w.Now, s)
	notes := r.learnLimits(w, s.Limits)
	merge := g.servers.Merge
	if s.AllServers {
		merge = g.servers.MergeAll
	}
	changed := merge(w.Now, w.Now.Add(-s.ServersAge), s.Servers)
	out := append(notes, r.noteRollouts(w)...)
	out = append(out, r.serversChanged(w, changed, false)...)
	g.exchanges.MergeCachedPrefixes(r.exchangeWorld(w), s.CachedPrefixes, g.relaySince != 0)
	if s.Revision == g.revision() {
		g.confirmed = max(g.confirmed, w.Now.Add(-s.ConfigurationAge))
	}
	if s.Revision <= g.revision() || w.Now.Before(g.nextFetch) {
		return out
	}
	node, known := r.members.Node(e.From)
	if !known {
		return out
	}
	g.nextFetch = w.Now.Add(fetchPause)
	return append(out, messenger.FetchConfiguration{
		Peer:    e.From,
		Address: node.PeerAddress,
	})
}

// shareNow tells peers what this node knows: all of them, or where they are many
// those that pass it on.
func (r *Reducer) shareNow(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	g.nextShare = w.Now.Add(shareEachTime)
	peers := r.ranking.Peers()
	g.many = len(peers) > sharePeers
	if g.many {
		return r.tellFew(r.fewPeers(peers), g.share(w.Now))
	}
	share := g.share(w.Now)
	out := make([]messenger.Effect, 0, len(peers))
	for _, p := range peers {
		out = append(out, g.send(w.Now, p, share))
	}
	return out
}

// tellFew tells the peers that hear this node directly. Counts of usage and of versions,
// which are most of a share, go only to those that may come to report and judge them.
func (r *Reducer) tellFew(peers []gossiper.Node, share messenger.StateUpdate) []messenger.Effect {
	duties := r.ranking.First(string(dutyLease), dutyNodes)
	others := share
	others.Usage = nil
	others.Versions = nil
	var reporters, rest []gossiper.Node
	for _, p := range peers {
		if p.VM == r.gateway.granter || ranker.Contains(duties, p.VM) {
			reporters = append(reporters, p)
			continue
		}
		rest = append(rest, p)
	}
	return append(r.gateway.tellAlike(reporters, share), r.gateway.tellAlike(rest, others)...)
}

// tellAlike tells peers the same, whether they joined lately or not.
//
// Where nodes are many those that joined hear of all entries from the relays of their
// zone. Otherwise a relay that starts with all others would hear of all servers, and of
// all kept parts of prompts, from each of them.
func (g *gateway) tellAlike(peers []gossiper.Node, share messenger.StateUpdate) []messenger.Effect {
	out := make([]messenger.Effect, 0, len(peers))
	for _, p := range peers {
		out = append(out, messenger.SendStateUpdate{
			Peer:    p.VM,
			Address: p.PeerAddress,
			Update:  share,
		})
	}
	return out
}

// send tells one peer; one that joined lately hears of all that this node knows, but of
// all servers only if it wants to. Most have read them from the store: where all nodes
// start at once a relay would tell each of its zone thousands of servers, again and again.
func (g *gateway) send(now timekeeper.Time, peer gossiper.Node, share messenger.StateUpdate) messenger.SendStateUpdate {
	if until, ok := g.newcomers[peer.VM]; ok {
		all := g.all(now)
		share.CachedPrefixes = all.kept
		share.Suspects = all.suspects
		if !now.Before(until) {
			delete(g.newcomers, peer.VM)
		}
	}
	if g.wanting[peer.VM] && g.whole {
		share.Servers = g.all(now).servers
		share.AllServers = true
		delete(g.wanting, peer.VM)
	}
	return messenger.SendStateUpdate{
		Peer:    peer.VM,
		Address: peer.PeerAddress,
		Update:  share,
	}
}

// entries is all that a node knows of servers and of what they keep, at an instant.
type entries struct {
	at      timekeeper.Time
	servers []messenger.PublishedServer
	kept    []messenger.CachedPrefix
	// suspects are the requests under which servers ended.
	suspects []messenger.SuspectRequest
}

// all gathers the entries, once for all peers that are told at an instant.
func (g *gateway) all(now timekeeper.Time) *entries {
	if g.gathered == nil || g.gathered.at != now {
		g.gathered = &entries{
			at:       now,
			servers:  g.servers.All(),
			kept:     g.exchanges.CachedPrefixes(),
			suspects: g.quarantine.All(now),
		}
	}
	return g.gathered
}

// passesOn reports whether this node tells peers what other nodes told it: where nodes are
// many, relays do.
func (g *gateway) passesOn() bool { return !g.many || g.relaySince != 0 }

// newsWindow is for how long a node tells of an entry.
func (g *gateway) newsWindow() timekeeper.Duration {
	if g.relaySince != 0 {
		return relayedWindow
	}
	return shareWindow
}

// share is what this node tells its peers.
func (g *gateway) share(now timekeeper.Time) messenger.StateUpdate {
	running, demand := g.exchanges.OwnLoad(now)
	s := g.news(now)
	s.InFlight = running
	s.Usage = g.usage.Own(now)
	s.Versions = g.versions.Counts()
	s.Demand = demand
	return s
}

// news is what this node knows that is not of its own requests.
func (g *gateway) news(now timekeeper.Time) messenger.StateUpdate {
	s := messenger.StateUpdate{
		Incarnation:        g.incarnation,
		Servers:            g.servers.UpdatesSince(now.Add(-g.newsWindow()), g.passesOn()),
		RequestsAllServers: !g.whole && (!g.many || now.Sub(g.startedAt) >= wantAfter),
		ServersAge:         now.Sub(g.servers.AsOf()),
		ConfigurationAge:   now.Sub(g.confirmed),
		Revision:           g.revision(),
		CachedPrefixes:     g.exchanges.CachedPrefixUpdates(now),
		Suspects:           g.quarantine.Updates(now, g.relaySince != 0),
		Limits:             g.limits.Updates(now, g.relaySince != 0),
		Rollouts:           g.versions.Updates(now),
	}
	if fence, _, held := g.leases.Held(dutyLease, now); held {
		s.Leader = g.self
		s.Fence = fence
	}
	return s
}
