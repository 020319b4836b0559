package rehearser

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// noticeTime is the time between the notice and the reclamation of a zone's VMs.
const noticeTime = 3 * time.Second

// Guards against incomplete reports when a whole zone, nodes and engines, is reclaimed after a
// short notice.
func TestZoneReclaimed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	client := c.client("monday_reports", nil)
	var reports []*report
	for i := range 8 {
		reports = append(reports, startReport(t, client, fmt.Sprintf("Report on the manuscript 'Wave %d'.", i), 400))
	}
	for _, r := range reports {
		r.waitTokens(t, 60)
	}
	nodeZones, engineZones := c.zonesOf(t, reports)
	zone := c.commonZone(t, nodeZones, engineZones)
	for _, r := range reports {
		r.takeMaxGap()
	}
	began := time.Now()
	c.reclaim(t, zone, noticeTime)
	c.waitElapsed(t, began, noticeTime)
	for _, n := range append([]*node{}, c.nodes...) {
		if n.zone == zone {
			n.kill()
			c.removeNode(n)
		}
	}
	for i, r := range reports {
		r.waitComplete(t)
		request, after := r.attachment()
		require.NotEqual(t, zone, c.nodeAt(t, after).zone, "the last node was not reclaimed")
		t.Logf("%s: node in %s, engine in %s, %s reclaimed: %d nodes answered, longest pause %s",
			request, nodeZones[i], engineZones[i], zone, len(r.trace.Nodes), r.takeMaxGap())
	}
	for _, vm := range append(c.servers(t, "reading"), c.servers(t, "portal")...) {
		bought := strings.HasPrefix(string(vm.VM), "vm-")
		require.False(t, vm.Zone == zone && !bought, "%s outlived its zone", vm.VM)
	}
}

// zonesOf returns the zones of the reports' nodes and engines.
func (c *cluster) zonesOf(t *testing.T, reports []*report) (nodeZones, engineZones []identifier.Zone) {
	t.Helper()
	zoneOf := make(map[identifier.VMID]identifier.Zone)
	for _, vm := range c.servers(t, "reading") {
		zoneOf[vm.VM] = vm.Zone
	}
	for _, r := range reports {
		request, address := r.attachment()
		nodeZones = append(nodeZones, c.nodeAt(t, address).zone)
		engineZones = append(engineZones, zoneOf[c.engineOf(t, request)])
	}
	return nodeZones, engineZones
}

// commonZone returns a zone that has a report's node and a report's engine.
func (c *cluster) commonZone(t *testing.T, nodeZones, engineZones []identifier.Zone) identifier.Zone {
	t.Helper()
	for _, zone := range nodeZones {
		if slices.Contains(engineZones, zone) {
			return zone
		}
	}
	require.FailNow(t, "no zone has both", "nodes in %v, engines in %v", nodeZones, engineZones)
	return ""
}
