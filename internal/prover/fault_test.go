package prover

import (
	"fmt"
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
	case messenger.Note, messenger.PollServer, messenger.SendGossip:
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
	if w.armed == nil || w.fired || w.armed.step != key {
		n.perform(e, carry)
		return
	}
	w.fired = true
	w.tell("FAULT %s at %s", w.armed.fault.name, key)
	n.struck(e, w.armed.fault.strike(w, n, e))
}

func (n *node) struck(e messenger.Effect, s strike) {
	switch {
	case s.skip:
	case s.delay > 0:
		n.later(s.delay, func() { n.perform(e, s.fate) })
	default:
		n.perform(e, s.fate)
		if s.twice {
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
	{name: "killed before", strike: func(_ *world, n *node, _ messenger.Effect) strike {
		n.kill("fault")
		return strike{skip: true}
	}},
	{name: "killed after", strike: func(_ *world, n *node, _ messenger.Effect) strike {
		return strike{then: func() { n.kill("fault") }}
	}},
	{name: "frozen before", strike: func(_ *world, n *node, _ messenger.Effect) strike {
		n.freeze(frozenFor)
		return strike{delay: 1}
	}},
	{name: "frozen after", strike: func(_ *world, n *node, _ messenger.Effect) strike {
		return strike{then: func() { n.freeze(frozenFor) }}
	}},
	{name: "link cut", strike: cutLinks(true, true)},
	{name: "link cut out", strike: cutLinks(true, false)},
	{name: "link cut in", strike: cutLinks(false, true)},
	{name: "silent connections", strike: func(w *world, n *node, _ messenger.Effect) strike {
		return strike{then: func() { n.silence() }}
	}},
	{name: "request lost", strike: func(*world, *node, messenger.Effect) strike { return strike{fate: loseRequest} }},
	{name: "answer lost", strike: func(*world, *node, messenger.Effect) strike { return strike{fate: loseAnswer} }},
	{name: "late", strike: func(*world, *node, messenger.Effect) strike { return strike{delay: 3 * timekeeper.Second} }},
	{name: "repeated", strike: func(*world, *node, messenger.Effect) strike { return strike{twice: true} }},
	{name: "crossed", strike: crossed},
	{name: "log down", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		w.log.downTil = w.now.Add(logOutFor)
		return strike{}
	}},
	{name: "log slow", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		w.log.slowTil = w.now.Add(logOutFor)
		return strike{}
	}},
	{name: "log lies", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		w.log.lieNext = 3
		return strike{}
	}},
	{name: "log mute", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		w.log.muteNext = 3
		return strike{}
	}},
	{name: "list stale", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		w.list.staleTil = w.now.Add(staleFor)
		w.list.hidden = "e2"
		return strike{}
	}},
	{name: "replacement refused", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		w.list.refuse = true
		return strike{}
	}},
	{name: "notice to server", strike: func(w *world, _ *node, e messenger.Effect) strike {
		if s := w.server(aimOf(e)); s != nil {
			w.notice(noticeTime, s.vm)
		} else {
			w.notice(noticeTime, "e1", "p1")
		}
		return strike{}
	}},
	{name: "notice to node", strike: func(w *world, n *node, _ messenger.Effect) strike {
		w.notice(noticeTime, n.vm)
		return strike{}
	}},
	{name: "notice, then death", strike: func(w *world, n *node, _ messenger.Effect) strike {
		w.notice(noticeTime, n.vm)
		w.after(timekeeper.Second, func() { n.kill("died partway") })
		return strike{}
	}},
	{name: "notice to zone", strike: func(w *world, n *node, _ messenger.Effect) strike {
		w.notice(noticeTime, w.zoneVMs(n.zone)...)
		return strike{}
	}},
	{name: "zone wave, log out", strike: func(w *world, n *node, _ messenger.Effect) strike {
		w.log.downTil = w.now.Add(3 * logOutFor)
		w.notice(noticeTime, w.zoneVMs(n.zone)...)
		return strike{}
	}},
	{name: "two zones, one after the other", strike: func(w *world, n *node, _ messenger.Effect) strike {
		w.notice(noticeTime, w.zoneVMs(n.zone)...)
		w.after(2*timekeeper.Second, func() { w.notice(noticeTime, w.zoneVMs(nextZone(n.zone))...) })
		return strike{}
	}},
	{name: "server killed", strike: func(w *world, _ *node, e messenger.Effect) strike {
		return strike{then: func() {
			if s := w.server(aimOf(e)); s != nil {
				w.after(200*timekeeper.Millisecond, s.kill)
			}
		}}
	}},
	{name: "server frozen", strike: func(w *world, _ *node, e messenger.Effect) strike {
		if s := w.server(aimOf(e)); s != nil {
			s.frozenTil = w.now.Add(frozenFor)
		}
		return strike{}
	}},
	{name: "servers overloaded", strike: func(w *world, _ *node, _ messenger.Effect) strike {
		for _, s := range w.servers {
			s.overloadedTil = w.now.Add(2 * timekeeper.Second)
		}
		return strike{}
	}},
	{name: "planned stop", strike: func(w *world, n *node, _ messenger.Effect) strike {
		return strike{then: func() { n.stopPlanned() }}
	}},
}

func nextZone(z identifier.Zone) identifier.Zone {
	zones := "abcd"
	i := strings.Index(zones, string(z))
	return identifier.Zone(zones[(i+1)%len(zones)])
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

// crossed brings the node late messages of attempts that are not the current
// one and of holders and successors that are not the chosen ones.
func crossed(w *world, n *node, e messenger.Effect) strike {
	r := requestOf(e)
	if r == "" {
		return strike{}
	}
	return strike{then: func() {
		for _, attempt := range []identifier.AttemptNumber{0, 7, 4000} {
			for _, body := range strays(r, attempt) {
				n.later(hop, func() { n.apply(body) })
				n.later(2*timekeeper.Second, func() { n.apply(body) })
			}
		}
	}}
}

func strays(r identifier.RequestID, attempt identifier.AttemptNumber) []messenger.EventBody {
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
		messenger.AttemptEnded{
			Request:   r,
			Attempt:   attempt,
			Result:    messenger.AttemptComplete,
			Delivered: 200,
		},
		messenger.AttemptEnded{
			Request: r,
			Attempt: attempt,
			Result:  messenger.AttemptFailed,
		},
		messenger.KVMoved{
			Request: r,
			Attempt: attempt,
			To:      "e3",
			OK:      true,
		},
		messenger.HoldRefused{
			Request: r,
			Holder:  "n0",
		},
		messenger.HandoverAcked{
			Request:   r,
			Successor: "n0",
		},
	}
}
