package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// unaskedRetry is when a caller may come back whose account has used up this
// node's own part of its limit while the central node can't be asked, and nothing
// says when one can be.
const unaskedRetry = 300 * timekeeper.Millisecond

// returnWidth is the time over which callers come back that are told of the same
// instant.
const returnWidth = 500 * timekeeper.Millisecond

// refuseAlone refuses a request that this node's own part of the limit does not do
// for, while nobody can be asked. Its caller comes back when the part does, or once
// a central node is due if that is sooner.
//
// A node's part among many is smaller than most prompts, and takes seconds to grow to
// one; after a loss of all nodes a central node grants again sooner than that.
func (d *Dispatcher) refuseAlone(w World, x *exchange, after timekeeper.Duration) messenger.Effect {
	after = max(after, unaskedRetry)
	if w.GranterDue == 0 || after <= w.GranterDue {
		return d.refuseOverLimit(w, x, after)
	}
	after = w.GranterDue + timekeeper.Duration(w.Rand.Int64N(int64(returnWidth)))
	return d.refuse(w.about(x), x.spec.Exchange, notRun(messenger.ReasonAccountLimit, after))
}

// admit counts a request against its account's limit: first against this
// node's own part, then against the central one.
//
// Requests are often larger than a node's fair share of a second, and an
// account's callers meet some nodes more than others, so that shares alone
// refuse accounts that stay within their limits. The central part is granted
// to whichever node asks first.
func (d *Dispatcher) admit(w World, x *exchange) messenger.Effect {
	spec, limited := w.Catalog.Accounts[x.account]
	if !limited {
		return d.start(w, x)
	}
	tokens := x.tokens(w)
	x.limit = messenger.LimitOwnPart
	after, ok := w.Local.Take(w.Now, spec, tokens)
	if ok {
		return d.start(w, x)
	}
	if w.Central != nil {
		x.limit = messenger.LimitCentral
		if after, ok = w.Central.Take(w.Now, spec, tokens); ok {
			return d.start(w, x)
		}
		return d.refuseOverLimit(w, x, after)
	}
	if w.Granter == nil {
		x.limit = messenger.LimitNoPeer
		return d.refuseAlone(w, x, after)
	}
	x.limit = messenger.LimitPeer
	return messenger.AskLimit{
		Exchange: x.spec.Exchange,
		Peer:     w.Granter.Node,
		Address:  w.Granter.Address,
		Account:  x.account,
		Tokens:   tokens,
	}
}

// tokens returns what a request counts.
func (x *exchange) tokens(w World) identifier.Tokens {
	if sum := x.spec.PromptTokens + x.spec.MaxTokens; sum > 0 {
		return sum
	}
	return w.Catalog.Routing.PlainTokens[x.account]
}

// LimitAnswered goes on with a request whose account's limit was asked for.
func (d *Dispatcher) LimitAnswered(w World, e messenger.LimitAnswered) messenger.Effect {
	x, ok := d.exchanges[e.Exchange]
	if !ok || x.attempt > 0 {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	switch {
	case e.Granted:
		return d.start(w, x)
	case e.NotGranting:
		return d.admitAlone(w, x)
	case e.Unknown:
		x.limit = messenger.LimitPeerSilent
		return d.refuseOverLimit(w, x, unaskedRetry)
	}
	return d.refuseOverLimit(w, x, e.RetryAfter)
}

// admitAlone counts a request against this node's own part, which is an equal
// part of the whole limit while no node grants centrally.
func (d *Dispatcher) admitAlone(w World, x *exchange) messenger.Effect {
	x.limit = messenger.LimitNoPeer
	spec, limited := w.Catalog.Accounts[x.account]
	if !limited {
		return d.start(w, x)
	}
	after, ok := w.Local.Take(w.Now, spec, x.tokens(w))
	if ok {
		return d.start(w, x)
	}
	return d.refuseAlone(w, x, after)
}

func (d *Dispatcher) refuseOverLimit(w World, x *exchange, after timekeeper.Duration) messenger.Effect {
	return d.refuse(w.about(x), x.spec.Exchange, notRun(messenger.ReasonAccountLimit, spread(w, after)))
}

// Grant answers a peer that asks for a part of an account's limit.
func Grant(w World, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered {
	if w.Central == nil {
		return messenger.LimitAnswered{NotGranting: true}
	}
	if w.Catalog == nil {
		return messenger.LimitAnswered{Unknown: true}
	}
	spec, ok := w.Catalog.Accounts[account]
	if !ok {
		return messenger.LimitAnswered{Unknown: true}
	}
	after, granted := w.Central.Take(w.Now, spec, tokens)
	return messenger.LimitAnswered{
		Granted:    granted,
		RetryAfter: after,
	}
}
