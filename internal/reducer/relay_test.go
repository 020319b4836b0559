package reducer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/relayer"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	clusterStart timekeeper.Time = 1_000_000
	stepTime                     = 50 * timekeeper.Millisecond
	clusterZones                 = 4
	testFence                    = identifier.Fence(7)
	// The first highCapacityNodes have a much higher capacity than the others.
	highCapacityNodes = 8
	highCapacity      = uint32(800)
	lowCapacity       = uint32(40)
)

// cluster is a simulated cluster. Gossip and state updates between its nodes arrive one
// step later. There is no log: tests state the holder of the lease.
type cluster struct {
	now   timekeeper.Time
	nodes map[identifier.VMID]*Reducer
	ids   []identifier.VMID
	down  map[identifier.VMID]bool
	// ended are the nodes of down whose addresses refuse connections.
	ended    map[identifier.VMID]bool
	inFlight []message
	// updates is the number of state updates sent. entriesSent and entriesReceived
	// count the server entries in them by node.
	updates         int
	entriesSent     map[identifier.VMID]int
	entriesReceived map[identifier.VMID]int
	// limitRequests are the requests for parts of limits, and exchangesSent counts the
	// exchanges that were sent to servers.
	limitRequests map[identifier.Ticket]limitRequest
	exchangesSent int
	// meter measures the nodes, if set.
	meter *loadMeter
}

type limitRequest struct {
	from     identifier.VMID
	exchange identifier.ExchangeID
}

type message struct {
	to   identifier.VMID
	body messenger.EventBody
}

func newCluster(nodes int) *cluster {
	return newClusterOf(nodes, GatewayConfig{
		UsageWindow: 5 * timekeeper.Second,
		UsageLate:   10 * timekeeper.Second,
	})
}

func newClusterOf(nodes int, config GatewayConfig) *cluster {
	c := &cluster{
		now:             clusterStart,
		nodes:           map[identifier.VMID]*Reducer{},
		down:            map[identifier.VMID]bool{},
		ended:           map[identifier.VMID]bool{},
		entriesSent:     map[identifier.VMID]int{},
		entriesReceived: map[identifier.VMID]int{},
	}
	for i := range nodes {
		id := identifier.VMID(fmt.Sprintf("entry-%d", i))
		c.ids = append(c.ids, id)
		capacity := lowCapacity
		if i < highCapacityNodes {
			capacity = highCapacity
		}
		c.nodes[id] = New(Config{
			Self:          id,
			Incarnation:   1,
			Zone:          identifier.Zone(fmt.Sprintf("zone-%d", i%clusterZones)),
			PeerAddress:   string(id),
			CallerAddress: string(id),
			Capacity:      capacity,
			Seed:          uint64(i),
			Seeds:         []string{"entry-0"},
			Gateway:       &config,
		})
	}
	return c
}

// apply applies an event to one node, and queues the messages that it sends.
func (c *cluster) apply(id identifier.VMID, body messenger.EventBody) {
	began := time.Now()
	effects := c.nodes[id].Apply(messenger.Event{
		At:   c.now,
		Body: body,
	})
	if c.meter != nil {
		c.meter.applied(id, time.Since(began))
	}
	for _, e := range effects {
		switch e := e.(type) {
		case messenger.SendGossip:
			if to := identifier.VMID(e.Address); c.meter != nil {
				c.meter.message(id, to, "gossip", identifier.Bytes(len(e.Data)))
			}
			c.inFlight = append(c.inFlight, message{
				to: identifier.VMID(e.Address),
				body: messenger.GossipReceived{
					From: id,
					Data: e.Data,
				},
			})
		case messenger.SendExchange:
			c.exchangesSent++
		case messenger.RequestLimit:
			c.requestLimit(id, e)
		case messenger.AnswerLimit:
			request := c.limitRequests[e.Ticket]
			answer := e.Answer
			answer.Exchange = request.exchange
			answer.Peer = id
			c.inFlight = append(c.inFlight, message{
				to:   request.from,
				body: answer,
			})
		case messenger.SendStateUpdate:
			c.updates++
			if c.ended[e.Peer] {
				c.inFlight = append(c.inFlight, message{
					to: id,
					body: messenger.PeerFailed{
						Peer:  e.Peer,
						Ended: true,
					},
				})
			}
			if to := identifier.VMID(e.Address); c.meter != nil {
				c.meter.message(id, to, updateKind(e.Update), relayer.UpdateSize(e.Update))
			}
			c.entriesSent[id] += len(e.Update.Servers)
			c.entriesReceived[identifier.VMID(e.Address)] += len(e.Update.Servers)
			c.inFlight = append(c.inFlight, message{
				to: identifier.VMID(e.Address),
				body: messenger.StateUpdateReceived{
					From:   id,
					Update: e.Update,
				},
			})
		}
	}
}

