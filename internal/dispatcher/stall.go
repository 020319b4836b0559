package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
)

// Stalled decides whether another server takes over a request, for example because its server has
// sent no event in time. Otherwise the attempt goes on: a sound server may be silent for a second,
// and its answer is given up only for one that can replace it.
func (d *Dispatcher) Stalled(env Env, e messenger.ExchangeStalled) messenger.Effect {
	x, ok := d.current(e.Exchange, e.Attempt)
	if !ok {
		return messenger.KeepWaiting{Exchange: e.Exchange}
	}
	env = env.forExchange(x)
	x.stalled = e
	d.recordStall(env, x)
	if env.mayBePaused(x) || !d.mayPlace(env, x) {
		return keepWaiting(x)
	}
	if effect, placed := d.place(env, x); placed {
		return effect
	}
	return keepWaiting(x)
}

// mayBePaused reports whether the server of a stalled attempt may be paused. It sees a closed
// connection only when it goes on, and until then another server would run the same request. The
// entry of a server that has ended or hangs expires.
func (env Env) mayBePaused(x *exchange) bool {
	if x.stalled.Activity != messenger.ServerUnresponsive {
		return false
	}
	s, known := env.Servers.Server(x.current.server)
	return known && s.State != messenger.ServerRemoved && !s.Displaced
}

// keepWaiting makes the current attempt of a stalled exchange go on. Servers that had no slot may
// have one later.
func keepWaiting(x *exchange) messenger.Effect {
	x.slotRequest = slotRequest{}
	return messenger.KeepWaiting{Exchange: x.spec.Exchange}
}

// recordStall records why the current server has stalled, once for each attempt.
func (d *Dispatcher) recordStall(env Env, x *exchange) {
	if x.current.stalled || env.Paths.Isolated() {
		return
	}
	x.current.stalled = true
	env.Suspicions.Observe(env.Now, x.current.server, detector.Observation{Kind: evidence[x.stalled.Result]})
}

// stalledEnd returns the end of a stalled attempt.
func stalledEnd(x *exchange) messenger.ExchangeAttemptEnded {
	return messenger.ExchangeAttemptEnded{
		Exchange:  x.spec.Exchange,
		Attempt:   x.attempt,
		Server:    x.current.server,
		Result:    x.stalled.Result,
		Streaming: x.stalled.Streaming,
	}
}

// mayTakeOver reports whether another server would take over an exchange if its current attempt
// ended like this. A stream that has begun is taken over only by a server with a free slot: one
// that rejected it would leave it with no server at all.
func (d *Dispatcher) mayTakeOver(env Env, x *exchange, end messenger.ExchangeAttemptEnded) bool {
	if !d.mayEnd(env, x, end) {
		return false
	}
	c, ok := d.choose(env, x)
	return ok && mayReplace(env, x, c)
}

// mayEnd reports whether the current attempt of an exchange may end like this to be taken over.
func (d *Dispatcher) mayEnd(env Env, x *exchange, end messenger.ExchangeAttemptEnded) bool {
	switch {
	case !d.mayRepeat(x, end), !env.Retries.Allows(env.Now, x.service):
		return false
	case x.deadline.Sub(env.Now) < minAttemptTime, env.Paths.NoPath(env.Now):
		return false
	}
	return d.quarantined(env, x) == nil
}

// mayReplace reports whether the server of a choice may take over from the current one, if there
// is one.
func mayReplace(env Env, x *exchange, c choice) bool {
	if x.current == nil {
		return true
	}
	return !env.Suspicions.Suspect(env.Now, c.server.Server) && (!x.current.began || c.startsAtOnce())
}

// mayPlace reports whether an exchange may be sent, also after it has waited for a permit or a slot.
// A stalled attempt goes on if its answer has begun since, which also binds a stream to its version.
func (d *Dispatcher) mayPlace(env Env, x *exchange) bool {
	return x.current == nil || !x.beganSinceStall() && d.mayEnd(env, x, stalledEnd(x))
}

// beganSinceStall reports whether the answer of the current attempt has begun since the last
// report that it has stalled.
func (x *exchange) beganSinceStall() bool { return x.current.began && !x.stalled.Streaming }

// endStalled ends the current attempt, which has stalled, as another server takes over.
func (d *Dispatcher) endStalled(env Env, x *exchange) {
	env.Retries.Spend(env.Now, x.service)
	if m, moving := d.moves.Move(x.spec.Exchange); moving && !m.Over() {
		m.Abandon()
		d.endMove(env, m)
	}
	d.recordAttemptEnd(env, x, stalledEnd(x))
}

// replacementUnsent removes an attempt that was to replace a stalled one, whose answer ended
// before with the given result.
func (d *Dispatcher) replacementUnsent(env Env, x *exchange, result messenger.AttemptResult) {
	if result == messenger.AttemptComplete {
		d.countUsage(env, x)
		env.Quarantine.Completed(env.Now, x.fingerprint, x.parts...)
	}
	d.index.Remove(x.current.server, x.spec.Prefix)
	env.Versions.RecordEnd(x.current.track, promoter.AttemptEnd{Result: messenger.AttemptNotSent})
	d.leaveServer(env, x, false)
	d.removeAttempt(x)
}
