package promoter

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const testLimit = 16 * timekeeper.Second

// strike is a fault that hits a roll-out.
type strike struct {
	name string
	do   func(w *world)
	// late tells that a good version may be rolled back: nobody could judge it in time.
	late bool
}

// takeOver gives the lease to another node after a while in which nobody has it.
func takeOver(w *world, to int) {
	w.leader = -1
	w.after(3500, func() {
		w.leader = to
		w.fence++
	})
}

var strikes = []strike{
	{
		name: "the leader dies",
		do: func(w *world) {
			old := w.leader
			takeOver(w, old+1)
			w.nodes[old] = w.newNode(old)
		},
	},
	{
		name: "the leader freezes, and its last write arrives after its successor's",
		do: func(w *world) {
			old := w.nodes[w.leader]
			late := messenger.StoreRollout{
				Rollout: messenger.Rollout{
					Order: old.rollouts["reader"].order,
					Phase: messenger.RolloutCompleted,
				},
				Fence: w.fence,
			}
			takeOver(w, w.leader+1)
			w.after(4500, func() { w.carryOut(old, late) })
		},
	},
	{
		name: "all nodes die",
		do: func(w *world) {
			for i := range w.nodes {
				w.nodes[i] = w.newNode(i)
				// Those that read the store know the order, but not how far it is.
				w.nodes[i].ApplyOrders(w.now, []messenger.RolloutOrder{{
					Service:   "reader",
					Offset:    1,
					To:        "v2",
					TimeLimit: w.limit,
				}})
				w.nodes[i].ObserveVersion(w.now, "reader", "v1")
				w.nodes[i].ObserveVersion(w.now, "reader", "v2")
			}
			takeOver(w, 2)
		},
		late: true,
	},
	{
		name: "the store is down",
		do: func(w *world) {
			w.down = true
			w.after(4000, func() { w.down = false })
		},
		late: true,
	},
	{
		name: "a node is cut off",
		do: func(w *world) {
			n := w.nodes[len(w.nodes)-1]
			n.cut = true
			w.after(5000, func() { n.cut = false })
		},
	},
	{
		name: "servers of the new version go",
		do: func(w *world) {
			for _, s := range w.servers {
				if s.Version == "v2" && s.index > 0 {
					s.State = messenger.ServerRemoved
				}
			}
		},
		late: true,
	},
}

// Faults strike at any step of a roll-out: the node that leads it dies between deciding
// and writing, its write arrives late, the store is away at the end. Whatever happens,
// operators must read one final state, a bad version must get no more than its part of
// the requests and none for long after it showed, and a good one is completed unless
// nobody could judge it.
func TestRolloutUnderFaults(t *testing.T) {
	for _, s := range strikes {
		for _, b := range []badness{kinds[0], kinds[3]} {
			t.Run(fmt.Sprintf("%s/%s", s.name, b.name), func(t *testing.T) {
				for at := timekeeper.Duration(300); at < testLimit-1000; at += 1150 * stepEvery {
					w := newWorld(uint64(at), sizes[0], b, testLimit)
					w.order("v2", 1)
					w.after(at, func() { s.do(w) })
					w.run(testLimit + 8*timekeeper.Second)
					require.Empty(t, w.check(), "struck at %s", at)
					require.True(t, w.final().Final(), "struck at %s: %s", at, w.final())
					if !b.good {
						require.Equal(t, messenger.RolloutRolledBack, w.final(), "struck at %s", at)
					}
					if b.good && !s.late {
						require.Equal(t, messenger.RolloutCompleted, w.final(), "struck at %s: %s", at, w.why)
					}
				}
			})
		}
	}
}

// A version is completed, and the platform stops the old servers at once. Requests that
// ran there would be cut off, so nobody may have one there by then.
func TestNobodyIsCutOffByTheMove(t *testing.T) {
	w := newWorld(1, sizes[1], kinds[0], testLimit)
	w.order("v2", 1)
	w.run(testLimit)
	require.Equal(t, messenger.RolloutCompleted, w.final())
	require.Zero(t, w.cutOff)
}

