package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const deadly identifier.ContentHash = 7

// endElsewhere lets peers report that servers ended under the request.
func (f *fixture) endElsewhere(servers ...identifier.VMID) {
	for _, s := range servers {
		f.w.Quarantine.ServerEnded(f.w.Now, quarantiner.FingerprintOf("agent", deadly), s)
	}
}

// Servers end at other nodes under the same request while this node waits to send it
// again, or takes it over from a node that died. It goes to no server any more, and its
// caller hears at once that it may have run.
func TestQuarantinedWhileItWaits(t *testing.T) {
	t.Run("before the next attempt", func(t *testing.T) {
		f := newFixture(t)
		asked := spec("lookup")
		asked.Content = deadly
		attempt := one[messenger.SendAttempt](t, f.c.Receive(f.w, asked))
		none[messenger.SendAttempt](t, f.end(attempt, messenger.AttemptRefused, timekeeper.Second))
		f.endElsewhere("x1", "x2", "x3")
		out := f.tickUntil(5 * timekeeper.Second)
		none[messenger.SendAttempt](t, out)
		require.Equal(t, messenger.ReasonServersEnded, one[messenger.Finish](t, out).Reason)
		require.Equal(t, messenger.NotRun, one[messenger.Finish](t, out).Outcome, "the one server it had refused it")
	})
	t.Run("taken over", func(t *testing.T) {
		f := newFixture(t)
		f.endElsewhere("x1", "x2", "x3")
		asked := spec("lookup")
		asked.Content = deadly
		out := f.c.RequestHandedOver(f.w, messenger.RequestHandedOver{
			Spec:  asked,
			Epoch: 1,
			From:  peer,
		})
		none[messenger.SendAttempt](t, out)
		require.Equal(t, messenger.ReasonServersEnded, one[messenger.Finish](t, out).Reason)
		require.Equal(t, messenger.Unknown, one[messenger.Finish](t, out).Outcome)
	})
}

// A server of this node ends under a request whose stream it wanted to join again: the
// connection broke, and the next one was refused. It counts once, and the stream goes
// on elsewhere without another try to join it.
func TestServerThatEndedIsNotJoinedAgain(t *testing.T) {
	f := newFixture(t)
	asked := spec("tag")
	asked.Content = deadly
	attempt := one[messenger.SendAttempt](t, f.c.Receive(f.w, asked))
	out := f.c.AttemptEnded(f.w, messenger.AttemptEnded{
		Request:     id,
		Attempt:     attempt.Attempt,
		Result:      messenger.AttemptBroken,
		ServerEnded: true,
	})
	if next, sent := find[messenger.SendAttempt](out); sent {
		require.NotEqual(t, messenger.StartResume, next.Mode)
	}
	news := f.w.Quarantine.Updates(f.w.Now, false)
	require.Len(t, news, 1)
	require.Len(t, news[0].Ends, 1)
	require.Equal(t, attempt.Server, news[0].Ends[0].Server)
}
