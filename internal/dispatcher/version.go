package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ask says which request needs a server of the right version.
func (d *Dispatcher) ask(env Env, x *exchange) promoter.Request {
	return promoter.Request{
		Now:          env.Now,
		Service:      x.service,
		Route:        x.route.Name,
		Servers:      env.Servers.ServersOf(x.service),
		FirstAttempt: x.attempt == 0,
		OrdersAsOf:   env.OrdersAsOf,
		Rand:         env.Rand,
	}
}

// usual is the time after which the answer to an exchange would begin at a server of
// the service like any other, with what is ahead of it at the chosen one. What was
// learned of a single server is left out: a slow version would excuse itself.
func (d *Dispatcher) usual(x *exchange, c choice) timekeeper.Duration {
	return d.estimator(x.service).FirstEventTime("", c.work) + c.ahead + c.copying
}
