package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against not_run for a refused non-idempotent request, whose key may be running on another
// node: the caller would run it again under a new key.
func TestRefusedOnReceipt(t *testing.T) {
	tests := []struct {
		name      string
		prepare   func(*fixture)
		reason    messenger.Reason
		retryable bool
	}{
		{
			name:      "before the first configuration",
			prepare:   func(f *fixture) { f.env.Catalog = nil },
			reason:    messenger.ReasonNoConfiguration,
			retryable: true,
		},
		{
			name:      "while the node leaves",
			prepare:   func(f *fixture) { f.c.Drain(f.env, start.Add(requestTimeout), false) },
			reason:    messenger.ReasonLeaving,
			retryable: true,
		},
		{
			name:    "after the deadline",
			prepare: func(f *fixture) { f.env.Now = start.Add(requestTimeout) },
			reason:  messenger.ReasonDeadlineExpired,
		},
		{
			name: "beyond MaxRequests",
			prepare: func(f *fixture) {
				for _, other := range []identifier.RequestID{"x1", "x2"} {
					s := spec("lookup")
					s.Request = other
					requireOne[messenger.Accept](f.t, f.c.Receive(f.env, s))
				}
			},
			reason:    messenger.ReasonOverload,
			retryable: true,
		},
		{
			name: "while all servers leave",
			prepare: func(f *fixture) {
				f.reclaim("p1")
				f.reclaim("p2")
			},
			reason:    messenger.ReasonNoServer,
			retryable: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.prepare(f)
			before := f.c.InFlight()
			plain := requireOne[messenger.Refuse](t, f.receive("lookup")).Refusal
			keyed := requireOne[messenger.Refuse](t, f.receive("booking")).Refusal
			require.Equal(t, test.reason, plain.Reason)
			require.Equal(t, test.reason, keyed.Reason)
			require.Equal(t, messenger.NotRun, plain.Outcome)
			require.Equal(t, messenger.Unknown, keyed.Outcome)
			require.Equal(t, test.retryable, keyed.RetryAfter > 0)
			require.Equal(t, before, f.c.InFlight())
		})
	}
}

// Only a node that holds the claim of a keyed request knows that no other node
// ran it, and may report not_run.
func TestKeyedOutcomes(t *testing.T) {
	tests := []struct {
		name string
		end  func(*fixture) []messenger.Effect
		want messenger.Outcome
	}{
		{
			name: "log unavailable before the claim",
			end: func(f *fixture) []messenger.Effect {
				f.env.Claims.ReadFailed(f.env.Now, "claims-0")
				f.env.Now = f.env.Now.Add(timekeeper.Second)
				return f.receive("booking")
			},
			want: messenger.Unknown,
		},
		{
			name: "claim never read back",
			end: func(f *fixture) []messenger.Effect {
				f.receive("booking")
				return f.tickAt(4 * timekeeper.Second)
			},
			want: messenger.Unknown,
		},
		{
			name: "node leaves before the claim is read back",
			end: func(f *fixture) []messenger.Effect {
				f.receive("booking")
				return f.c.Drain(f.env, start.Add(requestTimeout), true)
			},
			want: messenger.Unknown,
		},
		{
			name: "claim held, server refused until the deadline",
			end: func(f *fixture) []messenger.Effect {
				f.end(f.run("booking"), messenger.AttemptRefused, timekeeper.Second)
				return f.tickAt(requestTimeout)
			},
			want: messenger.NotRun,
		},
		{
			name: "claim held, attempt broken",
			end: func(f *fixture) []messenger.Effect {
				return f.end(f.run("booking"), messenger.AttemptBroken, 0)
			},
			want: messenger.Unknown,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			out := test.end(f)
			if refuse, ok := findEffect[messenger.Refuse](out); ok {
				require.Equal(t, test.want, refuse.Refusal.Outcome)
				return
			}
			require.Equal(t, test.want, requireOne[messenger.Finish](t, out).Outcome)
		})
	}
}

// A non-idempotent request whose connection broke may have run and is never
// sent again.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	f := newFixture(t)
	out := f.end(f.run("booking"), messenger.AttemptBroken, 0)
	requireNone[messenger.SendAttempt](t, out)
	requireNone[messenger.SendAttempt](t, f.tickUntil(5*timekeeper.Second))
	require.Equal(t, messenger.Unknown, requireOne[messenger.AppendOutcome](t, out).Outcome)
}
