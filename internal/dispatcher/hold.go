package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// minHoldRetry is the minimum retry delay of a caller that is refused by an earlier answer
// of the allocator.
const minHoldRetry = 100 * timekeeper.Millisecond

// limitHold is a refusal of the allocator that still applies: it grants the account nothing
// before the time that it stated, whatever the size of a request. Without it, an account
// that sends many times its limit would occupy the allocator with requests that it can only
// refuse, and other accounts' requests would time out there.
type limitHold struct {
	allocator identifier.VMID
	until     timekeeper.Time
}

// hold records that the allocator refused a request.
func (d *Dispatcher) hold(env Env, x *exchange, e messenger.LimitAnswered) {
	spec := env.Catalog.Accounts[x.account]
	if env.Allocator == nil || e.RetryAfter <= 0 || limiter.IsLight(spec, x.tokens(env)) {
		return
	}
	d.limitHolds[x.account] = limitHold{
		allocator: env.Allocator.Node,
		until:     env.Now.Add(e.RetryAfter),
	}
}

// heldFor returns the time for which the allocator will refuse a request, or zero if it has
// to be asked. Light requests have a reserve that a refusal of others says nothing about.
func (d *Dispatcher) heldFor(env Env, x *exchange, tokens identifier.Tokens) timekeeper.Duration {
	held, ok := d.limitHolds[x.account]
	if !ok {
		return 0
	}
	if !env.Now.Before(held.until) || held.allocator != env.Allocator.Node {
		delete(d.limitHolds, x.account)
		return 0
	}
	if limiter.IsLight(env.Catalog.Accounts[x.account], tokens) {
		return 0
	}
	return max(held.until.Sub(env.Now), minHoldRetry)
}
