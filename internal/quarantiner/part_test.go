package quarantiner_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	badPart     identifier.Fingerprint = 100
	popularPart identifier.Fingerprint = 200
	otherPart   identifier.Fingerprint = 300
)

// newRunning returns a table that has run for a minute, and the time.
func newRunning() (*quarantiner.Quarantine, timekeeper.Time) {
	q := quarantiner.New()
	q.Tick(start)
	now := start.Add(timekeeper.Minute)
	q.Tick(now)
	return q, now
}

// crashServers has count servers end under requests with the given parts, no two alike, one each
// 200 ms, and returns the time of the last.
func crashServers(q *quarantiner.Quarantine, now timekeeper.Time, count int, parts ...identifier.Fingerprint) timekeeper.Time {
	for i := range count {
		now = now.Add(200)
		request := identifier.Fingerprint(uint64(now) << 8)
		q.ServerEnded(now, request, server(int(now)%100_000+i), parts...)
	}
	return now
}

func refusesPart(q *quarantiner.Quarantine, now timekeeper.Time, parts ...identifier.Fingerprint) bool {
	_, refused := q.Refuses(now, 0, parts...)
	return refused
}

// Guards against requests with a common part that crash one server after the other.
func TestPartIsRefused(t *testing.T) {
	q, now := newRunning()
	now = crashServers(q, now, 4, badPart)
	require.False(t, refusesPart(q, now, badPart))
	now = crashServers(q, now, 1, badPart)
	require.True(t, refusesPart(q, now, otherPart, badPart))
	require.False(t, refusesPart(q, now, otherPart))
	changes := q.Changes()
	require.Len(t, changes, 1)
	require.True(t, changes[0].Part)
}

// Guards against refusals of nearly all requests for a part that they share with crashing ones.
func TestPopularPartIsServed(t *testing.T) {
	q, now := newRunning()
	q.Completed(now, 1, popularPart)
	now = crashServers(q, now, 8, popularPart, badPart)
	require.True(t, refusesPart(q, now, badPart))
	now = now.Add(10 * timekeeper.Second)
	q.Tick(now)
	require.False(t, refusesPart(q, now, popularPart))
}

// Guards against a part that crashes servers from some time on and counts as proven for ever.
func TestPartWithEarlierCompletionsIsRefused(t *testing.T) {
	q, now := newRunning()
	q.Completed(now, 1, badPart)
	require.False(t, refusesPart(q, crashServers(q, now, 5, badPart), badPart))
	now = crashServers(q, now.Add(1000), 3, badPart)
	require.True(t, refusesPart(q, now, badPart))
}

// Guards against refusals of a part that is on many servers of an availability zone that ends.
func TestServersThatEndTogetherProveNothing(t *testing.T) {
	q, now := newRunning()
	for i := range 20 {
		q.ServerEnded(now.Add(timekeeper.Duration(10*i)), identifier.Fingerprint(i+1), server(i), badPart)
	}
	require.False(t, refusesPart(q, now.Add(timekeeper.Second), badPart))
}

// Guards against refusals of a part that is on few of the servers that end for other reasons.
func TestPartOnFewEndedServersIsServed(t *testing.T) {
	q, now := newRunning()
	for range 5 {
		now = crashServers(q, now, 1, otherPart)
		now = crashServers(q, now, 4)
	}
	require.False(t, refusesPart(q, now, otherPart))
}

// Guards against refusals of requests that were on the servers which a part crashed.
func TestRequestsBesideCrashingPartAreServed(t *testing.T) {
	q, now := newRunning()
	for i := range 5 {
		now = now.Add(200)
		q.ServerEnded(now, identifier.Fingerprint(1000+i), server(i), badPart)
		if i < 3 {
			q.ServerEnded(now, other, server(i))
		}
	}
	require.True(t, refusesPart(q, now, badPart))
	require.False(t, refuses(q, now, other))
}

// Guards against nodes that have just started and take each part for one without an answer.
func TestStartedNodeRequiresMoreEnds(t *testing.T) {
	q := quarantiner.New()
	q.Tick(start)
	now := crashServers(q, start, 5, popularPart)
	require.False(t, refusesPart(q, now, popularPart))
	now = crashServers(q, now, 1, popularPart)
	require.True(t, refusesPart(q, now, popularPart))
}

// Guards against peers that refuse a part with which another node got complete answers.
func TestPeersReceiveCompletionsOfParts(t *testing.T) {
	q, now := newRunning()
	peer, _ := newRunning()
	last := crashServers(q, now, 6, popularPart)
	peer.Completed(last.Add(1), 1, popularPart)
	peer.Merge(last.Add(2), q.Updates(last.Add(2), false))
	require.False(t, refusesPart(peer, last.Add(2), popularPart))
	require.True(t, refusesPart(q, last.Add(2), popularPart))
	q.Merge(last.Add(3), peer.Updates(last.Add(3), false))
	require.False(t, refusesPart(q, last.Add(3), popularPart))
}

// A part that is refused must still be after the loss of all nodes.
func TestRefusedPartIsRestored(t *testing.T) {
	q, now := newRunning()
	now = crashServers(q, now, 6, badPart)
	q.Tick(now.Add(1000))
	data, due, err := q.SnapshotDue(now.Add(1000))
	require.NoError(t, err)
	require.True(t, due)
	restored := quarantiner.New()
	require.NoError(t, restored.ApplyRecords(now.Add(2000), []messenger.Record{
		{
			Offset:   1,
			Appended: now.Add(1000),
			Data:     data,
		},
	}))
	require.True(t, refusesPart(restored, now.Add(2000), badPart))
}

// Guards against a sound part that stays refused as it was always beside a crashing one.
func TestTiedPartIsReleasedByTrial(t *testing.T) {
	q, now := newRunning()
	now = crashServers(q, now, 5, badPart, otherPart)
	require.True(t, refusesPart(q, now, badPart))
	require.True(t, refusesPart(q, now, otherPart))
	now = now.Add(6 * timekeeper.Second)
	require.False(t, q.TakeTrial(now, 0, otherPart), "another node takes them")
	q.SetTrials(true)
	require.False(t, q.TakeTrial(now, 0, badPart, otherPart), "both are refused")
	require.True(t, q.TakeTrial(now, 0, otherPart))
	require.False(t, q.TakeTrial(now, 0, otherPart), "one at a time")
	q.Completed(now.Add(100), 1, otherPart)
	require.False(t, refusesPart(q, now.Add(100), otherPart))
	require.True(t, refusesPart(q, now.Add(100), badPart))

	q, now = newRunning()
	q.SetTrials(true)
	now = crashServers(q, now, 5, badPart, otherPart)
	now = now.Add(6 * timekeeper.Second)
	require.True(t, q.TakeTrial(now, 0, badPart))
	now = crashServers(q, now, 1, badPart)
	require.False(t, refusesPart(q, now, otherPart), "the other one ended a server alone")
	require.True(t, refusesPart(q, now, badPart))
	require.False(t, q.TakeTrial(now.Add(timekeeper.Minute), 0, badPart))
}
