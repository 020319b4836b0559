package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	// removedUnseen is the time at which a server is removed and the store deletes old records.
	removedUnseen = 8 * timekeeper.Second
	// renewedBefore is the time before its removal at which a server renews its entry, which all
	// readers have read by then.
	renewedBefore = 600 * timekeeper.Millisecond
)

// deleteRecords deletes the records of all entries. The newest of each server is kept.
func (cl *exchangeCluster) deleteRecords() { cl.deletedTo = len(cl.entries) }

// Guards against requests to a server whose removal the store deleted before it was read.
func TestServerRemovedBeforeDeletionGetsNoRequests(t *testing.T) {
	for _, size := range []clusterSize{fewNodes, manyNodes(69)} {
		for _, test := range []struct {
			name string
			// removed are the servers that are removed, of which the first has just
			// renewed its entry.
			removed int
		}{
			{
				name:    "the last to write",
				removed: 1,
			},
			{
				name:    "all servers",
				removed: fewNodes.servers,
			},
		} {
			t.Run(fmt.Sprintf("%d nodes, %s", size.nodes, test.name), func(t *testing.T) {
				cl := newSizedCluster(t, 1, size)
				cl.at(removedUnseen-renewedBefore, func() { cl.writeEntry(exchangeServer(0), messenger.ServerReady) })
				cl.at(removedUnseen, func() {
					for i := range test.removed {
						cl.writeEntry(exchangeServer(i), messenger.ServerRemoved)
					}
					cl.deleteRecords()
				})
				cl.run()
				require.Empty(t, cl.violations)
			})
		}
	}
}
