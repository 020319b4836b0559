package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// NodeState is what a node is taken for.
type NodeState string

// The states of a node.
const (
	// Alive: its heartbeat was heard lately.
	Alive NodeState = "alive"
	// Suspect: its heartbeat is late.
	Suspect NodeState = "suspect"
	// Leaving: its VM is being reclaimed, or it stops as planned.
	Leaving NodeState = "leaving"
	// Dead: its heartbeat has been missing for long.
	Dead NodeState = "dead"
)

// forgetAfter is how long a dead node is remembered once the list does not
// show it any more.
const forgetAfter = 10 * timekeeper.Minute

// Node is a member as this node knows it.
type Node struct {
	VM            identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	// Capacity is what the VM can carry beside others, in a unit that all nodes
	// share; zero where it is not known.
	Capacity uint32
	State    NodeState
	// LeaveBy is the end of a leaving node, else Never.
	LeaveBy timekeeper.Time
	// LastHeard is when news of it last arrived, directly or through others.
	LastSeen timekeeper.Time
}

// nodeRecord is a node with what gossip needs to know of it. The counts of
// sends tell for how many rounds a change was passed on.
type nodeRecord struct {
	Node
	key       uint64
	heartbeat uint64
	// heartbeatSent tells that the present heartbeat was passed on, sentRound
	// in which round any was.
	heartbeatSent bool
	sentRound     uint64
	lateSends     int
	news          Status
	newsVersion   uint64
	newsSends     int
}

// seed is an entry VM that the platform's list shows.
type seed struct {
	vm      identifier.VMID
	address string
	asOf    timekeeper.Time
}

// keyOf is the short name of an incarnation of a node in messages.
func keyOf(vm identifier.VMID, i identifier.Incarnation) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(vm), uint64(i)))
}

// Nodes returns the members, this node included and dead ones left out,
// sorted by VM.
func (m *Members) Nodes() []Node {
	var found []Node
	for _, r := range m.nodes.values() {
		if r.State != Dead {
			found = append(found, r.Node)
		}
	}
	return found
}

// Version changes with each change of what Nodes returns, but for when a member
// was last heard. What follows from the membership alone need not be worked out
// anew while it stands.
func (m *Members) Version() uint64 { return m.version }

// Count returns the number of members that were heard of within a span, this
// node included. Some that are dead by now may only be cut off.
func (m *Members) Count(now timekeeper.Time, within timekeeper.Duration) int {
	n := 0
	for _, r := range m.nodes.values() {
		if r == m.self || now.Sub(r.LastSeen) <= within {
			n++
		}
	}
	return n
}

// Node returns a member, also a dead one.
func (m *Members) Node(vm identifier.VMID) (Node, bool) {
	r := m.nodes.get(vm)
	if r == nil {
		return Node{}, false
	}
	return r.Node, true
}

// heard takes in a record of an incarnation of a node.
func (m *Members) heard(now timekeeper.Time, n Node, heartbeat uint64) []Change {
	if n.VM == m.self.VM {
		return m.heardSelf(n.Incarnation)
	}
	known := m.nodes.get(n.VM)
	switch {
	case known == nil:
		return m.join(now, n, heartbeat)
	case n.Incarnation < known.Incarnation:
		return nil
	case n.Incarnation == known.Incarnation:
		return m.beat(now, known, heartbeat)
	}
	var changes []Change
	if known.State != Dead {
		changes = append(changes, known.change(NodeDead))
	}
	delete(m.keys, known.key)
	m.nodes.remove(n.VM)
	m.version++
	return append(changes, m.join(now, n, heartbeat)...)
}

func (m *Members) heardSelf(i identifier.Incarnation) []Change {
	if i <= m.self.Incarnation {
		return nil
	}
	return []Change{m.self.change(NodeOutdated)}
}

func (m *Members) join(now timekeeper.Time, n Node, heartbeat uint64) []Change {
	n.State = Alive
	n.LeaveBy = timekeeper.Never
	n.LastSeen = now
	r := &nodeRecord{
		Node:      n,
		key:       keyOf(n.VM, n.Incarnation),
		heartbeat: heartbeat,
	}
	if !m.nodes.put(n.VM, r) {
		return nil
	}
	m.keys[r.key] = r
	m.version++
	return append([]Change{r.change(NodeJoined)}, m.judge(now, r)...)
}

// beat takes in a heartbeat. Only one that is larger than the last is news:
// the same one arrives many times, also long after the node has died.
func (m *Members) beat(now timekeeper.Time, r *nodeRecord, heartbeat uint64) []Change {
	if r == m.self || heartbeat <= r.heartbeat {
		return nil
	}
	r.heartbeat = heartbeat
	r.heartbeatSent = false
	r.lateSends = 0
	r.LastSeen = now
	return m.judge(now, r)
}

// judge brings the state of a node up to date.
func (m *Members) judge(now timekeeper.Time, r *nodeRecord) []Change {
	before := r.State
	r.State = m.stateOf(now, r)
	if r.State == before {
		return nil
	}
	m.version++
	r.lateSends = 0
	switch r.State {
	case Dead:
		return []Change{r.change(NodeDead)}
	case Suspect:
		return []Change{r.change(NodeSuspect)}
	case Leaving:
		return []Change{r.change(NodeLeaving)}
	}
	return []Change{r.change(NodeAlive)}
}

// judgeAll brings the states of all nodes up to date. It runs in every tick, so
// those whose state can't have changed since it was last judged cost a look at
// the clock: marks are applied as they come.
func (m *Members) judgeAll(now timekeeper.Time) []Change {
	suspect, dead := m.suspectAfter(), m.deadAfter()
	var changes []Change
	for _, r := range m.nodes.values() {
		age := now.Sub(r.LastSeen)
		same := r.State == Alive && age < suspect || r.State == Dead && age >= dead
		if !same || r == m.self {
			changes = append(changes, m.judge(now, r)...)
		}
	}
	return changes
}

func (m *Members) stateOf(now timekeeper.Time, r *nodeRecord) NodeState {
	r.LeaveBy = timekeeper.Never
	mk := m.marks.get(r.VM)
	leaving := mk != nil && mk.covers(r.Incarnation)
	if leaving {
		r.LeaveBy = mk.deadline
	}
	age := now.Sub(r.LastSeen)
	switch {
	case r != m.self && age >= m.deadAfter():
		return Dead
	case leaving:
		return Leaving
	case r != m.self && age >= m.suspectAfter():
		return Suspect
	}
	return Alive
}

func (r *nodeRecord) change(k ChangeKind) Change {
	c := Change{
		Kind:        k,
		VM:          r.VM,
		Incarnation: r.Incarnation,
	}
	if k == NodeLeaving {
		c.Deadline = r.LeaveBy
	}
	return c
}

// forgetNodes drops nodes that are long dead and not in the list.
func (m *Members) forgetNodes(now timekeeper.Time) {
	for _, r := range m.nodes.values() {
		gone := r.State == Dead && now.Sub(r.LastSeen) >= forgetAfter
		if gone && m.seeds.get(r.VM) == nil {
			delete(m.keys, r.key)
			m.nodes.remove(r.VM)
		}
	}
}
