package runner

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// maxReadRecords bounds the records of one read. readWait is the longest
	// time that the log holds a read open for the next record.
	maxReadRecords = 1000
	readWait       = 5 * timekeeper.Second
	// readMargin is the time that a read may take beyond its wait.
	readMargin = 2 * time.Second
	// lowLatencyWait and lowLatencyMargin replace readWait and readMargin for
	// streams that receive records every second. A hanging read then ends
	// within two seconds, before a lease expires that lasts three seconds and
	// is renewed every second.
	lowLatencyWait   = 1200 * timekeeper.Millisecond
	lowLatencyMargin = 800 * time.Millisecond
	// idleCheckInterval is the time between checks whether a paused tailer must
	// resume.
	idleCheckInterval = 100 * time.Millisecond
	// minRetryBackoff and maxRetryBackoff bound the backoff after a failure.
	// Half of each pause is random, so that nodes do not retry simultaneously.
	minRetryBackoff = 100 * time.Millisecond
	maxRetryBackoff = 2 * time.Second
)

// backoff is an exponential backoff with jitter.
type backoff struct {
	rng  *rand.Rand
	next time.Duration
}

func newBackoff(rng *rand.Rand) *backoff {
	return &backoff{
		rng:  rng,
		next: minRetryBackoff,
	}
}

// reset resets the backoff after a success.
func (b *backoff) reset() { b.next = minRetryBackoff }

// wait pauses and doubles the next pause. It returns false if ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	d := b.next/2 + time.Duration(b.rng.Int64N(int64(b.next/2)))
	b.next = min(2*b.next, maxRetryBackoff)
	return sleep(ctx, d)
}

// startTailers starts a task for each stream that the reducer follows and
// pauses the tasks of streams that it no longer follows.
func (r *Runner) startTailers() {
	followed := r.config.Reducer.Streams()
	for s, following := range r.tailers {
		following.Store(slices.Contains(followed, s))
	}
	for _, s := range followed {
		if r.tailers[s] != nil {
			continue
		}
		following := &atomic.Bool{}
		following.Store(true)
		r.tailers[s] = following
		rng := jitter(r.config.Seed, string(s))
		r.tasks.start(func(ctx context.Context) func() {
			r.follow(ctx, s, following, newBackoff(rng))
			return nil
		})
	}
}

// follow reads a stream of the log from its beginning until ctx ends.
//
// The first read, and the first after a failure, does not wait for the next
// record. On an idle stream it would otherwise return only after the whole
// wait. Until then the node would refuse requests as if the log were still
// unavailable, and would not detect that records had expired.
func (r *Runner) follow(ctx context.Context, s identifier.LogStream, following *atomic.Bool, retry *backoff) {
	var (
		from identifier.Offset
		wait timekeeper.Duration
	)
	maxWait, margin := readWait, readMargin
	lowLatency := slices.Contains(r.config.LowLatencyStreams, s)
	if lowLatency {
		maxWait, margin = lowLatencyWait, lowLatencyMargin
	}
	for ctx.Err() == nil {
		if !following.Load() {
			wait = 0
			sleep(ctx, idleCheckInterval)
			continue
		}
		read, err := r.readLog(ctx, s, from, wait, margin)
		if err != nil {
			wait = 0
			r.emit(ctx, messenger.LogUnavailable{Stream: s})
			retry.wait(ctx)
			continue
		}
		retry.reset()
		switch n := len(read.Records); {
		case read.Next != 0:
			from = read.Next
		case n > 0:
			from = read.Records[n-1].Offset + 1
		}
		r.checkGeneration(ctx)
		immediate := wait == 0
		wait = maxWait
		read.Stream = s
		r.emit(ctx, read)
		if immediate && lowLatency {
			// The reducer may stop following the stream after this read.
			// Pausing here avoids an unnecessary call to the store from each
			// node.
			sleep(ctx, idleCheckInterval)
		}
	}
}

func (r *Runner) readLog(
	ctx context.Context, s identifier.LogStream, from identifier.Offset, wait timekeeper.Duration, margin time.Duration,
) (messenger.LogRead, error) {
	ctx, done := context.WithTimeout(ctx, wait.Std()+margin)
	defer done()
	return r.config.Log.Read(ctx, s, from, maxReadRecords, wait)
}
