// Package sizer decides how many backend servers of a service are ordered in
// each availability zone, reclaimable ones and others. It runs on the holder of
// the lease.
//
// A reclaimable server costs a fraction of another, and goes with all of its
// zone at a few seconds' notice, when none can be had for a while. So the
// demand is covered by reclaimable servers that are spread over the zones with
// room for the loss of some zones at once; servers that can't be taken away are
// ordered only while too few others are left.
//
// Orders are absolute: repeating one does no harm, and one that was carried out
// late is overruled by the next. Everything is pure: time is an argument.
package sizer

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// lostZones is how many zones' reclaimable servers may be gone at once
	// with the rest still covering the demand: reclaims came in pairs of
	// zones, some seconds apart, each lasting 12 to 15 s. While zones are out as
	// many more may follow: three of four went within six seconds.
	lostZones = 2
	// runningPerServer is how many requests a server runs on average. An
	// engine takes 64, but clumps of requests are three times the average and
	// a zone's loss doubles it.
	runningPerServer = 10
	// runTime is about how long a request runs, in seconds: what is refused
	// for want of servers would run that long if there were any.
	runTime = 1.2
	// leastPerZone is the number of reclaimable servers a zone has at least,
	// where the users' bounds allow it: a zone with one has none for a while
	// whenever that one fails.
	leastPerZone = 2
	// allowedPerServer is how many tokens a second of the accounts' limits one
	// server is taken to carry until the demand has shown, which takes
	// firstTime. Limits are nearly twice what accounts ask; the users' fleets
	// have 34,000 to 37,000 a server, on days on which two thirds of them were
	// enough.
	allowedPerServer = 60_000
	firstTime        = 20 * timekeeper.Second
	// firstPart is the part of the servers found at first that are taken for
	// needed where accounts have no limits: operators start a fleet that is
	// large enough.
	firstPart = 2.0 / 3
	// appearTime is how long no further server of a service may have appeared
	// before any is given up: a heartbeat of the users' servers and a read, in
	// which each that runs has published itself. A plan made on the first 16 of
	// 90 servers took the rest of them away, and a calm day began with a quarter
	// of the servers that it needed. Each second more is a second of all of the
	// operators' dear servers.
	appearTime = 1400 * timekeeper.Millisecond
	// shrinkAfter is how long fewer servers must have been enough before any
	// is given up: one that is ordered again takes seconds to serve.
	shrinkAfter = 12 * timekeeper.Second
	// refusedPause is the pause after a refused order, and unknownPause that
	// after one of which nothing was heard.
	refusedPause = 2 * timekeeper.Second
	unknownPause = 1 * timekeeper.Second
	// dryTime is how long a zone counts as one without reclaimable servers
	// after an order for some was refused there: two more orders.
	dryTime = 2*refusedPause + 500*timekeeper.Millisecond
	// bootSlack is what a server may take beyond its boot time to show up.
	bootSlack = 2 * timekeeper.Second
)

// Input is what a plan for one service reads.
type Input struct {
	Now     timekeeper.Time
	Service identifier.ServiceName
	Fleet   *catalog.Fleet
	Servers []*registrar.Server
	Demand  messenger.ServiceDemand
	// Allowed is how many tokens a second all accounts together may ask of the
	// service; zero where one has no limit.
	Allowed float64
}

// Sizer is what the holder of the lease ordered so far.
type Sizer struct {
	orders map[key]*order
	// dryUntil is until when a zone counts as one without reclaimable servers.
	dryUntil map[key]timekeeper.Time
	services map[identifier.ServiceName]*need
	found    map[identifier.ServiceName]*finding
}

// finding is the servers of a service that appeared before its first plan.
type finding struct {
	servers int
	last    timekeeper.Time
	whole   bool
}

// key names what an order counts.
type key struct {
	service identifier.ServiceName
	zone    identifier.Zone
	market  catalog.Market
}

type order struct {
	count   int
	sent    timekeeper.Time
	pending bool
	result  messenger.DutyResult
}

// need is the servers that a service's demand takes.
type need struct {
	servers int
	// since is when fewer began to be enough, and peak the most that was
	// needed since.
	since timekeeper.Time
	peak  int
}

// New returns a Sizer that has ordered nothing.
func New() *Sizer {
	return &Sizer{
		orders:   map[key]*order{},
		dryUntil: map[key]timekeeper.Time{},
		services: map[identifier.ServiceName]*need{},
		found:    map[identifier.ServiceName]*finding{},
	}
}

// Watch takes in the servers and the demand of a service. A node calls it also
// while it does not hold the lease: one that comes to hold it goes on with the
// size that the service has, where it would else size it anew by what is allowed.
func (s *Sizer) Watch(in Input) {
	f := s.found[in.Service]
	if f == nil {
		f = &finding{}
		s.found[in.Service] = f
	}
	if len(in.Servers) > f.servers {
		f.servers = len(in.Servers)
		f.last = in.Now
	}
	f.whole = f.whole || f.servers > 0 && in.Now.Sub(f.last) >= appearTime
	if in.Fleet != nil && f.servers > 0 {
		s.size(in)
	}
}

