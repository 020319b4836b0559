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

// step names an effect: the node that is about to carry it out and which one
// of its kind it is, counted from the start of the scenario.
type step struct {
	node  identifier.VMID
	kind  string
	count int
}

func (s step) String() string { return fmt.Sprintf("%s.%s.%d", s.node, s.kind, s.count) }

// cell is one fault at one step.
type cell struct {
	step  step
	fault fault
}

// fate tells what becomes of an effect's message.
type fate int

const (
	carry fate = iota
	loseRequest
	loseAnswer
)

// fault is one row of the table of faults.
type fault struct {
	name string
	// deadly tells that a node dies of it, or is as good as dead, unannounced.
	deadly bool
	// strike does the harm right before the effect. It returns what becomes
	// of the effect itself.
	strike func(w *world, n *node, e messenger.Effect) strike
}

// strike tells what becomes of the effect that a fault met.
type strike struct {
	fate  fate
	skip  bool
	twice bool
	delay timekeeper.Duration
	// thawed carries the effect out once the node has thawed.
	thawed bool
	// then happens after the effect.
	then func()
}

const (
	frozenFor  = 9 * timekeeper.Second
	cutFor     = 7 * timekeeper.Second
	logOutFor  = 6 * timekeeper.Second
	staleFor   = 8 * timekeeper.Second
	noticeTime = 5 * timekeeper.Second
)

