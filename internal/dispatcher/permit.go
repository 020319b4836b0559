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
func (d *Dispatcher) place(w World, x *exchange) (messenger.Effect, bool) {
	for {
		c, ok := d.choose(w, x)
		if !ok {
			return nil, false
		}
		server := c.server.Server
		rate, limited := w.Limits.Of(server)
		if !limited {
			return d.send(w, x, c), true
		}
		if granter := w.PermitsOf(server); granter != nil {
			return d.askPermit(w, x, c, granter), true
		}
		after, granted := w.Permits.Take(w.Now, server, rate)
		if granted {
			return d.send(w, x, c), true
		}
		w.Limits.Pause(server, w.Now.Add(after))
	}
}

// askPermit asks for a permit to send an exchange to the chosen server or, where all
// servers that it may be sent to state a limit, to any of those.
func (d *Dispatcher) askPermit(w World, x *exchange, c choice, granter *Granter) messenger.Effect {
	x.asked = append([]identifier.VMID{c.server.Server}, d.alternatives(w, x, c, granter)...)
	x.among = nil
	for _, s := range c.among {
		x.among = append(x.among, s.Server)
	}
	return messenger.AskPermit{
		Exchange: x.spec.Exchange,
		Peer:     granter.Node,
		Address:  granter.Address,
		Limits:   w.Limits.Export(w.Now, x.asked),
	}
}

// alternatives returns the servers to which the granter may send an exchange in place of
// the chosen one, the best first; none where one needs no permit.
func (d *Dispatcher) alternatives(w World, x *exchange, c choice, granter *Granter) []identifier.VMID {
	k := d.keepersOf(w, x.spec.Prefix, c.among)
	others := d.candidates(w, x, k, func(s *registrar.Server) bool { return s.Server != c.server.Server })
	slices.SortStableFunc(others, func(a, b choice) int { return cmp.Compare(a.cost, b.cost) })
	var out []identifier.VMID
	for _, o := range others {
		server := o.server.Server
		if _, limited := w.Limits.Of(server); !limited {
			return nil
		}
		if g := w.PermitsOf(server); g != nil && g.Node == granter.Node && len(out) < maxAsked-1 {
			out = append(out, server)
		}
	}
	return out
}

// PermitAnswered goes on with an exchange for which a permit was asked.
func (d *Dispatcher) PermitAnswered(w World, e messenger.PermitAnswered) messenger.Effect {
	x, ok := d.exchanges[e.Exchange]
	if !ok || len(x.asked) == 0 {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	asked := x.asked
	x.asked = nil
	w = w.about(x)
	if x.deadline.Sub(w.Now) < leastTime {
		return d.unplaced(w, x, messenger.ReasonDeadlineExpired)
	}
	if slices.Contains(asked, e.Server) {
		if c, found := d.chooseServer(w, x, e.Server); found {
			return d.send(w, x, c)
		}
	} else {
		d.pause(w, asked, e)
	}
	if effect, placed := d.place(w, x); placed {
		return effect
	}
	return d.unplaced(w, x, messenger.ReasonNoServer)
}

// pause notes that there is no permit for some servers.
func (d *Dispatcher) pause(w World, asked []identifier.VMID, e messenger.PermitAnswered) {
	after := e.RetryAfter
	if e.Unknown || e.NotGranting {
		after = unansweredPause
	}
	for _, server := range asked {
		w.Limits.Pause(server, w.Now.Add(after))
	}
}

// unplaced gives up an exchange that has no server: one that was not sent yet is refused.
func (d *Dispatcher) unplaced(w World, x *exchange, reason messenger.Reason) messenger.Effect {
	if x.attempt == 0 {
		return d.refuseForServers(w, x)
	}
	return d.end(w, x, x.ended, reason)
}

// chooseServer returns what is known of a server for which a permit came, if the exchange
// may still be sent to it. It is one of those of the right version when it was asked for.
func (d *Dispatcher) chooseServer(w World, x *exchange, server identifier.VMID) (choice, bool) {
	var among []*registrar.Server
	for _, s := range w.Servers.Of(x.service) {
		if slices.Contains(x.among, s.Server) {
			among = append(among, s)
		}
	}
	only := func(s *registrar.Server) bool { return s.Server == server }
	found := d.candidates(w, x, d.keepersOf(w, x.spec.Prefix, among), only)
	if len(found) == 0 {
		return choice{}, false
	}
	found[0].candidates = len(among)
	return found[0], true
}

// permitIn returns in how long the next permit for one of an exchange's servers is due,
// and whether its service has servers that wait for one.
func (d *Dispatcher) permitIn(w World, x *exchange) (timekeeper.Duration, bool) {
	next := timekeeper.Never
	for _, s := range w.Servers.Of(x.service) {
		if until := w.Limits.PausedUntil(w.Now, s.Server); until != 0 && s.State == messenger.ServerReady {
			next = min(next, until)
		}
	}
	if next == timekeeper.Never {
		return 0, false
	}
	return min(max(next.Sub(w.Now), leastPermitWait), mostPermitWait), true
}

// GrantPermit answers a peer that asks for a permit to send to one of some servers. Where
// another node grants for the first of them, this one grants none.
func GrantPermit(w World, limits []messenger.ServerLimit) messenger.PermitAnswered {
	if len(limits) == 0 || w.PermitsOf(limits[0].Server) != nil {
		return messenger.PermitAnswered{NotGranting: true}
	}
	return w.Permits.TakeAny(w.Now, w.Limits, limits)
}
