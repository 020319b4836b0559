package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/admitter"
	"github.com/dotterelhollow/dotterelhollow/internal/estimator"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// Callers leave a stream before its first event after the longest of minCallerPatience,
	// callerPatienceTargets targets of the route and callerPatienceGaps of its maximum gaps.
	minCallerPatience     = 2 * timekeeper.Second
	callerPatienceTargets = 4
	callerPatienceGaps    = 8
	// maxAdmissionLoadAge is the age from which a report of loads refuses no request. Two
	// reports arrive within it.
	maxAdmissionLoadAge = 1 * timekeeper.Second
)

// queuedAttempt is what admission remembers of an attempt.
type queuedAttempt struct {
	// predicted is the predicted time to the first event of an attempt that has to wait, or
	// zero.
	predicted timekeeper.Duration
	// firstEvent is the predicted time without the wait, and reading the part of the wait
	// that the request has a slot for.
	firstEvent timekeeper.Duration
	reading    timekeeper.Duration
	beganAt    timekeeper.Time
}

// decideAdmission decides whether a request can be answered in time, if c is the best server
// for it.
func (d *Dispatcher) decideAdmission(env Env, x *exchange, c choice) admitter.Decision {
	if d.admitter == nil || x.spec.Resumes || env.Brittle.Service(x.service) {
		return admitter.Decision{}
	}
	request := admitter.Request{
		Service:   x.service,
		Rank:      x.urgency,
		Target:    x.route.Target,
		Patience:  x.patienceEnd().Sub(env.Now),
		Remaining: x.deadline.Sub(env.Now),
	}
	if c.startsAtOnce() && c.queuedPrefill < x.route.Target && !d.admitter.Pressed(x.service) {
		d.admitter.SlotFound(env.Now, request)
		return admitter.Decision{}
	}
	return d.admitter.Decide(env.Now, env.Rand, request, d.supply(env, x))
}

// patienceEnd returns the time at which the caller leaves unless the answer has begun.
func (x *exchange) patienceEnd() timekeeper.Time {
	if !x.route.Stream {
		return x.deadline
	}
	patience := max(minCallerPatience, callerPatienceTargets*x.route.Target, callerPatienceGaps*x.route.MaxGap)
	return min(x.spec.Received.Add(patience), x.deadline)
}

// supply returns the loads of all ready servers of an exchange's service.
func (d *Dispatcher) supply(env Env, x *exchange) admitter.Supply {
	out := admitter.Supply{LoadAge: d.loads.meanAge(env.Now, maxAdmissionLoadAge)}
	servers := env.Servers.ServersOf(x.service)
	if fleet := env.Catalog.Routing.Backends[x.service].Fleet; fleet != nil && fleet.CanGrow(registrar.CountReady(servers)) {
		out.BootTime = fleet.BootTime
	}
	for _, s := range servers {
		if s.State != messenger.ServerReady || s.Displaced {
			continue
		}
		requests, prefill := d.loads.serverLoadWithin(env.Now, s.Server, maxAdmissionLoadAge)
		slots := d.slotCount(env, s)
		out.OwnRequests += d.ownRunning(s.Server)
		out.Servers = append(out.Servers, admitter.Server{
			Slots:         slots,
			Requests:      requests,
			QueuedPrefill: prefill,
			FirstEvent:    d.estimator(env, x.service).FirstEventTime(s.Server, estimator.Work{Running: min(requests, slots)}),
			Eligible:      env.canReceive(x, s),
		})
	}
	return out
}

// refuseNoRoom refuses a request that no server can answer in time. It counts as demand as
// if it had been sent by c, so that servers are ordered for it.
func (d *Dispatcher) refuseNoRoom(env Env, x *exchange, c choice, decision admitter.Decision) messenger.Effect {
	d.serviceDemand(x.service).add(env.Now, c.occupied)
	env.Inputs.Predicted = decision.Predicted
	env.Inputs.Patience = x.patienceEnd().Sub(env.Now)
	env.Inputs.PredictionError = decision.ErrorRatio
	return d.refuse(env, x.spec.Exchange, notRunRefusal(decision.Reason, decision.RetryAfter))
}

// noServerDelay returns the retry delay of a caller for whom no server is left: the time
// until ordered servers start, or about the given delay.
func (d *Dispatcher) noServerDelay(env Env, x *exchange, delay timekeeper.Duration) timekeeper.Duration {
	if d.admitter == nil {
		return jitter(env, delay)
	}
	room := admitter.Room{
		From:  delay,
		Until: 2 * delay,
	}
	servers := env.Servers.ServersOf(x.service)
	fleet := env.Catalog.Routing.Backends[x.service].Fleet
	if fleet != nil && env.Inputs.ServersAge >= 0 && registrar.CountReady(servers) == 0 {
		if ordered, due := d.admitter.RoomAfterLoss(env.Now, x.service, fleet.BootTime); due {
			room = ordered
		}
	}
	return admitter.RetryAfter(env.Rand, room, x.deadline.Sub(env.Now))
}

// queue records that the current attempt was sent to the server of c.
func (d *Dispatcher) queue(env Env, x *exchange, c choice) {
	if d.admitter == nil {
		return
	}
	work := c.work
	work.Running = min(work.Running, c.slots)
	work.Waiting = 0
	q := &x.current.queued
	q.firstEvent = d.estimator(env, x.service).FirstEventTime(c.server.Server, work) + c.copyTime
	wait, reading := d.admitter.Sent(env.Now, x.service, x.urgency, admitter.Server{
		Slots:         c.slots,
		Requests:      c.work.Running,
		QueuedPrefill: c.queuedPrefill,
	})
	q.reading = reading
	if wait > 0 {
		q.predicted = wait + q.firstEvent
	}
}

// dequeue records that the answer of the current attempt begins.
func (d *Dispatcher) dequeue(env Env, x *exchange) {
	if d.admitter == nil {
		return
	}
	d.observeWait(env, x)
	x.current.queued.beganAt = env.Now
	d.admitter.Began(env.Now, x.service, x.urgency)
}

// leaveServer records that the current attempt ends.
func (d *Dispatcher) leaveServer(env Env, x *exchange, complete bool) {
	if d.admitter == nil {
		return
	}
	q := x.current.queued
	begun := q.beganAt != 0
	if !begun {
		d.observeWait(env, x)
	}
	if begun && complete {
		inSlot := min(q.reading+q.firstEvent, q.beganAt.Sub(x.current.sent))
		d.admitter.ObserveSlot(x.service, x.urgency, inSlot+env.Now.Sub(q.beganAt))
	}
	d.admitter.Ended(env.Now, x.service, x.urgency, begun)
}

// observeWait records the time that the current attempt waited, if it had to.
func (d *Dispatcher) observeWait(env Env, x *exchange) {
	if predicted := x.current.queued.predicted; predicted > 0 {
		d.admitter.Observe(x.service, x.urgency, predicted, env.Now.Sub(x.current.sent), x.current.began)
	}
}
