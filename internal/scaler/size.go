package scaler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// targetBusy is the share of a server's slots that are to be busy: above
	// it, queues grow quickly with small bursts.
	targetBusy = 0.70
	// releaseBusy is the share that must suffice after a release. The gap to
	// targetBusy keeps a pool at its edge from buying and releasing in turn.
	releaseBusy = 0.60
	// spareShare lowers both where spare slots are worth their price: where the
	// penalties that a server's work carries, times spareMiss, outweigh it.
	// spareMiss is the part of the work that is late at targetBusy and is not
	// at the lower share.
	spareShare = 5.0 / 7
	spareMiss  = 0.05
	// fullBusy is the share past which work is counted as missing targets.
	fullBusy = 0.90
	// movedMiss is the part of a reclaimed server's streams that miss their
	// target by being moved. shortMiss is the part of the pool's work of one
	// load time that misses when a zone goes. It exceeds one, because weights
	// load one after the other: the last replacement serves after several.
	movedMiss = 0.15
	shortMiss = 1.2
)

// sizing is the pool's numbers for one plan.
type sizing struct {
	pool  catalog.Pool
	class catalog.Class
	zones int
	// want is how many servers to have; keep is how many must stay at a
	// release; safe is how many must outlive the loss of a zone.
	want, keep, safe int
	// penalty is the mean penalty of a miss, and perSlot the requests a
	// second that one busy slot ends.
	penalty float64
	perSlot float64
	// busy is the demand foreseen.
	busy float64
	// reclaimCost is what the reclaim of one server costs.
	reclaimCost float64
}

// sizing works out the numbers of a plan.
func (s *Scaler) sizing(c *catalog.Catalog) sizing {
	f, r := &s.forecast, s.config.Rules
	pool := c.Pools[s.config.Pool]
	z := sizing{
		pool:    pool,
		class:   c.Classes[pool.Class],
		busy:    f.busy(s.config.LoadTime, r),
		perSlot: f.perSlot(),
		penalty: f.penalty(),
	}
	if z.penalty == 0 {
		z.penalty = meanPenalty(c, s.config.Pool)
	}
	z.zones = max(1, len(z.class.Prices))
	z.safe = servers(f.interactive, pool, fullBusy)
	z.want = z.bounded(servers(z.busy, pool, targetBusy*z.spare(r)), r)
	z.keep = z.bounded(servers(z.busy, pool, releaseBusy*z.spare(r)), r)
	z.reclaimCost = z.lossOf(s.config.LoadTime)
	return z
}

// spare returns the factor by which the busy share of the slots is lowered.
func (z sizing) spare(r Rules) float64 {
	atStake := float64(z.pool.Slots) * z.perSlot * timekeeper.Hour.Seconds() * z.penalty
	if !r.Spare || spareMiss*atStake <= z.dearest() {
		return 1
	}
	return spareShare
}

// dearest returns the highest price of an hour of the pool's class.
func (z sizing) dearest() float64 {
	var dearest identifier.Money
	for _, prices := range z.class.Prices {
		dearest = max(dearest, prices[catalog.OnDemand], prices[catalog.Reclaimable])
	}
	return float64(dearest)
}

// bounded raises n so that interactive requests outlive the loss of a zone,
// and keeps it within the pool's bounds.
func (z sizing) bounded(n int, r Rules) int {
	if r.ZoneSpread && z.zones > 1 {
		n = max(n, (z.safe*z.zones+z.zones-2)/(z.zones-1))
	}
	return min(max(n, z.pool.Min), z.pool.Max)
}

// zoneCap returns how many servers may stand in one zone. Without a bound the
// cheapest zone gets them all, and its reclaim takes them all.
func (z sizing) zoneCap(r Rules) int {
	if !r.ZoneSpread {
		return z.pool.Max
	}
	even := (z.want + z.zones - 1) / z.zones
	half := (z.want + 1) / 2
	return max(even, min(half, z.want-z.safe))
}

// onDemand returns how many servers of n must not be reclaimable.
func (z sizing) onDemand(n int) int {
	return (n*z.pool.OnDemandPercent + 99) / 100
}

// lossOf returns what the reclaim of one server costs: the hours paid while
// its replacement loads, the penalties of the streams that miss their target
// by being moved, and its part of the penalties of the work that misses
// meanwhile. Reclaims come by the zone, and what the others take over makes
// them all late; so that part is the whole pool's, over the servers of a zone.
func (z sizing) lossOf(loadTime timekeeper.Duration) float64 {
	loading := z.dearest() * float64(loadTime) / float64(timekeeper.Hour)
	moved := float64(z.pool.Slots) * targetBusy * movedMiss
	meanwhile := z.busy * z.perSlot * loadTime.Seconds() * shortMiss
	inZone := float64(max(z.want, 1)) / float64(z.zones)
	return loading + (moved+meanwhile/max(inZone, 1))*z.penalty
}

// worth returns the penalties of an hour that one server more than have
// avoids: those of the demand that the present servers cannot carry. It is the
// threshold price past which a VM is not worth buying.
func (z sizing) worth(have int) float64 {
	if have < z.pool.Min {
		return math.Inf(1)
	}
	slots := float64(z.pool.Slots)
	excess := min(z.busy-float64(have)*slots*fullBusy, slots)
	if excess <= 0 {
		return 0
	}
	return excess * z.perSlot * timekeeper.Hour.Seconds() * z.penalty
}

// servers returns how many servers carry the busy slots at the given share.
func servers(busy float64, pool catalog.Pool, share float64) int {
	if pool.Slots <= 0 {
		return pool.Min
	}
	return int(math.Ceil(busy / (float64(pool.Slots) * share)))
}

// meanPenalty returns the mean penalty of the targets that the pool serves.
func meanPenalty(c *catalog.Catalog, name identifier.PoolName) float64 {
	var total, count identifier.Money
	for _, a := range c.Accounts {
		for service, target := range a.Targets {
			if c.Services[service].Pool == name {
				total += target.Penalty
				count++
			}
		}
	}
	if count == 0 {
		return 0
	}
	return float64(total) / float64(count)
}
