package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeat = 1200 * time.Millisecond
	drainTime = 2000 * time.Millisecond

	requestIDHeader = "Dotterelhollow-Request-Id"
	signatureHeader = "Dotterelhollow-Response-Signature"
	notRunHeader    = "Dotterelhollow-Not-Executed"
)

// arrival is a request that reached an engine.
type arrival struct {
	engine string
	id     string
	at     time.Time
	// events is the number of events that were sent, and complete is set after the last.
	events   int
	complete bool
}

// engine is a sound engine: it registers itself, keeps its entry up to date, and serves streams.
type engine struct {
	world   *world
	id      string
	service string
	zone    string
	slots   int
	// events and interval describe its streams. Those of an unframed engine have neither a
	// length nor chunks, and end with their channel.
	events   int
	interval time.Duration
	unframed bool

	address string
	server  *http.Server
	// ended is closed when the engine ends.
	ended chan struct{}

	mu       sync.Mutex
	running  int
	leaving  bool
	leavesIn time.Duration
	sequence int
	arrivals []*arrival
}

// start opens the engine's port.
func (e *engine) start() error {
	l, err := e.world.listen()
	if err != nil {
		return err
	}
	e.address = l.Addr().String()
	e.ended = make(chan struct{})
	e.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: nodeWait,
	}
	go func() { _ = e.server.Serve(l) }()
	return nil
}

// end ends the engine as the end of its process does.
func (e *engine) end() {
	_ = e.server.Close()
	close(e.ended)
}

// beat writes the engine's entry.
func (e *engine) beat() {
	e.mu.Lock()
	e.sequence++
	entry := map[string]any{
		"service":           e.service,
		"address":           e.address,
		"zone":              e.zone,
		"version":           "1",
		"slots":             e.slots,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          e.sequence,
	}
	if e.leavesIn > 0 {
		entry["state"] = "draining"
		entry["spot_instances"] = true
		entry["leaves_ms"] = e.leavesIn.Milliseconds()
	}
	e.mu.Unlock()
	data, err := json.Marshal(entry)
	if err != nil {
		return // Unreachable: the entry always encodes.
	}
	e.world.store.Put("keyed.servers", e.id, data)
}

// reclaim reports that the engine is reclaimed, and the time that it has left.
func (e *engine) reclaim(leavesIn time.Duration) {
	e.mu.Lock()
	e.leaving = true
	e.leavesIn = leavesIn
	e.mu.Unlock()
	e.beat()
}

// unregister removes the engine's entry. The engine serves on.
func (e *engine) unregister() {
	e.mu.Lock()
	e.leaving = true
	e.mu.Unlock()
	e.world.store.Put("keyed.servers", e.id, nil)
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(requestIDHeader)
	w.Header().Set(requestIDHeader, id)
	w.Header().Set("Dotterelhollow-Instance-Id", e.id)
	if want := r.Header.Get("Dotterelhollow-Expected-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	a, admitted := e.admit(id)
	if !admitted {
		w.Header().Set(notRunHeader, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer e.release()
	if e.isLeaving() {
		w.Header().Set("Connection", "close")
	}
	w.Header().Set(signatureHeader, e.id+"."+id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if e.unframed {
		e.streamUnframed(w, a)
		return
	}
	e.stream(r.Context(), w, r, a)
}

// admit counts a request that the engine begins to run.
func (e *engine) admit(id string) (*arrival, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" || e.running >= e.slots {
		return nil, false
	}
	e.running++
	a := &arrival{
		engine: e.id,
		id:     id,
		at:     time.Now(),
	}
	e.arrivals = append(e.arrivals, a)
	e.world.record.line("%s runs %s", e.id, id)
	return a, true
}

func (e *engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
}

func (e *engine) isLeaving() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leaving
}

// stream sends the events after the caller's last one.
func (e *engine) stream(ctx context.Context, w http.ResponseWriter, r *http.Request, a *arrival) {
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.events; n++ {
		if pause(ctx, e.interval) != nil {
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n, a.id, n)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		e.sent(a, n == e.events)
	}
}

// streamUnframed sends all events on the bare channel, and closes it.
func (e *engine) streamUnframed(w http.ResponseWriter, a *arrival) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n\r\n",
		requestIDHeader, a.id, signatureHeader, e.id+"."+a.id)
	for n := 1; n <= e.events; n++ {
		select {
		case <-time.After(e.interval):
		case <-e.ended:
			return
		}
		if _, err := fmt.Fprintf(conn, "id: %d\ndata: %s %d\n\n", n, a.id, n); err != nil {
			return
		}
		e.sent(a, n == e.events)
	}
}

func (e *engine) sent(a *arrival, complete bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	a.events++
	a.complete = complete
}

// seen returns copies of the requests that reached the engine.
func (e *engine) seen() []arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]arrival, 0, len(e.arrivals))
	for _, a := range e.arrivals {
		out = append(out, *a)
	}
	return out
}
