package promoter

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// usableShare is the part of the users' share that a node lets the new version
	// get, and usableSlack that of their slack which all nodes have together: each
	// start of a process begins its part anew.
	usableShare = 0.92
	usableSlack = 0.45
	// turnTime is how long the same servers of the new version get requests. They
	// change so that one that is faulty by itself does not speak for its version.
	turnTime = 1200 * timekeeper.Millisecond
	// mostOfRoute bounds the part of a route's requests that goes to the new
	// version while others of the service are far more frequent.
	mostOfRoute = 0.5
	// warmUp is how long a server of the new version is known before it gets
	// requests.
	warmUp = 300 * timekeeper.Millisecond
)

// Request is a request that is about to be sent.
type Request struct {
	Now     timekeeper.Time
	Service identifier.ServiceName
	Route   identifier.RouteName
	// Servers are all of the service.
	Servers []*registrar.Server
	// FirstAttempt tells that it was not sent anywhere yet. What was sent before goes to
	// the version that is known to be good.
	FirstAttempt bool
	// OrdersAsOf is the instant up to which this node knows the operators' orders.
	OrdersAsOf timekeeper.Time
	Rand       *rand.Rand
}

// Candidates are the servers that a request may be sent to: one of First, or where none
// of these can take it, of Rest.
type Candidates struct {
	Preferred []*registrar.Server
	Fallback  []*registrar.Server
}

// Candidates returns the servers that a request may go to by their versions.
func (p *Promoter) Candidates(a Request) Candidates {
	r := p.rollouts[a.Service]
	if r == nil {
		return Candidates{Preferred: p.ordinary(a)}
	}
	next, old := r.split(a.Servers)
	fresh := a.Now.Sub(r.led) <= freshFor
	switch {
	case r.phase == messenger.RolloutRolledBack || r.order.To == "":
		return Candidates{Preferred: old}
	case r.phase == messenger.RolloutCompleted, r.phase == messenger.RolloutPromoting && fresh:
		return Candidates{
			Preferred: next,
			Fallback:  old,
		}
	case r.phase == messenger.RolloutPromoting:
		// Whether it was rolled back or completed since is not known here. Old
		// servers that are still there are the safe choice.
		return Candidates{
			Preferred: old,
			Fallback:  next,
		}
	}
	left := registrar.CountReady(old)
	if left == 0 && (r.phase == messenger.RolloutOrdered && r.led == 0 || p.sole(r)) {
		// The service has servers of this version only: it is the one that it had, or
		// the roll-out was completed before this node started.
		return Candidates{Preferred: next}
	}
	if fresh && a.FirstAttempt && p.exposes(a, r, left) {
		return Candidates{
			Preferred: exposed(a.Now, next, r.focus),
			Fallback:  old,
		}
	}
	return Candidates{Preferred: old}
}

// ordinary returns the servers of a service without a roll-out. Those of a version
// that appeared since this node last knew the operators' orders get nothing: an order
// that this node has not heard of may have started them.
func (p *Promoter) ordinary(a Request) []*registrar.Server {
	seen := p.versions[a.Service]
	if len(seen) < 2 {
		return a.Servers
	}
	known := slices.DeleteFunc(slices.Clone(a.Servers), func(s *registrar.Server) bool {
		at, known := seen[s.Version]
		return !known || at.After(a.OrdersAsOf)
	})
	if registrar.CountReady(known) == 0 {
		return a.Servers
	}
	return known
}

// split divides servers into those of the new version and those of others, without
// those of versions that were rolled back.
func (r *rollout) split(servers []*registrar.Server) (next, old []*registrar.Server) {
	for _, s := range servers {
		switch {
		case s.Version == r.order.To && r.order.To != "" && r.phase != messenger.RolloutRolledBack:
			next = append(next, s)
		case !slices.Contains(r.barred, s.Version):
			old = append(old, s)
		}
	}
	return next, old
}

// PrimaryServers returns the servers that bear a service's load: those of the old version
// until the new one is promoted.
func (p *Promoter) PrimaryServers(service identifier.ServiceName, servers []*registrar.Server) []*registrar.Server {
	r := p.rollouts[service]
	if r == nil {
		return servers
	}
	next, old := r.split(servers)
	moved := r.phase == messenger.RolloutPromoting || r.phase == messenger.RolloutCompleted
	if moved && len(next) > 0 {
		return next
	}
	return old
}

// exposes decides whether a request goes to the new version. The node's own part of
// the requests bounds it whatever the leader says: if every node keeps to its part,
// so do all together.
func (p *Promoter) exposes(a Request, r *rollout, old int) bool {
	t := &r.tallies
	allowed := usableShare*p.config.Share*float64(t.sent+1) + usableSlack*p.config.Slack/float64(p.nodes)
	if float64(t.exposed+1) > allowed {
		return false
	}
	if old == 0 {
		return true
	}
	return a.Rand.Float64() < r.pace*t.evenness(a.Route)
}

// evenness is by how much more than others a route's requests are exposed: half of
// what the new version gets is spread over routes by their requests, and half evenly,
// since each route is judged by itself.
func (t *tallies) evenness(route identifier.RouteName) float64 {
	routes, of := len(t.routes), t.routes[route]
	if routes == 0 || of == 0 {
		return 1
	}
	part := float64(of) / float64(t.sent)
	return min(0.5+0.5/float64(routes)/part, mostOfRoute/part)
}

// exposed returns the servers of the new version that get requests now: all, or so many
// whose turn it is, the same on all nodes that know the same servers.
func exposed(now timekeeper.Time, next []*registrar.Server, count int) []*registrar.Server {
	warm := slices.DeleteFunc(slices.Clone(next), func(s *registrar.Server) bool {
		return s.State != messenger.ServerReady || now.Before(max(s.WarmAt, s.ChangedAt.Add(warmUp)))
	})
	if count <= 0 || count >= len(warm) {
		return warm
	}
	slices.SortFunc(warm, func(a, b *registrar.Server) int { return cmp.Compare(hashOf(a), hashOf(b)) })
	from := int(int64(now) / int64(turnTime) * int64(count) % int64(len(warm)))
	return append(warm[from:], warm[:from]...)[:count]
}

func hashOf(s *registrar.Server) uint64 { return xxhash.Sum64String(string(s.Server)) }
