package gossiper

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ChangeKind tells what changed in the membership.
type ChangeKind string

// The kinds of change.
const (
	NodeJoined  ChangeKind = "node_joined"
	NodeSuspect ChangeKind = "node_suspect"
	NodeAlive   ChangeKind = "node_alive"
	// NodeLeaving comes again when the deadline turns out to be earlier.
	NodeLeaving ChangeKind = "node_leaving"
	// NodeDead comes also when a peer's process was started anew: what the
	// older one had in memory is lost.
	NodeDead ChangeKind = "node_dead"
	// NodeThawed: this process itself was frozen for a while.
	NodeResumed ChangeKind = "node_thawed"
	// NodeOutdated: peers know a later incarnation of this very node, so they
	// ignore this process for good.
	NodeOutdated ChangeKind = "node_outdated"
	ServerJoined ChangeKind = "server_joined"
	// ServerLeaving comes again when the deadline turns out to be earlier.
	ServerLeaving ChangeKind = "server_leaving"
	ServerRemoved ChangeKind = "server_gone"
)

// Change is one change in the membership.
type Change struct {
	Kind ChangeKind
	VM   identifier.VMID
	// Incarnation is that of a node; it is zero for a backend server.
	Incarnation identifier.Incarnation
	// Deadline is set for a VM that is leaving, else zero.
	Deadline timekeeper.Time
}

// DecodeError reports a message that could not be read.
type DecodeError struct {
	From  identifier.VMID
	Cause error
}

func (e *DecodeError) Error() string {
	return "gossip from " + string(e.From) + ": " + e.Cause.Error()
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// SenderError is the cause of a DecodeError for a message whose sender is not
// the peer that it came from.
type SenderMismatchError struct {
	Sender identifier.VMID
}

func (e *SenderMismatchError) Error() string { return "message names sender " + string(e.Sender) }

// ColumnError is the cause of a DecodeError for a message whose parallel
// columns differ in length.
type ColumnLengthError struct {
	Keys   int
	Values int
}

func (e *ColumnLengthError) Error() string { return "columns of a message differ in length" }

var (
	_ error = (*DecodeError)(nil)
	_ error = (*SenderMismatchError)(nil)
	_ error = (*ColumnLengthError)(nil)
)
