package assessor

import "math"

// NumBuckets is the number of steps of a Histogram. Two are a factor of two; the first
// holds what is below an eighth, the last what is above eleven times.
const NumBuckets = 14

// evenStep is the step of what took as long as was predicted.
const evenBucket = 6

// Histogram counts answers by how long they took against what was predicted.
type Histogram [NumBuckets]int

// BucketOf returns the step of a ratio of times.
func BucketOf(ratio float64) int {
	if ratio <= 0 || math.IsNaN(ratio) {
		return 0
	}
	return int(min(max(math.Floor(2*math.Log2(ratio))+evenBucket, 0), NumBuckets-1))
}

// FromCounts returns the histogram of counts that came from elsewhere; what is too
// many of them is left out.
func FromCounts(counts []int) Histogram {
	var h Histogram
	copy(h[:], counts)
	return h
}

// Minus returns what h has beyond earlier. Counts only grow.
func (h Histogram) Minus(earlier Histogram) Histogram {
	for i := range h {
		h[i] = max(h[i]-earlier[i], 0)
	}
	return h
}

// sum counts all, from counts those of a step and beyond.
func (h Histogram) sum() int { return h.from(0) }

func (h Histogram) from(step int) int {
	n := 0
	for i := max(step, 0); i < NumBuckets; i++ {
		n += h[i]
	}
	return n
}

// weights is a histogram of answers of which older ones count less.
type weights [NumBuckets]float64

func (w *weights) sum() float64 {
	sum := 0.0
	for _, x := range w {
		sum += x
	}
	return sum
}

// median returns the step in which the median lies, the even one where there is none.
func (w *weights) median() int {
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

// rateFrom returns the part that lies at a step or beyond.
func (w *weights) rateFrom(step int) float64 {
	bad := 0.0
	for i := max(step, 0); i < NumBuckets; i++ {
		bad += w[i]
	}
	return rateOf(bad, w.sum())
}

func (w *weights) add(h Histogram, most float64) {
	for i, n := range h {
		w[i] += float64(n)
	}
	if sum := w.sum(); sum > most {
		for i := range w {
			w[i] *= most / sum
		}
	}
}

// baseline is the last answers of the old version on a route.
type baseline struct {
	answers, failed float64
	first, pace     weights
}

// add takes in answers, and keeps the weight of about so many.
func (b *baseline) add(s Sample, most float64) {
	b.answers += float64(s.Answers)
	b.failed += float64(s.Failed)
	if b.answers > most {
		b.failed *= most / b.answers
		b.answers = most
	}
	b.first.add(s.FirstEventTimes, most)
	b.pace.add(s.EventIntervals, most)
}

func (b *baseline) failureRate() float64 { return rateOf(b.failed, b.answers) }

// rateOf returns a cautious rate: few answers may hide a larger one.
func rateOf(bad, answers float64) float64 {
	return (bad + math.Sqrt(bad)/2 + priorBad) / (answers + priorAnswers)
}
