package prover

import (
	"fmt"
	"iter"
	"reflect"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// step identifies an effect by its node, its kind, and its number among the effects
// of that kind and node since the start of the scenario.
type step struct {
	node  identifier.VMID
	kind  string
	count int
}

func (s step) String() string { return fmt.Sprintf("%s.%s.%d", s.node, s.kind, s.count) }

// cell is a fault to inject at a step.
type cell struct {
	step  step
	fault fault
}

// deliveryMode determines whether the messages of an effect are delivered.
type deliveryMode int

const (
	deliver deliveryMode = iota
	loseRequest
	loseAnswer
)

// fault is a row of the table of faults.
type fault struct {
	name string
	// killsNode is set if the fault kills a node, or makes it unavailable past all
	// deadlines, without notice.
	killsNode bool
	// inject applies the fault immediately before the effect, and returns how to
	// execute the effect.
	inject func(cl *cluster, n *node, e messenger.Effect) injection
}

// injection describes how to execute the effect at which a fault is injected.
type injection struct {
	mode  deliveryMode
	skip  bool
	twice bool
	delay timekeeper.Duration
	// onResume executes the effect when the node resumes.
	onResume bool
	// then is called after the effect.
	then func()
}

const (
	freezeTime    = 9 * timekeeper.Second
	cutTime       = 7 * timekeeper.Second
	logOutageTime = 6 * timekeeper.Second
	staleListTime = 8 * timekeeper.Second
	noticeTime    = 5 * timekeeper.Second
)

// stepKind returns the kind of an effect, and whether it counts as a step. Load polls
// and timeline entries do not.
func stepKind(e messenger.Effect) (string, bool) {
	name := reflect.TypeOf(e).Name()
	switch e := e.(type) {
	case messenger.TimelineEntry, messenger.PollServer:
		return "", false
	case messenger.AppendRecord:
		stream, _, _ := strings.Cut(string(e.Stream), "-")
		return name + "/" + stream, true
	}
	return name, true
}

// runStep executes an effect, with the fault that is planned for its step, if any.
func (n *node) runStep(e messenger.Effect) {
	cl := n.cluster
	kind, ok := stepKind(e)
	if !ok || cl.stepsFrom == 0 {
		n.execute(e, deliver)
		return
	}
	key := step{
		node: n.vm,
		kind: kind,
	}
	cl.stepCounts[key]++
	key.count = cl.stepCounts[key]
	cl.steps = append(cl.steps, key)
	for _, c := range cl.plannedFaults {
		if c.step != key {
			continue
		}
		cl.faultsInjected++
		cl.recordf("FAULT %s at %s", c.fault.name, key)
		n.applyInjection(e, c.fault.inject(cl, n, e))
		return
	}
	n.execute(e, deliver)
}

func (n *node) applyInjection(e messenger.Effect, s injection) {
	switch {
	case s.skip:
	case s.onResume:
		n.whenResumed(func() { n.execute(e, s.mode) })
	case s.delay > 0:
		n.later(s.delay, func() { n.execute(e, s.mode) })
	default:
		n.execute(e, s.mode)
		// A cloud API that ignores client tokens would buy twice, and no layer
		// repeats a POST request on its own.
		if _, buys := e.(messenger.BuyVM); s.twice && (!buys || !n.cluster.list.ignoresClientTokens) {
			n.execute(e, s.mode)
		}
	}
	if s.then != nil {
		s.then()
	}
}

// targetOf returns the VM that receives an effect's message, if any.
func targetOf(e messenger.Effect) identifier.VMID {
	switch e := e.(type) {
	case messenger.SendAttempt:
		return e.Server
	case messenger.StopAttempt:
		return e.Server
	case messenger.MoveKV:
		return e.To
	case messenger.GiveOrder:
		return e.Server
	case messenger.Hold:
		return e.Holder
	case messenger.Unhold:
		return e.Holder
	case messenger.HandOver:
		return e.Successor
	case messenger.Redirect:
		return e.To
	}
	return ""
}

// requestOf returns the request of an effect, if any.
func requestOf(e messenger.Effect) identifier.RequestID {
	v := reflect.ValueOf(e).FieldByName("Request")
	if !v.IsValid() {
		return ""
	}
	return identifier.RequestID(v.String())
}

// linkEnds returns the VMs that a network partition at this step separates from the
// node: the effect's target, or all other nodes if it has none.
func linkEnds(cl *cluster, n *node, e messenger.Effect) []string {
	if target := targetOf(e); target != "" {
		return []string{string(target)}
	}
	var out []string
	for _, o := range cl.nodes {
		if o != n {
			out = append(out, string(o.vm))
		}
	}
	return out
}

func cutLinks(out, in bool) func(cl *cluster, n *node, e messenger.Effect) injection {
	return func(cl *cluster, n *node, e messenger.Effect) injection {
		ends := linkEnds(cl, n, e)
		for _, end := range ends {
			if out {
				cl.cutLink(string(n.vm), end)
			}
			if in {
				cl.cutLink(end, string(n.vm))
			}
		}
		cl.after(cutTime, func() {
			for _, end := range ends {
				cl.restoreLink(string(n.vm), end)
				cl.restoreLink(end, string(n.vm))
			}
		})
		return injection{}
	}
}

var faults = []fault{
	{
		name:      "killed before",
		killsNode: true,
		inject: func(_ *cluster, n *node, _ messenger.Effect) injection {
			n.kill("fault")
			return injection{skip: true}
		},
	},
	{
		name:      "killed after",
		killsNode: true,
		inject: func(_ *cluster, n *node, _ messenger.Effect) injection {
			return injection{then: func() { n.kill("fault") }}
		},
	},
	{
		name: "frozen before",
		inject: func(_ *cluster, n *node, _ messenger.Effect) injection {
			n.freeze(freezeTime)
			return injection{onResume: true}
		},
	},
	{
		name: "frozen after",
		inject: func(_ *cluster, n *node, _ messenger.Effect) injection {
			return injection{then: func() { n.freeze(freezeTime) }}
		},
	},
	{
		name:   "link cut",
		inject: cutLinks(true, true),
	},
	{
		name:   "link cut out",
		inject: cutLinks(true, false),
	},
	{
		name:   "link cut in",
		inject: cutLinks(false, true),
	},
	{
		name: "silent connections",
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			return injection{then: func() { n.silenceConnections() }}
		},
	},
	{
		name:   "request lost",
		inject: func(*cluster, *node, messenger.Effect) injection { return injection{mode: loseRequest} },
	},
	{
		name:   "answer lost",
		inject: func(*cluster, *node, messenger.Effect) injection { return injection{mode: loseAnswer} },
	},
	{
		name:   "late",
		inject: func(_ *cluster, _ *node, e messenger.Effect) injection { return delayBy(e, 3*timekeeper.Second) },
	},
	{
		name:   "repeated",
		inject: func(*cluster, *node, messenger.Effect) injection { return injection{twice: true} },
	},
	{
		name:   "crossed",
		inject: injectStrayMessages,
	},
	{
		name: "log down",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.log.downUntil = cl.now.Add(logOutageTime)
			return injection{}
		},
	},
	{
		name: "log slow",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.log.slowUntil = cl.now.Add(logOutageTime)
			return injection{}
		},
	},
	{
		name: "log lies",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.log.lieNext = 3
			return injection{}
		},
	},
	{
		name: "log mute",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.log.muteNext = 3
			return injection{}
		},
	},
	{
		name: "list stale",
		inject: func(cl *cluster, _ *node, e messenger.Effect) injection {
			cl.list.staleUntil = cl.now.Add(staleListTime)
			cl.list.hiddenVM = "e2"
			if s := cl.server(targetOf(e)); s != nil {
				cl.list.hiddenVM = s.vm
			}
			return injection{}
		},
	},
	{
		name: "replacement refused",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.list.refusesPurchases = true
			return injection{}
		},
	},
	{
		name: "notice to server",
		inject: func(cl *cluster, _ *node, e messenger.Effect) injection {
			if s := cl.server(targetOf(e)); s != nil {
				cl.notice(noticeTime, s.vm)
			} else {
				cl.notice(noticeTime, "e1", "p1")
			}
			return injection{}
		},
	},
	{
		name: "notice to node",
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			cl.notice(noticeTime, n.vm)
			return injection{}
		},
	},
	{
		name:      "notice, then death",
		killsNode: true,
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			cl.notice(noticeTime, n.vm)
			cl.after(timekeeper.Second, func() { n.kill("died partway") })
			return injection{}
		},
	},
	{
		name: "notice to zone",
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			cl.notice(noticeTime, cl.zoneVMs(n.zone)...)
			return injection{}
		},
	},
	{
		name: "zone wave, log out",
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			cl.log.downUntil = cl.now.Add(3 * logOutageTime)
			cl.notice(noticeTime, cl.zoneVMs(n.zone)...)
			return injection{}
		},
	},
	{
		name: "two zones, one after the other",
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			cl.notice(noticeTime, cl.zoneVMs(n.zone)...)
			cl.after(2*timekeeper.Second, func() { cl.notice(noticeTime, cl.zoneVMs(nextZone(n.zone))...) })
			return injection{}
		},
	},
	{
		name: "server killed",
		inject: func(cl *cluster, _ *node, e messenger.Effect) injection {
			return injection{then: func() {
				if s := cl.server(targetOf(e)); s != nil {
					cl.after(200*timekeeper.Millisecond, s.kill)
				}
			}}
		},
	},
	{
		name: "server killed at work",
		inject: func(cl *cluster, _ *node, e messenger.Effect) injection {
			return injection{then: func() {
				if s := cl.server(targetOf(e)); s != nil {
					cl.after(callTime/2, s.kill)
				}
			}}
		},
	},
	{
		name:      "cut off, then server and node die",
		killsNode: true,
		inject:    isolateAndKill,
	},
	{
		name: "server frozen",
		inject: func(cl *cluster, _ *node, e messenger.Effect) injection {
			if s := cl.server(targetOf(e)); s != nil {
				s.frozenUntil = cl.now.Add(freezeTime)
			}
			return injection{}
		},
	},
	{
		name: "servers overloaded",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			for _, s := range cl.servers {
				s.overloadedUntil = cl.now.Add(2 * timekeeper.Second)
			}
			return injection{}
		},
	},
	{
		name: "server stops as planned",
		inject: func(cl *cluster, _ *node, e messenger.Effect) injection {
			if s := cl.server(targetOf(e)); s != nil {
				cl.list.stopPlanned(s.vm)
			} else {
				cl.list.stopPlanned("e1")
			}
			return injection{}
		},
	},
	{
		name: "gossip lost, late, repeated",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.gossipFaultyUntil = cl.now.Add(8 * timekeeper.Second)
			return injection{}
		},
	},
	{
		name: "new node",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.addNode("n9", "d", 9)
			return injection{}
		},
	},
	{
		name: "new node, log out",
		inject: func(cl *cluster, _ *node, _ messenger.Effect) injection {
			cl.log.downUntil = cl.now.Add(3 * logOutageTime)
			cl.addNode("n9", "d", 9)
			return injection{}
		},
	},
	{
		name:   "caller cancels",
		inject: cancelCallers,
	},
	{
		name:      "frozen past the deadline",
		killsNode: true,
		inject: func(cl *cluster, n *node, e messenger.Effect) injection {
			if a := n.answers[requestOf(e)]; a != nil {
				n.freeze(a.spec.Deadline.Sub(cl.now) + timekeeper.Second)
			}
			return injection{onResume: true}
		},
	},
	{
		name: "late on the wire",
		inject: func(cl *cluster, n *node, e messenger.Effect) injection {
			if o, ok := e.(messenger.GiveOrder); ok {
				s := cl.server(o.Server)
				cl.after(15*timekeeper.Second, func() { s.order(o.Order) })
				return injection{mode: loseRequest}
			}
			return delayBy(e, 15*timekeeper.Second)
		},
	},
	{
		name: "planned stop",
		inject: func(cl *cluster, n *node, _ messenger.Effect) injection {
			return injection{then: func() { n.stopPlanned() }}
		},
	},
}

