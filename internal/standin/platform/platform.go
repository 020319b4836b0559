// Package platform is the stand-in for what the platform gives: an
// append-only log, a lagging list of VMs, a cloud API and a weight store.
//
//	POST   /log/append               appends records, all or none
//	GET    /log/read                 ?stream=&from=&limit=&wait_ms= (long poll)
//	GET    /vms                      the list, as of Config.ListLag ago
//	POST   /cloud/vms                buys a VM; 409 when refused
//	DELETE /cloud/vms/{vm}           gives a VM back
//	GET    /cloud/notices            ?after=&wait_ms= reclaim notices (long poll)
//	GET    /weights/{model}          weights, at Config.WeightRate for all readers
//
// What only tests, demos and hosters use:
//
//	POST   /admin/vms                registers a VM, or gives a bought one its address
//	DELETE /admin/vms/{vm}           a VM is gone
//	POST   /admin/reclaim            reclaims a VM or a zone with notice
//	GET    /admin/feed               ?after=&wait_ms= purchases, reclaims, releases (long poll)
//	GET    /faults, POST /faults     the switches, see Faults
//
// Errors carry an encoder.Problem. 429 means over the append rate, and
// nothing was appended. 503 means unavailable, and an effect may have been
// taken.
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

// Config says how the platform behaves without faults.
type Config struct {
	Clock timekeeper.Clock
	// Retention is how long the log keeps a record.
	Retention timekeeper.Duration
	// AppendRate bounds the appends in a second; a batch is one append.
	AppendRate float64
	// ListLag is how old the VM list is.
	ListLag timekeeper.Duration
	// WeightBytes is the size of a model's weights, WeightRate the bytes in a
	// second that the weight store gives to all readers together.
	WeightBytes int64
	WeightRate  int64
}

// The values of Config that apply where it says nothing.
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

// DropMode is a way to lose an answer whose effect was taken.
type DropMode string

// The ways to lose an answer.
const (
	// DropUnavailable answers 503.
	DropUnavailable DropMode = "unavailable"
	// DropClosed closes the connection without an answer.
	DropClosed DropMode = "closed"
)

// Faults are the platform's fault switches.
type Faults struct {
	standin.ConnFaults
	// The outages: 503 before any effect.
	LogOutage    bool `json:"log_outage"`
	ListOutage   bool `json:"list_outage"`
	CloudOutage  bool `json:"cloud_outage"`
	WeightOutage bool `json:"weight_outage"`
	// LogDelayMS delays each append and read of the log.
	LogDelayMS int64 `json:"log_slow_ms"`
	// DropAppendResponses and DropPurchaseResponses count the next answers that are lost, by Loss,
	// after the effect was taken.
	DropAppendResponses   int      `json:"lose_appends"`
	DropPurchaseResponses int      `json:"lose_buys"`
	DropMode              DropMode `json:"loss"`
	// ShowAsLive are leaving VMs that the list shows as live, and even gone ones
	// that it still shows; Hide are live ones that it does not show.
	ShowAsLive []string `json:"show_live"`
	HideLive   []string `json:"hide"`
	// RefusePurchases refuses every purchase; RefuseZones those in these zones.
	RefusePurchases bool     `json:"refuse_buys"`
	RefuseZones     []string `json:"refuse_zones"`
	// IgnoreClientTokens buys anew for a client token seen before.
	IgnoreClientTokens bool `json:"ignore_client_tokens"`
}

// Platform is the stand-in. Its parts are safe for concurrent use.
type Platform struct {
	// Gate applies the faults of the connection.
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

// SetFaults changes the fault switches in place.
func (p *Platform) SetFaults(change func(*Faults)) { p.switches.Update(change) }

// Run returns at once when ctx ends; the platform acts only when asked.
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

// unavailable answers 503 when the outage is on.
func unavailable(w http.ResponseWriter, outage bool) bool {
	if outage {
		encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{Error: "unavailable"})
	}
	return outage
}

// answerLost ends the request in the way that the switch Loss says.
func (p *Platform) answerLost(w http.ResponseWriter) {
	if p.switches.Get().DropMode == DropClosed {
		standin.AbortConnection()
	}
	encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{Error: "unavailable"})
}

// MaxWait bounds a long poll.
const MaxWait = 30 * timekeeper.Second

// query reads an unsigned number of the query; an absent one is 0.
func query(w http.ResponseWriter, r *http.Request, name string) (uint64, bool) {
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

// longPoll calls try until it succeeds, the wait is over or the caller has
// gone; changed gives a channel that closes at the next change.
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
