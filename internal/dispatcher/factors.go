package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxDelayPercent is the prefill of other nodes' prompts, as a percentage of the predicted
// time to the first event, up to which an answer is used to observe the server's rates.
const maxDelayPercent = 100

// newEstimator returns the estimator of a service, which takes the servers' factors from
// the calibrator if they are shared. Those of plain services are not: their answers are so
// short that the load of a server hides its speed.
func (d *Dispatcher) newEstimator(env Env, service identifier.ServiceName) *estimator.Estimator {
	if !d.sharesFactors(env, service) {
		return estimator.New()
	}
	return estimator.NewWithFactors(d.calibrator.Service(service))
}

// sharesFactors reports whether the factors of a service's servers are shared.
func (d *Dispatcher) sharesFactors(env Env, service identifier.ServiceName) bool {
	return d.calibrator != nil && env.Catalog.Routing.Backends[service].Model
}

// refreshFactors updates the shared factors of a service's servers.
func (d *Dispatcher) refreshFactors(env Env, service identifier.ServiceName) {
	if !d.sharesFactors(env, service) {
		return
	}
	d.calibrator.Service(service).Refresh(env.Now, func(yield func(identifier.VMID) bool) {
		for _, s := range env.Servers.ServersOf(service) {
			if !yield(s.Server) {
				return
			}
		}
	})
}

// OwnFactors returns the evidence of this node's answers to report to peers, or nil if
// factors are not shared.
func (d *Dispatcher) OwnFactors(now timekeeper.Time, inFlight map[identifier.VMID]messenger.InFlight) map[identifier.VMID]messenger.FactorEvidence {
	if d.calibrator == nil {
		return nil
	}
	return d.calibrator.OwnReport(now, inFlight)
}

// FactorStatus describes the shared factors for operators.
func (d *Dispatcher) FactorStatus() calibrator.Statuses {
	if d.calibrator == nil {
		return calibrator.Statuses{}
	}
	return d.calibrator.Status()
}

// delayedByOthers reports whether an answer that begins now was probably delayed by prompts
// of other nodes, going by the newest reports. Such answers would make busy servers
// seem slow to all nodes.
func (d *Dispatcher) delayedByOthers(env Env, service identifier.ServiceName, a *attempt) bool {
	if !d.sharesFactors(env, service) {
		return false
	}
	return d.loads.othersPrefill(env.Now, a.server) > max(maxObservedQueue, a.predicted*maxDelayPercent/100)
}
