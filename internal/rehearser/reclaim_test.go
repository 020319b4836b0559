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

// noticeTime is what the cloud leaves to the VMs of a zone.
const noticeTime = 3 * time.Second

// TestZoneReclaimed: several reports run when the cloud gives notice to a whole
// zone, engines and entry VMs, and takes all of it away 3 s later; the node
// processes are killed, however far they are. Before the deadline the nodes hand
// over what they serve, and the engines' streams move. Callers see redirects and
// pauses: each report is whole, whichever of its two machines was in the zone.
func TestZoneReclaimed(t *testing.T) {
	t.Parallel()
	c := newCluster(t, options{})
	client := c.client("monday_reports", nil)
	var reports []*report
	for i := range 8 {
		reports = append(reports, ask(t, client, fmt.Sprintf("Report on the manuscript 'Wave %d'.", i), 400))
	}
	for _, r := range reports {
		r.waitTokens(t, 60)
	}
	homes, engines := c.zonesOf(t, reports)
	zone := c.commonZone(t, homes, engines)
	for _, r := range reports {
		r.takeGap()
	}
	began := time.Now()
	c.reclaim(t, zone, noticeTime)
	c.waitElapsed(t, began, noticeTime)
	for _, n := range append([]*node{}, c.nodes...) {
		if n.zone == zone {
			n.kill()
			c.lose(n)
		}
	}
	for i, r := range reports {
		r.waitWhole(t)
		request, after := r.home()
		require.NotEqual(t, zone, c.at(t, after).zone, "the last node is one that lives")
		t.Logf("%s: node in %s, engine in %s, %s reclaimed: %d nodes answered, longest pause %s",
			request, homes[i], engines[i], zone, len(r.trace.Nodes), r.takeGap())
	}
	for _, vm := range append(c.servers(t, "reading"), c.servers(t, "portal")...) {
		bought := strings.HasPrefix(string(vm.VM), "vm-")
		require.False(t, vm.Zone == zone && !bought, "%s outlived its zone", vm.VM)
	}
}

// zonesOf returns the zones of the reports' nodes and engines.
func (c *cluster) zonesOf(t *testing.T, reports []*report) (homes, engines []identifier.Zone) {
	t.Helper()
	zoneOf := make(map[identifier.VMID]identifier.Zone)
	for _, vm := range c.servers(t, "reading") {
		zoneOf[vm.VM] = vm.Zone
	}
	for _, r := range reports {
		request, address := r.home()
		homes = append(homes, c.at(t, address).zone)
		engines = append(engines, zoneOf[c.engineOf(t, request)])
	}
	return homes, engines
}

// commonZone returns a zone that has a report's node and a report's engine.
func (c *cluster) commonZone(t *testing.T, homes, engines []identifier.Zone) identifier.Zone {
	t.Helper()
	for _, zone := range homes {
		if slices.Contains(engines, zone) {
			return zone
		}
	}
	require.FailNow(t, "no zone has both", "nodes in %v, engines in %v", homes, engines)
	return ""
}
