package standin

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// ConnFaults are the fault switches of the connection, which every stand-in
// has.
type ConnFaults struct {
	// Freeze keeps all connections open and silent, as a paused VM does.
	Freeze bool `json:"freeze"`
	// DelayMS delays every answer.
	DelayMS int64 `json:"slow_ms"`
}

// Gate stands between the connections and a stand-in's handler and applies
// ConnFaults. It is safe for concurrent use.
type Gate struct {
	mu     sync.Mutex
	faults ConnFaults
	thaw   chan struct{}       // closed while not frozen
	conns  map[*connState]bool // connections that are not silent
}

// connState is one connection; silent closes when it loses its way for good.
type connState struct{ silent chan struct{} }

type connKey struct{}

// NewGate returns a gate without faults.
func NewGate() *Gate {
	g := &Gate{
		thaw:  make(chan struct{}),
		conns: make(map[*connState]bool),
	}
	close(g.thaw)
	return g
}

// Set applies f from now on.
func (g *Gate) Set(f ConnFaults) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if f.Freeze && !g.faults.Freeze {
		g.thaw = make(chan struct{})
	}
	if !f.Freeze && g.faults.Freeze {
		close(g.thaw)
	}
	g.faults = f
}

// StallConnections makes the connections that are open now silent for good, while new
// ones work: as when something between the two ends has lost track of them.
func (g *Gate) StallConnections() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for c := range g.conns {
		close(c.silent)
		delete(g.conns, c)
	}
}

func (g *Gate) connContext(ctx context.Context, _ net.Conn) context.Context {
	c := &connState{silent: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[c] = true
	context.AfterFunc(ctx, func() { g.forget(c) })
	return context.WithValue(ctx, connKey{}, c)
}

func (g *Gate) forget(c *connState) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// wait returns when bytes may pass on the connection of ctx, or false when
// the connection has ended.
func (g *Gate) wait(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*connState)
	g.mu.Lock()
	thaw := g.thaw
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
	case <-c.silent:
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

// switchboard is the path under which a stand-in is told its faults; faults
// do not bar it.
const switchboard = "/faults"

func (g *Gate) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == switchboard {
			next.ServeHTTP(w, r)
			return
		}
		if !g.wait(r.Context()) || !Pause(r.Context(), g.delay()) {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(&gatedWriter{
			ResponseWriter: w,
			gate:           g,
			ctx:            r.Context(),
		}, r)
	})
}

// gatedWriter holds every write back while its connection may not speak.
type gatedWriter struct {
	http.ResponseWriter
	gate *Gate
	ctx  context.Context
}

var _ http.ResponseWriter = (*gatedWriter)(nil)

// Unwrap lets http.ResponseController reach the connection.
func (w *gatedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *gatedWriter) WriteHeader(status int) {
	if w.gate.wait(w.ctx) {
		w.ResponseWriter.WriteHeader(status)
	}
}

func (w *gatedWriter) Write(b []byte) (int, error) {
	if !w.gate.wait(w.ctx) {
		return 0, http.ErrAbortHandler
	}
	return w.ResponseWriter.Write(b)
}

// Pause waits for d, or returns false when ctx ends first.
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

// AbortConnection ends the connection of the request at once, without an answer.
func AbortConnection() { panic(http.ErrAbortHandler) }
