package reducer

import (
	"fmt"
	"net"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/pathfinder"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxTunnels bounds the tunnels that this node serves at once: two file descriptors and
	// two buffers each.
	maxTunnels = 256
	// minDirectFraction is the fraction of the ready nodes that must reach servers directly
	// for callers to be sent to these only. If fewer do, they could not serve all callers.
	minDirectFraction = 0.5
)

// pathPeers are the nodes that may connect to servers for this one.
type pathPeers struct{ *Reducer }

var _ pathfinder.Peers = pathPeers{}

// Peers implements pathfinder.Peers.
func (p pathPeers) Peers() []gossiper.Node { return p.ranking.Peers() }

// Isolated implements pathfinder.Peers.
func (p pathPeers) Isolated(vm identifier.VMID) bool { return p.members.Isolated(vm) }

// pathEvent applies an event of the paths to servers.
func (r *Reducer) pathEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	g := r.gateway
	if g == nil {
		return nil
	}
	switch b := body.(type) {
	case messenger.PathTried:
		return r.updatePaths(env, func() { g.paths.Tried(env.Now, b) })
	case messenger.ServerProbed:
		return r.updatePaths(env, func() { g.paths.Probed(env.Now, b) })
	case messenger.TunnelRequested:
		return r.tunnelRequested(b)
	case messenger.TunnelEnded:
		g.tunnels--
	}
	return nil
}

// updatePaths applies what was learned of paths, sends the probes that are due, and notes
// whether the node lost or regained the servers.
func (r *Reducer) updatePaths(env *conductor.Env, update func()) []messenger.Effect {
	isolated := r.gateway.paths.Isolated()
	update()
	out := r.probeServers(env)
	if isolated != r.gateway.paths.Isolated() {
		out = append(out, r.isolationEntry(env.Now))
	}
	return out
}

// isolationEntry returns a time line entry for a node that has lost or regained the servers.
func (r *Reducer) isolationEntry(now timekeeper.Time) messenger.Effect {
	status := r.gateway.paths.Status(now)
	detail := fmt.Sprintf("failed=%d broken=%d last_answer_ago=%s peers=%d",
		status.Failed, status.Broken, status.LastAnswerAgo, len(r.ranking.Peers()))
	if !r.gateway.paths.Isolated() {
		return messenger.TimelineEntry{
			Kind:   "servers_regained",
			VM:     r.config.Self,
			Detail: detail,
		}
	}
	return messenger.TimelineEntry{
		Kind:   "servers_lost",
		VM:     r.config.Self,
		Detail: detail,
	}
}

// tickPaths drops outdated knowledge of paths and probes broken ones.
func (r *Reducer) tickPaths(env *conductor.Env) []messenger.Effect {
	return r.updatePaths(env, func() { r.gateway.paths.Tick(env.Now) })
}

func (r *Reducer) probeServers(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	var out []messenger.Effect
	for _, id := range g.paths.Probes(env.Now, g.servers.Ready) {
		server, known := g.servers.Server(id)
		if !known {
			g.paths.Forget(id)
			continue
		}
		out = append(out, messenger.ProbeServer{
			Server:  id,
			Address: server.Address,
		})
	}
	return out
}

// tunnelRequested decides whether this node connects to a server for a peer.
func (r *Reducer) tunnelRequested(e messenger.TunnelRequested) []messenger.Effect {
	answer := r.admitTunnel(e)
	if answer.Refusal == "" {
		r.gateway.tunnels++
	}
	return []messenger.Effect{
		messenger.AnswerTunnel{
			Ticket: e.Ticket,
			Answer: answer,
		},
	}
}

func (r *Reducer) admitTunnel(e messenger.TunnelRequested) messenger.TunnelAnswer {
	g := r.gateway
	peer, known := r.members.Node(e.From)
	server, published := g.servers.ServerAt(e.Address)
	switch {
	case !known || peer.State == gossiper.Dead || hostOf(peer.PeerAddress) != e.Host:
		return refuseTunnel(messenger.TunnelNotMember)
	case !published:
		return refuseTunnel(messenger.TunnelNotPublished)
	case g.draining:
		return refuseTunnel(messenger.TunnelLeaving)
	case g.paths.Isolated():
		return refuseTunnel(messenger.TunnelIsolated)
	case g.tunnels >= maxTunnels:
		return refuseTunnel(messenger.TunnelLimit)
	}
	return messenger.TunnelAnswer{Server: server.Server}
}

func refuseTunnel(reason messenger.TunnelRefusal) messenger.TunnelAnswer {
	return messenger.TunnelAnswer{Refusal: reason}
}

// hostOf returns the host of an address, or the address itself if it has no port.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// preferDirect returns the nodes that reach servers directly, unless they are too few.
func (r *Reducer) preferDirect(nodes []gossiper.Node) []gossiper.Node {
	var direct []gossiper.Node
	for _, n := range nodes {
		isolated := r.members.Isolated(n.VM)
		if n.VM == r.config.Self {
			isolated = r.gateway.paths.Isolated()
		}
		if !isolated {
			direct = append(direct, n)
		}
	}
	if float64(len(direct)) < minDirectFraction*float64(len(nodes)) {
		return nodes
	}
	return direct
}
