package gossiper

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// NodeState is the state of a node as assumed by this node.
type NodeState string

// The states of a node.
const (
	// Alive: a heartbeat was received recently.
	Alive NodeState = "alive"
	// Suspect: the next heartbeat is overdue.
	Suspect NodeState = "suspect"
	// Leaving: the VM is being reclaimed, or the node is stopping as planned.
	Leaving NodeState = "leaving"
	// Dead: no heartbeat has been received for a long time.
	Dead NodeState = "dead"
)

// deadRetention is the time for which the record of a dead node is retained
// after the list no longer shows it.
const deadRetention = 10 * timekeeper.Minute

// Node is a member as known to this node.
type Node struct {
	VM            identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	// Capacity is the capacity of the VM in a unit that all nodes share; zero
	// if it is not known.
	Capacity uint32
	State    NodeState
	// LeaveBy is the deadline of a leaving node, and Never otherwise.
	LeaveBy timekeeper.Time
	// LastSeen is the time at which the node's last new heartbeat arrived,
	// directly or through other nodes.
	LastSeen timekeeper.Time
}

// nodeRecord is a node with its gossip state. The counts of sends are the
// rounds in which a change was forwarded.
type nodeRecord struct {
	Node
	key       uint64
	heartbeat uint64
	// heartbeatSent reports whether the present heartbeat was forwarded, and
	// sentRound is the round in which a heartbeat was last forwarded.
	heartbeatSent bool
	sentRound     uint64
	lateSends     int
	status        Status
	statusVersion uint64
	statusSends   int
}

// seed is an entry VM in the platform's list.
type seed struct {
	vm      identifier.VMID
	address string
	asOf    timekeeper.Time
}

// keyOf returns the short key that identifies an incarnation of a node in
// messages.
func keyOf(vm identifier.VMID, i identifier.Incarnation) uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(vm), uint64(i)))
}

// Nodes returns the members that are not dead, including this node, sorted by
// VM.
func (m *Members) Nodes() []Node {
	var nodes []Node
	for _, r := range m.nodes.values() {
		if r.State != Dead {
			nodes = append(nodes, r.Node)
		}
	}
	return nodes
}

// Version returns a number that changes whenever the result of Nodes changes,
// except for LastSeen. Values derived from the membership can be cached until
// it changes.
func (m *Members) Version() uint64 { return m.version }

// Count returns the number of members seen within a time span, including this
// node. It includes members that are dead by now, as they may only be
// unreachable.
func (m *Members) Count(now timekeeper.Time, within timekeeper.Duration) int {
	n := 0
	for _, r := range m.nodes.values() {
		if r == m.self || now.Sub(r.LastSeen) <= within {
			n++
		}
	}
	return n
}

// Node returns a member, which may be dead.
func (m *Members) Node(vm identifier.VMID) (Node, bool) {
	r := m.nodes.get(vm)
	if r == nil {
		return Node{}, false
	}
	return r.Node, true
}

// mergeNode merges the record of an incarnation of a node.
func (m *Members) mergeNode(now timekeeper.Time, n Node, heartbeat uint64) []Change {
	if n.VM == m.self.VM {
		return m.mergeSelf(n.Incarnation)
	}
	known := m.nodes.get(n.VM)
	switch {
	case known == nil:
		return m.addNode(now, n, heartbeat)
	case n.Incarnation < known.Incarnation:
		return nil
	case n.Incarnation == known.Incarnation:
		return m.mergeHeartbeat(now, known, heartbeat)
	}
	var changes []Change
	if known.State != Dead {
		changes = append(changes, known.change(NodeDead))
	}
	delete(m.keys, known.key)
	m.nodes.remove(n.VM)
	m.version++
	return append(changes, m.addNode(now, n, heartbeat)...)
}

func (m *Members) mergeSelf(i identifier.Incarnation) []Change {
	if i <= m.self.Incarnation {
		return nil
	}
	return []Change{m.self.change(NodeOutdated)}
}

func (m *Members) addNode(now timekeeper.Time, n Node, heartbeat uint64) []Change {
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
	return append([]Change{r.change(NodeJoined)}, m.updateState(now, r)...)
}

// mergeHeartbeat merges a heartbeat. Only a larger one than the last counts
// as a sign of life: the same heartbeat arrives many times, even long after
// the node has died.
func (m *Members) mergeHeartbeat(now timekeeper.Time, r *nodeRecord, heartbeat uint64) []Change {
	if r == m.self || heartbeat <= r.heartbeat {
		return nil
	}
	r.heartbeat = heartbeat
	r.heartbeatSent = false
	r.lateSends = 0
	r.LastSeen = now
	return m.updateState(now, r)
}

// updateState recomputes the state of a node.
func (m *Members) updateState(now timekeeper.Time, r *nodeRecord) []Change {
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

// updateStates recomputes the states of all nodes. It runs in every tick, so
// it skips nodes whose state cannot have changed: marks are applied when they
// arrive.
func (m *Members) updateStates(now timekeeper.Time) []Change {
	suspect, dead := m.suspectAfter(), m.deadAfter()
	var changes []Change
	for _, r := range m.nodes.values() {
		age := now.Sub(r.LastSeen)
		unchanged := r.State == Alive && age < suspect || r.State == Dead && age >= dead
		if !unchanged || r == m.self {
			changes = append(changes, m.updateState(now, r)...)
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

// removeDeadNodes removes nodes that have been dead for deadRetention and are
// not in the list.
func (m *Members) removeDeadNodes(now timekeeper.Time) {
	for _, r := range m.nodes.values() {
		expired := r.State == Dead && now.Sub(r.LastSeen) >= deadRetention
		if expired && m.seeds.get(r.VM) == nil {
			delete(m.keys, r.key)
			m.nodes.remove(r.VM)
		}
	}
}
