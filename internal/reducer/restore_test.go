package reducer_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/conductor"
	"github.com/dotterelhollow/dotterelhollow/internal/folderreader"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Guards against a configuration that stays lost after its records have expired from the log, and
// against a restore that replaces a complete configuration.
func TestRestoreOfLostConfiguration(t *testing.T) {
	files, err := folderreader.ReadDir("../../examples/quillmark")
	require.NoError(t, err)
	r := reducer.New(reducer.Config{
		Self:       "entry-1",
		Zone:       "boston-a",
		Partitions: 1,
		Safeguards: conductor.AllSafeguards(),
	})
	restore := func(ticket identifier.Ticket) []messenger.Effect {
		return r.Apply(messenger.Event{
			At: 1000,
			Body: messenger.ChangeProposed{
				Ticket:  ticket,
				Restore: files,
			},
		})
	}
	read := func(records ...messenger.Record) []messenger.Effect {
		return r.Apply(messenger.Event{
			At: 1000,
			Body: messenger.LogRead{
				Stream:  "config",
				First:   42,
				Records: records,
				End:     true,
			},
		})
	}
	read()
	require.Error(t, r.View(1000).Fault)
	record, ok := restore(1)[0].(messenger.AppendRecord)
	require.True(t, ok)
	read(messenger.Record{
		Offset:   42,
		Appended: 1000,
		Data:     record.Data,
	})
	require.NoError(t, r.View(1000).Fault)
	require.EqualValues(t, 42, r.View(1000).Revision)
	require.Contains(t, r.Catalog().Zones, identifier.Zone("boston-a"))

	reply, ok := restore(2)[0].(messenger.ReplyOperator)
	require.True(t, ok)
	require.False(t, reply.Verdict.Accepted)
	require.Contains(t, reply.Verdict.Faults[0], "configuration is whole")
}
