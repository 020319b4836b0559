package registrar_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

func entry(id identifier.VMID, offset identifier.Offset, state messenger.ServerState) messenger.PublishedServer {
	e := messenger.PublishedServer{
		Server: id,
		Offset: offset,
		State:  state,
	}
	if state != messenger.ServerRemoved {
		e.Service = "reader"
		e.Address = "10.0.0.1:80"
		e.Zone = "boston-a"
	}
	return e
}

// completeRead is a read of all entries of the store.
func completeRead(entries []messenger.PublishedServer) messenger.ServersPublished {
	return messenger.ServersPublished{
		Servers: entries,
		All:     true,
	}
}

func states(t *registrar.Table) map[identifier.VMID]messenger.ServerState {
	out := map[identifier.VMID]messenger.ServerState{}
	for _, s := range t.ServersOf("reader") {
		out[s.Server] = s.State
	}
	return out
}

// The same entries in another order, over another path and repeated must give the same
// table, or nodes send requests to different servers for good.
func TestOrderAndRepetitionDoNotMatter(t *testing.T) {
	entries := []messenger.PublishedServer{
		entry("i-1", 1, messenger.ServerReady),
		entry("i-2", 2, messenger.ServerReady),
		entry("i-1", 3, messenger.ServerLeaving),
		entry("i-2", 4, messenger.ServerRemoved),
		entry("i-3", 5, messenger.ServerReady),
	}
	forward, backward := registrar.New(), registrar.New()
	forward.ApplyRead(start, messenger.ServersPublished{Servers: entries})
	for i := len(entries) - 1; i >= 0; i-- {
		backward.Merge(start, start, entries[i:i+1])
		backward.Merge(start, start, entries[i:])
	}
	want := map[identifier.VMID]messenger.ServerState{
		"i-1": messenger.ServerLeaving,
		"i-3": messenger.ServerReady,
	}
	require.Equal(t, want, states(forward))
	require.Equal(t, want, states(backward))
}

// A late entry from before the notice, with a larger offset, must not make a leaving
// server ready: its new requests would be cut off.
func TestLeavingIsFinal(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 1, messenger.ServerLeaving)}})
	changed := table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 2, messenger.ServerReady)}})
	require.Empty(t, changed)
	require.Equal(t, messenger.ServerLeaving, states(table)["i-1"])
}

// No entry may make a server ready that stated to be leaving, here or at peers.
func TestStatedLeavingIsFinal(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 5, messenger.ServerReady)}))
	changed := table.MarkLeaving(start.Add(10), "i-1", start)
	require.Len(t, changed, 1)
	require.Equal(t, messenger.ServerLeaving, changed[0].State)
	require.Empty(t, table.MarkLeaving(start.Add(20), "i-1", start))
	require.Empty(t, table.MarkLeaving(start.Add(20), "i-2", start))
	updates := table.UpdatesSince(start, start, false)
	require.Equal(t, changed, updates)

	peer := registrar.New()
	peer.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 9, messenger.ServerReady)}))
	require.Len(t, peer.Merge(start.Add(30), start, updates), 1)
	for _, each := range []*registrar.Table{table, peer} {
		each.ApplyRead(start.Add(400), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 12, messenger.ServerReady)}})
		require.Equal(t, messenger.ServerLeaving, states(each)["i-1"])
	}
}

// Guards against a leaving server that is ready again once its entry lapsed and returned.
func TestStatedLeavingSurvivesRemoval(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{
		entry("i-1", 1, messenger.ServerReady),
		entry("i-1", 2, messenger.ServerRemoved),
	}})
	require.Empty(t, table.MarkLeaving(start, "i-1", start))
	changed := table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 3, messenger.ServerReady)}})
	require.Len(t, changed, 1)
	require.Equal(t, messenger.ServerLeaving, changed[0].State)
	require.Equal(t, messenger.ServerLeaving, states(table)["i-1"])
}

