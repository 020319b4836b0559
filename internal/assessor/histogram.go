package assessor

import "math"

// NumBuckets is the number of buckets of a Histogram. Two buckets span a factor of two.
// The first holds ratios below 0.18, the last those above 11.3.
const NumBuckets = 14

// evenBucket is the bucket of answers that took the predicted time.
const evenBucket = 6

// Histogram counts answers by the ratio of their time to the predicted time.
type Histogram [NumBuckets]int

// BucketOf returns the bucket of a ratio of times.
func BucketOf(ratio float64) int {
	if ratio <= 0 || math.IsNaN(ratio) {
		return 0
	}
	return int(min(max(math.Floor(2*math.Log2(ratio))+evenBucket, 0), NumBuckets-1))
}

// FromCounts returns a histogram of counts received from a peer. Counts beyond
// NumBuckets are dropped.
func FromCounts(counts []int) Histogram {
	var h Histogram
	copy(h[:], counts)
	return h
}

// Minus returns the counts of h that are not in earlier. Counts never decrease.
func (h Histogram) Minus(earlier Histogram) Histogram {
	for i := range h {
		h[i] = max(h[i]-earlier[i], 0)
	}
	return h
}

func (h Histogram) sum() int { return h.countFrom(0) }

func (h Histogram) countFrom(bucket int) int {
	n := 0
	for i := max(bucket, 0); i < NumBuckets; i++ {
		n += h[i]
	}
	return n
}

// decayedHistogram is a histogram in which older answers have less weight.
type decayedHistogram [NumBuckets]float64

func (w *decayedHistogram) sum() float64 {
	sum := 0.0
	for _, x := range w {
		sum += x
	}
	return sum
}

// median returns the bucket of the median, or evenBucket if the histogram is empty.
func (w *decayedHistogram) median() int {
	half := w.sum() / 2
	if half == 0 {
		return evenBucket
	}
	for i, x := range w {
		if half -= x; half <= 0 {
			return i
		}
	}
	return NumBuckets - 1
}

// rateFrom returns the smoothed fraction of the answers in a bucket or beyond.
func (w *decayedHistogram) rateFrom(bucket int) float64 {
	bad := 0.0
	for i := max(bucket, 0); i < NumBuckets; i++ {
		bad += w[i]
	}
	return smoothedRate(bad, w.sum())
}

func (w *decayedHistogram) add(h Histogram, maxWeight float64) {
	for i, n := range h {
		w[i] += float64(n)
	}
	if sum := w.sum(); sum > maxWeight {
		for i := range w {
			w[i] *= maxWeight / sum
		}
	}
}

// baseline holds the recent answers of the old version on a route.
type baseline struct {
	answers, failed                 float64
	firstEventTimes, eventIntervals decayedHistogram
}

// add adds answers and scales the weights to a total of at most maxWeight.
func (b *baseline) add(s Sample, maxWeight float64) {
	b.answers += float64(s.Answers)
	b.failed += float64(s.Failed)
	if b.answers > maxWeight {
		b.failed *= maxWeight / b.answers
		b.answers = maxWeight
	}
	b.firstEventTimes.add(s.FirstEventTimes, maxWeight)
	b.eventIntervals.add(s.EventIntervals, maxWeight)
}

func (b *baseline) failureRate() float64 { return smoothedRate(b.failed, b.answers) }

// smoothedRate returns a rate that errs on the high side, because few answers may hide
// a higher one.
func smoothedRate(bad, answers float64) float64 {
	return (bad + math.Sqrt(bad)/2 + priorBad) / (answers + priorAnswers)
}
