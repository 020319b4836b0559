package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// failHold reports that the holder did not accept a copy.
func (f *fixture) failHold(holderEnded bool) []messenger.Effect {
	return f.c.HoldFailed(f.env, messenger.HoldFailed{
		Request:     id,
		Holder:      peer,
		HolderEnded: holderEnded,
	})
}

// Guards against a long answer that runs twice because its unresponsive holder adopts it, and
// against one that stalls forever.
func TestStall(t *testing.T) {
	tests := []struct {
		name string
		next func(*fixture) []messenger.Effect
		// yields is set if the node yields the request after the stall timeout,
		// and unprotected if the answer is released without a copy.
		yields      bool
		unprotected bool
	}{
		{
			name:   "no answer until the timeout",
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
			name: "holder has ended",
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
			// The holder may have the copy and declare this node dead.
			out := f.failHold(false)
			require.True(t, hasTimelineEntry(out, "stalled"))
			require.False(t, hasTimelineEntry(out, "unprotected"))
			out = append(test.next(f), f.tickUntil(8900*timekeeper.Millisecond)...)
			require.False(t, hasTimelineEntry(out, "yielded"), "yielded before a peer declares the node dead")
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

// A complete answer is released even if it was stalled.
func TestCompletionEndsStall(t *testing.T) {
	f := newFixture(t)
	attempt := f.run("report")
	f.failHold(false)
	out := f.end(attempt, messenger.AttemptComplete, 0)
	require.Equal(t, messenger.Done, requireOne[messenger.Finish](t, out).Outcome)
	require.Empty(t, requireOne[messenger.Unhold](t, out).Holder)
}

// The holder has adopted the request. This node redirects its callers and does
// not cancel the stream, which the holder reads.
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