// combineFaults returns a fault that injects both a and b at one step.
func combineFaults(a, b fault) fault {
	return fault{
		name: a.name + " + " + b.name,
		inject: func(cl *cluster, n *node, e messenger.Effect) injection {
			first, second := a.inject(cl, n, e), b.inject(cl, n, e)
			return injection{
				mode:     max(first.mode, second.mode),
				skip:     first.skip || second.skip,
				twice:    first.twice || second.twice,
				delay:    max(first.delay, second.delay),
				onResume: first.onResume || second.onResume,
				then: func() {
					for _, s := range []injection{first, second} {
						if s.then != nil {
							s.then()
						}
					}
				},
			}
		},
	}
}

// cancelCallers makes all callers of the effect's request cancel it.
func cancelCallers(cl *cluster, n *node, e messenger.Effect) injection {
	id := requestOf(e)
	return injection{then: func() {
		for _, c := range cl.callers {
			if c.spec.Request == id {
				c.cancelled = true
			}
		}
		n.later(networkDelay, func() { n.apply(messenger.RequestCancelled{Request: id}) })
	}}
}

// delayBy delays an effect that sends a message. Effects within the process are
// executed in order. A Hold only selects the holder, and the subsequent push is not
// delayed either.
func delayBy(e messenger.Effect, d timekeeper.Duration) injection {
	switch e.(type) {
	case messenger.Refuse, messenger.Accept, messenger.Finish, messenger.Redirect, messenger.Adopt,
		messenger.Forget, messenger.Hold, messenger.Exit, messenger.ReplyOperator:
		return injection{}
	}
	return injection{delay: d}
}