// What a server stated must not take its next start out of use.
func TestStatedLeavingEndsWithItsStart(t *testing.T) {
	first := identifier.ServerStart("i-1", 1000)
	second := identifier.ServerStart("i-1", identifier.Incarnation(start.Add(500)))
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry(first, 1, messenger.ServerReady)}))
	table.MarkLeaving(start.Add(10), first, start)
	now := start.Add(1000)
	table.ApplyRead(now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry(second, 2, messenger.ServerReady)}})
	require.Empty(t, table.MarkLeaving(now, first, start.Add(499)), "an answer that arrives late")
	require.Empty(t, table.Merge(now, now, []messenger.PublishedServer{entry(first, 3, messenger.ServerLeaving)}))
	require.Equal(t, messenger.ServerReady, states(table)[second])
}

// Guards against requests to a start that stated to be leaving while only an earlier one was known.
func TestStatedLeavingBelongsToStartThatAnswered(t *testing.T) {
	first := identifier.ServerStart("i-1", 1000)
	second := identifier.ServerStart("i-1", identifier.Incarnation(start.Add(500)))
	readSecond := func(table *registrar.Table) {
		table.ApplyRead(start.Add(1000), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry(second, 2, messenger.ServerReady)}})
	}
	for _, test := range []struct {
		name  string
		steps []func(*registrar.Table)
	}{
		{
			name: "before the entry arrives",
			steps: []func(*registrar.Table){
				func(table *registrar.Table) { table.MarkLeaving(start.Add(600), first, start.Add(500)) },
				readSecond,
			},
		},
		{
			name: "after the entry arrived",
			steps: []func(*registrar.Table){
				readSecond,
				func(table *registrar.Table) { table.MarkLeaving(start.Add(1100), first, start.Add(900)) },
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := registrar.New()
			table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry(first, 1, messenger.ServerReady)}))
			for _, step := range test.steps {
				step(table)
			}
			require.Equal(t, messenger.ServerLeaving, states(table)[second])
			table.ApplyRead(start.Add(2000), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry(second, 3, messenger.ServerReady)}})
			require.Equal(t, messenger.ServerLeaving, states(table)[second])
		})
	}
}

// Guards against removing a live server because another writer made its entry unreadable.
func TestUnreadableEntryChangesNothing(t *testing.T) {
	unreadable := func(id identifier.VMID, offset identifier.Offset) messenger.PublishedServer {
		return messenger.PublishedServer{
			Server: id,
			Offset: offset,
			State:  messenger.ServerUnreadable,
		}
	}
	first := identifier.ServerStart("i-1", 1000)
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{
		entry(first, 1, messenger.ServerReady),
		entry("i-2", 2, messenger.ServerReady),
		entry("i-3", 3, messenger.ServerReady),
	}))
	changed := table.ApplyRead(start.Add(400), completeRead([]messenger.PublishedServer{
		entry("i-3", 3, messenger.ServerReady),
		unreadable("i-1", 5),
		unreadable("i-2", 6),
		unreadable("i-4", 7),
	}))
	require.Empty(t, changed)
	require.Equal(t, map[identifier.VMID]messenger.ServerState{
		first: messenger.ServerReady,
		"i-2": messenger.ServerReady,
		"i-3": messenger.ServerReady,
	}, states(table))
	require.Equal(t, 3, table.Len())
}

// Entries that lapse during a store outage and return within a second must not be
// removed, or every request is rejected meanwhile.
func TestEntriesLapseDuringStoreOutage(t *testing.T) {
	tests := []struct {
		name    string
		outage  timekeeper.Duration
		returns bool
		// removedAtOnce is set if the server is removed at once, and removedAtLast if
		// it is after the grace.
		removedAtOnce bool
		removedAtLast bool
	}{
		{
			name:          "no outage",
			outage:        400,
			removedAtOnce: true,
			removedAtLast: true,
		},
		{
			name:    "outage, and the entry is back",
			outage:  5000,
			returns: true,
		},
		{
			name:          "outage, and the server ended",
			outage:        5000,
			removedAtLast: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := registrar.New()
			table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
			now := start.Add(test.outage)
			table.ApplyRead(now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 2, messenger.ServerRemoved)}})
			require.Equal(t, test.removedAtOnce, len(table.ServersOf("reader")) == 0)
			if test.returns {
				table.ApplyRead(now.Add(1000), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 3, messenger.ServerReady)}})
			}
			table.Tick(now.Add(2500))
			require.Equal(t, test.removedAtLast, len(table.ServersOf("reader")) == 0)
		})
	}
}

