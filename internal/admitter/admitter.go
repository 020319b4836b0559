// Package admitter decides whether a request can still be answered before its caller gives
// up, and when a refused caller should return.
//
// It answers the load in which the backend servers of a service have all slots taken and
// queue what they get beyond, because servers were lost or callers send more than usual.
// Without it every request is sent, the queues grow past the callers' patience, and servers
// spend their time on requests whose callers have left.
//
// Servers serve their queues by rank. The predicted wait therefore counts only the requests
// that are served no later than the new one, so that the least urgent are refused first. It
// leaves out the request's own prompt: of two requests of a rank the larger one is refused no
// earlier.
//
// All functions are deterministic: time and randomness are passed in. Nothing is safe for
// concurrent use.
package admitter

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// reopenFraction is the fraction of its bound below which the predicted time must fall
	// before a rank that is refused is admitted again. It is below the change that one
	// report of loads makes at a full server.
	reopenFraction = 0.8
	// minTakenFraction is the fraction of a service's slots that must be taken before any
	// request is refused. Below it the servers that cannot be used now are about to return.
	minTakenFraction = 0.5
	// standingFraction is the fraction of the target, less the time to a first event, that a
	// queue may take while it stands. The rest is left for the request's own prompt and the
	// errors of predictions.
	standingFraction = 0.5
	// minOffers is the decayed number of requests from which a rank counts as in use.
	minOffers = 0.1
	// goodServers is the part of the servers, as a divisor, that requests are spread over.
	goodServers = 2
	// claimDeviations is the number of standard deviations that are added to the requests which
	// arrive before a report is replaced.
	claimDeviations = 2
	// minOwnShare bounds the estimated part of the room that goes to callers of this node.
	minOwnShare = 1e-3
)

// Request is a request that needs a server.
type Request struct {
	Service identifier.ServiceName
	// Rank orders requests in the servers' queues; the lowest is served first.
	Rank int
	// Target is the time within which the answer has its full value, or zero if it has none.
	Target timekeeper.Duration
	// Patience is the time until the caller gives up unless the answer has begun.
	Patience timekeeper.Duration
	// Remaining is the time until the request's deadline.
	Remaining timekeeper.Duration
}

// isHurried reports whether the caller gives up before the target. A refusal of it tells
// nothing of others of its rank.
func (r Request) isHurried() bool { return r.Patience < r.Target }

// Server is the known load of a server.
type Server struct {
	// Slots is the number of requests that the server runs at once, or zero if unknown.
	Slots int
	// Requests is the number of requests at the server, queued ones included.
	Requests int
	// QueuedPrefill is the time to read the prompts that the server has not read yet.
	QueuedPrefill timekeeper.Duration
	// FirstEvent is the predicted time to the first event of a request with no prompt and
	// none queued ahead of it.
	FirstEvent timekeeper.Duration
	// Eligible reports whether the request may be sent to the server.
	Eligible bool
}

func (s Server) queued() int { return max(s.Requests-s.Slots+1, 0) }

func (s Server) hasFreeSlot() bool { return s.Slots <= 0 || s.queued() == 0 }

// reading returns the time to read the prompts of the requests that have a slot.
func (s Server) reading() timekeeper.Duration {
	if s.Requests <= s.Slots {
		return s.QueuedPrefill
	}
	return scale(s.QueuedPrefill, float64(s.Slots)/float64(s.Requests))
}

// Supply is what a service's servers offer.
type Supply struct {
	Servers []Server
	// LoadAge is the mean age of the loads that other nodes reported.
	LoadAge timekeeper.Duration
	// OwnRequests is the number of requests at the servers that this node sent.
	OwnRequests int
	// BootTime is the time in which an ordered server starts, or zero if none can be
	// ordered.
	BootTime timekeeper.Duration
}

// Decision is the decision on a request, with its inputs.
type Decision struct {
	// Reason is why the request is refused, or empty if it is admitted.
	Reason messenger.Reason
	// Predicted is the predicted time to the first event at a good server. It is zero if the
	// request was admitted without a prediction.
	Predicted timekeeper.Duration
	// ErrorRatio is the usual ratio of observed times to predictions.
	ErrorRatio float64
	// RetryAfter is the time after which a refused caller should return.
	RetryAfter timekeeper.Duration
}

// Refused reports whether the request is refused.
func (d Decision) Refused() bool { return d.Reason != messenger.ReasonNone }

// Admitter holds what one node has learned of each service's queues.
type Admitter struct {
	services map[identifier.ServiceName]*service
}

// service is the state of one service.
type service struct {
	// sample is this node's own part of the requests at the servers.
	sample sample
	own    ownRequests
	ranks  [ranks]rank
	// pressed is set while fewer slots are free than requests for them arrive.
	pressed bool
	// promisedUntil is the time until which the expected room is promised to refused
	// callers.
	promisedUntil timekeeper.Time
	// lostAt is the time of the first request since which no server was left, or zero.
	lostAt timekeeper.Time
}

// rank is the state of one rank of requests to a service.
type rank struct {
	error    predictionError
	standing standingQueue
	// refusing is set while requests of the rank are refused.
	refusing bool
	// refusedAt is the last time at which one was refused for its own wait.
	refusedAt timekeeper.Time
}

