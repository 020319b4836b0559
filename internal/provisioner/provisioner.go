// Package provisioner runs the lease of each pool of backend servers. The node
// that holds a pool's lease buys and releases its VMs, by the plans of package
// scaler, and orders its engines to run the wanted models, by the plans of
// package commander. All other nodes only follow the leases in the log.
//
// Every purchase, release and order carries the instant past which the lease
// no longer covers it. The runner reads its clock right before the effect
// leaves: a process that was paused in between finds its lease lapsed.
package provisioner

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/commander"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/scaler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// planEvery is the spacing of the plans of one pool.
	planEvery = 1 * timekeeper.Second
	// defaultLoadTime is how long a new VM takes to load its weights.
	defaultLoadTime = 60 * timekeeper.Second
	// purchaseTime is the longest time that a purchase takes to show on the
	// list. A new holder waits it out before it trusts the list.
	purchaseTime = 15 * timekeeper.Second
	// maxTickets bounds the purchases and orders whose end is awaited.
	maxTickets = 1024
)

// Config says which process the provisioner works for.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	// Retention is the least time for which the log keeps a record.
	Retention timekeeper.Duration
	// LoadTime is how long a new VM takes until it serves.
	LoadTime timekeeper.Duration
}

// Provisioner is the state of all pools' leases on one node.
type Provisioner struct {
	config  Config
	leases  *leaser.Table
	pools   map[identifier.PoolName]*pool
	tickets map[identifier.Ticket]ticket
	next    identifier.Ticket
	// listAsOf is the instant of the newest list read.
	listAsOf timekeeper.Time
	stopped  bool
}

// pool is what this node does for one pool when it holds the lease.
type pool struct {
	scaler    *scaler.Scaler
	commander *commander.Commander
	nextPlan  timekeeper.Time
	arrivals  int
}

// ticket ties the end of an effect to the plan that wanted it.
type ticket struct {
	pool  identifier.PoolName
	token string
	fence identifier.Fence
}

// Input is what the provisioner reads of the rest of the state.
type Input struct {
	Now     timekeeper.Time
	Catalog *catalog.Catalog
	Members *gossiper.Members
	Loads   map[identifier.VMID]messenger.ServerLoad
	// Demand tells what this node's callers ask of a pool.
	Demand func(identifier.PoolName) Demand
	Rand   *rand.Rand
}

// Demand is what this node's callers ask of a pool.
type Demand struct {
	// InFlight is the number of requests in flight, Interactive the number of
	// these that are interactive, and Arrivals the number received since the
	// process started.
	InFlight    int
	Interactive int
	Arrivals    int
}

// New returns a provisioner that holds nothing.
func New(c Config) *Provisioner {
	if c.LoadTime == 0 {
		c.LoadTime = defaultLoadTime
	}
	return &Provisioner{
		config: c,
		leases: leaser.New(leaser.Config{
			Self:        c.Self,
			Incarnation: c.Incarnation,
			Retention:   c.Retention,
		}),
		pools:   map[identifier.PoolName]*pool{},
		tickets: map[identifier.Ticket]ticket{},
	}
}

// LogRead folds a read of the stream of leases.
func (p *Provisioner) LogRead(now timekeeper.Time, e messenger.LogRead) {
	p.leases.ApplyRecords(now, e)
}

// SetRetention takes up the retention of the log that the configuration says.
func (p *Provisioner) SetRetention(d timekeeper.Duration) { p.leases.SetRetention(d) }

// ListRead notes how old the platform's list is.
func (p *Provisioner) ListRead(asOf timekeeper.Time) {
	p.listAsOf = max(p.listAsOf, asOf)
}

// Stop gives all leases up: this node is leaving, and another need not wait
// for their terms to end.
func (p *Provisioner) Stop() {
	p.stopped = true
	p.leases.ReleaseAll()
}

// Tick renews leases and, for the pools whose lease it holds, plans.
func (p *Provisioner) Tick(in Input) []messenger.Effect {
	var out []messenger.Effect
	if in.Catalog != nil && !p.stopped {
		for _, name := range poolNames(in.Catalog) {
			out = append(out, p.tickPool(in, name)...)
		}
	}
	for _, a := range p.leases.Tick(in.Now, in.Rand) {
		out = append(out, messenger.AppendRecord{
			Stream: a.Stream,
			Data:   a.Data,
		})
	}
	return out
}

func (p *Provisioner) tickPool(in Input, name identifier.PoolName) []messenger.Effect {
	lease := leaseOf(name)
	p.leases.Want(in.Now, lease)
	fence, notAfter, held := p.leases.Held(lease, in.Now)
	state := p.pool(name)
	if in.Now.Before(state.nextPlan) {
		return nil
	}
	state.nextPlan = in.Now.Add(planEvery)
	if !held {
		// The next holder may be this node: it has to know the demand and
		// the reclaims that there were.
		state.scaler.Observe(in.Now, p.scalerInput(in, name, state, commander.Lease{}))
		return nil
	}
	tenure := commander.Lease{
		Held:      true,
		Fence:     fence,
		NotAfter:  notAfter,
		SafeAfter: p.leases.SafeAfter(lease),
	}
	out := p.planVMs(in, name, state, tenure)
	return append(out, p.planOrders(in, name, state, tenure)...)
}

func (p *Provisioner) pool(name identifier.PoolName) *pool {
	state, known := p.pools[name]
	if !known {
		state = &pool{
			scaler: scaler.New(scaler.Config{
				Pool:     name,
				Rules:    scaler.AllRules(),
				LoadTime: p.config.LoadTime,
			}),
			commander: commander.New(commander.Config{}),
		}
		p.pools[name] = state
	}
	return state
}

// leaseOf names the lease of a pool.
func leaseOf(name identifier.PoolName) leaser.Name {
	return leaser.Name("pool/" + string(name))
}

// ticketFor remembers what an effect was for. When too many are awaited the
// end of the effect is not: the plans repeat what they still want.
func (p *Provisioner) ticketFor(t ticket) identifier.Ticket {
	p.next++
	if len(p.tickets) >= maxTickets {
		delete(p.tickets, slices.Min(slices.Collect(maps.Keys(p.tickets))))
	}
	p.tickets[p.next] = t
	return p.next
}

func (p *Provisioner) take(id identifier.Ticket) (ticket, bool) {
	t, known := p.tickets[id]
	delete(p.tickets, id)
	return t, known
}

// LeaseView is a pool's lease as this node sees it.
type LeaseView struct {
	Pool   identifier.PoolName
	Holder identifier.VMID
	Fence  identifier.Fence
	// HeldHere reports whether this process holds the lease now.
	HeldHere bool
}

// View returns the leases that the node follows, by pool.
func (p *Provisioner) View(now timekeeper.Time) []LeaseView {
	var out []LeaseView
	for _, name := range sortedKeys(p.pools) {
		holder, fence, known := p.leases.Holder(leaseOf(name))
		if !known {
			continue
		}
		_, _, own := p.leases.Held(leaseOf(name), now)
		out = append(out, LeaseView{
			Pool:     name,
			Holder:   holder,
			Fence:    fence,
			HeldHere: own,
		})
	}
	return out
}
