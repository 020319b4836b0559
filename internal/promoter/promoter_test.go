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

type fault struct {
	name   string
	inject func(c *cluster)
	// rollbackAllowed is set if a good version may be rolled back because it can't be
	// assessed in time.
	rollbackAllowed bool
}

// takeOver moves the lease to another node after a time without a holder.
func takeOver(c *cluster, to int) {
	c.leader = -1
	c.after(3500, func() {
		c.leader = to
		c.fence++
	})
}

var rolloutFaults = []fault{
	{
		name: "the leader dies",
		inject: func(c *cluster) {
			old := c.leader
			takeOver(c, old+1)
			c.nodes[old] = c.newNode(old)
		},
	},
	{
		name: "the leader freezes, and its last write arrives after its successor's",
		inject: func(c *cluster) {
			old := c.nodes[c.leader]
			late := messenger.StoreRollout{
				Rollout: messenger.Rollout{
					Order: old.rollouts["reader"].order,
					Phase: messenger.RolloutCompleted,
				},
				Fence: c.fence,
			}
			takeOver(c, c.leader+1)
			c.after(4500, func() { c.execute(old, late) })
		},
	},
	{
		name: "all nodes die",
		inject: func(c *cluster) {
			for i := range c.nodes {
				c.nodes[i] = c.newNode(i)
				// Nodes that read the store know the order, but not its phase.
				c.nodes[i].ApplyOrders(c.now, []messenger.RolloutOrder{{
					Service:   "reader",
					Offset:    1,
					To:        "v2",
					TimeLimit: c.limit,
				}})
				c.nodes[i].ObserveVersion(c.now, "reader", "v1")
				c.nodes[i].ObserveVersion(c.now, "reader", "v2")
			}
			takeOver(c, 2)
		},
		rollbackAllowed: true,
	},
	{
		name: "the store is down",
		inject: func(c *cluster) {
			c.storeDown = true
			c.after(4000, func() { c.storeDown = false })
		},
		rollbackAllowed: true,
	},
	{
		name: "a node is cut off",
		inject: func(c *cluster) {
			n := c.nodes[len(c.nodes)-1]
			n.isolated = true
			c.after(5000, func() { n.isolated = false })
		},
	},
	{
		name: "servers of the new version go",
		inject: func(c *cluster) {
			for _, s := range c.servers {
				if s.Version == "v2" && s.index > 0 {
					s.State = messenger.ServerRemoved
				}
			}
		},
		rollbackAllowed: true,
	},
}

// Guards against rollouts without a final state, bad versions that exceed their exposure limit or
// keep requests, and good ones rolled back, when the leader, the store or servers fail.
func TestRolloutUnderFaults(t *testing.T) {
	for _, s := range rolloutFaults {
		for _, b := range []versionKind{versionKinds[0], versionKinds[3]} {
			t.Run(fmt.Sprintf("%s/%s", s.name, b.name), func(t *testing.T) {
				for at := timekeeper.Duration(300); at < testLimit-1000; at += 1150 * stepEvery {
					c := newCluster(uint64(at), workloads[0], b, testLimit)
					c.order("v2", 1)
					c.after(at, func() { s.inject(c) })
					c.run(testLimit + 8*timekeeper.Second)
					require.Empty(t, c.check(), "struck at %s", at)
					require.True(t, c.final().Final(), "struck at %s: %s", at, c.final())
					if !b.good {
						require.Equal(t, messenger.RolloutRolledBack, c.final(), "struck at %s", at)
					}
					if b.good && !s.rollbackAllowed {
						require.Equal(t, messenger.RolloutCompleted, c.final(), "struck at %s: %s", at, c.why)
					}
				}
			})
		}
	}
}

// The platform removes the old servers as soon as a rollout is completed, so no request
// may be in flight there by then.
func TestMigrationCutsOffNothing(t *testing.T) {
	c := newCluster(1, workloads[1], versionKinds[0], testLimit)
	c.order("v2", 1)
	c.run(testLimit)
	require.Equal(t, messenger.RolloutCompleted, c.final())
	require.Zero(t, c.cutOff)
}

