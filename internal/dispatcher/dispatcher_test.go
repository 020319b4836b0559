package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/gossiper"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/pathfinder"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/resumer"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

// serverSlots is the number of slots of each server.
const serverSlots = 64

// node is a dispatcher with its environment.
type node struct {
	*dispatcher.Dispatcher
	env   dispatcher.Env
	next  identifier.ExchangeID
	began []identifier.AccountID
	// offset is the log offset of the last server entry.
	offset identifier.Offset
}

// route returns a route with the given limits on repetition.
func route(name string, repetition catalog.Repetition, stream bool, attempts int) *catalog.Route {
	return &catalog.Route{
		Name:       identifier.RouteName(name),
		Host:       "api.example",
		PathPrefix: "/" + name + "/",
		Repetition: repetition,
		Stream:     stream,
		Timeout:    15 * timekeeper.Second,
		Target:     timekeeper.Second,
		MaxGap:     400,
		Attempts:   attempts,
		Split: []catalog.Split{
			{
				Service: "reader",
				Weight:  1,
			},
		},
	}
}

func testCatalog() *catalog.Catalog {
	public := route("public", catalog.Repeatable, false, 2)
	public.Public = true
	routing := catalog.NewRouting([]*catalog.Route{
		route("ping", catalog.Repeatable, false, 2),
		route("book", catalog.AtMostOnce, false, 2),
		route("report", catalog.Resumable, true, 2),
		route("draft", catalog.AtMostOnce, true, 1),
		public,
	}, map[string]identifier.AccountID{"secret": "agency"})
	routing.Backends["reader"] = catalog.Backend{
		Model: true,
		Slots: serverSlots,
	}
	routing.AccountRanks["agency"] = 0
	routing.DefaultTokens["agency"] = 200
	return &catalog.Catalog{
		Revision: 1,
		Accounts: map[identifier.AccountID]catalog.Account{
			"agency": {
				ID:              "agency",
				TokensPerSecond: 1_000_000,
				TokenBurst:      1_000_000,
			},
		},
		Routing: routing,
	}
}

// noPeers is a cluster of one node.
type noPeers struct{}

func (noPeers) Peers() []gossiper.Node        { return nil }
func (noPeers) Isolated(identifier.VMID) bool { return false }

func newNode(servers int) *node {
	return newNodeOf(dispatcher.Config{
		Self: "entry-1",
		Zone: "zone-0",
	}, servers)
}

func newNodeOf(config dispatcher.Config, servers int) *node {
	n := &node{
		Dispatcher: dispatcher.New(config),
		env: dispatcher.Env{
			Now:             start,
			Catalog:         testCatalog(),
			Servers:         registrar.New(),
			Local:           limiter.NewLocal(),
			Retries:         newRetries(),
			Suspicions:      detector.New(detector.Config{Rules: detector.AllRules()}),
			Quarantine:      quarantiner.New(),
			Versions:        promoter.New(promoter.Config{}),
			Limits:          throttler.New(),
			Permits:         throttler.NewPermits(),
			Backoffs:        throttler.NewBackoffs(),
			Brittle:         throttler.NewBrittle(),
			Slots:           throttler.NewSlots(),
			SlotAllocator:   func(string) *dispatcher.Allocator { return nil },
			Origins:         resumer.New(),
			OriginPeers:     func(identifier.StreamKey) ([]string, timekeeper.Duration) { return nil, 0 },
			Paths:           pathfinder.New(pathfinder.Config{Peers: noPeers{}}),
			PermitAllocator: func(identifier.VMID) *dispatcher.Allocator { return nil },
			Rand:            rand.New(rand.NewPCG(1, 2)),
		},
	}
	n.env.OnBegan = func(a identifier.AccountID) { n.began = append(n.began, a) }
	n.env.Local.SetNodes(1, true)
	for i := range servers {
		n.publish(i, messenger.ServerReady)
	}
	return n
}