// Guards against a removed server that stays in use for two more seconds, because a node takes the
// long time since its own last read for an outage.
func TestRemovalReadByInfrequentReader(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	// A peer reports a recent read.
	table.Merge(start.Add(60_000), start.Add(59_900), nil)
	changed := table.ApplyRead(start.Add(61_200), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 2, messenger.ServerRemoved)}})
	require.Len(t, changed, 1)
	require.Empty(t, table.ServersOf("reader"))
}

// A snapshot removes servers whose removal the node missed, but not those that a peer
// reported with a newer offset than the snapshot has.
func TestSnapshotRemovesMissingServers(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{
		entry("i-1", 1, messenger.ServerReady),
		entry("i-2", 2, messenger.ServerReady),
	}))
	table.Merge(start, start, []messenger.PublishedServer{entry("i-3", 9, messenger.ServerReady)})
	table.ApplyRead(start.Add(400), completeRead([]messenger.PublishedServer{entry("i-2", 7, messenger.ServerReady)}))
	require.Equal(t, map[identifier.VMID]messenger.ServerState{
		"i-2": messenger.ServerReady,
		"i-3": messenger.ServerReady,
	}, states(table))
}

// Guards against peers that keep a server which a read of all entries lacks, as they know a later
// entry of it than the reader.
func TestMissingServerIsRemovedAtPeersWithLaterEntries(t *testing.T) {
	table, peer := registrar.New(), registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	peer.ApplyRead(start.Add(200), completeRead([]messenger.PublishedServer{entry("i-1", 5, messenger.ServerReady)}))
	now := start.Add(400)
	table.ApplyRead(now, completeRead([]messenger.PublishedServer{entry("i-2", 9, messenger.ServerReady)}))
	peer.Merge(now, now, table.UpdatesSince(now, now.Add(-1), false))
	for _, each := range []*registrar.Table{table, peer} {
		require.NotContains(t, states(each), identifier.VMID("i-1"))
		each.ApplyRead(now.Add(400), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 10, messenger.ServerReady)}})
		require.Equal(t, messenger.ServerReady, states(each)["i-1"], "it registered again after the read")
	}
}

// Guards against a server that stays removed although it registered in a restored store, since its
// removal was concluded from an earlier read of that store.
func TestServerMissingInRestoredStoreRegistersAgain(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 3, messenger.ServerReady)}))
	other := entry("i-2", identifier.OffsetAt(1, 0), messenger.ServerReady)
	table.ApplyRead(start.Add(400), completeRead([]messenger.PublishedServer{other}))
	require.NotContains(t, states(table), identifier.VMID("i-1"))
	table.ApplyRead(start.Add(800), completeRead([]messenger.PublishedServer{
		other,
		entry("i-1", identifier.OffsetAt(1, 1), messenger.ServerReady),
	}))
	require.Equal(t, messenger.ServerReady, states(table)["i-1"])
}

// Guards against a removed server that stays in use as it was the last to write its entry, or as
// no entry is left.
func TestReadOfAllEntriesRemovesLastWriter(t *testing.T) {
	first, last := entry("i-1", 1, messenger.ServerReady), entry("i-2", 2, messenger.ServerReady)
	for _, test := range []struct {
		name string
		left []messenger.PublishedServer
	}{
		{
			name: "another server is left",
			left: []messenger.PublishedServer{first},
		},
		{
			name: "no entry is left",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := registrar.New()
			table.ApplyRead(start, completeRead([]messenger.PublishedServer{first, last}))
			read := completeRead(test.left)
			read.End = 4
			table.ApplyRead(start.Add(400), read)
			require.Len(t, states(table), len(test.left))

			table = registrar.New()
			table.ApplyRead(start, completeRead([]messenger.PublishedServer{first, last}))
			read.End = 2
			table.ApplyRead(start.Add(400), read)
			require.Contains(t, states(table), identifier.VMID("i-2"), "its entry may be newer than the read")
		})
	}
}

