package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// noServerPause is the wait before servers are looked for again; it is
	// jittered by up to its own length.
	noServerPause = 200 * timekeeper.Millisecond
	// abandonedAfter is how long a short request runs on without a caller.
	abandonedAfter = 10 * timekeeper.Second
)

// startAttempt sends the next attempt to the server that the router chooses.
func (c *Conductor) startAttempt(w *World, r *request) []messenger.Effect {
	if r.service.Name == "" {
		// A request taken over before this node knew its configuration.
		r.service, _ = service(w, r.spec.Service)
	}
	choice, ok := c.choose(w, r)
	if !ok {
		return c.pause(w, r)
	}
	server, _ := w.Members.Server(choice.Server)
	mode := messenger.StartFresh
	if r.model() && r.delivered > 0 {
		mode = messenger.StartPrefill
	}
	r.expected = choice.Predicted.Completion
	r.perToken = choice.Predicted.PerToken
	next := r.attempt + 1
	out := c.sendAttempt(w, r, server, mode, identifier.Stream(r.spec.Request, next), choice.Predicted.FirstToken)
	return append(out, c.note("routed", r, choice.Why))
}

// pause waits for a server to come back, or for the list to show a new one.
func (c *Conductor) pause(w *World, r *request) []messenger.Effect {
	r.phase = waiting
	r.server = ""
	jitter := timekeeper.Duration(w.Rand.Int64N(int64(noServerPause)))
	r.retryAt = w.Now.Add(noServerPause + jitter)
	r.failedServers = map[identifier.VMID]bool{}
	r.failedZones = map[identifier.Zone]bool{}
	return nil
}

// sendAttempt makes a new current attempt of r at the server.
func (c *Conductor) sendAttempt(
	w *World, r *request, s gossiper.Server,
	mode messenger.StartMode, stream identifier.StreamName, firstToken timekeeper.Duration,
) []messenger.Effect {
	r.attempt++
	r.tries++
	r.phase = running
	r.server = s.VM
	r.zone = s.Zone
	r.address = s.Address
	r.stream = stream
	r.began = w.Now
	r.started = false
	r.firstAt = 0
	r.awaited = firstToken
	if mode == messenger.StartResume || mode == messenger.StartImported {
		r.awaited = 0
	}
	r.move = moveState{}
	c.counters.Attempts++
	c.countStart(r, mode)
	c.onServer[s.VM]++
	c.prefilling[s.VM] += r.spec.PromptTokens
	c.observe(w, r, detector.Sent, 0, 0)
	w.Hints.Routed(w.Now, s.VM, r.spec.Prefix)
	return []messenger.Effect{
		messenger.SendAttempt{
			Request:      r.spec.Request,
			Attempt:      r.attempt,
			Server:       s.VM,
			Address:      s.Address,
			Mode:         mode,
			Stream:       stream,
			From:         r.delivered,
			Priority:     r.service.Priority,
			Deadline:     r.spec.Deadline,
			FirstSilence: c.firstSilence(w, r, firstToken),
			NextSilence:  detector.NextSilence(r.perToken),
		},
		c.note("attempt_sent", r, fmt.Sprintf("mode=%s from=%d stream=%s", mode, r.delivered, stream)),
	}
}

// firstSilence bounds the wait for the first byte. A plain call that may not
// be repeated is waited for to its deadline: to give it up earlier would turn
// a slow answer into an unknown one, with nothing else to try.
func (c *Conductor) firstSilence(w *World, r *request, firstToken timekeeper.Duration) timekeeper.Duration {
	if !r.model() && !r.spec.Idempotent {
		return r.spec.Deadline.Sub(w.Now)
	}
	return detector.FirstSilence(firstToken)
}

// countStart counts what the attempt makes servers compute again.
func (c *Conductor) countStart(r *request, mode messenger.StartMode) {
	switch {
	case mode == messenger.StartResume || mode == messenger.StartImported:
		c.counters.Resumed++
	case r.mayHaveRun && r.model():
		c.counters.RecomputedTokens += r.spec.PromptTokens + r.delivered
	}
}

// AttemptStarted records that the server took the attempt.
func (c *Conductor) AttemptStarted(w *World, e messenger.AttemptStarted) []messenger.Effect {
	r, ok := c.current(e.Request, e.Attempt)
	if !ok {
		return nil
	}
	r.started = true
	r.mayHaveRun = true
	c.observe(w, r, detector.Started, 0, 0)
	return nil
}

