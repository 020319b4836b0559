package historian

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func line(self identifier.VMID, now timekeeper.Time, capacity int) *Historian {
	return New(Config{
		Self:     self,
		Clock:    timekeeper.NewManual(now),
		Capacity: capacity,
	})
}

func kinds(entries []Entry) []messenger.TimelineKind {
	var ks []messenger.TimelineKind
	for _, e := range entries {
		ks = append(ks, e.Kind)
	}
	return ks
}

// An operator reads the merged time line of two nodes whose wall clocks differ
// by 30 s. The slow node acts on a message of the fast one, and the fast one on
// the slow one's answer. By wall time alone the effect would stand before its
// cause.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	fast := line("fast", 40_000, 8)
	slow := line("slow", 10_000, 8)

	fast.Record(messenger.TimelineEntry{Kind: "sent"})
	slow.Observe(fast.Stamp())
	slow.Record(messenger.TimelineEntry{Kind: "received"})
	fast.Observe(slow.Stamp())
	fast.Record(messenger.TimelineEntry{Kind: "answered"})

	merged := Merge([][]Entry{fast.Entries(Filter{}), slow.Entries(Filter{}), slow.Entries(Filter{})})
	require.Equal(t, []messenger.TimelineKind{"sent", "received", "answered"}, kinds(merged))
}

// One VM's wall clock stands a day ahead. Its stamps must not drag the clocks
// of its peers along.
func TestObserveLeavesOutStampsFarAhead(t *testing.T) {
	h := line("a", 1000, 8)
	h.Observe(Stamp{
		Time: 1000 + timekeeper.Time(24*timekeeper.Hour),
		VM:   "wrong",
	})
	require.Equal(t, timekeeper.Time(1000), h.Stamp().Time)
	require.Equal(t, uint64(1), h.Counts().Ahead)
}

func TestRingDropsOldest(t *testing.T) {
	h := line("a", 1000, 2)
	for _, k := range []messenger.TimelineKind{"one", "two", "three"} {
		h.Record(messenger.TimelineEntry{Kind: k})
	}
	require.Equal(t, []messenger.TimelineKind{"two", "three"}, kinds(h.Entries(Filter{})))
	require.Equal(t, uint64(1), h.Counts().Dropped)
}

func TestFilter(t *testing.T) {
	h := line("node", 1000, 8)
	first := h.Record(messenger.TimelineEntry{
		Kind:    "sent",
		Request: "r1",
		VM:      "server",
	})
	h.Record(messenger.TimelineEntry{
		Kind:    "done",
		Request: "r2",
	})
	tests := []struct {
		name   string
		filter Filter
		want   []messenger.TimelineKind
	}{
		{
			name:   "all",
			filter: Filter{},
			want:   []messenger.TimelineKind{"sent", "done"},
		},
		{
			name:   "request",
			filter: Filter{Request: "r2"},
			want:   []messenger.TimelineKind{"done"},
		},
		{
			name:   "subject",
			filter: Filter{VM: "server"},
			want:   []messenger.TimelineKind{"sent"},
		},
		{
			name:   "witness",
			filter: Filter{VM: "node"},
			want:   []messenger.TimelineKind{"sent", "done"},
		},
		{
			name:   "kind",
			filter: Filter{Kind: "done"},
			want:   []messenger.TimelineKind{"done"},
		},
		{
			name:   "after",
			filter: Filter{After: first.Stamp},
			want:   []messenger.TimelineKind{"done"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			require.Equal(t, test.want, kinds(h.Entries(test.filter)))
		})
	}
}

func TestEntryJSON(t *testing.T) {
	e := line("node", 1000, 1).Record(messenger.TimelineEntry{
		Kind:    "sent",
		Request: "r1",
		Attempt: 2,
		VM:      "server",
	})
	text, err := json.Marshal(e)
	require.NoError(t, err)
	require.JSONEq(t, `{"stamp":{"time_ms":1000,"count":0,"node":"node"},"kind":"sent","request":"r1","attempt":2,"vm":"server"}`, string(text))
	var back Entry
	require.NoError(t, json.Unmarshal(text, &back))
	require.Equal(t, e, back)
}
