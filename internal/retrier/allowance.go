package retrier

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// allowanceSlots is the number of slots into which the span of an Allowance is divided.
const allowanceSlots = 20

// AllowanceConfig configures an Allowance.
type AllowanceConfig struct {
	// Share is the number of retries that one request earns.
	Share float64
	// Span is the length of the sliding window.
	Span timekeeper.Duration
	// MaxServices bounds the number of services that are tracked.
	MaxServices int
}

// Allowance bounds the retries of each service in a sliding window: to a share of the
// window's requests plus a fixed number. If all nodes use the same share, and their
// fixed numbers add up to that of the cluster, the cluster as a whole keeps the bound.
//
// A token bucket would not keep it, because its balance and its refill can be spent
// within the same window: 80 retries with 40 tokens that come back in that time. A
// restarted process does not know how many retries its predecessor made, so the fixed
// number must leave room for using it twice.
//
// Nothing is safe for concurrent use.
type Allowance struct {
	config AllowanceConfig
	// extra is the number of retries per window in addition to the share.
	extra    float64
	services map[identifier.ServiceName]*usage
	dropped  uint64
}

// usage counts the events of one service in the current window.
type usage struct {
	lastUsed timekeeper.Time
	requests ring
	retries  ring
}

// NewAllowance returns an Allowance without any use.
func NewAllowance(c AllowanceConfig) *Allowance {
	if c.MaxServices <= 0 {
		c.MaxServices = DefaultMaxServices
	}
	return &Allowance{
		config:   c,
		services: map[identifier.ServiceName]*usage{},
	}
}

// SetExtra sets the number of retries per window that are allowed in addition to the
// share of the requests.
func (a *Allowance) SetExtra(extra float64) { a.extra = extra }

// Requested counts a new request of a service.
func (a *Allowance) Requested(now timekeeper.Time, service identifier.ServiceName) {
	a.service(now, service).requests.add(a.slotOf(now))
}

// Allows reports whether Spend would allow a retry of a service.
func (a *Allowance) Allows(now timekeeper.Time, service identifier.ServiceName) bool {
	u := a.service(now, service)
	slot := a.slotOf(now)
	// The current slot is incomplete. Requests are counted over slightly less than the
	// window and retries over slightly more, so that the bound holds for any window.
	allowed := a.extra + a.config.Share*float64(u.requests.sum(slot, allowanceSlots))
	return float64(u.retries.sum(slot, allowanceSlots+1)+1) <= allowed
}

// Spend uses one retry of a service and reports whether it was allowed.
func (a *Allowance) Spend(now timekeeper.Time, service identifier.ServiceName) bool {
	if !a.Allows(now, service) {
		return false
	}
	a.service(now, service).retries.add(a.slotOf(now))
	return true
}

// Dropped returns the number of services that were dropped because the table was full.
func (a *Allowance) Dropped() uint64 { return a.dropped }

func (a *Allowance) slot() timekeeper.Duration { return a.config.Span / allowanceSlots }

func (a *Allowance) slotOf(now timekeeper.Time) int64 { return int64(now) / int64(a.slot()) }

func (a *Allowance) service(now timekeeper.Time, name identifier.ServiceName) *usage {
	u, known := a.services[name]
	if !known {
		a.evictIdle()
		u = &usage{}
		a.services[name] = u
	}
	u.lastUsed = now
	return u
}

// evictIdle drops the least recently used service if the table is full.
func (a *Allowance) evictIdle() {
	if len(a.services) < a.config.MaxServices {
		return
	}
	delete(a.services, leastRecentlyUsed(a.services, func(u *usage) timekeeper.Time { return u.lastUsed }))
	a.dropped++
}

// leastRecentlyUsed returns the service with the earliest last use.
func leastRecentlyUsed[S any](services map[identifier.ServiceName]S, lastUsed func(S) timekeeper.Time) identifier.ServiceName {
	var oldest identifier.ServiceName
	at := timekeeper.Never
	for name, s := range services {
		if usedAt := lastUsed(s); usedAt.Before(at) || usedAt == at && name < oldest {
			oldest, at = name, usedAt
		}
	}
	return oldest
}

// ring counts events by time slot, for one slot more than a window has.
type ring struct {
	counts [allowanceSlots + 1]int
	// last is the newest slot.
	last int64
}

func (r *ring) add(slot int64) {
	r.advance(slot)
	r.counts[slot%int64(len(r.counts))]++
}

// sum returns the number of events in the given number of slots up to and including
// slot.
func (r *ring) sum(slot int64, slots int) int {
	r.advance(slot)
	n := 0
	for back := range int64(slots) {
		if slot >= back {
			n += r.counts[(slot-back)%int64(len(r.counts))]
		}
	}
	return n
}

// advance clears the slots that have begun since the last call.
func (r *ring) advance(slot int64) {
	size := int64(len(r.counts))
	for s := max(r.last+1, slot-size+1); s <= slot; s++ {
		r.counts[s%size] = 0
	}
	r.last = max(r.last, slot)
}
