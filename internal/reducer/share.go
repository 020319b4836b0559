package reducer

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// told adds to effects what peers are told at once.
func (r *Reducer) told(w *conductor.World, effects ...messenger.Effect) []messenger.Effect {
	if r.gateway.exchanges.TellPeers() {
		return append(effects, r.shareNow(w)...)
	}
	return effects
}

// shareReceived takes in what a peer knows, and fetches its configuration where
// that is newer.
func (r *Reducer) shareReceived(w *conductor.World, e messenger.ShareReceived) []messenger.Effect {
	g := r.gateway
	s := e.Share
	g.exchanges.PeerLoad(w.Now, e.From, s)
	g.usage.Told(e.From, s.Incarnation, s.Usage)
	if s.Fence > 0 && s.Fence >= g.granterFence {
		g.granter = e.From
		g.granterFence = s.Fence
		g.granterHeard = w.Now
	}
	changed := g.servers.Told(w.Now, w.Now.Add(-s.ServersAge), s.Servers)
	out := r.serversChanged(w, changed, false)
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

// shareGrants sets this node's parts of the accounts' limits and of the retries
// by whom it hears.
func (r *Reducer) shareGrants(w *conductor.World) {
	g := r.gateway
	nodes := r.members.Count(w.Now, cutMemory)
	_, _, held := g.leases.Held(dutyLease, w.Now)
	floor := retryFloor / float64(nodes)
	r.budgets.SetFloor(floor, timekeeper.Duration(float64(retryWindow)/floor))
	g.local.SetNodes(nodes, !held && w.Now.Sub(g.granterHeard) > granterAge)
	if g.central != nil {
		g.central.SetHeard(1+g.exchanges.Heard(w.Now, granteeAge), nodes)
	}
}

// shareNow tells the peers what this node knows.
func (r *Reducer) shareNow(w *conductor.World) []messenger.Effect {
	g := r.gateway
	g.nextShare = w.Now.Add(shareEachTime)
	share := g.share(w.Now)
	share.Fence, _, _ = g.leases.Held(dutyLease, w.Now)
	peers := r.peers()
	r.rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []messenger.Effect
	for _, p := range peers[:min(sharePeers, len(peers))] {
		send := messenger.SendShare{
			Peer:    p.VM,
			Address: p.PeerAddress,
			Share:   share,
		}
		if until, ok := g.newcomers[p.VM]; ok {
			send.Share.Servers = g.servers.All()
			if !w.Now.Before(until) {
				delete(g.newcomers, p.VM)
			}
		}
		out = append(out, send)
	}
	return out
}

// share is what this node tells its peers.
func (g *gateway) share(now timekeeper.Time) messenger.Share {
	running, demand := g.exchanges.OwnLoad(now)
	return messenger.Share{
		Incarnation:      g.incarnation,
		Servers:          g.servers.ChangedSince(now.Add(-shareWindow)),
		ServersAge:       now.Sub(g.servers.AsOf()),
		ConfigurationAge: now.Sub(g.confirmed),
		Revision:         g.revision(),
		InFlight:         running,
		Usage:            g.usage.Own(now),
		Demand:           demand,
	}
}

// peers returns the other nodes that are not dead.
func (r *Reducer) peers() []gossiper.Node {
	return slices.DeleteFunc(r.members.Nodes(), func(n gossiper.Node) bool { return n.VM == r.config.Self })
}
