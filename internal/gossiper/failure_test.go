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

// longestSpread returns the maximum time until all nodes know of a notice,
// over several notices that each reach one node first.
func longestSpread(c *cluster, notices int) timekeeper.Duration {
	var longest timekeeper.Duration
	for i := range notices {
		vm := engineVM(i)
		first := c.members[i%len(c.members)]
		c.record(first, first.MarkReclaimed(c.now, vm, c.now.Add(30*timekeeper.Second)))
		took := c.runUntil("notice known everywhere", 20*timekeeper.Second, func() bool {
			return c.leavingEverywhere(vm)
		})
		longest = max(longest, took)
		c.run(130 * timekeeper.Millisecond)
	}
	return longest
}

// Guards against slow spreading of a notice, also with a third of the messages lost: nodes that do
// not know of it send the engine requests that the reclaim interrupts.
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
			longest := longestSpread(c, 14)
			t.Logf("longest time until a leaving server was known everywhere: %v", longest)
			require.LessOrEqual(t, longest, test.limit)
		})
	}
	t.Run("control: no immediate round", func(t *testing.T) {
		c := newCluster(t, 9, 14)
		for _, m := range c.members {
			m.guard.urgentMarks = false
		}
		require.Greater(t, longestSpread(c, 14), tests[0].limit)
	})
}

// Guards against a lagging list that makes a leaving server available again.
func TestListNeverRevivesLeavingServer(t *testing.T) {
	revived := func(guarded bool) bool {
		m := New(configOf(0))
		m.guard.permanentMarks = guarded
		m.MergeList(start, start, listOf(2, 2))
		m.MarkLeaving(start, engineVM(0), start.Add(timekeeper.Minute))
		m.MergeList(start+1000, start+1000, listOf(2, 2))
		return !isLeaving(m, engineVM(0))
	}
	require.False(t, revived(true))
	require.True(t, revived(false), "control: without marks the list applies")
}

// Guards against a late answer to an earlier list request that adds removed
// servers again. A leaving mark in such an answer is still valid.
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
	require.Equal(t, 2, remaining(false), "control: old lists apply")
}

// Guards against removing a live engine or node that is missing from some
// lists.
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
	require.False(t, known, "missing from several lists over some time")
	node, known := m.Node(entryVM(2))
	require.True(t, known)
	require.Equal(t, Alive, node.State, "its heartbeats still arrive")
}

// pause suspends one node and lets it resume. It reports whether the node
// then declared any peer dead.
func pause(t *testing.T, guarded bool) bool {
	c := newCluster(t, 9, 14)
	paused := c.members[4]
	paused.guard.graceOnResume = guarded
	c.stopped[paused.self.VM] = true
	c.run(12 * timekeeper.Second)
	for _, m := range c.members {
		if m != paused {
			require.True(t, c.reported(m.self.VM, NodeDead, paused.self.VM))
		}
	}
	c.members[0].MarkReclaimed(c.now, engineVM(3), c.now.Add(timekeeper.Minute))
	c.run(5 * timekeeper.Second)

	c.stopped[paused.self.VM] = false
	back := c.runUntil("alive everywhere", 3*timekeeper.Second, func() bool {
		return c.all(func(m *Members) bool {
			n, _ := m.Node(paused.self.VM)
			return n.State == Alive
		})
	})
	marked := c.runUntil("missed notice received", timekeeper.Second, func() bool {
		return isLeaving(paused, engineVM(3))
	})
	t.Logf("alive everywhere after %v, the missed notice after %v more", back, marked)
	require.True(t, c.reported(paused.self.VM, NodeResumed, paused.self.VM))
	for _, m := range c.members {
		if c.reported(paused.self.VM, NodeDead, m.self.VM) {
			return true
		}
	}
	return false
}

// Guards against a resumed process that declares its peers dead, because
// their heartbeats are overdue, and adopts their requests.
func TestResumedNodeDoesNotDeclarePeersDead(t *testing.T) {
	require.False(t, pause(t, true))
	require.True(t, pause(t, false), "control: the suspension counts against its peers")
}

// Guards against suspecting a node whose messages to one peer are lost: its
// heartbeats arrive through other nodes.
func TestOneWayCut(t *testing.T) {
	c := newCluster(t, 9, 14)
	from, to := c.members[1].self.VM, c.members[2].self.VM
	c.blocked[link{
		from: from,
		to:   to,
	}] = true
	c.run(30 * timekeeper.Second)
	require.False(t, c.reported(to, NodeSuspect, from))

	for _, m := range c.members {
		c.blocked[link{
			from: from,
			to:   m.self.VM,
		}] = true
	}
	c.run(30 * timekeeper.Second)
	require.True(t, c.reported(to, NodeDead, from), "control: no node receives its messages")
}

// Peers adopt the long requests of a dead node only after they have detected
// its death.
func TestDeathIsDetectedEverywhere(t *testing.T) {
	c := newCluster(t, 9, 14)
	dead := c.members[8].self.VM
	c.stopped[dead] = true
	took := c.runUntil("dead everywhere", 20*timekeeper.Second, func() bool {
		return c.all(func(m *Members) bool { return c.reported(m.self.VM, NodeDead, dead) })
	})
	t.Logf("dead everywhere after %v", took)
	require.LessOrEqual(t, took, 8*timekeeper.Second)
}

