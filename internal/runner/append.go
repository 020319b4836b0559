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
	// maxQueuedAppends bounds the queued records, maxBatchRecords and
	// maxBatchBytes the content of one call.
	maxQueuedAppends = 4096
	maxBatchRecords  = 512
	maxBatchBytes    = 1 << 20
	// appendTimeout is the timeout of one call.
	appendTimeout = 2 * time.Second
	// throttleTimeout is the time for which a batch that the log's rate limit
	// rejects is retried before its records count as failed.
	throttleTimeout    = 5 * time.Second
	minThrottleBackoff = 20 * time.Millisecond
	maxThrottleBackoff = 1 * time.Second
	// maxOutcomeAppends bounds the appends of an outcome's record, which no one
	// else would retry.
	maxOutcomeAppends = 5
)

// pendingAppend is a queued record.
type pendingAppend struct {
	record adapter.Record
	ticket identifier.Ticket
	// triesLeft counts the remaining appends. A record with more than one is
	// requeued after a failure, and its success is not reported.
	triesLeft int
}

// appender appends queued records to the log in batches. It makes one call at a
// time, because all nodes share a limit of a few hundred appends a second.
type appender struct {
	log     PlatformLog
	rng     *rand.Rand // used only by the appender's task
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

// add queues a record. It returns false if the queue is full.
func (a *appender) add(p pendingAppend) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= maxQueuedAppends {
		return false
	}
	a.queue = append(a.queue, p)
	select {
	case a.wake <- struct{}{}:
	default:
	}
	return true
}

// next removes and returns the next batch, which may be empty.
func (a *appender) next() []pendingAppend {
	a.mu.Lock()
	defer a.mu.Unlock()
	n, size := 0, 0
	for n < len(a.queue) && n < maxBatchRecords {
		size += len(a.queue[n].record.Data)
		if n > 0 && size > maxBatchBytes {
			break
		}
		n++
	}
	batch := a.queue[:n:n]
	a.queue = a.queue[n:]
	return batch
}

// run appends batches until ctx ends and calls ended for each record whose
// result must be reported.
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
			a.reportOrRequeue(p, ok, ended)
		}
	}
}

// reportOrRequeue reports the result of a record's append or queues the record
// again.
func (a *appender) reportOrRequeue(p pendingAppend, ok bool, ended func(pendingAppend, bool)) {
	if p.triesLeft <= 1 {
		ended(p, ok)
		return
	}
	if ok {
		return
	}
	p.triesLeft--
	if !a.add(p) {
		ended(p, false)
	}
}

// append appends one batch and retries while the log's rate limit rejects it,
// in which case nothing was appended. After any other error the append may have
// taken effect. Only reading the log back can establish that, so such an append
// is not retried here.
func (a *appender) append(ctx context.Context, batch []pendingAppend) bool {
	records := make([]adapter.Record, 0, len(batch))
	for _, p := range batch {
		records = append(records, p.record)
	}
	a.metrics.appends.Add(1)
	a.metrics.appendedRecords.Add(int64(len(records)))
	delay, deadline := minThrottleBackoff, time.Now().Add(throttleTimeout)
	for {
		err := a.appendOnce(ctx, records)
		var throttled *adapter.RateLimitedError
		if !errors.As(err, &throttled) {
			return err == nil
		}
		a.metrics.throttledAppends.Add(1)
		wait := max(throttled.RetryAfter.Std(), delay)
		wait += time.Duration(a.rng.Int64N(int64(delay)))
		if time.Now().Add(wait).After(deadline) || !sleep(ctx, wait) {
			return false
		}
		delay = min(2*delay, maxThrottleBackoff)
	}
}

func (a *appender) appendOnce(ctx context.Context, records []adapter.Record) error {
	ctx, done := context.WithTimeout(ctx, appendTimeout)
	defer done()
	_, err := a.log.Append(ctx, records)
	return err
}

// sleep waits for d. It returns false if ctx ends first.
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

// appendRecord queues a record whose result is reported to the reducer.
func (r *Runner) appendRecord(e messenger.AppendRecord) {
	p := pendingAppend{
		record: adapter.Record{
			Stream: e.Stream,
			Data:   e.Data,
		},
		ticket:    e.Ticket,
		triesLeft: 1,
	}
	if !r.appends.add(p) {
		r.enqueue(appendEnded(p, false))
	}
}

func appendEnded(p pendingAppend, ok bool) messenger.AppendEnded {
	return messenger.AppendEnded{
		Ticket: p.ticket,
		Stream: p.record.Stream,
		OK:     ok,
	}
}

// appendOutcome queues the outcome record of a claimed request, which includes
// the reply of a plain service.
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
		triesLeft: maxOutcomeAppends,
	})
}

func (r *Runner) startAppender() {
	r.tasks.start(func(ctx context.Context) func() {
		r.appends.run(ctx, func(p pendingAppend, ok bool) {
			r.emit(ctx, appendEnded(p, ok))
		})
		return nil
	})
}
