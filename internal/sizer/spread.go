package sizer

import (
	"cmp"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// kept returns how many servers that can't be taken away are kept until the
// others serve: of those that were ordered, and of those that the operators
// started, what the demand of now takes. Without the second a service that is
// taken over under load has no server until the first ones have booted. The
// size that the service had lately does not count: while servers lack, requests
// pile up, and on-demand servers for all of them were kept 18 seconds too long.
//
// The others have to cover the demand also without the zone that has most.
// Right after a reclaim all that serve may stand in one zone; on-demand servers given
// up then were missed two seconds later, when that zone was reclaimed too.
func (s *Sizer) kept(in Input, zones []identifier.Zone) int {
	reclaimable, most := 0, 0
	for _, zone := range zones {
		n := countReady(in.Servers, zone, catalog.Reclaimable)
		reclaimable += n
		most = max(most, n)
	}
	if len(zones) > 1 {
		reclaimable -= most
	}
	onDemand := max(s.ordered(in.Service, catalog.OnDemand), countReady(in.Servers, "", catalog.OnDemand))
	return min(onDemand, demanded(in, bearBusy)-reclaimable)
}

// perZone returns the reclaimable servers that each of the zones that have some
// needs for the rest to cover the need while more of them are lost.
func perZone(need, zones, out int, f *catalog.Fleet) int {
	left := max(zones-out-lostZones, 1)
	n := (need + left - 1) / left
	return min(max(n, leastPerZone, f.Min), f.Max)
}

// reclaimable returns the reclaimable servers by zone. While zones are out the others
// may carry the demand alone, and none of them gives servers up: right after a
// reclaim no more may be to be had anywhere.
func (s *Sizer) reclaimable(in Input, zones []identifier.Zone, need int) map[identifier.Zone]int {
	out := s.zonesOut(in, zones)
	counts := map[identifier.Zone]int{}
	for _, zone := range zones {
		if s.out(in, zone) {
			counts[zone] = perZone(need, len(zones), 0, in.Fleet)
			continue
		}
		counts[zone] = perZone(need, len(zones), out, in.Fleet)
		if out > 0 {
			counts[zone] = max(counts[zone], countReady(in.Servers, zone, catalog.Reclaimable))
		}
	}
	return counts
}

// zonesOut counts the zones that have no reclaimable servers now, or lose them.
func (s *Sizer) zonesOut(in Input, zones []identifier.Zone) int {
	n := 0
	for _, zone := range zones {
		if s.out(in, zone) {
			n++
		}
	}
	return n
}

// out reports whether a zone has no reclaimable servers and none are to be had
// there, or is losing those that it has. One that has some, and no more to give,
// is not out: while one zone is reclaimed the others may refuse further ones.
func (s *Sizer) out(in Input, zone identifier.Zone) bool {
	if s.outOfCapacity(in, zone) && countReady(in.Servers, zone, catalog.Reclaimable) == 0 {
		return true
	}
	return slices.ContainsFunc(in.Servers, func(server *registrar.Server) bool {
		return server.Zone == zone && server.Market == catalog.Reclaimable &&
			server.State == messenger.ServerLeaving && in.Now.Sub(server.ChangedAt) <= server.LeavesIn
	})
}

// sure counts the reclaimable servers on which the demand can count: those that
// serve, or will as soon as any other that was ordered now, in zones that are
// not out. With few zones left the next may follow before another server has
// booted, so that the largest of them does not count then: of four zones that
// went in turn, the third went 2.3 s and the fourth 6 s after the second.
func (s *Sizer) sure(in Input, zones []identifier.Zone, reclaimable map[identifier.Zone]int) int {
	sum, most, left := 0, 0, 0
	for _, zone := range zones {
		have := countReady(in.Servers, zone, catalog.Reclaimable)
		if !s.out(in, zone) {
			left++
			if !s.outOfCapacity(in, zone) {
				have = max(have, reclaimable[zone])
			}
		}
		sum += have
		most = max(most, have)
	}
	if len(zones) > 1 && left <= exposedZones {
		sum -= most
	}
	return sum
}

// onDemand returns the servers by zone that can't be taken away: as many as are
// missing, first where there are some, or were ordered, and then in the
// cheapest zones that have room. Where no reclaimable servers are to be had they
// leave room for all but those that there are.
func (s *Sizer) onDemand(in Input, zones []identifier.Zone, reclaimable map[identifier.Zone]int, missing int) map[identifier.Zone]int {
	out := map[identifier.Zone]int{}
	room := map[identifier.Zone]int{}
	byPrice := slices.Clone(zones)
	slices.SortStableFunc(byPrice, func(a, b identifier.Zone) int {
		return cmp.Compare(in.Fleet.ZonePrices[a], in.Fleet.ZonePrices[b])
	})
	for _, zone := range byPrice {
		held := reclaimable[zone]
		if s.outOfCapacity(in, zone) {
			// One is always asked for, so that it shows when there are some.
			held = max(countReady(in.Servers, zone, catalog.Reclaimable), 1)
		}
		room[zone] = in.Fleet.Max - held
	}
	take := func(zone identifier.Zone, most int) {
		n := min(max(missing, 0), most)
		out[zone] += n
		room[zone] -= n
		missing -= n
	}
	for _, zone := range byPrice {
		// What serves is not given up for reclaimable servers that have yet to
		// boot, but for one, so that it shows when there are some.
		beside := max(in.Fleet.Max-max(countReady(in.Servers, zone, catalog.Reclaimable), 1), 0)
		have := countReady(in.Servers, zone, catalog.OnDemand)
		if o := s.orders[key{
			service: in.Service,
			zone:    zone,
			market:  catalog.OnDemand,
		}]; o != nil {
			have = max(have, o.count)
		}
		take(zone, min(have, beside))
	}
	for _, zone := range byPrice {
		take(zone, max(room[zone], 0))
	}
	return out
}

// outOfCapacity reports whether a zone had no reclaimable servers to be had lately.
func (s *Sizer) outOfCapacity(in Input, zone identifier.Zone) bool {
	return in.Now.Before(s.outUntil[key{
		service: in.Service,
		zone:    zone,
		market:  catalog.Reclaimable,
	}])
}