// Two halves of a cluster that consider each other dead must reconnect, and
// exchange the notices they missed.
func TestPartitionHeals(t *testing.T) {
	c := newCluster(t, 8, 14)
	for i, a := range c.members {
		for j, b := range c.members {
			c.blocked[link{
				from: a.self.VM,
				to:   b.self.VM,
			}] = i%2 != j%2
		}
	}
	c.run(20 * timekeeper.Second)
	require.Len(t, c.members[0].Nodes(), 4)
	c.members[0].MarkReclaimed(c.now, engineVM(0), c.now.Add(timekeeper.Minute))
	c.run(2 * timekeeper.Second)
	clear(c.blocked)
	c.runUntil("partition healed", 5*timekeeper.Second, func() bool {
		return c.leavingEverywhere(engineVM(0)) &&
			c.all(func(m *Members) bool { return len(m.Nodes()) == 8 })
	})
}

// Guards against a node that starts while the list is unavailable and has no
// servers to send requests to, or uses leaving ones.
func TestStartWithoutList(t *testing.T) {
	c := newCluster(t, 9, 14)
	c.members[3].MarkReclaimed(c.now, engineVM(5), c.now.Add(timekeeper.Minute))
	c.run(timekeeper.Second)
	config := configOf(9)
	config.Seeds = []string{c.members[0].self.PeerAddress}
	m := New(config)
	c.add(m)
	took := c.runUntil("complete state received", 3*timekeeper.Second, func() bool {
		return len(m.Nodes()) == 10 && len(m.Servers("readers")) == 14 && !m.wantSync
	})
	t.Logf("complete after %v", took)
	require.True(t, isLeaving(m, engineVM(5)))
}

// Guards against excluding a process that restarts on its VM after a planned stop, and against
// using a process whose VM is under a reclaim notice.
func TestNewIncarnation(t *testing.T) {
	restart := func(mark func(m *Members, now timekeeper.Time, vm identifier.VMID, deadline timekeeper.Time) []Change) (*cluster, NodeState) {
		c := newCluster(t, 4, 2)
		c.record(c.members[3], mark(c.members[3], c.now, entryVM(3), c.now.Add(5*timekeeper.Second)))
		c.run(timekeeper.Second)
		require.True(t, c.reported(entryVM(0), NodeLeaving, entryVM(3)))
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
	require.True(t, c.reported(entryVM(0), NodeDead, entryVM(3)), "the memory of the older process is lost")
	// After a reclaim notice the VM itself is leaving.
	_, state = restart((*Members).MarkReclaimed)
	require.Equal(t, Leaving, state)
}

// Guards against a later deadline replacing an earlier one, and against the
// estimate of a list replacing the deadline of a notice.
func TestEarlierDeadlineCounts(t *testing.T) {
	c := newCluster(t, 4, 2)
	m := c.members[0]
	list := listOf(4, 2)
	list[4].Leaving = true
	m.MergeList(c.now, c.now, list)
	for _, remaining := range []timekeeper.Duration{60, 20, 40} {
		m.MarkReclaimed(c.now, engineVM(0), c.now.Add(remaining*timekeeper.Second))
	}
	want := c.now.Add(20 * timekeeper.Second)
	c.run(2 * timekeeper.Second)
	for _, m := range c.members {
		s, _ := m.Server(engineVM(0))
		require.InDelta(t, int64(want), int64(s.LeaveBy), 500)
	}
}

// Guards against a leaving server that becomes available again after any
// sequence of notices, lists and late or repeated messages.
func TestLeavingIsPermanent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := New(configOf(0)), New(configOf(1))
		rng := rand.New(rand.NewPCG(testSeed, 2))
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
				require.False(t, leaving[s.VM] && !s.Leaving, "%s became available again", s.VM)
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
	require.Equal(t, []identifier.VMID{engineVM(5), engineVM(6)}, m.marks.order, "marks with the earliest deadlines are evicted")
	require.Equal(t, Dropped{
		Servers: 3,
		Marks:   3,
	}, m.Dropped())
}

// Guards against removing a mark while the list is unavailable or shows the
// VM, and against retaining it forever.
func TestMarksExpire(t *testing.T) {
	m := New(configOf(0))
	m.MergeList(start, start, listOf(1, 1))
	m.MarkLeaving(start, engineVM(0), start.Add(timekeeper.Minute))
	rng := rand.New(rand.NewPCG(testSeed, 3))
	later := start.Add(3 * timekeeper.Hour)
	m.Tick(later, rng)
	require.Equal(t, 1, m.marks.len(), "the list has not been read since the deadline")
	m.MergeList(later, later, listOf(1, 0))
	m.Tick(later+1000, rng)
	require.Zero(t, m.marks.len())
}

func TestReceiveRejectsBadMessages(t *testing.T) {
	m := New(configOf(0))
	var decodeError *DecodeError
	_, err := m.Receive(start, entryVM(1), []byte{0xff})
	require.ErrorAs(t, err, &decodeError)

	other := New(configOf(1))
	other.MergeList(start, start, []messenger.VMState{listOf(1, 0)[0]})
	messages, _ := other.Tick(start, rand.New(rand.NewPCG(testSeed, 4)))
	var senderError *SenderMismatchError
	_, err = m.Receive(start, entryVM(2), messages[0].Data)
	require.ErrorAs(t, err, &senderError)
}

func TestStatusReachesPeers(t *testing.T) {
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
	c.stopped[entryVM(0)] = true
	c.run(10 * timekeeper.Second)
	require.Empty(t, c.members[1].Statuses(), "stale status")
}
