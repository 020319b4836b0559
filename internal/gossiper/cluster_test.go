package gossiper

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// testSeed makes all runs deterministic.
const testSeed = 7

// start is the initial time of the simulated networks.
const start timekeeper.Time = 1_000_000

// cluster runs several memberships over a simulated network in virtual time.
// A message takes one step of messenger.TickInterval.
type cluster struct {
	t        testing.TB
	now      timekeeper.Time
	rng      *rand.Rand
	members  []*Members
	byVM     map[identifier.VMID]*Members
	byAddr   map[string]identifier.VMID
	stopped  map[identifier.VMID]bool
	blocked  map[link]bool
	loss     float64
	inFlight []packet
	sent     int
	bytes    int
	// changes holds all changes by the node that reported them.
	changes map[identifier.VMID][]Change
}

type link struct{ from, to identifier.VMID }

type packet struct {
	link
	data []byte
}

func entryVM(i int) identifier.VMID {
	return identifier.VMID(fmt.Sprintf("quillmark-entry-%03d", i))
}

func engineVM(i int) identifier.VMID {
	return identifier.VMID(fmt.Sprintf("quillmark-engine-%03d", i))
}

func zoneOf(i int) identifier.Zone {
	return identifier.Zone([]string{"boston-a", "boston-b", "providence", "portland-me"}[i%4])
}

func configOf(i int) Config {
	return Config{
		Self:          entryVM(i),
		Incarnation:   1_780_000_000_000,
		Zone:          zoneOf(i),
		Region:        "new-england",
		PeerAddress:   fmt.Sprintf("10.0.%d.%d:7001", i/256, i%256),
		CallerAddress: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
	}
}

// listOf returns a platform list with the given numbers of entry VMs and
// engines.
func listOf(nodes, engines int) []messenger.VMState {
	var vms []messenger.VMState
	for i := range nodes {
		vms = append(vms, messenger.VMState{
			VM:      entryVM(i),
			Zone:    zoneOf(i),
			Address: configOf(i).PeerAddress,
		})
	}
	for i := range engines {
		vms = append(vms, messenger.VMState{
			VM:      engineVM(i),
			Zone:    zoneOf(i),
			Class:   "gpu-small",
			Market:  catalog.Reclaimable,
			Pool:    "readers",
			Address: fmt.Sprintf("10.1.%d.%d:8000", i/256, i%256),
		})
	}
	return vms
}

// newCluster returns n nodes that have merged one list and know each other.
func newCluster(t testing.TB, n, engines int) *cluster {
	c := &cluster{
		t:       t,
		now:     start,
		rng:     rand.New(rand.NewPCG(testSeed, 0)),
		byVM:    map[identifier.VMID]*Members{},
		byAddr:  map[string]identifier.VMID{},
		stopped: map[identifier.VMID]bool{},
		blocked: map[link]bool{},
		changes: map[identifier.VMID][]Change{},
	}
	for i := range n {
		c.add(New(configOf(i)))
	}
	for _, m := range c.members {
		c.record(m, m.MergeList(c.now, c.now, listOf(n, engines)))
	}
	c.runUntil("complete membership everywhere", 30*timekeeper.Second, func() bool {
		return c.all(func(m *Members) bool { return len(m.Nodes()) == n && !m.wantSync })
	})
	c.run(3 * timekeeper.Second)
	return c
}

func (c *cluster) add(m *Members) {
	c.members = append(c.members, m)
	c.byVM[m.self.VM] = m
	c.byAddr[m.self.PeerAddress] = m.self.VM
}

func (c *cluster) record(m *Members, changes []Change) {
	c.changes[m.self.VM] = append(c.changes[m.self.VM], changes...)
}

func (c *cluster) reported(vm identifier.VMID, kind ChangeKind, about identifier.VMID) bool {
	for _, ch := range c.changes[vm] {
		if ch.Kind == kind && ch.VM == about {
			return true
		}
	}
	return false
}

func (c *cluster) all(f func(*Members) bool) bool {
	for _, m := range c.members {
		if !c.stopped[m.self.VM] && !f(m) {
			return false
		}
	}
	return true
}

// step simulates one tick: messages of the last step arrive, then all nodes
// tick.
func (c *cluster) step() {
	c.now = c.now.Add(messenger.TickInterval)
	arriving := c.inFlight
	c.inFlight = nil
	for _, f := range arriving {
		c.deliver(f)
	}
	for i, m := range c.members {
		// Nodes start at different instants of their periods.
		if c.stopped[m.self.VM] || c.now < start.Add(messenger.TickInterval*timekeeper.Duration(i%10)) {
			continue
		}
		messages, changes := m.Tick(c.now, c.rng)
		c.record(m, changes)
		for _, message := range messages {
			c.send(m, message)
		}
	}
}

func (c *cluster) send(m *Members, message Message) {
	c.sent++
	c.bytes += len(message.Data)
	c.inFlight = append(c.inFlight, packet{
		link: link{
			from: m.self.VM,
			to:   c.byAddr[message.Address],
		},
		data: message.Data,
	})
}

func (c *cluster) deliver(f packet) {
	if c.stopped[f.to] || c.blocked[f.link] || c.rng.Float64() < c.loss {
		return
	}
	m := c.byVM[f.to]
	if m == nil {
		return
	}
	changes, err := m.Receive(c.now, f.from, f.data)
	require.NoError(c.t, err)
	c.record(m, changes)
}

func (c *cluster) run(d timekeeper.Duration) {
	for end := c.now.Add(d); c.now < end; {
		c.step()
	}
}

// runUntil runs until f holds and returns the elapsed time.
func (c *cluster) runUntil(what string, limit timekeeper.Duration, f func() bool) timekeeper.Duration {
	began := c.now
	for !f() {
		if c.now.Sub(began) > limit {
			require.FailNow(c.t, "timed out", "%s within %v", what, limit)
		}
		c.step()
	}
	return c.now.Sub(began)
}

// leavingEverywhere reports whether all running nodes consider the server
// leaving or do not know it.
func (c *cluster) leavingEverywhere(vm identifier.VMID) bool {
	return c.all(func(m *Members) bool { return isLeaving(m, vm) })
}

func isLeaving(m *Members, vm identifier.VMID) bool {
	s, ok := m.Server(vm)
	return !ok || s.Leaving
}
