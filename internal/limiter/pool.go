package limiter

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/sharer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// usageWindow is the time over which the use of a pool is smoothed.
	usageWindow = 10 * timekeeper.Second
	// minReserve and maxReserve bound the fraction of slots that is closed to batch
	// requests. Between them it equals the interactive fraction of the use.
	minReserve = 0.05
	maxReserve = 0.25
	// standardReserve is the fraction of the reserve that is closed to standard
	// requests, too.
	standardReserve = 0.25
	// minShedPressure is the pressure from which requests are shed, and maxShedPressure
	// the one from which all are. At pressure 1 each slot is taken and nothing waits.
	minShedPressure = 0.95
	maxShedPressure = 2.0
	// planLifetime is the time for which an order of shedding stays in force.
	planLifetime = 100 * timekeeper.Millisecond
	// smoothing is the weight of the newest request in the moving averages of an entry.
	smoothing = 0.1
	// retriesPerTarget is the number of refusals, the first included, after which the
	// time that remains until a request's target is used up.
	retriesPerTarget = 3
	// activePart is the minimum fraction of a pool's use from which an account counts
	// as one of those that share the pool.
	activePart = 0.005
)

// pool is the recent use of one pool of backend servers through this node.
type pool struct {
	updatedAt   timekeeper.Time
	entries     map[entryKey]*entry
	total       float64
	interactive float64
	// serviceTime is the moving average of the time of a request, in milliseconds.
	serviceTime float64
	// planned reports whether the order of shedding is valid, and plannedAt is the time
	// of its computation. plannedUse is the use at that time in slots, and excess the
	// part of it above fair shares.
	planned    bool
	plannedAt  timekeeper.Time
	plannedUse float64
	excess     float64
	byPenalty  bool
}

type entryKey struct {
	account identifier.AccountID
	service identifier.ServiceName
}

// entry is the recent use of a pool by one account for one service, in slots.
type entry struct {
	key       entryKey
	updatedAt timekeeper.Time
	use       float64
	// value is the moving average of the penalty saved per second of slot time.
	value float64
	// excess is the use above the account's fair share, and base the remainder.
	// excessStart and baseStart are their positions in the order of shedding.
	excess      float64
	base        float64
	excessStart float64
	baseStart   float64
	// shedBalance accumulates the fraction of requests to shed. When it reaches one, a
	// request is shed.
	shedBalance float64
}

func (l *Limits) pool(name identifier.PoolName) *pool {
	p, ok := l.pools[name]
	if !ok {
		p = &pool{entries: make(map[entryKey]*entry)}
		l.pools[name] = p
	}
	return p
}

// prune drops entries that the catalog does not contain.
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

// observe adds a request to the pool's use. Requests refused by the account's limit are
// not added: shedding them would not relieve the pool.
func (p *pool) observe(now timekeeper.Time, req Request) *entry {
	key := entryKey{
		account: req.Account,
		service: req.Service,
	}
	e, ok := p.entries[key]
	if !ok {
		e = &entry{
			key:       key,
			updatedAt: now,
			value:     valueOf(req),
		}
		p.entries[key] = e
		p.planned = false
	}
	slotTime := max(req.Predicted.Seconds(), timekeeper.Millisecond.Seconds())
	load := slotTime / usageWindow.Seconds()
	decay := decayFactor(now, p.updatedAt)
	p.updatedAt = now
	p.total = p.total*decay + load
	p.interactive *= decay
	if req.Priority >= catalog.Interactive {
		p.interactive += load
	}
	e.use = e.use*decayFactor(now, e.updatedAt) + load
	e.updatedAt = now
	e.value += smoothing * (valueOf(req) - e.value)
	p.serviceTime = smoothed(p.serviceTime, slotTime*float64(timekeeper.Second))
	return e
}

func smoothed(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + smoothing*(sample-old)
}

func decayFactor(now, at timekeeper.Time) float64 {
	return math.Exp(-float64(max(now.Sub(at), 0)) / float64(usageWindow))
}

// valueOf returns the penalty that admission of the request saves, per second of slot
// time. A request that will be late in any case saves nothing.
func valueOf(req Request) float64 {
	slotTime := max(req.Predicted.Seconds(), timekeeper.Millisecond.Seconds())
	return float64(req.Target.Penalty) * onTimeChance(req.Predicted, req.Target.Completion) / slotTime
}

// onTimeChance estimates the probability that the target is met: one up to 0.8 times
// the target, zero from 1.5 times the target.
func onTimeChance(predicted, target timekeeper.Duration) float64 {
	if target <= 0 {
		return 1
	}
	over := (float64(predicted)/float64(target) - 0.8) / 0.7
	return 1 - min(max(over, 0), 1)
}

