package retrier

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// allowanceSlots is into how many parts the span of an Allowance is divided.
const allowanceSlots = 20

// AllowanceConfig sets up an Allowance.
type AllowanceConfig struct {
	// Share is how many retries a request earns.
	Share float64
	// Span is the time over which requests earn retries.
	Span timekeeper.Duration
	// MaxServices bounds the number of services remembered.
	MaxServices int
}

// Allowance bounds the retries of each service in any span of time: to a share of the
// span's requests and a number beside. All nodes together keep a bound if their shares
// are alike and their numbers add up to that of all.
//
// A balance that is saved up and refilled allows both within one span: with 40 that
// come back in ten seconds, 80. And a process knows nothing of what was spent under its
// node's name before it started, so that the number has to leave room for as much again
// after a restart. With a balance of 40 instead, 15 retries more arrive than the users
// bear while servers fail every request, and 63 more where all nodes are killed twice
// (four nodes, 17 requests a second, in virtual time).
//
// Nothing is safe for concurrent use.
type Allowance struct {
	config AllowanceConfig
	// extra is the number beside the share.
	extra    float64
	services map[identifier.ServiceName]*usage
	dropped  uint64
}

// usage is what one service had in the last span.
type usage struct {
	at       timekeeper.Time
	requests ring
	retries  ring
}

// NewAllowance returns an Allowance of which nothing is spent.
func NewAllowance(c AllowanceConfig) *Allowance {
	if c.MaxServices <= 0 {
		c.MaxServices = DefaultMaxServices
	}
	return &Allowance{
		config:   c,
		services: map[identifier.ServiceName]*usage{},
	}
}

// SetExtra sets the number of retries in a span beside the share of requests.
func (a *Allowance) SetExtra(extra float64) { a.extra = extra }

// Requested notes a new request of a service.
func (a *Allowance) Requested(now timekeeper.Time, service identifier.ServiceName) {
	a.service(now, service).requests.add(a.slotOf(now))
}

// Spend takes one retry of a service and reports whether there was one.
func (a *Allowance) Spend(now timekeeper.Time, service identifier.ServiceName) bool {
	u := a.service(now, service)
	slot := a.slotOf(now)
	// The slot that is under way makes the requests those of less than a span, and the
	// retries those of more.
	allowed := a.extra + a.config.Share*float64(u.requests.sum(slot, allowanceSlots))
	if float64(u.retries.sum(slot, allowanceSlots+1)+1) > allowed {
		return false
	}
	u.retries.add(slot)
	return true
}

// Dropped returns how many services were forgotten for lack of room.
func (a *Allowance) Dropped() uint64 { return a.dropped }

func (a *Allowance) slot() timekeeper.Duration { return a.config.Span / allowanceSlots }

func (a *Allowance) slotOf(now timekeeper.Time) int64 { return int64(now) / int64(a.slot()) }

func (a *Allowance) service(now timekeeper.Time, name identifier.ServiceName) *usage {
	u, known := a.services[name]
	if !known {
		a.makeRoom()
		u = &usage{}
		a.services[name] = u
	}
	u.at = now
	return u
}

// makeRoom forgets the service that was idle longest when the table is full.
func (a *Allowance) makeRoom() {
	if len(a.services) < a.config.MaxServices {
		return
	}
	delete(a.services, idlest(a.services, func(u *usage) timekeeper.Time { return u.at }))
	a.dropped++
}

// idlest returns the service that was idle longest.
func idlest[S any](services map[identifier.ServiceName]S, used func(S) timekeeper.Time) identifier.ServiceName {
	var oldest identifier.ServiceName
	at := timekeeper.Never
	for name, s := range services {
		if u := used(s); u.Before(at) || u == at && name < oldest {
			oldest, at = name, u
		}
	}
	return oldest
}

// ring counts events by slot of time, for one slot more than a span has.
type ring struct {
	counts [allowanceSlots + 1]int
	// last is the newest slot that has a count.
	last int64
}

func (r *ring) add(slot int64) {
	r.advance(slot)
	r.counts[slot%int64(len(r.counts))]++
}

// sum returns the events of the last slots, that of slot included.
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

// advance empties the slots that have begun since the last event.
func (r *ring) advance(slot int64) {
	size := int64(len(r.counts))
	for s := max(r.last+1, slot-size+1); s <= slot; s++ {
		r.counts[s%size] = 0
	}
	r.last = max(r.last, slot)
}
