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
//   - size.go says how many servers the demand takes.
//   - spread.go says how they are spread over zones and kinds.
//   - sizer.go gives the orders and follows them up.
//
// Orders are absolute: repeating one does no harm, and one that was carried out
// late is overruled by the next. Everything is pure: time is an argument.
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

// New returns a Sizer that has ordered nothing.
func New() *Sizer {
	return &Sizer{
		orders:   map[key]*order{},
		dryUntil: map[key]timekeeper.Time{},
		services: map[identifier.ServiceName]*need{},
		found:    map[identifier.ServiceName]*finding{},
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
	// Dear servers are for the demand of now. While servers lack, requests pile
	// up, and the size that they seem to take lasts beyond the pile: 19 dear
	// servers were ordered for the demand of ten.
	missing := min(need, demanded(in.Demand)) - s.soon(in, zones, spot)
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
