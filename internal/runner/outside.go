package runner

import (
	"context"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
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
	// Addresses returns the nodes for the callers of an account, best first.
	Addresses(now timekeeper.Time, account identifier.AccountID) []gossiper.Node
	View(now timekeeper.Time) reducer.View
	Files() map[identifier.FileName]configurer.FileState
	History() []configurer.Change
	// ExportConfiguration returns the state of the configuration for a peer.
	ExportConfiguration() ([]byte, bool)
}

var _ Reducer = (*reducer.Reducer)(nil)

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
	Hold(ctx context.Context, address string, p relayer.Push) (relayer.HoldAnswer, error)
	Unhold(ctx context.Context, address string, r identifier.RequestID) error
	// HandOver returns nil once the peer owns the request. After an error for
	// which relayer.PeerError.NoEffect is false it may own it too.
	HandOver(ctx context.Context, address string, p relayer.Push) error
	Locate(ctx context.Context, address string, q relayer.Question) (relayer.Location, bool, error)
	Outcome(ctx context.Context, address string, q relayer.Question) (relayer.Ending, error)
	Configuration(ctx context.Context, address string) ([]byte, error)
}

var (
	_ Peers        = (*relayer.Client)(nil)
	_ relayer.Peer = (*Runner)(nil)
)
