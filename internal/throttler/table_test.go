package throttler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

// answer returns what a server's answer states, by the time at which the request was sent
// and the stated rate. A negative rate means no limit.
func answer(sent timekeeper.Duration, rate identifier.RequestRate) messenger.ServerLimitReceived {
	return messenger.ServerLimitReceived{
		Server: "i-1",
		Sent:   start.Add(sent),
		Limit: messenger.StatedLimit{
			Stated: rate >= 0,
			Rate:   max(rate, 0),
		},
	}
}

func TestObserve(t *testing.T) {
	table := throttler.New()
	_, changed := table.Observe(start.Add(20), answer(10, -1))
	require.False(t, changed, "no limit is known")
	change, changed := table.Observe(start.Add(30), answer(10, 1))
	require.True(t, changed)
	require.Equal(t, throttler.Change{
		Server:  "i-1",
		Limited: true,
		Rate:    1,
		Direct:  true,
	}, change)
	_, changed = table.Observe(start.Add(40), answer(30, 1.05))
	require.False(t, changed, "about the same rate")
	_, changed = table.Observe(start.Add(50), answer(45, 4))
	require.True(t, changed)
	rate, limited := table.Rate("i-1")
	require.True(t, limited)
	require.InDelta(t, 4, float64(rate), 1e-9)
	change, changed = table.Observe(start.Add(70), answer(60, -1))
	require.True(t, changed)
	require.False(t, change.Limited)
	_, limited = table.Rate("i-1")
	require.False(t, limited)
}

// Guards against an answer that the server sent before the limit but that arrives after
// one that states it: it must not lift the limit.
func TestOvertakenAnswerDoesNotLiftLimit(t *testing.T) {
	table := throttler.New()
	table.Observe(start.Add(30), answer(10, 1))
	_, changed := table.Observe(start.Add(40), answer(5, -1))
	require.False(t, changed)
	_, changed = table.Observe(start.Add(45), answer(30, -1))
	require.False(t, changed)
	_, limited := table.Rate("i-1")
	require.True(t, limited)
}

// Guards against sending without permits to a start that stated a limit before it was known.
func TestLimitIsInheritedIfStatedByLaterStart(t *testing.T) {
	table := throttler.New()
	table.Observe(start, answer(0, 1))
	_, changed := table.Inherit(start, "i-1", "i-1@2", start.Add(1))
	require.False(t, changed, "stated by the earlier start")
	change, changed := table.Inherit(start, "i-1", "i-1@2", start)
	require.True(t, changed)
	require.Equal(t, identifier.VMID("i-1@2"), change.Server)
	_, limited := table.Rate("i-1")
	require.False(t, limited)
	_, limited = table.Rate("i-1@2")
	require.True(t, limited)
}

func TestForget(t *testing.T) {
	table := throttler.New()
	table.Observe(start, answer(0, 1))
	table.Forget("i-1")
	_, limited := table.Rate("i-1")
	require.False(t, limited)
}