// Guards against removing a server that registered between two calls of a read of all entries.
func TestReadOfAllEntriesKeepsServersWrittenMeanwhile(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	table.Merge(start.Add(100), start, []messenger.PublishedServer{entry("i-2", 6, messenger.ServerReady)})
	read := completeRead([]messenger.PublishedServer{entry("i-1", 3, messenger.ServerReady), entry("i-3", 7, messenger.ServerReady)})
	read.End = 6
	table.ApplyRead(start.Add(200), read)
	require.Contains(t, states(table), identifier.VMID("i-2"))
}

// Guards against a removed server that a peer's late report adds again, as the read that lacked it
// held no later entry of another server.
func TestServerRemovedBeforeFirstReadIsNotAdded(t *testing.T) {
	table := registrar.New()
	read := completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)})
	read.End = 5
	table.ApplyRead(start, read)
	table.Merge(start.Add(10), start, []messenger.PublishedServer{
		entry("i-2", 3, messenger.ServerReady),
		entry("i-3", 5, messenger.ServerReady),
	})
	require.NotContains(t, states(table), identifier.VMID("i-2"))
	require.Contains(t, states(table), identifier.VMID("i-3"), "it registered after the read")

	table.ApplyRead(start.Add(400), messenger.ServersPublished{End: 9})
	table.Merge(start.Add(410), start, []messenger.PublishedServer{entry("i-4", 8, messenger.ServerReady)})
	require.NotContains(t, states(table), identifier.VMID("i-4"))
}

func TestAsOf(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead(nil))
	table.Merge(start.Add(500), start.Add(300), nil)
	require.Equal(t, start.Add(300), table.AsOf())
	table.Merge(start.Add(600), start.Add(100), nil)
	require.Equal(t, start.Add(300), table.AsOf())
}

// The entries of the first complete read are not sent to peers; later reads are, and
// peers' updates are if they are to be passed on.
func TestUpdatesSince(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	table.ApplyRead(start.Add(400), messenger.ServersPublished{Servers: []messenger.PublishedServer{
		entry("i-1", 2, messenger.ServerReady),
		entry("i-2", 3, messenger.ServerReady),
	}})
	table.Merge(start.Add(500), start.Add(450), []messenger.PublishedServer{entry("i-3", 4, messenger.ServerReady)})
	ids := func(since timekeeper.Time, passOn bool) []identifier.VMID {
		var out []identifier.VMID
		for _, s := range table.UpdatesSince(start, since, passOn) {
			out = append(out, s.Server)
		}
		return out
	}
	require.Equal(t, []identifier.VMID{"i-2"}, ids(start.Add(-1), false))
	require.Equal(t, []identifier.VMID{"i-2", "i-3"}, ids(start.Add(-1), true))
	require.Equal(t, []identifier.VMID{"i-3"}, ids(start.Add(400), true))
	table.MergeAll(start.Add(600), start.Add(550), []messenger.PublishedServer{entry("i-4", 5, messenger.ServerReady)})
	require.Equal(t, []identifier.VMID{"i-3", "i-4"}, ids(start.Add(400), true), "a node that knew all entries vouches for all later changes")
	require.Len(t, table.All(), 4)

	started := registrar.New()
	require.Zero(t, started.KnownSince())
	started.MergeAll(start.Add(600), start.Add(550), []messenger.PublishedServer{entry("i-4", 5, messenger.ServerReady)})
	require.Empty(t, started.UpdatesSince(start, start, true), "the first complete table is no change")
	require.Equal(t, start.Add(600), started.KnownSince())
}

// Guards against a peer's table that is taken for complete although it lacks a removal.
func TestTableContainedInPeersTable(t *testing.T) {
	table := registrar.New()
	a, b := entry("i-1", 1, messenger.ServerReady), entry("i-2", 2, messenger.ServerReady)
	require.True(t, table.ContainedIn(nil))
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{a, b}))
	require.True(t, table.ContainedIn([]messenger.PublishedServer{a, b}))
	require.False(t, table.ContainedIn([]messenger.PublishedServer{a}), "it may have been removed before the peer started")
	table.ApplyRead(start.Add(1), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-2", 3, messenger.ServerRemoved)}})
	require.True(t, table.ContainedIn([]messenger.PublishedServer{a}))
}

