package reducer

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const (
	fleetStart timekeeper.Time = 1_000_000
	fleetStep                  = 50 * timekeeper.Millisecond
	fleetZones                 = 4
	fleetDuty                  = identifier.Fence(7)
	// Of many nodes the first strongNodes can carry much more than the rest.
	strongNodes = 8
	strong      = uint32(800)
	weak        = uint32(40)
)

// fleet is the reducers of many nodes, with gossip and shares between them that
// arrive one step later. The first node's lease is a given fact: there is no
// log.
type fleet struct {
	now   timekeeper.Time
	nodes map[identifier.VMID]*Reducer
	ids   []identifier.VMID
	down  map[identifier.VMID]bool
	mail  []letter
	// shares counts those that were sent, and sent and got the entries of servers in
	// them by node.
	shares int
	sent   map[identifier.VMID]int
	got    map[identifier.VMID]int
}

type letter struct {
	to   identifier.VMID
	body messenger.EventBody
}

func newFleet(nodes int) *fleet {
	f := &fleet{
		now:   fleetStart,
		nodes: map[identifier.VMID]*Reducer{},
		down:  map[identifier.VMID]bool{},
		sent:  map[identifier.VMID]int{},
		got:   map[identifier.VMID]int{},
	}
	for i := range nodes {
		id := identifier.VMID(fmt.Sprintf("entry-%d", i))
		f.ids = append(f.ids, id)
		capacity := weak
		if i < strongNodes {
			capacity = strong
		}
		f.nodes[id] = New(Config{
			Self:          id,
			Incarnation:   1,
			Zone:          identifier.Zone(fmt.Sprintf("zone-%d", i%fleetZones)),
			PeerAddress:   string(id),
			CallerAddress: string(id),
			Capacity:      capacity,
			Seed:          uint64(i),
			Seeds:         []string{"entry-0"},
			Gateway: &GatewayConfig{
				UsageWindow: 5 * timekeeper.Second,
				UsageLate:   10 * timekeeper.Second,
			},
		})
	}
	return f
}

// apply hands one node an event and posts what it sends to others.
func (f *fleet) apply(id identifier.VMID, body messenger.EventBody) {
	effects := f.nodes[id].Apply(messenger.Event{
		At:   f.now,
		Body: body,
	})
	for _, e := range effects {
		switch e := e.(type) {
		case messenger.SendGossip:
			f.mail = append(f.mail, letter{
				to: identifier.VMID(e.Address),
				body: messenger.GossipReceived{
					From: id,
					Data: e.Data,
				},
			})
		case messenger.SendStateUpdate:
			f.shares++
			f.sent[id] += len(e.Update.Servers)
			f.got[identifier.VMID(e.Address)] += len(e.Update.Servers)
			f.mail = append(f.mail, letter{
				to: identifier.VMID(e.Address),
				body: messenger.StateUpdateReceived{
					From:   id,
					Update: e.Update,
				},
			})
		}
	}
}

func (f *fleet) run(span timekeeper.Duration) {
	for end := f.now.Add(span); f.now.Before(end); f.now = f.now.Add(fleetStep) {
		mail := f.mail
		f.mail = nil
		for _, m := range mail {
			if !f.down[m.to] {
				f.apply(m.to, m.body)
			}
		}
		for _, id := range f.ids {
			if !f.down[id] {
				f.apply(id, messenger.Tick{})
			}
		}
	}
}