// watched tells which effects are steps. Periodic and local ones are not.
func watched(e messenger.Effect) (string, bool) {
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

// meet carries out an effect, with the armed fault if this is its step.
func (n *node) meet(e messenger.Effect) {
	w := n.w
	kind, ok := watched(e)
	if !ok || w.faultAt == 0 {
		n.perform(e, carry)
		return
	}
	key := step{
		node: n.vm,
		kind: kind,
	}
	w.counts[key]++
	key.count = w.counts[key]
	w.trace = append(w.trace, key)
	for _, c := range w.armed {
		if c.step != key {
			continue
		}
		w.fired++
		w.tell("FAULT %s at %s", c.fault.name, key)
		n.struck(e, c.fault.strike(w, n, e))
		return
	}
	n.perform(e, carry)
}

func (n *node) struck(e messenger.Effect, s strike) {
	switch {
	case s.skip:
	case s.thawed:
		n.whenThawed(func() { n.perform(e, s.fate) })
	case s.delay > 0:
		n.later(s.delay, func() { n.perform(e, s.fate) })
	default:
		n.perform(e, s.fate)
		// A cloud API that ignores client tokens takes each call for a new
		// one. Nothing repeats a call by itself there: it is a POST.
		if _, buys := e.(messenger.BuyVM); s.twice && (!buys || !n.w.list.tokensIgnored) {
			n.perform(e, s.fate)
		}
	}
	if s.then != nil {
		s.then()
	}
}

// aimOf returns the VM that an effect is meant for, if any.
func aimOf(e messenger.Effect) identifier.VMID {
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

// requestOf returns the request that an effect concerns, if any.
func requestOf(e messenger.Effect) identifier.RequestID {
	v := reflect.ValueOf(e).FieldByName("Request")
	if !v.IsValid() {
		return ""
	}
	return identifier.RequestID(v.String())
}

// links returns the ends that a cut at this step separates from the node: the
// effect's own aim, or all other nodes.
func links(w *world, n *node, e messenger.Effect) []string {
	if aim := aimOf(e); aim != "" {
		return []string{string(aim)}
	}
	var out []string
	for _, o := range w.nodes {
		if o != n {
			out = append(out, string(o.vm))
		}
	}
	return out
}

func cutLinks(out, in bool) func(w *world, n *node, e messenger.Effect) strike {
	return func(w *world, n *node, e messenger.Effect) strike {
		ends := links(w, n, e)
		for _, end := range ends {
			if out {
				w.cut(string(n.vm), end)
			}
			if in {
				w.cut(end, string(n.vm))
			}
		}
		w.after(cutFor, func() {
			for _, end := range ends {
				w.mend(string(n.vm), end)
				w.mend(end, string(n.vm))
			}
		})
		return strike{}
	}
}

// faults is the table of faults.
var faults = []fault{
	{
		name:   "killed before",
		deadly: true,
		strike: func(_ *world, n *node, _ messenger.Effect) strike {
			n.kill("fault")
			return strike{skip: true}
		},
	},
	{
		name:   "killed after",
		deadly: true,
		strike: func(_ *world, n *node, _ messenger.Effect) strike {
			return strike{then: func() { n.kill("fault") }}
		},
	},
	{
		name: "frozen before",
		strike: func(_ *world, n *node, _ messenger.Effect) strike {
			n.freeze(frozenFor)
			return strike{thawed: true}
		},
	},
	{
		name: "frozen after",
		strike: func(_ *world, n *node, _ messenger.Effect) strike {
			return strike{then: func() { n.freeze(frozenFor) }}
		},
	},
	{
		name:   "link cut",
		strike: cutLinks(true, true),
	},
	{
		name:   "link cut out",
		strike: cutLinks(true, false),
	},
	{
		name:   "link cut in",
		strike: cutLinks(false, true),
	},
	{
		name: "silent connections",
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			return strike{then: func() { n.silence() }}
		},
	},
	{
		name:   "request lost",
		strike: func(*world, *node, messenger.Effect) strike { return strike{fate: loseRequest} },
	},
	{
		name:   "answer lost",
		strike: func(*world, *node, messenger.Effect) strike { return strike{fate: loseAnswer} },
	},
	{
		name:   "late",
		strike: func(_ *world, _ *node, e messenger.Effect) strike { return lateBy(e, 3*timekeeper.Second) },
	},
	{
		name:   "repeated",
		strike: func(*world, *node, messenger.Effect) strike { return strike{twice: true} },
	},
	{
		name:   "crossed",
		strike: crossed,
	},
	{
		name: "log down",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.log.downTil = w.now.Add(logOutFor)
			return strike{}
		},
	},
	{
		name: "log slow",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.log.slowTil = w.now.Add(logOutFor)
			return strike{}
		},
	},
	{
		name: "log lies",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.log.lieNext = 3
			return strike{}
		},
	},
	{
		name: "log mute",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.log.muteNext = 3
			return strike{}
		},
	},
	{
		name: "list stale",
		strike: func(w *world, _ *node, e messenger.Effect) strike {
			w.list.staleTil = w.now.Add(staleFor)
			w.list.hidden = "e2"
			if s := w.server(aimOf(e)); s != nil {
				w.list.hidden = s.vm
			}
			return strike{}
		},
	},
	{
		name: "replacement refused",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.list.refuse = true
			return strike{}
		},
	},
	{
		name: "notice to server",
		strike: func(w *world, _ *node, e messenger.Effect) strike {
			if s := w.server(aimOf(e)); s != nil {
				w.notice(noticeTime, s.vm)
			} else {
				w.notice(noticeTime, "e1", "p1")
			}
			return strike{}
		},
	},
	{
		name: "notice to node",
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			w.notice(noticeTime, n.vm)
			return strike{}
		},
	},
	{
		name:   "notice, then death",
		deadly: true,
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			w.notice(noticeTime, n.vm)
			w.after(timekeeper.Second, func() { n.kill("died partway") })
			return strike{}
		},
	},
	{
		name: "notice to zone",
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			w.notice(noticeTime, w.zoneVMs(n.zone)...)
			return strike{}
		},
	},
	{
		name: "zone wave, log out",
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			w.log.downTil = w.now.Add(3 * logOutFor)
			w.notice(noticeTime, w.zoneVMs(n.zone)...)
			return strike{}
		},
	},
	{
		name: "two zones, one after the other",
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			w.notice(noticeTime, w.zoneVMs(n.zone)...)
			w.after(2*timekeeper.Second, func() { w.notice(noticeTime, w.zoneVMs(nextZone(n.zone))...) })
			return strike{}
		},
	},
	{
		name: "server killed",
		strike: func(w *world, _ *node, e messenger.Effect) strike {
			return strike{then: func() {
				if s := w.server(aimOf(e)); s != nil {
					w.after(200*timekeeper.Millisecond, s.kill)
				}
			}}
		},
	},
	{
		name: "server killed at work",
		strike: func(w *world, _ *node, e messenger.Effect) strike {
			return strike{then: func() {
				if s := w.server(aimOf(e)); s != nil {
					w.after(callTime/2, s.kill)
				}
			}}
		},
	},
	{
		name:   "cut off, then server and node die",
		deadly: true,
		strike: isolated,
	},
	{
		name: "server frozen",
		strike: func(w *world, _ *node, e messenger.Effect) strike {
			if s := w.server(aimOf(e)); s != nil {
				s.frozenTil = w.now.Add(frozenFor)
			}
			return strike{}
		},
	},
	{
		name: "servers overloaded",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			for _, s := range w.servers {
				s.overloadedTil = w.now.Add(2 * timekeeper.Second)
			}
			return strike{}
		},
	},
	{
		name: "server stops as planned",
		strike: func(w *world, _ *node, e messenger.Effect) strike {
			if s := w.server(aimOf(e)); s != nil {
				w.list.stopPlanned(s.vm)
			} else {
				w.list.stopPlanned("e1")
			}
			return strike{}
		},
	},
	{
		name: "gossip lost, late, repeated",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.badGossipTil = w.now.Add(8 * timekeeper.Second)
			return strike{}
		},
	},
	{
		name: "new node",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.addNode("n9", "d", 9)
			return strike{}
		},
	},
	{
		name: "new node, log out",
		strike: func(w *world, _ *node, _ messenger.Effect) strike {
			w.log.downTil = w.now.Add(3 * logOutFor)
			w.addNode("n9", "d", 9)
			return strike{}
		},
	},
	{
		name:   "caller cancels",
		strike: cancelled,
	},
	{
		name:   "frozen past the deadline",
		deadly: true,
		strike: func(w *world, n *node, e messenger.Effect) strike {
			if a := n.answers[requestOf(e)]; a != nil {
				n.freeze(a.spec.Deadline.Sub(w.now) + timekeeper.Second)
			}
			return strike{thawed: true}
		},
	},
	{
		name: "late on the wire",
		strike: func(w *world, n *node, e messenger.Effect) strike {
			if o, ok := e.(messenger.GiveOrder); ok {
				s := w.server(o.Server)
				w.after(15*timekeeper.Second, func() { s.order(o.Order) })
				return strike{fate: loseRequest}
			}
			return lateBy(e, 15*timekeeper.Second)
		},
	},
	{
		name: "planned stop",
		strike: func(w *world, n *node, _ messenger.Effect) strike {
			return strike{then: func() { n.stopPlanned() }}
		},
	},
}

