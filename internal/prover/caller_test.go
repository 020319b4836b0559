package prover

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	callerPoll    = 50 * timekeeper.Millisecond
	callerSilence = 3 * timekeeper.Second
	callerPatient = 65 * timekeeper.Second
)

// caller sends one request and stays with it: through refusals that say when
// to come back, broken connections and moves.
type caller struct {
	w       *world
	account identifier.AccountID
	name    string
	service identifier.ServiceName
	key     identifier.IdempotencyKey
	spec    messenger.RequestSpec
	began   timekeeper.Time
	at      *node
	tries   int
	// heard is when the node last answered; a node that says nothing for
	// callerSilence is left.
	heard    timekeeper.Time
	accepted timekeeper.Time
	got      []token
	reply    bool
	// silence is how long the caller stays with a node that says nothing.
	silence timekeeper.Duration
	// fresh is when the caller last got something new.
	fresh       timekeeper.Time
	longestWait timekeeper.Duration
	// answers lists all outcomes that the caller was told, in order.
	told []told
	done bool
	// cancelled tells that the caller gave the request up.
	cancelled bool
	lost      int
}

// told is one final answer that a caller was given.
type told struct {
	at      timekeeper.Time
	node    identifier.VMID
	outcome messenger.Outcome
	reason  messenger.Reason
}

// call makes a caller that sends its request to a node now.
func (w *world) call(name string, service identifier.ServiceName, key identifier.IdempotencyKey, at identifier.VMID) *caller {
	return w.callFor("agent", name, service, key, at)
}

func (w *world) callFor(account identifier.AccountID, name string, service identifier.ServiceName, key identifier.IdempotencyKey, at identifier.VMID) *caller {
	c := &caller{
		account: account,
		w:       w,
		name:    name,
		service: service,
		key:     key,
		began:   w.now,
		silence: callerSilence,
	}
	w.callers = append(w.callers, c)
	c.submit(w.node(at))
	return c
}

func (c *caller) submit(n *node) {
	c.tries++
	c.at = n
	c.heard = c.w.now
	c.spec = c.newSpec(n)
	spec := c.spec
	if !n.dead {
		n.later(hop, func() { n.submit(spec) })
	}
	c.follow()
}

// newSpec names the request: by its key, or freshly.
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
		Received:     c.w.now,
		Deadline:     c.w.now.Add(service.Deadline),
		PromptTokens: 400,
		MaxTokens:    service.MaxTokens,
		Prefix:       []identifier.PrefixHash{7, 8, 9},
	}
}

// service returns a service as the node knows it. Before its first
// configuration it knows none, and refuses.
func (n *node) service(name identifier.ServiceName) catalog.Service {
	if c := n.r.Catalog(); c != nil {
		return c.Services[name]
	}
	return catalog.Service{}
}

// follow looks at the answer again and again until it has ended.
func (c *caller) follow() {
	tries := c.tries
	c.w.after(callerPoll, func() {
		if !c.done && c.tries == tries {
			c.look()
		}
	})
}

func (c *caller) look() {
	n := c.at
	if n.dead {
		c.cutOff("connection reset")
		return
	}
	if c.w.now < n.frozenTil {
		if c.w.now.Sub(c.heard) > c.silence {
			c.cutOff("silence")
			return
		}
		c.follow()
		return
	}
	c.heard = c.w.now
	a := n.answers[c.spec.Request]
	if a == nil {
		c.follow()
		return
	}
	c.read(n, a)
}

func (c *caller) read(n *node, a *answer) {
	if a.verdict == nil {
		c.follow()
		return
	}
	if a.verdict.Reason != "" {
		c.ended(n, a.verdict.Outcome, a.verdict.Reason, a.verdict.RetryAfter)
		return
	}
	if c.accepted == 0 {
		c.accepted = c.w.now
		c.fresh = c.w.now
	}
	if c.diverges(a) {
		c.cutOff("another answer")
		return
	}
	if a.released > len(c.got) {
		c.got = append(c.got, a.tokens[len(c.got):a.released]...)
		c.longestWait = max(c.longestWait, c.w.now.Sub(c.fresh))
		c.fresh = c.w.now
	}
	switch {
	case a.movedTo != "":
		c.reattach(n.w.node(a.movedTo))
	case a.end != nil && a.released == len(a.tokens):
		a.seen = true
		c.reply = a.reply
		c.ended(n, a.end.Outcome, a.end.Reason, a.end.RetryAfter)
	default:
		c.follow()
	}
}

