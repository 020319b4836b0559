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

// planOrders orders the engines of a pool to run the models wanted of them.
func (p *Provisioner) planOrders(in Input, name identifier.PoolName, state *pool, tenure commander.Lease) []messenger.Effect {
	spec := in.Catalog.Pools[name]
	if spec.Kind != catalog.ModelService {
		return nil
	}
	orders := state.commander.Plan(in.Now, commander.Input{
		Pool:    spec,
		Lease:   tenure,
		Servers: commanderServers(in, name),
	})
	var out []messenger.Effect
	for _, o := range orders {
		o.Ticket = p.ticketFor(ticket{
			pool:  name,
			fence: tenure.Fence,
		})
		out = append(out, o, messenger.TimelineEntry{
			Kind:   "order_given",
			VM:     o.Server,
			Detail: fmt.Sprintf("kind=%s model=%s fence=%d", o.Order.Kind, o.Order.Model, o.Order.Fence),
		})
	}
	return out
}

// OrderEnded tells the commander what became of an order.
func (p *Provisioner) OrderEnded(now timekeeper.Time, e messenger.OrderEnded) []messenger.Effect {
	t, known := p.take(e.Ticket)
	if !known {
		return nil
	}
	p.pool(t.pool).commander.OrderEnded(now, e.Server, t.fence, e.OK, e.Stale)
	return nil
}

// commanderServers says which model is wanted of each server: the pool's
// models in turn, by the order of the servers' ids.
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

// modelsOf returns the models that the services of a pool ask for, sorted.
func modelsOf(c *catalog.Catalog, pool identifier.PoolName) []identifier.ModelName {
	set := map[identifier.ModelName]bool{}
	for _, s := range c.Services {
		if s.Pool == pool && s.Model != "" {
			set[s.Model] = true
		}
	}
	return sortedKeys(set)
}

func poolNames(c *catalog.Catalog) []identifier.PoolName { return sortedKeys(c.Pools) }

func sortedKeys[K ~string, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
