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
	// pollEvery is the spacing of load polls of one server.
	pollEvery = 500 * timekeeper.Millisecond
	// watchedServers is how many servers of one pool a node polls.
	watchedServers = 32
	// shareEvery is the spacing of the division of limits among nodes.
	shareEvery = 500 * timekeeper.Millisecond
)

// timers holds the instants at which periodic work is next due.
type timers struct {
	nextPoll     timekeeper.Time
	nextShare    timekeeper.Time
	nextSuspects timekeeper.Time
	nextFetch    timekeeper.Time
	// configOut is when the log's stream of the configuration became
	// unreadable, or Never.
	configOut timekeeper.Time
	proposals uint64
	// changes are the operators' changes of this node without a verdict.
	changes    map[identifier.Ticket]identifier.Nonce
	nextChange timekeeper.Time
}

func newTimers() timers {
	return timers{
		configOut: timekeeper.Never,
		changes:   map[identifier.Ticket]identifier.Nonce{},
	}
}

// tick lets time pass in every slice of the state.
func (r *Reducer) tick(w *conductor.Env) []messenger.Effect {
	out := r.tickGossip(w)
	if r.gateway != nil {
		return append(out, r.tickGateway(w)...)
	}
	out = append(out, r.requests.Tick(w)...)
	out = append(out, r.tickConfig(w)...)
	out = append(out, r.tickPolls(w)...)
	out = append(out, r.tickClaims(w)...)
	out = append(out, r.tickQuarantine(w)...)
	out = append(out, r.tellSuspects(w)...)
	out = append(out, r.tickProvisioner(w)...)
	if !w.Now.Before(r.timers.nextShare) {
		r.timers.nextShare = w.Now.Add(shareEvery)
		r.shareLimits(w.Now)
	}
	return out
}

// tickPolls asks the watched servers for their load.
func (r *Reducer) tickPolls(w *conductor.Env) []messenger.Effect {
	if w.Catalog == nil || w.Now.Before(r.timers.nextPoll) {
		return nil
	}
	r.timers.nextPoll = w.Now.Add(pollEvery)
	var out []messenger.Effect
	for _, pool := range sortedPools(w.Catalog) {
		for _, vm := range r.watched(pool) {
			server, _ := r.members.Server(vm)
			out = append(out, messenger.PollServer{
				Server:  vm,
				Address: server.Address,
				Kind:    w.Catalog.Pools[pool].Kind,
			})
		}
	}
	return out
}

// watched returns the servers of a pool that this node polls.
func (r *Reducer) watched(pool identifier.PoolName) []identifier.VMID {
	var all []identifier.VMID
	for _, s := range r.members.Servers(pool) {
		all = append(all, s.VM)
	}
	return placer.WatchedServers(r.config.Self, r.members.Nodes(), all, watchedServers)
}

// tickProvisioner renews leases and plans for the pools that this node holds.
func (r *Reducer) tickProvisioner(w *conductor.Env) []messenger.Effect {
	return r.provisioner.Tick(provisioner.Input{
		Now:     w.Now,
		Catalog: w.Catalog,
		Members: r.members,
		Loads:   r.loads,
		Demand:  r.requests.Demand,
		Rand:    r.rand,
	})
}

// tickClaims appends what the table of claims wants appended.
func (r *Reducer) tickClaims(w *conductor.Env) []messenger.Effect {
	var out []messenger.Effect
	for _, a := range r.claims.Appends(w.Now) {
		out = append(out, messenger.AppendRecord{
			Stream: a.Stream,
			Data:   a.Data,
		})
	}
	return out
}

func (r *Reducer) loadReported(w *conductor.Env, e messenger.LoadReported) []messenger.Effect {
	if _, known := r.members.Server(e.Server); !known {
		return nil
	}
	// Reports of several polls may cross; an older one never replaces a newer.
	if e.Load.AsOf.Before(r.loads[e.Server].AsOf) {
		return nil
	}
	r.loads[e.Server] = e.Load
	r.suspicions.Observe(w.Now, e.Server, detector.Observation{Kind: detector.LoadOK})
	return nil
}

func (r *Reducer) loadMissed(w *conductor.Env, e messenger.LoadMissed) []messenger.Effect {
	r.suspicions.Observe(w.Now, e.Server, detector.Observation{Kind: detector.LoadMissed})
	return nil
}
