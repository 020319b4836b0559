package promoter

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// usableShare and usableSlack are the fractions of the configured share and slack
	// that all nodes together spend on the new version. The rest is a reserve, because
	// the count of a process starts at zero when it restarts.
	usableShare = 0.92
	usableSlack = 0.45
	// rotationPeriod is the time after which the active servers of the new version
	// change, so that a single faulty server does not decide the verdict.
	rotationPeriod = 1200 * timekeeper.Millisecond
	// maxRouteFraction limits the fraction of a route's requests that goes to the new
	// version if the service's other routes are far more frequent.
	maxRouteFraction = 0.5
	// warmUpTime is the time between the discovery of a server of the new version and
	// its first request.
	warmUpTime = 300 * timekeeper.Millisecond
)

// NewVersionDelay is the time between the discovery of the first server of a version and the
// first request to it while other versions serve and no rollout is known. The entries that a
// node knows are less old.
const NewVersionDelay = 2 * timekeeper.Second

// Request is the input of Candidates: a request that is about to be sent.
type Request struct {
	Now     timekeeper.Time
	Service identifier.ServiceName
	Route   identifier.RouteName
	// Servers are all servers of the service.
	Servers []*registrar.Server
	// FirstAttempt is set if no attempt of the request has been sent. Retries go to the
	// version that is known to be good.
	FirstAttempt bool
	// Begun is set if the request is for the rest of a stream, which only servers of Version
	// can continue.
	Begun   bool
	Version identifier.Version
	// OrdersAsOf is the time up to which this node knows the operators' orders.
	OrdersAsOf timekeeper.Time
	Rand       *rand.Rand
}

// Candidates are the servers that a request may be sent to: one of Preferred or, if
// none of these can accept it, one of Fallback.
type Candidates struct {
	Preferred []*registrar.Server
	Fallback  []*registrar.Server
}

// Candidates returns the servers that a request may be sent to, given their versions
// and the state of the service's rollout.
func (p *Promoter) Candidates(req Request) Candidates {
	if req.Begun {
		return Candidates{Preferred: p.serversOfVersion(req)}
	}
	r := p.rollouts[req.Service]
	if r == nil {
		return Candidates{Preferred: settledVersions(req.Now, p.serversOfKnownVersions(req))}
	}
	newServers, oldServers := r.split(req.Servers)
	leaderFresh := req.Now.Sub(r.leaderSeen) <= maxLeaderAge
	switch {
	case r.phase == messenger.RolloutRolledBack || r.order.To == "":
		return Candidates{Preferred: oldServers}
	case r.phase == messenger.RolloutCompleted, r.phase == messenger.RolloutPromoting && leaderFresh:
		return Candidates{
			Preferred: newServers,
			Fallback:  oldServers,
		}
	case r.phase == messenger.RolloutPromoting:
		// This node does not know whether the rollout has since been completed or
		// rolled back. Old servers that still run are the safe choice.
		return Candidates{
			Preferred: oldServers,
			Fallback:  newServers,
		}
	}
	if p.hasOnlyNewServers(r, oldServers) {
		return Candidates{Preferred: newServers}
	}
	if leaderFresh && req.FirstAttempt && p.mayExpose(req, r, registrar.CountReady(oldServers)) {
		return Candidates{
			Preferred: activeServers(req.Now, newServers, r.activeServers),
			Fallback:  oldServers,
		}
	}
	return Candidates{Preferred: oldServers}
}

// serversOfVersion returns the servers of the version that began a stream, if the state of
// the rollout permits requests there.
func (p *Promoter) serversOfVersion(req Request) []*registrar.Server {
	r := p.rollouts[req.Service]
	if r == nil {
		return ofVersion(p.serversOfKnownVersions(req), req.Version)
	}
	newServers, oldServers := r.split(req.Servers)
	if req.Version != r.order.To || r.order.To == "" {
		return ofVersion(oldServers, req.Version)
	}
	trusted := r.phase == messenger.RolloutPromoting || r.phase == messenger.RolloutCompleted
	leaderFresh := req.Now.Sub(r.leaderSeen) <= maxLeaderAge
	if trusted || p.hasOnlyNewServers(r, oldServers) || leaderFresh && p.withinExposure(r) {
		return newServers
	}
	return nil
}

func ofVersion(servers []*registrar.Server, v identifier.Version) []*registrar.Server {
	return slices.DeleteFunc(slices.Clone(servers), func(s *registrar.Server) bool { return s.Version != v })
}

// hasOnlyNewServers reports whether the service has servers of the ordered version only: it had
// no other, or the rollout was completed before this node started.
func (p *Promoter) hasOnlyNewServers(r *rollout, oldServers []*registrar.Server) bool {
	return registrar.CountReady(oldServers) == 0 &&
		(r.phase == messenger.RolloutOrdered && r.leaderSeen == 0 || p.hasSoleVersion(r))
}

