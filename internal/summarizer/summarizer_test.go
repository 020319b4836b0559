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
	nodes                         = 400
)

func vm(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("entry-%03d", i)) }

// Guards against logging each event when all nodes start together: each node
// receives events of hundreds of nodes and servers within a second.
func TestStartOfManyNodes(t *testing.T) {
	s := summarizer.New()
	lines := 0
	for i := range nodes {
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
	require.Empty(t, s.Due(start.Add(second)), "the window has not ended")
	summaries := s.Due(start.Add(3 * second))
	require.Len(t, summaries, 2)
	require.Equal(t, joined, summaries[0].Kind)
	require.Equal(t, 4*nodes, lines+summaries[0].Count+summaries[1].Count, "each event is logged or counted")
	require.Len(t, summaries[0].VMs, 24)
	require.Empty(t, s.Due(start.Add(4*second)))
}

// Guards against losing the name of a server when the servers of two zones
// leave in quick succession.
func TestFewEventsAreNamed(t *testing.T) {
	s := summarizer.New()
	reported := map[identifier.VMID]bool{}
	for i := range 20 {
		if s.Admit(start.Add(timekeeper.Duration(i)*tick), ready, vm(i)) {
			reported[vm(i)] = true
		}
	}
	for _, summary := range s.Due(start.Add(5 * second)) {
		for _, name := range summary.VMs {
			reported[name] = true
		}
	}
	require.Len(t, reported, 20)
	require.True(t, s.Admit(start.Add(5*second), ready, vm(21)), "a new window has begun")
}
