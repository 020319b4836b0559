// Package logwriter writes log lines without ever keeping the process waiting.
//
// A process that writes its log straight to a pipe stops when nobody reads the
// other end, and callers wait with it. A Writer takes each line into a bounded
// queue, from which one goroutine writes; a line that finds no room, or comes
// faster than the bound on lines, is counted, and the count is written as a
// line of its own as soon as there is room.
package logwriter

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"
)

const (
	// queueLines bounds the lines that wait: two seconds of linesPerSecond.
	queueLines = 2000
	// linesPerSecond and burstLines bound the lines that are taken. A node
	// answers some hundred requests a second with a line or two each.
	linesPerSecond = 1000
	burstLines     = 2000
)

// Writer is an io.Writer that never blocks. Each call of Write is one line. It
// is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	ended   chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// New returns a Writer to out. Nothing is written until Run.
func New(out io.Writer) *Writer {
	return &Writer{
		out:   out,
		lines: make(chan []byte, queueLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
		ended: make(chan struct{}),
	}
}

// Write implements io.Writer. It reports every line as written: a caller could
// do nothing else with one that is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.limit.Allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- slices.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes lines until ctx ends, and then those that wait. Ended is closed
// when it returns.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.ended)
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// Ended is closed once Run has returned.
func (w *Writer) Ended() <-chan struct{} { return w.ended }

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.put(line)
		default:
			return
		}
	}
}

// put writes a line, and first how many are missing before it. An error of the
// output leaves nobody to tell.
func (w *Writer) put(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(line)
}
