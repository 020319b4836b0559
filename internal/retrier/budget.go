package retrier

import (
	"math"
	"math/rand/v2"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// window is the time over which requests earn retries.
const window = 10 * timekeeper.Second

// Budgets holds the retry budget of each service.
type Budgets struct {
	config   Config
	services map[identifier.ServiceName]*budget
	dropped  uint64
}

// New returns Budgets with nothing spent.
func New(c Config) *Budgets {
	return &Budgets{
		config:   c.withDefaults(),
		services: make(map[identifier.ServiceName]*budget),
	}
}

// budget is what one service may still spend on retries.
type budget struct {
	at timekeeper.Time
	// balance is the number of retries left; ceiling bounds it to what the
	// requests of the last window earn, or the floor if that is more.
	balance float64
	earned  float64
	// retried is the recent number of retries, decaying within a second.
	retried float64
}

// Requested notes a new request of the service, which earns percent
// hundredths of a retry.
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

// Dropped returns how many services were forgotten for lack of room.
func (b *Budgets) Dropped() uint64 { return b.dropped }

func (b *Budgets) service(now timekeeper.Time, name identifier.ServiceName) *budget {
	s, ok := b.services[name]
	if !ok {
		b.makeRoom()
		s = &budget{
			at:      now,
			balance: b.config.Floor,
		}
		b.services[name] = s
	}
	s.advance(now, b.config)
	return s
}

// makeRoom forgets the service that was idle longest when the table is full.
func (b *Budgets) makeRoom() {
	if len(b.services) < b.config.MaxServices {
		return
	}
	delete(b.services, idlest(b.services, func(s *budget) timekeeper.Time { return s.at }))
	b.dropped++
}

func (s *budget) advance(now timekeeper.Time, c Config) {
	passed := now.Sub(s.at)
	if passed <= 0 {
		return
	}
	s.at = now
	s.earned *= math.Exp(-float64(passed) / float64(window))
	s.retried *= math.Exp(-passed.Seconds())
	refill := float64(passed) / float64(c.FloorEvery)
	if s.balance < c.Floor {
		s.balance = min(s.balance+refill, c.Floor)
	}
	s.balance = min(s.balance, s.ceiling(c.Floor))
}

func (s *budget) ceiling(floor float64) float64 { return max(s.earned, floor) }

func (s *budget) spend() bool {
	if s.balance < 1 {
		return false
	}
	s.balance--
	return true
}

// pause draws the wait before the next attempt and reports whether it ends
// before the deadline.
func (b *Budgets) pause(now timekeeper.Time, a EndedAttempt, s *budget, rng *rand.Rand) (timekeeper.Duration, bool) {
	left := a.Deadline.Sub(now)
	longest := timekeeper.Duration(0)
	if b.config.Rules.Backoff {
		longest = b.backoff(a.Attempts)
	}
	if b.config.Rules.Spread {
		longest += b.spread(s)
	}
	after := longest
	if b.config.Rules.Jitter {
		after = jittered(longest, rng)
	}
	after = min(after, left/4)
	if a.Attempts > 1 && a.RetryAfter > after {
		after = a.RetryAfter
	}
	return after, after < left
}

// jittered draws a pause of at most longest, so that requests that failed
// together do not come back together.
func jittered(longest timekeeper.Duration, rng *rand.Rand) timekeeper.Duration {
	return timekeeper.Duration(rng.Int64N(int64(max(longest, 0)) + 1))
}

// backoff is the longest pause after so many attempts.
func (b *Budgets) backoff(attempts int) timekeeper.Duration {
	longest := b.config.Backoff
	for i := 1; i < attempts && longest < b.config.MaxBackoff; i++ {
		longest *= 2
	}
	return min(longest, b.config.MaxBackoff)
}

// spread stretches pauses so that the retries of the last second would leave
// at the pace that is allowed.
//
// When a zone goes, all its streams break in one instant and budgets saved
// over time would be spent in it: the surviving servers see a spike of
// prefills just when they are short. Spread over their number divided by the
// pace, the spike becomes a slope that they can take.
func (b *Budgets) spread(s *budget) timekeeper.Duration {
	over := s.retried/b.config.SpreadPace - 1
	return min(timekeeper.Duration(max(over, 0)*float64(timekeeper.Second)), b.config.MaxBackoff)
}

// comeBack is the time until a caller may hope for a retry budget again.
func (b *Budgets) comeBack(s *budget, rng *rand.Rand) timekeeper.Duration {
	missing := max(1-s.balance, 0)
	wait := timekeeper.Duration(missing*float64(b.config.FloorEvery)) + timekeeper.Second
	return wait + timekeeper.Duration(rng.Int64N(int64(wait)))
}
