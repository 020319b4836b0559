package sizer

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// retainedOnDemand returns the number of on-demand servers that are retained
// until reclaimable ones serve. It is limited to what the current demand needs
// and includes servers started by the operators, so that a service taken over
// under load keeps its servers. The recent size does not count, because
// requests that queue up while servers are missing inflate it: on-demand
// servers for all of them were retained 18 s too long.
//
// The reclaimable servers must cover the demand without the largest zone: right
// after a reclaim they may all be in one zone, which may be reclaimed next.
// On-demand servers that were released then were missed two seconds later.
func (s *Sizer) retainedOnDemand(in Input, zones []identifier.Zone) int {
	reclaimable, largest := 0, 0
	for _, zone := range zones {
		n := countReady(in.Servers, zone, catalog.Reclaimable)
		reclaimable += n
		largest = max(largest, n)
	}
	if len(zones) > 1 {
		reclaimable -= largest
	}
	onDemand := max(s.orderedCount(in.Service, catalog.OnDemand), countReady(in.Servers, "", catalog.OnDemand))
	return min(onDemand, demandedServers(in, degradedUtilization)-reclaimable)
}

// serversPerZone returns the number of reclaimable servers that each available
// zone needs, so that the rest cover the given number of servers after
// toleratedZoneLosses further losses.
func serversPerZone(servers, zones, unavailable int, f *catalog.Fleet) int {
	remaining := max(zones-unavailable-toleratedZoneLosses, 1)
	n := (servers + remaining - 1) / remaining
	return min(max(n, minPerZone, f.Min), f.Max)
}

// reclaimableByZone returns the target number of reclaimable servers by zone.
// While a zone is unavailable the others may have to carry the whole demand,
// and none of them shrinks: right after a reclaim there may be no more capacity
// anywhere.
func (s *Sizer) reclaimableByZone(in Input, zones []identifier.Zone, servers int) map[identifier.Zone]int {
	unavailable := s.countUnavailable(in, zones)
	counts := map[identifier.Zone]int{}
	for _, zone := range zones {
		if s.unavailable(in, zone) {
			counts[zone] = serversPerZone(servers, len(zones), 0, in.Fleet)
			continue
		}
		counts[zone] = serversPerZone(servers, len(zones), unavailable, in.Fleet)
		if unavailable > 0 {
			counts[zone] = max(counts[zone], countReady(in.Servers, zone, catalog.Reclaimable))
		}
	}
	return counts
}

// countUnavailable returns the number of unavailable zones.
func (s *Sizer) countUnavailable(in Input, zones []identifier.Zone) int {
	n := 0
	for _, zone := range zones {
		if s.unavailable(in, zone) {
			n++
		}
	}
	return n
}

// unavailable reports whether a zone has no reclaimable servers and is out of
// capacity, or is losing its servers. A zone with servers is available even if
// it is out of capacity for more: while one zone is reclaimed, the others may
// refuse further servers.
func (s *Sizer) unavailable(in Input, zone identifier.Zone) bool {
	if s.outOfCapacity(in, zone) && countReady(in.Servers, zone, catalog.Reclaimable) == 0 {
		return true
	}
	return slices.ContainsFunc(in.Servers, func(server *registrar.Server) bool {
		return server.Zone == zone && server.Market == catalog.Reclaimable &&
			server.State == messenger.ServerLeaving && in.Now.Sub(server.ChangedAt) <= server.LeavesIn
	})
}

// dependableServers returns the number of reclaimable servers that can be
// relied on: those that serve, or will serve as soon as any ordered now, in
// available zones. If few zones are available, the largest does not count,
// because the next zone may be lost before another server has booted: of four
// zones lost in turn, the third went 2.3 s and the fourth 6 s after the second.
func (s *Sizer) dependableServers(in Input, zones []identifier.Zone, reclaimable map[identifier.Zone]int) int {
	sum, largest, available := 0, 0, 0
	for _, zone := range zones {
		have := countReady(in.Servers, zone, catalog.Reclaimable)
		if !s.unavailable(in, zone) {
			available++
			if !s.outOfCapacity(in, zone) {
				have = max(have, reclaimable[zone])
			}
		}
		sum += have
		largest = max(largest, have)
	}
	if len(zones) > 1 && available <= reserveZoneThreshold {
		sum -= largest
	}
	return sum
}

// onDemandByZone returns the target number of on-demand servers by zone.
// Missing servers are placed first in zones that have or ordered some, and then
// in the cheapest zones with headroom. In zones that are out of reclaimable
// capacity, they may use the limit except for the reclaimable servers that
// exist.
func (s *Sizer) onDemandByZone(in Input, zones []identifier.Zone, reclaimable map[identifier.Zone]int, missing int) map[identifier.Zone]int {
	counts := map[identifier.Zone]int{}
	headroom := map[identifier.Zone]int{}
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b identifier.Zone) int {
		return cmp.Compare(in.Fleet.ZonePrices[a], in.Fleet.ZonePrices[b])
	})
	for _, zone := range byPrice {
		reserved := reclaimable[zone]
		if s.outOfCapacity(in, zone) {
			// One is always ordered, to detect when capacity returns.
			reserved = max(countReady(in.Servers, zone, catalog.Reclaimable), 1)
		}
		headroom[zone] = in.Fleet.Max - reserved
	}
	take := func(zone identifier.Zone, limit int) {
		n := min(max(missing, 0), limit)
		counts[zone] += n
		headroom[zone] -= n
		missing -= n
	}
	for _, zone := range byPrice {
		// Serving on-demand servers are not released for reclaimable ones that
		// still boot, except for one, which detects when capacity returns.
		limit := max(in.Fleet.Max-max(countReady(in.Servers, zone, catalog.Reclaimable), 1), 0)
		have := countReady(in.Servers, zone, catalog.OnDemand)
		if o := s.orders[orderKey{
			service: in.Service,
			zone:    zone,
			market:  catalog.OnDemand,
		}]; o != nil {
			have = max(have, o.count)
		}
		take(zone, min(have, limit))
	}
	for _, zone := range byPrice {
		take(zone, max(headroom[zone], 0))
	}
	return counts
}

// outOfCapacity reports whether the last order for more reclaimable servers in
// a zone was refused recently.
func (s *Sizer) outOfCapacity(in Input, zone identifier.Zone) bool {
	return in.Now.Before(s.outOfCapacityUntil[orderKey{
		service: in.Service,
		zone:    zone,
		market:  catalog.Reclaimable,
	}])
}