// newRetries allows three retries in addition to 15 % of the requests.
func newRetries() *retrier.Allowance {
	a := retrier.NewAllowance(retrier.AllowanceConfig{
		Share: 0.15,
		Span:  10 * timekeeper.Second,
	})
	a.SetExtra(3)
	return a
}

func (n *node) publish(i int, state messenger.ServerState) {
	n.publishIn(serverID(i), identifier.Zone(fmt.Sprintf("zone-%d", i%4)), state)
}

// publishServer publishes a new state of a known server.
func (n *node) publishServer(vm identifier.VMID, state messenger.ServerState) {
	known, _ := n.env.Servers.Server(vm)
	n.publishIn(vm, known.Zone, state)
}

func (n *node) publishIn(vm identifier.VMID, zone identifier.Zone, state messenger.ServerState) {
	n.offset++
	n.env.Servers.ApplyRead(n.env.Now, messenger.ServersPublished{Servers: []messenger.PublishedServer{
		{
			Server:  vm,
			Offset:  n.offset,
			Service: "reader",
			Address: string(vm) + ":80",
			Zone:    zone,
			Slots:   serverSlots,
			State:   state,
		},
	}})
}

func serverID(i int) identifier.VMID { return identifier.VMID(fmt.Sprintf("i-%d", i)) }

func (n *node) spec(path string) messenger.ExchangeSpec {
	n.next++
	return messenger.ExchangeSpec{
		Exchange:     n.next,
		Request:      identifier.RequestID(fmt.Sprintf("r-%d", n.next)),
		Host:         "api.example",
		Path:         path,
		Key:          "secret",
		Received:     n.env.Now,
		TimeLimit:    10 * timekeeper.Second,
		PromptTokens: 1000,
		MaxTokens:    100,
	}
}

func (n *node) receive(path string) messenger.Effect { return n.Receive(n.env, n.spec(path)) }

// sendPath receives a request for a path and requires that it is sent.
func (n *node) sendPath(t *testing.T, path string) messenger.SendExchange {
	t.Helper()
	send, ok := n.receive(path).(messenger.SendExchange)
	require.True(t, ok)
	return send
}

func (n *node) endAttempt(s messenger.SendExchange, result messenger.AttemptResult, streaming bool) messenger.Effect {
	return n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
		Exchange:  s.Exchange,
		Attempt:   s.Attempt,
		Result:    result,
		Streaming: streaming,
	})
}

func refusal(t *testing.T, e messenger.Effect) messenger.Refusal {
	t.Helper()
	refuse, ok := e.(messenger.RefuseExchange)
	require.True(t, ok, "%#v", e)
	require.Equal(t, messenger.NotRun, refuse.Refusal.Outcome)
	return refuse.Refusal
}

// Guards against a wrong reason or retry delay for requests that are refused at once.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*node, *messenger.ExchangeSpec)
		want    messenger.Reason
		again   bool
	}{
		{
			name:    "no configuration",
			prepare: func(n *node, _ *messenger.ExchangeSpec) { n.env.Catalog = nil },
			want:    messenger.ReasonNoConfiguration,
			again:   true,
		},
		{
			name:    "unknown path",
			prepare: func(_ *node, s *messenger.ExchangeSpec) { s.Path = "/nowhere/" },
			want:    messenger.ReasonUnknownRoute,
		},
		{
			name: "unknown path and stale configuration",
			prepare: func(n *node, s *messenger.ExchangeSpec) {
				s.Path = "/nowhere/"
				n.env.ConfigStale = true
			},
			want:  messenger.ReasonNoConfiguration,
			again: true,
		},
		{
			name:    "unknown key",
			prepare: func(_ *node, s *messenger.ExchangeSpec) { s.Key = "guess" },
			want:    messenger.ReasonUnknownKey,
		},
		{
			name:    "deadline too close",
			prepare: func(_ *node, s *messenger.ExchangeSpec) { s.TimeLimit = 3 },
			want:    messenger.ReasonDeadline,
		},
		{
			name: "no server",
			prepare: func(n *node, _ *messenger.ExchangeSpec) {
				n.publish(0, messenger.ServerRemoved)
				n.publish(1, messenger.ServerLeaving)
			},
			want:  messenger.ReasonNoServer,
			again: true,
		},
		{
			name: "node is leaving",
			prepare: func(n *node, _ *messenger.ExchangeSpec) {
				n.Leave(n.env.Now.Add(-1))
			},
			want:  messenger.ReasonLeaving,
			again: true,
		},
		{
			name: "over the limit without an allocator",
			prepare: func(n *node, s *messenger.ExchangeSpec) {
				n.env.Local.SetNodes(1, false)
				s.PromptTokens = 2_000_000
				n.Receive(n.env, *s)
				s.Exchange++
			},
			want:  messenger.ReasonAccountLimit,
			again: true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(2)
			spec := n.spec("/ping/1")
			test.prepare(n, &spec)
			got := refusal(t, n.Receive(n.env, spec))
			require.Equal(t, test.want, got.Reason)
			require.Equal(t, test.again, got.RetryAfter > 0)
		})
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	n := newNode(1)
	spec := n.spec("/public/1")
	spec.Key = ""
	send, ok := n.Receive(n.env, spec).(messenger.SendExchange)
	require.True(t, ok)
	require.Empty(t, send.Account)
}

