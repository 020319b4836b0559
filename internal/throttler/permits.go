package throttler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// leastRate is the requests a second that a server gets whatever it states: the end
	// of a limit shows only in an answer.
	leastRate identifier.RequestRate = 0.1
	// saved is the time whose requests a server may get at once after it had none.
	saved = 250 * timekeeper.Millisecond
	// roundingError is the part of a request that may be missing.
	roundingError = 1e-6
)

// Permits are what one node has granted to others. Two nodes may grant for a moment,
// where the work changes hands: each begins with nothing to grant.
type Permits struct {
	servers map[identifier.VMID]*allowance
}

// allowance is the requests that a server may get now.
type allowance struct {
	level float64
	at    timekeeper.Time
}

// NewPermits returns Permits that have granted nothing.
func NewPermits() *Permits {
	return &Permits{servers: map[identifier.VMID]*allowance{}}
}

// Take grants one request to a server that accepts a rate, or returns when one can be
// granted.
func (p *Permits) Take(now timekeeper.Time, server identifier.VMID, rate identifier.RequestRate) (timekeeper.Duration, bool) {
	perSecond := float64(max(rate, leastRate))
	a := p.servers[server]
	if a == nil {
		a = &allowance{at: now}
		p.servers[server] = a
	}
	a.level += perSecond * max(now.Sub(a.at), 0).Seconds()
	a.level = min(a.level, max(perSecond*saved.Seconds(), 1))
	a.at = max(a.at, now)
	if a.level < 1-roundingError {
		return timekeeper.Duration(math.Ceil((1 - a.level) / perSecond * float64(timekeeper.Second))), false
	}
	a.level--
	return 0, true
}

// TakeAny grants one request to the first of some servers that may get one, as t knows
// their limits.
func (p *Permits) TakeAny(now timekeeper.Time, t *Table, limits []messenger.ServerLimit) messenger.PermitAnswered {
	answer := messenger.PermitAnswered{RetryAfter: timekeeper.Minute}
	for _, l := range limits {
		rate, limited := t.Rate(l.Server)
		if !limited {
			return messenger.PermitAnswered{Server: l.Server}
		}
		after, granted := p.Take(now, l.Server, rate)
		if granted {
			return messenger.PermitAnswered{Server: l.Server}
		}
		answer.RetryAfter = min(answer.RetryAfter, after)
	}
	return answer
}

// Forget drops a server that is no more.
func (p *Permits) Forget(server identifier.VMID) { delete(p.servers, server) }
