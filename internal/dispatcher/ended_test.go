package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/catalog"
	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/quarantiner"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// asked is a request with a content of its own, as its caller sends it once more.
func (n *node) asked(path string, content identifier.ContentHash) messenger.ExchangeSpec {
	spec := n.spec(path)
	spec.Content = content
	return spec
}

// send receives a request that has to be sent.
func (n *node) send(t *testing.T, spec messenger.ExchangeSpec) messenger.SendExchange {
	t.Helper()
	send, ok := n.Receive(n.world, spec).(messenger.SendExchange)
	require.True(t, ok)
	return send
}

// serverEnded lets the server of an attempt end. Its entry is gone afterwards.
func (n *node) serverEnded(s messenger.SendExchange) messenger.Effect {
	effect := n.AttemptEnded(n.world, messenger.ExchangeAttemptEnded{
		Exchange:    s.Exchange,
		Attempt:     s.Attempt,
		Result:      messenger.AttemptBroken,
		ServerEnded: true,
	})
	n.publishServer(s.Server, messenger.ServerRemoved)
	return effect
}

// A request ends each server that runs it, on any kind of route. Within one exchange
// its caller is told at once that it failed when the third server ends, though its
// route would allow another; when it comes again, that it did not run, and not to come
// back soon. It takes nothing from its account's limit. Others of the account, and
// others who ask the same, are served.
func TestRequestThatEndsServers(t *testing.T) {
	for _, path := range []string{"/ping/1", "/book/1", "/report/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			n := newNode(12)
			ends := 0
			for ends < 3 {
				effect := n.Receive(n.world, n.asked(path, 7))
				for send, ok := effect.(messenger.SendExchange); ok; send, ok = effect.(messenger.SendExchange) {
					effect = n.serverEnded(send)
					ends++
				}
				end, ok := effect.(messenger.EndExchange)
				require.True(t, ok, "it ran, so that no promise is given")
				if ends == 3 {
					require.Equal(t, messenger.ReasonServersEnded, end.Reason)
				}
			}
			require.Equal(t, 3, ends)
			n.world.Local = nil // Nobody asks it.
			got := refusal(t, n.Receive(n.world, n.asked(path, 7)))
			require.Equal(t, messenger.ReasonServersEnded, got.Reason)
			require.GreaterOrEqual(t, got.RetryAfter, timekeeper.Minute)
		})
	}
	n := newNode(12)
	for range 3 {
		n.serverEnded(n.send(t, n.asked("/book/1", 7)))
	}
	refusal(t, n.Receive(n.world, n.asked("/book/1", 7)))
	n.send(t, n.asked("/book/1", 8))
	public := n.asked("/public/1", 7)
	public.Key = ""
	n.send(t, public)
}

// An account has two keys, and a caller changes from one to the other. It is the same
// caller.
func TestKeysOfOneAccount(t *testing.T) {
	n := newNode(12)
	n.world.Catalog.Routing = catalog.NewRouting([]*catalog.Route{
		route("book", catalog.Once, false, 2),
	}, map[string]identifier.AccountID{
		"secret": "agency",
		"newer":  "agency",
	})
	for range 3 {
		n.serverEnded(n.send(t, n.asked("/book/1", 7)))
	}
	spec := n.asked("/book/1", 7)
	spec.Key = "newer"
	refusal(t, n.Receive(n.world, spec))
}

// Servers that were leaving end as announced, with whatever they still have. A request
// that met three of them is served.
func TestServersThatLeaveEndForNothing(t *testing.T) {
	n := newNode(12)
	for range 4 {
		send := n.send(t, n.asked("/book/1", 7))
		n.publishServer(send.Server, messenger.ServerLeaving)
		n.serverEnded(send)
	}
	n.send(t, n.asked("/book/1", 7))
}

// Connections break, and servers answer that they failed, but live on. None of that is
// the end of a server.
func TestServersThatLiveHaveNotEnded(t *testing.T) {
	for _, result := range []messenger.AttemptResult{messenger.AttemptBroken, messenger.AttemptFailed, messenger.AttemptTimedOut} {
		n := newNode(12)
		for range 6 {
			n.ended(n.send(t, n.asked("/book/1", 7)), result, false)
		}
		n.send(t, n.asked("/book/1", 7))
	}
}