// requestLimit passes on a request for a part of a limit. A node that is down does not
// answer it.
func (c *cluster) requestLimit(from identifier.VMID, e messenger.RequestLimit) {
	if c.down[e.Peer] {
		c.inFlight = append(c.inFlight, message{
			to: from,
			body: messenger.LimitAnswered{
				Exchange:    e.Exchange,
				Peer:        e.Peer,
				Unknown:     true,
				NotGranting: c.ended[e.Peer],
			},
		})
		return
	}
	if c.limitRequests == nil {
		c.limitRequests = map[identifier.Ticket]limitRequest{}
	}
	ticket := identifier.Ticket(len(c.limitRequests) + 1)
	c.limitRequests[ticket] = limitRequest{
		from:     from,
		exchange: e.Exchange,
	}
	c.inFlight = append(c.inFlight, message{
		to: e.Peer,
		body: messenger.LimitRequested{
			Ticket:  ticket,
			Account: e.Account,
			Tokens:  e.Tokens,
		},
	})
}

func (c *cluster) run(span timekeeper.Duration) {
	for end := c.now.Add(span); c.now.Before(end); c.now = c.now.Add(stepTime) {
		delivered := c.inFlight
		c.inFlight = nil
		for _, m := range delivered {
			if !c.down[m.to] {
				c.apply(m.to, m.body)
			}
		}
		for _, id := range c.ids {
			if !c.down[id] {
				c.apply(id, messenger.Tick{})
			}
		}
	}
}

// publishAndSend publishes a configuration and one server, sends the i-th node i
// requests, and returns the total.
func (c *cluster) publishAndSend() int {
	sum := 0
	for i, id := range c.ids {
		c.apply(id, messenger.CatalogPublished{Catalog: clusterCatalog()})
		c.apply(id, messenger.ServersPublished{
			Servers: []messenger.PublishedServer{
				{
					Server:  "reader-1",
					Offset:  1,
					Service: "reader",
					Address: "reader-1",
					Zone:    "zone-0",
					State:   messenger.ServerReady,
				},
			},
			All: true,
		})
		for n := range i {
			c.apply(id, messenger.ExchangeReceived{
				Spec: messenger.ExchangeSpec{
					Exchange: identifier.ExchangeID(n + 1),
					Request:  identifier.RequestID(fmt.Sprintf("r-%d-%d", i, n)),
					Host:     "api.example",
					Path:     "/report/",
					Received: c.now,
				},
			})
		}
		sum += i
	}
	return sum
}

func clusterCatalog() *catalog.Catalog {
	routing := catalog.NewRouting([]*catalog.Route{
		{
			Name:       "report",
			Host:       "api.example",
			PathPrefix: "/report/",
			Repetition: catalog.Resumable,
			Stream:     true,
			Timeout:    timekeeper.Minute,
			Target:     timekeeper.Second,
			Attempts:   2,
			Public:     true,
			Split: []catalog.Split{
				{
					Service: "reader",
					Weight:  1,
				},
			},
		},
	}, nil)
	routing.Backends["reader"] = catalog.Backend{Model: true}
	return &catalog.Catalog{
		Revision: 1,
		Routing:  routing,
	}
}

// limitedCatalog returns the catalog of a cluster with one limited account, whose key
// is "secret".
func limitedCatalog(t *testing.T, tokens float64) *catalog.Catalog {
	t.Helper()
	c := clusterCatalog()
	c.Accounts = map[identifier.AccountID]catalog.Account{
		"agency": {
			ID:              "agency",
			TokensPerSecond: tokens,
			TokenBurst:      tokens,
		},
	}
	report, ok := c.Routing.Find("api.example", "/report/")
	require.True(t, ok)
	c.Routing = catalog.NewRouting([]*catalog.Route{report}, map[string]identifier.AccountID{"secret": "agency"})
	c.Routing.Backends["reader"] = catalog.Backend{Model: true}
	c.Revision = 2
	return c
}

