package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// phases contains a function that brings a request to each phase, and the
// outcomes that are correct if it ends there.
var phases = []struct {
	name    string
	service identifier.ServiceName
	reach   func(*fixture)
	// refused reports whether the request was not yet accepted.
	refused   bool
	cancelled messenger.Outcome
	expired   messenger.Outcome
}{
	{
		name:    "claim not read back",
		service: "booking",
		reach: func(f *fixture) {
			requireOne[messenger.AppendRecord](f.t, f.receive("booking"))
		},
		refused:   true,
		cancelled: messenger.Unknown,
		expired:   messenger.Unknown,
	},
	{
		name:    "copy not acknowledged",
		service: "report",
		reach: func(f *fixture) {
			requireOne[messenger.Hold](f.t, f.receive("report"))
		},
		refused:   true,
		cancelled: messenger.NotRun,
		expired:   messenger.NotRun,
	},
	{
		name:    "first attempt under way",
		service: "tag",
		reach: func(f *fixture) {
			f.run("tag")
		},
		cancelled: messenger.Cancelled,
		expired:   messenger.Unknown,
	},
	{
		name:    "non-idempotent attempt under way",
		service: "booking",
		reach: func(f *fixture) {
			f.run("booking")
		},
		cancelled: messenger.Unknown,
		expired:   messenger.Unknown,
	},
	{
		name:    "waiting after the server refused",
		service: "tag",
		reach: func(f *fixture) {
			f.end(f.run("tag"), messenger.AttemptRefused, 5*timekeeper.Second)
		},
		cancelled: messenger.NotRun,
		expired:   messenger.NotRun,
	},
	{
		name:    "waiting after a server failed",
		service: "lookup",
		reach: func(f *fixture) {
			f.end(f.run("lookup"), messenger.AttemptBroken, 5*timekeeper.Second)
		},
		cancelled: messenger.Cancelled,
		expired:   messenger.Unknown,
	},
}

// Guards against not_run for a cancelled or expired request that may have run: the caller would run
// it again under a new key.
func TestCancelAndExpireInEachPhase(t *testing.T) {
	for _, phase := range phases {
		t.Run(phase.name+", cancelled", func(t *testing.T) {
			f := newFixture(t)
			phase.reach(f)
			out := f.c.Cancel(f.env, id)
			requireEnd(t, out, phase.refused, messenger.ReasonCancelled, phase.cancelled)
			require.Zero(t, f.c.InFlight())
		})
		t.Run(phase.name+", deadline", func(t *testing.T) {
			f := newFixture(t)
			phase.reach(f)
			out := f.tickAt(requestTimeout)
			requireEnd(t, out, phase.refused, messenger.ReasonDeadlineExpired, phase.expired)
			require.Zero(t, f.c.InFlight())
		})
	}
}

func requireEnd(t *testing.T, out []messenger.Effect, refused bool, reason messenger.Reason, outcome messenger.Outcome) {
	t.Helper()
	if refused {
		refuse := requireOne[messenger.Refuse](t, out)
		require.Equal(t, reason, refuse.Refusal.Reason)
		require.Equal(t, outcome, refuse.Refusal.Outcome)
		requireNone[messenger.Finish](t, out)
		return
	}
	finish := requireOne[messenger.Finish](t, out)
	require.Equal(t, reason, finish.Reason)
	require.Equal(t, outcome, finish.Outcome)
	requireNone[messenger.Refuse](t, out)
}

// If the holder kept its copy of a cancelled request, it would adopt the
// request when this node dies and run it again.
func TestCancelReachesServerAndHolder(t *testing.T) {
	f := newFixture(t)
	attempt := f.run("report")
	out := f.c.Cancel(f.env, id)
	stop := requireOne[messenger.StopAttempt](t, out)
	require.True(t, stop.Cancel)
	require.Equal(t, attempt.Server, stop.Server)
	require.Equal(t, peer, requireOne[messenger.Unhold](t, out).Holder)
}

// Guards against short answers that occupy a slot although their caller has left, and against
// cancelling long answers and plain calls, which may have had an effect.
func TestAbandonedRequest(t *testing.T) {
	tests := []struct {
		name          string
		service       identifier.ServiceName
		reconnects    bool
		after         timekeeper.Duration
		wantCancelled bool
	}{
		{
			name:          "short answer",
			service:       "tag",
			after:         10*timekeeper.Second + 1,
			wantCancelled: true,
		},
		{
			name:    "short answer, before the timeout",
			service: "tag",
			after:   10 * timekeeper.Second,
		},
		{
			name:       "short answer, caller reconnects",
			service:    "tag",
			reconnects: true,
			after:      20 * timekeeper.Second,
		},
		{
			name:    "long answer",
			service: "report",
			after:   20 * timekeeper.Second,
		},
		{
			name:    "plain call",
			service: "lookup",
			after:   20 * timekeeper.Second,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.run(test.service)
			f.c.CallerDisconnected(f.env, id)
			if test.reconnects {
				f.c.CallerAttached(f.env, id)
			}
			finish, ended := findEffect[messenger.Finish](f.tickAt(test.after))
			require.Equal(t, test.wantCancelled, ended)
			if ended {
				require.Equal(t, messenger.Cancelled, finish.Outcome)
			}
		})
	}
}
