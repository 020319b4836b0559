// Package engine is the stand-in for a model engine with continuous batching.
//
//	POST   /generate                  starts a stream, or joins an existing one
//	GET    /streams/{name}?from=N     resumes after token N; 404 when unknown
//	DELETE /streams/{name}            cancels a stream
//	POST   /streams/{name}/export     copies the KV cache to another engine
//	PUT    /kv/{name}                 receives a KV cache from another engine
//	GET    /load                      the load as of Config.LoadLag ago
//	GET    /cache_events?after=SEQ    changes of the prefix cache, delayed and with gaps
//	POST   /orders                    loads a model or sets the role; 409 when stale
//	GET    /ledger                    the executed streams
//	GET    /faults, POST /faults      the fault settings, see Faults
//
// Streams are returned as server-sent events. The id of a token's event is its
// index in the answer, counted from 1. An "end" event follows a complete answer,
// an "error" event an answer that ended early. A stream without readers continues
// for Config.OrphanTimeout; an ended stream is retained for Config.Retention. Any
// number of readers may read a stream, from any index.
//
// A request refused before execution gets status 503 and the header
// Outcome: not_run.
//
// The tokens are those of standin.Token. A start with From > 0 contains the
// answer so far in Given. If that differs from the expected answer, so does the
// continuation, as with a real model.
package engine

import (
	"cmp"
	"context"
	"net/http"
	"sync"

	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config describes the engine's behavior without faults.
type Config struct {
	VM    identifier.VMID
	Zone  identifier.Zone
	Pool  identifier.PoolName
	Model identifier.ModelName
	Clock timekeeper.Clock
	// Slots bounds the running streams, MaxWaiting the queued ones.
	Slots      int
	MaxWaiting int
	// TokensPerSecond is the decode rate of a stream that runs alone. With all
	// slots in use the rate falls by the fraction BatchSlowdown.
	TokensPerSecond float64
	BatchSlowdown   float64
	// PrefillPerSecond is the engine's total prefill rate in tokens per second.
	PrefillPerSecond float64
	// KVTokens bounds the total context of all running streams.
	KVTokens identifier.Tokens
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// KVBytesPerToken and TransferRate determine the duration of an export.
	KVBytesPerToken identifier.Bytes
	TransferRate    identifier.BytesPerSecond
	// ChecksFence makes the engine refuse orders with a stale fencing number.
	ChecksFence bool
	// LoadLag and CacheLag delay load reports and cache events.
	LoadLag  timekeeper.Duration
	CacheLag timekeeper.Duration
	// OrphanTimeout is the time after which a stream without readers ends;
	// Retention is the time for which an ended stream stays readable.
	OrphanTimeout timekeeper.Duration
	Retention     timekeeper.Duration
	// WeightAddress is the weight store's address. If it is empty, models load
	// at once.
	WeightAddress string
}

// Defaults for zero fields of Config.
const (
	DefaultSlots            = 8
	DefaultMaxWaiting       = 64
	DefaultTokensPerSecond  = 40.0
	DefaultBatchSlowdown    = 0.3
	DefaultPrefillPerSecond = 4000.0
	DefaultKVTokens         = 65536
	DefaultKVBytesPerToken  = 128 << 10
	DefaultTransferRate     = 1 << 30
	DefaultOrphanTimeout    = 30 * timekeeper.Second
	DefaultRetention        = timekeeper.Minute
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	c.Slots = cmp.Or(c.Slots, DefaultSlots)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, DefaultMaxWaiting)
	c.TokensPerSecond = cmp.Or(c.TokensPerSecond, DefaultTokensPerSecond)
	c.BatchSlowdown = cmp.Or(c.BatchSlowdown, DefaultBatchSlowdown)
	c.PrefillPerSecond = cmp.Or(c.PrefillPerSecond, DefaultPrefillPerSecond)
	c.KVTokens = cmp.Or(c.KVTokens, DefaultKVTokens)
	c.CacheBlocks = cmp.Or(c.CacheBlocks, int(c.KVTokens)/2/blockTokens)
	c.KVBytesPerToken = cmp.Or(c.KVBytesPerToken, DefaultKVBytesPerToken)
	c.TransferRate = cmp.Or(c.TransferRate, DefaultTransferRate)
	c.OrphanTimeout = cmp.Or(c.OrphanTimeout, DefaultOrphanTimeout)
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	return c
}

