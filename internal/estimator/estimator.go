// Package estimator predicts the time to the first event of a request from the answers
// that a node has forwarded, given the part of the prompt that must be read and the
// server's other work.
//
// The time is modelled as a sum of terms, each a rate times an input that is known when
// the request is sent. The rates are fitted by recursive least squares of the relative
// error with exponential forgetting. All servers of a service share one fit, and each
// server has its own factor, which the Estimator learns itself or takes from Factors. The
// initial rates are guesses that about ten answers outweigh.
//
// Servers may be slow, report falsely or hang: each answer changes a fit by a bounded
// step, and all rates are clamped to fixed bounds. Nothing is safe for concurrent use.
package estimator

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The terms of the sum, each with its input.
const (
	termBase      = iota // constant
	termPrefill          // thousands of tokens to read
	termAttention        // millions of pairs of a token to read and a token before it
	termRunning          // requests at the server
	termWaiting          // requests at the server beyond its slots
	numTerms
)

type vector [numTerms]float64

// prior is the initial value of a rate and its bounds, in milliseconds.
type prior struct {
	initial float64
	// deviation is the standard deviation of the initial value.
	deviation float64
	lower     float64
	upper     float64
}

// priors suit any engine or plain server. Their bounds are wide and exclude only
// implausible rates.
var priors = [numTerms]prior{
	termBase: {
		initial:   15,
		deviation: 15,
		lower:     2,
		upper:     500,
	},
	termPrefill: {
		initial:   15,
		deviation: 15,
		lower:     0.5,
		upper:     300,
	},
	termAttention: {
		initial:   0.4,
		deviation: 0.4,
		upper:     10,
	},
	termRunning: {
		initial:   2,
		deviation: 2,
		lower:     0.2,
		upper:     40,
	},
	termWaiting: {
		initial:   10,
		deviation: 10,
		lower:     1,
		upper:     400,
	},
}

// MaxFactor bounds a server's factor from above, and its reciprocal from below.
const MaxFactor = 3.0

const (
	// forgettingFactor is the factor on the weight of an answer with each later one.
	// About a hundred answers count, ten seconds of a node's traffic.
	forgettingFactor = 0.99
	// noise is the relative error of a single answer around a good fit.
	noise = 0.3
	// maxError bounds the relative error by which one answer changes the fit. A prompt
	// that was assumed to be cached but was not takes ten times as long as predicted.
	maxError = 0.5
	// slack, in milliseconds, is added to times before relative errors are computed,
	// because short times vary with the engine's steps and the network.
	slack = 20.0
	// maxVariance bounds the variance of a rate that has not been observed for long, as
	// a multiple of its initial variance.
	maxVariance = 1.0
	// factorWeight is the weight of the newest answer in a server's own factor.
	factorWeight = 0.05
	// maxServers bounds the servers that have a factor.
	maxServers = 4096
	// maxWait is the longest time that is observed.
	maxWait = timekeeper.Minute
)

// Work is the work for a request and the server's other work.
type Work struct {
	// Uncached is the number of prompt tokens to read, after the first Cached ones that
	// the server has cached.
	Uncached identifier.Tokens
	Cached   identifier.Tokens
	// Running is the number of requests at the server, and Waiting the number of those
	// beyond its slots.
	Running int
	Waiting int
}

func (w Work) vector() vector {
	uncached, cached := float64(max(w.Uncached, 0)), float64(max(w.Cached, 0))
	return vector{
		termBase:      1,
		termPrefill:   uncached / 1e3,
		termAttention: uncached * (cached + uncached/2) / 1e6,
		termRunning:   float64(max(w.Running, 0)),
		termWaiting:   float64(max(w.Waiting, 0)),
	}
}

// Estimator holds the fit for one service.
type Estimator struct {
	rates    vector
	variance [numTerms]vector
	factors  Factors
}

// Factors holds the factors of a service's servers on the predicted time.
type Factors interface {
	// Factor returns a server's factor, or 1 if nothing is known of the server.
	Factor(server identifier.VMID) float64
	Observe(server identifier.VMID, o Observation)
	Forget(server identifier.VMID)
}

// Observation compares an observed time with the prediction for a server whose factor
// is 1.
type Observation struct {
	// Observed and Predicted are times in milliseconds.
	Observed  float64
	Predicted float64
}

// LogRatio returns the logarithm of the observed by the predicted time. Slack, in
// milliseconds, is added to both, so that short times, which vary more, have small ratios.
func (o Observation) LogRatio(slack float64) float64 {
	return math.Log((o.Observed + slack) / (o.Predicted + slack))
}