// Guards against repeating a request that may have had an effect, such as a booking whose
// connection broke, and against abandoning one that may be repeated.
func TestAfterFailedAttempt(t *testing.T) {
	const (
		again   = "again"
		refused = "refused"
		ended   = "ended"
	)
	tests := []struct {
		path      string
		result    messenger.AttemptResult
		streaming bool
		want      string
	}{
		{
			path:   "/ping/",
			result: messenger.AttemptBroken,
			want:   again,
		},
		{
			path:   "/ping/",
			result: messenger.AttemptFailed,
			want:   again,
		},
		{
			path:   "/book/",
			result: messenger.AttemptBroken,
			want:   ended,
		},
		{
			path:   "/book/",
			result: messenger.AttemptTimedOut,
			want:   ended,
		},
		{
			path:   "/book/",
			result: messenger.AttemptFailed,
			want:   ended,
		},
		{
			path:   "/book/",
			result: messenger.AttemptNotSent,
			want:   again,
		},
		{
			path:   "/book/",
			result: messenger.AttemptRefused,
			want:   again,
		},
		{
			path:   "/draft/",
			result: messenger.AttemptRefused,
			want:   refused,
		},
		{
			path:   "/draft/",
			result: messenger.AttemptNotSent,
			want:   again,
		},
		{
			path:      "/draft/",
			result:    messenger.AttemptBroken,
			streaming: true,
			want:      ended,
		},
		{
			path:      "/report/",
			result:    messenger.AttemptBroken,
			streaming: true,
			want:      again,
		},
		{
			path:   "/report/",
			result: messenger.AttemptTimedOut,
			want:   again,
		},
	}
	for _, test := range tests {
		t.Run(test.path+string(test.result), func(t *testing.T) {
			n := newNode(3)
			first := n.sendPath(t, test.path)
			got := ended
			switch e := n.endAttempt(first, test.result, test.streaming).(type) {
			case messenger.SendExchange:
				got = again
				require.NotEqual(t, first.Server, e.Server)
				require.Equal(t, first.Attempt+1, e.Attempt)
			case messenger.RefuseExchange:
				got = refused
			}
			require.Equal(t, test.want, got)
		})
	}
}

// The first server refuses the request and the second breaks the connection. The request may have
// run at the second, so it must not be reported as not run.
func TestRefusedThenBrokenIsNotReportedAsNotRun(t *testing.T) {
	n := newNode(3)
	first := n.sendPath(t, "/book/1")
	second, ok := n.endAttempt(first, messenger.AttemptRefused, false).(messenger.SendExchange)
	require.True(t, ok)
	end, ok := n.endAttempt(second, messenger.AttemptBroken, false).(messenger.EndExchange)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonServerFailed, end.Reason)
	require.Zero(t, n.InFlight())
}

