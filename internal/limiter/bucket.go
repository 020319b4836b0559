package limiter

import (
	"math"

	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// bucket is a token bucket that may go into debt.
//
// golang.org/x/time/rate takes explicit times too, but not the rest: it
// refuses for ever what exceeds its burst, while here a node's share of the
// burst may be smaller than one request, and its last bit is spent on a request
// of any size; it gives back only reservations that
// have not yet been acted on, while a request settles when it ends; and it
// locks, which a pure package has no use for.
type bucket struct {
	level    float64
	rate     float64
	capacity float64
	// debt bounds how far below zero a request may take the level. Zero stands
	// for no bound: a request of any size passes.
	debt    float64
	started bool
}

// set changes rate and capacity; a new bucket is full.
func (b *bucket) set(rate, capacity float64) {
	b.rate = rate
	b.capacity = capacity
	if !b.started {
		b.level = capacity
		b.started = true
	}
	b.level = min(b.level, capacity)
}

// begin starts a bucket at a level instead of full.
func (b *bucket) begin(level float64) {
	b.level = level
	b.started = true
}

// refill adds what came in a span, and returns what the bucket has no room for.
func (b *bucket) refill(passed timekeeper.Duration) float64 {
	full := b.level + b.rate*passed.Seconds()
	b.level = min(full, b.capacity)
	return full - b.level
}

// wait is the time until n may be taken, zero for now. A bucket that is not
// empty may go into debt by one request: the rest of a node's share is often
// smaller than what the account, by all its shares, may have. What needs
// nothing always passes. The part keep of the capacity is not to be touched, as
// far as one request or token is left beside it.
func (b *bucket) wait(n, keep float64) timekeeper.Duration {
	if b.unlimited() || n <= 0 {
		return 0
	}
	least := min(n, 1)
	if b.debt > 0 {
		least = max(least, n-b.debt)
	}
	missing := least + min(keep*b.capacity, b.capacity-1) - b.level
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

func (b *bucket) giveBack(n float64) {
	b.level = min(b.level+n, b.capacity)
}

// unlimited tells that the account has no limit of this kind.
func (b *bucket) unlimited() bool { return b.rate <= 0 }

// roundingError is the part of a request or token that may be missing.
const roundingError = 1e-6