// both lets two faults strike at one step.
func both(a, b fault) fault {
	return fault{
		name: a.name + " + " + b.name,
		strike: func(w *world, n *node, e messenger.Effect) strike {
			first, second := a.strike(w, n, e), b.strike(w, n, e)
			return strike{
				fate:   max(first.fate, second.fate),
				skip:   first.skip || second.skip,
				twice:  first.twice || second.twice,
				delay:  max(first.delay, second.delay),
				thawed: first.thawed || second.thawed,
				then: func() {
					for _, s := range []strike{first, second} {
						if s.then != nil {
							s.then()
						}
					}
				},
			}
		},
	}
}

// cancelled lets all callers of the request give it up.
func cancelled(w *world, n *node, e messenger.Effect) strike {
	id := requestOf(e)
	return strike{then: func() {
		for _, c := range w.callers {
			if c.spec.Request == id {
				c.cancelled = true
			}
		}
		n.later(hop, func() { n.apply(messenger.RequestCancelled{Request: id}) })
	}}
}

// lateBy delays an effect that travels. The others are carried out within the
// process, in their order; a push travels after its Hold and is not delayed
// here either, since the effect only names the holder.
func lateBy(e messenger.Effect, d timekeeper.Duration) strike {
	switch e.(type) {
	case messenger.Refuse, messenger.Accept, messenger.Finish, messenger.Redirect, messenger.Adopt,
		messenger.Forget, messenger.Hold, messenger.Exit, messenger.ReplyOperator:
		return strike{}
	}
	return strike{delay: d}
}

func nextZone(z identifier.Zone) identifier.Zone {
	zones := "abcd"
	i := strings.Index(zones, string(z))
	return identifier.Zone(zones[(i+1)%len(zones)])
}

// isolated cuts a node off from all other nodes. Its engine dies, it goes on
// elsewhere by itself, and then dies too.
func isolated(w *world, n *node, _ messenger.Effect) strike {
	for _, end := range links(w, n, messenger.Exit{}) {
		w.cut(string(n.vm), end)
		w.cut(end, string(n.vm))
	}
	return strike{then: func() {
		w.after(timekeeper.Second, func() {
			for _, a := range n.answers {
				if s := w.server(a.place.Server); s != nil && a.end == nil {
					s.kill()
				}
			}
		})
		w.after(8*timekeeper.Second, func() { n.kill("cut off") })
	}}
}

// silence makes every open connection of the node go silent for good, while
// new ones work.
func (n *node) silence() {
	for _, s := range n.w.servers {
		for _, c := range s.conns {
			if c.n == n {
				c.silent = true
			}
		}
	}
}

func (n *node) stopPlanned() {
	n.later(hop, func() {
		n.apply(messenger.DrainStarted{Deadline: n.w.now.Add(20 * timekeeper.Second)})
	})
}

// crossed brings the node messages of attempts that are not the current one:
// earlier ones of the request itself and those of all other requests; and
// messages of peers that are not the chosen holder or successor.
func crossed(w *world, n *node, e messenger.Effect) strike {
	r := requestOf(e)
	if r == "" {
		return strike{}
	}
	return strike{then: func() {
		for _, d := range []timekeeper.Duration{hop, 300 * timekeeper.Millisecond, 2 * timekeeper.Second, 6 * timekeeper.Second} {
			n.later(d, func() { n.cross(r) })
		}
	}}
}

func (n *node) cross(r identifier.RequestID) {
	a := n.answers[r]
	if a == nil {
		return
	}
	for attempt := range n.w.attemptsBut(a.place.Attempt) {
		for _, body := range strayAttempt(r, attempt) {
			n.apply(body)
		}
	}
	for _, peer := range n.w.nodes {
		for _, body := range strayPeer(r, peer.vm) {
			if peer.vm != a.holder && peer.vm != a.successor {
				n.apply(body)
			}
		}
	}
}

// attemptsBut yields the numbers of all attempts of all requests so far, and
// the neighbours of the current one, but not the current one itself.
func (w *world) attemptsBut(current identifier.AttemptNumber) iter.Seq[identifier.AttemptNumber] {
	return func(yield func(identifier.AttemptNumber) bool) {
		for _, k := range append([]identifier.AttemptNumber{current - 1, current + 1}, w.attempts...) {
			if k != current && !yield(k) {
				return
			}
		}
	}
}

func strayAttempt(r identifier.RequestID, attempt identifier.AttemptNumber) []messenger.EventBody {
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

func strayPeer(r identifier.RequestID, peer identifier.VMID) []messenger.EventBody {
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
