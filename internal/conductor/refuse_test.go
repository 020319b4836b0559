package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// A node refuses a request at the door. Of one without a key, or an idempotent
// one, it knows that nothing ran. A non-idempotent key may run at another node
// at this moment: told not_run, its caller would run it again under a new key.
func TestRefusedAtTheDoor(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*fixture)
		reason  messenger.Reason
		again   bool
	}{
		{
			name:    "before the first configuration",
			prepare: func(f *fixture) { f.w.Catalog = nil },
			reason:  messenger.ReasonNoConfiguration,
			again:   true,
		},
		{
			name:    "while the node leaves",
			prepare: func(f *fixture) { f.c.Drain(f.w, start.Add(life), false) },
			reason:  messenger.ReasonLeaving,
			again:   true,
		},
		{
			name:    "after the deadline",
			prepare: func(f *fixture) { f.w.Now = start.Add(life) },
			reason:  messenger.ReasonDeadlineExpired,
		},
		{
			name: "beyond MaxRequests",
			prepare: func(f *fixture) {
				for _, other := range []identifier.RequestID{"x1", "x2"} {
					s := spec("lookup")
					s.Request = other
					one[messenger.Accept](f.t, f.c.Receive(f.w, s))
				}
			},
			reason: messenger.ReasonOverload,
			again:  true,
		},
		{
			name: "while all servers leave",
			prepare: func(f *fixture) {
				f.reclaim("p1")
				f.reclaim("p2")
			},
			reason: messenger.ReasonNoServer,
			again:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			test.prepare(f)
			before := f.c.InFlight()
			plain := one[messenger.Refuse](t, f.receive("lookup")).Refusal
			keyed := one[messenger.Refuse](t, f.receive("booking")).Refusal
			require.Equal(t, test.reason, plain.Reason)
			require.Equal(t, test.reason, keyed.Reason)
			require.Equal(t, messenger.NotRun, plain.Outcome)
			require.Equal(t, messenger.Unknown, keyed.Outcome)
			require.Equal(t, test.again, keyed.RetryAfter > 0)
			require.Equal(t, before, f.c.InFlight())
		})
	}
}

// What a keyed request is called when it ends depends on whether this node
// holds its claim: only then does it know that nobody else ran it.
func TestKeyedOutcomes(t *testing.T) {
	tests := []struct {
		name string
		end  func(*fixture) []messenger.Effect
		want messenger.Outcome
	}{
		{
			name: "log out before the claim",
			end: func(f *fixture) []messenger.Effect {
				f.w.Claims.Unavailable(f.w.Now, "claims-0")
				f.w.Now = f.w.Now.Add(timekeeper.Second)
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
				return f.c.Drain(f.w, start.Add(life), true)
			},
			want: messenger.Unknown,
		},
		{
			name: "claim held, server refused until the deadline",
			end: func(f *fixture) []messenger.Effect {
				f.end(f.run("booking"), messenger.AttemptRefused, timekeeper.Second)
				return f.tickAt(life)
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
			if refuse, ok := find[messenger.Refuse](out); ok {
				require.Equal(t, test.want, refuse.Refusal.Outcome)
				return
			}
			require.Equal(t, test.want, one[messenger.Finish](t, out).Outcome)
		})
	}
}

// A booking's connection breaks: it may have run, and is never sent again, also
// not after a while.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	f := newFixture(t)
	out := f.end(f.run("booking"), messenger.AttemptBroken, 0)
	none[messenger.SendAttempt](t, out)
	none[messenger.SendAttempt](t, f.tickUntil(5*timekeeper.Second))
	require.Equal(t, messenger.Unknown, one[messenger.AppendOutcome](t, out).Outcome)
}