// New returns an Admitter that has observed nothing.
func New() *Admitter {
	return &Admitter{services: map[identifier.ServiceName]*service{}}
}

func (a *Admitter) service(name identifier.ServiceName) *service {
	s := a.services[name]
	if s == nil {
		s = &service{}
		a.services[name] = s
	}
	return s
}

func boundRank(rank int) int { return min(max(rank, 0), ranks-1) }

// SlotFound records a request that is sent to a server with a free slot.
func (a *Admitter) SlotFound(now timekeeper.Time, r Request) {
	s := a.service(r.Service)
	s.lostAt = 0
	s.sample.offered(now, boundRank(r.Rank))
	s.slotFound(now, boundRank(r.Rank))
}

// Pressed reports whether fewer slots of a service are free than requests for them arrive, so
// that a free slot alone does not admit one.
func (a *Admitter) Pressed(name identifier.ServiceName) bool { return a.service(name).pressed }

// Decide decides on a request. It refuses none while slots of the service are mostly free.
func (a *Admitter) Decide(now timekeeper.Time, rng *rand.Rand, r Request, supply Supply) Decision {
	s := a.service(r.Service)
	s.lostAt = 0
	number := boundRank(r.Rank)
	s.sample.offered(now, number)
	s.own.observeShare(supply)
	k := &s.ranks[number]
	moreUrgent := s.refusesMoreUrgent(now, number)
	if s.admitsToFreeSlot(now, rng, r, supply) {
		return Decision{}
	}
	supply = s.withUnseen(now, supply)
	s.observeQueues(now, supply)
	p := s.predict(number, supply)
	d := Decision{
		Predicted:  scale(p.total(), k.error.ratio()),
		ErrorRatio: k.error.ratio(),
	}
	d.Reason = k.reason(r, p, supply.LoadAge)
	if d.Refused() && !r.isHurried() {
		k.refusedAt = now
	}
	if !d.Refused() && moreUrgent {
		d.Reason = messenger.ReasonMoreUrgent
	}
	if !r.isHurried() {
		k.refusing = d.Refused()
	}
	if d.Refused() {
		d.RetryAfter = RetryAfter(rng, s.roomFor(now, d.Predicted, r, supply), r.Remaining)
	}
	return d
}

// admitsToFreeSlot reports whether a request is admitted without a prediction, because most
// slots of the service are free or it may claim one of the few that are.
func (s *service) admitsToFreeSlot(now timekeeper.Time, rng *rand.Rand, r Request, supply Supply) bool {
	rank := boundRank(r.Rank)
	if supply.takenFraction() < minTakenFraction {
		s.slotFound(now, rank)
		return true
	}
	free := supply.freeSlots(r.Target)
	if free == 0 {
		s.pressed = true
		return false
	}
	chance := s.claimChance(rank, float64(free), supply)
	if chance >= 1 {
		s.slotFound(now, rank)
		return true
	}
	s.pressed = true
	return rng.Float64() < chance
}

// refusesMoreUrgent reports whether a more urgent rank than the given one is being refused.
func (s *service) refusesMoreUrgent(now timekeeper.Time, rank int) bool {
	for _, k := range s.ranks[:rank] {
		if k.refusing && now.Sub(k.refusedAt) < standingTime {
			return true
		}
	}
	return false
}

// observeQueues records the predicted waits of all ranks that send requests.
func (s *service) observeQueues(now timekeeper.Time, supply Supply) {
	for i := range s.ranks {
		if k := &s.ranks[i]; s.sample.ranks[i].offers >= minOffers {
			k.standing.observe(now, scale(s.predict(i, supply).wait, k.error.ratio()))
		}
	}
}

// slotFound records that a server has a free slot.
func (s *service) slotFound(now timekeeper.Time, rank int) {
	s.pressed = false
	s.ranks[rank].refusing = false
	for i := range s.ranks {
		s.ranks[i].standing.observe(now, 0)
	}
}

// reason returns why a request is refused, or none. A queue that takes no longer than the age
// of the loads may have drained since.
func (k *rank) reason(r Request, p prediction, loadAge timekeeper.Duration) messenger.Reason {
	fraction := 1.0
	if k.refusing {
		fraction = reopenFraction
	}
	least := scale(p.total(), k.error.lowRatio())
	standing := min(scale(p.wait, k.error.ratio()), k.standing.mean())
	left := r.Target - p.firstEvent
	switch {
	case least > scale(r.Patience, fraction):
		return messenger.ReasonNoRoomInTime
	case left > 0 && standing > max(scale(left, fraction*standingFraction), loadAge):
		return messenger.ReasonStandingQueue
	}
	return messenger.ReasonNone
}