// Forget drops what was ordered: another node may have ordered since.
func (s *Sizer) Forget() {
	clear(s.orders)
	clear(s.dryUntil)
}

// Plan returns the orders to give now.
func (s *Sizer) Plan(in Input) []messenger.ServerOrder {
	s.Watch(in)
	size := s.services[in.Service]
	if size == nil {
		// Without its first servers a service's size is not known yet.
		return nil
	}
	need := size.servers
	zones := slices.Sorted(maps.Keys(in.Fleet.ZonePrices))
	if len(zones) == 0 {
		return nil
	}
	spot := perZone(need, len(zones), s.zonesOut(in, zones), in.Fleet)
	missing := need - s.soon(in, zones, spot)
	firm := s.firm(in, zones, spot, max(missing, s.kept(in, zones)))
	var out []messenger.ServerOrder
	for _, zone := range zones {
		out = append(out, s.order(in, zone, catalog.Reclaimable, min(spot, in.Fleet.Max-firm[zone]))...)
		if s.found[in.Service].whole || in.Allowed > 0 {
			out = append(out, s.order(in, zone, catalog.OnDemand, firm[zone])...)
		}
	}
	return out
}

// kept returns how many servers that can't be taken away are kept until the
// others serve: of those that were ordered, and of those that the operators
// started, what the demand of now takes. Without the second a service that is
// taken over under load has no server until the first ones have booted. The
// size that the service had lately does not count: while servers lack, requests
// pile up, and dear servers for all of them were kept 18 seconds too long.
//
// The others have to cover the demand also without the zone that has most.
// Right after a reclaim all that serve may stand in one zone; dear servers given
// up then were missed two seconds later, when that zone was reclaimed too.
func (s *Sizer) kept(in Input, zones []identifier.Zone) int {
	cheap, most := 0, 0
	for _, zone := range zones {
		n := countReady(in.Servers, zone, catalog.Reclaimable)
		cheap += n
		most = max(most, n)
	}
	if len(zones) > 1 {
		cheap -= most
	}
	dear := max(s.ordered(in.Service, catalog.OnDemand), countReady(in.Servers, "", catalog.OnDemand))
	return min(dear, demanded(in.Demand)-cheap)
}

// demanded returns how many servers the demand of now takes.
func demanded(d messenger.ServiceDemand) int {
	running := float64(d.Running) + d.Refused*runTime
	return int(math.Ceil(running / runningPerServer))
}

// size brings up to date how many servers the demand takes: at once where it
// takes more, and where it takes fewer only after it did so for a while.
func (s *Sizer) size(in Input) {
	now := max(1, demanded(in.Demand))
	n := s.services[in.Service]
	first := n == nil
	if first {
		n = &need{since: in.Now.Add(firstTime - shrinkAfter)}
		s.services[in.Service] = n
	}
	if first || !s.found[in.Service].whole {
		n.servers = max(n.servers, firstNeed(in))
	}
	if now >= n.servers {
		n.servers = now
		n.since = in.Now
		n.peak = 0
		return
	}
	n.peak = max(n.peak, now)
	if in.Now.Sub(n.since) >= shrinkAfter && s.zonesOut(in, slices.Collect(maps.Keys(in.Fleet.ZonePrices))) == 0 {
		n.servers = n.peak
		n.since = in.Now
		n.peak = 0
	}
}

// firstNeed returns how many servers a service is taken to need before its
// demand has shown.
func firstNeed(in Input) int {
	if in.Allowed > 0 {
		return int(math.Ceil(in.Allowed / allowedPerServer))
	}
	found := countReady(in.Servers, "", catalog.Reclaimable) + countReady(in.Servers, "", catalog.OnDemand)
	return int(math.Ceil(float64(found) * firstPart))
}

