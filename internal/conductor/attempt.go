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
	// noServerPause is the wait before servers are looked for again; it is
	// jittered by up to its own length.
	noServerPause = 200 * timekeeper.Millisecond
	// abandonedAfter is how long a short request runs on without a caller.
	abandonedAfter = 10 * timekeeper.Second
)

// rejoinWait is the first answer's predicted time when a stream is rejoined.
// The server only has to look it up, but the stream may still wait in its
// queue; taken for silent then, it would be computed again elsewhere.
const rejoinWait = 2500 * timekeeper.Millisecond

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
