package reducer

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/internal/sizer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// gatewayLogRead applies records of the streams of the leader tasks.
func (r *Reducer) gatewayLogRead(env *conductor.Env, e messenger.LogRead) []messenger.Effect {
	g := r.gateway
	switch e.Stream {
	case leaser.Stream:
		g.leaseRead = true
		g.leases.ApplyRecords(env.Now, e)
	case quarantiner.Stream:
		g.quarantineRead = true
		return r.quarantineRead(env, e)
	case resumer.Stream:
		return r.originsRead(env, e)
	case accountant.Stream:
		unreadable := g.usage.Ignored()
		g.usage.ApplyRecords(env.Now, e)
		out := r.tickUsage(env)
		if n := g.usage.Ignored() - unreadable; n > 0 {
			out = append(out, messenger.TimelineEntry{
				Kind:   "usage_unreadable",
				VM:     r.config.Self,
				Detail: fmt.Sprintf("records=%d", n),
			})
		}
		return out
	}
	return nil
}

// tickCandidacy decides whether this node may hold the lease. Nodes that are cut off from the store
// can't be told from those that have not acquired it yet, so that others stand in for them while no
// node holds it. A node that reads of a lease for the first time waits for a whole term, so that
// those that may hold it anyway come first. Stand-ins withdraw when a node holds it.
func (r *Reducer) tickCandidacy(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if g.settled && !g.leaderCandidate {
		g.leaderCandidate = r.ranking.Chosen(string(leaderLease), leaderNodes)
	}
	_, notAfter, held := g.leases.Held(leaderLease, env.Now)
	if held {
		g.holderUntil = max(g.holderUntil, notAfter)
	}
	if env.Now.Sub(g.servers.AsOf()) > registrar.MinOutage {
		// No node reaches the store, so that none can acquire the lease.
		g.holderUntil = max(g.holderUntil, env.Now)
	}
	vacant := env.Now.Sub(max(g.holderUntil, g.startedAt.Add(leaseTTL)))
	groups := 2 + int(vacant/vacancyTime)
	standIn := g.settled && !g.leaderCandidate &&
		(held || vacant > 0 && r.ranking.Chosen(string(leaderLease), groups*leaderNodes))
	if !standIn && !g.leaderCandidate {
		g.leases.Forgo(env.Now, leaderLease)
	}
	if standIn == g.standIn {
		return nil
	}
	g.standIn = standIn
	kind := messenger.TimelineKind("lease_stand_in")
	if !standIn {
		kind = "lease_stand_in_ended"
	}
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   kind,
			VM:     r.config.Self,
			Detail: fmt.Sprintf("allocator=%s vacant=%s", g.allocator, max(vacant, 0)),
		},
	}
}

// tickLeaderTasks tries to acquire or renew the lease and, while the node holds it,
// runs the leader tasks.
func (r *Reducer) tickLeaderTasks(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if !g.draining && g.settled && (g.standIn || r.ranking.Chosen(string(leaderLease), leaderNodes)) {
		g.leases.Want(env.Now, leaderLease)
	}
	var out []messenger.Effect
	for _, a := range g.leases.Tick(env.Now, r.rand) {
		out = append(out, messenger.AppendRecord{
			Stream: a.Stream,
			Data:   a.Data,
		})
	}
	out = append(out, r.recordLeadership(env)...)
	if !g.config.LeaderTasks {
		return out
	}
	out = append(out, r.tickUsage(env)...)
	return append(out, r.tickSizes(env)...)
}

// recordLeadership records in the time line that this node acquired or lost the lease,
// and resets the state that another holder may have changed meanwhile.
func (r *Reducer) recordLeadership(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	fence, _, held := g.leases.Held(leaderLease, env.Now)
	if !held {
		fence = 0
	}
	if fence == g.heldFence {
		return nil
	}
	g.heldFence = fence
	g.sizes.Forget()
	g.centralLimits = limiter.NewCentral(limiter.CentralConfig{Window: g.config.LimitWindow})
	kind := messenger.TimelineKind("duties_held")
	if !held {
		// Peers request from another node from now on.
		g.allocator = g.self
		g.allocatorSeen = freshness{}
		g.nextUpdate = min(g.nextUpdate, env.Now)
		kind = "duties_lost"
	}
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   kind,
			VM:     r.config.Self,
			Detail: fmt.Sprintf("fence=%d", fence),
		},
	}
}

func (r *Reducer) tickUsage(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if !g.config.LeaderTasks {
		return nil
	}
	out := g.usage.RewriteLostRecords(env.Now)
	fence, notAfter, held := g.leases.Held(leaderLease, env.Now)
	if !held {
		return out
	}
	return append(out, g.usage.Tick(env.Now, fence, notAfter)...)
}

// tickSizes orders the backend servers that the demand requires.
func (r *Reducer) tickSizes(env *conductor.Env) []messenger.Effect {
	g := r.gateway
	if g.catalog == nil || env.Now.Before(g.nextPlan) {
		return nil
	}
	g.nextPlan = env.Now.Add(planInterval)
	fence, notAfter, held := g.leases.Held(leaderLease, env.Now)
	var out []messenger.Effect
	for _, service := range slices.Sorted(maps.Keys(g.catalog.Routing.Backends)) {
		in := g.sizerInput(env.Now, service)
		if !held {
			g.sizes.Observe(in)
			continue
		}
		before := g.sizes.NeededServers(service)
		orders := g.sizes.Plan(in)
		if need := g.sizes.NeededServers(service); need != before {
			out = append(out, r.sizeEntry(in, need))
		}
		for _, o := range orders {
			out = append(out, messenger.OrderServers{
				Order:    o,
				Fence:    fence,
				NotAfter: notAfter,
			})
		}
	}
	return out
}

// sizeEntry returns a time line entry with a service's size and the inputs to it.
func (r *Reducer) sizeEntry(in sizer.Input, need int) messenger.TimelineEntry {
	return messenger.TimelineEntry{
		Kind:   "service_sized",
		VM:     r.config.Self,
		Detail: fmt.Sprintf("service=%s need=%d busy=%.2f running=%d", in.Service, need, in.Demand.OfferedLoad, in.Demand.Running),
	}
}

func (g *gateway) sizerInput(now timekeeper.Time, service identifier.ServiceName) sizer.Input {
	return sizer.Input{
		Now:     now,
		Service: service,
		Fleet:   g.catalog.Routing.Backends[service].Fleet,
		Servers: g.versions.PrimaryServers(service, g.servers.ServersOf(service)),
		Demand:  g.exchanges.Demand(now, service),
		// Orders count all servers of a fleet, whatever their version.
		GrowOnly: g.versions.InProgress(service),
	}
}

func (r *Reducer) serversOrdered(env *conductor.Env, e messenger.ServersOrdered) []messenger.Effect {
	g := r.gateway
	g.sizes.OrderEnded(env.Now, e.Order, e.Result)
	r.releaseIfFenced(e.Result)
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind: "servers_ordered",
			VM:   r.config.Self,
			Detail: fmt.Sprintf("service=%s zone=%s market=%s count=%d result=%s",
				e.Order.Service, e.Order.Zone, e.Order.Market, e.Order.Count, e.Result),
		},
	}
}

func (r *Reducer) usageReported(e messenger.UsageReported) []messenger.Effect {
	g := r.gateway
	g.usage.ReportEnded(e.Window, e.Result)
	r.releaseIfFenced(e.Result)
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "usage_reported",
			VM:     r.config.Self,
			Detail: fmt.Sprintf("window=%d result=%s", e.Window, e.Result),
		},
	}
}
