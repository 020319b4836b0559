package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// useWindow is the time over which the use of a pool is smoothed.
	useWindow = 10 * timekeeper.Second
	// minReserve and maxReserve bound the part of the slots that batch work
	// cannot take; between them it is the interactive part of the work.
	minReserve = 0.05
	maxReserve = 0.25
	// standardReserve is the part of the reserve closed to standard work too.
	standardReserve = 0.25
	// shedFrom and shedAll are the pressures at which shedding begins and at
	// which everything is shed. At pressure 1 each slot is taken and nothing
	// waits.
	shedFrom = 0.95
	shedAll  = 2.0
	// planFor is how long an order of shedding stays in force.
	planFor = 100 * timekeeper.Millisecond
	// smoothing is the weight of the newest ask in an entry's means.
	smoothing = 0.1
	// patienceParts is how many times a caller may be refused, the first time
	// included, before the time that its target leaves is used up.
	patienceParts = 3
	// activePart is the part of a pool's use below which an account does not
	// count as one that the pool is shared with.
	activePart = 0.005
)

// pool is the recent use of one pool of backend servers through this node.
type pool struct {
	at          timekeeper.Time
	entries     map[entryKey]*entry
	total       float64
	interactive float64
	// serviceTime is the mean time of a request in milliseconds.
	serviceTime float64
	// planned tells that the order of shedding stands, since plannedAt; it
	// was made for planUse slots, of which excess are above fair shares.
	planned   bool
	plannedAt timekeeper.Time
	planUse   float64
	excess    float64
	byPenalty bool
}

type entryKey struct {
	account identifier.AccountID
	service identifier.ServiceName
}

// entry is the recent use of a pool by one account for one service, in
// slots.
type entry struct {
	key entryKey
	at  timekeeper.Time
	use float64
	// value is the mean penalty saved by a second of slot time.
	value float64
	// excess is the use above the account's fair share, base the rest. Both
	// start at their place in the order of shedding.
	excess     float64
	base       float64
	excessFrom float64
	baseFrom   float64
	// due adds up the parts of requests to shed; at one, a request is shed.
	due float64
}

func (l *Limits) pool(name identifier.PoolName) *pool {
	p, ok := l.pools[name]
	if !ok {
		p = &pool{entries: make(map[entryKey]*entry)}
		l.pools[name] = p
	}
	return p
}

// prune forgets entries that the catalog no longer names.
func (p *pool) prune(c *catalog.Catalog) {
	p.planned = false
	for key := range p.entries {
		_, account := c.Accounts[key.account]
		_, service := c.Services[key.service]
		if !account || !service {
			delete(p.entries, key)
		}
	}
}

// note adds an ask to the pool's use. What the account's limit refuses never
// gets here: shedding it would relieve the pool of nothing.
func (p *pool) note(now timekeeper.Time, a Request) *entry {
	key := entryKey{
		account: a.Account,
		service: a.Service,
	}
	e, ok := p.entries[key]
	if !ok {
		e = &entry{
			key:   key,
			at:    now,
			value: valueOf(a),
		}
		p.entries[key] = e
		p.planned = false
	}
	work := max(a.Predicted.Seconds(), timekeeper.Millisecond.Seconds())
	gain := work / useWindow.Seconds()
	keep := faded(now, p.at)
	p.at = now
	p.total = p.total*keep + gain
	p.interactive *= keep
	if a.Priority >= catalog.Interactive {
		p.interactive += gain
	}
	e.use = e.use*faded(now, e.at) + gain
	e.at = now
	e.value += smoothing * (valueOf(a) - e.value)
	p.serviceTime = mean(p.serviceTime, work*float64(timekeeper.Second))
	return e
}

