package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// permitPurpose begins the names under which nodes are ranked that grant permits for a
// server while no node holds the lease of the duties.
const permitPurpose = "permits/"

// permitsOf returns the peer that grants permits for a server, or nil where this node
// does. That is the holder of the lease or, while none can be asked, the node that all
// nodes rank first for the server: a server would get nothing for the seconds that a new
// holder takes.
func (r *Reducer) permitsOf(w *conductor.Env, server identifier.VMID) *dispatcher.Allocator {
	if _, _, held := r.gateway.leases.Held(dutyLease, w.Now); held {
		return nil
	}
	if granter := r.granterNow(w); granter != nil {
		return granter
	}
	first := r.ranking.First(permitPurpose+string(server), 1)
	if len(first) == 0 || first[0].VM == r.config.Self {
		return nil
	}
	return &dispatcher.Allocator{
		Node:    first[0].VM,
		Address: first[0].PeerAddress,
	}
}

// serverLimitHeard takes in what a server's answer to this node states of its limit.
func (r *Reducer) serverLimitHeard(w *conductor.Env, e messenger.ServerLimitReceived) []messenger.Effect {
	change, changed := r.gateway.limits.Observe(w.Now, e)
	if !changed {
		return nil
	}
	r.gateway.nextShare = min(r.gateway.nextShare, w.Now.Add(endsSoon))
	return []messenger.Effect{limitNote(change)}
}

// learnLimits takes in what a peer knows of servers' limits.
func (r *Reducer) learnLimits(w *conductor.Env, limits []messenger.ServerLimit) []messenger.Effect {
	var out []messenger.Effect
	for _, l := range limits {
		if s, known := r.gateway.servers.Server(l.Server); !known || s.State == messenger.ServerRemoved {
			continue
		}
		if change, changed := r.gateway.limits.Merge(w.Now, l); changed {
			out = append(out, limitNote(change))
		}
	}
	return out
}

// permitAsked answers a peer that asks for a permit. What it knows of the limits may be
// newer than what this node does.
func (r *Reducer) permitAsked(w *conductor.Env, e messenger.PermitRequested) []messenger.Effect {
	return append(r.learnLimits(w, e.Limits), messenger.AnswerPermit{
		Ticket: e.Ticket,
		Answer: dispatcher.GrantPermit(r.exchangeWorld(w), e.Limits),
	})
}

// permitAnswered goes on with an exchange for which a permit was asked.
func (r *Reducer) permitAnswered(w *conductor.Env, e messenger.PermitAnswered) []messenger.Effect {
	r.granterAnswered(w, e.Unknown, e.NotGranting)
	return r.withNews(w, r.gateway.exchanges.PermitAnswered(r.exchangeWorld(w), e))
}

// limitNote tells the time line of a server's limit.
func limitNote(c throttler.Change) messenger.Effect {
	if !c.Limited {
		return messenger.TimelineEntry{
			Kind:   "server_limit_lifted",
			VM:     c.Server,
			Detail: fmt.Sprintf("direct=%t", c.Direct),
		}
	}
	return messenger.TimelineEntry{
		Kind:   "server_limited",
		VM:     c.Server,
		Detail: fmt.Sprintf("requests_per_second=%g direct=%t", c.Rate, c.Direct),
	}
}
