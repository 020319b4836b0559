package prover

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The times of the world, one way.
const (
	hop        = 1 * timekeeper.Millisecond
	rpcPatient = 1 * timekeeper.Second
	tickEvery  = 100 * timekeeper.Millisecond
	bootTime   = 4 * timekeeper.Second
	horizon    = 75 * timekeeper.Second
)

// world is everything outside the reducers: the nodes' runners, the platform,
// the backend servers, the callers and the network between them.
type world struct {
	now     timekeeper.Time
	queue   queue
	rng     *rand.Rand
	nodes   []*node
	servers []*server
	callers []*caller
	log     *fakeLog
	list    *fakeList
	cuts    map[[2]string]bool
	// attempts lists the numbers of all attempts that were sent.
	attempts []identifier.AttemptNumber
	guards   conductor.Safeguards

	// armed are the faults of this run; counts counts the steps so far and
	// trace lists them.
	armed   []cell
	counts  map[step]int
	trace   []step
	fired   int
	faultAt timekeeper.Time

	// badGossipTil is until when gossip is lost, late or repeated by chance.
	badGossipTil timekeeper.Time
	settings     string
	facts        facts
	story        []string
}

// newWorld returns a world whose nodes have just started.
func newWorld(seed uint64, guards conductor.Safeguards, s scenario) *world {
	w := &world{
		now:    1_000_000,
		rng:    rand.New(rand.NewPCG(seed, 1)),
		cuts:   map[[2]string]bool{},
		guards: guards,
		counts: map[step]int{},
	}
	w.log = newFakeLog(w)
	w.list = newFakeList(w)
	w.list.tokensIgnored = s.tokensIgnored
	w.settings = strings.NewReplacer(s.settings...).Replace(settings)
	switch {
	case slices.Equal(s.settings, shortRetention):
		w.log.retention = 40 * timekeeper.Second
	case slices.Equal(s.settings, shortWindow):
		w.log.retention = 80 * timekeeper.Second
	}
	w.facts = newFacts()
	zones := []identifier.Zone{"a", "b", "c", "d"}
	for i := range 6 {
		w.addNode(identifier.VMID(fmt.Sprintf("n%d", i+1)), zones[i%len(zones)], seed)
	}
	for i := range 6 {
		w.addServer(identifier.VMID(fmt.Sprintf("e%d", i+1)), zones[i%len(zones)], "reading")
	}
	for i := range 3 {
		w.addServer(identifier.VMID(fmt.Sprintf("p%d", i+1)), zones[i%len(zones)], "portal")
	}
	w.bootConfig()
	w.every(500*timekeeper.Millisecond, w.list.refresh)
	return w
}

// after does something after a while.
func (w *world) after(d timekeeper.Duration, do func()) { w.queue.add(w.now.Add(d), do) }

// every does something over and over.
func (w *world) every(d timekeeper.Duration, do func()) {
	w.after(d, func() {
		do()
		w.every(d, do)
	})
}

// run lets the world go on until an instant, or until quiet says that nothing
// more is awaited.
func (w *world) run(until timekeeper.Time, quiet func() bool) {
	for len(w.queue.items) > 0 && w.queue.items[0].at <= until {
		next := w.queue.next()
		w.now = next.at
		next.do()
		if quiet() {
			return
		}
	}
	w.now = until
}

func never() bool { return false }

// tell adds a line to the story of the run, which a failing cell prints.
func (w *world) tell(format string, args ...any) {
	if len(w.story) < 4000 {
		w.story = append(w.story, fmt.Sprintf("%7d ", w.now-1_000_000)+fmt.Sprintf(format, args...))
	}
}

// cut and mend change one direction of a link. Ends are VM ids.
func (w *world) cut(from, to string)  { w.cuts[[2]string{from, to}] = true }
func (w *world) mend(from, to string) { delete(w.cuts, [2]string{from, to}) }

// passes reports whether something sent now arrives.
func (w *world) passes(from, to string) bool { return !w.cuts[[2]string{from, to}] }

func (w *world) node(vm identifier.VMID) *node {
	for _, n := range w.nodes {
		if n.vm == vm {
			return n
		}
	}
	return nil
}

func (w *world) server(vm identifier.VMID) *server {
	for _, s := range w.servers {
		if s.vm == vm {
			return s
		}
	}
	return nil
}

// rpc sends a message from one node to another and brings back the answer.
// serve runs at the receiver; done runs at the sender, once, with ok false
// where no answer came in time. The message may have taken effect all the
// same.
func (w *world) rpc(from, to *node, fate fate, serve func(), done func(ok bool)) {
	w.rpcLater(from, to, fate, func(answer func()) {
		serve()
		answer()
	}, done)
}

// rpcLater is rpc with an answer that the receiver gives when it is ready.
func (w *world) rpcLater(from, to *node, fate fate, serve func(answer func()), done func(ok bool)) {
	over := false
	end := func(ok bool) {
		if !over {
			over = true
			done(ok)
		}
	}
	from.later(rpcPatient, func() { end(false) })
	if to == nil || fate == loseRequest || !w.passes(string(from.vm), string(to.vm)) {
		return
	}
	if to.dead {
		from.later(hop, func() { end(false) })
		return
	}
	to.later(hop, func() {
		serve(func() {
			if to.dead || fate == loseAnswer || !w.passes(string(to.vm), string(from.vm)) {
				return
			}
			from.later(hop, func() { end(true) })
		})
	})
}

// notice announces that the VMs will be taken away.
func (w *world) notice(notice timekeeper.Duration, vms ...identifier.VMID) {
	for _, vm := range vms {
		w.list.notice(vm, w.now.Add(notice))
	}
}

// zoneVMs returns the VMs of a zone, nodes and servers.
func (w *world) zoneVMs(z identifier.Zone) []identifier.VMID {
	var out []identifier.VMID
	for _, n := range w.nodes {
		if n.zone == z && !n.dead {
			out = append(out, n.vm)
		}
	}
	for _, s := range w.servers {
		if s.zone == z && !s.dead {
			out = append(out, s.vm)
		}
	}
	return out
}

// broadcast gives an event to all nodes that live.
func (w *world) broadcast(body messenger.EventBody) {
	for _, n := range w.nodes {
		n.later(hop, func() { n.apply(body) })
	}
}
