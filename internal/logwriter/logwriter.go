// Package logwriter writes log lines without blocking the process.
//
// A process that writes its log directly to a pipe blocks when the reader stops
// reading. A Writer adds each line to a bounded queue, from which one goroutine
// writes. A line that exceeds the rate limit or finds the queue full is dropped,
// and the number of dropped lines is logged before the next line.
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
	// maxQueuedLines is two seconds of output at linesPerSecond.
	maxQueuedLines = 2000
	// linesPerSecond and burstLines configure the rate limit. A node serves a
	// few hundred requests per second and logs one or two lines for each.
	linesPerSecond = 1000
	burstLines     = 2000
)

// Writer is an io.Writer that never blocks. Each call of Write must pass one
// whole line. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	done    chan struct{}
}

var _ io.Writer = (*Writer)(nil)

// New returns a Writer to out. Lines are queued until Run is called.
func New(out io.Writer) *Writer {
	return &Writer{
		out:   out,
		lines: make(chan []byte, maxQueuedLines),
		limit: rate.NewLimiter(linesPerSecond, burstLines),
		done:  make(chan struct{}),
	}
}

// Write implements io.Writer. It also reports success for a dropped line, since
// the caller could not handle the error.
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

// Run writes lines until ctx is cancelled, and then those still queued. It must
// be called only once.
func (w *Writer) Run(ctx context.Context) {
	defer close(w.done)
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case <-ctx.Done():
			w.drain()
			return
		}
	}
}

// Done returns a channel that is closed when Run returns.
func (w *Writer) Done() <-chan struct{} { return w.done }

func (w *Writer) drain() {
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		default:
			return
		}
	}
}

// writeLine writes a line, preceded by the number of lines dropped before it.
// Write errors are ignored, since there is no other place to log them.
func (w *Writer) writeLine(line []byte) {
	if n := w.dropped.Swap(0); n > 0 {
		_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","@timestamp":%q,"lines":%d}`+"\n",
			time.Now().UTC().Format(time.RFC3339Nano), n)
	}
	_, _ = w.out.Write(line)
}