// The route bounds the servers that a request may load. A server that left while it ran
// the request does not count.
func TestAttemptsAreBounded(t *testing.T) {
	tests := []struct {
		name   string
		leaves bool
		sends  int
	}{
		{
			name:  "servers remain",
			sends: 2,
		},
		{
			name:   "servers leave",
			leaves: true,
			sends:  4,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(4)
			send := n.sendPath(t, "/report/1")
			sends := 1
			for {
				if test.leaves {
					var i int
					_, err := fmt.Sscanf(string(send.Server), "i-%d", &i)
					require.NoError(t, err)
					n.publish(i, messenger.ServerRemoved)
				}
				next, ok := n.endAttempt(send, messenger.AttemptBroken, true).(messenger.SendExchange)
				if !ok {
					break
				}
				send = next
				sends++
			}
			require.Equal(t, test.sends, sends)
		})
	}
}

// A backend fails every request. Retries must stay a small part of the load, or the
// remaining servers would be overloaded.
func TestRetriesAreBudgeted(t *testing.T) {
	n := newNode(8)
	repeats := 0
	const requests = 400
	for range requests {
		n.env.Now = n.env.Now.Add(25)
		if _, again := n.endAttempt(n.sendPath(t, "/ping/1"), messenger.AttemptFailed, false).(messenger.SendExchange); again {
			repeats++
		}
	}
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, requests*20/100)
}

// sharedSpec returns a request whose prompt begins with 5,500 tokens that others share.
func (n *node) sharedSpec() messenger.ExchangeSpec {
	s := n.spec("/report/1")
	s.PromptTokens = 6000
	s.Prefix = []messenger.PromptPart{
		{
			Hash:   1,
			Tokens: 500,
		},
		{
			Hash:   77,
			Tokens: 5000,
		},
		{
			Hash:   identifier.PrefixHash(1000 + n.next),
			Tokens: 500,
		},
	}
	return s
}

// sendShared sends a request with a shared prefix and completes it at once.
func (n *node) sendShared(t *testing.T) messenger.SendExchange {
	t.Helper()
	send, ok := n.Receive(n.env, n.sharedSpec()).(messenger.SendExchange)
	require.True(t, ok)
	n.complete(send)
	return send
}

// newCopyingNode returns a node with three servers that copy cached prefixes.
func newCopyingNode() *node {
	n := newNode(3)
	backend := n.env.Catalog.Routing.Backends["reader"]
	backend.CopyTokensPerMS = 400
	n.env.Catalog.Routing.Backends["reader"] = backend
	return n
}

// announceLeaving gives notice for one of three servers.
func (n *node) announceLeaving(server identifier.VMID) {
	for i := range 3 {
		if serverID(i) == server {
			n.publish(i, messenger.ServerLeaving)
		}
	}
}

// complete begins and completes an attempt's answer.
func (n *node) complete(s messenger.SendExchange) {
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: s.Exchange,
		Attempt:  s.Attempt,
	})
	n.Ended(n.env, messenger.ExchangeEnded{
		Exchange: s.Exchange,
		Result:   messenger.AttemptComplete,
	})
}

// When new servers start, requests stay at the server that has cached their prefix
// instead of moving to a new affinity server.
func TestSharedPromptsStayAtCacheHolder(t *testing.T) {
	n := newNode(2)
	holder := n.sendShared(t).Server
	for i := 2; i < 30; i++ {
		n.publish(i, messenger.ServerReady)
	}
	for range 10 {
		send := n.sendShared(t)
		require.Equal(t, holder, send.Server)
		require.Empty(t, send.CopyFrom)
	}
}

// A peer reports a cached prefix at a server other than the affinity server. This node
// must send its requests there.
func TestPeersReportCachedPrefixes(t *testing.T) {
	n, peer := newNode(8), newNode(1)
	holder := peer.sendShared(t).Server
	affinity := newNode(8).sendShared(t).Server
	require.NotEqual(t, affinity, holder)
	n.MergeCachedPrefixes(n.env, peer.CachedPrefixUpdates(start), false)
	require.Equal(t, holder, n.sendShared(t).Server)
}

