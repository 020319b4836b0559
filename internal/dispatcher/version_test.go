package dispatcher_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// publishVersion publishes count servers of a version.
func (n *node) publishVersion(v identifier.Version, count int) {
	for i := range count {
		n.offset++
		vm := identifier.VMID(fmt.Sprintf("i-%s-%d", v, i))
		n.env.Servers.ApplyRead(n.env.Now, []messenger.PublishedServer{
			{
				Server:  vm,
				Offset:  n.offset,
				Service: "reader",
				Address: string(vm) + ":80",
				Zone:    "zone-0",
				Version: v,
				State:   messenger.ServerReady,
			},
		}, false)
	}
}

// beginStream sends a request and has its stream begin.
func (n *node) beginStream(t *testing.T, spec messenger.ExchangeSpec) messenger.SendExchange {
	t.Helper()
	send := n.mustSend(t, spec)
	n.Began(n.env, messenger.ExchangeBegan{
		Exchange: send.Exchange,
		Attempt:  send.Attempt,
	})
	return send
}

// Guards against streams that another version continues within one answer.
func TestBrokenStreamStaysAtItsVersion(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 4)
	n.publishVersion("v2", 4)
	seen := map[identifier.Version]bool{}
	for range 40 {
		first := n.beginStream(t, n.spec("/report/1"))
		next, ok := n.endAttempt(first, messenger.AttemptBroken, true).(messenger.SendExchange)
		if !ok {
			continue // The budget for retries is used up.
		}
		require.Equal(t, first.Inputs.Version, next.Inputs.Version)
		seen[next.Inputs.Version] = true
		n.complete(next)
	}
	require.Len(t, seen, 2)
}

// Guards against streams that another version continues because theirs has no other server.
func TestBrokenStreamOfLastServerEnds(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 1)
	first := n.beginStream(t, n.spec("/report/1"))
	n.publishVersion("v2", 4)
	end, ok := n.endAttempt(first, messenger.AttemptBroken, true).(messenger.EndExchange)
	require.True(t, ok)
	require.Equal(t, messenger.ReasonNoServer, end.Reason)
}

// A stream without an event may begin at any version.
func TestAttemptBeforeFirstEventMayChangeVersion(t *testing.T) {
	n := newNode(0)
	n.publishVersion("v1", 1)
	first := n.mustSend(t, n.spec("/report/1"))
	n.publishVersion("v2", 1)
	next, ok := n.endAttempt(first, messenger.AttemptBroken, false).(messenger.SendExchange)
	require.True(t, ok)
	require.Equal(t, identifier.Version("v2"), next.Inputs.Version)
}
