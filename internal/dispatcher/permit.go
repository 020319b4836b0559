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
	// maxAsked bounds the servers that one permit is asked for.
	maxAsked = 8
	// unansweredPause is how long a server that states a limit gets nothing from this
	// node after nobody could be asked for a permit.
	unansweredPause = 300 * timekeeper.Millisecond
	// leastPermitWait and mostPermitWait bound the time after which a refused caller
	// may come back.
	leastPermitWait = 100 * timekeeper.Millisecond
	mostPermitWait  = 3 * timekeeper.Second
)

// place sends an exchange to the server that suits it best. Where that states a limit for
// all nodes together the request needs a permit of the node that grants them, and goes to
// another server if there is none.
func (d *Dispatcher) place(env Env, x *exchange) (messenger.Effect, bool) {
	for {
		c, ok := d.choose(env, x)
		if !ok {
			return nil, false
		}
		server := c.server.Server
		rate, limited := env.Limits.Rate(server)
		if !limited {
			return d.send(env, x, c), true
		}
		if allocator := env.PermitAllocator(server); allocator != nil {
			return d.askPermit(env, x, c, allocator), true
		}
		after, granted := env.Permits.Take(env.Now, server, rate)
		if granted {
			return d.send(env, x, c), true
		}
		env.Limits.Pause(server, env.Now.Add(after))
	}
}

// askPermit asks for a permit to send an exchange to the chosen server or, where all
// servers that it may be sent to state a limit, to any of those.
func (d *Dispatcher) askPermit(env Env, x *exchange, c choice, allocator *Allocator) messenger.Effect {
	x.asked = append([]identifier.VMID{c.server.Server}, d.alternatives(env, x, c, allocator)...)
	x.among = nil
	for _, s := range c.among {
		x.among = append(x.among, s.Server)
	}
	return messenger.RequestPermit{
		Exchange: x.spec.Exchange,
		Peer:     allocator.Node,
		Address:  allocator.Address,
		Limits:   env.Limits.Export(env.Now, x.asked),
	}
}

// alternatives returns the servers to which the granter may send an exchange in place of
// the chosen one, the best first; none where one needs no permit.
func (d *Dispatcher) alternatives(env Env, x *exchange, c choice, allocator *Allocator) []identifier.VMID {
	k := d.keepersOf(env, x.spec.Prefix, c.among)
	others := d.candidates(env, x, k, func(s *registrar.Server) bool { return s.Server != c.server.Server })
	slices.SortStableFunc(others, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	var out []identifier.VMID
	for _, o := range others {
		server := o.server.Server
		if _, limited := env.Limits.Rate(server); !limited {
			return nil
		}
		if g := env.PermitAllocator(server); g != nil && g.Node == allocator.Node && len(out) < maxAsked-1 {
			out = append(out, server)
		}
	}
	return out
}

// PermitAnswered goes on with an exchange for which a permit was asked.
func (d *Dispatcher) PermitAnswered(env Env, e messenger.PermitAnswered) messenger.Effect {
	x, ok := d.exchanges[e.Exchange]
	if !ok || len(x.asked) == 0 {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	asked := x.asked
	x.asked = nil
	env = env.about(x)
	if x.deadline.Sub(env.Now) < leastTime {
		return d.unplaced(env, x, messenger.ReasonDeadlineExpired)
	}
	if slices.Contains(asked, e.Server) {
		if c, found := d.chooseServer(env, x, e.Server); found {
			return d.send(env, x, c)
		}
	} else {
		d.pause(env, asked, e)
	}
	if effect, placed := d.place(env, x); placed {
		return effect
	}
	return d.unplaced(env, x, messenger.ReasonNoServer)
}

// pause notes that there is no permit for some servers.
func (d *Dispatcher) pause(env Env, asked []identifier.VMID, e messenger.PermitAnswered) {
	after := e.RetryAfter
	if e.Unknown || e.NotGranting {
		after = unansweredPause
	}
	for _, server := range asked {
		env.Limits.Pause(server, env.Now.Add(after))
	}
}

// unplaced gives up an exchange that has no server: one that was not sent yet is refused.
func (d *Dispatcher) unplaced(env Env, x *exchange, reason messenger.Reason) messenger.Effect {
	if x.attempt == 0 {
		return d.refuseForServers(env, x)
	}
	return d.end(env, x, x.ended, reason)
}

// chooseServer returns what is known of a server for which a permit came, if the exchange
// may still be sent to it. It is one of those of the right version when it was asked for.
func (d *Dispatcher) chooseServer(env Env, x *exchange, server identifier.VMID) (choice, bool) {
	var among []*registrar.Server
	for _, s := range env.Servers.ServersOf(x.service) {
		if slices.Contains(x.among, s.Server) {
			among = append(among, s)
		}
	}
	only := func(s *registrar.Server) bool { return s.Server == server }
	found := d.candidates(env, x, d.keepersOf(env, x.spec.Prefix, among), only)
	if len(found) == 0 {
		return choice{}, false
	}
	found[0].candidates = len(among)
	return found[0], true
}

// permitIn returns in how long the next permit for one of an exchange's servers is due,
// and whether its service has servers that wait for one.
func (d *Dispatcher) permitIn(env Env, x *exchange) (timekeeper.Duration, bool) {
	next := timekeeper.Never
	for _, s := range env.Servers.ServersOf(x.service) {
		if until := env.Limits.PausedUntil(env.Now, s.Server); until != 0 && s.State == messenger.ServerReady {
			next = min(next, until)
		}
	}
	if next == timekeeper.Never {
		return 0, false
	}
	return min(max(next.Sub(env.Now), leastPermitWait), mostPermitWait), true
}

// GrantPermit answers a peer that asks for a permit to send to one of some servers. Where
// another node grants for the first of them, this one grants none.
func GrantPermit(env Env, limits []messenger.ServerLimit) messenger.PermitAnswered {
	if len(limits) == 0 || env.PermitAllocator(limits[0].Server) != nil {
		return messenger.PermitAnswered{NotGranting: true}
	}
	return env.Permits.TakeAny(env.Now, env.Limits, limits)
}
