package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// unreachableRetry is the minimum retry delay of a caller whose account has used up
// this node's own part of its limit while the allocator is unreachable.
const unreachableRetry = 300 * timekeeper.Millisecond

// maxLimitRequests is the maximum number of nodes that are asked for a part of the limit
// for one request.
const maxLimitRequests = 2

// retrySpread is the time over which the retries of callers that wait for the same
// event are spread.
const retrySpread = 500 * timekeeper.Millisecond

// refuseByOwnPart refuses a request that exceeds this node's own part of the limit
// while there is no allocator. The caller is to retry when the own part suffices or
// when an allocator is expected, whichever is sooner.
//
// With many nodes a node's own part is smaller than most prompts and takes seconds to
// grow to one. After a loss of all nodes a new allocator grants sooner than that.
func (d *Dispatcher) refuseByOwnPart(env Env, x *exchange, retryAfter timekeeper.Duration) messenger.Effect {
	retryAfter = max(retryAfter, unreachableRetry)
	if env.AllocatorDue == 0 || retryAfter <= env.AllocatorDue {
		return d.refuseOverLimit(env, x, retryAfter)
	}
	retryAfter = env.AllocatorDue + timekeeper.Duration(env.Rand.Int64N(int64(retrySpread)))
	return d.refuse(env.forExchange(x), x.spec.Exchange, notRunRefusal(messenger.ReasonAccountLimit, retryAfter))
}

// admit counts a request against its account's limit: first against this node's own
// part, then against the central part.
//
// Requests are often larger than a node's share of a second, and an account's requests
// are not spread evenly over the nodes. Equal shares alone would refuse accounts that
// stay within their limits, so the allocator grants the central part to any node that
// requests it.
func (d *Dispatcher) admit(env Env, x *exchange) messenger.Effect {
	spec, limited := env.Catalog.Accounts[x.account]
	if !limited {
		return d.start(env, x)
	}
	tokens := x.tokens(env)
	x.limitSource = messenger.LimitOwnPart
	retryAfter, ok := env.Local.Take(env.Now, spec, tokens)
	if ok {
		return d.start(env, x)
	}
	if env.Central != nil {
		x.limitSource = messenger.LimitCentral
		if retryAfter, ok = env.Central.Take(env.Now, spec, tokens); ok {
			return d.start(env, x)
		}
		return d.refuseOverLimit(env, x, retryAfter)
	}
	if env.Allocator == nil {
		x.limitSource = messenger.LimitNoPeer
		return d.refuseByOwnPart(env, x, retryAfter)
	}
	if retryAfter = d.heldFor(env, x, tokens); retryAfter > 0 {
		x.limitSource = messenger.LimitPeerEarlier
		return d.refuseOverLimit(env, x, retryAfter)
	}
	return d.requestLimit(env, x, tokens)
}

func (d *Dispatcher) requestLimit(env Env, x *exchange, tokens identifier.Tokens) messenger.Effect {
	x.limitSource = messenger.LimitPeer
	x.limitRequests++
	return messenger.RequestLimit{
		Exchange: x.spec.Exchange,
		Peer:     env.Allocator.Node,
		Address:  env.Allocator.Address,
		Account:  x.account,
		Tokens:   tokens,
	}
}

// tokens returns the number of tokens that a request counts against a limit.
func (x *exchange) tokens(env Env) identifier.Tokens {
	if sum := x.spec.PromptTokens + x.spec.MaxTokens; sum > 0 {
		return sum
	}
	return env.Catalog.Routing.DefaultTokens[x.account]
}

// LimitAnswered continues a request when the allocator has answered.
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
	case e.NotGranting && e.Peer != "" && x.limitRequests < maxLimitRequests && env.Allocator != nil && env.Allocator.Node != e.Peer:
		// Another node grants by now.
		return d.requestLimit(env, x, x.tokens(env))
	case e.NotGranting:
		return d.admitByOwnPart(env, x)
	case e.Unknown:
		x.limitSource = messenger.LimitPeerTimedOut
		return d.refuseOverLimit(env, x, unreachableRetry)
	}
	d.hold(env, x, e)
	return d.refuseOverLimit(env, x, e.RetryAfter)
}

// admitByOwnPart counts a request against this node's own part of the limit, which is
// an equal share of the whole limit while there is no allocator.
func (d *Dispatcher) admitByOwnPart(env Env, x *exchange) messenger.Effect {
	x.limitSource = messenger.LimitNoPeer
	spec, limited := env.Catalog.Accounts[x.account]
	if !limited {
		return d.start(env, x)
	}
	retryAfter, ok := env.Local.Take(env.Now, spec, x.tokens(env))
	if ok {
		return d.start(env, x)
	}
	return d.refuseByOwnPart(env, x, retryAfter)
}

func (d *Dispatcher) refuseOverLimit(env Env, x *exchange, retryAfter timekeeper.Duration) messenger.Effect {
	if x.resumes() {
		retryAfter = d.placeInQueue(env, x, retryAfter)
	}
	return d.refuse(env.forExchange(x), x.spec.Exchange, notRunRefusal(messenger.ReasonAccountLimit, jitter(env, retryAfter)))
}

// GrantLimit answers a peer's request for some of the central part of an account's
// limit.
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
	retryAfter, granted := env.Central.Take(env.Now, spec, tokens)
	return messenger.LimitAnswered{
		Granted:    granted,
		RetryAfter: retryAfter,
	}
}
