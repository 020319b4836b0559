package gossiper

import (
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

// Node is a member as this node knows it.
type Node struct {
	VM            identifier.VMID
	Incarnation   identifier.Incarnation
	Zone          identifier.Zone
	Region        identifier.Region
	PeerAddress   string
	CallerAddress string
	State         NodeState
	// LeaveBy is the end of a leaving node, else Never.
	LeaveBy timekeeper.Time
	// LastHeard is when news of it last arrived, directly or through others.
	LastHeard timekeeper.Time
}
