package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// fail reports that the holder did not take a push.
func (f *fixture) failHold(holderEnded bool) []messenger.Effect {
	return f.c.HoldFailed(f.env, messenger.HoldFailed{
		Request:     id,
		Holder:      peer,
		HolderEnded: holderEnded,
	})
}

// The only possible holder of a long answer falls silent. It may live, have the
// copy and take this node for dead, so the answer stalls. Then the holder
// answers again, its process turns out to be gone, or the silence lasts: the
// answer goes on, goes on without a copy, or is left to the holder.
func TestStall(t *testing.T) {
	tests := []struct {
		name string
		next func(*fixture) []messenger.Effect
		// yields tells that the node gives the request up in the end, and
		// unprotected that the answer goes out without a copy.
		yields      bool
		unprotected bool
	}{
		{
			name:   "silence lasts",
			next:   func(*fixture) []messenger.Effect { return nil },
			yields: true,
		},
		{
			name: "holder answers again",
			next: func(f *fixture) []messenger.Effect {
				out := f.tickUntil(timekeeper.Second)
				requireOne[messenger.Hold](f.t, out)
				return append(out, f.c.HoldAcked(f.env, messenger.HoldAcked{
					Request: id,
					Holder:  peer,
				})...)
			},
		},
		{
			name: "holder is gone",
			next: func(f *fixture) []messenger.Effect {
				f.tickUntil(timekeeper.Second)
				return f.failHold(true)
			},
			unprotected: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.run("report")
			out := f.failHold(false)
			require.True(t, hasTimelineEntry(out, "stalled"))
			require.False(t, hasTimelineEntry(out, "unprotected"))
			out = append(test.next(f), f.tickUntil(8900*timekeeper.Millisecond)...)
			require.False(t, hasTimelineEntry(out, "yielded"), "it waits for longer than a peer takes to call it dead")
			require.Equal(t, test.unprotected, hasTimelineEntry(out, "unprotected"))

			out = f.tickAt(9 * timekeeper.Second)
			require.Equal(t, test.yields, hasTimelineEntry(out, "yielded"))
			if test.yields {
				require.Equal(t, peer, requireOne[messenger.HandOver](t, out).Successor)
				require.Equal(t, peer, requireOne[messenger.Redirect](t, out).To)
				require.Zero(t, f.c.InFlight())
			}
		})
	}
}

// A stalled answer becomes whole. Nobody looks after it any more, so the stall
// ends with it, and the caller gets the rest.
func TestCompletionEndsStall(t *testing.T) {
	f := newFixture(t)
	attempt := f.run("report")
	f.failHold(false)
	out := f.end(attempt, messenger.AttemptComplete, 0)
	require.Equal(t, messenger.Done, requireOne[messenger.Finish](t, out).Outcome)
	require.Empty(t, requireOne[messenger.Unhold](t, out).Holder)
}

// The holder has adopted the request: it took this node for dead. This node
// sends its callers there and leaves the stream alone, which the holder reads.
func TestYieldToHolder(t *testing.T) {
	f := newFixture(t)
	f.run("report")
	out := f.c.HoldRefused(f.env, messenger.HoldRefused{
		Request: id,
		Holder:  peer,
	})
	require.Equal(t, peer, requireOne[messenger.Redirect](t, out).To)
	require.False(t, requireOne[messenger.StopAttempt](t, out).Cancel)
	require.Zero(t, f.c.InFlight())
}
