// Package standin holds what the stand-ins for the platform and for the
// backend servers share. The stand-ins take the place of the real ones in
// demos, tests and benchmarks; each does what the interface promises and has
// a switch for each fault that the real one may show, and no more:
//
//   - platform: the append-only log, the VM list, the cloud API, the weight
//     store;
//   - engine: a model engine with continuous batching;
//   - responder: a plain server;
//   - hoster: one process that hosts many engines and plain servers as VMs.
//
// All speak HTTP with the JSON shapes of package adapter/encoder. The tests'
// side of each stand-in is the same everywhere:
//
//	GET  /faults   the fault switches as they stand
//	POST /faults   sets the switches named in the body, leaves the others
//	GET  /ledger   what the server ran, for checkers (engines, plain servers)
//
// The switches that every stand-in has are those of ConnFaults.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter/encoder"
)

// MaxBodySize bounds every body that a stand-in reads.
const MaxBodySize = 32 << 20

// ListenError reports that a stand-in could not open its port.
type ListenError struct {
	Address string
	Cause   error
}

var _ error = (*ListenError)(nil)

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Service is the HTTP side of a stand-in.
type Service interface {
	// Handler serves the stand-in's protocol.
	Handler() http.Handler
	// Run does the stand-in's own work until the context ends.
	Run(ctx context.Context)
}

// Server is a Service that listens. Close ends it as the loss of its VM
// would: no connection gets a last word.
type Server struct {
	listener net.Listener
	http     *http.Server
	cancel   context.CancelFunc
	closing  sync.Once
	ended    chan struct{} // one value for each goroutine that has ended
}

// goroutines is how many goroutines a Server owns.
const goroutines = 3

// Listen opens address and serves s there until Close or the end of ctx.
func Listen(ctx context.Context, address string, s Service, gate *Gate) (*Server, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, &ListenError{
			Address: address,
			Cause:   err,
		}
	}
	ctx, cancel := context.WithCancel(ctx)
	server := &Server{
		listener: listener,
		http: &http.Server{
			Handler:           gate.wrap(s.Handler()),
			ConnContext:       gate.connContext,
			ReadHeaderTimeout: 10 * time.Second,
		},
		cancel: cancel,
		ended:  make(chan struct{}, goroutines),
	}
	go server.run(ctx, s.Run)
	go server.run(ctx, func(context.Context) { _ = server.http.Serve(listener) })
	go server.run(ctx, func(ctx context.Context) {
		<-ctx.Done()
		_ = server.http.Close()
	})
	return server, nil
}

func (s *Server) run(ctx context.Context, work func(context.Context)) {
	work(ctx)
	s.ended <- struct{}{}
}

// Address returns the address at which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener, cuts every connection and waits for the server's
// goroutines. A second Close does nothing.
func (s *Server) Close() {
	s.closing.Do(func() {
		s.cancel()
		_ = s.http.Close()
		for range goroutines {
			<-s.ended
		}
	})
}

// ReadJSON decodes the body of r into v. On a fault it answers 400 and
// returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, MaxBodySize))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		encoder.WriteProblem(w, http.StatusBadRequest, encoder.Problem{
			Error:   err.Error(),
			Outcome: encoder.OutcomeNotRun,
		})
		return false
	}
	return true
}
