// Package retrier decides what becomes of a request whose attempt has ended:
// whether another attempt may be made, after what pause, and if not, what the
// caller can truthfully be told.
//
// Two questions come before all others. May the request be repeated at all?
// That follows from how the attempt ended and from whether the request is
// idempotent. Is there a retry to spend? Each service has a budget that grows
// with its requests, so that retries stay a small share of the load when a
// backend fails. Moves that an announced reclaim causes cost nothing: they
// are load that was accepted before.
//
// Everything is pure: time and randomness are arguments. Nothing is safe for
// concurrent use.
package retrier

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// The defaults of a Config.
const (
	DefaultBackoff     = 50 * timekeeper.Millisecond
	DefaultMaxBackoff  = 5 * timekeeper.Second
	DefaultMaxAttempts = 8
	DefaultFloor       = 3
	DefaultFloorEvery  = 5 * timekeeper.Second
	DefaultSpreadPace  = 50
	DefaultMaxServices = 1024
)

// maxMovePause bounds the pause before a planned move is tried again.
const maxMovePause = 1 * timekeeper.Second

// Rules switches the safeguards on and off, for measurement.
type Rules struct {
	// Budget bounds the retries of a service.
	Budget bool
	// Backoff pauses before a retry.
	Backoff bool
	// Jitter draws the pause at random.
	Jitter bool
	// Spread stretches the pauses when many retries fall together.
	Spread bool
	// PlannedFree lets moves caused by a reclaim cost no budget.
	PlannedFree bool
}

// AllRules returns the rules with each one on.
func AllRules() Rules {
	return Rules{
		Budget:      true,
		Backoff:     true,
		Jitter:      true,
		Spread:      true,
		PlannedFree: true,
	}
}

// Config sets up Budgets. Zero numbers mean the defaults, but zero Rules
// mean that all rules are off: see AllRules.
type Config struct {
	Rules Rules
	// Backoff is the longest pause before the first retry; it doubles with
	// each attempt up to MaxBackoff.
	Backoff    timekeeper.Duration
	MaxBackoff timekeeper.Duration
	// MaxAttempts bounds the attempts of one request, planned moves aside.
	MaxAttempts int
	// Floor is the number of retries that a service with little traffic may
	// make at once, and FloorEvery the time in which it gets one back.
	Floor      float64
	FloorEvery timekeeper.Duration
	// SpreadPace is the number of retries a second of one service above which
	// they are spread over time.
	SpreadPace float64
	// MaxServices bounds the number of services remembered.
	MaxServices int
}

func (c Config) withDefaults() Config {
	if c.Backoff <= 0 {
		c.Backoff = DefaultBackoff
	}
	if c.MaxBackoff <= 0 {
		c.MaxBackoff = DefaultMaxBackoff
	}
	if c.MaxAttempts <= 0 {
		c.MaxAttempts = DefaultMaxAttempts
	}
	if c.Floor <= 0 {
		c.Floor = DefaultFloor
	}
	if c.FloorEvery <= 0 {
		c.FloorEvery = DefaultFloorEvery
	}
	if c.SpreadPace <= 0 {
		c.SpreadPace = DefaultSpreadPace
	}
	if c.MaxServices <= 0 {
		c.MaxServices = DefaultMaxServices
	}
	return c
}

// EndedAttempt describes the attempt that has ended and its request.
type EndedAttempt struct {
	Service    identifier.ServiceName
	Idempotent bool
	Result     messenger.AttemptResult
	// Attempts is the number of attempts made, this one included.
	Attempts int
	Deadline timekeeper.Time
	// Delivered is the number of tokens of the answer that stand with the
	// node, over all attempts.
	Delivered identifier.Tokens
	Model     bool
	// RetryAfter is the server's own wish, or zero.
	RetryAfter timekeeper.Duration
	// Planned tells that an announced reclaim or planned stop ended it.
	Planned bool
	// EarlierNotRun tells that all attempts before this one ended not_sent or
	// refused. Without it an idempotent request with earlier attempts is
	// taken to have run perhaps.
	EarlierNotRun bool
}

// Verdict tells what to do. With Again, another attempt starts After; a model
// stream with delivered tokens goes on from them. Else Outcome and Reason are
// final, and RetryAfter tells the caller when coming back makes sense.
type Verdict struct {
	Again      bool
	After      timekeeper.Duration
	Outcome    messenger.Outcome
	Reason     messenger.Reason
	RetryAfter timekeeper.Duration
}

// Next decides what follows the attempt.
func (b *Budgets) Next(now timekeeper.Time, a EndedAttempt, rng *rand.Rand) Verdict {
	if a.Result == messenger.AttemptComplete {
		return Verdict{Outcome: messenger.Done}
	}
	if !Repeatable(a.Result, a.Idempotent) {
		return final(a, messenger.ReasonServerFailed, 0)
	}
	if !now.Before(a.Deadline) {
		return final(a, messenger.ReasonDeadlineExpired, 0)
	}
	if a.Planned {
		return b.move(now, a, rng)
	}
	return b.retry(now, a, rng)
}

// move lets a planned move go on, out of budget and without a pause at first.
//
// A move whose next server refuses it too must not go round without end in
// the meantime, so that later ones pause like retries, if not as long: their
// request was accepted and is owed its answer.
func (b *Budgets) move(now timekeeper.Time, a EndedAttempt, rng *rand.Rand) Verdict {
	if !b.config.Rules.PlannedFree {
		return b.retry(now, a, rng)
	}
	if a.Attempts <= 1 || !ProvablyNotRun(a.Result) {
		return Verdict{Again: true}
	}
	longest := min(b.backoff(a.Attempts), maxMovePause, a.Deadline.Sub(now)/4)
	return Verdict{
		Again: true,
		After: jittered(longest, rng),
	}
}

func (b *Budgets) retry(now timekeeper.Time, a EndedAttempt, rng *rand.Rand) Verdict {
	s := b.service(now, a.Service)
	if a.Attempts >= b.config.MaxAttempts {
		return final(a, b.spentReason(a), b.comeBack(s, rng))
	}
	after, fits := b.pause(now, a, s, rng)
	if !fits {
		return final(a, messenger.ReasonDeadlineExpired, a.RetryAfter)
	}
	if b.config.Rules.Budget && !s.spend() {
		return final(a, b.spentReason(a), b.comeBack(s, rng))
	}
	s.retried++
	return Verdict{
		Again: true,
		After: after,
	}
}

// spentReason names the server's refusal rather than the spent budget where
// that is what the caller met.
func (b *Budgets) spentReason(a EndedAttempt) messenger.Reason {
	switch a.Result {
	case messenger.AttemptRefused:
		return messenger.ReasonServerRefusedWork
	case messenger.AttemptFailed:
		return messenger.ReasonServerFailed
	default:
		return messenger.ReasonRetriesExhausted
	}
}

func final(a EndedAttempt, reason messenger.Reason, retryAfter timekeeper.Duration) Verdict {
	return Verdict{
		Outcome:    OutcomeOf(a),
		Reason:     reason,
		RetryAfter: retryAfter,
	}
}
