package prover

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/reducer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// maxCutShare is the share of the nodes that may be cut off from the store at once.
const maxCutShare = 0.35

// cutFollowers cuts the nodes of high capacity, and those that now read records, off from the store,
// up to maxCutShare of all.
func (cl *exchangeCluster) cutFollowers(reads func(reducer.Following) bool) {
	left := int(maxCutShare * float64(cl.size.nodes))
	for i := range cl.size.nodes {
		n := cl.nodes[exchangeNode(i)]
		if left > 0 && (i < cl.size.strong || reads(n.r.Following(cl.now))) {
			n.cutFromStore = true
			left--
		}
	}
}

// readerClusters are the clusters in which the readers of records are cut off from the store.
func readerClusters() []clusterSize {
	var sizes []clusterSize
	for _, size := range []struct{ nodes, strong int }{
		{
			nodes: 6,
		},
		{
			nodes: 12,
		},
		{
			nodes: 69,
		},
		{
			nodes: 300,
		},
		{
			nodes:  69,
			strong: 8,
		},
		{
			nodes:  300,
			strong: 18,
		},
	} {
		if cellStride > 1 && size.nodes > 12 {
			continue
		}
		sizes = append(sizes, clusterSize{
			nodes:           size.nodes,
			strong:          size.strong,
			servers:         6,
			requestInterval: exchangeInterval,
			tokensPerSecond: 1e6,
			nodesListed:     true,
		})
	}
	return sizes
}

// String names a cluster in the results of tests.
func (s clusterSize) String() string {
	if s.strong == 0 {
		return fmt.Sprintf("%d nodes", s.nodes)
	}
	return fmt.Sprintf("%d nodes, %d strong", s.nodes, s.strong)
}

// Guards against nodes that miss a configuration since those that read it for them are cut off.
func TestConfigurationIsInForceWithoutItsReaders(t *testing.T) {
	for _, size := range readerClusters() {
		t.Run(size.String(), func(t *testing.T) {
			cl := newSizedCluster(t, 1, size)
			cut := exchangeStart
			for round := range 4 {
				at := timekeeper.Duration(7000 + 4100*round)
				cl.at(at, func() {
					cl.cutFollowers(func(f reducer.Following) bool { return f.Configuration })
					cut = cl.now
				})
				cl.at(at+200, func() { cl.publish(cl.catalogs[len(cl.catalogs)-1].Revision + 1) })
				cl.at(at+200+maxRevisionDelay, func() {
					published := cl.catalogs[len(cl.catalogs)-1].Revision
					for _, n := range cl.nodes {
						if n.alive && !n.cutFromStore && n.revision < published {
							cl.violatef("%s has revision %d %d ms after its readers were cut off", n.vm, n.revision, cl.now.Sub(cut))
						}
						n.cutFromStore = false
					}
				})
			}
			cl.run()
			require.Empty(t, cl.violations)
		})
	}
}

// Guards against requests to a leaving server since the nodes that read its entry are cut off.
func TestLeavingServerIsKnownWithoutItsReaders(t *testing.T) {
	for _, size := range readerClusters() {
		t.Run(size.String(), func(t *testing.T) {
			size.requestInterval = 2
			cl := newSizedCluster(t, 1, size)
			cl.overlapping = true
			cl.at(0, cl.recordDisturbances)
			for round := range 4 {
				// The rounds begin in different phases of the reads.
				at := timekeeper.Duration(7000 + 4130*round)
				cl.at(at, func() {
					cl.cutFollowers(func(f reducer.Following) bool { return f.Servers })
				})
				cl.at(at+100, func() { cl.writeEntry(exchangeServer(round), messenger.ServerLeaving) })
				cl.at(at+3000, func() {
					for _, n := range cl.nodes {
						n.cutFromStore = false
					}
				})
			}
			cl.run()
			require.Empty(t, cl.violations)
		})
	}
}

// Guards against nodes that miss a configuration since the relays of their zones are silent.
func TestConfigurationIsInForceWithoutRelays(t *testing.T) {
	for _, test := range []struct {
		nodes, strong, zones int
		// bound is the time within which a cluster of this size has to apply a configuration.
		bound timekeeper.Duration
	}{
		{
			nodes:  69,
			strong: 8,
			zones:  4,
			bound:  3 * timekeeper.Second,
		},
		{
			nodes:  300,
			strong: 18,
			zones:  6,
			bound:  4 * timekeeper.Second,
		},
	} {
		if test.nodes > maxNodes {
			continue
		}
		t.Run(fmt.Sprintf("%d nodes", test.nodes), func(t *testing.T) {
			cl := newSizedCluster(t, 1, clusterSize{
				nodes:           test.nodes,
				strong:          test.strong,
				zones:           test.zones,
				servers:         6,
				requestInterval: exchangeInterval,
				tokensPerSecond: 1e6,
				nodesListed:     true,
			})
			for round := range 2 {
				at := timekeeper.Duration(7000 + 8100*round)
				cl.at(at, func() {
					for i := range test.strong {
						cl.nodes[exchangeNode(i)].frozenUntil = cl.now.Add(5 * timekeeper.Second)
					}
				})
				cl.at(at+200, func() { cl.publish(cl.catalogs[len(cl.catalogs)-1].Revision + 1) })
				cl.at(at+200+test.bound, func() {
					for _, n := range cl.nodes {
						if cl.now.After(n.frozenUntil) && n.revision < cl.catalogs[len(cl.catalogs)-1].Revision {
							cl.violatef("%s has revision %d %d ms after a change", n.vm, n.revision, test.bound)
						}
					}
				})
			}
			cl.run()
			require.Empty(t, cl.violations)
		})
	}
}

// Guards against leader tasks that nobody runs since all nodes that may hold the lease are cut off.
func TestLeaderTasksGoOnWithoutCandidates(t *testing.T) {
	const (
		window  = 5 * timekeeper.Second
		late    = 10 * timekeeper.Second
		cutFrom = 6 * timekeeper.Second
		cutTo   = 18 * timekeeper.Second
	)
	for _, size := range readerClusters() {
		if size.nodes > 69 {
			continue
		}
		t.Run(size.String(), func(t *testing.T) {
			size.usageWindow = window
			size.usageLate = late
			cl := newSizedCluster(t, 1, size)
			cl.at(cutFrom, func() {
				for _, n := range cl.nodes {
					n.cutFromStore = len(n.r.Streams()) > 0
				}
			})
			// The first window ended before the cut and is due during it.
			cl.at(window+late, func() {
				first := identifier.UsageWindow(int64(exchangeStart) / int64(window))
				if _, reported := cl.reports[first]; !reported {
					cl.violatef("window %d is not reported in time", first)
				}
			})
			cl.at(cutTo, func() {
				var followers int
				for _, n := range cl.nodes {
					if !n.cutFromStore && len(n.r.Streams()) > 0 {
						followers++
					}
					n.cutFromStore = false
				}
				if followers != 1 {
					cl.violatef("%d nodes follow the lease, which one of them holds", followers)
				}
			})
			cl.run()
			require.Empty(t, cl.violations)
		})
	}
}
