package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of an engine, as on a small site.
const (
	prefillTokensPerMS = 92.1
	pairsMSPerMillion  = 0.35
	firstTokenTime     = 60 * time.Millisecond
	eventInterval      = 25 * time.Millisecond
)

// engine is a model engine. It serves one request at a time on a channel, and drops a request
// when its channel closes.
type engine struct {
	id      string
	address string
	record  *record
	runs    *runs
	// extraShare is the share of its answers after which it sends a second one, late: at the
	// point where the next response is expected.
	extraShare float64

	mu   sync.Mutex
	rand *rand.Rand
}

func startEngine(w *world, id string) (*engine, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		id:      id,
		address: l.Addr().String(),
		record:  w.record,
		runs:    w.runs,
		rand:    rand.New(rand.NewPCG(w.options.seed, uint64(len(id))+uint64(id[len(id)-1]))),
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	entry, err := json.Marshal(map[string]any{
		"service":           "reader",
		"address":           e.address,
		"zone":              "boston-a",
		"version":           "v1",
		"slots":             64,
		"state":             "ready",
		"cold_remaining_ms": 0,
		"sequence":          1,
	})
	if err != nil {
		return nil, err
	}
	w.store.Put("keyed.servers", id, entry)
	return e, nil
}

func (e *engine) draw() float64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.rand.Float64()
}

// channel is one connection to an engine.
type channel struct {
	conn net.Conn
	// requests are those that have arrived, and gone is closed when the other end has closed.
	requests chan *http.Request
	gone     chan struct{}
}

func (e *engine) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	c := &channel{
		conn:     conn,
		requests: make(chan *http.Request, 4),
		gone:     make(chan struct{}),
	}
	go c.read()
	owed := ""
	for {
		var r *http.Request
		select {
		case r = <-c.requests:
		case <-c.gone:
			return
		}
		id := r.Header.Get("Dotterelhollow-Request-Id")
		e.record.line("%s  %s arrives", e.id, id)
		if owed != "" {
			e.record.line("%s  second answer to %s, late", e.id, owed)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 504 Gateway Timeout\r\nDotterelhollow-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", owed)
			owed = ""
		}
		if !e.answer(c, r, id) {
			return
		}
		if e.draw() < e.extraShare {
			owed = id
		}
	}
}

// read reads the requests of a channel, their bodies included.
func (c *channel) read() {
	defer close(c.gone)
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		c.requests <- r
	}
}

// answer runs a request and reports whether the channel can be used further.
func (e *engine) answer(c *channel, r *http.Request, id string) bool {
	if want := r.Header.Get("Dotterelhollow-Expected-Instance"); want != "" && want != e.id {
		_, err := fmt.Fprintf(c.conn, "HTTP/1.1 421 Misdirected Request\r\nDotterelhollow-Request-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	if r.Method != http.MethodPost {
		_, err := io.WriteString(c.conn, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return err == nil
	}
	run := e.runs.begin(id, e.id)
	complete := e.stream(c, r, id)
	e.runs.end(run)
	e.record.line("%s  %s ends, complete: %v", e.id, id, complete)
	return complete
}

// stream reads the prompt and sends the events after Last-Event-Id.
func (e *engine) stream(c *channel, r *http.Request, id string) bool {
	prompt, output := tokenCounts(r)
	ms := float64(prompt)/prefillTokensPerMS + pairsMSPerMillion*float64(prompt)*float64(prompt)/1e6
	if !c.wait(firstTokenTime + time.Duration(ms*float64(time.Millisecond))) {
		return false
	}
	_, err := fmt.Fprintf(c.conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nDotterelhollow-Request-Id: %s\r\n"+
		"Dotterelhollow-Response-Signature: %s.%s\r\nDotterelhollow-Weight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n", id, e.id, id)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; err == nil && n <= output; n++ {
		event := fmt.Sprintf("id: %d\ndata: word %d\n\n", n, n)
		_, err = fmt.Fprintf(c.conn, "%x\r\n%s\r\n", len(event), event)
		if err == nil && !c.wait(eventInterval) {
			return false
		}
	}
	if err == nil {
		_, err = io.WriteString(c.conn, "0\r\n\r\n")
	}
	return err == nil
}

// wait waits for a time and returns false if the channel closes meanwhile.
func (c *channel) wait(d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-c.gone:
		return false
	}
}

func tokenCounts(r *http.Request) (prompt, output int) {
	first, second, _ := strings.Cut(r.Header.Get("Dotterelhollow-Token-Counts"), ",")
	prompt, _ = strconv.Atoi(first)
	output, _ = strconv.Atoi(second)
	return prompt, output
}

// runs holds when which engine worked on which request. It is safe for concurrent use.
type runs struct {
	mu  sync.Mutex
	all map[string][]*oneRun
}

type oneRun struct {
	engine string
	began  time.Time
	// ended is zero while the engine works.
	ended time.Time
}

func newRuns() *runs { return &runs{all: map[string][]*oneRun{}} }

func (r *runs) begin(id, engine string) *oneRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	run := &oneRun{
		engine: engine,
		began:  time.Now(),
	}
	r.all[id] = append(r.all[id], run)
	return run
}

func (r *runs) end(run *oneRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ended = time.Now()
}

// overlaps returns, for each request on which an engine still worked the given time after another
// engine had begun, for how long it did.
func (r *runs) overlaps(atLeast time.Duration) map[string]time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]time.Duration{}
	for id, all := range r.all {
		for i := 1; i < len(all); i++ {
			before := all[i-1]
			ended := before.ended
			if ended.IsZero() {
				ended = time.Now()
			}
			if overlap := ended.Sub(all[i].began); before.engine != all[i].engine && overlap > atLeast {
				out[id] = overlap
			}
		}
	}
	return out
}