// An operator's second thoughts, and orders that make no sense. Each ends in a clear
// state, and requests go to what is known to be good.
func TestOrders(t *testing.T) {
	tests := []struct {
		name  string
		limit timekeeper.Duration
		do    func(w *world)
		want  []messenger.RolloutPhase
		// last is the version that a request gets at the end.
		last identifier.Version
	}{
		{
			name:  "no time",
			limit: 0,
			do:    func(w *world) { w.order("v2", 1) },
			want:  []messenger.RolloutPhase{messenger.RolloutRolledBack},
			last:  "v1",
		},
		{
			name:  "less than no time",
			limit: -5 * timekeeper.Second,
			do:    func(w *world) { w.order("v2", 1) },
			want:  []messenger.RolloutPhase{messenger.RolloutRolledBack},
			last:  "v1",
		},
		{
			name:  "no servers of the version come",
			limit: 8 * timekeeper.Second,
			do: func(w *world) {
				w.boot = timekeeper.Hour
				w.order("v2", 1)
			},
			want: []messenger.RolloutPhase{messenger.RolloutRunning, messenger.RolloutRolledBack},
			last: "v1",
		},
		{
			name:  "the version that there is",
			limit: testLimit,
			do: func(w *world) {
				w.boot = timekeeper.Hour
				w.after(3000, func() { w.order("v1", 1) })
			},
			want: []messenger.RolloutPhase{messenger.RolloutCompleted},
			last: "v1",
		},
		{
			name:  "withdrawn",
			limit: testLimit,
			do: func(w *world) {
				w.order("v2", 1)
				w.after(5000, func() {
					w.tell(messenger.RolloutOrder{
						Service: "reader",
						Offset:  2,
					})
				})
			},
			want: []messenger.RolloutPhase{messenger.RolloutRunning, messenger.RolloutRolledBack},
			last: "v1",
		},
		{
			name:  "a newer order",
			limit: testLimit,
			do: func(w *world) {
				w.order("v2", 1)
				w.after(5000, func() { w.order("v3", 2) })
			},
			want: []messenger.RolloutPhase{
				messenger.RolloutRunning, messenger.RolloutRolledBack,
				messenger.RolloutRunning, messenger.RolloutPromoting, messenger.RolloutCompleted,
			},
			last: "v3",
		},
		{
			name:  "the version that was rolled back, again",
			limit: 8 * timekeeper.Second,
			do: func(w *world) {
				w.boot = timekeeper.Hour
				w.order("v2", 1)
				w.after(9000, func() {
					w.limit = testLimit
					w.boot = 2000
					w.order("v2", 2)
				})
			},
			want: []messenger.RolloutPhase{
				messenger.RolloutRunning, messenger.RolloutRolledBack,
				messenger.RolloutRunning, messenger.RolloutPromoting, messenger.RolloutCompleted,
			},
			last: "v2",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := newWorld(1, sizes[0], kinds[0], test.limit)
			test.do(w)
			w.run(30 * timekeeper.Second)
			var got []messenger.RolloutPhase
			for _, s := range w.told {
				if s.Order.To != "" {
					got = append(got, s.Phase)
				}
			}
			require.Equal(t, test.want, got, w.why)
			for i, n := range w.nodes {
				s := w.pick(n.Candidates(w.asks()).Preferred)
				require.NotNil(t, s)
				require.Equal(t, test.last, s.Version, "node %d", i)
			}
		})
	}
}

// asks is a request that is sent now.
func (w *world) asks() Request {
	return Request{
		Now:          w.now,
		Service:      "reader",
		Route:        "lookup",
		Servers:      w.published,
		FirstAttempt: true,
		OrdersAsOf:   w.now,
		Rand:         w.rng,
	}
}

// A node is cut off from all others while a version is tried. It can't hear that the
// version was rolled back, so it may not send it anything, whatever it may have left of
// its part.
func TestNodeWithoutNewsSendsTheNewVersionNothing(t *testing.T) {
	w := newWorld(1, sizes[0], kinds[0], testLimit)
	w.order("v2", 1)
	w.run(5 * timekeeper.Second)
	deaf := w.nodes[5]
	deaf.cut = true
	w.run(freshFor + 200)
	for range 2000 {
		w.now = w.now.Add(1)
		require.Equal(t, identifier.Version("v1"), w.pick(deaf.Candidates(w.asks()).Preferred).Version)
	}
}

