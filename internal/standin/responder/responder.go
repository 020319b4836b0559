// Package responder is the stand-in for a plain server.
//
//	any    /call/...               executes a call and echoes it
//	GET    /load                   the current load
//	GET    /ledger                 the number of executions of each Request-Id
//	GET    /faults, POST /faults   the fault settings, see Faults
//
// A call refused before execution gets status 503 and the header
// Outcome: not_run.
package responder

import (
	"context"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
	"github.com/dotterelhollow/dotterelhollow/internal/standin"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Config identifies the server and sets its capacity.
type Config struct {
	VM   identifier.VMID
	Pool identifier.PoolName
	// Slots is the maximum number of concurrent calls; others are refused.
	Slots int
}

// DefaultSlots applies if Config.Slots is zero.
const DefaultSlots = 64

// Faults are the plain server's fault settings.
type Faults struct {
	standin.ConnFaults
	// StallConnections permanently stops all responses on the currently open
	// connections; new ones work. It is reset at once.
	StallConnections bool `json:"silence"`
	// Refuse rejects all calls with status 503 and Outcome: not_run.
	Refuse bool `json:"refuse"`
	// DropResponses is the number of upcoming calls that are executed but whose
	// connection is closed before the response.
	DropResponses int `json:"lose_answers"`
	// Fail responds with status 500 after executing the call.
	Fail bool `json:"fail"`
	// RunDelayMS is the execution time of a call.
	RunDelayMS int64 `json:"run_slow_ms"`
}

// Reply is the body of the response to a call.
type Reply struct {
	Server  identifier.VMID      `json:"server"`
	Request identifier.RequestID `json:"request"`
	Method  string               `json:"method"`
	Path    string               `json:"path"`
	Body    string               `json:"body"`
}

// Ledger is the response to GET /ledger: the number of executions of each request
// since the server started.
type Ledger struct {
	Runs map[identifier.RequestID]int `json:"runs"`
	// Bodies holds the body of each request's last execution.
	Bodies map[identifier.RequestID]string `json:"bodies"`
}

// Responder simulates a plain server. It is safe for concurrent use.
type Responder struct {
	// Gate applies the connection faults.
	Gate     *standin.Gate
	config   Config
	switches *standin.Switches[Faults]

	mu      sync.Mutex
	running int
	ledger  Ledger
}

var _ standin.Service = (*Responder)(nil)

// New returns a plain server with an empty ledger.
func New(c Config) *Responder {
	if c.Slots == 0 {
		c.Slots = DefaultSlots
	}
	p := &Responder{
		Gate:   standin.NewGate(),
		config: c,
		ledger: Ledger{
			Runs:   make(map[identifier.RequestID]int),
			Bodies: make(map[identifier.RequestID]string),
		},
	}
	p.switches = &standin.Switches[Faults]{OnChange: p.applyFaults}
	return p
}

// SetFaults applies change to the fault settings.
func (p *Responder) SetFaults(change func(*Faults)) { p.switches.Update(change) }

func (p *Responder) applyFaults(f Faults) {
	p.Gate.Set(f.ConnFaults)
	if f.StallConnections {
		p.Gate.StallConnections()
		p.switches.Update(func(f *Faults) { f.StallConnections = false })
	}
}

// Run waits until ctx ends; the server has no background work.
func (p *Responder) Run(ctx context.Context) { <-ctx.Done() }

// Handler serves the plain server's protocol.
func (p *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/call/", p.serveCall)
	mux.HandleFunc("GET /load", p.serveLoad)
	mux.HandleFunc("GET /ledger", p.serveLedger)
	mux.Handle("/faults", p.switches)
	return mux
}

// retryAfterMS is the retry delay stated in refusals.
const retryAfterMS = 1000

func (p *Responder) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodySize))
	if err != nil {
		encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{
			Error:   err.Error(),
			Outcome: encoder.OutcomeNotRun,
		})
		return
	}
	faults := p.switches.Get()
	if faults.Refuse || !p.takeSlot() {
		encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{
			Error:        "refusing",
			Outcome:      encoder.OutcomeNotRun,
			RetryAfterMS: retryAfterMS,
		})
		return
	}
	defer p.freeSlot()
	request := identifier.RequestID(r.Header.Get(encoder.RequestIDHeader))
	p.recordRun(request, string(body))
	standin.Pause(r.Context(), milliseconds(faults.RunDelayMS))
	if p.switches.Consume(func(f *Faults) *int { return &f.DropResponses }) {
		standin.AbortConnection()
	}
	if faults.Fail {
		encoder.WriteProblem(w, http.StatusInternalServerError, encoder.Problem{Error: "failed"})
		return
	}
	encoder.WriteJSON(w, http.StatusOK, Reply{
		Server:  p.config.VM,
		Request: request,
		Method:  r.Method,
		Path:    r.URL.RequestURI(),
		Body:    string(body),
	})
}

func (p *Responder) takeSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.config.Slots {
		return false
	}
	p.running++
	return true
}

func (p *Responder) freeSlot() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *Responder) recordRun(request identifier.RequestID, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Runs[request]++
	p.ledger.Bodies[request] = body
}

func (p *Responder) serveLoad(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	encoder.WriteJSON(w, http.StatusOK, encoder.Load{
		Running: running,
		Slots:   p.config.Slots,
	})
}

// Ledger returns a copy of the server's ledger.
func (p *Responder) Ledger() Ledger {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Ledger{
		Runs:   maps.Clone(p.ledger.Runs),
		Bodies: maps.Clone(p.ledger.Bodies),
	}
}

func (p *Responder) serveLedger(w http.ResponseWriter, _ *http.Request) {
	encoder.WriteJSON(w, http.StatusOK, p.Ledger())
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
