package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func stateUpdate(scope messenger.UpdateScope, zone identifier.Zone, server string, running int, prefill timekeeper.Duration) messenger.StateUpdate {
	return messenger.StateUpdate{
		Scope: scope,
		Zone:  zone,
		InFlight: map[identifier.VMID]messenger.InFlight{
			identifier.VMID(server): {
				Running: running,
				Prefill: prefill,
			},
		},
		Demand: map[identifier.ServiceName]messenger.ServiceDemand{
			"reader": {Running: running},
		},
	}
}

// Guards against relay sums that count the receiver's own load or stale reports, or that do not
// reduce prefill by the report's age.
func TestRelaySums(t *testing.T) {
	n := newNode(0)
	now := start.Add(200)
	n.StorePeerLoad(start, "entry-2", stateUpdate(messenger.ScopeOwn, "", "i-1", 3, 500))
	n.StorePeerLoad(start, "entry-3", stateUpdate(messenger.ScopeOwn, "", "i-2", 4, 0))
	n.StorePeerLoad(start.Add(-3*timekeeper.Second), "entry-4", stateUpdate(messenger.ScopeOwn, "", "i-3", 9, 0))
	n.StorePeerLoad(start, "relay-9", stateUpdate(messenger.ScopeZone, "zone-1", "i-1", 10, 100))

	zone := n.ZoneSum(now, []identifier.VMID{"entry-2", "entry-3", "entry-4"})
	require.Equal(t, map[identifier.VMID]messenger.InFlight{
		"i-1": {
			Running: 3,
			Prefill: 300,
		},
		"i-2": {Running: 4},
	}, zone.InFlight)

	all := n.AddZones(now, zone)
	require.Equal(t, 17, all.Demand["reader"].Running)
	// The receiver knows its own load better.
	rest := n.WithoutNode(now, all, "entry-3")
	require.Equal(t, map[identifier.VMID]messenger.InFlight{
		"i-1": {
			Running: 13,
			Prefill: 300,
		},
	}, rest.InFlight)
	require.Equal(t, 13, rest.Demand["reader"].Running)
	require.Equal(t, 4, zone.InFlight["i-2"].Running, "the zone's sum is not modified")
}

// A relay's sum over all other nodes replaces the reports of single peers while it is
// fresh.
func TestRelaySumReplacesPeerReports(t *testing.T) {
	n := newNode(0)
	n.StorePeerLoad(start, "entry-2", stateUpdate(messenger.ScopeOwn, "", "i-1", 3, 0))
	require.Equal(t, 3, n.Demand(start, "reader").Running)
	n.StorePeerLoad(start, "relay-9", stateUpdate(messenger.ScopeOthers, "", "i-1", 40, 0))
	require.Equal(t, 40, n.Demand(start, "reader").Running)
	require.Equal(t, 3, n.Demand(start.Add(1500), "reader").Running)
}
