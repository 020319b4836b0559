package runner

import (
	"context"
	"fmt"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/calibrator"
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

// Reducer makes the decisions of a node. It is called only by the loop.
type Reducer interface {
	Apply(e messenger.Event) []messenger.Effect
	// Catalog returns the configuration in force, or nil.
	Catalog() *catalog.Catalog
	// Streams returns the log streams to follow.
	Streams() []identifier.LogStream
	// Nodes returns the live nodes, including this one.
	Nodes() []gossiper.Node
	// Node returns a node, dead or alive.
	Node(vm identifier.VMID) (gossiper.Node, bool)
	// Addresses returns the nodes for the callers of an account, best first.
	Addresses(now timekeeper.Time, account identifier.AccountID) []gossiper.Node
	View(now timekeeper.Time) reducer.View
	// Rollouts returns the rollouts known to the node.
	Rollouts(now timekeeper.Time) []promoter.Status
	// ServerFactors returns the shared factors of the servers known to the node.
	ServerFactors() calibrator.Statuses
	Files() map[identifier.FileName]configurer.FileState
	History() []configurer.Change
	// ExportConfiguration returns the encoded state of the configuration for a
	// peer.
	ExportConfiguration() ([]byte, bool)
	// Following returns the kinds of records to read from the platform's store.
	Following(now timekeeper.Time) reducer.Following
	// Ready reports whether this node accepts callers of opaque exchanges.
	// ReadyNodes returns the nodes that do.
	Ready() bool
	ReadyNodes() []gossiper.Node
	// Moving reports whether the server of an exchange was called to stop its stream.
	Moving(id identifier.ExchangeID) bool
}

var _ Reducer = (*reducer.Reducer)(nil)

// PlatformLog is the platform's append-only log.
type PlatformLog interface {
	// Append appends all records or none. After an *adapter.RateLimitedError
	// none was appended; after any other error they may have been.
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

// Cloud buys and releases VMs and reports reclaim notices.
type Cloud interface {
	Notices(ctx context.Context, after uint64, wait timekeeper.Duration) ([]adapter.Notice, error)
	Buy(ctx context.Context, b messenger.BuyVM) (identifier.VMID, error)
	Release(ctx context.Context, vm identifier.VMID) error
}

// PublishedStore is the platform's store of the records that operators and
// backend servers publish. A *RecordsExpiredError means that records after the
// offset have been deleted, so that all records must be read again.
type PublishedStore interface {
	// Generation returns the latest generation that an answer of the store has
	// stated.
	Generation() identifier.StoreGeneration
	// AllServers returns all entries and the offset at which to continue.
	AllServers(ctx context.Context) ([]messenger.PublishedServer, identifier.Offset, error)
	// ServersFrom returns the entries from an offset on, if any, and the offset
	// at which to continue.
	ServersFrom(ctx context.Context, from identifier.Offset) ([]messenger.PublishedServer, identifier.Offset, error)
	// Configuration returns the latest configuration and rollout orders, or nil
	// if none exists.
	Configuration(ctx context.Context) (*Published, identifier.Offset, error)
	// ConfigurationFrom waits for a configuration or an order from an offset
	// on. It returns nil if none arrives within the wait.
	ConfigurationFrom(ctx context.Context, from identifier.Offset, wait timekeeper.Duration) (*Published, identifier.Offset, error)
	// Decode decodes a configuration that a peer received from the store.
	Decode(data []byte) (*Published, error)
}

// Published holds records that operators published.
type Published struct {
	// Catalog is the decoded configuration and Data its encoding in the store.
	// Both are nil if only orders were read.
	Catalog *catalog.Catalog
	Data    []byte
	// Orders are rollout orders, the newest of each service last. OrderedServices also
	// names services whose order is unreadable.
	Orders          []messenger.RolloutOrder
	OrderedServices []identifier.ServiceName
}

// RolloutStore stores the state of rollouts. It rejects a write whose fence is
// lower than one already used.
type RolloutStore interface {
	// ClaimRollouts fences off holders of lower fences and returns the stored
	// state of each service's rollout.
	ClaimRollouts(ctx context.Context, fence identifier.Fence) ([]messenger.Rollout, messenger.LeaderTaskResult)
	// StoreRollout writes the state of a rollout and notifies the operators.
	StoreRollout(ctx context.Context, e messenger.StoreRollout) messenger.LeaderTaskResult
}

// LeaderTasks are the platform calls that only the leader makes. The result
// states whether a call took effect, was fenced off or refused, or is unknown.
type LeaderTasks interface {
	ReportUsage(ctx context.Context, e messenger.ReportUsage) messenger.LeaderTaskResult
	OrderServers(ctx context.Context, e messenger.OrderServers) messenger.LeaderTaskResult
}

// StreamMover calls backend servers to move running streams.
type StreamMover interface {
	// Move has a server copy the memory of a run. The result states what came of it also if
	// there is an error.
	Move(ctx context.Context, e messenger.MoveExchange) (messenger.ExchangeMoved, error)
	// Free frees the copies of a run's memory.
	Free(ctx context.Context, e messenger.FreeMemory) error
}

// RecordsExpiredError reports that the next records to read have expired.
// Records from offset FirstAvailable on remain.
type RecordsExpiredError struct {
	FirstAvailable identifier.Offset
}

var _ error = (*RecordsExpiredError)(nil)

func (e *RecordsExpiredError) Error() string {
	return fmt.Sprintf("records before offset %d have expired", e.FirstAvailable)
}

// Engines calls model engines.
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

// PlainServers calls plain servers.
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

// Peers calls other nodes at their peer addresses.
type Peers interface {
	Gossip(ctx context.Context, address string, data []byte) error
	SendStateUpdate(ctx context.Context, address string, s messenger.StateUpdate) error
	Limit(ctx context.Context, address string, account identifier.AccountID, tokens identifier.Tokens) (messenger.LimitAnswered, error)
	Permit(ctx context.Context, address string, limits []messenger.ServerLimit) (messenger.PermitAnswered, error)
	Slot(ctx context.Context, address string, r messenger.SlotReport) (messenger.SlotAnswered, error)
	ReportSlots(ctx context.Context, address string, r messenger.SlotReport) error
	Stream(ctx context.Context, address string, q messenger.StreamQuery) (messenger.StreamLocated, error)
	ReportStreams(ctx context.Context, address string, streams []messenger.BegunStreams) error
	Hold(ctx context.Context, address string, p relayer.Push) (relayer.HoldAnswer, error)
	Unhold(ctx context.Context, address string, r identifier.RequestID) error
	// HandOver returns nil once the peer owns the request. After an error for
	// which relayer.PeerError.NoEffect returns false, the peer may own it too.
	HandOver(ctx context.Context, address string, p relayer.Push) error
	Locate(ctx context.Context, address string, q relayer.Query) (relayer.Location, bool, error)
	Outcome(ctx context.Context, address string, q relayer.Query) (relayer.Ending, error)
	Configuration(ctx context.Context, address string) ([]byte, error)
}

var (
	_ Peers        = (*relayer.Client)(nil)
	_ relayer.Peer = (*Runner)(nil)
)