// serversOfKnownVersions returns the servers of a service without a rollout. It leaves
// out versions that appeared after this node last read the operators' orders, because
// an order unknown to this node may have started them.
func (p *Promoter) serversOfKnownVersions(req Request) []*registrar.Server {
	versions := p.versions[req.Service]
	if len(versions) < 2 {
		return req.Servers
	}
	known := slices.DeleteFunc(slices.Clone(req.Servers), func(s *registrar.Server) bool {
		firstSeen, known := versions[s.Version]
		return !known || firstSeen.After(req.OrdersAsOf)
	})
	if registrar.CountReady(known) == 0 {
		return req.Servers
	}
	return known
}

// settledVersions leaves out the servers of versions of which this node has just learned, if
// it knows others for longer. Streams begin at a version only when all nodes know that it
// serves, so that none takes another one for the only one.
func settledVersions(now timekeeper.Time, servers []*registrar.Server) []*registrar.Server {
	added := map[identifier.Version]timekeeper.Time{}
	for _, s := range servers {
		at, known := added[s.Version]
		if !known || s.AddedAt.Before(at) {
			added[s.Version] = s.AddedAt
		}
	}
	if len(added) < 2 {
		return servers
	}
	oldest := slices.Min(slices.Collect(maps.Values(added)))
	settled := slices.DeleteFunc(slices.Clone(servers), func(s *registrar.Server) bool {
		return added[s.Version].After(oldest) && now.Sub(added[s.Version]) < NewVersionDelay
	})
	if registrar.CountReady(settled) == 0 {
		return servers
	}
	return settled
}

// split separates the servers of the new version from those of other versions and drops
// those of versions that were rolled back.
func (r *rollout) split(servers []*registrar.Server) (newServers, oldServers []*registrar.Server) {
	for _, s := range servers {
		switch {
		case s.Version == r.order.To && r.order.To != "" && r.phase != messenger.RolloutRolledBack:
			newServers = append(newServers, s)
		case !slices.Contains(r.rolledBack, s.Version):
			oldServers = append(oldServers, s)
		}
	}
	return newServers, oldServers
}

// PrimaryServers returns the servers that carry a service's load: those of the old
// version until the new one is promoted, then those of the new one.
func (p *Promoter) PrimaryServers(service identifier.ServiceName, servers []*registrar.Server) []*registrar.Server {
	r := p.rollouts[service]
	if r == nil {
		return servers
	}
	newServers, oldServers := r.split(servers)
	promoted := r.phase == messenger.RolloutPromoting || r.phase == messenger.RolloutCompleted
	if promoted && len(newServers) > 0 {
		return newServers
	}
	return oldServers
}

// withinExposure reports whether the limit permits another request to the new version. Each
// node enforces it on its own requests, whatever the leader asks for, so the limit holds for
// all nodes together.
func (p *Promoter) withinExposure(r *rollout) bool {
	c := &r.counts
	allowed := usableShare*p.config.Share*float64(c.sent+1) + usableSlack*p.config.Slack/float64(p.nodeCount)
	return float64(c.exposed+1) <= allowed
}

// mayExpose decides whether a new request may go to the new version.
func (p *Promoter) mayExpose(req Request, r *rollout, readyOld int) bool {
	if !p.withinExposure(r) {
		return false
	}
	if readyOld == 0 {
		return true
	}
	return req.Rand.Float64() < r.trafficShare*r.counts.routeWeight(req.Route)
}

// routeWeight returns the factor by which a route's requests are sent to the new
// version more often than the average. Half of the exposed requests is spread over the
// routes by their traffic and half evenly, because each route is assessed separately.
func (c *rolloutCounts) routeWeight(route identifier.RouteName) float64 {
	routes, sentOnRoute := len(c.sentByRoute), c.sentByRoute[route]
	if routes == 0 || sentOnRoute == 0 {
		return 1
	}
	fraction := float64(sentOnRoute) / float64(c.sent)
	return min(0.5+0.5/float64(routes)/fraction, maxRouteFraction/fraction)
}

// activeServers returns the servers of the new version that receive requests now: all,
// or a rotating subset of count servers. Nodes that know the same servers choose the
// same subset.
func activeServers(now timekeeper.Time, newServers []*registrar.Server, count int) []*registrar.Server {
	ready := slices.DeleteFunc(slices.Clone(newServers), func(s *registrar.Server) bool {
		return s.State != messenger.ServerReady || now.Before(max(s.WarmAt, s.ChangedAt.Add(warmUpTime)))
	})
	if count <= 0 || count >= len(ready) {
		return ready
	}
	slices.SortFunc(ready, func(a, b *registrar.Server) int { return cmp.Compare(serverHash(a), serverHash(b)) })
	from := int(int64(now) / int64(rotationPeriod) * int64(count) % int64(len(ready)))
	return append(ready[from:], ready[:from]...)[:count]
}

func serverHash(s *registrar.Server) uint64 { return xxhash.Sum64String(string(s.Server)) }
