package prover

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	callerPollInterval = 50 * timekeeper.Millisecond
	callerIdleTimeout  = 3 * timekeeper.Second
	callerTimeLimit    = 65 * timekeeper.Second
)

// caller sends one request and follows it through refusals, broken connections and
// redirects until it has a final answer or gives up.
type caller struct {
	cluster   *cluster
	account   identifier.AccountID
	name      string
	service   identifier.ServiceName
	key       identifier.IdempotencyKey
	spec      messenger.RequestSpec
	startedAt timekeeper.Time
	node      *node
	tries     int
	// lastResponse is the time of the node's last response.
	lastResponse timekeeper.Time
	acceptedAt   timekeeper.Time
	tokens       []token
	replied      bool
	// idleTimeout is the time without a response after which the caller leaves the
	// node.
	idleTimeout timekeeper.Duration
	// lastNewToken is the time at which the caller last received new tokens.
	lastNewToken timekeeper.Time
	longestWait  timekeeper.Duration
	// finalAnswers holds all final answers received, in order.
	finalAnswers []finalAnswer
	done         bool
	// cancelled is set when the caller cancels the request.
	cancelled       bool
	lostConnections int
}

// finalAnswer is a final answer that a caller received.
type finalAnswer struct {
	at      timekeeper.Time
	node    identifier.VMID
	outcome messenger.Outcome
	reason  messenger.Reason
}

// call creates a caller that immediately sends its request to a node.
func (cl *cluster) call(name string, service identifier.ServiceName, key identifier.IdempotencyKey, at identifier.VMID) *caller {
	return cl.callFor("agent", name, service, key, at)
}

func (cl *cluster) callFor(account identifier.AccountID, name string, service identifier.ServiceName, key identifier.IdempotencyKey, at identifier.VMID) *caller {
	c := &caller{
		account:     account,
		cluster:     cl,
		name:        name,
		service:     service,
		key:         key,
		startedAt:   cl.now,
		idleTimeout: callerIdleTimeout,
	}
	cl.callers = append(cl.callers, c)
	c.submit(cl.node(at))
	return c
}

func (c *caller) submit(n *node) {
	c.tries++
	c.node = n
	c.lastResponse = c.cluster.now
	c.spec = c.newSpec(n)
	spec := c.spec
	if !n.dead {
		n.later(networkDelay, func() { n.submit(spec) })
	}
	c.schedulePoll()
}

// newSpec returns the request, whose id is derived from the key, or is new for each
// try if there is none.
func (c *caller) newSpec(n *node) messenger.RequestSpec {
	id := identifier.RequestID(fmt.Sprintf("%s-%d", c.name, c.tries))
	if c.key != "" {
		id = identifier.RequestID("k-" + string(c.account) + "-" + string(c.key))
	}
	service := n.service(c.service)
	return messenger.RequestSpec{
		Request:      id,
		Account:      c.account,
		Service:      c.service,
		Key:          c.key,
		Idempotent:   service.Idempotent,
		Long:         service.Long,
		EntryNode:    n.vm,
		Received:     c.cluster.now,
		Deadline:     c.cluster.now.Add(service.Deadline),
		PromptTokens: 400,
		MaxTokens:    service.MaxTokens,
		Prefix:       []identifier.PrefixHash{7, 8, 9},
	}
}

// service returns a service of the node's configuration, or the zero value if the
// node has none yet.
func (n *node) service(name identifier.ServiceName) catalog.Service {
	if c := n.r.Catalog(); c != nil {
		return c.Services[name]
	}
	return catalog.Service{}
}

// schedulePoll schedules the next poll of the current try.
func (c *caller) schedulePoll() {
	tries := c.tries
	c.cluster.after(callerPollInterval, func() {
		if !c.done && c.tries == tries {
			c.poll()
		}
	})
}

func (c *caller) poll() {
	n := c.node
	if n.dead {
		c.connectionLost("connection reset")
		return
	}
	if c.cluster.now < n.frozenUntil {
		if c.cluster.now.Sub(c.lastResponse) > c.idleTimeout {
			c.connectionLost("silence")
			return
		}
		c.schedulePoll()
		return
	}
	c.lastResponse = c.cluster.now
	a := n.answers[c.spec.Request]
	if a == nil {
		c.schedulePoll()
		return
	}
	c.read(n, a)
}

func (c *caller) read(n *node, a *answer) {
	if a.verdict == nil {
		c.schedulePoll()
		return
	}
	if a.verdict.Reason != "" {
		c.receiveFinalAnswer(n, a.verdict.Outcome, a.verdict.Reason, a.verdict.RetryAfter)
		return
	}
	if c.acceptedAt == 0 {
		c.acceptedAt = c.cluster.now
		c.lastNewToken = c.cluster.now
	}
	if c.diverges(a) {
		c.connectionLost("another answer")
		return
	}
	if a.released > len(c.tokens) {
		c.tokens = append(c.tokens, a.tokens[len(c.tokens):a.released]...)
		c.longestWait = max(c.longestWait, c.cluster.now.Sub(c.lastNewToken))
		c.lastNewToken = c.cluster.now
	}
	switch {
	case a.movedTo != "":
		c.reattach(n.cluster.node(a.movedTo))
	case a.end != nil && a.released == len(a.tokens):
		a.endRead = true
		c.replied = a.reply
		c.receiveFinalAnswer(n, a.end.Outcome, a.end.Reason, a.end.RetryAfter)
	default:
		c.schedulePoll()
	}
}

