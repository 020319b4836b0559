package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const queryOfDeath identifier.ContentHash = 7

// failServersElsewhere records that servers ended under the request on other
// nodes.
func (f *fixture) failServersElsewhere(servers ...identifier.VMID) {
	for _, s := range servers {
		f.env.Quarantine.ServerEnded(f.env.Now, quarantiner.FingerprintOf("agent", queryOfDeath), s)
	}
}

// Guards against sending a request that is quarantined while this node waits to retry it or before
// it takes the request over, and against a wrong outcome for its caller.
func TestQuarantinedRequestIsNotSent(t *testing.T) {
	t.Run("before the next attempt", func(t *testing.T) {
		f := newFixture(t)
		request := spec("lookup")
		request.Content = queryOfDeath
		attempt := requireOne[messenger.SendAttempt](t, f.c.Receive(f.env, request))
		requireNone[messenger.SendAttempt](t, f.end(attempt, messenger.AttemptRefused, timekeeper.Second))
		f.failServersElsewhere("x1", "x2", "x3")
		out := f.tickUntil(5 * timekeeper.Second)
		requireNone[messenger.SendAttempt](t, out)
		require.Equal(t, messenger.ReasonServersEnded, requireOne[messenger.Finish](t, out).Reason)
		require.Equal(t, messenger.NotRun, requireOne[messenger.Finish](t, out).Outcome, "its only attempt was refused by the server")
	})
	t.Run("taken over", func(t *testing.T) {
		f := newFixture(t)
		f.failServersElsewhere("x1", "x2", "x3")
		request := spec("lookup")
		request.Content = queryOfDeath
		out := f.c.RequestHandedOver(f.env, messenger.RequestHandedOver{
			Spec:  request,
			Epoch: 1,
			From:  peer,
		})
		requireNone[messenger.SendAttempt](t, out)
		require.Equal(t, messenger.ReasonServersEnded, requireOne[messenger.Finish](t, out).Reason)
		require.Equal(t, messenger.Unknown, requireOne[messenger.Finish](t, out).Outcome)
	})
}

// A server ends under a request, and the attempt to rejoin the stream fails as
// well. The server counts once, and the stream is not joined there again.
func TestNoRejoinAfterServerEnded(t *testing.T) {
	f := newFixture(t)
	request := spec("tag")
	request.Content = queryOfDeath
	attempt := requireOne[messenger.SendAttempt](t, f.c.Receive(f.env, request))
	out := f.c.AttemptEnded(f.env, messenger.AttemptEnded{
		Request:     id,
		Attempt:     attempt.Attempt,
		Result:      messenger.AttemptBroken,
		ServerEnded: true,
	})
	if next, sent := findEffect[messenger.SendAttempt](out); sent {
		require.NotEqual(t, messenger.StartResume, next.Mode)
	}
	updates := f.env.Quarantine.Updates(f.env.Now, false)
	require.Len(t, updates, 1)
	require.Len(t, updates[0].Ends, 1)
	require.Equal(t, attempt.Server, updates[0].Ends[0].Server)
}
