package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// Guards against versions that are rolled back since nodes do not reach their servers.
func TestBrokenPathIsNoEvidenceAboutVersion(t *testing.T) {
	for _, test := range []struct {
		name     string
		isolated bool
		result   messenger.AttemptResult
		want     int
	}{
		{
			name:   "a connection that broke",
			result: messenger.AttemptBroken,
			want:   1,
		},
		{
			name:     "a connection that broke at an isolated node",
			isolated: true,
			result:   messenger.AttemptBroken,
		},
		{
			name:     "a server without an answer at an isolated node",
			isolated: true,
			result:   messenger.AttemptTimedOut,
		},
		{
			name:     "a failure of the server through a peer",
			isolated: true,
			result:   messenger.AttemptFailed,
			want:     1,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(2)
			n.env.Versions.ApplyOrders(n.env.Now, []messenger.RolloutOrder{
				{
					Service:   "reader",
					Offset:    60,
					To:        "v2",
					TimeLimit: timekeeper.Minute,
				},
			})
			send := n.sendPath(t, "/ping/1")
			if test.isolated {
				n.isolate()
				require.True(t, n.env.Paths.Isolated())
			}
			n.endAttempt(send, test.result, false)
			counts := n.env.Versions.Counts()
			require.Len(t, counts, 1)
			require.Equal(t, test.want, counts[0].Failed)
		})
	}
}

// isolate has direct connections to all servers fail.
func (n *node) isolate() {
	for i := range 2 {
		n.env.Paths.Tried(n.env.Now, messenger.PathTried{
			Server: serverID(i),
			Direct: messenger.ConnectUnreachable,
		})
	}
	n.env.Paths.Probes(n.env.Now, n.env.Servers.Ready)
}

// Guards against refusals where a late decision had chosen the only server.
func TestStaleDecisionMayChooseTheSameServer(t *testing.T) {
	n := newNode(1)
	first := n.sendPath(t, "/ping/1")
	for range 2 {
		again, ok := n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
			Exchange:   first.Exchange,
			Attempt:    first.Attempt,
			Server:     first.Server,
			Result:     messenger.AttemptNotSent,
			PathFailed: true,
			Stale:      true,
		}).(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, first.Server, again.Server)
		first = again
	}
	require.False(t, n.env.Suspicions.Suspect(n.env.Now, first.Server))
}