// AttemptProgress records how much of the answer stands with this node.
func (c *Conductor) AttemptProgress(w *World, e messenger.AttemptProgress) []messenger.Effect {
	r, ok := c.current(e.Request, e.Attempt)
	if !ok {
		return nil
	}
	r.mayHaveRun = true
	r.delivered = max(r.delivered, e.Delivered)
	if r.firstAt == 0 {
		r.firstAt = w.Now
		c.firstToken(w, r)
	}
	return nil
}

func (c *Conductor) firstToken(w *World, r *request) {
	c.prefilling[r.server] = max(0, c.prefilling[r.server]-r.spec.PromptTokens)
	c.observe(w, r, detector.FirstToken, w.Now.Sub(r.began), r.awaited)
}

// AttemptEnded decides what follows an attempt.
func (c *Conductor) AttemptEnded(w *World, e messenger.AttemptEnded) []messenger.Effect {
	r, ok := c.current(e.Request, e.Attempt)
	if !ok {
		return nil
	}
	r.delivered = max(r.delivered, e.Delivered)
	ranNow := e.Result != messenger.AttemptNotSent && e.Result != messenger.AttemptRefused
	r.mayHaveRun = r.mayHaveRun || ranNow
	c.leaveServer(r)
	r.phase = waiting
	out := []messenger.Effect{c.note("attempt_ended", r, fmt.Sprintf("result=%s delivered=%d", e.Result, r.delivered))}
	if e.Result == messenger.AttemptComplete {
		c.completed(w, r)
		return append(out, c.finish(w, r, messenger.Done, messenger.ReasonNone, 0)...)
	}
	if effects, ok := c.rejoin(w, r, e.Result); ok {
		return append(out, effects...)
	}
	c.blame(w, r, e.Result)
	return append(out, c.afterFailure(w, r, e)...)
}

// rejoin resumes the stream on the same server over a new connection. An open
// connection may be dead while new ones work: the stream then goes on at the
// server and nothing need be computed again. It is tried once for each stretch
// of progress, so that a server that is really gone costs one dial.
func (c *Conductor) rejoin(w *World, r *request, result messenger.AttemptResult) ([]messenger.Effect, bool) {
	cut := result == messenger.AttemptBroken || result == messenger.AttemptSilent
	if !cut || !r.model() {
		return nil, false
	}
	if r.rejoined && r.rejoinedAt == r.delivered {
		return nil, false
	}
	server, known := w.Members.Server(r.server)
	if !known {
		return nil, false
	}
	r.rejoined = true
	r.rejoinedAt = r.delivered
	return c.sendAttempt(w, r, server, messenger.StartResume, r.stream, rejoinWait), true
}

// rejoinWait is the first answer's predicted time when a stream is rejoined.
// The server only has to look it up, but the stream may still wait in its
// queue; taken for silent then, it would be computed again elsewhere.
const rejoinWait = 2500 * timekeeper.Millisecond

// afterFailure asks the retrier whether there is a next attempt.
func (c *Conductor) afterFailure(w *World, r *request, e messenger.AttemptEnded) []messenger.Effect {
	verdict := w.Budgets.Next(w.Now, retrier.Ask{
		Service:    r.spec.Service,
		Idempotent: r.spec.Idempotent || !c.config.Safeguards.RepeatOnlySafe,
		Result:     e.Result,
		Attempts:   r.tries,
		Deadline:   r.spec.Deadline,
		Delivered:  r.delivered,
		Model:      r.model(),
		RetryAfter: e.RetryAfter,

		EarlierNotRun: !r.mayHaveRun,
		Planned:       c.owed(w, r),
	}, w.Rand)
	if !verdict.Again {
		outcome := c.truthful(r, verdict.Outcome)
		return c.finish(w, r, outcome, verdict.Reason, verdict.RetryAfter)
	}
	r.failedServers[r.server] = true
	if e.Result != messenger.AttemptRefused {
		r.failedZones[r.zone] = true
	}
	r.retryAt = w.Now.Add(verdict.After)
	if verdict.After == 0 {
		return c.startAttempt(w, r)
	}
	return nil
}

// owed reports whether the next attempt is owed and costs no budget: its
// server was taken away, or the request was accepted as long and has to
// survive that.
func (c *Conductor) owed(w *World, r *request) bool {
	server, known := w.Members.Server(r.server)
	return r.spec.Long || !known || server.Leaving
}

