package sizer

import (
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// need is the servers that a service's demand takes.
type need struct {
	servers int
	// fewer and more are since when fewer and more than that were enough and
	// needed, zero where they are not, with the most and the least of them.
	fewer, more timekeeper.Time
	most, least int
	// before is how many were needed when more than that began to be.
	before int
	// onDemand is the on-demand servers ordered last, and raised when their
	// number last rose.
	onDemand int
	raised   timekeeper.Time
}

// hold returns how many on-demand servers are ordered where so many are missing.
// Ones that were ordered are not given up before they can have served: the demand
// that is measured goes up and down with single long prompts.
func (n *need) hold(in Input, missing int) int {
	missing = max(missing, 0)
	if missing >= n.onDemand {
		if missing > n.onDemand {
			n.raised = in.Now
		}
		n.onDemand = missing
		return missing
	}
	if in.Now.Sub(n.raised) >= in.Fleet.BootTime+bootSlack {
		n.onDemand = missing
	}
	return n.onDemand
}

// Observe updates the size of a service from its servers and its demand. Nodes
// that do not hold the lease call it too, so that a new holder continues with
// the service's current size instead of a new estimate.
func (s *Sizer) Observe(in Input) {
	if in.Fleet != nil && (len(in.Servers) > 0 || s.services[in.Service] != nil) {
		s.size(in)
	}
}

// demanded returns how many servers the demand of now takes, where each may be
// kept busy for so much of the time.
func demanded(in Input, busy float64) int {
	n := math.Ceil(in.Demand.OfferedLoad / busy)
	if slots := slots(in.Servers); slots > 0 {
		n = max(n, math.Ceil(float64(in.Demand.Running)/(slots*slotsInUse)))
	}
	return int(n)
}

// slots is how many requests a server runs at once.
func slots(servers []*registrar.Server) float64 {
	most := 0
	for _, s := range servers {
		most = max(most, s.Slots)
	}
	return float64(most)
}

// size brings up to date how many servers the demand takes, where it took more
// or fewer for a while.
func (s *Sizer) size(in Input) {
	now := max(1, demanded(in, restBusy))
	n := s.services[in.Service]
	if n == nil {
		n = &need{
			servers: firstNeed(in),
			fewer:   in.Now.Add(firstTime - shrinkAfter),
		}
		s.services[in.Service] = n
	}
	switch {
	case now > n.servers:
		n.grow(in, now)
	case now < n.servers:
		n.shrink(in, now, s.zonesOut(in, slices.Collect(maps.Keys(in.Fleet.ZonePrices))))
	default:
		n.fewer, n.more = 0, 0
	}
}

// grow takes in that more servers are needed. Where the demand takes all that
// serve it does not wait.
func (n *need) grow(in Input, now int) {
	n.fewer = 0
	if n.more == 0 {
		n.more = in.Now
		n.least = now
		n.before = now
	}
	n.least = min(n.least, now)
	serving := countReady(in.Servers, "", catalog.Reclaimable) + countReady(in.Servers, "", catalog.OnDemand)
	after := growAfter
	if now > n.before {
		after = riseAfter
	}
	if now < serving && in.Now.Sub(n.more) < after {
		return
	}
	n.servers = max(n.least, min(now, serving))
	n.more = 0
}

// shrink takes in that fewer servers are enough. While zones are out none is
// given up.
func (n *need) shrink(in Input, now, out int) {
	n.more = 0
	if n.fewer == 0 {
		n.fewer = in.Now
		n.most = 0
	}
	n.most = max(n.most, now)
	if out == 0 && in.Now.Sub(n.fewer) >= shrinkAfter {
		n.servers = n.most
		n.fewer = 0
	}
}

// firstNeed returns how many servers a service is taken to need before its
// demand has shown: as many reclaimable ones as an earlier holder of the lease
// ordered for it, by the zone that has most, since others may be out; and where
// there are none a part of what operators allow.
func firstNeed(in Input) int {
	zones := len(in.Fleet.ZonePrices)
	ordered := 0
	for zone := range in.Fleet.ZonePrices {
		ordered = max(ordered, countReady(in.Servers, zone, catalog.Reclaimable))
	}
	if ordered == 0 {
		ordered = int(math.Ceil(float64(in.Fleet.Max) * firstPart))
	}
	return ordered * max(zones-lostZones, 1)
}
