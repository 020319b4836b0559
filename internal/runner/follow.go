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
	// readLimit bounds the records of one read, readWait how long the log
	// keeps a read waiting for the next record.
	readLimit = 1000
	readWait  = 5 * timekeeper.Second
	// readSlack is what a read may take beyond its wait.
	readSlack = 2 * time.Second
	// promptWait and promptSlack are the same for streams on which something
	// happens every second. A read that the log, or a connection that went
	// silent, keeps waiting in vain ends within two seconds, so that a lease of
	// three seconds that is renewed every second outlives it. With the longer
	// times the lease was lost for 2.4 s, and all accounts were refused.
	promptWait  = 1200 * timekeeper.Millisecond
	promptSlack = 800 * time.Millisecond
	// retryFirst and retryMost bound the pause after a failure; half of each
	// pause is random, so that nodes do not come back all at once.
	retryFirst = 100 * time.Millisecond
	retryMost  = 2 * time.Second
)

// backoff spaces tries that fail.
type backoff struct {
	rng  *rand.Rand
	next time.Duration
}

func newBackoff(rng *rand.Rand) *backoff {
	return &backoff{
		rng:  rng,
		next: retryFirst,
	}
}

// reset begins anew after a success.
func (b *backoff) reset() { b.next = retryFirst }

// wait pauses, longer each time, or returns false when ctx ends first.
func (b *backoff) wait(ctx context.Context) bool {
	d := b.next/2 + time.Duration(b.rng.Int64N(int64(b.next/2)))
	b.next = min(2*b.next, retryMost)
	return sleep(ctx, d)
}

// startTailers starts a task for each stream that the reducer follows, and
// pauses those of streams that it no longer does.
func (r *Runner) startTailers() {
	wanted := r.config.Reducer.Streams()
	for s, following := range r.tailers {
		following.Store(slices.Contains(wanted, s))
	}
	for _, s := range wanted {
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

// follow reads a stream of the log from its beginning on, for good.
//
// The first read, and the first after a failure, does not wait for the next
// record. A stream on which nothing happens would keep it for the whole wait,
// and the node would meanwhile refuse requests as if the log were still out,
// or not know that records expired before it could read them.
func (r *Runner) follow(ctx context.Context, s identifier.LogStream, following *atomic.Bool, pause *backoff) {
	var (
		from identifier.Offset
		wait timekeeper.Duration
	)
	longest, slack := readWait, readSlack
	prompt := slices.Contains(r.config.LowLatencyStreams, s)
	if prompt {
		longest, slack = promptWait, promptSlack
	}
	for ctx.Err() == nil {
		if !following.Load() {
			wait = 0
			sleep(ctx, idleCheck)
			continue
		}
		read, err := r.readLog(ctx, s, from, wait, slack)
		if err != nil {
			wait = 0
			r.emit(ctx, messenger.LogUnavailable{Stream: s})
			pause.wait(ctx)
			continue
		}
		pause.reset()
		switch n := len(read.Records); {
		case read.Next != 0:
			from = read.Next
		case n > 0:
			from = read.Records[n-1].Offset + 1
		}
		r.noteEra(ctx)
		first := wait == 0
		wait = longest
		read.Stream = s
		r.emit(ctx, read)
		if first && prompt {
			// Where one read was all that the reducer wanted, the next would be a
			// call to the store for nothing at each of the nodes.
			sleep(ctx, idleCheck)
		}
	}
}

func (r *Runner) readLog(
	ctx context.Context, s identifier.LogStream, from identifier.Offset, wait timekeeper.Duration, slack time.Duration,
) (messenger.LogRead, error) {
	ctx, done := context.WithTimeout(ctx, wait.Std()+slack)
	defer done()
	return r.config.Log.Read(ctx, s, from, readLimit, wait)
}