// A server that starts again under its id must be used, whatever late entries of its
// earlier start report.
func TestServerStartsAgainUnderItsID(t *testing.T) {
	first := identifier.ServerStart("i-1", 1000)
	second := identifier.ServerStart("i-1", 9000)
	leaving := entry(first, 2, messenger.ServerLeaving)
	restarted := entry(second, 3, messenger.ServerReady)
	late := entry(first, 4, messenger.ServerLeaving)
	old := entry(first, 5, messenger.ServerReady)
	tests := []struct {
		name    string
		entries []messenger.PublishedServer
	}{
		{
			name:    "in order",
			entries: []messenger.PublishedServer{leaving, restarted, late, old},
		},
		{
			name:    "the earlier start's last entries come first",
			entries: []messenger.PublishedServer{leaving, old, late, restarted},
		},
		{
			name:    "the earlier start was never seen",
			entries: []messenger.PublishedServer{restarted, leaving, old, late},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			fromStore, fromPeer := registrar.New(), registrar.New()
			fromStore.ApplyRead(start, messenger.ServersPublished{Servers: test.entries})
			fromPeer.Merge(start, start, test.entries)
			want := map[identifier.VMID]messenger.ServerState{second: messenger.ServerReady}
			require.Equal(t, want, states(fromStore))
			require.Equal(t, want, states(fromPeer))
		})
	}
}

// A later start must report the end of the earlier one, whose requests are lost. A
// removal without a start refers to the last one.
func TestLaterStartEndsTheEarlier(t *testing.T) {
	first := identifier.ServerStart("i-1", 1000)
	second := identifier.ServerStart("i-1", 9000)
	table := registrar.New()
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry(first, 1, messenger.ServerReady)}})
	changed := table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry(second, 2, messenger.ServerReady)}})
	require.Len(t, changed, 2)
	require.Equal(t, first, changed[0].Server)
	require.Equal(t, messenger.ServerRemoved, changed[0].State)
	require.Equal(t, second, changed[1].Server)

	changed = table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 3, messenger.ServerRemoved)}})
	require.Len(t, changed, 1)
	require.Equal(t, second, changed[0].Server)
	require.Empty(t, states(table))

	peer := registrar.New()
	peer.Merge(start, start, []messenger.PublishedServer{entry(second, 2, messenger.ServerReady)})
	peer.Merge(start, start, []messenger.PublishedServer{entry(first, 9, messenger.ServerRemoved)})
	require.Equal(t, messenger.ServerReady, states(peer)[second])
}

// A late entry from before the notice must not make a leaving server ready after its
// entry lapsed: its new requests would be cut off.
func TestLeavingSurvivesRemoval(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{
		entry("i-1", 1, messenger.ServerLeaving),
		entry("i-1", 2, messenger.ServerRemoved),
		entry("i-1", 3, messenger.ServerReady),
	}})
	require.NotEqual(t, messenger.ServerReady, states(table)["i-1"])
}

// BenchmarkServersOf measures the lookup of a service's servers, which each request
// does twice, in an unchanged table of 84.
func BenchmarkServersOf(b *testing.B) {
	table := registrar.New()
	for i := range 84 {
		table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{
			{
				Server:  identifier.VMID(fmt.Sprintf("s-%d", i)),
				Offset:  identifier.Offset(i + 1),
				Service: "reader",
				Address: "10.0.0.1:80",
				State:   messenger.ServerReady,
			},
		}})
	}
	b.ReportAllocs()
	for b.Loop() {
		if len(table.ServersOf("reader")) != 84 {
			b.Fatal("servers are missing")
		}
	}
}

