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

// endUnder lets servers end under a request, one second after another.
func endUnder(q *quarantiner.Quarantine, now timekeeper.Time, f identifier.Fingerprint, servers ...int) timekeeper.Time {
	for _, i := range servers {
		now = now.Add(timekeeper.Second)
		q.ServerEnded(now, f, server(i))
	}
	return now
}

func ExampleQuarantine() {
	q := quarantiner.New()
	book := quarantiner.FingerprintOf("agency", 42)
	for i := range 3 {
		q.ServerEnded(start, book, server(i))
	}
	again, refused := q.Refuses(start, book)
	fmt.Println(refused, again)
	// Output: true 10m0s
}

func TestFingerprints(t *testing.T) {
	require.Zero(t, quarantiner.FingerprintOf("agency", 0), "content that is not known names nothing")
	require.NotEqual(t, quarantiner.FingerprintOf("agency", 1), quarantiner.FingerprintOf("agency", 2))
	require.NotEqual(t, quarantiner.FingerprintOf("agency", 1), quarantiner.FingerprintOf("bakery", 1),
		"what one caller asks says nothing of another")
}

// Callers whose request has met one or two servers that ended are served: two may end
// by themselves. The third makes it the likely cause.
func TestThirdServerIsOneTooMany(t *testing.T) {
	q := quarantiner.New()
	now := endUnder(q, start, query, 1, 2)
	q.ServerEnded(now, query, server(2))
	require.False(t, refuses(q, now, query), "the same server counts once")
	now = endUnder(q, now, query, 3)
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

// A request runs beside a query of death on three servers, and is sent again each time
// one ends. Its caller must not be refused for it: the query has ended others as well.
// What always runs where servers end, and no more often than the query, is not told
// apart from it.
func TestRequestThatRanBesideIsNotRefused(t *testing.T) {
	q := quarantiner.New()
	now := endUnder(q, start, query, 1, 2, 3, 4)
	for i := 2; i <= 4; i++ {
		q.ServerEnded(now, other, server(i))
	}
	require.False(t, refuses(q, now, other))
	require.True(t, refuses(q, now, query))
	now = endUnder(q, now, other, 5, 6, 7)
	require.True(t, refuses(q, now, other), "three servers ended under it without the query")
}

// A whole answer shows that a request does not end each server that runs it. Popular
// ones, such as a ping without a body, run on every server that ends.
func TestAnswerClears(t *testing.T) {
	q := quarantiner.New()
	now := endUnder(q, start, query, 1, 2)
	q.Completed(now, query)
	now = endUnder(q, now, query, 3, 4)
	require.False(t, refuses(q, now, query))
	now = endUnder(q, now, query, 5)
	require.True(t, refuses(q, now, query))
	q.Completed(now, query)
	require.False(t, refuses(q, now, query))

	peer := quarantiner.New()
	endUnder(peer, start, query, 1, 2, 3)
	peer.Merge(now, q.Updates(now, false))
	require.False(t, refuses(peer, now, query), "a peer hears that it was answered")
}

// Three nodes saw one server end each. None may send the request again once they have
// told one another.
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
		require.False(t, q.PendingUpdates(), "what a peer told needs not be told at once")
	}
}

// A node is cut off while two servers end, for longer than news is told. It hears of
// them when it is back, and so does one that hears it from a third.
func TestNewsReachesNodeThatWasCutOff(t *testing.T) {
	q, cut, third := quarantiner.New(), quarantiner.New(), quarantiner.New()
	now := endUnder(q, start, query, 1, 2, 3).Add(timekeeper.Minute)
	cut.Merge(now, q.Updates(now, false))
	require.True(t, refuses(cut, now, query))
	third.Merge(now, cut.Updates(now, false))
	require.True(t, refuses(third, now, query))
}

// A request that no longer comes is forgotten, also where nodes tell one another of it
// all the time; one that keeps coming is tried again after an hour, as servers may run
// another version by then, and at the next end is refused as before.
func TestRequestsAreForgotten(t *testing.T) {
	a, b := quarantiner.New(), quarantiner.New()
	now := endUnder(a, start, query, 1, 2, 3)
	const way = 20 * timekeeper.Millisecond
	for range 1300 {
		now = now.Add(500)
		b.Merge(now.Add(way), a.Updates(now, true))
		a.Merge(now.Add(2*way), b.Updates(now.Add(way), true))
		a.Tick(now)
		b.Tick(now)
	}
	require.Empty(t, a.All(now))
	require.Empty(t, b.All(now))

	now = endUnder(a, now, query, 1, 2, 3)
	last := now
	for now.Sub(last) < 59*timekeeper.Minute {
		now = now.Add(timekeeper.Minute)
		a.Tick(now)
		require.True(t, refuses(a, now, query), "after %s", now.Sub(last))
	}
	now = now.Add(2 * timekeeper.Minute)
	a.Tick(now)
	require.False(t, refuses(a, now, query))
	now = endUnder(a, now, query, 4)
	require.True(t, refuses(a, now, query))
}

