package provisioner

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/commander"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/scaler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// planVMs buys and releases VMs of a pool.
func (p *Provisioner) planVMs(in Input, name identifier.PoolName, state *pool, tenure commander.Lease) []messenger.Effect {
	actions := state.scaler.Plan(in.Now, p.scalerInput(in, name, state, tenure), in.Rand)
	var out []messenger.Effect
	for _, a := range actions {
		out = append(out, p.carryOut(name, a, tenure)...)
	}
	return out
}

func (p *Provisioner) scalerInput(in Input, name identifier.PoolName, state *pool, tenure commander.Lease) scaler.Input {
	return scaler.Input{
		Catalog:   in.Catalog,
		Fence:     tenure.Fence,
		SafeAfter: tenure.SafeAfter.Add(purchaseTime),
		ListAsOf:  p.listAsOf,
		Servers:   scalerServers(in, name),
		Demand:    p.demand(in, name, state),
	}
}

func (p *Provisioner) carryOut(name identifier.PoolName, a scaler.Action, tenure commander.Lease) []messenger.Effect {
	if a.Kind == scaler.Release {
		return []messenger.Effect{
			messenger.ReleaseVM{
				VM:       a.VM,
				NotAfter: tenure.NotAfter,
			},
			messenger.TimelineEntry{
				Kind:   "vm_released",
				VM:     a.VM,
				Detail: fmt.Sprintf("pool=%s fence=%d", name, tenure.Fence),
			},
		}
	}
	id := p.ticketFor(ticket{
		pool:  name,
		token: a.ClientToken,
		fence: tenure.Fence,
	})
	return []messenger.Effect{
		messenger.BuyVM{
			Ticket:      id,
			ClientToken: a.ClientToken,
			Class:       a.Class,
			Zone:        a.Zone,
			Market:      a.Market,
			Pool:        name,
			NotAfter:    tenure.NotAfter,
		},
		messenger.TimelineEntry{
			Kind:   "vm_wanted",
			VM:     p.config.Self,
			Detail: fmt.Sprintf("pool=%s zone=%s market=%s token=%s", name, a.Zone, a.Market, a.ClientToken),
		},
	}
}

// BuyEnded tells the scaler what became of a purchase.
func (p *Provisioner) BuyEnded(now timekeeper.Time, e messenger.BuyEnded) []messenger.Effect {
	t, known := p.take(e.Ticket)
	if !known {
		return nil
	}
	p.pool(t.pool).scaler.PurchaseEnded(now, t.token, scaler.PurchaseResult{
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

// scalerServers describes a pool's servers to the scaler.
func scalerServers(in Input, name identifier.PoolName) []scaler.Server {
	var out []scaler.Server
	for _, s := range in.Members.Servers(name) {
		out = append(out, s.VMState)
	}
	return out
}

// demand estimates what all nodes ask of a pool. The servers' reports cover
// all nodes' requests; what is interactive among them, and how many arrive, is
// taken from this node's own and scaled up, since callers spread over nodes.
func (p *Provisioner) demand(in Input, name identifier.PoolName, state *pool) scaler.Demand {
	own := in.Demand(name)
	busy := 0
	for _, s := range in.Members.Servers(name) {
		load := in.Loads[s.VM]
		busy += load.Running + load.Waiting
	}
	busy = max(busy, own.InFlight)
	interactive := 0.0
	if own.InFlight > 0 {
		interactive = float64(busy) * float64(own.Interactive) / float64(own.InFlight)
	}
	arrived := own.Arrivals - state.arrivals
	state.arrivals = own.Arrivals
	return scaler.Demand{
		InFlight:    float64(busy),
		Interactive: interactive,
		Arrivals:    arrived * max(1, len(in.Members.Nodes())),
	}
}
