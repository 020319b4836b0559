package admitter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// standingTime is the time constant of the mean wait. Several reports of loads arrive
	// within it.
	standingTime = 500 * timekeeper.Millisecond
	// maxRise bounds the part of the difference by which one request raises the mean wait,
	// since the requests of one rank may be seconds apart.
	maxRise = 0.25
)

// standingQueue tells a queue that stays from one that drains again. Servers answer equally
// many requests whether their queues are long or short, but behind a queue that never drains
// all answers are late. A queue that a burst leaves behind drains by itself, and nothing
// needs to be refused for it.
type standingQueue struct {
	// wait is the mean predicted wait.
	wait      float64
	updatedAt timekeeper.Time
}

// observe adds a predicted wait, zero if a slot is free.
func (q *standingQueue) observe(now timekeeper.Time, wait timekeeper.Duration) {
	elapsed := max(now.Sub(q.updatedAt), 1)
	q.updatedAt = now
	weight := 1 - math.Exp(-float64(elapsed)/float64(standingTime))
	if float64(wait) > q.wait {
		weight = min(weight, maxRise)
	}
	q.wait += weight * (float64(wait) - q.wait)
}

func (q *standingQueue) mean() timekeeper.Duration { return timekeeper.Duration(q.wait) }
