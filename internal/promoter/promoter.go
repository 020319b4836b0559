// Package promoter moves services to new versions of their servers, as operators
// order:
//
//	ordered -> running -> promoting -> completed
//	              |           |
//	              +-----------+-> rolled back
//
// The platform starts servers of the new version beside the old ones. While the
// roll-out runs, a bounded part of the service's requests goes to some of them, and
// what becomes of these is compared with what becomes of the others. A version that
// proves good gets all new requests, the old one's end, and then the operators hear
// that the old servers can go. One that proves bad, or that can't be judged in time,
// is rolled back: that can be undone by another order, while servers that are gone
// can't be had back.
//
// The holder of the duties' lease leads. Every node follows what it says, which
// travels with the news between nodes; a node that has not heard of it for a while
// sends the new version nothing. The part of the requests that the new version gets
// is bounded at each node by itself, so that it holds for all of them whomever they
// hear.
//
//   - promoter.go keeps what is known of roll-outs.
//   - choose.go says which servers a request may go to.
//   - count.go counts what became of requests.
//   - lead.go is for the node that leads.
//
// Everything is pure: time and randomness are arguments. Nothing is safe for
// concurrent use.
package promoter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxRollouts bounds the services of which a roll-out is remembered, and
	// maxBarred the versions of each that were rolled back.
	maxRollouts = 64
	maxBarred   = 8
	// maxVersions bounds the versions of a service that are remembered.
	maxVersions = 16
	// maxLimit bounds the time that an order may give.
	maxLimit = timekeeper.Hour
	// freshFor is how old the leader's word may be for a request to go to a
	// version that is not trusted yet: news takes half a second, and the users'
	// bound on rolling back is some seconds.
	freshFor = 1500 * timekeeper.Millisecond
)

// Config sets up a Promoter. The figures are the users'.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	// Share is the part of a service's requests that a version which is not
	// trusted yet may get of all nodes together, and Slack a number beside.
	Share float64
	Slack float64
}

// Promoter is the roll-outs as one node knows them.
type Promoter struct {
	config   Config
	rollouts map[identifier.ServiceName]*rollout
	// versions holds when each version of a service was first seen.
	versions map[identifier.ServiceName]map[identifier.Version]timekeeper.Time
	nodes    int
	claim    claim
	// changes are the phases since Changes was last called.
	changes []Change
}

// rollout is what is known of the newest roll-out of a service.
type rollout struct {
	order messenger.RolloutOrder
	// first is the offset at which the order was first read.
	first identifier.Offset
	phase messenger.RolloutPhase
	// ordered is when the order was given, and led when the leader last said that
	// it leads, or zero.
	ordered timekeeper.Time
	led     timekeeper.Time
	pace    float64
	focus   int
	barred  []identifier.Version
	tallies tallies
	lead    lead
}

// Change is a step of a roll-out, for the time line.
type Change struct {
	Rollout messenger.Rollout
	// Why is what it was decided on, empty where another node decided.
	Why string
}

// New returns a Promoter that knows of no roll-out.
func New(c Config) *Promoter {
	return &Promoter{
		config:   c,
		rollouts: map[identifier.ServiceName]*rollout{},
		versions: map[identifier.ServiceName]map[identifier.Version]timekeeper.Time{},
		nodes:    1,
	}
}

// SetNodes sets by how many nodes the users' slack is divided.
func (p *Promoter) SetNodes(nodes int) { p.nodes = max(nodes, 1) }

// ApplyOrders applies orders that this node read from the store.
func (p *Promoter) ApplyOrders(now timekeeper.Time, orders []messenger.RolloutOrder) {
	for _, o := range orders {
		p.applyOrder(now, o)
	}
}

// applyOrder applies an order and returns the roll-out that it is about, or nil where
// a newer one is known or there is no room.
func (p *Promoter) applyOrder(now timekeeper.Time, o messenger.RolloutOrder) *rollout {
	o.TimeLimit = min(o.TimeLimit, maxLimit)
	r := p.rollouts[o.Service]
	switch {
	case r != nil && o.Offset == r.order.Offset:
		return r
	case r != nil && r.isAgain(o):
		r.order.Offset = o.Offset
		return r
	case r != nil && o.Offset < r.order.Offset:
		return nil
	case r == nil && (o.To == "" || len(p.rollouts) >= maxRollouts):
		return nil
	}
	next := &rollout{
		order:   o,
		first:   o.Offset,
		ordered: now,
		tallies: newTallies(),
	}
	if r != nil {
		next.barred = r.barred
		next.lead.superseded = r.lead.superseded
		next.supersede(p.tell(now, r))
	}
	// An order for a version that was rolled back gives it another chance.
	next.barred = slices.DeleteFunc(slices.Clone(next.barred), func(v identifier.Version) bool { return v == o.To })
	p.rollouts[o.Service] = next
	p.note(now, next, "ordered")
	return next
}

// isAgain reports whether an order is one that is known, read from a store that came back
// from a copy, or written there again.
func (r *rollout) isAgain(o messenger.RolloutOrder) bool {
	return o.Offset.Generation() > r.first.Generation() && o.Offset > r.order.Offset && o.To == r.order.To && o.TimeLimit == r.order.TimeLimit
}

func (r *rollout) bar(v identifier.Version) {
	if v == "" || slices.Contains(r.barred, v) {
		return
	}
	r.barred = append(slices.Clone(r.barred), v)
	if len(r.barred) > maxBarred {
		r.barred = r.barred[1:]
	}
}

// rank orders the phases: of two that nodes heard of the later one counts. What was
// completed can't be rolled back any more.
var rank = map[messenger.RolloutPhase]int{
	messenger.RolloutOrdered:    0,
	messenger.RolloutRunning:    1,
	messenger.RolloutPromoting:  2,
	messenger.RolloutRolledBack: 3,
	messenger.RolloutCompleted:  4,
}

