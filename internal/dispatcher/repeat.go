package dispatcher

import (
	"slices"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// A server without a first event is abandoned after this multiple of the route's
	// target, within the bounds, if another server may take over. The first event of an
	// idle engine takes a quarter of the target.
	firstEventTargets    = 1.5
	minFirstEventTimeout = 250 * timekeeper.Millisecond
	maxFirstEventTimeout = 2500 * timekeeper.Millisecond
	// The timeout is at least this multiple of the predicted time to the first event,
	// as an engine interleaves the prefill with other requests. Abandoning a long
	// prompt just before its first event would mean to read it again elsewhere.
	firstEventPredictions = 2
	// A stream is late after one maximum gap, and callers give up after eight.
	nextEventGaps = 4
	// maxPathAttempts is the number of attempts after which an isolated node that finds no
	// peer to connect through refuses the request. Each asks other peers.
	maxPathAttempts     = 3
	minNextEventTimeout = 1 * timekeeper.Second
)

// evidence maps the results of attempts to evidence for the detector.
var evidence = map[messenger.AttemptResult]detector.Kind{
	messenger.AttemptNotSent:  detector.NotSent,
	messenger.AttemptBroken:   detector.Broken,
	messenger.AttemptTimedOut: detector.TimedOut,
	messenger.AttemptFailed:   detector.Failed,
}

// AttemptEnded decides what follows an attempt without a complete answer.
func (d *Dispatcher) AttemptEnded(env Env, e messenger.ExchangeAttemptEnded) messenger.Effect {
	env.Backoffs.Record(env.Now, e.Server, e.Backoff)
	x, ok := d.current(e.Exchange, e.Attempt)
	if !ok {
		return d.end(env, nil, e, messenger.ReasonServerFailed)
	}
	if effect, decided := d.movedAttemptEnded(env, x, e); decided {
		return effect
	}
	return d.attemptFailed(env, x, e)
}

// attemptFailed decides what follows an attempt whose stream is not continued from its memory.
func (d *Dispatcher) attemptFailed(env Env, x *exchange, e messenger.ExchangeAttemptEnded) messenger.Effect {
	if kind, known := evidence[e.Result]; known && !e.PathFailed && !env.Paths.Isolated() {
		env.Suspicions.Observe(env.Now, x.current.server, detector.Observation{Kind: kind})
	}
	env = env.forExchange(x)
	server := x.current.server
	d.recordAttemptEnd(env, x, e)
	if e.Result == messenger.AttemptRefused && env.Brittle.Service(x.service) {
		running, _ := d.loads.serverLoad(env.Now, server)
		env.Brittle.Rejected(env.Now, x.service, server, running)
		d.slots.rejected[server] = true
	}
	if d.quarantined(env, x) != nil {
		return d.end(env, x, e, messenger.ReasonServersEnded)
	}
	if !d.mayRepeat(x, e) {
		return d.end(env, x, e, messenger.ReasonServerFailed)
	}
	if x.deadline.Sub(env.Now) < minAttemptTime {
		return d.end(env, x, e, messenger.ReasonDeadlineExpired)
	}
	lacksPath := e.PathFailed && env.Paths.Isolated() && int(e.Attempt) >= maxPathAttempts
	if lacksPath || env.Paths.NoPath(env.Now) {
		return d.end(env, x, e, messenger.ReasonNoPath)
	}
	c, ok := d.choose(env, x)
	if !ok {
		return d.end(env, x, e, env.noServerReason(x))
	}
	if !x.mayHaveRun && !e.Streaming {
		if decision := d.decideAdmission(env, x, c); decision.Refused() {
			return d.refuseNoRoom(env, x, c, decision)
		}
	}
	if e.Result != messenger.AttemptNotSent && !env.Retries.Spend(env.Now, x.service) {
		return d.end(env, x, e, messenger.ReasonRetriesExhausted)
	}
	x.lastEnded = e
	effect, ok := d.place(env, x)
	if !ok {
		return d.end(env, x, e, env.noServerReason(x))
	}
	return effect
}