func mean(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

func faded(now, at timekeeper.Time) float64 {
	return math.Exp(-float64(max(now.Sub(at), 0)) / float64(useWindow))
}

// valueOf is the penalty that admitting the request saves, by second of slot
// time: one that will be late anyway saves nothing.
func valueOf(a Request) float64 {
	work := max(a.Predicted.Seconds(), timekeeper.Millisecond.Seconds())
	return float64(a.Target.Penalty) * onTime(a.Predicted, a.Target.Completion) / work
}

// onTime is the chance to meet the target: sure up to four fifths of it, none
// from one and a half times the target.
func onTime(predicted, target timekeeper.Duration) float64 {
	if target <= 0 {
		return 1
	}
	over := (float64(predicted)/float64(target) - 0.8) / 0.7
	return 1 - min(max(over, 0), 1)
}

// reserved reports whether the free slots are kept for work that goes first.
//
// Long batch requests hold a slot for minutes. Filling the last slots with
// them makes lookups wait for one to end, which their callers take for an
// outage; so the last slots stay free for what is short and urgent.
func (p *pool) reserved(a Request) bool {
	if a.Priority >= catalog.Interactive || p.interactive == 0 {
		return false
	}
	part := min(max(p.interactive/p.total, minReserve), maxReserve)
	if a.Priority == catalog.Standard {
		part *= standardReserve
	}
	return float64(a.FreeSlots) < part*float64(a.Slots)
}

// patience is a third of the time that the request's target leaves.
//
// An overload lasts as long as new servers take to load. Work with minutes to
// spare that is told the time in which a queue drains is back at once, is
// refused again, and its caller gives up while it could still be in time.
func patience(a Request) timekeeper.Duration {
	spare := a.Target.Completion - a.Predicted
	if a.Target.FirstToken > 0 {
		spare = min(spare, a.Target.FirstToken)
	}
	return max(spare, 0) / patienceParts
}

// drainTime is the time in which the pool works off what waits.
func (p *pool) drainTime(a Request) timekeeper.Duration {
	ms := float64(a.Waiting+1) / float64(max(a.Slots, 1)) * p.serviceTime
	return min(max(timekeeper.Duration(ms), minRetry, patience(a)), maxRetry)
}

// sheds reports whether overload costs this request its admission.
func (p *pool) sheds(now timekeeper.Time, l *Limits, a Request, e *entry) bool {
	pressure := float64(a.Slots-a.FreeSlots+a.Waiting) / float64(a.Slots)
	part := min(max((pressure-shedFrom)/(shedAll-shedFrom), 0), 1)
	if part == 0 {
		return false
	}
	if !p.planned || now.Sub(p.plannedAt) >= planFor {
		p.plan(now, l)
	}
	e.due += p.shedPart(e, part*p.planUse)
	if e.due < 1 {
		return false
	}
	e.due--
	return true
}

// shedPart is the part of the entry's requests to shed when so much of the
// pool's use must go.
func (p *pool) shedPart(e *entry, cut float64) float64 {
	if e.excess+e.base <= 0 {
		return 0
	}
	if !p.byPenalty {
		shed := e.excess*partOf(cut, p.excess) + e.base*partOf(cut-p.excess, p.planUse-p.excess)
		return shed / (e.excess + e.base)
	}
	shed := min(max(cut-e.excessFrom, 0), e.excess) + min(max(cut-e.baseFrom, 0), e.base)
	return shed / (e.excess + e.base)
}

func partOf(cut, whole float64) float64 {
	if whole <= 0 {
		return 0
	}
	return min(max(cut/whole, 0), 1)
}

// plan orders the entries for shedding: first what accounts use above their
// fair share, then the rest, each by the penalty saved.
//
// Without the fair share a large account whose crowd fills the pool would
// make the small ones late in proportion: all would wait in the same queues.
func (p *pool) plan(now timekeeper.Time, l *Limits) {
	p.planned = true
	p.plannedAt = now
	sorted := p.sorted(now)
	over := excessParts(sorted, l)
	from := 0.0
	for _, e := range sorted {
		e.excess = e.use * over[e.key.account]
		e.base = e.use - e.excess
		e.excessFrom = from
		from += e.excess
	}
	p.excess = from
	for _, e := range sorted {
		e.baseFrom = from
		from += e.base
	}
	p.planUse = from
	p.byPenalty = l.rules.ShedByPenalty
}

// sorted returns the entries, faded to now, least penalty first.
func (p *pool) sorted(now timekeeper.Time) []*entry {
	sorted := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		e.use *= faded(now, e.at)
		e.at = now
		sorted = append(sorted, e)
	}
	slices.SortFunc(sorted, func(x, y *entry) int {
		return cmp.Or(
			cmp.Compare(x.value, y.value),
			cmp.Compare(x.key.account, y.key.account),
			cmp.Compare(x.key.service, y.key.service),
		)
	})
	return sorted
}

// excessParts returns which part of each account's use is above its fair
// share. Shares go by the accounts' limits, since those are what each account
// was promised, and only accounts that use the pool now count.
func excessParts(entries []*entry, l *Limits) map[identifier.AccountID]float64 {
	parts := make(map[identifier.AccountID]float64)
	if !l.rules.FairShare {
		return parts
	}
	use := make(map[identifier.AccountID]float64)
	total := 0.0
	for _, e := range entries {
		use[e.key.account] += e.use
		total += e.use
	}
	weights := 0.0
	for _, id := range slices.Sorted(maps.Keys(use)) {
		if use[id] > activePart*total {
			weights += weightOf(l.catalog.Accounts[id])
		}
	}
	for id, u := range use {
		fair := total * weightOf(l.catalog.Accounts[id]) / max(weights, 1)
		if u > fair {
			parts[id] = 1 - fair/u
		}
	}
	return parts
}

func weightOf(a catalog.Account) float64 { return max(a.TokensPerSecond, 1) }