// A server with a cached prefix gives notice. The requests move to another server,
// which must copy the prefix instead of reading it.
func TestCachedPrefixIsCopiedFromLeavingServer(t *testing.T) {
	n := newCopyingNode()
	first := n.sendShared(t)
	require.Empty(t, first.CopyFrom, "no server has it cached")
	n.announceLeaving(first.Server)
	second := n.sendShared(t)
	require.NotEqual(t, first.Server, second.Server)
	require.Equal(t, first.Address, second.CopyFrom)
	third := n.sendShared(t)
	require.Equal(t, second.Server, third.Server)
	require.Empty(t, third.CopyFrom)
}

// A leaving server may be removed before its entry is. A copy from it would stall the
// request.
func TestNoCopyFromServerPastCopyWindow(t *testing.T) {
	n := newCopyingNode()
	first := n.sendShared(t)
	n.announceLeaving(first.Server)
	n.env.Now = start.Add(2100)
	second := n.sendShared(t)
	require.NotEqual(t, first.Server, second.Server)
	require.Empty(t, second.CopyFrom)
}

// A server whose attempt broke before its first event is not assumed to have cached the
// prompt.
func TestBrokenPrefillIsNotCached(t *testing.T) {
	n := newNode(8)
	send, ok := n.Receive(n.env, n.sharedSpec()).(messenger.SendExchange)
	require.True(t, ok)
	again, ok := n.endAttempt(send, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	require.NotEqual(t, send.Server, again.Server)
	n.complete(again)
	require.Equal(t, again.Server, n.sendShared(t).Server)
}

// Requests with the same prefix go to the same affinity server from every node, so that
// it is read once, but not if that server is much busier than others.
func TestSharedPromptsUseAffinityServer(t *testing.T) {
	one, two := newNode(8), newNode(8)
	affinity := one.Receive(one.env, one.sharedSpec()).(messenger.SendExchange).Server
	require.Equal(t, affinity, two.Receive(two.env, two.sharedSpec()).(messenger.SendExchange).Server)
	elsewhere := false
	for range 40 {
		send := one.Receive(one.env, one.sharedSpec()).(messenger.SendExchange)
		one.Began(one.env, messenger.ExchangeBegan{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
		})
		elsewhere = elsewhere || send.Server != affinity
	}
	require.True(t, elsewhere)
}

// This node avoids a server that a peer reports as loaded until the report is stale.
func TestPeerLoadIsAvoidedUntilStale(t *testing.T) {
	n := newNode(2)
	n.StorePeerLoad(start, "entry-2", messenger.StateUpdate{
		InFlight: map[identifier.VMID]messenger.InFlight{
			serverID(0): {Running: 50},
		},
	})
	for range 5 {
		require.Equal(t, serverID(1), n.sendPath(t, "/report/1").Server)
	}
	n.env.Now = start.Add(5000)
	require.Equal(t, serverID(0), n.sendPath(t, "/report/1").Server)
}

// A peer sent a long prompt to a server. Peers must be notified at once, or their
// requests would wait behind it, and again when it has been read.
func TestLongPromptOfAPeer(t *testing.T) {
	n, peer := newNode(2), newNode(1)
	spec := peer.spec("/report/1")
	spec.PromptTokens = 50_000
	send, ok := peer.Receive(peer.env, spec).(messenger.SendExchange)
	require.True(t, ok)
	require.True(t, peer.NotifyPeers())
	require.False(t, peer.NotifyPeers())
	update := func() messenger.StateUpdate {
		running, _ := peer.OwnLoad(start)
		return messenger.StateUpdate{InFlight: running}
	}
	n.StorePeerLoad(start, "entry-2", update())
	for range 5 {
		require.Equal(t, serverID(1), n.sendPath(t, "/report/1").Server)
	}
	peer.Began(peer.env, messenger.ExchangeBegan{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
	})
	require.True(t, peer.NotifyPeers())
	n.StorePeerLoad(start, "entry-2", update())
	require.Equal(t, serverID(0), n.sendPath(t, "/report/1").Server)
}

// A suspected server receives requests only if it is the only one.
func TestSuspectedServersComeLast(t *testing.T) {
	n := newNode(2)
	for range 4 {
		n.env.Suspicions.Observe(start, serverID(0), detector.Observation{Kind: detector.Broken})
	}
	for range 10 {
		require.Equal(t, serverID(1), n.sendPath(t, "/ping/1").Server)
	}
	n.publish(1, messenger.ServerLeaving)
	require.Equal(t, serverID(0), n.sendPath(t, "/ping/1").Server)
}

// Guards against a wrong decision on a request beyond this node's own part of the account limit if
// the allocator grants, refuses, is unreachable or has changed.
func TestCentralLimit(t *testing.T) {
	askLimit := func(t *testing.T) (*node, messenger.RequestLimit) {
		n := newNode(2)
		n.env.Local = limiter.NewLocal()
		n.env.Local.SetNodes(1_000_000_000, false)
		n.env.Allocator = &dispatcher.Allocator{
			Node:    "entry-2",
			Address: "10.0.1.2:7000",
		}
		asked, ok := n.receive("/ping/1").(messenger.RequestLimit)
		require.True(t, ok)
		require.Equal(t, identifier.Tokens(1100), asked.Tokens)
		return n, asked
	}
	t.Run("granted", func(t *testing.T) {
		n, asked := askLimit(t)
		_, ok := n.LimitAnswered(n.env, messenger.LimitAnswered{
			Exchange: asked.Exchange,
			Granted:  true,
		}).(messenger.SendExchange)
		require.True(t, ok)
	})
	t.Run("refused", func(t *testing.T) {
		n, asked := askLimit(t)
		got := refusal(t, n.LimitAnswered(n.env, messenger.LimitAnswered{
			Exchange:   asked.Exchange,
			RetryAfter: 400,
		}))
		require.Equal(t, messenger.ReasonAccountLimit, got.Reason)
		require.GreaterOrEqual(t, got.RetryAfter, timekeeper.Duration(400))
		require.Zero(t, n.InFlight())
	})
	t.Run("allocator unreachable", func(t *testing.T) {
		n, asked := askLimit(t)
		got := refusal(t, n.LimitAnswered(n.env, messenger.LimitAnswered{
			Exchange: asked.Exchange,
			Unknown:  true,
		}))
		require.Positive(t, got.RetryAfter)
	})
	t.Run("no longer the allocator", func(t *testing.T) {
		n, asked := askLimit(t)
		n.env.Local.SetNodes(1, true)
		n.receive("/ping/2") // The own part grows from its next use on.
		n.env.Now = n.env.Now.Add(timekeeper.Second)
		_, ok := n.LimitAnswered(n.env, messenger.LimitAnswered{
			Exchange:    asked.Exchange,
			NotGranting: true,
		}).(messenger.SendExchange)
		require.True(t, ok)
	})
	t.Run("no longer the allocator, own part used up", func(t *testing.T) {
		n, asked := askLimit(t)
		got := refusal(t, n.LimitAnswered(n.env, messenger.LimitAnswered{
			Exchange:    asked.Exchange,
			NotGranting: true,
		}))
		require.Equal(t, messenger.ReasonAccountLimit, got.Reason)
		require.Zero(t, n.InFlight())
	})
	t.Run("caller disconnected", func(t *testing.T) {
		n, asked := askLimit(t)
		n.Ended(n.env, messenger.ExchangeEnded{Exchange: asked.Exchange})
		_, ok := n.LimitAnswered(n.env, messenger.LimitAnswered{
			Exchange: asked.Exchange,
			Granted:  true,
		}).(messenger.EndExchange)
		require.True(t, ok)
	})
}

// Only the allocator grants, and only to known accounts.
func TestGrantLimit(t *testing.T) {
	n := newNode(1)
	require.True(t, dispatcher.GrantLimit(n.env, "agency", 10).NotGranting)
	n.env.Central = limiter.NewCentral(limiter.CentralConfig{})
	require.True(t, dispatcher.GrantLimit(n.env, "agency", 10).Granted)
	require.True(t, dispatcher.GrantLimit(n.env, "nobody", 10).Unknown)
}

// A request counts once in its account's usage, however often it is repeated, and not
// at all if no server ran it.
func TestUsageCountsOnce(t *testing.T) {
	n := newNode(3)
	first := n.sendPath(t, "/report/1")
	began := messenger.ExchangeBegan{
		Exchange: first.Exchange,
		Attempt:  first.Attempt,
	}
	n.Began(n.env, began)
	n.Began(n.env, began)
	second, ok := n.endAttempt(first, messenger.AttemptBroken, true).(messenger.SendExchange)
	require.True(t, ok)
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: second.Exchange,
		Attempt:  second.Attempt,
	})
	require.Equal(t, []identifier.AccountID{"agency"}, n.began)

	n.began = nil
	n.endAttempt(n.sendPath(t, "/draft/1"), messenger.AttemptRefused, false)
	require.Empty(t, n.began)
	n.endAttempt(n.sendPath(t, "/book/1"), messenger.AttemptBroken, false)
	require.Equal(t, []identifier.AccountID{"agency"}, n.began, "the request may have run")
}

