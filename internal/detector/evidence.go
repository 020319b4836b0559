package detector

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// The weights of evidence, as parts of the threshold.
	notSentWeight    = 0.5
	brokenWeight     = 0.4
	silentWeight     = 0.5
	failedWeight     = 0.25
	loadMissedWeight = 0.34

	// slowRatio is the logarithm to base 2 of how much slower than predicted
	// a server must be, compared with the others, to be suspect.
	slowRatio = 1.5
	// slowSamples is the number of latencies that a judgement needs.
	slowSamples = 5
	// slowSmoothing is the weight of the newest latency.
	slowSmoothing = 0.25
	// latencySlack is added to both latencies, so that small spans weigh
	// little.
	latencySlack = 100 * timekeeper.Millisecond
	// probeSlowRatio is the ratio at which one slow probe fails.
	probeSlowRatio = 2.0
	// ratioBound limits what one latency can say.
	ratioBound = 4.0
)

// weigh returns the weight of an observation against the server; zero speaks
// for it or not at all.
func (s *Suspicions) weigh(k *suspicion, o Observation) float64 {
	if o.Kind == FirstToken || o.Kind == Completed {
		return s.weighLatency(k, o)
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
		return silentWeight
	case Failed:
		return failedWeight
	case LoadMissed:
		return loadMissedWeight
	}
	return 0
}

// weighLatency compares a latency with its prediction. Predictions come from
// the server's own reports, so that one that hides its load stands out. The
// length of a stream says nothing: how much a model answers is not known.
func (s *Suspicions) weighLatency(k *suspicion, o Observation) float64 {
	k.streams = k.streams || o.Kind == FirstToken
	if o.Kind == Completed && k.streams {
		return 0
	}
	if !s.config.Rules.Slowness || o.Latency <= 0 || o.PredictedLatency <= 0 {
		return 0
	}
	ratio := logRatio(o.Latency, o.PredictedLatency)
	s.slow.sample(k, ratio)
	others := s.slow.others(k)
	if k.state == probation && ratio-others > probeSlowRatio {
		return threshold
	}
	if k.samples >= slowSamples && k.ratio-others > slowRatio {
		return threshold
	}
	return 0
}

func logRatio(observed, predicted timekeeper.Duration) float64 {
	r := math.Log2(float64(observed+latencySlack) / float64(predicted+latencySlack))
	return min(max(r, -ratioBound), ratioBound)
}

// slowness sums the smoothed ratios of all servers with enough samples.
//
// When the whole pool is slow, because of load or a wrong prediction, each
// server looks slow by itself. Suspecting them would push all work to the few
// not yet suspect, and those would follow. So a server is measured against
// the mean of the others, and a slow pool makes nobody suspect.
type slowness struct {
	sum   float64
	count int
}

func (w *slowness) sample(k *suspicion, ratio float64) {
	w.leave(k)
	if k.samples == 0 {
		k.ratio = ratio
	} else {
		k.ratio += slowSmoothing * (ratio - k.ratio)
	}
	k.samples = min(k.samples+1, slowSamples)
	w.join(k)
}

func (w *slowness) join(k *suspicion) {
	if k.samples > 0 {
		w.sum += k.ratio
		w.count++
	}
}

func (w *slowness) leave(k *suspicion) {
	if k.samples > 0 {
		w.sum -= k.ratio
		w.count--
	}
}

// reset forgets the samples of a server, so that a suspect one is judged by
// its probes alone and its old latencies don't excuse the others.
func (w *slowness) reset(k *suspicion) {
	w.leave(k)
	k.samples = 0
}

// others is the mean ratio of the other servers, never below a prediction
// that came true.
func (w *slowness) others(k *suspicion) float64 {
	sum, count := w.sum, w.count
	if k.samples > 0 {
		sum -= k.ratio
		count--
	}
	if count == 0 {
		return 0
	}
	return max(sum/float64(count), 0)
}
