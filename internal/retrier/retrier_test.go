package retrier

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const testNow = timekeeper.Time(1_000_000)

func seeded(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// broken returns an idempotent request whose first attempt broke off, modified by edit.
func broken(edit func(*EndedAttempt)) EndedAttempt {
	a := EndedAttempt{
		Service:    "report",
		Idempotent: true,
		Result:     messenger.AttemptBroken,
		Attempts:   1,
		Deadline:   testNow.Add(timekeeper.Minute),
	}
	if edit != nil {
		edit(&a)
	}
	return a
}

func TestClassification(t *testing.T) {
	// check verifies whether another attempt follows within budget and deadline, and
	// the outcome after the deadline.
	check := func(result messenger.AttemptResult, idempotent, again bool, outcome messenger.Outcome) {
		t.Helper()
		a := broken(func(a *EndedAttempt) { a.Result, a.Idempotent = result, idempotent })
		require.Equal(t, again, New(Config{Rules: AllRules()}).Next(testNow, a, seeded(1)).Retry)
		late := New(Config{Rules: AllRules()}).Next(a.Deadline, a, seeded(1))
		require.False(t, late.Retry)
		require.Equal(t, outcome, late.Outcome)
	}
	for _, idempotent := range []bool{true, false} {
		check(messenger.AttemptComplete, idempotent, false, messenger.Done)
		check(messenger.AttemptNotSent, idempotent, true, messenger.NotRun)
		check(messenger.AttemptRefused, idempotent, true, messenger.NotRun)
		check(messenger.AttemptBroken, idempotent, idempotent, messenger.Unknown)
		check(messenger.AttemptTimedOut, idempotent, idempotent, messenger.Unknown)
		check(messenger.AttemptFailed, idempotent, idempotent, messenger.Failed)
		check("nonsense", idempotent, false, messenger.Unknown)
	}
}

// A caller that is told not_run may repeat the request by hand. This must not be
// reported if an earlier attempt may have run.
func TestNotRunOnlyIfNoAttemptRan(t *testing.T) {
	last := func(edit func(*EndedAttempt)) messenger.Outcome {
		a := broken(func(a *EndedAttempt) { a.Result, a.Attempts = messenger.AttemptRefused, DefaultMaxAttempts })
		edit(&a)
		return New(Config{Rules: AllRules()}).Next(testNow, a, seeded(1)).Outcome
	}
	require.Equal(t, messenger.Unknown, last(func(*EndedAttempt) {}))
	require.Equal(t, messenger.NotRun, last(func(a *EndedAttempt) { a.EarlierNotRun = true }))
	require.Equal(t, messenger.Unknown, last(func(a *EndedAttempt) { a.EarlierNotRun, a.Delivered = true, 5 }))
	require.Equal(t, messenger.NotRun, last(func(a *EndedAttempt) { a.Idempotent = false }))
}

func TestNextProperties(t *testing.T) {
	results := []messenger.AttemptResult{
		messenger.AttemptComplete, messenger.AttemptNotSent, messenger.AttemptRefused,
		messenger.AttemptBroken, messenger.AttemptTimedOut, messenger.AttemptFailed,
	}
	rapid.Check(t, func(t *rapid.T) {
		b, rng := New(Config{Rules: AllRules()}), seeded(rapid.Uint64().Draw(t, "seed"))
		now := testNow
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			now = now.Add(timekeeper.Duration(rapid.IntRange(0, 2000).Draw(t, "pause")))
			a := broken(func(a *EndedAttempt) {
				a.Result = rapid.SampledFrom(results).Draw(t, "result")
				a.Idempotent = rapid.Bool().Draw(t, "idempotent")
				a.Planned = rapid.Bool().Draw(t, "planned")
				a.Attempts = rapid.IntRange(1, 10).Draw(t, "attempts")
				a.Delivered = 7
				a.RetryAfter = timekeeper.Duration(rapid.IntRange(0, 5000).Draw(t, "retry_after"))
				a.Deadline = now.Add(timekeeper.Duration(rapid.IntRange(-10, 10_000).Draw(t, "left")))
			})
			v := b.Next(now, a, rng)
			if v.Retry {
				require.True(t, a.Idempotent || ProvablyNotRun(a.Result), "an unsafe repetition")
				require.True(t, now.Add(v.Delay).Before(a.Deadline), "an attempt after the deadline")
				require.GreaterOrEqual(t, v.Delay, timekeeper.Duration(0))
				require.Empty(t, v.Outcome)
			} else {
				require.NotEmpty(t, v.Outcome)
			}
			require.GreaterOrEqual(t, b.Remaining(now, a.Service), 0)
		}
	})
}

