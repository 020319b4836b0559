package gauger

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

var tiny = Size{
	Nodes:   3,
	Servers: 4,
	Pools:   2,
}

// The figures are worth something only if the fleet's nodes know one another,
// share one configuration and serve; a gauge of a fleet that refuses
// everything would look cheap.
func TestGaugesWorkOnAWholeFleet(t *testing.T) {
	var got []Reading
	gauges := Gauges()
	gauges[len(gauges)-1] = claimGauge{sizes: []int{100}}
	err := Run(context.Background(), gauges, []Size{tiny}, func(r []Reading) { got = append(got, r...) })
	require.NoError(t, err)
	byName := map[string]float64{}
	for _, r := range got {
		require.Equal(t, tiny, r.Size)
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

// The replayed reducer has to be in the state of the one that ran.
func TestReplayLeadsToTheSameState(t *testing.T) {
	f, err := startFleet(tiny)
	require.NoError(t, err)
	require.Equal(t, f.members[0].reducer.View(f.now), f.replay().View(f.now))
}

// A node that never got the configuration must not be gauged.
func TestFleetWithoutConfigurationIsAnError(t *testing.T) {
	f := NewFleet(tiny)
	f.members[1].read = 1 << 30
	var notReady *NotReadyError
	require.ErrorAs(t, f.Configure(), &notReady)
}
