package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ServersLeaving makes one plan for all streams of this node on servers that
// are leaving. It is called again for each further notice; exports in progress
// are not changed.
func (c *Conductor) ServersLeaving(env *Env) []messenger.Effect {
	if env.Catalog == nil {
		return nil
	}
	byPool := map[identifier.PoolName][]planner.Stream{}
	var pools []identifier.PoolName
	var out []messenger.Effect
	for _, r := range c.sortedRequests() {
		if !r.runsOnLeavingServer(env) {
			continue
		}
		if !r.hasTokens() {
			// The request is queued on the server, so there is nothing to
			// export.
			out = append(out, c.moveByPrefill(env, r)...)
			continue
		}
		if byPool[r.service.Pool] == nil {
			pools = append(pools, r.service.Pool)
		}
		byPool[r.service.Pool] = append(byPool[r.service.Pool], plannerStream(env, r))
	}
	for _, pool := range pools {
		out = append(out, c.planPool(env, pool, byPool[pool])...)
	}
	return out
}

func (c *Conductor) planPool(env *Env, pool identifier.PoolName, streams []planner.Stream) []messenger.Effect {
	leaving := map[identifier.VMID]timekeeper.Time{}
	var headroom []planner.Headroom
	for _, s := range env.Members.Servers(pool) {
		if s.Leaving {
			leaving[s.VM] = s.LeaveBy
			continue
		}
		headroom = append(headroom, c.headroom(env, pool, s))
	}
	rate := env.Catalog.Pools[pool].TransferRate
	share := c.nodeShare(env, leaving, len(streams))
	rules := c.config.PlanRules
	rules.LinkShare = share.LinkShare()
	moves := planner.PlanWave(env.Now, leaving, rate, streams, share.Headroom(headroom), rules)
	var out []messenger.Effect
	for _, m := range moves {
		r := c.requests[m.Request]
		r.move = moveState{
			action:  m.Action,
			target:  m.To,
			startAt: m.Start,
		}
		out = append(out, c.timelineEntry("move_planned", r, fmt.Sprintf("action=%s to=%s", m.Action, m.To)))
		out = append(out, c.startDueMove(env, r)...)
	}
	return out
}

// nodeShare returns this node's share of the headroom and bandwidth: all nodes
// plan at the same time, each for its own streams.
func (c *Conductor) nodeShare(env *Env, leaving map[identifier.VMID]timekeeper.Time, own int) planner.NodeShare {
	share := planner.NodeShare{
		Self:       c.config.Self,
		OwnStreams: own,
	}
	for _, n := range env.Members.Nodes() {
		if n.State == gossiper.Alive {
			share.Nodes = append(share.Nodes, n.VM)
		}
	}
	for vm := range leaving {
		share.TotalStreams += env.Loads[vm].Running
	}
	return share
}

// runsOnLeavingServer reports whether the stream of r runs on a server that is
// leaving and is not being exported to another.
func (r *request) runsOnLeavingServer(env *Env) bool {
	if r.phase != running || !r.isModel() || r.move.exportStarted {
		return false
	}
	server, known := env.Members.Server(r.server)
	return known && server.Leaving
}

// hasTokens reports whether r has received a token of its answer.
func (r *request) hasTokens() bool { return r.firstTokenAt != 0 || r.delivered > 0 }

// plannerStream describes the stream of r to the planner.
func plannerStream(env *Env, r *request) planner.Stream {
	pool := env.Catalog.Pools[r.service.Pool]
	target := env.Catalog.Target(r.spec.Account, r.spec.Service)
	context := r.spec.PromptTokens + r.delivered
	return planner.Stream{
		Request:          r.spec.Request,
		Attempt:          r.attempt,
		Server:           r.server,
		Zone:             r.zone,
		Remaining:        r.spec.MaxTokens - r.delivered,
		TokensPerSecond:  r.tokensPerSecond(pool.TokensPerSecond),
		Context:          context,
		KVBytes:          identifier.Bytes(context) * pool.KVBytesPerToken,
		Penalty:          target.Penalty,
		Target:           r.spec.Received.Add(target.Completion),
		Deadline:         r.spec.Deadline,
		Priority:         r.service.Priority,
		PrefillPerSecond: pool.PrefillPerSecond,
	}
}

func (c *Conductor) headroom(env *Env, name identifier.PoolName, s gossiper.Server) planner.Headroom {
	pool := env.Catalog.Pools[name]
	load := env.Loads[s.VM]
	busy := max(c.attemptsOnServer[s.VM], load.Running)
	return planner.Headroom{
		Server:   s.VM,
		Zone:     s.Zone,
		Slots:    max(0, pool.Slots-busy),
		KVTokens: load.FreeKVTokens,
	}
}
