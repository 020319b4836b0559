package admitter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// ranks is the number of ranks that servers distinguish.
	ranks = 10
	// slotWeight is the weight of the newest request in the mean time of a slot.
	slotWeight = 1.0 / 16
	// startsTime is the time constant over which started answers are counted.
	startsTime = 2 * timekeeper.Second
	// priorRequests is the number of requests that are added to the known ones when parts of
	// the servers' requests are estimated. Half of them count for each part.
	priorRequests = 2.0
)

// sample is what a node knows of the requests at a service's servers by rank, from its own.
// The servers' loads do not tell the ranks, and the requests of one node are a fair sample.
type sample struct {
	ranks     [ranks]rankSample
	updatedAt timekeeper.Time
}

type rankSample struct {
	// queued are the requests whose answer has not begun.
	queued int
	// offers is the number of requests that were received, refused ones included, and starts
	// that of answers that have begun, both decayed over time.
	offers float64
	starts float64
	// slotTime is the mean time for which a request takes a slot, in milliseconds, or zero if
	// unknown.
	slotTime float64
}

func (r *rankSample) observeSlot(taken timekeeper.Duration) {
	if r.slotTime <= 0 {
		r.slotTime = float64(taken)
		return
	}
	r.slotTime += slotWeight * (float64(taken) - r.slotTime)
}

func (s *sample) decay(now timekeeper.Time) {
	if now.After(s.updatedAt) {
		factor := math.Exp(-float64(now.Sub(s.updatedAt)) / float64(startsTime))
		for i := range s.ranks {
			s.ranks[i].offers *= factor
			s.ranks[i].starts *= factor
		}
		s.updatedAt = now
	}
}

// offered records a received request.
func (s *sample) offered(now timekeeper.Time, rank int) {
	s.decay(now)
	s.ranks[rank].offers++
}

// excess estimates by how many this node's received requests of a rank, and of more urgent
// ones, exceed all its answers that begin in a span.
func (s *sample) excess(rank int, span timekeeper.Duration) float64 {
	excess := 0.0
	for i, r := range s.ranks {
		if i <= rank {
			excess += r.offers
		}
		excess -= r.starts
	}
	return excess * float64(span) / float64(startsTime)
}

// offersWithin estimates the number of this node's received requests in a span.
func (s *sample) offersWithin(span timekeeper.Duration) float64 {
	offers := 0.0
	for _, r := range s.ranks {
		offers += r.offers
	}
	return offers * float64(span) / float64(startsTime)
}

// slotTimeOf returns the mean time for which a request of a rank takes a slot.
func (s *sample) slotTimeOf(rank int) float64 {
	if t := s.ranks[rank].slotTime; t > 0 {
		return t
	}
	return s.meanSlotTime()
}

// queuedBefore estimates the part of a queue that is served no later than a new request of a
// rank.
func (s *sample) queuedBefore(rank int) float64 {
	before, all := priorRequests/2, priorRequests
	for i, r := range s.ranks {
		all += float64(r.queued)
		if i <= rank {
			before += float64(r.queued)
		}
	}
	return before / all
}

// slotTimeBefore estimates the time for which a queued request, on average over the queue,
// takes a slot before a new request of a rank is served.
func (s *sample) slotTimeBefore(rank int) float64 {
	before, all := s.meanSlotTime()*priorRequests/2, priorRequests
	for i, r := range s.ranks {
		all += float64(r.queued)
		if i <= rank {
			before += float64(r.queued) * s.slotTimeOf(i)
		}
	}
	return before / all
}

// slotsLeft estimates the part of the slots that requests more urgent than a rank leave to
// others. Of full servers they take what they need.
func (s *sample) slotsLeft(rank int) float64 {
	prior := s.meanSlotTime() * priorRequests
	left, all := prior/2, prior
	for i, r := range s.ranks {
		taken := r.starts * s.slotTimeOf(i)
		all += taken
		if i >= rank {
			left += taken
		}
	}
	if all <= 0 {
		return 1
	}
	return left / all
}

// meanSlotTime returns the mean of the known times for which requests take a slot, weighted by
// the started requests of their ranks, or zero if none is known.
func (s *sample) meanSlotTime() float64 {
	sum, weight := 0.0, 0.0
	for _, r := range s.ranks {
		if r.slotTime > 0 {
			w := r.starts + 1
			sum += w * r.slotTime
			weight += w
		}
	}
	if weight == 0 {
		return 0
	}
	return sum / weight
}
