package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
)

// Guards against sending requests to the address of an ended server after the address was
// reassigned to a server of another service.
func TestMisdirectedAttempt(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/draft/1")
	again, ok := n.endAttempt(first, messenger.AttemptMisdirected, false).(messenger.SendExchange)
	require.True(t, ok, "another server is free")
	require.NotEqual(t, first.Server, again.Server)
	// Nothing is sent to the address until a newer entry names the server.
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
