package rehearser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Limits of the pause that a caller sees. A node times out an engine after 1 s at this
// pace, or 2 s before the first token; a caller times out after 4 s without any data.
// Both then need one new connection.
const (
	maxEnginePause = 5 * time.Second
	maxCallerPause = 8 * time.Second
)

// Guards against readers that wait on a blackholed connection to an engine or node instead of
// resuming on a new one from the last token.
func TestOpenConnectionsBlackholed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{relays: true})
	r := startReport(t, c.client("monday_reports", nil), "Report on the manuscript 'Orchard'.", 600)

	r.waitTokens(t, 100)
	request, address := r.attachment()
	r.takeMaxGap()
	connections := c.relays[string(c.engineOf(t, request))].blackholeConnections()
	require.Positive(t, connections, "connections to the engine")
	r.waitTokens(t, r.count()+100)
	enginePause := r.takeMaxGap()

	connections = c.relays[string(c.nodeAt(t, address).vm)].blackholeConnections()
	require.Positive(t, connections, "connections to the node")
	r.waitComplete(t)
	callerPause := r.takeMaxGap()

	t.Logf("longest pause %s with the engine's connections blackholed, %s with the caller's", enginePause, callerPause)
	require.Greater(t, enginePause, 500*time.Millisecond, "the engine's connection was blackholed")
	require.Greater(t, callerPause, time.Second, "the caller's connection was blackholed")
	require.Less(t, enginePause, maxEnginePause)
	require.Less(t, callerPause, maxCallerPause)
	c.requireNoRestart(t, request)
}

func (c *cluster) engineOf(t *testing.T, request identifier.RequestID) identifier.VMID {
	t.Helper()
	var engineID identifier.VMID
	require.Eventually(t, func() bool {
		for _, vm := range c.servers(t, "reading") {
			for _, run := range c.runsAt(t, vm, request) {
				if run.State == "running" {
					engineID = vm.VM
				}
			}
		}
		return engineID != ""
	}, settleTimeout, pollInterval, "an engine runs %s", request)
	return engineID
}
