package throttler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func TestTake(t *testing.T) {
	for _, test := range []struct {
		name string
		rate identifier.RequestRate
		// want is the number of requests granted within 20 s, with an attempt every
		// 10 ms.
		want int
	}{
		{
			name: "one a second",
			rate: 1,
			want: 20,
		},
		{
			name: "a fraction",
			rate: 0.25,
			want: 5,
		},
		{
			name: "many",
			rate: 30,
			want: 600,
		},
		{
			name: "zero, raised to the minimum rate",
			want: 2,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := throttler.NewPermits()
			granted := 0
			for at := timekeeper.Duration(0); at <= 20*timekeeper.Second; at += 10 {
				if _, ok := p.Take(start.Add(at), "i-1", test.rate); ok {
					granted++
				}
			}
			require.Equal(t, test.want, granted)
		})
	}
}

// Guards against permits that accumulate without bound while a server is idle.
func TestIdleServerGetsNoBurst(t *testing.T) {
	p := throttler.NewPermits()
	_, ok := p.Take(start, "i-1", 8)
	require.False(t, ok)
	granted := 0
	for range 100 {
		if _, ok := p.Take(start.Add(timekeeper.Minute), "i-1", 8); ok {
			granted++
		}
	}
	require.Equal(t, 2, granted)
}

// Guards against a retry time that is too short by a rounding error, so that the retry is
// rejected.
func TestPermitIsAvailableAfterWait(t *testing.T) {
	for _, rate := range []identifier.RequestRate{0, 0.3, 1, 3, 7, 49} {
		p := throttler.NewPermits()
		now := start
		for range 50 {
			after, ok := p.Take(now, "i-1", rate)
			if !ok {
				now = now.Add(after)
				_, ok = p.Take(now, "i-1", rate)
			}
			require.True(t, ok, "%g a second", rate)
		}
	}
}

// reported returns a peer's report of one server.
func reported(server identifier.VMID, limited bool, age timekeeper.Duration) messenger.ServerLimit {
	return messenger.ServerLimit{
		Server:  server,
		Limited: limited,
		Rate:    1,
		Age:     age,
	}
}

// Guards against an older update of a peer that restores a lifted limit, or lifts one that
// was stated since.
func TestMergeIgnoresOlderUpdates(t *testing.T) {
	table := throttler.New()
	now := start.Add(timekeeper.Second)
	_, changed := table.Merge(now, reported("i-1", true, 500))
	require.True(t, changed)
	_, changed = table.Merge(now, reported("i-1", false, 600))
	require.False(t, changed)
	_, changed = table.Merge(now, reported("i-1", false, 400))
	require.True(t, changed)
	_, changed = table.Merge(now, reported("i-1", true, 450))
	require.False(t, changed)
	_, limited := table.Rate("i-1")
	require.False(t, limited)
}

// All servers state a limit at once, long before another node joins. The node must receive
// all of the limits.
func TestUpdatesReachNodeThatJoinsLater(t *testing.T) {
	table := throttler.New()
	const servers = 90
	for i := range servers {
		server := identifier.VMID(rune('a'+i%26)) + identifier.VMID(rune('a'+i/26))
		table.Observe(start, messenger.ServerLimitReceived{
			Server: server,
			Limit: messenger.StatedLimit{
				Stated: true,
				Rate:   1,
			},
		})
	}
	now := start.Add(timekeeper.Minute)
	received := map[identifier.VMID]bool{}
	for range 12 {
		now = now.Add(500)
		updates := table.Updates(now, false)
		require.LessOrEqual(t, len(updates), 8)
		for _, l := range updates {
			received[l.Server] = true
		}
	}
	require.Len(t, received, servers)
}

func TestUpdates(t *testing.T) {
	table := throttler.New()
	table.Merge(start, reported("i-1", true, 0))
	table.Observe(start, messenger.ServerLimitReceived{
		Server: "i-2",
		Limit:  messenger.StatedLimit{Stated: true},
	})
	require.Len(t, table.Updates(start.Add(1), true), 2)
	table.Observe(start.Add(10), messenger.ServerLimitReceived{
		Server: "i-2",
		Sent:   start.Add(5),
	})
	require.Contains(t, table.Updates(start.Add(11), false), messenger.ServerLimit{
		Server: "i-2",
		Age:    6,
	})
	table.Tick(start.Add(timekeeper.Minute))
	require.Len(t, table.Updates(start.Add(timekeeper.Minute), true), 1, "a limit lifted long ago is dropped")
}
