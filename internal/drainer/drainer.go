// Package drainer ends the connections of an HTTP server in a planned stop, so that each request
// that was read is answered.
//
// http.Server.Shutdown closes connections on which it has just read a request, and idle ones on
// which a request has arrived. A Drainer closes a connection only while no byte of an unanswered
// request has been read from it.
package drainer

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// defaultFirstRequestTime is generous for callers that open a connection to use it.
	defaultFirstRequestTime = 500 * time.Millisecond
	// pollInterval is the time between two looks at the connections that are left.
	pollInterval = 5 * time.Millisecond
)

// Config configures a Drainer.
type Config struct {
	// Server has not been started.
	Server *http.Server
	// FirstRequestTime is the time that a caller has to begin its first request on a connection. Zero
	// stands for the default.
	FirstRequestTime time.Duration
}

// Drainer ends the connections of one server. It is safe for concurrent use.
type Drainer struct {
	next             http.Handler
	firstRequestTime time.Duration

	mu       sync.Mutex
	listener net.Listener
	draining bool
	conns    map[*conn]struct{}
}

// New returns a Drainer, which takes over the handler and the state hook of the server.
func New(c Config) *Drainer {
	d := &Drainer{
		next:             c.Server.Handler,
		firstRequestTime: cmp.Or(c.FirstRequestTime, defaultFirstRequestTime),
		conns:            map[*conn]struct{}{},
	}
	c.Server.Handler = d
	c.Server.ConnState = stateChanged
	return d
}

// Listen returns a listener whose connections the Drainer ends. Once they are drained, its Accept
// returns http.ErrServerClosed. l must be a TCP listener, and Listen called once.
func (d *Drainer) Listen(l net.Listener) net.Listener {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener = l
	return &listener{
		Listener: l,
		drainer:  d,
	}
}

// ServeHTTP implements http.Handler. Each answer given during a drain closes its connection.
func (d *Drainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if d.isDraining() {
		w.Header().Set("Connection", "close")
	}
	d.next.ServeHTTP(w, r)
}

// Drain closes the listener, and returns when all connections are closed or ctx has ended.
func (d *Drainer) Drain(ctx context.Context) {
	d.mu.Lock()
	d.draining = true
	if d.listener != nil {
		// It fails only if the listener is closed.
		_ = d.listener.Close()
	}
	d.mu.Unlock()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for d.expireUnused() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// expireUnused expires the connections that carry no request, and returns the number of all.
func (d *Drainer) expireUnused() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for c := range d.conns {
		c.expireUnused(now, d.firstRequestTime)
	}
	return len(d.conns)
}

func (d *Drainer) isDraining() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.draining
}

func (d *Drainer) add(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns[c] = struct{}{}
}

func (d *Drainer) remove(c *conn) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.conns, c)
}

func stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.answered()
	case http.StateClosed, http.StateHijacked:
		c.drainer.remove(c)
	}
}

// listener accepts the connections of a Drainer.
type listener struct {
	net.Listener
	drainer *Drainer
}

var _ net.Listener = (*listener)(nil)

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		if l.drainer.isDraining() {
			return nil, http.ErrServerClosed
		}
		return nil, err
	}
	tcp, ok := accepted.(*net.TCPConn)
	if !ok {
		return accepted, nil
	}
	c := &conn{
		TCPConn:  tcp,
		drainer:  l.drainer,
		accepted: time.Now(),
	}
	l.drainer.add(c)
	return c, nil
}

// conn is a connection of a caller.
type conn struct {
	*net.TCPConn
	drainer  *Drainer
	accepted time.Time

	mu sync.Mutex
	// used reports that bytes of a request were read that is not answered, and kept that one was
	// answered before.
	used, kept bool
	// expired reports that the connection's reads were ended.
	expired bool
}

var _ net.Conn = (*conn)(nil)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		return n, c.begin()
	}
	return n, err
}

// begin records that bytes of a request were read. A connection that expired meanwhile goes on.
func (c *conn) begin() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = true
	if !c.expired {
		return nil
	}
	c.expired = false
	return c.SetReadDeadline(time.Time{})
}

func (c *conn) answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = false
	c.kept = true
}

// expireUnused ends the reads of a connection that carries no request, so that its server closes
// it. The server may have set another deadline since, so it is called again until that happens.
func (c *conn) expireUnused(now time.Time, firstRequestTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.used || !c.kept && now.Sub(c.accepted) < firstRequestTime {
		return
	}
	c.expired = true
	// It fails only if the connection is closed.
	_ = c.SetReadDeadline(now)
}