// perZone returns the reclaimable servers that each of the zones that have some
// needs for the rest to cover the need while more of them are lost.
func perZone(need, zones, out int, f *catalog.Fleet) int {
	left := max(zones-out-lostZones, 1)
	n := (need + left - 1) / left
	return min(max(n, leastPerZone, f.Min), f.Max)
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

// out reports whether a zone has no reclaimable servers to be had, or is losing
// those that it has.
func (s *Sizer) out(in Input, zone identifier.Zone) bool {
	if s.dry(in, zone) {
		return true
	}
	return slices.ContainsFunc(in.Servers, func(server *registrar.Server) bool {
		return server.Zone == zone && server.Market == catalog.Reclaimable &&
			server.State == messenger.ServerLeaving && in.Now.Sub(server.Changed) <= server.LeavesIn
	})
}

// soon counts the reclaimable servers that serve or will as soon as any other
// that was ordered now.
func (s *Sizer) soon(in Input, zones []identifier.Zone, spot int) int {
	n := 0
	for _, zone := range zones {
		have := countReady(in.Servers, zone, catalog.Reclaimable)
		if !s.dry(in, zone) {
			have = max(have, spot)
		}
		n += have
	}
	return n
}

// firm returns the servers by zone that can't be taken away: as many as are
// missing, first where there are some, which serve already, and then in the
// cheapest zones that have room. Where no reclaimable servers are to be had they
// leave room for all but those that there are.
func (s *Sizer) firm(in Input, zones []identifier.Zone, spot, missing int) map[identifier.Zone]int {
	out := map[identifier.Zone]int{}
	room := map[identifier.Zone]int{}
	cheap := slices.Clone(zones)
	slices.SortStableFunc(cheap, func(a, b identifier.Zone) int {
		return cmp.Compare(in.Fleet.ZonePrices[a], in.Fleet.ZonePrices[b])
	})
	for _, zone := range cheap {
		held := spot
		if s.dry(in, zone) {
			// One is always asked for, so that it shows when there are some.
			held = max(countReady(in.Servers, zone, catalog.Reclaimable), 1)
		}
		room[zone] = max(in.Fleet.Max-held, 0)
	}
	take := func(zone identifier.Zone, most int) {
		n := min(max(missing, 0), most)
		out[zone] += n
		room[zone] -= n
		missing -= n
	}
	for _, zone := range cheap {
		// What serves is not given up for reclaimable servers that have yet to
		// boot, but for one, so that it shows when there are some.
		beside := in.Fleet.Max - max(countReady(in.Servers, zone, catalog.Reclaimable), 1)
		take(zone, min(countReady(in.Servers, zone, catalog.OnDemand), beside))
	}
	for _, zone := range cheap {
		take(zone, max(room[zone], 0))
	}
	return out
}

// dry reports whether a zone had no reclaimable servers to be had lately.
func (s *Sizer) dry(in Input, zone identifier.Zone) bool {
	return in.Now.Before(s.dryUntil[key{
		service: in.Service,
		zone:    zone,
		market:  catalog.Reclaimable,
	}])
}

// ordered returns how many servers of a market were ordered last, in all zones.
func (s *Sizer) ordered(service identifier.ServiceName, market catalog.Market) int {
	n := 0
	for k, o := range s.orders {
		if k.service == service && k.market == market {
			n += o.count
		}
	}
	return n
}

// order returns the order for one zone and market, if one is due.
func (s *Sizer) order(in Input, zone identifier.Zone, market catalog.Market, count int) []messenger.ServerOrder {
	k := key{
		service: in.Service,
		zone:    zone,
		market:  market,
	}
	have := countReady(in.Servers, zone, market)
	o := s.orders[k]
	if o == nil {
		if have == count {
			return nil
		}
		o = &order{}
		s.orders[k] = o
	}
	if !o.due(in.Now, in.Fleet, count, have) {
		return nil
	}
	o.count = count
	o.sent = in.Now
	o.pending = true
	return []messenger.ServerOrder{
		{
			Service: in.Service,
			Zone:    zone,
			Market:  market,
			Count:   count,
		},
	}
}

// countReady counts the servers of a market that serve and are not leaving, in
// one zone or, where that is empty, in all.
func countReady(servers []*registrar.Server, zone identifier.Zone, market catalog.Market) int {
	n := 0
	for _, s := range servers {
		if (zone == "" || s.Zone == zone) && s.Market == market && s.State == messenger.ServerReady {
			n++
		}
	}
	return n
}

// due reports whether the order has to be given again.
func (o *order) due(now timekeeper.Time, f *catalog.Fleet, count, have int) bool {
	if o.sent == 0 {
		return true
	}
	age := now.Sub(o.sent)
	if o.pending {
		return age >= unknownPause && o.count != count || age >= 2*unknownPause
	}
	switch o.result {
	case messenger.DutyRefused:
		return age >= refusedPause && have < count || o.count != count
	case messenger.DutyUnknown, messenger.DutyFenced:
		return age >= unknownPause
	}
	return o.count != count || have != count && age >= f.BootTime+bootSlack
}

// Ordered takes in the end of an order.
func (s *Sizer) Ordered(now timekeeper.Time, e messenger.ServerOrder, result messenger.DutyResult) {
	k := key{
		service: e.Service,
		zone:    e.Zone,
		market:  e.Market,
	}
	if result == messenger.DutyRefused {
		s.dryUntil[k] = now.Add(dryTime)
	}
	o := s.orders[k]
	if o == nil || o.count != e.Count {
		return
	}
	o.pending = false
	o.result = result
}