// The VMs of servers go dark under a request: nothing refuses a connection, and only
// their entries lapse, some seconds later. They count from then on. An entry that
// lapses later than that, or after a notice, says nothing of the request.
func TestServersThatGoDark(t *testing.T) {
	for _, test := range []struct {
		name    string
		after   timekeeper.Duration
		notice  bool
		refused bool
	}{
		{
			name:    "the entries lapse",
			after:   3 * timekeeper.Second,
			refused: true,
		},
		{
			name:  "they lapse much later",
			after: timekeeper.Minute,
		},
		{
			name:   "the servers announce their leaving first",
			after:  3 * timekeeper.Second,
			notice: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(12)
			var gone []identifier.VMID
			for range 3 {
				send := n.send(t, n.asked("/book/1", 7))
				n.ended(send, messenger.AttemptTimedOut, false)
				gone = append(gone, send.Server)
				n.publishServer(send.Server, messenger.ServerRemoved)
			}
			n.world.Now = n.world.Now.Add(test.after)
			for _, server := range gone {
				if test.notice {
					n.ServerLeaving(server)
				}
				n.ServerRemoved(n.world, server)
			}
			_, sent := n.Receive(n.world, n.asked("/book/1", 7)).(messenger.SendExchange)
			require.Equal(t, test.refused, !sent)
		})
	}
}

// A server's VM says nothing when its connections break, and refuses the next one.
func TestRefusedConnectionConfirmsEnd(t *testing.T) {
	n := newNode(3)
	for range 3 {
		// Each server has the request once: the others are known to be gone.
		send := n.send(t, n.asked("/book/1", 7))
		n.ended(send, messenger.AttemptBroken, false)
		next := n.sentTo(t, send.Server)
		n.AttemptEnded(n.world, messenger.ExchangeAttemptEnded{
			Exchange:    next.Exchange,
			Attempt:     next.Attempt,
			Result:      messenger.AttemptNotSent,
			ServerEnded: true,
		})
		n.publishServer(send.Server, messenger.ServerRemoved)
	}
	n.publish(9, messenger.ServerReady)
	got := refusal(t, n.Receive(n.world, n.asked("/book/1", 7)))
	require.Equal(t, messenger.ReasonServersEnded, got.Reason)
}

// sentTo receives other requests until one is sent to a server.
func (n *node) sentTo(t *testing.T, server identifier.VMID) messenger.SendExchange {
	t.Helper()
	for range 200 {
		if send := n.send(t, n.spec("/draft/1")); send.Server == server {
			return send
		}
	}
	t.Fatalf("nothing is sent to %s", server)
	return messenger.SendExchange{}
}

// A stream breaks off in the middle when its server ends, and its caller asks for the
// rest. That is the same request: its server ends too, and the third time the caller
// hears that this try did not run.
func TestResumedRequestCountsAsTheSame(t *testing.T) {
	n := newNode(12)
	for i := range 3 {
		spec := n.asked("/draft/1", 7)
		spec.Resumes = i > 0
		send := n.send(t, spec)
		n.Began(n.world, messenger.ExchangeBegan{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
		})
		n.AttemptEnded(n.world, messenger.ExchangeAttemptEnded{
			Exchange:    send.Exchange,
			Attempt:     send.Attempt,
			Result:      messenger.AttemptBroken,
			Streaming:   true,
			ServerEnded: true,
		})
		n.publishServer(send.Server, messenger.ServerRemoved)
	}
	spec := n.asked("/draft/1", 7)
	spec.Resumes = true
	require.Equal(t, messenger.ReasonServersEnded, refusal(t, n.Receive(n.world, spec)).Reason)
}

// While a node asks for a part of the account's limit, three servers end at other nodes
// under the request. It is refused all the same: the answer takes up to 150 ms.
func TestQuarantinedWhileTheLimitIsAsked(t *testing.T) {
	n := newNode(12)
	n.world.Local.SetNodes(1000, false)
	n.world.Allocator = &dispatcher.Allocator{
		Node:    "entry-2",
		Address: "entry-2:7000",
	}
	spec := n.asked("/book/1", 7)
	spec.PromptTokens = 100_000
	ask, ok := n.Receive(n.world, spec).(messenger.RequestLimit)
	require.True(t, ok)
	for i := range 3 {
		n.world.Quarantine.ServerEnded(n.world.Now, quarantiner.FingerprintOf("agency", 7), serverID(i))
	}
	got := refusal(t, n.LimitAnswered(n.world, messenger.LimitAnswered{
		Exchange: ask.Exchange,
		Granted:  true,
	}))
	require.Equal(t, messenger.ReasonServersEnded, got.Reason)
}