// A zone of servers ends at once, each with sixty requests. What a node remembers and
// tells stays bounded, and a query of death among them is kept.
func TestBounds(t *testing.T) {
	q := quarantiner.New()
	now := endUnder(q, start, query, 1, 2, 3)
	for s := range 100 {
		for r := range 60 {
			q.ServerEnded(now, identifier.Fingerprint(1000+60*s+r), server(100+s))
		}
	}
	require.LessOrEqual(t, len(q.Updates(now, true)), 34)
	require.LessOrEqual(t, len(q.All(now)), 256)
	require.True(t, refuses(q, now, query))
	later := now.Add(5 * timekeeper.Second)
	require.Len(t, q.Updates(later, true), 1, "old single ends are not told again and again")
	for i := range 200 {
		f := identifier.Fingerprint(50_000 + i)
		endUnder(q, now, f, 1000+3*i, 1001+3*i, 1002+3*i)
	}
	told := map[identifier.Fingerprint]bool{}
	later = later.Add(5 * timekeeper.Second)
	for range 20 {
		later = later.Add(500)
		news := q.Updates(later, true)
		require.LessOrEqual(t, len(news), 34)
		for _, s := range news {
			told[s.Request] = true
			require.LessOrEqual(t, len(s.Ends), 8)
		}
	}
	require.Len(t, told, 201, "all that are grave have their turn")
}

// A server ends with sixty requests of one node, and the query of death that ended it
// is any of these. All of them are told within the time that news is, whatever their
// fingerprints.
func TestAllRequestsOfAServerAreTold(t *testing.T) {
	q := quarantiner.New()
	for r := range 60 {
		q.ServerEnded(start, identifier.Fingerprint(1000+r), server(1))
	}
	told := map[identifier.Fingerprint]bool{}
	for tell := range timekeeper.Duration(4) {
		for _, s := range q.Updates(start.Add(500*tell), false) {
			told[s.Request] = true
		}
	}
	require.Len(t, told, 60)
}

// Reports that can't be true, or are old, change nothing.
func TestLearnLeavesOut(t *testing.T) {
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

// The holder of the duties keeps what is refused in the log, once, and again only when
// it changes; a node that starts after a loss of all takes it from there.
func TestSnapshot(t *testing.T) {
	q := quarantiner.New()
	q.Tick(start)
	_, due, err := q.SnapshotDue(start)
	require.NoError(t, err)
	require.False(t, due, "nothing is refused")
	now := endUnder(q, start, query, 1, 2, 3)
	q.Tick(now)
	data, due, err := q.SnapshotDue(now)
	require.NoError(t, err)
	require.True(t, due)
	_, due, _ = q.SnapshotDue(now)
	require.False(t, due, "one is on its way")
	now = now.Add(2 * timekeeper.Second)
	_, due, _ = q.SnapshotDue(now)
	require.True(t, due, "that one may have been lost")
	q.SnapshotStored()
	for range 100 {
		now = now.Add(2 * timekeeper.Second)
		refuses(q, now, query)
		_, due, _ = q.SnapshotDue(now)
		require.False(t, due, "it stands")
	}

	again := quarantiner.New()
	record := messenger.Record{
		Offset:   1,
		Appended: start.Add(3 * timekeeper.Second),
		Data:     data,
	}
	require.NoError(t, again.ApplyRecords(now, []messenger.Record{record}))
	require.True(t, refuses(again, now, query))
	late := quarantiner.New()
	require.NoError(t, late.ApplyRecords(start.Add(timekeeper.Hour), []messenger.Record{record}))
	require.False(t, refuses(late, start.Add(timekeeper.Hour), query), "nobody has asked for it since")
	record.Data = []byte("[")
	require.Error(t, again.ApplyRecords(now, []messenger.Record{record}))
	require.True(t, refuses(again, now, query))
}
