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

// noticed is the news at one node that servers are leaving.
func (n *node) noticed(servers []*server) {
	for _, s := range servers {
		v := n.view(s.state.VM)
		v.leaving = true
		v.leaveBy = s.leaveBy
	}
	if n.world.variant.Reclaim != Planned {
		return
	}
	n.plan++
	for _, p := range n.world.deployment.Pools {
		if p.KVBytesPerToken > 0 {
			n.planPool(p.Name)
		}
	}
}

// planPool plans for this node's streams on the leaving servers of a pool.
func (n *node) planPool(pool identifier.PoolName) {
	leaving := make(map[identifier.VMID]timekeeper.Time)
	var rooms []planner.Headroom
	running := 0
	for _, s := range n.world.pools[pool] {
		if !n.knows(s) {
			continue
		}
		v := n.view(s.state.VM)
		if v.leaving {
			leaving[s.state.VM] = v.leaveBy
			running += v.load.Running
			continue
		}
		rooms = append(rooms, n.room(s, v))
	}
	streams := n.endangered(pool, leaving)
	if len(streams) == 0 {
		return
	}
	rate := n.world.catalog.Pools[pool].TransferRate
	rules := n.world.variant.Planner
	if n.world.variant.ShareHeadroom {
		part := n.part(len(streams), running)
		rooms = part.Headroom(rooms)
		rules.LinkShare = part.LinkShare()
	}
	for _, m := range planner.PlanWave(n.world.now, leaving, rate, streams, rooms, rules) {
		n.carryOut(m)
	}
}

func (n *node) part(own, running int) planner.NodeShare {
	p := planner.NodeShare{
		Self:         n.id,
		OwnStreams:   own,
		TotalStreams: running,
	}
	for _, peer := range n.world.nodes {
		p.Nodes = append(p.Nodes, peer.id)
	}
	return p
}

func (n *node) room(s *server, v *view) planner.Headroom {
	return planner.Headroom{
		Server:   s.state.VM,
		Zone:     s.state.Zone,
		Slots:    max(0, s.pool.Slots-max(v.own, v.load.Running)-v.load.Waiting),
		KVTokens: v.load.FreeKVTokens,
	}
}

// endangered returns this node's streams on leaving servers. Those without a
// token yet have nothing to move: they are routed again at once.
func (n *node) endangered(pool identifier.PoolName, leaving map[identifier.VMID]timekeeper.Time) []planner.Stream {
	live := slices.SortedFunc(maps.Values(n.live), func(a, b *request) int {
		return cmp.Compare(a.id, b.id)
	})
	var streams []planner.Stream
	for _, r := range live {
		a := r.current
		if r.kind.Service.Pool != pool || a == nil {
			continue
		}
		if _, gone := leaving[a.server.state.VM]; !gone {
			continue
		}
		if !a.gotFirst {
			n.move(a)
			continue
		}
		streams = append(streams, n.describe(a))
	}
	return streams
}

func (n *node) describe(a *attempt) planner.Stream {
	r, s := a.request, a.server
	s.advance()
	delivered := identifier.Tokens(r.delivered)
	return planner.Stream{
		Request:          r.id,
		Attempt:          identifier.AttemptNumber(r.attempts),
		Server:           s.state.VM,
		Zone:             s.state.Zone,
		Remaining:        max(r.max-delivered, 0),
		TokensPerSecond:  s.pace(),
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

// carryOut does one move of a plan when its time has come. A stream resumed by
// prefill is routed, as the conductor does: the router knows the caches.
func (n *node) carryOut(m planner.Move) {
	r := n.live[m.Request]
	a, plan := r.current, n.plan
	if m.Action == planner.Finish || m.Action == planner.Export && a.movingTo == m.To {
		return
	}
	n.world.at(m.Start, func() {
		if r.current != a || n.plan != plan || a.movingTo != "" {
			return
		}
		if m.Action == planner.Export {
			n.export(a, n.world.cloud.servers[m.To])
			return
		}
		n.move(a)
	})
}

// takes tells whether the node may still send the server work.
func (n *node) takes(s *server) bool {
	return n.knows(s) && !n.view(s.state.VM).leaving
}

// move ends an attempt on a leaving server and lets the router place it.
func (n *node) move(a *attempt) {
	r := a.request
	a.server.remove(a)
	n.leave(a)
	n.world.tally.moved++
	r.avoidZones = map[identifier.Zone]bool{a.server.state.Zone: true}
	n.resume(r)
}

func (n *node) moveTo(a *attempt, to *server, mode messenger.StartMode) {
	r := a.request
	a.server.remove(a)
	n.leave(a)
	n.world.tally.moved++
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
				MaxTokens:    r.max - identifier.Tokens(r.delivered),
			}
			return router.Predict(n.world.now, job, c, n.world.variant.Router)
		}
	}
	return router.Prediction{}
}

// export copies the KV cache over the links of both servers, which serve one
// export after the other. The stream runs on until its turn comes.
func (n *node) export(a *attempt, to *server) {
	if !n.takes(to) {
		n.move(a)
		return
	}
	from := a.server
	from.advance()
	size := float64(a.request.context()) * float64(from.pool.KVBytesPerToken)
	start := max(n.world.now, from.linkFree, to.linkFree)
	span := timekeeper.Duration(size/float64(from.pool.TransferRate)*float64(timekeeper.Second)) + timekeeper.Millisecond
	end := start.Add(span)
	from.linkFree, to.linkFree = end, end
	a.movingTo, a.movingUntil = to.state.VM, end
	n.world.at(start, func() {
		if a.phase == phaseDecode {
			from.advance()
			a.phase = phaseExport
			from.reschedule()
		}
	})
	n.world.at(end, func() { n.exported(a, to) })
}

func (n *node) exported(a *attempt, to *server) {
	if a.phase != phaseExport {
		return
	}
	if !n.takes(to) {
		n.move(a)
		return
	}
	n.world.tally.exported++
	n.moveTo(a, to, messenger.StartImported)
}