// A change must clear the cached servers of a service, or the next request goes to a
// removed server.
func TestServersOfFollowsEachChange(t *testing.T) {
	table := registrar.New()
	entry := func(id identifier.VMID, offset identifier.Offset, state messenger.ServerState) messenger.PublishedServer {
		return messenger.PublishedServer{
			Server:  id,
			Offset:  offset,
			Service: "reader",
			Address: "10.0.0.1:80",
			State:   state,
		}
	}
	ids := func() []identifier.VMID {
		var out []identifier.VMID
		for _, s := range table.ServersOf("reader") {
			out = append(out, s.Server)
		}
		return out
	}
	require.Empty(t, ids())
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("s-1", 1, messenger.ServerReady)}})
	require.Equal(t, []identifier.VMID{"s-1"}, ids())
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("s-0", 2, messenger.ServerReady)}})
	require.Equal(t, []identifier.VMID{"s-0", "s-1"}, ids())
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("s-1", 3, messenger.ServerRemoved)}})
	require.Equal(t, []identifier.VMID{"s-0"}, ids())
	table.ApplyRead(start, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("s-0", 4, messenger.ServerLeaving)}})
	require.Equal(t, messenger.ServerLeaving, table.ServersOf("reader")[0].State)
}

// Guards against a removed server that returns by the update of a peer that does not know yet.
func TestRemovedServerDoesNotReturn(t *testing.T) {
	late := []messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}
	t.Run("removal known from a peer's table", func(t *testing.T) {
		table := registrar.New()
		table.MergeAll(start, start, []messenger.PublishedServer{
			entry("i-1", 3, messenger.ServerRemoved),
			entry("i-2", 2, messenger.ServerReady),
		})
		require.Empty(t, table.Merge(start.Add(100), start, late))
		require.NotContains(t, states(table), identifier.VMID("i-1"))
	})
	t.Run("entry gone before the first read", func(t *testing.T) {
		table := registrar.New()
		table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-2", 2, messenger.ServerReady)}))
		require.Empty(t, table.Merge(start.Add(100), start, late))
		require.NotContains(t, states(table), identifier.VMID("i-1"))
		later := []messenger.PublishedServer{entry("i-1", 4, messenger.ServerReady)}
		require.Len(t, table.Merge(start.Add(200), start, later), 1, "it has started again")
	})
	t.Run("entry missing in a store that came back from a copy", func(t *testing.T) {
		table := registrar.New()
		table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-2", identifier.OffsetAt(2, 5), messenger.ServerReady)}))
		require.Len(t, table.Merge(start.Add(100), start, late), 1)
	})
}

// Guards against nodes that vouch for an entry which they don't report, as a peer had it first.
func TestLeavingReadAfterPeerReportedItIsReported(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	leaving := []messenger.PublishedServer{entry("i-1", 2, messenger.ServerLeaving)}
	table.Merge(start.Add(100), start.Add(100), leaving)
	require.Empty(t, table.UpdatesSince(start.Add(100), start, false))
	table.ApplyRead(start.Add(200), messenger.ServersPublished{Servers: leaving})
	require.Len(t, table.UpdatesSince(start.Add(200), start, false), 1)
}

// Guards against peers that vouch for all entries without a removal that was deferred.
func TestDeferredRemovalIsReported(t *testing.T) {
	ready := []messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}
	table, peer := registrar.New(), registrar.New()
	table.ApplyRead(start, completeRead(ready))
	peer.ApplyRead(start, completeRead(ready))
	now := start.Add(5000)
	table.ApplyRead(now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 2, messenger.ServerRemoved)}})
	updates := table.UpdatesSince(now.Add(500), now.Add(-1), true)
	require.Len(t, updates, 1)
	require.Empty(t, peer.Merge(now.Add(500), now, updates))
	peer.Tick(now.Add(2100))
	require.Contains(t, states(peer), identifier.VMID("i-1"))
	peer.Tick(now.Add(2300))
	require.NotContains(t, states(peer), identifier.VMID("i-1"))

	returned := []messenger.PublishedServer{entry("i-1", 3, messenger.ServerReady)}
	peer = registrar.New()
	peer.ApplyRead(start, completeRead(ready))
	peer.Merge(now.Add(500), now, updates)
	peer.Merge(now.Add(1000), now, returned)
	peer.Tick(now.Add(2300))
	require.Contains(t, states(peer), identifier.VMID("i-1"), "its entry is back")
}

