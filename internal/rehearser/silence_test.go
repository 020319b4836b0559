package rehearser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// The bounds of the pause that a caller sees. A node hears nothing of an engine
// for 1 s at this pace, or for 2 s before the first token; a caller waits 4 s
// for a sign of life. Both then need one new connection.
const (
	engineSilencePause = 5 * time.Second
	callerSilencePause = 8 * time.Second
)

// TestOpenConnectionsGoSilent: something between a node and an engine, and then
// something between the caller and its node, loses track of the open
// connections. Neither end is told: they stay open, and nothing arrives on them
// any more, while new connections work. The caller sees a short pause each time
// and the whole answer, because each reader bounds the silence that it bears
// and goes on by a new connection from the token that it has.
func TestOpenConnectionsGoSilent(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{relays: true})
	r := ask(t, c.client("monday_reports", nil), "Report on the manuscript 'Orchard'.", 600)

	r.waitTokens(t, 100)
	request, address := r.home()
	r.takeGap()
	lost := c.relays[string(c.engineOf(t, request))].loseTrack()
	require.Positive(t, lost, "connections to the engine")
	r.waitTokens(t, r.count()+100)
	enginePause := r.takeGap()

	lost = c.relays[string(c.at(t, address).vm)].loseTrack()
	require.Positive(t, lost, "connections to the node")
	r.waitWhole(t)
	callerPause := r.takeGap()

	t.Logf("longest pause %s with the engine's, %s with the caller's connections silent", enginePause, callerPause)
	require.Greater(t, enginePause, 500*time.Millisecond, "the engine's connection was silent")
	require.Greater(t, callerPause, time.Second, "the caller's connection was silent")
	require.Less(t, enginePause, engineSilencePause)
	require.Less(t, callerPause, callerSilencePause)
	c.requireNoRestart(t, request)
}

// engineOf returns the engine that runs a request now.
func (c *cluster) engineOf(t *testing.T, request identifier.RequestID) identifier.VMID {
	t.Helper()
	var found identifier.VMID
	require.Eventually(t, func() bool {
		for _, vm := range c.servers(t, "reading") {
			for _, run := range c.runsAt(t, vm, request) {
				if run.State == "running" {
					found = vm.VM
				}
			}
		}
		return found != ""
	}, settleTime, tick, "an engine runs %s", request)
	return found
}
