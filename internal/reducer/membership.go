package reducer

import (
	"fmt"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The parameters of gossip.
const (
	gossipInterval     = 200 * timekeeper.Millisecond
	gossipSuspectAfter = 1500 * timekeeper.Millisecond
	gossipDeadAfter    = 4 * timekeeper.Second
	gossipFanout       = 2
	// gossipByteBudget limits two messages per gossipInterval to 12 KB/s, about half of
	// a node's budget for control traffic.
	gossipByteBudget = 1200
)

func newMembers(c Config) *gossiper.Members {
	return gossiper.New(gossiper.Config{
		Self:          c.Self,
		Incarnation:   c.Incarnation,
		Zone:          c.Zone,
		Region:        c.Region,
		PeerAddress:   c.PeerAddress,
		CallerAddress: c.CallerAddress,
		Capacity:      c.Capacity,
		Seeds:         c.Seeds,
		Period:        gossipInterval,
		SuspectAfter:  gossipSuspectAfter,
		DeadAfter:     gossipDeadAfter,
		Fanout:        gossipFanout,
		ByteBudget:    gossipByteBudget,
	})
}

// membersChanged passes on changes of the membership. The conductor plans once for all
// servers that leave by one event.
func (r *Reducer) membersChanged(env *conductor.Env, changes []gossiper.Change) []messenger.Effect {
	var out []messenger.Effect
	serversLeaving := false
	for _, ch := range changes {
		out = append(out, memberEntry(ch))
		serversLeaving = serversLeaving || ch.Kind == gossiper.ServerLeaving
		out = append(out, r.memberChanged(env, ch)...)
	}
	if serversLeaving {
		out = append(out, r.requests.ServersLeaving(env)...)
	}
	return out
}

func (r *Reducer) memberChanged(env *conductor.Env, ch gossiper.Change) []messenger.Effect {
	if r.gateway != nil && ch.Kind != gossiper.NodeOutdated {
		// No state of an opaque exchange is on another node.
		if ch.Kind == gossiper.NodeJoined || ch.Kind == gossiper.NodeAlive {
			r.gateway.newPeers[ch.VM] = r.newPeerUntil(env.Now)
			r.gateway.leases.ProcessStarted(ch.VM, ch.Incarnation)
		}
		return nil
	}
	switch ch.Kind {
	case gossiper.NodeLeaving:
		if ch.VM == r.config.Self {
			r.provisioner.Stop()
			return r.requests.Drain(env, ch.Deadline, false)
		}
		return r.requests.NodeLeaving(env, ch.VM)
	case gossiper.NodeDead:
		return r.requests.NodeDead(env, ch.VM)
	case gossiper.NodeOutdated:
		// A later process on this VM has taken over the name. Peers ignore this
		// process, so it must not go on serving callers.
		return []messenger.Effect{messenger.Exit{}}
	case gossiper.ServerRemoved:
		delete(r.loads, ch.VM)
		return r.requests.ServerRemoved(env, ch.VM)
	}
	return nil
}

func memberEntry(ch gossiper.Change) messenger.TimelineEntry {
	detail := ""
	if ch.Kind == gossiper.NodeLeaving || ch.Kind == gossiper.ServerLeaving {
		detail = fmt.Sprintf("deadline=%s", ch.Deadline)
	}
	return messenger.TimelineEntry{
		Kind:   messenger.TimelineKind(ch.Kind),
		VM:     ch.VM,
		Detail: detail,
	}
}

func (r *Reducer) gossipReceived(env *conductor.Env, e messenger.GossipReceived) []messenger.Effect {
	changes, err := r.members.Receive(env.Now, e.From, e.Data)
	if err != nil {
		return []messenger.Effect{
			messenger.TimelineEntry{
				Kind:   "gossip_unreadable",
				VM:     e.From,
				Detail: err.Error(),
			},
		}
	}
	return r.membersChanged(env, changes)
}

// drainStarted begins a planned stop. Peers learn of it by the same mark as of a
// reclaimed VM, so that callers are sent to other nodes and copies move away.
func (r *Reducer) drainStarted(env *conductor.Env, e messenger.DrainStarted) []messenger.Effect {
	if r.gateway != nil {
		return r.gatewayDrain(env, e)
	}
	r.provisioner.Stop()
	began := r.requests.Drain(env, e.Deadline, true)
	marked := r.membersChanged(env, r.members.MarkLeaving(env.Now, r.config.Self, e.Deadline))
	// A node without requests in flight exits at once. Its peers are notified first,
	// or they would return its address to callers until it misses heartbeats.
	return slices.Concat(r.tickGossip(env), began, marked)
}

// tickGossip sends this node's status, and applies failures detected by missing
// heartbeats.
func (r *Reducer) tickGossip(env *conductor.Env) []messenger.Effect {
	revision := r.revision()
	if r.gateway != nil && !r.gateway.knowsAllServers {
		revision = 0 // Callers are not sent to a node that knows no servers.
	}
	r.members.SetStatus(gossiper.Status{
		Revision: revision,
		Demand:   r.ownDemand(env.Now),
		Isolated: r.gateway != nil && r.gateway.paths.Isolated(),
	})
	messages, changes := r.members.Tick(env.Now, r.rand)
	var out []messenger.Effect
	for _, m := range messages {
		out = append(out, messenger.SendGossip{
			Peer:    m.Peer,
			Address: m.Address,
			Data:    m.Data,
		})
	}
	return append(out, r.membersChanged(env, changes)...)
}

func (r *Reducer) ownDemand(now timekeeper.Time) map[identifier.AccountID]gossiper.Demand {
	if r.gateway != nil {
		return nil // The allocator grants limits; they are not divided by demand.
	}
	demand := r.limits.Demand(now)
	out := make(map[identifier.AccountID]gossiper.Demand, len(demand))
	for account, d := range demand {
		out[account] = gossiper.Demand(d)
	}
	return out
}

// mergePeerDemand passes the demand that peers report to the limits, which are divided
// by it.
func (r *Reducer) mergePeerDemand(now timekeeper.Time) {
	peers := map[identifier.VMID]map[identifier.AccountID]limiter.Demand{}
	for vm, status := range r.members.Statuses() {
		demand := make(map[identifier.AccountID]limiter.Demand, len(status.Demand))
		for account, d := range status.Demand {
			demand[account] = limiter.Demand(d)
		}
		peers[vm] = demand
	}
	r.limits.SetPeers(now, peers)
}

// newPeerUntil returns the time until which a node that joined now receives all
// entries. In large clusters it receives them once from each relay of its zone, and
// otherwise from each node for newPeerTime.
func (r *Reducer) newPeerUntil(now timekeeper.Time) timekeeper.Time {
	if len(r.ranking.Peers()) > maxDirectPeers {
		return now
	}
	return now.Add(newPeerTime)
}
