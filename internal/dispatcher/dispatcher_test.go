package dispatcher_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/limiter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/promoter"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/internal/registrar"
	"github.com/dotterelhollow/dotterelhollow/internal/retrier"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

const start timekeeper.Time = 1_000_000

// node is one node's dispatcher with what it reads of the rest.
type node struct {
	*dispatcher.Dispatcher
	world dispatcher.Env
	next  identifier.ExchangeID
	began []identifier.AccountID
	// offset is that of the last entry of a server.
	offset identifier.Offset
}

// route names one of the routes of the tests by what it allows.
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
		route("book", catalog.Once, false, 2),
		route("report", catalog.Resumed, true, 2),
		route("draft", catalog.Once, true, 1),
		public,
	}, map[string]identifier.AccountID{"secret": "agency"})
	routing.Backends["reader"] = catalog.Backend{
		Model: true,
		Slots: 64,
	}
	routing.Ranks["agency"] = 0
	routing.PlainTokens["agency"] = 200
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

func newNode(servers int) *node {
	n := &node{
		Dispatcher: dispatcher.New(dispatcher.Config{
			Self: "entry-1",
			Zone: "zone-0",
		}),
		world: dispatcher.Env{
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
			PermitAllocator: func(identifier.VMID) *dispatcher.Allocator { return nil },
			Rand:            rand.New(rand.NewPCG(1, 2)),
		},
	}
	n.world.OnBegan = func(a identifier.AccountID) { n.began = append(n.began, a) }
	n.world.Local.SetNodes(1, true)
	for i := range servers {
		n.publish(i, messenger.ServerReady)
	}
	return n
}

// newRetries allows three retries beside 15 for a hundred requests.
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

// publishServer publishes the state of a server that is known.
func (n *node) publishServer(vm identifier.VMID, state messenger.ServerState) {
	known, _ := n.world.Servers.Server(vm)
	n.publishIn(vm, known.Zone, state)
}

func (n *node) publishIn(vm identifier.VMID, zone identifier.Zone, state messenger.ServerState) {
	n.offset++
	n.world.Servers.ApplyRead(n.world.Now, []messenger.PublishedServer{
		{
			Server:  vm,
			Offset:  n.offset,
			Service: "reader",
			Address: string(vm) + ":80",
			Zone:    zone,
			Slots:   64,
			State:   state,
		},
	}, false)
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
		Received:     n.world.Now,
		TimeLimit:    10 * timekeeper.Second,
		PromptTokens: 1000,
		MaxTokens:    100,
	}
}

func (n *node) receive(path string) messenger.Effect { return n.Receive(n.world, n.spec(path)) }

// sent receives a request and returns where it was sent.
func (n *node) sent(t *testing.T, path string) messenger.SendExchange {
	t.Helper()
	send, ok := n.receive(path).(messenger.SendExchange)
	require.True(t, ok)
	return send
}

