package conductor_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

// handOver hands a running request of a leaving peer over to the node.
func (f *fixture) handOver(name identifier.ServiceName) []messenger.Effect {
	s := spec(name)
	s.EntryNode = "n3"
	return f.c.RequestHandedOver(f.env, messenger.RequestHandedOver{
		Spec:      s,
		Epoch:     2,
		From:      "n3",
		Attempt:   5,
		Server:    "e1",
		Stream:    "r1.5",
		Delivered: 30,
	})
}

// A taken-over stream is resumed after its last token, under an attempt number
// that the former owner never reaches.
func TestTakeover(t *testing.T) {
	f := newFixture(t)
	out := f.handOver("tag")
	requireOne[messenger.ConfirmHandover](t, out)
	next := requireOne[messenger.SendAttempt](t, out)
	require.Equal(t, messenger.StartResume, next.Mode)
	require.Equal(t, identifier.StreamName("r1.5"), next.Stream)
	require.EqualValues(t, 30, next.From)
	require.Greater(t, next.Attempt, identifier.AttemptNumber(300))
}

// If a long request were confirmed before its copy, the former owner could
// leave and the death of this node would lose the request.
func TestLongTakeoverIsConfirmedAfterCopy(t *testing.T) {
	f := newFixture(t)
	out := f.handOver("report")
	hold := requireOne[messenger.Hold](t, out)
	requireNone[messenger.ConfirmHandover](t, out)
	requireOne[messenger.ConfirmHandover](t, f.c.HoldAcked(f.env, messenger.HoldAcked{
		Request: id,
		Holder:  hold.Holder,
	}))
}

// A draining node still takes over a request, so that it is not lost, and hands
// it over again.
func TestTakeoverWhileDraining(t *testing.T) {
	f := newFixture(t)
	pending := spec("lookup")
	pending.Request = "r0"
	requireOne[messenger.Accept](t, f.c.Receive(f.env, pending))
	f.c.Drain(f.env, start.Add(5*timekeeper.Second), true)
	requireOne[messenger.ConfirmHandover](t, f.handOver("tag"))
	out := f.tickAt(100 * timekeeper.Millisecond)
	handover := requireOne[messenger.HandOver](t, out)
	require.Equal(t, peer, handover.Successor)
	require.Equal(t, identifier.StreamName("r1.5"), handover.Stream)

	out = f.c.HandoverAcked(f.env, messenger.HandoverAcked{
		Request:   id,
		Successor: peer,
	})
	require.Equal(t, peer, requireOne[messenger.Redirect](t, out).To)
	require.False(t, requireOne[messenger.StopAttempt](t, out).Cancel, "the stream lives on for the successor")
	requireNone[messenger.Exit](t, f.tickAt(200*timekeeper.Millisecond))
	f.c.Cancel(f.env, pending.Request)
	requireOne[messenger.Exit](t, f.tickAt(300*timekeeper.Millisecond))
}

// A request that is taken over before the first configuration starts once the
// configuration is known.
func TestTakeoverBeforeConfiguration(t *testing.T) {
	f := newFixture(t)
	configuration := f.env.Catalog
	f.env.Catalog = nil
	out := f.handOver("tag")
	requireOne[messenger.ConfirmHandover](t, out)
	requireNone[messenger.SendAttempt](t, out)
	requireNone[messenger.SendAttempt](t, f.tickAt(timekeeper.Second))
	f.env.Catalog = configuration
	next := requireOne[messenger.SendAttempt](t, f.tickAt(2*timekeeper.Second))
	require.EqualValues(t, 30, next.From)
}
