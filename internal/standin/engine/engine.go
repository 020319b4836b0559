// Package engine is the stand-in for a model engine with continuous batching.
//
//	POST   /generate                  starts a stream, or joins the one of that name
//	GET    /streams/{name}?from=N     resumes after token N; 404 when unknown
//	DELETE /streams/{name}            cancels
//	POST   /streams/{name}/export     copies the KV cache to another engine
//	PUT    /kv/{name}                 takes a copy from another engine
//	GET    /load                      the load as it was Config.LoadLag ago
//	GET    /cache_events?after=SEQ    changes of the prefix cache, late and with gaps
//	POST   /orders                    loads a model or sets the role; 409 when stale
//	GET    /ledger                    what ran
//	GET    /faults, POST /faults      the switches, see Faults
//
// A stream answers as server-sent events. Each token is an event with the
// token's index in the answer, from 1, as its id; an "end" event closes a
// whole answer, an "error" event one that will not go on. A stream goes on
// without a reader for Config.OrphanTimeout and is kept for Config.Retention after
// its end; any number of readers may read it, from any index.
//
// A refusal before anything ran is a 503 with the header Outcome: not_run.
//
// The tokens are those of standin.Token. A start with From > 0 carries the
// tokens so far in Given; where they are not the true ones, the continuation
// is wrong too, as a real model's would be.
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

// Config says how the engine behaves without faults.
type Config struct {
	VM    identifier.VMID
	Zone  identifier.Zone
	Pool  identifier.PoolName
	Model identifier.ModelName
	Clock timekeeper.Clock
	// Slots is how many streams run at once, MaxWaiting how many may wait.
	Slots      int
	MaxWaiting int
	// TokensPerSecond is the pace of a stream that runs alone. With all slots
	// taken it falls by the share BatchSlowdown.
	TokensPerSecond float64
	BatchSlowdown   float64
	// PrefillPerSecond is the pace at which the engine reads prompts, for all
	// streams together.
	PrefillPerSecond float64
	// KVTokens bounds the context of all running streams together.
	KVTokens identifier.Tokens
	// CacheBlocks bounds the prefix cache.
	CacheBlocks int
	// KVBytesPerToken and TransferRate give the time of an export.
	KVBytesPerToken identifier.Bytes
	TransferRate    identifier.BytesPerSecond
	// ChecksFence makes the engine refuse an order with an old fencing number.
	ChecksFence bool
	// LoadLag is how old a load report is, CacheLag a cache event.
	LoadLag  timekeeper.Duration
	CacheLag timekeeper.Duration
	// OrphanTimeout bounds how long a stream goes on without a reader, Retention
	// how long an ended one may still be read.
	OrphanTimeout timekeeper.Duration
	Retention     timekeeper.Duration
	// WeightAddress is the weight store's address. Without it a model loads
	// at once.
	WeightAddress string
}

// The values of Config that apply where it says nothing.
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

// Faults are the engine's fault switches.
type Faults struct {
	standin.ConnFaults
	// StallConnections, when set, makes the connections that are open now silent for
	// good; new ones work. It falls back by itself.
	StallConnections bool `json:"silence"`
	// Refuse refuses each start with 503 and Outcome: not_run.
	Refuse bool `json:"refuse"`
	// SlowFactor divides the engine's pace where it is above 1.
	SlowFactor float64 `json:"slow_factor"`
	// AbortAfter cuts each reader's connection after so many tokens; the
	// stream itself goes on. 0 is off.
	AbortAfter int `json:"break_after"`
	// DropStartResponses counts the next starts that run, but whose connection is cut
	// before the answer.
	DropStartResponses int `json:"lose_starts"`
	// ReportIdle makes load reports show an idle engine.
	ReportIdle bool `json:"lie_idle"`
	// FailLoadReports makes load reports fail with 503.
	FailLoadReports bool `json:"mute_load"`
	// DropCacheEvents drops every n-th cache event; 0 is off.
	DropCacheEvents int `json:"drop_cache_events"`
	// OrderDelayMS is how long an order takes from its fence check to its
	// effect.
	OrderDelayMS int64 `json:"order_slow_ms"`
	// RefuseImport refuses KV copies from other engines.
	RefuseImport bool `json:"refuse_import"`
}

// Engine is the stand-in. It is safe for concurrent use.
type Engine struct {
	// Gate applies the faults of the connection.
	Gate     *standin.Gate
	config   Config
	switches *standin.Switches[Faults]

	mu      sync.Mutex
	model   identifier.ModelName
	role    string
	fence   identifier.Fence
	waiting []*stream
	running []*stream
	streams map[identifier.StreamName]*stream
	kvUsed  identifier.Tokens
	cache   *prefixCache
	imports map[identifier.StreamName]importedKV
	reports []report
	link    timekeeper.Time // until when the transfer link is taken
	ledger  ledger
	wake    chan struct{}
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

// SetFaults changes the fault switches in place.
func (e *Engine) SetFaults(change func(*Faults)) { e.switches.Update(change) }

func (e *Engine) applyFaults(f Faults) {
	e.Gate.Set(f.ConnFaults)
	if f.StallConnections {
		e.Gate.StallConnections()
		e.switches.Update(func(f *Faults) { f.StallConnections = false })
	}
	e.nudge()
}

// nudge wakes the scheduler.
func (e *Engine) nudge() {
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
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /cache_events", e.cacheEvents)
	mux.HandleFunc("POST /orders", e.order)
	mux.HandleFunc("GET /ledger", e.serveLedger)
	mux.Handle("/faults", e.switches)
	return mux
}

// Run schedules the streams until ctx ends.
func (e *Engine) Run(ctx context.Context) { e.schedule(ctx) }
