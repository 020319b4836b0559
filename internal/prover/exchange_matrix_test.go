package prover

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// exchangeFault is a fault of the matrix of opaque exchanges.
type exchangeFault struct {
	name   string
	inject func(*exchangeCluster)
}

// faultTime is the duration of temporary faults.
const faultTime = 4 * timekeeper.Second

var exchangeFaults = []exchangeFault{
	{
		name:   "none",
		inject: func(*exchangeCluster) {},
	},
	{
		name:   "the holder of the duties dies",
		inject: func(cl *exchangeCluster) { cl.kill(cl.leader(), faultTime) },
	},
	{
		name:   "the holder of the duties restarts at once",
		inject: func(cl *exchangeCluster) { cl.kill(cl.leader(), 300) },
	},
	{
		name: "all nodes die",
		inject: func(cl *exchangeCluster) {
			for _, vm := range slices.Sorted(maps.Keys(cl.nodes)) {
				cl.kill(cl.nodes[vm], 500)
			}
		},
	},
	{
		name:   "the holder freezes",
		inject: func(cl *exchangeCluster) { cl.leader().frozenUntil = cl.now.Add(faultTime) },
	},
	{
		name: "the holder is cut off from its peers",
		inject: func(cl *exchangeCluster) {
			n := cl.leader()
			n.cutFromPeers = true
			cl.after(faultTime, func() { n.cutFromPeers = false })
		},
	},
	{
		name: "the holder is cut off from the store",
		inject: func(cl *exchangeCluster) {
			n := cl.leader()
			n.cutFromStore = true
			cl.after(faultTime, func() { n.cutFromStore = false })
		},
	},
	{
		name: "the store is down",
		inject: func(cl *exchangeCluster) {
			cl.storeDown = true
			cl.after(faultTime, cl.endStoreOutage)
		},
	},
	{
		name: "appends are carried out late",
		inject: func(cl *exchangeCluster) {
			cl.appendDelay = 2 * timekeeper.Second
			cl.after(faultTime, func() { cl.appendDelay = 0 })
		},
	},
	{
		name: "half of the servers leave while a node is cut off from the store",
		inject: func(cl *exchangeCluster) {
			n := cl.nodes[exchangeNode(1)]
			n.cutFromStore = true
			cl.after(faultTime, func() { n.cutFromStore = false })
			for i := range 3 {
				cl.writeEntry(exchangeServer(i), messenger.ServerLeaving)
				cl.after(2500, func() { cl.writeEntry(exchangeServer(i), messenger.ServerRemoved) })
			}
		},
	},
	{
		name: "all servers leave and start again under their ids",
		inject: func(cl *exchangeCluster) {
			for i := range 6 {
				cl.restart(exchangeServer(i))
			}
		},
	},
	{
		name: "entries of half of the servers are unreadable",
		inject: func(cl *exchangeCluster) {
			for i := range 3 {
				cl.spoilEntry(exchangeServer(i))
			}
		},
	},
	{
		name: "a change while a node is cut off from the store",
		inject: func(cl *exchangeCluster) {
			n := cl.nodes[exchangeNode(2)]
			n.cutFromStore = true
			cl.publish(cl.catalogs[len(cl.catalogs)-1].Revision + 3)
		},
	},
	{
		name: "two changes, and a node starts in between",
		inject: func(cl *exchangeCluster) {
			cl.publish(cl.catalogs[len(cl.catalogs)-1].Revision + 1)
			cl.kill(cl.nodes[exchangeNode(3)], 100)
			cl.after(200, func() { cl.publish(cl.catalogs[len(cl.catalogs)-1].Revision + 1) })
		},
	},
	serverFault(messenger.AttemptBroken),
	serverFault(messenger.AttemptTimedOut),
	serverFault(messenger.AttemptRefused),
	serverFault(messenger.AttemptNotSent),
	serverFault(messenger.AttemptFailed),
}