// Faults are the engine's fault settings.
type Faults struct {
	standin.ConnFaults
	// StallConnections permanently stops all responses on the currently open
	// connections; new ones work. It is reset at once.
	StallConnections bool `json:"silence"`
	// Refuse rejects all new streams with status 503 and Outcome: not_run.
	Refuse bool `json:"refuse"`
	// SlowFactor divides the engine's speed; values below 1 have no effect.
	SlowFactor float64 `json:"slow_factor"`
	// AbortAfter closes each reader's connection after that number of tokens;
	// the stream itself continues. 0 disables it.
	AbortAfter int `json:"break_after"`
	// DropStartResponses is the number of upcoming starts that are executed but
	// whose connection is closed before the response.
	DropStartResponses int `json:"lose_starts"`
	// ReportIdle makes load reports claim that the engine is idle.
	ReportIdle bool `json:"lie_idle"`
	// FailLoadReports makes load requests fail with status 503.
	FailLoadReports bool `json:"mute_load"`
	// DropCacheEvents drops every n-th cache event; 0 disables it.
	DropCacheEvents int `json:"drop_cache_events"`
	// OrderDelayMS delays an order between its fence check and its effect.
	OrderDelayMS int64 `json:"order_slow_ms"`
	// RefuseImport rejects KV caches from other engines.
	RefuseImport bool `json:"refuse_import"`
}

// Engine simulates a model engine. It is safe for concurrent use.
type Engine struct {
	// Gate applies the connection faults.
	Gate     *standin.Gate
	config   Config
	switches *standin.Switches[Faults]

	mu         sync.Mutex
	model      identifier.ModelName
	role       string
	fence      identifier.Fence
	waiting    []*stream
	running    []*stream
	streams    map[identifier.StreamName]*stream
	kvUsed     identifier.Tokens
	cache      *prefixCache
	imports    map[identifier.StreamName]importedKV
	reports    []loadReport
	linkIdleAt timekeeper.Time // when the transfer link has finished all exports
	ledger     ledger
	wake       chan struct{}
}

var _ standin.Service = (*Engine)(nil)

// New returns an idle engine.
func New(c Config) *Engine {
	c = c.withDefaults()
	gate := standin.NewGate()
	e := &Engine{
		Gate:    gate,
		config:  c,
		model:   c.Model,
		streams: make(map[identifier.StreamName]*stream),
		cache:   newPrefixCache(c.CacheBlocks),
		imports: make(map[identifier.StreamName]importedKV),
		wake:    make(chan struct{}, 1),
	}
	e.switches = &standin.Switches[Faults]{OnChange: e.applyFaults}
	return e
}

// SetFaults applies change to the fault settings.
func (e *Engine) SetFaults(change func(*Faults)) { e.switches.Update(change) }

func (e *Engine) applyFaults(f Faults) {
	e.Gate.Set(f.ConnFaults)
	if f.StallConnections {
		e.Gate.StallConnections()
		e.switches.Update(func(f *Faults) { f.StallConnections = false })
	}
	e.wakeScheduler()
}

// wakeScheduler makes the scheduler run its next step at once.
func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// Handler serves the engine's protocol.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /generate", e.generate)
	mux.HandleFunc("GET /streams/{name}", e.resume)
	mux.HandleFunc("DELETE /streams/{name}", e.cancel)
	mux.HandleFunc("POST /streams/{name}/export", e.exportKV)
	mux.HandleFunc("PUT /kv/{name}", e.importKV)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache_events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /ledger", e.serveLedger)
	mux.Handle("/faults", e.switches)
	return mux
}

// Run schedules the streams until ctx ends.
func (e *Engine) Run(ctx context.Context) { e.schedule(ctx) }
