package conductor

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// noServerRetryDelay is the delay before servers are looked up again. It is
	// jittered by up to its own length, so that requests waiting for the same
	// server do not all reach it at once.
	noServerRetryDelay = 200 * timekeeper.Millisecond
	// predictedRejoinLatency is the predicted time to the first event of a
	// stream that is joined. The server only has to look up the stream, but the
	// stream may still be queued; if the attempt timed out, it would be
	// computed again elsewhere.
	predictedRejoinLatency = 2500 * timekeeper.Millisecond
	// minRejoinInterval is the minimum time between attempts at a silent server that
	// nothing can replace. Timeouts are longer.
	minRejoinInterval = 500 * timekeeper.Millisecond
)

// plannedAttempt is an attempt that is about to be sent.
type plannedAttempt struct {
	server gossiper.Server
	mode   messenger.StartMode
	stream identifier.StreamName
	// predictedFirstToken is the predicted time to the first token or byte.
	predictedFirstToken timekeeper.Duration
}

// joinsStream reports whether the attempt joins an existing stream, in which
// case the time to its first token does not reflect the server's speed.
func (p plannedAttempt) joinsStream() bool {
	return p.mode == messenger.StartResume || p.mode == messenger.StartImported
}

// startAttempt sends the next attempt to the server chosen by the router. A
// request that waited or was taken over may have been quarantined in the
// meantime.
func (c *Conductor) startAttempt(env *Env, r *request) []messenger.Effect {
	if after, refused := env.Quarantine.Refuses(env.Now, fingerprint(r.spec)); refused {
		return c.finishQuarantined(env, r, after)
	}
	if r.service.Name == "" {
		// The request was taken over before this node knew its configuration.
		r.service, _ = serviceConfig(env, r.spec.Service)
	}
	choice, ok := c.chooseServer(env, r)
	if !ok {
		return c.waitForServer(env, r)
	}
	r.predictedCompletion = choice.Predicted.Completion
	r.predictedPerToken = choice.Predicted.PerToken
	server, _ := env.Members.Server(choice.Server)
	out := c.sendAttempt(env, r, plannedAttempt{
		server:              server,
		mode:                r.startMode(),
		stream:              identifier.Stream(r.spec.Request, r.attempt+1),
		predictedFirstToken: choice.Predicted.FirstToken,
	})
	return append(out, c.timelineEntry("routed", r, choice.Explanation))
}

// startMode returns the start mode of an attempt on a server that does not have
// the stream.
func (r *request) startMode() messenger.StartMode {
	if r.isModel() && r.delivered > 0 {
		return messenger.StartPrefill
	}
	return messenger.StartFresh
}

// waitForServer schedules a retry, as no server is available.
func (c *Conductor) waitForServer(env *Env, r *request) []messenger.Effect {
	r.phase = waiting
	r.server = ""
	jitter := timekeeper.Duration(env.Rand.Int64N(int64(noServerRetryDelay)))
	r.retryAt = env.Now.Add(noServerRetryDelay + jitter)
	r.failedServers = map[identifier.VMID]bool{}
	r.failedZones = map[identifier.Zone]bool{}
	return nil
}

// sendAttempt makes p the current attempt of r and sends it.
func (c *Conductor) sendAttempt(env *Env, r *request, p plannedAttempt) []messenger.Effect {
	r.setAttempt(env.Now, p)
	c.countAttempt(r, p)
	c.observe(env, r, detector.Sent, 0, 0)
	env.Hints.Routed(env.Now, r.server, r.spec.Prefix)
	return []messenger.Effect{
		messenger.SendAttempt{
			Request:           r.spec.Request,
			Attempt:           r.attempt,
			Server:            r.server,
			Address:           r.address,
			Mode:              p.mode,
			Stream:            r.stream,
			From:              r.delivered,
			Priority:          r.service.Priority,
			Deadline:          r.spec.Deadline,
			FirstEventTimeout: c.firstEventTimeout(env, r, p.predictedFirstToken),
			NextEventTimeout:  c.nextEventTimeout(env, r),
		},
		c.timelineEntry("attempt_sent", r, fmt.Sprintf("mode=%s from=%d stream=%s", p.mode, r.delivered, r.stream)),
	}
}

func (r *request) setAttempt(now timekeeper.Time, p plannedAttempt) {
	r.attempt++
	r.localAttempts++
	r.phase = running
	r.server = p.server.VM
	r.zone = p.server.Zone
	r.address = p.server.Address
	r.stream = p.stream
	r.sentAt = now
	r.firstTokenAt = 0
	r.predictedFirstToken = p.predictedFirstToken
	r.joinsStream = p.joinsStream()
	if r.joinsStream {
		r.predictedFirstToken = 0
	}
	r.move = moveState{}
}

// firstEventTimeout returns the timeout for the first byte.
func (c *Conductor) firstEventTimeout(env *Env, r *request, firstToken timekeeper.Duration) timekeeper.Duration {
	if r.hasOneAttempt() {
		return r.spec.Deadline.Sub(env.Now)
	}
	return detector.FirstEventTimeout(firstToken)
}

// nextEventTimeout returns the timeout between bytes.
func (c *Conductor) nextEventTimeout(env *Env, r *request) timekeeper.Duration {
	if r.hasOneAttempt() {
		return r.spec.Deadline.Sub(env.Now)
	}
	return detector.NextEventTimeout(r.predictedPerToken)
}

// hasOneAttempt reports whether r is a plain call that may not be repeated. Its
// attempt may take until the deadline: an earlier timeout would turn a slow answer
// into an unknown outcome, with no attempt left.
func (r *request) hasOneAttempt() bool { return !r.isModel() && !r.spec.Idempotent }

// countAttempt adds the attempt to its server's counts and to the counters.
func (c *Conductor) countAttempt(r *request, p plannedAttempt) {
	c.counters.Attempts++
	c.attemptsOnServer[r.server]++
	c.prefillTokens[r.server] += r.spec.PromptTokens
	switch {
	case p.joinsStream():
		c.counters.Resumed++
	case r.mayHaveRun && r.isModel():
		c.counters.RecomputedTokens += r.spec.PromptTokens + r.delivered
	}
}

// cancelAttempt ends the current attempt, if any, and cancels it on the server.
func (c *Conductor) cancelAttempt(r *request) []messenger.Effect {
	return c.stopAttempt(r, true)
}

// detachAttempt ends the current attempt, if any, but leaves its stream running
// for another node.
func (c *Conductor) detachAttempt(r *request) []messenger.Effect {
	return c.stopAttempt(r, false)
}

func (c *Conductor) stopAttempt(r *request, cancel bool) []messenger.Effect {
	if r.phase != running {
		return nil
	}
	c.uncountAttempt(r)
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

// uncountAttempt removes the current attempt from its server's counts.
func (c *Conductor) uncountAttempt(r *request) {
	if r.phase != running || r.server == "" {
		return
	}
	c.attemptsOnServer[r.server]--
	if r.firstTokenAt == 0 {
		c.prefillTokens[r.server] = max(0, c.prefillTokens[r.server]-r.spec.PromptTokens)
	}
	if c.attemptsOnServer[r.server] <= 0 {
		delete(c.attemptsOnServer, r.server)
		delete(c.prefillTokens, r.server)
	}
}