// serverFault makes about half of the attempts end with result for faultTime.
func serverFault(result messenger.AttemptResult) exchangeFault {
	return exchangeFault{
		name: "servers: " + string(result),
		inject: func(cl *exchangeCluster) {
			cl.serverFault = result
			cl.after(faultTime, func() { cl.serverFault = "" })
		},
	}
}

// exchangeSteps are the times at which faults are injected: during the first reads,
// around lease grants, renewals and reports, and in steady state.
var exchangeSteps = []timekeeper.Duration{
	40, 700, 1600, 2300, 3050, 4100, 5333, 6000, 7777, 9001,
}

// Guards against repeated runs, runs of refused requests, work for leaving servers, late or
// reverted settings, reused fences and differing usage reports, when faults occur at any step.
func TestMatrixOfExchanges(t *testing.T) {
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range exchangeSteps {
				second := exchangeFaults[(i*7+len(fault.name))%len(exchangeFaults)]
				for k, other := range []exchangeFault{exchangeFaults[0], second} {
					if (2*i+k)%cellStride != 0 {
						continue
					}
					cl := newExchangeCluster(t, uint64(i))
					cl.at(step, func() { fault.inject(cl) })
					cl.at(step+faultTime/2, func() { other.inject(cl) })
					cl.run()
					require.Empty(t, cl.violations, "at %d, beside %q", step, other.name)
				}
			}
		})
	}
}

// testDuringFaults tests that nothing is violated in a cluster with few nodes when a fault
// occurs before, or while, servers state something in their answers.
func testDuringFaults(t *testing.T, prepare func(*exchangeCluster)) {
	steps := []timekeeper.Duration{6500, 9001, 12_345}
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range steps {
				if i%cellStride != 0 {
					continue
				}
				cl := newSizedCluster(t, uint64(i), fewNodes)
				prepare(cl)
				cl.at(step, func() { fault.inject(cl) })
				cl.run()
				require.Empty(t, cl.violations, "at %d", step)
			}
		})
	}
}

// The checker must detect each kind of violation.
func TestControlsOfExchanges(t *testing.T) {
	tests := []struct {
		name   string
		inject func(*exchangeCluster)
		want   string
	}{
		{
			name: "a server runs what it says it refused",
			inject: func(cl *exchangeCluster) {
				cl.serverFault = messenger.AttemptRefused
				cl.ranAt["r-1"] = []identifier.VMID{"i-0"}
				for id := range 400 {
					cl.ranAt[identifier.RequestID(fmt.Sprintf("r-%d", id))] = []identifier.VMID{"i-0"}
				}
			},
			want: "ran at",
		},
		{
			name: "leaving servers are never published",
			inject: func(cl *exchangeCluster) {
				for i := range 6 {
					cl.leftAt[exchangeServer(i)] = cl.now
				}
			},
			want: "which left",
		},
		{
			name: "a node hears of no change",
			inject: func(cl *exchangeCluster) {
				n := cl.nodes[exchangeNode(2)]
				n.cutFromStore = true
				n.cutFromPeers = true
				cl.publish(9)
			},
			want: "long after",
		},
		{
			name: "two processes use one fence",
			inject: func(cl *exchangeCluster) {
				for fence := range identifier.Fence(200) {
					cl.fenceHolders[fence] = process{vm: "entry-9"}
				}
			},
			want: "used by",
		},
		{
			name: "a window is reported by counts of one's own",
			inject: func(cl *exchangeCluster) {
				for window := range identifier.UsageWindow(20) {
					cl.reports[identifier.UsageWindow(int64(exchangeStart)/2000)+window] = map[identifier.AccountID]int{"agency": 1}
				}
			},
			want: "reported as",
		},
		{
			name: "nothing is served",
			inject: func(cl *exchangeCluster) {
				for i := range 6 {
					cl.writeEntry(exchangeServer(i), messenger.ServerRemoved)
				}
			},
			want: "only",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			cl := newExchangeCluster(t, 1)
			cl.at(3500, func() { test.inject(cl) })
			cl.run()
			require.NotEmpty(t, cl.violations)
			require.Contains(t, fmt.Sprint(cl.violations), test.want)
		})
	}
}