func nextZone(z identifier.Zone) identifier.Zone {
	zones := "abcd"
	i := strings.Index(zones, string(z))
	return identifier.Zone(zones[(i+1)%len(zones)])
}

// isolateAndKill partitions a node from all other nodes, kills the servers of its
// streams, so that it resumes them elsewhere, and finally kills the node.
func isolateAndKill(cl *cluster, n *node, _ messenger.Effect) injection {
	for _, end := range linkEnds(cl, n, messenger.Exit{}) {
		cl.cutLink(string(n.vm), end)
		cl.cutLink(end, string(n.vm))
	}
	return injection{then: func() {
		cl.after(timekeeper.Second, func() {
			for _, a := range n.answers {
				if s := cl.server(a.attempt.Server); s != nil && a.end == nil {
					s.kill()
				}
			}
		})
		cl.after(8*timekeeper.Second, func() { n.kill("cut off") })
	}}
}

// silenceConnections stops all traffic on the node's open connections without closing
// them. New connections work.
func (n *node) silenceConnections() {
	for _, s := range n.cluster.servers {
		for _, c := range s.conns {
			if c.n == n {
				c.silent = true
			}
		}
	}
}

func (n *node) stopPlanned() {
	n.later(networkDelay, func() {
		n.apply(messenger.DrainStarted{Deadline: n.cluster.now.Add(20 * timekeeper.Second)})
	})
}