// However exchanges end, none may remain counted as in flight.
func TestNothingStaysInFlight(t *testing.T) {
	n := newNode(3)
	results := []messenger.AttemptResult{
		messenger.AttemptNotSent, messenger.AttemptRefused, messenger.AttemptBroken,
		messenger.AttemptTimedOut, messenger.AttemptFailed,
	}
	paths := []string{"/ping/1", "/book/1", "/report/1", "/draft/1"}
	for i := range 200 {
		n.env.Now = n.env.Now.Add(40)
		send, ok := n.receive(paths[i%len(paths)]).(messenger.SendExchange)
		for ok {
			effect := n.endAttempt(send, results[n.env.Rand.IntN(len(results))], false)
			send, ok = effect.(messenger.SendExchange)
			if ok && n.env.Rand.IntN(2) == 0 {
				n.Ended(n.env, messenger.ExchangeEnded{
					Exchange: send.Exchange,
					Result:   messenger.AttemptComplete,
				})
				break
			}
		}
	}
	require.Zero(t, n.InFlight())
	running, services := n.OwnLoad(n.env.Now)
	require.Empty(t, running)
	require.Zero(t, services["reader"].Running)
}

// An event of an attempt that is no longer current must not change the load.
func TestLateEvents(t *testing.T) {
	n := newNode(3)
	first := n.sendPath(t, "/ping/1")
	second, ok := n.endAttempt(first, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: first.Exchange,
		Attempt:  first.Attempt,
	})
	running, _ := n.OwnLoad(n.env.Now)
	require.Len(t, running, 1)
	require.Equal(t, 1, running[second.Server].Running)
}

// A prompt of 62,000 tokens takes about as long to read as the usual first-event
// timeout. The timeout must be extended, or the prompt would be read again elsewhere.
func TestLongPromptsExtendFirstEventTimeout(t *testing.T) {
	n := newNode(2)
	short := n.sendPath(t, "/report/1")
	require.Equal(t, 1500*timekeeper.Millisecond, short.FirstEventTimeout)
	long := n.spec("/report/2")
	long.PromptTokens = 62_000
	send, ok := n.Receive(n.env, long).(messenger.SendExchange)
	require.True(t, ok)
	require.Greater(t, send.Inputs.Predicted, 1300*timekeeper.Millisecond)
	require.Equal(t, 2*send.Inputs.Predicted, send.FirstEventTimeout)
}
