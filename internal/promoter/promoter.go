// Package promoter rolls out new versions of services' servers as operators order:
//
//	ordered -> running -> promoting -> completed
//	              |           |
//	              +-----------+-> rolled back
//
// The platform starts servers of the new version in addition to the old ones. While the
// rollout runs, a limited fraction of the service's requests goes to some of them, and
// the results are compared with those of the old servers. A version that proves good
// then receives all new requests, and once the requests at the old servers have ended,
// the rollout is stored as completed and the platform removes these servers. A version
// that proves bad, or can't be assessed in time, is rolled back. A rollback can be
// undone by another order; a removed server can't be brought back.
//
// The holder of the leader tasks' lease leads. All nodes follow the leader's decisions,
// which are part of the state updates between nodes. A node that has not received one
// for a while sends nothing to the new version. Each node limits the fraction of its
// own requests that goes to the new version, so the limit holds for all nodes together,
// whatever updates they receive.
//
//   - promoter.go holds the state of rollouts.
//   - choose.go chooses the servers that a request may be sent to.
//   - count.go counts the results of attempts.
//   - lead.go makes the leader's decisions.
//
// The package is pure: time and randomness are arguments. Nothing in it is safe for
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
	// maxRollouts limits the services whose rollout is remembered, and maxRolledBack
	// the rolled-back versions remembered for each.
	maxRollouts   = 64
	maxRolledBack = 8
	// maxVersions limits the versions of a service that are remembered.
	maxVersions = 16
	// maxLimit is the maximum time limit of an order; longer ones are shortened.
	maxLimit = timekeeper.Hour
	// maxLeaderAge is the age of the leader's last decision up to which requests go to
	// a version that is not trusted. Updates take half a second to arrive, and a bad
	// version has to be rolled back within a few seconds.
	maxLeaderAge = 1500 * timekeeper.Millisecond
)

// Config configures a Promoter.
type Config struct {
	Self        identifier.VMID
	Incarnation identifier.Incarnation
	// Share is the fraction of a service's requests that all nodes together may send to
	// a version that is not trusted yet. Slack is a number of requests that is allowed
	// in addition.
	Share float64
	Slack float64
}

// Promoter is the state of all rollouts, as known to one node.
type Promoter struct {
	config   Config
	rollouts map[identifier.ServiceName]*rollout
	// versions holds the time at which each version of a service was first seen.
	versions  map[identifier.ServiceName]map[identifier.Version]timekeeper.Time
	nodeCount int
	claim     claim
	// changes are the phase changes since the last call of Changes.
	changes []Change
}

// rollout is the state of a service's newest rollout.
type rollout struct {
	order messenger.RolloutOrder
	// firstOffset is the offset at which the order was first read. It identifies the
	// rollout when the order is read again at another offset.
	firstOffset identifier.Offset
	phase       messenger.RolloutPhase
	// orderedAt is the time of the order, and leaderSeen the time of the leader's last
	// decision that this node received, or zero.
	orderedAt     timekeeper.Time
	leaderSeen    timekeeper.Time
	trafficShare  float64
	activeServers int
	rolledBack    []identifier.Version
	counts        rolloutCounts
	leader        leaderState
}

// Change is a phase change of a rollout, for the timeline.
type Change struct {
	Rollout messenger.Rollout
	// Why is the reason of the decision, empty if another node decided.
	Why string
}

// New returns a Promoter without rollouts.
func New(c Config) *Promoter {
	return &Promoter{
		config:    c,
		rollouts:  map[identifier.ServiceName]*rollout{},
		versions:  map[identifier.ServiceName]map[identifier.Version]timekeeper.Time{},
		nodeCount: 1,
	}
}

// SetNodes sets the number of nodes that share the slack.
func (p *Promoter) SetNodes(nodes int) { p.nodeCount = max(nodes, 1) }

// ApplyOrders applies orders that this node read from the store.
func (p *Promoter) ApplyOrders(now timekeeper.Time, orders []messenger.RolloutOrder) {
	for _, o := range orders {
		p.applyOrder(now, o)
	}
}