// serve publishes one server and a configuration, and sends every node as many
// requests as its number in the fleet.
func (f *fleet) serve() int {
	sum := 0
	for i, id := range f.ids {
		f.apply(id, messenger.CatalogPublished{Catalog: fleetCatalog()})
		f.apply(id, messenger.ServersPublished{
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
			f.apply(id, messenger.ExchangeReceived{
				Spec: messenger.ExchangeSpec{
					Exchange: identifier.ExchangeID(n + 1),
					Request:  identifier.RequestID(fmt.Sprintf("r-%d-%d", i, n)),
					Host:     "api.example",
					Path:     "/report/",
					Received: f.now,
				},
			})
		}
		sum += i
	}
	return sum
}

func fleetCatalog() *catalog.Catalog {
	routing := catalog.NewRouting([]*catalog.Route{
		{
			Name:       "report",
			Host:       "api.example",
			PathPrefix: "/report/",
			Repetition: catalog.Resumed,
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

// limitedCatalog is that of the fleet with one account, whose key is "secret".
func limitedCatalog(t *testing.T, tokens float64) *catalog.Catalog {
	t.Helper()
	c := fleetCatalog()
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

// Callers of 61 nodes ask for one service. Each node heard 16 of the others at a
// time and knew half of the load, so that it chose servers that were full. Now
// each knows all requests within two seconds, and sends a few messages a second.
func TestManyNodesKnowAllLoad(t *testing.T) {
	f := newFleet(61)
	f.run(6 * timekeeper.Second)
	for _, n := range f.nodes["entry-60"].relays("zone-3") {
		require.Equal(t, strong, n.Capacity, "relays are strong nodes")
	}
	sum := f.serve()
	f.run(2 * timekeeper.Second)
	for _, id := range f.ids {
		demand := f.nodes[id].gateway.exchanges.Demand(f.now, "reader")
		require.Equal(t, sum, demand.Running, "at %s", id)
	}
	f.shares = 0
	f.run(4 * timekeeper.Second)
	require.Less(t, f.shares, 4*61*30)
}

// What a node sends for shares hardly grows with the nodes. Told by both relays of
// its zone four times a second, and telling seven others twice, the nodes sent 22.5
// each a second at 61 nodes where 13 do.
func TestMessagesOfManyNodes(t *testing.T) {
	const seconds = 4
	for _, nodes := range []int{61, 195} {
		f := newFleet(nodes)
		f.run(6 * timekeeper.Second)
		f.serve()
		f.run(2 * timekeeper.Second)
		f.shares = 0
		f.run(seconds * timekeeper.Second)
		t.Logf("%d nodes: %.1f shares a node and second", nodes, float64(f.shares)/seconds/float64(nodes))
		require.LessOrEqual(t, f.shares, seconds*nodes*14, "%d nodes", nodes)
	}
}

// A server's entry changes, and one node reads so. All others know within half a
// second: relays pass that on at once, whosever turn it is.
func TestNewsOfServersIsPassedOnAtOnce(t *testing.T) {
	f := newFleet(61)
	f.run(6 * timekeeper.Second)
	f.serve()
	f.run(2 * timekeeper.Second)
	f.apply("entry-60", messenger.ServersPublished{
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
	f.run(500 * timekeeper.Millisecond)
	for _, id := range f.ids {
		s, known := f.nodes[id].gateway.servers.Server("reader-1")
		require.True(t, known)
		require.Equal(t, messenger.ServerLeaving, s.State, "at %s", id)
	}
}

// One relay of a zone dies, and another node takes its place. It has heard
// nobody yet; were it to tell sums at once, the nodes of its zone would take a
// sixth of the load for all. They hear all requests throughout, by the other
// relay, and those of the dead node for two seconds.
func TestRelayDies(t *testing.T) {
	f := newFleet(61)
	f.run(6 * timekeeper.Second)
	sum := f.serve()
	f.run(2 * timekeeper.Second)
	dead := f.nodes[f.ids[0]].relays("zone-1")[0].VM
	lost := f.nodes[dead].gateway.exchanges.InFlight()
	f.down[dead] = true
	known := func(id identifier.VMID) int {
		return f.nodes[id].gateway.exchanges.Demand(f.now, "reader").Running
	}
	for range 12 {
		f.run(500 * timekeeper.Millisecond)
		for _, id := range f.ids {
			if !f.down[id] {
				require.GreaterOrEqual(t, known(id), sum-lost, "at %s", id)
			}
		}
	}
	for _, id := range f.ids {
		if !f.down[id] {
			require.Equal(t, sum-lost, known(id), "at %s", id)
		}
	}
}

// The holder of the lease is told by all nodes directly, and all know who it is:
// it takes the parts of nodes that it does not hear off what it grants.
func TestHolderHearsAllNodes(t *testing.T) {
	f := newFleet(61)
	f.run(6 * timekeeper.Second)
	holder := f.nodes[f.ids[0]].ranking.First(string(dutyLease), dutyNodes)[0].VM
	for range 40 {
		for _, id := range f.ids {
			if id != holder {
				f.nodes[id].gateway.heardOfHolder(f.now, messenger.StateUpdate{
					Leader: holder,
					Fence:  fleetDuty,
				})
			}
		}
		f.run(fleetStep)
		require.Equal(t, len(f.ids)-1, f.nodes[holder].gateway.exchanges.CountAllReportingPeers(f.now, granteeAge))
	}
}

// The holder is heard of through relays, and with its age on the way: nodes stop
// asking it as soon as they would if they heard it themselves.
func TestHolderIsHeardThroughRelays(t *testing.T) {
	f := newFleet(61)
	f.run(6 * timekeeper.Second)
	relay := f.nodes[f.ids[0]].relays("zone-0")[0].VM
	f.nodes[relay].gateway.heardOfHolder(f.now, messenger.StateUpdate{
		Leader: "entry-60",
		Fence:  fleetDuty,
	})
	heardAt := f.now
	// The time on the way between two nodes does not count as age.
	const hops = 4
	f.run(1 * timekeeper.Second)
	for _, id := range f.ids[:60] {
		g := f.nodes[id].gateway
		require.Equal(t, identifier.VMID("entry-60"), g.granter, "at %s", id)
		require.LessOrEqual(t, g.granterHeard, heardAt.Add(hops*fleetStep), "at %s", id)
	}
}

// The VM of the lease's holder is taken away. Its peers ask it in vain, and
// refuse what they asked for. After two such questions, with no news of it for
// longer than its shares are apart, they go on with their own parts, and ask it
// again once they hear of it.
func TestSilentHolderIsNoLongerAsked(t *testing.T) {
	f := newFleet(3)
	f.run(2 * timekeeper.Second)
	g := f.nodes["entry-1"].gateway
	hear := func() {
		g.heardOfHolder(f.now, messenger.StateUpdate{
			Leader: "entry-2",
			Fence:  fleetDuty,
		})
	}
	hear()
	require.True(t, g.granterThere(f.now))
	unanswered := messenger.LimitAnswered{
		Exchange: 1,
		Unknown:  true,
	}
	f.apply("entry-1", unanswered)
	f.apply("entry-1", unanswered)
	require.True(t, g.granterThere(f.now), "heard a moment ago")
	f.now = f.now.Add(deafAge + 1)
	require.False(t, g.granterThere(f.now))
	hear()
	require.True(t, g.granterThere(f.now))
	f.now = f.now.Add(deafAge + 1)
	f.apply("entry-1", unanswered)
	require.True(t, g.granterThere(f.now), "one answer may be lost")
}

// All nodes are killed at once and start again. For a quarter of a second each has
// heard of no other, and callers of an account that asks for many times its limit
// are back at once. A node that took the whole of the limit for its own part let
// it have half a burst, and one prompt more: 61 of them a tenth more than is
// tolerated in eight seconds.
func TestLimitsRightAfterAllStarted(t *testing.T) {
	const (
		limit  = 680_000
		prompt = identifier.Tokens(17_000)
	)
	for _, nodes := range []int{9, 61} {
		f := newFleet(nodes)
		listed := messenger.ListRead{AsOf: f.now}
		for _, id := range f.ids {
			listed.VMs = append(listed.VMs, messenger.VMState{VM: id})
		}
		c := limitedCatalog(t, limit)
		f.serve()
		granted := identifier.Tokens(0)
		for _, id := range f.ids {
			f.apply(id, listed)
			f.apply(id, messenger.CatalogPublished{Catalog: c})
			f.apply(id, messenger.Tick{})
			for n := range 40 {
				effects := f.nodes[id].Apply(messenger.Event{
					At: f.now,
					Body: messenger.ExchangeReceived{
						Spec: messenger.ExchangeSpec{
							Exchange:     identifier.ExchangeID(10_000 + n),
							Request:      identifier.RequestID(fmt.Sprintf("%s-%d", id, n)),
							Host:         "api.example",
							Path:         "/report/",
							Key:          "secret",
							Received:     f.now,
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

// All of 195 nodes start anew. A long prompt that comes at once is larger than its
// node's part of the limit, and is refused. Its caller is told to come back when a
// node should hold the lease again, and grant: it was told three to six seconds.
func TestRefusedCallerComesBackWhenANodeGrants(t *testing.T) {
	const limit = 680_000
	f := newFleet(195)
	listed := messenger.ListRead{AsOf: f.now}
	for _, id := range f.ids {
		listed.VMs = append(listed.VMs, messenger.VMState{VM: id})
	}
	c := limitedCatalog(t, limit)
	f.serve()
	id := f.ids[7]
	f.apply(id, listed)
	f.apply(id, messenger.CatalogPublished{Catalog: c})
	f.apply(id, messenger.Tick{})
	f.now = f.now.Add(200)
	effects := f.nodes[id].Apply(messenger.Event{
		At: f.now,
		Body: messenger.ExchangeReceived{
			Spec: messenger.ExchangeSpec{
				Exchange:     10_000,
				Request:      "long",
				Host:         "api.example",
				Path:         "/report/",
				Key:          "secret",
				Received:     f.now,
				PromptTokens: 17_000,
			},
		},
	})
	require.Len(t, effects, 1)
	refused, ok := effects[0].(messenger.RefuseExchange)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonAccountLimit, refused.Refusal.Reason)
	due := settleTime + grantNewsTime - 200
	require.GreaterOrEqual(t, refused.Refusal.RetryAfter, due)
	require.LessOrEqual(t, refused.Refusal.RetryAfter, due+500)
}
