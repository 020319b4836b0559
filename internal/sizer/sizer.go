// Package sizer decides how many backend servers of a service are ordered in each
// availability zone, reclaimable and on-demand. It runs on the holder of the
// lease.
//
// A reclaimable server costs a fraction of an on-demand one, but it may be
// reclaimed together with its whole zone at a few seconds' notice, and the zone
// may then be out of capacity for a while. So the demand is covered by reclaimable
// servers that are spread over the zones with headroom for the loss of several
// zones at once. On-demand servers are ordered only while too few others remain.
//
//   - size.go computes the number of servers that the demand needs.
//   - spread.go distributes them over zones and markets.
//   - sizer.go creates the orders and tracks their results.
//
// Orders are absolute: repeating one is harmless, and one that takes effect late is
// superseded by the next. The package performs no I/O, and time is an argument.
package sizer

import (
	"maps"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// toleratedZoneLosses is the number of zones whose reclaimable servers may
	// be lost at once while the rest still cover the demand. While zones are
	// unavailable, as many more may follow. Reclaims came in pairs of zones,
	// some seconds apart, for 12 to 15 s each; once three of four zones went
	// within six seconds.
	toleratedZoneLosses = 2
	// targetUtilization is the target utilization of the needed servers, not
	// counting the spare ones for lost zones. At 0.65, a request waits 0.9
	// service times on average. At 0.45 servers cost a tenth more, and callers
	// are served no better.
	targetUtilization = 0.65
	// degradedUtilization is the same while zones are unavailable. At 0.75, a
	// request waits 1.5 service times on average, which most response-time
	// targets allow. At 0.6 a calm day with a reclaim wave gains 0.04 of its
	// value, and each other day loses 0.008.
	degradedUtilization = 0.75
	// maxSlotUtilization is the fraction of a server's slots that may be in
	// use.
	maxSlotUtilization = 0.5
	// reserveZoneThreshold is the number of available zones at or below which
	// servers are reserved for the loss of another zone.
	reserveZoneThreshold = 2
	// minPerZone is the minimum number of reclaimable servers per zone, within
	// the users' bounds. A zone with a single server would have none for a
	// while whenever it fails.
	minPerZone = 2
	// initialSizeDuration is how long a new service keeps at least its initial
	// size.
	initialSizeDuration = 20 * timekeeper.Second
	// initialFraction is the fraction of the servers allowed by operators that
	// is ordered initially: operators allow two to three times what a fleet
	// needs. The servers published so far are no measure of a fleet's size
	// while it starts (a fleet of 90 was taken for one of 16), and waiting for
	// all of them would cost seconds of each.
	initialFraction = 0.5
	// growDelay is how long more servers must have been needed before the size
	// grows. Long prompts that coincide raise the demand briefly, which the
	// spare servers for lost zones absorb.
	growDelay = 3 * timekeeper.Second
	// risingGrowDelay is the same if the need has risen further since. That
	// indicates a growing load, while coinciding long prompts raise the demand
	// only once. Servers ordered three seconds into a burst serve after seven,
	// when the next wave may be there.
	risingGrowDelay = 1 * timekeeper.Second
	// shrinkDelay is how long fewer servers must have been needed before the
	// size shrinks, because a replacement takes seconds to serve.
	shrinkDelay = 12 * timekeeper.Second
	// refusedRetryDelay is the delay after a refused order, and
	// unknownRetryDelay the delay after an order without a known result.
	refusedRetryDelay = 2 * timekeeper.Second
	unknownRetryDelay = 1 * timekeeper.Second
	// outOfCapacityDuration is how long a zone counts as out of capacity after
	// an order for reclaimable servers was refused. It allows two more orders.
	outOfCapacityDuration = 2*refusedRetryDelay + 500*timekeeper.Millisecond
	// bootMargin is added to the boot time before a server counts as missing.
	bootMargin = 2 * timekeeper.Second
)

// Input is the input of one plan for one service.
type Input struct {
	Now     timekeeper.Time
	Service identifier.ServiceName
	Fleet   *catalog.Fleet
	Servers []*registrar.Server
	Demand  messenger.ServiceDemand
	// GrowOnly forbids orders for fewer servers. While a service moves to
	// another version it has servers of both, and such an order could remove
	// the servers that are about to take over the load.
	GrowOnly bool
}

// idle reports whether there is no demand. Servers that have not been published
// yet are then released too.
func (in Input) idle() bool { return in.Demand.Running == 0 && in.Demand.OfferedLoad == 0 }

// Sizer is the state of the holder of the lease: its orders and the sizes of
// the services.
type Sizer struct {
	orders map[orderKey]*order
	// outOfCapacityUntil is until when a market counts as out of capacity in a
	// zone.
	outOfCapacityUntil map[orderKey]timekeeper.Time
	sizes              map[identifier.ServiceName]*serviceSize
}

// orderKey identifies the servers that an order counts.
type orderKey struct {
	service identifier.ServiceName
	zone    identifier.Zone
	market  catalog.Market
}

