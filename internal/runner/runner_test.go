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

// Guards against exceeding the log's append rate, and against losing or duplicating records when
// an append is rate-limited or ambiguous.
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
		f.runEffects(record(1))
		f.runEffects(record(2), record(3), record(4))
		sleep(t.Context(), 2*time.Second)
		f.runEffects(record(5))

		var sizes []int
		for _, batch := range f.log.batches {
			sizes = append(sizes, len(batch))
		}
		require.Equal(t, []int{1, 3, 3, 1}, sizes, "the second call was rate-limited and retried")
		ended := eventsOf[messenger.AppendEnded](f.reducer)
		require.Len(t, ended, 5)
		for i, e := range ended {
			require.EqualValues(t, i+1, e.Ticket)
			// The last append is ambiguous and not retried, since it may have taken effect.
			require.Equal(t, i < 4, e.OK)
		}
	})
}

// Guards against the loss of an outcome record, which no one else retries,
// after an ambiguous append.
func TestOutcomeAppendIsRetried(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		f.log.append = func(n int) error {
			if n < 3 {
				return &adapter.AmbiguousError{}
			}
			return nil
		}
		f.runEffects(messenger.AppendOutcome{
			Request: "r1",
			Stream:  "claims-0",
			Outcome: messenger.Done,
		})
		require.Len(t, f.log.batches, 3)
		require.Empty(t, eventsOf[messenger.AppendEnded](f.reducer))
	})
}

// Guards against an order or a purchase after the lease expired, if the process
// was paused since the reducer's decision.
func TestOrderUnderExpiredLeaseIsNotSent(t *testing.T) {
	inBubble(t, func(t *testing.T, f *fixture) {
		now := bubbleClock{}.Now()
		f.runEffects(messenger.GiveOrder{
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

		f.runEffects(messenger.GiveOrder{
			Server:   "engine-1",
			NotAfter: now.Add(timekeeper.Second),
		})
		require.Equal(t, 1, f.engines.orders)
	})
}

// A planned stop with a stream in flight must not close the ports before the
// Exit effect, and must not leak goroutines.
func TestPlannedStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		closed := false
		f.config.CloseListeners = func(context.Context) { closed = true }
		f.reducer.streams = []identifier.LogStream{"config", "claims-0"}
		f.engines.run = engineSending("a")
		go f.Run(t.Context())
		a := f.submit()
		f.runEffects(attemptOf(a, 1))
		f.Drain(bubbleClock{}.Now().Add(timekeeper.Minute))
		sleep(t.Context(), 10*time.Second)
		require.Len(t, eventsOf[messenger.DrainStarted](f.reducer), 1)
		require.False(t, closed)

		f.runEffects(messenger.Finish{
			Request: a.Request(),
			Outcome: messenger.Done,
		}, messenger.Exit{})
		<-f.stopped
		require.True(t, closed)
		_, err := f.Submit(context.Background(), submission("key-2"))
		require.Error(t, err)
	})
}

// Guards against an exit that cancels the announcement that the node is leaving: peers would refer
// callers to it until its heartbeats time out.
func TestPlannedStopNotifiesPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const answerTime = 300 * time.Millisecond
		f := newFixture(t)
		delivered := false
		f.peers.gossip = func(ctx context.Context) error {
			delivered = sleep(ctx, answerTime)
			return nil
		}
		go f.Run(t.Context())
		f.runEffects(messenger.SendGossip{
			Peer:    "entry-2",
			Address: "127.0.0.1:2",
		}, messenger.Exit{})
		<-f.stopped
		require.True(t, delivered)
	})
}

// Guards against an exit that waits for an unresponsive peer longer than one
// message timeout.
func TestUnresponsivePeerDoesNotBlockExit(t *testing.T) {
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
		f.runEffects(send, messenger.Exit{}, send)
		<-f.stopped
		require.Equal(t, gossipTimeout, time.Since(began))
	})
}

// Guards against a planned stop that never ends because a handler hangs.
func TestPlannedStopIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t)
		f.config.CloseListeners = func(ctx context.Context) { <-ctx.Done() }
		go f.Run(t.Context())
		began := time.Now()
		f.Drain(bubbleClock{}.Now().Add(5 * timekeeper.Second))
		f.runEffects(messenger.Exit{})
		<-f.stopped
		require.Equal(t, (5*timekeeper.Second + defaultStopMargin).Std(), time.Since(began))
	})
}

func TestProposalReceivesVerdict(t *testing.T) {
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

// Jobs of one lane run one at a time and in order, different lanes run
// concurrently, and a full lane rejects jobs.
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
		require.False(t, add("a", 4), "one job runs and two are queued")
		require.True(t, add("b", 1))
		require.True(t, add("c", 1))
		require.Equal(t, 2, ts.running, "the third lane is queued")
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
