package dispatcher

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

// maxReturnDelay bounds the additional retry delay of a caller that was refused after others.
const maxReturnDelay = 3 * timekeeper.Second

// returningTokens are the tokens of streams that callers will take up again, since the account's
// limit was exceeded.
type returningTokens struct {
	tokens float64
	asOf   timekeeper.Time
}

// placeInQueue returns the retry delay of a caller that takes up a stream beyond its account's limit.
// Many streams break at once when nodes end, and their callers return together: with the same
// delay, all but one would use up a retry in vain.
func (d *Dispatcher) placeInQueue(env Env, x *exchange, nextGrant timekeeper.Duration) timekeeper.Duration {
	spec := env.Catalog.Accounts[x.account]
	rate := spec.TokensPerSecond / float64(max(env.Nodes, 1))
	if rate <= 0 {
		return nextGrant
	}
	ahead := d.returning[x.account]
	ahead.tokens = max(ahead.tokens-rate*env.Now.Sub(ahead.asOf).Seconds(), 0)
	ahead.asOf = env.Now
	delay := timekeeper.Duration(ahead.tokens / rate * float64(timekeeper.Second))
	ahead.tokens = min(ahead.tokens+float64(x.tokens(env)), rate*maxReturnDelay.Seconds())
	d.returning[x.account] = ahead
	return nextGrant + min(delay, maxReturnDelay)
}
