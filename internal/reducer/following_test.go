package reducer

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/accountant"
	"github.com/dotterelhollow/dotterelhollow/internal/leaser"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/ranker"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// All of 61 nodes start at once. Each reads the lease once, so that the time that
// its last holder has left is counted from then; until they had heard of their
// peers all of them read on. Afterwards the few that may hold the lease follow it,
// and the usage that its holder reports, and read once which requests were refused.
func TestStartReadsTheLeaseOnce(t *testing.T) {
	f := newFleet(61)
	lease := []identifier.LogStream{leaser.Stream}
	for _, id := range f.ids {
		require.Equal(t, lease, f.nodes[id].Streams(), "at %s", id)
	}
	f.run(fleetStep)
	for _, id := range f.ids {
		require.Equal(t, lease, f.nodes[id].Streams(), "the store has not answered %s yet", id)
		f.apply(id, messenger.LogRead{
			Stream: leaser.Stream,
			End:    true,
		})
		require.Empty(t, f.nodes[id].Streams(), "at %s", id)
	}
	f.run(3 * timekeeper.Second)
	following := 0
	for _, id := range f.ids {
		streams := f.nodes[id].Streams()
		if len(streams) == 0 {
			continue
		}
		require.Equal(t, []identifier.LogStream{leaser.Stream, accountant.Stream, quarantiner.Stream}, streams, "at %s", id)
		f.apply(id, messenger.LogRead{
			Stream: quarantiner.Stream,
			End:    true,
		})
		require.Equal(t, []identifier.LogStream{leaser.Stream, accountant.Stream}, f.nodes[id].Streams(), "at %s", id)
		following++
	}
	require.Equal(t, dutyNodes, following)
}

// All of many nodes start at once, and read the list of them. After 1.4 seconds a
// node knew 65 of 195 in the mean, so that many took themselves for the first of all,
// and read the store. Each waited a second and a half before it did any work for
// all, and relays as long again before they told of others' requests; meanwhile long
// prompts were refused and servers chosen blindly. A node that has heard of most of
// those listed goes ahead.
func TestStartOfAllSettlesEarly(t *testing.T) {
	for _, nodes := range []int{61, 195} {
		f := newFleet(nodes)
		listed := messenger.ListRead{AsOf: f.now}
		for _, id := range f.ids {
			listed.VMs = append(listed.VMs, messenger.VMState{
				VM:      id,
				Address: string(id),
			})
		}
		for _, id := range f.ids {
			f.apply(id, listed)
		}
		f.run(1400 * timekeeper.Millisecond)
		settled, candidates := 0, 0
		for _, id := range f.ids {
			require.GreaterOrEqual(t, len(f.nodes[id].members.Nodes()), nodes*9/10, "at %s", id)
			g := f.nodes[id].gateway
			if g.settled {
				settled++
			}
			if g.candidate {
				candidates++
			}
		}
		require.GreaterOrEqual(t, settled, nodes*9/10, "of %d nodes", nodes)
		require.LessOrEqual(t, candidates, 2*dutyNodes)
		f.run(400 * timekeeper.Millisecond)
		told := 0
		for _, id := range f.ids {
			if f.nodes[id].gateway.exchanges.UsesRelayReports(f.now) {
				told++
			}
		}
		require.GreaterOrEqual(t, told, nodes*9/10, "of %d nodes", nodes)
	}
}

// Each of 61 nodes has counts of usage. They reach the nodes that may come to report
// them, and are no part of what relays and others are told.
func TestUsageGoesToThoseWhoReportIt(t *testing.T) {
	f := newFleet(61)
	f.run(6 * timekeeper.Second)
	g := f.nodes["entry-60"].gateway
	g.usage.Began(f.now, "agency")
	w := f.nodes["entry-60"].world(f.now)
	duties := f.nodes["entry-60"].ranking.First(string(dutyLease), dutyNodes)
	told := 0
	for range shareRoundsOfAll {
		for _, e := range f.nodes["entry-60"].shareNow(w) {
			share, ok := e.(messenger.SendStateUpdate)
			require.True(t, ok)
			reports := ranker.Contains(duties, share.Peer)
			require.Equal(t, reports, len(share.Update.Usage) > 0, "to %s", share.Peer)
			if reports {
				told++
			}
		}
	}
	require.GreaterOrEqual(t, told, dutyNodes)
}
