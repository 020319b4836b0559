// Package provisioner runs the lease of each pool of backend servers. The node that
// holds a pool's lease buys and releases its VMs as planned by package scaler, and
// orders its engines to run models as planned by package commander. All other nodes
// only follow the leases in the log.
//
// Every purchase, release and order carries the time after which the lease no
// longer covers it. The runner compares that time with its clock immediately before
// it carries out the effect, because the process may have been paused until the
// lease expired.
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
	// planInterval is the interval between plans of one pool.
	planInterval = 1 * timekeeper.Second
	// defaultLoadTime is the time a new VM takes to load its weights, if it is
	// not configured.
	defaultLoadTime = 60 * timekeeper.Second
	// maxPurchaseDelay is the maximum time until a purchase appears on the
	// list. A new holder waits for it before it relies on the list.
	maxPurchaseDelay = 15 * timekeeper.Second
	// maxTickets is the maximum number of purchases and orders whose results
	// are awaited.
	maxTickets = 1024
)

// Config identifies the process and sets its timing.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	// Retention is the minimum time for which the log keeps a record.
	Retention timekeeper.Duration
	// LoadTime is the time from a VM's purchase until it serves.
	LoadTime timekeeper.Duration
}

// Provisioner is the state of all pools' leases on one node.
type Provisioner struct {
	config     Config
	leases     *leaser.Table
	states     map[identifier.PoolName]*poolState
	pending    map[identifier.Ticket]pendingEffect
	lastTicket identifier.Ticket
	// listAsOf is the time of the most recent list read.
	listAsOf timekeeper.Time
	stopped  bool
}

// poolState is the planning state of one pool.
type poolState struct {
	scaler       *scaler.Scaler
	commander    *commander.Commander
	nextPlan     timekeeper.Time
	lastArrivals int
}

// pendingEffect associates the result of an effect with the plan that requested
// it.
type pendingEffect struct {
	pool  identifier.PoolName
	token string
	fence identifier.Fence
}

// Input is the state outside the provisioner that Tick reads.
type Input struct {
	Now     timekeeper.Time
	Catalog *catalog.Catalog
	Members *gossiper.Members
	Loads   map[identifier.VMID]messenger.ServerLoad
	// Demand returns the demand of this node's callers for a pool.
	Demand func(identifier.PoolName) Demand
	Rand   *rand.Rand
}

// Demand is the demand of this node's callers for a pool.
type Demand struct {
	// InFlight is the number of requests in flight, Interactive the number of
	// these that are interactive, and Arrivals the number received since the
	// process started.
	InFlight    int
	Interactive int
	Arrivals    int
}

// New returns a provisioner that holds no lease.
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
		states:  map[identifier.PoolName]*poolState{},
		pending: map[identifier.Ticket]pendingEffect{},
	}
}

// LogRead applies records read from the lease stream.
func (p *Provisioner) LogRead(now timekeeper.Time, e messenger.LogRead) {
	p.leases.ApplyRecords(now, e)
}

// SetRetention sets the log's retention time from the configuration.
func (p *Provisioner) SetRetention(d timekeeper.Duration) { p.leases.SetRetention(d) }

// ListRead records the time of the platform's list.
func (p *Provisioner) ListRead(asOf timekeeper.Time) {
	p.listAsOf = max(p.listAsOf, asOf)
}

// Stop releases all leases when this node is leaving, so that other nodes need
// not wait for them to expire.
func (p *Provisioner) Stop() {
	p.stopped = true
	p.leases.ReleaseAll()
}

// Tick renews the leases, and plans for the pools whose lease this process
// holds.
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
	leaseName := leaseNameOf(name)
	p.leases.Want(in.Now, leaseName)
	fence, notAfter, held := p.leases.Held(leaseName, in.Now)
	state := p.stateOf(name)
	if in.Now.Before(state.nextPlan) {
		return nil
	}
	state.nextPlan = in.Now.Add(planInterval)
	if !held {
		// This node may become the next holder and then needs the demand and
		// the past reclaims.
		state.scaler.Observe(in.Now, p.scalerInput(in, name, state, commander.Lease{}))
		return nil
	}
	lease := commander.Lease{
		Held:      true,
		Fence:     fence,
		NotAfter:  notAfter,
		SafeAfter: p.leases.SafeAfter(leaseName),
	}
	out := p.planVMs(in, name, state, lease)
	return append(out, p.planOrders(in, name, state, lease)...)
}

func (p *Provisioner) stateOf(name identifier.PoolName) *poolState {
	state, known := p.states[name]
	if !known {
		state = &poolState{
			scaler: scaler.New(scaler.Config{
				Pool:     name,
				Rules:    scaler.AllRules(),
				LoadTime: p.config.LoadTime,
			}),
			commander: commander.New(commander.Config{}),
		}
		p.states[name] = state
	}
	return state
}

// leaseNameOf returns the name of a pool's lease.
func leaseNameOf(name identifier.PoolName) leaser.Name {
	return leaser.Name("pool/" + string(name))
}

// newTicket records a pending effect. If there are too many, the oldest is
// dropped and its result will be ignored: the plans repeat what they still
// need.
func (p *Provisioner) newTicket(t pendingEffect) identifier.Ticket {
	p.lastTicket++
	if len(p.pending) >= maxTickets {
		delete(p.pending, slices.Min(slices.Collect(maps.Keys(p.pending))))
	}
	p.pending[p.lastTicket] = t
	return p.lastTicket
}

func (p *Provisioner) takePending(id identifier.Ticket) (pendingEffect, bool) {
	t, known := p.pending[id]
	delete(p.pending, id)
	return t, known
}

// LeaseView is the state of a pool's lease as known to this node.
type LeaseView struct {
	Pool   identifier.PoolName
	Holder identifier.VMID
	Fence  identifier.Fence
	// HeldHere reports whether this process holds the lease now.
	HeldHere bool
}

// View returns the leases known to this node, ordered by pool.
func (p *Provisioner) View(now timekeeper.Time) []LeaseView {
	var out []LeaseView
	for _, name := range sortedKeys(p.states) {
		holder, fence, known := p.leases.Holder(leaseNameOf(name))
		if !known {
			continue
		}
		_, _, heldHere := p.leases.Held(leaseNameOf(name), now)
		out = append(out, LeaseView{
			Pool:     name,
			Holder:   holder,
			Fence:    fence,
			HeldHere: heldHere,
		})
	}
	return out
}