// Sensitivity returns the derivative of LogRatio by the logarithm of the server's factor.
func (o Observation) Sensitivity(slack float64) float64 { return o.Predicted / (o.Predicted + slack) }

// New returns an Estimator without observations that learns the factors from its own
// observations.
func New() *Estimator { return NewWithFactors(ownFactors{}) }

// NewWithFactors returns an Estimator without observations that uses the given factors.
func NewWithFactors(factors Factors) *Estimator {
	e := &Estimator{factors: factors}
	for i, r := range priors {
		e.rates[i] = r.initial
		e.variance[i][i] = r.deviation * r.deviation
	}
	return e
}

// FirstEventTime predicts the time from sending a request to its first event, without
// the time to read the prompts queued ahead of it.
func (e *Estimator) FirstEventTime(server identifier.VMID, w Work) timekeeper.Duration {
	return duration(e.Factor(server) * e.sum(w.vector()))
}

// PrefillTime predicts the time for which reading the prompt occupies the server's
// engine.
func (e *Estimator) PrefillTime(server identifier.VMID, w Work) timekeeper.Duration {
	x := w.vector()
	prefill := x[termPrefill]*e.rates[termPrefill] + x[termAttention]*e.rates[termAttention]
	return duration(e.Factor(server) * prefill)
}

func (e *Estimator) sum(x vector) float64 {
	sum := 0.0
	for i := range x {
		sum += x[i] * e.rates[i]
	}
	return sum
}

// Factor returns a server's factor on the predicted time.
func (e *Estimator) Factor(server identifier.VMID) float64 { return e.factors.Factor(server) }

// Observe updates the fit with the time to a request's first event. The caller
// subtracts the time to read the prompts queued ahead of it.
func (e *Estimator) Observe(server identifier.VMID, w Work, elapsed timekeeper.Duration) {
	if elapsed < 0 || elapsed > maxWait {
		return
	}
	x := w.vector()
	predicted := e.sum(x)
	factor := e.Factor(server)
	observed := float64(elapsed)
	e.factors.Observe(server, Observation{
		Observed:  observed,
		Predicted: predicted,
	})
	e.fit(x, (observed/factor-predicted)/(predicted+slack), predicted+slack)
}

// ownFactors holds the logarithms of the factors as one node learns them.
type ownFactors map[identifier.VMID]float64

// Factor implements Factors.
func (o ownFactors) Factor(server identifier.VMID) float64 {
	if f, ok := o[server]; ok {
		return math.Exp(f)
	}
	return 1
}

// Observe moves the logarithm of a server's factor towards the ratio.
func (o ownFactors) Observe(server identifier.VMID, observation Observation) {
	f, known := o[server]
	if !known && len(o) >= maxServers {
		return
	}
	ratio := min(max(observation.LogRatio(slack), -maxError), maxError)
	f += factorWeight * (ratio - f)
	bound := math.Log(MaxFactor)
	o[server] = min(max(f, -bound), bound)
}

// Forget implements Factors.
func (o ownFactors) Forget(server identifier.VMID) { delete(o, server) }

// fit updates the rates by one step of recursive least squares. The error is relative
// to scale.
func (e *Estimator) fit(x vector, relative, scale float64) {
	for i := range x {
		x[i] /= scale
	}
	var px vector
	innovation := forgettingFactor * noise * noise
	for i := range x {
		for j := range x {
			px[i] += e.variance[i][j] * x[j]
		}
		innovation += x[i] * px[i]
	}
	step := min(max(relative, -maxError), maxError) / innovation
	for i, r := range priors {
		e.rates[i] = min(max(e.rates[i]+px[i]*step, r.lower), r.upper)
	}
	for i := range x {
		for j := range x {
			e.variance[i][j] = (e.variance[i][j] - px[i]*px[j]/innovation) / forgettingFactor
		}
	}
	e.boundVariance()
}

// boundVariance limits the variance of rates that are not observed.
func (e *Estimator) boundVariance() {
	for i, r := range priors {
		limit := maxVariance * r.deviation * r.deviation
		if e.variance[i][i] <= limit {
			continue
		}
		shrink := math.Sqrt(limit / e.variance[i][i])
		for j := range priors {
			e.variance[i][j] *= shrink
			e.variance[j][i] *= shrink
		}
	}
}

// Forget drops a removed server.
func (e *Estimator) Forget(server identifier.VMID) { e.factors.Forget(server) }

func duration(ms float64) timekeeper.Duration { return timekeeper.Duration(math.Round(ms)) }