// injectStrayMessages delivers messages to the node that it must ignore: those of
// attempts other than the current one, of this and of other requests, and those of
// peers other than the current holder or successor.
func injectStrayMessages(cl *cluster, n *node, e messenger.Effect) injection {
	r := requestOf(e)
	if r == "" {
		return injection{}
	}
	return injection{then: func() {
		for _, d := range []timekeeper.Duration{networkDelay, 300 * timekeeper.Millisecond, 2 * timekeeper.Second, 6 * timekeeper.Second} {
			n.later(d, func() { n.applyStrayMessages(r) })
		}
	}}
}

func (n *node) applyStrayMessages(r identifier.RequestID) {
	a := n.answers[r]
	if a == nil {
		return
	}
	for attempt := range n.cluster.otherAttempts(a.attempt.Attempt) {
		for _, body := range strayAttemptEvents(r, attempt) {
			n.apply(body)
		}
	}
	for _, peer := range n.cluster.nodes {
		for _, body := range strayPeerEvents(r, peer.vm) {
			if peer.vm != a.holder && peer.vm != a.successor {
				n.apply(body)
			}
		}
	}
}

// otherAttempts yields the numbers before and after the current attempt and those of
// all attempts so far, except the current one.
func (cl *cluster) otherAttempts(current identifier.AttemptNumber) iter.Seq[identifier.AttemptNumber] {
	return func(yield func(identifier.AttemptNumber) bool) {
		for _, attempt := range append([]identifier.AttemptNumber{current - 1, current + 1}, cl.attempts...) {
			if attempt != current && !yield(attempt) {
				return
			}
		}
	}
}

func strayAttemptEvents(r identifier.RequestID, attempt identifier.AttemptNumber) []messenger.EventBody {
	return []messenger.EventBody{
		messenger.AttemptStarted{
			Request: r,
			Attempt: attempt,
		},
		messenger.AttemptProgress{
			Request:   r,
			Attempt:   attempt,
			Delivered: 150,
		},
		messenger.KVMoved{
			Request: r,
			Attempt: attempt,
			To:      "e3",
			OK:      true,
		},
		messenger.AttemptEnded{
			Request: r,
			Attempt: attempt,
			Result:  messenger.AttemptFailed,
		},
		messenger.AttemptEnded{
			Request:   r,
			Attempt:   attempt,
			Result:    messenger.AttemptComplete,
			Delivered: 200,
		},
	}
}

func strayPeerEvents(r identifier.RequestID, peer identifier.VMID) []messenger.EventBody {
	return []messenger.EventBody{
		messenger.HoldAcked{
			Request: r,
			Holder:  peer,
		},
		messenger.HoldRefused{
			Request: r,
			Holder:  peer,
		},
		messenger.HoldFailed{
			Request: r,
			Holder:  peer,
		},
		messenger.HandoverFailed{
			Request:   r,
			Successor: peer,
		},
		messenger.HandoverAcked{
			Request:   r,
			Successor: peer,
		},
	}
}
