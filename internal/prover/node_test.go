package prover

import (
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// node is a reducer with a fake runner.
type node struct {
	cluster     *cluster
	vm          identifier.VMID
	zone        identifier.Zone
	r           *reducer.Reducer
	answers     map[identifier.RequestID]*answer
	copies      map[identifier.RequestID]*answer
	dead        bool
	startedAt   timekeeper.Time
	exited      bool
	frozenUntil timekeeper.Time
	revision    identifier.Revision
	tails       map[identifier.LogStream]identifier.Offset
	// unconfirmed holds the answers to handovers that wait for ConfirmHandover.
	unconfirmed map[identifier.RequestID][]func()
}

// answer is an answer in progress, or a copy of one.
type answer struct {
	spec     messenger.RequestSpec
	epoch    identifier.Epoch
	root     uint64
	tokens   []token
	released int
	conn     *conn
	attempt  messenger.SendAttempt
	holder   identifier.VMID
	// successor is the target of the last handover.
	successor identifier.VMID
	blocked   bool
	paused    bool
	pushing   bool
	pushed    int
	acked     bool
	verdict   *messenger.Refusal // a zero Refusal accepts
	end       *messenger.Finish
	movedTo   identifier.VMID
	endRead   bool
	reply     bool
}

func (cl *cluster) addNode(vm identifier.VMID, z identifier.Zone, seed uint64) *node {
	n := &node{
		cluster:     cl,
		vm:          vm,
		zone:        z,
		startedAt:   cl.now,
		answers:     map[identifier.RequestID]*answer{},
		copies:      map[identifier.RequestID]*answer{},
		tails:       map[identifier.LogStream]identifier.Offset{},
		unconfirmed: map[identifier.RequestID][]func(){},
	}
	n.r = reducer.New(reducer.Config{
		Self:          vm,
		Incarnation:   identifier.Incarnation(cl.now),
		Zone:          z,
		Region:        "r",
		PeerAddress:   string(vm),
		CallerAddress: string(vm),
		Seed:          seed + uint64(len(cl.nodes)),
		LogRetention:  timekeeper.Hour,
		LoadTime:      2 * timekeeper.Second,
		Safeguards:    cl.safeguards,
	})
	cl.nodes = append(cl.nodes, n)
	n.ticks(timekeeper.Duration(len(cl.nodes)))
	for _, stream := range n.r.Streams() {
		n.tail(stream)
	}
	return n
}

// later schedules do at this node after d, or when the node resumes if it is frozen
// then. A dead node never executes it.
func (n *node) later(d timekeeper.Duration, do func()) {
	n.cluster.after(d, func() { n.whenResumed(do) })
}

func (n *node) whenResumed(do func()) {
	switch {
	case n.dead:
	case n.cluster.now < n.frozenUntil:
		n.cluster.queue.add(n.frozenUntil, func() { n.whenResumed(do) })
	default:
		do()
	}
}

func (n *node) ticks(d timekeeper.Duration) {
	n.later(d, func() {
		n.apply(messenger.Tick{})
		n.ticks(tickInterval)
	})
}

// tail follows a stream of the log by long polls. This covers reads that time out; the
// log triggers those that return new records.
func (n *node) tail(stream identifier.LogStream) {
	n.later(logPollTimeout, func() {
		n.readLog(stream)
		n.tail(stream)
	})
}

func (n *node) readLog(stream identifier.LogStream) {
	if n.cluster.log.down() {
		n.apply(messenger.LogUnavailable{Stream: stream})
		return
	}
	read := n.cluster.log.read(stream, n.tails[stream]+1)
	if count := len(read.Records); count > 0 {
		n.tails[stream] = read.Records[count-1].Offset
	}
	n.apply(read)
}

func (n *node) kill(why string) {
	if n.dead {
		return
	}
	n.dead = true
	n.cluster.recordf("DEAD %s %s", n.vm, why)
	for _, a := range n.answers {
		if a.conn != nil {
			a.conn.closed = true
		}
	}
}

func (n *node) freeze(d timekeeper.Duration) {
	n.frozenUntil = n.cluster.now.Add(d)
	n.cluster.recordf("FROZEN %s until %d", n.vm, n.frozenUntil-1_000_000)
}

// apply applies an event to the reducer and executes the effects.
func (n *node) apply(body messenger.EventBody) {
	if n.dead {
		return
	}
	effects := n.r.Apply(messenger.Event{
		At:   n.cluster.now,
		Body: body,
	})
	n.watchRevision()
	for _, e := range effects {
		if n.dead {
			return
		}
		n.whenResumed(func() { n.runStep(e) })
	}
}

// watchRevision verifies that the configuration never reverts to an older revision.
func (n *node) watchRevision() {
	c := n.r.Catalog()
	if c == nil {
		return
	}
	if c.Revision < n.revision {
		n.cluster.observed.violatef("configuration of %s reverted from %d to %d", n.vm, n.revision, c.Revision)
	}
	n.revision = c.Revision
}

// execute simulates the runner's execution of an effect.
func (n *node) execute(e messenger.Effect, mode deliveryMode) {
	switch e := e.(type) {
	case messenger.Refuse:
		n.refused(e)
	case messenger.Accept:
		n.answers[e.Request].verdict = &messenger.Refusal{}
	case messenger.Finish:
		if a := n.answers[e.Request]; a != nil {
			a.end = &e
			a.paused = false
			n.release(a)
		}
	case messenger.AnswerFrom:
		n.answerFrom(e)
	case messenger.Redirect:
		if a := n.answers[e.Request]; a != nil {
			a.movedTo = e.To
		}
	case messenger.SendAttempt:
		n.sendAttempt(e, mode)
	case messenger.StopAttempt:
		n.stopAttempt(e, mode)
	case messenger.MoveKV:
		n.moveKV(e, mode)
	case messenger.PollServer:
		n.poll(e)
	case messenger.GiveOrder:
		n.giveOrder(e, mode)
	case messenger.Hold:
		n.hold(e)
	case messenger.Unhold:
		n.unhold(e)
	case messenger.HandOver:
		n.handOver(e, mode)
	case messenger.Adopt:
		if c := n.copies[e.Request]; c != nil {
			delete(n.copies, e.Request)
			c.epoch = e.Epoch
			n.takeOwnership(c)
		}
	case messenger.ConfirmHandover:
		for _, answer := range n.unconfirmed[e.Request] {
			answer()
		}
		delete(n.unconfirmed, e.Request)
	case messenger.Forget:
		delete(n.copies, e.Request)
	case messenger.SendGossip:
		n.gossip(e, mode)
	case messenger.AppendRecord:
		n.appendRecord(e.Ticket, e.Stream, e.Data, mode)
	case messenger.AppendOutcome:
		data := claimer.OutcomeRecord(e.Account, e.Key, e.Request, e.Nonce, e.Outcome, 200, nil)
		n.appendRecord(0, e.Stream, data, mode)
	case messenger.BuyVM:
		n.buy(e, mode)
	case messenger.ReleaseVM:
		if n.cluster.now < e.NotAfter {
			n.cluster.list.release(e.VM)
		}
	case messenger.ReplyOperator:
		n.cluster.observed.verdicts[verdictKey{
			node:   n.vm,
			ticket: e.Ticket,
		}] = e.Verdict
	case messenger.FetchConfiguration:
		n.fetchConfiguration(e)
	case messenger.TimelineEntry:
		n.cluster.recordf("%s %-16s %s #%d %s %s", n.vm, e.Kind, e.Request, e.Attempt, e.VM, e.Detail)
	case messenger.Exit:
		n.exit()
	}
}

func (n *node) refused(e messenger.Refuse) {
	if a := n.answers[e.Request]; a != nil && a.verdict == nil {
		a.verdict = &e.Refusal
	}
}

// exit verifies that a planned stop left no request in flight, and ends the process
// after a delay for the callers' last polls.
func (n *node) exit() {
	n.exited = true
	for id, a := range n.answers {
		if a.end == nil && a.movedTo == "" && a.verdict != nil && a.verdict.Reason == "" {
			n.cluster.observed.violatef("%s stopped as planned with %s in flight", n.vm, id)
		}
	}
	n.later(timekeeper.Second, func() { n.kill("stopped as planned") })
}

// takeOwnership makes the node the owner of a copy or of a handed-over request.
func (n *node) takeOwnership(a *answer) *answer {
	a.verdict = &messenger.Refusal{}
	a.holder = ""
	a.blocked = false
	a.released = len(a.tokens)
	n.answers[a.spec.Request] = a
	return a
}

// copyOf returns the copy of an answer to send to a peer.
func (a *answer) copyOf() *answer {
	return &answer{
		spec:    a.spec,
		epoch:   a.epoch,
		root:    a.root,
		tokens:  append([]token(nil), a.tokens...),
		attempt: a.attempt,
	}
}

// submit accepts a request from a caller, like Submit of the runner.
func (n *node) submit(spec messenger.RequestSpec) {
	if a := n.answers[spec.Request]; a != nil && !mayRestart(a) {
		return
	}
	n.answers[spec.Request] = &answer{
		spec: spec,
		root: promptHash(spec.Request),
	}
	n.apply(messenger.RequestReceived{Spec: spec})
}

func mayRestart(a *answer) bool {
	if a.verdict != nil && a.verdict.Reason != "" {
		return true
	}
	return a.end != nil && (a.end.Outcome == messenger.NotRun || a.spec.Idempotent && a.end.Outcome != messenger.Done)
}

func (n *node) appendRecord(t identifier.Ticket, stream identifier.LogStream, data []byte, mode deliveryMode) {
	if mode == loseRequest {
		return
	}
	n.cluster.log.append(n, stream, data, func(ok bool) {
		if mode == loseAnswer {
			return
		}
		n.apply(messenger.AppendEnded{
			Ticket: t,
			Stream: stream,
			OK:     ok,
		})
	})
}

func (n *node) gossip(e messenger.SendGossip, mode deliveryMode) {
	to := n.cluster.node(e.Peer)
	if to == nil || mode == loseRequest || !n.cluster.linkUp(string(n.vm), string(to.vm)) {
		return
	}
	for _, d := range n.cluster.gossipDelays() {
		to.later(d, func() {
			to.apply(messenger.GossipReceived{
				From: n.vm,
				Data: e.Data,
			})
		})
	}
}

// gossipDelays returns the delay of each delivery of a message; there may be none, one
// or two.
func (cl *cluster) gossipDelays() []timekeeper.Duration {
	late := 2 * timekeeper.Second
	if cl.now < cl.gossipFaultyUntil {
		return [][]timekeeper.Duration{{}, {late}, {networkDelay, late}, {networkDelay}}[cl.rng.IntN(4)]
	}
	return []timekeeper.Duration{networkDelay}
}

func (n *node) fetchConfiguration(e messenger.FetchConfiguration) {
	to := n.cluster.node(e.Peer)
	var data []byte
	n.cluster.rpc(n, to, deliver, func() { data, _ = to.r.ExportConfiguration() }, func(ok bool) {
		if ok && data != nil {
			n.apply(messenger.ConfigurationReceived{
				From: e.Peer,
				Data: data,
			})
		}
	})
}

func (n *node) buy(e messenger.BuyVM, mode deliveryMode) {
	if n.cluster.now >= e.NotAfter || mode == loseRequest {
		n.apply(messenger.BuyEnded{
			Ticket:    e.Ticket,
			Ambiguous: true,
		})
		return
	}
	vm, ok := n.cluster.list.buy(e)
	n.later(50*timekeeper.Millisecond, func() {
		n.apply(messenger.BuyEnded{
			Ticket:    e.Ticket,
			VM:        vm,
			Refused:   !ok,
			Ambiguous: mode == loseAnswer,
		})
	})
}

func (n *node) giveOrder(e messenger.GiveOrder, mode deliveryMode) {
	s := n.cluster.server(e.Server)
	sent := n.cluster.now < e.NotAfter && mode != loseRequest && s != nil && !s.dead && n.cluster.linkUp(string(n.vm), string(s.vm))
	stale := sent && s.order(e.Order)
	n.later(600*timekeeper.Millisecond, func() {
		n.apply(messenger.OrderEnded{
			Ticket: e.Ticket,
			Server: e.Server,
			OK:     sent && !stale && mode != loseAnswer,
			Stale:  stale,
		})
	})
}

func (n *node) poll(e messenger.PollServer) {
	s := n.cluster.server(e.Server)
	unreachable := s == nil || s.dead || s.frozen() || !n.cluster.linkUp(string(n.vm), string(s.vm)) || !n.cluster.linkUp(string(s.vm), string(n.vm))
	if unreachable {
		n.later(300*timekeeper.Millisecond, func() { n.apply(messenger.LoadMissed{Server: e.Server}) })
		return
	}
	load := s.load()
	n.later(2*networkDelay, func() {
		n.apply(messenger.LoadReported{
			Server: e.Server,
			Load:   load,
		})
	})
}

func (n *node) String() string { return fmt.Sprintf("%s(%s)", n.vm, n.zone) }
