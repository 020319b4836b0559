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
func (d *Dispatcher) refuseAlone(env Env, x *exchange, after timekeeper.Duration) messenger.Effect {
	after = max(after, unaskedRetry)
	if env.AllocatorDue == 0 || after <= env.AllocatorDue {
		return d.refuseOverLimit(env, x, after)
	}
	after = env.AllocatorDue + timekeeper.Duration(env.Rand.Int64N(int64(returnWidth)))
	return d.refuse(env.about(x), x.spec.Exchange, notRun(messenger.ReasonAccountLimit, after))
}

// admit counts a request against its account's limit: first against this
// node's own part, then against the central one.
//
// Requests are often larger than a node's fair share of a second, and an
// account's callers meet some nodes more than others, so that shares alone
// refuse accounts that stay within their limits. The central part is granted
// to whichever node asks first.
func (d *Dispatcher) admit(env Env, x *exchange) messenger.Effect {
	spec, limited := env.Catalog.Accounts[x.account]
	if !limited {
		return d.start(env, x)
	}
	tokens := x.tokens(env)
	x.limit = messenger.LimitOwnPart
	after, ok := env.Local.Take(env.Now, spec, tokens)
	if ok {
		return d.start(env, x)
	}
	if env.Central != nil {
		x.limit = messenger.LimitCentral
		if after, ok = env.Central.Take(env.Now, spec, tokens); ok {
			return d.start(env, x)
		}
		return d.refuseOverLimit(env, x, after)
	}
	if env.Allocator == nil {
		x.limit = messenger.LimitNoPeer
		return d.refuseAlone(env, x, after)
	}
	x.limit = messenger.LimitPeer
	return messenger.RequestLimit{
		Exchange: x.spec.Exchange,
		Peer:     env.Allocator.Node,
		Address:  env.Allocator.Address,
		Account:  x.account,
		Tokens:   tokens,
	}
}

// tokens returns what a request counts.
func (x *exchange) tokens(env Env) identifier.Tokens {
	if sum := x.spec.PromptTokens + x.spec.MaxTokens; sum > 0 {
		return sum
	}
	return env.Catalog.Routing.PlainTokens[x.account]
}

// LimitAnswered goes on with a request whose account's limit was asked for.
func (d *Dispatcher) LimitAnswered(env Env, e messenger.LimitAnswered) messenger.Effect {
	x, ok := d.exchanges[e.Exchange]
	if !ok || x.attempt > 0 {
		return messenger.EndExchange{
			Exchange: e.Exchange,
			Reason:   messenger.ReasonCancelled,
		}
	}
	switch {
	case e.Granted:
		return d.start(env, x)
	case e.NotGranting:
		return d.admitAlone(env, x)
	case e.Unknown:
		x.limit = messenger.LimitPeerTimedOut
		return d.refuseOverLimit(env, x, unaskedRetry)
	}
	return d.refuseOverLimit(env, x, e.RetryAfter)
}

// admitAlone counts a request against this node's own part, which is an equal
// part of the whole limit while no node grants centrally.
func (d *Dispatcher) admitAlone(env Env, x *exchange) messenger.Effect {
	x.limit = messenger.LimitNoPeer
	spec, limited := env.Catalog.Accounts[x.account]
	if !limited {
		return d.start(env, x)
	}
	after, ok := env.Local.Take(env.Now, spec, x.tokens(env))
	if ok {
		return d.start(env, x)
	}
	return d.refuseAlone(env, x, after)
}

func (d *Dispatcher) refuseOverLimit(env Env, x *exchange, after timekeeper.Duration) messenger.Effect {
	return d.refuse(env.about(x), x.spec.Exchange, notRun(messenger.ReasonAccountLimit, spread(env, after)))
}

// GrantLimit answers a peer that asks for a part of an account's limit.
func GrantLimit(env Env, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered {
	if env.Central == nil {
		return messenger.LimitAnswered{NotGranting: true}
	}
	if env.Catalog == nil {
		return messenger.LimitAnswered{Unknown: true}
	}
	spec, ok := env.Catalog.Accounts[account]
	if !ok {
		return messenger.LimitAnswered{Unknown: true}
	}
	after, granted := env.Central.Take(env.Now, spec, tokens)
	return messenger.LimitAnswered{
		Granted:    granted,
		RetryAfter: after,
	}
}
