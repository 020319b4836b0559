package reducer

import (
	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/placer"
	"github.com/dotterelhollow/dotterelhollow/internal/provisioner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// pollInterval is the time between load polls of one server.
	pollInterval = 500 * timekeeper.Millisecond
	// maxPolledServers is the maximum number of servers per pool that a node polls.
	maxPolledServers = 32
	// limitShareInterval is the time between divisions of the limits among nodes.
	limitShareInterval = 500 * timekeeper.Millisecond
)

// timers holds the times at which periodic work is next due, and the state of pending
// changes of the configuration.
type timers struct {
	nextPoll          timekeeper.Time
	nextLimitShare    timekeeper.Time
	nextSuspectUpdate timekeeper.Time
	nextFetch         timekeeper.Time
	// configUnavailableSince is the time at which the log stream of the configuration
	// became unavailable, or Never.
	configUnavailableSince timekeeper.Time
	proposals              uint64
	// pendingChanges are the changes by operators of this node that have no verdict.
	pendingChanges map[identifier.Ticket]identifier.Nonce
	nextChange     timekeeper.Time
}

func newTimers() timers {
	return timers{
		configUnavailableSince: timekeeper.Never,
		pendingChanges:         map[identifier.Ticket]identifier.Nonce{},
	}
}

// tick advances all parts of the state to the current time.
func (r *Reducer) tick(env *conductor.Env) []messenger.Effect {
	out := r.tickGossip(env)
	if r.gateway != nil {
		return append(out, r.tickGateway(env)...)
	}
	out = append(out, r.requests.Tick(env)...)
	out = append(out, r.tickConfig(env)...)
	out = append(out, r.tickPolls(env)...)
	out = append(out, r.tickClaims(env)...)
	out = append(out, r.tickQuarantine(env)...)
	out = append(out, r.sendSuspects(env)...)
	out = append(out, r.tickProvisioner(env)...)
	if !env.Now.Before(r.timers.nextLimitShare) {
		r.timers.nextLimitShare = env.Now.Add(limitShareInterval)
		r.mergePeerDemand(env.Now)
	}
	return out
}

// tickPolls polls the load of servers.
func (r *Reducer) tickPolls(env *conductor.Env) []messenger.Effect {
	if env.Catalog == nil || env.Now.Before(r.timers.nextPoll) {
		return nil
	}
	r.timers.nextPoll = env.Now.Add(pollInterval)
	var out []messenger.Effect
	for _, pool := range sortedPools(env.Catalog) {
		for _, vm := range r.polledServers(pool) {
			server, _ := r.members.Server(vm)
			out = append(out, messenger.PollServer{
				Server:  vm,
				Address: server.Address,
				Kind:    env.Catalog.Pools[pool].Kind,
			})
		}
	}
	return out
}

// polledServers returns the servers of a pool that this node polls.
func (r *Reducer) polledServers(pool identifier.PoolName) []identifier.VMID {
	var all []identifier.VMID
	for _, s := range r.members.Servers(pool) {
		all = append(all, s.VM)
	}
	return placer.WatchedServers(r.config.Self, r.members.Nodes(), all, maxPolledServers)
}

// tickProvisioner renews leases, and plans for the pools whose leases this node holds.
func (r *Reducer) tickProvisioner(env *conductor.Env) []messenger.Effect {
	return r.provisioner.Tick(provisioner.Input{
		Now:     env.Now,
		Catalog: env.Catalog,
		Members: r.members,
		Loads:   r.loads,
		Demand:  r.requests.Demand,
		Rand:    r.rand,
	})
}

// tickClaims appends the records that the table of claims has to append.
func (r *Reducer) tickClaims(env *conductor.Env) []messenger.Effect {
	var out []messenger.Effect
	for _, a := range r.claims.PendingAppends(env.Now) {
		out = append(out, messenger.AppendRecord{
			Stream: a.Stream,
			Data:   a.Data,
		})
	}
	return out
}

func (r *Reducer) loadReported(env *conductor.Env, e messenger.LoadReported) []messenger.Effect {
	if _, known := r.members.Server(e.Server); !known {
		return nil
	}
	// Reports may arrive out of order.
	if e.Load.AsOf.Before(r.loads[e.Server].AsOf) {
		return nil
	}
	r.loads[e.Server] = e.Load
	r.suspicions.Observe(env.Now, e.Server, detector.Observation{Kind: detector.LoadOK})
	return nil
}

func (r *Reducer) loadMissed(env *conductor.Env, e messenger.LoadMissed) []messenger.Effect {
	r.suspicions.Observe(env.Now, e.Server, detector.Observation{Kind: detector.LoadMissed})
	return nil
}
