package gossiper

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// spread returns the longest time until all nodes know of one notice, over
// some notices that reach one node each.
func spread(c *cluster, notices int) timekeeper.Duration {
	var longest timekeeper.Duration
	for i := range notices {
		vm := engineVM(i)
		first := c.members[i%len(c.members)]
		c.note(first, first.MarkReclaimed(c.now, vm, c.now.Add(30*timekeeper.Second)))
		took := c.until("notice known everywhere", 20*timekeeper.Second, func() bool {
			return c.leavingEverywhere(vm)
		})
		longest = max(longest, took)
		c.run(130 * timekeeper.Millisecond)
	}
	return longest
}

// A notice of an engine reaches one node. Until the others know, they send it
// callers' requests that the reclaim then cuts. The mark must reach all nodes
// within a few ticks, also when a third of all messages is lost. Without the
// immediate round it waits for the period at every hop. TestAtSize checks the same
// at 400 nodes.
func TestNoticeSpreads(t *testing.T) {
	tests := []struct {
		loss  float64
		limit timekeeper.Duration
	}{
		{
			loss:  0,
			limit: 400 * timekeeper.Millisecond,
		},
		{
			loss:  0.3,
			limit: 1500 * timekeeper.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("loss %v", test.loss), func(t *testing.T) {
			c := newCluster(t, 9, 14)
			c.loss = test.loss
			longest := spread(c, 14)
			t.Logf("longest time until a leaving server was known everywhere: %v", longest)
			require.LessOrEqual(t, longest, test.limit)
		})
	}
	t.Run("control: no immediate round", func(t *testing.T) {
		c := newCluster(t, 9, 14)
		for _, m := range c.members {
			m.guard.urgentMarks = false
		}
		require.Greater(t, spread(c, 14), tests[0].limit)
	})
}

// An engine has its notice, and the lagging list goes on showing it as live,
// with newer and newer instants. A node that believed the list would send it
// new work again.
func TestListNeverRevivesLeavingServer(t *testing.T) {
	revived := func(guarded bool) bool {
		m := New(configOf(0))
		m.guard.marksForGood = guarded
		m.MergeList(start, start, listOf(2, 2))
		m.MarkLeaving(start, engineVM(0), start.Add(timekeeper.Minute))
		m.MergeList(start+1000, start+1000, listOf(2, 2))
		return !isLeaving(m, engineVM(0))
	}
	require.False(t, revived(true))
	require.True(t, revived(false), "control: the list is believed")
}

// An engine was released and two lists no longer show it. Then the late answer
// to an earlier read arrives, which does. A node that believed it would send
// callers' requests to a server that is gone. But a leaving mark in the late
// answer is true for good.
func TestOlderListChangesNothingButMarks(t *testing.T) {
	older := listOf(2, 2)
	older[2].Leaving = true
	remaining := func(guarded bool) int {
		m := New(configOf(0))
		m.guard.newerListOnly = guarded
		m.MergeList(start, start, listOf(2, 2))
		m.MergeList(start+4000, start+4000, listOf(2, 1))
		m.MergeList(start+8000, start+8000, listOf(2, 1))
		m.MergeList(start+8100, start+2000, older)
		require.True(t, isLeaving(m, engineVM(0)))
		return len(m.Servers("readers"))
	}
	require.Equal(t, 1, remaining(true))
	require.Equal(t, 2, remaining(false), "control: old lists count")
}

// The list leaves out a live engine for one read, and a live node for good.
// Neither may lose its work for that.
func TestMissingFromList(t *testing.T) {
	c := newCluster(t, 3, 2)
	m := c.members[0]
	m.MergeList(c.now, c.now, listOf(2, 2))
	for i := range 3 {
		require.Len(t, m.Servers("readers"), 2, "read %d", i)
		c.run(2 * timekeeper.Second)
		m.MergeList(c.now, c.now, listOf(2, 1))
	}
	_, known := m.Server(engineVM(1))
	require.False(t, known, "missed in several reads over some time")
	node, known := m.Node(entryVM(2))
	require.True(t, known)
	require.Equal(t, Alive, node.State, "gossip hears it")
}

// freeze stops one node for a while and lets it run again. It returns whether
// the frozen node took any peer for dead then.
func freeze(t *testing.T, guarded bool) bool {
	c := newCluster(t, 9, 14)
	frozen := c.members[4]
	frozen.guard.graceOnThaw = guarded
	c.off[frozen.self.VM] = true
	c.run(12 * timekeeper.Second)
	for _, m := range c.members {
		if m != frozen {
			require.True(t, c.saw(m.self.VM, NodeDead, frozen.self.VM))
		}
	}
	c.members[0].MarkReclaimed(c.now, engineVM(3), c.now.Add(timekeeper.Minute))
	c.run(5 * timekeeper.Second)

	c.off[frozen.self.VM] = false
	back := c.until("all are live again", 3*timekeeper.Second, func() bool {
		return c.all(func(m *Members) bool {
			n, _ := m.Node(frozen.self.VM)
			return n.State == Alive
		})
	})
	learned := c.until("the missed notice is known", timekeeper.Second, func() bool {
		return isLeaving(frozen, engineVM(3))
	})
	t.Logf("alive everywhere after %v, the missed notice after %v more", back, learned)
	require.True(t, c.saw(frozen.self.VM, NodeResumed, frozen.self.VM))
	for _, m := range c.members {
		if c.saw(frozen.self.VM, NodeDead, m.self.VM) {
			return true
		}
	}
	return false
}

