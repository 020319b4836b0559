package bencher

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/planner"
	"github.com/dotterelhollow/dotterelhollow/internal/router"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// receiveNotice handles a notice that servers will be removed.
func (n *node) receiveNotice(servers []*server) {
	for _, s := range servers {
		v := n.view(s.state.VM)
		v.leaving = true
		v.removalDeadline = s.removalDeadline
	}
	if n.sim.variant.Reclaim != Planned {
		return
	}
	n.planVersion++
	for _, p := range n.sim.deployment.Pools {
		if p.KVBytesPerToken > 0 {
			n.planPool(p.Name)
		}
	}
}

// planPool plans and starts the moves of this node's streams on the leaving
// servers of a pool.
func (n *node) planPool(pool identifier.PoolName) {
	leaving := make(map[identifier.VMID]timekeeper.Time)
	var headroom []planner.Headroom
	running := 0
	for _, s := range n.sim.pools[pool] {
		if !n.isDiscovered(s) {
			continue
		}
		v := n.view(s.state.VM)
		if v.leaving {
			leaving[s.state.VM] = v.removalDeadline
			running += v.load.Running
			continue
		}
		headroom = append(headroom, n.headroom(s, v))
	}
	streams := n.affectedStreams(pool, leaving)
	if len(streams) == 0 {
		return
	}
	rate := n.sim.catalog.Pools[pool].TransferRate
	rules := n.sim.variant.Planner
	if n.sim.variant.ShareHeadroom {
		share := n.nodeShare(len(streams), running)
		headroom = share.Headroom(headroom)
		rules.LinkShare = share.LinkShare()
	}
	for _, m := range planner.PlanWave(n.sim.now, leaving, rate, streams, headroom, rules) {
		n.execute(m)
	}
}

func (n *node) nodeShare(ownStreams, totalStreams int) planner.NodeShare {
	share := planner.NodeShare{
		Self:         n.id,
		OwnStreams:   ownStreams,
		TotalStreams: totalStreams,
	}
	for _, peer := range n.sim.nodes {
		share.Nodes = append(share.Nodes, peer.id)
	}
	return share
}

func (n *node) headroom(s *server, v *serverView) planner.Headroom {
	return planner.Headroom{
		Server:   s.state.VM,
		Zone:     s.state.Zone,
		Slots:    max(0, s.pool.Slots-max(v.ownInFlight, v.load.Running)-v.load.Waiting),
		KVTokens: v.load.FreeKVTokens,
	}
}

// affectedStreams returns this node's streams on leaving servers. Attempts
// without a first token have no state to move and are rerouted at once.
func (n *node) affectedStreams(pool identifier.PoolName, leaving map[identifier.VMID]timekeeper.Time) []planner.Stream {
	requests := slices.SortedFunc(maps.Values(n.active), func(a, b *request) int {
		return cmp.Compare(a.id, b.id)
	})
	var streams []planner.Stream
	for _, r := range requests {
		a := r.current
		if r.kind.Service.Pool != pool || a == nil {
			continue
		}
		if _, affected := leaving[a.server.state.VM]; !affected {
			continue
		}
		if !a.gotFirst {
			n.reroute(a)
			continue
		}
		streams = append(streams, n.streamOf(a))
	}
	return streams
}

func (n *node) streamOf(a *attempt) planner.Stream {
	r, s := a.request, a.server
	s.advance()
	delivered := identifier.Tokens(r.delivered)
	return planner.Stream{
		Request:          r.id,
		Attempt:          identifier.AttemptNumber(r.attempts),
		Server:           s.state.VM,
		Zone:             s.state.Zone,
		Remaining:        max(r.maxTokens-delivered, 0),
		TokensPerSecond:  s.rate(),
		PrefillPerSecond: s.pool.PrefillPerSecond,
		Context:          r.context(),
		KVBytes:          identifier.Bytes(r.context()) * s.pool.KVBytesPerToken,
		Penalty:          r.kind.Target.Penalty,
		Target:           r.arrival.Add(r.kind.Target.Completion),
		Deadline:         r.deadline,
		Priority:         r.kind.Service.Priority,
		MovingTo:         a.movingTo,
		MovingUntil:      a.movingUntil,
	}
}

// execute schedules one move of a plan. The router chooses the server for a
// stream that resumes by prefill, as in the conductor, because it knows the
// cached prefixes.
func (n *node) execute(m planner.Move) {
	r := n.active[m.Request]
	a, plan := r.current, n.planVersion
	if m.Action == planner.Finish || m.Action == planner.Export && a.movingTo == m.To {
		return
	}
	n.sim.at(m.Start, func() {
		if r.current != a || n.planVersion != plan || a.movingTo != "" {
			return
		}
		if m.Action == planner.Export {
			n.export(a, n.sim.cloud.servers[m.To])
			return
		}
		n.reroute(a)
	})
}

// acceptsWork reports whether the node may send requests to the server.
func (n *node) acceptsWork(s *server) bool {
	return n.isDiscovered(s) && !n.view(s.state.VM).leaving
}

// reroute ends an attempt on a leaving server and resumes the request on a
// server that the router chooses.
func (n *node) reroute(a *attempt) {
	r := a.request
	a.server.remove(a)
	n.endAttempt(a)
	n.sim.tally.moved++
	r.avoidZones = map[identifier.Zone]bool{a.server.state.Zone: true}
	n.resume(r)
}

func (n *node) restartOn(a *attempt, to *server, mode messenger.StartMode) {
	r := a.request
	a.server.remove(a)
	n.endAttempt(a)
	n.sim.tally.moved++
	n.send(r, router.Choice{
		Server:    to.state.VM,
		Predicted: n.predict(r, to),
	}, mode)
}

func (n *node) predict(r *request, to *server) router.Prediction {
	for _, c := range n.candidatesFor(r) {
		if c.Server == to.state.VM {
			job := router.Job{
				PromptTokens: r.context(),
				MaxTokens:    r.maxTokens - identifier.Tokens(r.delivered),
			}
			return router.Predict(n.sim.now, job, c, n.sim.variant.Router)
		}
	}
	return router.Prediction{}
}

// export copies the KV cache over the links of both servers, which process
// exports one at a time. The stream continues to decode until its export
// starts.
func (n *node) export(a *attempt, to *server) {
	if !n.acceptsWork(to) {
		n.reroute(a)
		return
	}
	from := a.server
	from.advance()
	size := float64(a.request.context()) * float64(from.pool.KVBytesPerToken)
	start := max(n.sim.now, from.linkIdleAt, to.linkIdleAt)
	span := timekeeper.Duration(size/float64(from.pool.TransferRate)*float64(timekeeper.Second)) + timekeeper.Millisecond
	end := start.Add(span)
	from.linkIdleAt, to.linkIdleAt = end, end
	a.movingTo, a.movingUntil = to.state.VM, end
	n.sim.at(start, func() {
		if a.phase == phaseDecode {
			from.advance()
			a.phase = phaseExport
			from.reschedule()
		}
	})
	n.sim.at(end, func() { n.exported(a, to) })
}

func (n *node) exported(a *attempt, to *server) {
	if a.phase != phaseExport {
		return
	}
	if !n.acceptsWork(to) {
		n.reroute(a)
		return
	}
	n.sim.tally.exported++
	n.restartOn(a, to, messenger.StartImported)
}
