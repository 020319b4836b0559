package limiter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// bucket is a token bucket whose level may become negative.
//
// golang.org/x/time/rate also takes explicit times, but it never admits what exceeds
// its burst, whereas a node's share of the burst may be smaller than one request, and
// its last token admits a request of any size. It can cancel only reservations that
// have not been acted on, whereas a request is settled when it ends. And it locks,
// which a pure package does not need.
type bucket struct {
	level    float64
	rate     float64
	capacity float64
	// maxDebt bounds how far below zero a request may take the level. Zero means no
	// bound: a request of any size passes.
	maxDebt float64
	started bool
}

// configure sets rate and capacity. A new bucket starts full.
func (b *bucket) configure(rate, capacity float64) {
	b.rate = rate
	b.capacity = capacity
	if !b.started {
		b.level = capacity
		b.started = true
	}
	b.level = min(b.level, capacity)
}

// startAt sets the initial level of a bucket that must not start full.
func (b *bucket) startAt(level float64) {
	b.level = level
	b.started = true
}

// refill adds the tokens of the elapsed time, and returns the excess over the capacity.
func (b *bucket) refill(elapsed timekeeper.Duration) float64 {
	full := b.level + b.rate*elapsed.Seconds()
	b.level = min(full, b.capacity)
	return full - b.level
}

// wait returns the time until n tokens may be taken, or zero if they may be taken now.
// Zero tokens always pass.
//
// A bucket that is not empty may go into debt by one request: the tokens left at one
// node are often fewer than those that all nodes together hold for the account. The
// fraction reserve of the capacity is not used, except that at least one token of it
// stays usable.
func (b *bucket) wait(n, reserve float64) timekeeper.Duration {
	if b.unlimited() || n <= 0 {
		return 0
	}
	required := min(n, 1)
	if b.maxDebt > 0 {
		required = max(required, n-b.maxDebt)
	}
	missing := required + min(reserve*b.capacity, b.capacity-1) - b.level
	if missing <= roundingError {
		return 0
	}
	return timekeeper.Duration(math.Ceil(min(missing/b.rate, maxRetry.Seconds()) * float64(timekeeper.Second)))
}

func (b *bucket) take(n float64) {
	if !b.unlimited() {
		b.level -= n
	}
}

func (b *bucket) refund(n float64) {
	b.level = min(b.level+n, b.capacity)
}

// unlimited reports whether the account has no limit of this kind.
func (b *bucket) unlimited() bool { return b.rate <= 0 }

// roundingError is the tolerated shortfall, in requests or tokens.
const roundingError = 1e-6
