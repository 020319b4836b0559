package mover_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/mover"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// pace returns the pace of streams with an event every 40 ms.
func pace() *mover.Pace {
	p := &mover.Pace{}
	for range 10 {
		p.Observe(26, timekeeper.Second)
	}
	return p
}

func TestRest(t *testing.T) {
	tests := []struct {
		name     string
		pace     *mover.Pace
		progress mover.Progress
		want     timekeeper.Duration
		known    bool
	}{
		{
			name:     "no stream was observed",
			pace:     &mover.Pace{},
			progress: mover.Progress{LengthHint: 400},
		},
		{
			name:     "nothing is stated of its length",
			pace:     pace(),
			progress: mover.Progress{Elapsed: 500},
		},
		{
			name: "by the hint",
			pace: pace(),
			progress: mover.Progress{
				Elapsed:        500,
				LengthHint:     400,
				TokensPerEvent: 8,
			},
			want:  1500,
			known: true,
		},
		{
			name: "by the bound on its tokens",
			pace: pace(),
			progress: mover.Progress{
				Elapsed:        500,
				MaxTokens:      200,
				TokensPerEvent: 8,
			},
			want:  500,
			known: true,
		},
		{
			name: "longer than the hint",
			pace: pace(),
			progress: mover.Progress{
				Elapsed:        3000,
				LengthHint:     400,
				MaxTokens:      1000,
				TokensPerEvent: 8,
			},
			want:  1500,
			known: true,
		},
		{
			name: "longer than the hint and near the bound",
			pace: pace(),
			progress: mover.Progress{
				Elapsed:        3000,
				LengthHint:     400,
				MaxTokens:      640,
				TokensPerEvent: 8,
			},
			want:  200,
			known: true,
		},
		{
			name: "events of an unknown number of tokens",
			pace: pace(),
			progress: mover.Progress{
				LengthHint: 100,
			},
			want:  4000,
			known: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			rest, known := test.pace.Rest(test.progress)
			require.Equal(t, test.known, known)
			require.InDelta(t, int64(test.want), int64(rest), 5)
		})
	}
}

// Guards against moves of streams that end in time, and streams left to end with their server.
func TestMustMove(t *testing.T) {
	tests := []struct {
		name      string
		leavesIn  timekeeper.Duration
		rest      timekeeper.Duration
		restKnown bool
		after     timekeeper.Duration
		copying   timekeeper.Duration
		want      bool
	}{
		{
			name:      "nothing is known of the time left",
			rest:      400,
			restKnown: true,
			want:      true,
		},
		{
			name:      "ends soon, though the server may leave at any time",
			rest:      200,
			restKnown: true,
		},
		{
			name:     "nothing is known of the rest",
			leavesIn: 2000,
			want:     true,
		},
		{
			name:      "ends before the server",
			leavesIn:  2000,
			rest:      900,
			restKnown: true,
		},
		{
			name:      "ends with the server",
			leavesIn:  2000,
			rest:      1100,
			restKnown: true,
			want:      true,
		},
		{
			name:      "the notice is shorter than its delay",
			leavesIn:  400,
			rest:      100,
			restKnown: true,
			copying:   100,
			want:      true,
		},
		{
			name:      "no time to copy",
			leavesIn:  2000,
			rest:      3000,
			restKnown: true,
			after:     1950,
			copying:   100,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := mover.Stream{
				Rest:      test.rest,
				RestKnown: test.restKnown,
			}
			n := mover.Notice{
				At:       start,
				LeavesIn: test.leavesIn,
			}
			require.Equal(t, test.want, s.MustMove(start.Add(test.after), n, test.copying))
		})
	}
}

// A run must not stand still while a long prompt is copied, unless there is no time for two copies.
func TestCopyFirst(t *testing.T) {
	s := mover.Stream{MaxPause: 500}
	n := mover.Notice{
		At:       start,
		LeavesIn: 2 * timekeeper.Second,
	}
	require.True(t, s.CopyFirst(start, n, 300))
	require.False(t, s.CopyFirst(start, n, 100), "a short copy")
	require.False(t, s.CopyFirst(start.Add(1800), n, 300), "no time for two")
	unknown := mover.Notice{At: start}
	require.True(t, s.CopyFirst(start, unknown, 300), "the time left is not known")
	require.False(t, s.CopyFirst(start.Add(1300), unknown, 100))
	require.True(t, s.CopyFirst(start.Add(1400), unknown, 100), "it could not return")
	s.Moved = true
	require.True(t, s.CopyFirst(start, n, 100), "it was moved before")
}

// Guards against streams that may run once and wait behind those that can be read again.
func TestQueue(t *testing.T) {
	var mix mover.Mix
	once := mover.Stream{
		Tokens: 100,
		Draw:   0.5,
	}
	repeatable := mover.Stream{
		Tokens:     700,
		Draw:       0.5,
		Repeatable: true,
	}
	mix.Add(once)
	mix.Add(repeatable)
	perToken := func(n identifier.Tokens) timekeeper.Duration { return timekeeper.Duration(n) / 10 }
	q := mix.Queue(20, perToken)
	require.Equal(t, mover.Queue{
		Once:       100,
		Repeatable: 700,
	}, q)
	require.Equal(t, mover.Queue{}, (&mover.Mix{}).Queue(10, perToken))
	n := mover.Notice{At: start}
	require.Equal(t, start.Add(75), once.BeginAt(n, q))
	require.Equal(t, start.Add(150+525), repeatable.BeginAt(n, q))
	n.LeavesIn = 4 * timekeeper.Second
	require.Equal(t, start.Add(150+647), repeatable.BeginAt(n, q), "there is time to spread them more")
	n.LeavesIn = 400
	require.Equal(t, start, once.BeginAt(n, q), "there is no time to spread them")
}

// Guards against more moves than there is time for.
func TestFits(t *testing.T) {
	n := mover.Notice{
		At:       start,
		LeavesIn: 2 * timekeeper.Second,
	}
	count := func(s mover.Stream, q mover.Queue) int {
		fits := 0
		for i := range 100 {
			s.Draw = (float64(i) + 0.5) / 100
			if s.Fits(n, q) {
				fits++
			}
		}
		return fits
	}
	repeatable := mover.Stream{Repeatable: true}
	require.Equal(t, 100, count(repeatable, mover.Queue{Repeatable: 1000}))
	require.Equal(t, 50, count(repeatable, mover.Queue{Repeatable: 2000}))
	require.Equal(t, 0, count(repeatable, mover.Queue{
		Once:       600,
		Repeatable: 300_000,
	}))
	require.Equal(t, 100, count(mover.Stream{}, mover.Queue{
		Once:       5000,
		Repeatable: 2000,
	}))
}

// Streams that can't be repeated go first, then those whose prompt is the longest to read again.
func TestSort(t *testing.T) {
	streams := []mover.Stream{
		{
			Exchange:   1,
			Repeatable: true,
			Tokens:     9000,
		},
		{
			Exchange: 2,
			Tokens:   100,
		},
		{
			Exchange:   3,
			Repeatable: true,
			Tokens:     200,
		},
		{
			Exchange: 4,
			Tokens:   800,
		},
	}
	mover.Sort(streams)
	var order []identifier.ExchangeID
	for _, s := range streams {
		order = append(order, s.Exchange)
	}
	require.Equal(t, []identifier.ExchangeID{4, 2, 1, 3}, order)
}