// retries returns the number of retries in ten seconds if each first attempt breaks.
func retries(r Rules, perSecond, percent int) int {
	b, rng, count := New(Config{Rules: r}), seeded(1), 0
	for i := range 10 * perSecond {
		now := testNow.Add(timekeeper.Duration(i * 1000 / perSecond))
		b.Requested(now, "report", percent)
		a := broken(func(a *EndedAttempt) { a.Deadline = now.Add(timekeeper.Minute) })
		if b.Next(now, a, rng).Retry {
			count++
		}
	}
	return count
}

// If every attempt fails, the budget must keep retries from doubling the load.
func TestBudgetBoundsRetries(t *testing.T) {
	rules := AllRules()
	const floor = DefaultFloor + 2 // the floor and the refill in ten seconds
	require.LessOrEqual(t, retries(rules, 100, 10), 100+floor)
	require.GreaterOrEqual(t, retries(rules, 100, 10), 100)
	require.Equal(t, DefaultFloor+1, retries(rules, 1, 0), "the floor and one refill after five seconds")
	rules.Budget = false
	require.Equal(t, 1000, retries(rules, 100, 10))
}

// Moves caused by an announced reclaim continue at once even if the budget is
// exhausted.
func TestPlannedMovesUseNoBudget(t *testing.T) {
	moveWithoutBudget := func(r Rules) Verdict {
		b := New(Config{Rules: r})
		for range 20 {
			b.Next(testNow, broken(nil), seeded(1))
		}
		require.Zero(t, b.Remaining(testNow, "report"))
		return b.Next(testNow, broken(func(a *EndedAttempt) { a.Planned = true }), seeded(1))
	}
	rules := AllRules()
	require.Equal(t, Verdict{Retry: true}, moveWithoutBudget(rules))
	rules.PlannedFree = false
	require.Equal(t, messenger.ReasonRetriesExhausted, moveWithoutBudget(rules).Reason)

	b, rng := New(Config{Rules: AllRules()}), seeded(1)
	pause := timekeeper.Duration(0)
	for range 20 {
		pause = max(pause, b.Next(testNow, broken(func(a *EndedAttempt) {
			a.Planned, a.Attempts, a.Result = true, 5, messenger.AttemptRefused
		}), rng).Delay)
	}
	require.Positive(t, pause, "a move that is refused repeatedly is delayed")
	require.LessOrEqual(t, pause, maxMovePause)
}

// longestPause returns the longest delay of count simultaneous retries.
func longestPause(r Rules, attempts, count int) timekeeper.Duration {
	b, rng := New(Config{
		Rules: r,
		Floor: 1000,
	}), seeded(1)
	longest := timekeeper.Duration(0)
	for range count {
		v := b.Next(testNow, broken(func(a *EndedAttempt) { a.Attempts = attempts }), rng)
		longest = max(longest, v.Delay)
	}
	return longest
}

// The streams of a lost zone break at the same time. Their retries must not reach the
// remaining servers all at once.
func TestSimultaneousRetriesAreSpread(t *testing.T) {
	rules := AllRules()
	require.Greater(t, longestPause(rules, 1, 300), 2*timekeeper.Second)
	rules.Spread = false
	require.LessOrEqual(t, longestPause(rules, 1, 300), DefaultBackoff)
}

func TestBackoffGrowsWithJitter(t *testing.T) {
	rules := AllRules()
	rules.Spread = false
	for attempts, bound := range map[int]timekeeper.Duration{1: 50, 2: 100, 3: 200, 6: 1600} {
		longest := longestPause(rules, attempts, 100)
		require.LessOrEqual(t, longest, bound)
		require.Greater(t, longest, bound/2)
	}
	rules.Jitter = false
	require.Equal(t, 200*timekeeper.Millisecond, longestPause(rules, 3, 1))
	rules.Backoff = false
	require.Zero(t, longestPause(rules, 3, 1))
}

func TestServicesAreBounded(t *testing.T) {
	b := New(Config{MaxServices: 2})
	b.Requested(testNow, "a", 10)
	b.Requested(testNow+1, "b", 10)
	b.Requested(testNow+2, "c", 10)
	require.Len(t, b.services, 2)
	require.NotContains(t, b.services, "a")
	require.EqualValues(t, 1, b.Dropped())
}
