package detector

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

const (
	firstEventFactor     = 4
	minFirstEventTimeout = 2 * timekeeper.Second
	maxFirstEventTimeout = 60 * timekeeper.Second

	nextEventFactor     = 40
	minNextEventTimeout = 1 * timekeeper.Second
	maxNextEventTimeout = 15 * timekeeper.Second
)

// FirstEventTimeout returns the timeout for the first byte of an answer. It
// ends attempts on connections that stay open although no data can arrive any
// more.
func FirstEventTimeout(predicted timekeeper.Duration) timekeeper.Duration {
	return clampedMultiple(predicted, firstEventFactor, minFirstEventTimeout, maxFirstEventTimeout)
}

// NextEventTimeout returns the timeout between bytes, based on the stream's
// token rate.
func NextEventTimeout(perToken timekeeper.Duration) timekeeper.Duration {
	return clampedMultiple(perToken, nextEventFactor, minNextEventTimeout, maxNextEventTimeout)
}

func clampedMultiple(d timekeeper.Duration, factor timekeeper.Duration, minimum, maximum timekeeper.Duration) timekeeper.Duration {
	if d >= maximum/factor {
		return maximum
	}
	return max(d*factor, minimum)
}