// Servers of another version show up before the node has heard of the order that started
// them. They get nothing until it knows the orders of that time; then, if there was none,
// they are servers like others.
func TestServersOfAnUnknownVersion(t *testing.T) {
	w := newWorld(1, sizes[0], kinds[0], testLimit)
	n := w.nodes[0]
	w.now = w.now.Add(1000)
	w.add("v2", 0)
	a := w.asks()
	a.OrdersAsOf = w.now.Add(-1)
	for _, s := range n.Candidates(a).Preferred {
		require.Equal(t, identifier.Version("v1"), s.Version)
	}
	a.OrdersAsOf = w.now
	require.Len(t, n.Candidates(a).Preferred, 5)
	for _, s := range w.servers[:4] {
		s.State = messenger.ServerRemoved
	}
	a.OrdersAsOf = 0
	require.NotNil(t, w.pick(n.Candidates(a).Preferred), "better than none")
}

// All nodes started after a roll-out was completed. They read the order, and nobody leads
// yet: the only servers that there are have to serve.
func TestCompletedBeforeTheStart(t *testing.T) {
	w := newWorld(1, sizes[0], kinds[0], testLimit)
	for _, s := range w.servers {
		s.Version = "v2"
	}
	n := w.newNode(0)
	n.ApplyOrders(w.now, []messenger.RolloutOrder{{
		Service:   "reader",
		Offset:    1,
		To:        "v2",
		TimeLimit: testLimit,
	}})
	require.NotNil(t, w.pick(n.Candidates(w.asks()).Preferred))
}

// Operators order the version that a service has already. Nobody may refuse a request for
// it meanwhile, as too many for a version that is not trusted.
func TestOrderOfTheVersionThatThereIs(t *testing.T) {
	w := newWorld(1, sizes[0], kinds[0], testLimit)
	w.tell(messenger.RolloutOrder{
		Service:   "reader",
		Offset:    1,
		To:        "v1",
		TimeLimit: testLimit,
	})
	for range 300 {
		w.run(10)
		for _, n := range w.nodes {
			require.NotNil(t, w.pick(n.Candidates(w.asks()).Preferred), "at %s", w.now.Sub(worldStart))
		}
	}
}

// News that can't be true changes nothing.
func TestUnbelievableNews(t *testing.T) {
	n := New(Config{})
	n.Merge(worldStart, []messenger.Rollout{
		{
			Phase: messenger.RolloutCompleted,
		},
		{
			Order: messenger.RolloutOrder{
				Service: "reader",
				Offset:  1,
				To:      "v2",
			},
			Phase: "halfway",
		},
	})
	require.Empty(t, n.Updates(worldStart))
	for i := range 2 * maxRollouts {
		n.ApplyOrders(worldStart, []messenger.RolloutOrder{{
			Service:   identifier.ServiceName(fmt.Sprint("service-", i)),
			Offset:    1,
			To:        "v2",
			TimeLimit: testLimit,
		}})
	}
	require.Len(t, n.Updates(worldStart), maxRollouts)
}

// What is checked above would show, were the safeguards not there.
func TestControls(t *testing.T) {
	t.Run("a store that takes writes of earlier holders", func(t *testing.T) {
		w := newWorld(3, sizes[0], kinds[3], testLimit)
		w.unfenced = true
		w.order("v2", 1)
		w.after(4000, func() { strikes[1].do(w) })
		w.run(testLimit)
		require.NotEmpty(t, w.check())
	})
	t.Run("a version so little worse that it is completed", func(t *testing.T) {
		w := newWorld(3, sizes[0], badness{
			name:  "hardly bad",
			spoil: func(routeSpec, *serverState, timekeeper.Duration) (float64, float64) { return 0.005, 0 },
		}, testLimit)
		w.order("v2", 1)
		w.run(testLimit)
		require.NotEmpty(t, w.check())
	})
	t.Run("news that does not get through", func(t *testing.T) {
		w := newWorld(3, sizes[0], kinds[3], testLimit)
		w.order("v2", 1)
		w.run(5 * timekeeper.Second)
		for i, n := range w.nodes {
			n.cut = i > 0
			if r := n.rollouts["reader"]; i > 0 {
				r.led = w.now.Add(timekeeper.Hour)
				r.phase = messenger.RolloutPromoting
			}
		}
		w.run(testLimit)
		require.NotEmpty(t, w.check())
	})
}
