package dispatcher_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/dispatcher"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
)

// newBrittleNode returns a node with two brittle servers whose slots a peer allocates, or, if
// peer is empty, the node itself.
func newBrittleNode(peer identifier.VMID) *node {
	n := newNode(2)
	n.env.Brittle.Observe(n.env.Now, "reader", messenger.ServerBrittleReceived{
		Server: serverID(0),
		Sent:   n.env.Now,
		Brittle: messenger.StatedBrittle{
			Stated:     true,
			Rejections: 5,
		},
	})
	if peer != "" {
		n.env.SlotAllocator = func(string) *dispatcher.Allocator {
			return &dispatcher.Allocator{
				Node:    peer,
				Address: "10.0.1.2:7000",
			}
		}
	}
	n.env.OwnSlots = func(string, int) int { return 1 }
	return n
}

// requestSlot receives a request and requires that a slot is requested.
func (n *node) requestSlot(t *testing.T) messenger.RequestSlot {
	t.Helper()
	ask, ok := n.receive("/ping/1").(messenger.RequestSlot)
	require.True(t, ok)
	return ask
}

// Guards against requests to brittle servers beyond their slots, and against callers that wait.
func TestSlotFromPeer(t *testing.T) {
	t.Run("granted", func(t *testing.T) {
		n := newBrittleNode("entry-2")
		asked := n.requestSlot(t)
		require.Len(t, asked.Report.Uses, 2)
		granted := asked.Report.Uses[1].Server
		send, ok := n.SlotAnswered(n.env, messenger.SlotAnswered{
			Exchange: asked.Exchange,
			Server:   granted,
		}).(messenger.SendExchange)
		require.True(t, ok)
		require.Equal(t, granted, send.Server)
		require.False(t, n.HasSlotReports())

		n.complete(send)
		require.True(t, n.HasSlotReports())
		reports := n.SlotReports(n.env)
		require.Len(t, reports, 1)
		report := reports[0].(messenger.ReportSlots).Report
		require.Greater(t, report.Sequence, asked.Report.Sequence)
		require.Equal(t, []messenger.SlotUse{
			{
				Server:   granted,
				Received: 1,
			},
		}, report.Uses)
	})
	t.Run("no room", func(t *testing.T) {
		n := newBrittleNode("entry-2")
		asked := n.requestSlot(t)
		got := refusal(t, n.SlotAnswered(n.env, messenger.SlotAnswered{Exchange: asked.Exchange}))
		require.Equal(t, messenger.ReasonNoRoom, got.Reason)
		require.Equal(t, messenger.NotRun, got.Outcome)
		require.Zero(t, n.InFlight())
	})
	t.Run("allocator unreachable", func(t *testing.T) {
		n := newBrittleNode("entry-2")
		asked := n.requestSlot(t)
		_, ok := n.SlotAnswered(n.env, messenger.SlotAnswered{
			Exchange: asked.Exchange,
			Unknown:  true,
		}).(messenger.SendExchange)
		require.True(t, ok, "its own part of the slots is left")
		n.sendPath(t, "/ping/2")
		got := refusal(t, n.receive("/ping/3"))
		require.Equal(t, messenger.ReasonNoRoom, got.Reason, "one slot at each server is its own")
		n.env.Now = n.env.Now.Add(300)
		n.requestSlot(t)
	})
	t.Run("caller disconnected", func(t *testing.T) {
		n := newBrittleNode("entry-2")
		asked := n.requestSlot(t)
		n.Ended(n.env, messenger.ExchangeEnded{Exchange: asked.Exchange})
		_, ok := n.SlotAnswered(n.env, messenger.SlotAnswered{
			Exchange: asked.Exchange,
			Server:   asked.Report.Uses[0].Server,
		}).(messenger.EndExchange)
		require.True(t, ok)
		require.True(t, n.HasSlotReports(), "the slot is free again")
	})
}

// Guards against slots that are granted twice.
func TestGrantSlot(t *testing.T) {
	n := newBrittleNode("")
	for range 2 * serverSlots {
		n.sendPath(t, "/ping/1")
	}
	require.Equal(t, messenger.ReasonNoRoom, refusal(t, n.receive("/ping/1")).Reason)

	n = newBrittleNode("")
	report := messenger.SlotReport{
		From: "entry-2",
		Uses: []messenger.SlotUse{
			{
				Server: serverID(0),
			},
		},
	}
	for i := range serverSlots {
		report.Sequence++
		require.Equal(t, serverID(0), n.GrantSlot(n.env, report).Server, "slot %d", i)
	}
	report.Sequence++
	require.Equal(t, messenger.SlotAnswered{}, n.GrantSlot(n.env, report))
	require.Equal(t, serverID(1), n.sendPath(t, "/ping/1").Server)

	n = newBrittleNode("entry-3")
	require.True(t, n.GrantSlot(n.env, report).NotAllocating)
}

// A server that rejects the request of one peer must get no requests of the others.
func TestRejectionOfPeerEndsGrants(t *testing.T) {
	n := newBrittleNode("")
	report := messenger.SlotReport{
		From:     "entry-2",
		Sequence: 1,
		Uses: []messenger.SlotUse{
			{
				Server:   serverID(0),
				Running:  3,
				Rejected: true,
			},
		},
	}
	n.StoreSlots(n.env, report)
	report.From = "entry-3"
	report.Uses[0].Rejected = false
	report.Uses[0].Running = 0
	require.Equal(t, messenger.SlotAnswered{}, n.GrantSlot(n.env, report))
	n.env.Now = n.env.Now.Add(1000)
	report.From = "entry-2"
	report.Sequence++
	require.Equal(t, serverID(0), n.GrantSlot(n.env, report).Server)
}
