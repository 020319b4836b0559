package calibrator

import (
	"iter"
	"math"

	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// priorWeight is the weight of the assumption that a server is of mean speed.
	priorWeight = 0.4
	// maxError bounds the error of an answer against the factor known so far.
	maxError = 0.8
	// delayedTrust is the weight of an answer that took longer than expected against that of
	// one that took less time. Prompts of other nodes that this node did not know of delay
	// answers, and nothing makes them faster.
	delayedTrust = 0.2
	// slack, in milliseconds, is added to times before they are compared, because short
	// times vary with the engine's steps and the network.
	slack = 20.0
	// minSensitivity is the sensitivity below which an answer says too little.
	minSensitivity = 0.3
	// offsetWeight is the weight of the newest answer in the mean error of this node's
	// prediction, which maxOffset bounds.
	offsetWeight = 0.1
	maxOffset    = 3.0
	// refreshInterval is the time for which computed factors are used.
	refreshInterval = 100 * timekeeper.Millisecond
)

// Factors holds the factors of one service's servers, as they follow from the evidence of
// all nodes. Refresh has to be called before its other methods.
type Factors struct {
	calibrator  *Calibrator
	now         timekeeper.Time
	refreshedAt timekeeper.Time
	// logs are the logarithms of the factors.
	logs map[identifier.VMID]float64
	// offset is the mean error of the logarithm of this node's prediction.
	offset float64
}

var _ estimator.Factors = (*Factors)(nil)

// Service returns the factors of a service's servers.
func (c *Calibrator) Service(service identifier.ServiceName) *Factors {
	f := c.services[service]
	if f == nil {
		f = &Factors{
			calibrator: c,
			logs:       map[identifier.VMID]float64{},
		}
		c.services[service] = f
	}
	return f
}

// Refresh sets the current time, and computes the factors of the service's servers anew if
// they are outdated.
func (f *Factors) Refresh(now timekeeper.Time, servers iter.Seq[identifier.VMID]) {
	f.now = now
	if f.refreshedAt != 0 && now.Sub(f.refreshedAt) < refreshInterval {
		return
	}
	f.refreshedAt = now
	all := f.calibrator.current(now)
	clear(f.logs)
	sum, weight := 0.0, 0.0
	for server := range servers {
		e, known := all[server]
		if !known || e.Weight < minWeight {
			continue
		}
		certainty := certaintyOf(e)
		f.logs[server] = e.Sum / e.Weight
		sum += certainty * f.logs[server]
		weight += certainty
	}
	for server, mean := range f.logs {
		f.logs[server] = bounded(certaintyOf(all[server])*(mean-sum/weight), math.Log(estimator.MaxFactor))
	}
}

// certaintyOf returns the weight of evidence against that of the prior, from 0 to 1.
func certaintyOf(e messenger.FactorEvidence) float64 { return e.Weight / (e.Weight + priorWeight) }

// bounded returns x, limited to bound in both directions.
func bounded(x, bound float64) float64 { return min(max(x, -bound), bound) }

// Factor implements estimator.Factors.
func (f *Factors) Factor(server identifier.VMID) float64 {
	if log, known := f.logs[server]; known {
		return math.Exp(log)
	}
	return 1
}

// Observe adds the evidence of an answer to this node's own. It bounds the error of the
// answer, so that a wrong one moves the factor little.
func (f *Factors) Observe(server identifier.VMID, o estimator.Observation) {
	sensitivity := o.Sensitivity(slack)
	if !(sensitivity >= minSensitivity) || math.IsNaN(o.Observed) {
		return
	}
	expected := f.logs[server]
	residual := o.LogRatio(slack) - sensitivity*(expected+f.offset)
	trust := 1.0
	if residual > 0 {
		trust = delayedTrust
	}
	f.offset = bounded(f.offset+offsetWeight*trust*bounded(residual, 1), maxOffset)
	weight := sensitivity * sensitivity * trust
	f.calibrator.observe(f.now, server, messenger.FactorEvidence{
		Weight: weight,
		Sum:    weight * bounded(expected+bounded(residual, maxError)/sensitivity, maxLog),
	})
}

// Forget implements estimator.Factors.
func (f *Factors) Forget(server identifier.VMID) { delete(f.logs, server) }

// Status describes the factors of one service, for operators.
type Status struct {
	// Servers is the number of servers of which there is evidence. Lowest and Highest are
	// their extreme factors.
	Servers int     `json:"servers"`
	Lowest  float64 `json:"lowest"`
	Highest float64 `json:"highest"`
}

// Statuses describes the factors of all services, for operators.
type Statuses struct {
	Services map[identifier.ServiceName]Status `json:"services"`
	// Reports is the number of updates received that held evidence, and Invalid the number
	// of servers whose reported evidence was implausible.
	Reports int `json:"reports"`
	Invalid int `json:"invalid"`
}

// Status returns the state of the factors.
func (c *Calibrator) Status() Statuses {
	out := Statuses{
		Services: make(map[identifier.ServiceName]Status, len(c.services)),
		Reports:  c.reports,
		Invalid:  c.invalid,
	}
	for service, f := range c.services {
		out.Services[service] = f.status()
	}
	return out
}

func (f *Factors) status() Status {
	s := Status{Servers: len(f.logs)}
	for server := range f.logs {
		factor := f.Factor(server)
		if s.Lowest == 0 || factor < s.Lowest {
			s.Lowest = factor
		}
		s.Highest = max(s.Highest, factor)
	}
	return s
}
