package admitter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// initialSpread is the standard deviation of the logarithm of the error that is assumed
	// before any is observed: predictions may be wrong by half.
	initialSpread = 0.4
	// initialWeight is the number of observations that the initial values count for, and
	// maxWeight the number of those that count.
	initialWeight = 8
	maxWeight     = 32
	// maxLogError bounds the logarithm of a single error to a factor of four.
	maxLogError = 2 * math.Ln2
	// minSpread bounds the spread from below, because all observations of a node may come
	// from one server.
	minSpread = 0.2
	// errorSlack is added to times before they are compared, because short times vary with
	// the servers' steps and the network.
	errorSlack = 20 * timekeeper.Millisecond
)

// predictionError is the running ratio of observed times to predictions.
type predictionError struct {
	// mean and variance are those of the logarithm of the ratio.
	mean     float64
	variance float64
	count    int
}

func (e *predictionError) observe(predicted, observed timekeeper.Duration) {
	x := math.Log(float64(observed+errorSlack) / float64(predicted+errorSlack))
	x = min(max(x, -maxLogError), maxLogError)
	if e.count == 0 {
		e.variance = initialSpread * initialSpread
	}
	e.count = min(e.count+1, maxWeight)
	weight := 1 / float64(min(e.count+initialWeight, maxWeight))
	difference := x - e.mean
	e.mean += weight * difference
	e.variance += weight * (difference*(x-e.mean) - e.variance)
}

// ratio returns the usual ratio of observed times to predictions.
func (e *predictionError) ratio() float64 { return math.Exp(e.mean) }

// lowRatio returns the ratio less its standard error.
func (e *predictionError) lowRatio() float64 {
	return math.Exp(e.mean - e.spread()/math.Sqrt(float64(e.count+1)))
}

func (e *predictionError) spread() float64 {
	if e.count == 0 {
		return initialSpread
	}
	return max(math.Sqrt(e.variance), minSpread)
}
