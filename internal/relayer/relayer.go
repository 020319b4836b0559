// Package relayer implements the calls between nodes, as a twirp service over
// HTTP.
//
// NewHandler serves the calls of peers on the peer port and passes them to a
// Peer. A Client makes calls. Instants are transferred as durations and
// converted at both ends. Every message carries a stamp of the timeline's
// clock. All calls are idempotent, and the error of a call states whether it
// can have had an effect.
package relayer

//go:generate protoc --go_out=relayerpb --go_opt=paths=source_relative --twirp_out=relayerpb --twirp_opt=paths=source_relative --proto_path=relayerpb relayer.proto

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/historian"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/rationer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// DefaultMaxMessage is the maximum size of a message in both directions.
const DefaultMaxMessage identifier.Bytes = 16 << 20

const (
	// maxShortMessage is the size up to which messages are read at once: the records of
	// 6,000 servers take 660 KB. Of longer ones, such as requests with their answers, a node
	// reads maxLongMessages at a time in each direction.
	maxShortMessage identifier.Bytes = 1 << 20
	maxLongMessages                  = 2
	// maxErrorMessage bounds a reply that reports an error.
	maxErrorMessage identifier.Bytes = 16 << 10
)

func newRationer() *rationer.Rationer {
	return rationer.New(rationer.Config{
		Short: maxShortMessage,
		Long:  maxLongMessages,
	})
}

// Peer answers the calls of peers. Its methods are called from many
// goroutines.
type Peer interface {
	ReceiveGossip(from identifier.VMID, data []byte)
	StoreCopy(ctx context.Context, from identifier.VMID, p Push) HoldAnswer
	DropCopy(ctx context.Context, from identifier.VMID, r identifier.RequestID)
	// TakeOver returns nil if this node now owns the request. After an error
	// it does not, unless ctx has ended.
	TakeOver(ctx context.Context, from identifier.VMID, p Push) error
	Locate(q Query) (Location, bool)
	Ending(ctx context.Context, q Query) Ending
	ExportConfiguration(ctx context.Context) ([]byte, bool)
	ReceiveStateUpdate(from identifier.VMID, s messenger.StateUpdate)
	// GrantLimit grants a request of an account if this node grants the
	// central part of its limit.
	GrantLimit(ctx context.Context, account identifier.AccountID, tokens identifier.Tokens) messenger.LimitAnswered
	// GrantPermit grants a permit for one of several servers that state a
	// limit if this node grants permits.
	GrantPermit(ctx context.Context, limits []messenger.ServerLimit) messenger.PermitAnswered
	// GrantSlot grants a slot at one of several brittle servers if this node
	// allocates them, and ReceiveSlots takes a report of requests that have ended.
	GrantSlot(ctx context.Context, r messenger.SlotReport) messenger.SlotAnswered
	ReceiveSlots(r messenger.SlotReport)
	// ReceiveStreams takes a report of streams that have just begun.
	ReceiveStreams(streams []messenger.BegunStreams)
	// LocateStream returns the version at which a stream began, if this node knows it.
	LocateStream(ctx context.Context, q messenger.StreamQuery) messenger.StreamLocated
}

// Clock is the hybrid logical clock of the node's timeline.
type Clock interface {
	Stamp() historian.Stamp
	Observe(s historian.Stamp)
}

var _ Clock = (*historian.Historian)(nil)

// Push transfers a request, or a part of one, to a peer.
type Push struct {
	// Spec contains only the request's id if Body is nil.
	Spec  messenger.RequestSpec
	Epoch identifier.Epoch
	// Body is nil once the peer has it.
	Body      *answerer.Body
	Placement answerer.Placement
	Pieces    []answerer.Piece
	Reply     *answerer.Reply
}

// HoldAnswer is a holder's answer to a push.
type HoldAnswer string

// The answers of holders.
const (
	// HoldStored: the holder has stored everything that was pushed.
	HoldStored HoldAnswer = "kept"
	// HoldOwned: the holder now owns the request.
	HoldOwned HoldAnswer = "taken"
	// HoldIncomplete: the holder lacks earlier data and needs the complete
	// request.
	HoldIncomplete HoldAnswer = "behind"
	// HoldFull: the holder has no space for the request.
	HoldFull HoldAnswer = "full"
)

// Query asks a peer about a request of a client account.
type Query struct {
	Request identifier.RequestID
	Account identifier.AccountID
	// Wait is the time that the peer may wait for the end of the request.
	Wait timekeeper.Duration
}

// Location is the location of a request as known to a node.
type Location struct {
	// Address is the caller address of the node that has the request.
	Address string
	// Copy reports whether the node has only a copy: it becomes the owner if
	// the present owner is dead.
	Copy bool
}

// EndingState is a peer's knowledge of the end of a request.
type EndingState string

// The states of endings.
const (
	EndingKnown   EndingState = "known"
	EndingRunning EndingState = "running"
	EndingUnknown EndingState = "unknown"
)

// Ending describes the end of a request at a peer.
type Ending struct {
	State   EndingState
	Outcome messenger.Outcome
	Reason  messenger.Reason
	Pieces  []answerer.Piece
	Reply   *answerer.Reply
}
