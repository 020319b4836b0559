// Package standin is the common part of the stand-ins, which replace the platform
// and the backend servers in demos, tests and benchmarks. Each implements the
// protocol of the real service and can simulate its possible faults:
//
//   - platform: the append-only log, the VM list, the cloud API, the weight
//     store;
//   - engine: a model engine with continuous batching;
//   - responder: a plain server;
//   - hoster: one process that hosts many engines and plain servers as VMs.
//
// All use HTTP with the JSON types of package adapter/encoder. They share these
// endpoints for tests:
//
//	GET  /faults   returns the current fault settings
//	POST /faults   sets the faults named in the body and keeps the others
//	GET  /ledger   returns the executed requests (engines and plain servers only)
//
// Every stand-in supports the faults of ConnFaults.
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

// MaxBodySize is the maximum size in bytes of a request body.
const MaxBodySize = 32 << 20

// ListenError reports that a stand-in could not listen on its address.
type ListenError struct {
	Address string
	Cause   error
}

var _ error = (*ListenError)(nil)

func (e *ListenError) Error() string {
	return fmt.Sprintf("listen on %s: %v", e.Address, e.Cause)
}

func (e *ListenError) Unwrap() error { return e.Cause }

// Service is a stand-in that a Server can run.
type Service interface {
	// Handler serves the stand-in's protocol.
	Handler() http.Handler
	// Run performs the stand-in's background work until ctx ends.
	Run(ctx context.Context)
}

// Server runs a Service on a listener. Close simulates the loss of the VM: it
// aborts all connections.
type Server struct {
	listener       net.Listener
	http           *http.Server
	cancel         context.CancelFunc
	closeOnce      sync.Once
	goroutineEnded chan struct{} // receives one value from each goroutine that ends
}

// serverGoroutines is the number of goroutines of a Server.
const serverGoroutines = 3

// Listen serves s on address until Close is called or ctx ends. Its error is a
// *ListenError.
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
		cancel:         cancel,
		goroutineEnded: make(chan struct{}, serverGoroutines),
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
	s.goroutineEnded <- struct{}{}
}

// Address returns the host:port on which the server listens.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close closes the listener, aborts all connections and waits for the server's
// goroutines. It is idempotent.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		s.cancel()
		_ = s.http.Close()
		for range serverGoroutines {
			<-s.goroutineEnded
		}
	})
}

// ReadJSON decodes the body of r into v. If that fails, it responds with status
// 400 and returns false.
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
