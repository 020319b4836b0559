package runner

import (
	"context"
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/configurer"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
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
	// Rollouts returns the roll-outs that the node knows.
	Rollouts(now timekeeper.Time) []promoter.Status
	Files() map[identifier.FileName]configurer.FileState
	History() []configurer.Change
	// ExportConfiguration returns the state of the configuration for a peer.
	ExportConfiguration() ([]byte, bool)
	// Following returns which records of the platform's store to read.
	Following(now timekeeper.Time) reducer.Following
	// Ready reports whether callers of opaque exchanges may come here, and
	// ReadyNodes where else they may go.
	Ready() bool
	ReadyNodes() []gossiper.Node
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

// PublishedStore is the platform's store of what operators and backend servers
// publish. An *ExpiredError means that records after the offset are gone: the
// whole has to be read anew.
type PublishedStore interface {
	// Era returns the era of the store as far as an answer has told.
	Generation() identifier.StoreGeneration
	// AllServers returns all entries, and the offset to go on from.
	AllServers(ctx context.Context) ([]messenger.PublishedServer, identifier.Offset, error)
	// ServersFrom returns the entries from an offset on, which may be none.
	ServersFrom(ctx context.Context, from identifier.Offset) ([]messenger.PublishedServer, identifier.Offset, error)
	// Configuration returns the newest configuration and the orders of roll-outs,
	// or nil where there are none yet.
	Configuration(ctx context.Context) (*Published, identifier.Offset, error)
	// ConfigurationFrom waits for either from an offset on; nil means that none
	// came in time.
	ConfigurationFrom(ctx context.Context, from identifier.Offset, wait timekeeper.Duration) (*Published, identifier.Offset, error)
	// Decode reads a configuration that a peer had from the store.
	Decode(data []byte) (*Published, error)
}

// Published is what operators wrote.
type Published struct {
	// Catalog is a configuration, and Data the same as the store has it; nil where
	// only orders were read.
	Catalog *catalog.Catalog
	Data    []byte
	// Orders are orders of roll-outs, the newest of each service last.
	Orders []messenger.RolloutOrder
}

// RolloutStore keeps the states of roll-outs. Nothing is written under a fence once a
// larger one was used.
type RolloutStore interface {
	// ClaimRollouts keeps holders with smaller fences from writing, and returns the
	// last state of each service's roll-out.
	ClaimRollouts(ctx context.Context, fence identifier.Fence) ([]messenger.Rollout, messenger.LeaderTaskResult)
	// KeepRollout writes a state and tells the operators.
	StoreRollout(ctx context.Context, e messenger.StoreRollout) messenger.LeaderTaskResult
}

// Duties are the calls to the platform that one node at a time makes. They say
// truthfully what became of each.
type LeaderTasks interface {
	ReportUsage(ctx context.Context, e messenger.ReportUsage) messenger.LeaderTaskResult
	OrderServers(ctx context.Context, e messenger.OrderServers) messenger.LeaderTaskResult
}

// ExpiredError reports that records which were to be read next are gone.
type RecordsExpiredError struct {
	FirstAvailable identifier.Offset
}

var _ error = (*RecordsExpiredError)(nil)

func (e *RecordsExpiredError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.FirstAvailable)
}

// Engines speaks to model engines.
type Engines interface {
	Start(ctx context.Context, address string, s adapter.StartRequest, p adapter.ResponseTimeouts, sink adapter.Sink) error
	Resume(
		ctx context.Context, address string, stream identifier.StreamName, from identifier.Tokens,
		p adapter.ResponseTimeouts, sink adapter.Sink,
	) error
	Cancel(ctx context.Context, address string, stream identifier.StreamName) error
	MoveKV(ctx context.Context, address string, stream identifier.StreamName, toAddress string) error
	Load(ctx context.Context, address string) (messenger.ServerLoad, error)
	CacheEvents(ctx context.Context, address string, after uint64) (adapter.CacheEvents, error)
	Order(ctx context.Context, address string, o messenger.Order) error
}

// PlainServers speaks to plain servers.
type PlainServers interface {
	Call(ctx context.Context, address string, c adapter.PlainCall, p adapter.ResponseTimeouts) (adapter.PlainReply, error)
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
	SendStateUpdate(ctx context.Context, address string, s messenger.StateUpdate) error
	Limit(ctx context.Context, address string, account identifier.AccountID, tokens identifier.Tokens) (messenger.LimitAnswered, error)
	Permit(ctx context.Context, address string, limits []messenger.ServerLimit) (messenger.PermitAnswered, error)
	Hold(ctx context.Context, address string, p relayer.Push) (relayer.HoldAnswer, error)
	Unhold(ctx context.Context, address string, r identifier.RequestID) error
	// HandOver returns nil once the peer owns the request. After an error for
	// which relayer.PeerError.NoEffect is false it may own it too.
	HandOver(ctx context.Context, address string, p relayer.Push) error
	Locate(ctx context.Context, address string, q relayer.Query) (relayer.Location, bool, error)
	Outcome(ctx context.Context, address string, q relayer.Query) (relayer.Ending, error)
	Configuration(ctx context.Context, address string) ([]byte, error)
}

var (
	_ Peers        = (*relayer.Client)(nil)
	_ relayer.Peer = (*Runner)(nil)
)
