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

// exchangeFault is a fault of the matrix.
type exchangeFault struct {
	name   string
	strike func(*exchangeWorld)
}

// lasting is how long faults that pass last.
const lasting = 4 * timekeeper.Second

var exchangeFaults = []exchangeFault{
	{
		name:   "none",
		strike: func(*exchangeWorld) {},
	},
	{
		name:   "the holder of the duties dies",
		strike: func(w *exchangeWorld) { w.kill(w.holder(), lasting) },
	},
	{
		name:   "the holder of the duties restarts at once",
		strike: func(w *exchangeWorld) { w.kill(w.holder(), 300) },
	},
	{
		name: "all nodes die",
		strike: func(w *exchangeWorld) {
			for _, vm := range slices.Sorted(maps.Keys(w.nodes)) {
				w.kill(w.nodes[vm], 500)
			}
		},
	},
	{
		name:   "the holder freezes",
		strike: func(w *exchangeWorld) { w.holder().frozen = w.now.Add(lasting) },
	},
	{
		name: "the holder is cut off from its peers",
		strike: func(w *exchangeWorld) {
			n := w.holder()
			n.cut = true
			w.after(lasting, func() { n.cut = false })
		},
	},
	{
		name: "the holder is cut off from the store",
		strike: func(w *exchangeWorld) {
			n := w.holder()
			n.offStore = true
			w.after(lasting, func() { n.offStore = false })
		},
	},
	{
		name: "the store is down",
		strike: func(w *exchangeWorld) {
			w.storeDown = true
			w.after(lasting, w.storeBack)
		},
	},
	{
		name: "appends are carried out late",
		strike: func(w *exchangeWorld) {
			w.lateWrite = 2 * timekeeper.Second
			w.after(lasting, func() { w.lateWrite = 0 })
		},
	},
	{
		name: "half of the servers leave while a node is cut off from the store",
		strike: func(w *exchangeWorld) {
			n := w.nodes[exchangeNode(1)]
			n.offStore = true
			w.after(lasting, func() { n.offStore = false })
			for i := range 3 {
				w.enter(exchangeServer(i), messenger.ServerLeaving)
				w.after(2500, func() { w.enter(exchangeServer(i), messenger.ServerRemoved) })
			}
		},
	},
	{
		name: "all servers leave and start again under their ids",
		strike: func(w *exchangeWorld) {
			for i := range 6 {
				w.restart(exchangeServer(i))
			}
		},
	},
	{
		name: "a change while a node is cut off from the store",
		strike: func(w *exchangeWorld) {
			n := w.nodes[exchangeNode(2)]
			n.offStore = true
			w.publish(w.catalogs[len(w.catalogs)-1].Revision + 3)
		},
	},
	{
		name: "two changes, and a node starts in between",
		strike: func(w *exchangeWorld) {
			w.publish(w.catalogs[len(w.catalogs)-1].Revision + 1)
			w.kill(w.nodes[exchangeNode(3)], 100)
			w.after(200, func() { w.publish(w.catalogs[len(w.catalogs)-1].Revision + 1) })
		},
	},
	serverFault(messenger.AttemptBroken),
	serverFault(messenger.AttemptTimedOut),
	serverFault(messenger.AttemptRefused),
	serverFault(messenger.AttemptNotSent),
	serverFault(messenger.AttemptFailed),
}

// serverFault makes every other attempt end so for a while.
func serverFault(result messenger.AttemptResult) exchangeFault {
	return exchangeFault{
		name: "servers: " + string(result),
		strike: func(w *exchangeWorld) {
			w.serverFault = result
			w.after(lasting, func() { w.serverFault = "" })
		},
	}
}

// exchangeSteps are the instants at which faults strike: among the first reads,
// around grants, renewals and reports, and in steady state.
var exchangeSteps = []timekeeper.Duration{
	40, 700, 1600, 2300, 3050, 4100, 5333, 6000, 7777, 9001,
}

// Each fault strikes at each step, and a second one strikes beside it. Callers
// and servers, the cloud and the operators must see no promise broken: a request
// that may run once runs once, what was refused has not run and never will, a
// leaving server gets no new work, a configuration is in force soon and never
// goes back, no fence serves two processes, and no window is reported twice with
// different counts.
func TestMatrixOfExchanges(t *testing.T) {
	for _, fault := range exchangeFaults {
		t.Run(fault.name, func(t *testing.T) {
			for i, step := range exchangeSteps {
				second := exchangeFaults[(i*7+len(fault.name))%len(exchangeFaults)]
				for k, beside := range []exchangeFault{exchangeFaults[0], second} {
					if (2*i+k)%playEvery != 0 {
						continue
					}
					w := newExchangeWorld(t, uint64(i))
					w.at(step, func() { fault.strike(w) })
					w.at(step+lasting/2, func() { beside.strike(w) })
					w.run()
					require.Empty(t, w.faults, "at %d, beside %q", step, beside.name)
				}
			}
		})
	}
}

// The checker objects to what must not be, so that its silence means something.
func TestControlsOfExchanges(t *testing.T) {
	tests := []struct {
		name   string
		strike func(*exchangeWorld)
		want   string
	}{
		{
			name: "a server runs what it says it refused",
			strike: func(w *exchangeWorld) {
				w.serverFault = messenger.AttemptRefused
				w.ran["r-1"] = []identifier.VMID{"i-0"}
				for id := range 400 {
					w.ran[identifier.RequestID(fmt.Sprintf("r-%d", id))] = []identifier.VMID{"i-0"}
				}
			},
			want: "ran at",
		},
		{
			name: "leaving servers are never published",
			strike: func(w *exchangeWorld) {
				for i := range 6 {
					w.left[exchangeServer(i)] = w.now
				}
			},
			want: "which left",
		},
		{
			name: "a node hears of no change",
			strike: func(w *exchangeWorld) {
				n := w.nodes[exchangeNode(2)]
				n.offStore = true
				n.cut = true
				w.publish(9)
			},
			want: "long after",
		},
		{
			name: "two processes use one fence",
			strike: func(w *exchangeWorld) {
				for fence := range identifier.Fence(200) {
					w.holders[fence] = process{vm: "entry-9"}
				}
			},
			want: "used by",
		},
		{
			name: "a window is reported by counts of one's own",
			strike: func(w *exchangeWorld) {
				for window := range identifier.UsageWindow(20) {
					w.reports[identifier.UsageWindow(int64(exchangeStart)/2000)+window] = map[identifier.AccountID]int{"agency": 1}
				}
			},
			want: "reported as",
		},
		{
			name: "nothing is served",
			strike: func(w *exchangeWorld) {
				for i := range 6 {
					w.enter(exchangeServer(i), messenger.ServerRemoved)
				}
			},
			want: "only",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newExchangeWorld(t, 1)
			w.at(3500, func() { test.strike(w) })
			w.run()
			require.NotEmpty(t, w.faults)
			require.Contains(t, fmt.Sprint(w.faults), test.want)
		})
	}
}