// diverges reports whether the node's answer does not continue the tokens that the
// caller has. Real callers detect this by the digest in the event id.
func (c *caller) diverges(a *answer) bool {
	received := len(c.tokens)
	return received > 0 && len(a.tokens) >= received && a.tokens[received-1] != c.tokens[received-1]
}

// receiveFinalAnswer records a final answer, and repeats the request if it has no
// result and may be repeated.
func (c *caller) receiveFinalAnswer(n *node, o messenger.Outcome, reason messenger.Reason, retryAfter timekeeper.Duration) {
	c.finalAnswers = append(c.finalAnswers, finalAnswer{
		at:      c.cluster.now,
		node:    n.vm,
		outcome: o,
		reason:  reason,
	})
	c.cluster.recordf("%s was told %s (%s) by %s", c.name, o, reason, n.vm)
	repeat := !c.cancelled && o != messenger.Done && c.mayRepeat(o) && c.cluster.now.Before(c.repeatDeadline())
	if !repeat {
		c.done = true
		return
	}
	c.tokens = nil
	c.later(max(retryAfter, 200*timekeeper.Millisecond), func() { c.submit(c.nextNode()) })
}

// repeatDeadline returns the time after which the caller does not repeat its
// request. A key is deduplicated only for its window, so repeats end well before
// the window does, counted from the first use of the key by any caller.
func (c *caller) repeatDeadline() timekeeper.Time {
	deadline := c.startedAt.Add(callerTimeLimit)
	if c.key == "" {
		return deadline
	}
	window := c.cluster.nodes[0].service(c.service).KeyWindow - 8*timekeeper.Second
	for _, o := range c.cluster.callers {
		if o.key == c.key && o.account == c.account && window > 0 {
			deadline = min(deadline, o.startedAt.Add(window))
		}
	}
	return deadline
}

// mayRepeat reports whether the caller may send the request again. A
// non-idempotent request without a key may be repeated only if it did not run.
func (c *caller) mayRepeat(o messenger.Outcome) bool {
	idempotent := c.spec.Idempotent
	return idempotent || o == messenger.NotRun || c.key != "" && o != messenger.Failed
}

func (c *caller) later(d timekeeper.Duration, do func()) {
	tries := c.tries
	c.cluster.after(d, func() {
		if !c.done && c.tries == tries {
			do()
		}
	})
}

// nextNode returns another usable node from the address list.
func (c *caller) nextNode() *node {
	for _, n := range c.cluster.nodes {
		if n.dead || n.exited || c.cluster.now < n.frozenUntil || n == c.node && c.lostConnections > 0 {
			continue
		}
		for _, a := range n.r.Addresses(c.cluster.now, "agent") {
			if m := c.cluster.node(a.VM); m != nil && !m.dead && m != c.node && c.cluster.now >= m.frozenUntil {
				return m
			}
		}
		return n
	}
	return c.node
}

// connectionLost handles a lost connection to a node: it queries the other nodes
// for the request, and sends it again only if that is allowed.
func (c *caller) connectionLost(why string) {
	c.cluster.recordf("%s lost %s: %s", c.name, c.node.vm, why)
	c.lostConnections++
	c.locate(0)
}

// locate queries one node after the other for the request by its id.
func (c *caller) locate(i int) {
	if c.cluster.now.Sub(c.startedAt) > callerTimeLimit {
		c.done = true
		return
	}
	if i >= 4*len(c.cluster.nodes) {
		c.resend()
		return
	}
	n := c.cluster.nodes[i%len(c.cluster.nodes)]
	if n.dead || c.cluster.now < n.frozenUntil {
		c.later(100*timekeeper.Millisecond, func() { c.locate(i + 1) })
		return
	}
	if a := n.answers[c.spec.Request]; a != nil && a.verdict != nil && a.verdict.Reason == "" && !c.diverges(a) && !n.cluster.node(n.vm).movedToDeadNode(a) {
		c.reattach(n)
		return
	}
	c.later(400*timekeeper.Millisecond, func() { c.locate(i + 1) })
}

func (c *caller) resend() {
	switch {
	case c.cancelled:
		c.done = true
	case c.spec.Long && c.acceptedAt != 0:
		c.locate(0) // The request was accepted, so its answer must be found.
	case c.spec.Idempotent || c.key != "":
		c.tokens = nil
		c.submit(c.nextNode())
	default:
		c.done = true
	}
}

// movedToDeadNode reports whether the node redirects the request to a dead node.
func (n *node) movedToDeadNode(a *answer) bool {
	return a.movedTo != "" && n.cluster.node(a.movedTo).dead
}

func (c *caller) reattach(n *node) {
	if n == nil {
		c.connectionLost("moved to nowhere")
		return
	}
	c.node = n
	c.lastResponse = c.cluster.now
	c.tries++
	c.schedulePoll()
}