// Guards against updates that reach only a part of a large cluster: each node knows the
// requests of all nodes within 2 s, with a bounded number of messages.
func TestLargeClusterKnowsAllLoad(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	for _, n := range c.nodes["entry-60"].relays("zone-3") {
		require.Equal(t, highCapacity, n.Capacity, "relays have a high capacity")
	}
	sum := c.publishAndSend()
	c.run(2 * timekeeper.Second)
	for _, id := range c.ids {
		demand := c.nodes[id].gateway.exchanges.Demand(c.now, "reader")
		require.Equal(t, sum, demand.Running, "at %s", id)
	}
	c.updates = 0
	c.run(4 * timekeeper.Second)
	require.Less(t, c.updates, 4*61*30)
}

// The rate of state updates per node hardly grows with the number of nodes.
func TestMessageRateOfLargeCluster(t *testing.T) {
	const seconds = 4
	for _, nodes := range []int{61, 195} {
		c := newCluster(nodes)
		c.run(6 * timekeeper.Second)
		c.publishAndSend()
		c.run(2 * timekeeper.Second)
		c.updates = 0
		c.run(seconds * timekeeper.Second)
		t.Logf("%d nodes: %.1f updates per node and second", nodes, float64(c.updates)/seconds/float64(nodes))
		require.LessOrEqual(t, c.updates, seconds*nodes*14, "%d nodes", nodes)
	}
}

// One node reads a changed server entry. All other nodes receive it within 500 ms,
// because relays forward it without waiting for their turn.
func TestServerChangeIsForwardedAtOnce(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	c.publishAndSend()
	c.run(2 * timekeeper.Second)
	c.apply("entry-60", messenger.ServersPublished{
		Servers: []messenger.PublishedServer{
			{
				Server:  "reader-1",
				Offset:  2,
				Service: "reader",
				Address: "reader-1",
				Zone:    "zone-0",
				State:   messenger.ServerLeaving,
			},
		},
	})
	c.run(500 * timekeeper.Millisecond)
	for _, id := range c.ids {
		s, known := c.nodes[id].gateway.servers.Server("reader-1")
		require.True(t, known)
		require.Equal(t, messenger.ServerLeaving, s.State, "at %s", id)
	}
}

// A relay dies and another node replaces it. Guards against incomplete sums from the
// new relay: all nodes keep knowing the requests of the remaining nodes.
func TestRelayFailure(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	sum := c.publishAndSend()
	c.run(2 * timekeeper.Second)
	dead := c.nodes[c.ids[0]].relays("zone-1")[0].VM
	lostRequests := c.nodes[dead].gateway.exchanges.InFlight()
	c.down[dead] = true
	known := func(id identifier.VMID) int {
		return c.nodes[id].gateway.exchanges.Demand(c.now, "reader").Running
	}
	for range 12 {
		c.run(500 * timekeeper.Millisecond)
		for _, id := range c.ids {
			if !c.down[id] {
				require.GreaterOrEqual(t, known(id), sum-lostRequests, "at %s", id)
			}
		}
	}
	for _, id := range c.ids {
		if !c.down[id] {
			require.Equal(t, sum-lostRequests, known(id), "at %s", id)
		}
	}
}

// The holder of the lease receives updates from all nodes directly, so that it does not
// deduct the parts of reachable nodes.
func TestLeaderReceivesFromAllNodes(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	holder := c.nodes[c.ids[0]].ranking.First(string(leaderLease), leaderNodes)[0].VM
	for range 40 {
		for _, id := range c.ids {
			if id != holder {
				c.nodes[id].gateway.mergeLeader(c.now, messenger.StateUpdate{
					Leader: holder,
					Fence:  testFence,
				})
			}
		}
		c.run(stepTime)
		require.Equal(t, len(c.ids)-1, c.nodes[holder].gateway.exchanges.CountAllReportingPeers(c.now, deductionTimeout))
	}
}

// Nodes learn of the holder of the lease through relays, with the age of the report, so
// that they do not treat a removed holder as reachable for longer.
func TestLeaderIsKnownThroughRelays(t *testing.T) {
	c := newCluster(61)
	c.run(6 * timekeeper.Second)
	relay := c.nodes[c.ids[0]].relays("zone-0")[0].VM
	c.nodes[relay].gateway.mergeLeader(c.now, messenger.StateUpdate{
		Leader: "entry-60",
		Fence:  testFence,
	})
	receivedAt := c.now
	// The transit time between two nodes is not part of the age.
	const hops = 4
	c.run(1 * timekeeper.Second)
	for _, id := range c.ids[:60] {
		g := c.nodes[id].gateway
		require.Equal(t, identifier.VMID("entry-60"), g.allocator, "at %s", id)
		require.LessOrEqual(t, g.allocatorSeen.asOf, receivedAt.Add(hops*stepTime), "at %s", id)
	}
}

