package scaler

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// targetUtilization is the target fraction of busy slots. Above it, queues
	// grow quickly with small bursts.
	targetUtilization = 0.70
	// releaseUtilization is the maximum fraction of busy slots after a release.
	// The gap to targetUtilization prevents a pool from buying and releasing in
	// turn.
	releaseUtilization = 0.60
	// spareFactor lowers both if spare slots are worth their price: if the
	// penalties of a server's work, multiplied by spareMissFraction, exceed it.
	// spareMissFraction is the fraction of the work that misses its target at
	// targetUtilization but not at the lower utilization.
	spareFactor       = 5.0 / 7
	spareMissFraction = 0.05
	// maxUtilization is the fraction of busy slots above which work counts as
	// missing its target.
	maxUtilization = 0.90
	// movedMissFraction is the fraction of a reclaimed server's streams that
	// miss their target by being moved. shortageMissFactor is the amount of
	// work that misses its target when a zone is lost, as a multiple of the
	// pool's work during one load time. It exceeds one because weights are
	// loaded one after the other, so the last replacement serves after several
	// load times.
	movedMissFraction  = 0.15
	shortageMissFactor = 1.2
)

// sizing holds the parameters of one plan.
type sizing struct {
	pool  catalog.Pool
	class catalog.Class
	zones int
	// targetServers is the number of servers to have, releaseThreshold the
	// number above which servers are released, and minAfterZoneLoss the number
	// that must remain after the loss of a zone.
	targetServers, releaseThreshold, minAfterZoneLoss int
	// penalty is the mean penalty of a miss, and ratePerSlot the number of
	// requests per second that one busy slot completes.
	penalty     float64
	ratePerSlot float64
	// demand is the predicted number of busy slots.
	demand float64
	// reclaimCost is the expected cost of the reclaim of one server.
	reclaimCost float64
}

// sizing computes the parameters of a plan.
func (s *Scaler) sizing(c *catalog.Catalog) sizing {
	f, r := &s.forecast, s.config.Rules
	pool := c.Pools[s.config.Pool]
	z := sizing{
		pool:        pool,
		class:       c.Classes[pool.Class],
		demand:      f.predict(s.config.LoadTime, r),
		ratePerSlot: f.ratePerSlot(),
		penalty:     f.meanPenalty(),
	}
	if z.penalty == 0 {
		z.penalty = meanPenalty(c, s.config.Pool)
	}
	z.zones = max(1, len(z.class.Prices))
	z.minAfterZoneLoss = serversFor(f.interactive, pool, maxUtilization)
	z.targetServers = z.withinBounds(serversFor(z.demand, pool, targetUtilization*z.utilizationFactor(r)), r)
	z.releaseThreshold = z.withinBounds(serversFor(z.demand, pool, releaseUtilization*z.utilizationFactor(r)), r)
	z.reclaimCost = z.reclaimCostOf(s.config.LoadTime)
	return z
}

// utilizationFactor returns the factor by which the target and release
// utilization are lowered.
func (z sizing) utilizationFactor(r Rules) float64 {
	hourlyPenalty := float64(z.pool.Slots) * z.ratePerSlot * timekeeper.Hour.Seconds() * z.penalty
	if !r.Spare || spareMissFraction*hourlyPenalty <= z.highestPrice() {
		return 1
	}
	return spareFactor
}

// highestPrice returns the highest hourly price of the pool's class.
func (z sizing) highestPrice() float64 {
	var highest identifier.Money
	for _, prices := range z.class.Prices {
		highest = max(highest, prices[catalog.OnDemand], prices[catalog.Reclaimable])
	}
	return float64(highest)
}

// withinBounds raises n so that enough servers remain after the loss of a zone,
// and limits it to the pool's bounds.
func (z sizing) withinBounds(n int, r Rules) int {
	if r.ZoneSpread && z.zones > 1 {
		n = max(n, (z.minAfterZoneLoss*z.zones+z.zones-2)/(z.zones-1))
	}
	return min(max(n, z.pool.Min), z.pool.Max)
}

// zoneLimit returns the maximum number of servers in one zone. Without a limit,
// the cheapest zone would get all of them, and its reclaim would remove them
// all.
func (z sizing) zoneLimit(r Rules) int {
	if !r.ZoneSpread {
		return z.pool.Max
	}
	even := (z.targetServers + z.zones - 1) / z.zones
	half := (z.targetServers + 1) / 2
	return max(even, min(half, z.targetServers-z.minAfterZoneLoss))
}

// minOnDemand returns the minimum number of on-demand servers among n.
func (z sizing) minOnDemand(n int) int {
	return (n*z.pool.OnDemandPercent + 99) / 100
}

// reclaimCostOf returns the expected cost of the reclaim of one server: the
// price of its replacement while that loads, the penalties of the streams that
// miss their target by being moved, and its share of the penalties of the work
// that misses its target during the shortage. Reclaims affect whole zones, and
// the remaining servers become overloaded, so the shortage concerns the work of
// the whole pool and its cost is divided by the servers of a zone.
func (z sizing) reclaimCostOf(loadTime timekeeper.Duration) float64 {
	loadingCost := z.highestPrice() * float64(loadTime) / float64(timekeeper.Hour)
	movedMisses := float64(z.pool.Slots) * targetUtilization * movedMissFraction
	shortageMisses := z.demand * z.ratePerSlot * loadTime.Seconds() * shortageMissFactor
	serversInZone := float64(max(z.targetServers, 1)) / float64(z.zones)
	return loadingCost + (movedMisses+shortageMisses/max(serversInZone, 1))*z.penalty
}

// avoidedPenalty returns the hourly penalties that one more server avoids:
// those of the demand that exceeds the capacity of the given servers. It is the
// highest price worth paying for a VM.
func (z sizing) avoidedPenalty(servers int) float64 {
	if servers < z.pool.Min {
		return math.Inf(1)
	}
	slots := float64(z.pool.Slots)
	excess := min(z.demand-float64(servers)*slots*maxUtilization, slots)
	if excess <= 0 {
		return 0
	}
	return excess * z.ratePerSlot * timekeeper.Hour.Seconds() * z.penalty
}

// serversFor returns the number of servers that carry the demand at the given
// utilization.
func serversFor(demand float64, pool catalog.Pool, utilization float64) int {
	if pool.Slots <= 0 {
		return pool.Min
	}
	return int(math.Ceil(demand / (float64(pool.Slots) * utilization)))
}

// meanPenalty returns the mean penalty of the targets of the pool's services.
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
