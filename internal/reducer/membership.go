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

// How gossip runs, where nothing else is set.
const (
	gossipEvery        = 200 * timekeeper.Millisecond
	gossipSuspectAfter = 1500 * timekeeper.Millisecond
	gossipDeadAfter    = 4 * timekeeper.Second
	gossipFanout       = 2
	// gossipByteBudget keeps two messages every gossipEvery at 12 KB a second,
	// about half of what a node may spend on control: see docs/CAPACITY.md.
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
		Period:        gossipEvery,
		SuspectAfter:  gossipSuspectAfter,
		DeadAfter:     gossipDeadAfter,
		Fanout:        gossipFanout,
		ByteBudget:    gossipByteBudget,
	})
}

// membersChanged passes changes of the membership on. Servers that are
// leaving are planned for once, for the whole wave that one event brought.
func (r *Reducer) membersChanged(w *conductor.Env, changes []gossiper.Change) []messenger.Effect {
	var out []messenger.Effect
	wave := false
	for _, ch := range changes {
		out = append(out, noteChange(ch))
		wave = wave || ch.Kind == gossiper.ServerLeaving
		out = append(out, r.memberChanged(w, ch)...)
	}
	if wave {
		out = append(out, r.requests.ServersLeaving(w)...)
	}
	return out
}

func (r *Reducer) memberChanged(w *conductor.Env, ch gossiper.Change) []messenger.Effect {
	if r.gateway != nil && ch.Kind != gossiper.NodeOutdated {
		// Nothing of an opaque exchange stands with another node.
		if ch.Kind == gossiper.NodeJoined || ch.Kind == gossiper.NodeAlive {
			r.gateway.newcomers[ch.VM] = r.newcomerUntil(w.Now)
			r.gateway.leases.ProcessStarted(ch.VM, ch.Incarnation)
		}
		return nil
	}
	switch ch.Kind {
	case gossiper.NodeLeaving:
		if ch.VM == r.config.Self {
			r.provisioner.Stop()
			return r.requests.Drain(w, ch.Deadline, false)
		}
		return r.requests.NodeLeaving(w, ch.VM)
	case gossiper.NodeDead:
		return r.requests.NodeDead(w, ch.VM)
	case gossiper.NodeOutdated:
		// A later process on this VM has taken the name over: peers ignore
		// this one for good, and what it told callers would be heard by them
		// alone.
		return []messenger.Effect{messenger.Exit{}}
	case gossiper.ServerRemoved:
		delete(r.loads, ch.VM)
		return r.requests.ServerRemoved(w, ch.VM)
	}
	return nil
}

func noteChange(ch gossiper.Change) messenger.TimelineEntry {
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

func (r *Reducer) gossipReceived(w *conductor.Env, e messenger.GossipReceived) []messenger.Effect {
	changes, err := r.members.Receive(w.Now, e.From, e.Data)
	if err != nil {
		return []messenger.Effect{
			messenger.TimelineEntry{
				Kind:   "gossip_unreadable",
				VM:     e.From,
				Detail: err.Error(),
			},
		}
	}
	return r.membersChanged(w, changes)
}

// drainStarted begins a planned stop: peers learn of it by the same mark as
// of a reclaim, so that callers are sent elsewhere and copies move away.
func (r *Reducer) drainStarted(w *conductor.Env, e messenger.DrainStarted) []messenger.Effect {
	if r.gateway != nil {
		return r.gatewayDrain(w, e)
	}
	r.provisioner.Stop()
	began := r.requests.Drain(w, e.Deadline, true)
	marked := r.membersChanged(w, r.members.MarkLeaving(w.Now, r.config.Self, e.Deadline))
	// A node with nothing in flight ends at once. Peers that learned of it only
	// by its silence would give it out until then, so they are told first.
	return slices.Concat(r.tickGossip(w), began, marked)
}

// tickGossip sends this node's news and takes up what silence says.
func (r *Reducer) tickGossip(w *conductor.Env) []messenger.Effect {
	r.members.SetStatus(gossiper.Status{
		Revision: r.revision(),
		Demand:   r.ownDemand(w.Now),
	})
	messages, changes := r.members.Tick(w.Now, r.rand)
	var out []messenger.Effect
	for _, m := range messages {
		out = append(out, messenger.SendGossip{
			Peer:    m.Peer,
			Address: m.Address,
			Data:    m.Data,
		})
	}
	return append(out, r.membersChanged(w, changes)...)
}

func (r *Reducer) ownDemand(now timekeeper.Time) map[identifier.AccountID]gossiper.Demand {
	if r.gateway != nil {
		return nil // Limits are granted centrally, not shared by demand.
	}
	own := r.limits.Demand(now)
	out := make(map[identifier.AccountID]gossiper.Demand, len(own))
	for account, d := range own {
		out[account] = gossiper.Demand(d)
	}
	return out
}

// shareLimits divides the accounts' limits by the demand that peers report.
func (r *Reducer) shareLimits(now timekeeper.Time) {
	peers := map[identifier.VMID]map[identifier.AccountID]limiter.Demand{}
	for vm, news := range r.members.Statuses() {
		demand := make(map[identifier.AccountID]limiter.Demand, len(news.Demand))
		for account, d := range news.Demand {
			demand[account] = limiter.Demand(d)
		}
		peers[vm] = demand
	}
	r.limits.SetPeers(now, peers)
}

// newcomerUntil is until when a node that joined now hears of all that this one knows.
// Where nodes are many it hears so once from each relay of its zone, which is one of many
// messages that reach it; where they are few, from each node for a while.
func (r *Reducer) newcomerUntil(now timekeeper.Time) timekeeper.Time {
	if len(r.ranking.Peers()) > sharePeers {
		return now
	}
	return now.Add(newcomerTime)
}
