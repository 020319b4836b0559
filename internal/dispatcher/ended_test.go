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

// specWithContent returns a request with the given content hash; equal hashes are the
// same request.
func (n *node) specWithContent(path string, content identifier.ContentHash) messenger.ExchangeSpec {
	spec := n.spec(path)
	spec.Content = content
	return spec
}

// mustSend receives a request and requires that it is sent.
func (n *node) mustSend(t *testing.T, spec messenger.ExchangeSpec) messenger.SendExchange {
	t.Helper()
	send, ok := n.Receive(n.env, spec).(messenger.SendExchange)
	require.True(t, ok)
	return send
}

// endServer ends the server of an attempt and removes its entry.
func (n *node) endServer(s messenger.SendExchange) messenger.Effect {
	effect := n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
		Exchange:    s.Exchange,
		Attempt:     s.Attempt,
		Result:      messenger.AttemptBroken,
		ServerEnded: true,
	})
	n.publishServer(s.Server, messenger.ServerRemoved)
	return effect
}

// Guards against sending a request again after three servers ended during it, and against refusing
// other requests of its account or the same request of other callers.
func TestRequestThatEndsServersIsQuarantined(t *testing.T) {
	for _, path := range []string{"/ping/1", "/book/1", "/report/1", "/draft/1"} {
		t.Run(path, func(t *testing.T) {
			n := newNode(12)
			ends := 0
			for ends < 3 {
				effect := n.Receive(n.env, n.specWithContent(path, 7))
				for send, ok := effect.(messenger.SendExchange); ok; send, ok = effect.(messenger.SendExchange) {
					effect = n.endServer(send)
					ends++
				}
				end, ok := effect.(messenger.EndExchange)
				require.True(t, ok, "the request may have run")
				if ends == 3 {
					require.Equal(t, messenger.ReasonServersEnded, end.Reason)
				}
			}
			require.Equal(t, 3, ends)
			n.env.Local = nil // A quarantined request must not use the limit.
			got := refusal(t, n.Receive(n.env, n.specWithContent(path, 7)))
			require.Equal(t, messenger.ReasonServersEnded, got.Reason)
			require.GreaterOrEqual(t, got.RetryAfter, timekeeper.Minute)
		})
	}
	n := newNode(12)
	for range 3 {
		n.endServer(n.mustSend(t, n.specWithContent("/book/1", 7)))
	}
	refusal(t, n.Receive(n.env, n.specWithContent("/book/1", 7)))
	n.mustSend(t, n.specWithContent("/book/1", 8))
	public := n.specWithContent("/public/1", 7)
	public.Key = ""
	n.mustSend(t, public)
}

// All keys of one account count as the same caller.
func TestKeysOfOneAccount(t *testing.T) {
	n := newNode(12)
	n.env.Catalog.Routing = catalog.NewRouting([]*catalog.Route{
		route("book", catalog.AtMostOnce, false, 2),
	}, map[string]identifier.AccountID{
		"secret": "agency",
		"newer":  "agency",
	})
	for range 3 {
		n.endServer(n.mustSend(t, n.specWithContent("/book/1", 7)))
	}
	spec := n.specWithContent("/book/1", 7)
	spec.Key = "newer"
	refusal(t, n.Receive(n.env, spec))
}

// The end of a leaving server was announced and must not count against the request that
// it ran.
func TestLeavingServersDoNotCountAsEnded(t *testing.T) {
	n := newNode(12)
	for range 4 {
		send := n.mustSend(t, n.specWithContent("/book/1", 7))
		n.publishServer(send.Server, messenger.ServerLeaving)
		n.endServer(send)
	}
	n.mustSend(t, n.specWithContent("/book/1", 7))
}

// A broken connection or a failed answer must not count as the end of a server that
// still runs.
func TestFailuresOfLiveServersDoNotCountAsEnded(t *testing.T) {
	for _, result := range []messenger.AttemptResult{messenger.AttemptBroken, messenger.AttemptFailed, messenger.AttemptTimedOut} {
		n := newNode(12)
		for range 6 {
			n.endAttempt(n.mustSend(t, n.specWithContent("/book/1", 7)), result, false)
		}
		n.mustSend(t, n.specWithContent("/book/1", 7))
	}
}