// recordAttemptEnd updates the exchange and what is known of its server with the result
// of an attempt.
func (d *Dispatcher) recordAttemptEnd(env Env, x *exchange, e messenger.ExchangeAttemptEnded) {
	server := x.current.server
	entry, known := env.Servers.Server(server)
	leftService := known && entry.State != messenger.ServerReady
	continues := x.current.continues
	if !x.current.began {
		d.index.Remove(x.current.server, x.spec.Prefix)
	}
	d.recordServerEnd(env, x, e.Result, e.ServerEnded)
	env.Versions.RecordEnd(x.current.track, promoter.AttemptEnd{
		Result:          e.Result,
		ResponseStarted: x.current.began,
		ServerEnded:     e.ServerEnded,
		PathBroken:      env.Paths.Broken(server),
	})
	d.leaveServer(env, x, false)
	d.removeAttempt(x)
	switch {
	case e.Result == messenger.AttemptNotSent:
		x.uncount(continues)
		if e.Stale {
			x.tried = x.tried[:len(x.tried)-1]
		}
		return
	case e.Result == messenger.AttemptMisdirected:
		// The intended server no longer exists, so that the attempt loads none.
		x.uncount(continues)
		env.Servers.MarkDisplaced(server)
		return
	case retrier.ProvablyNotRun(e.Result):
		return
	case leftService:
		// The route bounds the servers that one request may load. A server that left
		// during the attempt no longer counts.
		x.countedAttempts--
	}
	x.mayHaveRun = true
	if e.Result == messenger.AttemptBroken || e.Result == messenger.AttemptFailed {
		d.countUsage(env, x)
	}
}

// uncount takes back the count of an attempt that loaded no server. Attempts that continue a run
// are not counted.
func (x *exchange) uncount(continues bool) {
	if !continues {
		x.countedAttempts--
	}
}

// mayRepeat reports whether another attempt is permitted.
func (d *Dispatcher) mayRepeat(x *exchange, e messenger.ExchangeAttemptEnded) bool {
	if x.continued && x.route.Repetition != catalog.Resumable {
		// Whatever became of the last attempt, the request has run.
		return false
	}
	if x.countedAttempts >= x.route.Attempts {
		return false
	}
	if retrier.ProvablyNotRun(e.Result) {
		return true
	}
	switch x.route.Repetition {
	case catalog.Repeatable:
		return !e.Streaming
	case catalog.Resumable:
		return true
	}
	return false
}

// end ends an exchange without an answer. The caller is given a retry delay only if no
// attempt can have run.
func (d *Dispatcher) end(env Env, x *exchange, e messenger.ExchangeAttemptEnded, reason messenger.Reason) messenger.Effect {
	delete(d.exchanges, e.Exchange)
	if x != nil && !x.mayHaveRun && !e.Streaming && !x.spec.Resumes {
		if refusal := d.quarantined(env, x); refusal != nil {
			return d.refuse(env, e.Exchange, refusal)
		}
		d.recordRefusedDemand(env, x)
		return d.refuse(env, e.Exchange, notRunRefusal(reason, d.retryDelay(env, x, e)))
	}
	return messenger.EndExchange{
		Exchange: e.Exchange,
		Reason:   reason,
	}
}

// retryDelay returns the retry delay of a caller whose last attempt ended without running.
// The pause that a server asked for is this node's to keep: the caller's next request may
// go to another server.
func (d *Dispatcher) retryDelay(env Env, x *exchange, e messenger.ExchangeAttemptEnded) timekeeper.Duration {
	if e.Backoff == 0 {
		return max(d.noServerDelay(env, x, shortRetry), e.RetryAfter)
	}
	due, waiting := d.nextServerIn(env, x)
	if !waiting || slices.ContainsFunc(env.Servers.ServersOf(x.service), env.isAvailable) {
		due = shortRetry
	}
	return jitter(env, due)
}

// eventTimeouts returns the timeouts for the first event and between events. They are
// zero, for no timeout, if no other server may take over: the answer may still come.
func (d *Dispatcher) eventTimeouts(x *exchange, predicted timekeeper.Duration) (first, next timekeeper.Duration) {
	if x.route.Repetition == catalog.AtMostOnce || x.countedAttempts >= x.route.Attempts {
		return 0, 0
	}
	target := timekeeper.Duration(float64(x.route.Target) * firstEventTargets)
	first = min(max(target, minFirstEventTimeout), maxFirstEventTimeout)
	first = max(first, firstEventPredictions*predicted)
	if x.route.Stream {
		next = max(nextEventGaps*x.route.MaxGap, minNextEventTimeout)
	}
	return first, next
}
