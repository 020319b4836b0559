package throttler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// minRate is the lowest rate at which permits are granted, whatever a server
	// states: the end of a limit shows only in an answer.
	minRate identifier.RequestRate = 0.1
	// burstTime bounds the unused permits of a server to those of this time, but at
	// least one.
	burstTime = 250 * timekeeper.Millisecond
	// roundingError is the tolerated shortfall, in requests.
	roundingError = 1e-6
)

// Permits tracks the requests that one node has granted for each server. While the
// granting node changes, two nodes may grant for a moment; each starts without permits.
type Permits struct {
	servers map[identifier.VMID]*allowance
}

// allowance is the token bucket of one server. level is in requests.
type allowance struct {
	level float64
	at    timekeeper.Time
}

// NewPermits returns Permits without a permit to grant.
func NewPermits() *Permits {
	return &Permits{servers: map[identifier.VMID]*allowance{}}
}

// Take grants one request to a server that accepts the given rate, or returns the time
// after which one can be granted.
func (p *Permits) Take(now timekeeper.Time, server identifier.VMID, rate identifier.RequestRate) (timekeeper.Duration, bool) {
	perSecond := float64(max(rate, minRate))
	a := p.servers[server]
	if a == nil {
		a = &allowance{at: now}
		p.servers[server] = a
	}
	a.level += perSecond * max(now.Sub(a.at), 0).Seconds()
	a.level = min(a.level, max(perSecond*burstTime.Seconds(), 1))
	a.at = max(a.at, now)
	if a.level < 1-roundingError {
		return timekeeper.Duration(math.Ceil((1 - a.level) / perSecond * float64(timekeeper.Second))), false
	}
	a.level--
	return 0, true
}

// TakeAny grants one request to the first server in limits for which a permit is
// available. The rates are those in t.
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

// Forget drops a server that was removed.
func (p *Permits) Forget(server identifier.VMID) { delete(p.servers, server) }
