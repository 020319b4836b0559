package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/server"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Reducer decides. Only the loop calls it.
type Reducer interface {
	Apply(e messenger.Event) []messenger.Effect
	// Catalog returns the configuration in force, or nil.
	Catalog() *catalog.Catalog
	// Streams returns the streams of the log to follow.
	Streams() []identifier.LogStream
	// Nodes returns the live nodes, this one included.
	Nodes() []gossiper.Node
	// Node returns a node, dead or alive.
	Node(vm identifier.VMID) (gossiper.Node, bool)
	Addresses(now timekeeper.Time, service identifier.ServiceName) ([]server.NodeAddress, timekeeper.Duration)
	Status(now timekeeper.Time) server.Status
	Files() map[identifier.FileName]server.FileState
	History() []configurer.Change
	// ExportConfiguration returns the state of the configuration for a peer.
	ExportConfiguration() ([]byte, bool)
}

// PlatformLog is the platform's append-only log.
type PlatformLog interface {
	// Append appends all records or none. With a *adapter.RateLimitedError
	// none was appended; with other errors they may have been.
	Append(ctx context.Context, records []adapter.Record) ([]identifier.Offset, error)
	Read(
		ctx context.Context, stream identifier.LogStream, from identifier.Offset,
		limit int, wait timekeeper.Duration,
	) (messenger.LogRead, error)
}

// Lister is the platform's list of VMs.
type Lister interface {
	List(ctx context.Context) (messenger.ListRead, error)
}

// Cloud sells VMs and takes them away.
type Cloud interface {
	Notices(ctx context.Context, after uint64, wait timekeeper.Duration) ([]adapter.Notice, error)
	Buy(ctx context.Context, b messenger.BuyVM) (identifier.VMID, error)
	Release(ctx context.Context, vm identifier.VMID) error
}

// Engines speaks to model engines.
type Engines interface {
	Start(ctx context.Context, address string, s adapter.Start, p adapter.Patience, sink adapter.Sink) error
	Resume(
		ctx context.Context, address string, stream identifier.StreamName, from identifier.Tokens,
		p adapter.Patience, sink adapter.Sink,
	) error
	Cancel(ctx context.Context, address string, stream identifier.StreamName) error
	MoveKV(ctx context.Context, address string, stream identifier.StreamName, toAddress string) error
	Load(ctx context.Context, address string) (messenger.ServerLoad, error)
	CacheEvents(ctx context.Context, address string, after uint64) (adapter.CacheEvents, error)
	Order(ctx context.Context, address string, o messenger.Order) error
}

// PlainServers speaks to plain servers.
type PlainServers interface {
	Call(ctx context.Context, address string, c adapter.PlainCall, p adapter.Patience) (adapter.PlainReply, error)
	Load(ctx context.Context, address string) (messenger.ServerLoad, error)
}

var (
	_ PlatformLog  = (*adapter.Log)(nil)
	_ Lister       = (*adapter.Lister)(nil)
	_ Cloud        = (*adapter.Cloud)(nil)
	_ Engines      = (*adapter.Engine)(nil)
	_ PlainServers = (*adapter.Plain)(nil)
)

// Peers speaks to other nodes at their peer addresses.
type Peers interface {
	Gossip(ctx context.Context, address string, data []byte) error
	Hold(ctx context.Context, address string, p Push) (HoldAnswer, error)
	Unhold(ctx context.Context, address string, r identifier.RequestID) error
	// HandOver returns nil once the peer owns the request.
	HandOver(ctx context.Context, address string, p Push) error
	// Locate returns what the peer knows of where a request is.
	Locate(ctx context.Context, address string, q Question) (Location, bool, error)
	// Configuration returns the peer's state of the configuration.
	Configuration(ctx context.Context, address string) ([]byte, error)
	// Outcome returns how a request that the peer owns ended; it waits up to
	// the question's Wait for that.
	Outcome(ctx context.Context, address string, q Question) (Ending, error)
}

// Question asks a peer about a request of a client account.
type Question struct {
	Request identifier.RequestID
	Account identifier.AccountID
	Wait    timekeeper.Duration
}

// Push is a request, or a part of one, on its way to a peer.
type Push struct {
	Spec messenger.RequestSpec
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
	HoldKept HoldAnswer = "kept"
	// HoldTaken: the holder owns the request now.
	HoldTaken HoldAnswer = "taken"
	// HoldBehind: the holder lacks what came before and wants everything.
	HoldBehind HoldAnswer = "behind"
	// HoldFull: the holder has no room for it.
	HoldFull HoldAnswer = "full"
)

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
