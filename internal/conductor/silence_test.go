package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// useUpRetries leaves the service without a retry for some seconds.
func (f *fixture) useUpRetries(s messenger.RequestSpec) {
	f.t.Helper()
	for f.env.Budgets.Remaining(f.env.Now, s.Service) > 0 {
		f.env.Budgets.Next(f.env.Now, retrier.EndedAttempt{
			Service:    s.Service,
			Idempotent: true,
			Result:     messenger.AttemptTimedOut,
			Attempts:   1,
			Deadline:   s.Deadline,
		}, f.env.Rand)
	}
}

// Guards against giving up an answer whose server goes on and that nothing can replace.
func TestSilentServerWithoutReplacement(t *testing.T) {
	tests := []struct {
		name string
		// rejoinEnds is the result of the attempt to go on at the silent server.
		rejoinEnds messenger.AttemptResult
	}{
		{
			name:       "stream stays silent",
			rejoinEnds: messenger.AttemptTimedOut,
		},
		{
			name:       "host takes no connection",
			rejoinEnds: messenger.AttemptNotSent,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture(t)
			f.useUpRetries(spec("tag"))
			attempt := f.run("tag")
			f.progress(attempt, 5)
			f.env.Now = f.env.Now.Add(timekeeper.Second)
			out := f.end(attempt, messenger.AttemptTimedOut, 0)
			rejoined := requireOne[messenger.SendAttempt](t, out)
			for range 2 {
				f.env.Now = f.env.Now.Add(timekeeper.Second)
				out = f.end(rejoined, test.rejoinEnds, 0)
				requireNone[messenger.Finish](t, out)
				again := requireOne[messenger.SendAttempt](t, out)
				require.Equal(t, messenger.StartResume, again.Mode)
				require.Equal(t, attempt.Server, again.Server)
				require.Equal(t, attempt.Stream, again.Stream)
				rejoined = again
			}
			out = f.end(rejoined, messenger.AttemptComplete, 0)
			require.Equal(t, messenger.Done, requireOne[messenger.Finish](t, out).Outcome)
		})
	}
}

// Guards against a stream that stays at its silent server although another one can take over.
func TestSilentServerIsReplaced(t *testing.T) {
	f := newFixture(t)
	attempt := f.run("tag")
	f.progress(attempt, 5)
	f.env.Now = f.env.Now.Add(timekeeper.Second)
	rejoined := requireOne[messenger.SendAttempt](t, f.end(attempt, messenger.AttemptTimedOut, 0))
	f.env.Now = f.env.Now.Add(timekeeper.Second)
	out := append(f.end(rejoined, messenger.AttemptTimedOut, 0), f.tickUntil(4*timekeeper.Second)...)
	next := requireOne[messenger.SendAttempt](t, out)
	require.NotEqual(t, attempt.Server, next.Server)
	require.Equal(t, messenger.StartPrefill, next.Mode)
}

// Guards against a loop of attempts at a server that fails each one at once, or has lost the stream.
func TestFailedRejoinWithoutReplacementEnds(t *testing.T) {
	for _, result := range []messenger.AttemptResult{
		messenger.AttemptNotSent,
		messenger.AttemptBroken,
		messenger.AttemptRefused,
	} {
		t.Run(string(result), func(t *testing.T) {
			f := newFixture(t)
			f.useUpRetries(spec("tag"))
			attempt := f.run("tag")
			f.progress(attempt, 5)
			f.env.Now = f.env.Now.Add(timekeeper.Second)
			rejoined := requireOne[messenger.SendAttempt](t, f.end(attempt, messenger.AttemptTimedOut, 0))
			out := f.end(rejoined, result, 0)
			requireNone[messenger.SendAttempt](t, out)
			require.Equal(t, messenger.Unknown, requireOne[messenger.Finish](t, out).Outcome)
		})
	}
}

// Guards against a request that outlives its deadline at a silent server.
func TestSilentServerEndsAtDeadline(t *testing.T) {
	f := newFixture(t)
	f.useUpRetries(spec("tag"))
	attempt := f.run("tag")
	f.progress(attempt, 5)
	f.env.Now = start.Add(requestTimeout - timekeeper.Second)
	rejoined := requireOne[messenger.SendAttempt](t, f.end(attempt, messenger.AttemptTimedOut, 0))
	f.env.Now = start.Add(requestTimeout)
	out := f.end(rejoined, messenger.AttemptTimedOut, 0)
	requireNone[messenger.SendAttempt](t, out)
	require.Equal(t, messenger.ReasonDeadlineExpired, requireOne[messenger.Finish](t, out).Reason)
}

// Guards against a call that may not be repeated, whose answer is cut at a pause of a second.
func TestPausedAnswerOfCallWithoutRepeat(t *testing.T) {
	f := newFixture(t)
	attempt := f.run("booking")
	require.Equal(t, requestTimeout, attempt.NextEventTimeout)
	require.Equal(t, requestTimeout, attempt.FirstEventTimeout)
}
