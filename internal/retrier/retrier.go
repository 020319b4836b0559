// Package retrier decides what follows an attempt that has ended: whether there is
// another attempt and after what delay, or which outcome is reported to the caller.
//
// A request is repeated only if the result of the attempt and the idempotency of the
// request permit it, and if the service has a retry left. Each service has a budget
// that grows with its requests, so that retries stay a small share of the load when a
// backend fails. Moves caused by an announced reclaim use no budget, because their load
// was already accepted.
//
// All functions are deterministic: time and randomness are passed in. Nothing is safe
// for concurrent use.
package retrier

import (
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Defaults of Config.
const (
	DefaultBackoff     = 50 * timekeeper.Millisecond
	DefaultMaxBackoff  = 5 * timekeeper.Second
	DefaultMaxAttempts = 8
	DefaultFloor       = 3
	DefaultFloorEvery  = 5 * timekeeper.Second
	DefaultSpreadPace  = 50
	DefaultMaxServices = 1024
)

// maxMovePause bounds the delay before a planned move is tried again.
const maxMovePause = 1 * timekeeper.Second

// Rules enables the single safeguards, so that the effect of each can be measured.
type Rules struct {
	// Budget bounds the retries of a service.
	Budget bool
	// Backoff delays retries by a time that doubles with each attempt.
	Backoff bool
	// Jitter draws the delay at random.
	Jitter bool
	// Spread lengthens the delays when many retries coincide.
	Spread bool
	// PlannedFree exempts moves caused by a reclaim from the budget.
	PlannedFree bool
}

// AllRules returns Rules with every safeguard enabled.
func AllRules() Rules {
	return Rules{
		Budget:      true,
		Backoff:     true,
		Jitter:      true,
		Spread:      true,
		PlannedFree: true,
	}
}

// Config configures Budgets. Zero numbers select the defaults, but zero Rules disable
// all safeguards: see AllRules.
type Config struct {
	Rules Rules
	// Backoff is the maximum delay before the first retry. It doubles with each attempt
	// up to MaxBackoff.
	Backoff    timekeeper.Duration
	MaxBackoff timekeeper.Duration
	// MaxAttempts bounds the attempts of one request, except planned moves.
	MaxAttempts int
	// Floor is the minimum budget, for services with little traffic. FloorEvery is the
	// time in which one retry is refilled up to the floor.
	Floor      float64
	FloorEvery timekeeper.Duration
	// SpreadPace is the number of retries per second of one service above which they
	// are spread over time.
	SpreadPace float64
	// MaxServices bounds the number of services that are tracked.
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

// EndedAttempt describes an attempt that has ended and its request.
type EndedAttempt struct {
	Service    identifier.ServiceName
	Idempotent bool
	Result     messenger.AttemptResult
	// Attempts is the number of attempts made, including this one.
	Attempts int
	Deadline timekeeper.Time
	// Delivered is the number of answer tokens that the node has received over all
	// attempts.
	Delivered identifier.Tokens
	Model     bool
	// RetryAfter is the retry delay that the server requested, or zero.
	RetryAfter timekeeper.Duration
	// Planned reports whether an announced reclaim or a planned stop ended the attempt.
	Planned bool
	// EarlierNotRun reports whether all earlier attempts ended not_sent or refused.
	// Otherwise an idempotent request with earlier attempts is assumed to have possibly
	// run.
	EarlierNotRun bool
}

// Verdict is the decision on an ended attempt. If Retry is set, another attempt starts
// after Delay; a model stream with delivered tokens continues behind them. Otherwise
// Outcome and Reason are final, and RetryAfter is the retry delay for the caller.
type Verdict struct {
	Retry      bool
	Delay      timekeeper.Duration
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

// move continues a planned move, without budget and at first without delay.
//
// If a server refuses the move, further attempts are delayed as retries are, but less,
// so that a move that is always refused does not loop without delay. It is not
// abandoned, because the request was accepted.
func (b *Budgets) move(now timekeeper.Time, a EndedAttempt, rng *rand.Rand) Verdict {
	if !b.config.Rules.PlannedFree {
		return b.retry(now, a, rng)
	}
	if a.Attempts <= 1 || !ProvablyNotRun(a.Result) {
		return Verdict{Retry: true}
	}
	maxPause := min(b.backoff(a.Attempts), maxMovePause, a.Deadline.Sub(now)/4)
	return Verdict{
		Retry: true,
		Delay: jittered(maxPause, rng),
	}
}

func (b *Budgets) retry(now timekeeper.Time, a EndedAttempt, rng *rand.Rand) Verdict {
	s := b.service(now, a.Service)
	if a.Attempts >= b.config.MaxAttempts {
		return final(a, b.exhaustedReason(a), b.retryDelay(s, rng))
	}
	delay, fits := b.pause(now, a, s, rng)
	if !fits {
		return final(a, messenger.ReasonDeadlineExpired, a.RetryAfter)
	}
	if b.config.Rules.Budget && !s.takeRetry() {
		return final(a, b.exhaustedReason(a), b.retryDelay(s, rng))
	}
	s.retried++
	return Verdict{
		Retry: true,
		Delay: delay,
	}
}

// exhaustedReason returns the server's own failure or refusal as the reason if there
// was one, and otherwise that the retries are exhausted.
func (b *Budgets) exhaustedReason(a EndedAttempt) messenger.Reason {
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
