package gossiper

import (
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// ChangeKind is a kind of change in the membership. Its value is also the
// kind of the timeline entry.
type ChangeKind string

// The kinds of change.
const (
	NodeJoined  ChangeKind = "node_joined"
	NodeSuspect ChangeKind = "node_suspect"
	NodeAlive   ChangeKind = "node_alive"
	// NodeLeaving is reported again if the deadline moves to an earlier
	// instant.
	NodeLeaving ChangeKind = "node_leaving"
	// NodeDead is also reported if a peer's process was restarted: the memory
	// of the old process is lost.
	NodeDead ChangeKind = "node_dead"
	// NodeResumed: this process was suspended for a while and runs again.
	NodeResumed ChangeKind = "node_thawed"
	// NodeOutdated: peers know a later incarnation of this node, so they
	// ignore this process permanently.
	NodeOutdated ChangeKind = "node_outdated"
	ServerJoined ChangeKind = "server_joined"
	// ServerLeaving is reported again if the deadline moves to an earlier
	// instant.
	ServerLeaving ChangeKind = "server_leaving"
	ServerRemoved ChangeKind = "server_gone"
)

// Change is one change in the membership.
type Change struct {
	Kind ChangeKind
	VM   identifier.VMID
	// Incarnation is the incarnation of a node, and zero for a backend
	// server.
	Incarnation identifier.Incarnation
	// Deadline is set for a leaving VM, and zero otherwise.
	Deadline timekeeper.Time
}

// DecodeError reports a message that could not be decoded.
type DecodeError struct {
	From  identifier.VMID
	Cause error
}

func (e *DecodeError) Error() string {
	return "gossip from " + string(e.From) + ": " + e.Cause.Error()
}

func (e *DecodeError) Unwrap() error { return e.Cause }

// SenderMismatchError is the cause of a DecodeError if the sender named in a
// message is not the peer that sent it.
type SenderMismatchError struct {
	Sender identifier.VMID
}

func (e *SenderMismatchError) Error() string { return "message claims to be from " + string(e.Sender) }

// ColumnLengthError is the cause of a DecodeError if parallel columns of a
// message differ in length.
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
