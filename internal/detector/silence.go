package detector

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

const (
	firstSilenceFactor = 4
	minFirstSilence    = 2 * timekeeper.Second
	maxFirstSilence    = 60 * timekeeper.Second

	nextSilenceFactor = 40
	minNextSilence    = 1 * timekeeper.Second
	maxNextSilence    = 15 * timekeeper.Second
)

// FirstSilence bounds the wait for the first byte of an answer. A connection
// that something between the two ends has lost track of stays open and silent
// for good; the bound turns that into an ending that can be acted on.
func FirstEventTimeout(predicted timekeeper.Duration) timekeeper.Duration {
	return bounded(predicted, firstSilenceFactor, minFirstSilence, maxFirstSilence)
}

// NextSilence bounds the wait between bytes, from the stream's own pace.
func NextEventTimeout(perToken timekeeper.Duration) timekeeper.Duration {
	return bounded(perToken, nextSilenceFactor, minNextSilence, maxNextSilence)
}

func bounded(d timekeeper.Duration, factor timekeeper.Duration, low, high timekeeper.Duration) timekeeper.Duration {
	if d >= high/factor {
		return high
	}
	return max(d*factor, low)
}