// WithdrawMissing withdraws the orders that a read of all orders lacks: services are those with
// an order, and end is the offset before which the read lacks no record. A restored store may
// have lost an order that is still in effect.
func (p *Promoter) WithdrawMissing(now timekeeper.Time, services []identifier.ServiceName, end identifier.Offset) {
	for _, service := range slices.Sorted(maps.Keys(p.rollouts)) {
		order := p.rollouts[service].order
		if order.To == "" || order.Offset >= end || order.Offset.Generation() != end.Generation() || slices.Contains(services, service) {
			continue
		}
		p.applyOrder(now, messenger.RolloutOrder{
			Service: service,
			Offset:  end - 1,
		})
	}
}

// applyOrder applies an order and returns its rollout, or nil if a newer one is known
// or the table is full.
func (p *Promoter) applyOrder(now timekeeper.Time, o messenger.RolloutOrder) *rollout {
	o.TimeLimit = min(o.TimeLimit, maxLimit)
	r := p.rollouts[o.Service]
	switch {
	case r != nil && o.Offset == r.order.Offset:
		return r
	case r != nil && r.isRepeated(o):
		r.order.Offset = o.Offset
		return r
	case r != nil && o.Offset < r.order.Offset:
		return nil
	case r == nil && (o.To == "" || len(p.rollouts) >= maxRollouts):
		return nil
	}
	next := &rollout{
		order:       o,
		firstOffset: o.Offset,
		orderedAt:   now,
		counts:      newRolloutCounts(),
	}
	if r != nil {
		next.rolledBack = r.rolledBack
		next.leader.superseded = r.leader.superseded
		next.supersede(p.update(now, r))
	}
	// An order for a version that was rolled back gives it another chance.
	next.rolledBack = slices.DeleteFunc(slices.Clone(next.rolledBack), func(v identifier.Version) bool { return v == o.To })
	p.rollouts[o.Service] = next
	p.recordChange(now, next, "ordered")
	return next
}

// isRepeated reports whether an order is the known one, read from a store that was
// restored from a copy or written there again.
func (r *rollout) isRepeated(o messenger.RolloutOrder) bool {
	return o.Offset.Generation() > r.firstOffset.Generation() && o.Offset > r.order.Offset && o.To == r.order.To && o.TimeLimit == r.order.TimeLimit
}

func (r *rollout) markRolledBack(v identifier.Version) {
	if v == "" || slices.Contains(r.rolledBack, v) {
		return
	}
	r.rolledBack = append(slices.Clone(r.rolledBack), v)
	if len(r.rolledBack) > maxRolledBack {
		r.rolledBack = r.rolledBack[1:]
	}
}

// phaseRank orders the phases: of two that nodes report, the one with the higher rank
// holds. A completed rollout can't be rolled back.
var phaseRank = map[messenger.RolloutPhase]int{
	messenger.RolloutOrdered:    0,
	messenger.RolloutRunning:    1,
	messenger.RolloutPromoting:  2,
	messenger.RolloutRolledBack: 3,
	messenger.RolloutCompleted:  4,
}

// Merge merges the rollouts that a peer or the store reported.
func (p *Promoter) Merge(now timekeeper.Time, updates []messenger.Rollout) {
	for _, update := range updates {
		if _, known := phaseRank[update.Phase]; !known || update.Order.Service == "" {
			continue
		}
		if r := p.applyOrder(now, update.Order); r != nil {
			p.mergeRollout(now, r, update)
		}
	}
}

func (p *Promoter) mergeRollout(now timekeeper.Time, r *rollout, update messenger.Rollout) {
	r.orderedAt = min(r.orderedAt, now.Add(-update.Age))
	for _, v := range update.RolledBackVersions[:min(len(update.RolledBackVersions), maxRolledBack)] {
		if v != r.order.To {
			r.markRolledBack(v)
		}
	}
	if leaderSeen := now.Add(-update.LeaderAge); update.LeaderAge >= 0 && leaderSeen.After(r.leaderSeen) {
		r.leaderSeen = leaderSeen
		r.trafficShare = update.TrafficShare
		r.activeServers = update.ActiveServers
	}
	p.advance(now, r, update.Phase, "")
}

// advance moves a rollout to a phase unless it is in a later one.
func (p *Promoter) advance(now timekeeper.Time, r *rollout, phase messenger.RolloutPhase, why string) {
	if phaseRank[phase] <= phaseRank[r.phase] {
		return
	}
	r.phase = phase
	if phase == messenger.RolloutRolledBack {
		r.markRolledBack(r.order.To)
	}
	p.recordChange(now, r, why)
}

func (p *Promoter) recordChange(now timekeeper.Time, r *rollout, why string) {
	p.changes = append(p.changes, Change{
		Rollout: p.update(now, r),
		Why:     why,
	})
}

