// Package estimator learns from the answers that a node forwards how fast the
// servers of a service are: how long a request waits for its first event, by
// what has to be read of its prompt and what else its server has to do.
//
// The wait is taken for a sum of terms, each a rate times something known when
// the request is sent. The rates are fitted to the answers by recursive least
// squares of the relative error, in which earlier answers fade: all of a
// service's servers share one fit, and each has a factor of its own. They begin
// with a guess that some ten answers outweigh.
//
// Servers may be grey, lie or hang. One answer moves a fit by a bounded step,
// and no rate leaves its stated bounds. Nothing is safe for concurrent use.
package estimator

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The terms of the sum.
const (
	termBase    = iota // of every request
	termRead           // each 1,000 tokens that have to be read
	termPairs          // each million pairs of a token read and one before it
	termRunning        // each request at the server
	termWaiting        // each request at the server beyond its slots
	terms
)

type vector [terms]float64

// rate is what is known of one rate before any answer, in milliseconds.
type rate struct {
	guess float64
	// spread is how far off the guess may well be.
	spread float64
	least  float64
	most   float64
}

// rates are guesses for any engine or plain server. They span a hundredfold, so
// that they bind only what can't be.
var rates = [terms]rate{
	termBase: {
		guess:  15,
		spread: 15,
		least:  2,
		most:   500,
	},
	termRead: {
		guess:  15,
		spread: 15,
		least:  0.5,
		most:   300,
	},
	termPairs: {
		guess:  0.4,
		spread: 0.4,
		most:   10,
	},
	termRunning: {
		guess:  2,
		spread: 2,
		least:  0.2,
		most:   40,
	},
	termWaiting: {
		guess:  10,
		spread: 10,
		least:  1,
		most:   400,
	},
}

const (
	// fade is the weight that an answer keeps with each one after it: some
	// hundred count, ten seconds of a node's answers.
	fade = 0.99
	// noise is the relative error of a single answer around a good fit.
	noise = 0.3
	// maxError bounds the relative error by which one answer moves the fit: a
	// prompt that was not kept as thought takes ten times as long as predicted.
	maxError = 0.5
	// slack is added to waits in relative errors, in milliseconds: small waits
	// vary by the steps of the engine and the way.
	slack = 20.0
	// maxVariance bounds how far a rate that no answer has spoken of for long
	// may be moved by the next one, as a multiple of its first variance.
	maxVariance = 1.0
	// factorStep is the weight of the newest answer in a server's own factor,
	// and maxFactor its bound either way.
	factorStep = 0.05
	maxFactor  = 3.0
	// maxServers bounds the servers that have a factor.
	maxServers = 4096
	// maxWait bounds the waits that are learned from.
	maxWait = timekeeper.Minute
)

// Work is what a server has to do for a request, and has to do already.
type Work struct {
	// Uncached is the tokens of the prompt that have to be read, after Kept that
	// the server keeps.
	Uncached identifier.Tokens
	Cached   identifier.Tokens
	// Running is the requests at the server, and Waiting those of them that
	// are beyond its slots.
	Running int
	Waiting int
}

func (w Work) vector() vector {
	unread, kept := float64(max(w.Uncached, 0)), float64(max(w.Cached, 0))
	return vector{
		termBase:    1,
		termRead:    unread / 1e3,
		termPairs:   unread * (kept + unread/2) / 1e6,
		termRunning: float64(max(w.Running, 0)),
		termWaiting: float64(max(w.Waiting, 0)),
	}
}

// Estimator is what was learned of one service.
type Estimator struct {
	rates    vector
	variance [terms]vector
	factors  map[identifier.VMID]float64
}

// New returns an Estimator that has seen no answer.
func New() *Estimator {
	e := &Estimator{factors: map[identifier.VMID]float64{}}
	for i, r := range rates {
		e.rates[i] = r.guess
		e.variance[i][i] = r.spread * r.spread
	}
	return e
}

// FirstEventTime predicts how long a request waits for its first event, beside prompts
// that its server has yet to read.
func (e *Estimator) FirstEventTime(server identifier.VMID, w Work) timekeeper.Duration {
	return duration(e.factor(server) * e.sum(w.vector()))
}

// PrefillTime predicts how long the server's engine is taken by the prompt alone.
func (e *Estimator) PrefillTime(server identifier.VMID, w Work) timekeeper.Duration {
	x := w.vector()
	read := x[termRead]*e.rates[termRead] + x[termPairs]*e.rates[termPairs]
	return duration(e.factor(server) * read)
}

func (e *Estimator) sum(x vector) float64 {
	sum := 0.0
	for i := range x {
		sum += x[i] * e.rates[i]
	}
	return sum
}

func (e *Estimator) factor(server identifier.VMID) float64 {
	if f, ok := e.factors[server]; ok {
		return math.Exp(f)
	}
	return 1
}

// Observe takes in how long a request waited. What its server had to read before
// it has to be off that.
func (e *Estimator) Observe(server identifier.VMID, w Work, took timekeeper.Duration) {
	if took < 0 || took > maxWait {
		return
	}
	x := w.vector()
	shared := e.sum(x)
	f := e.factor(server)
	observed := float64(took)
	e.learnFactor(server, math.Log((observed+slack)/(shared+slack)))
	e.fit(x, (observed/f-shared)/(shared+slack), shared+slack)
}

// learnFactor moves a server's factor, a logarithm.
func (e *Estimator) learnFactor(server identifier.VMID, ratio float64) {
	f, known := e.factors[server]
	if !known && len(e.factors) >= maxServers {
		return
	}
	ratio = min(max(ratio, -maxError), maxError)
	f += factorStep * (ratio - f)
	bound := math.Log(maxFactor)
	e.factors[server] = min(max(f, -bound), bound)
}

// fit moves the rates by one step of recursive least squares. The relative error
// is that of a sum of the given scale.
func (e *Estimator) fit(x vector, relative, scale float64) {
	for i := range x {
		x[i] /= scale
	}
	var px vector
	spread := fade * noise * noise
	for i := range x {
		for j := range x {
			px[i] += e.variance[i][j] * x[j]
		}
		spread += x[i] * px[i]
	}
	step := min(max(relative, -maxError), maxError) / spread
	for i, r := range rates {
		e.rates[i] = min(max(e.rates[i]+px[i]*step, r.least), r.most)
	}
	for i := range x {
		for j := range x {
			e.variance[i][j] = (e.variance[i][j] - px[i]*px[j]/spread) / fade
		}
	}
	e.boundVariance()
}

// boundVariance keeps what no answer spoke of from growing without end.
func (e *Estimator) boundVariance() {
	for i, r := range rates {
		most := maxVariance * r.spread * r.spread
		if e.variance[i][i] <= most {
			continue
		}
		shrink := math.Sqrt(most / e.variance[i][i])
		for j := range rates {
			e.variance[i][j] *= shrink
			e.variance[j][i] *= shrink
		}
	}
}

// Forget drops a server that is gone.
func (e *Estimator) Forget(server identifier.VMID) { delete(e.factors, server) }

func duration(ms float64) timekeeper.Duration { return timekeeper.Duration(math.Round(ms)) }
