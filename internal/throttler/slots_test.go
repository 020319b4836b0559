package throttler_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// report returns a node's report of its requests at i-1.
func report(node identifier.VMID, sequence uint64, running int, received uint64) messenger.SlotReport {
	return messenger.SlotReport{
		From:     node,
		Sequence: sequence,
		Uses: []messenger.SlotUse{
			{
				Server:   "i-1",
				Running:  running,
				Received: received,
			},
		},
	}
}

// A slot must count from its grant to the end of its request, whichever messages overtake others.
func TestSlotsInUse(t *testing.T) {
	const begin timekeeper.Time = 1_000_000
	for _, test := range []struct {
		name string
		do   func(s *throttler.Slots)
		at   timekeeper.Duration
		want int
	}{
		{
			name: "requests from before",
			do:   func(s *throttler.Slots) { s.Report(begin, report("entry-1", 1, 3, 40)) },
			want: 3,
		},
		{
			name: "granted slots that have not arrived",
			do: func(s *throttler.Slots) {
				s.Report(begin, report("entry-1", 1, 0, 0))
				s.Grant(begin, "i-1", "entry-1")
				s.Report(begin, report("entry-1", 2, 0, 0))
				s.Grant(begin, "i-1", "entry-1")
				s.Report(begin, report("entry-1", 3, 1, 1))
			},
			want: 2,
		},
		{
			name: "a granted slot that was lost",
			do: func(s *throttler.Slots) {
				s.Report(begin, report("entry-1", 1, 0, 0))
				s.Grant(begin, "i-1", "entry-1")
			},
			at:   600,
			want: 0,
		},
		{
			name: "a report that was overtaken",
			do: func(s *throttler.Slots) {
				s.Report(begin, report("entry-1", 2, 0, 1))
				s.Report(begin, report("entry-1", 1, 1, 1))
			},
			want: 0,
		},
		{
			name: "a node that has restarted",
			do: func(s *throttler.Slots) {
				s.Report(begin, report("entry-1", 1, 9, 50))
				s.Grant(begin, "i-1", "entry-1")
				s.Report(begin, report("entry-1", 2, 1, 1))
			},
			want: 1,
		},
		{
			name: "slots that another node granted meanwhile",
			do: func(s *throttler.Slots) {
				s.Report(begin, report("entry-1", 1, 0, 0))
				s.Report(begin, report("entry-1", 2, 4, 4))
				s.Grant(begin, "i-1", "entry-1")
			},
			want: 5,
		},
		{
			name: "several nodes",
			do: func(s *throttler.Slots) {
				s.Report(begin, report("entry-1", 1, 2, 2))
				s.Report(begin, report("entry-2", 1, 3, 3))
			},
			want: 5,
		},
		{
			name: "a node that reports no more",
			do:   func(s *throttler.Slots) { s.Report(begin, report("entry-1", 1, 2, 2)) },
			at:   2100,
			want: 0,
		},
		{
			name: "a grant without a report",
			do:   func(s *throttler.Slots) { s.Grant(begin, "i-1", "entry-1") },
			want: 0,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := throttler.NewSlots()
			test.do(s)
			require.Equal(t, test.want, s.InUse(begin.Add(test.at), "i-1"))
			s.Tick(begin.Add(test.at))
			require.Equal(t, test.want, s.InUse(begin.Add(test.at), "i-1"))
			s.Forget("i-1")
			require.Zero(t, s.InUse(begin.Add(test.at), "i-1"))
		})
	}
}