type order struct {
	count int
	// increases reports whether the order asked for more servers than existed.
	increases      bool
	sentAt         timekeeper.Time
	awaitingResult bool
	result         messenger.LeaderTaskResult
}

// New returns a Sizer without orders.
func New() *Sizer {
	return &Sizer{
		orders:             map[orderKey]*order{},
		outOfCapacityUntil: map[orderKey]timekeeper.Time{},
		sizes:              map[identifier.ServiceName]*serviceSize{},
	}
}

// Forget drops all orders, as another node may have sent orders since.
func (s *Sizer) Forget() {
	clear(s.orders)
	clear(s.outOfCapacityUntil)
}

// NeededServers returns the number of servers that a service is estimated to
// need, or zero before its first servers are known.
func (s *Sizer) NeededServers(service identifier.ServiceName) int {
	if n := s.sizes[service]; n != nil {
		return n.servers
	}
	return 0
}

// Plan returns the orders to send now.
func (s *Sizer) Plan(in Input) []messenger.ServerOrder {
	s.Observe(in)
	size := s.sizes[in.Service]
	if size == nil {
		// The size of a service is unknown until its first servers are
		// published.
		return nil
	}
	servers := size.servers
	zones := slices.Sorted(maps.Keys(in.Fleet.ZonePrices))
	if len(zones) == 0 {
		return nil
	}
	reclaimable := s.reclaimableByZone(in, zones, servers)
	// On-demand servers cover the current demand, not the size: requests that
	// queue up while servers are missing inflate the size, which shrinks only
	// after a delay. By the size, 19 were ordered for the demand of ten.
	missing := demandedServers(in, degradedUtilization) - s.dependableServers(in, zones, reclaimable)
	onDemand := s.onDemandByZone(in, zones, reclaimable, size.retainOnDemand(in, max(missing, s.retainedOnDemand(in, zones))))
	var out []messenger.ServerOrder
	for _, zone := range zones {
		out = append(out, s.planOrder(in, zone, catalog.Reclaimable, min(reclaimable[zone], in.Fleet.Max-onDemand[zone]))...)
		out = append(out, s.planOrder(in, zone, catalog.OnDemand, onDemand[zone])...)
	}
	return out
}

// orderedCount returns the number of servers of a market in the last orders for
// all zones.
func (s *Sizer) orderedCount(service identifier.ServiceName, market catalog.Market) int {
	n := 0
	for k, o := range s.orders {
		if k.service == service && k.market == market {
			n += o.count
		}
	}
	return n
}

// planOrder returns the order for one zone and market, if one is due.
func (s *Sizer) planOrder(in Input, zone identifier.Zone, market catalog.Market, count int) []messenger.ServerOrder {
	k := orderKey{
		service: in.Service,
		zone:    zone,
		market:  market,
	}
	have := countReady(in.Servers, zone, market)
	if in.GrowOnly && count <= have {
		return nil
	}
	o := s.orders[k]
	if o == nil {
		if have == count && !in.idle() {
			return nil
		}
		o = &order{}
		s.orders[k] = o
	}
	if !o.due(in.Now, in.Fleet, count, have) {
		return nil
	}
	o.count = count
	o.increases = count > have
	o.sentAt = in.Now
	o.awaitingResult = true
	return []messenger.ServerOrder{
		{
			Service: in.Service,
			Zone:    zone,
			Market:  market,
			Count:   count,
		},
	}
}

// countReady counts the ready servers of a market in one zone, or in all zones
// if zone is empty.
func countReady(servers []*registrar.Server, zone identifier.Zone, market catalog.Market) int {
	n := 0
	for _, s := range servers {
		if (zone == "" || s.Zone == zone) && s.Market == market && s.State == messenger.ServerReady {
			n++
		}
	}
	return n
}

// due reports whether the order must be sent now.
func (o *order) due(now timekeeper.Time, f *catalog.Fleet, count, have int) bool {
	if o.sentAt == 0 {
		return true
	}
	age := now.Sub(o.sentAt)
	if o.awaitingResult {
		return age >= unknownRetryDelay && o.count != count || age >= 2*unknownRetryDelay
	}
	switch o.result {
	case messenger.LeaderTaskRefused:
		return age >= refusedRetryDelay && have < count || o.count != count
	case messenger.LeaderTaskUnknown, messenger.LeaderTaskFenced:
		return age >= unknownRetryDelay
	}
	return o.count != count || have != count && age >= f.BootTime+bootMargin
}

// OrderEnded records the result of an order.
func (s *Sizer) OrderEnded(now timekeeper.Time, e messenger.ServerOrder, result messenger.LeaderTaskResult) {
	k := orderKey{
		service: e.Service,
		zone:    e.Zone,
		market:  e.Market,
	}
	o := s.orders[k]
	if result == messenger.LeaderTaskRefused {
		s.outOfCapacityUntil[k] = now.Add(outOfCapacityDuration)
	}
	if o == nil || o.count != e.Count {
		return
	}
	if result == messenger.LeaderTaskDone && o.increases {
		delete(s.outOfCapacityUntil, k)
	}
	o.awaitingResult = false
	o.result = result
}