// Merge merges what a peer knows.
func (p *Promoter) Merge(now timekeeper.Time, news []messenger.Rollout) {
	for _, n := range news {
		if _, known := rank[n.Phase]; !known || n.Order.Service == "" {
			continue
		}
		if r := p.applyOrder(now, n.Order); r != nil {
			p.mergeRollout(now, r, n)
		}
	}
}

func (p *Promoter) mergeRollout(now timekeeper.Time, r *rollout, n messenger.Rollout) {
	r.ordered = min(r.ordered, now.Add(-n.Age))
	for _, v := range n.RolledBackVersions[:min(len(n.RolledBackVersions), maxBarred)] {
		if v != r.order.To {
			r.bar(v)
		}
	}
	if led := now.Add(-n.LeaderAge); n.LeaderAge >= 0 && led.After(r.led) {
		r.led = led
		r.pace = n.TrafficShare
		r.focus = n.ActiveServers
	}
	p.enter(now, r, n.Phase, "")
}

// enter brings a roll-out to a phase unless it is further.
func (p *Promoter) enter(now timekeeper.Time, r *rollout, phase messenger.RolloutPhase, why string) {
	if rank[phase] <= rank[r.phase] {
		return
	}
	r.phase = phase
	if phase == messenger.RolloutRolledBack {
		r.bar(r.order.To)
	}
	p.note(now, r, why)
}

func (p *Promoter) note(now timekeeper.Time, r *rollout, why string) {
	p.changes = append(p.changes, Change{
		Rollout: p.tell(now, r),
		Why:     why,
	})
}

// Changes returns the steps of roll-outs since the last call.
func (p *Promoter) Changes() []Change {
	out := p.changes
	p.changes = nil
	return out
}

// Urgent reports whether requests move to a version now. The leader should hear soon
// what becomes of them: if the version proves bad only then, each moment counts.
func (p *Promoter) Urgent() bool {
	for _, r := range p.rollouts {
		if r.phase == messenger.RolloutPromoting {
			return true
		}
	}
	return false
}

// Updates returns all roll-outs that are known, for peers and operators.
func (p *Promoter) Updates(now timekeeper.Time) []messenger.Rollout {
	if len(p.rollouts) == 0 {
		return nil
	}
	out := make([]messenger.Rollout, 0, len(p.rollouts))
	for _, r := range p.rollouts {
		out = append(out, p.tell(now, r))
	}
	slices.SortFunc(out, func(a, b messenger.Rollout) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return out
}

func (p *Promoter) tell(now timekeeper.Time, r *rollout) messenger.Rollout {
	out := messenger.Rollout{
		Order:              r.order,
		Phase:              r.phase,
		Age:                now.Sub(r.ordered),
		LeaderAge:          -1,
		TrafficShare:       r.pace,
		ActiveServers:      r.focus,
		RolledBackVersions: r.barred,
	}
	if r.led != 0 {
		out.LeaderAge = now.Sub(r.led)
	}
	return out
}

// ObserveVersion records the version of a server that serves.
func (p *Promoter) ObserveVersion(now timekeeper.Time, service identifier.ServiceName, v identifier.Version) {
	seen := p.versions[service]
	if seen == nil {
		seen = map[identifier.Version]timekeeper.Time{}
		p.versions[service] = seen
	}
	if _, known := seen[v]; known {
		return
	}
	if len(seen) >= maxVersions {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(seen)), func(a, b identifier.Version) int {
			return cmp.Compare(seen[a], seen[b])
		})
		delete(seen, oldest)
	}
	seen[v] = now
}

// Status is a roll-out for operators. The counts are those of all nodes at the node that
// leads, and its own at any other.
type Status struct {
	Service string   `json:"service"`
	To      string   `json:"to"`
	Phase   string   `json:"phase"`
	AgeMS   int64    `json:"age_ms"`
	LimitMS int64    `json:"limit_ms"`
	LedAgo  int64    `json:"led_ago_ms"`
	Barred  []string `json:"barred,omitempty"`
	Sent    int      `json:"sent"`
	Exposed int      `json:"exposed"`
	Failed  int      `json:"failed"`
	// Why is what the node that leads decided on last.
	Why string `json:"why,omitempty"`
}

// Statuses returns all roll-outs that are known.
func (p *Promoter) Statuses(now timekeeper.Time) []Status {
	var out []Status
	for _, n := range p.Updates(now) {
		r := p.rollouts[n.Order.Service]
		s := Status{
			Service: string(n.Order.Service),
			To:      string(n.Order.To),
			Phase:   string(n.Phase),
			AgeMS:   int64(n.Age),
			LimitMS: int64(n.Order.TimeLimit),
			LedAgo:  int64(n.LeaderAge),
			Why:     r.lead.why,
		}
		for _, v := range n.RolledBackVersions {
			s.Barred = append(s.Barred, string(v))
		}
		for at, of := range r.tallies.total() {
			s.Sent += of.sent
			if at.server != "" {
				s.Exposed += of.sent
				s.Failed += of.failed
			}
		}
		out = append(out, s)
	}
	return out
}

// Restored takes in that the store may have lost the newest states: they are written again.
func (p *Promoter) Restored() {
	p.claim.done = false
	p.claim.asked = 0
	for _, r := range p.rollouts {
		r.lead.fence = 0
	}
}

// InProgress reports whether a roll-out of a service is under way.
func (p *Promoter) InProgress(service identifier.ServiceName) bool {
	r := p.rollouts[service]
	return r != nil && !r.phase.Final()
}
