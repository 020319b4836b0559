package runner

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelhollow/dotterelhollow/internal/adapter"
	"github.com/dotterelhollow/dotterelhollow/internal/messenger"
	"github.com/dotterelhollow/dotterelhollow/pkg/identifier"
	"github.com/dotterelhollow/dotterelhollow/pkg/timekeeper"
)

func record(n int) messenger.AppendRecord {
	return messenger.AppendRecord{
		Ticket: identifier.Ticket(n),
		Stream: "claims-0",
		Data:   []byte{byte(n)},
	}
}

// All nodes share a few hundred appends a second. What waits while a call is
// under way goes into the next one; the rate limit is waited out with nothing
// lost or doubled; a lost answer is reported as such and not tried again,
// because the append may have taken effect.
func TestAppendsAreBatched(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.log.append = func(n int) error {
			switch n {
			case 1:
				sleep(t.Context(), 100*time.Millisecond)
				return nil
			case 2:
				return &adapter.RateLimitedError{RetryAfter: 300 * timekeeper.Millisecond}
			case 4:
				return &adapter.AmbiguousError{}
			}
			return nil
		}
		f.do(record(1))
		f.do(record(2), record(3), record(4))
		sleep(t.Context(), 2*time.Second)
		f.do(record(5))

		var sizes []int
		for _, batch := range f.log.batches {
			sizes = append(sizes, len(batch))
		}
		require.Equal(t, []int{1, 3, 3, 1}, sizes, "the second call was refused and made again")
		ended := eventsOf[messenger.AppendEnded](f.reducer)
		require.Len(t, ended, 5)
		for i, e := range ended {
			require.EqualValues(t, i+1, e.Ticket)
			require.Equal(t, i < 4, e.OK)
		}
	})
}

// Nobody asks again for the record of an outcome, so it is appended again
// when an append's answer is lost.
func TestOutcomeIsAppendedUntilItStands(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.log.append = func(n int) error {
			if n < 3 {
				return &adapter.AmbiguousError{}
			}
			return nil
		}
		f.do(messenger.AppendOutcome{
			Request: "r1",
			Stream:  "claims-0",
			Outcome: messenger.Done,
		})
		require.Len(t, f.log.batches, 3)
		require.Empty(t, eventsOf[messenger.AppendEnded](f.reducer))
	})
}

// The process was paused between the reducer's decision and the order's
// leaving, and the lease has lapsed meanwhile. The order must not leave.
func TestOrderUnderALapsedLeaseDoesNotLeave(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		now := bubbleClock{}.Now()
		f.do(messenger.GiveOrder{
			Server:   "engine-1",
			NotAfter: now,
		}, messenger.BuyVM{
			ClientToken: "slot-1",
			NotAfter:    now,
		})
		require.Zero(t, f.engines.orders)
		require.Zero(t, f.cloud.bought)
		require.False(t, eventsOf[messenger.OrderEnded](f.reducer)[0].OK)
		require.True(t, eventsOf[messenger.BuyEnded](f.reducer)[0].Refused)

		f.do(messenger.GiveOrder{
			Server:   "engine-1",
			NotAfter: now.Add(timekeeper.Second),
		})
		require.Equal(t, 1, f.engines.orders)
	})
}

// A planned stop with a stream in flight: the reducer hears of it, and the
// ports close only when it says Exit. Nothing that the node started is left,
// which the bubble and goleak check.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		closed := false
		f.config.CloseListeners = func(context.Context) { closed = true }
		f.reducer.streams = []identifier.LogStream{"config", "claims-0"}
		f.engines.run = engineSaying("a")
		go f.Run(t.Context())
		a := f.submit()
		f.do(attemptOf(a, 1))
		f.Drain(bubbleClock{}.Now().Add(timekeeper.Minute))
		sleep(t.Context(), 10*time.Second)
		require.Len(t, eventsOf[messenger.DrainStarted](f.reducer), 1)
		require.False(t, closed)

		f.do(messenger.Finish{
			Request: a.Request(),
			Outcome: messenger.Done,
		}, messenger.Exit{})
		<-f.stopped
		require.True(t, closed)
		_, err := f.Submit(context.Background(), report("key-2"))
		require.Error(t, err)
	})
}