// The allocator is removed. After two unanswered requests and unresponsiveAge without
// an update, its peers stop asking it, until they receive an update again.
func TestUnresponsiveAllocatorIsNotAsked(t *testing.T) {
	c := newCluster(3)
	c.run(2 * timekeeper.Second)
	g := c.nodes["entry-1"].gateway
	receive := func() {
		g.mergeLeader(c.now, messenger.StateUpdate{
			Leader: "entry-2",
			Fence:  testFence,
		})
	}
	receive()
	require.True(t, g.allocatorReachable(c.now))
	unanswered := messenger.LimitAnswered{
		Exchange: 1,
		Unknown:  true,
	}
	c.apply("entry-1", unanswered)
	c.apply("entry-1", unanswered)
	require.True(t, g.allocatorReachable(c.now), "seen a moment ago")
	c.now = c.now.Add(unresponsiveAge + 1)
	require.False(t, g.allocatorReachable(c.now))
	receive()
	require.True(t, g.allocatorReachable(c.now))
	c.now = c.now.Add(unresponsiveAge + 1)
	c.apply("entry-1", unanswered)
	require.True(t, g.allocatorReachable(c.now), "a single answer may be lost")
}

// All nodes start at once, and callers request many times an account's limit before the
// nodes know each other. Guards against nodes that each grant the whole limit.
func TestLimitsAfterSimultaneousStart(t *testing.T) {
	const (
		limit  = 680_000
		prompt = identifier.Tokens(17_000)
	)
	for _, nodes := range []int{9, 61} {
		c := newCluster(nodes)
		listed := messenger.ListRead{AsOf: c.now}
		for _, id := range c.ids {
			listed.VMs = append(listed.VMs, messenger.VMState{VM: id})
		}
		limited := limitedCatalog(t, limit)
		c.publishAndSend()
		granted := identifier.Tokens(0)
		for _, id := range c.ids {
			c.apply(id, listed)
			c.apply(id, messenger.CatalogPublished{Catalog: limited})
			c.apply(id, messenger.Tick{})
			for n := range 40 {
				effects := c.nodes[id].Apply(messenger.Event{
					At: c.now,
					Body: messenger.ExchangeReceived{
						Spec: messenger.ExchangeSpec{
							Exchange:     identifier.ExchangeID(10_000 + n),
							Request:      identifier.RequestID(fmt.Sprintf("%s-%d", id, n)),
							Host:         "api.example",
							Path:         "/report/",
							Key:          "secret",
							Received:     c.now,
							PromptTokens: prompt,
						},
					},
				})
				for _, e := range effects {
					if _, sent := e.(messenger.SendExchange); sent {
						granted += prompt
					}
				}
			}
		}
		require.LessOrEqual(t, granted, identifier.Tokens(limit), "%d nodes", nodes)
	}
}

// All nodes start at once. A request larger than its node's part of the limit is
// refused with the time until an allocator is expected.
func TestRetryTimeUntilAllocatorIsDue(t *testing.T) {
	const limit = 680_000
	c := newCluster(195)
	listed := messenger.ListRead{AsOf: c.now}
	for _, id := range c.ids {
		listed.VMs = append(listed.VMs, messenger.VMState{VM: id})
	}
	limited := limitedCatalog(t, limit)
	c.publishAndSend()
	id := c.ids[7]
	c.apply(id, listed)
	c.apply(id, messenger.CatalogPublished{Catalog: limited})
	c.apply(id, messenger.Tick{})
	c.now = c.now.Add(200)
	effects := c.nodes[id].Apply(messenger.Event{
		At: c.now,
		Body: messenger.ExchangeReceived{
			Spec: messenger.ExchangeSpec{
				Exchange:     10_000,
				Request:      "long",
				Host:         "api.example",
				Path:         "/report/",
				Key:          "secret",
				Received:     c.now,
				PromptTokens: 17_000,
			},
		},
	})
	require.Len(t, effects, 1)
	refused, ok := effects[0].(messenger.RefuseExchange)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonAccountLimit, refused.Refusal.Reason)
	due := settleTime + leaderAnnounceTime - 200
	require.GreaterOrEqual(t, refused.Refusal.RetryAfter, due)
	require.LessOrEqual(t, refused.Refusal.RetryAfter, due+500)
}
