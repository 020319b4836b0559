// Package responder is the stand-in for a plain server.
//
//	any    /call/...               runs the call and echoes it
//	GET    /load                   the load, with no lag
//	GET    /ledger                 how often each Request-Id ran
//	GET    /faults, POST /faults   the switches, see Faults
//
// A refusal before anything ran is a 503 with the header Outcome: not_run.
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

// Config says which server it is.
type Config struct {
	VM   identifier.VMID
	Pool identifier.PoolName
	// Slots is how many calls run at once; more are refused.
	Slots int
}

// DefaultSlots is the value of Config.Slots where it says nothing.
const DefaultSlots = 64

// Faults are the plain server's fault switches.
type Faults struct {
	standin.ConnFaults
	// StallConnections, when set, makes the connections that are open now silent for
	// good; new ones work. It falls back by itself.
	StallConnections bool `json:"silence"`
	// Refuse refuses each call with 503 and Outcome: not_run.
	Refuse bool `json:"refuse"`
	// DropResponses counts the next calls that run, but whose connection is cut
	// before the answer.
	DropResponses int `json:"lose_answers"`
	// Fail answers 500 after the call ran.
	Fail bool `json:"fail"`
	// RunDelayMS is how long a call runs.
	RunDelayMS int64 `json:"run_slow_ms"`
}

// Reply is the body of the answer to a call.
type Reply struct {
	Server  identifier.VMID      `json:"server"`
	Request identifier.RequestID `json:"request"`
	Method  string               `json:"method"`
	Path    string               `json:"path"`
	Body    string               `json:"body"`
}

// Ledger answers GET /ledger: how often each request ran since the start.
type Ledger struct {
	Runs map[identifier.RequestID]int `json:"runs"`
	// Bodies holds the body of the last run of each request.
	Bodies map[identifier.RequestID]string `json:"bodies"`
}

// Responder is the stand-in. It is safe for concurrent use.
type Responder struct {
	// Gate applies the faults of the connection.
	Gate     *standin.Gate
	config   Config
	switches *standin.Switches[Faults]

	mu      sync.Mutex
	running int
	ledger  Ledger
}

var _ standin.Service = (*Responder)(nil)

// New returns a plain server that has run nothing.
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

// SetFaults changes the fault switches in place.
func (p *Responder) SetFaults(change func(*Faults)) { p.switches.Update(change) }

func (p *Responder) applyFaults(f Faults) {
	p.Gate.Set(f.ConnFaults)
	if f.StallConnections {
		p.Gate.StallConnections()
		p.switches.Update(func(f *Faults) { f.StallConnections = false })
	}
}

// Run returns when ctx ends; the server acts only when asked.
func (p *Responder) Run(ctx context.Context) { <-ctx.Done() }

// Handler serves the plain server's protocol.
func (p *Responder) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/call/", p.call)
	mux.HandleFunc("GET /load", p.load)
	mux.HandleFunc("GET /ledger", p.serveLedger)
	mux.Handle("/faults", p.switches)
	return mux
}

// retryAfterMS is when a refused caller is told to come back.
const retryAfterMS = 1000

func (p *Responder) call(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, standin.MaxBodySize))
	if err != nil {
		encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{
			Error:   err.Error(),
			Outcome: encoder.OutcomeNotRun,
		})
		return
	}
	faults := p.switches.Get()
	if faults.Refuse || !p.enter() {
		encoder.WriteProblem(w, http.StatusServiceUnavailable, encoder.Problem{
			Error:        "refusing",
			Outcome:      encoder.OutcomeNotRun,
			RetryAfterMS: retryAfterMS,
		})
		return
	}
	defer p.exit()
	request := identifier.RequestID(r.Header.Get(encoder.RequestIDHeader))
	p.record(request, string(body))
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

func (p *Responder) enter() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running >= p.config.Slots {
		return false
	}
	p.running++
	return true
}

func (p *Responder) exit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running--
}

func (p *Responder) record(request identifier.RequestID, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ledger.Runs[request]++
	p.ledger.Bodies[request] = body
}

func (p *Responder) load(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	running := p.running
	p.mu.Unlock()
	encoder.WriteJSON(w, http.StatusOK, encoder.Load{
		Running: running,
		Slots:   p.config.Slots,
	})
}

// Ledger returns how often each request ran.
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
