package historian

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func newTimeline(self identifier.VMID, now timekeeper.Time, capacity int) *Historian {
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

// The wall clocks of two nodes differ by 30 s. Sorted by wall time alone, an
// effect on the slow node would precede its cause on the fast one.
func TestMergeKeepsCauseBeforeEffect(t *testing.T) {
	fast := newTimeline("fast", 40_000, 8)
	slow := newTimeline("slow", 10_000, 8)

	fast.Record(messenger.TimelineEntry{Kind: "sent"})
	slow.Observe(fast.Stamp())
	slow.Record(messenger.TimelineEntry{Kind: "received"})
	fast.Observe(slow.Stamp())
	fast.Record(messenger.TimelineEntry{Kind: "answered"})

	merged := Merge([][]Entry{fast.Entries(Filter{}), slow.Entries(Filter{}), slow.Entries(Filter{})})
	require.Equal(t, []messenger.TimelineKind{"sent", "received", "answered"}, kinds(merged))
}

// A VM whose wall clock is a day ahead must not advance the clocks of its peers.
func TestObserveIgnoresStampsFarAhead(t *testing.T) {
	h := newTimeline("a", 1000, 8)
	h.Observe(Stamp{
		Time: 1000 + timekeeper.Time(24*timekeeper.Hour),
		VM:   "wrong",
	})
	require.Equal(t, timekeeper.Time(1000), h.Stamp().Time)
	require.Equal(t, uint64(1), h.Counts().RejectedStamps)
}

func TestRingDropsOldest(t *testing.T) {
	h := newTimeline("a", 1000, 2)
	for _, k := range []messenger.TimelineKind{"one", "two", "three"} {
		h.Record(messenger.TimelineEntry{Kind: k})
	}
	require.Equal(t, []messenger.TimelineKind{"two", "three"}, kinds(h.Entries(Filter{})))
	require.Equal(t, uint64(1), h.Counts().DroppedEntries)
}

func TestFilter(t *testing.T) {
	h := newTimeline("node", 1000, 8)
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
	e := newTimeline("node", 1000, 1).Record(messenger.TimelineEntry{
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