// Changes returns the phase changes since the last call.
func (p *Promoter) Changes() []Change {
	out := p.changes
	p.changes = nil
	return out
}

// Urgent reports whether a service is being moved to a new version. Nodes then send
// their counts sooner, because a version that proves bad now serves most requests.
func (p *Promoter) Urgent() bool {
	for _, r := range p.rollouts {
		if r.phase == messenger.RolloutPromoting {
			return true
		}
	}
	return false
}

// Updates returns all known rollouts, for peers and operators.
func (p *Promoter) Updates(now timekeeper.Time) []messenger.Rollout {
	if len(p.rollouts) == 0 {
		return nil
	}
	out := make([]messenger.Rollout, 0, len(p.rollouts))
	for _, r := range p.rollouts {
		out = append(out, p.update(now, r))
	}
	slices.SortFunc(out, func(a, b messenger.Rollout) int { return cmp.Compare(a.Order.Service, b.Order.Service) })
	return out
}

func (p *Promoter) update(now timekeeper.Time, r *rollout) messenger.Rollout {
	out := messenger.Rollout{
		Order:              r.order,
		Phase:              r.phase,
		Age:                now.Sub(r.orderedAt),
		LeaderAge:          -1,
		TrafficShare:       r.trafficShare,
		ActiveServers:      r.activeServers,
		RolledBackVersions: r.rolledBack,
	}
	if r.leaderSeen != 0 {
		out.LeaderAge = now.Sub(r.leaderSeen)
	}
	return out
}

// ObserveVersion records that a server of a version serves.
func (p *Promoter) ObserveVersion(now timekeeper.Time, service identifier.ServiceName, v identifier.Version) {
	firstSeen := p.versions[service]
	if firstSeen == nil {
		firstSeen = map[identifier.Version]timekeeper.Time{}
		p.versions[service] = firstSeen
	}
	if _, known := firstSeen[v]; known {
		return
	}
	if len(firstSeen) >= maxVersions {
		oldest := slices.MinFunc(slices.Sorted(maps.Keys(firstSeen)), func(a, b identifier.Version) int {
			return cmp.Compare(firstSeen[a], firstSeen[b])
		})
		delete(firstSeen, oldest)
	}
	firstSeen[v] = now
}

// Status describes a rollout to operators. The counts cover all nodes at the leader,
// and only the node's own attempts elsewhere.
type Status struct {
	Service            string   `json:"service"`
	To                 string   `json:"to"`
	Phase              string   `json:"phase"`
	AgeMS              int64    `json:"age_ms"`
	LimitMS            int64    `json:"limit_ms"`
	LeaderAgeMS        int64    `json:"led_ago_ms"`
	RolledBackVersions []string `json:"barred,omitempty"`
	Sent               int      `json:"sent"`
	Exposed            int      `json:"exposed"`
	Failed             int      `json:"failed"`
	// Why is the reason of the leader's last decision.
	Why string `json:"why,omitempty"`
}

// Statuses returns all known rollouts.
func (p *Promoter) Statuses(now timekeeper.Time) []Status {
	var out []Status
	for _, update := range p.Updates(now) {
		r := p.rollouts[update.Order.Service]
		s := Status{
			Service:     string(update.Order.Service),
			To:          string(update.Order.To),
			Phase:       string(update.Phase),
			AgeMS:       int64(update.Age),
			LimitMS:     int64(update.Order.TimeLimit),
			LeaderAgeMS: int64(update.LeaderAge),
			Why:         r.leader.why,
		}
		for _, v := range update.RolledBackVersions {
			s.RolledBackVersions = append(s.RolledBackVersions, string(v))
		}
		for key, counts := range r.counts.total() {
			s.Sent += counts.sent
			if key.server != "" {
				s.Exposed += counts.sent
				s.Failed += counts.failed
			}
		}
		out = append(out, s)
	}
	return out
}

// Restored makes the leader write all states again, because the store may have lost the
// newest ones.
func (p *Promoter) Restored() {
	p.claim.done = false
	p.claim.requestedAt = 0
	for _, r := range p.rollouts {
		r.leader.storedFence = 0
	}
}

// InProgress reports whether a rollout of a service is in progress.
func (p *Promoter) InProgress(service identifier.ServiceName) bool {
	r := p.rollouts[service]
	return r != nil && !r.phase.Final()
}
