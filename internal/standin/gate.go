package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnFaults are the connection faults that every stand-in supports.
type ConnFaults struct {
	// Freeze keeps all connections open without sending, like a paused VM.
	Freeze bool `json:"freeze"`
	// DelayMS delays every response.
	DelayMS int64 `json:"slow_ms"`
}

// Gate applies ConnFaults to a stand-in's connections. It is safe for concurrent
// use.
type Gate struct {
	mu          sync.Mutex
	faults      ConnFaults
	resumed     chan struct{}       // closed unless frozen
	activeConns map[*connState]bool // open connections that are not stalled
}

// connState is one connection. The channel stalled is closed when the connection
// is stalled permanently.
type connState struct{ stalled chan struct{} }

type connKey struct{}

// NewGate returns a gate without faults.
func NewGate() *Gate {
	g := &Gate{
		resumed:     make(chan struct{}),
		activeConns: make(map[*connState]bool),
	}
	close(g.resumed)
	return g
}

// Set replaces the current faults, also for open connections.
func (g *Gate) Set(f ConnFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Freeze && !g.faults.Freeze {
		g.resumed = make(chan struct{})
	}
	if !f.Freeze && g.faults.Freeze {
		close(g.resumed)
	}
	g.faults = f
}

// StallConnections permanently stops all responses on the currently open
// connections; new ones work. It simulates a middlebox that lost their state.
func (g *Gate) StallConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.activeConns {
		close(c.stalled)
		delete(g.activeConns, c)
	}
}

func (g *Gate) connContext(ctx context.Context, _ net.Conn) context.Context {
	c := &connState{stalled: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.activeConns[c] = true
	context.AfterFunc(ctx, func() { g.forget(c) })
	return context.WithValue(ctx, connKey{}, c)
}

func (g *Gate) forget(c *connState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.activeConns, c)
}

// awaitPassage blocks while the connection of ctx is frozen or stalled. It
// returns false if the connection has ended.
func (g *Gate) awaitPassage(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*connState)
	g.mu.Lock()
	thaw := g.resumed
	g.mu.Unlock()
	select {
	case <-thaw:
	case <-ctx.Done():
		return false
	}
	if c == nil {
		return ctx.Err() == nil
	}
	select {
	case <-c.stalled:
		<-ctx.Done()
		return false
	default:
		return ctx.Err() == nil
	}
}

func (g *Gate) delay() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return time.Duration(g.faults.DelayMS) * time.Millisecond
}

// faultsPath is the path that sets faults. Requests to it bypass the gate.
const faultsPath = "/faults"

func (g *Gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == faultsPath {
			next.ServeHTTP(w, r)
			return
		}
		if !g.awaitPassage(r.Context()) || !Pause(r.Context(), g.delay()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&gatedResponseWriter{
			ResponseWriter: w,
			gate:           g,
			ctx:            r.Context(),
		}, r)
	})
}

// gatedResponseWriter delays writes while its connection is frozen or stalled.
type gatedResponseWriter struct {
	http.ResponseWriter
	gate *Gate
	ctx  context.Context
}

var _ http.ResponseWriter = (*gatedResponseWriter)(nil)

// Unwrap gives http.ResponseController access to the underlying writer.
func (w *gatedResponseWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *gatedResponseWriter) WriteHeader(status int) {
	if w.gate.awaitPassage(w.ctx) {
		w.ResponseWriter.WriteHeader(status)
	}
}

func (w *gatedResponseWriter) Write(b []byte) (int, error) {
	if !w.gate.awaitPassage(w.ctx) {
		return 0, http.ErrAbortHandler
	}
	return w.ResponseWriter.Write(b)
}

// Pause waits for d. It returns false if ctx ends first.
func Pause(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// AbortConnection closes the request's connection without completing the
// response. It must be called from an HTTP handler.
func AbortConnection() { panic(http.ErrAbortHandler) }
