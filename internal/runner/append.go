package runner

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/answerer"
	"github.com/dotterelhollow/dotterelhollow/internal/claimer"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

const (
	// appendQueue bounds the records that wait, batchRecords and batchBytes
	// what goes into one call.
	appendQueue  = 4096
	batchRecords = 512
	batchBytes   = 1 << 20
	// appendTimeout bounds one call.
	appendTimeout = 2 * time.Second
	// throttleLimit is how long a batch that the log's rate limit refuses is
	// tried again before its records count as failed.
	throttleLimit = 5 * time.Second
	throttleFirst = 20 * time.Millisecond
	throttleMost  = 1 * time.Second
	// outcomeAppends is how often the record of an outcome is appended: it
	// has no one who asks for it again.
	outcomeAppends = 5
)

// pendingAppend is a record that waits for its turn.
type pendingAppend struct {
	record adapter.Record
	ticket identifier.Ticket
	// tries counts the appends left; a record with more than one goes back
	// into the queue when it failed, and nobody is told of its end.
	tries int
}

// appender batches appends to the log: all that wait go into one call, and at
// most one call is under way, because all nodes share a few hundred appends a
// second.
type appender struct {
	log     PlatformLog
	rng     *rand.Rand // for the appender's task only
	metrics *Metrics
	wake    chan struct{}

	mu    sync.Mutex
	queue []pendingAppend
}

func newAppender(log PlatformLog, rng *rand.Rand, m *Metrics) *appender {
	return &appender{
		log:     log,
		rng:     rng,
		metrics: m,
		wake:    make(chan struct{}, 1),
	}
}

// add queues a record, or returns false where the queue is full.
func (a *appender) add(p pendingAppend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= appendQueue {
		return false
	}
	a.queue = append(a.queue, p)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return true
}

// next returns the next batch, which may be empty.
func (a *appender) next() []pendingAppend {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, size := 0, 0
	for n < len(a.queue) && n < batchRecords {
		size += len(a.queue[n].record.Data)
		if n > 0 && size > batchBytes {
			break
		}
		n++
	}
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	return batch
}

// run appends batches until ctx ends, and tells ended of each.
func (a *appender) run(ctx context.Context, ended func(p pendingAppend, ok bool)) {
	for {
		batch := a.next()
		if len(batch) == 0 {
			select {
			case <-a.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		ok := a.append(ctx, batch)
		if ctx.Err() != nil {
			return
		}
		for _, p := range batch {
			a.settle(p, ok, ended)
		}
	}
}

// settle reports the end of a record, or queues it again.
func (a *appender) settle(p pendingAppend, ok bool, ended func(pendingAppend, bool)) {
	if p.tries <= 1 {
		ended(p, ok)
		return
	}
	if ok {
		return
	}
	p.tries--
	if !a.add(p) {
		ended(p, false)
	}
}

// append makes one call, again and again while the log's rate limit refuses
// it: then nothing was appended, so that trying again is safe. Any other
// failure may hide an append that took effect; only reading the log back
// settles that, so it is not tried again here.
func (a *appender) append(ctx context.Context, batch []pendingAppend) bool {
	records := make([]adapter.Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	a.metrics.appends.Add(1)
	a.metrics.appendedRecords.Add(int64(len(records)))
	pause, patience := throttleFirst, time.Now().Add(throttleLimit)
	for {
		err := a.appendOnce(ctx, records)
		var throttled *adapter.RateLimitedError
		if !errors.As(err, &throttled) {
			return err == nil
		}
		a.metrics.throttledAppends.Add(1)
		wait := max(throttled.RetryAfter.Std(), pause)
		wait += time.Duration(a.rng.Int64N(int64(pause)))
		if time.Now().Add(wait).After(patience) || !sleep(ctx, wait) {
			return false
		}
		pause = min(2*pause, throttleMost)
	}
}

func (a *appender) appendOnce(ctx context.Context, records []adapter.Record) error {
	ctx, done := context.WithTimeout(ctx, appendTimeout)
	defer done()
	_, err := a.log.Append(ctx, records)
	return err
}

// sleep waits for d, or returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// appendRecord queues a record that the reducer awaits the end of.
func (r *Runner) appendRecord(e messenger.AppendRecord) {
	p := pendingAppend{
		record: adapter.Record{
			Stream: e.Stream,
			Data:   e.Data,
		},
		ticket: e.Ticket,
		tries:  1,
	}
	if !r.appends.add(p) {
		r.later(appendEnded(p, false))
	}
}

func appendEnded(p pendingAppend, ok bool) messenger.AppendEnded {
	return messenger.AppendEnded{
		Ticket: p.ticket,
		Stream: p.record.Stream,
		OK:     ok,
	}
}

// appendOutcome queues the record of a claimed request's end, with the reply
// of a plain service in it.
func (r *Runner) appendOutcome(e messenger.AppendOutcome) {
	var reply answerer.Reply
	r.withAnswer(e.Request, func(a *answerer.Answer) { reply, _ = a.Reply() })
	r.appends.add(pendingAppend{
		record: adapter.Record{
			Stream: e.Stream,
			Data: claimer.OutcomeRecord(
				e.Account, e.Key, e.Request, e.Nonce, e.Outcome, reply.Status, reply.Body,
			),
		},
		tries: outcomeAppends,
	})
}

// startAppender starts the task that appends.
func (r *Runner) startAppender() {
	r.tasks.start(func(ctx context.Context) func() {
		r.appends.run(ctx, func(p pendingAppend, ok bool) {
			r.emit(ctx, appendEnded(p, ok))
		})
		return nil
	})
}