// A node with no request in flight is told to stop, so that Exit comes in the
// same step as the message that tells a peer of it. The peer takes a while to
// answer. Were the node to end before, the message would be cut, and the peer
// would go on giving the node out to callers until it missed its heartbeats.
func TestPlannedStopTellsPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerTime = 300 * time.Millisecond
		f := newFixture(t)
		told := false
		f.peers.gossip = func(ctx context.Context) error {
			told = sleep(ctx, answerTime)
			return nil
		}
		go f.Run(t.Context())
		f.do(messenger.SendGossip{
			Peer:    "entry-2",
			Address: "127.0.0.1:2",
		}, messenger.Exit{})
		<-f.stopped
		require.True(t, told)
	})
}

// The peer never answers. The node ends all the same, once its patience with
// one message is over; messages that it begins meanwhile do not prolong it.
func TestSilentPeerDoesNotKeepTheNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.peers.gossip = func(ctx context.Context) error {
			<-ctx.Done()
			return ctx.Err()
		}
		send := messenger.SendGossip{
			Peer:    "entry-2",
			Address: "127.0.0.1:2",
		}
		go f.Run(t.Context())
		began := time.Now()
		f.do(send, messenger.Exit{}, send)
		<-f.stopped
		require.Equal(t, gossipTimeout, time.Since(began))
	})
}

// The reducer never says Exit. The node stops by itself a little after the
// deadline, although a handler hangs.
func TestPlannedStopHasAnEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.config.CloseListeners = func(ctx context.Context) { <-ctx.Done() }
		go f.Run(t.Context())
		began := time.Now()
		f.Drain(bubbleClock{}.Now().Add(5 * timekeeper.Second))
		f.do(messenger.Exit{})
		<-f.stopped
		require.Equal(t, (5*timekeeper.Second + defaultStopMargin).Std(), time.Since(began))
	})
}

func TestProposalGetsItsVerdict(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.reducer.on = func(body messenger.EventBody) []messenger.Effect {
			e, ok := body.(messenger.ChangeProposed)
			if !ok {
				return nil
			}
			return []messenger.Effect{messenger.ReplyOperator{
				Ticket: e.Ticket,
				Verdict: messenger.ChangeVerdict{
					Accepted: true,
					Revision: 7,
				},
			}}
		}
		v, err := f.Propose(t.Context(), messenger.ChangeProposed{File: "10.ini"})
		require.NoError(t, err)
		require.EqualValues(t, 7, v.Revision)

		f.reducer.on = nil
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		v, err = f.Propose(ctx, messenger.ChangeProposed{File: "10.ini"})
		require.NoError(t, err)
		require.True(t, v.Unknown)
		require.Empty(t, f.proposals)
	})
}

// Jobs of one lane run in order and one at a time, lanes side by side, and a
// full lane says so.
func TestLanes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := newTasks(t.Context())
		l := newLanes(ts, 2, 2)
		gate := make(chan struct{})
		var order []string
		add := func(key string, n int) bool {
			return l.push(key, func(context.Context) func() {
				<-gate
				return func() { order = append(order, fmt.Sprint(key, n)) }
			})
		}
		require.True(t, add("a", 1))
		require.True(t, add("a", 2))
		require.True(t, add("a", 3))
		require.False(t, add("a", 4), "one runs and two wait")
		require.True(t, add("b", 1))
		require.True(t, add("c", 1))
		require.Equal(t, 2, ts.running, "the third lane waits")
		close(gate)
		for ts.running > 0 {
			ts.ended(<-ts.ends)
		}
		require.Len(t, order, 5)
		var a []string
		for _, name := range order {
			if name[0] == 'a' {
				a = append(a, name)
			}
		}
		require.Equal(t, []string{"a1", "a2", "a3"}, a)
		require.True(t, l.idle("a"))
	})
}
