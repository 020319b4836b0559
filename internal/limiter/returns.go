package limiter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// minRetry and maxRetry bound what refused callers are told.
	minRetry = 200 * timekeeper.Millisecond
	maxRetry = 60 * timekeeper.Second
	// unconfiguredRetry is the time in which a new node learns its
	// configuration.
	unconfiguredRetry = 2 * timekeeper.Second
	// returnSpread is the share by which return times are spread.
	returnSpread = 0.1
	// goldenPart is the fractional part of the golden ratio: its multiples
	// fall evenly between 0 and 1 however many there are.
	goldenPart = 0.6180339887498949
)

// returns spreads the times at which refused callers come back.
//
// Callers refused in one instant would else be told the same time, come back
// together and be refused together, again and again.
type returns struct{ phase float64 }

func (r *returns) next(d timekeeper.Duration) timekeeper.Duration {
	_, r.phase = math.Modf(r.phase + goldenPart)
	return d + timekeeper.Duration(float64(d)*returnSpread*r.phase)
}

func (l *Limits) spread(d timekeeper.Duration) timekeeper.Duration {
	if !l.rules.SpreadReturns {
		return d
	}
	return l.returns.next(d)
}
