package quarantiner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start timekeeper.Time        = 1_000_000_000
	query identifier.Fingerprint = 7
	other identifier.Fingerprint = 8
)

func server(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("i-%d", i)) }

func refuses(q *quarantiner.Quarantine, now timekeeper.Time, f identifier.Fingerprint) bool {
	_, refused := q.Refuses(now, f)
	return refused
}

// endServers lets servers end under a request at intervals of a second, and returns the
// time of the last end.
func endServers(q *quarantiner.Quarantine, now timekeeper.Time, f identifier.Fingerprint, servers ...int) timekeeper.Time {
	for _, i := range servers {
		now = now.Add(timekeeper.Second)
		q.ServerEnded(now, f, server(i))
	}
	return now
}

func ExampleQuarantine() {
	q := quarantiner.New()
	request := quarantiner.FingerprintOf("agency", 42)
	for i := range 3 {
		q.ServerEnded(start, request, server(i))
	}
	retryAfter, refused := q.Refuses(start, request)
	fmt.Println(refused, retryAfter)
	// Output: true 10m0s
}

func TestFingerprints(t *testing.T) {
	require.Zero(t, quarantiner.FingerprintOf("agency", 0), "unknown content has no fingerprint")
	require.NotEqual(t, quarantiner.FingerprintOf("agency", 1), quarantiner.FingerprintOf("agency", 2))
	require.NotEqual(t, quarantiner.FingerprintOf("agency", 1), quarantiner.FingerprintOf("bakery", 1),
		"the same content of another caller is another request")
}

// A request is served after two servers ended under it, because both may have ended for
// other reasons, and is refused after the third.
func TestThirdEndRefuses(t *testing.T) {
	q := quarantiner.New()
	now := endServers(q, start, query, 1, 2)
	q.ServerEnded(now, query, server(2))
	require.False(t, refuses(q, now, query), "the same server counts once")
	now = endServers(q, now, query, 3)
	require.True(t, refuses(q, now, query))
	require.False(t, refuses(q, now, other))
	require.Equal(t, []quarantiner.Change{
		{
			Request: query,
			Refused: true,
			Servers: []identifier.VMID{"i-1", "i-2", "i-3"},
		},
	}, q.Changes())
	require.Empty(t, q.Changes())
}

// Guards against refusals of a request that merely ran on the same servers as a query of death.
func TestInnocentRequestIsNotRefused(t *testing.T) {
	q := quarantiner.New()
	now := endServers(q, start, query, 1, 2, 3, 4)
	for i := 2; i <= 4; i++ {
		q.ServerEnded(now, other, server(i))
	}
	// More servers ended under the query.
	require.False(t, refuses(q, now, other))
	require.True(t, refuses(q, now, query))
	now = endServers(q, now, other, 5, 6, 7)
	require.True(t, refuses(q, now, other), "three servers ended under it without the query")
}

// A complete answer clears a request. Guards against refusals of frequent requests,
// such as pings, that run on every server that ends.
func TestCompletionClears(t *testing.T) {
	q := quarantiner.New()
	now := endServers(q, start, query, 1, 2)
	q.Completed(now, query)
	now = endServers(q, now, query, 3, 4)
	require.False(t, refuses(q, now, query))
	now = endServers(q, now, query, 5)
	require.True(t, refuses(q, now, query))
	q.Completed(now, query)
	require.False(t, refuses(q, now, query))

	peer := quarantiner.New()
	endServers(peer, start, query, 1, 2, 3)
	peer.Merge(now, q.Updates(now, false))
	require.False(t, refuses(peer, now, query), "a peer receives the completion")
}

// Each of three nodes observes the end of one server. After an exchange of updates, all
// of them refuse the request.
func TestEndsCountOverAllNodes(t *testing.T) {
	nodes := []*quarantiner.Quarantine{quarantiner.New(), quarantiner.New(), quarantiner.New()}
	for i, q := range nodes {
		q.ServerEnded(start, query, server(i))
		require.True(t, q.PendingUpdates())
		require.False(t, q.PendingUpdates())
	}
	now := start.Add(100)
	for _, from := range nodes {
		for _, to := range nodes {
			to.Merge(now, from.Updates(now, false))
		}
	}
	for _, q := range nodes {
		require.True(t, refuses(q, now, query))
		require.False(t, q.PendingUpdates(), "received updates are not pending")
	}
}

// A node is partitioned for longer than updateWindow while servers end. Afterwards it,
// and a node that receives updates only from it, must refuse the request.
func TestUpdatesReachNodeAfterPartition(t *testing.T) {
	q, partitioned, third := quarantiner.New(), quarantiner.New(), quarantiner.New()
	now := endServers(q, start, query, 1, 2, 3).Add(timekeeper.Minute)
	partitioned.Merge(now, q.Updates(now, false))
	require.True(t, refuses(partitioned, now, query))
	third.Merge(now, partitioned.Updates(now, false))
	require.True(t, refuses(third, now, query))
}