// diverges reports whether the node's answer does not go on from what the
// caller has: the event id that the caller resumes from carries a digest.
func (c *caller) diverges(a *answer) bool {
	k := len(c.got)
	return k > 0 && len(a.tokens) >= k && a.tokens[k-1] != c.got[k-1]
}

// ended takes a final answer, and comes back if it says so or if the answer
// leaves the caller without a result that it may ask for again.
func (c *caller) ended(n *node, o messenger.Outcome, reason messenger.Reason, after timekeeper.Duration) {
	c.told = append(c.told, told{
		at:      c.w.now,
		node:    n.vm,
		outcome: o,
		reason:  reason,
	})
	c.w.tell("%s was told %s (%s) by %s", c.name, o, reason, n.vm)
	again := !c.cancelled && o != messenger.Done && c.mayRepeat(o) && c.w.now.Before(c.repeatBy())
	if !again {
		c.done = true
		return
	}
	c.got = nil
	c.later(max(after, 200*timekeeper.Millisecond), func() { c.submit(c.another()) })
}

// repeatBy is when the caller stops sending its request again. A key is
// remembered for its window only, so that it is repeated well within that,
// counted from the first time that anybody sent it.
func (c *caller) repeatBy() timekeeper.Time {
	by := c.began.Add(callerPatient)
	if c.key == "" {
		return by
	}
	window := c.w.nodes[0].service(c.service).KeyWindow - 8*timekeeper.Second
	for _, o := range c.w.callers {
		if o.key == c.key && o.account == c.account && window > 0 {
			by = min(by, o.began.Add(window))
		}
	}
	return by
}

// mayRepeat reports whether the caller may send the request once more: a
// booking without a key only where it did not run.
func (c *caller) mayRepeat(o messenger.Outcome) bool {
	idempotent := c.spec.Idempotent
	return idempotent || o == messenger.NotRun || c.key != "" && o != messenger.Failed
}

func (c *caller) later(d timekeeper.Duration, do func()) {
	tries := c.tries
	c.w.after(d, func() {
		if !c.done && c.tries == tries {
			do()
		}
	})
}

// another picks the next node to use, as the address list would name it.
func (c *caller) another() *node {
	for _, n := range c.w.nodes {
		if n.dead || n.exited || c.w.now < n.frozenTil || n == c.at && c.lost > 0 {
			continue
		}
		for _, a := range n.r.Addresses(c.w.now, "agent") {
			if m := c.w.node(a.VM); m != nil && !m.dead && m != c.at && c.w.now >= m.frozenTil {
				return m
			}
		}
		return n
	}
	return c.at
}

// cutOff goes on after the connection to a node was lost: it asks the others
// for the request, and sends it again only where that is allowed.
func (c *caller) cutOff(why string) {
	c.w.tell("%s lost %s: %s", c.name, c.at.vm, why)
	c.lost++
	c.locate(0)
}

// locate asks one node after the other for the request by its id.
func (c *caller) locate(i int) {
	if c.w.now.Sub(c.began) > callerPatient {
		c.done = true
		return
	}
	if i >= 4*len(c.w.nodes) {
		c.resend()
		return
	}
	n := c.w.nodes[i%len(c.w.nodes)]
	if n.dead || c.w.now < n.frozenTil {
		c.later(100*timekeeper.Millisecond, func() { c.locate(i + 1) })
		return
	}
	if a := n.answers[c.spec.Request]; a != nil && a.verdict != nil && a.verdict.Reason == "" && !c.diverges(a) && !n.w.node(n.vm).moved(a) {
		c.reattach(n)
		return
	}
	c.later(400*timekeeper.Millisecond, func() { c.locate(i + 1) })
}

func (c *caller) resend() {
	switch {
	case c.cancelled:
		c.done = true
	case c.spec.Long && c.accepted != 0:
		c.locate(0) // It is owed: nothing but the answer will do.
	case c.spec.Idempotent || c.key != "":
		c.got = nil
		c.submit(c.another())
	default:
		c.done = true
	}
}

// moved reports whether the node knows only that another has the request, and
// that one is dead.
func (n *node) moved(a *answer) bool {
	return a.movedTo != "" && n.w.node(a.movedTo).dead
}

func (c *caller) reattach(n *node) {
	if n == nil {
		c.cutOff("moved to nowhere")
		return
	}
	c.at = n
	c.heard = c.w.now
	c.tries++
	c.follow()
}
