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
	"github.com/dotterelhollow/dotterelhollow/internal/sizer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// gatewayLogRead takes in records of the streams of the duties.
func (r *Reducer) gatewayLogRead(w *conductor.Env, e messenger.LogRead) []messenger.Effect {
	g := r.gateway
	switch e.Stream {
	case leaser.Stream:
		g.leaseRead = true
		g.leases.ApplyRecords(w.Now, e)
	case quarantiner.Stream:
		g.quarantineRead = true
		return r.quarantineRead(w, e)
	case accountant.Stream:
		unreadable := g.usage.Ignored()
		g.usage.Absorb(w.Now, e)
		out := r.tickUsage(w)
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

// tickDuties tries for the lease of the duties and, while it is held, does
// them.
func (r *Reducer) tickDuties(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	if !g.draining && g.settled && r.ranking.Chosen(string(dutyLease), dutyNodes) {
		g.leases.Want(w.Now, dutyLease)
	}
	var out []messenger.Effect
	for _, a := range g.leases.Tick(w.Now, r.rand) {
		out = append(out, messenger.AppendRecord{
			Stream: a.Stream,
			Data:   a.Data,
		})
	}
	out = append(out, r.noteTenure(w)...)
	if !g.config.LeaderTasks {
		return out
	}
	out = append(out, r.tickUsage(w)...)
	return append(out, r.tickSizes(w)...)
}

// noteTenure tells the time line when this node comes to hold the lease, or no
// longer does. Another holder may have ordered in between.
func (r *Reducer) noteTenure(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	fence, _, held := g.leases.Held(dutyLease, w.Now)
	if !held {
		fence = 0
	}
	if fence == g.holding {
		return nil
	}
	g.holding = fence
	g.sizes.Forget()
	g.central = limiter.NewCentral()
	kind := messenger.TimelineKind("duties_held")
	if !held {
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

func (r *Reducer) tickUsage(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	if !g.config.LeaderTasks {
		return nil
	}
	out := g.usage.Rewrite(w.Now)
	fence, notAfter, held := g.leases.Held(dutyLease, w.Now)
	if !held {
		return out
	}
	return append(out, g.usage.Tick(w.Now, fence, notAfter)...)
}

// tickSizes orders the backend servers that the demand takes.
func (r *Reducer) tickSizes(w *conductor.Env) []messenger.Effect {
	g := r.gateway
	if g.catalog == nil || w.Now.Before(g.nextPlan) {
		return nil
	}
	g.nextPlan = w.Now.Add(planEvery)
	fence, notAfter, held := g.leases.Held(dutyLease, w.Now)
	var out []messenger.Effect
	for _, service := range slices.Sorted(maps.Keys(g.catalog.Routing.Backends)) {
		in := g.sizing(w.Now, service)
		if !held {
			g.sizes.Observe(in)
			continue
		}
		before := g.sizes.NeededServers(service)
		orders := g.sizes.Plan(in)
		if need := g.sizes.NeededServers(service); need != before {
			out = append(out, r.sized(in, need))
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

// sized tells the time line what a service's size follows from.
func (r *Reducer) sized(in sizer.Input, need int) messenger.TimelineEntry {
	return messenger.TimelineEntry{
		Kind:   "service_sized",
		VM:     r.config.Self,
		Detail: fmt.Sprintf("service=%s need=%d busy=%.2f running=%d", in.Service, need, in.Demand.OfferedLoad, in.Demand.Running),
	}
}

// sizing is what a service is sized by.
func (g *gateway) sizing(now timekeeper.Time, service identifier.ServiceName) sizer.Input {
	return sizer.Input{
		Now:     now,
		Service: service,
		Fleet:   g.catalog.Routing.Backends[service].Fleet,
		Servers: g.versions.PrimaryServers(service, g.servers.ServersOf(service)),
		Demand:  g.exchanges.Demand(now, service),
		// The fleet is ordered by number, whatever the versions of its servers.
		GrowOnly: g.versions.InProgress(service),
	}
}

func (r *Reducer) serversOrdered(w *conductor.Env, e messenger.ServersOrdered) []messenger.Effect {
	g := r.gateway
	g.sizes.OrderEnded(w.Now, e.Order, e.Result)
	r.fencedOff(e.Result)
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
	g.usage.Reported(e.Window, e.Result)
	r.fencedOff(e.Result)
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "usage_reported",
			VM:     r.config.Self,
			Detail: fmt.Sprintf("window=%d result=%s", e.Window, e.Result),
		},
	}
}
