package reducer

import (
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// An idle node exits in the step in which its drain starts. Its peers must be notified
// first, or they would return its address to callers until it misses heartbeats.
func TestDrainNotifiesPeersBeforeExit(t *testing.T) {
	stopping := New(Config{
		Self:        "n1",
		Incarnation: 1,
		Zone:        "a",
		PeerAddress: "n1",
	})
	peer := member("n2", 1, "n1")
	meet(t, stopping, peer)

	effects := stopping.Apply(messenger.Event{
		At:   1100,
		Body: messenger.DrainStarted{Deadline: timekeeper.Time(1000).Add(timekeeper.Minute)},
	})
	notified := slices.IndexFunc(effects, isA[messenger.SendGossip])
	exited := slices.IndexFunc(effects, isA[messenger.Exit])
	require.NotEqual(t, -1, exited)
	require.NotEqual(t, -1, notified)
	require.Less(t, notified, exited)

	_, err := peer.Receive(1100, "n1", effects[notified].(messenger.SendGossip).Data)
	require.NoError(t, err)
	n, known := peer.Node("n1")
	require.True(t, known)
	require.Equal(t, gossiper.Leaving, n.State)
}

// Guards against a node without requests that stays until the platform ends it.
func TestIdleGatewayExitsInHalfOfItsDrainTime(t *testing.T) {
	const start = timekeeper.Time(1000)
	for _, test := range []struct{ drainTime, exit timekeeper.Duration }{
		{
			drainTime: timekeeper.Second,
			exit:      500 * timekeeper.Millisecond,
		},
		{
			drainTime: 2 * timekeeper.Second,
			exit:      timekeeper.Second,
		},
		{
			drainTime: 8 * timekeeper.Second,
			exit:      minDrainTime,
		},
		{
			drainTime: timekeeper.Minute,
			exit:      minDrainTime,
		},
	} {
		r := New(Config{
			Self:        "n1",
			Incarnation: 1,
			Zone:        "a",
			PeerAddress: "n1",
			Gateway:     &GatewayConfig{},
		})
		r.Apply(messenger.Event{
			At:   start,
			Body: messenger.DrainStarted{Deadline: start.Add(test.drainTime)},
		})
		exit := start
		for effects := []messenger.Effect(nil); !slices.ContainsFunc(effects, isA[messenger.Exit]); {
			exit = exit.Add(messenger.TickInterval)
			require.LessOrEqual(t, exit, start.Add(test.drainTime))
			effects = r.Apply(messenger.Event{
				At:   exit,
				Body: messenger.Tick{},
			})
		}
		require.Less(t, exit.Sub(start)-test.exit, messenger.TickInterval)
		require.GreaterOrEqual(t, exit.Sub(start), test.exit)
	}
}

// meet makes the node and its peer known to each other.
func meet(t *testing.T, r *Reducer, peer *gossiper.Members) {
	t.Helper()
	message := func() []byte {
		messages, _ := peer.Tick(1000, rand.New(rand.NewPCG(1, 1)))
		require.NotEmpty(t, messages)
		return messages[0].Data
	}
	r.Apply(messenger.Event{
		At: 1000,
		Body: messenger.GossipReceived{
			From: "n2",
			Data: message(),
		},
	})
	for _, e := range r.Apply(messenger.Event{
		At:   1000,
		Body: messenger.Tick{},
	}) {
		if gossip, ok := e.(messenger.SendGossip); ok {
			_, err := peer.Receive(1000, "n1", gossip.Data)
			require.NoError(t, err)
		}
	}
	_, known := peer.Node("n1")
	require.True(t, known)
}

func isA[E messenger.Effect](e messenger.Effect) bool {
	_, ok := e.(E)
	return ok
}
