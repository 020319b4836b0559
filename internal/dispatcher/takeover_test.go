package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/detector"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/internal/throttler"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// Guards against streams of two versions, as one begins while a permit is asked for.
func TestStreamThatBeginsGoesOnDespitePermit(t *testing.T) {
	n := newNode(2)
	first := n.sendPath(t, "/report/1")
	n.allocatePermitsAt("entry-2")
	n.stateLimit(other(first.Server), 5)
	asked, ok := n.stall(first, false).(messenger.RequestPermit)
	require.True(t, ok)
	n.begin(first)
	require.Equal(t, messenger.KeepWaiting{Exchange: first.Exchange}, n.PermitAnswered(n.env, messenger.PermitAnswered{
		Exchange: asked.Exchange,
		Server:   other(first.Server),
	}))
}

// Guards against cutting a stream because a server had no room at an earlier stall.
func TestFullServerIsAskedAgainAfterStall(t *testing.T) {
	n := newBrittleNode("entry-2")
	asked := n.requestSlot(t)
	first, ok := n.SlotAnswered(n.env, messenger.SlotAnswered{
		Exchange: asked.Exchange,
		Server:   asked.Report.Uses[0].Server,
	}).(messenger.SendExchange)
	require.True(t, ok)
	asked, ok = n.stall(first, false).(messenger.RequestSlot)
	require.True(t, ok)
	require.Equal(t, messenger.KeepWaiting{Exchange: first.Exchange}, n.SlotAnswered(n.env, messenger.SlotAnswered{Exchange: asked.Exchange}))

	asked, ok = n.endAttempt(first, messenger.AttemptBroken, false).(messenger.RequestSlot)
	require.True(t, ok)
	second, ok := n.SlotAnswered(n.env, messenger.SlotAnswered{
		Exchange: asked.Exchange,
		Server:   other(first.Server),
	}).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, other(first.Server), second.Server)
}

// Guards against usage that lacks requests whose answer ended before their replacement was sent.
func TestAnswerBeforeReplacementCountsAsUsage(t *testing.T) {
	n := newNode(2)
	began := 0
	n.env.OnBegan = func(identifier.AccountID) { began++ }
	first := n.sendPath(t, "/ping/1")
	_, ok := n.stall(first, false).(messenger.SendExchange)
	require.True(t, ok)
	n.begin(first)
	n.Ended(n.env, messenger.ExchangeEnded{
		Exchange: first.Exchange,
		Attempt:  first.Attempt,
		Result:   messenger.AttemptComplete,
	})
	require.Equal(t, 1, began)
}

// Guards against giving up an answer for a suspected server because another grants no permit.
func TestSuspectedServerDoesNotReplaceLimitedOne(t *testing.T) {
	n := newNode(3)
	first := n.sendPath(t, "/ping/1")
	var others []identifier.VMID
	for i := range 3 {
		if id := serverID(i); id != first.Server {
			others = append(others, id)
		}
	}
	n.stateLimit(others[0], 1)
	for granted := true; granted; {
		_, granted = n.env.Permits.Take(n.env.Now, others[0], 1)
	}
	for !n.env.Suspicions.Suspect(n.env.Now, others[1]) {
		n.env.Suspicions.Observe(n.env.Now, others[1], detector.Observation{Kind: detector.Broken})
	}
	require.Equal(t, messenger.KeepWaiting{Exchange: first.Exchange}, n.stall(first, false))
}

// Guards against running requests that go to further servers although these end during them.
func TestQuarantineWhilePermitIsRequested(t *testing.T) {
	n := newNode(8)
	first := n.mustSend(t, n.specWithContent("/ping/1", 7))
	n.allocatePermitsAt("entry-2")
	for i := range 8 {
		if id := serverID(i); id != first.Server {
			n.stateLimit(id, 5)
		}
	}
	asked, ok := n.stall(first, false).(messenger.RequestPermit)
	require.True(t, ok)
	n.env.Limits = throttler.New()
	for range 3 {
		n.endServer(n.mustSend(t, n.specWithContent("/ping/1", 7)))
	}
	effect := n.PermitAnswered(n.env, messenger.PermitAnswered{
		Exchange: asked.Exchange,
		Server:   asked.Limits[0].Server,
	})
	require.Equal(t, messenger.KeepWaiting{Exchange: first.Exchange}, effect)
}
