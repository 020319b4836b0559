package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// The address of an ended server was reassigned to a server of another service before
// its entry expired. The request must be repeated elsewhere, and nothing may be sent to
// the address until a newer entry names the server.
func TestMisdirectedAttempt(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/draft/1")
	again, ok := n.endAttempt(first, messenger.AttemptMisdirected, false).(messenger.SendExchange)
	require.True(t, ok, "another server is free")
	require.NotEqual(t, first.Server, again.Server)
	for range 20 {
		require.Equal(t, again.Server, n.sendPath(t, "/ping/1").Server)
	}
	n.publishServer(first.Server, messenger.ServerReady)
	found := false
	for range 200 {
		found = found || n.sendPath(t, "/ping/1").Server == first.Server
	}
	require.True(t, found, "the server published a newer entry")
}
