package summarizer_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/summarizer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	start  timekeeper.Time        = 1_000_000
	joined messenger.TimelineKind = "node_joined"
	ready  messenger.TimelineKind = "server_ready"
	tick   timekeeper.Duration    = 50
	second timekeeper.Duration    = timekeeper.Second
	many                          = 400
)

func vm(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("entry-%03d", i)) }

// All nodes start at once, and each hears of 400 others and of 600 servers within
// a second. An engineer who looks for one reads a few lines and two sums; were
// each a line, the nodes together would write 400,000 of them while callers come.
func TestStartOfManyNodes(t *testing.T) {
	s := summarizer.New()
	lines := 0
	for i := range many {
		if s.Admit(start.Add(timekeeper.Duration(i)), joined, vm(i)) {
			lines++
		}
		for n := range 3 {
			if s.Admit(start.Add(timekeeper.Duration(i)), ready, vm(1000+3*i+n)) {
				lines++
			}
		}
	}
	require.Less(t, lines, 30)
	require.Empty(t, s.Due(start.Add(second)), "the crowd may go on")
	sums := s.Due(start.Add(3 * second))
	require.Len(t, sums, 2)
	require.Equal(t, joined, sums[0].Kind)
	require.Equal(t, 4*many, lines+sums[0].Count+sums[1].Count, "each event is a line or counted")
	require.Len(t, sums[0].VMs, 24)
	require.Empty(t, s.Due(start.Add(4*second)))
}

// A zone of ten servers leaves, and a second one right after. Each server has its
// line, or its name in a sum, so that the server of a request that failed is found.
func TestFewEventsAreFound(t *testing.T) {
	s := summarizer.New()
	found := map[identifier.VMID]bool{}
	for i := range 20 {
		if s.Admit(start.Add(timekeeper.Duration(i)*tick), ready, vm(i)) {
			found[vm(i)] = true
		}
	}
	for _, sum := range s.Due(start.Add(5 * second)) {
		for _, name := range sum.VMs {
			found[name] = true
		}
	}
	require.Len(t, found, 20)
	require.True(t, s.Admit(start.Add(5*second), ready, vm(21)), "the next window begins anew")
}
