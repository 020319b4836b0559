package reducer

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// permitPurposePrefix is the prefix of the purposes for which nodes are ranked to grant
// permits for a server while no node holds the lease.
const permitPurposePrefix = "permits/"

// permitAllocator returns the peer that grants permits for a server, or nil if this
// node does. It is the holder of the lease or, while that can't be reached, the node
// ranked first for the server, because otherwise the server would get no requests until
// a new holder takes over.
func (r *Reducer) permitAllocator(env *conductor.Env, server identifier.VMID) *dispatcher.Allocator {
	if _, _, held := r.gateway.leases.Held(leaderLease, env.Now); held {
		return nil
	}
	if allocator := r.reachableAllocator(env); allocator != nil {
		return allocator
	}
	first := r.ranking.First(permitPurposePrefix+string(server), 1)
	if len(first) == 0 || first[0].VM == r.config.Self {
		return nil
	}
	return allocatorAt(first[0])
}

// serverLimitReceived applies the limit in a server's answer to this node.
func (r *Reducer) serverLimitReceived(env *conductor.Env, e messenger.ServerLimitReceived) []messenger.Effect {
	e.Server = r.gateway.servers.StartAt(e.Server, e.Sent)
	change, changed := r.gateway.serverLimits.Observe(env.Now, e)
	if !changed {
		return nil
	}
	r.gateway.nextUpdate = min(r.gateway.nextUpdate, env.Now.Add(updateBatchDelay))
	return []messenger.Effect{serverLimitEntry(change)}
}

// inheritServerLimit applies a limit to the start of a server that followed an ended one, if
// that start stated it before its entry was known.
func (r *Reducer) inheritServerLimit(env *conductor.Env, ended identifier.VMID) []messenger.Effect {
	later := r.gateway.servers.StartAt(ended, env.Now)
	if later == ended {
		return nil
	}
	_, began := later.Start()
	change, changed := r.gateway.serverLimits.Inherit(env.Now, ended, later, timekeeper.Time(began))
	if !changed {
		return nil
	}
	return []messenger.Effect{serverLimitEntry(change)}
}

// mergeServerLimits applies the limits of servers that a peer reports. A node that does not
// know all servers yet may receive a limit before the server's entry.
func (r *Reducer) mergeServerLimits(env *conductor.Env, limits []messenger.ServerLimit) []messenger.Effect {
	var out []messenger.Effect
	for _, l := range limits {
		if _, known := r.gateway.servers.Server(l.Server); !known && r.gateway.knowsAllServers {
			continue
		}
		if change, changed := r.gateway.serverLimits.Merge(env.Now, l); changed {
			out = append(out, serverLimitEntry(change))
		}
	}
	return out
}

// permitEvent applies an event of the permits for servers that state a limit.
func (r *Reducer) permitEvent(env *conductor.Env, body messenger.EventBody) []messenger.Effect {
	switch b := body.(type) {
	case messenger.PermitRequested:
		return r.permitRequested(env, b)
	case messenger.PermitAnswered:
		return r.permitAnswered(env, b)
	}
	return nil
}

// permitRequested answers a peer's request for a permit. The limits in the request may
// be newer than those that this node knows.
func (r *Reducer) permitRequested(env *conductor.Env, e messenger.PermitRequested) []messenger.Effect {
	return append(r.mergeServerLimits(env, e.Limits), messenger.AnswerPermit{
		Ticket: e.Ticket,
		Answer: dispatcher.GrantPermit(r.exchangeEnv(env), e.Limits),
	})
}

// permitAnswered continues an exchange that waited for a permit.
func (r *Reducer) permitAnswered(env *conductor.Env, e messenger.PermitAnswered) []messenger.Effect {
	r.allocatorAnswered(env, e.Unknown, e.NotGranting)
	return r.withUpdates(env, r.gateway.exchanges.PermitAnswered(r.exchangeEnv(env), e))
}

// serverLimitEntry returns a time line entry for a changed limit.
func serverLimitEntry(c throttler.Change) messenger.Effect {
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
