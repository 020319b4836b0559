package dispatcher

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxPermitServers bounds the servers that one request for a permit lists.
	maxPermitServers = 8
	// unreachablePause is the time for which this node sends nothing to a server that
	// states a limit if its permit allocator is unreachable.
	unreachablePause = 300 * timekeeper.Millisecond
	// minServerWait and maxServerWait bound the retry delay of a caller that is refused
	// because no server is available yet. Other servers may come in the meantime.
	minServerWait = 100 * timekeeper.Millisecond
	maxServerWait = 3 * timekeeper.Second
)

// place sends an exchange to the best server. If that server states a limit for all
// nodes together, the request needs a permit; without one it goes to another server.
func (d *Dispatcher) place(env Env, x *exchange) (messenger.Effect, bool) {
	for {
		c, ok := d.choose(env, x)
		if !ok || !mayReplace(env, x, c) {
			return nil, false
		}
		server := c.server.Server
		rate, limited := env.Limits.Rate(server)
		switch {
		case !limited && env.Brittle.Service(x.service):
			if effect, placed := d.placeBrittle(env, x, c); placed {
				return effect, true
			}
			continue
		case !limited:
			return d.send(env, x, c), true
		}
		if allocator := env.PermitAllocator(server); allocator != nil {
			return d.requestPermit(env, x, c, allocator), true
		}
		retryAfter, granted := env.Permits.Take(env.Now, server, rate)
		if granted {
			return d.send(env, x, c), true
		}
		env.Limits.Pause(server, env.Now.Add(retryAfter))
	}
}

// requestPermit requests a permit to send an exchange to the chosen server or, if all
// eligible servers state a limit, to any of them.
func (d *Dispatcher) requestPermit(env Env, x *exchange, c choice, allocator *Allocator) messenger.Effect {
	x.permitServers = append([]identifier.VMID{c.server.Server}, d.alternatives(env, x, c, allocator)...)
	x.permitCandidates = nil
	for _, s := range c.servers {
		x.permitCandidates = append(x.permitCandidates, s.Server)
	}
	return messenger.RequestPermit{
		Exchange: x.spec.Exchange,
		Peer:     allocator.Node,
		Address:  allocator.Address,
		Limits:   env.Limits.Export(env.Now, x.permitServers),
	}
}

// alternatives returns the servers for which the allocator may grant a permit in place
// of the chosen one, best first. It returns none if a server is available that needs no
// permit.
func (d *Dispatcher) alternatives(env Env, x *exchange, c choice, allocator *Allocator) []identifier.VMID {
	others := d.ranked(env, x, c.servers, func(s *registrar.Server) bool { return s.Server != c.server.Server })
	var out []identifier.VMID
	for _, o := range others {
		server := o.server.Server
		if _, limited := env.Limits.Rate(server); !limited {
			return nil
		}
		if other := env.PermitAllocator(server); other != nil && other.Node == allocator.Node && len(out) < maxPermitServers-1 {
			out = append(out, server)
		}
	}
	return out
}

// ranked returns the choices among the eligible ones of servers, best first.
func (d *Dispatcher) ranked(env Env, x *exchange, servers []*registrar.Server, eligible func(*registrar.Server) bool) []choice {
	choices := d.candidates(env, x, d.cacheHoldersOf(env, x.spec.Prefix, servers), eligible)
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	return choices
}

// PermitAnswered continues an exchange when the permit allocator has answered.
func (d *Dispatcher) PermitAnswered(env Env, e messenger.PermitAnswered) messenger.Effect {
	x, ok := d.exchanges[e.Exchange]
	if !ok || len(x.permitServers) == 0 {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	servers := x.permitServers
	x.permitServers = nil
	env = env.forExchange(x)
	if x.deadline.Sub(env.Now) < minAttemptTime {
		return d.abandonUnplaced(env, x, messenger.ReasonDeadlineExpired)
	}
	if !d.mayPlace(env, x) {
		return keepWaiting(x)
	}
	if slices.Contains(servers, e.Server) {
		if c, found := d.chooseServer(env, x, x.permitCandidates, e.Server); found && mayReplace(env, x, c) {
			return d.send(env, x, c)
		}
	} else {
		d.pause(env, servers, e)
	}
	if effect, placed := d.place(env, x); placed {
		return effect
	}
	return d.abandonUnplaced(env, x, messenger.ReasonNoServer)
}

// pause stops sending to servers for which no permit was granted.
func (d *Dispatcher) pause(env Env, servers []identifier.VMID, e messenger.PermitAnswered) {
	retryAfter := e.RetryAfter
	if e.Unknown || e.NotGranting {
		retryAfter = unreachablePause
	}
	for _, server := range servers {
		env.Limits.Pause(server, env.Now.Add(retryAfter))
	}
}

// abandonUnplaced refuses an exchange that no server can receive, or ends it if an
// attempt was made before. A stalled attempt goes on.
func (d *Dispatcher) abandonUnplaced(env Env, x *exchange, reason messenger.Reason) messenger.Effect {
	if x.current != nil {
		return keepWaiting(x)
	}
	if x.attempt == 0 {
		return d.refuseNoServer(env, x)
	}
	return d.end(env, x, x.lastEnded, reason)
}

// chooseServer returns the prediction for the server of a granted permit or slot, if the
// exchange may still be sent to it. The server was one of the right version, and thus among
// eligible, when the permit was requested.
func (d *Dispatcher) chooseServer(env Env, x *exchange, eligible []identifier.VMID, server identifier.VMID) (choice, bool) {
	var servers []*registrar.Server
	for _, s := range env.Servers.ServersOf(x.service) {
		if slices.Contains(eligible, s.Server) {
			servers = append(servers, s)
		}
	}
	isServer := func(s *registrar.Server) bool { return s.Server == server }
	candidates := d.candidates(env, x, d.cacheHoldersOf(env, x.spec.Prefix, servers), isServer)
	if len(candidates) == 0 {
		return choice{}, false
	}
	candidates[0].candidateCount = len(servers)
	return candidates[0], true
}

// nextServerIn returns the time until the first of the service's servers that wait for a
// permit, or asked for a pause, is expected to be available, and whether there are any.
func (d *Dispatcher) nextServerIn(env Env, x *exchange) (timekeeper.Duration, bool) {
	next := timekeeper.Never
	for _, s := range env.Servers.ServersOf(x.service) {
		if until := env.availableAt(s.Server); until != 0 && s.State == messenger.ServerReady {
			next = min(next, until)
		}
	}
	if next == timekeeper.Never {
		return 0, false
	}
	return min(max(next.Sub(env.Now), minServerWait), maxServerWait), true
}

// GrantPermit answers a peer's request for a permit to send to one of some servers. It
// grants nothing if another node grants the permits of the first server.
func GrantPermit(env Env, limits []messenger.ServerLimit) messenger.PermitAnswered {
	if len(limits) == 0 || env.PermitAllocator(limits[0].Server) != nil {
		return messenger.PermitAnswered{NotGranting: true}
	}
	return env.Permits.TakeAny(env.Now, env.Limits, limits)
}
