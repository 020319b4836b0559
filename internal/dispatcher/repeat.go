package dispatcher

import (
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// A server that says nothing for so many times the target, within the
	// bounds, is given up where another may take over. The first event of an
	// unloaded engine takes a quarter of the target.
	firstSilenceTargets = 1.5
	minFirstSilence     = 250 * timekeeper.Millisecond
	maxFirstSilence     = 2500 * timekeeper.Millisecond
	// A server that has to read a long prompt first is waited for so many times
	// as long as that was predicted to take, as the steps of other requests come
	// between: a prompt that is given up just before its first event is read
	// anew elsewhere.
	firstSilencePredictions = 2
	// A stream is late from one gap on, and callers leave after eight.
	nextSilenceGaps = 4
	minNextSilence  = 1 * timekeeper.Second
)

// kinds maps the ends of attempts to the evidence that they are.
var kinds = map[messenger.AttemptResult]detector.Kind{
	messenger.AttemptNotSent:  detector.NotSent,
	messenger.AttemptBroken:   detector.Broken,
	messenger.AttemptTimedOut: detector.TimedOut,
	messenger.AttemptFailed:   detector.Failed,
}

// AttemptEnded decides what follows an attempt that brought no whole answer.
func (d *Dispatcher) AttemptEnded(env Env, e messenger.ExchangeAttemptEnded) messenger.Effect {
	x, ok := d.current(e.Exchange, e.Attempt)
	if !ok {
		return d.end(env, nil, e, messenger.ReasonServerFailed)
	}
	if kind, known := kinds[e.Result]; known {
		env.Suspicions.Observe(env.Now, x.current.server, detector.Observation{Kind: kind})
	}
	env = env.about(x)
	d.settle(env, x, e)
	if d.quarantined(env, x) != nil {
		return d.end(env, x, e, messenger.ReasonServersEnded)
	}
	if !d.mayRepeat(x, e) {
		return d.end(env, x, e, messenger.ReasonServerFailed)
	}
	if x.deadline.Sub(env.Now) < leastTime {
		return d.end(env, x, e, messenger.ReasonDeadlineExpired)
	}
	if _, ok := d.choose(env, x); !ok {
		return d.end(env, x, e, messenger.ReasonNoServer)
	}
	if e.Result != messenger.AttemptNotSent && !env.Retries.Spend(env.Now, x.service) {
		return d.end(env, x, e, messenger.ReasonRetriesExhausted)
	}
	x.ended = e
	effect, ok := d.place(env, x)
	if !ok {
		return d.end(env, x, e, messenger.ReasonNoServer)
	}
	return effect
}

// settle takes up what an attempt's end says of the request.
func (d *Dispatcher) settle(env Env, x *exchange, e messenger.ExchangeAttemptEnded) {
	server := x.current.server
	entry, known := env.Servers.Server(server)
	departed := known && entry.State != messenger.ServerReady
	if !x.current.began {
		d.index.Remove(x.current.server, x.spec.Prefix)
	}
	d.noteEnd(env, x, e.Result, e.ServerEnded)
	env.Versions.RecordEnd(x.current.track, promoter.AttemptEnd{
		Result:          e.Result,
		ResponseStarted: x.current.began,
		ServerEnded:     e.ServerEnded,
	})
	d.land(x)
	switch {
	case e.Result == messenger.AttemptNotSent:
		x.counted--
		return
	case e.Result == messenger.AttemptMisdirected:
		// The server that was meant is gone and burdened by nobody.
		x.counted--
		env.Servers.MarkDisplaced(server)
		return
	case retrier.ProvablyNotRun(e.Result):
		return
	case departed:
		// The operators bound the servers that a request burdens; one that
		// left while it ran burdens nobody any more.
		x.counted--
	}
	x.mayHaveRun = true
	if e.Result == messenger.AttemptBroken || e.Result == messenger.AttemptFailed {
		d.count(env, x)
	}
}

// mayRepeat reports whether another server may get the request.
func (d *Dispatcher) mayRepeat(x *exchange, e messenger.ExchangeAttemptEnded) bool {
	if x.counted >= x.route.Attempts {
		return false
	}
	if retrier.ProvablyNotRun(e.Result) {
		return true
	}
	switch x.route.Repetition {
	case catalog.Repeatable:
		return !e.Streaming
	case catalog.Resumed:
		return true
	}
	return false
}

// end gives an exchange up. Only where no attempt can have run is the caller
// told so, with a time to come back.
func (d *Dispatcher) end(env Env, x *exchange, e messenger.ExchangeAttemptEnded, reason messenger.Reason) messenger.Effect {
	delete(d.exchanges, e.Exchange)
	if x != nil && !x.mayHaveRun && !e.Streaming && !x.spec.Resumes {
		if refusal := d.quarantined(env, x); refusal != nil {
			return d.refuse(env, e.Exchange, refusal)
		}
		d.noteRefusal(env, x)
		return d.refuse(env, e.Exchange, notRun(reason, max(spread(env, soon), e.RetryAfter)))
	}
	return messenger.EndExchange{
		Exchange: e.Exchange,
		Reason:   reason,
	}
}

// silence returns how long a server may say nothing before its first event and
// between events. Where no other server may take over there is no bound: the
// answer may yet come.
func (d *Dispatcher) silence(x *exchange, predicted timekeeper.Duration) (first, next timekeeper.Duration) {
	if x.route.Repetition == catalog.Once || x.counted >= x.route.Attempts {
		return 0, 0
	}
	target := timekeeper.Duration(float64(x.route.Target) * firstSilenceTargets)
	first = min(max(target, minFirstSilence), maxFirstSilence)
	first = max(first, firstSilencePredictions*predicted)
	if x.route.Stream {
		next = max(nextSilenceGaps*x.route.MaxGap, minNextSilence)
	}
	return first, next
}