// Guards against removing all servers in an outage that begins before they could return from the
// one before.
func TestDeferredRemovalWaitsForStore(t *testing.T) {
	table := registrar.New()
	table.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	now := start.Add(5000)
	table.ApplyRead(now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 2, messenger.ServerRemoved)}})
	for range 10 {
		now = now.Add(400)
		table.StoreUnavailable(now)
		table.Tick(now)
	}
	require.Contains(t, states(table), identifier.VMID("i-1"))
	table.ApplyRead(now.Add(400), messenger.ServersPublished{})
	table.Tick(now.Add(2100))
	require.Contains(t, states(table), identifier.VMID("i-1"))
	table.Tick(now.Add(2700))
	require.NotContains(t, states(table), identifier.VMID("i-1"))
}

// Guards against peers that remove a server after an outage although its entry is back.
func TestReturnedEntryIsReported(t *testing.T) {
	table, peer := registrar.New(), registrar.New()
	for _, each := range []*registrar.Table{table, peer} {
		each.ApplyRead(start, completeRead([]messenger.PublishedServer{entry("i-1", 1, messenger.ServerReady)}))
	}
	now := start.Add(5000)
	table.ApplyRead(now, messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 2, messenger.ServerRemoved)}})
	peer.Merge(now.Add(100), now, table.UpdatesSince(now.Add(100), now.Add(-1), true))
	table.ApplyRead(now.Add(800), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-1", 3, messenger.ServerReady)}})
	peer.Merge(now.Add(900), now.Add(800), table.UpdatesSince(now.Add(900), now.Add(799), false))
	for _, each := range []*registrar.Table{table, peer} {
		each.Tick(now.Add(2500))
		require.Equal(t, messenger.ServerReady, states(each)["i-1"])
	}
}

// Guards against a version that counts as the only one although the node may have missed others.
func TestSoleVersion(t *testing.T) {
	const span, maxAge = 50 * timekeeper.Second, 1 * timekeeper.Second
	versioned := func(id identifier.VMID, offset identifier.Offset, v identifier.Version) messenger.PublishedServer {
		e := entry(id, offset, messenger.ServerReady)
		e.Version = v
		return e
	}
	// newTable returns a table that has read the store each second, and the time of the last read.
	newTable := func(first ...messenger.PublishedServer) (*registrar.Table, timekeeper.Time) {
		table := registrar.New()
		table.ApplyRead(start, completeRead(first))
		now := start
		for now.Sub(start) < span {
			now = now.Add(timekeeper.Second)
			table.ApplyRead(now, messenger.ServersPublished{Servers: nil})
		}
		return table, now
	}
	sole := func(table *registrar.Table, now timekeeper.Time) bool {
		v, known := table.SoleVersion(now, "reader", span, maxAge)
		require.True(t, !known || v == "v1")
		return known
	}
	ready := versioned("i-1", 1, "v1")
	table, now := newTable(ready)
	require.True(t, sole(table, now))
	require.False(t, sole(table, now.Add(-1)), "it does not know of the time before")
	require.False(t, sole(table, now.Add(maxAge+1)), "its entries are outdated")

	table.ApplyRead(now.Add(500), messenger.ServersPublished{Servers: []messenger.PublishedServer{versioned("i-2", 2, "v2")}})
	require.False(t, sole(table, now.Add(500)), "two versions")
	table.ApplyRead(now.Add(600), messenger.ServersPublished{Servers: []messenger.PublishedServer{entry("i-2", 3, messenger.ServerRemoved)}})
	require.False(t, sole(table, now.Add(600)), "the other one has just been removed")

	table, now = newTable(ready)
	now = now.Add(5 * timekeeper.Second)
	table.ApplyRead(now, messenger.ServersPublished{Servers: nil})
	require.False(t, sole(table, now), "another one may have come and gone")

	table, now = newTable(versioned("i-1", 1, "v1"), versioned("i-2", 2, "v2"))
	require.False(t, sole(table, now))
	_, known := table.SoleVersion(now, "portal", span, maxAge)
	require.False(t, known, "a service without servers")
}
