package admitter

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxRetryFraction is the fraction of their remaining time up to which callers follow
	// Retry-After. With a longer time, they return after this one or not at all.
	maxRetryFraction = 1.0 / 3
	// minSpreadFraction is the fraction of the longest time that callers follow over which
	// returns are spread at least, if room comes later than that.
	minSpreadFraction = 0.25
	// orderTime is the time in which the loss of all servers is noticed, others are ordered
	// and, once they have started, become known to all nodes.
	orderTime = 1 * timekeeper.Second
	// minRetryAfter is the time within which reports of changed loads arrive.
	minRetryAfter = 50 * timekeeper.Millisecond
)

// Room is the span of time, counted from now, in which room for refused requests comes.
type Room struct {
	From  timekeeper.Duration
	Until timekeeper.Duration
}

// RetryAfter returns a random time within a span of room, bounded by what a caller with the
// given remaining time follows.
func RetryAfter(rng *rand.Rand, room Room, remaining timekeeper.Duration) timekeeper.Duration {
	longest := max(scale(remaining, maxRetryFraction), minRetryAfter)
	until := min(max(room.Until, room.From, minRetryAfter), longest)
	from := min(max(room.From, minRetryAfter), until, scale(longest, 1-minSpreadFraction))
	return from + timekeeper.Duration(rng.Int64N(int64(max(until-from, 0))+1))
}

// RoomAfterLoss returns when servers are expected that replace the lost ones of a service,
// which start in bootTime, and whether any are. It is called for each request for which no
// server is left.
func (a *Admitter) RoomAfterLoss(now timekeeper.Time, name identifier.ServiceName, bootTime timekeeper.Duration) (Room, bool) {
	s := a.service(name)
	if s.lostAt == 0 {
		s.lostAt = now
	}
	due := s.lostAt.Add(bootTime).Sub(now)
	return Room{
		From:  due,
		Until: due + orderTime,
	}, due > 0
}

// roomFor returns when the servers have room for a request that would now have its first event
// after the predicted time. Refused callers are promised the room one after the other. None is
// expected before the next reports of loads.
func (s *service) roomFor(now timekeeper.Time, predicted timekeeper.Duration, r Request, supply Supply) Room {
	from := predicted - scale(min(r.Patience, r.Target), reopenFraction)
	if supply.BootTime > 0 {
		from = min(from, supply.BootTime)
	}
	from = max(from, supply.LoadAge, minRetryAfter)
	promised := max(s.promisedUntil, now.Add(from)).Add(s.timePerRequest(boundRank(r.Rank), supply))
	s.promisedUntil = min(promised, now.Add(scale(r.Remaining, maxRetryFraction)))
	return Room{
		From:  from,
		Until: s.promisedUntil.Sub(now),
	}
}

// timePerRequest returns the time in which the servers can begin one more request of a rank that
// this node sends.
func (s *service) timePerRequest(rank int, supply Supply) timekeeper.Duration {
	slots, requests := 0, 0
	for _, server := range supply.Servers {
		requests += server.Requests
		if server.Eligible {
			slots += server.Slots
		}
	}
	share := max(float64(supply.OwnRequests)/float64(max(requests, 1)), minOwnShare)
	room := float64(max(slots, 1)) * min(share, 1) * s.sample.slotsLeft(rank)
	return timekeeper.Duration(s.sample.meanSlotTime() / room)
}