// Orders that are withdrawn, replaced or invalid each end in a final state, and
// requests go to the version known to be good.
func TestOrders(t *testing.T) {
	tests := []struct {
		name  string
		limit timekeeper.Duration
		do    func(c *cluster)
		want  []messenger.RolloutPhase
		// last is the version that a request is sent to at the end.
		last identifier.Version
	}{
		{
			name:  "zero time limit",
			limit: 0,
			do:    func(c *cluster) { c.order("v2", 1) },
			want:  []messenger.RolloutPhase{messenger.RolloutRolledBack},
			last:  "v1",
		},
		{
			name:  "negative time limit",
			limit: -5 * timekeeper.Second,
			do:    func(c *cluster) { c.order("v2", 1) },
			want:  []messenger.RolloutPhase{messenger.RolloutRolledBack},
			last:  "v1",
		},
		{
			name:  "no servers of the version come",
			limit: 8 * timekeeper.Second,
			do: func(c *cluster) {
				c.bootTime = timekeeper.Hour
				c.order("v2", 1)
			},
			want: []messenger.RolloutPhase{messenger.RolloutRunning, messenger.RolloutRolledBack},
			last: "v1",
		},
		{
			name:  "current version",
			limit: testLimit,
			do: func(c *cluster) {
				c.bootTime = timekeeper.Hour
				c.after(3000, func() { c.order("v1", 1) })
			},
			want: []messenger.RolloutPhase{messenger.RolloutCompleted},
			last: "v1",
		},
		{
			name:  "withdrawn",
			limit: testLimit,
			do: func(c *cluster) {
				c.order("v2", 1)
				c.after(5000, func() {
					c.applyOrder(messenger.RolloutOrder{
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
			do: func(c *cluster) {
				c.order("v2", 1)
				c.after(5000, func() { c.order("v3", 2) })
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
			do: func(c *cluster) {
				c.bootTime = timekeeper.Hour
				c.order("v2", 1)
				c.after(9000, func() {
					c.limit = testLimit
					c.bootTime = 2000
					c.order("v2", 2)
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
			c := newCluster(1, workloads[0], versionKinds[0], test.limit)
			test.do(c)
			c.run(30 * timekeeper.Second)
			var got []messenger.RolloutPhase
			for _, s := range c.storedStates {
				if s.Order.To != "" {
					got = append(got, s.Phase)
				}
			}
			require.Equal(t, test.want, got, c.why)
			for i, n := range c.nodes {
				s := c.pick(n.Candidates(c.request()).Preferred)
				require.NotNil(t, s)
				require.Equal(t, test.last, s.Version, "node %d", i)
			}
		})
	}
}

func (c *cluster) request() Request {
	return Request{
		Now:          c.now,
		Service:      "reader",
		Route:        "lookup",
		Servers:      c.published,
		FirstAttempt: true,
		OrdersAsOf:   c.now,
		Rand:         c.rng,
	}
}

// An isolated node can't learn that the version was rolled back, so it must not send it
// any requests, even within its limit.
func TestIsolatedNodeSendsNothingToTheNewVersion(t *testing.T) {
	c := newCluster(1, workloads[0], versionKinds[0], testLimit)
	c.order("v2", 1)
	c.run(5 * timekeeper.Second)
	isolated := c.nodes[5]
	isolated.isolated = true
	c.run(maxLeaderAge + 200)
	for range 2000 {
		c.now = c.now.Add(1)
		require.Equal(t, identifier.Version("v1"), c.pick(isolated.Candidates(c.request()).Preferred).Version)
	}
}

// Guards against requests to servers of a version whose order the node does not know yet.
func TestServersOfAnUnknownVersion(t *testing.T) {
	c := newCluster(1, workloads[0], versionKinds[0], testLimit)
	n := c.nodes[0]
	c.now = c.now.Add(1000)
	c.addServer("v2", 0)
	a := c.request()
	a.OrdersAsOf = c.now.Add(-1)
	for _, s := range n.Candidates(a).Preferred {
		require.Equal(t, identifier.Version("v1"), s.Version)
	}
	// The node knows all orders up to now, and none for v2: its servers are used like others.
	a.OrdersAsOf = c.now
	require.Len(t, n.Candidates(a).Preferred, 5)
	for _, s := range c.servers[:4] {
		s.State = messenger.ServerRemoved
	}
	a.OrdersAsOf = 0
	require.NotNil(t, c.pick(n.Candidates(a).Preferred), "better than none")
}

// All nodes restart after a rollout was completed, and there is no leader: the servers
// of the ordered version, the only ones, must be used.
func TestCompletedBeforeStart(t *testing.T) {
	c := newCluster(1, workloads[0], versionKinds[0], testLimit)
	for _, s := range c.servers {
		s.Version = "v2"
	}
	n := c.newNode(0)
	n.ApplyOrders(c.now, []messenger.RolloutOrder{{
		Service:   "reader",
		Offset:    1,
		To:        "v2",
		TimeLimit: testLimit,
	}})
	require.NotNil(t, c.pick(n.Candidates(c.request()).Preferred))
}

// An order for the version that the service already runs must not make any node reject
// requests.
func TestOrderOfTheCurrentVersion(t *testing.T) {
	c := newCluster(1, workloads[0], versionKinds[0], testLimit)
	c.applyOrder(messenger.RolloutOrder{
		Service:   "reader",
		Offset:    1,
		To:        "v1",
		TimeLimit: testLimit,
	})
	for range 300 {
		c.run(10)
		for _, n := range c.nodes {
			require.NotNil(t, c.pick(n.Candidates(c.request()).Preferred), "at %s", c.now.Sub(startTime))
		}
	}
}

// Guards against a rollout that goes on although its order was withdrawn and the store deleted the
// record of that.
func TestOrderMissingInReadOfAllIsWithdrawn(t *testing.T) {
	const service = "reader"
	for _, test := range []struct {
		name      string
		ordered   []identifier.ServiceName
		end       identifier.Offset
		withdrawn bool
	}{
		{
			name:      "missing",
			end:       9,
			withdrawn: true,
		},
		{
			name:    "its record is unreadable",
			ordered: []identifier.ServiceName{service},
			end:     9,
		},
		{
			name: "ordered after the read",
			end:  4,
		},
		{
			name: "lost by a restored store",
			end:  identifier.OffsetAt(1, 9),
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := New(Config{})
			order := messenger.RolloutOrder{
				Service:   service,
				Offset:    4,
				To:        "v2",
				TimeLimit: testLimit,
			}
			n.ApplyOrders(startTime, []messenger.RolloutOrder{order})
			n.WithdrawMissing(startTime.Add(400), test.ordered, test.end)
			updates := n.Updates(startTime.Add(400))
			require.Len(t, updates, 1)
			require.Equal(t, test.withdrawn, updates[0].Order.To == "")
			order.Offset = identifier.OffsetAt(1, 20)
			order.To = "v3"
			n.ApplyOrders(startTime.Add(800), []messenger.RolloutOrder{order})
			require.Equal(t, identifier.Version("v3"), n.Updates(startTime.Add(800))[0].Order.To, "a later order")
		})
	}
}

func TestInvalidUpdates(t *testing.T) {
	n := New(Config{})
	n.Merge(startTime, []messenger.Rollout{
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
	require.Empty(t, n.Updates(startTime))
	for i := range 2 * maxRollouts {
		n.ApplyOrders(startTime, []messenger.RolloutOrder{{
			Service:   identifier.ServiceName(fmt.Sprint("service-", i)),
			Offset:    1,
			To:        "v2",
			TimeLimit: testLimit,
		}})
	}
	require.Len(t, n.Updates(startTime), maxRollouts)
}

// The checks above fail if a safeguard is disabled.
func TestControls(t *testing.T) {
	t.Run("a store that takes writes of earlier holders", func(t *testing.T) {
		c := newCluster(3, workloads[0], versionKinds[3], testLimit)
		c.acceptStaleFence = true
		c.order("v2", 1)
		c.after(4000, func() { rolloutFaults[1].inject(c) })
		c.run(testLimit)
		require.NotEmpty(t, c.check())
	})
	t.Run("a version so little worse that it is completed", func(t *testing.T) {
		c := newCluster(3, workloads[0], versionKind{
			name:    "hardly bad",
			degrade: func(routeSpec, *serverState, timekeeper.Duration) (float64, float64) { return 0.005, 0 },
		}, testLimit)
		c.order("v2", 1)
		c.run(testLimit)
		require.NotEmpty(t, c.check())
	})
	t.Run("updates that are lost", func(t *testing.T) {
		c := newCluster(3, workloads[0], versionKinds[3], testLimit)
		c.order("v2", 1)
		c.run(5 * timekeeper.Second)
		for i, n := range c.nodes {
			n.isolated = i > 0
			if r := n.rollouts["reader"]; i > 0 {
				r.leaderSeen = c.now.Add(timekeeper.Hour)
				r.phase = messenger.RolloutPromoting
			}
		}
		c.run(testLimit)
		require.NotEmpty(t, c.check())
	})
}

// Guards against streams that change version in a rollout, or exceed the new version's limit.
func TestStreamDuringRolloutStaysAtItsVersion(t *testing.T) {
	c := newCluster(1, workloads[0], versionKinds[0], testLimit)
	c.order("v2", 1)
	c.run(5 * timekeeper.Second)
	n := c.nodes[0]
	versionsFor := func(v identifier.Version) map[identifier.Version]bool {
		req := c.request()
		req.FirstAttempt = false
		req.Begun = true
		req.Version = v
		candidates := n.Candidates(req)
		require.Empty(t, candidates.Fallback)
		out := map[identifier.Version]bool{}
		for _, s := range candidates.Preferred {
			out[s.Version] = true
		}
		return out
	}
	require.Equal(t, map[identifier.Version]bool{"v1": true}, versionsFor("v1"))
	require.Equal(t, map[identifier.Version]bool{"v2": true}, versionsFor("v2"))
	require.Empty(t, versionsFor("v0"), "a version without servers")
	r := n.rollouts["reader"]
	exposed := r.counts.exposed
	r.counts.exposed += 1000
	require.Empty(t, versionsFor("v2"), "beyond the limit")
	r.counts.exposed = exposed
	n.advance(c.now, r, messenger.RolloutRolledBack, "")
	require.Empty(t, versionsFor("v2"), "rolled back")
	require.Equal(t, map[identifier.Version]bool{"v1": true}, versionsFor("v1"))
}
