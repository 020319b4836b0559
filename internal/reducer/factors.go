package reducer

import "github.com/dotterelhollow/dotterelhollow/internal/calibrator"

// ServerFactors returns the shared factors of the servers known to this node.
func (r *Reducer) ServerFactors() calibrator.Statuses {
	if r.gateway == nil {
		return calibrator.Statuses{}
	}
	return r.gateway.exchanges.FactorStatus()
}
