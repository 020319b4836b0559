package retrier

import (
	"math"
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// window is the time constant with which earned retries decay.
const window = 10 * timekeeper.Second

// Budgets holds the retry budget of each service.
type Budgets struct {
	config   Config
	services map[identifier.ServiceName]*budget
	dropped  uint64
}

// New returns Budgets with all budgets unused.
func New(c Config) *Budgets {
	return &Budgets{
		config:   c.withDefaults(),
		services: make(map[identifier.ServiceName]*budget),
	}
}

// budget is the retry budget of one service.
type budget struct {
	lastUsed timekeeper.Time
	// balance is the number of retries left. It is bounded by what the requests of the
	// last window earned, or by the floor if that is larger.
	balance float64
	earned  float64
	// retried is the number of recent retries, with a decay constant of one second.
	retried float64
}

// Requested counts a new request of the service, which earns percent/100 retries.
func (b *Budgets) Requested(now timekeeper.Time, service identifier.ServiceName, percent int) {
	s := b.service(now, service)
	gain := float64(max(percent, 0)) / 100
	s.earned += gain
	s.balance = min(s.balance+gain, s.ceiling(b.config.Floor))
}

// Remaining returns the number of retries that the service may make now.
func (b *Budgets) Remaining(now timekeeper.Time, service identifier.ServiceName) int {
	return int(b.service(now, service).balance)
}

// Dropped returns the number of services that were dropped because the table was full.
func (b *Budgets) Dropped() uint64 { return b.dropped }

func (b *Budgets) service(now timekeeper.Time, name identifier.ServiceName) *budget {
	s, ok := b.services[name]
	if !ok {
		b.evictIdle()
		s = &budget{
			lastUsed: now,
			balance:  b.config.Floor,
		}
		b.services[name] = s
	}
	s.advance(now, b.config)
	return s
}

// evictIdle drops the least recently used service if the table is full.
func (b *Budgets) evictIdle() {
	if len(b.services) < b.config.MaxServices {
		return
	}
	delete(b.services, leastRecentlyUsed(b.services, func(s *budget) timekeeper.Time { return s.lastUsed }))
	b.dropped++
}

func (s *budget) advance(now timekeeper.Time, c Config) {
	elapsed := now.Sub(s.lastUsed)
	if elapsed <= 0 {
		return
	}
	s.lastUsed = now
	s.earned *= math.Exp(-float64(elapsed) / float64(window))
	s.retried *= math.Exp(-elapsed.Seconds())
	refill := float64(elapsed) / float64(c.FloorEvery)
	if s.balance < c.Floor {
		s.balance = min(s.balance+refill, c.Floor)
	}
	s.balance = min(s.balance, s.ceiling(c.Floor))
}

func (s *budget) ceiling(floor float64) float64 { return max(s.earned, floor) }

func (s *budget) takeRetry() bool {
	if s.balance < 1 {
		return false
	}
	s.balance--
	return true
}

// pause returns the delay before the next attempt and whether it ends before the
// deadline.
func (b *Budgets) pause(now timekeeper.Time, a EndedAttempt, s *budget, rng *rand.Rand) (timekeeper.Duration, bool) {
	remaining := a.Deadline.Sub(now)
	maxPause := timekeeper.Duration(0)
	if b.config.Rules.Backoff {
		maxPause = b.backoff(a.Attempts)
	}
	if b.config.Rules.Spread {
		maxPause += b.spread(s)
	}
	delay := maxPause
	if b.config.Rules.Jitter {
		delay = jittered(maxPause, rng)
	}
	delay = min(delay, remaining/4)
	if a.Attempts > 1 && a.RetryAfter > delay {
		delay = a.RetryAfter
	}
	return delay, delay < remaining
}

// jittered returns a random delay of at most maxPause, so that requests that failed
// together are not retried together.
func jittered(maxPause timekeeper.Duration, rng *rand.Rand) timekeeper.Duration {
	return timekeeper.Duration(rng.Int64N(int64(max(maxPause, 0)) + 1))
}

// backoff returns the maximum delay after the given number of attempts.
func (b *Budgets) backoff(attempts int) timekeeper.Duration {
	maxPause := b.config.Backoff
	for i := 1; i < attempts && maxPause < b.config.MaxBackoff; i++ {
		maxPause *= 2
	}
	return min(maxPause, b.config.MaxBackoff)
}

// spread returns an additional delay that keeps the rate of retries near the configured
// pace.
//
// When a zone is lost, all its streams break at once, and without it the accumulated
// budget would be spent at once too. The prefills would then peak on the remaining
// servers just when their capacity is short.
func (b *Budgets) spread(s *budget) timekeeper.Duration {
	over := s.retried/b.config.SpreadPace - 1
	return min(timekeeper.Duration(max(over, 0)*float64(timekeeper.Second)), b.config.MaxBackoff)
}

// retryDelay returns the time after which a caller may expect a retry budget again.
func (b *Budgets) retryDelay(s *budget, rng *rand.Rand) timekeeper.Duration {
	missing := max(1-s.balance, 0)
	wait := timekeeper.Duration(missing*float64(b.config.FloorEvery)) + timekeeper.Second
	return wait + timekeeper.Duration(rng.Int64N(int64(wait)))
}
