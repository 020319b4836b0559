package resumer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

var (
	oldVersion = messenger.StreamOrigin{
		Service: "reader",
		Version: "v1",
	}
	newVersion = messenger.StreamOrigin{
		Service: "reader",
		Version: "v2",
	}
)

func ExampleTable() {
	node, peer := resumer.New(), resumer.New()
	stream := resumer.KeyOf("agency", "r-1")
	node.Began(start, stream, oldVersion)
	peer.Merge(start, node.Updates(start), false)
	fmt.Println(peer.Origin(stream))
	fmt.Println(peer.Origin(resumer.KeyOf("bakery", "r-1")))
	// Output:
	// {reader v1} true
	// { } false
}

// Guards against streams that are resumed at the wrong version because a caller used an id twice.
func TestIDUsedTwiceIsUnknown(t *testing.T) {
	table := resumer.New()
	table.Began(start, 1, oldVersion)
	table.Began(start, 1, oldVersion)
	_, known := table.Origin(1)
	require.True(t, known)
	table.Began(start, 1, newVersion)
	_, known = table.Origin(1)
	require.False(t, known)
	table.Merge(start, []messenger.BegunStreams{
		{
			Origin:  oldVersion,
			Streams: []identifier.StreamKey{1},
		},
	}, false)
	_, known = table.Origin(1)
	require.False(t, known, "the first of them is reported again")
}

// Guards against callers that name no stream and resume the one of another caller.
func TestNoRequestNamesNoStream(t *testing.T) {
	table := resumer.New()
	require.Zero(t, resumer.KeyOf("agency", ""))
	table.Began(start, 0, oldVersion)
	_, known := table.Origin(0)
	require.False(t, known)
}

// Guards against a table and reports that grow without a bound.
func TestTableIsBounded(t *testing.T) {
	table := resumer.New()
	const streams = 200_000
	for i := range streams {
		table.Began(start, identifier.StreamKey(i+1), oldVersion)
	}
	require.LessOrEqual(t, table.Len(), 1<<17)
	_, known := table.Origin(streams)
	require.True(t, known, "the newest are kept")
	updates := table.Updates(start)
	require.Len(t, updates, 1)
	require.LessOrEqual(t, len(updates[0].Streams), 8192)
	table.Began(start.Add(2*resumer.Retention), streams+1, oldVersion)
	require.Equal(t, 1, table.Len())
}

// Each origin is reported for two updates. A relay passes on what it received, other nodes do not.
func TestUpdates(t *testing.T) {
	table := resumer.New()
	table.Began(start, 1, oldVersion)
	received := []messenger.BegunStreams{
		{
			Origin:  newVersion,
			Streams: []identifier.StreamKey{2, 3},
		},
	}
	table.Merge(start, received, true)
	own := []messenger.BegunStreams{
		{
			Origin:  oldVersion,
			Streams: []identifier.StreamKey{1},
		},
	}
	require.Equal(t, own, table.Updates(start.Add(1000)))
	require.Equal(t, append(received, own...), table.RelayedUpdates(start.Add(500)))
	require.Equal(t, own, table.RelayedUpdates(start.Add(700)))
	require.Empty(t, table.Updates(start.Add(1200)))
	table.Merge(start.Add(1200), received, true)
	require.Empty(t, table.RelayedUpdates(start.Add(1200)), "they are known")
}

// Guards against versions that come and go until no further one is recorded.
func TestManyVersions(t *testing.T) {
	table := resumer.New()
	now := start
	for i := range 10_000 {
		now = now.Add(timekeeper.Second)
		o := messenger.StreamOrigin{
			Service: "reader",
			Version: identifier.Version(fmt.Sprint("v", i)),
		}
		table.Began(now, identifier.StreamKey(i+1), o)
		got, known := table.Origin(identifier.StreamKey(i + 1))
		require.True(t, known)
		require.Equal(t, o, got)
	}
}
