package reducer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// suspectNews is the users' bound for all nodes to know of the third server that ended
// under a request.
const suspectNews = 3 * timekeeper.Second

const query identifier.Fingerprint = 7

// refusing counts the nodes that refuse a request.
func (f *fleet) refusing(request identifier.Fingerprint) int {
	n := 0
	for _, id := range f.ids {
		if _, refused := f.nodes[id].quarantine.Refuses(f.now, request); refused {
			n++
		}
	}
	return n
}

// Three servers end under a request, each at another node of many. Its caller sends it
// to any node, and each has to know within the users' bound, those that relays of other
// zones tell as well, and one that was cut off meanwhile once it is back.
func TestAllNodesHearOfEnds(t *testing.T) {
	for _, nodes := range []int{6, 17, 61, 195} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			f := newFleet(nodes)
			f.run(6 * timekeeper.Second)
			cut := f.ids[nodes-1]
			f.down[cut] = true
			for i := range 3 {
				f.nodes[f.ids[i]].quarantine.ServerEnded(f.now, query, identifier.VMID(fmt.Sprintf("i-%d", i)))
			}
			f.run(suspectNews)
			require.Equal(t, nodes-1, f.refusing(query))
			f.run(3 * timekeeper.Second)
			f.down[cut] = false
			f.run(suspectNews)
			require.Equal(t, nodes, f.refusing(query))
		})
	}
}

// A zone of twenty servers ends, each with sixty requests. What nodes tell one another
// of these stays small beside what they tell anyway, and ends: 1,200 requests of which
// each relay passed on all, again and again, would be most of its link.
func TestNewsOfEndsIsBounded(t *testing.T) {
	const nodes = 61
	f := newFleet(nodes)
	f.run(6 * timekeeper.Second)
	for server := range 20 {
		for request := range 60 {
			n := f.nodes[f.ids[request%nodes]]
			n.quarantine.ServerEnded(f.now, identifier.Fingerprint(1000+60*server+request), identifier.VMID(fmt.Sprintf("i-%d", server)))
		}
	}
	most, told := 0, 0
	const span = 5 * timekeeper.Second
	for range span / fleetStep {
		f.run(fleetStep)
		for _, m := range f.mail {
			if s, ok := m.body.(messenger.StateUpdateReceived); ok {
				most = max(most, len(s.Update.Suspects))
				told += len(s.Update.Suspects)
			}
		}
	}
	require.Positive(t, most)
	require.LessOrEqual(t, most, 34)
	// Some 40 bytes each: a third of the 23 KB a second that a node may use.
	require.LessOrEqual(t, told*40/nodes/int(span/timekeeper.Second), 23_000/3)
	f.run(3 * timekeeper.Second)
	for _, m := range f.mail {
		if s, ok := m.body.(messenger.StateUpdateReceived); ok {
			require.Empty(t, s.Update.Suspects, "single ends are told for two seconds")
		}
	}
}