// Guards against missing the failure of a whole VM, which refuses no connection and is visible only
// when its entry expires some seconds later.
func TestUnresponsiveServersThatAreRemoved(t *testing.T) {
	for _, test := range []struct {
		name    string
		after   timekeeper.Duration
		notice  bool
		refused bool
	}{
		{
			name:    "entries expire",
			after:   3 * timekeeper.Second,
			refused: true,
		},
		{
			name:  "entries expire much later",
			after: timekeeper.Minute,
		},
		{
			name:   "servers give notice first",
			after:  3 * timekeeper.Second,
			notice: true,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			n := newNode(12)
			var removed []identifier.VMID
			for range 3 {
				send := n.mustSend(t, n.specWithContent("/book/1", 7))
				n.endAttempt(send, messenger.AttemptTimedOut, false)
				removed = append(removed, send.Server)
				n.publishServer(send.Server, messenger.ServerRemoved)
			}
			n.env.Now = n.env.Now.Add(test.after)
			for _, server := range removed {
				if test.notice {
					n.ServerLeaving(server)
				}
				n.ServerRemoved(n.env, server)
			}
			_, sent := n.Receive(n.env, n.specWithContent("/book/1", 7)).(messenger.SendExchange)
			require.Equal(t, test.refused, !sent)
		})
	}
}

// The VM does not report the server's end when its connections break, but refuses the
// next connection.
func TestRefusedConnectionConfirmsEnd(t *testing.T) {
	n := newNode(3)
	for range 3 {
		// Each server receives the request once, because the previous ones have been
		// removed.
		send := n.mustSend(t, n.specWithContent("/book/1", 7))
		n.endAttempt(send, messenger.AttemptBroken, false)
		next := n.sendUntilServer(t, send.Server)
		n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
			Exchange:    next.Exchange,
			Attempt:     next.Attempt,
			Result:      messenger.AttemptNotSent,
			ServerEnded: true,
		})
		n.publishServer(send.Server, messenger.ServerRemoved)
	}
	n.publish(9, messenger.ServerReady)
	got := refusal(t, n.Receive(n.env, n.specWithContent("/book/1", 7)))
	require.Equal(t, messenger.ReasonServersEnded, got.Reason)
}

// sendUntilServer receives other requests until one is sent to the given server.
func (n *node) sendUntilServer(t *testing.T, server identifier.VMID) messenger.SendExchange {
	t.Helper()
	for range 200 {
		if send := n.mustSend(t, n.spec("/draft/1")); send.Server == server {
			return send
		}
	}
	t.Fatalf("no request was sent to %s", server)
	return messenger.SendExchange{}
}

// A caller resumes a stream whose server ended. The resumed request must have the same
// fingerprint.
func TestResumedRequestCountsAsTheSame(t *testing.T) {
	n := newNode(12)
	for i := range 3 {
		spec := n.specWithContent("/draft/1", 7)
		spec.Resumes = i > 0
		send := n.mustSend(t, spec)
		n.Began(n.env, messenger.ExchangeBegan{
			Exchange: send.Exchange,
			Attempt:  send.Attempt,
		})
		n.AttemptEnded(n.env, messenger.ExchangeAttemptEnded{
			Exchange:    send.Exchange,
			Attempt:     send.Attempt,
			Result:      messenger.AttemptBroken,
			Streaming:   true,
			ServerEnded: true,
		})
		n.publishServer(send.Server, messenger.ServerRemoved)
	}
	spec := n.specWithContent("/draft/1", 7)
	spec.Resumes = true
	require.Equal(t, messenger.ReasonServersEnded, refusal(t, n.Receive(n.env, spec)).Reason)
}

// Three servers end at other nodes during the same request while this node waits for
// the allocator's answer. The request must be refused although the limit is granted.
func TestQuarantinedDuringLimitRequest(t *testing.T) {
	n := newNode(12)
	n.env.Local.SetNodes(1000, false)
	n.env.Allocator = &dispatcher.Allocator{
		Node:    "entry-2",
		Address: "entry-2:7000",
	}
	spec := n.specWithContent("/book/1", 7)
	spec.PromptTokens = 100_000
	askLimit, ok := n.Receive(n.env, spec).(messenger.RequestLimit)
	require.True(t, ok)
	for i := range 3 {
		n.env.Quarantine.ServerEnded(n.env.Now, quarantiner.FingerprintOf("agency", 7), serverID(i))
	}
	got := refusal(t, n.LimitAnswered(n.env, messenger.LimitAnswered{
		Exchange: askLimit.Exchange,
		Granted:  true,
	}))
	require.Equal(t, messenger.ReasonServersEnded, got.Reason)
}