// claimChance returns the chance with which a request of a rank is admitted to one of some free
// slots without a prediction. All nodes know of the same slots, from reports of some age, and
// may have more requests for them than end in that time. More urgent requests claim them first.
func (s *service) claimChance(rank int, free float64, supply Supply) float64 {
	if s.own.share <= 0 {
		return 1
	}
	share := max(s.own.share, minOwnShare)
	claims := s.sample.excess(rank, supply.LoadAge)/share + claimDeviations*math.Sqrt(s.sample.offersWithin(supply.LoadAge)/share)
	before := max(s.sample.excess(rank-1, supply.LoadAge)/share, 0)
	switch {
	case claims <= free:
		return 1
	case before >= free:
		return 0
	}
	return (free - before) / (claims - before)
}

// freeSlots returns the number of free slots of the eligible servers. A server whose slots are
// not known has one.
func (s Supply) freeSlots(target timekeeper.Duration) int {
	free := 0
	for _, server := range s.Servers {
		if server.Eligible && server.hasFreeSlot() && (target <= 0 || server.reading() < target) {
			free += max(server.Slots-server.Requests, 1)
		}
	}
	return free
}

// withUnseen returns supply with the loads that other nodes have probably added since their
// reports.
func (s *service) withUnseen(now timekeeper.Time, supply Supply) Supply {
	unseen := s.own.unseen(now, supply.LoadAge) / float64(max(len(supply.Servers), 1))
	servers := slices.Clone(supply.Servers)
	for i := range servers {
		servers[i].Requests = max(servers[i].Requests+int(math.Round(unseen)), 0)
	}
	supply.Servers = servers
	return supply
}

// prediction is the predicted time that a request waits at a server, and the time to its first
// event after that.
type prediction struct {
	wait       timekeeper.Duration
	firstEvent timekeeper.Duration
}

func (p prediction) total() timekeeper.Duration { return p.wait + p.firstEvent }

// predict returns the prediction for a good server. Nodes spread their requests over the best
// servers, and the very best seems better than it is by the time a request arrives.
func (s *service) predict(rank int, supply Supply) prediction {
	var all []prediction
	for _, server := range supply.Servers {
		if server.Eligible {
			all = append(all, prediction{
				wait:       s.wait(rank, server),
				firstEvent: server.FirstEvent,
			})
		}
	}
	if len(all) == 0 {
		return prediction{}
	}
	slices.SortFunc(all, func(a, b prediction) int { return cmp.Compare(a.total(), b.total()) })
	return all[len(all)/goodServers]
}

// wait returns the predicted time that a request of a rank waits at a server: first for a
// slot, until those ahead of it have had one and read their prompts, and then for the prompts
// that the requests in the other slots have not read.
func (s *service) wait(rank int, server Server) timekeeper.Duration {
	if server.hasFreeSlot() {
		return server.reading()
	}
	reading := server.reading()
	slots := float64(server.queued()) * s.sample.slotTimeBefore(rank) / float64(server.Slots)
	prompts := scale(server.QueuedPrefill-reading, s.sample.queuedBefore(rank))
	return max(timekeeper.Duration(slots/s.sample.slotsLeft(rank)), prompts) + reading
}

// takenFraction returns the part of the servers' slots that is taken.
func (s Supply) takenFraction() float64 {
	taken, slots := 0, 0
	for _, server := range s.Servers {
		slots += server.Slots
		taken += min(server.Requests, server.Slots)
	}
	return float64(taken) / float64(max(slots, 1))
}

// Sent records a request of this node that was sent to a server. It returns the predicted
// times that the request waits there, and that it then waits in its slot.
func (a *Admitter) Sent(now timekeeper.Time, name identifier.ServiceName, rank int, server Server) (wait, reading timekeeper.Duration) {
	s := a.service(name)
	rank = boundRank(rank)
	wait = s.wait(rank, server)
	s.sample.ranks[rank].queued++
	s.own.add(now, 1)
	return wait, server.reading()
}

// Began records that the answer of a request of this node has begun.
func (a *Admitter) Began(now timekeeper.Time, name identifier.ServiceName, rank int) {
	s := a.service(name)
	s.sample.decay(now)
	r := &s.sample.ranks[boundRank(rank)]
	r.queued = max(r.queued-1, 0)
	r.starts++
}

// Ended records that a request of this node has ended, before its answer began or after.
func (a *Admitter) Ended(now timekeeper.Time, name identifier.ServiceName, rank int, begun bool) {
	s := a.service(name)
	s.own.add(now, -1)
	if r := &s.sample.ranks[boundRank(rank)]; !begun {
		r.queued = max(r.queued-1, 0)
	}
}

// Observe records the time to the first event of a request that had to wait. If the request
// ended without one, observed is the time until then, and begun is false.
func (a *Admitter) Observe(name identifier.ServiceName, rank int, predicted, observed timekeeper.Duration, begun bool) {
	if !begun && observed <= predicted {
		return
	}
	a.service(name).ranks[boundRank(rank)].error.observe(predicted, observed)
}

// ObserveSlot records the time for which a request took a slot of a server.
func (a *Admitter) ObserveSlot(name identifier.ServiceName, rank int, taken timekeeper.Duration) {
	a.service(name).sample.ranks[boundRank(rank)].observeSlot(taken)
}

func scale(d timekeeper.Duration, factor float64) timekeeper.Duration {
	return timekeeper.Duration(float64(d) * factor)
}