// truthful turns not_run into unknown where something may have run.
func (c *Conductor) truthful(r *request, o messenger.Outcome) messenger.Outcome {
	if o == messenger.NotRun && r.mayHaveRun && c.config.Safeguards.TruthfulNotRun {
		return messenger.Unknown
	}
	return o
}

// blame tells the detector what the server did.
func (c *Conductor) blame(w *World, r *request, result messenger.AttemptResult) {
	switch result {
	case messenger.AttemptNotSent:
		c.observe(w, r, detector.NotSent, 0, 0)
	case messenger.AttemptBroken:
		c.observe(w, r, detector.Broken, 0, 0)
	case messenger.AttemptSilent:
		c.observe(w, r, detector.Silent, 0, 0)
	case messenger.AttemptFailed:
		c.observe(w, r, detector.Failed, 0, 0)
	}
}

// completed tells the detector of a whole answer. Only a plain one is timed: a
// model's length is the request's doing, not the server's.
func (c *Conductor) completed(w *World, r *request) {
	if r.model() {
		c.observe(w, r, detector.Completed, 0, 0)
		return
	}
	c.observe(w, r, detector.Completed, w.Now.Sub(r.began), r.expected)
}

func (c *Conductor) observe(w *World, r *request, kind detector.Kind, latency, predicted timekeeper.Duration) {
	w.Suspicions.Observe(w.Now, r.server, detector.Observation{
		Kind:             kind,
		Latency:          latency,
		PredictedLatency: predicted,
	})
}

func (c *Conductor) tickWaiting(w *World, r *request) []messenger.Effect {
	out := c.tickProtection(w, r)
	if gone := c.tickStall(w, r); gone != nil {
		return append(out, gone...)
	}
	if w.Now.Before(r.retryAt) {
		return out
	}
	return append(out, c.startAttempt(w, r)...)
}

func (c *Conductor) tickRunning(w *World, r *request) []messenger.Effect {
	if !r.spec.Long && r.model() && r.goneAt != timekeeper.Never && w.Now.Sub(r.goneAt) > abandonedAfter {
		return c.cancel(w, r)
	}
	out := c.tickProtection(w, r)
	if gone := c.tickStall(w, r); gone != nil {
		return append(out, gone...)
	}
	return append(out, c.tickMove(w, r)...)
}

// current returns the request whose current attempt is n. Messages of any
// other attempt are late or crossed: were they heeded, a request could be
// ended by the failure of an attempt that it has long left behind, or be
// given another attempt's answer.
func (c *Conductor) current(id identifier.RequestID, n identifier.AttemptNumber) (*request, bool) {
	r, known := c.requests[id]
	if !known {
		return nil, false
	}
	if c.config.Safeguards.DropStale && (r.phase != running || r.attempt != n) {
		return nil, false
	}
	return r, true
}

// leaveServer takes r out of its server's counts.
func (c *Conductor) leaveServer(r *request) {
	if r.phase != running || r.server == "" {
		return
	}
	c.onServer[r.server]--
	if r.firstAt == 0 {
		c.prefilling[r.server] = max(0, c.prefilling[r.server]-r.spec.PromptTokens)
	}
	if c.onServer[r.server] <= 0 {
		delete(c.onServer, r.server)
		delete(c.prefilling, r.server)
	}
}

// stop ends the current attempt, if any, and tells the server to drop it.
func (c *Conductor) stop(r *request) []messenger.Effect {
	return c.stopAttempt(r, true)
}

// leaveStream ends the current attempt, if any, and lets its stream live on
// for another node.
func (c *Conductor) leaveStream(r *request) []messenger.Effect {
	return c.stopAttempt(r, false)
}

func (c *Conductor) stopAttempt(r *request, cancel bool) []messenger.Effect {
	if r.phase != running {
		return nil
	}
	c.leaveServer(r)
	r.phase = waiting
	return []messenger.Effect{
		messenger.StopAttempt{
			Request: r.spec.Request,
			Attempt: r.attempt,
			Server:  r.server,
			Address: r.address,
			Stream:  r.stream,
			Cancel:  cancel,
		},
	}
}

// service returns the present settings of a service that a peer speaks of.
func service(w *World, name identifier.ServiceName) (catalog.Service, bool) {
	if w.Catalog == nil {
		return catalog.Service{}, false
	}
	s, ok := w.Catalog.Services[name]
	return s, ok
}