// reserved reports whether the free slots are reserved for requests of higher priority.
//
// Long batch requests occupy a slot for minutes. If they took the last slots,
// interactive requests would have to wait for one of them to end, which looks like an
// outage to callers.
func (p *pool) reserved(req Request) bool {
	if req.Priority >= catalog.Interactive || p.interactive == 0 {
		return false
	}
	part := min(max(p.interactive/p.total, minReserve), maxReserve)
	if req.Priority == catalog.Standard {
		part *= standardReserve
	}
	return float64(req.FreeSlots) < part*float64(req.Slots)
}

// minRetryDelay returns the minimum retry time of a request: the time that remains
// until its target, divided by retriesPerTarget.
//
// An overload lasts until new servers have loaded. If the retry time were only the
// drain time of a queue, a request with minutes to spare would use up its retries and
// be abandoned while it could still complete in time.
func minRetryDelay(req Request) timekeeper.Duration {
	spare := req.Target.Completion - req.Predicted
	if req.Target.FirstToken > 0 {
		spare = min(spare, req.Target.FirstToken)
	}
	return max(spare, 0) / retriesPerTarget
}

// drainTime returns the retry time on overload: the time in which the pool processes
// the waiting requests, but at least minRetryDelay.
func (p *pool) drainTime(req Request) timekeeper.Duration {
	ms := float64(req.Waiting+1) / float64(max(req.Slots, 1)) * p.serviceTime
	return min(max(timekeeper.Duration(ms), minRetry, minRetryDelay(req)), maxRetry)
}

// shouldShed reports whether the request is shed because of overload.
func (p *pool) shouldShed(now timekeeper.Time, l *Limits, req Request, e *entry) bool {
	pressure := float64(req.Slots-req.FreeSlots+req.Waiting) / float64(req.Slots)
	part := min(max((pressure-minShedPressure)/(maxShedPressure-minShedPressure), 0), 1)
	if part == 0 {
		return false
	}
	if !p.planned || now.Sub(p.plannedAt) >= planLifetime {
		p.plan(now, l)
	}
	e.shedBalance += p.shedPart(e, part*p.plannedUse)
	if e.shedBalance < 1 {
		return false
	}
	e.shedBalance--
	return true
}

// shedPart returns the fraction of the entry's requests to shed if the given part of
// the pool's use has to be shed.
func (p *pool) shedPart(e *entry, toShed float64) float64 {
	if e.excess+e.base <= 0 {
		return 0
	}
	if !p.byPenalty {
		shed := e.excess*partOf(toShed, p.excess) + e.base*partOf(toShed-p.excess, p.plannedUse-p.excess)
		return shed / (e.excess + e.base)
	}
	shed := min(max(toShed-e.excessStart, 0), e.excess) + min(max(toShed-e.baseStart, 0), e.base)
	return shed / (e.excess + e.base)
}

func partOf(amount, total float64) float64 {
	if total <= 0 {
		return 0
	}
	return min(max(amount/total, 0), 1)
}

// plan orders the use for shedding: first the use above the accounts' fair shares, then
// the rest, each by ascending value.
//
// Without fair shares, a burst of one large account that fills the pool would delay the
// requests of small accounts as much as its own.
func (p *pool) plan(now timekeeper.Time, l *Limits) {
	p.planned = true
	p.plannedAt = now
	sorted := p.sorted(now)
	excessPart := excessParts(sorted, l)
	position := 0.0
	for _, e := range sorted {
		e.excess = e.use * excessPart[e.key.account]
		e.base = e.use - e.excess
		e.excessStart = position
		position += e.excess
	}
	p.excess = position
	for _, e := range sorted {
		e.baseStart = position
		position += e.base
	}
	p.plannedUse = position
	p.byPenalty = l.rules.ShedByPenalty
}

// sorted returns the entries by ascending value, with their use decayed to now.
func (p *pool) sorted(now timekeeper.Time) []*entry {
	sorted := make([]*entry, 0, len(p.entries))
	for _, e := range p.entries {
		e.use *= decayFactor(now, e.updatedAt)
		e.updatedAt = now
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

// excessParts returns the fraction of each account's use that exceeds its fair share.
// Fair shares are proportional to the accounts' token limits. Only accounts that
// currently use the pool count.
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
	var weights []float64
	for _, id := range slices.Sorted(maps.Keys(use)) {
		if use[id] > activePart*total {
			weights = append(weights, weightOf(l.catalog.Accounts[id]))
		}
	}
	level := sharer.FairLevel(total, weights)
	for id, u := range use {
		fair := level * weightOf(l.catalog.Accounts[id])
		if u > fair {
			parts[id] = 1 - fair/u
		}
	}
	return parts
}

func weightOf(a catalog.Account) float64 { return max(a.TokensPerSecond, 1) }
