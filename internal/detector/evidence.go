package detector

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// The weights of evidence, as fractions of threshold.
	notSentWeight    = 0.5
	brokenWeight     = 0.4
	timedOutWeight   = 0.5
	failedWeight     = 0.25
	loadMissedWeight = 0.34

	// slowRatio is the binary logarithm of the latency relative to its
	// prediction and to the other servers from which a server is suspect.
	slowRatio = 1.5
	// minSamples is the number of latencies needed to judge a server.
	minSamples = 5
	// slowSmoothing is the weight of the newest latency.
	slowSmoothing = 0.25
	// latencySlack is added to both latencies, so that differences between
	// short latencies have little weight.
	latencySlack = 100 * timekeeper.Millisecond
	// probeSlowRatio is the ratio from which a probe fails because it is
	// slow.
	probeSlowRatio = 2.0
	// maxRatio limits the influence of one latency.
	maxRatio = 4.0
)

// evidenceWeight returns the weight of an observation against the server. It
// is zero if the observation is neutral or positive.
func (s *Suspicions) evidenceWeight(r *serverRecord, o Observation) float64 {
	if o.Kind == FirstToken || o.Kind == Completed {
		return s.latencyWeight(r, o)
	}
	if !s.config.Rules.Failures {
		return 0
	}
	switch o.Kind {
	case NotSent:
		return notSentWeight
	case Broken:
		return brokenWeight
	case TimedOut:
		return timedOutWeight
	case Failed:
		return failedWeight
	case LoadMissed:
		return loadMissedWeight
	}
	return 0
}

// latencyWeight compares a latency with its prediction. Predictions are based
// on the server's own reports, so a server that underreports its load stands
// out. The duration of a stream is ignored, because the length of an answer
// is not predicted.
func (s *Suspicions) latencyWeight(r *serverRecord, o Observation) float64 {
	r.streaming = r.streaming || o.Kind == FirstToken
	if o.Kind == Completed && r.streaming {
		return 0
	}
	if !s.config.Rules.Slowness || o.Latency <= 0 || o.PredictedLatency <= 0 {
		return 0
	}
	ratio := logRatio(o.Latency, o.PredictedLatency)
	s.slow.addSample(r, ratio)
	mean := s.slow.meanOfOthers(r)
	if r.state == probation && ratio-mean > probeSlowRatio {
		return threshold
	}
	if r.samples >= minSamples && r.latencyRatio-mean > slowRatio {
		return threshold
	}
	return 0
}

func logRatio(observed, predicted timekeeper.Duration) float64 {
	ratio := math.Log2(float64(observed+latencySlack) / float64(predicted+latencySlack))
	return min(max(ratio, -maxRatio), maxRatio)
}

// slowness sums the smoothed ratios of all servers with samples.
//
// A server is compared with the mean of the others. Without the comparison, a
// pool that is slow because of load or a wrong prediction would become
// suspect server by server, and the remaining servers would be overloaded.
type slowness struct {
	sum   float64
	count int
}

func (s *slowness) addSample(r *serverRecord, ratio float64) {
	s.remove(r)
	if r.samples == 0 {
		r.latencyRatio = ratio
	} else {
		r.latencyRatio += slowSmoothing * (ratio - r.latencyRatio)
	}
	r.samples = min(r.samples+1, minSamples)
	s.add(r)
}

func (s *slowness) add(r *serverRecord) {
	if r.samples > 0 {
		s.sum += r.latencyRatio
		s.count++
	}
}

func (s *slowness) remove(r *serverRecord) {
	if r.samples > 0 {
		s.sum -= r.latencyRatio
		s.count--
	}
}

// reset drops the samples of a server, so that a suspect server is judged
// only by its probes, and its old latencies do not raise the mean for the
// others.
func (s *slowness) reset(r *serverRecord) {
	s.remove(r)
	r.samples = 0
}

// meanOfOthers returns the mean ratio of the other servers, but not less than
// zero, the ratio of an accurate prediction.
func (s *slowness) meanOfOthers(r *serverRecord) float64 {
	sum, count := s.sum, s.count
	if r.samples > 0 {
		sum -= r.latencyRatio
		count--
	}
	if count == 0 {
		return 0
	}
	return max(sum/float64(count), 0)
}
