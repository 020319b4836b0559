package sizer

import (
	"maps"
	"math"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// finding is the servers of a service that appeared before its first plan.
type finding struct {
	servers int
	last    timekeeper.Time
	whole   bool
}

// need is the servers that a service's demand takes.
type need struct {
	servers int
	// since is when fewer began to be enough, and peak the most that was
	// needed since.
	since timekeeper.Time
	peak  int
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