// Guards against table entries that exchanges between nodes keep forever, and against refusals that
// last longer than refusalTime.
func TestRequestsAreForgotten(t *testing.T) {
	a, b := quarantiner.New(), quarantiner.New()
	now := endServers(a, start, query, 1, 2, 3)
	const transitTime = 20 * timekeeper.Millisecond
	for range 1300 {
		now = now.Add(500)
		b.Merge(now.Add(transitTime), a.Updates(now, true))
		a.Merge(now.Add(2*transitTime), b.Updates(now.Add(transitTime), true))
		a.Tick(now)
		b.Tick(now)
	}
	require.Empty(t, a.All(now))
	require.Empty(t, b.All(now))

	// A request that keeps arriving is served again after refusalTime, and refused after the
	// next end.
	now = endServers(a, now, query, 1, 2, 3)
	lastEnd := now
	for now.Sub(lastEnd) < 59*timekeeper.Minute {
		now = now.Add(timekeeper.Minute)
		a.Tick(now)
		require.True(t, refuses(a, now, query), "after %s", now.Sub(lastEnd))
	}
	now = now.Add(2 * timekeeper.Minute)
	a.Tick(now)
	require.False(t, refuses(a, now, query))
	now = endServers(a, now, query, 4)
	require.True(t, refuses(a, now, query))
}

// All servers of a zone end at once, with sixty requests each. The size of the table
// and of the messages stays bounded, and a query of death among the requests is kept.
func TestBounds(t *testing.T) {
	q := quarantiner.New()
	now := endServers(q, start, query, 1, 2, 3)
	for s := range 100 {
		for r := range 60 {
			q.ServerEnded(now, identifier.Fingerprint(1000+60*s+r), server(100+s))
		}
	}
	require.LessOrEqual(t, len(q.Updates(now, true)), 34)
	require.LessOrEqual(t, len(q.All(now)), 256)
	require.True(t, refuses(q, now, query))
	later := now.Add(5 * timekeeper.Second)
	require.Len(t, q.Updates(later, true), 1, "old requests with one end are not repeated")
	for i := range 200 {
		f := identifier.Fingerprint(50_000 + i)
		endServers(q, now, f, 1000+3*i, 1001+3*i, 1002+3*i)
	}
	sent := map[identifier.Fingerprint]bool{}
	later = later.Add(5 * timekeeper.Second)
	for range 20 {
		later = later.Add(500)
		updates := q.Updates(later, true)
		require.LessOrEqual(t, len(updates), 34)
		for _, s := range updates {
			sent[s.Request] = true
			require.LessOrEqual(t, len(s.Ends), 8)
		}
	}
	require.Len(t, sent, 201, "all suspects are repeated in rotation")
}

// A server ends with sixty requests of one node. All of them are sent within
// updateWindow, whatever their fingerprints.
func TestAllRequestsOfAServerAreSent(t *testing.T) {
	q := quarantiner.New()
	for r := range 60 {
		q.ServerEnded(start, identifier.Fingerprint(1000+r), server(1))
	}
	sent := map[identifier.Fingerprint]bool{}
	for round := range timekeeper.Duration(4) {
		for _, s := range q.Updates(start.Add(500*round), false) {
			sent[s.Request] = true
		}
	}
	require.Len(t, sent, 60)
}

// Invalid or expired reports change nothing.
func TestMergeIgnoresInvalidReports(t *testing.T) {
	q := quarantiner.New()
	ends := []messenger.ServerEnd{
		{Server: "i-1"},
		{Server: "i-2"},
		{Server: "i-3"},
	}
	q.Merge(start, []messenger.SuspectRequest{
		{
			Ends: ends,
		},
		{
			Request: query,
			Ends:    ends,
			SeenAge: 20 * timekeeper.Minute,
		},
		{
			Request: other,
			Cleared: true,
		},
	})
	require.Empty(t, q.All(start))
}

// Refused requests are stored in the log once, and again only after a change. A node
// that starts after the loss of all nodes restores them.
func TestSnapshot(t *testing.T) {
	q := quarantiner.New()
	q.Tick(start)
	_, due, err := q.SnapshotDue(start)
	require.NoError(t, err)
	require.False(t, due, "nothing is refused")
	now := endServers(q, start, query, 1, 2, 3)
	q.Tick(now)
	data, due, err := q.SnapshotDue(now)
	require.NoError(t, err)
	require.True(t, due)
	_, due, _ = q.SnapshotDue(now)
	require.False(t, due, "an append is in flight")
	now = now.Add(2 * timekeeper.Second)
	_, due, _ = q.SnapshotDue(now)
	require.True(t, due, "the append may have been lost")
	q.SnapshotStored()
	for range 100 {
		now = now.Add(2 * timekeeper.Second)
		refuses(q, now, query)
		_, due, _ = q.SnapshotDue(now)
		require.False(t, due, "the snapshot is in the log")
	}

	restored := quarantiner.New()
	record := messenger.Record{
		Offset:   1,
		Appended: start.Add(3 * timekeeper.Second),
		Data:     data,
	}
	require.NoError(t, restored.ApplyRecords(now, []messenger.Record{record}))
	require.True(t, refuses(restored, now, query))
	late := quarantiner.New()
	require.NoError(t, late.ApplyRecords(start.Add(timekeeper.Hour), []messenger.Record{record}))
	require.False(t, refuses(late, start.Add(timekeeper.Hour), query), "the request has not arrived since")
	record.Data = []byte("[")
	require.Error(t, restored.ApplyRecords(now, []messenger.Record{record}))
	require.True(t, refuses(restored, now, query))
}