func (n *node) ended(s messenger.SendExchange, result messenger.AttemptResult, streaming bool) messenger.Effect {
	return n.AttemptEnded(n.world, messenger.ExchangeAttemptEnded{
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

// What a caller is told of a request that nothing is done for.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(*node, *messenger.ExchangeSpec)
		want    messenger.Reason
		again   bool
	}{
		{
			name:    "no configuration yet",
			prepare: func(n *node, _ *messenger.ExchangeSpec) { n.world.Catalog = nil },
			want:    messenger.ReasonNoConfiguration,
			again:   true,
		},
		{
			name:    "unknown path",
			prepare: func(_ *node, s *messenger.ExchangeSpec) { s.Path = "/nowhere/" },
			want:    messenger.ReasonUnknownRoute,
		},
		{
			name: "unknown path, and a newer configuration may know it",
			prepare: func(n *node, s *messenger.ExchangeSpec) {
				s.Path = "/nowhere/"
				n.world.ConfigStale = true
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
			name:    "no time left",
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
			name: "the node leaves",
			prepare: func(n *node, _ *messenger.ExchangeSpec) {
				n.Leave(n.world.Now.Add(-1))
			},
			want:  messenger.ReasonLeaving,
			again: true,
		},
		{
			name: "over the limit, and no central node is known",
			prepare: func(n *node, s *messenger.ExchangeSpec) {
				n.world.Local.SetNodes(1, false)
				s.PromptTokens = 2_000_000
				n.Receive(n.world, *s)
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
			got := refusal(t, n.Receive(n.world, spec))
			require.Equal(t, test.want, got.Reason)
			require.Equal(t, test.again, got.RetryAfter > 0)
		})
	}
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	n := newNode(1)
	spec := n.spec("/public/1")
	spec.Key = ""
	send, ok := n.Receive(n.world, spec).(messenger.SendExchange)
	require.True(t, ok)
	require.Empty(t, send.Account)
}

// What follows an attempt hangs on what the route allows and on what the
// attempt can have done. A booking whose connection broke may stand, so it is
// not sent again; a report goes on behind the events that the caller has.
func TestWhatFollowsAnAttempt(t *testing.T) {
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
			first := n.sent(t, test.path)
			got := ended
			switch e := n.ended(first, test.result, test.streaming).(type) {
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

// A request was refused by one server and then broken off by another: it may
// have run, so the caller must not be told that it has not.
func TestRefusedThenBroken(t *testing.T) {
	n := newNode(3)
	first := n.sent(t, "/book/1")
	second, ok := n.ended(first, messenger.AttemptRefused, false).(messenger.SendExchange)
	require.True(t, ok)
	end, ok := n.ended(second, messenger.AttemptBroken, false).(messenger.EndExchange)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonServerFailed, end.Reason)
	require.Zero(t, n.InFlight())
}

// No more servers are burdened than the operators allow, but one that left
// while it ran the request burdens nobody any more.
func TestAttemptsAreBounded(t *testing.T) {
	tests := []struct {
		name   string
		leaves bool
		sends  int
	}{
		{
			name:  "servers stay",
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
			send := n.sent(t, "/report/1")
			sends := 1
			for {
				if test.leaves {
					var i int
					_, err := fmt.Sscanf(string(send.Server), "i-%d", &i)
					require.NoError(t, err)
					n.publish(i, messenger.ServerRemoved)
				}
				next, ok := n.ended(send, messenger.AttemptBroken, true).(messenger.SendExchange)
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

// A backend fails every request. Retries stay a small part of the load: with
// each request sent twice the servers that are left would fail too.
func TestRetriesAreBudgeted(t *testing.T) {
	n := newNode(8)
	repeats := 0
	const requests = 400
	for range requests {
		n.world.Now = n.world.Now.Add(25)
		if _, again := n.ended(n.sent(t, "/ping/1"), messenger.AttemptFailed, false).(messenger.SendExchange); again {
			repeats++
		}
	}
	require.Positive(t, repeats)
	require.LessOrEqual(t, repeats, requests*20/100)
}

// shared is a request whose prompt begins with 5,500 tokens that others share.
func (n *node) shared() messenger.ExchangeSpec {
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

// sentShared sends a request with a shared beginning, whose answer begins and
// ends at once.
func (n *node) sentShared(t *testing.T) messenger.SendExchange {
	t.Helper()
	send, ok := n.Receive(n.world, n.shared()).(messenger.SendExchange)
	require.True(t, ok)
	n.complete(send)
	return send
}

// newCopyingNode returns a node of three servers that copy kept parts.
func newCopyingNode() *node {
	n := newNode(3)
	backend := n.world.Catalog.Routing.Backends["reader"]
	backend.CopyRate = 400
	n.world.Catalog.Routing.Backends["reader"] = backend
	return n
}

// leave lets one of three servers give notice.
func (n *node) leave(server identifier.VMID) {
	for i := range 3 {
		if serverID(i) == server {
			n.publish(i, messenger.ServerLeaving)
		}
	}
}

// complete brings the whole answer of an attempt.
func (n *node) complete(s messenger.SendExchange) {
	n.Began(n.world, messenger.ExchangeBegan{
		Exchange: s.Exchange,
		Attempt:  s.Attempt,
	})
	n.Ended(n.world, messenger.ExchangeEnded{
		Exchange: s.Exchange,
		Result:   messenger.AttemptComplete,
	})
}

// Servers start, as they do after each reclaim. Requests stay with the server
// that keeps their prompt's beginning: read anew at each server that the hash
// now names, one in eight of them waited nine times as long as predicted.
func TestSharedPromptsStayWhereTheyAreKept(t *testing.T) {
	n := newNode(2)
	keeper := n.sentShared(t).Server
	for i := 2; i < 30; i++ {
		n.publish(i, messenger.ServerReady)
	}
	for range 10 {
		send := n.sentShared(t)
		require.Equal(t, keeper, send.Server)
		require.Empty(t, send.CopyFrom)
	}
}

// A peer's requests were read at a server that the hash does not name. This node
// hears so and sends its own there.
func TestPeersTellWhatServersKeep(t *testing.T) {
	n, peer := newNode(8), newNode(1)
	keeper := peer.sentShared(t).Server
	home := newNode(8).sentShared(t).Server
	require.NotEqual(t, home, keeper)
	n.MergeCachedPrefixes(n.world, peer.CachedPrefixUpdates(start), false)
	require.Equal(t, keeper, n.sentShared(t).Server)
}

// A server that keeps much gives notice. Its requests go elsewhere, and while it
// is there the other server copies what they share from it: reading 13,000
// tokens takes 215 ms of an engine, copying them 35.
func TestKeptPartsOutliveTheirServer(t *testing.T) {
	n := newCopyingNode()
	first := n.sentShared(t)
	require.Empty(t, first.CopyFrom, "nobody keeps it yet")
	n.leave(first.Server)
	second := n.sentShared(t)
	require.NotEqual(t, first.Server, second.Server)
	require.Equal(t, first.Address, second.CopyFrom)
	third := n.sentShared(t)
	require.Equal(t, second.Server, third.Server)
	require.Empty(t, third.CopyFrom)
}

// A server gave notice and is gone seconds before its entry is. A server that is to
// copy from it would wait for nothing, and the caller with it.
func TestNoCopyFromServersThatMayBeGone(t *testing.T) {
	n := newCopyingNode()
	first := n.sentShared(t)
	n.leave(first.Server)
	n.world.Now = start.Add(2100)
	second := n.sentShared(t)
	require.NotEqual(t, first.Server, second.Server)
	require.Empty(t, second.CopyFrom)
}

// A server broke off before it had read a prompt. It is not taken to keep it.
func TestPromptThatWasNotRead(t *testing.T) {
	n := newNode(8)
	send, ok := n.Receive(n.world, n.shared()).(messenger.SendExchange)
	require.True(t, ok)
	again, ok := n.ended(send, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	require.NotEqual(t, send.Server, again.Server)
	n.complete(again)
	require.Equal(t, again.Server, n.sentShared(t).Server)
}

// Requests that share a prompt's beginning meet at one server, on every node
// alike, so that it is read once; when that server has much more to do than
// others they go elsewhere.
func TestSharedPromptsMeet(t *testing.T) {
	one, two := newNode(8), newNode(8)
	home := one.Receive(one.world, one.shared()).(messenger.SendExchange).Server
	require.Equal(t, home, two.Receive(two.world, two.shared()).(messenger.SendExchange).Server)
	elsewhere := false
	for range 40 {
		send := one.Receive(one.world, one.shared()).(messenger.SendExchange)
		one.Began(one.world, messenger.ExchangeBegan{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
		})
		elsewhere = elsewhere || send.Server != home
	}
	require.True(t, elsewhere)
}

// A peer tells that a server has much to do: this node sends work elsewhere,
// until what the peer told is old.
func TestPeersLoad(t *testing.T) {
	n := newNode(2)
	n.MergePeerLoad(start, "entry-2", messenger.StateUpdate{
		InFlight: map[identifier.VMID]messenger.InFlight{
			serverID(0): {Running: 50},
		},
	})
	for range 5 {
		require.Equal(t, serverID(1), n.sent(t, "/report/1").Server)
	}
	n.world.Now = start.Add(5000)
	require.Equal(t, serverID(0), n.sent(t, "/report/1").Server)
}

// A peer sent a prompt of 50,000 tokens to a server. Requests that are sent there
// meanwhile wait behind it for over a second, so this node is told at once and
// sends them elsewhere, until the server has read it.
func TestLongPromptOfAPeer(t *testing.T) {
	n, peer := newNode(2), newNode(1)
	spec := peer.spec("/report/1")
	spec.PromptTokens = 50_000
	send, ok := peer.Receive(peer.world, spec).(messenger.SendExchange)
	require.True(t, ok)
	require.True(t, peer.NotifyPeers())
	require.False(t, peer.NotifyPeers())
	told := func() messenger.StateUpdate {
		running, _ := peer.OwnLoad(start)
		return messenger.StateUpdate{InFlight: running}
	}
	n.MergePeerLoad(start, "entry-2", told())
	for range 5 {
		require.Equal(t, serverID(1), n.sent(t, "/report/1").Server)
	}
	peer.Began(peer.world, messenger.ExchangeBegan{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
	})
	require.True(t, peer.NotifyPeers())
	n.MergePeerLoad(start, "entry-2", told())
	require.Equal(t, serverID(0), n.sent(t, "/report/1").Server)
}

// A server that fails again and again gets no work while others can do it, and
// gets some where it is the only one.
func TestSuspectedServersComeLast(t *testing.T) {
	n := newNode(2)
	for range 4 {
		n.world.Suspicions.Observe(start, serverID(0), detector.Observation{Kind: detector.Broken})
	}
	for range 10 {
		require.Equal(t, serverID(1), n.sent(t, "/ping/1").Server)
	}
	n.publish(1, messenger.ServerLeaving)
	require.Equal(t, serverID(0), n.sent(t, "/ping/1").Server)
}

// The account has used up this node's part of its limit. The node that grants
// centrally decides, and one that can't be asked is no reason to hold the
// request.
func TestAskingTheCentralNode(t *testing.T) {
	ask := func(t *testing.T) (*node, messenger.RequestLimit) {
		n := newNode(2)
		n.world.Local = limiter.NewLocal()
		n.world.Local.SetNodes(1_000_000_000, false)
		n.world.Allocator = &dispatcher.Allocator{
			Node:    "entry-2",
			Address: "10.0.1.2:7000",
		}
		asked, ok := n.receive("/ping/1").(messenger.RequestLimit)
		require.True(t, ok)
		require.Equal(t, identifier.Tokens(1100), asked.Tokens)
		return n, asked
	}
	t.Run("granted", func(t *testing.T) {
		n, asked := ask(t)
		_, ok := n.LimitAnswered(n.world, messenger.LimitAnswered{
			Exchange: asked.Exchange,
			Granted:  true,
		}).(messenger.SendExchange)
		require.True(t, ok)
	})
	t.Run("refused", func(t *testing.T) {
		n, asked := ask(t)
		got := refusal(t, n.LimitAnswered(n.world, messenger.LimitAnswered{
			Exchange:   asked.Exchange,
			RetryAfter: 400,
		}))
		require.Equal(t, messenger.ReasonAccountLimit, got.Reason)
		require.GreaterOrEqual(t, got.RetryAfter, timekeeper.Duration(400))
		require.Zero(t, n.InFlight())
	})
	t.Run("not reached", func(t *testing.T) {
		n, asked := ask(t)
		got := refusal(t, n.LimitAnswered(n.world, messenger.LimitAnswered{
			Exchange: asked.Exchange,
			Unknown:  true,
		}))
		require.Positive(t, got.RetryAfter)
	})
	t.Run("it no longer grants", func(t *testing.T) {
		n, asked := ask(t)
		n.world.Local.SetNodes(1, true)
		n.receive("/ping/2") // The part grows from its next use on.
		n.world.Now = n.world.Now.Add(timekeeper.Second)
		_, ok := n.LimitAnswered(n.world, messenger.LimitAnswered{
			Exchange:    asked.Exchange,
			NotGranting: true,
		}).(messenger.SendExchange)
		require.True(t, ok)
	})
	t.Run("it no longer grants, and nothing is left", func(t *testing.T) {
		n, asked := ask(t)
		got := refusal(t, n.LimitAnswered(n.world, messenger.LimitAnswered{
			Exchange:    asked.Exchange,
			NotGranting: true,
		}))
		require.Equal(t, messenger.ReasonAccountLimit, got.Reason)
		require.Zero(t, n.InFlight())
	})
	t.Run("the caller left meanwhile", func(t *testing.T) {
		n, asked := ask(t)
		n.Ended(n.world, messenger.ExchangeEnded{Exchange: asked.Exchange})
		_, ok := n.LimitAnswered(n.world, messenger.LimitAnswered{
			Exchange: asked.Exchange,
			Granted:  true,
		}).(messenger.EndExchange)
		require.True(t, ok)
	})
}

// Only the node that holds the lease grants, and only to accounts it knows.
func TestGrant(t *testing.T) {
	n := newNode(1)
	require.True(t, dispatcher.GrantLimit(n.world, "agency", 10).NotGranting)
	n.world.Central = limiter.NewCentral()
	require.True(t, dispatcher.GrantLimit(n.world, "agency", 10).Granted)
	require.True(t, dispatcher.GrantLimit(n.world, "nobody", 10).Unknown)
}

// A request counts once as used, whatever becomes of it after it began to run,
// and not at all where no server ran it.
func TestUsageCountsOnce(t *testing.T) {
	n := newNode(3)
	first := n.sent(t, "/report/1")
	began := messenger.ExchangeBegan{
		Exchange: first.Exchange,
		Attempt:  first.Attempt,
	}
	n.Began(n.world, began)
	n.Began(n.world, began)
	second, ok := n.ended(first, messenger.AttemptBroken, true).(messenger.SendExchange)
	require.True(t, ok)
	n.Began(n.world, messenger.ExchangeBegan{
		Exchange: second.Exchange,
		Attempt:  second.Attempt,
	})
	require.Equal(t, []identifier.AccountID{"agency"}, n.began)

	n.began = nil
	n.ended(n.sent(t, "/draft/1"), messenger.AttemptRefused, false)
	require.Empty(t, n.began)
	n.ended(n.sent(t, "/book/1"), messenger.AttemptBroken, false)
	require.Equal(t, []identifier.AccountID{"agency"}, n.began, "its answer was lost")
}

// Whatever becomes of exchanges, nothing stays counted as in flight.
func TestNothingStaysInFlight(t *testing.T) {
	n := newNode(3)
	results := []messenger.AttemptResult{
		messenger.AttemptNotSent, messenger.AttemptRefused, messenger.AttemptBroken,
		messenger.AttemptTimedOut, messenger.AttemptFailed,
	}
	paths := []string{"/ping/1", "/book/1", "/report/1", "/draft/1"}
	for i := range 200 {
		n.world.Now = n.world.Now.Add(40)
		send, ok := n.receive(paths[i%len(paths)]).(messenger.SendExchange)
		for ok {
			effect := n.ended(send, results[n.world.Rand.IntN(len(results))], false)
			send, ok = effect.(messenger.SendExchange)
			if ok && n.world.Rand.IntN(2) == 0 {
				n.Ended(n.world, messenger.ExchangeEnded{
					Exchange: send.Exchange,
					Result:   messenger.AttemptComplete,
				})
				break
			}
		}
	}
	require.Zero(t, n.InFlight())
	running, services := n.OwnLoad(n.world.Now)
	require.Empty(t, running)
	require.Zero(t, services["reader"].Running)
}

// Late news of an attempt that is no longer the current one changes nothing.
func TestLateEvents(t *testing.T) {
	n := newNode(3)
	first := n.sent(t, "/ping/1")
	second, ok := n.ended(first, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	n.Began(n.world, messenger.ExchangeBegan{
		Exchange: first.Exchange,
		Attempt:  first.Attempt,
	})
	running, _ := n.OwnLoad(n.world.Now)
	require.Len(t, running, 1)
	require.Equal(t, 1, running[second.Server].Running)
}

// A prompt of 62,000 tokens takes an engine 1.5 s to read, as long as a silent
// engine is waited for otherwise. Given up then, it is read anew elsewhere, and
// its first event comes twice as late.
func TestLongPromptsAreWaitedFor(t *testing.T) {
	n := newNode(2)
	short := n.sent(t, "/report/1")
	require.Equal(t, 1500*timekeeper.Millisecond, short.FirstEventTimeout)
	long := n.spec("/report/2")
	long.PromptTokens = 62_000
	send, ok := n.Receive(n.world, long).(messenger.SendExchange)
	require.True(t, ok)
	require.Greater(t, send.Inputs.Predicted, 1300*timekeeper.Millisecond)
	require.Equal(t, 2*send.Inputs.Predicted, send.FirstEventTimeout)
}