// A process is frozen for longer than it takes to be declared dead, and then
// goes on. It finds all its peers' heartbeats old. If it took them for dead it
// would adopt their requests, and callers would be sent to it in vain.
func TestThawedNodeDoesNotCallPeersDead(t *testing.T) {
	require.False(t, freeze(t, true))
	require.True(t, freeze(t, false), "control: its own gap is held against its peers")
}

// Messages from one node to another are lost one way only. The other hears of
// it through the rest, and must not take it for late.
func TestOneWayCut(t *testing.T) {
	c := newCluster(t, 9, 14)
	from, to := c.members[1].self.VM, c.members[2].self.VM
	c.cut[link{
		from: from,
		to:   to,
	}] = true
	c.run(30 * timekeeper.Second)
	require.False(t, c.saw(to, NodeSuspect, from))

	for _, m := range c.members {
		c.cut[link{
			from: from,
			to:   m.self.VM,
		}] = true
	}
	c.run(30 * timekeeper.Second)
	require.True(t, c.saw(to, NodeDead, from), "control: nobody hears it")
}

// A process dies without a word. Its peers adopt its long requests once they
// take it for dead, and callers wait for that.
func TestDeathIsNoticedEverywhere(t *testing.T) {
	c := newCluster(t, 9, 14)
	dead := c.members[8].self.VM
	c.off[dead] = true
	took := c.until("dead everywhere", 20*timekeeper.Second, func() bool {
		return c.all(func(m *Members) bool { return c.saw(m.self.VM, NodeDead, dead) })
	})
	t.Logf("dead everywhere after %v", took)
	require.LessOrEqual(t, took, 8*timekeeper.Second)
}

// Two halves of the cluster are cut off from each other until each takes the
// other for dead. They must find each other again, and a notice of one half
// must reach the other.
func TestHalvesMeetAgain(t *testing.T) {
	c := newCluster(t, 8, 14)
	for i, a := range c.members {
		for j, b := range c.members {
			c.cut[link{
				from: a.self.VM,
				to:   b.self.VM,
			}] = i%2 != j%2
		}
	}
	c.run(20 * timekeeper.Second)
	require.Len(t, c.members[0].Nodes(), 4)
	c.members[0].MarkReclaimed(c.now, engineVM(0), c.now.Add(timekeeper.Minute))
	c.run(2 * timekeeper.Second)
	clear(c.cut)
	c.until("whole again", 5*timekeeper.Second, func() bool {
		return c.leavingEverywhere(engineVM(0)) &&
			c.all(func(m *Members) bool { return len(m.Nodes()) == 8 })
	})
}

// A node starts while the platform's list is out. It knows one configured
// address, and must learn nodes, servers and leaving marks from its peers: else
// it has no server to send callers' requests to, or sends them to one that is
// leaving.
func TestStartWithListOut(t *testing.T) {
	c := newCluster(t, 9, 14)
	c.members[3].MarkReclaimed(c.now, engineVM(5), c.now.Add(timekeeper.Minute))
	c.run(timekeeper.Second)
	config := configOf(9)
	config.Seeds = []string{c.members[0].self.PeerAddress}
	m := New(config)
	c.add(m)
	took := c.until("all known", 3*timekeeper.Second, func() bool {
		return len(m.Nodes()) == 10 && len(m.Servers("readers")) == 14 && !m.wantSync
	})
	t.Logf("knows all after %v", took)
	require.True(t, isLeaving(m, engineVM(5)))
}

// A process stops as planned and is started anew on the same VM: it is a
// member like any other. After a reclaim notice it is not: the VM itself goes.
func TestNewIncarnation(t *testing.T) {
	restart := func(mark func(m *Members, now timekeeper.Time, vm identifier.VMID, deadline timekeeper.Time) []Change) (*cluster, NodeState) {
		c := newCluster(t, 4, 2)
		c.note(c.members[3], mark(c.members[3], c.now, entryVM(3), c.now.Add(5*timekeeper.Second)))
		c.run(timekeeper.Second)
		require.True(t, c.saw(entryVM(0), NodeLeaving, entryVM(3)))
		c.members = c.members[:3]
		config := configOf(3)
		config.Incarnation++
		config.Seeds = []string{c.members[0].self.PeerAddress}
		c.add(New(config))
		c.run(3 * timekeeper.Second)
		n, _ := c.members[0].Node(entryVM(3))
		require.Equal(t, config.Incarnation, n.Incarnation)
		return c, n.State
	}
	c, state := restart((*Members).MarkLeaving)
	require.Equal(t, Alive, state)
	require.True(t, c.saw(entryVM(0), NodeDead, entryVM(3)), "what the older process held is lost")
	_, state = restart((*Members).MarkReclaimed)
	require.Equal(t, Leaving, state)
}

