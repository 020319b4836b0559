package limiter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// minRetry and maxRetry bound the retry times.
	minRetry = 200 * timekeeper.Millisecond
	maxRetry = 60 * timekeeper.Second
	// unconfiguredRetry is the time within which a new node usually receives its
	// configuration.
	unconfiguredRetry = 2 * timekeeper.Second
	// maxRetrySpread is the largest fraction that is added to a retry time.
	maxRetrySpread = 0.1
	// goldenFraction is the fractional part of the golden ratio: the fractional parts
	// of its multiples are evenly spread, however many there are.
	goldenFraction = 0.6180339887498949
)

// retrySpreader spreads the retry times of refused callers, so that callers refused at
// the same instant do not retry together and get refused again.
type retrySpreader struct{ phase float64 }

func (r *retrySpreader) spread(d timekeeper.Duration) timekeeper.Duration {
	_, r.phase = math.Modf(r.phase + goldenFraction)
	return d + timekeeper.Duration(float64(d)*maxRetrySpread*r.phase)
}

func (l *Limits) spread(d timekeeper.Duration) timekeeper.Duration {
	if !l.rules.SpreadReturns {
		return d
	}
	return l.retrySpread.spread(d)
}
