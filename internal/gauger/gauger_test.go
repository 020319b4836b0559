package gauger

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

var smallSize = Size{
	Nodes:   3,
	Servers: 4,
	Pools:   2,
}

// Guards against measuring nodes that do not know one another or lack the configuration: a fleet
// that refuses every request would appear cheap.
func TestGaugesMeasureConfiguredFleet(t *testing.T) {
	var got []Reading
	gauges := Gauges()
	gauges[len(gauges)-1] = claimGauge{claimCounts: []int{100}}
	err := Run(context.Background(), gauges, []Size{smallSize}, func(r []Reading) { got = append(got, r...) })
	require.NoError(t, err)
	byName := map[string]float64{}
	for _, r := range got {
		require.Equal(t, smallSize, r.Size)
		byName[r.Gauge+" "+r.Subject] = r.Value
	}
	for _, name := range []string{
		"idle gossip sent by a node",
		"idle load polls sent by a node",
		"idle processor time, all events",
		"request whole report, each",
		"claim claim and outcome kept, each",
		"configuration change read by a node, each",
	} {
		require.Positive(t, byName[name], name)
	}
	var table bytes.Buffer
	require.NoError(t, WriteTable(&table, got))
	require.Contains(t, table.String(), "whole report, each")
}

// Replay must reproduce the state of the original reducer.
func TestReplayReproducesReducerState(t *testing.T) {
	f, err := startFleet(smallSize)
	require.NoError(t, err)
	require.Equal(t, f.members[0].reducer.View(f.now), f.replayFirstNode().View(f.now))
}

// A fleet must not be measured while a node lacks the configuration.
func TestConfigureFailsIfNodeLacksConfiguration(t *testing.T) {
	f := NewFleet(smallSize)
	f.members[1].recordsRead = 1 << 30
	var notReady *NotReadyError
	require.ErrorAs(t, f.Configure(), &notReady)
}
