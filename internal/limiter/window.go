package limiter

import "github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"

// windowParts is the number of parts of a window that are counted separately.
const windowParts = 32

// window sums what was granted within a sliding span of time. It counts whole parts, so
// that a grant counts for up to a part longer than the span.
type window struct {
	span timekeeper.Duration
	// sums are the grants by part, newest first, and begun is when the newest part began.
	sums  [windowParts + 1]float64
	begun timekeeper.Time
}

func (w *window) partLength() timekeeper.Duration { return max(w.span/windowParts, 1) }

// advance drops the parts that have left the span.
func (w *window) advance(now timekeeper.Time) {
	if w.begun == 0 {
		w.begun = now
	}
	passed := int(max(now.Sub(w.begun), 0) / w.partLength())
	if passed == 0 {
		return
	}
	w.begun = w.begun.Add(timekeeper.Duration(passed) * w.partLength())
	for i := windowParts; i >= 0; i-- {
		w.sums[i] = 0
		if i >= passed {
			w.sums[i] = w.sums[i-passed]
		}
	}
}

func (w *window) add(n float64) { w.sums[0] += n }

func (w *window) sum() float64 {
	sum := 0.0
	for _, n := range w.sums {
		sum += n
	}
	return sum
}

// wait returns the time until the sum is below limit, or zero if it is.
func (w *window) wait(now timekeeper.Time, limit float64) timekeeper.Duration {
	sum := w.sum()
	if sum < limit {
		return 0
	}
	oldest := windowParts
	for ; oldest > 0 && sum >= limit; oldest-- {
		sum -= w.sums[oldest]
	}
	// The part oldest+1 leaves the span once the newest part has become that old.
	return w.begun.Add(timekeeper.Duration(windowParts-oldest) * w.partLength()).Sub(now)
}
