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
	// restBusy is the part of the time for which the servers that are needed may be
	// kept busy, not counting the spare ones for lost zones. At 0.65 a request
	// waits for nine tenths of another's reading in the mean, if all are alike. At
	// 0.45 six played days took 208 seconds of servers each in the mean, weighed by
	// price, at 0.65 190, and callers were served alike.
	restBusy = 0.65
	// bearBusy is the same while zones are out: callers wait for one and a half
	// others' reading, which most response-time goals leave room for. At 0.6 a calm
	// day with a wave gained 0.04 of its worth and each other day lost 0.008.
	bearBusy = 0.75
	// slotsInUse is the part of a server's slots that may be in use.
	slotsInUse = 0.5
	// exposedZones is the number of zones that are not out from which on down
	// the loss of a further one is prepared for.
	exposedZones = 2
	// leastPerZone is the number of reclaimable servers a zone has at least,
	// where the users' bounds allow it: a zone with one has none for a while
	// whenever that one fails.
	leastPerZone = 2
	// firstTime is how long a service has the size that it is taken to need
	// until its demand has shown.
	firstTime = 20 * timekeeper.Second
	// firstPart is the part of the servers that operators allow that is ordered
	// at first: they allow two to three times what a fleet needs. Sized by the
	// servers that have published themselves so far, a fleet of 90 was taken for
	// one of 16, and waiting for all of them costs seconds of each.
	firstPart = 0.5
	// growAfter is how long more servers must have been needed before any are
	// ordered for that: the first prompts of a day are all read, and a few long
	// ones come together. The spare ones for lost zones bear it meanwhile.
	growAfter = 3 * timekeeper.Second
	// riseAfter is the same where the need has risen further meanwhile: a crowd is
	// coming, while a few long prompts make one step that fades. Servers that are ordered three
	// seconds into a crowd serve after seven, when the next wave may be there.
	riseAfter = 1 * timekeeper.Second
	// shrinkAfter is how long fewer servers must have been enough before any
	// is given up: one that is ordered again takes seconds to serve.
	shrinkAfter = 12 * timekeeper.Second
	// refusedPause is the pause after a refused order, and unknownPause that
	// after one of which nothing was heard.
	refusedPause = 2 * timekeeper.Second
	unknownPause = 1 * timekeeper.Second
	// outTime is how long a zone counts as one without reclaimable servers
	// after an order for some was refused there: two more orders.
	outTime = 2*refusedPause + 500*timekeeper.Millisecond
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
	// GrowOnly forbids orders for fewer servers. While a service moves to
	// another version it has servers of both, and such an order could remove
	// the servers that are about to take over the load.
	GrowOnly bool
}

// idle reports whether no caller asks for anything: servers are given up then
// that have not published themselves yet, a second of each earlier.
func (in Input) idle() bool { return in.Demand.Running == 0 && in.Demand.OfferedLoad == 0 }

// Sizer is what the holder of the lease ordered so far.
type Sizer struct {
	orders map[key]*order
	// outUntil is until when a zone counts as one without reclaimable servers.
	outUntil map[key]timekeeper.Time
	services map[identifier.ServiceName]*need
}

// key names what an order counts.
type key struct {
	service identifier.ServiceName
	zone    identifier.Zone
	market  catalog.Market
}

type order struct {
	count int
	// more tells that it asked for more servers than there were.
	more    bool
	sent    timekeeper.Time
	pending bool
	result  messenger.LeaderTaskResult
}

// New returns a Sizer that has ordered nothing.
func New() *Sizer {
	return &Sizer{
		orders:   map[key]*order{},
		outUntil: map[key]timekeeper.Time{},
		services: map[identifier.ServiceName]*need{},
	}
}

// Forget drops what was ordered: another node may have ordered since.
func (s *Sizer) Forget() {
	clear(s.orders)
	clear(s.outUntil)
}

// NeededServers returns the number of servers that a service is estimated to
// need, or zero before its first servers are known.
func (s *Sizer) NeededServers(service identifier.ServiceName) int {
	if n := s.services[service]; n != nil {
		return n.servers
	}
	return 0
}

// Plan returns the orders to give now.
func (s *Sizer) Plan(in Input) []messenger.ServerOrder {
	s.Observe(in)
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
	reclaimable := s.reclaimable(in, zones, need)
	// On-demand servers are for the demand of now. While servers lack, requests pile
	// up, and the size that they seem to take lasts beyond the pile: 19 on-demand
	// servers were ordered for the demand of ten.
	missing := demanded(in, bearBusy) - s.sure(in, zones, reclaimable)
	onDemand := s.onDemand(in, zones, reclaimable, size.hold(in, max(missing, s.kept(in, zones))))
	var out []messenger.ServerOrder
	for _, zone := range zones {
		out = append(out, s.order(in, zone, catalog.Reclaimable, min(reclaimable[zone], in.Fleet.Max-onDemand[zone]))...)
		out = append(out, s.order(in, zone, catalog.OnDemand, onDemand[zone])...)
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
	o.more = count > have
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
	case messenger.LeaderTaskRefused:
		return age >= refusedPause && have < count || o.count != count
	case messenger.LeaderTaskUnknown, messenger.LeaderTaskFenced:
		return age >= unknownPause
	}
	return o.count != count || have != count && age >= f.BootTime+bootSlack
}

// OrderEnded records the result of an order.
func (s *Sizer) OrderEnded(now timekeeper.Time, e messenger.ServerOrder, result messenger.LeaderTaskResult) {
	k := key{
		service: e.Service,
		zone:    e.Zone,
		market:  e.Market,
	}
	o := s.orders[k]
	if result == messenger.LeaderTaskRefused {
		s.outUntil[k] = now.Add(outTime)
	}
	if o == nil || o.count != e.Count {
		return
	}
	if result == messenger.LeaderTaskDone && o.more {
		delete(s.outUntil, k)
	}
	o.pending = false
	o.result = result
}
