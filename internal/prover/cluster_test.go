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

// Delays and timeouts of the simulated cluster. networkDelay is one way.
const (
	networkDelay = 1 * timekeeper.Millisecond
	rpcTimeout   = 1 * timekeeper.Second
	tickInterval = 100 * timekeeper.Millisecond
	bootTime     = 4 * timekeeper.Second
	maxRunTime   = 75 * timekeeper.Second
)

// cluster simulates everything outside the reducers: the nodes' runners, the
// platform, the backend servers, the callers and the network between them.
type cluster struct {
	now          timekeeper.Time
	queue        queue
	rng          *rand.Rand
	nodes        []*node
	servers      []*server
	callers      []*caller
	log          *fakeLog
	list         *fakeList
	blockedLinks map[[2]string]bool
	// attempts holds the numbers of all attempts sent so far.
	attempts   []identifier.AttemptNumber
	safeguards conductor.Safeguards

	// plannedFaults are the faults to inject in this run. stepCounts holds the
	// number of steps so far by node and kind, and steps lists them all. Effects before
	// stepsFrom are not steps.
	plannedFaults  []cell
	stepCounts     map[step]int
	steps          []step
	faultsInjected int
	stepsFrom      timekeeper.Time

	// gossipFaultyUntil is the end of the time in which gossip messages are
	// randomly lost, delayed or duplicated.
	gossipFaultyUntil timekeeper.Time
	settings          string
	observed          observations
	runLog            []string
}

// newCluster returns a cluster whose nodes have just started.
func newCluster(seed uint64, safeguards conductor.Safeguards, s scenario) *cluster {
	cl := &cluster{
		now:          1_000_000,
		rng:          rand.New(rand.NewPCG(seed, 1)),
		blockedLinks: map[[2]string]bool{},
		safeguards:   safeguards,
		stepCounts:   map[step]int{},
	}
	cl.log = newFakeLog(cl)
	cl.list = newFakeList(cl)
	cl.list.ignoresClientTokens = s.ignoresClientTokens
	cl.settings = strings.NewReplacer(s.settingsChanges...).Replace(settings)
	switch {
	case slices.Equal(s.settingsChanges, shortRetention):
		cl.log.retention = 40 * timekeeper.Second
	case slices.Equal(s.settingsChanges, shortWindow):
		cl.log.retention = 80 * timekeeper.Second
	}
	cl.observed = newObservations()
	zones := []identifier.Zone{"a", "b", "c", "d"}
	for i := range 6 {
		cl.addNode(identifier.VMID(fmt.Sprintf("n%d", i+1)), zones[i%len(zones)], seed)
	}
	for i := range 6 {
		cl.addServer(identifier.VMID(fmt.Sprintf("e%d", i+1)), zones[i%len(zones)], "reading")
	}
	for i := range 3 {
		cl.addServer(identifier.VMID(fmt.Sprintf("p%d", i+1)), zones[i%len(zones)], "portal")
	}
	cl.bootConfig()
	cl.every(500*timekeeper.Millisecond, cl.list.refresh)
	return cl
}

func (cl *cluster) after(d timekeeper.Duration, do func()) { cl.queue.add(cl.now.Add(d), do) }

func (cl *cluster) every(d timekeeper.Duration, do func()) {
	cl.after(d, func() {
		do()
		cl.every(d, do)
	})
}

// run executes scheduled actions up to the given time, or until finished reports
// true.
func (cl *cluster) run(until timekeeper.Time, finished func() bool) {
	for len(cl.queue.items) > 0 && cl.queue.items[0].at <= until {
		next := cl.queue.next()
		cl.now = next.at
		next.do()
		if finished() {
			return
		}
	}
	cl.now = until
}

func never() bool { return false }

// recordf adds a line to the run log, which is printed for cells selected by -cell.
func (cl *cluster) recordf(format string, args ...any) {
	if len(cl.runLog) < 4000 {
		cl.runLog = append(cl.runLog, fmt.Sprintf("%7d ", cl.now-1_000_000)+fmt.Sprintf(format, args...))
	}
}

// cutLink and restoreLink change one direction of the link between two VMs.
func (cl *cluster) cutLink(from, to string)     { cl.blockedLinks[[2]string{from, to}] = true }
func (cl *cluster) restoreLink(from, to string) { delete(cl.blockedLinks, [2]string{from, to}) }

// linkUp reports whether a message sent now is delivered.
func (cl *cluster) linkUp(from, to string) bool { return !cl.blockedLinks[[2]string{from, to}] }

func (cl *cluster) node(vm identifier.VMID) *node {
	for _, n := range cl.nodes {
		if n.vm == vm {
			return n
		}
	}
	return nil
}

func (cl *cluster) server(vm identifier.VMID) *server {
	for _, s := range cl.servers {
		if s.vm == vm {
			return s
		}
	}
	return nil
}

// rpc simulates a call from one node to another. serve runs at the receiver. done
// runs once at the sender, with ok false if no answer arrives in time, in which
// case serve may still have run.
func (cl *cluster) rpc(from, to *node, mode deliveryMode, serve func(), done func(ok bool)) {
	cl.rpcAsync(from, to, mode, func(answer func()) {
		serve()
		answer()
	}, done)
}

// rpcAsync is like rpc, but the receiver answers by calling answer, at any time.
func (cl *cluster) rpcAsync(from, to *node, mode deliveryMode, serve func(answer func()), done func(ok bool)) {
	ended := false
	end := func(ok bool) {
		if !ended {
			ended = true
			done(ok)
		}
	}
	from.later(rpcTimeout, func() { end(false) })
	if to == nil || mode == loseRequest || !cl.linkUp(string(from.vm), string(to.vm)) {
		return
	}
	if to.dead {
		from.later(networkDelay, func() { end(false) })
		return
	}
	to.later(networkDelay, func() {
		serve(func() {
			if to.dead || mode == loseAnswer || !cl.linkUp(string(to.vm), string(from.vm)) {
				return
			}
			from.later(networkDelay, func() { end(true) })
		})
	})
}

// notice sends a reclaim notice for each VM.
func (cl *cluster) notice(notice timekeeper.Duration, vms ...identifier.VMID) {
	for _, vm := range vms {
		cl.list.notice(vm, cl.now.Add(notice))
	}
}

// zoneVMs returns the live nodes and servers of a zone.
func (cl *cluster) zoneVMs(z identifier.Zone) []identifier.VMID {
	var out []identifier.VMID
	for _, n := range cl.nodes {
		if n.zone == z && !n.dead {
			out = append(out, n.vm)
		}
	}
	for _, s := range cl.servers {
		if s.zone == z && !s.dead {
			out = append(out, s.vm)
		}
	}
	return out
}

// broadcast delivers an event to all live nodes.
func (cl *cluster) broadcast(body messenger.EventBody) {
	for _, n := range cl.nodes {
		n.later(networkDelay, func() { n.apply(body) })
	}
}
