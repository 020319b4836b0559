package reducer

import (
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// A process is paused while its VM starts another one. Peers ignore the older process,
// so it must exit when it receives gossip.
func TestOutdatedProcessExits(t *testing.T) {
	outdated := New(Config{
		Self:        "n1",
		Incarnation: 5,
		Zone:        "a",
		PeerAddress: "n1",
	})
	later := member("n1", 6, "n2")
	peer := member("n2", 1)
	introduce(t, later, peer)

	exited := false
	now := timekeeper.Time(1000)
	for range 20 {
		now = now.Add(messenger.TickInterval)
		messages, _ := peer.Tick(now, rand.New(rand.NewPCG(1, 1)))
		for _, m := range messages {
			exited = exited || exits(outdated.Apply(messenger.Event{
				At: now,
				Body: messenger.GossipReceived{
					From: "n2",
					Data: m.Data,
				},
			}))
		}
	}
	require.True(t, exited)
}

func member(vm identifier.VMID, incarnation identifier.Incarnation, seeds ...string) *gossiper.Members {
	return gossiper.New(gossiper.Config{
		Self:        vm,
		Incarnation: incarnation,
		Zone:        "a",
		PeerAddress: string(vm),
		Seeds:       seeds,
	})
}

// introduce sends gossip from one member to another.
func introduce(t *testing.T, from, to *gossiper.Members) {
	t.Helper()
	messages, _ := from.Tick(1000, rand.New(rand.NewPCG(1, 1)))
	require.NotEmpty(t, messages)
	_, err := to.Receive(1000, "n1", messages[0].Data)
	require.NoError(t, err)
}

func exits(effects []messenger.Effect) bool {
	for _, e := range effects {
		if _, ok := e.(messenger.Exit); ok {
			return true
		}
	}
	return false
}
