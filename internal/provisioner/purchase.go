package provisioner

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/commander"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/scaler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// planVMs plans the purchases and releases of a pool.
func (p *Provisioner) planVMs(in Input, name identifier.PoolName, state *poolState, lease commander.Lease) []messenger.Effect {
	actions := state.scaler.Plan(in.Now, p.scalerInput(in, name, state, lease), in.Rand)
	var out []messenger.Effect
	for _, a := range actions {
		out = append(out, p.effectsOf(name, a, lease)...)
	}
	return out
}

func (p *Provisioner) scalerInput(in Input, name identifier.PoolName, state *poolState, lease commander.Lease) scaler.Input {
	return scaler.Input{
		Catalog:   in.Catalog,
		Fence:     lease.Fence,
		SafeAfter: lease.SafeAfter.Add(maxPurchaseDelay),
		ListAsOf:  p.listAsOf,
		Servers:   scalerServers(in, name),
		Demand:    p.demand(in, name, state),
	}
}

func (p *Provisioner) effectsOf(name identifier.PoolName, a scaler.Action, lease commander.Lease) []messenger.Effect {
	if a.Kind == scaler.Release {
		return []messenger.Effect{
			messenger.ReleaseVM{
				VM:       a.VM,
				NotAfter: lease.NotAfter,
			},
			messenger.TimelineEntry{
				Kind:   "vm_released",
				VM:     a.VM,
				Detail: fmt.Sprintf("pool=%s fence=%d", name, lease.Fence),
			},
		}
	}
	id := p.newTicket(pendingEffect{
		pool:  name,
		token: a.ClientToken,
		fence: lease.Fence,
	})
	return []messenger.Effect{
		messenger.BuyVM{
			Ticket:      id,
			ClientToken: a.ClientToken,
			Class:       a.Class,
			Zone:        a.Zone,
			Market:      a.Market,
			Pool:        name,
			NotAfter:    lease.NotAfter,
		},
		messenger.TimelineEntry{
			Kind:   "vm_wanted",
			VM:     p.config.Self,
			Detail: fmt.Sprintf("pool=%s zone=%s market=%s token=%s", name, a.Zone, a.Market, a.ClientToken),
		},
	}
}

// BuyEnded reports the result of a purchase to the scaler.
func (p *Provisioner) BuyEnded(now timekeeper.Time, e messenger.BuyEnded) []messenger.Effect {
	t, known := p.takePending(e.Ticket)
	if !known {
		return nil
	}
	p.stateOf(t.pool).scaler.PurchaseEnded(now, t.token, scaler.PurchaseResult{
		VM:        e.VM,
		Refused:   e.Refused,
		Ambiguous: e.Ambiguous,
	})
	return []messenger.Effect{
		messenger.TimelineEntry{
			Kind:   "vm_purchase_ended",
			VM:     e.VM,
			Detail: fmt.Sprintf("pool=%s token=%s refused=%t ambiguous=%t", t.pool, t.token, e.Refused, e.Ambiguous),
		},
	}
}

// scalerServers returns a pool's servers for the scaler.
func scalerServers(in Input, name identifier.PoolName) []scaler.Server {
	var out []scaler.Server
	for _, s := range in.Members.Servers(name) {
		out = append(out, s.VMState)
	}
	return out
}

// demand estimates the demand of all nodes for a pool. The servers' reports
// cover the requests of all nodes; the interactive fraction and the arrivals
// are extrapolated from this node, since callers are spread over the nodes.
func (p *Provisioner) demand(in Input, name identifier.PoolName, state *poolState) scaler.Demand {
	local := in.Demand(name)
	inFlight := 0
	for _, s := range in.Members.Servers(name) {
		load := in.Loads[s.VM]
		inFlight += load.Running + load.Waiting
	}
	inFlight = max(inFlight, local.InFlight)
	interactive := 0.0
	if local.InFlight > 0 {
		interactive = float64(inFlight) * float64(local.Interactive) / float64(local.InFlight)
	}
	newArrivals := local.Arrivals - state.lastArrivals
	state.lastArrivals = local.Arrivals
	return scaler.Demand{
		InFlight:    float64(inFlight),
		Interactive: interactive,
		Arrivals:    newArrivals * max(1, len(in.Members.Nodes())),
	}
}
