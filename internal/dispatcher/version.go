package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// versionRequest returns the input for the choice of a version.
func (d *Dispatcher) versionRequest(env Env, x *exchange) promoter.Request {
	return promoter.Request{
		Now:          env.Now,
		Service:      x.service,
		Route:        x.route.Name,
		Servers:      env.Servers.ServersOf(x.service),
		FirstAttempt: x.attempt == 0,
		Begun:        x.begun,
		Version:      x.version,
		OrdersAsOf:   env.OrdersAsOf,
		Rand:         env.Rand,
	}
}

// isResumable reports whether the answer is a stream that another server may continue.
func (x *exchange) isResumable() bool {
	return x.route.Stream && x.route.Repetition == catalog.Resumable
}

// bind makes only servers of a version continue an exchange: what two versions write does not
// fit together.
func (x *exchange) bind(v identifier.Version) {
	x.begun = true
	x.version = v
}

// baselineTime returns the predicted time to the exchange's first event at an average
// server of the service, with the same work queued ahead as at the chosen one.
// Observations of the chosen server are left out, as they would hide that a version is
// slow.
func (d *Dispatcher) baselineTime(env Env, x *exchange, c choice) timekeeper.Duration {
	return d.estimator(env, x.service).FirstEventTime("", c.work) + c.queuedPrefill + c.copyTime
}
