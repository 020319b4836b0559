package provisioner

import (
	"fmt"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/commander"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// planOrders orders the engines of a pool to run the models of its services.
func (p *Provisioner) planOrders(in Input, name identifier.PoolName, state *poolState, lease commander.Lease) []messenger.Effect {
	poolConfig := in.Catalog.Pools[name]
	if poolConfig.Kind != catalog.ModelService {
		return nil
	}
	orders := state.commander.Plan(in.Now, commander.Input{
		Pool:    poolConfig,
		Lease:   lease,
		Servers: commanderServers(in, name),
	})
	var out []messenger.Effect
	for _, o := range orders {
		o.Ticket = p.newTicket(pendingEffect{
			pool:  name,
			fence: lease.Fence,
		})
		out = append(out, o, messenger.TimelineEntry{
			Kind:   "order_given",
			VM:     o.Server,
			Detail: fmt.Sprintf("kind=%s model=%s fence=%d", o.Order.Kind, o.Order.Model, o.Order.Fence),
		})
	}
	return out
}

// OrderEnded reports the result of an order to the commander.
func (p *Provisioner) OrderEnded(now timekeeper.Time, e messenger.OrderEnded) []messenger.Effect {
	t, known := p.takePending(e.Ticket)
	if !known {
		return nil
	}
	p.stateOf(t.pool).commander.OrderEnded(now, e.Server, t.fence, e.OK, e.Stale)
	return nil
}

// commanderServers assigns a model to each server: the pool's models in turn,
// in the order of the servers' ids.
func commanderServers(in Input, name identifier.PoolName) []commander.Server {
	models := modelsOf(in.Catalog, name)
	if len(models) == 0 {
		return nil
	}
	var out []commander.Server
	for i, s := range in.Members.Servers(name) {
		out = append(out, commanderServer(in, s, models[i%len(models)]))
	}
	return out
}

func commanderServer(in Input, s gossiper.Server, wanted identifier.ModelName) commander.Server {
	load, known := in.Loads[s.VM]
	return commander.Server{
		VM:      s.VM,
		Address: s.Address,
		Leaving: s.Leaving,
		Wanted:  wanted,
		Load:    load,
		HasLoad: known,
	}
}

// modelsOf returns the sorted models of a pool's services.
func modelsOf(c *catalog.Catalog, pool identifier.PoolName) []identifier.ModelName {
	models := map[identifier.ModelName]bool{}
	for _, s := range c.Services {
		if s.Pool == pool && s.Model != "" {
			models[s.Model] = true
		}
	}
	return sortedKeys(models)
}

func poolNames(c *catalog.Catalog) []identifier.PoolName { return sortedKeys(c.Pools) }

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
