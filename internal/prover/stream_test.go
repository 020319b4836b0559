package prover

import (
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// sendAttempt opens a connection to a server and sends an attempt.
func (n *node) sendAttempt(e messenger.SendAttempt, mode deliveryMode) {
	a := n.answers[e.Request]
	if a == nil || a.attempt.Attempt >= e.Attempt {
		return // An attempt is not sent twice.
	}
	if a.conn != nil {
		a.conn.closed = true
	}
	a.attempt = e
	n.cluster.attempts = append(n.cluster.attempts, e.Attempt)
	c := &conn{
		n:            n,
		effect:       e,
		s:            n.cluster.server(e.Server),
		sent:         len(a.tokens),
		lastReceived: n.cluster.now,
	}
	a.conn = c
	if c.s == nil || c.s.dead {
		n.later(networkDelay, func() { n.attemptOver(c, messenger.AttemptNotSent) })
		return
	}
	if !n.cluster.linkUp(string(n.vm), string(c.s.vm)) {
		n.later(500*timekeeper.Millisecond, func() { n.attemptOver(c, messenger.AttemptNotSent) })
		return
	}
	n.watchSilence(c)
	if mode == loseRequest {
		return
	}
	n.cluster.after(networkDelay, func() { c.arrive(a, mode) })
}

// arrive simulates the arrival of the attempt at the server.
func (c *conn) arrive(a *answer, mode deliveryMode) {
	s := c.s
	if s.dead {
		c.closeBroken()
		return
	}
	if s.frozen() {
		s.cluster.queue.add(s.frozenUntil, func() { c.arrive(a, mode) })
		return
	}
	var refused messenger.AttemptResult
	if s.pool == "portal" {
		refused = c.call(a, mode)
	} else {
		c.stream, refused = s.start(c.effect, a.root, a.tokens[:min(c.sent, len(a.tokens))], int(a.spec.MaxTokens))
	}
	if refused != "" {
		c.n.later(networkDelay, func() { c.n.attemptOver(c, refused) })
		return
	}
	if mode == loseAnswer {
		c.silent = true
		return
	}
	s.conns = append(s.conns, c)
	c.n.later(networkDelay, func() { c.n.started(c) })
}

// call runs a plain call at the server and delivers the reply after callTime.
func (c *conn) call(a *answer, mode deliveryMode) messenger.AttemptResult {
	if refused := c.s.call(c.effect, runKey(a.spec)); refused != "" {
		return refused
	}
	c.s.cluster.after(callTime, func() {
		if c.s.dead || c.silent || mode == loseAnswer || !c.s.cluster.linkUp(string(c.s.vm), string(c.n.vm)) {
			return
		}
		c.n.later(networkDelay, func() {
			if !c.closed {
				a.reply = true
				c.n.attemptOver(c, messenger.AttemptComplete)
			}
		})
	})
	return ""
}

// runKey returns the identity of a run: the account and key, or the request id if there
// is no key.
func runKey(s messenger.RequestSpec) string {
	if s.Key != "" {
		return string(s.Account) + "/" + string(s.Key)
	}
	return string(s.Request)
}

func (n *node) started(c *conn) {
	if c.closed {
		return
	}
	c.lastReceived = n.cluster.now
	c.started = true
	n.apply(messenger.AttemptStarted{
		Request: c.effect.Request,
		Attempt: c.effect.Attempt,
	})
}

// received appends tokens of a stream to the answer. Like the runner, it accepts only
// the next tokens of the current attempt.
func (n *node) received(c *conn, from int, newTokens []token, ended bool) {
	a := n.answers[c.effect.Request]
	if c.closed || a == nil || a.conn != c {
		return
	}
	c.lastReceived = n.cluster.now
	for i, t := range newTokens {
		if from+i == len(a.tokens) {
			a.tokens = append(a.tokens, t)
		}
	}
	n.release(a)
	n.push(a)
	if len(newTokens) > 0 {
		n.apply(messenger.AttemptProgress{
			Request:   c.effect.Request,
			Attempt:   c.effect.Attempt,
			Delivered: identifier.Tokens(len(a.tokens)),
		})
	}
	if ended && a.conn == c && !c.closed {
		n.attemptOver(c, messenger.AttemptComplete)
	}
}

// release makes tokens available to callers: those that the holder has, or all if there
// is no holder.
func (n *node) release(a *answer) {
	switch {
	case a.paused:
	case a.holder != "":
		a.released = max(a.released, min(a.pushed, len(a.tokens)))
	case !a.blocked:
		a.released = len(a.tokens)
	}
}

func (n *node) attemptOver(c *conn, result messenger.AttemptResult) {
	if c.closed {
		return
	}
	c.closed = true
	a := n.answers[c.effect.Request]
	if a == nil {
		return
	}
	n.apply(messenger.AttemptEnded{
		Request:   c.effect.Request,
		Attempt:   c.effect.Attempt,
		Result:    result,
		Delivered: identifier.Tokens(len(a.tokens)),
	})
}

// watchSilence ends an attempt that exceeds its event timeouts.
func (n *node) watchSilence(c *conn) {
	n.later(200*timekeeper.Millisecond, func() {
		if c.closed {
			return
		}
		bound := c.effect.NextEventTimeout
		if c.sent == 0 || !c.started {
			bound = c.effect.FirstEventTimeout
		}
		if n.cluster.now.Sub(c.lastReceived) > bound {
			n.attemptOver(c, messenger.AttemptTimedOut)
			return
		}
		n.watchSilence(c)
	})
}

func (n *node) stopAttempt(e messenger.StopAttempt, mode deliveryMode) {
	a := n.answers[e.Request]
	if a != nil && a.conn != nil && a.conn.effect.Attempt == e.Attempt {
		a.conn.closed = true
	}
	s := n.cluster.server(e.Server)
	if e.Cancel && mode != loseRequest && s != nil && n.cluster.linkUp(string(n.vm), string(s.vm)) {
		n.cluster.after(networkDelay, func() { delete(s.streams, e.Stream) })
	}
}

// moveKV copies a stream's KV cache and its tokens to another server.
func (n *node) moveKV(e messenger.MoveKV, mode deliveryMode) {
	from, to := n.cluster.server(identifier.VMID(e.FromAddress)), n.cluster.server(e.To)
	n.cluster.after(exportTime, func() {
		ok := mode != loseRequest && from != nil && to != nil && !from.dead && !to.dead && !from.frozen() && !to.frozen()
		if ok {
			if st := from.streams[e.Stream]; st != nil {
				to.imported[e.Stream] = &stream{
					salt:   st.salt,
					tokens: append([]token(nil), st.tokens...),
				}
			}
		}
		n.later(networkDelay, func() {
			n.apply(messenger.KVMoved{
				Request: e.Request,
				Attempt: e.Attempt,
				To:      e.To,
				OK:      ok && mode != loseAnswer,
			})
		})
	})
}
