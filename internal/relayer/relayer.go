// Package relayer carries the calls between nodes, as a twirp service over
// HTTP.
//
// NewHandler serves the calls of peers on the peer port and passes them to a
// Peer. A Client makes them. Instants travel as spans and are converted at both
// ends. Every message carries a stamp of the time line's clock. All calls may
// be repeated, and the error of a call tells whether it can have taken effect.
package relayer

//go:generate protoc --go_out=relayerpb --go_opt=paths=source_relative --twirp_out=relayerpb --twirp_opt=paths=source_relative --proto_path=relayerpb relayer.proto

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// DefaultMaxMessage bounds a message in both directions.
const DefaultMaxMessage identifier.Bytes = 16 << 20

// Peer answers the calls of peers. It is called from many goroutines.
type Peer interface {
	ReceiveGossip(from identifier.VMID, data []byte)
	StoreCopy(ctx context.Context, from identifier.VMID, p Push) HoldAnswer
	DropCopy(ctx context.Context, from identifier.VMID, r identifier.RequestID)
	// TakeOver returns nil once this node owns the request. An error means
	// that it does not, unless ctx has ended.
	TakeOver(ctx context.Context, from identifier.VMID, p Push) error
	Locate(q Query) (Location, bool)
	Ending(ctx context.Context, q Query) Ending
	ExportConfiguration(ctx context.Context) ([]byte, bool)
	ReceiveStateUpdate(from identifier.VMID, s messenger.StateUpdate)
	// GrantLimit grants a request of an account, where this node does that.
	GrantLimit(ctx context.Context, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered
	// GrantPermit grants a request to one of some servers that state a limit, where
	// this node does that.
	GrantPermit(ctx context.Context, limits []messenger.ServerLimit) messenger.PermitAnswered
}

// Clock is the hybrid logical clock of the node's time line.
type Clock interface {
	Stamp() historian.Stamp
	Observe(s historian.Stamp)
}

var _ Clock = (*historian.Historian)(nil)

// Push is a request, or a part of one, on its way to a peer.
type Push struct {
	// Spec has only the request's id where Body is left out.
	Spec  messenger.RequestSpec
	Epoch identifier.Epoch
	// Body is left out once the peer has it.
	Body   *answerer.Body
	Place  answerer.Place
	Pieces []answerer.Piece
	Reply  *answerer.Reply
}

// HoldAnswer is what a holder says to a push.
type HoldAnswer string

// The answers of holders.
const (
	// HoldKept: the holder has all that was pushed.
	HoldStored HoldAnswer = "kept"
	// HoldTaken: the holder owns the request now.
	HoldOwned HoldAnswer = "taken"
	// HoldBehind: the holder lacks what came before and wants everything.
	HoldIncomplete HoldAnswer = "behind"
	// HoldFull: the holder has no room for it.
	HoldFull HoldAnswer = "full"
)

// Question asks a peer about a request of a client account.
type Query struct {
	Request identifier.RequestID
	Account identifier.AccountID
	// Wait is how long the peer may wait for the end of the request.
	Wait timekeeper.Duration
}

// Location is what a node knows of where a request is.
type Location struct {
	// Address is the caller address to go to.
	Address string
	// Copy tells that the node has only a copy: it will own the request if
	// the owner is dead.
	Copy bool
}

// EndingState tells what a peer knows of the end of a request.
type EndingState string

// The states of endings.
const (
	EndingKnown   EndingState = "known"
	EndingRunning EndingState = "running"
	EndingUnknown EndingState = "unknown"
)

// Ending is how a request ended at a peer.
type Ending struct {
	State   EndingState
	Outcome messenger.Outcome
	Reason  messenger.Reason
	Pieces  []answerer.Piece
	Reply   *answerer.Reply
}
