package resumer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

var (
	saved = messenger.StreamOrigin{
		Service: "reader",
		Version: "v1",
	}
	unmixed = messenger.StreamOrigin{
		Service: "portal",
		Version: "v1",
	}
	mixedServices = map[identifier.ServiceName]bool{"reader": true}
)

// requireRecord returns the record that is due.
func requireRecord(t *testing.T, table *resumer.Table, now timekeeper.Time) messenger.Record {
	data, due, err := table.RecordDue(now)
	require.NoError(t, err)
	require.True(t, due)
	return messenger.Record{
		Appended: now,
		Data:     data,
	}
}

func requireNoRecord(t *testing.T, table *resumer.Table, now timekeeper.Time) {
	_, due, err := table.RecordDue(now)
	require.NoError(t, err)
	require.False(t, due)
}

func TestSavedOriginsAreRead(t *testing.T) {
	table := resumer.New()
	table.Began(start, 1, saved)
	table.Began(start, 2, unmixed)
	requireNoRecord(t, table, start)
	table.SaveServices(mixedServices)
	first := requireRecord(t, table, start.Add(1000))
	table.RecordEnded(true)
	table.Merge(start.Add(1010), []messenger.BegunStreams{
		{
			Origin:  saved,
			Streams: []identifier.StreamKey{3},
		},
	}, false)
	requireNoRecord(t, table, start.Add(1020))
	second := requireRecord(t, table, start.Add(1200))

	restarted := resumer.New()
	restarted.SaveServices(mixedServices)
	require.NoError(t, restarted.ApplyRecords(start.Add(2000), []messenger.Record{
		first,
		second,
	}))
	for _, stream := range []identifier.StreamKey{1, 3} {
		origin, known := restarted.Origin(stream)
		require.True(t, known)
		require.Equal(t, saved, origin)
	}
	_, known := restarted.Origin(2)
	require.False(t, known, "a service with one version")
	requireNoRecord(t, restarted, start.Add(3000))
}

// Guards against origins that are lost because an append failed or had no result.
func TestOriginsOfFailedAppendAreSavedAgain(t *testing.T) {
	for _, reported := range []bool{true, false} {
		table := resumer.New()
		table.SaveServices(mixedServices)
		table.Began(start, 1, saved)
		first := requireRecord(t, table, start.Add(1000))
		requireNoRecord(t, table, start.Add(2000))
		if reported {
			table.RecordEnded(false)
		}
		require.Equal(t, first.Data, requireRecord(t, table, start.Add(7000)).Data)
	}
}

// Guards against origins that nobody saves when the node that does so ends.
func TestRecentOriginsAreKeptForTakeover(t *testing.T) {
	table := resumer.New()
	table.SaveServices(mixedServices)
	table.Began(start, 1, saved)
	table.Began(start.Add(8000), 2, saved)
	table.Relinquish(start.Add(9000))
	restarted := resumer.New()
	require.NoError(t, restarted.ApplyRecords(start.Add(9000), []messenger.Record{requireRecord(t, table, start.Add(9000))}))
	_, known := restarted.Origin(1)
	require.False(t, known)
	_, known = restarted.Origin(2)
	require.True(t, known)
}

// Guards against a record of another writer that hides the others, and old ones that take memory.
func TestUnreadableAndOldRecordsAreLeftOut(t *testing.T) {
	table := resumer.New()
	now := start.Add(10 * resumer.Retention)
	good := []byte(`{"origins":[{"service":"reader","version":"v1","streams":[7]}]}`)
	old := []byte(`{"origins":[{"service":"reader","version":"v1","streams":[8]}]}`)
	var failed *resumer.RecordError
	require.ErrorAs(t, table.ApplyRecords(now, []messenger.Record{
		{
			Appended: start,
			Data:     old,
		},
		{
			Appended: now,
			Data:     []byte("{"),
		},
		{
			Appended: now,
			Data:     good,
		},
	}), &failed)
	require.Equal(t, 1, table.Len())
	_, known := table.Origin(7)
	require.True(t, known)
}

// Guards against memory that grows with the length of an outage of the log.
func TestUnsavedOriginsAreForgottenWithTheirStreams(t *testing.T) {
	table := resumer.New()
	table.SaveServices(mixedServices)
	table.Began(start, 1, saved)
	requireNoRecord(t, table, start.Add(resumer.Retention+1))
}
