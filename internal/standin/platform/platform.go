// Package platform is the stand-in for the platform services: an append-only log,
// a delayed VM list, a cloud API and a weight store.
//
//	POST   /log/append               appends records atomically
//	GET    /log/read                 ?stream=&from=&limit=&wait_ms= (long poll)
//	GET    /vms                      the VM list as of Config.ListLag ago
//	POST   /cloud/vms                buys a VM; 409 when refused
//	DELETE /cloud/vms/{vm}           releases a VM
//	GET    /cloud/notices            ?after=&wait_ms= reclaim notices (long poll)
//	GET    /weights/{model}          weights; readers share Config.WeightRate
//
// Endpoints for tests, demos and hosters:
//
//	POST   /admin/vms                registers a VM, or the address of a bought one
//	DELETE /admin/vms/{vm}           removes a VM
//	POST   /admin/reclaim            reclaims a VM or a zone with notice
//	GET    /admin/feed               ?after=&wait_ms= purchases, reclaims, releases (long poll)
//	GET    /faults, POST /faults     the fault settings, see Faults
//
// Error responses contain an encoder.Problem. Status 429 means that the append
// rate was exceeded and nothing was appended. Status 503 means unavailable; the
// request may or may not have taken effect.
package platform

import (
	"cmp"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Config describes the platform's behavior without faults.
type Config struct {
	Clock timekeeper.Clock
	// Retention is the time for which the log keeps a record.
	Retention timekeeper.Duration
	// AppendRate bounds the appends per second; a batch counts as one append.
	AppendRate float64
	// ListLag is the age of the VM list.
	ListLag timekeeper.Duration
	// WeightBytes is the size of a model's weights; WeightRate is the weight
	// store's total rate in bytes per second.
	WeightBytes int64
	WeightRate  int64
}

// Defaults for zero fields of Config.
const (
	DefaultRetention   = timekeeper.Hour
	DefaultAppendRate  = 300.0
	DefaultListLag     = 2 * timekeeper.Second
	DefaultWeightBytes = 8 << 20
	DefaultWeightRate  = 64 << 20
)

func (c Config) withDefaults() Config {
	if c.Clock == nil {
		c.Clock = timekeeper.System{}
	}
	c.Retention = cmp.Or(c.Retention, DefaultRetention)
	c.AppendRate = cmp.Or(c.AppendRate, DefaultAppendRate)
	c.WeightBytes = cmp.Or(c.WeightBytes, DefaultWeightBytes)
	c.WeightRate = cmp.Or(c.WeightRate, DefaultWeightRate)
	return c
}

// DropMode selects how the response to a request that took effect is lost.
type DropMode string

// The drop modes.
const (
	// DropUnavailable responds with status 503.
	DropUnavailable DropMode = "unavailable"
	// DropClosed closes the connection without a response.
	DropClosed DropMode = "closed"
)

// Faults are the platform's fault settings.
type Faults struct {
	standin.ConnFaults
	// Outages respond with status 503 before any effect.
	LogOutage    bool `json:"log_outage"`
	ListOutage   bool `json:"list_outage"`
	CloudOutage  bool `json:"cloud_outage"`
	WeightOutage bool `json:"weight_outage"`
	// LogDelayMS delays each append and read of the log.
	LogDelayMS int64 `json:"log_slow_ms"`
	// DropAppendResponses and DropPurchaseResponses are the numbers of upcoming
	// responses to drop, as DropMode states, after the request took effect.
	DropAppendResponses   int      `json:"lose_appends"`
	DropPurchaseResponses int      `json:"lose_buys"`
	DropMode              DropMode `json:"loss"`
	// ShowAsLive names leaving or removed VMs that the list shows as live;
	// HideLive names VMs that it omits.
	ShowAsLive []string `json:"show_live"`
	HideLive   []string `json:"hide"`
	// RefusePurchases refuses all purchases; RefuseZones refuses those in the
	// named zones.
	RefusePurchases bool     `json:"refuse_buys"`
	RefuseZones     []string `json:"refuse_zones"`
	// IgnoreClientTokens buys another VM for a client token that was already
	// used.
	IgnoreClientTokens bool `json:"ignore_client_tokens"`
}

// Platform simulates the platform services. It is safe for concurrent use.
type Platform struct {
	// Gate applies the connection faults.
	Gate     *standin.Gate
	config   Config
	switches *standin.Switches[Faults]
	log      *log
	cloud    *cloud
	weights  *weightStore
}

var _ standin.Service = (*Platform)(nil)

// New returns a platform whose log is empty and whose cloud has no VM.
func New(c Config) *Platform {
	c = c.withDefaults()
	gate := standin.NewGate()
	return &Platform{
		Gate:   gate,
		config: c,
		switches: &standin.Switches[Faults]{
			OnChange: func(f Faults) { gate.Set(f.ConnFaults) },
		},
		log:     newLog(c),
		cloud:   newCloud(c),
		weights: newWeightStore(c),
	}
}

// SetFaults applies change to the fault settings.
func (p *Platform) SetFaults(change func(*Faults)) { p.switches.Update(change) }

// Run waits until ctx ends; the platform has no background work.
func (p *Platform) Run(ctx context.Context) { <-ctx.Done() }

// Handler serves the platform's protocol.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log/append", p.append)
	mux.HandleFunc("GET /log/read", p.read)
	mux.HandleFunc("GET /vms", p.list)
	mux.HandleFunc("POST /cloud/vms", p.buy)
	mux.HandleFunc("DELETE /cloud/vms/{vm}", p.release)
	mux.HandleFunc("GET /cloud/notices", p.notices)
	mux.HandleFunc("GET /weights/{model}", p.serveWeights)
	mux.HandleFunc("POST /admin/vms", p.register)
	mux.HandleFunc("DELETE /admin/vms/{vm}", p.deregister)
	mux.HandleFunc("POST /admin/reclaim", p.reclaim)
	mux.HandleFunc("GET /admin/feed", p.feed)
	mux.Handle("/faults", p.switches)
	return mux
}

// unavailable responds with status 503 if outage is set, and returns outage.
func unavailable(w http.ResponseWriter, outage bool) bool {
	if outage {
		encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{Error: "unavailable"})
	}
	return outage
}

// dropResponse ends the request as Faults.DropMode states.
func (p *Platform) dropResponse(w http.ResponseWriter) {
	if p.switches.Get().DropMode == DropClosed {
		standin.AbortConnection()
	}
	encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{Error: "unavailable"})
}

// MaxWait is the maximum duration of a long poll.
const MaxWait = 30 * timekeeper.Second

// queryNumber parses an unsigned query parameter, by default 0. If it is invalid,
// it responds with status 400 and returns false.
func queryNumber(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(text, 10, 63)
	if err != nil {
		encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{Error: name + ": " + err.Error()})
		return 0, false
	}
	return n, true
}

// longPoll calls try after each change until it succeeds, the wait has passed or
// the caller disconnects. changed returns a channel that is closed at the next
// change.
func longPoll(ctx context.Context, waitMS uint64, changed func() <-chan struct{}, try func() bool) {
	wait := min(timekeeper.Duration(min(waitMS, uint64(MaxWait))), MaxWait)
	timer := time.NewTimer(wait.Std())
	defer timer.Stop()
	for {
		change := changed()
		if try() {
			return
		}
		select {
		case <-change:
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}
