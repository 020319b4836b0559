package sizer

import (
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// serviceSize is the number of servers that a service needs.
type serviceSize struct {
	servers int
	// fewerSince and moreSince are since when fewer or more servers than that
	// have been needed, or zero. maxDemanded is the maximum needed since
	// fewerSince, and minDemanded the minimum needed since moreSince.
	fewerSince, moreSince    timekeeper.Time
	maxDemanded, minDemanded int
	// demandedAtRise is the number needed at moreSince.
	demandedAtRise int
	// onDemandOrdered is the number of on-demand servers in the last orders,
	// and onDemandRaisedAt when it last rose.
	onDemandOrdered  int
	onDemandRaisedAt timekeeper.Time
}

// retainOnDemand returns the number of on-demand servers to order if missing
// servers are missing. Ordered servers are not released before they can have
// served, because the measured demand fluctuates with single long prompts.
func (n *serviceSize) retainOnDemand(in Input, missing int) int {
	missing = max(missing, 0)
	if missing >= n.onDemandOrdered {
		if missing > n.onDemandOrdered {
			n.onDemandRaisedAt = in.Now
		}
		n.onDemandOrdered = missing
		return missing
	}
	if in.Now.Sub(n.onDemandRaisedAt) >= in.Fleet.BootTime+bootMargin {
		n.onDemandOrdered = missing
	}
	return n.onDemandOrdered
}

// Observe updates the size of a service from its servers and its demand. Nodes
// that do not hold the lease call it too, so that a new holder continues with
// the service's current size instead of a new estimate.
func (s *Sizer) Observe(in Input) {
	if in.Fleet != nil && (len(in.Servers) > 0 || s.sizes[in.Service] != nil) {
		s.updateSize(in)
	}
}

// demandedServers returns the number of servers that the current demand needs
// at the given utilization.
func demandedServers(in Input, utilization float64) int {
	n := math.Ceil(in.Demand.OfferedLoad / utilization)
	if slots := slotsPerServer(in.Servers); slots > 0 {
		n = max(n, math.Ceil(float64(in.Demand.Running)/(slots*maxSlotUtilization)))
	}
	return int(n)
}

// slotsPerServer returns the number of requests that a server runs
// concurrently.
func slotsPerServer(servers []*registrar.Server) float64 {
	maxSlots := 0
	for _, s := range servers {
		maxSlots = max(maxSlots, s.Slots)
	}
	return float64(maxSlots)
}

// updateSize updates the size of a service once its demand has been higher or
// lower for long enough.
func (s *Sizer) updateSize(in Input) {
	required := max(1, demandedServers(in, targetUtilization))
	n := s.sizes[in.Service]
	if n == nil {
		n = &serviceSize{
			servers:    initialSize(in),
			fewerSince: in.Now.Add(initialSizeDuration - shrinkDelay),
		}
		s.sizes[in.Service] = n
	}
	switch {
	case required > n.servers:
		n.grow(in, required)
	case required < n.servers:
		n.shrink(in, required, s.countUnavailable(in, slices.Collect(maps.Keys(in.Fleet.ZonePrices))))
	default:
		n.fewerSince, n.moreSince = 0, 0
	}
}

// grow records that more servers are needed. The size grows after a delay, or
// at once if the demand needs all serving servers.
func (n *serviceSize) grow(in Input, demanded int) {
	n.fewerSince = 0
	if n.moreSince == 0 {
		n.moreSince = in.Now
		n.minDemanded = demanded
		n.demandedAtRise = demanded
	}
	n.minDemanded = min(n.minDemanded, demanded)
	serving := countReady(in.Servers, "", catalog.Reclaimable) + countReady(in.Servers, "", catalog.OnDemand)
	delay := growDelay
	if demanded > n.demandedAtRise {
		delay = risingGrowDelay
	}
	if demanded < serving && in.Now.Sub(n.moreSince) < delay {
		return
	}
	n.servers = max(n.minDemanded, min(demanded, serving))
	n.moreSince = 0
}

// shrink records that fewer servers are needed. The size does not shrink while
// a zone is unavailable.
func (n *serviceSize) shrink(in Input, demanded, unavailable int) {
	n.moreSince = 0
	if n.fewerSince == 0 {
		n.fewerSince = in.Now
		n.maxDemanded = 0
	}
	n.maxDemanded = max(n.maxDemanded, demanded)
	if unavailable == 0 && in.Now.Sub(n.fewerSince) >= shrinkDelay {
		n.servers = n.maxDemanded
		n.fewerSince = 0
	}
}

// initialSize returns the estimated size of a service before its demand is
// known. It is derived from the reclaimable servers that an earlier holder of
// the lease ordered in the zone with the most of them, since other zones may be
// out of capacity. If there are none, it is a fraction of the operators'
// maximum.
func initialSize(in Input) int {
	zones := len(in.Fleet.ZonePrices)
	ordered := 0
	for zone := range in.Fleet.ZonePrices {
		ordered = max(ordered, countReady(in.Servers, zone, catalog.Reclaimable))
	}
	if ordered == 0 {
		ordered = int(math.Ceil(float64(in.Fleet.Max) * initialFraction))
	}
	return ordered * max(zones-toleratedZoneLosses, 1)
}