// A second notice in the middle of the first moves the deadline. The earlier
// one counts everywhere, and an estimate of the list yields to a notice.
func TestEarlierDeadlineCounts(t *testing.T) {
	c := newCluster(t, 4, 2)
	m := c.members[0]
	list := listOf(4, 2)
	list[4].Leaving = true
	m.MergeList(c.now, c.now, list)
	for _, left := range []timekeeper.Duration{60, 20, 40} {
		m.MarkReclaimed(c.now, engineVM(0), c.now.Add(left*timekeeper.Second))
	}
	want := c.now.Add(20 * timekeeper.Second)
	c.run(2 * timekeeper.Second)
	for _, m := range c.members {
		s, _ := m.Server(engineVM(0))
		require.InDelta(t, int64(want), int64(s.LeaveBy), 500)
	}
}

// Notices, lists old and new, messages late, repeated and crossed arrive in
// any order. Once leaving, always leaving; and no table outgrows its bound.
func TestLeavingIsForGood(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(configOf(0)), New(configOf(1))
		rng := rand.New(rand.NewPCG(seedOfTests, 2))
		leaving := map[identifier.VMID]bool{}
		var messages []Message
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(timekeeper.Duration(rapid.IntRange(1, 4000).Draw(t, "passed")))
			i := rapid.IntRange(0, 3).Draw(t, "engine")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				b.MarkLeaving(now, engineVM(i), now.Add(timekeeper.Minute))
			case 1:
				a.MarkLeaving(now, engineVM(i), now.Add(timekeeper.Minute))
			case 2:
				lag := timekeeper.Duration(rapid.IntRange(0, 20000).Draw(t, "lag"))
				a.MergeList(now, now.Add(-lag), listOf(2, 4-i))
			case 3:
				sent, _ := b.Tick(now, rng)
				messages = append(messages, sent...)
			case 4:
				if len(messages) > 0 {
					m := messages[rapid.IntRange(0, len(messages)-1).Draw(t, "message")]
					_, err := a.Receive(now, entryVM(1), m.Data)
					require.NoError(t, err)
				}
			}
			if rapid.Bool().Draw(t, "tick") {
				a.Tick(now, rng)
			}
			for _, s := range a.Servers("readers") {
				require.False(t, leaving[s.VM] && !s.Leaving, "%s was revived", s.VM)
				leaving[s.VM] = s.Leaving
			}
		}
	})
}

func TestTablesAreBounded(t *testing.T) {
	m := New(configOf(0))
	m.marks.limit, m.servers.limit = 2, 2
	m.MergeList(start, start, listOf(1, 5))
	for i := range 5 {
		m.MarkLeaving(start, engineVM(9-i), start.Add(timekeeper.Duration(i)*timekeeper.Minute))
	}
	require.Len(t, m.Servers("readers"), 2)
	require.Equal(t, []identifier.VMID{engineVM(5), engineVM(6)}, m.marks.order, "the earliest deadlines went")
	require.Equal(t, Dropped{
		Servers: 3,
		Marks:   3,
	}, m.Dropped())
}

// Marks are kept while the list is out or shows the VM, and dropped long after.
func TestMarksExpire(t *testing.T) {
	m := New(configOf(0))
	m.MergeList(start, start, listOf(1, 1))
	m.MarkLeaving(start, engineVM(0), start.Add(timekeeper.Minute))
	rng := rand.New(rand.NewPCG(seedOfTests, 3))
	later := start.Add(3 * timekeeper.Hour)
	m.Tick(later, rng)
	require.Equal(t, 1, m.marks.len(), "the list was not read since")
	m.MergeList(later, later, listOf(1, 0))
	m.Tick(later+1000, rng)
	require.Zero(t, m.marks.len())
}

func TestReceiveRefuses(t *testing.T) {
	m := New(configOf(0))
	var decodeError *DecodeError
	_, err := m.Receive(start, entryVM(1), []byte{0xff})
	require.ErrorAs(t, err, &decodeError)

	other := New(configOf(1))
	other.MergeList(start, start, []messenger.VMState{listOf(1, 0)[0]})
	messages, _ := other.Tick(start, rand.New(rand.NewPCG(seedOfTests, 4)))
	var senderError *SenderMismatchError
	_, err = m.Receive(start, entryVM(2), messages[0].Data)
	require.ErrorAs(t, err, &senderError)
}

func TestNews(t *testing.T) {
	c := newCluster(t, 4, 0)
	demand := map[identifier.AccountID]Demand{"quillmark": {
		Requests: 2.5,
		Tokens:   1000,
	}}
	c.members[0].SetStatus(Status{
		Revision: 7,
		Demand:   demand,
	})
	c.run(2 * timekeeper.Second)
	for _, m := range c.members[1:] {
		require.Equal(t, demand, m.Statuses()[entryVM(0)].Demand)
		require.Equal(t, identifier.Revision(7), m.Statuses()[entryVM(0)].Revision)
	}
	c.off[entryVM(0)] = true
	c.run(10 * timekeeper.Second)
	require.Empty(t, c.members[1].Statuses(), "it has aged")
}
